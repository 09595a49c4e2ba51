//! A log that takes a read and never answers it, while its connection stays open.

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

/// What the log tells is in force within the shortest bound of a deployment; a second is for a busy
/// machine.
const ACTIVE_WITHIN: Duration = Duration::from_millis(2_000 + 1_000);
/// Where a few hosts read for all, the bound is longer.
const ACTIVE_EVERYWHERE_WITHIN: Duration = Duration::from_millis(3_000 + 1_000);
/// Hosts that read the log for themselves make a call at least this often while it changes.
const QUIET_TIME: Duration = Duration::from_millis(500);
/// From so many hosts on a few of them read the log for all.
const FLEET_HOSTS: usize = 14;

fn refuses_route(world: &World) -> bool {
    ask(world.callers(), &get("/nets/7", "")).status == 404
}

/// Whether the host knows no upstream that it may send a call to.
fn refuses_calls(world: &World) -> bool {
    ask(world.callers(), &get("/nets/7", "")).status == 503
}

fn healthy_upstream(id: &str) -> FakeUpstream {
    FakeUpstream::start(id, &[Behaviour::Answer(200, "sound")])
}

// A log was silent for nine seconds. A read of the upstreams was made during the silence and never
// answered, also not after the log's return; it ended by its own timeout, 12 s after it began. The
// other topic was read all the while, so the host believed that it reached the log, and sent calls to
// an upstream 2.2 s after its notice:
//
//   34.340 E410 ConfigLogReachable reason=operator
//   37.310 the log takes the notice of the upstream
//   39.541 a call reaches the upstream
//   40.991 E409 ConfigLogUnreachable reason="no answer in 12000 ms"
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

// The same of what operators publish.
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

/// A fleet that serves by one upstream, of which only the first host reads the log.
fn settled_fleet() -> (Vec<World>, FakeUpstream) {
    let fleet = World::start_fleet(FLEET_HOSTS);
    let upstream = healthy_upstream("up-0");
    let mut version = 0;
    let mut reads = 0;
    let mut quiet_since = Instant::now();
    let settled = wait_until(|| {
        // Each record ends the reads that wait, so that hosts which are no readers make no other.
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

// The log fell silent for some hosts, the readers of all data centres among them. Their reads waited
// without an answer; none of them had a line of a lost log, and they went on telling the others that
// they read. So nobody else did: of 73 hosts no call arrived at the log from second 2 to 11. At 5.8 s
// calls ran by keys that had been revoked at 2.8 s, and of fifteen engines that gave notice no host had
// a line.
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
