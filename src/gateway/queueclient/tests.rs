use std::time::Duration;

use super::Asking;
use super::OwnerHealth;
use super::Reaction;
use super::Step;
use super::answer_timeout;
use crate::clock::Time;
use crate::gateway::instance::InstanceId;
use crate::gateway::queuemessages::Answer;
use crate::gateway::queuemessages::Grant;
use crate::gateway::sharedqueue::QueueForecast;
use crate::gateway::sharedqueue::Turn;
use crate::id::UpstreamId;

fn at(ms: u64) -> Time {
    Time::from_ms(10_000 + ms)
}

fn asking() -> Asking {
    Asking::new(at(0), answer_timeout(OwnerHealth::Answering), at(8_000))
}

fn forecast(limit_ms: u64) -> QueueForecast {
    QueueForecast {
        expected: Duration::from_millis(80),
        limit: Duration::from_millis(limit_ms),
        ahead_tokens: 4_000,
    }
}

fn queued(limit_ms: u64) -> Answer {
    Answer::Queued(forecast(limit_ms).into())
}

fn engine() -> InstanceId {
    InstanceId::from(UpstreamId::new("engine"))
}

/// A grant made `after_ms` after the owner received a renewal.
fn grant(renewal: u32, after_ms: u32) -> Answer {
    Answer::Granted(Grant {
        engine: engine(),
        renewal,
        after_ms,
        valid_for_ms: 250,
    })
}

fn send(renewal: u32) -> Step {
    Step::Send { renewal }
}

fn wait_until(ms: u64) -> Step {
    Step::Wait { until: at(ms) }
}

/// One that was answered at once that it may wait for `limit_ms`.
fn waiting(limit_ms: u64) -> Asking {
    let mut asking = asking();
    asking.step(at(0));
    asking.receive(at(1), queued(limit_ms));
    asking
}

#[test]
fn a_request_whose_answer_is_lost_is_repeated_soon() {
    let mut asking = asking();

    assert_eq!(asking.step(at(0)), send(0));
    assert_eq!(asking.step(at(0)), wait_until(25));
    assert_eq!(asking.step(at(25)), send(1));
    assert_eq!(asking.step(at(26)), wait_until(50));
}

#[test]
fn a_waiting_generation_renews_its_request_as_a_sign_of_life() {
    let mut asking = waiting(2_000);

    assert_eq!(asking.step(at(1)), wait_until(100));
    assert_eq!(asking.step(at(100)), send(1));
    asking.receive(at(101), queued(1_900));
    assert_eq!(asking.step(at(101)), wait_until(200));
}

#[test]
fn a_silent_owners_generation_is_decided_alone() {
    let mut asking = asking();
    asking.step(at(0));
    asking.step(at(25));
    asking.step(at(50));

    assert_eq!(asking.step(at(59)), wait_until(60));
    assert_eq!(asking.step(at(60)), Step::DecideAlone);
    assert!(!asking.has_waited());
}

#[test]
fn an_owner_that_was_silent_lately_is_waited_for_less() {
    let mut asking = Asking::new(at(0), answer_timeout(OwnerHealth::Silent), at(8_000));
    asking.step(at(0));

    assert_eq!(asking.step(at(1)), wait_until(15));
    assert_eq!(asking.step(at(15)), Step::DecideAlone);
}

#[test]
fn an_owner_that_falls_silent_during_the_wait_is_given_up() {
    let mut asking = waiting(2_000);
    asking.step(at(100));
    asking.step(at(200));

    assert_eq!(asking.step(at(250)), wait_until(251));
    assert_eq!(asking.step(at(251)), Step::DecideAlone);
    assert!(asking.has_waited());
}

#[test]
fn the_first_forecast_of_a_wait_is_told_once() {
    let mut asking = asking();
    asking.step(at(0));

    let first = asking.receive(at(1), queued(300));
    let again = asking.receive(at(2), queued(299));

    assert_eq!(first, Reaction::Forecast(forecast(300)));
    assert_eq!(again, Reaction::Nothing);
}

#[test]
fn the_wait_ends_when_it_is_no_longer_useful_whatever_the_owner_does() {
    let mut asking = waiting(150);

    assert_eq!(asking.step(at(100)), send(1));
    assert_eq!(asking.step(at(101)), wait_until(200));
    assert_eq!(asking.step(at(200)), send(2));
    assert_eq!(asking.step(at(201)), Step::GiveUp(forecast(150)));
}

#[test]
fn the_wait_ends_with_the_callers_patience() {
    let mut asking = Asking::new(at(0), answer_timeout(OwnerHealth::Answering), at(90));
    asking.step(at(0));
    asking.receive(at(1), queued(5_000));

    assert_eq!(asking.step(at(2)), wait_until(90));
    assert_eq!(asking.step(at(90)), Step::GiveUp(forecast(5_000)));
}

#[test]
fn a_grant_in_time_starts_the_generation() {
    let mut asking = waiting(2_000);
    asking.step(at(100));

    // Its validity ends at the latest 250 ms after the renewal was sent, plus the 40 ms before the grant.
    assert_eq!(
        asking.receive(at(389), grant(1, 40)),
        Reaction::Start(engine())
    );
}

#[test]
fn a_late_grant_is_not_used_and_another_one_asked_for_at_once() {
    let mut asking = waiting(2_000);
    asking.step(at(100));

    assert_eq!(asking.receive(at(390), grant(1, 40)), Reaction::Nothing);
    assert_eq!(asking.step(at(390)), send(2));
}

// A suspended host reads grants from its buffer that were made before.
#[test]
fn a_grant_for_a_request_of_unknown_age_is_not_used() {
    let mut asking = waiting(2_000);

    assert_eq!(asking.receive(at(5), grant(9, 0)), Reaction::Nothing);
}

#[test]
fn a_grant_that_its_host_cannot_use_voids_the_others_before_it() {
    let mut asking = waiting(2_000);
    asking.receive(at(50), grant(0, 10));

    asking.ask_again(at(50));

    assert_eq!(asking.step(at(50)), send(1));
    assert_eq!(asking.receive(at(51), grant(0, 10)), Reaction::Nothing);
    assert_eq!(
        asking.receive(at(52), grant(1, 1)),
        Reaction::Start(engine())
    );
}

#[test]
fn a_refusal_tells_when_to_return() {
    let mut asking = asking();
    asking.step(at(0));
    let turn = Turn {
        forecast: forecast(100),
        retry_after: Duration::from_millis(700),
    };

    let reaction = asking.receive(at(1), Answer::Refused(turn.into()));

    assert_eq!(reaction, Reaction::Refuse(turn));
}

#[test]
fn a_new_owner_is_asked_at_once_and_given_time_to_answer() {
    let mut asking = waiting(2_000);
    assert_eq!(
        asking.receive(at(40), Answer::NotOwner),
        Reaction::AskAnother
    );

    asking.change_owner(at(40), answer_timeout(OwnerHealth::Answering));

    assert_eq!(asking.step(at(40)), send(1));
    assert_eq!(asking.step(at(41)), wait_until(65));
    assert_eq!(asking.receive(at(42), grant(0, 0)), Reaction::Nothing);
    asking.step(at(65));
    assert_eq!(
        asking.receive(at(66), grant(2, 0)),
        Reaction::Start(engine())
    );
}

#[test]
fn a_new_owner_that_is_silent_is_given_up_like_the_first() {
    let mut asking = waiting(2_000);
    asking.change_owner(at(40), answer_timeout(OwnerHealth::Answering));
    asking.step(at(40));

    assert_eq!(asking.step(at(100)), Step::DecideAlone);
    assert!(asking.has_waited());
}
