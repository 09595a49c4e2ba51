//! Ways to bring a change of a configuration to a host that has the version before.
//!
//! `cargo bench --bench documents` prints, for documents of several sizes and changes of several kinds,
//! the bytes that a host receives and the processor time of both sides, in milliseconds of a whole core
//! (the least of several runs).

#![allow(missing_docs, reason = "a program of its own")]
#![allow(
    clippy::unwrap_used,
    reason = "a measuring program stops at the first failure"
)]

use std::collections::HashSet;
use std::io::Read;
use std::io::Write;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use fastcdc::v2020::FastCDC;
use rand::RngExt;
use rand::SeedableRng;
use rand::distr::Alphanumeric;
use rand_chacha::ChaCha8Rng;

use cedargauge::gateway::document::CutDocument;
use cedargauge::gateway::document::PieceId;
use cedargauge::gateway::document::assembly::Assembly;
use cedargauge::gateway::document::assembly::ReceivedPieces;
use cedargauge::gateway::document::pack;
use cedargauge::gateway::document::unpack;

const RUNS: usize = 5;
const LEVEL: i32 = 3;

/// What one way costs.
struct Cost {
    bytes: usize,
    sender: Duration,
    receiver: Duration,
}

fn main() {
    println!("| routes | document KB | change | way | KB received | sender ms | receiver ms |");
    println!("|---|---|---|---|---|---|---|");
    for count in [100, 2_800, 40_000] {
        let before = routes(1, count);
        let mut one_more = before.clone();
        one_more.insert(count / 2, routes(2, 1).remove(0));
        let mut many_more = before.clone();
        many_more.extend(routes(3, 1_400));
        for (change, after) in [("one route", one_more), ("1,400 routes", many_more)] {
            let before = document(7, &before);
            let after = document(8, &after);
            compare(count, change, &before, &after);
        }
    }
}

fn compare(count: usize, change: &str, before: &Bytes, after: &Bytes) {
    let ways = [
        ("whole", whole(after)),
        ("whole, compressed", compressed(after)),
        (
            "difference to the version before",
            difference(before, after),
        ),
        ("pieces of 4 KB", pieces(4 << 10, before, after)),
        ("pieces of 8 KB", pieces(8 << 10, before, after)),
        ("pieces of 16 KB", pieces(16 << 10, before, after)),
        (
            "the product's pieces, cut and put together",
            product(before, after),
        ),
    ];
    for (way, cost) in ways {
        println!(
            "| {count} | {} | {change} | {way} | {:.1} | {:.2} | {:.2} |",
            after.len() / 1_000,
            cost.bytes as f64 / 1_000.0,
            cost.sender.as_secs_f64() * 1_000.0,
            cost.receiver.as_secs_f64() * 1_000.0,
        );
    }
}

/// Routes of some 190 bytes with names that nobody chose to be compressed.
fn routes(seed: u64, count: usize) -> Vec<String> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    (0..count).map(|_| route(&mut random)).collect()
}

fn route(random: &mut ChaCha8Rng) -> String {
    let [name, host, prefix] = [7, 6, 8].map(|length| word(random, length));
    format!(
        "{{\"name\":\"r-{name}\",\"host\":\"{host}.example\",\"path_prefix\":\"/{prefix}/\",\"type\":\"idempotent\",\"timeout_ms\":1000,\"objective_ms\":150,\"priority\":2,\"service\":\"agenda\",\"attempts\":2,\"public\":false}}"
    )
}

fn word(random: &mut ChaCha8Rng, length: usize) -> String {
    let letters = random.sample_iter(Alphanumeric).take(length);
    letters.map(char::from).collect()
}

fn document(version: u64, routes: &[String]) -> Bytes {
    let routes = routes.join(",");
    Bytes::from(format!("{{\"version\":{version},\"routes\":[{routes}]}}"))
}

/// The least time of several runs, and what the last one made.
fn timed<T>(mut work: impl FnMut() -> T) -> (Duration, T) {
    let mut least = Duration::MAX;
    let mut made = None;
    for _ in 0..RUNS {
        let began = Instant::now();
        made = Some(work());
        least = least.min(began.elapsed());
    }
    (least, made.unwrap())
}

fn whole(after: &Bytes) -> Cost {
    let (sender, sent) = timed(|| serde_json::to_vec(std::str::from_utf8(after).unwrap()).unwrap());
    let (receiver, _) = timed(|| serde_json::from_slice::<String>(&sent).unwrap());
    Cost {
        bytes: sent.len(),
        sender,
        receiver,
    }
}

fn compressed(after: &Bytes) -> Cost {
    let (sender, sent) = timed(|| zstd::bulk::compress(after, LEVEL).unwrap());
    let (receiver, _) = timed(|| zstd::bulk::decompress(&sent, after.len()).unwrap());
    Cost {
        bytes: sent.len(),
        sender,
        receiver,
    }
}

fn difference(before: &Bytes, after: &Bytes) -> Cost {
    // The window must hold both versions.
    let window = (before.len() + after.len()).ilog2() + 1;
    let (sender, sent) = timed(|| {
        let sent = Vec::new();
        let mut encoder =
            zstd::stream::Encoder::with_ref_prefix(sent, LEVEL, before.as_ref()).unwrap();
        encoder.window_log(window).unwrap();
        encoder.long_distance_matching(true).unwrap();
        encoder.write_all(after).unwrap();
        encoder.finish().unwrap()
    });
    let (receiver, received) = timed(|| {
        let mut decoder =
            zstd::stream::Decoder::with_ref_prefix(sent.as_slice(), before.as_ref()).unwrap();
        decoder.window_log_max(window).unwrap();
        let mut received = Vec::new();
        decoder.read_to_end(&mut received).unwrap();
        blake3::hash(&received);
        received
    });
    assert_eq!(received, after.as_ref());
    Cost {
        bytes: sent.len(),
        sender,
        receiver,
    }
}

fn ids_of(mean: usize, document: &Bytes) -> Vec<(PieceId, Bytes)> {
    let chunks = FastCDC::new(document, mean / 4, mean, mean * 4);
    let piece = |chunk: fastcdc::v2020::Chunk| {
        let bytes = document.slice(chunk.offset..chunk.offset + chunk.length);
        (PieceId::of(&bytes), bytes)
    };
    chunks.map(piece).collect()
}

fn pieces(mean: usize, before: &Bytes, after: &Bytes) -> Cost {
    let known: HashSet<PieceId> = ids_of(mean, before).into_iter().map(|(id, _)| id).collect();
    let (sender, sent) = timed(|| {
        let lacking = ids_of(mean, after).into_iter();
        let lacking = lacking.filter(|(id, _)| !known.contains(id));
        lacking
            .map(|(id, bytes)| (id, pack(&bytes).unwrap()))
            .collect::<Vec<(PieceId, Bytes)>>()
    });
    let (receiver, _) = timed(|| {
        let pieces = sent.iter().map(|(id, packed)| unpack(*id, packed));
        pieces.filter_map(Result::ok).count()
    });
    let manifest = ids_of(mean, after).len() * (PieceId::LEN + 2);
    Cost {
        bytes: manifest + sent.iter().map(|(_, packed)| packed.len()).sum::<usize>(),
        sender,
        receiver,
    }
}

fn product(before: &Bytes, after: &Bytes) -> Cost {
    let known = CutDocument::cut("config", 7, before.clone());
    let (sender, cut) = timed(|| {
        let cut = CutDocument::cut("config", 8, after.clone());
        for id in lacking(&cut, &known) {
            cut.packed(id).unwrap();
        }
        cut
    });
    let sent: Vec<(PieceId, Bytes)> = lacking(&cut, &known)
        .into_iter()
        .map(|id| (id, cut.packed(id).unwrap().unwrap()))
        .collect();
    let (receiver, _) = timed(|| {
        let manifest = cut.manifest().clone();
        let mut assembly = Assembly::begin(manifest, Some(&known), ReceivedPieces::default());
        for (id, packed) in &sent {
            assembly.insert(*id, packed.clone()).unwrap();
        }
        assembly.finish().unwrap()
    });
    let manifest = cut.manifest().encode().unwrap().len();
    Cost {
        bytes: manifest + sent.iter().map(|(_, packed)| packed.len()).sum::<usize>(),
        sender,
        receiver,
    }
}

fn lacking(cut: &CutDocument, known: &CutDocument) -> Vec<PieceId> {
    let assembly = Assembly::begin(
        cut.manifest().clone(),
        Some(known),
        ReceivedPieces::default(),
    );
    assembly.missing()
}
