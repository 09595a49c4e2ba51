//! Exchange of directory changes and full lists between hosts.

use std::cmp::Ordering;
use std::time::Duration;

use super::AppliedChange;
use super::Change;
use super::ChangeKind;
use super::Directory;
use super::Upstream;
use super::UpstreamState;
use crate::clock::Time;
use crate::gateway::position::Position;

/// How long a change is announced repeatedly to make up for lost datagrams: three gossip rounds of a
/// reader in a fleet of 295 hosts.
const ANNOUNCE_WINDOW: Duration = Duration::from_millis(1_800);

/// Minimum time between two fetches of the whole list because of differing digests.
const REPAIR_INTERVAL: Duration = Duration::from_secs(5);

/// A peer's statement of its list: a digest as of a log position, and recent changes.
#[derive(Debug, Clone, Copy)]
pub struct AnnouncedList<'a> {
    /// The log position up to which the peer's list is complete.
    pub position: Position,
    /// Digest of the peer's list.
    pub digest: u64,
    /// Changes that led to it.
    pub changes: &'a [Change],
}

/// How this host's list compares to a peer's after the announced changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Comparison {
    /// This host knows all that the peer knows.
    UpToDate,
    /// The peer has read further, and this host lacks changes.
    Behind,
    /// Both have read equally far, and their lists differ.
    Differs,
}

impl Directory {
    /// Applies the changes that a peer announced, also those by records before this host's position, which the peer
    /// may have deferred.
    pub fn merge_announced(
        &mut self,
        now: Time,
        announced: AnnouncedList<'_>,
    ) -> (Vec<AppliedChange>, Comparison) {
        let changes = announced.changes.iter();
        let applied = changes
            .filter_map(|change| self.apply_change(now, change))
            .collect();
        let is_same = self.digest() == announced.digest;
        let comparison = match announced.position.cmp(&self.position) {
            Ordering::Less => Comparison::UpToDate,
            Ordering::Equal if is_same || self.has_record_from(announced.position) => {
                Comparison::UpToDate
            }
            Ordering::Equal => match self.entries.missing().next() {
                Some(_) => Comparison::UpToDate,
                None => Comparison::Differs,
            },
            Ordering::Greater if is_same => {
                self.advance(announced.position);
                Comparison::UpToDate
            }
            Ordering::Greater => Comparison::Behind,
        };
        (applied, comparison)
    }

    /// Records that the whole list is about to be fetched because it differs from a peer's. Returns whether it may be:
    /// not more than once in [`REPAIR_INTERVAL`].
    pub(crate) fn begin_repair(&mut self, now: Time) -> bool {
        let is_due = self
            .repaired_at
            .is_none_or(|at| now.since(at) >= REPAIR_INTERVAL);
        if is_due {
            self.repaired_at = Some(now);
        }
        is_due
    }

    /// Applies a change that a peer announced.
    pub fn apply_change(&mut self, now: Time, change: &Change) -> Option<AppliedChange> {
        let upstream = match &change.kind {
            ChangeKind::Listed(upstream) => Some((**upstream).clone()),
            ChangeKind::Removed(_) => None,
            ChangeKind::Leaving(id, sequence) => {
                let mut upstream = (**self.get(id)?).clone();
                upstream.state = UpstreamState::Leaving;
                upstream.sequence = *sequence;
                Some(upstream)
            }
        };
        self.apply(now, change.kind.id().upstream(), upstream, change.position)
    }

    /// The changes of the last `ANNOUNCE_WINDOW`, to be announced to peers.
    pub fn recent_changes(&self, now: Time) -> Vec<Change> {
        let recent = self.recent_changes.iter();
        recent
            .filter(|(at, _)| now.since(*at) < ANNOUNCE_WINDOW)
            .map(|(_, change)| change.clone())
            .collect()
    }

    /// The changes by records at or after `position`. Removals that have expired are not included.
    pub fn changed_from(&self, position: impl Into<Position>) -> Vec<Change> {
        let position = position.into();
        let listed = self.entries.values().map(|entry| Change {
            position: entry.position,
            kind: ChangeKind::Listed(entry.upstream.clone()),
        });
        let removed = self.removed.values().map(|removal| Change {
            position: removal.position,
            kind: ChangeKind::Removed(removal.instance.clone()),
        });
        let changes = listed.chain(removed);
        changes
            .filter(|change| change.position >= position)
            .collect()
    }

    /// A hash over the listed entries. Hosts with equal listings have equal digests.
    pub fn digest(&self) -> u64 {
        self.entries.digest()
    }

    /// The full list with the position of each entry, for a peer.
    pub fn list_all(&self) -> Vec<(Upstream, Position)> {
        let entries = self.entries.values();
        entries
            .map(|entry| ((*entry.upstream).clone(), entry.position))
            .collect()
    }
}
