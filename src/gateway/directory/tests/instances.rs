//! Tests of successive instances of one upstream with the same id.

use super::ready_ids;
use super::upstream;
use crate::clock::Time;
use crate::gateway::directory::Change;
use crate::gateway::directory::ChangeKind;
use crate::gateway::directory::Directory;
use crate::gateway::directory::DirectoryChange;
use crate::gateway::directory::Upstream;
use crate::gateway::directory::UpstreamState;
use crate::gateway::instance::InstanceId;
use crate::id::UpstreamId;

/// The entry of the instance of `id` that started at `born_ms`.
fn started_at(id: &str, born_ms: u64, state: UpstreamState) -> Upstream {
    Upstream {
        id: InstanceId::new(UpstreamId::new(id), Some(born_ms)),
        ..upstream(id, state)
    }
}

fn apply(directory: &mut Directory, upstream: Upstream, offset: u64) -> Option<DirectoryChange> {
    let name = upstream.id.upstream().clone();
    let applied = directory.apply(Time::ZERO, &name, Some(upstream), offset);
    applied.map(|applied| applied.change)
}

// Observations are keyed by instance. Keyed by upstream id alone, the observed departure of an instance kept
// work from its successor for 120 s.
#[test]
fn a_restarted_upstream_takes_work_after_it_was_observed_leaving() {
    let mut directory = Directory::default();
    apply(&mut directory, started_at("a", 5, UpstreamState::Ready), 1);
    directory.observe_leaving(Time::ZERO, &started_at("a", 5, UpstreamState::Ready).id);
    let before = ready_ids(&directory);

    let change = apply(&mut directory, started_at("a", 9, UpstreamState::Ready), 2);

    assert!(before.is_empty());
    assert_eq!(change, Some(DirectoryChange::Restarted));
    assert_eq!(ready_ids(&directory), ["a"]);
}

// A write without an answer may take effect seconds later. The entry of an ended instance, possibly a leaving
// one, can therefore follow the entry of its successor.
#[test]
fn a_late_entry_of_an_earlier_instance_is_ignored() {
    let mut directory = Directory::default();
    apply(&mut directory, started_at("a", 9, UpstreamState::Ready), 1);

    let change = apply(
        &mut directory,
        started_at("a", 5, UpstreamState::Leaving),
        2,
    );

    assert_eq!(change, None);
    assert_eq!(ready_ids(&directory), ["a"]);
}

#[test]
fn an_earlier_instance_is_not_listed_after_a_later_one_was_removed() {
    let mut directory = Directory::default();
    apply(&mut directory, started_at("a", 9, UpstreamState::Ready), 1);
    directory.apply(Time::ZERO, &UpstreamId::new("a"), None, 2);

    let change = apply(&mut directory, started_at("a", 5, UpstreamState::Ready), 3);

    assert_eq!(change, None);
    assert!(directory.is_empty());
}

#[test]
fn an_observation_of_an_earlier_instance_does_not_affect_a_later_one() {
    let mut directory = Directory::default();
    apply(&mut directory, started_at("a", 9, UpstreamState::Ready), 1);

    directory.observe_leaving(Time::ZERO, &started_at("a", 5, UpstreamState::Ready).id);

    assert_eq!(ready_ids(&directory), ["a"]);
}

#[test]
fn an_instance_is_not_leaving_once_a_later_one_is_listed() {
    let mut directory = Directory::default();
    let earlier = started_at("a", 5, UpstreamState::Leaving);
    apply(&mut directory, earlier.clone(), 1);
    let before = directory.leaving_since(&earlier.id);

    let later = started_at("a", 9, UpstreamState::Ready);
    apply(&mut directory, later.clone(), 2);

    assert!(before.is_some());
    assert_eq!(directory.leaving_since(&earlier.id), None);
    assert_eq!(directory.leaving_since(&later.id), None);
}

#[test]
fn a_replaced_instance_is_reported_as_ended() {
    let mut directory = Directory::default();
    let earlier = started_at("a", 5, UpstreamState::Ready);
    apply(&mut directory, earlier.clone(), 1);

    let later = started_at("a", 9, UpstreamState::Ready);
    let applied = directory.apply(Time::ZERO, &UpstreamId::new("a"), Some(later), 2);

    assert_eq!(applied.unwrap().ended, Some(earlier.id));
}

#[test]
fn an_entry_without_a_start_time_refers_to_the_known_instance() {
    let mut directory = Directory::default();
    apply(&mut directory, started_at("a", 9, UpstreamState::Ready), 1);

    let change = apply(&mut directory, upstream("a", UpstreamState::Leaving), 2);

    assert_eq!(change, Some(DirectoryChange::Leaving));
    assert!(
        directory
            .leaving_since(&started_at("a", 9, UpstreamState::Ready).id)
            .is_some()
    );
}

#[test]
fn an_announced_departure_of_an_earlier_instance_is_ignored() {
    let mut directory = Directory::default();
    apply(&mut directory, started_at("a", 9, UpstreamState::Ready), 1);
    let earlier = started_at("a", 5, UpstreamState::Ready).id;

    let applied = directory.apply_change(
        Time::ZERO,
        &Change {
            position: 7.into(),
            kind: ChangeKind::Leaving(earlier, 0),
        },
    );

    assert_eq!(applied, None);
    assert_eq!(ready_ids(&directory), ["a"]);
}

// Changes of one upstream reach hosts in any order and more than once.
#[test]
fn the_listing_does_not_depend_on_the_order_of_records() {
    fn same_listing(starts: Vec<u8>, order: Vec<usize>) -> bool {
        let records: Vec<Upstream> = starts
            .iter()
            .map(|start| started_at("a", u64::from(start % 4), UpstreamState::Ready))
            .collect();
        let last_born_ms = 9;
        let last = started_at("a", last_born_ms, UpstreamState::Ready);
        let mut in_order = Directory::default();
        for (offset, record) in records.iter().enumerate() {
            apply(&mut in_order, record.clone(), offset as u64);
        }
        let mut out_of_order = Directory::default();
        for index in order {
            if let Some(record) = records.get(index % records.len().max(1)) {
                let offset = (index % records.len().max(1)) as u64;
                apply(&mut out_of_order, record.clone(), offset);
            }
        }
        for directory in [&mut in_order, &mut out_of_order] {
            apply(directory, last.clone(), records.len() as u64);
        }
        in_order.digest() == out_of_order.digest() && in_order.list_all() == out_of_order.list_all()
    }
    quickcheck::quickcheck(same_listing as fn(Vec<u8>, Vec<usize>) -> bool);
}
