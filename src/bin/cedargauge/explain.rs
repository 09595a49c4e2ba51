//! `cedargauge explain REQUEST`.

use std::process::ExitCode;
use std::str::FromStr;

use argh::FromArgs;
use uuid::Uuid;

use crate::EXIT_BAD;
use crate::entries;
use cedargauge::event::Event;
use cedargauge::event::EventCode;
use cedargauge::explain::Explanation;
use cedargauge::explain::explain;
use cedargauge::id::RequestId;
use cedargauge::output::Cell;
use cedargauge::output::Grid;
use cedargauge::output::Tone;
use cedargauge::output::print_json;

/// The whole life of one request over all the hosts asked: each decision with the figures it was
/// made from.
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "explain",
    example = "$ {command_name} 0193a3c4-5d6e-7000-8000-000000000001 --entry 127.0.0.1:8080 --entry 127.0.0.1:8081",
    note = "The request's id is in the header x-request-id of its answer, in the answer's id (cmpl-...) and in each error's request_id.",
    error_code(1, "No host that answered knows the request.")
)]
pub(crate) struct Explain {
    /// the request's id
    #[argh(positional)]
    request: RequestName,

    /// callers' address of an entry host; may be repeated
    #[argh(option)]
    entry: Vec<String>,

    /// print JSON
    #[argh(switch)]
    json: bool,
}

/// A request's id as answers name it: a UUID, or `cmpl-` and its digits.
struct RequestName(RequestId);

impl FromStr for RequestName {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let digits = text.strip_prefix("cmpl-").unwrap_or(text);
        let id = Uuid::parse_str(digits).map_err(|error| error.to_string())?;
        Ok(RequestName(RequestId(id)))
    }
}

impl Explain {
    pub(crate) async fn run(self) -> anyhow::Result<ExitCode> {
        let answers = entries::inquiry(&self.entry)?.events().await;
        entries::require_any(&answers)?;
        let processes: Vec<Vec<Event>> = answers
            .iter()
            .filter_map(|answer| answer.answer.clone())
            .collect();
        entries::print_silent(&answers);
        let request = self.request.0;
        let Some(explanation) = explain(request, &processes) else {
            eprintln!("no host that answered knows request {request}");
            return Ok(ExitCode::from(EXIT_BAD));
        };
        if self.json {
            print_json(&explanation)?;
        } else {
            print(&explanation);
        }
        Ok(ExitCode::SUCCESS)
    }
}

fn print(explanation: &Explanation) {
    println!("request {}", explanation.request);
    grid(&explanation.events).print();
    for gap in &explanation.gaps {
        println!(
            "{} may have forgotten events: the oldest it keeps is younger than the request",
            gap.host
        );
    }
}

fn grid(events: &[Event]) -> Grid {
    let mut grid = Grid::new(&["MS", "HOST", "EVENT", "NAME", "UPSTREAM", "DETAIL"]);
    let begin_ms = events.first().map_or(0, |event| event.wall_ms);
    for event in events {
        let upstream = event.upstream.as_ref();
        grid.push(vec![
            Cell::from(format!("+{}", event.wall_ms.saturating_sub(begin_ms))),
            Cell::from(&event.host),
            Cell::from(format!("E{:03}", event.code.number())),
            Cell::toned(event.code.name(), tone(event.code)),
            upstream.map_or(Cell::from("-"), Cell::from),
            Cell::from(detail(event)),
        ]);
    }
    grid
}

fn detail(event: &Event) -> String {
    let mut parts = Vec::new();
    if let Some(attempt) = event.attempt {
        parts.push(format!("attempt={attempt}"));
    }
    if let Some(offset) = event.offset {
        parts.push(format!("offset={offset}"));
    }
    if !event.detail.is_empty() {
        parts.push(event.detail.clone());
    }
    parts.join(" ")
}

fn tone(code: EventCode) -> Tone {
    match code {
        EventCode::RequestComplete => Tone::Good,
        EventCode::RequestRefused | EventCode::RequestFailed | EventCode::UpstreamLost => Tone::Bad,
        EventCode::StreamResumed | EventCode::RequestRestarted | EventCode::CallerLeft => {
            Tone::Watch
        }
        _ => Tone::Plain,
    }
}
