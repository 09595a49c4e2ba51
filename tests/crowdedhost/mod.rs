//! The load balancer hands most new connections to one of the hosts.

use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;

use crate::events;
use crate::gatewayworld::Answer;
use crate::gatewayworld::Behaviour;
use crate::gatewayworld::Caller;
use crate::gatewayworld::FakeUpstream;
use crate::gatewayworld::World;
use crate::gatewayworld::ask;
use crate::gatewayworld::route;
use crate::gatewayworld::route_to;
use crate::gatewayworld::table;
use crate::gatewayworld::wait_until;
use crate::post;
use crate::ran;
use cedargauge::gateway::settings::GatewaySettings;

const HOSTS: usize = 4;
/// Requests a second of all callers together, each on a connection of its own.
const REQUESTS_PER_S: u32 = 40;
/// Of ten new connections, so many go to the first host while it is crowded.
const CROWDED_TENTHS: usize = 9;
/// Time for which requests are counted.
const WINDOW: Duration = Duration::from_secs(3);
/// Time from which a crowded host has to serve them.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// The crowded fleet serves at least this share of what it served before.
const SERVED_SHARE_MIN: f64 = 0.75;
/// Most connections of callers at a host.
const CONNECTIONS_MAX: usize = 8;
/// Requests on connections over the bound.
const OVER: usize = 64;
/// Time that a call takes.
const CALL_TIME: Duration = Duration::from_millis(40);

/// Which host gets the next connection.
#[derive(Debug, Clone, Copy)]
enum Balance {
    Even,
    Crowded,
}

impl Balance {
    fn host(self, request: usize) -> usize {
        match self {
            Balance::Even => request % HOSTS,
            Balance::Crowded if request % 10 < CROWDED_TENTHS => 0,
            Balance::Crowded => 1 + (request / 10) % (HOSTS - 1),
        }
    }
}

fn limit_connections(settings: &mut GatewaySettings) {
    settings.caller_connections_max = CONNECTIONS_MAX;
}

/// Starts hosts that know each other and these upstreams, with one route.
fn start_fleet(route: Value, upstreams: &[FakeUpstream]) -> Vec<World> {
    let hosts = World::start_fleet(HOSTS);
    for upstream in upstreams {
        hosts[0].list(upstream, "ready");
    }
    let log = &hosts[0].log;
    log.put("operator", "table", &table(1, json!([route])));
    assert!(wait_until(|| hosts.iter().all(World::is_ready)));
    assert!(wait_until(|| {
        let joined = |host: &World| host.lines.of("PeerJoined").len();
        hosts.iter().all(|host| joined(host) == HOSTS - 1)
    }));
    hosts
}

/// Sends requests for `time` and returns the share that is served at the first attempt.
fn send(hosts: &[World], balance: Balance, time: Duration) -> f64 {
    let count = (REQUESTS_PER_S as f64 * time.as_secs_f64()) as usize;
    let started = Instant::now();
    let asked: Vec<JoinHandle<u16>> = (0..count)
        .map(|request| {
            let due = started + Duration::from_secs(1) / REQUESTS_PER_S * request as u32;
            std::thread::sleep(due.saturating_duration_since(Instant::now()));
            let callers = hosts[balance.host(request)].callers();
            let request = post("/nets/7", "tokens: 40\r\n", "tighten")
                .replace("r-1", &format!("r-{request}"));
            std::thread::spawn(move || ask(callers, &request).status)
        })
        .collect();
    let statuses = asked
        .into_iter()
        .map(|asked| asked.join().expect("a caller panicked"));
    statuses.filter(|status| *status == 200).count() as f64 / count as f64
}

/// Checks that callers are served while the first host is crowded as they were before.
fn check_crowded(hosts: &[World]) {
    let before = send(hosts, Balance::Even, WINDOW);
    send(hosts, Balance::Crowded, CONTACT_TIME);

    let crowded = send(hosts, Balance::Crowded, WINDOW);

    assert!(before > 0.5, "{before}");
    let lines = hosts[0].last_lines(4);
    assert!(
        crowded >= before * SERVED_SHARE_MIN,
        "{crowded} after {before}: {lines}"
    );
}

fn start_upstreams(behaviour: &Behaviour) -> Vec<FakeUpstream> {
    let names = ["up-0", "up-1", "up-2"];
    names
        .map(|name| FakeUpstream::start(name, std::slice::from_ref(behaviour)))
        .into()
}

#[test]
fn calls_to_a_crowded_host_are_served() {
    let upstreams = start_upstreams(&Behaviour::AnswerAfter(CALL_TIME, "sound"));
    let hosts = start_fleet(route("once"), &upstreams);

    check_crowded(&hosts);
}

#[test]
fn generations_of_a_crowded_host_are_served() {
    let names = ["engine-0", "engine-1", "engine-2"];
    let engines = names.map(|name| FakeUpstream::of("reports", name, &[events(40)]));
    let hosts = start_fleet(route_to("stream", "reports"), &engines);

    check_crowded(&hosts);
}

// Guards against refusals of what the fleet has room for: hosts share what an upstream takes.
#[test]
fn a_crowded_host_uses_what_the_others_leave_of_the_rate_that_upstreams_name() {
    let upstreams = start_upstreams(&Behaviour::AnswerAfter(CALL_TIME, "sound"));
    let hosts = start_fleet(route("once"), &upstreams);
    for upstream in &upstreams {
        upstream.name_limit(Some(f64::from(REQUESTS_PER_S) / 2.0));
    }

    check_crowded(&hosts);
}

// Guards against refusals of what the fleet has room for: each host has a window of its own at a brittle upstream.
#[test]
fn a_crowded_host_uses_the_room_of_brittle_upstreams() {
    let upstreams = start_upstreams(&Behaviour::AnswerAfter(CALL_TIME, "sound"));
    let hosts = start_fleet(route("once"), &upstreams);
    for upstream in &upstreams {
        upstream.be_brittle(8.0, 4);
    }

    check_crowded(&hosts);
}

// Guards against refusals for want of retries: the budget is shared by hosts.
#[test]
fn a_crowded_host_repeats_what_an_upstream_did_not_run() {
    let mut upstreams = start_upstreams(&Behaviour::AnswerAfter(CALL_TIME, "sound"));
    upstreams.push(FakeUpstream::start("up-refusing", &[Behaviour::NotRun]));
    let hosts = start_fleet(route("once"), &upstreams);

    check_crowded(&hosts);
}

/// Requests over the bound were read and got no answer: their connections were shut in both directions.
#[test]
fn a_request_that_arrives_with_a_connection_over_the_bound_is_refused() {
    let upstream = FakeUpstream::start("up-0", &[Behaviour::Answer(200, "sound")]);
    let routes = json!([route("once")]);
    let world = World::serving_with(limit_connections, routes, &[&upstream]);
    let _idle: Vec<Caller> = (0..CONNECTIONS_MAX)
        .map(|_| Caller::connect(world.callers()))
        .collect();
    let request = post("/nets/7", "", "tighten");

    let answers: Vec<_> = (0..OVER).map(|_| ask(world.callers(), &request)).collect();

    let (refused, unread): (Vec<_>, Vec<_>) =
        answers.iter().partition(|answer| answer.status == 503);
    assert!(!refused.is_empty());
    let is_told = |answer: &&Answer| answer.whole && ran(answer) == "no";
    assert!(refused.iter().all(is_told), "{refused:?}");
    assert!(unread.iter().all(|answer| **answer == Answer::default()));
    assert_eq!(upstream.seen().len(), 0);
}

/// A host with a bound on its callers' connections, and as many connections as it takes.
fn start_crowded() -> (World, Vec<Caller>) {
    let upstream = FakeUpstream::start("up-0", &[Behaviour::Answer(200, "sound")]);
    let routes = json!([route("once")]);
    let world = World::serving_with(limit_connections, routes, &[&upstream]);
    let mut callers: Vec<Caller> = (0..CONNECTIONS_MAX)
        .map(|_| Caller::connect(world.callers()))
        .collect();
    for caller in &mut callers {
        caller.send(post("/nets/7", "", "tighten"));
    }
    (world, callers)
}

// Guards against a host without descriptors, which can't connect to upstreams: callers keep their connections open.
#[test]
fn a_host_closes_connections_after_their_answer_before_it_has_too_many() {
    let (world, mut callers) = start_crowded();

    let answers: Vec<_> = callers.iter_mut().map(Caller::read).collect();
    drop(callers);

    assert!(answers.iter().all(|answer| answer.status == 200));
    let closed = answers
        .iter()
        .filter(|answer| answer.header("connection") == Some("close"));
    assert!(closed.count() > 0);
    let is_kept = || {
        ask(world.callers(), &post("/nets/7", "", ""))
            .header("connection")
            .is_none()
    };
    assert!(wait_until(is_kept));
}

// Guards against a host without descriptors.
#[test]
fn a_host_closes_new_connections_unread_while_it_has_too_many() {
    let upstream = FakeUpstream::start("up-0", &[Behaviour::Answer(200, "sound")]);
    let routes = json!([route("once")]);
    let world = World::serving_with(limit_connections, routes, &[&upstream]);
    let idle: Vec<Caller> = (0..CONNECTIONS_MAX)
        .map(|_| Caller::connect(world.callers()))
        .collect();

    let over = Caller::connect(world.callers()).read();
    drop(idle);
    let is_served = || ask(world.callers(), &post("/nets/7", "", "tighten")).status == 200;

    assert_eq!(over.status, 0);
    assert!(wait_until(is_served));
}
