//! `cedargauge-timeline`: one time line from the events of many processes.

use std::fs;
use std::io;
use std::io::Write;
use std::path::PathBuf;
use std::time::Duration;

use anyhow::Context;
use anyhow::bail;
use argh::FromArgs;
use awc::Client;
use futures_util::future::join_all;

use cedargauge::event::Event;
use cedargauge::id::RequestId;
use cedargauge::lanes;
use cedargauge::timeline;
use cedargauge::timeline::Moment;
use cedargauge::timeline::Selection;

/// Timeout of a process's answer.
const ANSWER_WITHIN: Duration = Duration::from_secs(5);

/// Largest answer of a process, in bytes.
const ANSWER_BYTES_MAX: usize = 64 << 20;

/// Events in a picture where --last does not say otherwise.
const PICTURE_EVENTS: usize = 250;

/// Merges the events of processes into one time line.
#[derive(FromArgs)]
#[argh(
    example = "Print all events of two hosts:\n  {command_name} 127.0.0.1:8080 127.0.0.1:8081",
    example = "Keep them in a file, and draw one request from it:\n  {command_name} --format json 127.0.0.1:8080 > events.jsonl\n  {command_name} --file events.jsonl --request ID --format svg > request.svg",
    note = "Text shows the time, the process, the event's number and name, and what it concerns.",
    error_code(1, "A process or file could not be read; the others are shown.")
)]
struct Arguments {
    /// addresses of processes that serve their events
    #[argh(positional)]
    addresses: Vec<String>,
    /// file with events as JSON lines; may be given more than once
    #[argh(option)]
    file: Vec<PathBuf>,
    /// text (the default), json for JSON lines, or svg for a picture
    #[argh(option, default = "Format::Text")]
    format: Format,
    /// only this request with its attempts
    #[argh(option)]
    request: Option<String>,
    /// only these hundreds of the catalogue, such as 3,6
    #[argh(option)]
    hundreds: Option<String>,
    /// only the last so many events; 250 for a picture, else all
    #[argh(option)]
    last: Option<usize>,
}

enum Format {
    Text,
    Json,
    Svg,
}

impl argh::FromArgValue for Format {
    fn from_arg_value(value: &str) -> Result<Self, String> {
        match value {
            "text" => Ok(Format::Text),
            "json" => Ok(Format::Json),
            "svg" => Ok(Format::Svg),
            _ => Err(format!("{value}: expected text, json or svg")),
        }
    }
}

#[actix_web::main]
async fn main() -> anyhow::Result<()> {
    let arguments: Arguments = argh::from_env();
    if arguments.addresses.is_empty() && arguments.file.is_empty() {
        bail!("name at least one address or --file");
    }
    let selection = selection(&arguments)?;
    let (events, failures) = collect(&arguments).await;
    let moments = timeline::select(timeline::merge(events), &selection);
    print(&moments, &arguments.format)?;
    for failure in &failures {
        eprintln!("{failure:#}");
    }
    if failures.is_empty() {
        return Ok(());
    }
    bail!("{} of the sources could not be read", failures.len());
}

fn selection(arguments: &Arguments) -> anyhow::Result<Selection> {
    let hundreds = arguments.hundreds.as_deref().unwrap_or_default();
    let last = match arguments.format {
        Format::Svg => Some(arguments.last.unwrap_or(PICTURE_EVENTS)),
        Format::Text | Format::Json => arguments.last,
    };
    Ok(Selection {
        request: arguments.request.as_deref().map(request_id).transpose()?,
        hundreds: hundreds
            .split(',')
            .filter(|hundred| !hundred.is_empty())
            .map(|hundred| hundred.trim().parse())
            .collect::<Result<_, _>>()
            .context("--hundreds takes numbers such as 3,6")?,
        last,
    })
}

fn request_id(text: &str) -> anyhow::Result<RequestId> {
    let id = uuid::Uuid::parse_str(text).with_context(|| format!("{text}: expected a UUID"))?;
    Ok(RequestId(id))
}

/// The events of all sources that can be read, and what the others failed with.
async fn collect(arguments: &Arguments) -> (Vec<Event>, Vec<anyhow::Error>) {
    let client = Client::builder().timeout(ANSWER_WITHIN).finish();
    let fetched = join_all(arguments.addresses.iter().map(|a| fetch(&client, a))).await;
    let read = arguments.file.iter().map(read_file);
    let mut events = Vec::new();
    let mut failures = Vec::new();
    for source in fetched.into_iter().chain(read) {
        match source {
            Ok(mut of_source) => events.append(&mut of_source),
            Err(failure) => failures.push(failure),
        }
    }
    (events, failures)
}

async fn fetch(client: &Client, address: &str) -> anyhow::Result<Vec<Event>> {
    let url = format!("http://{address}/events");
    let mut answer = client
        .get(&url)
        .send()
        .await
        .map_err(|error| anyhow::anyhow!("{url}: {error}"))?;
    if !answer.status().is_success() {
        bail!("{url}: {}", answer.status());
    }
    answer.json().limit(ANSWER_BYTES_MAX).await.context(url)
}

/// Reads events, or moments of an earlier time line, one JSON object a line.
fn read_file(path: &PathBuf) -> anyhow::Result<Vec<Event>> {
    let text = fs::read_to_string(path).with_context(|| path.display().to_string())?;
    text.lines()
        .enumerate()
        .filter(|(_, line)| !line.trim().is_empty())
        .map(|(index, line)| {
            parse_line(line).with_context(|| format!("{}:{}", path.display(), index + 1))
        })
        .collect()
}

fn parse_line(line: &str) -> serde_json::Result<Event> {
    serde_json::from_str::<Moment>(line)
        .map(|moment| moment.event)
        .or_else(|_| serde_json::from_str(line))
}

fn print(moments: &[Moment], format: &Format) -> anyhow::Result<()> {
    let mut out = io::stdout().lock();
    match format {
        Format::Text => {
            for moment in moments {
                writeln!(out, "{}", line(moment))?;
            }
        }
        Format::Json => {
            for moment in moments {
                writeln!(out, "{}", serde_json::to_string(moment)?)?;
            }
        }
        Format::Svg => write!(out, "{}", lanes::draw(moments)?)?,
    }
    Ok(())
}

fn line(moment: &Moment) -> String {
    let event = &moment.event;
    format!(
        "{} {:<24} {event}",
        lanes::clock_text(moment.at_ms),
        event.host.as_str()
    )
}
