//! Predicted memory of an upstream: what runs there, and what it will need as it grows.
//!
//! All sequences of a batch grow by a token a step, so a sequence that now holds m tokens holds
//! m + t after t steps if it still runs, and nothing if it has ended. A [`Trajectory`] holds mean
//! and variance of that on a coarse grid of steps; a [`Forecast`] is the sum over an upstream.
//! Lengths are independent given the curve, so the sum is nearly normal, and its quantile is the
//! mean plus some deviations, but never more than if none of them ended. Adding and removing a sequence costs one pass over the grid.

use std::ops::AddAssign;
use std::ops::SubAssign;

use crate::clock::Time;
use crate::estimator::Curve;

/// Points of the grid.
const POINTS: usize = 20;
/// Steps ahead at each point.
const STEPS: [u32; POINTS] = [
    0, 16, 32, 48, 64, 96, 128, 192, 256, 384, 512, 768, 1_024, 1_536, 2_048, 3_072, 4_096, 6_144,
    8_192, 12_288,
];
/// Points within which relief can't come from endings elsewhere.
const NEAR_POINTS: usize = 5;

/// Mean, variance and upper bound of memory at each point, in tokens.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(crate) struct Trajectory {
    mean: [f64; POINTS],
    variance: [f64; POINTS],
    bound: [f64; POINTS],
}

impl Trajectory {
    /// The memory of one sequence that holds `prompt` and `produced` tokens and stops at `limit`
    /// output tokens at the latest.
    pub(crate) fn new(curve: &Curve, prompt: u32, produced: u32, limit: u32) -> Self {
        let held = f64::from(prompt) + f64::from(produced);
        let mut trajectory = Trajectory::default();
        for (point, steps) in STEPS.into_iter().enumerate() {
            if steps > 0 && produced.saturating_add(steps) > limit {
                break;
            }
            let alive = f64::from(curve.survival(produced, steps));
            let tokens = held + f64::from(steps);
            trajectory.mean[point] = tokens * alive;
            trajectory.variance[point] = tokens * tokens * alive * (1.0 - alive);
            trajectory.bound[point] = tokens;
        }
        trajectory
    }
}

/// The memory of all sequences of an upstream.
#[derive(Debug, Clone, Default, PartialEq)]
pub(crate) struct Forecast {
    sum: Trajectory,
    sequences: usize,
}

impl Forecast {
    /// Number of sequences.
    pub(crate) fn sequences(&self) -> usize {
        self.sequences
    }

    /// Highest predicted memory over the horizon with one more sequence, `deviations` above the
    /// mean, in tokens.
    pub(crate) fn peak_with(&self, newcomer: &Trajectory, deviations: f64) -> f64 {
        (0..POINTS)
            .map(|point| {
                let mean = self.sum.mean[point] + newcomer.mean[point];
                let variance = self.sum.variance[point] + newcomer.variance[point];
                let bound = self.sum.bound[point] + newcomer.bound[point];
                (mean + deviations * variance.max(0.0).sqrt()).min(bound)
            })
            .fold(0.0, f64::max)
    }

    /// Highest mean memory over the next few steps, in tokens.
    pub(crate) fn near_tokens(&self) -> f64 {
        self.sum.mean[..NEAR_POINTS]
            .iter()
            .copied()
            .fold(0.0, f64::max)
    }

    /// Exchanges a sequence's trajectory for a newer one.
    pub(crate) fn replace(&mut self, old: &Trajectory, new: &Trajectory) {
        for point in 0..POINTS {
            self.sum.mean[point] += new.mean[point] - old.mean[point];
            self.sum.variance[point] += new.variance[point] - old.variance[point];
            self.sum.bound[point] += new.bound[point] - old.bound[point];
        }
    }
}

impl AddAssign<&Trajectory> for Forecast {
    fn add_assign(&mut self, trajectory: &Trajectory) {
        self.replace(&Trajectory::default(), trajectory);
        self.sequences += 1;
    }
}

impl SubAssign<&Trajectory> for Forecast {
    fn sub_assign(&mut self, trajectory: &Trajectory) {
        self.replace(trajectory, &Trajectory::default());
        self.sequences = self.sequences.saturating_sub(1);
        if self.sequences == 0 {
            // Rounding errors end with the last sequence.
            *self = Forecast::default();
        }
    }
}

/// Share of an upstream's memory kept free because its forecasts proved too low.
///
/// It is multiplied when the upstream preempts and falls steadily while it doesn't.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Margin {
    share: f64,
    since: Time,
}

/// Margin after the first preemption.
const MARGIN_FIRST: f64 = 0.01;
/// Factor at each report that tells of preemptions.
const MARGIN_FACTOR: f64 = 1.3;
/// Largest margin.
const MARGIN_MAX: f64 = 0.3;
/// Fall a second.
const MARGIN_FALL_PER_S: f64 = 0.002;

impl Margin {
    /// No margin.
    pub(crate) fn new() -> Self {
        Margin {
            share: 0.0,
            since: Time::ZERO,
        }
    }

    /// The margin at `now`.
    pub(crate) fn share(&self, now: Time) -> f64 {
        let fall = now.since(self.since).as_secs_f64() * MARGIN_FALL_PER_S;
        (self.share - fall).max(0.0)
    }

    /// The upstream preempted.
    pub(crate) fn raise(&mut self, now: Time) {
        let share = self.share(now) * MARGIN_FACTOR;
        self.share = share.clamp(MARGIN_FIRST, MARGIN_MAX);
        self.since = now;
    }
}

#[cfg(test)]
mod tests;
