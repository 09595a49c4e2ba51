use std::time::Duration;

use super::CONFIRM_TIMEOUT;
use super::SUSPENSION_MIN;
use super::SuspensionDetector;
use crate::clock::Time;

const START: Time = Time::from_ms(10_000);

fn started() -> SuspensionDetector {
    let mut detector = SuspensionDetector::default();
    detector.check(START, START);
    detector
}

#[test]
fn a_difference_between_the_clocks_is_a_suspension() {
    let mut detector = started();
    let suspended = Duration::from_secs(8);
    let awake = Duration::from_millis(40);

    let suspension = detector.check(START + suspended + awake, START + awake);

    assert_eq!(suspension, Some(suspended));
    assert_eq!(detector.last_suspension(), suspended);
}

#[test]
fn a_suspension_is_reported_once() {
    let mut detector = started();
    let resumed = START + Duration::from_secs(8);
    detector.check(resumed, START);

    assert_eq!(
        detector.check(resumed + SUSPENSION_MIN, START + SUSPENSION_MIN),
        None
    );
}

#[test]
fn time_that_both_clocks_count_is_no_suspension() {
    let mut detector = started();
    let later = START + Duration::from_secs(30);

    assert_eq!(detector.check(later, later), None);
    assert_eq!(detector.resumed_at(later), None);
}

#[test]
fn small_differences_and_a_steady_clock_ahead_are_ignored() {
    let mut detector = started();
    let under = SUSPENSION_MIN - Duration::from_millis(1);

    assert_eq!(detector.check(START + under, START), None);
    assert_eq!(
        detector.check(START + under, START + Duration::from_secs(9)),
        None
    );
}

#[test]
fn the_time_of_resuming_is_reported_for_a_bounded_time() {
    let mut detector = started();
    let resumed = START + Duration::from_secs(8);
    detector.check(resumed, START);

    assert_eq!(detector.resumed_at(resumed), Some(resumed));
    assert_eq!(detector.resumed_at(resumed + CONFIRM_TIMEOUT), None);
}
