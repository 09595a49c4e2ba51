//! `cedargauge-replay compare`.

use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;

use anyhow::Result;
use argh::FromArgs;
use serde::de::DeserializeOwned;

use cedargauge::compare::Comparison;
use cedargauge::compare::PolicyName;
use cedargauge::compare::compare;
use cedargauge::figures;
use cedargauge::settings;
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
}

#[derive(Clone)]
struct PolicyList(Vec<PolicyName>);

pub(crate) fn run(arguments: &Arguments) -> Result<ExitCode> {
    let trace = Trace::read(&arguments.trace)?;
    let faults = read_or_default(arguments.faults.as_deref())?;
    let scheduler = read_or_default(arguments.scheduler.as_deref())?;
    let comparison = compare(&trace, &arguments.policies.0, &faults, &scheduler);
    if arguments.json {
        println!("{}", serde_json::to_string(&comparison)?);
    } else {
        print_table(&comparison);
    }
    Ok(if comparison.holds() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

fn print_table(comparison: &Comparison) {
    println!("{}", figures::render(comparison));
    for outcome in &comparison.outcomes {
        println!("{outcome}");
    }
}

fn policy_list(text: &str) -> Result<PolicyList, String> {
    let names = text.split(',').map(|name| name.trim().parse());
    let list: Result<Vec<PolicyName>, _> = names.collect();
    list.map(PolicyList).map_err(|error| error.to_string())
}

fn read_or_default<S: DeserializeOwned + Default>(path: Option<&Path>) -> Result<S> {
    Ok(path.map(settings::read).transpose()?.unwrap_or_default())
}
