//! Keys of the topic of upstreams whose newest record is no listing.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::Time;
use crate::gateway::position::Position;
use crate::id::UpstreamId;

/// Most keys that are remembered. The records of others are logged again at each full read.
const KEYS_MAX: usize = 1_024;
/// Shortest interval between two log entries on one key.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// What is known of one key.
#[derive(Debug)]
struct Foreign {
    position: Position,
    logged_at: Time,
}

/// What a new foreign record calls for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ForeignRecord {
    /// It has been counted before.
    Known,
    /// It is to be counted; an entry on the same key was logged a moment ago.
    Counted,
    /// It is to be counted and logged.
    Logged,
}

/// The foreign records by key.
#[derive(Debug, Default)]
pub(super) struct ForeignRecords(BTreeMap<UpstreamId, Foreign>);

impl ForeignRecords {
    /// Records the foreign record at `position`.
    pub(super) fn record(
        &mut self,
        now: Time,
        id: &UpstreamId,
        position: Position,
    ) -> ForeignRecord {
        if let Some(known) = self.0.get_mut(id) {
            if known.position == position {
                return ForeignRecord::Known;
            }
            known.position = position;
            if now.since(known.logged_at) < LOG_INTERVAL {
                return ForeignRecord::Counted;
            }
            known.logged_at = now;
            return ForeignRecord::Logged;
        }
        if self.0.len() >= KEYS_MAX {
            self.0.pop_first();
        }
        let foreign = Foreign {
            position,
            logged_at: now,
        };
        self.0.insert(id.clone(), foreign);
        ForeignRecord::Logged
    }

    /// Forgets a key that has no foreign record any more.
    pub(super) fn remove(&mut self, id: &UpstreamId) {
        self.0.remove(id);
    }
}
