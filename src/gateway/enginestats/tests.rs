use std::time::Duration;

use super::EngineStats;

#[test]
fn it_starts_from_a_prior() {
    let stats = EngineStats::default();
    assert!(stats.first_event_bound(3_000, 1.0) > Duration::from_millis(1_000));
    assert_eq!(stats.turnover(), Duration::from_millis(4_000));
}

#[test]
fn slow_first_events_lengthen_what_is_expected() {
    let mut stats = EngineStats::default();
    let before = stats.first_event_bound(3_000, 1.0);
    for _ in 0..100 {
        stats.record_first_event(3_000, 1.0, Duration::from_millis(2_000));
    }
    assert!(stats.first_event_bound(3_000, 1.0) > before);
    assert!(stats.first_event_bound(3_000, 1.0) > Duration::from_millis(1_800));
}

#[test]
fn steady_first_events_shrink_the_margin() {
    let mut stats = EngineStats::default();
    for _ in 0..400 {
        stats.record_first_event(3_000, 1.0, Duration::from_millis(400));
    }
    assert!(stats.first_event_bound(3_000, 1.0) < Duration::from_millis(600));
}

#[test]
fn the_turnover_is_weighted_by_tokens() {
    let mut stats = EngineStats::default();
    for _ in 0..500 {
        stats.record_end(4_000, Duration::from_secs(10));
        stats.record_end(400, Duration::from_millis(100));
    }
    let turnover = stats.turnover();
    assert!(turnover > Duration::from_secs(8) && turnover < Duration::from_secs(10));
}

// Guards against an outlier that inflates the bound: with a margin of four mean errors, one unresponsive
// engine raised it for the next fifty generations at all engines.
#[test]
fn one_very_late_first_event_does_not_raise_the_margin() {
    let mut stats = EngineStats::default();
    for _ in 0..400 {
        stats.record_first_event(3_000, 1.0, Duration::from_millis(400));
    }

    stats.record_first_event(3_000, 1.0, Duration::from_secs(6));

    assert!(stats.first_event_bound(3_000, 1.0) < Duration::from_millis(700));
}

/// First events without prompt tokens made the mean no number, and its conversion to a duration panicked.
#[test]
fn generations_without_tokens_leave_estimates_that_can_be_used() {
    let mut stats = EngineStats::default();
    for _ in 0..40_000 {
        stats.record_first_event(0, 1.0, Duration::from_secs(1));
        stats.record_end(0, Duration::from_secs(1));
    }

    let bound = stats.first_event_bound(u32::MAX, 1_000.0);
    stats.record_first_event(3_000, 1_000.0, Duration::from_secs(1));

    assert!(bound > Duration::ZERO);
    assert!(stats.turnover() > Duration::ZERO);
}
