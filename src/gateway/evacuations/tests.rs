use std::collections::BTreeSet;

use super::EvacuationRecord;
use super::Evacuations;
use super::RETENTION;
use crate::clock::Time;
use crate::gateway::position::Era;
use crate::gateway::position::Position;
use crate::id::DataCentre;

fn at(era: u64, offset: u64) -> Position {
    Position::new(Era::new(era), offset)
}

fn set(names: &[&str]) -> BTreeSet<DataCentre> {
    names.iter().copied().map(DataCentre::new).collect()
}

fn record(name: &str, is_evacuated: bool) -> EvacuationRecord {
    EvacuationRecord {
        data_centre: DataCentre::new(name),
        is_evacuated,
        flaw: None,
    }
}

/// Evacuations as of offset 10 of the first era.
fn evacuations(names: &[&str]) -> Evacuations {
    let mut evacuations = Evacuations::default();
    evacuations.replace(Time::ZERO, set(names), at(1, 10));
    evacuations
}

#[test]
fn unknown_differs_from_nothing_evacuated() {
    let unknown = Evacuations::default();

    assert!(!unknown.is_known());
    assert!(evacuations(&[]).is_known());
}

#[test]
fn earlier_positions_change_nothing_in_any_order() {
    let mut evacuations = evacuations(&["north"]);
    let earlier = evacuations.announce(Time::ZERO);

    let changes = evacuations.apply(
        Time::ZERO,
        &[record("north", false), record("south", true)],
        at(1, 12),
    );
    let repeated = evacuations.apply(Time::ZERO, &[record("north", true)], at(1, 11));
    let merged = evacuations.merge(Time::ZERO, &earlier);

    assert_eq!((changes.len(), repeated.len(), merged.len()), (2, 0, 0));
    assert_eq!(evacuations.all(), set(&["south"]));
}

#[test]
fn evacuations_missing_from_a_later_era_are_retained_for_a_while() {
    let mut evacuations = evacuations(&["north"]);

    evacuations.replace(Time::ZERO, set(&[]), at(2, 4));
    let soon = evacuations.expire(Time::ZERO + RETENTION / 2);
    let late = evacuations.expire(Time::ZERO + RETENTION);

    assert_eq!((soon.len(), late.len()), (0, 1));
    assert!(evacuations.all().is_empty());
}

// Guards against retention ending as soon as the restored log is read a second time.
#[test]
fn a_second_read_of_a_later_era_retains_what_it_lacks() {
    let mut evacuations = evacuations(&["north"]);
    evacuations.replace(Time::ZERO, set(&[]), at(2, 4));

    let reread = evacuations.replace(Time::ZERO, set(&[]), at(2, 5));
    let soon = evacuations.all();
    let late = evacuations.expire(Time::ZERO + RETENTION);

    assert_eq!((reread.len(), late.len()), (0, 1));
    assert_eq!(soon, set(&["north"]));
}

// Guards against retention ending as soon as a peer announces a later position of the restored log, when
// that peer never knew the evacuation.
#[test]
fn a_peers_later_position_retains_what_the_later_era_lacks() {
    let mut evacuations = evacuations(&["north"]);
    let mut unaware = Evacuations::default();
    evacuations.replace(Time::ZERO, set(&[]), at(2, 4));
    unaware.replace(Time::ZERO, set(&[]), at(2, 5));

    let changes = evacuations.merge(Time::ZERO, &unaware.announce(Time::ZERO));

    assert_eq!(changes.len(), 0);
    assert_eq!(evacuations.all(), set(&["north"]));
}

#[test]
fn a_record_of_the_later_era_ends_retention_for_peers_too() {
    let mut reader = evacuations(&["north"]);
    let mut peer = evacuations(&["north"]);
    reader.replace(Time::ZERO, set(&[]), at(2, 4));
    peer.merge(Time::ZERO, &reader.announce(Time::ZERO));
    let before = peer.all();

    reader.apply(Time::ZERO, &[record("north", false)], at(2, 5));
    peer.merge(Time::ZERO, &reader.announce(Time::ZERO));

    assert_eq!(before, set(&["north"]));
    assert!(peer.all().is_empty());
}

#[test]
fn a_joining_host_learns_retained_evacuations_without_extending_them() {
    let mut known = evacuations(&["north"]);
    let mut joined = Evacuations::default();
    known.replace(Time::ZERO, set(&[]), at(2, 4));
    joined.replace(Time::ZERO, set(&[]), at(2, 4));

    let halfway = Time::ZERO + RETENTION / 2;
    joined.merge(halfway, &known.announce(halfway));
    known.merge(halfway, &joined.announce(halfway));
    let retained = joined.all();
    let late = Time::ZERO + RETENTION;
    known.expire(late);
    joined.expire(late);

    assert_eq!(retained, set(&["north"]));
    assert!(known.all().is_empty() && joined.all().is_empty());
}
