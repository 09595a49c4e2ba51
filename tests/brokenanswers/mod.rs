//! Answers of upstreams that end within their head, and bytes without end that are no answer.

use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;

use crate::gatewayworld::Answer;
use crate::gatewayworld::Behaviour;
use crate::gatewayworld::ConnectionEnd;
use crate::gatewayworld::Cut;
use crate::gatewayworld::FakeUpstream;
use crate::gatewayworld::Pace;
use crate::gatewayworld::World;
use crate::gatewayworld::ask;
use crate::gatewayworld::route;
use crate::gatewayworld::route_to;
use crate::gatewayworld::table;
use crate::gatewayworld::wait_until;
use crate::get;
use crate::post;

const BODY: &str = "sound";
const ENDS: [ConnectionEnd; 2] = [ConnectionEnd::Closed, ConnectionEnd::Reset];
/// Hosts of which one is cut off from its upstreams.
const HOSTS: usize = 3;
/// The connection to an upstream that sends no answer is closed within this time of its first byte.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Added for a busy machine.
const SLACK: Duration = Duration::from_millis(700);

/// Bytes that never become an answer: what they begin with, and what follows again and again.
const ENDLESS_FORMS: [(&str, &str); 7] = [
    ("", "x"),
    ("HTTP/1.1 200 X\r\nrequest-id: {id}\r\na: ", "x"),
    ("HTTP/1.1 200 X\r\nrequest-id: {id}\r\n", "a: b\r\n"),
    (CHUNKED, "0"),
    (CHUNKED_SIZE, "x"),
    (CHUNKED_LAST, "a: b\r\n"),
    (UNFRAMED, "x"),
];
const CHUNKED: &str = "HTTP/1.1 200 X\r\nrequest-id: {id}\r\ntransfer-encoding: chunked\r\n\r\n";
const CHUNKED_SIZE: &str =
    "HTTP/1.1 200 X\r\nrequest-id: {id}\r\ntransfer-encoding: chunked\r\n\r\n5;";
const CHUNKED_LAST: &str =
    "HTTP/1.1 200 X\r\nrequest-id: {id}\r\ntransfer-encoding: chunked\r\n\r\n0\r\n";
const UNFRAMED: &str = "HTTP/1.1 200 X\r\nrequest-id: {id}\r\n\r\n";

fn sound() -> Behaviour {
    Behaviour::Answer(200, BODY)
}

fn endless((begin, repeated): (&'static str, &'static str), pace: Pace) -> Behaviour {
    Behaviour::Endless {
        begin,
        repeated,
        pace,
    }
}

fn host_with(kind: &str, upstreams: &[&FakeUpstream]) -> World {
    World::serving(json!([route(kind)]), upstreams)
}

/// Hosts that know each other, of which the first is cut off from its upstreams, and one route.
fn start_cut_off(route: Value, upstreams: &[FakeUpstream]) -> Vec<World> {
    let hosts = World::start_fleet(HOSTS);
    hosts.iter().for_each(|host| host.links.prepare_cuts());
    for upstream in upstreams {
        hosts[0].list(upstream, "ready");
    }
    let log = &hosts[0].log;
    log.put("operator", "table", &table(1, json!([route])));
    assert!(wait_until(|| hosts.iter().all(World::is_ready)));
    assert!(wait_until(
        || hosts[0].lines.of("PeerJoined").len() == HOSTS - 1
    ));
    hosts[0].links.cut(Cut::Reset);
    assert!(wait_until(|| ask_call(&hosts[0]).status == 200));
    hosts
}

fn ask_call(host: &World) -> Answer {
    ask(host.callers(), &get("/nets/7", ""))
}

/// Whether the caller was told of a failure, in whole.
fn is_failure(answer: &Answer) -> bool {
    answer.whole && answer.status == 502
}

// Guards against a success that isn't whole: an upstream closed in the middle of its answer's head.
#[test]
fn a_call_whose_answer_is_cut_at_any_byte_fails_and_runs_once() {
    for end in ENDS {
        let upstream = FakeUpstream::start("up-0", &[sound()]);
        let host = host_with("once", &[&upstream]);
        for bytes in 0..upstream.answer_bytes("r-1", BODY) {
            let body = BODY;
            upstream.behave_as(Behaviour::CutAnswer { bytes, body, end });
            let seen_before = upstream.seen().len();

            let answer = ask_call(&host);

            assert!(is_failure(&answer), "{end:?} after {bytes}: {answer:?}");
            assert_eq!(upstream.seen().len() - seen_before, 1, "{end:?} {bytes}");
        }
    }
}

// Guards against the same on a kept connection, after a whole answer.
#[test]
fn a_call_whose_answer_is_cut_on_a_kept_connection_gets_that_of_another_try() {
    for end in ENDS {
        let [first, second] = ["up-0", "up-1"].map(|id| FakeUpstream::start(id, &[sound()]));
        let host = host_with("idempotent", &[&first, &second]);
        for bytes in (0..first.answer_bytes("r-1", BODY)).step_by(3) {
            let body = BODY;
            first.behave_as(sound());
            assert_eq!(ask_call(&host).status, 200);
            first.behave_as(Behaviour::CutAnswer { bytes, body, end });

            let answers = [1, 2].map(|_| ask_call(&host));

            for answer in answers {
                assert_eq!(answer.text(), BODY, "{end:?} after {bytes}: {answer:?}");
                assert!(answer.whole && answer.status == 200);
            }
        }
    }
}

// Guards against the same through another host.
#[test]
fn a_carried_call_whose_answer_is_cut_fails() {
    let upstream = FakeUpstream::start("up-0", &[sound()]);
    let hosts = start_cut_off(route("once"), std::slice::from_ref(&upstream));
    for end in ENDS {
        for bytes in (0..upstream.answer_bytes("r-1", BODY)).step_by(5) {
            let body = BODY;
            upstream.behave_as(Behaviour::CutAnswer { bytes, body, end });
            let seen_before = upstream.seen().len();

            let answer = ask_call(&hosts[0]);

            assert!(answer.status != 200, "{end:?} after {bytes}: {answer:?}");
            assert!(upstream.seen().len() - seen_before <= 1);
        }
    }
}

// Guards against a stream that looks begun though its head was cut.
#[test]
fn a_stream_whose_head_is_cut_fails() {
    let engine = FakeUpstream::of("reports", "engine", &[sound()]);
    let host = World::serving(json!([route_to("stream", "reports")]), &[&engine]);
    let head_bytes = engine.answer_bytes("r-1", "");
    for end in ENDS {
        for bytes in 0..head_bytes {
            let body = "";
            engine.behave_as(Behaviour::CutAnswer { bytes, body, end });

            let answer = ask(host.callers(), &post("/nets/7", "tokens: 40\r\n", "report"));

            let is_success = answer.status == 200 && answer.whole;
            assert!(!is_success, "{end:?} after {bytes}: {answer:?}");
        }
    }
}

/// The forms that a host played wrong to a call that may run once.
fn played_wrong(host: &World, upstream: &FakeUpstream, pace: Pace) -> Vec<String> {
    let mut wrong = Vec::new();
    for form in ENDLESS_FORMS {
        // Nothing tells a slow body that ends with its connection from one without end.
        if pace == Pace::Slow && form.0 == UNFRAMED {
            continue;
        }
        let closed = upstream.closed_by_gateway();
        upstream.behave_as(endless(form, pace));
        let began = Instant::now();

        let answer = ask_call(host);
        wait_until(|| upstream.closed_by_gateway() > closed);

        let (is_closed, took) = (upstream.closed_by_gateway() > closed, began.elapsed());
        if answer.status == 200 || !is_closed || took > CONTACT_TIME + SLACK {
            let status = answer.status;
            wrong.push(format!(
                "{form:?}: status {status}, closed {is_closed} after {took:?}"
            ));
        }
    }
    wrong
}

// Guards against upstreams that hold a request, a connection and memory with bytes that are no answer.
#[test]
fn bytes_without_end_that_are_no_answer_are_cut_off() {
    for pace in [Pace::Fast, Pace::Slow] {
        let upstream = FakeUpstream::start("up-0", &[sound()]);
        let mut route = route("once");
        route["timeout_ms"] = json!(9_000);
        let host = World::serving(json!([route]), &[&upstream]);

        let wrong = played_wrong(&host, &upstream, pace);

        assert_eq!(wrong, Vec::<String>::new(), "{pace:?}");
    }
}

// Guards against the same through another host.
#[test]
fn bytes_without_end_are_cut_off_on_carried_connections() {
    for form in [ENDLESS_FORMS[1], ENDLESS_FORMS[3], ENDLESS_FORMS[6]] {
        let upstream = FakeUpstream::start("up-0", &[sound()]);
        let mut route = route("once");
        route["timeout_ms"] = json!(9_000);
        let hosts = start_cut_off(route, std::slice::from_ref(&upstream));
        let closed = upstream.closed_by_gateway();
        upstream.behave_as(endless(form, Pace::Fast));
        let began = Instant::now();

        let answer = ask_call(&hosts[0]);

        assert!(is_failure(&answer), "{form:?}: {answer:?}");
        assert!(wait_until(|| upstream.closed_by_gateway() > closed));
        assert!(began.elapsed() < CONTACT_TIME + SLACK, "{form:?}");
    }
}

// Guards against bytes behind a whole answer that reach a caller, or keep the connection open.
#[test]
fn bytes_without_end_behind_a_whole_answer_reach_nobody() {
    let behind = "HTTP/1.1 200 X\r\nrequest-id: {id}\r\ncontent-length: 5\r\n\r\nsound";
    let upstream = FakeUpstream::start("up-0", &[endless((behind, "x"), Pace::Fast)]);
    for kind in ["once", "idempotent"] {
        let host = host_with(kind, &[&upstream]);
        let closed = upstream.closed_by_gateway();

        let answers = [1, 2, 3].map(|_| ask_call(&host));

        for answer in answers {
            assert_eq!((answer.status, answer.text().as_str()), (200, BODY));
        }
        assert!(wait_until(|| upstream.closed_by_gateway() >= closed + 3));
    }
}
