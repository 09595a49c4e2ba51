//! `cedargauge check FILE`.

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;

use crate::EXIT_BAD;
use cedargauge::check::FileKind;
use cedargauge::check::check;
use cedargauge::output::print_json;

/// Tell all the faults of a settings or table file at once, each with the field's path, its value
/// and what is allowed.
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "check",
    example = "$ {command_name} examples/entry-a.json",
    error_code(1, "The file has faults."),
    error_code(3, "The file cannot be read.")
)]
pub(crate) struct Check {
    /// the file
    #[argh(positional)]
    file: PathBuf,

    /// what the file holds: entry or table; told by its content if not given
    #[argh(option)]
    kind: Option<FileKind>,

    /// print JSON
    #[argh(switch)]
    json: bool,
}

impl Check {
    pub(crate) fn run(self) -> anyhow::Result<ExitCode> {
        let report = check(&self.file, self.kind)?;
        if self.json {
            print_json(&report)?;
        } else {
            print!("{report}");
        }
        Ok(match report.faults.is_empty() {
            true => ExitCode::SUCCESS,
            false => ExitCode::from(EXIT_BAD),
        })
    }
}
