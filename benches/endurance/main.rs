//! Drives eight entry hosts in three data centres, as processes, through a list of failures.
//!
//! `cargo bench --bench endurance -- [REQUESTS]` sends 50,000 requests unless told otherwise. It
//! counts broken promises by what callers saw and by the stand-ins' own counters, prints what was
//! done when, and exits non-zero if a promise was broken.

mod failures;
#[path = "../../tests/tester/mod.rs"]
mod tester;
mod workload;

use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;

use crate::tester::Deployment;
use crate::tester::DeploymentOptions;
use cedargauge::drive::DriveOptions;
use cedargauge::drive::DriveReport;
use cedargauge::drive::drive;
use cedargauge::id::ServiceId;
use cedargauge::standin_table::CREW_APP;
use cedargauge::standin_table::DEMO_KEY;
use cedargauge::trace::Trace;

const REQUESTS: usize = 50_000;
const HOSTS: usize = 8;
const DATA_CENTRES: usize = 3;
const ENGINES: usize = 9;
const SERVICES: usize = 3;
const ENGINE_SPEED: &str = "4";
const TRIES_MAX: u32 = 8;

fn main() -> ExitCode {
    let requests = requests_asked();
    let mut deployment = deploy();
    let ended = Arc::new(AtomicU64::new(0));
    let driven = start_drive(&deployment, workload::trace(requests), ended.clone());
    failures::run(&mut deployment, requests, || {
        usize::try_from(ended.load(Ordering::Relaxed)).unwrap_or(usize::MAX)
    });
    let report = driven.join().expect("the drive doesn't panic");
    print(&report);
    print_log(&deployment);
    match report.broken.is_empty() {
        true => ExitCode::SUCCESS,
        false => ExitCode::FAILURE,
    }
}

fn requests_asked() -> usize {
    std::env::args()
        .skip(1)
        .find_map(|argument| argument.parse().ok())
        .unwrap_or(REQUESTS)
}

fn deploy() -> Deployment {
    let deployment = Deployment::start(&DeploymentOptions {
        data_centres: DATA_CENTRES,
        engines: ENGINES,
        services: SERVICES,
        hosts: HOSTS,
        engine_flags: vec!["--speed".to_owned(), ENGINE_SPEED.to_owned()],
        ..DeploymentOptions::default()
    });
    deployment.wait_ready();
    deployment
}

fn start_drive(
    deployment: &Deployment,
    trace: Trace,
    ended: Arc<AtomicU64>,
) -> JoinHandle<DriveReport> {
    let options = DriveOptions {
        entries: urls(deployment.hosts.iter().map(|host| &host.caller)),
        engines: urls(deployment.engines.iter().map(|engine| &engine.address)),
        services: urls(deployment.services.iter().map(|service| &service.address)),
        default_key: DEMO_KEY.to_owned(),
        plain: vec![ServiceId::from(CREW_APP)],
        tries_max: TRIES_MAX,
        ..DriveOptions::default()
    };
    thread::spawn(move || {
        let count = move || {
            ended.fetch_add(1, Ordering::Relaxed);
        };
        actix_rt::System::new().block_on(drive(&trace, options, count))
    })
}

fn urls<'a>(addresses: impl Iterator<Item = &'a String>) -> Vec<String> {
    addresses
        .map(|address| format!("http://{address}"))
        .collect()
}

fn print(report: &DriveReport) {
    println!(
        "{} requests ({} not repeatable): {} completed, {} refused, {} failed, {} cut, {} not sent",
        report.requests,
        report.not_repeatable,
        report.completed,
        report.refused,
        report.failed,
        report.cut,
        report.not_sent
    );
    println!(
        "{} retries, {} tokens; first token {:.0} ms (p95), gap {:.0} ms (p99)",
        report.retries, report.tokens, report.first_token_ms_p95, report.token_gap_ms_p99
    );
    for (code, count) in &report.refusals {
        println!("    {code}: {count}");
    }
    for broken in &report.broken {
        println!("BROKEN: {broken:?}");
    }
    for address in &report.unread_counters {
        println!("counters not read: {address}");
    }
    println!("{} broken promises", report.broken.len());
}

fn print_log(deployment: &Deployment) {
    println!("platform: {:?}", deployment.platform.counters());
}
