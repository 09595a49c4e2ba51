//! Predicts how long a request will wait, from the rate at which the queue is granted.

use crate::clock::Time;

/// Time over which the rate is averaged, in seconds.
const WINDOW_S: f64 = 10.0;
/// Shortest time of crowding after which the rate is believed, in seconds.
const BELIEVED_S: f64 = 2.0;

/// Grants a second while requests wait.
#[derive(Debug, Default)]
pub(crate) struct DrainRate {
    weight_s: f64,
    grants: f64,
    since: Option<Time>,
    crowded: bool,
}

impl DrainRate {
    /// Accounts the time since the last call, in which requests waited or not.
    pub(crate) fn record_time(&mut self, now: Time, crowded: bool) {
        let elapsed_s = self
            .since
            .replace(now)
            .map_or(0.0, |since| now.since(since).as_secs_f64());
        self.crowded = crowded;
        if !crowded {
            return;
        }
        let kept = (-elapsed_s / WINDOW_S).exp();
        self.weight_s = self.weight_s * kept + elapsed_s;
        self.grants *= kept;
    }

    /// Accounts a grant. One that nothing waited before tells nothing of the rate.
    pub(crate) fn record_grant(&mut self) {
        self.record(1.0);
    }

    /// Accounts a grant that counts as `amount`, in a rate that is not of grants but of what they give.
    pub(crate) fn record(&mut self, amount: f64) {
        if self.crowded {
            self.grants += amount;
        }
    }

    /// Grants a second, once enough crowding was seen.
    pub(crate) fn per_s(&self) -> Option<f64> {
        (self.weight_s >= BELIEVED_S).then(|| self.grants / self.weight_s)
    }

    /// How long until `position` requests are granted, in milliseconds, if it can be told.
    pub(crate) fn wait_ms(&self, position: f64) -> Option<f64> {
        let per_s = self.per_s()?;
        (per_s > 0.0).then(|| position / per_s * 1_000.0)
    }
}

#[cfg(test)]
mod tests;
