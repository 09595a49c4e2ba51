//! What hosts tell each other of their directories.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::Applied;
use super::Change;
use super::Directory;
use super::News;
use super::Upstream;
use super::UpstreamState;
use crate::clock::Time;
use crate::gateway::position::Position;

/// Changes are told again for this long, so that a datagram lost is made good: three rounds of a reader
/// of 295 hosts.
const CHANGES_TOLD_FOR: Duration = Duration::from_millis(1_800);
/// Spreads eras over the seeds of a digest (2^64 over the golden ratio).
const ERA_SEED: u64 = 0x9e37_79b9_7f4a_7c15;

impl Directory {
    /// Takes a change that another host tells.
    pub fn take(&mut self, now: Time, change: &Change) -> Option<Applied> {
        let upstream = match &change.news {
            News::Listed(upstream) => Some((**upstream).clone()),
            News::Removed(_) => None,
            News::Leaving(id) => {
                let mut upstream = (**self.get(id)?).clone();
                upstream.state = UpstreamState::Leaving;
                Some(upstream)
            }
        };
        self.apply(now, change.news.id().upstream(), upstream, change.position)
    }

    /// The last changes, for other hosts.
    pub fn recent(&self, now: Time) -> Vec<Change> {
        let recent = self.recent.iter();
        recent
            .filter(|(at, _)| now.since(*at) < CHANGES_TOLD_FOR)
            .map(|(_, change)| change.clone())
            .collect()
    }

    /// What changed by records from `position` on, as far back as removals are remembered.
    pub fn changed_from(&self, position: impl Into<Position>) -> Vec<Change> {
        let position = position.into();
        let listed = self.entries.values().map(|entry| Change {
            position: entry.position,
            news: News::Listed(entry.upstream.clone()),
        });
        let removed = self.removed.values().map(|removal| Change {
            position: removal.position,
            news: News::Removed(removal.instance.clone()),
        });
        let changes = listed.chain(removed);
        changes
            .filter(|change| change.position >= position)
            .collect()
    }

    /// A hash over what is listed; hosts that list the same have the same.
    pub fn digest(&self) -> u64 {
        let entries = self.entries.iter();
        entries
            .map(|(id, entry)| {
                let leaving = entry.upstream.state == UpstreamState::Leaving;
                let Position { era, offset } = entry.position;
                let history = era.number().wrapping_mul(ERA_SEED);
                let seed = history ^ offset.wrapping_mul(2).wrapping_add(u64::from(leaving));
                xxh3_64_with_seed(id.as_str().as_bytes(), seed)
            })
            .fold(0, |sum, hash| sum ^ hash)
    }

    /// The whole list with each entry's position, for a peer.
    pub fn list_all(&self) -> Vec<(Upstream, Position)> {
        let entries = self.entries.values();
        entries
            .map(|entry| ((*entry.upstream).clone(), entry.position))
            .collect()
    }
}
