//! Runs are moved off a leaving engine in the order in which most can be saved.

use std::time::Duration;

use serde_json::json;

use crate::gatewayworld::Behaviour;
use crate::gatewayworld::Caller;
use crate::gatewayworld::FakeUpstream;
use crate::gatewayworld::World;
use crate::gatewayworld::route_to;
use crate::gatewayworld::table;
use crate::gatewayworld::wait_until;
use crate::ids;
use crate::post;
use cedargauge::gateway::settings::LoadFeatures;

/// Time that the leaving engine takes for each copy.
const COPY_TIME: Duration = Duration::from_millis(100);

/// Hosts with ordered moves, before engines of one service.
fn start(hosts: usize, engines: &[&FakeUpstream]) -> Vec<World> {
    let features = LoadFeatures {
        ordered_moves: true,
        ..LoadFeatures::default()
    };
    let hosts = World::start_fleet_with(hosts, features);
    for engine in engines {
        hosts[0].list(engine, "ready");
    }
    let routes = json!([route_to("stream", "reports")]);
    hosts[0].log.put("operator", "table", &table(1, routes));
    assert!(wait_until(|| hosts.iter().all(World::is_ready)));
    hosts
}

/// An engine whose runs go on after their seventh event until they are stopped.
fn held_engine(id: &str) -> FakeUpstream {
    let held = Behaviour::Events {
        to: 400,
        break_after: None,
        hold_after: Some(7),
    };
    FakeUpstream::of("reports", id, &[held])
}

/// A caller of a run with a prompt of so many tokens, of which it has seven events. A host that hasn't heard yet that
/// the prompt before is read turns it away.
fn caller(host: &World, id: &str, prompt_tokens: u32) -> Caller {
    let headers = format!("connection: close\r\ntokens: 400\r\nprompt-tokens: {prompt_tokens}\r\n");
    let request = post("/nets/7", &headers, "report").replace("r-1", id);
    let mut taken = None;
    let is_taken = wait_until(|| {
        let mut caller = Caller::connect(host.callers());
        caller.send(&request);
        let is_taken = caller.read_until("id: 7\n");
        taken = Some(caller).filter(|_| is_taken);
        is_taken
    });
    assert!(is_taken);
    taken.expect("a caller")
}

// Guards against lost streams: the first host by name went first, though its run's copy could not end in time.
#[test]
fn a_run_that_can_be_saved_moves_before_one_that_cannot() {
    let leaving = held_engine("engine-0");
    let hosts = start(2, &[&leaving]);
    let callers = [
        caller(&hosts[0], "r-large", 20_000),
        caller(&hosts[1], "r-small", 500),
    ];
    leaving.copy_for(COPY_TIME);
    let other = FakeUpstream::of("reports", "engine-9", &[crate::events(400)]);
    hosts[0].list(&other, "ready");

    hosts[0].list(&leaving, "leaving");
    let answers = callers.map(|mut caller| caller.read());

    assert_eq!(leaving.stopped(), ["r-small", "r-large"]);
    for answer in answers {
        assert!(answer.whole);
        assert_eq!(ids(&answer.text()), (1..=400).collect::<Vec<u64>>());
    }
}

// Guards against lost streams: another data centre's engine is far for a copy that no longer fits.
#[test]
fn a_run_goes_to_another_data_centre_only_if_its_copy_fits() {
    let leaving = held_engine("engine-0");
    let hosts = start(1, &[&leaving]);
    let callers = [
        caller(&hosts[0], "r-large", 14_000),
        caller(&hosts[0], "r-small", 500),
    ];
    let far = FakeUpstream::of("reports", "engine-9", &[crate::events(400)]).in_data_centre("east");
    hosts[0].list(&far, "ready");
    hosts[0].list(&leaving, "leaving");
    let [mut large, mut small] = callers;
    let small = small.read();
    assert!(small.whole);

    let near = FakeUpstream::of("reports", "engine-8", &[crate::events(400)]);
    hosts[0].list(&near, "ready");
    let large = large.read();

    assert!(large.whole);
    assert_eq!((far.seen().len(), near.seen().len()), (1, 1));
    assert_eq!(near.seen()[0].header("request-id"), Some("r-large"));
}

// Guards against late events: a run was stopped while the copy of another engine's run took its destination's link.
#[test]
fn a_run_is_not_stopped_while_another_engines_copy_is_under_way_to_its_destination() {
    let engines = ["engine-0", "engine-1"].map(held_engine);
    let hosts = start(1, &[&engines[0], &engines[1]]);
    let callers = ["r-first", "r-second"].map(|id| caller(&hosts[0], id, 500));
    let [slow, quick] = engines;
    assert_eq!((slow.seen().len(), quick.seen().len()), (1, 1));
    let slow_run = slow.seen()[0]
        .header("request-id")
        .expect("an id")
        .to_owned();
    slow.copy_for(COPY_TIME);
    let other = FakeUpstream::of("reports", "engine-9", &[crate::events(400)]);
    hosts[0].list(&other, "ready");

    hosts[0].list(&slow, "leaving");
    hosts[0].list(&quick, "leaving");
    let answers = callers.map(|mut caller| caller.read());

    assert!(answers.iter().all(|answer| answer.whole));
    let continued = other.seen();
    assert_eq!(continued.len(), 2);
    assert_eq!(continued[0].header("request-id"), Some(&*slow_run));
}
