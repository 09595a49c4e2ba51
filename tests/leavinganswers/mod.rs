//! Upstreams say in their answers that they leave, before the log lists them so.

use std::time::Duration;
use std::time::Instant;

use serde_json::json;

use crate::gatewayworld::Answer;
use crate::gatewayworld::Behaviour;
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
