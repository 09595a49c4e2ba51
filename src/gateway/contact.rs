//! Detects that this host has lost its links to all upstreams, while the upstreams themselves are up.
//!
//! A host can't tell from one failed connection whether the upstream or its own link is down. Failures at
//! several upstreams without a response of any suggest the link: upstreams rarely fail together. From then
//! on the host probes upstreams until a connection succeeds, so a wrong suspicion ends within a round trip.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::clock::Time;
use crate::gateway::instance::InstanceKey;

/// Upstreams that have to fail one after another for the host to count as cut off.
const FAILED_UPSTREAMS_MIN: usize = 2;
/// Failures count together for this long: a host with few requests may meet two crashed upstreams in a day.
const FAILURE_TTL: Duration = Duration::from_secs(10);

/// Whether the host reaches upstreams by its own links.
#[derive(Debug, Default)]
pub(crate) struct UpstreamContact {
    failed: BTreeSet<InstanceKey>,
    last_failure: Time,
    cut_off_since: Option<Time>,
}

/// A change of what the detector reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ContactChange {
    /// The host reaches no upstream.
    Lost {
        /// Upstreams that failed since one was last reached.
        failed: usize,
    },
    /// The host reaches an upstream again.
    Regained {
        /// Time for which it reached none.
        after: Duration,
    },
}

impl UpstreamContact {
    /// Whether the host is cut off from all upstreams.
    pub(crate) fn is_lost(&self) -> bool {
        self.cut_off_since.is_some()
    }

    /// Records that a connection to an upstream failed, or broke before a response.
    pub(crate) fn record_failure(
        &mut self,
        now: Time,
        upstream: InstanceKey,
    ) -> Option<ContactChange> {
        if now.since(self.last_failure) > FAILURE_TTL {
            self.failed.clear();
        }
        self.last_failure = now;
        self.failed.insert(upstream);
        let failed = self.failed.len();
        if self.is_lost() || failed < FAILED_UPSTREAMS_MIN {
            return None;
        }
        self.cut_off_since = Some(now);
        Some(ContactChange::Lost { failed })
    }

    /// Records a response of an upstream, or a successful probe, on a connection opened at `opened_at`. One from
    /// before the last failure shows nothing: open connections can outlive a link.
    pub(crate) fn record_reached(&mut self, now: Time, opened_at: Time) -> Option<ContactChange> {
        if opened_at <= self.last_failure {
            return None;
        }
        self.failed.clear();
        let since = self.cut_off_since.take()?;
        Some(ContactChange::Regained {
            after: now.since(since),
        })
    }
}

#[cfg(test)]
mod tests;
