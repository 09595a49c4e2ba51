use std::collections::HashSet;
use std::time::Duration;

use super::AnnouncedSuspect;
use super::CRASHES_MAX;
use super::ListedUpstreams;
use super::STALE_LISTING_MAX;
use super::SUSPECTS_MAX;
use super::SuspectKind;
use super::Suspects;
use super::Verdict;
use super::announce::CHANGES_MAX;
use super::announce::OWN_ANNOUNCEMENTS;
use super::suspect::EVIDENCE_TTL;
use super::suspect::HELD_BACK_MAX;
use super::suspect::HELD_BACK_MIN;
use super::suspect::TRIAL_TIMEOUT;
use crate::clock::Time;
use crate::fingerprint::Content;
use crate::fingerprint::Fingerprint;
use crate::gateway::instance::InstanceId;
use crate::id::UpstreamId;

mod parts;
mod spread;

const START: Time = Time::from_ms(100_000);

fn at(ms: u64) -> Time {
    START + Duration::from_millis(ms)
}

fn content(number: usize) -> Fingerprint {
    Fingerprint::of(&Content {
        customer: None,
        method: "POST",
        authority: "a.example",
        target: "/",
        body: &number.to_le_bytes(),
    })
}

fn upstream(number: usize) -> InstanceId {
    InstanceId::from(UpstreamId::new(format!("up-{number}")))
}

/// A host that saw content 0 crash `crashes` upstreams, one per second.
fn with_crashes(crashes: usize) -> Suspects {
    let mut suspects = Suspects::default();
    for number in 0..crashes {
        suspects.record_crash(at(1_000 * number as u64), content(0), &upstream(number));
    }
    suspects
}

fn is_held_back(suspects: &Suspects, now: Time, number: usize) -> bool {
    let assessment = suspects.assess(now, content(number));
    assessment.is_some_and(|assessment| matches!(assessment.verdict, Verdict::HeldBack(_)))
}

#[test]
fn a_content_is_held_back_after_three_crashes_and_others_are_not() {
    let suspects = with_crashes(CRASHES_MAX);

    assert!(is_held_back(&suspects, at(2_000), 0));
    assert!(!is_held_back(&suspects, at(2_000), 1));
    assert!(!is_held_back(&with_crashes(CRASHES_MAX - 1), at(2_000), 0));
}

#[test]
fn a_crash_counts_once_whichever_host_saw_it() {
    let mut suspects = with_crashes(1);
    let mut other = with_crashes(1);
    for ms in 0..5 {
        suspects.record_crash(at(ms), content(0), &upstream(0));
        suspects.merge(at(ms), &other.announce(at(ms)));
    }

    let assessment = suspects.assess(at(9), content(0)).unwrap();

    assert_eq!(assessment.crashes, 1);
}

#[test]
fn hosts_that_saw_one_crash_each_hold_back_together_in_any_order() {
    let announced: Vec<AnnouncedSuspect> = (0..CRASHES_MAX)
        .flat_map(|number| {
            let mut observer = Suspects::default();
            observer.record_crash(at(0), content(0), &upstream(number));
            observer.announce(at(1))
        })
        .collect();
    for order in [[0, 1, 2], [2, 1, 0], [1, 2, 0]] {
        let mut suspects = Suspects::default();
        for index in order {
            suspects.merge(at(2), &announced[index..=index]);
        }
        assert!(is_held_back(&suspects, at(3), 0), "{order:?}");
    }
}

#[test]
fn each_further_crash_lengthens_the_hold_up_to_a_bound() {
    let mut suspects = with_crashes(CRASHES_MAX);
    let mut now = at(2_000);
    let mut held_back_s = Vec::new();

    for number in CRASHES_MAX..12 {
        let assessment = suspects.assess(now, content(0)).unwrap();
        let Verdict::HeldBack(left) = assessment.verdict else {
            panic!("{assessment:?}");
        };
        held_back_s.push(left.as_secs());
        now = now + left;
        let after = suspects.assess(now, content(0)).unwrap();
        assert_eq!(after.verdict, Verdict::Trial);
        suspects.record_crash(now, content(0), &upstream(number));
    }

    assert_eq!(held_back_s[..5], [15, 120, 960, 7_680, 21_600]);
    assert!(
        held_back_s
            .iter()
            .all(|seconds| *seconds <= HELD_BACK_MAX.as_secs())
    );
}

#[test]
fn one_request_at_a_time_is_a_trial() {
    let mut suspects = with_crashes(CRASHES_MAX);
    let due = at(2_000) + HELD_BACK_MIN;

    let first = suspects.begin_trial(due, content(0));
    let second = suspects.begin_trial(due, content(0));
    let later = suspects.begin_trial(due + TRIAL_TIMEOUT, content(0));

    assert_eq!((first, second, later), (true, false, true));
    assert!(!suspects.begin_trial(due, content(1)));
}

#[test]
fn an_answer_clears_a_content_here_and_at_peers() {
    let mut suspects = with_crashes(CRASHES_MAX);
    let mut other = with_crashes(CRASHES_MAX);

    suspects.record_answer(at(5_000), content(0));
    let announced = suspects.announce(at(5_001));
    other.merge(at(5_002), &announced);
    // A host that doesn't know of the answer yet still announces the earlier crashes.
    suspects.merge(at(5_003), &with_crashes(CRASHES_MAX).announce(at(5_003)));

    assert!(!is_held_back(&suspects, at(5_004), 0));
    assert!(!is_held_back(&other, at(5_004), 0));
}

#[test]
fn an_upstream_that_answers_a_later_request_has_not_crashed() {
    let mut suspects = with_crashes(CRASHES_MAX);

    suspects.record_alive(at(1_500), &upstream(1));
    suspects.merge(at(2_500), &with_crashes(CRASHES_MAX).announce(at(2_500)));

    assert_eq!(suspects.assess(at(3_000), content(0)).unwrap().crashes, 2);
}

#[test]
fn an_answer_to_an_earlier_request_proves_nothing() {
    let mut suspects = with_crashes(CRASHES_MAX);

    suspects.record_alive(at(900), &upstream(1));

    assert!(is_held_back(&suspects, at(3_000), 0));
}

#[test]
fn an_upstream_that_stays_listed_has_not_crashed() {
    let mut suspects = with_crashes(CRASHES_MAX);
    let listed = HashSet::from([upstream(2).key()]);
    let lapsed = at(2_001) + STALE_LISTING_MAX;

    suspects.check_listed(at(2_000), &ListedUpstreams::Fresh(listed.clone()));
    suspects.check_listed(lapsed, &ListedUpstreams::Fresh(listed));

    assert_eq!(suspects.assess(lapsed, content(0)).unwrap().crashes, 2);
}

#[test]
fn a_stale_listing_clears_no_crash() {
    let mut suspects = with_crashes(CRASHES_MAX);
    let listed = || ListedUpstreams::Fresh(HashSet::from([upstream(2).key()]));
    let lapsed = at(2_001) + STALE_LISTING_MAX;

    suspects.check_listed(at(2_000), &listed());
    suspects.check_listed(at(4_000), &ListedUpstreams::Unknown);
    suspects.check_listed(lapsed, &listed());

    assert!(is_held_back(&suspects, lapsed, 0));
}

#[test]
fn changes_are_announced_several_times_and_the_rest_in_rotation() {
    let mut suspects = Suspects::default();
    for number in 0..40 {
        suspects.record_crash(at(0), content(number), &upstream(0));
    }
    let mut announced = HashSet::new();
    let mut announcements = 0;

    for round in 0..400 {
        let datagram = suspects.announce(at(250 * round));
        announcements += datagram.len();
        announced.extend(datagram.iter().map(|suspect| suspect.fingerprint));
        assert!(datagram.len() <= CHANGES_MAX + 4);
    }

    assert_eq!(announced.len(), 40);
    assert!(
        announcements >= 40 * usize::from(OWN_ANNOUNCEMENTS),
        "{announcements}"
    );
    assert!(
        announcements <= 40 * usize::from(OWN_ANNOUNCEMENTS) + 400,
        "{announcements}"
    );
}

#[test]
fn single_crashes_evict_no_held_back_content() {
    let mut suspects = with_crashes(CRASHES_MAX);
    for number in 1..2 * SUSPECTS_MAX {
        let now = at(3_000 + number as u64);
        suspects.record_crash(now, content(number), &upstream(number));
    }

    let (held_back, known) = suspects.count(at(4_000));

    assert_eq!((held_back, known), (1, SUSPECTS_MAX));
}

#[test]
fn old_evidence_expires() {
    let mut suspects = with_crashes(1);

    suspects.expire(at(0) + EVIDENCE_TTL);

    assert_eq!(suspects.count(at(0) + EVIDENCE_TTL), (0, 0));
}

#[test]
fn ages_beyond_the_hosts_uptime_are_clamped_to_its_start() {
    let mut suspects = Suspects::default();
    let announced = AnnouncedSuspect {
        fingerprint: content(0),
        kind: SuspectKind::Content,
        crashes: vec![(upstream(0).key(), u32::MAX); 300],
        answered_ms_ago: Some(u32::MAX),
    };

    suspects.merge(at(0), &[announced]);

    assert_eq!(suspects.assess(at(0), content(0)).unwrap().crashes, 1);
}

#[test]
fn a_crash_that_is_confirmed_late_is_told_once_to_all_hosts() {
    let mut suspects = Suspects::default();
    let earlier = suspects.take_observed(at(1_000));

    suspects.record_crash(at(900), content(0), &upstream(0));

    assert_eq!(earlier, []);
    assert_eq!(suspects.take_observed(at(1_010)).len(), 1);
    assert_eq!(suspects.take_observed(at(1_020)), []);
}
