//! Upstreams that turn a request away may ask its host for a time without requests.

use std::time::Duration;
use std::time::Instant;

use serde_json::json;

use crate::gatewayworld::Answer;
use crate::gatewayworld::Behaviour;
use crate::gatewayworld::Caller;
use crate::gatewayworld::FakeUpstream;
use crate::gatewayworld::World;
use crate::gatewayworld::ask;
use crate::gatewayworld::route;
use crate::gatewayworld::route_to;
use crate::gatewayworld::wait_until;
use crate::post;

/// The time that an upstream asks for, in seconds.
const REST: &str = "3";
const REST_TIME: Duration = Duration::from_secs(3);
/// Requests that were on their way arrive within this time.
const ON_THE_WAY: Duration = Duration::from_millis(500);
/// Time for which each part of a run is copied: longer than it takes to ask for rest meanwhile.
const COPY_TIME: Duration = Duration::from_millis(200);
/// Time between two requests to a host.
const REQUEST_INTERVAL: Duration = Duration::from_millis(20);

fn ask_one(host: &World) -> Answer {
    ask(host.callers(), &post("/nets/7", "", "tighten"))
}

/// Asks until an upstream has turned a request away; returns when that was.
fn wait_turned_away(host: &World, upstream: &FakeUpstream) -> Instant {
    let is_asked = || {
        ask_one(host);
        !upstream.seen().is_empty()
    };
    assert!(wait_until(is_asked));
    upstream.seen()[0].at
}

/// Sends requests until `until`.
fn ask_until(host: &World, until: Instant) {
    while Instant::now() < until {
        ask_one(host);
        std::thread::sleep(REQUEST_INTERVAL);
    }
}

/// Requests that reached `upstream` in the rest that it asked for at `asked_at`.
fn requests_in_rest(upstream: &FakeUpstream, asked_at: Instant) -> usize {
    let rest = asked_at + ON_THE_WAY..asked_at + REST_TIME;
    let seen = upstream.seen();
    seen.iter().filter(|seen| rest.contains(&seen.at)).count()
}

// Guards against piled up repeats: hosts went on sending to an upstream that had asked them not to.
#[test]
fn an_upstream_that_asks_for_rest_gets_no_calls_meanwhile() {
    for kind in ["idempotent", "once"] {
        let resting = FakeUpstream::start("up-resting", &[Behaviour::NotRunFor(REST)]);
        let other = FakeUpstream::start("up-other", &[Behaviour::Answer(200, "sound")]);
        let host = World::serving(json!([route(kind)]), &[&resting, &other]);
        let asked_at = wait_turned_away(&host, &resting);

        ask_until(&host, asked_at + REST_TIME);

        assert_eq!(requests_in_rest(&resting, asked_at), 0, "{kind}");
    }
}

// Guards against piled up repeats: streams are sent by another path than calls.
#[test]
fn an_upstream_that_asks_for_rest_gets_no_streams_meanwhile() {
    let resting = FakeUpstream::start("up-resting", &[Behaviour::NotRunFor(REST)]);
    let other = FakeUpstream::start("up-other", &[crate::events(3)]);
    let host = World::serving(json!([route("stream")]), &[&resting, &other]);
    let asked_at = wait_turned_away(&host, &resting);

    ask_until(&host, asked_at + REST_TIME);

    assert_eq!(requests_in_rest(&resting, asked_at), 0);
}

// Guards against piled up repeats: second tries go to the upstreams that are left.
#[test]
fn an_upstream_that_asks_for_rest_gets_no_second_tries_meanwhile() {
    let resting = FakeUpstream::start("up-resting", &[Behaviour::NotRunFor(REST)]);
    let failing = FakeUpstream::start("up-failing", &[Behaviour::Answer(500, "failed")]);
    let host = World::serving(json!([route("idempotent")]), &[&resting, &failing]);
    let asked_at = wait_turned_away(&host, &resting);

    ask_until(&host, asked_at + REST_TIME);

    assert_eq!(requests_in_rest(&resting, asked_at), 0);
}

#[test]
fn requests_are_refused_at_once_while_the_only_upstream_rests() {
    let resting = FakeUpstream::start("up-resting", &[Behaviour::NotRunFor(REST)]);
    let host = World::serving(json!([route("once")]), &[&resting]);
    wait_turned_away(&host, &resting);
    let before = resting.seen().len();

    let asked_at = Instant::now();
    let answer = ask_one(&host);

    assert!(asked_at.elapsed() < ON_THE_WAY);
    assert_eq!((answer.status, resting.seen().len()), (503, before));
    assert_eq!(crate::code(&answer), "overloaded");
    assert_eq!(crate::ran(&answer), "no");
    assert!(answer.header("retry-after").is_some());
}

#[test]
fn an_upstream_gets_requests_again_after_its_rest() {
    let behaviours = [Behaviour::NotRunFor("0.3"), Behaviour::Answer(200, "sound")];
    let resting = FakeUpstream::start("up-resting", &behaviours);
    let host = World::serving(json!([route("once")]), &[&resting]);
    wait_turned_away(&host, &resting);

    assert!(wait_until(|| ask_one(&host).status == 200));
}

// A run that is being copied to an engine which then asks for rest goes on where it was stopped.
#[test]
fn a_run_is_not_continued_at_an_engine_that_asked_for_rest() {
    let held = Behaviour::Events {
        to: 8,
        break_after: None,
        hold_after: Some(4),
    };
    let source = FakeUpstream::of("reports", "engine-source", &[held, crate::events(8)]);
    let resting = FakeUpstream::of("reports", "engine-resting", &[Behaviour::NotRunFor(REST)]);
    let host = World::serving(json!([route_to("stream", "reports")]), &[&source]);
    let mut caller = Caller::connect(host.callers());
    caller.send(post("/nets/7", "tokens: 400\r\n", ""));
    assert!(caller.read_until("id: 4\n"));
    source.copy_for(COPY_TIME);
    host.list(&resting, "ready");
    host.list(&source, "leaving");

    assert!(wait_until(|| source.copies_begun() > 0));
    wait_turned_away(&host, &resting);
    let answer = caller.read();

    assert!(answer.whole);
    assert_eq!(source.stopped().len(), 1);
    assert_eq!(resting.seen().len(), 1);
}
