//! Measures claims: several hosts' claims over one stand-in platform, and the memory of the fold.
//!
//! `cargo run --release --example claim_load -- --hosts 8 --requests-per-s 1000 --seconds 10`

use std::fs;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use argh::FromArgs;
use hdrhistogram::Histogram;

use cedargauge::claim::ClaimEnd;
use cedargauge::claim::ClaimKey;
use cedargauge::claim::ClaimRecord;
use cedargauge::claim::Summary;
use cedargauge::claims::ClaimHandle;
use cedargauge::claims::ClaimParts;
use cedargauge::claimstep::ClaimOptions;
use cedargauge::clock::SystemClock;
use cedargauge::clock::wall_ms;
use cedargauge::holdings::Coverage;
use cedargauge::holdings::Holdings;
use cedargauge::id::ClaimId;
use cedargauge::id::CustomerId;
use cedargauge::id::DataCentre;
use cedargauge::id::HostId;
use cedargauge::id::Incarnation;
use cedargauge::id::Offset;
use cedargauge::id::RequestId;
use cedargauge::journal::Journal;
use cedargauge::key::IdempotencyKey;
use cedargauge::logstream::LogHandle;
use cedargauge::logstream::LogOptions;
use cedargauge::platform::Record;
use cedargauge::standin_log::LogCounters;
use cedargauge::standin_platform;
use cedargauge::standin_platform::PlatformOptions;

/// Claims folded to measure memory.
const FOLDED_CLAIMS: u64 = 200_000;

/// Bytes of a page of memory.
const PAGE_BYTES: u64 = 4_096;

/// Measures claims under load, and the memory of their fold.
#[derive(Debug, FromArgs)]
struct Arguments {
    /// entry hosts; default 8
    #[argh(option, default = "8")]
    hosts: u64,

    /// non-repeatable requests a second over all hosts; default 1,000
    #[argh(option, default = "1_000")]
    requests_per_s: u64,

    /// duration of the load in seconds; default 10
    #[argh(option, default = "10")]
    seconds: u64,
}

fn main() -> anyhow::Result<()> {
    let arguments: Arguments = argh::from_env();
    measure_memory()?;
    let (sender, receiver) = std::sync::mpsc::channel();
    thread::spawn(move || {
        actix_rt::System::new().block_on(async move {
            let served = standin_platform::serve(PlatformOptions::default())?;
            let _ = sender.send(served.address.to_string());
            served.server.await?;
            anyhow::Ok(())
        })
    });
    let address = receiver.recv()?;
    actix_rt::System::new().block_on(measure_load(arguments, address))
}

async fn measure_load(arguments: Arguments, address: String) -> anyhow::Result<()> {
    let hosts = (0..arguments.hosts).map(|number| start_host(number, &address));
    let hosts = hosts.collect::<Vec<_>>();
    tokio::time::sleep(Duration::from_secs(1)).await;
    let began = Instant::now();
    let total = arguments.requests_per_s * arguments.seconds;
    let mut running = Vec::new();
    for number in 0..total {
        let due = Duration::from_micros(number * 1_000_000 / arguments.requests_per_s);
        tokio::time::sleep_until((began + due).into()).await;
        let host = hosts[(number % arguments.hosts) as usize].clone();
        running.push(actix_rt::spawn(request(host, number)));
    }
    let mut latency_us = Histogram::<u64>::new(3)?;
    let mut refused = 0;
    for request in running {
        match request.await? {
            Some(latency) => latency_us.record(latency.as_micros() as u64)?,
            None => refused += 1,
        }
    }
    for host in &hosts {
        host.flush(Duration::from_secs(5)).await;
    }
    let elapsed_s = began.elapsed().as_secs_f64();
    let counters: LogCounters = awc::Client::default()
        .get(format!("http://{address}/admin/counters"))
        .send()
        .await
        .map_err(|error| anyhow::anyhow!("{error}"))?
        .json()
        .await?;
    println!("requests {total}, refused {refused}, {elapsed_s:.1} s");
    println!("appends/s {:.1}", counters.appends as f64 / elapsed_s);
    println!("records/s {:.0}", counters.records as f64 / elapsed_s);
    println!(
        "bytes/record {:.0}",
        counters.appended_bytes as f64 / counters.records as f64
    );
    println!(
        "claim latency ms: p50 {:.0}, p99 {:.0}, max {:.0}",
        latency_us.value_at_quantile(0.5) as f64 / 1e3,
        latency_us.value_at_quantile(0.99) as f64 / 1e3,
        latency_us.max() as f64 / 1e3
    );
    Ok(())
}

fn start_host(number: u64, address: &str) -> ClaimHandle {
    let host = HostId::new(format!("entry-{number}"));
    let clock = SystemClock::new();
    let incarnation = Incarnation(wall_ms());
    let data_centre = DataCentre::new("dc-0");
    let parts = ClaimParts {
        log: LogHandle::start(address, &data_centre, LogOptions::default(), number),
        journal: Journal::new(host.clone(), incarnation, clock, 16),
        clock,
        host,
        incarnation,
    };
    ClaimHandle::start(parts, ClaimOptions::default())
}

/// Claims a new key and concludes it at once; how long the claim took.
async fn request(host: ClaimHandle, number: u64) -> Option<Duration> {
    let began = Instant::now();
    let key = claim_key(wall_ms(), number);
    let deadline = Duration::from_secs(10);
    let claim = host
        .claim(RequestId::generate(), key, deadline)
        .await
        .ok()?;
    let latency = began.elapsed();
    claim.conclude(ClaimEnd::Done(summary()));
    Some(latency)
}

fn claim_key(created_ms: u64, number: u64) -> ClaimKey {
    ClaimKey {
        customer: CustomerId::new(format!("customer-{}", number % 100)),
        key: IdempotencyKey::from_parts(created_ms, number),
    }
}

fn summary() -> Summary {
    Summary {
        status: 200,
        output_tokens: 300,
        body_bytes: 0,
    }
}

fn measure_memory() -> anyhow::Result<()> {
    let mut holdings = Holdings::new(ClaimOptions::default().window_ms);
    holdings.restart(Offset(0), Coverage::Everything);
    let before = resident_bytes()?;
    let began = Instant::now();
    for number in 0..FOLDED_CLAIMS {
        let key = claim_key(wall_ms(), number);
        let claim = ClaimId::from_u128(u128::from(number));
        let made = ClaimRecord::Claim {
            key: key.clone(),
            claim,
            host: HostId::from("entry-0"),
            incarnation: Incarnation(1),
        };
        let end = ClaimEnd::Done(summary());
        for record in [made, ClaimRecord::Outcome { key, claim, end }] {
            holdings.apply(&Record {
                offset: holdings.next(),
                appended_at_ms: wall_ms(),
                data: record.encode(),
            });
        }
    }
    let elapsed = began.elapsed();
    let bytes = resident_bytes()?.saturating_sub(before);
    println!("keys folded {}", holdings.len());
    println!(
        "memory bytes/key {:.0}",
        bytes as f64 / FOLDED_CLAIMS as f64
    );
    println!(
        "encode and fold us/key {:.2}",
        elapsed.as_secs_f64() * 1e6 / FOLDED_CLAIMS as f64
    );
    Ok(())
}

fn resident_bytes() -> anyhow::Result<u64> {
    let statm = fs::read_to_string("/proc/self/statm")?;
    let pages = statm.split_whitespace().nth(1).unwrap_or("0");
    Ok(pages.parse::<u64>()? * PAGE_BYTES)
}
