//! Summarises changes of upstreams that other hosts relayed, for one log entry.
//!
//! A host that reads the platform's log writes an entry for each change. If every host of a large fleet did so,
//! most of their entries would repeat the same few changes.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::Time;
use crate::gateway::directory::DirectoryChange;
use crate::gateway::instance::InstanceId;

/// Time over which changes are gathered into one entry. The exact time of a change is in the log of the hosts
/// that read it.
const SUMMARY_INTERVAL: Duration = Duration::from_secs(3);
/// Upstreams that an entry names.
const NAMED_UPSTREAMS_MAX: usize = 3;

/// The changes received since the last entry.
#[derive(Debug, Default)]
pub struct RelayedChanges {
    since: Option<Time>,
    counts: BTreeMap<&'static str, usize>,
    first: Vec<InstanceId>,
    host: String,
}

/// The contents of one log entry.
#[derive(Debug, PartialEq, Eq)]
pub struct ChangeSummary {
    /// Number of changes by their kind.
    pub counts: BTreeMap<&'static str, usize>,
    /// The first upstreams that changed.
    pub first: Vec<InstanceId>,
    /// The last host that relayed a change.
    pub host: String,
}

impl RelayedChanges {
    /// Records a change that another host relayed.
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

    /// Takes the summary to write, if there are changes and the interval has passed.
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
