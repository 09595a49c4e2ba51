//! `cedargauge-replay compare`.

use std::fs;
use std::io;
use std::io::Write;
use std::path::PathBuf;
use std::process::ExitCode;

use anyhow::Context;
use anyhow::Result;
use argh::FromArgs;

use cedargauge::compare::Comparison;
use cedargauge::compare::PolicyName;
use cedargauge::compare::record;
use cedargauge::figures;
use cedargauge::plot;
use cedargauge::trace::Trace;

/// Replay a trace in virtual time under several policies and check the outcomes that it states.
#[derive(FromArgs)]
#[argh(subcommand, name = "compare")]
pub(crate) struct Arguments {
    /// trace to replay
    #[argh(positional)]
    trace: PathBuf,
    /// policies, with commas between: cedargauge, round-robin, least-requests, oracle
    #[argh(
        option,
        default = "PolicyList(PolicyName::ALL.to_vec())",
        from_str_fn(policy_list)
    )]
    policies: PolicyList,
    /// file of faults, in JSON
    #[argh(option)]
    faults: Option<PathBuf>,
    /// file of the scheduler's options, in JSON
    #[argh(option)]
    scheduler: Option<PathBuf>,
    /// print one JSON object in place of a table
    #[argh(switch)]
    json: bool,
    /// draw the stall times into this SVG file
    #[argh(option)]
    plot: Option<PathBuf>,
}

#[derive(Clone)]
struct PolicyList(Vec<PolicyName>);

pub(crate) fn run(arguments: &Arguments) -> Result<ExitCode> {
    let trace = Trace::read(&arguments.trace)?;
    let faults = crate::read_or_default(arguments.faults.as_deref())?;
    let scheduler = crate::read_or_default(arguments.scheduler.as_deref())?;
    let recorded = record(&trace, &arguments.policies.0, &faults, &scheduler);
    if let Some(path) = &arguments.plot {
        let title = format!("{} at load {:.2}", trace.header.name, trace.header.load);
        let picture = plot::draw(&title, &recorded)?;
        fs::write(path, picture).with_context(|| path.display().to_string())?;
    }
    let comparison = Comparison::of(&trace, &recorded);
    if arguments.json {
        println!("{}", serde_json::to_string(&comparison)?);
    } else {
        print_table(&comparison)?;
    }
    Ok(if comparison.holds() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

fn print_table(comparison: &Comparison) -> Result<()> {
    let mut out = io::stdout().lock();
    writeln!(out, "{}", figures::render(comparison))?;
    for outcome in &comparison.outcomes {
        writeln!(out, "{outcome}")?;
    }
    Ok(())
}

fn policy_list(text: &str) -> Result<PolicyList, String> {
    let names = text.split(',').map(|name| name.trim().parse());
    let list: Result<Vec<PolicyName>, _> = names.collect();
    list.map(PolicyList).map_err(|error| error.to_string())
}
