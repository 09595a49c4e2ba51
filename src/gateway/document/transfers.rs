//! How many hosts a source serves pieces to at once.
//!
//! When a version appears all hosts of a data centre ask its reader. Served all at once they would all be
//! done last, at the link's rate divided by their number. So a source serves a few; these are sources
//! themselves when they are done, and each generation of hosts is larger by that factor.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::Time;

/// Served at once. With more each generation lasts longer: in the model of a fleet 60 hosts with links of 10
/// Mbit/s have 400 KB after 2.7 s, with four at once after 3.9. With one it would be 2.1, but a receiver behind
/// a slow link would hold up all.
pub const TRANSFERS_MAX: usize = 2;
/// A transfer counts while its receiver takes bytes. One that is frozen or cut off holds up others for so long.
/// A fixed time for the whole of a transfer let ever more begin while a large document was under way: 60
/// hosts of the model didn't have 800 KB after 20 s.
const STALL_MAX: Duration = Duration::from_millis(500);

/// Names a transfer that was admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket(u64);

/// The transfers of a source that are under way.
#[derive(Debug, Default)]
pub struct Transfers {
    progressed_at: BTreeMap<Ticket, Time>,
    next: u64,
}

impl Transfers {
    /// Admits a transfer, unless enough are under way.
    pub fn begin(&mut self, now: Time) -> Option<Ticket> {
        self.progressed_at
            .retain(|_, progressed_at| now.since(*progressed_at) < STALL_MAX);
        if self.progressed_at.len() >= TRANSFERS_MAX {
            return None;
        }
        let ticket = Ticket(self.next);
        self.next += 1;
        self.progressed_at.insert(ticket, now);
        Some(ticket)
    }

    /// The receiver of a transfer took more bytes.
    pub fn progressed(&mut self, now: Time, ticket: Ticket) {
        self.progressed_at.insert(ticket, now);
    }

    /// A transfer has ended.
    pub fn end(&mut self, ticket: Ticket) {
        self.progressed_at.remove(&ticket);
    }
}

#[cfg(test)]
mod tests;
