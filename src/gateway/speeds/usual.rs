//! The usual time of a piece of work at an upstream of a service, by the number of requests that run there.

/// Classes of numbers of requests, two for each doubling; the last one takes all larger numbers.
const CLASSES: usize = 14;
/// Weight of a class for the one beside it, whose requests run at nearly the same speed.
const NEIGHBOUR_WEIGHT: f64 = 0.1;
/// Most observations that count in a class: older ones give way to newer ones.
const WEIGHT_MAX: f64 = 500.0;

/// Mean logarithm of the time of one class.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
struct Level {
    weight: f64,
    mean: f64,
}

/// Usual times, in logarithms of seconds.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(super) struct UsualTimes([Level; CLASSES]);

/// The class of a number of requests.
fn class(requests: u32) -> usize {
    let doublings = f64::from(requests.max(1)).log2();
    ((2.0 * doublings) as usize).min(CLASSES - 1)
}

impl UsualTimes {
    /// The usual time beside `requests` requests; none before the first observation.
    pub(super) fn expected(&self, requests: u32) -> Option<f64> {
        let own = class(requests);
        let mut sum = 0.0;
        let mut weights = 0.0;
        for (other, level) in self.0.iter().enumerate() {
            let distance = i32::try_from(other.abs_diff(own)).unwrap_or(i32::MAX);
            let weight = level.weight * NEIGHBOUR_WEIGHT.powi(distance);
            sum += level.mean * weight;
            weights += weight;
        }
        (weights > 0.0).then(|| sum / weights)
    }

    /// Records a time beside `requests` requests, without the deviation of its upstream.
    pub(super) fn record(&mut self, requests: u32, time: f64) {
        let level = &mut self.0[class(requests)];
        level.weight = (level.weight + 1.0).min(WEIGHT_MAX);
        level.mean += (time - level.mean) / level.weight;
    }
}
