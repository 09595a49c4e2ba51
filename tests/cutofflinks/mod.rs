//! A host loses its links to all upstreams, while callers, the log and the other hosts still reach it.

use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;

use crate::gatewayworld::Answer;
use crate::gatewayworld::Behaviour;
use crate::gatewayworld::Cut;
use crate::gatewayworld::FakeUpstream;
use crate::gatewayworld::World;
use crate::gatewayworld::ask;
use crate::gatewayworld::route;
use crate::gatewayworld::table;
use crate::gatewayworld::wait_until;
use crate::post;

const HOSTS: usize = 4;
/// Time after a cut from which callers of a cut host are served like others.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Requests to a cut host after that time.
const REQUESTS: usize = 20;

const ALL_CUTS: [Cut; 3] = [Cut::Reset, Cut::Silent, Cut::NewRefused];

/// Starts hosts that know each other and these upstreams, with one route.
fn start_fleet(route: Value, upstreams: &[FakeUpstream]) -> Vec<World> {
    let hosts = World::start_fleet(HOSTS);
    for upstream in upstreams {
        hosts[0].list(upstream, "ready");
    }
    let log = &hosts[0].log;
    log.put("operator", "table", &table(1, json!([route])));
    assert!(wait_until(|| hosts.iter().all(World::is_ready)));
    // Each host has heard all others.
    assert!(wait_until(|| hosts
        .iter()
        .all(|host| { host.lines.of("PeerJoined").len() == HOSTS - 1 })));
    hosts
}

fn start_upstreams() -> Vec<FakeUpstream> {
    let names = ["up-0", "up-1", "up-2"];
    names
        .map(|name| FakeUpstream::start(name, &[Behaviour::Answer(200, "sound")]))
        .into()
}

fn ask_one(host: &World) -> Answer {
    ask(host.callers(), &post("/nets/7", "", "tighten"))
}

/// Sends requests to a host for a time and returns the statuses of the answers.
fn ask_for(host: &World, time: Duration) -> Vec<u16> {
    let started = Instant::now();
    let mut statuses = Vec::new();
    while started.elapsed() < time {
        statuses.push(ask_one(host).status);
        std::thread::sleep(Duration::from_millis(50));
    }
    statuses
}

/// Cuts a host off in each way in turn, and returns for each the answers that weren't 200 from
/// [`CONTACT_TIME`] after the cut on.
fn refusals_after_cuts(host: &World) -> Vec<(Cut, usize)> {
    let after = ALL_CUTS.map(|cut| {
        ask_for(host, Duration::from_millis(300));
        host.links.cut(cut);
        ask_for(host, CONTACT_TIME);
        let answers = (0..REQUESTS).map(|_| ask_one(host).status);
        let refused = answers.filter(|status| *status != 200).count();
        host.links.heal();
        (cut, refused)
    });
    after.into()
}

// Guards against refusing callers whom any other host could serve: a cut host used its own links alone.
#[test]
fn calls_to_a_host_without_links_to_upstreams_are_served() {
    for kind in ["idempotent", "once"] {
        let upstreams = start_upstreams();
        let hosts = start_fleet(route(kind), &upstreams);

        let refused = refusals_after_cuts(&hosts[1]);

        assert_eq!(
            refused,
            ALL_CUTS.map(|cut| (cut, 0)),
            "{kind}: {}",
            hosts[1].last_lines(12)
        );
    }
}
