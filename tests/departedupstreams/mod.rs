//! Upstreams whose departure one host learns from another, and that list themselves again.

use serde_json::Value;
use serde_json::json;

use crate::gatewayworld::Behaviour;
use crate::gatewayworld::Cut;
use crate::gatewayworld::FakeUpstream;
use crate::gatewayworld::World;
use crate::gatewayworld::ask;
use crate::gatewayworld::route;
use crate::gatewayworld::table;
use crate::gatewayworld::wait_until;
use crate::post;

const HOSTS: usize = 3;

/// Hosts that know each other, one route and its only upstream.
fn start_fleet(upstream: &FakeUpstream) -> Vec<World> {
    let hosts = World::start_fleet(HOSTS);
    hosts.iter().for_each(|host| host.links.prepare_cuts());
    hosts[0].list(upstream, "ready");
    let log = &hosts[0].log;
    log.put("operator", "table", &table(1, json!([route("once")])));
    assert!(wait_until(|| hosts.iter().all(World::is_ready)));
    assert!(wait_until(|| {
        let joined = |host: &World| host.lines.of("PeerJoined").len();
        hosts.iter().all(|host| joined(host) == HOSTS - 1)
    }));
    hosts
}

fn is_served(host: &World) -> bool {
    ask(host.callers(), &post("/nets/7", "", "tighten")).status == 200
}

fn changes(host: &World, change: &str) -> usize {
    let changed = ["UpstreamListed", "UpstreamLost", "UpstreamLeaving"];
    let lines = changed.iter().flat_map(|name| host.lines.of(name));
    lines.filter(|line| line["change"] == change).count()
}

// Guards against an upstream that gets no work any more: a host that still listed it after the log's return learnt
// from a carrier that its entry had lapsed, and no later listing ended that.
#[test]
fn an_upstream_that_a_carrier_reported_as_gone_gets_work_once_it_lists_itself_again() {
    let upstream = FakeUpstream::start("up-0", &[Behaviour::Answer(200, "sound")]);
    let hosts = start_fleet(&upstream);
    let returning = &hosts[0];
    returning.log.set_down(true);
    assert!(wait_until(|| !returning
        .lines
        .of("ConfigLogUnreachable")
        .is_empty()));
    returning.links.cut(Cut::Reset);
    returning.log.set_down(false);
    assert!(wait_until(|| {
        let reachable = returning.lines.of("ConfigLogReachable");
        let topics = reachable.iter().filter(|line| line["topic"] == "upstreams");
        topics.count() == 2
    }));
    let log = &returning.log;
    log.put("upstreams", upstream.id(), &Value::Null);
    assert!(wait_until(|| changes(returning, "missing") == 1));
    assert!(wait_until(|| {
        is_served(returning);
        changes(returning, "witnessed") == 1
    }));

    returning.links.heal();
    returning.list(&upstream, "ready");

    for host in &hosts {
        assert!(wait_until(|| is_served(host)), "{}", host.last_lines(8));
    }
}
