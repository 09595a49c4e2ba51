//! `cedargauge explain` on a request that was queued, moved and resumed, over two entry hosts as
//! processes.

mod tester;

use std::thread;
use std::time::Duration;

use assert_cmd::Command;
use serde_json::Value;

use crate::tester::Ask;
use crate::tester::Deployment;
use crate::tester::DeploymentOptionsBuilder;
use crate::tester::get_json;
use crate::tester::wait_until;
use cedargauge::event::Event;
use cedargauge::event::EventCode;
use cedargauge::standin_faults::EngineFault;
use cedargauge::standin_faults::StreamFault;
use cedargauge::standin_faults::StreamFaultKind;

const BOUND: Duration = Duration::from_secs(20);

/// So many that each host owns at least one of them but once in 500 runs, whatever their ports.
const ENGINES: usize = 10;

/// Long enough to outlast the test.
const FOREVER_MS: u64 = 600_000;

fn deploy() -> Deployment {
    let mut options = DeploymentOptionsBuilder::default();
    options.engines(ENGINES).hosts(2).services(0);
    let deployment = Deployment::start(&options.build().expect("options"));
    deployment.wait_ready();
    wait_until_hosts_know_each_other(&deployment);
    deployment
}

/// A host that is ready may not have heard of the other yet; it then owns all engines and decides alone.
fn wait_until_hosts_know_each_other(deployment: &Deployment) {
    for host in &deployment.hosts {
        let knows = wait_until(BOUND, || {
            let events: Vec<Event> = get_json(&host.caller, "/events");
            let has = |code| events.iter().any(|event| event.code == code);
            has(EventCode::PeerJoined) && has(EventCode::OwnersChanged)
        });
        assert!(knows, "a host doesn't hear the other");
    }
}

fn fault(kind: StreamFaultKind, after_tokens: u32, times: u32) -> EngineFault {
    EngineFault::Stream(StreamFault {
        kind,
        attempt: None,
        key: Some("net-7".to_owned()),
        after_tokens,
        times,
    })
}

fn fault_all(deployment: &Deployment, fault: &EngineFault) {
    for engine in &deployment.engines {
        engine.fault(fault);
    }
}

/// The engine that runs the request.
fn running_engine(deployment: &Deployment) -> usize {
    let mut found = None;
    let runs = wait_until(BOUND, || {
        found = deployment
            .engines
            .iter()
            .position(|engine| engine.counters().keys.contains_key("net-7"));
        found.is_some()
    });
    assert!(runs, "no engine runs the request");
    found.expect("an engine")
}

/// The life of a request that is moved before its first token and whose stream is then cut.
fn move_and_resume(deployment: &mut Deployment, asked: usize) -> String {
    let silent = fault(StreamFaultKind::Stall { ms: FOREVER_MS }, 0, u32::MAX);
    fault_all(deployment, &silent);
    let caller = deployment.hosts[asked].caller.clone();
    let asking = thread::spawn(move || {
        let ask = Ask::new("Report on net 7 #tokens=40 #key=net-7");
        ask.open(&caller).read_all()
    });
    let first = running_engine(deployment);
    let mut engine = deployment.engines.remove(first);
    fault_all(deployment, &EngineFault::Clear);
    fault_all(deployment, &fault(StreamFaultKind::Break, 10, 1));
    engine.program.kill();
    let answer = asking.join().expect("an answer");
    assert!(answer.is_complete(), "{:?}", answer.error);
    let events: Vec<Event> = get_json(&deployment.hosts[asked].caller, "/events");
    let received = events
        .iter()
        .find(|event| event.code == EventCode::RequestReceived);
    let request = received.and_then(|event| event.request);
    request.expect("a request").to_string()
}

fn explain(deployment: &Deployment, request: &str, flags: &[&str]) -> String {
    let hosts: Vec<&str> = deployment
        .hosts
        .iter()
        .map(|host| host.caller.as_str())
        .collect();
    let mut command = Command::cargo_bin("cedargauge").expect("the program is built");
    command
        .args(["explain", request])
        .args(flags)
        .env("CEDARGAUGE_ENTRY", hosts.join(","));
    let assert = command.assert().success();
    String::from_utf8(assert.get_output().stdout.clone()).expect("UTF-8")
}

/// Deployments tried until both hosts had a part in the request. One host may own both engines, and
/// the same one in one deployment after the other; so the hosts are asked in turn, and the request of
/// every second deployment meets an owner at the other host.
const DEPLOYMENTS_MAX: usize = 12;

/// The hosts that an explanation in JSON names.
fn hosts_of(json: &str) -> std::collections::BTreeSet<String> {
    let explanation: Value = serde_json::from_str(json).expect("JSON");
    let events = explanation["events"].as_array().expect("events");
    let hosts = events.iter().filter_map(|event| event["host"].as_str());
    hosts.map(str::to_owned).collect()
}

/// A deployment, and a request of its that was moved and resumed and in which both hosts had a part.
fn request_over_two_hosts() -> (Deployment, String) {
    for number in 0..DEPLOYMENTS_MAX {
        let mut deployment = deploy();
        let request = move_and_resume(&mut deployment, number % 2);
        let events = deployment
            .hosts
            .iter()
            .flat_map(|host| get_json::<Vec<Event>>(&host.caller, "/events"));
        let taking_part: std::collections::BTreeSet<String> = events
            .filter(|event| event.request.is_some_and(|id| id.to_string() == request))
            .map(|event| event.host.to_string())
            .collect();
        if taking_part.len() == 2 {
            return (deployment, request);
        }
    }
    panic!("one host decided alone in {DEPLOYMENTS_MAX} deployments");
}

#[test]
fn explain_tells_a_request_that_was_queued_moved_and_resumed_over_two_hosts() {
    let (deployment, request) = request_over_two_hosts();

    let text = explain(&deployment, &request, &[]);
    let json = explain(&deployment, &request, &["--json"]);

    println!("{text}");
    for name in [
        "RequestReceived",
        "RequestQueued",
        "OwnerDecided",
        "RequestGranted",
        "RequestDispatched",
        "RequestRestarted",
        "StreamResumed",
        "RequestComplete",
    ] {
        assert!(text.contains(name), "{name} is not in\n{text}");
    }
    assert!(text.contains("used_tokens="), "no figures in\n{text}");
    assert_eq!(hosts_of(&json).len(), 2, "{text}");
}
