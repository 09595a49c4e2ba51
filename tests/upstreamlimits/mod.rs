//! Upstreams name in their answers how many requests a second they take from all hosts together.

use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;

use crate::gatewayworld::Answer;
use crate::gatewayworld::Behaviour;
use crate::gatewayworld::FakeUpstream;
use crate::gatewayworld::World;
use crate::gatewayworld::ask;
use crate::gatewayworld::route;
use crate::gatewayworld::route_to;
use crate::gatewayworld::table;
use crate::gatewayworld::wait_until;
use crate::post;

const HOSTS: usize = 8;
/// The limit that an upstream names, in requests a second.
const LIMIT_PER_S: f64 = 3.4;
/// Time after the limit was first named from which the hosts together have to keep it.
const LEARNING_TIME: Duration = Duration::from_secs(3);
/// A refusal takes no longer than this.
const REFUSED_WITHIN: Duration = Duration::from_millis(500);
/// Time between two requests to a host.
const ROUND_INTERVAL: Duration = Duration::from_millis(100);
/// Span over which requests are counted, and share and number by which they may exceed the limit.
const WINDOW: Duration = Duration::from_secs(4);
const EXCESS_SHARE: f64 = 1.5;
const EXCESS_REQUESTS: f64 = 5.0;

/// Most requests that an upstream with this limit may get in a window.
fn allowed_in_window(limit_per_s: f64) -> usize {
    (limit_per_s * WINDOW.as_secs_f64() * EXCESS_SHARE + EXCESS_REQUESTS) as usize
}

/// Starts hosts that know each other and these upstreams, with one route. The first upstream is listed last: a host
/// is ready once it knows one, and could send nowhere else while it knows only the limited one.
fn start_fleet(route: Value, upstreams: &[&FakeUpstream]) -> Vec<World> {
    let hosts = World::start_fleet(HOSTS);
    for upstream in upstreams.iter().rev() {
        hosts[0].list(upstream, "ready");
    }
    let log = &hosts[0].log;
    log.put("operator", "table", &table(1, json!([route])));
    assert!(wait_until(|| hosts.iter().all(World::is_ready)));
    hosts
}

fn start_upstream(id: &str) -> FakeUpstream {
    FakeUpstream::start(id, &[Behaviour::Answer(200, "sound")])
}

fn ask_one(host: &World) -> Answer {
    ask(
        host.callers(),
        &post("/nets/7", "tokens: 40\r\n", "tighten"),
    )
}

/// Sends requests to all hosts in turn for `time`, many times as many as the limit, and returns the statuses
/// of the answers.
fn ask_all(hosts: &[World], time: Duration) -> Vec<u16> {
    let started = Instant::now();
    let mut statuses = Vec::new();
    while started.elapsed() < time {
        let round_ends = Instant::now() + ROUND_INTERVAL;
        statuses.extend(hosts.iter().map(|host| ask_one(host).status));
        std::thread::sleep(round_ends.saturating_duration_since(Instant::now()));
    }
    statuses
}

/// The most requests that reached an upstream within a [`WINDOW`], from `start` on.
fn most_in_window(upstream: &FakeUpstream, start: Instant) -> usize {
    let arrivals: Vec<Instant> = upstream.seen().iter().map(|seen| seen.at).collect();
    let in_window = |from: &Instant| {
        let window = arrivals.iter().filter(|at| *at >= from);
        window.filter(|at| **at - *from < WINDOW).count()
    };
    let starts = arrivals.iter().filter(|at| **at >= start);
    starts.map(in_window).max().unwrap_or(0)
}

/// Lets an upstream name a limit while all hosts send to it, and checks that it isn't exceeded. Returns how many
/// requests were not served.
fn check_limit_is_kept(hosts: &[World], limited: &FakeUpstream) -> usize {
    limited.name_limit(Some(LIMIT_PER_S));
    let named_at = Instant::now();

    let statuses = ask_all(hosts, LEARNING_TIME + WINDOW);

    let most = most_in_window(limited, named_at + LEARNING_TIME);
    let allowed = allowed_in_window(LIMIT_PER_S);
    assert!((1..=allowed).contains(&most), "{most}");
    let failed = statuses.iter().filter(|status| **status != 200);
    failed.count()
}

// Guards against an overload: hosts went on sending to an upstream by its load after it had named a limit.
#[test]
fn hosts_together_keep_the_rate_that_an_upstream_names() {
    let upstreams = ["up-limited", "up-other"].map(start_upstream);
    let hosts = start_fleet(route("idempotent"), &upstreams.each_ref());

    assert_eq!(check_limit_is_kept(&hosts, &upstreams[0]), 0);
}

// Guards against an overload: streams are placed by another path than calls.
#[test]
fn streams_keep_the_rate_that_an_upstream_names() {
    let events = [crate::events(3)];
    let upstreams = ["up-limited", "up-other"].map(|id| FakeUpstream::start(id, &events));
    let hosts = start_fleet(route("stream"), &upstreams.each_ref());

    assert_eq!(check_limit_is_kept(&hosts, &upstreams[0]), 0);
}

// Guards against an overload: generations wait for engine memory and are placed by their queue.
#[test]
fn generations_keep_the_rate_that_an_engine_names() {
    let events = [crate::events(3)];
    let engines = ["engine-limited", "engine-other"];
    let engines = engines.map(|id| FakeUpstream::of("reports", id, &events));
    let hosts = start_fleet(route_to("stream", "reports"), &engines.each_ref());

    // The engines of this configuration have room for few generations, so some are refused.
    check_limit_is_kept(&hosts, &engines[0]);
}

// Guards against an overload: second tries go to the upstreams that are left.
#[test]
fn second_tries_keep_the_rate_that_an_upstream_names() {
    let limited = start_upstream("up-limited");
    let failing = FakeUpstream::start("up-failing", &[Behaviour::Answer(500, "failed")]);
    let hosts = start_fleet(route("idempotent"), &[&limited, &failing]);
    limited.name_limit(Some(LIMIT_PER_S));
    let named_at = Instant::now();

    ask_all(&hosts, LEARNING_TIME + WINDOW);

    let most = most_in_window(&limited, named_at + LEARNING_TIME);
    assert!(most <= allowed_in_window(LIMIT_PER_S), "{most}");
}

// Guards against an overload: a process that starts knows neither the limit nor who shares it.
#[test]
fn hosts_that_start_keep_the_rate_that_an_upstream_names() {
    let limited = start_upstream("up-limited");
    let other = start_upstream("up-other");
    let mut hosts = start_fleet(route("idempotent"), &[&limited, &other]);
    limited.name_limit(Some(LIMIT_PER_S));
    ask_all(&hosts, LEARNING_TIME);
    let known_at = Instant::now();

    for _ in 0..3 {
        let late = World::join(&hosts[0]);
        assert!(wait_until(|| late.is_ready()));
        hosts.push(late);
        ask_all(&hosts, WINDOW / 2);
    }

    let most = most_in_window(&limited, known_at);
    assert!(
        (1..=allowed_in_window(LIMIT_PER_S)).contains(&most),
        "{most}"
    );
}

#[test]
fn requests_beyond_the_only_upstreams_limit_are_refused_at_once() {
    let limited = start_upstream("up-limited");
    limited.name_limit(Some(LIMIT_PER_S));
    let hosts = start_fleet(route("once"), &[&limited]);
    assert!(wait_until(|| ask_one(&hosts[0]).status == 503));

    let asked_at = Instant::now();
    let answer = ask_one(&hosts[0]);

    assert!(asked_at.elapsed() < REFUSED_WITHIN);
    assert_eq!(answer.status, 503);
    assert_eq!(crate::code(&answer), "overloaded");
    assert_eq!(crate::ran(&answer), "no");
    assert!(answer.header("retry-after").is_some());
}

// Hosts without a share get no answers of the upstream, and would never send to it again.
#[test]
fn an_upstream_that_no_longer_names_a_limit_is_used_by_all_hosts() {
    let limited = start_upstream("up-limited");
    let hosts = start_fleet(route("idempotent"), &[&limited]);
    limited.name_limit(Some(LIMIT_PER_S));
    ask_all(&hosts, LEARNING_TIME);
    limited.name_limit(None);

    let all_served = || {
        let statuses: Vec<u16> = hosts.iter().map(|host| ask_one(host).status).collect();
        statuses == [200; HOSTS]
    };

    assert!(wait_until(all_served));
}

// No host is in the upstream's data centre: the whole limit would be left unused.
#[test]
fn hosts_share_the_limit_of_an_upstream_whose_data_centre_has_no_hosts() {
    let limited = start_upstream("up-limited").in_data_centre("south");
    let hosts = start_fleet(route("idempotent"), &[&limited]);
    limited.name_limit(Some(LIMIT_PER_S));
    let named_at = Instant::now();

    ask_all(&hosts, LEARNING_TIME + WINDOW);

    let most = most_in_window(&limited, named_at + LEARNING_TIME);
    let least = (LIMIT_PER_S * WINDOW.as_secs_f64() / 2.0) as usize;
    assert!(
        (least..=allowed_in_window(LIMIT_PER_S)).contains(&most),
        "{most}"
    );
}
