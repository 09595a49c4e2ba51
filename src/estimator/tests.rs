use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::BINS;
use super::Curve;
use super::Estimator;
use super::bin;
use super::bin_start;
use crate::clock::Time;
use crate::id::ClassId;
use crate::id::CustomerId;

const LIMIT: u32 = 32_768;

fn class() -> ClassId {
    "paid".into()
}

fn customer() -> CustomerId {
    "crew".into()
}

impl Curve {
    /// Tokens still to come, in the mean, for a generation that has produced `produced` and stops
    /// at `limit` at the latest.
    fn mean_remaining(&self, produced: u32, limit: u32) -> f32 {
        let mut mean = 0.0;
        let mut from = produced;
        let mut alive = 1.0;
        while from < limit && alive > 1e-3 {
            let to = bin_start(bin(from) + 1).max(from + 1).min(limit);
            let later = self.survival(produced, to - produced);
            mean += (alive + later) / 2.0 * (to - from) as f32;
            alive = later;
            from = to;
        }
        mean
    }
}

/// Runs generations of the given lengths to their ends.
fn learn(estimator: &mut Estimator, customer: &CustomerId, lengths: impl Iterator<Item = u32>) {
    for length in lengths {
        estimator.passed(Time::ZERO, &class(), customer, 0, length);
        estimator.ended(Time::ZERO, &class(), customer, length);
    }
}

fn exponential(rng: &mut ChaCha8Rng, mean: f64) -> u32 {
    let uniform: f64 = rng.random();
    (-mean * (1.0 - uniform).ln()) as u32
}

#[test]
fn bins_cover_every_length_without_gaps() {
    for index in 0..BINS {
        let start = bin_start(index);

        assert_eq!(bin(start), index);
        assert!(index == 0 || bin(start - 1) == index - 1);
    }
    assert_eq!(bin(u32::MAX), BINS - 1);
}

#[test]
fn survival_falls_from_one_and_the_mean_is_found() {
    for seed in 0..20 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mean = rng.random_range(50.0..2_000.0);
        let mut estimator = Estimator::new(512);
        let lengths: Vec<u32> = (0..400).map(|_| exponential(&mut rng, mean)).collect();

        learn(&mut estimator, &customer(), lengths.into_iter());

        let curve = estimator.curve(Time::ZERO, &class(), &customer());
        let shares: Vec<f32> = (0..60).map(|step| curve.survival(0, step * 50)).collect();
        assert!(shares.windows(2).all(|pair| pair[1] <= pair[0]));
        assert_eq!(shares[0], 1.0);
        let found = f64::from(curve.mean_remaining(0, LIMIT));
        assert!((0.7..1.4).contains(&(found / mean)), "{found} for {mean}");
    }
}

#[test]
fn what_has_outlived_most_is_expected_to_go_on() {
    let mut estimator = Estimator::new(512);
    let lengths = (0..400).map(|n| if n % 10 == 0 { 8_000 } else { 50 });

    learn(&mut estimator, &customer(), lengths);

    let curve = estimator.curve(Time::ZERO, &class(), &customer());
    assert!(curve.survival(0, 4_000) < 0.15);
    assert!(curve.survival(200, 4_000) > 0.8);
}

#[test]
fn running_generations_teach_a_shift_before_any_of_them_has_ended() {
    let mut estimator = Estimator::new(512);
    learn(&mut estimator, &customer(), (0..400).map(|_| 200));

    for _ in 0..200 {
        estimator.passed(Time::ZERO, &class(), &customer(), 0, 900);
    }

    let curve = estimator.curve(Time::from_ms(500), &class(), &customer());
    assert!(curve.survival(0, 900) > 0.3, "{}", curve.survival(0, 900));
}

#[test]
fn a_new_customer_starts_from_its_class_and_then_departs_from_it() {
    let mut estimator = Estimator::new(512);
    let other = CustomerId::from("other");
    learn(&mut estimator, &customer(), (0..400).map(|_| 100));
    let at_first = estimator
        .curve(Time::ZERO, &class(), &other)
        .mean_remaining(0, LIMIT);

    learn(&mut estimator, &other, (0..100).map(|_| 3_000));

    let later = estimator
        .curve(Time::from_ms(500), &class(), &other)
        .mean_remaining(0, LIMIT);
    assert!(at_first < 200.0, "{at_first}");
    assert!((1_500.0..4_500.0).contains(&later), "{later}");
}
