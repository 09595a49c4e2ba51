//! The order of what an upstream states of itself, which is not that of its records: the log may carry out a write late.

use std::cmp::Ordering;
use std::time::Duration;

use super::ChangeKind;
use super::Departure;
use super::Directory;
use super::Upstream;
use super::UpstreamState;
use super::Witness;
use super::entry::Entry;
use crate::clock::Time;
use crate::gateway::position::Position;
use crate::id::UpstreamId;

/// How long after a statement of an upstream the log may carry out an earlier one, several times the documented
/// "seconds".
pub(super) const LATE_RECORD_MAX: Duration = Duration::from_secs(30);

/// Orders a statement of an upstream among those of the same id: by instance, then by sequence number. Statements
/// without a number are equal to all others of their instance; the log orders them.
fn compare_statements(born_ms: Option<u64>, sequence: u64, known: (Option<u64>, u64)) -> Ordering {
    let (known_born_ms, known_sequence) = known;
    let by_sequence = match (sequence, known_sequence) {
        (0, _) | (_, 0) => Ordering::Equal,
        (sequence, known) => sequence.cmp(&known),
    };
    born_ms.cmp(&known_born_ms).then(by_sequence)
}

impl Directory {
    /// The latest known statement of an upstream, as its start time and sequence number, and when it was learnt.
    pub(super) fn latest_statement(&self, id: &UpstreamId) -> Option<((Option<u64>, u64), Time)> {
        let listed = self.entries.get(id).map(|entry| {
            let upstream = &entry.upstream;
            ((upstream.id.born_ms(), upstream.sequence), entry.learnt_at)
        });
        let removed = self.removed.get(id);
        let removed =
            removed.map(|removal| ((removal.instance.born_ms(), removal.sequence), removal.at));
        listed.or(removed)
    }

    /// Orders a listing among the known statements of its upstream. The log orders it if it comes so long after the
    /// known statement that it can't be a late record, or after the removal of an instance that didn't say that it
    /// leaves: one that lives doesn't list itself again while the late record says the same.
    pub(super) fn compare_listing(&self, now: Time, upstream: &Upstream) -> Ordering {
        let Some((known, learnt_at)) = self.latest_statement(upstream.id.upstream()) else {
            return Ordering::Equal;
        };
        let is_recent = now.since(learnt_at) < LATE_RECORD_MAX;
        let removed = self.removed.get(upstream.id.upstream());
        let says_ready = upstream.state == UpstreamState::Ready;
        let has_lapsed = removed.is_some_and(|removal| !(removal.was_leaving && says_ready));
        match compare_statements(upstream.id.born_ms(), upstream.sequence, known) {
            Ordering::Less if upstream.id.born_ms() == known.0 && (!is_recent || has_lapsed) => {
                Ordering::Equal
            }
            order => order,
        }
    }

    /// Handles a record that was written late: the upstream has made a later statement, which stays. Only the
    /// position moves on, as it does on hosts that read no other record.
    pub(super) fn apply_late_listing(
        &mut self,
        now: Time,
        upstream: &Upstream,
        position: Position,
    ) {
        if self.latest_position(upstream.id.upstream()) >= Some(position) {
            return;
        }
        let id = upstream.id.upstream();
        let kind = if let Some(removal) = self.removed.get_mut(id) {
            removal.position = position;
            ChangeKind::Removed(removal.instance.clone())
        } else if let Some(entry) = self.entries.get(id) {
            let entry = Entry {
                position,
                missing: None,
                ..entry.clone()
            };
            let upstream = entry.upstream.clone();
            self.entries.remove(id);
            self.entries.insert(id.clone(), entry);
            ChangeKind::Listed(upstream)
        } else {
            return;
        };
        let takes_work = match &kind {
            ChangeKind::Listed(known) => known.state == UpstreamState::Ready,
            ChangeKind::Leaving(..) | ChangeKind::Removed(_) => false,
        };
        let departed = kind.id().clone();
        self.record_change(now, position, kind);
        if !takes_work && departed == upstream.id {
            // Hosts that know the late record alone learn of the departure from this one.
            self.receive_departure(
                now,
                &Departure {
                    id: departed,
                    as_of: position,
                    witness: Witness::Log,
                },
            );
        }
    }
}
