//! The upstreams that the platform lists, folded from a keyed log.
//!
//! While the log is away, entries may lapse although their upstreams live. A removal that is read
//! soon after the log came back therefore takes effect only [`RETURN_GRACE`] after the return:
//! a living upstream has listed itself again by then.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::clock::Time;
use crate::id::ServiceId;
use crate::id::UpstreamId;

mod upstream;

pub use self::upstream::Change;
pub use self::upstream::DirectoryChange;
pub use self::upstream::News;
pub use self::upstream::Upstream;
pub use self::upstream::UpstreamState;

/// After the log's return, living upstreams list themselves again within this time (the platform
/// says about two seconds).
pub const RETURN_GRACE: Duration = Duration::from_millis(2_000);

/// Removals are remembered for this long, so that a peer's older list brings none back.
const REMOVAL_REMEMBERED: Duration = Duration::from_secs(120);

/// Changes that hosts tell each other again with each datagram, so that one lost is made good.
const RECENT_CHANGES: usize = 12;

/// A listed upstream and what this host knows beside.
#[derive(Debug, Clone)]
struct Entry {
    upstream: Arc<Upstream>,
    offset: u64,
    gone_at: Option<Time>,
    leaving_since: Option<Time>,
}

/// The upstreams as one host knows them.
#[derive(Debug, Default)]
pub struct Directory {
    offset: u64,
    entries: BTreeMap<UpstreamId, Entry>,
    removed: BTreeMap<UpstreamId, (u64, Time)>,
    /// Instances that answered at their address with another id, or refused as leaving.
    witnessed: BTreeMap<UpstreamId, Time>,
    away: bool,
    returned_at: Option<Time>,
    recent: VecDeque<Change>,
}

impl Directory {
    /// The log's offset up to which this directory was read.
    pub fn offset(&self) -> u64 {
        self.offset
    }

    /// The log up to `offset` was read, here or by a peer.
    pub fn advance(&mut self, offset: u64) {
        self.offset = self.offset.max(offset);
    }

    /// The log cannot be read.
    pub fn log_lost(&mut self) {
        self.away = true;
    }

    /// The log can be read again.
    pub fn log_back(&mut self, now: Time) {
        if std::mem::take(&mut self.away) {
            self.returned_at = Some(now);
        }
    }

    /// Takes one record; `upstream` is none where the key was removed.
    pub fn apply(
        &mut self,
        now: Time,
        id: &UpstreamId,
        upstream: Option<Upstream>,
        offset: u64,
    ) -> Option<DirectoryChange> {
        let known = self.entries.get(id).map(|entry| entry.offset);
        let removed = self.removed.get(id).map(|(offset, _)| *offset);
        if known.max(removed).is_some_and(|newest| newest > offset) {
            return None;
        }
        match upstream {
            Some(upstream) => self.list(now, id, upstream, offset),
            None => self.remove(now, id, offset),
        }
    }

    fn list(
        &mut self,
        now: Time,
        id: &UpstreamId,
        upstream: Upstream,
        offset: u64,
    ) -> Option<DirectoryChange> {
        self.removed.remove(id);
        let state = upstream.state;
        let upstream = Arc::new(upstream);
        let known = self.entries.get(id).and_then(|entry| entry.leaving_since);
        let known_ready = self
            .entries
            .get(id)
            .is_some_and(|entry| entry.upstream.state == UpstreamState::Ready);
        let leaving = state == UpstreamState::Leaving;
        let entry = Entry {
            upstream: upstream.clone(),
            offset,
            gone_at: None,
            leaving_since: leaving.then(|| known.unwrap_or(now)),
        };
        let news = match known_ready && leaving {
            true => News::Leaving,
            false => News::Listed(upstream.clone()),
        };
        self.remember(id, offset, news);
        match self.entries.insert(id.clone(), entry) {
            None if state == UpstreamState::Leaving => Some(DirectoryChange::Leaving),
            None => Some(DirectoryChange::Added),
            Some(old) if old.upstream == upstream && old.gone_at.is_none() => None,
            Some(old) if old.upstream.state != state && state == UpstreamState::Leaving => {
                Some(DirectoryChange::Leaving)
            }
            Some(_) => Some(DirectoryChange::Changed),
        }
    }

    fn remove(&mut self, now: Time, id: &UpstreamId, offset: u64) -> Option<DirectoryChange> {
        let entry = self.entries.get_mut(id)?;
        let grace_ends = self.returned_at.map(|returned| returned + RETURN_GRACE);
        let ready = entry.upstream.state == UpstreamState::Ready;
        if let Some(ends) = grace_ends.filter(|ends| *ends > now && ready) {
            entry.offset = offset;
            entry.gone_at = Some(ends);
            return Some(DirectoryChange::Missing);
        }
        self.drop_entry(now, id, offset);
        Some(DirectoryChange::Removed)
    }

    fn drop_entry(&mut self, now: Time, id: &UpstreamId, offset: u64) {
        self.entries.remove(id);
        self.removed.insert(id.clone(), (offset, now));
        self.remember(id, offset, News::Removed);
    }

    fn remember(&mut self, id: &UpstreamId, offset: u64, news: News) {
        self.recent.retain(|change| change.id != *id);
        if self.recent.len() == RECENT_CHANGES {
            self.recent.pop_front();
        }
        self.recent.push_back(Change {
            id: id.clone(),
            offset,
            news,
        });
    }

    /// Takes a change that another host tells.
    pub fn take(&mut self, now: Time, change: &Change) -> Option<DirectoryChange> {
        let upstream = match &change.news {
            News::Listed(upstream) => Some((**upstream).clone()),
            News::Removed => None,
            News::Leaving => {
                let known = self.entries.get(&change.id)?;
                let mut upstream = (*known.upstream).clone();
                upstream.state = UpstreamState::Leaving;
                Some(upstream)
            }
        };
        self.apply(now, &change.id, upstream, change.offset)
    }

    /// The last changes, for other hosts.
    pub fn recent(&self) -> Vec<Change> {
        self.recent.iter().cloned().collect()
    }

    /// A hash over what is listed; hosts that list the same have the same.
    pub fn digest(&self) -> u64 {
        let entries = self.entries.iter();
        entries
            .map(|(id, entry)| {
                let leaving = entry.upstream.state == UpstreamState::Leaving;
                let seed = entry.offset * 2 + u64::from(leaving);
                xxh3_64_with_seed(id.as_str().as_bytes(), seed)
            })
            .fold(0, |sum, hash| sum ^ hash)
    }

    /// Takes a whole list as of `offset`: what it lacks was removed.
    pub fn replace(
        &mut self,
        now: Time,
        listed: Vec<(Upstream, u64)>,
        offset: u64,
    ) -> Vec<(UpstreamId, DirectoryChange)> {
        let present: BTreeSet<UpstreamId> = listed
            .iter()
            .map(|(upstream, _)| upstream.id.clone())
            .collect();
        let lacking: Vec<UpstreamId> = self
            .entries
            .iter()
            .filter(|(id, entry)| !present.contains(*id) && entry.offset < offset)
            .map(|(id, _)| id.clone())
            .collect();
        let mut changes = Vec::new();
        for (upstream, at) in listed {
            let id = upstream.id.clone();
            if let Some(change) = self.apply(now, &id, Some(upstream), at) {
                changes.push((id, change));
            }
        }
        for id in lacking {
            let missing = self.entries.get(&id).is_some_and(|e| e.gone_at.is_some());
            if missing {
                continue;
            }
            if let Some(change) = self.remove(now, &id, offset.saturating_sub(1)) {
                changes.push((id, change));
            }
        }
        self.advance(offset);
        changes
    }

    /// Drops what is missing and whose grace is over, and old memories.
    pub fn lapse(&mut self, now: Time) -> Vec<UpstreamId> {
        let gone: Vec<UpstreamId> = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.gone_at.is_some_and(|at| at <= now))
            .map(|(id, _)| id.clone())
            .collect();
        for id in &gone {
            if let Some(offset) = self.entries.get(id).map(|entry| entry.offset) {
                self.drop_entry(now, id, offset);
            }
        }
        let recent = |at: Time| now.since(at) < REMOVAL_REMEMBERED;
        self.removed.retain(|_, (_, at)| recent(*at));
        self.witnessed.retain(|_, at| recent(*at));
        gone
    }

    /// An answer or a peer showed that the instance is leaving or gone. True if that is news.
    pub fn witness(&mut self, now: Time, id: &UpstreamId) -> bool {
        self.witnessed.insert(id.clone(), now).is_none()
    }

    /// Instances that were seen leaving, beside what the log says.
    pub fn witnessed(&self) -> impl Iterator<Item = &UpstreamId> {
        self.witnessed.keys()
    }

    /// Whether an instance takes new work.
    pub fn is_ready(&self, id: &UpstreamId) -> bool {
        !self.witnessed.contains_key(id)
            && self
                .entries
                .get(id)
                .is_some_and(|entry| entry.upstream.state == UpstreamState::Ready)
    }

    /// Since when an instance is known to be leaving or gone; none while it takes new work.
    pub fn leaving_since(&self, id: &UpstreamId) -> Option<Time> {
        let listed = self.entries.get(id).and_then(|entry| entry.leaving_since);
        let removed = self.removed.get(id).map(|(_, at)| *at);
        listed
            .or(removed)
            .or_else(|| self.witnessed.get(id).copied())
    }

    /// The upstreams of a service that take new work.
    pub fn ready(&self, service: &ServiceId) -> Vec<Arc<Upstream>> {
        let entries = self.entries.values();
        entries
            .filter(|entry| entry.upstream.service == *service)
            .filter(|entry| entry.upstream.state == UpstreamState::Ready)
            .filter(|entry| !self.witnessed.contains_key(&entry.upstream.id))
            .map(|entry| entry.upstream.clone())
            .collect()
    }

    /// All upstreams that take new work.
    pub fn all_ready(&self) -> Vec<Arc<Upstream>> {
        let ids = self.entries.keys().filter(|id| self.is_ready(id));
        ids.filter_map(|id| self.get(id)).cloned().collect()
    }

    /// The listed upstreams of a service that were seen leaving less than `within` ago, by id.
    pub fn leaving(&self, now: Time, service: &ServiceId, within: Duration) -> Vec<Arc<Upstream>> {
        let entries = self.entries.values();
        entries
            .filter(|entry| entry.upstream.service == *service)
            .filter(|entry| {
                let since = self.leaving_since(&entry.upstream.id);
                since.is_some_and(|since| now.since(since) < within)
            })
            .map(|entry| entry.upstream.clone())
            .collect()
    }

    /// The upstream, if it is listed.
    pub fn get(&self, id: &UpstreamId) -> Option<&Arc<Upstream>> {
        self.entries.get(id).map(|entry| &entry.upstream)
    }

    /// The whole list with each entry's offset, for a peer.
    pub fn list_all(&self) -> Vec<(Upstream, u64)> {
        let entries = self.entries.values();
        entries
            .map(|entry| ((*entry.upstream).clone(), entry.offset))
            .collect()
    }

    /// Number of listed upstreams.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether none is listed.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

#[cfg(test)]
mod tests;
