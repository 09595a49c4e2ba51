//! Operators evacuate a data centre: its upstreams get no new work until it is taken back.

use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;

use crate::code;
use crate::gatewayworld::Answer;
use crate::gatewayworld::Behaviour;
use crate::gatewayworld::Caller;
use crate::gatewayworld::FakeLog;
use crate::gatewayworld::FakeUpstream;
use crate::gatewayworld::Silence;
use crate::gatewayworld::World;
use crate::gatewayworld::ask;
use crate::gatewayworld::route;
use crate::gatewayworld::route_to;
use crate::gatewayworld::table;
use crate::gatewayworld::wait_until;
use crate::get;
use crate::post;
use crate::ran;

/// An evacuation is in force on all hosts within this time, half of what is allowed.
const IN_FORCE: Duration = Duration::from_millis(2_500);
/// and its end within this time.
const TAKEN_BACK: Duration = Duration::from_secs(1);
/// Requests that each host is sent to see where they go.
const REQUESTS: usize = 10;
/// So many hosts that a few read the log for all.
const LARGE: usize = 20;

/// An upstream in the hosts' own data centre, which is preferred, and one in another.
struct Upstreams {
    north: FakeUpstream,
    south: FakeUpstream,
}

impl Upstreams {
    fn start() -> Self {
        let sound = [Behaviour::Answer(200, "sound")];
        Upstreams {
            north: FakeUpstream::start("up-north", &sound),
            south: FakeUpstream::start("up-south", &sound).in_data_centre("south"),
        }
    }

    fn list(&self, log: &FakeLog) {
        for upstream in [&self.north, &self.south] {
            log.put("upstreams", upstream.id(), &upstream.entry("ready"));
        }
    }
}

fn publish(log: &FakeLog, version: u64) {
    log.put(
        "operator",
        "table",
        &table(version, json!([route("idempotent")])),
    );
}

/// Hosts that serve by both upstreams.
fn deployment(hosts: usize) -> (Vec<World>, Upstreams) {
    let fleet = World::start_fleet(hosts);
    let upstreams = Upstreams::start();
    upstreams.list(&fleet[0].log);
    publish(&fleet[0].log, 1);
    assert!(wait_until(|| fleet.iter().all(World::is_ready)));
    assert!(wait_until(|| fleet
        .iter()
        .all(|host| ask_once(host).status == 200)));
    (fleet, upstreams)
}

fn evacuate(log: &FakeLog, data_centre: &str) {
    log.put("operator", &format!("evacuate/{data_centre}"), &json!({}));
}

fn take_back(log: &FakeLog, data_centre: &str) {
    log.put("operator", &format!("evacuate/{data_centre}"), &Value::Null);
}

fn ask_once(host: &World) -> Answer {
    ask(host.callers(), &get("/nets/7", ""))
}

fn ask_for(hosts: &[World], time: Duration) {
    let ends = Instant::now() + time;
    while Instant::now() < ends {
        for host in hosts {
            ask_once(host);
        }
    }
}

/// Requests that reach `upstream` of those that the hosts are sent, [`IN_FORCE`] from now on.
fn requests_after(hosts: &[World], upstream: &FakeUpstream) -> usize {
    ask_for(hosts, IN_FORCE);
    let before = upstream.seen().len();
    for _ in 0..REQUESTS {
        for host in hosts {
            ask_once(host);
        }
    }
    upstream.seen().len() - before
}

/// Whether within [`TAKEN_BACK`] all hosts send to `upstream` again.
fn is_used_by_all(hosts: &[World], upstream: &FakeUpstream) -> bool {
    let ends = Instant::now() + TAKEN_BACK;
    hosts.iter().all(|host| {
        let used = || {
            let before = upstream.seen().len();
            ask_once(host);
            upstream.seen().len() > before
        };
        std::iter::repeat_with(used)
            .take_while(|_| Instant::now() < ends)
            .any(|used| used)
    })
}

// Nothing read the operators' word on data centres: 352 requests of a day reached one that was evacuated, the first
// 5,008 ms after the word was acknowledged, where 5,000 are allowed.
#[test]
fn an_evacuated_data_centre_gets_nothing_until_it_is_taken_back() {
    let (hosts, upstreams) = deployment(4);
    let log = &hosts[0].log;

    evacuate(log, "north");
    let evacuated = requests_after(&hosts, &upstreams.north);
    take_back(log, "north");

    assert_eq!(evacuated, 0);
    assert!(is_used_by_all(&hosts, &upstreams.north));
}

#[test]
fn hosts_of_a_large_fleet_obey_though_a_tenth_can_not_read_the_log() {
    let (hosts, upstreams) = deployment(LARGE);
    let log = &hosts[0].log;
    for host in &hosts[1..=LARGE / 10] {
        host.log.set_silence(Silence::AllCalls);
    }

    evacuate(log, "north");
    let evacuated = requests_after(&hosts, &upstreams.north);
    take_back(log, "north");

    assert_eq!(evacuated, 0);
    assert!(is_used_by_all(&hosts, &upstreams.north));
}

#[test]
fn hosts_that_start_meanwhile_send_nothing_there() {
    let log = FakeLog::start([127, 0, 0, 1].into());
    let upstreams = Upstreams::start();
    upstreams.list(&log);
    publish(&log, 1);
    evacuate(&log, "north");

    let hosts = World::start_fleet_at(&log, LARGE);
    let is_serving = wait_until(|| hosts.iter().all(|host| ask_once(host).status == 200));

    assert!(is_serving);
    assert_eq!(upstreams.north.seen().len(), 0);
}

#[test]
fn a_host_that_joins_while_the_log_is_away_learns_it_from_others() {
    let (hosts, upstreams) = deployment(4);
    evacuate(&hosts[0].log, "north");
    ask_for(&hosts, IN_FORCE);
    for host in &hosts {
        host.log.set_down(true);
    }

    let joined = World::join(&hosts[0]);
    assert!(wait_until(|| joined.is_ready()));

    assert_eq!(requests_after(&[joined], &upstreams.north), 0);
}

#[test]
fn an_evacuation_that_the_log_lost_in_its_return_stays_until_it_is_written_again_and_taken_back() {
    let (hosts, upstreams) = deployment(4);
    let log = &hosts[0].log;
    evacuate(log, "north");
    ask_for(&hosts, IN_FORCE);
    let before = upstreams.north.seen().len();

    log.return_from_copy("operator", 1);
    ask_for(&hosts, IN_FORCE);
    let lost = upstreams.north.seen().len() - before;
    evacuate(log, "north");
    let written_again = requests_after(&hosts, &upstreams.north);
    take_back(log, "north");

    assert_eq!((lost, written_again), (0, 0));
    assert!(is_used_by_all(&hosts, &upstreams.north));
}

#[test]
fn an_evacuation_under_an_offset_given_out_again_is_heard() {
    let (hosts, upstreams) = deployment(LARGE);
    let log = &hosts[0].log;
    publish(log, 2);
    assert!(wait_until(|| hosts.iter().all(|host| host.has_version(2))));

    log.return_from_copy("operator", 1);
    evacuate(log, "north");

    assert_eq!(requests_after(&hosts, &upstreams.north), 0);
}

#[test]
fn a_host_from_which_the_log_kept_the_news_learns_what_became_of_it_though_the_records_are_gone() {
    let (hosts, upstreams) = deployment(1);
    let log = &hosts[0].log;
    evacuate(log, "south");
    ask_for(&hosts, IN_FORCE);
    log.set_silence(Silence::AllCalls);
    evacuate(log, "north");
    take_back(log, "south");
    log.truncate("operator");

    log.set_silence(Silence::None);

    assert_eq!(requests_after(&hosts, &upstreams.north), 0);
    assert!(is_used_by_all(&hosts, &upstreams.south));
}

#[test]
fn a_host_that_was_suspended_meanwhile_sends_nothing_there() {
    let (hosts, upstreams) = deployment(1);
    let host = &hosts[0];
    host.log.set_silence(Silence::AllCalls);
    evacuate(&host.log, "north");
    let before = upstreams.north.seen().len();

    host.wake_after(Duration::from_secs(8));
    host.log.set_silence(Silence::None);
    assert!(wait_until(|| ask_once(host).status == 200));

    assert_eq!(requests_after(&hosts, &upstreams.north), 0);
    assert_eq!(upstreams.north.seen().len(), before);
}

#[test]
fn a_request_is_not_repeated_in_an_evacuated_data_centre() {
    let mute = FakeUpstream::start("up-0", &[Behaviour::Mute]);
    let host = World::serving(json!([route("idempotent")]), &[&mute]);
    let other =
        FakeUpstream::start("up-south", &[Behaviour::Answer(200, "sound")]).in_data_centre("south");
    let mut caller = Caller::connect(host.callers());
    caller.send(get("/nets/7", ""));
    assert!(wait_until(|| mute.seen().len() == 1));

    evacuate(&host.log, "south");
    host.list(&other, "ready");
    let answer = caller.read();

    assert_ne!(answer.status, 200);
    assert_eq!(other.seen().len(), 0);
}

#[test]
fn a_run_does_not_move_into_an_evacuated_data_centre() {
    let held = Behaviour::Events {
        to: 40,
        break_after: None,
        hold_after: Some(7),
    };
    let sound = Behaviour::Events {
        to: 40,
        break_after: None,
        hold_after: None,
    };
    let engine = FakeUpstream::of("reports", "engine-0", &[held]);
    let other = FakeUpstream::of("reports", "engine-9", &[sound]).in_data_centre("south");
    let host = World::start();
    evacuate(&host.log, "south");
    host.list(&engine, "ready");
    host.log.put(
        "operator",
        "table",
        &table(1, json!([route_to("stream", "reports")])),
    );
    assert!(wait_until(|| host.is_ready()));
    host.list(&other, "ready");
    let mut caller = Caller::connect(host.callers());
    caller.send(post("/nets/7", "tokens: 40\r\n", "report"));
    assert!(caller.read_until("id: 7\n"));

    host.list(&engine, "leaving");
    assert!(!wait_until_for(TAKEN_BACK, || !other.seen().is_empty()));
    take_back(&host.log, "south");
    let answer = caller.read();

    assert!(answer.whole);
    assert_eq!(other.seen().len(), 1);
}

/// Whether `condition` comes to hold within `time`.
fn wait_until_for(time: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let ends = Instant::now() + time;
    wait_until(|| condition() || Instant::now() >= ends);
    condition()
}

#[test]
fn where_no_other_upstream_is_left_a_caller_is_told_at_once_when_to_come_back() {
    let (hosts, upstreams) = deployment(4);
    let log = &hosts[0].log;
    evacuate(log, "north");
    evacuate(log, "south");
    ask_for(&hosts, IN_FORCE);
    let before = upstreams.south.seen().len();

    let asked = Instant::now();
    let answer = ask_once(&hosts[0]);

    assert!(asked.elapsed() < Duration::from_millis(300));
    assert_eq!((answer.status, ran(&answer).as_str()), (503, "no"));
    assert_eq!(code(&answer), "no_upstream");
    assert!(answer.header("retry-after").is_some());
    assert!(hosts.iter().all(World::is_ready));
    assert_eq!(upstreams.south.seen().len(), before);
    take_back(log, "south");
    assert!(is_used_by_all(&hosts, &upstreams.south));
}

#[test]
fn the_key_alone_evacuates_and_a_place_that_nobody_knows_concerns_nobody() {
    let (hosts, upstreams) = deployment(1);
    let log = &hosts[0].log;

    log.put("operator", "evacuate/north", &json!("not an object"));
    log.put("operator", "evacuate/nowhere", &json!({}));
    log.put("operator", "evacuate/", &json!({}));

    assert_eq!(requests_after(&hosts, &upstreams.north), 0);
    assert_eq!(ask_once(&hosts[0]).status, 200);
}
