//! Whether a cut keeps this host from all upstreams of a service that others can reach.
//!
//! Behind a cut between data centres a service may have no upstream left, while its callers still reach
//! the hosts there. Their balancer sends them elsewhere once the hosts say that they aren't ready. Only
//! a silence of all other data centres shows that others may serve better: where a service is gone for
//! all, nobody does, and a host that went out of rotation for it would take its other services along.

use std::time::Duration;

use crate::id::ServiceId;

/// After a silence of all hosts of other data centres for so long a cut is likely: two rounds of each.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(600);

/// What is believed.
#[derive(Debug, Default)]
pub(crate) struct PartitionDetector {
    service: Option<ServiceId>,
}

/// A change of the belief.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum PartitionChange {
    /// No upstream of the service can be reached.
    Lost(ServiceId),
    /// Other data centres are heard again.
    Restored(ServiceId),
}

impl PartitionDetector {
    /// Whether the host is cut off from a service.
    pub(crate) fn is_partitioned(&self) -> bool {
        self.service.is_some()
    }

    /// Looks again. `silence` is for how long no other data centre was heard, if one ever was; `lost`
    /// looks for a service of which no upstream can be reached.
    ///
    /// A service that was lost stays so until others are heard: its callers went elsewhere, and no
    /// request shows whether its upstreams are back.
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
