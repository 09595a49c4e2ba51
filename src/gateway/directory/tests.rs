mod departures;
mod eras;
mod instances;
mod late;
mod listing;
mod missing;
mod model;
mod versions;

use super::AppliedChange;
use super::Departure;
use super::Directory;
use super::DirectoryChange;
use super::ForeignRecord;
use super::RETURN_GRACE;
use super::Upstream;
use super::UpstreamState;
use crate::clock::Time;
use crate::gateway::instance::InstanceId;
use crate::gateway::position::Position;
use crate::id::DataCentre;
use crate::id::ServiceId;
use crate::id::UpstreamId;
use crate::id::VersionId;

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
        version: VersionId::new("v1"),
        sequence: 0,
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
fn an_older_record_is_ignored() {
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
fn an_older_list_does_not_restore_a_removed_upstream() {
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
fn a_removal_takes_effect_at_once_without_an_outage() {
    let mut directory = directory_of(&["a", "b"]);

    let change = directory.apply(Time::from_ms(5), &UpstreamId::new("a"), None, 9);

    assert_eq!(change.unwrap().change, DirectoryChange::Removed);
    assert_eq!(ready_ids(&directory), ["b"]);
}

#[test]
fn an_upstream_missing_after_an_outage_is_removed_after_the_grace() {
    let mut directory = directory_of(&["a", "b"]);
    directory.mark_log_unreachable();
    let back = Time::from_ms(10_000);
    directory.mark_log_reachable(back);

    let change = directory.apply(back, &UpstreamId::new("a"), None, 9);
    let early = directory.expire(back + RETURN_GRACE / 2);
    let ids_early = ready_ids(&directory);
    let late = directory.expire(back + RETURN_GRACE);

    assert_eq!(change.unwrap().change, DirectoryChange::Missing);
    assert!(early.is_empty());
    assert_eq!(ids_early, ["a", "b"]);
    let removed: Vec<InstanceId> = late.into_iter().map(|applied| applied.id).collect();
    assert_eq!(removed, [instance("a")]);
    assert_eq!(ready_ids(&directory), ["b"]);
}

#[test]
fn an_upstream_listed_again_within_the_grace_stays() {
    let mut directory = directory_of(&["a"]);
    directory.mark_log_unreachable();
    directory.mark_log_reachable(Time::ZERO);
    directory.apply(Time::ZERO, &UpstreamId::new("a"), None, 9);

    directory.apply(
        Time::from_ms(900),
        &UpstreamId::new("a"),
        Some(ready("a")),
        10,
    );
    let gone = directory.expire(Time::from_ms(5_000));

    assert!(gone.is_empty());
    assert_eq!(ready_ids(&directory), ["a"]);
}

#[test]
fn a_full_list_removes_absent_upstreams() {
    let mut directory = directory_of(&["a", "b"]);

    let changes = directory.replace(
        Time::ZERO,
        vec![(ready("b"), 1.into()), (ready("c"), 5.into())],
        6,
    );

    assert_eq!(ready_ids(&directory), ["b", "c"]);
    let removed = |applied: &AppliedChange| {
        applied.id == instance("a") && applied.change == DirectoryChange::Removed
    };
    assert!(changes.iter().any(removed));
    assert_eq!(directory.position(), Position::from(6));
}

#[test]
fn an_observed_departure_overrides_the_listing() {
    let mut directory = directory_of(&["a"]);

    let is_new = directory.observe_leaving(Time::from_ms(3), &instance("a"));
    let is_new_again = directory.observe_leaving(Time::from_ms(4), &instance("a"));

    assert!(is_new && !is_new_again);
    assert!(ready_ids(&directory).is_empty());
    assert!(directory.leaving_since(&instance("a")).is_some());
}

#[test]
fn an_observed_departure_keeps_the_time_of_its_first_observation() {
    let mut directory = directory_of(&["a"]);
    directory.observe_leaving(Time::from_ms(3), &instance("a"));

    directory.observe_leaving(Time::from_ms(900), &instance("a"));

    assert_eq!(
        directory.leaving_since(&instance("a")),
        Some(Time::from_ms(3))
    );
}

// Two hosts told each other of every departure for ever, and their datagrams grew with each.
#[test]
fn hosts_stop_telling_each_other_of_a_departure_once_the_log_lists_it() {
    let mut hosts = [directory_of(&["a"]), directory_of(&["a"])];
    hosts[0].observe_leaving(Time::ZERO, &instance("a"));
    let mut ms = 0;

    let while_listed = tell_each_other(&mut hosts, &mut ms, 200);
    for host in &mut hosts {
        host.apply(Time::from_ms(50_000), &UpstreamId::new("a"), None, 4);
    }
    let after_removal = tell_each_other(&mut hosts, &mut ms, 1_000);

    assert_eq!(while_listed, [1, 1]);
    assert_eq!(after_removal, [0, 0]);
    assert!(hosts.iter().all(|host| host.observed_leaving.is_empty()));
}

// An observation that nothing confirmed lasted as long as the upstream was listed, and hosts renewed it at each other.
#[test]
fn an_observed_departure_ends_if_the_upstream_stays_listed() {
    let mut hosts = [directory_of(&["a"]), directory_of(&["a"])];
    hosts[0].observe_leaving(Time::ZERO, &instance("a"));

    let told = tell_each_other(&mut hosts, &mut 0, 300);

    assert_eq!(told, [0, 0]);
    assert!(hosts.iter().all(|host| ready_ids(host) == ["a"]));
}

/// Has two hosts announce departures to each other every 250 ms from `ms` on, and returns how many each still
/// announces.
fn tell_each_other(hosts: &mut [Directory; 2], ms: &mut u64, rounds: u64) -> [usize; 2] {
    for _ in 0..rounds {
        *ms += 250;
        let now = Time::from_ms(*ms);
        for (from, to) in [(0, 1), (1, 0)] {
            let told: Vec<Departure> = hosts[from].announced_leaving(now).collect();
            for departure in &told {
                hosts[to].receive_departure(now, departure);
            }
            hosts[to].expire(now);
        }
    }
    let now = Time::from_ms(*ms);
    hosts
        .each_ref()
        .map(|host| host.announced_leaving(now).count())
}

#[test]
fn later_records_keep_the_time_of_the_leaving_notice() {
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
fn announced_changes_bring_a_peer_to_the_same_digest() {
    let mut reader = directory_of(&["a", "b"]);
    let mut peer = directory_of(&["a", "b"]);
    reader.apply(Time::ZERO, &UpstreamId::new("c"), Some(ready("c")), 5);
    reader.apply(
        Time::ZERO,
        &UpstreamId::new("a"),
        Some(upstream("a", UpstreamState::Leaving)),
        6,
    );
    reader.apply(Time::ZERO, &UpstreamId::new("b"), None, 7);

    for change in reader.recent_changes(Time::ZERO) {
        peer.apply_change(Time::ZERO, &change);
    }

    assert_eq!(peer.digest(), reader.digest());
    assert_eq!(ready_ids(&peer), ["c"]);
}

#[test]
fn a_foreign_record_is_counted_once_and_its_key_logged_now_and_then() {
    let mut directory = Directory::default();
    let id = UpstreamId::new("a");

    let seen = [(0, 4), (1, 4), (2, 6), (11, 7), (12, 7)].map(|(second, offset)| {
        let now = Time::from_ms(second * 1_000);
        directory.record_foreign(now, &id, offset.into())
    });

    use ForeignRecord::Counted;
    use ForeignRecord::Known;
    use ForeignRecord::Logged;
    assert_eq!(seen, [Logged, Known, Counted, Logged, Known]);
}

// A host that has missed some changes must not need the full list. With 295 hosts, fetching the list of 141
// upstreams after each missed change cost 62 MB in the first 14 s, most of it between data centres.
#[test]
fn what_changed_since_brings_a_host_up_to_date() {
    let mut reader = directory_of(&["a", "b", "c"]);
    let mut peer = directory_of(&["a", "b", "c"]);
    let known = peer.position();
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
        peer.apply_change(Time::ZERO, change);
    }

    assert_eq!(changes.len(), 3);
    assert_eq!(peer.digest(), reader.digest());
}

#[test]
fn changes_are_announced_for_a_limited_time() {
    let mut directory = directory_of(&["a"]);

    let announced = [0, 1_700, 1_800].map(|ms| directory.recent_changes(Time::from_ms(ms)).len());
    directory.apply(Time::from_ms(1_800), &UpstreamId::new("a"), None, 9);

    assert_eq!(announced, [1, 1, 0]);
    assert_eq!(directory.recent_changes(Time::from_ms(1_900)).len(), 1);
}
