//! The process's budget of appends to the platform's log, shared by all streams.

use std::time::Duration;

use crate::bucket::Bucket;
use crate::clock::Time;

/// A budget of appends and bytes a second.
#[derive(Debug, Clone)]
pub struct Quota {
    appends: Bucket,
    bytes: Bucket,
}

impl Quota {
    /// A full budget that can save up `burst` worth of its rates.
    pub fn new(now: Time, appends_per_s: f64, bytes_per_s: f64, burst: Duration) -> Self {
        Quota {
            appends: Bucket::full(now, appends_per_s, burst),
            bytes: Bucket::full(now, bytes_per_s, burst),
        }
    }

    /// How long until the next append may be sent; zero if it may be sent now.
    pub fn ready_in(&mut self, now: Time) -> Duration {
        let appends = self.appends.ready_in(now, 1.0);
        let bytes = self.bytes.ready_in(now, 1.0);
        appends
            .unwrap_or(Duration::MAX)
            .max(bytes.unwrap_or(Duration::MAX))
    }

    /// Pays for an append of `bytes`; a batch larger than what is saved up is paid off later.
    pub fn charge(&mut self, now: Time, bytes: usize) {
        self.appends.charge(now, 1.0);
        self.bytes.charge(now, bytes as f64);
    }
}
