//! `cedargauge-replay`: synthesises traces, replays them in virtual time under several policies,
//! and checks stated outcomes.

mod compare;
mod drive;
mod synth;

use std::process::ExitCode;

use argh::FromArgs;

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
}

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    let result = match arguments.command {
        Command::Synth(arguments) => synth::run(&arguments),
        Command::Compare(arguments) => compare::run(&arguments),
        Command::Drive(arguments) => drive::run(&arguments),
    };
    result.unwrap_or_else(|error| {
        eprintln!("cedargauge-replay: {error:#}");
        ExitCode::FAILURE
    })
}
