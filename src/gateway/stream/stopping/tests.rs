use std::time::Duration;

use super::NOTICE_DELAY;
use super::finishes_in_time;
use super::late_duration;
use crate::gateway::protocol::GenerationSize;

/// Takes 1.9 s by its hint and 12 s at most.
const HINTED_SHORT: GenerationSize = GenerationSize {
    prompt_tokens: 3_000,
    output_tokens_max: 1_000,
    output_tokens_hint: Some(80),
};

const TIME_LEFT: Duration = Duration::from_secs(4);

#[test]
fn a_generation_that_finishes_by_its_hint_is_accepted_until_the_shutdown_is_noticed() {
    assert!(finishes_in_time(HINTED_SHORT, Duration::ZERO, TIME_LEFT));
    assert!(!finishes_in_time(
        HINTED_SHORT,
        Duration::ZERO,
        TIME_LEFT / 4
    ));
}

#[test]
fn later_only_a_generation_that_is_certain_to_finish_is_accepted() {
    let certain = GenerationSize {
        output_tokens_max: 100,
        ..HINTED_SHORT
    };

    assert!(!finishes_in_time(HINTED_SHORT, NOTICE_DELAY, TIME_LEFT));
    assert!(finishes_in_time(certain, NOTICE_DELAY, TIME_LEFT));
}

#[test]
fn a_late_generation_must_finish_even_at_an_engine_that_is_slow_to_its_first_event() {
    let size = GenerationSize {
        output_tokens_max: 100,
        ..HINTED_SHORT
    };
    let usual = late_duration(size, Duration::ZERO, 1.0);
    let crowded = late_duration(size, Duration::from_secs(1), 1.0);
    let slow = late_duration(size, Duration::ZERO, 2.0);

    assert!(usual < TIME_LEFT);
    assert!(crowded > TIME_LEFT);
    assert!(slow > TIME_LEFT);
}
