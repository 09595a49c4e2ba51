//! `cedargauge-replay drive`.

use std::path::PathBuf;
use std::process::ExitCode;

use anyhow::Context;
use anyhow::Result;
use anyhow::ensure;
use argh::FromArgs;
use indicatif::ProgressBar;
use indicatif::ProgressStyle;

use cedargauge::drive::DriveOptions;
use cedargauge::drive::DriveReport;
use cedargauge::drive::drive;
use cedargauge::id::CustomerId;
use cedargauge::id::ServiceId;
use cedargauge::trace::Trace;

/// Broken promises that are printed in full; the rest is counted.
const BROKEN_PRINTED_MAX: usize = 50;

/// Replay a trace against live entry hosts and check every promise that a caller can see.
#[derive(FromArgs)]
#[argh(subcommand, name = "drive")]
pub(crate) struct Arguments {
    /// trace to replay
    #[argh(positional)]
    trace: PathBuf,
    /// entry host as http://address:port; may be given more than once
    #[argh(option)]
    entry: Vec<String>,
    /// stand-in engine whose counters are read at the end; may be given more than once
    #[argh(option)]
    engine: Vec<String>,
    /// stand-in service whose counters are read at the end; may be given more than once
    #[argh(option)]
    service: Vec<String>,
    /// service of the trace that is a plain one; may be given more than once
    #[argh(option)]
    plain: Vec<String>,
    /// key of a customer as CUSTOMER=KEY, or KEY for all others; may be given more than once
    #[argh(option)]
    key: Vec<String>,
    /// arrivals come this much faster than in the trace; 1 by default
    #[argh(option, default = "1.0")]
    speed: f64,
    /// tries of one request at most; 6 by default
    #[argh(option, default = "6")]
    tries: u32,
    /// a connection that ends without a terminal event breaks a promise
    #[argh(switch)]
    no_cuts: bool,
    /// print one JSON object in place of lines
    #[argh(switch)]
    json: bool,
}

pub(crate) fn run(arguments: &Arguments) -> Result<ExitCode> {
    ensure!(
        !arguments.entry.is_empty(),
        "--entry: at least one is needed"
    );
    ensure!(
        arguments.speed > 0.0,
        "--speed {}: allowed is more than 0",
        arguments.speed
    );
    let trace = Trace::read(&arguments.trace)?;
    let bar = progress_bar(trace.requests.len() as u64)?;
    let counted = bar.clone();
    let driven = drive(&trace, options(arguments), move || counted.inc(1));
    let report = actix_rt::System::new().block_on(driven);
    bar.finish_and_clear();
    print(&report, arguments.json)?;
    Ok(if report.broken.is_empty() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

fn progress_bar(requests: u64) -> Result<ProgressBar> {
    let style = ProgressStyle::with_template("{wide_bar} {pos}/{len} ended, {elapsed}")
        .context("the progress bar's template")?;
    Ok(ProgressBar::new(requests).with_style(style))
}

fn options(arguments: &Arguments) -> DriveOptions {
    let mut options = DriveOptions {
        entries: urls(&arguments.entry),
        engines: urls(&arguments.engine),
        services: urls(&arguments.service),
        plain: arguments
            .plain
            .iter()
            .map(|name| ServiceId::new(name.as_str()))
            .collect(),
        speed: arguments.speed,
        tries_max: arguments.tries.max(1),
        no_cuts: arguments.no_cuts,
        ..DriveOptions::default()
    };
    for key in &arguments.key {
        match key.split_once('=') {
            Some((customer, key)) => {
                let customer = CustomerId::new(customer);
                options.keys.insert(customer, key.to_owned());
            }
            None => options.default_key = key.clone(),
        }
    }
    options
}

/// Addresses without a scheme are taken as HTTP.
fn urls(addresses: &[String]) -> Vec<String> {
    let addresses = addresses
        .iter()
        .map(|address| address.trim_end_matches('/'));
    addresses
        .map(|address| match address.contains("://") {
            true => address.to_owned(),
            false => format!("http://{address}"),
        })
        .collect()
}

fn print(report: &DriveReport, json: bool) -> Result<()> {
    if json {
        println!("{}", serde_json::to_string(report)?);
        return Ok(());
    }
    println!(
        "{} requests ({} not repeatable): {} completed, {} refused, {} failed, {} cut, {} not sent; {} retries",
        report.requests,
        report.not_repeatable,
        report.completed,
        report.refused,
        report.failed,
        report.cut,
        report.not_sent,
        report.retries
    );
    println!(
        "{} tokens; first token {:.1} ms (p95), gap {:.1} ms (p99)",
        report.tokens, report.first_token_ms_p95, report.token_gap_ms_p99
    );
    for (code, count) in &report.refusals {
        println!("refused or failed with {code}: {count}");
    }
    for address in &report.unread_counters {
        println!("counters not read: {address}");
    }
    for broken in report.broken.iter().take(BROKEN_PRINTED_MAX) {
        println!("BROKEN: {}", serde_json::to_string(broken)?);
    }
    println!("{} broken promises", report.broken.len());
    Ok(())
}
