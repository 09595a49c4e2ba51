//! A host loses its links to all upstreams, while callers, the log and the other hosts still reach it.

use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;

use crate::LEAVING_BOUND;
use crate::code;
use crate::events;
use crate::gatewayworld::Answer;
use crate::gatewayworld::Behaviour;
use crate::gatewayworld::Caller;
use crate::gatewayworld::Cut;
use crate::gatewayworld::FakeUpstream;
use crate::gatewayworld::World;
use crate::gatewayworld::ask;
use crate::gatewayworld::route;
use crate::gatewayworld::route_to;
use crate::gatewayworld::table;
use crate::gatewayworld::wait_until;
use crate::ids;
use crate::post;
use crate::sum_seen;
use cedargauge::gateway::settings::LoadFeatures;

const HOSTS: usize = 4;
/// Time after a cut from which callers of a cut host are served like others.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// A refusal takes no longer than this.
const REFUSED_WITHIN: Duration = Duration::from_millis(500);
/// Requests to a cut host after that time.
const REQUESTS: usize = 20;

const ALL_CUTS: [Cut; 3] = [Cut::Reset, Cut::Silent, Cut::NewRefused];

/// Starts hosts that know each other and these upstreams, with one route.
fn start_fleet(route: Value, upstreams: &[FakeUpstream]) -> Vec<World> {
    let hosts = World::start_fleet(HOSTS);
    serve(&hosts, route, upstreams);
    hosts
}

/// Has hosts serve one route by these upstreams; returns once they know them and each other.
fn serve(hosts: &[World], route: Value, upstreams: &[FakeUpstream]) {
    hosts.iter().for_each(|host| host.links.prepare_cuts());
    for upstream in upstreams {
        hosts[0].list(upstream, "ready");
    }
    let log = &hosts[0].log;
    log.put("operator", "table", &table(1, json!([route])));
    assert!(wait_until(|| hosts.iter().all(World::is_ready)));
    // Each host has heard all others.
    assert!(wait_until(|| {
        let joined = |host: &World| host.lines.of("PeerJoined").len();
        hosts.iter().all(|host| joined(host) == HOSTS - 1)
    }));
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
    let hosts = start_fleet(route("idempotent"), &start_upstreams());

    let refused = refusals_after_cuts(&hosts[1]);

    let expected = ALL_CUTS.map(|cut| (cut, 0));
    assert_eq!(refused, expected, "{}", hosts[1].last_lines(12));
}

// Guards against refusing what may run only once, which never uses a connection from before the cut.
#[test]
fn calls_that_run_once_to_a_host_without_links_run_once() {
    let upstreams = start_upstreams();
    let hosts = start_fleet(route("once"), &upstreams);
    let cut_off = &hosts[1];
    for cut in ALL_CUTS {
        cut_off.links.cut(cut);
        assert!(wait_until(|| ask_one(cut_off).status == 200));
        let seen_before = sum_seen(&upstreams);

        let statuses: Vec<u16> = (0..REQUESTS).map(|_| ask_one(cut_off).status).collect();

        assert_eq!(statuses, [200; REQUESTS], "{cut:?}");
        assert_eq!(sum_seen(&upstreams) - seen_before, REQUESTS, "{cut:?}");
        cut_off.links.heal();
        assert!(wait_until(|| is_in_reach(cut_off)));
    }
}

/// Whether the host last logged that it reaches upstreams.
fn is_in_reach(host: &World) -> bool {
    let lost = host.lines.of("UpstreamsOutOfReach").len();
    lost == host.lines.of("UpstreamsInReach").len()
}

/// Engines whose streams have 40 events.
fn start_engines() -> Vec<FakeUpstream> {
    let names = ["engine-0", "engine-1", "engine-2"];
    names
        .map(|name| FakeUpstream::of("reports", name, &[events(40)]))
        .into()
}

fn ask_stream(host: &World) -> Answer {
    ask(host.callers(), &post("/nets/7", "tokens: 40\r\n", "report"))
}

// Guards against refusing generations, which wait for engine memory and stream their answer.
#[test]
fn generations_of_a_host_without_links_are_streamed_whole() {
    for features in [LoadFeatures::default(), shared_queue()] {
        let hosts = World::start_fleet_with(HOSTS, features);
        let engines = start_engines();
        serve(&hosts, route_to("stream", "reports"), &engines);
        for cut in ALL_CUTS {
            hosts[1].links.cut(cut);
            assert!(wait_until(|| ask_stream(&hosts[1]).status == 200));
            let seen_before = sum_seen(&engines);

            let answer = ask_stream(&hosts[1]);

            assert!(answer.whole, "{cut:?}: {}", hosts[1].last_lines(8));
            assert_eq!(ids(&answer.text()), (1..=40).collect::<Vec<u64>>());
            assert_eq!(sum_seen(&engines) - seen_before, 1);
            hosts[1].links.heal();
            assert!(wait_until(|| is_in_reach(&hosts[1])));
        }
    }
}

fn shared_queue() -> LoadFeatures {
    LoadFeatures {
        shared_queue: true,
        ..LoadFeatures::default()
    }
}

/// One engine whose streams go on until they are left, before hosts of which the second is cut off.
fn start_endless() -> (Vec<World>, FakeUpstream) {
    let endless = Behaviour::Events {
        to: 40,
        break_after: None,
        hold_after: Some(3),
    };
    let engine = FakeUpstream::of("reports", "engine", &[endless]);
    let engines = std::slice::from_ref(&engine);
    let hosts = start_fleet(route_to("stream", "reports"), engines);
    hosts[1].links.cut(Cut::Silent);
    (hosts, engine)
}

// Guards against work for nobody: a close has to pass both hops.
#[test]
fn a_caller_who_leaves_a_host_without_links_frees_the_engine() {
    let (hosts, engine) = start_endless();
    // The first request finds out that the engine can't be reached.
    ask_stream(&hosts[1]);
    let mut caller = Caller::connect(hosts[1].callers());
    caller.send(post("/nets/7", "tokens: 40\r\n", "report"));
    assert!(caller.read_until("id: 3\n"), "{}", hosts[1].last_lines(8));

    let left = Instant::now();
    drop(caller);
    let freed = wait_until(|| engine.closed_by_gateway() == 1);

    assert!(freed && left.elapsed() < LEAVING_BOUND);
}

// Guards against half an answer that looks whole: the carrier's end closes its connections like any other.
#[test]
fn a_stream_whose_carrier_ends_looks_broken_and_is_not_run_again() {
    let (hosts, engine) = start_endless();
    ask_stream(&hosts[1]);
    let mut caller = Caller::connect(hosts[1].callers());
    caller.send(post("/nets/7", "tokens: 40\r\n", "report"));
    assert!(caller.read_until("id: 3\n"), "{}", hosts[1].last_lines(8));
    let carried = hosts[1].lines.of("UpstreamTunnelled");
    let carrier = carried.last().unwrap()["carrier"].as_str().unwrap();

    let host = hosts.iter().find(|host| host.name() == carrier);
    host.unwrap().kill();
    let answer = caller.read();

    assert!(!answer.whole);
    assert_eq!(engine.seen().len(), 1);
}

// Guards against too few carriers: most hosts of a data centre can lose their links at once.
#[test]
fn all_callers_are_served_while_one_host_alone_has_links() {
    let hosts = start_fleet(route("once"), &start_upstreams());
    for host in &hosts[1..] {
        host.links.cut(Cut::Silent);
    }
    for host in &hosts[1..] {
        assert!(
            wait_until(|| ask_one(host).status == 200),
            "{}",
            host.last_lines(8)
        );
    }

    let statuses: Vec<u16> = hosts.iter().map(|host| ask_one(host).status).collect();

    assert_eq!(statuses, [200; HOSTS]);
    // A host that is cut off itself carries nothing.
    for host in &hosts[1..] {
        let carried = host.lines.of("ConnectionCarried");
        assert!(carried.iter().all(|entry| entry["outcome"] != "open"));
    }
}

// Guards against loops and against waiting for nothing: hosts could pass a request on to each other without end.
#[test]
fn a_request_is_refused_in_time_while_no_host_has_links() {
    let upstreams = start_upstreams();
    let hosts = start_fleet(route("once"), &upstreams);
    for host in &hosts {
        host.links.cut(Cut::Reset);
    }
    // Every host has found out that it is cut off, and told the others.
    for host in &hosts {
        assert!(wait_until(|| {
            ask_one(host);
            host.lines.of("UpstreamsOutOfReach").len() == 1
        }));
    }

    let asked = Instant::now();
    let answer = ask_one(&hosts[1]);

    assert_eq!(
        (answer.status, code(&answer)),
        (503, "no_upstream".to_owned())
    );
    assert!(asked.elapsed() < REFUSED_WITHIN, "{:?}", asked.elapsed());
    assert_eq!(sum_seen(&upstreams), 0);
}

// Guards against load on the hosts in touch for longer than needed.
#[test]
fn a_host_whose_links_are_back_uses_them() {
    let hosts = start_fleet(route("once"), &start_upstreams());
    hosts[1].links.cut(Cut::Silent);
    assert!(wait_until(|| hosts[1]
        .lines
        .of("UpstreamsOutOfReach")
        .len()
        == 1
        || ask_one(&hosts[1]).status == 0));
    hosts[1].links.heal();
    assert!(wait_until(|| is_in_reach(&hosts[1])));
    let tunnelled = hosts[1].lines.of("UpstreamTunnelled").len();

    let statuses: Vec<u16> = (0..REQUESTS).map(|_| ask_one(&hosts[1]).status).collect();

    assert_eq!(statuses, [200; REQUESTS]);
    assert_eq!(hosts[1].lines.of("UpstreamTunnelled").len(), tunnelled);
}

// Guards against tunnels for a fault of upstreams: two that are gone don't mean that the host is cut off.
#[test]
fn a_host_that_reaches_other_upstreams_stays_in_touch() {
    let sound = FakeUpstream::start("up-0", &[Behaviour::Answer(200, "sound")]);
    let gone = ["up-1", "up-2"].map(FakeUpstream::absent);
    let [first, second] = gone;
    let hosts = start_fleet(route("once"), &[sound, first, second]);

    let statuses: Vec<u16> = (0..REQUESTS).map(|_| ask_one(&hosts[1]).status).collect();

    assert_eq!(statuses, [200; REQUESTS]);
    assert!(wait_until(|| is_in_reach(&hosts[1])));
}

// Guards against a request that passes through a region where it may not run.
#[test]
fn a_request_for_other_regions_is_not_carried_by_hosts_outside_them() {
    let coast = start_upstreams().into_iter();
    let coast: Vec<FakeUpstream> = coast.map(|up| up.in_data_centre("south")).collect();
    let mut route = route("once");
    route["regions"] = json!(["coast"]);
    let hosts = start_fleet(route, &coast);
    assert_eq!(ask_one(&hosts[1]).status, 200);
    hosts[1].links.cut(Cut::Reset);

    let statuses: Vec<u16> = (0..5).map(|_| ask_one(&hosts[1]).status).collect();

    assert_eq!(statuses, [503; 5]);
    assert!(
        hosts
            .iter()
            .all(|host| host.lines.of("ConnectionCarried").is_empty())
    );
}

// Guards against sound upstreams lost to hosts in touch: a cut host told them that it couldn't connect to any.
#[test]
fn a_host_without_links_takes_no_upstream_from_the_others() {
    let hosts = start_fleet(route("once"), &start_upstreams());
    for cut in [Cut::Reset, Cut::Silent] {
        hosts[1].links.cut(cut);
        ask_for(&hosts[1], Duration::from_millis(1_500));
        hosts[1].links.heal();
        assert!(wait_until(|| is_in_reach(&hosts[1])));
    }

    let told = hosts.iter().flat_map(|host| host.lines.of("UpstreamLost"));
    let told: Vec<Value> = told.filter(|entry| entry.get("source").is_some()).collect();
    assert_eq!(told, Vec::<Value>::new());
}

// Guards against harmless requests held back by all hosts: a reset of a host's links looks like crashes of all its
// upstreams.
#[test]
fn requests_that_ran_as_a_hosts_links_broke_are_not_taken_for_crashing_upstreams() {
    let upstreams: Vec<FakeUpstream> = ["up-0", "up-1", "up-2", "up-3", "up-4"]
        .map(|name| FakeUpstream::start(name, &[Behaviour::Mute]))
        .into();
    let hosts = start_fleet(route("once"), &upstreams);
    let callers: Vec<Caller> = (0..10)
        .map(|_| {
            let mut caller = Caller::connect(hosts[1].callers());
            caller.send(post("/nets/7", "", "tighten"));
            caller
        })
        .collect();
    assert!(wait_until(|| sum_seen(&upstreams) == callers.len()));
    for upstream in &upstreams {
        upstream.behave_as(Behaviour::Answer(200, "sound"));
    }

    hosts[1].links.cut(Cut::Reset);
    let failed: Vec<u16> = callers
        .into_iter()
        .map(|mut caller| caller.read().status)
        .collect();
    assert!(
        wait_until(|| ask_one(&hosts[1]).status == 200),
        "{}",
        hosts[1].last_lines(8)
    );

    assert!(failed.iter().all(|status| *status == 502), "{failed:?}");
    let statuses: Vec<u16> = (0..HOSTS * 5)
        .map(|index| ask_one(&hosts[index % HOSTS]).status)
        .collect();
    assert_eq!(statuses, [200; HOSTS * 5]);
    assert!(
        hosts
            .iter()
            .all(|host| host.lines.of("RequestSuspected").is_empty())
    );
}

/// Hosts without links kept the connections in use that a stopping host carried for them, to the end of its grace period.
#[test]
fn a_carrier_that_stops_ends_though_hosts_without_links_keep_sending() {
    let mut hosts = start_fleet(route("idempotent"), &start_upstreams());
    for host in &hosts[1..] {
        host.links.cut(Cut::Silent);
    }
    for host in &hosts[1..] {
        assert!(wait_until(|| ask_one(host).status == 200));
    }

    let mut carrier = hosts.remove(0);
    carrier.drain();
    let ended = || {
        hosts.iter().for_each(|host| {
            ask_one(host);
        });
        let complete = carrier.lines.of("ShutdownComplete").len();
        complete + carrier.lines.of("ShutdownForced").len() > 0
    };

    assert!(wait_until(ended));
    let began = &carrier.lines.of("ShutdownBegan")[0];
    let complete = carrier.lines.of("ShutdownComplete");
    assert_eq!(complete.len(), 1, "{began}");
    assert!(carrier.lines.of("ShutdownForced").is_empty());
}
