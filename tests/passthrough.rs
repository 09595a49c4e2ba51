//! Calls of plain services through an entry host, with real processes. Runs are counted by the
//! services.

#![allow(clippy::unwrap_used)]

mod tester;

use std::thread;
use std::time::Duration;

use serde_json::Value;

use crate::tester::Deployment;
use crate::tester::DeploymentOptions;
use crate::tester::http_agent;
use crate::tester::wait_until;
use cedargauge::standin_service::ServiceFault;
use cedargauge::standin_table::CREW_APP;
use cedargauge::standin_table::DEMO_KEY;

const BOUND: Duration = Duration::from_secs(20);

fn deploy() -> Deployment {
    let deployment = Deployment::start(&DeploymentOptions {
        engines: 1,
        services: 3,
        ..DeploymentOptions::default()
    });
    let url = format!("http://{}/readyz", deployment.hosts[0].caller);
    let agent = http_agent();
    let ready = wait_until(BOUND, || {
        agent
            .get(&url)
            .call()
            .is_ok_and(|answer| answer.status() == 200)
    });
    assert!(ready);
    deployment
}

/// Calls the service with more headers; answers the status and the body.
fn call(caller: &str, path: &str, headers: &[(&str, &str)], body: &str) -> (u16, Value) {
    let mut request = http_agent()
        .post(format!("http://{caller}/v1/services/{path}"))
        .header("authorization", format!("Bearer {DEMO_KEY}"));
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let mut answer = request.send(body).unwrap();
    let status = answer.status().as_u16();
    (status, answer.body_mut().read_json().unwrap_or(Value::Null))
}

fn fault_all(deployment: &Deployment, fault: &ServiceFault) {
    for service in &deployment.services {
        service.fault(fault);
    }
}

fn times_ran(deployment: &Deployment, key: &str) -> u32 {
    deployment
        .services
        .iter()
        .flat_map(|service| service.counters().keys)
        .filter(|runs| runs.key == key)
        .map(|runs| runs.ran)
        .sum()
}

const ONCE: (&str, &str) = ("repeatable", "false");

#[test]
fn a_call_reaches_the_service_whole_and_its_answer_the_caller() {
    let deployment = deploy();

    let path = format!("{CREW_APP}/parts/7?size=m");
    let (status, echo) = call(&deployment.hosts[0].caller, &path, &[], "rake #key=a");

    assert_eq!(status, 200);
    assert_eq!(echo["path"], "/parts/7");
    assert_eq!(echo["body"], "rake #key=a");
    assert_eq!(times_ran(&deployment, "a"), 1);
}

#[test]
fn a_non_repeatable_call_runs_once_and_is_unknown_if_its_answer_is_lost() {
    let deployment = deploy();
    fault_all(&deployment, &ServiceFault::ResetAfterRun { count: 1 });

    let (status, answer) = call(&deployment.hosts[0].caller, CREW_APP_LOG, &[ONCE], "#key=a");

    assert_eq!(status, 502);
    assert_eq!(answer["error"]["ran"], "unknown");
    assert!(answer["error"]["retry_after_ms"].is_u64());
    assert_eq!(times_ran(&deployment, "a"), 1);
}

const CREW_APP_LOG: &str = "crew-app/log";

#[test]
fn a_repeatable_call_is_repeated_until_its_answer_comes() {
    let deployment = deploy();
    deployment.services[0].fault(&ServiceFault::ResetAfterRun { count: 1 });
    deployment.services[1].fault(&ServiceFault::ResetAfterRun { count: 1 });

    let (status, echo) = call(&deployment.hosts[0].caller, CREW_APP_LOG, &[], "#key=a");

    assert_eq!(status, 200);
    assert_eq!(echo["key"], "a");
}

#[test]
fn a_call_that_was_never_written_goes_to_another_upstream() {
    let mut deployment = deploy();
    deployment.services[0].program.kill();
    deployment.services[1].program.kill();
    let last = deployment.services.remove(2);
    deployment.services = vec![last];

    for key in ["a", "b", "c", "d"] {
        let body = format!("#key={key}");
        let (status, echo) = call(&deployment.hosts[0].caller, CREW_APP_LOG, &[ONCE], &body);

        assert_eq!(status, 200, "{echo}");
        assert_eq!(times_ran(&deployment, key), 1);
    }
}

#[test]
fn a_deadline_ends_a_slow_call_at_once_and_says_what_is_known() {
    let deployment = deploy();
    fault_all(&deployment, &ServiceFault::Slow { ms: 60_000 });
    let deadline = ("deadline-ms", "300");

    let (status, answer) = call(&deployment.hosts[0].caller, CREW_APP_LOG, &[deadline], "x");

    assert_eq!(status, 504);
    assert_eq!(answer["error"]["code"], "deadline_exceeded");
    assert_eq!(answer["error"]["ran"], "unknown");
}

#[test]
fn bad_headers_and_wrong_services_are_refused_clearly() {
    let deployment = deploy();
    let caller = &deployment.hosts[0].caller;
    let cases = [
        (
            CREW_APP_LOG,
            ("repeatable", "perhaps"),
            400,
            "invalid_request",
        ),
        (
            CREW_APP_LOG,
            ("deadline-ms", "soon"),
            400,
            "invalid_request",
        ),
        (
            CREW_APP_LOG,
            ("priority-class", "gold"),
            403,
            "class_not_allowed",
        ),
        ("inspection/x", ONCE, 400, "invalid_request"),
        ("none/x", ONCE, 404, "unknown_service"),
    ];

    for (path, header, status, code) in cases {
        let (got, answer) = call(caller, path, &[header], "x");

        assert_eq!(got, status, "{answer}");
        assert_eq!(answer["error"]["code"], code);
        assert_eq!(answer["error"]["ran"], "no");
    }
}

#[test]
fn callers_at_once_each_get_the_answer_to_their_own_call() {
    let deployment = deploy();
    let calling: Vec<_> = (0..100)
        .map(|number| {
            let caller = deployment.hosts[0].caller.clone();
            let body = format!("call {number}");
            thread::spawn(move || (call(&caller, CREW_APP_LOG, &[], &body), body))
        })
        .collect();

    for calling in calling {
        let ((status, echo), body) = calling.join().unwrap();

        assert_eq!(status, 200, "{echo}");
        assert_eq!(echo["body"], body);
    }
}
