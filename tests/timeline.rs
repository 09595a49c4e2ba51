//! `cedargauge-timeline` over real processes.

mod tester;

use std::fs;
use std::path::Path;
use std::process::Output;

use assert_cmd::Command;

use crate::tester::Service;
use cedargauge::standin_service::ServiceFault;
use cedargauge::timeline::Moment;

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
