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

fn position(offset: u64) -> Position {
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

/// The state of a host that has run for a minute and reads these orders, one second apart.
fn with_orders(versions: &[&str]) -> Rollouts {
    let mut rollouts = Rollouts::default();
    for (index, version) in versions.iter().enumerate() {
        let now = Time::from_ms(60_000 + 1_000 * index as u64);
        rollouts.apply_record(now, &order(version), position(index as u64), true);
    }
    rollouts
}

fn allowed_versions(rollouts: &Rollouts, track: Track) -> Vec<&'static str> {
    let rollout = rollouts.get(&service()).unwrap();
    let versions = ["v1", "v2", "v3"].into_iter();
    versions
        .filter(|version| rollout.allows(&VersionId::new(*version), track))
        .collect()
}

fn budget(hosts: usize) -> TrialBudget {
    TrialBudget {
        bound: ExposureBound::default(),
        hosts,
    }
}

/// Number of `requests` at one host that go to the version on trial.
fn count_trials(rollouts: &mut Rollouts, requests: usize, budget: TrialBudget) -> usize {
    let now = Time::from_ms(62_000);
    let tracks = (0..requests).map(|_| rollouts.assign_track(now, &service(), budget, 0.5));
    tracks.filter(|track| *track == Track::Trial).count()
}

#[test]
fn a_trial_uses_half_of_the_exposure_bound() {
    let mut rollouts = with_orders(&["v2"]);

    assert_eq!(count_trials(&mut rollouts, 1_000, budget(25)), 51);
}

// Guards against a process that restarts repeatedly and gives the new version its part of the slack each
// time.
#[test]
fn a_process_started_after_the_order_gets_no_slack() {
    let announced = with_orders(&["v2"]).announce(Time::from_ms(65_000));
    let mut rollouts = Rollouts::default();
    rollouts.receive(Time::from_ms(10), &announced);

    let now = Time::from_ms(500);
    let tracks = (0..10).map(|_| rollouts.assign_track(now, &service(), budget(1), 0.4));
    let trials = tracks.filter(|track| *track == Track::Trial).count();

    assert_eq!(trials, 0);
}

#[test]
fn each_stage_allows_the_expected_versions() {
    let stages = [
        (Stage::Trial, Track::Stable, vec!["v1", "v3"]),
        (Stage::Trial, Track::Trial, vec!["v2"]),
        (Stage::Shift, Track::Stable, vec!["v2"]),
        (Stage::Reverting, Track::Trial, vec!["v1", "v3"]),
        (Stage::Reverted, Track::Stable, vec!["v1", "v3"]),
        (Stage::Complete, Track::Stable, vec!["v2"]),
    ];
    for (stage, track, expected) in stages {
        let mut rollouts = with_orders(&["v2"]);
        rollouts.advance(Time::from_ms(61_000), &service(), position(0), stage);

        assert_eq!(allowed_versions(&rollouts, track), expected, "{stage:?}");
    }
}

// The version of an order that was replaced has never proved good.
#[test]
fn a_replaced_order_bars_its_version() {
    let rollouts = with_orders(&["v2", "v3"]);

    assert_eq!(allowed_versions(&rollouts, Track::Stable), ["v1"]);
    assert_eq!(allowed_versions(&rollouts, Track::Trial), ["v3"]);
}

#[test]
fn an_order_back_to_the_old_version_bars_the_new_one() {
    let rollouts = with_orders(&["v2", "v1"]);

    assert_eq!(allowed_versions(&rollouts, Track::Trial), ["v1"]);
    assert_eq!(allowed_versions(&rollouts, Track::Stable), ["v3"]);
}

#[test]
fn a_stale_announcement_does_not_move_the_stage_back() {
    let now = Time::from_ms(61_000);
    let mut ahead = with_orders(&["v2"]);
    ahead.advance(now, &service(), position(0), Stage::Reverted);
    let stale = with_orders(&["v2"]).announce(now);

    let changes = ahead.receive(now, &stale);

    assert_eq!(changes, []);
    assert_eq!(ahead.get(&service()).unwrap().stage(), Stage::Reverted);
}

#[test]
fn an_older_order_does_not_replace_a_newer_one() {
    let now = Time::from_ms(62_000);
    let mut newer = with_orders(&["v2", "v3"]);
    let older = with_orders(&["v2"]).announce(now);

    let changes = newer.receive(now, &older);

    assert_eq!(changes, []);
    assert_eq!(newer.get(&service()).unwrap().to().as_str(), "v3");
}

#[test]
fn a_withdrawn_order_bars_its_version() {
    let mut rollouts = with_orders(&["v2"]);
    let withdrawn = RolloutRecord {
        order: None,
        ..order("v2")
    };

    rollouts.apply_record(Time::from_ms(63_000), &withdrawn, position(9), true);
    rollouts.apply_record(Time::from_ms(64_000), &order("v3"), position(10), true);

    let barred = &rollouts.announce(Time::from_ms(64_000))[0].barred;
    assert_eq!(*barred, BTreeSet::from([VersionId::new("v2")]));
}
