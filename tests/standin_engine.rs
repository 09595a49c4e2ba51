//! The engine's stand-in as a process: generations, resuming, orders and its faults.

mod tester;

use std::io::BufRead;
use std::io::BufReader;
use std::time::Duration;

use crate::tester::Engine;
use crate::tester::get_json;
use crate::tester::http_agent;
use crate::tester::post_json;
use crate::tester::wait_until;
use cedargauge::id::AttemptId;
use cedargauge::standin::DIED_STATUS;
use cedargauge::standin::token_text;
use cedargauge::standin_faults::EngineFault;
use cedargauge::standin_faults::StreamFault;
use cedargauge::standin_faults::StreamFaultKind;
use cedargauge::wire::EngineEvent;
use cedargauge::wire::EngineRefusalReason;
use cedargauge::wire::GenerateRequest;
use cedargauge::wire::LoadReport;
use cedargauge::wire::Order;
use cedargauge::wire::OrderState;
use cedargauge::wire::Role;

const FAST: &[&str] = &["--speed", "20"];
const BOUND: Duration = Duration::from_secs(20);

fn request(attempt: u128, prompt: &str) -> GenerateRequest {
    GenerateRequest {
        attempt: AttemptId::from_u128(attempt),
        model: "inspection@1".to_owned(),
        prompt: prompt.to_owned(),
        prompt_tokens: 32,
        max_output_tokens: 10_000,
        engine_priority: 0,
        prefix_hashes: Vec::new(),
    }
}

fn stream_fault(kind: StreamFaultKind, after_tokens: u32) -> EngineFault {
    EngineFault::Stream(StreamFault {
        kind,
        attempt: None,
        key: None,
        after_tokens,
        times: 1,
    })
}

/// Events up to the end of the stream or the cut of its connection.
fn events(answer: ureq::http::Response<ureq::Body>) -> Vec<EngineEvent> {
    BufReader::new(answer.into_body().into_reader())
        .lines()
        .map_while(Result::ok)
        .filter_map(|line| line.strip_prefix("data: ").map(str::to_owned))
        .map(|json| serde_json::from_str(&json).expect("an event"))
        .collect()
}

fn generate(engine: &Engine, request: &GenerateRequest) -> Vec<EngineEvent> {
    let url = format!("http://{}/v1/generations", engine.address);
    events(
        http_agent()
            .post(&url)
            .send_json(request)
            .expect("an answer"),
    )
}

fn resume(engine: &Engine, attempt: AttemptId, from: u32) -> Vec<EngineEvent> {
    let url = format!(
        "http://{}/v1/generations/{attempt}?from={from}",
        engine.address
    );
    events(http_agent().get(&url).call().expect("an answer"))
}

/// Indexes of the tokens of `attempt`, whose texts are checked against the prompt.
fn indexes(events: &[EngineEvent], wanted: &GenerateRequest) -> Vec<u32> {
    events
        .iter()
        .filter_map(|event| match event {
            EngineEvent::Token {
                attempt,
                index,
                text,
            } if *attempt == wanted.attempt => {
                assert_eq!(*text, token_text(&wanted.prompt, *index));
                Some(*index)
            }
            _ => None,
        })
        .collect()
}

fn is_done(events: &[EngineEvent], tokens: u32) -> bool {
    matches!(events.last(), Some(EngineEvent::Done { output_tokens, .. }) if *output_tokens == tokens)
}

#[test]
fn a_generation_is_whole_and_counted_by_its_key() {
    let engine = Engine::start(FAST);
    let request = request(1, "report #tokens=30 #key=net-1");

    let events = generate(&engine, &request);

    let counters = engine.counters();
    assert_eq!(indexes(&events, &request), Vec::from_iter(0..30));
    assert!(is_done(&events, 30));
    assert_eq!(counters.keys["net-1"].started, 1);
    assert_eq!(counters.keys["net-1"].completed, 1);
    assert_eq!(counters.running, 0);
}

#[test]
fn a_broken_stream_is_resumed_without_a_gap() {
    let engine = Engine::start(FAST);
    let request = request(1, "report #tokens=30");

    engine.fault(&stream_fault(StreamFaultKind::Break, 10));
    let first = generate(&engine, &request);
    let second = resume(&engine, request.attempt, 10);

    let mut both = indexes(&first, &request);
    both.extend(indexes(&second, &request));
    assert_eq!(both, Vec::from_iter(0..30));
    assert!(is_done(&second, 30));
    assert_eq!(engine.counters().started, 1);
}

#[test]
fn streams_repeat_swap_skip_and_cross_as_they_are_told() {
    let cases = [
        (StreamFaultKind::Duplicate, vec![0, 1, 2, 2, 3, 4]),
        (StreamFaultKind::Reorder, vec![0, 1, 3, 2, 4]),
        (StreamFaultKind::Gap, vec![0, 1, 3, 4]),
        (StreamFaultKind::Cross, vec![0, 1, 2, 3, 4]),
    ];

    for (kind, expected) in cases {
        let engine = Engine::start(FAST);
        let request = request(1, "report #tokens=5");
        engine.fault(&stream_fault(kind, 2));

        let events = generate(&engine, &request);

        let tokens = events.len() - 1;
        assert_eq!(indexes(&events, &request), expected, "{kind:?}");
        assert_eq!(tokens > expected.len(), kind == StreamFaultKind::Cross);
    }
}

#[test]
fn a_stalled_link_stops_while_the_generation_goes_on() {
    let engine = Engine::start(FAST);
    let request = request(1, "report #tokens=20");
    let address = engine.address.clone();
    let stalled = request.clone();

    engine.fault(&stream_fault(StreamFaultKind::Stall { ms: 3_600_000 }, 5));
    std::thread::spawn(move || {
        let url = format!("http://{address}/v1/generations");
        // The engine ends before this stream does.
        let _ = http_agent().post(&url).send_json(stalled).map(events);
    });

    assert!(wait_until(BOUND, || engine.counters().completed == 1));
    let resumed = resume(&engine, request.attempt, 5);
    assert_eq!(indexes(&resumed, &request), Vec::from_iter(5..20));
}

#[test]
fn a_cancelled_generation_ends_and_frees_the_engine() {
    let engine = Engine::start(FAST);
    let request = request(1, "report #tokens=9000 #key=long");
    let url = format!("http://{}/v1/generations", engine.address);
    let answer = http_agent().post(&url).send_json(&request).unwrap();

    let cancel = format!("{url}/{}", request.attempt);
    http_agent().delete(&cancel).call().unwrap();

    let events = events(answer);
    assert!(matches!(events.last(), Some(EngineEvent::Failed { .. })));
    assert_eq!(engine.counters().keys["long"].cancelled, 1);
    assert_eq!(engine.counters().running, 0);
}

#[test]
fn refused_and_cut_attempts_do_not_run() {
    let engine = Engine::start(FAST);
    let url = format!("http://{}/v1/generations", engine.address);
    let reason = EngineRefusalReason::QueueFull;

    engine.fault(&EngineFault::Refuse { count: 1, reason });
    engine.fault(&EngineFault::ResetOnAccept { count: 1 });
    let cut = http_agent().post(&url).send_json(request(1, "a"));
    let refused = http_agent().post(&url).send_json(request(2, "b")).unwrap();

    assert!(cut.is_err());
    assert_eq!(refused.status(), 429);
    assert_eq!(engine.counters().started, 0);
}

#[test]
fn a_leaving_engine_refuses_and_reports_it() {
    let engine = Engine::start(FAST);

    engine.fault(&EngineFault::Leave);

    let status = post_json(&engine.address, "/v1/generations", &request(1, "a"));
    let report: LoadReport = get_json(&engine.address, "/v1/load");
    assert_eq!(status, 503);
    assert!(report.leaving);
}

#[test]
fn engines_that_die_or_are_reclaimed_exit() {
    for fault in [EngineFault::Die, EngineFault::Reclaim { notice_ms: 50 }] {
        let mut engine = Engine::start(FAST);

        engine.fault(&fault);

        let status = engine.program.wait_exit(BOUND).and_then(|s| s.code());
        assert_eq!(status, Some(DIED_STATUS), "{fault:?}");
    }
}

#[test]
fn an_order_changes_the_model_and_old_fences_are_refused() {
    let engine = Engine::start(&["--model", "inspection@1", "--order-load-ms", "20"]);
    let order = |fence| Order {
        fence,
        model: "inspection@2".to_owned(),
        adapters: Vec::new(),
        role: Role::Serve,
    };

    let newer = post_json(&engine.address, "/v1/orders", &order(7));
    let older = post_json(&engine.address, "/v1/orders", &order(6));

    assert_eq!((newer, older), (200, 409));
    assert!(wait_until(BOUND, || {
        let state: OrderState = get_json(&engine.address, "/v1/orders");
        state.model == "inspection@2" && !state.loading
    }));
    let status = post_json(&engine.address, "/v1/generations", &request(1, "a"));
    assert_eq!(status, 409);
}
