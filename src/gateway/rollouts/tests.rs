mod model;

use std::collections::BTreeSet;
use std::time::Duration;

use super::ExposureBound;
use super::RolloutOrder;
use super::RolloutRecord;
use super::Rollouts;
use super::Stage;
use super::Track;
use super::TrialBudget;
use crate::clock::Time;
use crate::gateway::position::Era;
use crate::gateway::position::Position;
use crate::id::ServiceId;
use crate::id::VersionId;

fn service() -> ServiceId {
    ServiceId::new("reports")
}

fn at(offset: u64) -> Position {
    Position::new(Era::new(1), offset)
}

fn order(to: &str) -> RolloutRecord {
    RolloutRecord {
        service: service(),
        order: Some(RolloutOrder {
            to: VersionId::new(to),
            duration: Duration::from_secs(20),
        }),
        flaw: None,
    }
}

/// What a host knows that has run for a minute and reads these orders, a second apart.
fn ordered(versions: &[&str]) -> Rollouts {
    let mut rollouts = Rollouts::default();
    for (index, version) in versions.iter().enumerate() {
        let now = Time::from_ms(60_000 + 1_000 * index as u64);
        rollouts.apply_record(now, &order(version), at(index as u64), true);
    }
    rollouts
}

fn allowed(rollouts: &Rollouts, track: Track) -> Vec<&'static str> {
    let rollout = rollouts.get(&service()).unwrap();
    let versions = ["v1", "v2", "v3"].into_iter();
    versions
        .filter(|version| rollout.allows(&VersionId::new(*version), track))
        .collect()
}

fn share(hosts: usize) -> TrialBudget {
    TrialBudget {
        bound: ExposureBound::default(),
        hosts,
    }
}

/// How many of `requests` at one host go to the version that is tried.
fn tried(rollouts: &mut Rollouts, requests: usize, share: TrialBudget) -> usize {
    let now = Time::from_ms(62_000);
    let tracks = (0..requests).map(|_| rollouts.assign_track(now, &service(), share, 0.5));
    tracks.filter(|track| *track == Track::Trial).count()
}

#[test]
fn a_version_that_is_tried_gets_half_of_what_a_bad_one_may() {
    let mut rollouts = ordered(&["v2"]);

    assert_eq!(tried(&mut rollouts, 1_000, share(25)), 51);
}

// A process that starts, again and again, would else give the version the slack anew each time.
#[test]
fn a_process_that_started_after_the_order_leaves_the_slack_to_others() {
    let told = ordered(&["v2"]).announce(Time::from_ms(65_000));
    let mut rollouts = Rollouts::default();
    rollouts.receive(Time::from_ms(10), &told);

    let now = Time::from_ms(500);
    let tracks = (0..10).map(|_| rollouts.assign_track(now, &service(), share(1), 0.4));
    let tried = tracks.filter(|track| *track == Track::Trial).count();

    assert_eq!(tried, 0);
}

#[test]
fn a_bad_version_gets_nothing_and_a_good_one_all() {
    let stages = [
        (Stage::Trial, Track::Stable, vec!["v1", "v3"]),
        (Stage::Trial, Track::Trial, vec!["v2"]),
        (Stage::Shift, Track::Stable, vec!["v2"]),
        (Stage::Reverting, Track::Trial, vec!["v1", "v3"]),
        (Stage::Reverted, Track::Stable, vec!["v1", "v3"]),
        (Stage::Complete, Track::Stable, vec!["v2"]),
    ];
    for (stage, track, expected) in stages {
        let mut rollouts = ordered(&["v2"]);
        rollouts.advance(Time::from_ms(61_000), &service(), at(0), stage);

        assert_eq!(allowed(&rollouts, track), expected, "{stage:?}");
    }
}

// The version of an order that a later one replaced was never shown to be good.
#[test]
fn a_second_order_leaves_the_first_ones_version_without_work() {
    let rollouts = ordered(&["v2", "v3"]);

    assert_eq!(allowed(&rollouts, Track::Stable), ["v1"]);
    assert_eq!(allowed(&rollouts, Track::Trial), ["v3"]);
}

#[test]
fn an_order_back_gives_the_version_before_its_work_again() {
    let rollouts = ordered(&["v2", "v1"]);

    assert_eq!(allowed(&rollouts, Track::Trial), ["v1"]);
    assert_eq!(allowed(&rollouts, Track::Stable), ["v3"]);
}

#[test]
fn stages_only_rise_in_whatever_order_words_arrive() {
    let now = Time::from_ms(61_000);
    let mut ahead = ordered(&["v2"]);
    ahead.advance(now, &service(), at(0), Stage::Reverted);
    let behind = ordered(&["v2"]).announce(now);

    let changes = ahead.receive(now, &behind);

    assert_eq!(changes, []);
    assert_eq!(ahead.get(&service()).unwrap().stage(), Stage::Reverted);
}

#[test]
fn an_older_order_replaces_no_newer_one() {
    let now = Time::from_ms(62_000);
    let mut newer = ordered(&["v2", "v3"]);
    let older = ordered(&["v2"]).announce(now);

    let changes = newer.receive(now, &older);

    assert_eq!(changes, []);
    assert_eq!(newer.get(&service()).unwrap().to().as_str(), "v3");
}

#[test]
fn an_order_that_is_taken_back_leaves_its_version_without_work() {
    let mut rollouts = ordered(&["v2"]);
    let taken_back = RolloutRecord {
        order: None,
        ..order("v2")
    };

    rollouts.apply_record(Time::from_ms(63_000), &taken_back, at(9), true);
    rollouts.apply_record(Time::from_ms(64_000), &order("v3"), at(10), true);

    let barred = &rollouts.announce(Time::from_ms(64_000))[0].barred;
    assert_eq!(*barred, BTreeSet::from([VersionId::new("v2")]));
}
