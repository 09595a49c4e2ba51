//! The directory of upstreams that the platform lists, built from a keyed log.
//!
//! While the log is unreachable, entries may expire although their upstreams are alive. A removal that is
//! read soon after the log is reachable again therefore takes effect only [`RETURN_GRACE`] after that:
//! an upstream that is alive has listed itself again by then.
//!
//! The directory distinguishes the instances of an upstream. The log may carry out a write late, so the order of its
//! records is not that of the statements: an entry of an earlier instance, or of the same one with a lower sequence
//! number, never replaces a later statement. An entry without a start time refers to the known instance.

use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use self::entry::Entry;
use self::entry::Missing;
use self::entry::Removal;
use self::entry::classify_change;
use self::entry::is_leaving_notice;
use self::foreign::ForeignRecords;
use self::listing::Listing;
use self::observation::Observation;
use crate::clock::Time;
use crate::gateway::evacuations::Evacuations;
use crate::gateway::instance::InstanceId;
use crate::gateway::instance::InstanceKey;
use crate::gateway::position::Position;
use crate::gateway::rollouts::Rollouts;
use crate::id::ServiceId;
use crate::id::UpstreamId;

mod entry;
mod foreign;
mod listing;
mod observation;
mod plausibility;
mod selection;
mod statements;
mod sync;
mod upstream;

pub use self::foreign::ForeignRecord;
pub use self::observation::Departure;
pub use self::observation::Witness;
pub use self::sync::AnnouncedList;
pub use self::sync::Comparison;
pub use self::upstream::AppliedChange;
pub use self::upstream::Change;
pub use self::upstream::ChangeKind;
pub use self::upstream::DirectoryChange;
pub use self::upstream::Upstream;
pub use self::upstream::UpstreamState;
pub(crate) use self::upstream::intern_names;

/// Live upstreams list themselves again within this time of the log's return. The platform documents about
/// two seconds.
pub const RETURN_GRACE: Duration = Duration::from_millis(2_000);

/// How long removals are kept, so that a peer's older list does not restore a removed upstream.
const REMOVAL_TTL: Duration = Duration::from_secs(120);

/// Maximum age of the copy from which the log is restored; the platform documents "some seconds". An
/// upstream that was removed longer ago and is listed again has listed itself.
const COPY_AGE_MAX: Duration = Duration::from_secs(30);

/// Maximum number of recent changes that are announced repeatedly: a third of the upstreams of a large
/// deployment.
const RECENT_CHANGES_MAX: usize = 64;

/// The upstreams that one host knows, with the evacuations and rollouts that apply to them.
#[derive(Debug, Default)]
pub struct Directory {
    position: Position,
    /// Position of the latest record that was applied; earlier records may still be missing.
    newest_record: Position,
    entries: Listing,
    removed: BTreeMap<UpstreamId, Removal>,
    /// Instances whose address answered with another id, or whose answers or reports said that they leave.
    observed_leaving: BTreeMap<InstanceId, Observation>,
    /// Keys whose newest record does not describe an upstream.
    foreign: ForeignRecords,
    evacuations: Evacuations,
    rollouts: Rollouts,
    /// When the upstreams that listed themselves as cold become warm.
    cold_until: BTreeMap<InstanceId, Time>,
    /// When a host that reads the log last vouched for the list.
    confirmed_at: Time,
    log_unreachable: bool,
    log_returned_at: Option<Time>,
    recent_changes: VecDeque<(Time, Change)>,
    /// When the whole list was last fetched because it differed from a peer's.
    repaired_at: Option<Time>,
}

impl Directory {
    /// The log position up to which this directory has been read.
    pub fn position(&self) -> Position {
        self.position
    }

    /// The log position that peers may rely on: earlier than [`Directory::position`] while a removal is deferred, as
    /// the list doesn't reflect that record yet.
    pub fn complete_to(&self) -> Position {
        let deferred = self
            .entries
            .missing()
            .map(|(_, missing)| missing.complete_to);
        deferred.fold(self.position, Position::min)
    }

    /// Whether any record at or after `position` has been applied.
    pub fn has_record_from(&self, position: Position) -> bool {
        self.newest_record >= position
    }

    /// Moves the read position forward to `position`, which this host or a peer has read up to.
    pub fn advance(&mut self, position: impl Into<Position>) {
        self.position = self.position.max(position.into());
    }

    /// Records that the log was restored from an older copy. Entries written after that copy are missing
    /// until they are written again.
    pub fn mark_log_returned(&mut self, now: Time) {
        self.log_returned_at = Some(now);
    }

    /// Records that the log cannot be read.
    pub fn mark_log_unreachable(&mut self) {
        self.log_unreachable = true;
    }

    /// Records that the log can be read again.
    pub fn mark_log_reachable(&mut self, now: Time) {
        if std::mem::take(&mut self.log_unreachable) {
            self.log_returned_at = Some(now);
        }
    }

    /// Records that a host which reads the log vouches for the list.
    pub fn confirm(&mut self, now: Time) {
        self.confirmed_at = now;
    }

    /// Records that this host has read the log. If no host had for longer than `gap_max`, entries may have lapsed
    /// meanwhile as in an outage; returns for how long.
    pub fn confirm_by_read(&mut self, now: Time, gap_max: Duration) -> Option<Duration> {
        let gap = now.since(self.confirmed_at);
        self.confirmed_at = now;
        if gap <= gap_max || self.entries.is_empty() {
            return None;
        }
        self.log_returned_at = Some(now);
        Some(gap)
    }

    /// Applies one record. `upstream` is `None` if the key was removed or its record does not describe an
    /// upstream.
    pub fn apply(
        &mut self,
        now: Time,
        id: &UpstreamId,
        upstream: Option<Upstream>,
        position: impl Into<Position>,
    ) -> Option<AppliedChange> {
        let position = position.into();
        match upstream {
            Some(upstream) => self.apply_listing(now, upstream, position),
            None if self.latest_position(id) > Some(position) => None,
            None => {
                self.newest_record = self.newest_record.max(position);
                self.apply_removal(now, id, position)
            }
        }
    }

    /// Position of the latest record of an upstream that was applied.
    fn latest_position(&self, id: &UpstreamId) -> Option<Position> {
        let listed = self.entries.get(id).map(Entry::latest_position);
        listed.max(self.removed.get(id).map(|removal| removal.position))
    }

    /// Whether this record has already been applied. Hosts announce the same change to each other repeatedly.
    fn is_already_listed(&self, upstream: &Upstream, position: Position) -> bool {
        let entry = self.entries.get(upstream.id.upstream());
        entry.is_some_and(|entry| {
            entry.position == position
                && entry.missing.is_none()
                && entry.upstream.state == upstream.state
                && entry.upstream.sequence == upstream.sequence
                && entry.upstream.id == upstream.id
        })
    }

    /// Applies a listing, unless the upstream has made a later statement.
    fn apply_listing(
        &mut self,
        now: Time,
        mut upstream: Upstream,
        position: Position,
    ) -> Option<AppliedChange> {
        let name = upstream.id.upstream().clone();
        let known_born_ms = self
            .latest_statement(&name)
            .and_then(|((born_ms, _), _)| born_ms);
        let born_ms = upstream.id.born_ms().or(known_born_ms);
        upstream.id = InstanceId::new(name.clone(), born_ms);
        let order = self.compare_listing(now, &upstream);
        let is_earlier_record = self.latest_position(&name) > Some(position);
        // A later statement counts even if the record of an earlier one follows it, but no statement outlasts the
        // removal of its record.
        let is_overtaken = order == Ordering::Greater
            && self
                .entries
                .get(&name)
                .is_some_and(|entry| entry.missing.is_none());
        if is_earlier_record && !is_overtaken {
            return None;
        }
        self.newest_record = self.newest_record.max(position);
        if order == Ordering::Less {
            let known = self.entries.get(&name).map(|entry| &entry.upstream);
            match known.filter(|known| known.id == upstream.id && known.state == upstream.state) {
                Some(known) => upstream = (**known).clone(),
                None => {
                    self.apply_late_listing(now, &upstream, position);
                    return None;
                }
            }
        }
        if self.is_already_listed(&upstream, position) {
            return None;
        }
        if order != Ordering::Greater && self.is_stale_ready(now, &upstream, position) {
            let observation = Observation::of_restored_listing(now, position);
            self.observed_leaving
                .insert(upstream.id.clone(), observation);
        } else if upstream.state == UpstreamState::Ready {
            self.clear_observation(&upstream.id, position, order);
        }
        let position = self.latest_position(&name).max(Some(position))?;
        self.insert_listing(now, upstream, position)
    }

    /// Replaces what is known of an upstream by a listing.
    fn insert_listing(
        &mut self,
        now: Time,
        upstream: Upstream,
        position: Position,
    ) -> Option<AppliedChange> {
        let name = upstream.id.upstream().clone();
        self.removed.remove(&name);
        self.foreign.remove(&name);
        let old = self.entries.remove(&name);
        let leaving_since = old
            .as_ref()
            .filter(|old| old.upstream.id == upstream.id)
            .and_then(|old| old.leaving_since);
        if old.as_ref().is_none_or(|old| old.position < position) {
            self.record_cold(now, &upstream);
        }
        let upstream = Arc::new(upstream);
        let is_leaving = upstream.state == UpstreamState::Leaving;
        let change = classify_change(old.as_ref(), &upstream);
        let kind = match is_leaving_notice(old.as_ref(), &upstream) {
            true => ChangeKind::Leaving(upstream.id.clone(), upstream.sequence),
            false => ChangeKind::Listed(upstream.clone()),
        };
        self.record_change(now, position, kind);
        let entry = Entry {
            upstream: upstream.clone(),
            position,
            missing: None,
            leaving_since: is_leaving.then(|| leaving_since.unwrap_or(now)),
            learnt_at: now,
        };
        self.entries.insert(name, entry);
        let ended = old.map(|old| old.upstream.id.clone());
        change.map(|change| AppliedChange {
            ended: ended.filter(|ended| *ended != upstream.id),
            id: upstream.id.clone(),
            change,
        })
    }

    /// Whether a record lists an instance as ready that an earlier era of the log listed as leaving or
    /// removed. The log was then restored from a copy that predates the departure.
    fn is_stale_ready(&self, now: Time, upstream: &Upstream, position: Position) -> bool {
        let name = upstream.id.upstream();
        let left = self.entries.get(name).is_some_and(|entry| {
            entry.upstream.id == upstream.id
                && entry.upstream.state == UpstreamState::Leaving
                && entry.position.era < position.era
        });
        let was_removed = self.removed.get(name).is_some_and(|removal| {
            removal.instance == upstream.id
                && removal.position.era < position.era
                && now.since(removal.at) < COPY_AGE_MAX
        });
        upstream.state == UpstreamState::Ready && (left || was_removed)
    }

    fn apply_removal(
        &mut self,
        now: Time,
        id: &UpstreamId,
        position: Position,
    ) -> Option<AppliedChange> {
        let entry = self.entries.get(id)?;
        let grace_ends = self.log_returned_at.map(|returned| returned + RETURN_GRACE);
        let ready = entry.upstream.state == UpstreamState::Ready;
        if let Some(ends) = grace_ends.filter(|ends| *ends > now && ready) {
            let applied = AppliedChange {
                id: entry.upstream.id.clone(),
                change: DirectoryChange::Missing,
                ended: None,
            };
            let missing = Missing {
                position,
                complete_to: self.position.min(position),
                until: ends,
            };
            self.entries.mark_missing(id, missing);
            return Some(applied);
        }
        self.remove_entry(now, id, position)
    }

    fn remove_entry(
        &mut self,
        now: Time,
        id: &UpstreamId,
        position: Position,
    ) -> Option<AppliedChange> {
        let entry = self.entries.remove(id)?;
        let instance = entry.upstream.id.clone();
        let removal = Removal {
            position,
            at: now,
            instance: instance.clone(),
            sequence: entry.upstream.sequence,
            was_leaving: entry.upstream.state == UpstreamState::Leaving,
        };
        self.removed.insert(id.clone(), removal);
        self.record_change(now, position, ChangeKind::Removed(instance.clone()));
        Some(AppliedChange {
            id: instance.clone(),
            change: DirectoryChange::Removed,
            ended: Some(instance),
        })
    }

    /// Records that the newest record of a key does not describe an upstream.
    pub fn record_foreign(
        &mut self,
        now: Time,
        id: &UpstreamId,
        position: Position,
    ) -> ForeignRecord {
        self.foreign.record(now, id, position)
    }

    /// Records that a key has been removed from the log.
    pub fn forget_foreign(&mut self, id: &UpstreamId) {
        self.foreign.remove(id);
    }

    fn record_change(&mut self, now: Time, position: Position, kind: ChangeKind) {
        let name = kind.id().upstream();
        self.recent_changes
            .retain(|(_, change)| change.kind.id().upstream() != name);
        if self.recent_changes.len() == RECENT_CHANGES_MAX {
            self.recent_changes.pop_front();
        }
        self.recent_changes
            .push_back((now, Change { position, kind }));
    }

    /// Applies a full list as of `position`. Known upstreams that the list lacks are removed.
    pub fn replace(
        &mut self,
        now: Time,
        listed: Vec<(Upstream, Position)>,
        position: impl Into<Position>,
    ) -> Vec<AppliedChange> {
        let position = position.into();
        let present: BTreeSet<UpstreamId> = listed
            .iter()
            .map(|(upstream, _)| upstream.id.upstream().clone())
            .collect();
        let absent: Vec<UpstreamId> = self
            .entries
            .iter()
            .filter(|(id, entry)| !present.contains(*id) && entry.position < position)
            .filter(|(_, entry)| entry.missing.is_none())
            .map(|(id, _)| id.clone())
            .collect();
        let mut changes = Vec::new();
        for (upstream, at) in listed {
            let id = upstream.id.upstream().clone();
            changes.extend(self.apply(now, &id, Some(upstream), at));
        }
        for id in absent {
            changes.extend(self.apply_removal(now, &id, position.before()));
        }
        self.advance(position);
        changes
    }

    /// Removes missing upstreams whose grace period is over, and discards expired removals and observations.
    pub fn expire(&mut self, now: Time) -> Vec<AppliedChange> {
        let gone: Vec<(UpstreamId, Position)> = self
            .entries
            .missing()
            .filter(|(_, missing)| missing.until <= now)
            .map(|(id, missing)| (id.clone(), missing.position))
            .collect();
        self.removed
            .retain(|_, removal| now.since(removal.at) < REMOVAL_TTL);
        self.observed_leaving
            .retain(|_, observation| observation.expire(now));
        self.cold_until.retain(|_, until| *until > now);
        let dropped = gone.iter();
        dropped
            .filter_map(|(id, position)| self.remove_entry(now, id, *position))
            .collect()
    }

    /// When an instance became known to be leaving or gone. `None` while it takes new work, and once a later
    /// instance is listed: requests still running are then at the later instance or end with their
    /// connection, so there is nothing to move.
    pub fn leaving_since(&self, id: &InstanceId) -> Option<Time> {
        let name = id.upstream();
        let entry = self.entries.get(name);
        if entry.is_some_and(|entry| entry.upstream.id != *id) {
            return None;
        }
        let listed = entry.and_then(|entry| entry.leaving_since);
        let listed = listed.or_else(|| self.replaced_since(&entry?.upstream));
        let removed = self.removed.get(name);
        let removed = removed.filter(|removal| removal.instance == *id);
        listed
            .or(removed.map(|removal| removal.at))
            .or_else(|| Some(self.observation(id)?.first_at))
    }

    /// The listed upstreams of a service that became known to be leaving less than `within` ago, ordered
    /// by id.
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

    /// The entry of an upstream, if this instance of it is listed.
    pub fn get(&self, id: &InstanceId) -> Option<&Arc<Upstream>> {
        let entry = self.entries.get(id.upstream());
        let upstream = entry.map(|entry| &entry.upstream);
        upstream.filter(|upstream| upstream.id == *id)
    }

    /// The listed upstream whose instance has this key.
    pub(crate) fn find_by_key(&self, key: InstanceKey) -> Option<&Arc<Upstream>> {
        let mut listed = self.entries.values().map(|entry| &entry.upstream);
        listed.find(|upstream| upstream.id.key() == key)
    }

    /// Number of listed upstreams.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no upstream is listed.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

#[cfg(test)]
mod tests;
