//! Exchange of directory changes and full lists between hosts.

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

impl Directory {
    /// Applies a change that a peer announced.
    pub fn apply_change(&mut self, now: Time, change: &Change) -> Option<AppliedChange> {
        let upstream = match &change.kind {
            ChangeKind::Listed(upstream) => Some((**upstream).clone()),
            ChangeKind::Removed(_) => None,
            ChangeKind::Leaving(id) => {
                let mut upstream = (**self.get(id)?).clone();
                upstream.state = UpstreamState::Leaving;
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
