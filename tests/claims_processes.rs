//! Claims with real processes: platform, engines, services and entry hosts. What ran is counted by
//! the engines and services themselves.

#![allow(clippy::unwrap_used, reason = "fixtures of tests")]

use std::thread;
use std::time::Duration;

use serde_json::Value;
use tester::Ask;
use tester::Deployment;
use tester::DeploymentOptions;
use tester::DeploymentOptionsBuilder;
use tester::http_agent;
use tester::wait_until;

use cedargauge::clock::wall_ms;
use cedargauge::key::IdempotencyKey;
use cedargauge::standin_outage::Outage;
use cedargauge::standin_outage::PlatformFault;
use cedargauge::standin_service::ServiceFault;
use cedargauge::standin_table::CREW_APP;
use cedargauge::standin_table::DEMO_KEY;

mod tester;

const BOUND: Duration = Duration::from_secs(20);

fn options(hosts: usize) -> DeploymentOptions {
    DeploymentOptionsBuilder::default()
        .hosts(hosts)
        .build()
        .unwrap()
}

/// A deployment whose hosts serve.
fn start(hosts: usize) -> Deployment {
    let deployment = Deployment::start(&options(hosts));
    for host in &deployment.hosts {
        let url = format!("http://{}/readyz", host.caller);
        let is_ready = || {
            http_agent()
                .get(&url)
                .call()
                .is_ok_and(|it| it.status() == 200)
        };
        assert!(wait_until(BOUND, is_ready));
    }
    deployment
}

fn new_key(number: u64) -> IdempotencyKey {
    IdempotencyKey::from_parts(wall_ms(), number)
}

fn ask(key: IdempotencyKey, tokens: u32) -> Ask {
    Ask {
        key: Some(key.to_string()),
        ..Ask::once(format!("#key={key} #tokens={tokens}"))
    }
}

/// The answer of a call to the plain service: status and JSON body.
fn call(caller: &str, key: &str) -> (u16, Value) {
    let url = format!("http://{caller}/v1/services/{CREW_APP}/flags");
    let mut answer = http_agent()
        .post(&url)
        .header("authorization", format!("Bearer {DEMO_KEY}"))
        .header("repeatable", "false")
        .header("idempotency-key", key)
        .send("tension net 12")
        .unwrap();
    let body = answer.body_mut().read_json().unwrap_or_default();
    (answer.status().as_u16(), body)
}

fn calls_run(deployment: &Deployment, key: &str) -> u32 {
    let counters = deployment.services.iter().map(|it| it.counters());
    let keys = counters.flat_map(|counters| counters.keys);
    keys.filter(|runs| runs.key == key)
        .map(|runs| runs.ran)
        .sum()
}

fn ran(error: &Option<Value>) -> &str {
    error
        .as_ref()
        .map_or("", |error| error["ran"].as_str().unwrap_or(""))
}

#[test]
fn the_same_key_at_two_hosts_runs_once() {
    let deployment = start(2);

    for number in 0..10 {
        let key = new_key(number);
        let callers = deployment.hosts.iter().map(|host| {
            let caller = host.caller.clone();
            thread::spawn(move || ask(key, 5).open(&caller).read_all())
        });
        let callers = callers.collect::<Vec<_>>();
        let answers = callers.into_iter().map(|caller| caller.join().unwrap());
        let answers = answers.collect::<Vec<_>>();

        let complete = answers.iter().filter(|answer| answer.is_complete()).count();
        let told = answers.iter().filter(|answer| answer.status == 409).count();
        assert_eq!((complete, told), (1, 1), "key {key}");
        assert_eq!(deployment.times_started(&key.to_string()), 1);
    }
}

#[test]
fn a_plain_call_with_the_same_key_runs_once_and_its_end_is_told() {
    let deployment = start(2);
    let key = new_key(1).to_string();

    let (first, _) = call(&deployment.hosts[0].caller, &key);

    assert_eq!(first, 200);
    let repeat = || call(&deployment.hosts[1].caller, &key);
    assert!(wait_until(BOUND, || repeat().1["error"]["ran"] == "yes"));
    assert_eq!(repeat().1["error"]["code"], "already_claimed");
    assert_eq!(calls_run(&deployment, &key), 1);
}

#[test]
fn an_append_whose_answer_is_lost_is_settled_and_the_request_runs_once() {
    let deployment = start(1);
    let host = &deployment.hosts[0];
    let key = new_key(1);
    deployment
        .platform
        .fault(&PlatformFault::LoseAppendAnswers {
            count: 1,
            percent: 100,
        });

    let answer = ask(key, 5).open(&host.caller).read_all();

    assert!(answer.is_complete(), "{:?}", answer.error);
    assert_eq!(deployment.times_started(&key.to_string()), 1);
    let records = deployment.platform.read("claims-0", 0).records;
    let claims = records
        .iter()
        .filter(|it| it.data.contains(r#""type":"claim""#));
    assert_eq!(claims.count(), 1);
}

#[test]
fn a_repeat_after_the_holder_was_killed_is_told_unknown() {
    let mut deployment = start(2);
    let key = new_key(1);
    let mut open = ask(key, 100_000).open(&deployment.hosts[0].caller);
    open.read_tokens(1);

    deployment.remove_host(0);
    let repeat = ask(key, 5).open(&deployment.hosts[0].caller).read_all();

    assert_eq!(repeat.status, 409);
    assert_eq!(deployment.times_started(&key.to_string()), 1);
    drop(open);
}

#[test]
fn a_plain_call_whose_answer_was_cut_runs_once() {
    let deployment = start(2);
    let key = new_key(1).to_string();
    deployment.services[0].fault(&ServiceFault::ResetAfterRun { count: 1 });

    let (first, body) = call(&deployment.hosts[0].caller, &key);
    let (repeat, told) = call(&deployment.hosts[1].caller, &key);

    assert_eq!(
        (first, &body["error"]["ran"]),
        (502, &Value::from("unknown"))
    );
    assert_eq!(
        (repeat, &told["error"]["ran"]),
        (409, &Value::from("unknown"))
    );
    assert_eq!(calls_run(&deployment, &key), 1);
}

#[test]
fn without_the_log_only_requests_with_a_key_are_refused() {
    let deployment = start(1);
    let caller = &deployment.hosts[0].caller;
    deployment.platform.fault(&PlatformFault::Down {
        outage: Outage::Hang,
    });

    let keyed = new_key(1);
    let with_key = ask(keyed, 5).open(caller);
    let without_key = Ask::once("#key=bare #tokens=5").open(caller).read_all();
    let repeatable = Ask::new("#key=plain #tokens=5").open(caller).read_all();

    assert_eq!(with_key.status, 503);
    assert_eq!(ran(&with_key.read_all().error), "no");
    assert!(without_key.is_complete());
    assert!(repeatable.is_complete());
    assert_eq!(deployment.times_started(&keyed.to_string()), 0);
    assert_eq!(deployment.times_started("bare"), 1);
}

#[test]
fn keys_of_other_forms_are_refused_and_old_ones_are_unknown() {
    let deployment = start(1);
    let caller = &deployment.hosts[0].caller;
    let old = IdempotencyKey::from_parts(wall_ms() - 1_000_000, 1).to_string();

    let (other, other_body) = call(caller, "order-17");
    let (expired, expired_body) = call(caller, &old);

    assert_eq!(
        (other, &other_body["error"]["ran"]),
        (400, &Value::from("no"))
    );
    assert_eq!(
        (expired, &expired_body["error"]["ran"]),
        (410, &Value::from("unknown"))
    );
    assert_eq!(calls_run(&deployment, &old), 0);
}
