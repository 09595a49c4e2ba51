use super::Ledger;
use super::Running;
use crate::admission::Trajectory;
use crate::clock::Time;
use crate::id::AttemptId;
use crate::id::RequestId;

fn running(expires_ms: u64) -> Running {
    Running {
        slot: 0,
        customer: "crew".into(),
        class: "paid".into(),
        repeatable: true,
        prompt_tokens: 100,
        max_output_tokens: 1_000,
        output_tokens: 0,
        adopted_tokens: 0,
        charged_tokens: 0,
        cached_share: 0.0,
        granted: Time::ZERO,
        expires: Some(Time::from_ms(expires_ms)),
        attempt: None,
        missing_reports: 0,
        relocating: false,
        trajectory: Trajectory::default(),
        renew_at_tokens: 0,
    }
}

#[test]
fn a_started_request_no_longer_expires_and_is_found_by_its_attempt() {
    let mut ledger = Ledger::default();
    let request = RequestId::from_u128(1);
    ledger.insert(request, running(10));

    ledger.started(request, AttemptId::from_u128(7));

    assert_eq!(ledger.expired(Time::from_ms(10)), None);
    assert_eq!(ledger.by_attempt(AttemptId::from_u128(7)), Some(request));
}

#[test]
fn a_removed_request_leaves_nothing_behind() {
    let mut ledger = Ledger::default();
    let request = RequestId::from_u128(1);
    ledger.insert(request, running(10));
    ledger.started(request, AttemptId::from_u128(7));

    ledger.remove(Time::ZERO, request);

    assert_eq!(ledger.len(), 0);
    assert_eq!(ledger.next_expiry(), None);
    assert_eq!(ledger.by_attempt(AttemptId::from_u128(7)), None);
}

#[test]
fn an_ended_attempt_is_known_for_a_while() {
    let mut ledger = Ledger::default();
    for (number, ended_ms) in [(1, 0), (2, 60_000)] {
        let request = RequestId::from_u128(number);
        ledger.insert(request, running(10));
        ledger.started(request, AttemptId::from_u128(number));
        ledger.remove(Time::from_ms(ended_ms), request);
    }

    assert!(!ledger.knows(AttemptId::from_u128(1)));
    assert!(ledger.knows(AttemptId::from_u128(2)));
}

#[test]
fn what_is_due_counts_only_what_was_generated_here() {
    let mut adopted = running(10);
    adopted.adopted_tokens = 40;
    adopted.output_tokens = 50;

    assert_eq!(adopted.due_tokens(), 110);
}
