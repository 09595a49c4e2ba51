mod fleet;
mod spread;

use bytes::Bytes;
use rand::RngExt;
use rand::SeedableRng;
use rand::distr::Alphanumeric;
use rand_chacha::ChaCha8Rng;

use super::CutDocument;
use super::DOCUMENT_BYTES_MAX;
use super::Manifest;
use super::PIECE_BYTES_MAX;
use super::PieceId;
use super::PieceSpec;
use super::pack;
use super::unpack;

/// A line of a document, as long as a route.
fn line(random: &mut ChaCha8Rng) -> String {
    let name: String = random
        .sample_iter(Alphanumeric)
        .take(20)
        .map(char::from)
        .collect();
    format!(
        "{{\"name\":\"{name}\",\"host\":\"{}.example\",\"prefix\":\"/{}/\",\"kind\":\"once\",\"timeout_ms\":4000,\"service\":\"nets\"}},\n",
        &name[..6],
        &name[6..12]
    )
}

pub(super) fn lines(seed: u64, count: usize) -> Vec<String> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    (0..count).map(|_| line(&mut random)).collect()
}

pub(super) fn cut(version: u64, lines: &[String]) -> CutDocument {
    let document = format!("{{\"version\":{version}\n{}", lines.concat());
    CutDocument::cut("table", version, Bytes::from(document))
}

/// Bytes of the pieces that the one has and the other lacks, as they travel.
fn lacking_bytes(of: &CutDocument, having: &CutDocument) -> usize {
    let ids = of.manifest().pieces.iter().map(|piece| piece.id);
    let lacking = ids.filter(|id| having.piece(*id).is_none());
    lacking
        .map(|id| of.packed(id).unwrap().unwrap().len())
        .sum()
}

#[test]
fn the_pieces_make_the_document() {
    let document = cut(7, &lines(1, 3_000));

    let mut together = Vec::new();
    for piece in &document.manifest().pieces {
        together.extend_from_slice(&document.piece(piece.id).unwrap());
    }

    assert_eq!(together, document.document().as_ref());
    assert_eq!(document.manifest().bytes(), together.len() as u64);
}

#[test]
fn a_change_of_one_line_costs_a_few_pieces_whatever_the_size_of_the_document() {
    for count in [1_000, 10_000, 40_000] {
        let before = lines(1, count);
        let mut after = before.clone();
        after.insert(count / 2, lines(2, 1).remove(0));

        let bytes = lacking_bytes(&cut(8, &after), &cut(7, &before));

        // The piece with the version, and one or two around the line.
        assert!(bytes < 3 * PIECE_BYTES_MAX as usize, "{count}: {bytes}");
    }
}

#[test]
fn many_lines_more_cost_less_than_their_own_bytes() {
    let before = lines(1, 2_800);
    let mut after = before.clone();
    let added = lines(2, 1_400);
    after.extend(added.clone());

    let bytes = lacking_bytes(&cut(8, &after), &cut(7, &before));

    assert!(bytes < added.concat().len() / 2, "{bytes}");
}

#[test]
fn a_piece_is_what_was_packed_and_nothing_else() {
    let piece = b"tighten the net".repeat(100);
    let id = PieceId::of(&piece);
    let packed = pack(&piece).unwrap();
    let other = pack(b"loosen the net").unwrap();
    let expands = pack(&vec![0; 10 * PIECE_BYTES_MAX as usize]).unwrap();

    assert_eq!(unpack(id, &packed).unwrap(), piece);
    assert!(unpack(id, &other).is_err());
    assert!(unpack(id, &packed[..packed.len() - 1]).is_err());
    assert!(unpack(id, &expands).is_err());
    assert!(unpack(id, b"").is_err());
}

#[test]
fn a_manifest_of_impossible_sizes_is_refused() {
    let sound = cut(7, &lines(1, 100)).manifest().clone();
    let with_size = |bytes| {
        let mut manifest = sound.clone();
        manifest.pieces[0].bytes = bytes;
        manifest
    };
    let mut too_large = sound.clone();
    let piece = PieceSpec {
        id: PieceId([1; 16]),
        bytes: PIECE_BYTES_MAX,
    };
    too_large.pieces = vec![piece; DOCUMENT_BYTES_MAX as usize / PIECE_BYTES_MAX as usize + 1];

    let read = |manifest: &Manifest| Manifest::decode(&manifest.encode().unwrap());
    assert_eq!(read(&sound).unwrap(), sound);
    assert!(read(&with_size(0)).is_err());
    assert!(read(&with_size(PIECE_BYTES_MAX + 1)).is_err());
    assert!(read(&too_large).is_err());
}
