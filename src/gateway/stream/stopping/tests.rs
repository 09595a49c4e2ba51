use std::time::Duration;

use super::NOTICE_DELAY;
use super::finishes_in_time;
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
