use std::time::Duration;

use super::Answer;
use super::Cohort;
use super::EvidenceStore;
use super::Measure;
use super::Outcome;
use crate::clock::Time;
use crate::gateway::instance::InstanceId;
use crate::gateway::instance::InstanceKey;
use crate::gateway::loads::ReportSource;
use crate::gateway::position::Position;
use crate::id::HostId;
use crate::id::UpstreamId;

const NOW: Time = Time::from_ms(5_000);

fn order() -> Position {
    Position::from(7)
}

fn upstream(index: usize) -> InstanceKey {
    InstanceId::from(UpstreamId::new(format!("up-{index}"))).key()
}

/// Records answers with these outcomes, from this number of upstreams in turn.
fn record_answers(
    store: &mut EvidenceStore,
    cohort: Cohort,
    upstreams: usize,
    outcomes: &[Outcome],
) {
    for (index, outcome) in outcomes.iter().enumerate() {
        let answer = Answer {
            route: "lookups",
            upstream: upstream(index % upstreams),
            cohort,
            measure: Measure::Whole,
            outcome: *outcome,
        };
        store.record_answer(NOW, order(), &answer);
    }
}

fn took(ms: u64) -> Outcome {
    Outcome::Took(Duration::from_millis(ms))
}

/// Returns `all` outcomes, of which the first `bad` are failures.
fn with_failures(bad: usize, all: usize) -> Vec<Outcome> {
    let outcome = |index| {
        if index < bad {
            Outcome::Failed
        } else {
            took(60)
        }
    };
    (0..all).map(outcome).collect()
}

/// Whether a version with the outcomes `new` is judged bad beside others with the outcomes `old`.
fn is_bad(old: &[Outcome], new: &[Outcome], new_upstreams: usize) -> bool {
    let mut store = EvidenceStore::default();
    record_answers(&mut store, Cohort::Old, 20, old);
    store.combine(NOW, order());
    record_answers(&mut store, Cohort::New, new_upstreams, new);
    store.combine(NOW, order()).judge(new_upstreams).is_some()
}

#[test]
fn a_version_that_fails_far_more_often_than_the_others_is_bad() {
    assert!(is_bad(&with_failures(3, 400), &with_failures(10, 25), 5));
    assert!(is_bad(&with_failures(56, 400), &with_failures(30, 60), 5));
}

#[test]
fn a_version_that_fails_as_the_others_do_is_not_bad() {
    assert!(!is_bad(&with_failures(56, 400), &with_failures(12, 60), 5));
    assert!(!is_bad(&with_failures(3, 400), &with_failures(2, 25), 5));
}

#[test]
fn a_version_that_is_several_times_slower_is_bad() {
    let old: Vec<Outcome> = (0..100).map(|index| took(40 + index % 40)).collect();

    assert!(is_bad(&old, &[took(210); 12], 4));
    assert!(!is_bad(&old, &[took(80); 40], 4));
}

// Guards against a sound version being reverted: its calls opened new connections, those of the others didn't.
#[test]
fn a_version_that_is_slower_by_less_than_a_network_round_trip_is_not_bad() {
    let old = [Outcome::Took(Duration::from_micros(40)); 100];
    let new = [Outcome::Took(Duration::from_micros(400)); 40];

    assert!(!is_bad(&old, &new, 4));
}

// Guards against a single faulty upstream getting its whole version reverted.
#[test]
fn bad_answers_of_one_upstream_do_not_make_its_version_bad() {
    let mut store = EvidenceStore::default();
    record_answers(&mut store, Cohort::Old, 20, &with_failures(0, 200));
    record_answers(&mut store, Cohort::New, 1, &with_failures(20, 20));

    let evidence = store.combine(NOW, order());

    assert!(evidence.judge(12).is_none());
    assert!(evidence.judge(1).is_some());
}

#[test]
fn evidence_of_peers_adds_up_and_expires() {
    let mut local = EvidenceStore::default();
    for index in 0..6 {
        let mut other = EvidenceStore::default();
        record_answers(&mut other, Cohort::New, 3, &with_failures(3, 3));
        let source = ReportSource::Host(HostId::new(format!("host-{index}")));
        local.receive(NOW, source, other.announce_host(NOW));
    }

    let fresh = local.combine(Time::from_ms(8_900), order());
    let expired = local.combine(Time::from_ms(9_100), order());

    assert_eq!(fresh.new_answers(), 18);
    assert!(fresh.judge(3).is_some());
    assert_eq!(expired.new_answers(), 0);
}

#[test]
fn answers_older_than_the_window_are_dropped() {
    let mut store = EvidenceStore::default();
    record_answers(&mut store, Cohort::New, 3, &with_failures(9, 9));

    assert_eq!(
        store.combine(Time::from_ms(14_900), order()).new_answers(),
        9
    );
    assert_eq!(
        store.combine(Time::from_ms(15_100), order()).new_answers(),
        0
    );
}
