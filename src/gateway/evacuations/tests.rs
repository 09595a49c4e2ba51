use std::collections::BTreeSet;

use super::EvacuationRecord;
use super::Evacuations;
use super::KEPT_FOR;
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

/// Evacuations as of the tenth position of the first history.
fn evacuations(names: &[&str]) -> Evacuations {
    let mut evacuations = Evacuations::default();
    evacuations.replace(Time::ZERO, set(names), at(1, 10));
    evacuations
}

#[test]
fn nothing_known_is_not_the_same_as_nothing_evacuated() {
    let unknown = Evacuations::default();

    assert!(!unknown.is_known());
    assert!(evacuations(&[]).is_known());
}

#[test]
fn an_earlier_word_changes_nothing_in_whatever_order_words_come() {
    let mut evacuations = evacuations(&["north"]);
    let earlier = evacuations.announce(Time::ZERO);

    let changes = evacuations.apply(&[record("north", false), record("south", true)], at(1, 12));
    let repeated = evacuations.apply(&[record("north", true)], at(1, 11));
    let heard = evacuations.merge(Time::ZERO, &earlier);

    assert_eq!((changes.len(), repeated.len(), heard.len()), (2, 0, 0));
    assert_eq!(evacuations.all(), set(&["south"]));
}

#[test]
fn what_a_later_history_lacks_is_kept_until_it_had_time_to_be_written_again() {
    let mut evacuations = evacuations(&["north"]);

    evacuations.replace(Time::ZERO, set(&[]), at(2, 4));
    let soon = evacuations.expire(Time::ZERO + KEPT_FOR / 2);
    let late = evacuations.expire(Time::ZERO + KEPT_FOR);

    assert_eq!((soon.len(), late.len()), (0, 1));
    assert!(evacuations.all().is_empty());
}

#[test]
fn a_record_of_the_later_history_ends_what_was_kept_also_for_those_who_only_hear_of_it() {
    let mut reader = evacuations(&["north"]);
    let mut listener = evacuations(&["north"]);
    reader.replace(Time::ZERO, set(&[]), at(2, 4));
    listener.merge(Time::ZERO, &reader.announce(Time::ZERO));
    let before = listener.all();

    reader.apply(&[record("north", false)], at(2, 5));
    listener.merge(Time::ZERO, &reader.announce(Time::ZERO));

    assert_eq!(before, set(&["north"]));
    assert!(listener.all().is_empty());
}

#[test]
fn a_host_that_joins_after_the_return_learns_what_others_keep_and_no_one_prolongs_it() {
    let mut known = evacuations(&["north"]);
    let mut joined = Evacuations::default();
    known.replace(Time::ZERO, set(&[]), at(2, 4));
    joined.replace(Time::ZERO, set(&[]), at(2, 4));

    let halfway = Time::ZERO + KEPT_FOR / 2;
    joined.merge(halfway, &known.announce(halfway));
    known.merge(halfway, &joined.announce(halfway));
    let kept = joined.all();
    let late = Time::ZERO + KEPT_FOR;
    known.expire(late);
    joined.expire(late);

    assert_eq!(kept, set(&["north"]));
    assert!(known.all().is_empty() && joined.all().is_empty());
}
