//! Upstreams to which connections can't be established now.
//!
//! Nothing was sent to them, so a retry elsewhere costs nobody anything; but each try costs its
//! request a connect timeout. After one, an upstream is passed over for a while by all requests
//! that have another choice. Unlike an ejection this is no judgement on the upstream and has no
//! bound: behind a cut may lie most of a pool.
//!
//! The hosts of a data centre mostly see the same, so they tell each other what they could not
//! connect to. What a host saw for itself a moment ago goes before what it is told.

use std::collections::HashMap;
use std::time::Duration;

use crate::clock::Time;
use crate::gateway::instance::InstanceId;

/// First time for which an upstream is passed over.
const BACKOFF_MIN: Duration = Duration::from_millis(800);
/// Longest time, so that a cut that healed is noticed within it.
const BACKOFF_MAX: Duration = Duration::from_millis(3_200);
/// A connection of the host's own outweighs its peers' words for this long.
const OWN_SUCCESS_TTL: Duration = Duration::from_millis(1_000);

/// An upstream that is passed over.
#[derive(Debug, Clone, Copy)]
struct Backoff {
    until: Time,
    next_delay: Duration,
    /// Whether this host saw it itself.
    is_own: bool,
}

/// What is known of connections to one upstream.
#[derive(Debug, Clone, Copy, Default)]
struct Record {
    backoff: Option<Backoff>,
    connected_at: Option<Time>,
}

/// What is known of connections to all upstreams.
#[derive(Debug, Default)]
pub struct Reachability {
    records: HashMap<InstanceId, Record>,
}

impl Reachability {
    /// A connection could not be established. True if the upstream could be reached before.
    pub fn record_failure(&mut self, now: Time, upstream: &InstanceId) -> bool {
        let record = self.records.entry(upstream.clone()).or_default();
        let previous = record.backoff;
        if previous.is_some_and(|backoff| backoff.is_own && backoff.until > now) {
            return false;
        }
        let delay = match previous {
            Some(backoff) if backoff.is_own => backoff.next_delay,
            Some(_) | None => BACKOFF_MIN,
        };
        record.backoff = Some(Backoff {
            until: now + delay,
            next_delay: (delay * 2).min(BACKOFF_MAX),
            is_own: true,
        });
        previous.is_none()
    }

    /// Another host of the data centre could not connect. True if that is news.
    pub fn receive_report(&mut self, now: Time, upstream: &InstanceId) -> bool {
        let record = self.records.entry(upstream.clone()).or_default();
        let connected_at = record.connected_at;
        let recently_connected = connected_at.is_some_and(|at| now.since(at) < OWN_SUCCESS_TTL);
        let previous = record.backoff;
        if recently_connected || previous.is_some_and(|backoff| backoff.until > now) {
            return false;
        }
        record.backoff = Some(Backoff {
            until: now + BACKOFF_MIN,
            next_delay: previous.map_or(BACKOFF_MIN, |backoff| backoff.next_delay),
            is_own: false,
        });
        previous.is_none()
    }

    /// A connection was established. True if it could not before.
    pub fn record_success(&mut self, now: Time, upstream: &InstanceId) -> bool {
        let record = self.records.entry(upstream.clone()).or_default();
        record.connected_at = Some(now);
        record.backoff.take().is_some()
    }

    /// Whether an upstream is to be passed over.
    pub fn is_unreachable(&self, now: Time, upstream: &InstanceId) -> bool {
        let record = self.records.get(upstream);
        let backoff = record.and_then(|record| record.backoff);
        backoff.is_some_and(|backoff| backoff.until > now)
    }

    /// What this host itself can't connect to now, for its peers.
    pub fn own_failures(&self, now: Time) -> Vec<InstanceId> {
        let is_own_failure = |record: &Record| {
            let backoff = record.backoff;
            backoff.is_some_and(|backoff| backoff.is_own && backoff.until > now)
        };
        let records = self.records.iter();
        records
            .filter(|(_, record)| is_own_failure(record))
            .map(|(id, _)| id.clone())
            .collect()
    }

    /// An upstream is gone for good.
    pub fn remove(&mut self, upstream: &InstanceId) {
        self.records.remove(upstream);
    }
}

#[cfg(test)]
mod tests;
