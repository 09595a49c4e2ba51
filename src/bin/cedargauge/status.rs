//! `cedargauge status`.

use std::process::ExitCode;

use argh::FromArgs;

use crate::EXIT_BAD;
use crate::entries;
use cedargauge::inquiry::Answer;
use cedargauge::output::Cell;
use cedargauge::output::Grid;
use cedargauge::output::Tone;
use cedargauge::output::print_json;
use cedargauge::status::HostStatus;
use cedargauge::status::LimitStatus;
use cedargauge::status::PeerState;

/// Hosts with their configuration, their work, how they see one another, and limits near their
/// bound.
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "status",
    example = "$ {command_name} --entry 127.0.0.1:8080 --entry 127.0.0.1:8081",
    example = "As JSON, for another program:
$ {command_name} --entry 127.0.0.1:8080 --json",
    error_code(1, "A host isn't ready or didn't answer.")
)]
pub(crate) struct Status {
    /// callers' address of an entry host; may be repeated
    #[argh(option)]
    entry: Vec<String>,

    /// print JSON
    #[argh(switch)]
    json: bool,
}

impl Status {
    pub(crate) async fn run(self) -> anyhow::Result<ExitCode> {
        let answers = entries::inquiry(&self.entry)?.status().await;
        entries::require_any(&answers)?;
        if self.json {
            print_json(&answers)?;
        } else {
            print(&answers);
        }
        Ok(match answers.iter().all(is_well) {
            true => ExitCode::SUCCESS,
            false => ExitCode::from(EXIT_BAD),
        })
    }
}

fn is_well(answer: &Answer<HostStatus>) -> bool {
    answer
        .answer
        .as_ref()
        .is_some_and(|status| status.not_ready.is_empty())
}

fn print(answers: &[Answer<HostStatus>]) {
    entries::print_silent(answers);
    let hosts: Vec<&HostStatus> = answers
        .iter()
        .filter_map(|answer| answer.answer.as_ref())
        .collect();
    hosts_grid(&hosts).print();
    print_section("Peers that are not live", &peers_grid(&hosts));
    print_section("Limits near their bound", &limits_grid(&hosts));
}

fn print_section(title: &str, grid: &Grid) {
    if !grid.is_empty() {
        println!("\n{title}");
        grid.print();
    }
}

fn hosts_grid(hosts: &[&HostStatus]) -> Grid {
    let mut grid = Grid::new(&[
        "HOST",
        "DATA CENTRE",
        "STATE",
        "CONFIG",
        "AGE MS",
        "STREAMS",
        "WAITING",
        "CLAIMS",
        "UPSTREAMS",
    ]);
    for host in hosts {
        grid.push(vec![
            Cell::from(&host.host),
            Cell::from(&host.data_centre),
            state(host),
            optional(host.config.offset),
            optional(host.config.age_ms),
            Cell::from(host.streams_open),
            Cell::from(host.requests_waiting),
            Cell::from(host.claims_waiting),
            Cell::from(host.upstreams.len()),
        ]);
    }
    grid
}

fn state(host: &HostStatus) -> Cell {
    match host.not_ready.as_slice() {
        [] => Cell::toned("ready", Tone::Good),
        reasons => Cell::toned(format!("not ready: {}", reasons.join("; ")), Tone::Bad),
    }
}

fn optional<T: ToString>(value: Option<T>) -> Cell {
    value.map_or(Cell::from("-"), Cell::from)
}

fn peers_grid(hosts: &[&HostStatus]) -> Grid {
    let mut grid = Grid::new(&["SEEN BY", "HOST", "DATA CENTRE", "STATE", "SILENT MS"]);
    for host in hosts {
        for peer in &host.peers {
            if peer.state == PeerState::Live {
                continue;
            }
            grid.push(vec![
                Cell::from(&host.host),
                Cell::from(&peer.host),
                Cell::from(&peer.data_centre),
                Cell::toned(peer.state.name(), Tone::Watch),
                Cell::from(peer.silent_ms),
            ]);
        }
    }
    grid
}

fn limits_grid(hosts: &[&HostStatus]) -> Grid {
    let mut grid = Grid::new(&["HOST", "CUSTOMER", "LIMIT", "USED", "SHARE", "PERCENT"]);
    for host in hosts {
        for limit in &host.limits {
            grid.push(vec![
                Cell::from(&host.host),
                Cell::from(&limit.customer),
                Cell::from(limit.limit.name()),
                Cell::from(format!("{:.1}", limit.used)),
                Cell::from(format!("{:.1}", limit.share)),
                percent(limit),
            ]);
        }
    }
    grid
}

fn percent(limit: &LimitStatus) -> Cell {
    let percent = limit.used_percent();
    let tone = match percent >= 100.0 {
        true => Tone::Bad,
        false => Tone::Watch,
    };
    Cell::toned(format!("{percent:.0}"), tone)
}
