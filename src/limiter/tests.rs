use std::time::Duration;

use crate::clock::SystemClock;
use crate::limiter::LimitHandle;
use crate::limits::LimitOptions;
use crate::row::CustomerRow;

fn row() -> CustomerRow {
    CustomerRow {
        customer: "canton".into(),
        key_sha256: Vec::new(),
        weight: 1,
        classes: Vec::new(),
        requests_per_s: 1_000,
        tokens_per_s: 1_000,
        concurrent_generations: 1,
        queue_length: 2,
    }
}

fn handle() -> LimitHandle {
    LimitHandle::new(LimitOptions::default(), SystemClock::new())
}

#[tokio::test]
async fn an_admission_starts_when_the_one_before_is_dropped() {
    let handle = handle();
    let mut first = handle.admit(&row()).unwrap();
    let mut second = handle.admit(&row()).unwrap();
    first.started().await;
    let early = tokio::time::timeout(Duration::from_millis(1), second.started()).await;
    assert!(early.is_err());

    drop(first);

    second.started().await;
}

#[tokio::test]
async fn a_waiting_admission_that_is_dropped_is_passed_over() {
    let handle = handle();
    let first = handle.admit(&row()).unwrap();
    let second = handle.admit(&row()).unwrap();
    let mut third = handle.admit(&row()).unwrap();

    drop(second);
    drop(first);

    third.started().await;
    assert!(handle.state().waiters.is_empty());
}
