//! `cedargauge losses`: requests that were not served in time, by cause.

use std::fs;
use std::io;
use std::io::Read;
use std::process::ExitCode;
use std::time::Duration;

use anyhow::Context;
use argh::FromArgs;

use cedargauge::gateway::losses;
use cedargauge::gateway::losses::Losses;
use cedargauge::gateway::losses::Thresholds;

/// Tell from hosts' log lines which requests were not served in time, and why.
#[derive(FromArgs)]
#[argh(subcommand, name = "losses")]
pub(crate) struct Command {
    /// files of log lines; standard input if there is none
    #[argh(positional)]
    files: Vec<String>,
    /// a first event is late after so many milliseconds; 1500 by default
    #[argh(option, default = "1_500")]
    first_ms: u64,
    /// a pause between events is too long after so many milliseconds; 180 by default
    #[argh(option, default = "180")]
    pause_ms: u64,
}

impl Command {
    pub(crate) fn run(&self) -> anyhow::Result<ExitCode> {
        let text = self.read()?;
        let thresholds = Thresholds {
            first_event: Duration::from_millis(self.first_ms),
            gap: Duration::from_millis(self.pause_ms),
        };
        print(&losses::tally(text.lines(), thresholds));
        Ok(ExitCode::SUCCESS)
    }

    fn read(&self) -> anyhow::Result<String> {
        let mut text = String::new();
        if self.files.is_empty() {
            io::stdin().read_to_string(&mut text)?;
        }
        for file in &self.files {
            text += &fs::read_to_string(file).with_context(|| file.clone())?;
            text.push('\n');
        }
        Ok(text)
    }
}

fn print(losses: &Losses) {
    for (kind, requests) in &losses.requests {
        println!("{kind}: {requests} requests");
        let of_kind = losses.lost.iter().filter(|((other, _), _)| other == kind);
        let mut rows: Vec<_> = of_kind.collect();
        rows.sort_by_key(|(_, count)| std::cmp::Reverse(**count));
        for ((_, cause), count) in rows {
            println!("  {count:>6}  {}", cause.describe());
        }
    }
    if losses.skipped > 0 {
        println!("{} lines were no log lines", losses.skipped);
    }
}
