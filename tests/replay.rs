//! `cedargauge-replay`: driving a real deployment, and stated outcomes of recorded traces.

#![allow(clippy::unwrap_used, reason = "fixtures of tests")]

mod tester;

use std::path::Path;
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
fn missing_trace_is_named() {
    let path = Path::new("no-such-trace.jsonl");

    let output = replay(&["compare", path.to_str().unwrap()]);

    let error = String::from_utf8(output.stderr).unwrap();
    assert!(error.contains("no-such-trace.jsonl"), "{error}");
    assert!(!output.status.success());
}
