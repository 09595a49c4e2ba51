//! Upstreams that turned a request of this host away and asked it for a time without requests.
//!
//! They ask each host by itself, so hosts don't tell each other.

use std::collections::HashMap;
use std::time::Duration;

use crate::clock::Time;
use crate::gateway::instance::InstanceId;

/// The upstreams that asked for rest.
#[derive(Debug, Default)]
pub(crate) struct Rests {
    ends_at: HashMap<InstanceId, Time>,
}

impl Rests {
    /// Records that an upstream asked for `rest`. Returns whether it had not asked for any before. A shorter
    /// rest doesn't end a longer one.
    pub(crate) fn record(&mut self, now: Time, upstream: &InstanceId, rest: Duration) -> bool {
        let is_new = !rest.is_zero() && self.remaining(now, upstream).is_none();
        let ends_at = self.ends_at.entry(upstream.clone()).or_insert(now);
        *ends_at = (*ends_at).max(now + rest);
        is_new
    }

    /// Time until the rest of an upstream ends, if it asked for any.
    pub(crate) fn remaining(&self, now: Time, upstream: &InstanceId) -> Option<Duration> {
        let ends_at = self.ends_at.get(upstream)?;
        let remaining = ends_at.since(now);
        (!remaining.is_zero()).then_some(remaining)
    }

    /// Whether no upstream has asked for rest, so that callers can skip the look-ups.
    pub(crate) fn is_empty(&self) -> bool {
        self.ends_at.is_empty()
    }

    /// Forgets rests that have ended.
    pub(crate) fn expire(&mut self, now: Time) {
        self.ends_at.retain(|_, ends_at| *ends_at > now);
    }
}

#[cfg(test)]
mod tests;
