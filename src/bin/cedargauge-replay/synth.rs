//! `cedargauge-replay synth`.

use std::path::PathBuf;
use std::process::ExitCode;

use anyhow::Result;
use anyhow::ensure;
use argh::FromArgs;

use cedargauge::preset::Preset;
use cedargauge::synth::Amount;
use cedargauge::synth::add_flood;
use cedargauge::synth::synthesise;

/// Write a synthetic trace.
#[derive(FromArgs)]
#[argh(subcommand, name = "synth")]
pub(crate) struct Arguments {
    /// workload: hoher-grat, joint-venture, many-hosts (short answers, some of them not
    /// repeatable, for drive) or weights (three backlogged customers)
    #[argh(option)]
    preset: Preset,
    /// seed of the trace and of its engines; 1 by default
    #[argh(option, default = "1")]
    seed: u64,
    /// share of the engines' memory-time that the requests need; 0.95 by default
    #[argh(option, default = "0.95")]
    load: f64,
    /// number of requests, in place of a load
    #[argh(option)]
    requests: Option<u64>,
    /// requests arrive for this long, in minutes; 20 by default
    #[argh(option, default = "20.0")]
    minutes: f64,
    /// load that one more customer adds in the middle third; none by default
    #[argh(option, default = "0.0")]
    flood: f64,
    /// engines of every service, in place of the workload's
    #[argh(option)]
    engines: Option<u32>,
    /// file to write
    #[argh(option)]
    out: PathBuf,
}

pub(crate) fn run(arguments: &Arguments) -> Result<ExitCode> {
    ensure!(
        arguments.load > 0.0 && arguments.load <= 10.0,
        "--load {}: allowed is more than 0 and at most 10",
        arguments.load
    );
    ensure!(
        arguments.minutes > 0.0 && arguments.minutes <= 1_440.0,
        "--minutes {}: allowed is more than 0 and at most 1,440",
        arguments.minutes
    );
    let duration_ms = (arguments.minutes * 60_000.0) as u64;
    let amount = arguments
        .requests
        .map_or(Amount::Load(arguments.load), Amount::Requests);
    let mut preset = arguments.preset.clone();
    for plan in &mut preset.services {
        plan.engines = arguments.engines.unwrap_or(plan.engines).max(1);
    }
    let mut trace = synthesise(&preset, arguments.seed, amount, duration_ms);
    if arguments.flood > 0.0 {
        add_flood(&mut trace, &preset, arguments.flood);
    }
    trace.write(&arguments.out)?;
    println!(
        "{}: {} requests in {} s at load {:.3}",
        arguments.out.display(),
        trace.requests.len(),
        duration_ms / 1_000,
        trace.header.load
    );
    Ok(ExitCode::SUCCESS)
}
