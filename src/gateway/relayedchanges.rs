//! Changes of upstreams that a host heard of from another host, gathered for one line of its log.
//!
//! A host that reads the log writes a line for each change. Would all hosts of a large fleet, most of their lines were
//! the same few changes.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::Time;
use crate::gateway::directory::DirectoryChange;
use crate::gateway::instance::InstanceId;

/// Between two lines. What the host knew at a moment is told by those of the hosts that read the log.
const SUMMARY_INTERVAL: Duration = Duration::from_secs(3);
/// Upstreams that a line names.
const NAMED_UPSTREAMS_MAX: usize = 3;

/// What was heard since the last line.
#[derive(Debug, Default)]
pub struct RelayedChanges {
    since: Option<Time>,
    counts: BTreeMap<&'static str, usize>,
    first: Vec<InstanceId>,
    host: String,
}

/// What one line tells.
#[derive(Debug, PartialEq, Eq)]
pub struct ChangeSummary {
    /// Changes by their names.
    pub counts: BTreeMap<&'static str, usize>,
    /// The first upstreams that changed.
    pub first: Vec<InstanceId>,
    /// The last host that told of any.
    pub host: String,
}

impl RelayedChanges {
    /// Another host told of a change.
    pub fn record(
        &mut self,
        now: Time,
        host: &str,
        upstream: &InstanceId,
        change: DirectoryChange,
    ) {
        host.clone_into(&mut self.host);
        self.since.get_or_insert(now);
        *self.counts.entry(change.name()).or_default() += 1;
        if self.first.len() < NAMED_UPSTREAMS_MAX {
            self.first.push(upstream.clone());
        }
    }

    /// What is to be written now, if anything is.
    pub fn take_due(&mut self, now: Time) -> Option<ChangeSummary> {
        let since = self.since?;
        if now.since(since) < SUMMARY_INTERVAL {
            return None;
        }
        self.since = None;
        Some(ChangeSummary {
            counts: std::mem::take(&mut self.counts),
            first: std::mem::take(&mut self.first),
            host: std::mem::take(&mut self.host),
        })
    }
}

#[cfg(test)]
mod tests;
