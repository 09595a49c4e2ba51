//! `cedargauge`: the operators' command line.
//!
//! Exit codes: 0 done and all is well; 1 the answer is bad (a host isn't ready, an upstream is
//! lost, the request is unknown, the file has faults); 2 the command line is wrong; 3 no entry host
//! answered, or an order was not accepted.

mod check;
mod drain;
mod entries;
mod explain;
mod losses;
mod status;
mod table;
mod upstreams;

use std::env;
use std::process::ExitCode;

use argh::FromArgs;

/// Exit code when the answer is bad.
pub(crate) const EXIT_BAD: u8 = 1;

/// Exit code when the command line is wrong.
const EXIT_USAGE: u8 = 2;

/// Exit code when no entry host answered, or an order was not accepted.
pub(crate) const EXIT_NO_ANSWER: u8 = 3;

/// Operate cedargauge from the command line.
///
/// Entry hosts are asked at their callers' addresses, given by --entry or, separated by commas, by
/// the variable CEDARGAUGE_ENTRY.
#[derive(FromArgs)]
#[argh(
    example = "Every host, the configuration each has in force, and limits near their bound:
$ {command_name} status --entry 127.0.0.1:8080",
    example = "The whole life of one request, over two hosts:
$ CEDARGAUGE_ENTRY=127.0.0.1:8080,127.0.0.1:8081 {command_name} explain 0193a3c4-5d6e-7000-8000-000000000001",
    example = "All the faults of a settings file:
$ {command_name} check examples/entry-a.json",
    error_code(0, "Done, and all is well."),
    error_code(
        1,
        "The answer is bad: a host isn't ready, an upstream is lost, the request is unknown, the file has faults."
    ),
    error_code(2, "The command line is wrong."),
    error_code(3, "No entry host answered, or an order was not accepted.")
)]
struct Arguments {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Status(status::Status),
    Upstreams(upstreams::Upstreams),
    Explain(explain::Explain),
    Losses(losses::Command),
    Drain(drain::Drain),
    Check(check::Check),
    Table(table::Table),
}

fn main() -> ExitCode {
    let arguments = match parse() {
        Ok(arguments) => arguments,
        Err(code) => return code,
    };
    let outcome = actix_rt::System::new().block_on(run(arguments.command));
    outcome.unwrap_or_else(|error| {
        eprintln!("{error:#}");
        ExitCode::from(EXIT_NO_ANSWER)
    })
}

async fn run(command: Command) -> anyhow::Result<ExitCode> {
    match command {
        Command::Status(command) => command.run().await,
        Command::Upstreams(command) => command.run().await,
        Command::Explain(command) => command.run().await,
        Command::Losses(command) => command.run(),
        Command::Drain(command) => command.run().await,
        Command::Check(command) => command.run(),
        Command::Table(command) => command.run().await,
    }
}

/// Parses the command line; help goes to standard output, a wrong one ends with its own exit code.
fn parse() -> Result<Arguments, ExitCode> {
    let words: Vec<String> = env::args().skip(1).collect();
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    Arguments::from_args(&["cedargauge"], &words).map_err(|exit| match exit.status {
        Ok(()) => {
            println!("{}", exit.output);
            ExitCode::SUCCESS
        }
        Err(()) => {
            eprintln!("{}", exit.output);
            ExitCode::from(EXIT_USAGE)
        }
    })
}
