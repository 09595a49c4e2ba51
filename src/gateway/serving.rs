//! A transfer to another host that counts as under way until it is dropped, be it that its receiver is gone.

use crate::gateway::document::transfers::Ticket;
use crate::gateway::peers::Fetch;
use crate::gateway::shared::Shared;

/// A transfer that was admitted.
pub(crate) struct Serving {
    shared: Shared,
    what: Fetch,
    ticket: Ticket,
}

impl Serving {
    /// Admits a transfer, unless enough of the same are under way.
    pub(crate) fn begin(shared: &Shared, what: Fetch) -> Option<Self> {
        let now = shared.now();
        let ticket = shared.transfers(what, |transfers| transfers.begin(now))?;
        Some(Serving {
            shared: shared.clone(),
            what,
            ticket,
        })
    }

    /// The receiver took what was sent before.
    pub(crate) fn progressed(&self) {
        let now = self.shared.now();
        self.shared.transfers(self.what, |transfers| {
            transfers.progressed(now, self.ticket);
        });
    }
}

impl Drop for Serving {
    fn drop(&mut self) {
        self.shared
            .transfers(self.what, |transfers| transfers.end(self.ticket));
    }
}
