//! A token bucket that may go into debt, for costs that are known only afterwards.

use std::time::Duration;

use crate::clock::Time;

/// A token bucket. Its rate may change at any time.
#[derive(Debug, Clone)]
pub(crate) struct Bucket {
    rate_per_s: f64,
    capacity: f64,
    level: f64,
    filled_at: Time,
}

impl Bucket {
    /// A full bucket that holds `burst` worth of its rate, and 1 at the least if the rate
    /// isn't zero.
    pub(crate) fn full(now: Time, rate_per_s: f64, burst: Duration) -> Self {
        let capacity = capacity(rate_per_s, burst);
        Bucket {
            rate_per_s,
            capacity,
            level: capacity,
            filled_at: now,
        }
    }

    /// Changes the rate from `now` on; what is in the bucket stays, up to the new capacity.
    pub(crate) fn set_rate(&mut self, now: Time, rate_per_s: f64, burst: Duration) {
        self.fill(now);
        self.rate_per_s = rate_per_s;
        self.capacity = capacity(rate_per_s, burst);
        self.level = self.level.min(self.capacity);
    }

    /// Takes `amount`, into debt if need be.
    pub(crate) fn charge(&mut self, now: Time, amount: f64) {
        self.fill(now);
        self.level -= amount;
    }

    /// How long until the bucket holds `amount`: zero if it does, none if it never will.
    pub(crate) fn ready_in(&mut self, now: Time, amount: f64) -> Option<Duration> {
        self.fill(now);
        let missing = amount - self.level;
        if missing <= 0.0 {
            return Some(Duration::ZERO);
        }
        Duration::try_from_secs_f64(missing / self.rate_per_s).ok()
    }

    /// What is missing from the bucket, as a rate over the time in which it fills.
    pub(crate) fn used(&mut self, now: Time) -> f64 {
        self.fill(now);
        if self.capacity <= 0.0 {
            return 0.0;
        }
        (self.capacity - self.level) / self.capacity * self.rate_per_s
    }

    /// Whether nothing is missing from the bucket.
    pub(crate) fn is_full(&mut self, now: Time) -> bool {
        self.fill(now);
        self.level >= self.capacity
    }

    fn fill(&mut self, now: Time) {
        let gained = now.since(self.filled_at).as_secs_f64() * self.rate_per_s;
        self.level = (self.level + gained).min(self.capacity);
        self.filled_at = self.filled_at.max(now);
    }
}

fn capacity(rate_per_s: f64, burst: Duration) -> f64 {
    if rate_per_s <= 0.0 {
        return 0.0;
    }
    (rate_per_s * burst.as_secs_f64()).max(1.0)
}
