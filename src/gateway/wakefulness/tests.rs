use std::time::Duration;

use super::SUSPENSION_MIN;
use super::WAKING_MAX;
use super::Wakefulness;
use crate::clock::Time;

const START: Time = Time::from_ms(10_000);

fn looked() -> Wakefulness {
    let mut wakefulness = Wakefulness::default();
    wakefulness.look(START, START);
    wakefulness
}

#[test]
fn time_that_only_one_clock_counts_is_a_suspension() {
    let mut wakefulness = looked();
    let suspended = Duration::from_secs(8);
    let passed = Duration::from_millis(40);

    let found = wakefulness.look(START + suspended + passed, START + passed);

    assert_eq!(found, Some(suspended));
    assert_eq!(wakefulness.last_suspension(), suspended);
}

#[test]
fn it_is_found_once() {
    let mut wakefulness = looked();
    let woken = START + Duration::from_secs(8);
    wakefulness.look(woken, START);

    assert_eq!(
        wakefulness.look(woken + SUSPENSION_MIN, START + SUSPENSION_MIN),
        None
    );
}

#[test]
fn a_host_that_stood_still_by_both_clocks_was_not_suspended() {
    let mut wakefulness = looked();
    let later = START + Duration::from_secs(30);

    assert_eq!(wakefulness.look(later, later), None);
    assert_eq!(wakefulness.woken_at(later), None);
}

#[test]
fn small_differences_and_a_steady_clock_that_is_ahead_are_none() {
    let mut wakefulness = looked();
    let under = SUSPENSION_MIN - Duration::from_millis(1);

    assert_eq!(wakefulness.look(START + under, START), None);
    assert_eq!(
        wakefulness.look(START + under, START + Duration::from_secs(9)),
        None
    );
}

#[test]
fn a_host_counts_as_waking_for_a_bounded_time() {
    let mut wakefulness = looked();
    let woken = START + Duration::from_secs(8);
    wakefulness.look(woken, START);

    assert_eq!(wakefulness.woken_at(woken), Some(woken));
    assert_eq!(wakefulness.woken_at(woken + WAKING_MAX), None);
}
