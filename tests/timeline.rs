//! `cedargauge-timeline` over real processes.

mod tester;

use std::fs;
use std::path::Path;
use std::process::Output;
use std::thread;
use std::time::Duration;

use assert_cmd::Command;

use crate::tester::Deployment;
use crate::tester::DeploymentOptions;
use crate::tester::Service;
use crate::tester::completion_request;
use crate::tester::get_json;
use crate::tester::http_agent;
use crate::tester::wait_until;
use cedargauge::event::Event;
use cedargauge::event::EventCode;
use cedargauge::standin_service::ServiceFault;
use cedargauge::standin_table::DEMO_KEY;
use cedargauge::standin_table::INSPECTION;
use cedargauge::timeline::Moment;

const BOUND: Duration = Duration::from_secs(30);

fn timeline(arguments: &[&str]) -> Output {
    Command::cargo_bin("cedargauge-timeline")
        .expect("the program")
        .args(arguments)
        .output()
        .expect("its output")
}

fn stdout(output: &Output) -> &str {
    std::str::from_utf8(&output.stdout).expect("text")
}

/// The moments of two services of which the first had a fault.
fn two_services() -> [Service; 2] {
    let services = [Service::start(), Service::start()];
    services[0].fault(&ServiceFault::Slow { ms: 1 });
    services
}

fn keep(directory: &Path, output: &Output) -> String {
    let path = directory.join("events.jsonl");
    fs::write(&path, &output.stdout).expect("written");
    path.display().to_string()
}

#[test]
fn the_events_of_two_processes_are_merged() {
    let services = two_services();

    let output = timeline(&[
        &services[0].address,
        &services[1].address,
        "--format",
        "json",
    ]);

    let moments: Vec<Moment> = stdout(&output)
        .lines()
        .map(|line| serde_json::from_str(line).unwrap())
        .collect();
    let names: Vec<_> = moments.iter().map(|m| m.event.code.name()).collect();
    assert!(output.status.success());
    assert_eq!(names, ["ProcessStarted", "ProcessStarted", "FaultArmed"]);
}

#[test]
fn a_kept_time_line_is_read_again_and_drawn() {
    let services = two_services();
    let directory = tempfile::tempdir().unwrap();
    let kept = timeline(&[&services[0].address, "--format", "json"]);
    let file = keep(directory.path(), &kept);

    let text = timeline(&["--file", &file, "--hundreds", "9"]);
    let picture = timeline(&["--file", &file, "--format", "svg"]);

    assert_eq!(stdout(&text).lines().count(), 1);
    assert!(stdout(&text).contains("E902 FaultArmed"));
    assert!(stdout(&picture).contains("902 FaultArmed"));
}

#[test]
fn a_process_that_is_gone_is_named_and_the_others_are_shown() {
    let [mut gone, alive] = two_services();
    gone.program.kill();

    let output = timeline(&[&gone.address, &alive.address]);

    let complaint = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(output.status.code(), Some(1));
    assert!(complaint.contains(&gone.address));
    assert!(stdout(&output).contains("E100 ProcessStarted"));
}

/// Three hosts with streams under way, of which the first is killed; ready when a survivor has
/// seen it die.
fn deployment_with_a_killed_owner() -> Deployment {
    let mut deployment = Deployment::start(&DeploymentOptions {
        engines: 3,
        hosts: 3,
        ..DeploymentOptions::default()
    });
    deployment.wait_ready();
    let survivor = deployment.hosts[1].caller.clone();
    // Only a member can die: the survivor must know both others first.
    assert!(wait_until(BOUND, || {
        times_seen(&survivor, EventCode::PeerJoined) >= 2
    }));
    let callers: Vec<_> = (0..6)
        .map(|number| {
            let caller = deployment.hosts[1 + number % 2].caller.clone();
            thread::spawn(move || complete(&caller, &format!("net {number} #tokens=150")))
        })
        .collect();
    assert!(wait_until(BOUND, || running(&deployment) > 0));
    deployment.hosts[0].program.kill();
    assert!(wait_until(BOUND, || {
        times_seen(&survivor, EventCode::PeerDied) > 0
    }));
    for caller in callers {
        assert_eq!(caller.join().expect("an answer"), 200);
    }
    deployment
}

fn complete(caller: &str, prompt: &str) -> u16 {
    http_agent()
        .post(format!("http://{caller}/v1/completions"))
        .header("authorization", format!("Bearer {DEMO_KEY}"))
        .send_json(completion_request(INSPECTION, prompt, false))
        .expect("an answer")
        .status()
        .as_u16()
}

fn running(deployment: &Deployment) -> u64 {
    let engines = deployment.engines.iter();
    engines.map(|engine| engine.counters().running).sum()
}

fn times_seen(address: &str, code: EventCode) -> usize {
    let events: Vec<Event> = get_json(address, "/events");
    events.iter().filter(|event| event.code == code).count()
}

#[test]
fn the_survivors_tell_the_story_of_a_killed_owner() {
    let deployment = deployment_with_a_killed_owner();
    let mut addresses: Vec<&str> = vec![&deployment.hosts[1].caller, &deployment.hosts[2].caller];
    addresses.extend(
        deployment
            .engines
            .iter()
            .map(|engine| engine.address.as_str()),
    );

    let text = timeline(&addresses);
    let picture = timeline(&[&addresses[..], &["--format", "svg"]].concat());

    for expected in [
        "PeerSuspected",
        "PeerDied",
        "OwnersChanged",
        "RequestComplete",
    ] {
        assert!(stdout(&text).contains(expected), "{expected}");
        assert!(stdout(&picture).contains(expected), "{expected}");
    }
    assert!(stdout(&picture).contains("entry-1"));
}
