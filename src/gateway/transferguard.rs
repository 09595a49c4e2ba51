//! Counts a transfer to another host as in progress until its guard is dropped, even if the receiver has gone.

use crate::gateway::document::transfers::Ticket;
use crate::gateway::peers::Fetch;
use crate::gateway::shared::Shared;

/// An admitted transfer, which ends when this is dropped.
pub(crate) struct TransferGuard {
    shared: Shared,
    kind: Fetch,
    ticket: Ticket,
}

impl TransferGuard {
    /// Admits a transfer, unless enough of its kind are in progress.
    pub(crate) fn begin(shared: &Shared, kind: Fetch) -> Option<Self> {
        let now = shared.now();
        let ticket = shared.transfers(kind, |transfers| transfers.begin(now))?;
        Some(TransferGuard {
            shared: shared.clone(),
            kind,
            ticket,
        })
    }

    /// Records that the receiver has taken the bytes sent so far.
    pub(crate) fn record_progress(&self) {
        let now = self.shared.now();
        self.shared.transfers(self.kind, |transfers| {
            transfers.record_progress(now, self.ticket);
        });
    }
}

impl Drop for TransferGuard {
    fn drop(&mut self) {
        self.shared
            .transfers(self.kind, |transfers| transfers.end(self.ticket));
    }
}
