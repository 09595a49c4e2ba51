//! Counts the requests that were not served in time, by cause, from the hosts' logs.
//!
//! The last log entry of a request that reports an end decides its cause. A generation without such an
//! entry was running when its host ended. Entries of several hosts may be mixed, and text before an
//! entry's JSON object is skipped.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use serde::Deserialize;

/// Time after an engine's notice of leaving within which a broken generation is attributed to it. Engines
/// give 1.5 to 2.1 s of notice.
const NOTICE_PERIOD_MAX: Duration = Duration::from_millis(3_500);

/// Limits beyond which a stream counts as late.
#[derive(Debug, Clone, Copy)]
pub struct Thresholds {
    /// Time until the first event.
    pub first_event: Duration,
    /// Time between two events.
    pub gap: Duration,
}

/// Why a request was not served in time.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Cause {
    /// Its host ended.
    HostEnded,
    /// Its engine left before the generation was migrated.
    EngineLeft,
    /// Its stream broke for another reason.
    Broken,
    /// Its caller disconnected.
    CallerLeft,
    /// It was refused or failed with this code.
    Refused(String),
    /// Its upstream answered with this status of 500 or above.
    UpstreamError(u16),
    /// Its first event was late.
    FirstEventLate,
    /// Two of its events were too far apart.
    Stalled {
        /// Whether the generation was migrated before it ended.
        moved: bool,
    },
}

impl Cause {
    /// The text that `cedargauge losses` prints.
    pub fn describe(&self) -> String {
        match self {
            Cause::HostEnded => "host ended".to_owned(),
            Cause::EngineLeft => "engine left".to_owned(),
            Cause::Broken => "stream broke".to_owned(),
            Cause::CallerLeft => "caller left".to_owned(),
            Cause::Refused(code) => format!("refused: {code}"),
            Cause::UpstreamError(status) => format!("upstream answered {status}"),
            Cause::FirstEventLate => "first event late".to_owned(),
            Cause::Stalled { moved: true } => "paused, was moved".to_owned(),
            Cause::Stalled { moved: false } => "paused".to_owned(),
        }
    }
}

/// The fields of a log entry that are used here.
#[derive(Debug, Deserialize)]
struct LogEntry {
    name: String,
    wall_ms: u64,
    #[serde(default)]
    request: Option<String>,
    #[serde(default)]
    kind: Option<String>,
    #[serde(default)]
    upstream: Option<String>,
    #[serde(default)]
    code: Option<String>,
    #[serde(default)]
    status: Option<u16>,
    #[serde(default)]
    first_ms: Option<f64>,
    #[serde(default)]
    gap_max_ms: Option<u64>,
    #[serde(default)]
    moves: Option<u32>,
}

/// Number of requests and of losses by cause.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Losses {
    /// All requests, by kind of route.
    pub requests: BTreeMap<String, u32>,
    /// Requests not served in time, by kind of route and cause.
    pub lost: BTreeMap<(String, Cause), u32>,
    /// Lines without a log entry.
    pub skipped: u32,
}

/// Counts requests and losses in the lines of logs.
pub fn tally<'a>(lines: impl Iterator<Item = &'a str>, thresholds: Thresholds) -> Losses {
    let mut losses = Losses::default();
    let mut notices: HashMap<String, u64> = HashMap::new();
    let mut requests: BTreeMap<String, (String, Option<LogEntry>)> = BTreeMap::new();
    for text in lines {
        let Some(entry) = parse_entry(text) else {
            losses.skipped += 1;
            continue;
        };
        if let ("UpstreamLeaving", Some(upstream)) = (entry.name.as_str(), &entry.upstream) {
            notices.entry(upstream.clone()).or_insert(entry.wall_ms);
        }
        let (Some(request), Some(kind)) = (entry.request.clone(), entry.kind.clone()) else {
            continue;
        };
        let tallied = requests.entry(request).or_insert((kind, None));
        if is_end(&entry.name) {
            tallied.1 = Some(entry);
        }
    }
    for (kind, end) in requests.into_values() {
        *losses.requests.entry(kind.clone()).or_default() += 1;
        if let Some(cause) = find_cause(&kind, end.as_ref(), &notices, thresholds) {
            *losses.lost.entry((kind, cause)).or_default() += 1;
        }
    }
    losses
}

fn parse_entry(text: &str) -> Option<LogEntry> {
    let from = text.find('{')?;
    serde_json::from_str(&text[from..]).ok()
}

fn is_end(name: &str) -> bool {
    matches!(
        name,
        "RequestComplete" | "RequestFailed" | "RequestRefused" | "CallerLeft"
    )
}

fn find_cause(
    kind: &str,
    end: Option<&LogEntry>,
    notices: &HashMap<String, u64>,
    thresholds: Thresholds,
) -> Option<Cause> {
    let Some(end) = end else {
        return (kind == "stream").then_some(Cause::HostEnded);
    };
    match end.name.as_str() {
        "CallerLeft" => Some(Cause::CallerLeft),
        "RequestRefused" => Some(Cause::Refused(end.code.clone().unwrap_or_default())),
        "RequestFailed" if broke_after_notice(end, notices) => Some(Cause::EngineLeft),
        "RequestFailed" => Some(Cause::Broken),
        _ => late_or_failed(end, thresholds),
    }
}

fn broke_after_notice(end: &LogEntry, notices: &HashMap<String, u64>) -> bool {
    let notice = end
        .upstream
        .as_ref()
        .and_then(|upstream| notices.get(upstream));
    notice.is_some_and(|at| {
        u128::from(end.wall_ms.saturating_sub(*at)) < NOTICE_PERIOD_MAX.as_millis()
    })
}

fn late_or_failed(end: &LogEntry, thresholds: Thresholds) -> Option<Cause> {
    if let Some(status) = end.status.filter(|status| *status >= 500) {
        return Some(Cause::UpstreamError(status));
    }
    let millis = |limit: Duration| limit.as_secs_f64() * 1_000.0;
    if end
        .first_ms
        .is_some_and(|ms| ms > millis(thresholds.first_event))
    {
        return Some(Cause::FirstEventLate);
    }
    let gap_ms = end.gap_max_ms.unwrap_or(0) as f64;
    let moved = end.moves.unwrap_or(0) > 0;
    (gap_ms > millis(thresholds.gap)).then_some(Cause::Stalled { moved })
}

#[cfg(test)]
mod tests;
