//! What relaying costs: processor time a token, memory a stream and added delay.
//!
//! The decision alone is measured in this process. The whole path is measured on an entry host in
//! a process of its own, between a fake engine and callers in this one, at the rate of the
//! design: 1,400 streams of 14 tokens a second each.

#![allow(clippy::unwrap_used, missing_docs)]

#[path = "relay/load.rs"]
mod load;
#[path = "../tests/tester/mod.rs"]
mod tester;

use std::hint::black_box;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::BytesMut;
use criterion::Criterion;

use crate::load::Measured;
use crate::load::Usage;
use cedargauge::clock::Time;
use cedargauge::completion::CompletionWriter;
use cedargauge::engine::EventBuffer;
use cedargauge::engine::EventView;
use cedargauge::id::AttemptId;
use cedargauge::id::RequestId;
use cedargauge::id::ServiceId;
use cedargauge::relay::Action;
use cedargauge::relay::Input;
use cedargauge::relay::Relay;
use cedargauge::relay::RelayOptions;
use cedargauge::relay::RelayTerms;
use cedargauge::wire::EngineEvent;

const STREAMS: usize = 1_400;
const TOKENS_PER_S: u32 = 14;
const WARM_UP: Duration = Duration::from_secs(3);
const WINDOW: Duration = Duration::from_secs(8);

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    decision(&mut criterion);
    criterion.final_summary();
    whole_path();
}

/// One token through the buffer, the parser, the relay and the writer.
fn decision(criterion: &mut Criterion) {
    let attempt = AttemptId::from_u128(1);
    let writer = CompletionWriter::new(
        RequestId::from_u128(1),
        &ServiceId::from("inspection"),
        1_700_000_000,
    );
    let terms = RelayTerms {
        repeatable: true,
        streaming: true,
    };
    let mut relay = Relay::new(RelayOptions::default(), terms);
    relay.begin(Time::ZERO, attempt);
    relay.step(Time::ZERO, Input::Opened, &mut Vec::new());
    let mut buffer = EventBuffer::default();
    let mut actions = Vec::new();
    let mut index = 0;
    criterion.bench_function("relay/decision_a_token", |bencher| {
        bencher.iter_batched(
            || {
                index += 1;
                event(attempt, index - 1)
            },
            |chunk| {
                buffer.push(&chunk).unwrap();
                let data = buffer.next_data().unwrap();
                let view = EventView::parse(&data).unwrap();
                relay.step(Time::ZERO, view.as_input().unwrap(), &mut actions);
                let mut out = BytesMut::new();
                for action in actions.drain(..) {
                    if let Action::Deliver(text) = action {
                        writer.token(&text, &mut out);
                    }
                }
                black_box(out)
            },
            criterion::BatchSize::NumIterations(1),
        );
    });
}

fn event(attempt: AttemptId, index: u32) -> Vec<u8> {
    let token = EngineEvent::Token {
        attempt,
        index,
        text: format!("w{index}-a1b2 "),
    };
    format!("data: {}\n\n", serde_json::to_string(&token).unwrap()).into_bytes()
}

fn whole_path() {
    let path = load::WholePath::start();
    let usage = path.entry_usage();
    let idle_bytes = usage.memory_bytes();
    let copy = load::PlainCopy::start(path.engine_address());
    let direct = run(path.engine_address(), None);
    let copied = run(copy.address, Some(&copy.usage));
    let relayed = run(path.entry_address(), Some(&usage));
    let bytes_a_stream = relayed.memory_bytes.saturating_sub(idle_bytes) / STREAMS as u64;
    let ratio = relayed.us_a_token() / copied.us_a_token();
    println!("relay/whole_path: {STREAMS} streams of {TOKENS_PER_S} tokens a second");
    println!("  tokens in the window     {}", relayed.tokens);
    println!("  processor time a token   {:.2} us", relayed.us_a_token());
    println!(
        "  of a plain copy          {:.2} us, ratio {ratio:.2}",
        copied.us_a_token()
    );
    println!(
        "  memory a stream          {:.1} KiB",
        bytes_a_stream as f64 / 1024.0
    );
    println!("  delay p50/p99, direct    {}", direct.delays());
    println!("  plain copy               {}", copied.delays());
    println!("  relayed                  {}", relayed.delays());
}

fn run(address: SocketAddr, usage: Option<&Usage>) -> Measured {
    load::run(address, usage, STREAMS, TOKENS_PER_S, WARM_UP, WINDOW)
}
