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

    let alone = poll_wait(bound, ReadScope::Host) + ANSWER_SLACK_MIN + connecting;
    let for_others = poll_wait(bound, ReadScope::Fleet) + ANSWER_SLACK_MIN;

    assert!(alone <= bound, "{alone:?}");
    assert!(for_others <= bound / 2, "{for_others:?}");
}

#[test]
fn each_topic_is_lost_and_found_by_itself() {
    let mut board = answered_at(1_000);
    board.record_answer(Time::from_ms(1_000), Topic::Operator, SOON);

    let is_news = board.record_failure(Time::from_ms(2_000), Topic::Upstreams);
    let again = board.record_failure(Time::from_ms(2_500), Topic::Upstreams);

    assert!(is_news && !again);
    assert!(board.is_unreachable(Topic::Upstreams));
    assert!(!board.is_unreachable(Topic::Operator));
    let away = board.record_answer(Time::from_ms(3_000), Topic::Upstreams, SOON);
    assert_eq!(away, Some(Duration::from_secs(1)));
}

#[test]
fn a_topic_that_was_never_read_is_lost() {
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
fn a_lost_topic_is_not_trusted_at_once() {
    let mut board = answered_at(1_000);

    board.record_failure(Time::from_ms(1_100), Topic::Upstreams);

    assert!(!board.is_answered(Time::from_ms(1_100), Topic::Upstreams, WAIT));
}

// A log that answers after half a second would never be read if its answers were given up after 0.4 s.
#[test]
fn the_time_for_an_answer_follows_a_slow_log() {
    let mut board = answered_at(1_000);
    let at_first = board.answer_slack(Topic::Upstreams);

    board.record_failure(Time::from_ms(2_000), Topic::Upstreams);
    let after_a_loss = board.answer_slack(Topic::Upstreams);
    board.record_answer(
        Time::from_ms(3_000),
        Topic::Upstreams,
        Duration::from_millis(300),
    );
    let while_slow = board.answer_slack(Topic::Upstreams);
    for _ in 0..20 {
        board.record_answer(Time::from_ms(4_000), Topic::Upstreams, SOON);
    }

    assert_eq!(at_first, ANSWER_SLACK_MIN);
    assert_eq!(after_a_loss, ANSWER_SLACK_MIN * 2);
    assert_eq!(while_slow, Duration::from_millis(900));
    assert_eq!(board.answer_slack(Topic::Upstreams), ANSWER_SLACK_MIN);
}

#[test]
fn the_time_for_an_answer_is_bound() {
    let mut board = answered_at(1_000);

    for _ in 0..9 {
        board.record_failure(Time::from_ms(2_000), Topic::Upstreams);
    }

    assert_eq!(board.answer_slack(Topic::Upstreams), ANSWER_SLACK_MAX);
}
