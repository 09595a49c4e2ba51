//! The gateway between raw callers and upstreams that misbehave, without any platform.

mod brittleupstreams;
mod brokenanswers;
mod coldupstreams;
mod crashingparts;
mod crashingrequests;
mod crowdedhost;
mod cutofflinks;
mod departedupstreams;
mod evacuation;
mod failingupstreams;
mod framing;
#[allow(dead_code, reason = "tests/slowreaders uses the rest")]
mod gatewayworld;
mod instances;
mod largedocuments;
mod leavinganswers;
mod logreturns;
mod orderedmoves;
mod regions;
mod retrybudget;
mod rollouts;
mod sharedqueue;
mod silentlog;
mod stoppinghost;
mod suspendedhost;
mod upstreamlimits;
mod upstreamrest;
mod upstreamspeeds;

use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;

use crate::gatewayworld::Answer;
use crate::gatewayworld::Behaviour;
use crate::gatewayworld::Caller;
use crate::gatewayworld::FakeUpstream;
use crate::gatewayworld::World;
use crate::gatewayworld::ask;
use crate::gatewayworld::route;
use crate::gatewayworld::route_to;
use crate::gatewayworld::table;
use crate::gatewayworld::wait_until;

/// A caller that closes reaches its upstream within this time.
const LEAVING_BOUND: Duration = Duration::from_millis(500);

fn get(path: &str, headers: &str) -> String {
    format!(
        "GET {path} HTTP/1.1\r\nhost: a.example\r\nauthorization: Key key-1\r\nrequest-id: r-1\r\n{headers}\r\n"
    )
}

fn post(path: &str, headers: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "POST {path} HTTP/1.1\r\nhost: a.example\r\nauthorization: Key key-1\r\nrequest-id: r-1\r\ncontent-length: {length}\r\n{headers}\r\n{body}"
    )
}

/// A host with one route of `kind` to upstreams that behave like this.
fn world(kind: &str, behaviours: &[&[Behaviour]]) -> (World, Vec<FakeUpstream>) {
    let upstreams: Vec<FakeUpstream> = behaviours
        .iter()
        .enumerate()
        .map(|(index, behaviours)| FakeUpstream::start(&format!("up-{index}"), behaviours))
        .collect();
    let listed: Vec<&FakeUpstream> = upstreams.iter().collect();
    (World::serving(json!([route(kind)]), &listed), upstreams)
}

fn code(answer: &Answer) -> String {
    let body: Value = serde_json::from_slice(&answer.body).unwrap_or_default();
    body["error"]["code"].as_str().unwrap_or("").to_owned()
}

fn ran(answer: &Answer) -> String {
    let body: Value = serde_json::from_slice(&answer.body).unwrap_or_default();
    body["error"]["ran"].as_str().unwrap_or("").to_owned()
}

fn sum_seen(upstreams: &[FakeUpstream]) -> usize {
    upstreams.iter().map(|upstream| upstream.seen().len()).sum()
}

#[test]
fn a_request_is_passed_on_unchanged_with_the_gateways_own_headers() {
    let (world, upstreams) = world("once", &[&[Behaviour::Answer(200, "sound")]]);
    let headers = "deadline-ms: 3000\r\ncustomer: somebody\r\ninstance: x\r\nreserved: x\r\ncontinue-from: x\r\nx-own: 7\r\nconnection: x-hop\r\nx-hop: 1\r\n";

    let answer = ask(
        world.callers(),
        &post("/nets/7%20a?b=%2F&c", headers, "tighten"),
    );

    let seen = &upstreams[0].seen()[0];
    assert_eq!((answer.status, answer.text().as_str()), (200, "sound"));
    assert_eq!(answer.header("signature"), Some("up-0-r-1"));
    assert_eq!(seen.line(), "POST /nets/7%20a?b=%2F&c");
    assert_eq!(seen.body, b"tighten");
    assert_eq!(seen.header("request-id"), Some("r-1"));
    assert_eq!(seen.header("host"), Some("a.example"));
    assert_eq!(seen.header("x-own"), Some("7"));
    assert_eq!(seen.header("customer"), Some("canton"));
    assert_eq!(seen.header("instance"), Some("up-0"));
    for absent in ["authorization", "reserved", "continue-from", "x-hop"] {
        assert_eq!(seen.header(absent), None, "{absent}");
    }
    let left_ms: u64 = seen.header("deadline-ms").unwrap().parse().unwrap();
    assert!((1..=3_000).contains(&left_ms), "{left_ms}");
}

#[test]
fn the_routes_timeout_bounds_the_callers_deadline() {
    let (world, upstreams) = world("once", &[&[Behaviour::Answer(200, "sound")]]);

    ask(world.callers(), &get("/nets/7", "deadline-ms: 90000\r\n"));

    let seen = &upstreams[0].seen()[0];
    let left_ms: u64 = seen.header("deadline-ms").unwrap().parse().unwrap();
    assert!(left_ms <= 4_000, "{left_ms}");
}

// A deadline of 1e300 ms ended the handling of its request with a panic, and the caller saw its
// connection close.
#[test]
fn a_deadline_past_all_bounds_is_as_good_as_none() {
    let (world, upstreams) = world("once", &[&[Behaviour::Answer(200, "sound")]]);

    let answer = ask(world.callers(), &get("/nets/7", "deadline-ms: 1e300\r\n"));

    assert_eq!((answer.status, upstreams[0].seen().len()), (200, 1));
}

#[test]
fn a_host_without_configuration_is_not_ready_and_denies_nothing() {
    let world = World::start();

    let answer = ask(world.callers(), &get("/nets/7", ""));

    assert!(!world.is_ready());
    assert_eq!((answer.status, ran(&answer).as_str()), (503, "no"));
    assert!(answer.header("retry-after").is_some());
}

/// An odd listing named a host as an upstream, and callers of the host that sent there got its 401.
#[test]
fn a_request_that_another_host_sent_here_as_to_an_upstream_was_not_run() {
    let (world, upstreams) = world("once", &[&[Behaviour::Answer(200, "sound")]]);
    let of_host = "GET /nets/7 HTTP/1.1\r\nhost: a.example\r\ninstance: up-9\r\n\r\n";

    let answer = ask(world.callers(), of_host);

    assert_eq!(answer.status, 421);
    assert_eq!(answer.header("not-run"), Some("1"));
    assert!(upstreams[0].seen().is_empty());
}

#[test]
fn unknown_keys_and_routes_are_denied_while_the_configuration_is_fresh() {
    let (world, upstreams) = world("once", &[&[Behaviour::Answer(200, "sound")]]);
    let no_key = "GET /nets/7 HTTP/1.1\r\nhost: a.example\r\n\r\n";

    let unauthorized = ask(world.callers(), no_key);
    let unrouted = ask(world.callers(), &get("/rakes/7", ""));

    assert_eq!(unauthorized.status, 401);
    assert_eq!(unrouted.status, 404);
    assert_eq!(sum_seen(&upstreams), 0);
}

#[test]
fn a_host_that_cannot_read_the_log_serves_but_does_not_deny() {
    let (world, _upstreams) = world("once", &[&[Behaviour::Answer(200, "sound")]]);
    world.log.set_down(true);

    let denied = wait_until(|| ask(world.callers(), &get("/rakes/7", "")).status == 503);
    let served = ask(world.callers(), &get("/nets/7", ""));

    assert!(denied);
    assert_eq!(served.status, 200);
}

#[test]
fn a_newer_version_is_in_force_at_once_and_an_older_one_never() {
    let (world, _upstreams) = world("once", &[&[Behaviour::Answer(200, "sound")]]);
    let closed = table(9, json!([]));
    let opened = table(4, json!([route("once")]));

    world.log.put("operator", "table", &closed);
    let closed = wait_until(|| ask(world.callers(), &get("/nets/7", "")).status == 404);
    world.log.put("operator", "table", &opened);
    world.log.put(
        "operator",
        "table",
        &table(10, json!([route("idempotent")])),
    );
    let opened = wait_until(|| ask(world.callers(), &get("/nets/7", "")).status == 200);

    assert!(closed && opened);
}

#[test]
fn a_log_that_forgot_its_history_is_read_anew() {
    let (world, _upstreams) = world("once", &[&[Behaviour::Answer(200, "sound")]]);
    world.log.set_down(true);
    let away = wait_until(|| ask(world.callers(), &get("/rakes/7", "")).status == 503);
    for version in 2..20 {
        world
            .log
            .put("operator", "table", &table(version, json!([])));
    }
    world.log.truncate("operator");

    world.log.set_down(false);
    let closed = wait_until(|| ask(world.callers(), &get("/nets/7", "")).status == 404);

    assert!(away && closed);
    assert!(world.log.truncated_reads() > 0);
}

#[test]
fn a_leaving_upstream_gets_no_new_work() {
    let (world, upstreams) = world(
        "once",
        &[
            &[Behaviour::Answer(200, "0")],
            &[Behaviour::Answer(200, "1")],
        ],
    );

    world.list(&upstreams[0], "leaving");
    let moved = wait_until(|| {
        let before = upstreams[0].seen().len();
        let answers = (0..20).map(|_| ask(world.callers(), &get("/nets/7", "")).status);
        let all_served = answers.filter(|status| *status == 200).count() == 20;
        all_served && upstreams[0].seen().len() == before
    });

    assert!(moved);
}

#[test]
fn a_refusal_by_an_upstream_goes_to_another_one() {
    let (world, upstreams) = world(
        "once",
        &[&[Behaviour::NotRun], &[Behaviour::Answer(200, "1")]],
    );

    let statuses: Vec<u16> = (0..6)
        .map(|_| ask(world.callers(), &get("/nets/7", "")).status)
        .collect();

    assert_eq!(statuses, [200; 6]);
    assert_eq!(upstreams[1].seen().len(), 6);
}

#[test]
fn refused_by_all_it_did_not_run_and_says_when_to_return() {
    let (world, _upstreams) = world("once", &[&[Behaviour::NotRun], &[Behaviour::NotRun]]);

    let answer = ask(world.callers(), &get("/nets/7", ""));

    assert_eq!((answer.status, ran(&answer).as_str()), (503, "no"));
    let seconds: f64 = answer.header("retry-after").unwrap().parse().unwrap();
    assert!(seconds > 0.0 && seconds < 1.0, "{seconds}");
    assert_eq!(answer.header("signature"), None);
}

#[test]
fn another_instance_at_an_address_ends_the_expected_one() {
    let (world, upstreams) = world(
        "once",
        &[&[Behaviour::OtherInstance], &[Behaviour::Answer(200, "1")]],
    );

    let statuses: Vec<u16> = (0..20)
        .map(|_| ask(world.callers(), &get("/nets/7", "")).status)
        .collect();

    assert_eq!(statuses, [200; 20]);
    assert!(upstreams[0].seen().len() <= 1, "asked again");
}

#[test]
fn an_upstream_that_cannot_be_connected_to_costs_no_request() {
    let absent = FakeUpstream::absent("up-absent");
    let present = FakeUpstream::start("up-0", &[Behaviour::Answer(200, "sound")]);
    let world = World::serving(json!([route("once")]), &[&absent, &present]);

    let statuses: Vec<u16> = (0..20)
        .map(|_| ask(world.callers(), &get("/nets/7", "")).status)
        .collect();

    assert_eq!(statuses, [200; 20]);
}

#[test]
fn a_crowd_of_upstreams_that_went_at_once_costs_no_request() {
    let absent: Vec<FakeUpstream> = (0..12)
        .map(|index| FakeUpstream::absent(&format!("up-absent-{index}")))
        .collect();
    let present = FakeUpstream::start("up-0", &[Behaviour::Answer(200, "sound")]);
    let mut all: Vec<&FakeUpstream> = absent.iter().collect();
    all.push(&present);
    let world = World::serving(json!([route("once")]), &all);

    let statuses: Vec<u16> = (0..5)
        .map(|_| ask(world.callers(), &get("/nets/7", "")).status)
        .collect();

    assert_eq!(statuses, [200; 5]);
}

#[test]
fn what_runs_once_is_never_sent_again_after_it_may_have_run() {
    for behaviour in [
        Behaviour::Close,
        Behaviour::CutBody,
        Behaviour::AnswerOfAnother("x"),
        Behaviour::Answer(503, "busy"),
    ] {
        let all: &[Behaviour] = std::slice::from_ref(&behaviour);
        let (world, upstreams) = world("once", &[all, all]);

        let answer = ask(world.callers(), &post("/nets/7", "", "tighten"));

        assert_eq!(answer.status, 502, "{behaviour:?}");
        assert_eq!(ran(&answer), "unknown", "{behaviour:?}");
        assert_eq!(answer.header("signature"), None, "{behaviour:?}");
        assert_eq!(sum_seen(&upstreams), 1, "{behaviour:?}");
    }
}

#[test]
fn what_may_run_again_is_sent_to_another_upstream() {
    for behaviour in [
        Behaviour::Close,
        Behaviour::CutBody,
        Behaviour::AnswerOfAnother("x"),
        Behaviour::Answer(500, "failed"),
        Behaviour::Mute,
    ] {
        let bad: &[Behaviour] = std::slice::from_ref(&behaviour);
        let (world, _upstreams) = world("idempotent", &[bad, &[Behaviour::Answer(200, "sound")]]);

        let answers: Vec<String> = (0..3)
            .map(|_| ask(world.callers(), &get("/nets/7", "")).text())
            .collect();

        assert_eq!(answers, ["sound"; 3], "{behaviour:?}");
    }
}

#[test]
fn an_upstreams_failure_is_passed_on_where_no_other_attempt_can_be_made() {
    let absent = FakeUpstream::absent("up-absent");
    let failing = FakeUpstream::start("up-0", &[Behaviour::Answer(500, "failed")]);
    let world = World::serving(json!([route("idempotent")]), &[&absent, &failing]);

    let answers: Vec<(u16, String)> = (0..4)
        .map(|_| ask(world.callers(), &get("/nets/7", "")))
        .map(|answer| (answer.status, answer.text()))
        .collect();

    assert_eq!(answers, vec![(500, "failed".to_owned()); 4]);
}

#[test]
fn an_upstreams_own_failure_is_passed_on_with_its_signature() {
    let (world, _upstreams) = world("once", &[&[Behaviour::Answer(500, "failed")]]);

    let answer = ask(world.callers(), &get("/nets/7", ""));

    assert_eq!((answer.status, answer.text().as_str()), (500, "failed"));
    assert_eq!(answer.header("signature"), Some("up-0-r-1"));
}

#[test]
fn bytes_behind_an_answer_reach_nobody() {
    let (world, upstreams) = world(
        "idempotent",
        &[&[Behaviour::Extra("first"), Behaviour::Answer(200, "second")]],
    );
    let mut caller = Caller::connect(world.callers());

    caller.send(get("/nets/1", ""));
    let first = caller.read();
    caller.send(get("/nets/2", "").replace("r-1", "r-2"));
    let second = caller.read();

    assert_eq!(first.text(), "first");
    assert_eq!(second.text(), "second");
    let connections: Vec<usize> = upstreams[0].seen().iter().map(|s| s.connection).collect();
    assert_ne!(
        connections[0], connections[1],
        "the connection was used again"
    );
}

#[test]
fn a_body_without_a_length_is_whole_when_its_connection_ends() {
    let (world, _upstreams) = world("once", &[&[Behaviour::Unframed("to the end")]]);

    let answer = ask(world.callers(), &get("/nets/7", ""));

    assert_eq!((answer.status, answer.text().as_str()), (200, "to the end"));
    assert!(answer.whole);
}

#[test]
fn an_early_answer_is_passed_on_and_the_body_is_still_its_own() {
    let (world, upstreams) = world("once", &[&[Behaviour::Early("enough")]]);
    let body = "x".repeat(60_000);

    let answer = ask(world.callers(), &post("/nets/7", "", &body));
    let read = wait_until(|| upstreams[0].seen().len() == 1);

    assert_eq!(answer.text(), "enough");
    if read && upstreams[0].seen()[0].body.len() == body.len() {
        assert_eq!(upstreams[0].seen()[0].body, body.as_bytes());
    }
}

#[test]
fn what_runs_once_gets_a_connection_of_its_own() {
    let (world, upstreams) = world("once", &[&[Behaviour::Answer(200, "sound")]]);
    let mut caller = Caller::connect(world.callers());

    for _ in 0..3 {
        caller.send(get("/nets/7", ""));
        caller.read();
    }

    let connections: Vec<usize> = upstreams[0].seen().iter().map(|s| s.connection).collect();
    assert_eq!(connections, [1, 2, 3]);
}

#[test]
fn a_caller_who_leaves_frees_its_upstream() {
    for kind in ["once", "idempotent"] {
        let (world, upstreams) = world(kind, &[&[Behaviour::Mute]]);
        let mut caller = Caller::connect(world.callers());
        caller.send(get("/nets/7", ""));
        assert!(wait_until(|| sum_seen(&upstreams) == 1));

        let left = Instant::now();
        drop(caller);
        let freed = wait_until(|| upstreams[0].closed_by_gateway() == 1);

        assert!(freed && left.elapsed() < LEAVING_BOUND, "{kind}");
    }
}

#[test]
fn a_request_without_time_left_is_not_sent() {
    let (world, upstreams) = world("once", &[&[Behaviour::Answer(200, "sound")]]);

    let answer = ask(world.callers(), &get("/nets/7", "deadline-ms: 0\r\n"));

    assert_eq!((answer.status, ran(&answer).as_str()), (503, "no"));
    assert_eq!(sum_seen(&upstreams), 0);
}

#[test]
fn a_silent_upstream_ends_in_a_failure_at_the_deadline() {
    let (world, _upstreams) = world("once", &[&[Behaviour::Mute]]);
    let asked = Instant::now();

    let answer = ask(world.callers(), &get("/nets/7", "deadline-ms: 300\r\n"));

    assert_eq!(
        (answer.status, code(&answer).as_str()),
        (504, "deadline_exceeded")
    );
    assert!(asked.elapsed() < Duration::from_millis(800));
}

#[test]
fn requests_whose_length_is_in_doubt_reach_no_upstream() {
    let (world, upstreams) = world("once", &[&[Behaviour::Answer(200, "sound")]]);
    let hidden = "GET /nets/hidden HTTP/1.1\r\nhost: a.example\r\nauthorization: Key key-1\r\n\r\n";
    let two_lengths = format!(
        "POST /nets/7 HTTP/1.1\r\nhost: a.example\r\nauthorization: Key key-1\r\ncontent-length: 0\r\ncontent-length: {}\r\n\r\n{hidden}",
        hidden.len()
    );

    let answer = ask(world.callers(), &two_lengths);

    assert_eq!(answer.status, 400);
    assert_eq!(sum_seen(&upstreams), 0);
}

#[test]
fn a_request_within_a_body_stays_a_body() {
    let (world, upstreams) = world("once", &[&[Behaviour::Answer(200, "sound")]]);
    let hidden = "GET /nets/hidden HTTP/1.1\r\nhost: a.example\r\n\r\n";
    let chunked = format!(
        "POST /nets/7 HTTP/1.1\r\nhost: a.example\r\nauthorization: Key key-1\r\ntransfer-encoding: chunked\r\n\r\n{:x}\r\n{hidden}\r\n0\r\n\r\n",
        hidden.len()
    );

    let answer = ask(world.callers(), &chunked);

    let seen = upstreams[0].seen();
    assert_eq!(answer.status, 200);
    assert_eq!(seen.len(), 1);
    assert_eq!(seen[0].body, hidden.as_bytes());
    assert_eq!(seen[0].header("transfer-encoding"), None);
}

#[test]
fn a_length_beside_chunks_or_a_bare_line_feed_smuggles_nothing() {
    let hidden = "GET /nets/hidden HTTP/1.1\r\nhost: a.example\r\nauthorization: Key key-1\r\n\r\n";
    let chunks = format!("{:x}\r\n{hidden}\r\n0\r\n\r\n", hidden.len());
    let head = "POST /nets/7 HTTP/1.1\r\nhost: a.example\r\nauthorization: Key key-1\r\n";
    for request in [
        format!("{head}content-length: 4\r\ntransfer-encoding: chunked\r\n\r\n{chunks}"),
        format!("{head}transfer-encoding: chunked\r\ncontent-length: 4\r\n\r\n{chunks}"),
        format!(
            "{head}x-bare: 1\ncontent-length: {}\r\n\r\n{hidden}",
            hidden.len()
        ),
    ] {
        let (world, upstreams) = world("once", &[&[Behaviour::Answer(200, "sound")]]);

        let answer = ask(world.callers(), &request);

        let seen = upstreams[0].seen();
        assert!(matches!(answer.status, 200 | 400), "{request}");
        assert!(seen.len() <= 1, "{request}");
        assert!(seen.iter().all(|seen| seen.line() == "POST /nets/7"));
        assert!(seen.iter().all(|seen| seen.body == hidden.as_bytes()));
    }
}

#[test]
fn a_body_over_the_limit_is_refused() {
    let (world, upstreams) = world("once", &[&[Behaviour::Answer(200, "sound")]]);

    let answer = ask(world.callers(), &post("/nets/7", "", &"x".repeat(100_001)));

    assert_eq!(answer.status, 413);
    assert_eq!(sum_seen(&upstreams), 0);
}

#[test]
fn headers_over_the_limit_are_refused() {
    let (world, upstreams) = world("once", &[&[Behaviour::Answer(200, "sound")]]);
    let long = format!("x-long: {}\r\n", "x".repeat(16_384));
    let fitting = format!("x-long: {}\r\n", "x".repeat(16_000));

    let refused = ask(world.callers(), &get("/nets/7", &long));
    let served = ask(world.callers(), &get("/nets/7", &fitting));

    assert_eq!((refused.status, served.status), (413, 200));
    assert_eq!(sum_seen(&upstreams), 1);
}

fn events(to: u64) -> Behaviour {
    Behaviour::Events {
        to,
        break_after: None,
        hold_after: None,
    }
}

/// Engines of one service, each with one behaviour, behind a route of streams.
fn engines(behaviours: &[Behaviour]) -> (World, Vec<FakeUpstream>) {
    let engines: Vec<FakeUpstream> = behaviours
        .iter()
        .enumerate()
        .map(|(index, behaviour)| {
            let behaviours = std::slice::from_ref(behaviour);
            FakeUpstream::of("reports", &format!("engine-{index}"), behaviours)
        })
        .collect();
    let listed: Vec<&FakeUpstream> = engines.iter().collect();
    let world = World::serving(json!([route_to("stream", "reports")]), &listed);
    (world, engines)
}

fn ids(text: &str) -> Vec<u64> {
    text.lines()
        .filter_map(|line| line.strip_prefix("id: "))
        .map(|id| id.parse().expect("a number"))
        .collect()
}

#[test]
fn a_stream_is_relayed_event_by_event_to_its_end() {
    let (world, _engines) = engines(&[events(40)]);

    let answer = ask(
        world.callers(),
        &post("/nets/7", "tokens: 40\r\n", "report"),
    );

    assert_eq!(answer.status, 200);
    assert!(answer.whole);
    assert_eq!(ids(&answer.text()), (1..=40).collect::<Vec<u64>>());
}

#[test]
fn a_stream_that_breaks_looks_broken_and_is_not_run_again() {
    let broken = Behaviour::Events {
        to: 40,
        break_after: Some(7),
        hold_after: None,
    };
    let (world, engines) = engines(&[broken.clone(), broken]);

    let answer = ask(
        world.callers(),
        &post("/nets/7", "tokens: 40\r\n", "report"),
    );

    assert!(!answer.whole);
    assert_eq!(ids(&answer.text()), (1..=7).collect::<Vec<u64>>());
    assert_eq!(sum_seen(&engines), 1);
}

#[test]
fn a_run_moves_off_a_leaving_engine_without_losing_or_repeating_an_event() {
    let held = Behaviour::Events {
        to: 40,
        break_after: None,
        hold_after: Some(7),
    };
    let (world, engines) = engines(&[held]);
    let mut caller = Caller::connect(world.callers());
    caller.send(post("/nets/7", "tokens: 40\r\n", "report"));
    assert!(caller.read_until("id: 7\n"));
    let other = FakeUpstream::of("reports", "engine-9", &[events(40)]);
    world.list(&other, "ready");

    world.list(&engines[0], "leaving");
    let answer = caller.read();

    assert!(answer.whole);
    assert_eq!(ids(&answer.text()), (1..=40).collect::<Vec<u64>>());
    assert_eq!(engines[0].stopped(), ["r-1"]);
    let continued = &other.seen()[0];
    assert_eq!(continued.header("last-event-id"), Some("7"));
    assert!(
        continued
            .header("continue-from")
            .unwrap()
            .ends_with("#copy-of-r-1")
    );
    assert_eq!(continued.header("request-id"), Some("r-1"));
}

#[test]
fn a_run_moves_off_an_engine_that_leaves_while_the_log_is_away() {
    let held = Behaviour::Events {
        to: 40,
        break_after: None,
        hold_after: Some(7),
    };
    let (world, engines) = engines(&[held.clone(), held]);
    let mut caller = Caller::connect(world.callers());
    caller.send(post("/nets/7", "tokens: 40\r\n", "report"));
    assert!(caller.read_until("id: 7\n"));
    world.log.set_down(true);

    let (left, other) = match engines[0].seen().is_empty() {
        true => (&engines[1], &engines[0]),
        false => (&engines[0], &engines[1]),
    };
    left.leave();
    let answer = caller.read();

    assert!(answer.whole);
    assert_eq!(ids(&answer.text()), (1..=40).collect::<Vec<u64>>());
    assert_eq!(left.stopped(), ["r-1"]);
    assert_eq!(other.seen()[0].header("last-event-id"), Some("7"));
}

#[test]
fn a_caller_of_a_stream_who_leaves_frees_the_engine() {
    let held = Behaviour::Events {
        to: 40,
        break_after: None,
        hold_after: Some(3),
    };
    let (world, engines) = engines(&[held]);
    let mut caller = Caller::connect(world.callers());
    caller.send(post("/nets/7", "tokens: 40\r\n", "report"));
    assert!(caller.read_until("id: 3\n"));

    let left = Instant::now();
    drop(caller);
    let freed = wait_until(|| engines[0].closed_by_gateway() == 1);

    assert!(freed && left.elapsed() < LEAVING_BOUND);
}

#[test]
fn a_stopping_host_is_not_ready_finishes_what_runs_and_takes_what_it_can_finish() {
    let (mut world, upstreams) = world(
        "once",
        &[&[Behaviour::Mute, Behaviour::Answer(200, "sound")]],
    );
    let mut first = Caller::connect(world.callers());
    first.send(get("/nets/1", "deadline-ms: 700\r\n"));
    assert!(wait_until(|| sum_seen(&upstreams) == 1));

    world.drain();
    let not_ready = wait_until(|| !world.is_ready());
    let late = ask(world.callers(), &get("/nets/2", ""));
    let first = first.read();
    world.wait_ended();

    assert!(not_ready);
    assert_eq!((late.status, late.text().as_str()), (200, "sound"));
    assert_eq!(late.header("connection"), Some("close"));
    assert_eq!(first.status, 504);
}

#[test]
fn a_stopping_host_refuses_a_generation_that_it_would_have_to_cut() {
    let (mut world, engines) = engines(&[events(40)]);
    world.drain();
    assert!(wait_until(|| !world.is_ready()));

    let long = ask(
        world.callers(),
        &post("/nets/7", "tokens: 4000\r\n", "report"),
    );
    let short = ask(world.callers(), &post("/nets/7", "tokens: 10\r\n", "flag"));

    assert_eq!((long.status, ran(&long).as_str()), (503, "no"));
    assert_eq!(short.status, 200);
    assert_eq!(sum_seen(&engines), 1);
    world.wait_ended();
}

#[test]
fn a_host_at_the_end_of_its_grace_takes_no_further_call() {
    let (mut world, engines) = engines(&[Behaviour::Events {
        to: 40,
        break_after: None,
        hold_after: Some(3),
    }]);
    let plain = FakeUpstream::start("up-0", &[Behaviour::Answer(200, "sound")]);
    world.list(&plain, "ready");
    let routes = json!([route_to("stream", "reports"), {
        "name": "plain", "host": "a.example", "prefix": "/plain/", "kind": "once",
        "timeout_ms": 4000, "objective_ms": 1000, "service": "nets", "attempts": 1}]);
    world.log.put("operator", "table", &table(2, routes));
    assert!(wait_until(|| ask(world.callers(), &get("/plain/1", ""))
        .status
        == 200));
    let mut held = Caller::connect(world.callers());
    held.send(post("/nets/7", "tokens: 40\r\n", "report"));
    assert!(held.read_until("id: 3\n"));

    world.drain();
    let mut taken = 0;
    let refused = wait_until(|| {
        let answer = ask(world.callers(), &get("/plain/1", ""));
        taken += usize::from(answer.status == 200);
        answer.status == 503 && ran(&answer) == "no"
    });
    world.wait_ended();

    assert!(refused && taken > 0, "{taken} calls taken");
    assert_eq!(sum_seen(&engines), 1);
}
