//! Upstreams whose departure one host learns from another, and that list themselves again.

use std::time::Duration;
use std::time::Instant;

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
/// Hosts of which only some read the list of upstreams, for all.
const HOSTS_WITH_READERS: usize = 14;
/// Time in which a host that reads the log reads it at least once.
const READ_INTERVAL: Duration = Duration::from_millis(600);

/// Hosts that know each other, one route and its only upstream.
fn start_fleet(count: usize, upstream: &FakeUpstream) -> Vec<World> {
    let hosts = World::start_fleet(count);
    hosts.iter().for_each(|host| host.links.prepare_cuts());
    hosts[0].list(upstream, "ready");
    let log = &hosts[0].log;
    log.put("operator", "table", &table(1, json!([route("once")])));
    assert!(wait_until(|| hosts.iter().all(World::is_ready)));
    assert!(wait_until(|| {
        let joined = |host: &World| host.lines.of("PeerJoined").len();
        hosts.iter().all(|host| joined(host) == count - 1)
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
    let hosts = start_fleet(HOSTS, &upstream);
    let returning = &hosts[0];
    returning.log.set_down(true);
    let changes_of_log = |name: &str| {
        let lines = returning.lines.of(name);
        let of_topic = lines.iter().filter(|line| line["topic"] == "upstreams");
        of_topic.count()
    };
    assert!(wait_until(|| changes_of_log("ConfigLogUnreachable") == 1));
    returning.links.cut(Cut::Reset);
    returning.log.set_down(false);
    assert!(wait_until(|| changes_of_log("ConfigLogReachable") == 2));
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

/// The hosts that have read the log within [`READ_INTERVAL`].
fn active_readers(hosts: &[World]) -> Vec<usize> {
    let reads =
        |hosts: &[World]| -> Vec<usize> { hosts.iter().map(|host| host.log.reads()).collect() };
    let (before, began) = (reads(hosts), Instant::now());
    wait_until(|| began.elapsed() >= READ_INTERVAL);
    let after = reads(hosts);
    let indexes = (0..hosts.len()).filter(|index| after[*index] > before[*index]);
    indexes.collect()
}

fn is_removed(host: &World) -> bool {
    let relayed = host.lines.of("UpstreamsChanged");
    let is_relayed = relayed.iter().any(|line| line["removed"] == 1);
    is_relayed || changes(host, "removed") == 1
}

// Guards against a removed upstream that gets work for as long as it serves: the reader of the list deferred the removal
// and announced the position behind it, so that the other hosts ignored the removal later.
#[test]
fn a_removal_that_the_reader_deferred_reaches_the_hosts_that_rely_on_it() {
    let upstream = FakeUpstream::start("up-0", &[Behaviour::Answer(200, "sound")]);
    let hosts = start_fleet(HOSTS_WITH_READERS, &upstream);
    let mut readers = Vec::new();
    assert!(wait_until(|| {
        readers = active_readers(&hosts);
        readers.len() <= 2
    }));
    let reader = &hosts[readers[0]];
    reader.log.set_down(true);
    assert!(wait_until(|| {
        let unreachable = reader.lines.of("ConfigLogUnreachable");
        unreachable.iter().any(|line| line["topic"] == "upstreams")
    }));
    let is_reachable = || {
        let reachable = reader.lines.of("ConfigLogReachable");
        let topics = reachable.iter().filter(|line| line["topic"] == "upstreams");
        topics.count()
    };
    let before = is_reachable();
    reader.log.set_down(false);
    assert!(wait_until(|| is_reachable() > before));
    active_readers(&hosts);

    let log = &reader.log;
    log.put("upstreams", upstream.id(), &Value::Null);

    assert!(wait_until(|| is_removed(reader)));
    for host in &hosts {
        assert!(
            wait_until(|| is_removed(host)),
            "{} keeps it: {}",
            host.name(),
            host.last_lines(4)
        );
    }
}

/// Has the log list an upstream by the entry that it wrote as its `sequence`th.
fn list_numbered(host: &World, upstream: &FakeUpstream, state: &str, sequence: u64) {
    let mut entry = upstream.entry(state);
    entry["sequence"] = json!(sequence);
    host.log.put("upstreams", upstream.id(), &entry);
}

// Guards against work for an upstream that leaves: the log carried out an earlier entry late, and hosts took it for the
// newest statement.
#[test]
fn an_earlier_entry_that_the_log_takes_late_does_not_make_a_leaving_upstream_ready() {
    let leaving = FakeUpstream::start("up-0", &[Behaviour::Answer(200, "sound")]);
    let staying = FakeUpstream::start("up-1", &[Behaviour::Answer(200, "sound")]);
    let hosts = start_fleet(1, &staying);
    let host = &hosts[0];
    list_numbered(host, &leaving, "ready", 1);
    assert!(wait_until(|| changes(host, "added") == 2));
    list_numbered(host, &leaving, "leaving", 3);
    assert!(wait_until(|| changes(host, "leaving") == 1));

    list_numbered(host, &leaving, "ready", 2);
    let marker = FakeUpstream::of("other", "up-2", &[Behaviour::Mute]);
    host.list(&marker, "ready");
    assert!(wait_until(|| !host
        .lines
        .of("UpstreamListed")
        .iter()
        .all(|line| line["upstream"] != marker.id())));

    assert!((0..20).all(|_| is_served(host)));
    assert_eq!(leaving.seen().len(), 0);
}
