//! What hosts tell each other of their directories.

use std::time::Duration;

use super::AppliedChange;
use super::Change;
use super::ChangeKind;
use super::Directory;
use super::Upstream;
use super::UpstreamState;
use crate::clock::Time;
use crate::gateway::position::Position;

/// Changes are told again for this long, so that a datagram lost is made good: three rounds of a reader
/// of 295 hosts.
const ANNOUNCE_WINDOW: Duration = Duration::from_millis(1_800);

impl Directory {
    /// Takes a change that another host tells.
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

    /// The last changes, for other hosts.
    pub fn recent_changes(&self, now: Time) -> Vec<Change> {
        let recent = self.recent_changes.iter();
        recent
            .filter(|(at, _)| now.since(*at) < ANNOUNCE_WINDOW)
            .map(|(_, change)| change.clone())
            .collect()
    }

    /// What changed by records from `position` on, as far back as removals are remembered.
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

    /// A hash over what is listed; hosts that list the same have the same.
    pub fn digest(&self) -> u64 {
        self.entries.digest()
    }

    /// The whole list with each entry's position, for a peer.
    pub fn list_all(&self) -> Vec<(Upstream, Position)> {
        let entries = self.entries.values();
        entries
            .map(|entry| ((*entry.upstream).clone(), entry.position))
            .collect()
    }
}
