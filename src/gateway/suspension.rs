//! Detects suspensions of this host by comparing a clock that counts suspended time with one that doesn't.
//!
//! A resumed host goes on in the middle of a step, and all timers and connections look as if no time had
//! passed. Its view of upstreams and peers is then older than its bounds allow, so the host decides nothing
//! on a request until that view has been confirmed.

use std::time::Duration;

use crate::clock::Time;

/// The smallest difference between the clocks that counts as a suspension: far more than the time between the
/// two readings on a tenth of a core, and far less than the shortest bound on the age of a host's view (2 s).
const SUSPENSION_MIN: Duration = Duration::from_millis(300);
/// A resumed host serves on its unconfirmed view after this time, if the log and all peers stay silent. A
/// starting host waits as long for its first report.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Detects suspensions from readings of the two clocks, which both start at zero with the process.
#[derive(Debug, Default)]
pub(crate) struct SuspensionDetector {
    last_readings: (Time, Time),
    resumed_at: Option<Time>,
    last_suspension: Duration,
}

impl SuspensionDetector {
    /// Returns for how long the host was suspended since the last check, if it was. `now` counts suspended
    /// time, `steady` doesn't.
    pub(crate) fn check(&mut self, now: Time, steady: Time) -> Option<Duration> {
        let (previous_now, previous_steady) =
            std::mem::replace(&mut self.last_readings, (now, steady));
        let suspended = now
            .since(previous_now)
            .saturating_sub(steady.since(previous_steady));
        if suspended < SUSPENSION_MIN {
            return None;
        }
        self.resumed_at = Some(now);
        self.last_suspension = suspended;
        Some(suspended)
    }

    /// When the host resumed, if that was less than [`CONFIRM_TIMEOUT`] ago.
    pub(crate) fn resumed_at(&self, now: Time) -> Option<Time> {
        self.resumed_at
            .filter(|at| now.since(*at) < CONFIRM_TIMEOUT)
    }

    /// The duration of the last suspension; zero if there was none.
    pub(crate) fn last_suspension(&self) -> Duration {
        self.last_suspension
    }
}

#[cfg(test)]
mod tests;
