//! What upstreams of plain services say of their own load, in the headers of their answers.
//!
//! Hosts count what they send; an upstream also counts what they don't hear of each other, and knows how fast its machine
//! is at the moment. Its word changes many times a second, so it corrects where requests go only while it is
//! fresh.

use std::collections::HashMap;
use std::time::Duration;

use crate::clock::Time;
use crate::gateway::instance::InstanceKey;

/// A word counts for so long: a few calls.
const REPORT_TTL: Duration = Duration::from_millis(150);

/// What an upstream says of itself.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ReportedLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// How long work takes there now, against the usual: 1 is as usual.
    pub slowness: f64,
}

impl ReportedLoad {
    /// Requests that it holds.
    pub fn requests(&self) -> u32 {
        self.running.saturating_add(self.waiting)
    }
}

/// The last words of all upstreams.
#[derive(Debug, Default)]
pub(crate) struct ReportedLoads {
    latest: HashMap<InstanceKey, (Time, ReportedLoad)>,
}

impl ReportedLoads {
    pub(crate) fn record(&mut self, now: Time, upstream: InstanceKey, reported: ReportedLoad) {
        self.latest.insert(upstream, (now, reported));
    }

    /// What an upstream said of itself a moment ago.
    pub(crate) fn fresh(&self, now: Time, upstream: InstanceKey) -> Option<ReportedLoad> {
        let (at, reported) = self.latest.get(&upstream)?;
        (now.since(*at) < REPORT_TTL).then_some(*reported)
    }

    /// Whether there is none at all.
    pub(crate) fn is_empty(&self) -> bool {
        self.latest.is_empty()
    }

    /// Forgets what is not fresh any more.
    pub(crate) fn expire(&mut self, now: Time) {
        self.latest.retain(|_, (at, _)| now.since(*at) < REPORT_TTL);
    }
}

#[cfg(test)]
mod tests;
