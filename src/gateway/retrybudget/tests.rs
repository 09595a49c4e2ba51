use std::time::Duration;

use super::RetryBudgetOptions;
use super::SharedRetryBudget;
use crate::clock::Time;

const OPTIONS: RetryBudgetOptions = RetryBudgetOptions {
    ratio: 0.2,
    allowance: 40.0,
    window: Duration::from_secs(10),
};

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
        let mut budget = SharedRetryBudget::new(OPTIONS);
        for _ in 0..requests {
            budget.requested(Time::ZERO);
        }
        sum += retries(&mut budget, Time::from_ms(1), hosts);
    }

    let whole = OPTIONS.ratio * (hosts * requests) as f64 + OPTIONS.allowance;
    assert!(sum as f64 <= whole, "{sum} of {whole}");
    assert!(sum as f64 > whole / 2.0, "{sum} of {whole}");
}

#[test]
fn the_window_slides() {
    let mut budget = SharedRetryBudget::new(OPTIONS);
    let first = retries(&mut budget, Time::ZERO, 1);

    let soon = retries(&mut budget, Time::from_ms(9_000), 1);
    let later = retries(&mut budget, Time::from_ms(10_001), 1);

    assert_eq!(soon, 0);
    assert_eq!(later, first);
}

#[test]
fn what_is_charged_leaves_less() {
    let mut budget = SharedRetryBudget::new(OPTIONS);
    for _ in 0..1_000 {
        budget.charge(Time::ZERO);
    }

    assert!(!budget.try_retry(Time::ZERO, 1));
}
