//! `cedargauge-replay`: driving a real deployment, and stated outcomes of recorded traces.

#![allow(clippy::unwrap_used, reason = "fixtures of tests")]

mod tester;

use std::fs;
use std::path::Path;
use std::path::PathBuf;
use std::process::Command;
use std::process::Output;

use serde_json::Value;
use tempfile::TempDir;

use crate::tester::Deployment;
use crate::tester::DeploymentOptions;

fn replay(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_cedargauge-replay"))
        .args(arguments)
        .output()
        .unwrap()
}

fn synthetic_trace(directory: &TempDir, preset: &str, requests: &str) -> String {
    let path = directory.path().join("trace.jsonl");
    let path = path.to_str().unwrap().to_owned();
    let mut arguments = vec!["synth", "--preset", preset, "--out", path.as_str()];
    arguments.extend(["--requests", requests, "--minutes", "0.05"]);
    let output = replay(&arguments);
    assert!(output.status.success(), "{output:?}");
    path
}

#[test]
fn driven_deployment_keeps_every_promise() {
    let deployment = Deployment::start(&DeploymentOptions::default());
    let directory = tempfile::tempdir().unwrap();
    let trace = synthetic_trace(&directory, "many-hosts", "120");
    let mut arguments = vec!["drive", trace.as_str(), "--json", "--no-cuts"];
    arguments.extend([
        "--plain",
        "crew-app",
        "--entry",
        &deployment.hosts[0].caller,
    ]);
    arguments.extend(["--service", &deployment.services[0].address]);
    for engine in &deployment.engines {
        arguments.extend(["--engine", &engine.address]);
    }

    let output = replay(&arguments);

    let report: Value = serde_json::from_slice(&output.stdout).unwrap();
    assert_eq!(report["broken"], Value::Array(Vec::new()));
    assert_eq!(report["unread_counters"], Value::Array(Vec::new()));
    assert_eq!(report["completed"], 120, "{report}");
    assert!(output.status.success());
}

#[test]
fn drive_without_a_host_sends_nothing_and_says_so() {
    let directory = tempfile::tempdir().unwrap();
    let trace = synthetic_trace(&directory, "many-hosts", "4");
    let unused = "127.0.0.1:9";

    let output = replay(&["drive", &trace, "--json", "--tries", "1", "--entry", unused]);

    let report: Value = serde_json::from_slice(&output.stdout).unwrap();
    assert_eq!(report["not_sent"], 4, "{report}");
    assert!(output.status.success());
}

#[test]
fn comparison_has_the_documented_metrics_for_every_policy() {
    let directory = tempfile::tempdir().unwrap();
    let trace = synthetic_trace(&directory, "hoher-grat", "60");

    let output = replay(&["compare", &trace, "--json"]);

    let comparison: Value = serde_json::from_slice(&output.stdout).unwrap();
    for policy in ["cedargauge", "round-robin", "least-requests", "oracle"] {
        let figures = &comparison["policies"][policy];
        for metric in [
            "stall_ms_p99",
            "stall_ms_total",
            "preemptions",
            "token_gap_ms_p99",
            "token_gap_ms_p999",
            "first_token_ms_p95",
            "goodput_tokens_per_s",
            "refused",
            "completed",
        ] {
            assert!(figures[metric].is_number(), "{policy} {metric}");
        }
    }
}

#[test]
fn traces_reach_their_stated_outcomes() {
    let traces = fs::read_dir("tests/traces").unwrap();
    let paths: Vec<PathBuf> = traces.map(|entry| entry.unwrap().path()).collect();

    for path in &paths {
        let output = replay(&["compare", path.to_str().unwrap(), "--json"]);

        let comparison: Value = serde_json::from_slice(&output.stdout).unwrap();
        let outcomes = &comparison["outcomes"];
        assert!(output.status.success(), "{}: {outcomes}", path.display());
        assert!(!outcomes.as_array().unwrap().is_empty());
    }
    assert!(paths.len() >= 3);
}

#[test]
fn broken_outcome_is_named_and_fails_the_comparison() {
    let directory = tempfile::tempdir().unwrap();
    let trace = synthetic_trace(&directory, "hoher-grat", "20");
    let stated = r#"{"outcome":{"policy":"oracle","metric":"completed","at_least":1000}}"#;
    let text = fs::read_to_string(&trace).unwrap();
    fs::write(&trace, format!("{text}{stated}\n")).unwrap();

    let output = replay(&["compare", &trace, "--policies", "oracle"]);

    let printed = String::from_utf8(output.stdout).unwrap();
    assert!(printed.contains("BROKEN: oracle completed is"), "{printed}");
    assert_eq!(output.status.code(), Some(1));
}

#[test]
fn recorded_time_line_converts_to_a_trace_that_replays() {
    let deployment = Deployment::start(&DeploymentOptions::default());
    let caller = &deployment.hosts[0].caller;
    let directory = tempfile::tempdir().unwrap();
    let trace = synthetic_trace(&directory, "hoher-grat", "12");
    let inspection_only = only_inspection(&trace);
    let driven = replay(&["drive", &trace, "--entry", caller]);
    assert!(driven.status.success(), "{driven:?}");
    let timeline = directory.path().join("timeline.jsonl");
    let recorded = Command::new(env!("CARGO_BIN_EXE_cedargauge-timeline"))
        .args(["--format", "json", caller])
        .output()
        .unwrap();
    fs::write(&timeline, recorded.stdout).unwrap();
    let converted = directory.path().join("converted.jsonl");
    let converted = converted.to_str().unwrap();

    let output = replay(&["convert", timeline.to_str().unwrap(), "--out", converted]);

    assert!(output.status.success(), "{output:?}");
    let requests = fs::read_to_string(converted).unwrap();
    assert_eq!(requests.matches("\"request\"").count(), inspection_only);
    assert!(replay(&["compare", converted]).status.success());
}

/// Leaves only requests of the small table's model in the trace; answers how many.
fn only_inspection(trace: &str) -> usize {
    let text = fs::read_to_string(trace).unwrap();
    let kept: Vec<&str> = text
        .lines()
        .filter(|line| line.starts_with("{\"trace\"") || line.contains("\"inspection\""))
        .collect();
    fs::write(trace, kept.join("\n")).unwrap();
    kept.len() - 1
}

#[test]
fn missing_trace_is_named() {
    let path = Path::new("no-such-trace.jsonl");

    let output = replay(&["compare", path.to_str().unwrap()]);

    let error = String::from_utf8(output.stderr).unwrap();
    assert!(error.contains("no-such-trace.jsonl"), "{error}");
    assert!(!output.status.success());
}
