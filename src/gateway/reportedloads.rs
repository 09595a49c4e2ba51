//! The load that upstreams of plain services report in the headers of their answers.
//!
//! A host counts the requests that it sends. An upstream's report also covers requests of other
//! hosts that this host has not learnt of yet, and the current speed of the upstream's machine. The
//! load changes many times a second, so a report influences placement only for a short time.

use std::collections::HashMap;
use std::time::Duration;

use crate::clock::Time;
use crate::gateway::instance::InstanceKey;

/// Time for which a report is used: a few calls.
const REPORT_TTL: Duration = Duration::from_millis(150);

/// Load that an upstream reports of itself.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ReportedLoad {
    /// Running requests.
    pub running: u32,
    /// Waiting requests.
    pub waiting: u32,
    /// Current duration of calls divided by the usual one: 1 at normal speed, more when slower.
    pub slowness: f64,
}

impl ReportedLoad {
    /// Running and waiting requests.
    pub fn requests(&self) -> u32 {
        self.running.saturating_add(self.waiting)
    }
}

/// The latest reports of all upstreams.
#[derive(Debug, Default)]
pub(crate) struct ReportedLoads {
    latest: HashMap<InstanceKey, (Time, ReportedLoad)>,
}

impl ReportedLoads {
    /// Stores an upstream's report, replacing the previous one.
    pub(crate) fn record(&mut self, now: Time, upstream: InstanceKey, reported: ReportedLoad) {
        self.latest.insert(upstream, (now, reported));
    }

    /// The latest report of an upstream, unless it has expired.
    pub(crate) fn fresh(&self, now: Time, upstream: InstanceKey) -> Option<ReportedLoad> {
        let (at, reported) = self.latest.get(&upstream)?;
        (now.since(*at) < REPORT_TTL).then_some(*reported)
    }

    /// Whether there are no reports, so that callers can skip the look-ups.
    pub(crate) fn is_empty(&self) -> bool {
        self.latest.is_empty()
    }

    /// Removes expired reports.
    pub(crate) fn expire(&mut self, now: Time) {
        self.latest.retain(|_, (at, _)| now.since(*at) < REPORT_TTL);
    }
}

#[cfg(test)]
mod tests;
