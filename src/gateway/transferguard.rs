//! A transfer to another host that counts as under way until it is dropped, be it that its receiver is gone.

use crate::gateway::document::transfers::Ticket;
use crate::gateway::peers::Fetch;
use crate::gateway::shared::Shared;

/// A transfer that was admitted.
pub(crate) struct TransferGuard {
    shared: Shared,
    kind: Fetch,
    ticket: Ticket,
}

impl TransferGuard {
    /// Admits a transfer, unless enough of the same are under way.
    pub(crate) fn begin(shared: &Shared, kind: Fetch) -> Option<Self> {
        let now = shared.now();
        let ticket = shared.transfers(kind, |transfers| transfers.begin(now))?;
        Some(TransferGuard {
            shared: shared.clone(),
            kind,
            ticket,
        })
    }

    /// The receiver took what was sent before.
    pub(crate) fn record_progress(&self) {
        let now = self.shared.now();
        self.shared.transfers(self.kind, |transfers| {
            transfers.progressed(now, self.ticket);
        });
    }
}

impl Drop for TransferGuard {
    fn drop(&mut self) {
        self.shared
            .transfers(self.kind, |transfers| transfers.end(self.ticket));
    }
}
