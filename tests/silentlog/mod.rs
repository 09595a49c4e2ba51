//! Tests hosts against a log that accepts reads and never answers them while connections stay open.

use std::time::Duration;
use std::time::Instant;

use serde_json::json;

use crate::gatewayworld::Behaviour;
use crate::gatewayworld::FakeUpstream;
use crate::gatewayworld::Silence;
use crate::gatewayworld::World;
use crate::gatewayworld::ask;
use crate::gatewayworld::route;
use crate::gatewayworld::table;
use crate::gatewayworld::wait_until;
use crate::get;
use crate::world;

/// The shortest staleness bound of a deployment, and a second for a busy machine.
const ACTIVE_WITHIN: Duration = Duration::from_millis(2_000 + 1_000);
/// The longer bound where a few hosts read for all, and a second for a busy machine.
const ACTIVE_EVERYWHERE_WITHIN: Duration = Duration::from_millis(3_000 + 1_000);
/// While the log changes, a host that reads it makes at least one call in this time.
const QUIET_TIME: Duration = Duration::from_millis(500);
/// A fleet of this size or larger has a few hosts read the log for all.
const FLEET_HOSTS: usize = 14;

fn refuses_route(world: &World) -> bool {
    ask(world.callers(), &get("/nets/7", "")).status == 404
}

/// Whether the host has no upstream to send a call to.
fn refuses_calls(world: &World) -> bool {
    ask(world.callers(), &get("/nets/7", "")).status == 503
}

fn healthy_upstream(id: &str) -> FakeUpstream {
    FakeUpstream::start(id, &[Behaviour::Answer(200, "sound")])
}

// Guards against a lost read that blocks its topic. A read made while the log is silent stays unanswered
// after the log is back. With a timeout of 12 s, and reachability tracked for both topics together, the
// reads of the other topic hid the loss, and the host sent calls to an upstream 2.2 s after the notice
// that it was leaving.
#[test]
fn an_upstreams_notice_is_heard_though_an_earlier_read_was_never_answered() {
    let (world, upstreams) = world("once", &[&[Behaviour::Answer(200, "0")]]);
    world.log.set_silence(Silence::NewCalls);
    world.list(&upstreams[0], "ready");
    let lost = wait_until(|| world.log.has_lost_read("upstreams"));
    world.log.set_silence(Silence::None);

    world.list(&upstreams[0], "leaving");
    let notice_at = Instant::now();
    let noticed = wait_until(|| refuses_calls(&world));

    assert!(lost && noticed);
    let took = notice_at.elapsed();
    assert!(took < ACTIVE_WITHIN, "{took:?}");
}

// The same for the topic of operators: a lost read must not delay a new table.
#[test]
fn a_version_is_in_force_though_an_earlier_read_was_never_answered() {
    let (world, _upstreams) = world("once", &[&[Behaviour::Answer(200, "0")]]);
    world.log.set_silence(Silence::NewCalls);
    let second = table(2, json!([route("once")]));
    world.log.put("operator", "table", &second);
    let lost = wait_until(|| world.log.has_lost_read("operator"));
    world.log.set_silence(Silence::None);

    world.log.put("operator", "table", &table(3, json!([])));
    let published_at = Instant::now();
    let is_active = wait_until(|| refuses_route(&world));

    assert!(lost && is_active);
    let took = published_at.elapsed();
    assert!(took < ACTIVE_WITHIN, "{took:?}");
}

fn other_hosts_reads(fleet: &[World]) -> usize {
    fleet[1..].iter().map(|host| host.log.reads()).sum()
}

/// Starts a fleet with one upstream, in which only the first host reads the log.
fn settled_fleet() -> (Vec<World>, FakeUpstream) {
    let fleet = World::start_fleet(FLEET_HOSTS);
    let upstream = healthy_upstream("up-0");
    let mut version = 0;
    let mut reads = 0;
    let mut quiet_since = Instant::now();
    let settled = wait_until(|| {
        // Each new record ends the waiting reads, so that hosts that aren't readers start no further read.
        version += 1;
        let routes = json!([route("once")]);
        fleet[0]
            .log
            .put("operator", "table", &table(version, routes));
        fleet[0].list(&upstream, "ready");
        let is_active = wait_until(|| fleet.iter().all(|host| host.has_version(version)));
        if reads != other_hosts_reads(&fleet) {
            reads = other_hosts_reads(&fleet);
            quiet_since = Instant::now();
        }
        is_active && quiet_since.elapsed() > QUIET_TIME && fleet.iter().all(World::is_ready)
    });
    assert!(settled, "other hosts go on reading the log");
    (fleet, upstream)
}

// Guards against readers that announce themselves while their reads are unanswered. When the log is silent
// for some hosts, all readers among them, these detect no failure, and no other host reads in their place:
// none of 73 hosts called the log for 9 s, so calls were admitted with keys revoked 3 s before, and the
// notices of fifteen leaving engines were missed.
#[test]
fn what_the_log_tells_is_in_force_everywhere_though_the_readers_reads_stay_unanswered() {
    let (fleet, upstream) = settled_fleet();
    fleet[0].log.set_silence(Silence::AllCalls);

    let notice_at = Instant::now();
    fleet[0].list(&upstream, "leaving");
    let noticed = wait_until(|| fleet[1..].iter().all(refuses_calls));
    let notice_took = notice_at.elapsed();
    fleet[0]
        .log
        .put("operator", "table", &table(999, json!([])));
    let published_at = Instant::now();
    let is_active = wait_until(|| fleet[1..].iter().all(refuses_route));

    assert!(noticed && is_active);
    assert!(notice_took < ACTIVE_EVERYWHERE_WITHIN, "{notice_took:?}");
    let took = published_at.elapsed();
    assert!(took < ACTIVE_EVERYWHERE_WITHIN, "{took:?}");
}
