//! What the directory keeps of one upstream, and what a new record of it means.

use std::sync::Arc;

use super::DirectoryChange;
use super::Upstream;
use super::UpstreamState;
use crate::clock::Time;
use crate::gateway::instance::InstanceId;
use crate::gateway::position::Position;

/// A listed upstream and what this host knows beside.
#[derive(Debug, Clone)]
pub(super) struct Entry {
    pub(super) upstream: Arc<Upstream>,
    /// Of the record that lists it; other hosts are told this one also while it is missing.
    pub(super) position: Position,
    pub(super) missing: Option<Missing>,
    pub(super) leaving_since: Option<Time>,
}

impl Entry {
    /// The last position of the log that says what is known of it.
    pub(super) fn latest_position(&self) -> Position {
        let missing = self.missing.as_ref();
        missing.map_or(self.position, |missing| missing.position)
    }
}

/// An upstream that the log lacks since its return and that may still list itself again.
#[derive(Debug, Clone, Copy)]
pub(super) struct Missing {
    /// Where the log lacks it.
    pub(super) position: Position,
    /// When it counts as gone.
    pub(super) until: Time,
}

/// What is remembered of an upstream that is not listed.
#[derive(Debug, Clone)]
pub(super) struct Removal {
    pub(super) position: Position,
    pub(super) at: Time,
    pub(super) instance: InstanceId,
}

/// What it means for an upstream that was known as `old` to be listed as `new`.
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

/// Whether an instance that took work says that it is leaving.
pub(super) fn is_leaving_notice(old: Option<&Entry>, new: &Upstream) -> bool {
    let was_ready = old
        .is_some_and(|old| old.upstream.id == new.id && old.upstream.state == UpstreamState::Ready);
    was_ready && new.state == UpstreamState::Leaving
}
