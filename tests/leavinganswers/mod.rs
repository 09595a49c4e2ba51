//! Upstreams say in their answers that they leave, before the log lists them so.

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
use crate::gatewayworld::table;
use crate::gatewayworld::wait_until;
use crate::post;

/// Time after such an answer from which its host sends no new request to the upstream.
const DRAIN_BOUND: Duration = Duration::from_secs(2);
/// Requests that are sent after that.
const REQUESTS: usize = 40;

fn ask_one(host: &World) -> Answer {
    ask(host.callers(), &post("/nets/7", "", "tighten"))
}

/// Asks until an upstream has answered, which says that it leaves.
fn wait_told(host: &World, leaving: &FakeUpstream) {
    let is_told = || {
        ask_one(host);
        !leaving.seen().is_empty()
    };
    assert!(wait_until(is_told));
}

/// Requests that reach `upstream` while all hosts get [`REQUESTS`].
fn requests_to(upstream: &FakeUpstream, hosts: &[World]) -> usize {
    let before = upstream.seen().len();
    for host in hosts {
        let statuses: Vec<u16> = (0..REQUESTS).map(|_| ask_one(host).status).collect();
        assert_eq!(statuses, [200; REQUESTS]);
    }
    upstream.seen().len() - before
}

/// Starts hosts at a route of `kind` with two upstreams, of which the first leaves and is listed as ready.
fn start(kind: &str, hosts: usize, answer: Behaviour) -> (Vec<World>, [FakeUpstream; 2]) {
    let upstreams = ["up-leaving", "up-staying"];
    let upstreams = upstreams.map(|id| FakeUpstream::start(id, std::slice::from_ref(&answer)));
    upstreams[0].leave();
    let hosts = World::start_fleet(hosts);
    for upstream in &upstreams {
        hosts[0].list(upstream, "ready");
    }
    let log = &hosts[0].log;
    log.put("operator", "table", &table(1, json!([route(kind)])));
    assert!(wait_until(|| hosts.iter().all(World::is_ready)));
    (hosts, upstreams)
}

// Guards against lost requests: hosts went on sending to an upstream that said in its answers that it leaves.
#[test]
fn an_upstream_whose_answers_say_that_it_leaves_gets_no_new_calls() {
    for kind in ["idempotent", "once"] {
        let (hosts, [leaving, _]) = start(kind, 1, Behaviour::Answer(200, "sound"));
        wait_told(&hosts[0], &leaving);
        let told_at = Instant::now();

        assert!(wait_until(|| told_at.elapsed() > DRAIN_BOUND));

        assert_eq!(requests_to(&leaving, &hosts), 0, "{kind}");
    }
}

// Guards against lost requests: streams are sent by another path than calls.
#[test]
fn an_upstream_whose_answers_say_that_it_leaves_gets_no_new_streams() {
    let (hosts, [leaving, _]) = start("stream", 1, crate::events(3));
    wait_told(&hosts[0], &leaving);
    let told_at = Instant::now();

    assert!(wait_until(|| told_at.elapsed() > DRAIN_BOUND));

    assert_eq!(requests_to(&leaving, &hosts), 0);
}

// Guards against lost requests: a host that gets no answer of the upstream learns of it from the others.
#[test]
fn other_hosts_are_told_that_an_upstream_leaves() {
    let (mut hosts, [leaving, _]) = start("idempotent", 3, Behaviour::Answer(200, "sound"));
    wait_told(&hosts[0], &leaving);
    let late = World::join(&hosts[0]);
    assert!(wait_until(|| late.is_ready()));
    hosts.push(late);
    let told_at = Instant::now();

    assert!(wait_until(|| told_at.elapsed() > DRAIN_BOUND));

    assert_eq!(requests_to(&leaving, &hosts), 0);
}

// Guards against lost requests: the log lists the upstream as ready until it takes the notice.
#[test]
fn a_listing_as_ready_does_not_take_back_what_answers_say() {
    let (hosts, [leaving, _]) = start("idempotent", 1, Behaviour::Answer(200, "sound"));
    wait_told(&hosts[0], &leaving);

    let told_at = Instant::now();
    hosts[0].list(&leaving, "ready");
    assert!(wait_until(|| told_at.elapsed() > DRAIN_BOUND));

    assert_eq!(requests_to(&leaving, &hosts), 0);
}

#[test]
fn runs_of_an_engine_that_says_in_an_answer_that_it_leaves_are_moved() {
    let held = Behaviour::Events {
        to: 8,
        break_after: None,
        hold_after: Some(4),
    };
    let (world, engines) = crate::engines(&[held]);
    let mut caller = Caller::connect(world.callers());
    caller.send(crate::post("/nets/7", "tokens: 400\r\n", ""));
    assert!(caller.read_until("id: 4\n"));
    let other = FakeUpstream::of("reports", "engine-other", &[crate::events(8)]);

    engines[0].behave_as(Behaviour::NotRun);
    engines[0].leave();
    world.list(&other, "ready");
    let is_told = || {
        ask_one(&world);
        engines[0].seen().len() > 1
    };
    assert!(wait_until(is_told));
    let answer = caller.read();

    assert!(answer.whole);
    assert_eq!(engines[0].stopped().len(), 1);
}
