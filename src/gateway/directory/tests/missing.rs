//! Tests of upstreams missing since the log's return, on hosts that exchange their changes.

use super::directory_of;
use super::ready;
use super::ready_ids;
use crate::clock::Time;
use crate::gateway::directory::AnnouncedList;
use crate::gateway::directory::Comparison;
use crate::gateway::directory::Directory;
use crate::gateway::directory::RETURN_GRACE;
use crate::id::UpstreamId;

/// When the log becomes reachable again.
const LOG_REACHABLE_AT: Time = Time::from_ms(10_000);
/// End offset of the log when it is reachable again.
const LOG_END: u64 = 20;

/// A host that has read the removal of `a`, and one that could not read the log at that time and has now
/// read its newest records.
fn reader_and_reconnected() -> (Directory, Directory) {
    let mut reader = directory_of(&["a", "b"]);
    reader.apply(LOG_REACHABLE_AT, &UpstreamId::new("a"), None, 9);
    let mut reconnected = directory_of(&["a", "b"]);
    reconnected.mark_log_unreachable();
    reconnected.mark_log_reachable(LOG_REACHABLE_AT);
    reconnected.replace(LOG_REACHABLE_AT, vec![(ready("b"), 1.into())], LOG_END);
    (reader, reconnected)
}

fn send_changes(now: Time, from: &Directory, to: &mut Directory) {
    for change in from.changed_from(0) {
        to.apply_change(now, &change);
    }
}

// A host must announce a missing upstream at the position of its record. Announced at the position of its
// absence, which is later than the removal, the upstream was listed again at other hosts.
#[test]
fn an_upstream_missing_at_one_host_is_not_listed_again_at_others() {
    let (mut reader, reconnected) = reader_and_reconnected();

    send_changes(LOG_REACHABLE_AT, &reconnected, &mut reader);
    let by_changes = ready_ids(&reader);
    reader.replace(LOG_REACHABLE_AT, reconnected.list_all(), LOG_END);

    assert_eq!(by_changes, ["b"]);
    assert_eq!(ready_ids(&reader), ["b"]);
}

#[test]
fn a_missing_upstream_is_removed_after_the_grace_despite_peers() {
    let (mut reader, mut reconnected) = reader_and_reconnected();
    send_changes(LOG_REACHABLE_AT, &reconnected, &mut reader);
    let mut other = directory_of(&["a", "b"]);
    send_changes(LOG_REACHABLE_AT, &reconnected, &mut other);
    let later = LOG_REACHABLE_AT + RETURN_GRACE;

    send_changes(LOG_REACHABLE_AT, &reader, &mut reconnected);
    send_changes(LOG_REACHABLE_AT, &other, &mut reconnected);
    reconnected.expire(later);
    send_changes(later, &reconnected, &mut other);

    assert_eq!(ready_ids(&reconnected), ["b"]);
    assert_eq!(ready_ids(&other), ["b"]);
}

#[test]
fn an_upstream_listed_again_within_the_grace_is_listed_everywhere() {
    let (mut reader, mut reconnected) = reader_and_reconnected();
    reconnected.apply(
        LOG_REACHABLE_AT,
        &UpstreamId::new("a"),
        Some(ready("a")),
        LOG_END,
    );

    send_changes(LOG_REACHABLE_AT, &reconnected, &mut reader);
    reconnected.expire(LOG_REACHABLE_AT + RETURN_GRACE);

    assert_eq!(ready_ids(&reconnected), ["a", "b"]);
    assert_eq!(ready_ids(&reader), ["a", "b"]);
}

/// Has `to` take what `from` announces of its list.
fn announce(now: Time, from: &Directory, to: &mut Directory) -> Comparison {
    let changes = from.recent_changes(now);
    let announced = AnnouncedList {
        position: from.complete_to(),
        digest: from.digest(),
        changes: &changes,
    };
    to.merge_announced(now, announced).1
}

// Guards against a removed upstream that hosts keep: the position of a reader that defers the removal reached them
// without it, and they ignored the removal later.
#[test]
fn a_peer_takes_a_removal_that_its_reader_deferred() {
    let mut reader = directory_of(&["a", "b"]);
    let mut peer = directory_of(&["a", "b"]);
    reader.mark_log_unreachable();
    reader.mark_log_reachable(LOG_REACHABLE_AT);
    reader.apply(LOG_REACHABLE_AT, &UpstreamId::new("a"), None, 9);
    reader.advance(10);
    announce(LOG_REACHABLE_AT, &reader, &mut peer);
    let later = LOG_REACHABLE_AT + RETURN_GRACE;
    reader.expire(later);

    let comparison = announce(later, &reader, &mut peer);

    assert_eq!(comparison, Comparison::UpToDate);
    assert_eq!(ready_ids(&peer), ["b"]);
    assert_eq!(peer.position(), reader.position());
}

// Guards against the loss of a deferred removal whose announcements didn't arrive.
#[test]
fn a_peer_learns_that_it_lacks_a_deferred_removal_from_the_position() {
    let mut reader = directory_of(&["a", "b"]);
    let mut peer = directory_of(&["a", "b"]);
    reader.mark_log_unreachable();
    reader.mark_log_reachable(LOG_REACHABLE_AT);
    reader.replace(LOG_REACHABLE_AT, vec![(ready("b"), 1.into())], LOG_END);
    announce(LOG_REACHABLE_AT, &reader, &mut peer);
    reader.expire(LOG_REACHABLE_AT + RETURN_GRACE);
    let silent = LOG_REACHABLE_AT + 10 * RETURN_GRACE;

    let comparison = announce(silent, &reader, &mut peer);
    send_changes(silent, &reader, &mut peer);

    assert_eq!(comparison, Comparison::Behind);
    assert_eq!(ready_ids(&peer), ["b"]);
}

// Guards against lists that differ for ever: the positions were equal, so nobody compared the digests.
#[test]
fn hosts_at_one_position_notice_that_their_lists_differ() {
    let reader = directory_of(&["b"]);
    let mut peer = directory_of(&["a"]);
    peer.advance(5);
    let mut ahead = reader;
    ahead.advance(5);

    let comparison = announce(LOG_REACHABLE_AT, &ahead, &mut peer);

    assert_eq!(comparison, Comparison::Differs);
}

// Guards against the loss of all upstreams whose entries lapsed in an outage: a host that had never read the log
// itself removed them at its first read, and told the others.
#[test]
fn a_host_that_has_its_list_from_peers_defers_removals_after_an_outage() {
    let mut started = directory_of(&["a", "b"]);
    started.mark_log_unreachable();
    started.mark_log_reachable(LOG_REACHABLE_AT);
    let mut took_over = directory_of(&["a", "b"]);
    let gap = took_over.confirm_by_read(LOG_REACHABLE_AT, RETURN_GRACE);
    let mut in_touch = directory_of(&["a", "b"]);
    in_touch.confirm(LOG_REACHABLE_AT);
    in_touch.confirm_by_read(LOG_REACHABLE_AT + RETURN_GRACE, RETURN_GRACE);

    let listed = [&mut started, &mut took_over, &mut in_touch].map(|host| {
        host.replace(LOG_REACHABLE_AT, vec![(ready("b"), 1.into())], LOG_END);
        ready_ids(host).len()
    });

    assert_eq!(listed, [2, 2, 1]);
    assert_eq!(gap, Some(LOG_REACHABLE_AT.since(Time::ZERO)));
}
