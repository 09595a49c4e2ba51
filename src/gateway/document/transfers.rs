//! Limits the number of hosts to which a source sends pieces concurrently.
//!
//! When a version appears, all hosts of a data centre request it from its reader. If it served all of them
//! concurrently, all would finish at the same late time, since they share its link. Instead it serves a few, which
//! become sources when they have finished, so the number of sources grows exponentially.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::Time;

/// Most concurrent transfers of a source. More make each step last longer: in a model of 60 hosts with links of 10 Mbit/s,
/// all have 400 KB after 2.7 s with two and after 3.9 s with four. With one it is 2.1 s, but a receiver with a slow
/// link would delay all others.
pub const TRANSFERS_MAX: usize = 2;
/// Time without progress after which a transfer no longer counts, since its receiver may be frozen or partitioned. A limit
/// on the total time would let more and more transfers of a large document begin: 60 hosts in the model didn't have
/// 800 KB after 20 s.
const STALL_MAX: Duration = Duration::from_millis(500);

/// Identifies a transfer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket(u64);

/// The transfers of a source that are in progress.
#[derive(Debug, Default)]
pub struct Transfers {
    progressed_at: BTreeMap<Ticket, Time>,
    next: u64,
}

impl Transfers {
    /// Begins a transfer, unless [`TRANSFERS_MAX`] are in progress.
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

    /// Records that the receiver of a transfer read more bytes.
    pub fn record_progress(&mut self, now: Time, ticket: Ticket) {
        self.progressed_at.insert(ticket, now);
    }

    /// Ends a transfer.
    pub fn end(&mut self, ticket: Ticket) {
        self.progressed_at.remove(&ticket);
    }
}

#[cfg(test)]
mod tests;
