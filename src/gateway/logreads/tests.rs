use std::time::Duration;

use super::ANSWER_SLACK_MAX;
use super::ANSWER_SLACK_MIN;
use super::LogReads;
use super::ReadScope;
use super::poll_wait;
use crate::clock::Time;
use crate::gateway::protocol::Topic;

const SOON: Duration = Duration::from_millis(4);
const WAIT: Duration = Duration::from_millis(500);

fn answered_at(ms: u64) -> LogReads {
    let mut board = LogReads::default();
    board.record_answer(Time::from_ms(ms), Topic::Upstreams, SOON);
    board
}

#[test]
fn a_read_ends_within_the_bound_on_staleness() {
    let bound = Duration::from_secs(2);
    let connecting = Duration::from_millis(400);

    let host_read = poll_wait(bound, ReadScope::Host) + ANSWER_SLACK_MIN + connecting;
    let fleet_read = poll_wait(bound, ReadScope::Fleet) + ANSWER_SLACK_MIN;

    assert!(host_read <= bound, "{host_read:?}");
    assert!(fleet_read <= bound / 2, "{fleet_read:?}");
}

#[test]
fn each_topic_becomes_unreachable_and_reachable_by_itself() {
    let mut board = answered_at(1_000);
    board.record_answer(Time::from_ms(1_000), Topic::Operator, SOON);

    let was_reachable = board.record_failure(Time::from_ms(2_000), Topic::Upstreams);
    let again = board.record_failure(Time::from_ms(2_500), Topic::Upstreams);

    assert!(was_reachable && !again);
    assert!(board.is_unreachable(Topic::Upstreams));
    assert!(!board.is_unreachable(Topic::Operator));
    let outage = board.record_answer(Time::from_ms(3_000), Topic::Upstreams, SOON);
    assert_eq!(outage, Some(Duration::from_secs(1)));
}

#[test]
fn a_topic_that_was_never_read_is_unreachable() {
    let board = LogReads::default();

    assert!(board.is_unreachable(Topic::Operator));
    assert!(!board.is_answered(Time::ZERO, Topic::Operator, WAIT));
    assert_eq!(board.age(Time::ZERO, Topic::Operator), None);
}

#[test]
fn an_answer_is_trusted_until_the_next_one_is_due() {
    let board = answered_at(1_000);

    assert!(board.is_answered(Time::from_ms(2_100), Topic::Upstreams, WAIT));
    assert!(!board.is_answered(Time::from_ms(2_101), Topic::Upstreams, WAIT));
}

#[test]
fn an_unreachable_topic_is_not_trusted_at_once() {
    let mut board = answered_at(1_000);

    board.record_failure(Time::from_ms(1_100), Topic::Upstreams);

    assert!(!board.is_answered(Time::from_ms(1_100), Topic::Upstreams, WAIT));
}

// Guards against a fixed timeout: reads of a log that takes 0.5 s to answer would all fail after 0.4 s.
#[test]
fn the_time_for_an_answer_follows_a_slow_log() {
    let mut board = answered_at(1_000);
    let initial = board.answer_slack(Topic::Upstreams);

    board.record_failure(Time::from_ms(2_000), Topic::Upstreams);
    let after_failure = board.answer_slack(Topic::Upstreams);
    board.record_answer(
        Time::from_ms(3_000),
        Topic::Upstreams,
        Duration::from_millis(300),
    );
    let while_slow = board.answer_slack(Topic::Upstreams);
    for _ in 0..20 {
        board.record_answer(Time::from_ms(4_000), Topic::Upstreams, SOON);
    }

    assert_eq!(initial, ANSWER_SLACK_MIN);
    assert_eq!(after_failure, ANSWER_SLACK_MIN * 2);
    assert_eq!(while_slow, Duration::from_millis(900));
    assert_eq!(board.answer_slack(Topic::Upstreams), ANSWER_SLACK_MIN);
}

#[test]
fn the_time_for_an_answer_is_bounded() {
    let mut board = answered_at(1_000);

    for _ in 0..9 {
        board.record_failure(Time::from_ms(2_000), Topic::Upstreams);
    }

    assert_eq!(board.answer_slack(Topic::Upstreams), ANSWER_SLACK_MAX);
}
