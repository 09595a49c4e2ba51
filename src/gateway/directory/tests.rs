use super::Directory;
use super::DirectoryChange;
use super::RETURN_GRACE;
use super::Upstream;
use super::UpstreamState;
use crate::clock::Time;
use crate::id::DataCentre;
use crate::id::ServiceId;
use crate::id::UpstreamId;

fn upstream(id: &str, state: UpstreamState) -> Upstream {
    Upstream {
        id: UpstreamId::new(id),
        service: ServiceId::new("inspection"),
        address: "127.0.0.1:9000".parse().unwrap(),
        data_centre: DataCentre::new("north"),
        state,
        slots: 4,
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

    directory.replace(Time::ZERO, vec![(ready("a"), 0), (ready("b"), 1)], 2);

    assert_eq!(ready_ids(&directory), ["b"]);
}

#[test]
fn a_removal_while_the_log_is_well_counts_at_once() {
    let mut directory = directory_of(&["a", "b"]);

    let change = directory.apply(Time::from_ms(5), &UpstreamId::new("a"), None, 9);

    assert_eq!(change, Some(DirectoryChange::Removed));
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

    assert_eq!(change, Some(DirectoryChange::Missing));
    assert!(early.is_empty());
    assert_eq!(ids_early, ["a", "b"]);
    assert_eq!(late, [UpstreamId::new("a")]);
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

    let changes = directory.replace(Time::ZERO, vec![(ready("b"), 1), (ready("c"), 5)], 6);

    assert_eq!(ready_ids(&directory), ["b", "c"]);
    assert!(changes.contains(&(UpstreamId::new("a"), DirectoryChange::Removed)));
    assert_eq!(directory.offset(), 6);
}

#[test]
fn a_witness_goes_before_the_list() {
    let mut directory = directory_of(&["a"]);

    let news = directory.witness(Time::from_ms(3), &UpstreamId::new("a"));
    let again = directory.witness(Time::from_ms(4), &UpstreamId::new("a"));

    assert!(news && !again);
    assert!(ready_ids(&directory).is_empty());
    assert!(directory.leaving_since(&UpstreamId::new("a")).is_some());
}

#[test]
fn the_notice_is_kept_over_further_records() {
    let mut directory = directory_of(&["a"]);
    let id = UpstreamId::new("a");
    let leaving = upstream("a", UpstreamState::Leaving);
    directory.apply(Time::from_ms(100), &id, Some(leaving.clone()), 4);

    directory.apply(Time::from_ms(900), &id, Some(leaving), 6);

    assert_eq!(directory.leaving_since(&id), Some(Time::from_ms(100)));
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

    for change in reader.recent() {
        listener.take(Time::ZERO, &change);
    }

    assert_eq!(listener.digest(), reader.digest());
    assert_eq!(ready_ids(&listener), ["c"]);
}
