mod fleet;

use std::time::Duration;

use super::RetryBudgetOptions;
use super::SharedRetryBudget;
use crate::clock::Time;

const OPTIONS: RetryBudgetOptions = RetryBudgetOptions {
    ratio: 0.2,
    allowance: 40.0,
    window: Duration::from_secs(10),
};

/// Draws nothing.
const NO_LOT: f64 = 1.0;

/// The process has run for longer than a window.
const NOW: Time = Time::from_ms(60_000);

fn retries(budget: &mut SharedRetryBudget, now: Time, hosts: usize) -> usize {
    (0..1_000)
        .take_while(|_| budget.try_retry(now, hosts))
        .count()
}

#[test]
fn hosts_together_stay_within_the_whole() {
    let hosts = 8;
    let requests = 100;
    let mut sum = 0;
    for _ in 0..hosts {
        let mut budget = SharedRetryBudget::new(OPTIONS, NO_LOT);
        for _ in 0..requests {
            budget.record_request(NOW);
        }
        sum += retries(&mut budget, NOW + Duration::from_millis(1), hosts);
    }

    let whole = OPTIONS.ratio * (hosts * requests) as f64 + OPTIONS.allowance;
    assert!(sum as f64 <= whole, "{sum} of {whole}");
    assert!(sum as f64 > whole / 2.0, "{sum} of {whole}");
}

#[test]
fn the_window_slides() {
    let mut budget = SharedRetryBudget::new(OPTIONS, NO_LOT);
    let first = retries(&mut budget, NOW, 1);

    let soon = retries(&mut budget, NOW + Duration::from_millis(9_000), 1);
    let later = retries(&mut budget, NOW + Duration::from_millis(10_001), 1);

    assert_eq!(soon, 0);
    assert_eq!(later, first);
}

#[test]
fn what_is_charged_leaves_less() {
    let mut budget = SharedRetryBudget::new(OPTIONS, NO_LOT);
    for _ in 0..1_000 {
        budget.charge(NOW);
    }

    assert!(!budget.try_retry(NOW, 1));
}

#[test]
fn a_process_that_has_just_started_takes_nothing_of_the_allowance() {
    let mut budget = SharedRetryBudget::new(OPTIONS, NO_LOT);

    assert_eq!(retries(&mut budget, Time::ZERO, 1), 0);
}

#[test]
fn a_process_in_its_first_window_retries_by_its_requests_and_its_age() {
    let mut budget = SharedRetryBudget::new(OPTIONS, NO_LOT);
    let half = Time::ZERO + OPTIONS.window / 2;
    for _ in 0..100 {
        budget.record_request(half);
    }

    let taken = retries(&mut budget, half, 1);

    assert_eq!(taken, (0.4 * (0.2 * 100.0 + 40.0 / 2.0)) as usize);
}
