//! `cedargauge drain HOST`.

use std::env;
use std::process::ExitCode;

use anyhow::Context;
use argh::FromArgs;

use crate::entries;
use cedargauge::inquiry::Answer;
use cedargauge::status::HostStatus;

/// The operators' token.
const TOKEN_VARIABLE: &str = "CEDARGAUGE_TOKEN";

/// Begin a graceful shutdown of an entry host: it takes no new work, finishes what it has, and
/// exits.
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "drain",
    example = "$ CEDARGAUGE_TOKEN=demo-operator {command_name} entry-a --entry 127.0.0.1:8080",
    note = "The operators' token is read from the variable CEDARGAUGE_TOKEN.",
    error_code(3, "No host asked has this name, or it refused.")
)]
pub(crate) struct Drain {
    /// the entry host's name
    #[argh(positional)]
    host: String,

    /// callers' address of an entry host; may be repeated
    #[argh(option)]
    entry: Vec<String>,
}

impl Drain {
    pub(crate) async fn run(self) -> anyhow::Result<ExitCode> {
        let token = env::var(TOKEN_VARIABLE)
            .with_context(|| format!("put the operators' token into {TOKEN_VARIABLE}"))?;
        let inquiry = entries::inquiry(&self.entry)?;
        let answers = inquiry.status().await;
        entries::require_any(&answers)?;
        let address = address_of(&answers, &self.host)
            .with_context(|| format!("no host that answered is named {}", self.host))?;
        inquiry.drain(address, &token).await?;
        println!("{} at {address} is draining", self.host);
        Ok(ExitCode::SUCCESS)
    }
}

fn address_of<'a>(answers: &'a [Answer<HostStatus>], host: &str) -> Option<&'a str> {
    let named = answers.iter().find(|answer| {
        answer
            .answer
            .as_ref()
            .is_some_and(|status| status.host.as_str() == host)
    })?;
    Some(&named.address)
}
