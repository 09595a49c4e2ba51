use std::time::Duration;

use super::Answer;
use super::Cohort;
use super::EvidenceStore;
use super::Measure;
use super::Outcome;
use crate::clock::Time;
use crate::gateway::instance::InstanceId;
use crate::gateway::instance::InstanceKey;
use crate::gateway::loads::Teller;
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

/// Has `outcomes` come from so many upstreams in turn.
fn note(evidences: &mut EvidenceStore, cohort: Cohort, upstreams: usize, outcomes: &[Outcome]) {
    for (index, outcome) in outcomes.iter().enumerate() {
        let answer = Answer {
            route: "lookups",
            upstream: upstream(index % upstreams),
            cohort,
            measure: Measure::Whole,
            outcome: *outcome,
        };
        evidences.record_answer(NOW, order(), &answer);
    }
}

fn took(ms: u64) -> Outcome {
    Outcome::Took(Duration::from_millis(ms))
}

/// `bad` of `all` outcomes are failures.
fn failing(bad: usize, all: usize) -> Vec<Outcome> {
    let outcome = |index| {
        if index < bad {
            Outcome::Failed
        } else {
            took(60)
        }
    };
    (0..all).map(outcome).collect()
}

/// Whether a version is judged bad whose answers are `new`, beside `old` ones.
fn is_bad(old: &[Outcome], new: &[Outcome], new_upstreams: usize) -> bool {
    let mut evidences = EvidenceStore::default();
    note(&mut evidences, Cohort::Old, 20, old);
    evidences.combine(NOW, order());
    note(&mut evidences, Cohort::New, new_upstreams, new);
    evidences
        .combine(NOW, order())
        .judge(new_upstreams)
        .is_some()
}

#[test]
fn a_version_that_fails_far_more_often_than_the_others_is_bad() {
    assert!(is_bad(&failing(3, 400), &failing(10, 25), 5));
    assert!(is_bad(&failing(56, 400), &failing(30, 60), 5));
}

#[test]
fn a_version_that_fails_as_the_others_do_is_not_bad() {
    assert!(!is_bad(&failing(56, 400), &failing(12, 60), 5));
    assert!(!is_bad(&failing(3, 400), &failing(2, 25), 5));
}

#[test]
fn a_version_that_is_several_times_slower_is_bad() {
    let old: Vec<Outcome> = (0..100).map(|index| took(40 + index % 40)).collect();

    assert!(is_bad(&old, &[took(210); 12], 4));
    assert!(!is_bad(&old, &[took(80); 40], 4));
}

// One upstream that is ill would else have its version reverted.
#[test]
fn bad_answers_of_one_upstream_of_many_say_nothing_of_its_version() {
    let mut evidences = EvidenceStore::default();
    note(&mut evidences, Cohort::Old, 20, &failing(0, 200));
    note(&mut evidences, Cohort::New, 1, &failing(20, 20));

    let evidence = evidences.combine(NOW, order());

    assert!(evidence.judge(12).is_none());
    assert!(evidence.judge(1).is_some());
}

#[test]
fn what_hosts_saw_counts_together_and_lapses() {
    let mut local = EvidenceStore::default();
    for index in 0..6 {
        let mut other = EvidenceStore::default();
        note(&mut other, Cohort::New, 3, &failing(3, 3));
        let host = Teller::Host(HostId::new(format!("host-{index}")));
        local.receive(NOW, host, other.announce_host(NOW));
    }

    let heard = local.combine(Time::from_ms(8_900), order());
    let lapsed = local.combine(Time::from_ms(9_100), order());

    assert_eq!(heard.new_answers(), 18);
    assert!(heard.judge(3).is_some());
    assert_eq!(lapsed.new_answers(), 0);
}

#[test]
fn old_answers_count_no_more() {
    let mut evidences = EvidenceStore::default();
    note(&mut evidences, Cohort::New, 3, &failing(9, 9));

    assert_eq!(
        evidences
            .combine(Time::from_ms(14_900), order())
            .new_answers(),
        9
    );
    assert_eq!(
        evidences
            .combine(Time::from_ms(15_100), order())
            .new_answers(),
        0
    );
}
