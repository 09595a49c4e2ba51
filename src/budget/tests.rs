use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::RESERVE;
use super::RetryBudget;

#[test]
fn retries_never_exceed_the_share_of_successes_and_the_reserve() {
    for seed in 0..50 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let percent = rng.random_range(0..50);
        let mut budget = RetryBudget::new(percent);
        let mut successes = 0.0;
        let mut retries = 0.0;
        for _ in 0..2_000 {
            if rng.random_bool(0.5) {
                budget.succeeded();
                successes += 1.0;
            } else if budget.try_retry() {
                retries += 1.0;
            }

            assert!(retries <= RESERVE + successes * f64::from(percent) / 100.0 + 1e-6);
        }
    }
}

#[test]
fn a_storm_of_failures_ends_the_retries() {
    let mut budget = RetryBudget::new(20);

    let allowed = (0..1_000).filter(|_| budget.try_retry()).count();

    assert_eq!(allowed, RESERVE as usize);
}
