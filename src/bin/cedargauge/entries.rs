//! Which entry hosts to ask.

use std::env;

use anyhow::bail;

use cedargauge::inquiry::Answer;
use cedargauge::inquiry::Inquiry;
use cedargauge::output::Cell;
use cedargauge::output::Grid;
use cedargauge::output::Tone;

/// Callers' addresses of entry hosts, separated by commas.
const VARIABLE: &str = "CEDARGAUGE_ENTRY";

/// A client for the hosts named on the command line, else by the variable.
pub(crate) fn inquiry(named: &[String]) -> anyhow::Result<Inquiry> {
    let addresses = match named {
        [] => from_variable(),
        _ => named.to_vec(),
    };
    if addresses.is_empty() {
        bail!("name an entry host by --entry ADDRESS:PORT or by {VARIABLE}");
    }
    Ok(Inquiry::new(addresses))
}

fn from_variable() -> Vec<String> {
    env::var(VARIABLE)
        .unwrap_or_default()
        .split(',')
        .map(str::trim)
        .filter(|address| !address.is_empty())
        .map(str::to_owned)
        .collect()
}

/// Fails if not one host answered.
pub(crate) fn require_any<T>(answers: &[Answer<T>]) -> anyhow::Result<()> {
    if answers.iter().any(|answer| answer.answer.is_some()) {
        return Ok(());
    }
    let reasons: Vec<&str> = answers
        .iter()
        .filter_map(|answer| answer.error.as_deref())
        .collect();
    bail!("no entry host answered\n{}", reasons.join("\n"));
}

/// Prints the hosts that didn't answer, if any, to standard error.
pub(crate) fn print_silent<T>(answers: &[Answer<T>]) {
    let mut grid = Grid::new(&["NO ANSWER", "WHY"]);
    for answer in answers {
        if let Some(error) = &answer.error {
            let address = Cell::toned(&answer.address, Tone::Bad);
            grid.push(vec![address, Cell::from(error)]);
        }
    }
    if !grid.is_empty() {
        eprintln!("{}", grid.render(false));
    }
}
