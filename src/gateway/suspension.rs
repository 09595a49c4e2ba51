//! Whether this host was suspended, told by two clocks: one counts the time of a suspension, the steady one
//! doesn't.
//!
//! A host that wakes goes on in the middle of a step, and all timers and connections look as if no time had
//! passed. What it believes of others is then older than its bounds, so it decides nothing on a request
//! until what it follows has been confirmed.

use std::time::Duration;

use crate::clock::Time;

/// A difference of the clocks from which on a host was suspended: far more than the time between their two
/// readings on a host of a tenth of a core, far less than any bound on what hosts believe (2 s).
const SUSPENSION_MIN: Duration = Duration::from_millis(300);
/// A host that has resumed serves by what it knows after this time, if the log and all others are silent; as long
/// as a host that starts waits at most for its first word.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(2_500);

/// What the clocks have shown. Both begin at zero with the process.
#[derive(Debug, Default)]
pub(crate) struct SuspensionDetector {
    last_readings: (Time, Time),
    resumed_at: Option<Time>,
    last_suspension: Duration,
}

impl SuspensionDetector {
    /// Compares the clocks: `now` counts suspensions, `steady` doesn't. For how long the host was suspended since
    /// the last look, if it was.
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

    /// When the host woke, if that is so lately that it may still not know what changed.
    pub(crate) fn resumed_at(&self, now: Time) -> Option<Time> {
        self.resumed_at
            .filter(|at| now.since(*at) < CONFIRM_TIMEOUT)
    }

    /// How long the last suspension was; zero if there was none.
    pub(crate) fn last_suspension(&self) -> Duration {
        self.last_suspension
    }
}

#[cfg(test)]
mod tests;
