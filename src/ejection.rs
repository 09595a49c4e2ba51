//! Ejects upstreams that fail again and again, and lets them back by half-open probes.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::clock::Time;
use crate::id::UpstreamId;

/// Options of an [`Ejector`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EjectionOptions {
    /// Failures in a row that eject an upstream. Default 3.
    pub consecutive_failures: u32,
    /// First ejection, in milliseconds; each further one in a row doubles it. Default 2,000.
    pub base_ms: u64,
    /// Longest ejection, in milliseconds. Default 60,000.
    pub max_ms: u64,
}

impl Default for EjectionOptions {
    fn default() -> Self {
        EjectionOptions {
            consecutive_failures: 3,
            base_ms: 2_000,
            max_ms: 60_000,
        }
    }
}

/// Whether an upstream may be given work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Health {
    /// It may.
    Open,
    /// It may be given one request, as a probe.
    HalfOpen,
    /// It may not.
    Ejected,
}

/// Failures of one upstream.
#[derive(Debug, Default)]
struct Record {
    failures: u32,
    ejections: u32,
    until: Option<Time>,
    probing: bool,
}

/// The ejected upstreams of a pool, each known by a `K`.
#[derive(Debug)]
pub(crate) struct Ejector<K = UpstreamId> {
    options: EjectionOptions,
    records: BTreeMap<K, Record>,
    ejected: usize,
}

impl<K: Clone + Ord> Ejector<K> {
    /// An ejector that has seen no failures.
    pub(crate) fn new(options: EjectionOptions) -> Self {
        Ejector {
            options,
            records: BTreeMap::new(),
            ejected: 0,
        }
    }

    /// Whether an upstream may be given work at `now`.
    pub(crate) fn health(&self, now: Time, upstream: &K) -> Health {
        let Some(record) = self.records.get(upstream) else {
            return Health::Open;
        };
        match record.until {
            None => Health::Open,
            Some(until) if until > now || record.probing => Health::Ejected,
            Some(_) => Health::HalfOpen,
        }
    }

    /// The upstreams that may be given a probe.
    pub(crate) fn half_open(&self, now: Time) -> Vec<K> {
        self.records
            .keys()
            .filter(|upstream| self.health(now, upstream) == Health::HalfOpen)
            .cloned()
            .collect()
    }

    /// A request goes to the upstream; if it is half-open, this is the probe.
    pub(crate) fn sent(&mut self, upstream: &K) {
        if let Some(record) = self.records.get_mut(upstream) {
            record.probing = record.until.is_some();
        }
    }

    /// The upstream served a request.
    pub(crate) fn succeeded(&mut self, upstream: &K) {
        self.forget(upstream);
    }

    /// A request ended without telling anything of the upstream.
    pub(crate) fn abandoned(&mut self, upstream: &K) {
        if let Some(record) = self.records.get_mut(upstream) {
            record.probing = false;
        }
    }

    /// The upstream failed a request. At most `ejected_max` upstreams are ejected at once.
    ///
    /// True if this ejected it.
    pub(crate) fn failed(&mut self, now: Time, upstream: &K, ejected_max: usize) -> bool {
        let record = self.records.entry(upstream.clone()).or_default();
        record.failures += 1;
        let again = record.until.is_some();
        let probe_failed = record.probing;
        record.probing = false;
        if again && !probe_failed {
            return false;
        }
        let enough = again || record.failures >= self.options.consecutive_failures;
        let room = again || self.ejected < ejected_max;
        if !enough || !room {
            return false;
        }
        let doubled = 1u64 << record.ejections.min(16);
        let ms = self.options.base_ms.saturating_mul(doubled);
        record.until = Some(now + Duration::from_millis(ms.min(self.options.max_ms)));
        record.ejections += 1;
        self.ejected += usize::from(!again);
        true
    }

    /// Forgets an upstream.
    pub(crate) fn forget(&mut self, upstream: &K) {
        let Some(record) = self.records.remove(upstream) else {
            return;
        };
        self.ejected -= usize::from(record.until.is_some());
    }
}

#[cfg(test)]
mod tests;
