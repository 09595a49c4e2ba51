//! Directory entries, and the classification of the change that a new record makes.

use std::sync::Arc;

use super::DirectoryChange;
use super::Upstream;
use super::UpstreamState;
use crate::clock::Time;
use crate::gateway::instance::InstanceId;
use crate::gateway::position::Position;

/// A listed upstream with the local state of its entry.
#[derive(Debug, Clone)]
pub(super) struct Entry {
    pub(super) upstream: Arc<Upstream>,
    /// Position of the record that lists the upstream. Peers are sent this position even while the
    /// upstream is missing.
    pub(super) position: Position,
    pub(super) missing: Option<Missing>,
    pub(super) leaving_since: Option<Time>,
    /// When this host learnt of the statement.
    pub(super) learnt_at: Time,
}

impl Entry {
    /// The latest log position that this entry reflects: that of its record, or that of its absence.
    pub(super) fn latest_position(&self) -> Position {
        let missing = self.missing.as_ref();
        missing.map_or(self.position, |missing| missing.position)
    }
}

/// The absence of a listed upstream from the log since the log returned. The upstream may still list
/// itself again.
#[derive(Debug, Clone, Copy)]
pub(super) struct Missing {
    /// Log position at which the upstream was found to be absent.
    pub(super) position: Position,
    /// Log position up to which the list is complete with this upstream in it.
    pub(super) complete_to: Position,
    /// When the grace period ends and the upstream is removed.
    pub(super) until: Time,
}

/// The removal of an upstream, kept for `REMOVAL_TTL`.
#[derive(Debug, Clone)]
pub(super) struct Removal {
    pub(super) position: Position,
    pub(super) at: Time,
    pub(super) instance: InstanceId,
    /// Sequence number of the last entry of the instance.
    pub(super) sequence: u64,
    /// Whether that entry said that the instance leaves. Otherwise its entry lapsed, and it may still live.
    pub(super) was_leaving: bool,
}

/// Classifies the change from entry `old` to `new`. A difference in the remaining cold time alone counts
/// only if a warm upstream has become cold.
pub(super) fn classify_change(old: Option<&Entry>, new: &Arc<Upstream>) -> Option<DirectoryChange> {
    let Some(old) = old else {
        return Some(match new.state {
            UpstreamState::Ready => DirectoryChange::Added,
            UpstreamState::Leaving => DirectoryChange::Leaving,
        });
    };
    if old.upstream.id != new.id {
        return Some(DirectoryChange::Restarted);
    }
    if old.upstream.eq_ignoring_cold(new) && old.missing.is_none() {
        let is_cold_again = old.upstream.cold_left_ms == 0 && new.cold_left_ms > 0;
        return is_cold_again.then_some(DirectoryChange::Cold);
    }
    match is_leaving_notice(Some(old), new) {
        true => Some(DirectoryChange::Leaving),
        false => Some(DirectoryChange::Changed),
    }
}

/// Whether a ready instance now lists itself as leaving.
pub(super) fn is_leaving_notice(old: Option<&Entry>, new: &Upstream) -> bool {
    let was_ready = old
        .is_some_and(|old| old.upstream.id == new.id && old.upstream.state == UpstreamState::Ready);
    was_ready && new.state == UpstreamState::Leaving
}
