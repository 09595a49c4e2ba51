use std::time::Duration;

use super::NOTICE_DELAY;
use super::finishes_in_time;
use crate::gateway::protocol::GenerationSize;

/// Hinted at 1.9 s in all, at most 12 s.
const HINTED_SHORT: GenerationSize = GenerationSize {
    prompt_tokens: 3_000,
    output_tokens_max: 1_000,
    output_tokens_hint: Some(80),
};

const TIME_LEFT: Duration = Duration::from_secs(4);

#[test]
fn a_generation_that_finishes_by_its_hint_is_taken_while_nobody_can_know() {
    assert!(finishes_in_time(HINTED_SHORT, Duration::ZERO, TIME_LEFT));
    assert!(!finishes_in_time(
        HINTED_SHORT,
        Duration::ZERO,
        TIME_LEFT / 4
    ));
}

#[test]
fn later_only_one_that_finishes_for_certain_is_taken() {
    let certain = GenerationSize {
        output_tokens_max: 100,
        ..HINTED_SHORT
    };

    assert!(!finishes_in_time(HINTED_SHORT, NOTICE_DELAY, TIME_LEFT));
    assert!(finishes_in_time(certain, NOTICE_DELAY, TIME_LEFT));
}
