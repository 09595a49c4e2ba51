//! Upstreams that turn a request away may ask its host for a time without requests.

use std::time::Duration;
use std::time::Instant;

use serde_json::json;

use crate::gatewayworld::Answer;
use crate::gatewayworld::Behaviour;
use crate::gatewayworld::FakeUpstream;
use crate::gatewayworld::World;
use crate::gatewayworld::ask;
use crate::gatewayworld::route;
use crate::gatewayworld::wait_until;
use crate::post;

/// The time that an upstream asks for, in seconds.
const REST: &str = "3";
const REST_TIME: Duration = Duration::from_secs(3);
/// Requests that were on their way arrive within this time.
const ON_THE_WAY: Duration = Duration::from_millis(500);
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
