//! Instances of one upstream that start one after the other under its id.

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

/// An entry of the instance of `id` that started at `born_ms`.
fn born(id: &str, born_ms: u64, state: UpstreamState) -> Upstream {
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

// An upstream that had been seen leaving started again under its id. Keyed by the id alone, what
// had been seen kept work from it for 120 s.
#[test]
fn an_upstream_that_was_seen_leaving_takes_work_when_it_has_started_again() {
    let mut directory = Directory::default();
    apply(&mut directory, born("a", 5, UpstreamState::Ready), 1);
    directory.observe_leaving(Time::ZERO, &born("a", 5, UpstreamState::Ready).id);
    let before = ready_ids(&directory);

    let change = apply(&mut directory, born("a", 9, UpstreamState::Ready), 2);

    assert!(before.is_empty());
    assert_eq!(change, Some(DirectoryChange::Restarted));
    assert_eq!(ready_ids(&directory), ["a"]);
}

// A write that got no answer may be carried out seconds later: the entry of an instance that ended
// can follow that of the one after it, and may say that it is leaving.
#[test]
fn a_late_entry_of_an_earlier_instance_changes_nothing() {
    let mut directory = Directory::default();
    apply(&mut directory, born("a", 9, UpstreamState::Ready), 1);

    let change = apply(&mut directory, born("a", 5, UpstreamState::Leaving), 2);

    assert_eq!(change, None);
    assert_eq!(ready_ids(&directory), ["a"]);
}

#[test]
fn an_earlier_instance_is_not_listed_again_after_the_removal_of_a_later_one() {
    let mut directory = Directory::default();
    apply(&mut directory, born("a", 9, UpstreamState::Ready), 1);
    directory.apply(Time::ZERO, &UpstreamId::new("a"), None, 2);

    let change = apply(&mut directory, born("a", 5, UpstreamState::Ready), 3);

    assert_eq!(change, None);
    assert!(directory.is_empty());
}

#[test]
fn what_is_seen_of_an_earlier_instance_is_not_held_against_a_later_one() {
    let mut directory = Directory::default();
    apply(&mut directory, born("a", 9, UpstreamState::Ready), 1);

    directory.observe_leaving(Time::ZERO, &born("a", 5, UpstreamState::Ready).id);

    assert_eq!(ready_ids(&directory), ["a"]);
}

#[test]
fn nothing_is_moved_off_an_instance_once_a_later_one_is_listed() {
    let mut directory = Directory::default();
    let earlier = born("a", 5, UpstreamState::Leaving);
    apply(&mut directory, earlier.clone(), 1);
    let before = directory.leaving_since(&earlier.id);

    let later = born("a", 9, UpstreamState::Ready);
    apply(&mut directory, later.clone(), 2);

    assert!(before.is_some());
    assert_eq!(directory.leaving_since(&earlier.id), None);
    assert_eq!(directory.leaving_since(&later.id), None);
}

#[test]
fn the_instance_before_is_told_to_have_ended() {
    let mut directory = Directory::default();
    let earlier = born("a", 5, UpstreamState::Ready);
    apply(&mut directory, earlier.clone(), 1);

    let later = born("a", 9, UpstreamState::Ready);
    let applied = directory.apply(Time::ZERO, &UpstreamId::new("a"), Some(later), 2);

    assert_eq!(applied.unwrap().ended, Some(earlier.id));
}

#[test]
fn an_entry_without_a_start_is_about_the_instance_that_is_known() {
    let mut directory = Directory::default();
    apply(&mut directory, born("a", 9, UpstreamState::Ready), 1);

    let change = apply(&mut directory, upstream("a", UpstreamState::Leaving), 2);

    assert_eq!(change, Some(DirectoryChange::Leaving));
    assert!(
        directory
            .leaving_since(&born("a", 9, UpstreamState::Ready).id)
            .is_some()
    );
}

#[test]
fn a_notice_that_a_peer_tells_of_an_earlier_instance_is_not_taken() {
    let mut directory = Directory::default();
    apply(&mut directory, born("a", 9, UpstreamState::Ready), 1);
    let earlier = born("a", 5, UpstreamState::Ready).id;

    let taken = directory.apply_change(
        Time::ZERO,
        &Change {
            position: 7.into(),
            kind: ChangeKind::Leaving(earlier),
        },
    );

    assert_eq!(taken, None);
    assert_eq!(ready_ids(&directory), ["a"]);
}

/// ChangeKind of one upstream reaches hosts in any order and more than once.
#[test]
fn hosts_list_the_same_whatever_order_they_hear_records_in() {
    fn lists_the_same(starts: Vec<u8>, order: Vec<usize>) -> bool {
        let records: Vec<Upstream> = starts
            .iter()
            .map(|start| born("a", u64::from(start % 4), UpstreamState::Ready))
            .collect();
        let last_born_ms = 9;
        let last = born("a", last_born_ms, UpstreamState::Ready);
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
    quickcheck::quickcheck(lists_the_same as fn(Vec<u8>, Vec<usize>) -> bool);
}
