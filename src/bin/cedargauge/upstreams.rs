//! `cedargauge upstreams`.

use std::collections::BTreeMap;
use std::process::ExitCode;

use argh::FromArgs;

use crate::EXIT_BAD;
use crate::entries;
use cedargauge::id::UpstreamId;
use cedargauge::inquiry::Answer;
use cedargauge::output::Cell;
use cedargauge::output::Grid;
use cedargauge::output::Tone;
use cedargauge::output::print_json;
use cedargauge::status::HostStatus;
use cedargauge::status::UpstreamState;
use cedargauge::status::UpstreamStatus;

/// Memory use from which an upstream is shown as to be watched, in percent.
const MEMORY_WATCH_PERCENT: f64 = 90.0;

/// Upstreams with their owner, load and state, as their owner sees them.
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "upstreams",
    example = "$ {command_name} --entry 127.0.0.1:8080",
    error_code(1, "An upstream is ejected or lost.")
)]
pub(crate) struct Upstreams {
    /// callers' address of an entry host; may be repeated
    #[argh(option)]
    entry: Vec<String>,

    /// print JSON
    #[argh(switch)]
    json: bool,
}

impl Upstreams {
    pub(crate) async fn run(self) -> anyhow::Result<ExitCode> {
        let answers = entries::inquiry(&self.entry)?.status().await;
        entries::require_any(&answers)?;
        let upstreams = best_known(&answers);
        if self.json {
            print_json(&upstreams)?;
        } else {
            entries::print_silent(&answers);
            grid(&upstreams).print();
        }
        Ok(match upstreams.iter().all(|upstream| is_well(upstream)) {
            true => ExitCode::SUCCESS,
            false => ExitCode::from(EXIT_BAD),
        })
    }
}

fn is_well(upstream: &UpstreamStatus) -> bool {
    matches!(
        upstream.state,
        UpstreamState::Ready | UpstreamState::Leaving
    )
}

/// Each upstream as its owner tells it, else by the host with the youngest report.
fn best_known(answers: &[Answer<HostStatus>]) -> Vec<&UpstreamStatus> {
    let mut best: BTreeMap<&UpstreamId, (Rank, &UpstreamStatus)> = BTreeMap::new();
    for status in answers.iter().filter_map(|answer| answer.answer.as_ref()) {
        for upstream in &status.upstreams {
            let rank = Rank::of(status, upstream);
            let kept = best.entry(&upstream.upstream).or_insert((rank, upstream));
            if rank < kept.0 {
                *kept = (rank, upstream);
            }
        }
    }
    best.into_values().map(|(_, upstream)| upstream).collect()
}

/// Orders what hosts tell of an upstream: the owner's word first, then the youngest report.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    is_not_owner: bool,
    report_age_ms: u64,
}

impl Rank {
    fn of(status: &HostStatus, upstream: &UpstreamStatus) -> Self {
        Rank {
            is_not_owner: upstream.owner.as_ref() != Some(&status.host),
            report_age_ms: upstream.report_age_ms.unwrap_or(u64::MAX),
        }
    }
}

fn grid(upstreams: &[&UpstreamStatus]) -> Grid {
    let mut grid = Grid::new(&[
        "UPSTREAM",
        "SERVICE",
        "OWNER",
        "STATE",
        "RUNNING",
        "WAITING",
        "MEMORY %",
        "PREEMPTIONS",
        "REPORT AGE MS",
    ]);
    for upstream in upstreams {
        let owner = upstream.owner.as_ref();
        let report_age = upstream.report_age_ms;
        grid.push(vec![
            Cell::from(&upstream.upstream),
            Cell::from(&upstream.service),
            owner.map_or(Cell::from("-"), Cell::from),
            Cell::toned(upstream.state.name(), tone(upstream.state)),
            Cell::from(upstream.running),
            Cell::from(upstream.waiting),
            memory(upstream.memory_percent),
            Cell::from(upstream.preemptions_total),
            report_age.map_or(Cell::from("-"), Cell::from),
        ]);
    }
    grid
}

fn tone(state: UpstreamState) -> Tone {
    match state {
        UpstreamState::Ready => Tone::Good,
        UpstreamState::Leaving => Tone::Watch,
        UpstreamState::Ejected | UpstreamState::Lost => Tone::Bad,
    }
}

fn memory(percent: f64) -> Cell {
    let tone = match percent >= MEMORY_WATCH_PERCENT {
        true => Tone::Watch,
        false => Tone::Plain,
    };
    Cell::toned(format!("{percent:.0}"), tone)
}
