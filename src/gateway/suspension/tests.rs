use std::time::Duration;

use super::SUSPENSION_MIN;
use super::SuspensionDetector;
use super::WAKING_MAX;
use crate::clock::Time;

const START: Time = Time::from_ms(10_000);

fn started() -> SuspensionDetector {
    let mut detector = SuspensionDetector::default();
    detector.check(START, START);
    detector
}

#[test]
fn time_that_only_one_clock_counts_is_a_suspension() {
    let mut detector = started();
    let suspended = Duration::from_secs(8);
    let passed = Duration::from_millis(40);

    let found = detector.check(START + suspended + passed, START + passed);

    assert_eq!(found, Some(suspended));
    assert_eq!(detector.last_suspension(), suspended);
}

#[test]
fn it_is_found_once() {
    let mut detector = started();
    let woken = START + Duration::from_secs(8);
    detector.check(woken, START);

    assert_eq!(
        detector.check(woken + SUSPENSION_MIN, START + SUSPENSION_MIN),
        None
    );
}

#[test]
fn a_host_that_stood_still_by_both_clocks_was_not_suspended() {
    let mut detector = started();
    let later = START + Duration::from_secs(30);

    assert_eq!(detector.check(later, later), None);
    assert_eq!(detector.resumed_at(later), None);
}

#[test]
fn small_differences_and_a_steady_clock_that_is_ahead_are_none() {
    let mut detector = started();
    let under = SUSPENSION_MIN - Duration::from_millis(1);

    assert_eq!(detector.check(START + under, START), None);
    assert_eq!(
        detector.check(START + under, START + Duration::from_secs(9)),
        None
    );
}

#[test]
fn a_host_counts_as_waking_for_a_bounded_time() {
    let mut detector = started();
    let woken = START + Duration::from_secs(8);
    detector.check(woken, START);

    assert_eq!(detector.resumed_at(woken), Some(woken));
    assert_eq!(detector.resumed_at(woken + WAKING_MAX), None);
}
