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

/// A draw with which no budget is rounded up.
const NO_ROUND_UP: f64 = 1.0;

/// A time at which the process has run for longer than a window.
const NOW: Time = Time::from_ms(60_000);

fn take_retries(budget: &mut SharedRetryBudget, now: Time, hosts: usize) -> usize {
    (0..1_000)
        .take_while(|_| budget.try_retry(now, hosts))
        .count()
}

#[test]
fn hosts_together_stay_within_the_budget() {
    let hosts = 8;
    let requests = 100;
    let mut retried = 0;
    for _ in 0..hosts {
        let mut budget = SharedRetryBudget::new(OPTIONS, NO_ROUND_UP);
        for _ in 0..requests {
            budget.record_request(NOW);
        }
        retried += take_retries(&mut budget, NOW + Duration::from_millis(1), hosts);
    }

    let budget_total = OPTIONS.ratio * (hosts * requests) as f64 + OPTIONS.allowance;
    assert!(
        retried as f64 <= budget_total,
        "{retried} of {budget_total}"
    );
    assert!(
        retried as f64 > budget_total / 2.0,
        "{retried} of {budget_total}"
    );
}

#[test]
fn the_window_slides() {
    let mut budget = SharedRetryBudget::new(OPTIONS, NO_ROUND_UP);
    let first = take_retries(&mut budget, NOW, 1);

    let soon = take_retries(&mut budget, NOW + Duration::from_millis(9_000), 1);
    let later = take_retries(&mut budget, NOW + Duration::from_millis(10_001), 1);

    assert_eq!(soon, 0);
    assert_eq!(later, first);
}

#[test]
fn charged_retries_count_against_the_budget() {
    let mut budget = SharedRetryBudget::new(OPTIONS, NO_ROUND_UP);
    for _ in 0..1_000 {
        budget.charge(NOW);
    }

    assert!(!budget.try_retry(NOW, 1));
}

#[test]
fn a_process_that_has_just_started_gets_no_allowance() {
    let mut budget = SharedRetryBudget::new(OPTIONS, NO_ROUND_UP);

    assert_eq!(take_retries(&mut budget, Time::ZERO, 1), 0);
}

#[test]
fn the_first_window_allows_retries_by_requests_and_uptime() {
    let mut budget = SharedRetryBudget::new(OPTIONS, NO_ROUND_UP);
    let half = Time::ZERO + OPTIONS.window / 2;
    for _ in 0..100 {
        budget.record_request(half);
    }

    let taken = take_retries(&mut budget, half, 1);

    assert_eq!(taken, (0.4 * (0.2 * 100.0 + 40.0 / 2.0)) as usize);
}
