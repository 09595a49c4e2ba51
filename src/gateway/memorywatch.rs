//! Watches the memory of the process against the limit of its machine, which ends a process that exceeds it without
//! a word.

use std::fs;
use std::time::Duration;

use crate::event::EventCode;
use crate::gateway::memorybudget::Place;
use crate::gateway::shared::Shared;
use crate::gateway::ticks::tick;
use crate::telemetry;
use crate::telemetry::Metric;

/// Interval between two readings.
const INTERVAL: Duration = Duration::from_secs(1);
/// Share of the limit from which the use is logged as high.
const HIGH_SHARE: f64 = 0.75;
/// Share of the limit below which it is usual again.
const USUAL_SHARE: f64 = 0.65;
/// What the system tells of the process.
const STATUS_FILE: &str = "/proc/self/status";
/// The field with the resident memory, in KB.
const RESIDENT_FIELD: &str = "VmRSS:";

/// Reads the memory in use at an interval. Never returns.
pub(crate) async fn run(shared: Shared) {
    let limit = shared.settings().memory_bytes_max;
    telemetry::set_gauge(Metric::MemoryLimitBytes, limit.unwrap_or(0) as f64);
    let mut level = Level::Usual;
    loop {
        tick(INTERVAL).await;
        for place in Place::ALL {
            telemetry::set_client_memory(place.name(), shared.memory_budget().held(place));
        }
        let connections = shared.caller_connections().count();
        telemetry::set_gauge(Metric::ClientConnections, connections as f64);
        let Some(resident) = resident_bytes() else {
            continue;
        };
        telemetry::set_gauge(Metric::MemoryBytes, resident as f64);
        let Some(limit) = limit else {
            continue;
        };
        let next = level.next(resident, limit);
        if next != level {
            level = next;
            let held = |place| shared.memory_budget().held(place);
            let line = shared.log().entry(EventCode::MemoryHigh);
            line.with("is_high", level == Level::High)
                .with("resident_bytes", resident)
                .with("limit_bytes", limit)
                .with("connections", shared.caller_connections().count())
                .with("connection_bytes", held(Place::Connections))
                .with("request_body_bytes", held(Place::Bodies))
                .with("answer_bytes", held(Place::Answers))
                .with("in_flight", shared.gate().in_flight())
                .write();
        }
    }
}

/// How much of the limit is in use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Level {
    Usual,
    High,
}

impl Level {
    fn next(self, resident: u64, limit: u64) -> Level {
        let share = resident as f64 / limit.max(1) as f64;
        match self {
            Level::Usual if share >= HIGH_SHARE => Level::High,
            Level::High if share < USUAL_SHARE => Level::Usual,
            level => level,
        }
    }
}

/// Resident memory of the process; `None` where the system doesn't tell.
fn resident_bytes() -> Option<u64> {
    parse_resident(&fs::read_to_string(STATUS_FILE).ok()?)
}

fn parse_resident(status: &str) -> Option<u64> {
    let field = status
        .lines()
        .find_map(|line| line.strip_prefix(RESIDENT_FIELD));
    let kb: u64 = field?.trim().strip_suffix("kB")?.trim().parse().ok()?;
    kb.checked_mul(1_024)
}

#[cfg(test)]
mod tests;
