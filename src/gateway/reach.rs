//! Upstreams to which connections can't be established now.
//!
//! Nothing was sent to them, so a retry elsewhere costs nobody anything; but each try costs its
//! request a connect timeout. After one, an upstream is passed over for a while by all requests
//! that have another choice. Unlike an ejection this is no judgement on the upstream and has no
//! bound: behind a cut may lie most of a pool.

use std::collections::HashMap;
use std::time::Duration;

use crate::clock::Time;
use crate::id::UpstreamId;

/// First time for which an upstream is passed over.
const PASSED_OVER_MIN: Duration = Duration::from_millis(800);
/// Longest time, so that a cut that healed is noticed within it.
const PASSED_OVER_MAX: Duration = Duration::from_millis(3_200);

/// Failed connections of one upstream.
#[derive(Debug, Clone, Copy)]
struct Record {
    until: Time,
    next: Duration,
}

/// The upstreams that can't be reached.
#[derive(Debug, Default)]
pub struct Reach {
    failed: HashMap<UpstreamId, Record>,
}

impl Reach {
    /// A connection could not be established. True if the upstream could be reached before.
    pub fn failed(&mut self, now: Time, upstream: &UpstreamId) -> bool {
        let record = self.failed.get(upstream);
        if record.is_some_and(|record| record.until > now) {
            return false;
        }
        let pause = record.map_or(PASSED_OVER_MIN, |record| record.next);
        let next = Record {
            until: now + pause,
            next: (pause * 2).min(PASSED_OVER_MAX),
        };
        self.failed.insert(upstream.clone(), next).is_none()
    }

    /// A connection was established. True if it could not before.
    pub fn reached(&mut self, upstream: &UpstreamId) -> bool {
        self.failed.remove(upstream).is_some()
    }

    /// Whether an upstream is to be passed over.
    pub fn is_passed_over(&self, now: Time, upstream: &UpstreamId) -> bool {
        let record = self.failed.get(upstream);
        record.is_some_and(|record| record.until > now)
    }
}

#[cfg(test)]
mod tests;
