//! Hosts together keep to the request rate that a cold upstream tolerates.

use std::time::Duration;
use std::time::Instant;

use serde_json::json;

use crate::gatewayworld::Behaviour;
use crate::gatewayworld::Death;
use crate::gatewayworld::FakeUpstream;
use crate::gatewayworld::World;
use crate::gatewayworld::ask;
use crate::gatewayworld::route;
use crate::gatewayworld::table;
use crate::gatewayworld::wait_until;
use crate::get;
use crate::post;

const HOSTS: usize = 20;
/// Most requests a second to a cold upstream of these services, including the platform's tolerance.
const TOLERATED_PER_S: usize = 12;
/// A healthy upstream serves within this time of being listed.
const SERVED_WITHIN: Duration = Duration::from_secs(2);
/// Longer than any of the tests.
const ALWAYS_COLD: Duration = Duration::from_secs(60);

/// Starts hosts that know each other, with a warm upstream in another data centre than their own.
fn fleet_with_warm_upstream() -> (Vec<World>, FakeUpstream) {
    let hosts = World::start_new_fleet(HOSTS);
    let sound = [Behaviour::Answer(200, "sound")];
    let warm = FakeUpstream::start("up-south", &sound).in_data_centre("south");
    hosts[0].list(&warm, "ready");
    let log = &hosts[0].log;
    log.put("operator", "table", &table(1, json!([route("idempotent")])));
    assert!(wait_until(|| hosts.iter().all(World::is_ready)));
    // After these requests the hosts know each other.
    std::iter::repeat_with(|| hosts.iter().for_each(ask_once))
        .take(3)
        .for_each(drop);
    (hosts, warm)
}

fn ask_once(host: &World) {
    ask(host.callers(), &get("/nets/7", ""));
}

fn list_cold(host: &World, upstream: &FakeUpstream, cold: Duration) {
    let mut entry = upstream.entry("ready");
    entry["cold_left_ms"] = json!(cold.as_millis() as u64);
    host.log.put("upstreams", upstream.id(), &entry);
}

/// Sends requests to all hosts for `time` and returns the most that reached `upstream` within a second.
fn most_in_a_second(hosts: &[World], upstream: &FakeUpstream, time: Duration) -> usize {
    let ends = Instant::now() + time;
    while Instant::now() < ends {
        hosts.iter().for_each(ask_once);
    }
    let mut arrivals: Vec<Instant> = upstream.seen().iter().map(|seen| seen.at).collect();
    arrivals.sort();
    let within = |from: &Instant| {
        let second = arrivals.iter().filter(|at| **at >= *from);
        second
            .take_while(|at| at.duration_since(*from) < Duration::from_secs(1))
            .count()
    };
    arrivals.iter().map(within).max().unwrap_or(0)
}

// Guards against a thundering herd: all hosts saw an idle upstream of their own data centre at once and sent
// it everything they had.
#[test]
fn hosts_together_keep_the_rate_of_a_cold_upstream() {
    let (hosts, _warm) = fleet_with_warm_upstream();
    let cold = FakeUpstream::start("up-north", &[Behaviour::Answer(200, "sound")]);

    list_cold(&hosts[0], &cold, ALWAYS_COLD);
    let most = most_in_a_second(&hosts, &cold, Duration::from_secs(3));

    assert!((1..=TOLERATED_PER_S).contains(&most), "{most}");
}

#[test]
fn a_warm_upstream_is_no_longer_limited() {
    let (hosts, _warm) = fleet_with_warm_upstream();
    let upstream = FakeUpstream::start("up-north", &[Behaviour::Answer(200, "sound")]);
    list_cold(&hosts[0], &upstream, Duration::from_millis(500));

    let most = most_in_a_second(&hosts, &upstream, Duration::from_secs(2));

    assert!(most > TOLERATED_PER_S, "{most}");
}

#[test]
fn requests_beyond_the_rate_go_to_a_warm_upstream() {
    let (hosts, warm) = fleet_with_warm_upstream();
    let cold = FakeUpstream::start("up-north", &[Behaviour::Answer(200, "sound")]);
    list_cold(&hosts[0], &cold, ALWAYS_COLD);
    let before = warm.seen().len();

    let statuses = (0..3).flat_map(|_| &hosts);
    let statuses: Vec<u16> = statuses
        .map(|host| ask(host.callers(), &get("/nets/7", "")).status)
        .collect();

    assert_eq!(statuses, vec![200; 3 * HOSTS]);
    assert!(warm.seen().len() > before);
}

// Guards against a false suspicion: cold upstreams may crash under any request, and three crashes would
// otherwise hold back a harmless one.
#[test]
fn a_crash_of_a_cold_upstream_does_not_count_against_the_request() {
    let hosts = World::start_new_fleet(1);
    let death = Death::BeforeAnswer;
    let mortal = ["up-0", "up-1", "up-2"].map(|id| {
        let sound = Behaviour::Answer(200, "sound");
        FakeUpstream::mortal(id, sound, "cold", death)
    });
    let last = FakeUpstream::start("up-9", &[Behaviour::Answer(200, "sound")]);
    hosts[0]
        .log
        .put("operator", "table", &table(1, json!([route("once")])));
    for upstream in &mortal {
        list_cold(&hosts[0], upstream, ALWAYS_COLD);
    }
    assert!(wait_until(|| hosts[0].is_ready()));

    let ask_cold = || ask(hosts[0].callers(), &post("/nets/7", "", "cold"));
    assert!(wait_until(|| {
        ask_cold();
        mortal.iter().all(FakeUpstream::is_dead)
    }));
    hosts[0].list(&last, "ready");
    let listed = Instant::now();

    assert!(wait_until(|| ask_cold().status == 200));
    assert!(listed.elapsed() < SERVED_WITHIN, "{:?}", listed.elapsed());
}
