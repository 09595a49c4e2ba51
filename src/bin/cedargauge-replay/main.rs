//! `cedargauge-replay`: synthesises traces, replays them in virtual time under several policies,
//! and checks stated outcomes.

mod compare;
mod convert;
mod drive;
mod grid;
mod synth;

use std::path::Path;
use std::process::ExitCode;

use anyhow::Result;
use argh::FromArgs;
use serde::de::DeserializeOwned;

use cedargauge::settings;

/// Replay traces of requests: in virtual time under several policies, or against entry hosts.
#[derive(FromArgs)]
#[argh(
    example = "{command_name} synth --preset hoher-grat --seed 1 --load 0.95 --out hg.jsonl",
    example = "{command_name} compare hg.jsonl --policies cedargauge,least-requests --json",
    error_code(1, "a stated outcome or promise is broken, or the run failed"),
    error_code(2, "the arguments are wrong")
)]
struct Arguments {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Synth(synth::Arguments),
    Compare(compare::Arguments),
    Drive(drive::Arguments),
    Grid(grid::Arguments),
    Convert(convert::Arguments),
}

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    let result = match arguments.command {
        Command::Synth(arguments) => synth::run(&arguments),
        Command::Compare(arguments) => compare::run(&arguments),
        Command::Drive(arguments) => drive::run(&arguments),
        Command::Grid(arguments) => grid::run(&arguments),
        Command::Convert(arguments) => convert::run(&arguments),
    };
    result.unwrap_or_else(|error| {
        eprintln!("cedargauge-replay: {error:#}");
        ExitCode::FAILURE
    })
}

/// Settings from a file, or the defaults.
fn read_or_default<S: DeserializeOwned + Default>(path: Option<&Path>) -> Result<S> {
    Ok(path.map(settings::read).transpose()?.unwrap_or_default())
}
