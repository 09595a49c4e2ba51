use std::time::Duration;

use super::Pace;

#[test]
fn it_starts_from_a_guess() {
    let pace = Pace::default();
    assert!(pace.first_event_within(3_000) > Duration::from_millis(1_000));
    assert_eq!(pace.turnover(), Duration::from_millis(4_000));
}

#[test]
fn slow_first_events_lengthen_what_is_expected() {
    let mut pace = Pace::default();
    let before = pace.first_event_within(3_000);
    for _ in 0..100 {
        pace.first_event(3_000, Duration::from_millis(2_000));
    }
    assert!(pace.first_event_within(3_000) > before);
    assert!(pace.first_event_within(3_000) > Duration::from_millis(1_800));
}

#[test]
fn steady_first_events_shrink_the_margin() {
    let mut pace = Pace::default();
    for _ in 0..400 {
        pace.first_event(3_000, Duration::from_millis(400));
    }
    assert!(pace.first_event_within(3_000) < Duration::from_millis(600));
}

#[test]
fn the_turnover_is_weighed_by_tokens() {
    let mut pace = Pace::default();
    for _ in 0..500 {
        pace.ended(4_000, Duration::from_secs(10));
        pace.ended(400, Duration::from_millis(100));
    }
    let turnover = pace.turnover();
    assert!(turnover > Duration::from_secs(8) && turnover < Duration::from_secs(10));
}

// A margin of four mean errors was raised for the next fifty generations, at all engines, by one engine that had gone dark.
#[test]
fn one_first_event_that_came_very_late_does_not_raise_the_margin() {
    let mut pace = Pace::default();
    for _ in 0..400 {
        pace.first_event(3_000, Duration::from_millis(400));
    }

    pace.first_event(3_000, Duration::from_secs(6));

    assert!(pace.first_event_within(3_000) < Duration::from_millis(700));
}
