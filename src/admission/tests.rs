use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::Forecast;
use super::MARGIN_MAX;
use super::Margin;
use super::Trajectory;
use crate::clock::Time;
use crate::estimator::Estimator;

const LIMIT: u32 = 16_384;

/// An estimator that has seen `lengths`.
fn estimator(lengths: &[u32]) -> Estimator {
    let mut estimator = Estimator::new(512);
    for length in lengths {
        estimator.passed(Time::ZERO, &"paid".into(), &"crew".into(), 0, *length);
        estimator.ended(Time::ZERO, &"paid".into(), &"crew".into(), *length);
    }
    estimator
}

fn peak_tokens(forecast: &Forecast, deviations: f64) -> f64 {
    forecast.peak_with(&Trajectory::default(), deviations)
}

fn long_tailed(rng: &mut ChaCha8Rng) -> u32 {
    let uniform: f64 = rng.random();
    (100.0 * (1.0 - uniform).powf(-0.7)).min(8_000.0) as u32
}

/// Highest memory when sequences of `lengths`, all just started, grow to their ends.
fn true_peak(prompt: u32, lengths: &[u32]) -> f64 {
    (0..8_001u32)
        .step_by(16)
        .map(|step| {
            let alive = lengths.iter().filter(|length| **length > step).count();
            alive as f64 * f64::from(prompt + step)
        })
        .fold(0.0, f64::max)
}

#[test]
fn adding_and_removing_in_any_order_leaves_nothing() {
    for seed in 0..20 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut estimator = estimator(&[100, 500, 2_000]);
        let curve = estimator.service_curve(Time::ZERO);
        let mut forecast = Forecast::default();
        let mut running = Vec::new();
        for _ in 0..50 {
            let prompt = rng.random_range(1..4_000);
            let produced = rng.random_range(0..4_000);
            running.push(Trajectory::new(curve, prompt, produced, LIMIT));
        }

        for trajectory in &running {
            forecast += trajectory;
        }
        while !running.is_empty() {
            let index = rng.random_range(0..running.len());
            forecast -= &running.swap_remove(index);
        }

        assert_eq!(forecast, Forecast::default());
    }
}

#[test]
fn the_forecast_covers_the_true_peak_about_as_often_as_its_quantile_says() {
    let mut covered = 0;
    let mut too_wide = 0;
    for seed in 0..200 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let history: Vec<u32> = (0..300).map(|_| long_tailed(&mut rng)).collect();
        let mut estimator = estimator(&history);
        let curve = estimator.service_curve(Time::ZERO);
        let lengths: Vec<u32> = (0..60).map(|_| long_tailed(&mut rng)).collect();
        let mut forecast = Forecast::default();

        for _ in &lengths {
            forecast += &Trajectory::new(curve, 300, 0, LIMIT);
        }

        let true_peak = true_peak(300, &lengths);
        let peak = peak_tokens(&forecast, 2.0);
        covered += usize::from(peak >= true_peak);
        too_wide += usize::from(peak >= 2.5 * true_peak);
    }
    assert!(covered >= 180, "{covered} of 200");
    assert!(too_wide <= 20, "{too_wide} of 200");
}

#[test]
fn a_callers_own_bound_limits_the_forecast() {
    let mut estimator = estimator(&[2_000; 100]);
    let curve = estimator.service_curve(Time::ZERO);
    let mut forecast = Forecast::default();

    forecast += &Trajectory::new(curve, 100, 0, 20);

    assert!(peak_tokens(&forecast, 3.0) <= 120.0);
}

#[test]
fn the_margin_rises_with_preemptions_and_falls_without() {
    let mut margin = Margin::new();
    margin.raise(Time::from_ms(1_000));
    let once = margin.share(Time::from_ms(1_000));
    for _ in 0..50 {
        margin.raise(Time::from_ms(1_000));
    }

    assert!(once > 0.0);
    assert_eq!(margin.share(Time::from_ms(1_000)), MARGIN_MAX);
    assert!(margin.share(Time::from_ms(60_000)) < MARGIN_MAX);
    assert_eq!(margin.share(Time::from_ms(10_000_000)), 0.0);
}
