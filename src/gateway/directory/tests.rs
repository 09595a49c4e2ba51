mod missing;

use super::Applied;
use super::Change;
use super::Directory;
use super::DirectoryChange;
use super::News;
use super::RETURN_GRACE;
use super::Upstream;
use super::UpstreamState;
use crate::clock::Time;
use crate::gateway::instance::InstanceId;
use crate::gateway::position::Era;
use crate::gateway::position::Position;
use crate::id::DataCentre;
use crate::id::ServiceId;
use crate::id::UpstreamId;

fn instance(id: &str) -> InstanceId {
    InstanceId::from(UpstreamId::new(id))
}

fn upstream(id: &str, state: UpstreamState) -> Upstream {
    Upstream {
        id: instance(id),
        service: ServiceId::new("inspection"),
        address: "127.0.0.1:9000".parse().unwrap(),
        data_centre: DataCentre::new("north"),
        state,
        slots: 4,
        cold_left_ms: 0,
    }
}

fn ready(id: &str) -> Upstream {
    upstream(id, UpstreamState::Ready)
}

fn directory_of(ids: &[&str]) -> Directory {
    let mut directory = Directory::default();
    for (offset, id) in ids.iter().enumerate() {
        directory.apply(
            Time::ZERO,
            &UpstreamId::new(*id),
            Some(ready(id)),
            offset as u64,
        );
    }
    directory.advance(ids.len() as u64);
    directory
}

fn ready_ids(directory: &Directory) -> Vec<String> {
    let ready = directory.ready(&ServiceId::new("inspection"));
    ready.iter().map(|up| up.id.to_string()).collect()
}

#[test]
fn an_older_record_changes_nothing() {
    let mut directory = directory_of(&["a"]);
    let id = UpstreamId::new("a");
    directory.apply(
        Time::ZERO,
        &id,
        Some(upstream("a", UpstreamState::Leaving)),
        7,
    );

    let change = directory.apply(Time::ZERO, &id, Some(ready("a")), 5);

    assert_eq!(change, None);
    assert!(ready_ids(&directory).is_empty());
}

#[test]
fn a_removed_upstream_is_not_brought_back_by_an_older_list() {
    let mut directory = directory_of(&["a", "b"]);
    directory.apply(Time::ZERO, &UpstreamId::new("a"), None, 9);

    directory.replace(
        Time::ZERO,
        vec![(ready("a"), 0.into()), (ready("b"), 1.into())],
        2,
    );

    assert_eq!(ready_ids(&directory), ["b"]);
}

#[test]
fn a_removal_while_the_log_is_well_counts_at_once() {
    let mut directory = directory_of(&["a", "b"]);

    let change = directory.apply(Time::from_ms(5), &UpstreamId::new("a"), None, 9);

    assert_eq!(change.unwrap().change, DirectoryChange::Removed);
    assert_eq!(ready_ids(&directory), ["b"]);
}

#[test]
fn what_is_missing_after_an_outage_counts_as_gone_only_after_the_grace() {
    let mut directory = directory_of(&["a", "b"]);
    directory.log_lost();
    let back = Time::from_ms(10_000);
    directory.log_back(back);

    let change = directory.apply(back, &UpstreamId::new("a"), None, 9);
    let early = directory.lapse(back + RETURN_GRACE / 2);
    let ids_early = ready_ids(&directory);
    let late = directory.lapse(back + RETURN_GRACE);

    assert_eq!(change.unwrap().change, DirectoryChange::Missing);
    assert!(early.is_empty());
    assert_eq!(ids_early, ["a", "b"]);
    let late: Vec<InstanceId> = late.into_iter().map(|applied| applied.id).collect();
    assert_eq!(late, [instance("a")]);
    assert_eq!(ready_ids(&directory), ["b"]);
}

#[test]
fn an_entry_that_is_back_within_the_grace_stays() {
    let mut directory = directory_of(&["a"]);
    directory.log_lost();
    directory.log_back(Time::ZERO);
    directory.apply(Time::ZERO, &UpstreamId::new("a"), None, 9);

    directory.apply(
        Time::from_ms(900),
        &UpstreamId::new("a"),
        Some(ready("a")),
        10,
    );
    let gone = directory.lapse(Time::from_ms(5_000));

    assert!(gone.is_empty());
    assert_eq!(ready_ids(&directory), ["a"]);
}

#[test]
fn a_whole_list_removes_what_it_lacks() {
    let mut directory = directory_of(&["a", "b"]);

    let changes = directory.replace(
        Time::ZERO,
        vec![(ready("b"), 1.into()), (ready("c"), 5.into())],
        6,
    );

    assert_eq!(ready_ids(&directory), ["b", "c"]);
    let removed = |applied: &Applied| {
        applied.id == instance("a") && applied.change == DirectoryChange::Removed
    };
    assert!(changes.iter().any(removed));
    assert_eq!(directory.position(), Position::from(6));
}

#[test]
fn a_witness_goes_before_the_list() {
    let mut directory = directory_of(&["a"]);

    let news = directory.witness(Time::from_ms(3), &instance("a"));
    let again = directory.witness(Time::from_ms(4), &instance("a"));

    assert!(news && !again);
    assert!(ready_ids(&directory).is_empty());
    assert!(directory.leaving_since(&instance("a")).is_some());
}

#[test]
fn the_notice_is_kept_over_further_records() {
    let mut directory = directory_of(&["a"]);
    let id = UpstreamId::new("a");
    let leaving = upstream("a", UpstreamState::Leaving);
    directory.apply(Time::from_ms(100), &id, Some(leaving.clone()), 4);

    directory.apply(Time::from_ms(900), &id, Some(leaving), 6);

    assert_eq!(
        directory.leaving_since(&instance("a")),
        Some(Time::from_ms(100))
    );
}

#[test]
fn changes_told_to_a_peer_bring_it_to_the_same_digest() {
    let mut reader = directory_of(&["a", "b"]);
    let mut listener = directory_of(&["a", "b"]);
    reader.apply(Time::ZERO, &UpstreamId::new("c"), Some(ready("c")), 5);
    reader.apply(
        Time::ZERO,
        &UpstreamId::new("a"),
        Some(upstream("a", UpstreamState::Leaving)),
        6,
    );
    reader.apply(Time::ZERO, &UpstreamId::new("b"), None, 7);

    for change in reader.recent(Time::ZERO) {
        listener.take(Time::ZERO, &change);
    }

    assert_eq!(listener.digest(), reader.digest());
    assert_eq!(ready_ids(&listener), ["c"]);
}

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
    directory.witness(Time::ZERO, &born("a", 5, UpstreamState::Ready).id);
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

    directory.witness(Time::ZERO, &born("a", 5, UpstreamState::Ready).id);

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

    let taken = directory.take(
        Time::ZERO,
        &Change {
            position: 7.into(),
            news: News::Leaving(earlier),
        },
    );

    assert_eq!(taken, None);
    assert_eq!(ready_ids(&directory), ["a"]);
}

#[test]
fn a_foreign_record_is_news_once() {
    let mut directory = Directory::default();
    let id = UpstreamId::new("a");

    let news = [4, 4, 6].map(|offset| directory.note_foreign(&id, offset.into()));

    assert_eq!(news, [true, false, true]);
}

/// News of one upstream reaches hosts in any order and more than once.
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

// A host that had missed one change fetched the whole list of 141 upstreams: 62 MB in the first 14 s of
// 295 hosts, most of the bytes between data centres.
#[test]
fn what_changed_since_brings_a_host_up_to_date() {
    let mut reader = directory_of(&["a", "b", "c"]);
    let mut listener = directory_of(&["a", "b", "c"]);
    let known = listener.position();
    reader.apply(Time::ZERO, &UpstreamId::new("d"), Some(ready("d")), known);
    let leaving = upstream("a", UpstreamState::Leaving);
    reader.apply(
        Time::ZERO,
        &UpstreamId::new("a"),
        Some(leaving),
        known.offset + 1,
    );
    reader.apply(Time::ZERO, &UpstreamId::new("b"), None, known.offset + 2);

    let changes = reader.changed_from(known);
    for change in &changes {
        listener.take(Time::ZERO, change);
    }

    assert_eq!(changes.len(), 3);
    assert_eq!(listener.digest(), reader.digest());
}

#[test]
fn changes_are_told_for_some_rounds_and_then_no_more() {
    let mut directory = directory_of(&["a"]);

    let told = [0, 1_700, 1_800].map(|ms| directory.recent(Time::from_ms(ms)).len());
    directory.apply(Time::from_ms(1_800), &UpstreamId::new("a"), None, 9);

    assert_eq!(told, [1, 1, 0]);
    assert_eq!(directory.recent(Time::from_ms(1_900)).len(), 1);
}

/// A directory that read `ids` in the first era, and the position of an offset in the second.
fn returned(ids: &[&str]) -> (Directory, impl Fn(u64) -> Position) {
    let mut directory = directory_of(ids);
    directory.log_returned(Time::from_ms(1_000));
    (directory, |offset| Position::new(Era::new(2), offset))
}

#[test]
fn a_record_of_a_later_era_is_newer_whatever_its_offset() {
    let (mut directory, second) = returned(&["a", "b", "c", "d"]);
    let leaving = Some(upstream("d", UpstreamState::Leaving));

    directory.apply(
        Time::from_ms(1_500),
        &UpstreamId::new("d"),
        leaving,
        second(0),
    );

    assert_eq!(ready_ids(&directory), ["a", "b", "c"]);
}

#[test]
fn what_the_copy_lacks_has_time_to_list_itself_again_and_is_gone_after_it() {
    let (mut directory, second) = returned(&["a", "b", "c"]);
    let now = Time::from_ms(1_100);

    directory.replace(now, vec![(ready("a"), second(0))], second(1));
    directory.apply(now, &UpstreamId::new("b"), Some(ready("b")), second(1));
    let in_grace = ready_ids(&directory);
    directory.lapse(Time::from_ms(1_000) + RETURN_GRACE);

    assert_eq!(in_grace, ["a", "b", "c"]);
    assert_eq!(ready_ids(&directory), ["a", "b"]);
}

#[test]
fn what_left_or_was_removed_takes_no_work_though_the_copy_shows_it_ready() {
    let mut directory = directory_of(&["a", "b", "c"]);
    let now = Time::from_ms(900);
    let leaving = Some(upstream("a", UpstreamState::Leaving));
    directory.apply(now, &UpstreamId::new("a"), leaving, 3);
    directory.apply(now, &UpstreamId::new("b"), None, 4);
    directory.log_returned(Time::from_ms(1_000));
    let second = |offset| Position::new(Era::new(2), offset);

    let copy = vec![
        (ready("a"), second(0)),
        (ready("b"), second(1)),
        (ready("c"), second(2)),
    ];
    directory.replace(Time::from_ms(1_100), copy, second(3));

    assert_eq!(ready_ids(&directory), ["c"]);
    assert_eq!(directory.witnessed().count(), 2);
}

#[test]
fn hosts_that_read_the_same_records_in_two_eras_have_two_digests() {
    let first = directory_of(&["a", "b"]);
    let (mut second, position) = returned(&["a", "b"]);

    let copy = vec![(ready("a"), position(0)), (ready("b"), position(1))];
    second.replace(Time::from_ms(1_100), copy, position(2));

    assert_ne!(first.digest(), second.digest());
}
