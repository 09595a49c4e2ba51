//! How many hosts a source serves pieces to at once.
//!
//! When a version appears all hosts of a data centre ask its reader. Served all at once they would all be
//! done last, at the link's rate divided by their number. So a source serves a few; these are sources
//! themselves when they are done, and each generation of hosts is larger by that factor.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::Time;

/// Served at once. Of 24 hosts behind one source all are done after two generations.
pub const TRANSFERS_MAX: usize = 4;
/// A transfer counts for so long at most: a receiver that is frozen or cut off holds up no other for
/// longer.
const COUNTS_FOR: Duration = Duration::from_millis(800);

/// Names a transfer that was admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket(u64);

/// The transfers of a source that are under way.
#[derive(Debug, Default)]
pub struct Transfers {
    began: BTreeMap<Ticket, Time>,
    next: u64,
}

impl Transfers {
    /// Admits a transfer, unless enough are under way.
    pub fn begin(&mut self, now: Time) -> Option<Ticket> {
        self.began.retain(|_, began| now.since(*began) < COUNTS_FOR);
        if self.began.len() >= TRANSFERS_MAX {
            return None;
        }
        let ticket = Ticket(self.next);
        self.next += 1;
        self.began.insert(ticket, now);
        Some(ticket)
    }

    /// A transfer has ended.
    pub fn end(&mut self, ticket: Ticket) {
        self.began.remove(&ticket);
    }
}

#[cfg(test)]
mod tests;
