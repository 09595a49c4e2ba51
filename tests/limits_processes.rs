//! A customer's limit over four entry hosts as processes, with more and unevenly more asked for
//! than it allows.

mod tester;

use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::tester::Deployment;
use crate::tester::DeploymentOptionsBuilder;
use crate::tester::completion_request;
use crate::tester::http_agent;
use cedargauge::row::CustomerRow;
use cedargauge::row::Row;
use cedargauge::standin_table::DEMO_KEY;
use cedargauge::standin_table::INSPECTION;
use cedargauge::table::key_sha256;

/// The customer's limit over all hosts.
const REQUESTS_PER_S: u32 = 40;

/// Stated bound on what is used beyond a limit in steady state, as a share of it.
const OVERSHOOT_MAX: f64 = 0.05;

/// Callers at each host; each asks about 30 times a second.
const CALLERS: [usize; 4] = [5, 2, 1, 1];

/// The shares follow the demand within this time.
const WARM_UP: Duration = Duration::from_secs(5);

/// What is counted.
const MEASURED: Duration = Duration::from_secs(10);

const PAUSE: Duration = Duration::from_millis(30);

fn deploy() -> Deployment {
    let mut options = DeploymentOptionsBuilder::default();
    let customer = CustomerRow {
        customer: "demo".into(),
        key_sha256: vec![key_sha256(DEMO_KEY)],
        weight: 4,
        classes: vec!["standard".into()],
        requests_per_s: REQUESTS_PER_S,
        tokens_per_s: 1_000_000,
        concurrent_generations: 1_000,
        queue_length: 1_000,
    };
    options
        .engines(2)
        .hosts(CALLERS.len())
        .services(0)
        .extra_rows(vec![Row::Customer(customer)]);
    let deployment = Deployment::start(&options.build().expect("options"));
    deployment.wait_ready();
    deployment
}

/// Asks until it is told to stop; counts what is admitted while that is counted.
fn call(caller: &str, is_over: &AtomicBool, is_counted: &AtomicBool, admitted: &AtomicU32) {
    let agent = http_agent();
    let url = format!("http://{caller}/v1/completions");
    while !is_over.load(Ordering::Relaxed) {
        let answer = agent
            .post(&url)
            .header("authorization", format!("Bearer {DEMO_KEY}"))
            .send_json(completion_request(INSPECTION, "#tokens=1", false));
        let is_admitted = answer.is_ok_and(|answer| answer.status() == 200);
        if is_admitted && is_counted.load(Ordering::Relaxed) {
            admitted.fetch_add(1, Ordering::Relaxed);
        }
        thread::sleep(PAUSE);
    }
}

#[test]
fn four_hosts_together_admit_no_more_than_the_limit() {
    let deployment = deploy();
    let is_over = AtomicBool::new(false);
    let is_counted = AtomicBool::new(false);
    let admitted = AtomicU32::new(0);

    let counted = thread::scope(|scope| {
        for (host, callers) in deployment.hosts.iter().zip(CALLERS) {
            for _ in 0..callers {
                scope.spawn(|| call(&host.caller, &is_over, &is_counted, &admitted));
            }
        }
        thread::sleep(WARM_UP);
        let begin = Instant::now();
        is_counted.store(true, Ordering::Relaxed);
        thread::sleep(MEASURED);
        is_counted.store(false, Ordering::Relaxed);
        let counted = begin.elapsed();
        is_over.store(true, Ordering::Relaxed);
        counted
    });

    let allowed = f64::from(REQUESTS_PER_S) * counted.as_secs_f64();
    let overshoot = f64::from(admitted.load(Ordering::Relaxed)) / allowed - 1.0;
    println!("overshoot {:.1} %", overshoot * 100.0);
    assert!(overshoot < OVERSHOOT_MAX, "{overshoot}");
    assert!(overshoot > -0.5, "the limit is not served: {overshoot}");
}
