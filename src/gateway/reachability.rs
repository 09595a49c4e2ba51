//! Upstreams to which connections currently fail.
//!
//! Nothing was sent to such an upstream, so a retry elsewhere is safe and not charged, but each failed
//! attempt costs its request a connect timeout. After one failure all requests that have an alternative
//! avoid the upstream for a backoff. Unlike ejection, this doesn't mean that the upstream is at fault,
//! and any share of a pool may be affected: a partition can hide most of it.
//!
//! Hosts of a data centre mostly have the same connectivity, so they announce their own failures to each
//! other, once they have reached another upstream since: a host whose links are down fails to reach them all. A
//! host's own recent connection outweighs such a report.

use std::collections::HashMap;
use std::time::Duration;

use crate::clock::Time;
use crate::gateway::instance::InstanceId;

/// First backoff.
const BACKOFF_MIN: Duration = Duration::from_millis(800);
/// Longest backoff, and so the time within which a healed partition is noticed.
const BACKOFF_MAX: Duration = Duration::from_millis(3_200);
/// Time for which a connection of the host's own outweighs reports of peers.
const OWN_SUCCESS_TTL: Duration = Duration::from_millis(1_000);

/// How a host tried to reach an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Path {
    /// By its own links.
    Direct,
    /// Through another host.
    Carried,
}

/// A period during which an upstream is avoided.
#[derive(Debug, Clone, Copy)]
struct Backoff {
    failed_at: Time,
    until: Time,
    next_delay: Duration,
    /// Whether this host's own connection failed, rather than a peer's.
    is_own: bool,
    /// Whether this host has reached another upstream since.
    is_confirmed: bool,
}

/// Results of connections to one upstream.
#[derive(Debug, Clone, Copy, Default)]
struct Record {
    backoff: Option<Backoff>,
    connected_at: Option<Time>,
}

/// Results of connections to all upstreams.
#[derive(Debug, Default)]
pub struct Reachability {
    records: HashMap<InstanceId, Record>,
}

impl Reachability {
    /// Records a failed connection of this host. Returns true if the upstream was not known to fail before.
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
            failed_at: now,
            until: now + delay,
            next_delay: (delay * 2).min(BACKOFF_MAX),
            is_own: true,
            is_confirmed: false,
        });
        previous.is_none()
    }

    /// Records that another host of the data centre failed to connect. Returns true if the upstream was not
    /// known to fail before; a report that a recent connection outweighs is ignored.
    pub fn receive_report(&mut self, now: Time, upstream: &InstanceId) -> bool {
        let record = self.records.entry(upstream.clone()).or_default();
        let connected_at = record.connected_at;
        let recently_connected = connected_at.is_some_and(|at| now.since(at) < OWN_SUCCESS_TTL);
        let previous = record.backoff;
        if recently_connected || previous.is_some_and(|backoff| backoff.until > now) {
            return false;
        }
        record.backoff = Some(Backoff {
            failed_at: now,
            until: now + BACKOFF_MIN,
            next_delay: previous.map_or(BACKOFF_MIN, |backoff| backoff.next_delay),
            is_own: false,
            is_confirmed: false,
        });
        previous.is_none()
    }

    /// Records an established connection. Returns true if the upstream was known to fail before.
    pub fn record_success(&mut self, now: Time, upstream: &InstanceId) -> bool {
        let record = self.records.entry(upstream.clone()).or_default();
        record.connected_at = Some(now);
        record.backoff.take().is_some()
    }

    /// Whether an upstream is in its backoff and to be avoided.
    pub fn is_unreachable(&self, now: Time, upstream: &InstanceId) -> bool {
        let record = self.records.get(upstream);
        let backoff = record.and_then(|record| record.backoff);
        backoff.is_some_and(|backoff| backoff.until > now)
    }

    /// Whether this host itself failed to connect to an upstream and is in its backoff.
    pub fn has_own_failure(&self, now: Time, upstream: &InstanceId) -> bool {
        let backoff = self.records.get(upstream).and_then(|record| record.backoff);
        backoff.is_some_and(|backoff| backoff.is_own && backoff.until > now)
    }

    /// Forgets this host's own failures: its links were down and not the upstreams.
    pub fn forget_own_failures(&mut self) {
        for record in self.records.values_mut() {
            record.backoff = record.backoff.filter(|backoff| !backoff.is_own);
        }
    }

    /// Confirms this host's own failures before `sent_at`, when a request was sent that had a response: its links
    /// were up. Returns whether any were unconfirmed.
    pub fn confirm_failures(&mut self, sent_at: Time) -> bool {
        let backoffs = self.records.values_mut();
        let unconfirmed = backoffs
            .filter_map(|record| record.backoff.as_mut())
            .filter(|backoff| backoff.is_own && !backoff.is_confirmed)
            .filter(|backoff| backoff.failed_at < sent_at);
        let mut is_any = false;
        for backoff in unconfirmed {
            backoff.is_confirmed = true;
            is_any = true;
        }
        is_any
    }

    /// The upstreams in a backoff from confirmed failures of this host, to be announced to peers.
    pub fn confirmed_failures(&self, now: Time) -> Vec<InstanceId> {
        let is_confirmed = |record: &Record| {
            let backoff = record.backoff;
            backoff.is_some_and(|backoff| backoff.is_confirmed && backoff.until > now)
        };
        let records = self.records.iter();
        records
            .filter(|(_, record)| is_confirmed(record))
            .map(|(id, _)| id.clone())
            .collect()
    }

    /// Removes the record of an upstream that has ended.
    pub fn remove(&mut self, upstream: &InstanceId) {
        self.records.remove(upstream);
    }
}

#[cfg(test)]
mod tests;
