//! The mean deviation of an upstream from what is usual, as this host observed it.

use std::time::Duration;

use crate::clock::Time;

/// Time in which observations lose half of their weight.
const HALF_LIFE: Duration = Duration::from_secs(20);
/// Observations closer together than this count in part: they tell of the same moment of a shared machine.
const APART: Duration = Duration::from_millis(300);
/// Smallest weight of an observation.
const WEIGHT_MIN: f64 = 0.05;
/// Largest weight of all observations, so that a change is noticed within seconds.
const WEIGHT_MAX: f64 = 16.0;
/// An observation that is slower than the mean by more than this counts as if it were so far: a shared machine is slow
/// for moments.
const RISE_MAX: f64 = 0.3;
/// Deviation from which an upstream counts as slow here: a quarter longer.
const SLOW_DEVIATION: f64 = 0.22;
/// An observation of a slow upstream that is quicker by this (a factor of 1.6) shows that it has recovered: shared
/// machines only lengthen work.
const RECOVERY: f64 = 0.47;
/// Weight that is left to the observations before a recovery.
const WEIGHT_BEFORE_RECOVERY: f64 = 1.0;
/// Observations further from the mean of the service than this (a factor of 6) count as if they were so far.
const DEVIATION_MAX: f64 = 1.8;

/// Decaying mean of deviations, in logarithms.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(super) struct Evidence {
    weight: f64,
    /// The mean.
    pub(super) mean: f64,
    /// When the last observation was made.
    pub(super) at: Time,
}

impl Evidence {
    /// Whether there is no observation.
    pub(super) fn is_empty(&self) -> bool {
        self.weight == 0.0
    }

    /// The weight of all observations, in independent ones of now.
    pub(super) fn weight(&self, now: Time) -> f64 {
        let half_lives = now.since(self.at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        self.weight * (-half_lives).exp2()
    }

    /// Adds an observation; `centre` is the deviation of the service's median upstream.
    pub(super) fn record(&mut self, now: Time, deviation: f64, centre: f64) {
        let mut deviation = deviation.clamp(centre - DEVIATION_MAX, centre + DEVIATION_MAX);
        let weight = match self.is_empty() {
            true => 1.0,
            false => {
                let apart = now.since(self.at).as_secs_f64() / APART.as_secs_f64();
                apart.clamp(WEIGHT_MIN, 1.0)
            }
        };
        if !self.is_empty() {
            deviation = deviation.min(self.mean + RISE_MAX);
        }
        let is_recovery = self.mean - centre >= SLOW_DEVIATION && deviation <= self.mean - RECOVERY;
        let kept = match is_recovery {
            true => self.weight(now).min(WEIGHT_BEFORE_RECOVERY),
            false => self.weight(now),
        };
        self.mean = (self.mean * kept + deviation * weight) / (kept + weight);
        self.weight = (kept + weight).min(WEIGHT_MAX);
        self.at = now;
    }
}
