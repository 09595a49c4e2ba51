//! Detects a network partition that separates this host from all upstreams of a service.
//!
//! In a partition between data centres, a service may have no reachable upstream on one side while its
//! callers still reach the hosts there. The load balancer sends them elsewhere once those hosts report
//! that they aren't ready. A host does so only if all other data centres are silent, which suggests that
//! hosts elsewhere still reach the service. If the service is down everywhere, no host can serve it, and
//! leaving the rotation would only take this host's other services down with it.

use std::time::Duration;

use crate::id::ServiceId;

/// Silence of all other data centres after which a partition is assumed: two gossip rounds of each host.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(600);

/// Tracks the service that a partition has made unreachable, if any.
#[derive(Debug, Default)]
pub(crate) struct PartitionDetector {
    service: Option<ServiceId>,
}

/// A change of what the detector reports.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum PartitionChange {
    /// No upstream of the service is reachable.
    Lost(ServiceId),
    /// Messages of another data centre arrive again, after the service was lost.
    Restored(ServiceId),
}

impl PartitionDetector {
    /// Whether a partition separates the host from a service.
    pub(crate) fn is_partitioned(&self) -> bool {
        self.service.is_some()
    }

    /// Checks for a partition. `silence` is the time since the last message of another data centre, none
    /// before the first one; `find_lost` returns a service without a reachable upstream, if there is one.
    ///
    /// A lost service stays lost until another data centre is heard: its callers have gone elsewhere, so
    /// no request shows whether its upstreams are reachable again.
    pub(crate) fn update(
        &mut self,
        silence: Option<Duration>,
        find_lost: impl FnOnce() -> Option<ServiceId>,
    ) -> Option<PartitionChange> {
        let is_silent = silence.is_some_and(|silence| silence > SILENCE_TIMEOUT);
        match (&self.service, is_silent) {
            (None, true) => {
                self.service = find_lost();
                self.service.clone().map(PartitionChange::Lost)
            }
            (Some(_), false) => self.service.take().map(PartitionChange::Restored),
            (None, false) | (Some(_), true) => None,
        }
    }
}

#[cfg(test)]
mod tests;
