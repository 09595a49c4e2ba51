//! Tests of a log that was restored from an older copy.

use super::directory_of;
use super::ready;
use super::ready_ids;
use super::upstream;
use crate::clock::Time;
use crate::gateway::directory::Directory;
use crate::gateway::directory::RETURN_GRACE;
use crate::gateway::directory::UpstreamState;
use crate::gateway::position::Era;
use crate::gateway::position::Position;
use crate::id::UpstreamId;

/// A directory that has read `ids` in the first era, and a function from an offset to its position in the
/// second era.
fn directory_after_return(ids: &[&str]) -> (Directory, impl Fn(u64) -> Position) {
    let mut directory = directory_of(ids);
    directory.mark_log_returned(Time::from_ms(1_000));
    (directory, |offset| Position::new(Era::new(2), offset))
}

#[test]
fn a_record_of_a_later_era_is_newer_at_any_offset() {
    let (mut directory, second) = directory_after_return(&["a", "b", "c", "d"]);
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
fn an_upstream_absent_from_the_copy_is_removed_after_the_grace() {
    let (mut directory, second) = directory_after_return(&["a", "b", "c"]);
    let now = Time::from_ms(1_100);

    directory.replace(now, vec![(ready("a"), second(0))], second(1));
    directory.apply(now, &UpstreamId::new("b"), Some(ready("b")), second(1));
    let during_grace = ready_ids(&directory);
    directory.expire(Time::from_ms(1_000) + RETURN_GRACE);

    assert_eq!(during_grace, ["a", "b", "c"]);
    assert_eq!(ready_ids(&directory), ["a", "b"]);
}

#[test]
fn a_departed_upstream_takes_no_work_when_the_copy_lists_it_ready() {
    let mut directory = directory_of(&["a", "b", "c"]);
    let now = Time::from_ms(900);
    let leaving = Some(upstream("a", UpstreamState::Leaving));
    directory.apply(now, &UpstreamId::new("a"), leaving, 3);
    directory.apply(now, &UpstreamId::new("b"), None, 4);
    directory.mark_log_returned(Time::from_ms(1_000));
    let second = |offset| Position::new(Era::new(2), offset);

    let copy = vec![
        (ready("a"), second(0)),
        (ready("b"), second(1)),
        (ready("c"), second(2)),
    ];
    directory.replace(Time::from_ms(1_100), copy, second(3));

    assert_eq!(ready_ids(&directory), ["c"]);
    assert_eq!(directory.announced_leaving(Time::from_ms(1_100)).count(), 2);
}

#[test]
fn equal_records_of_different_eras_have_different_digests() {
    let first = directory_of(&["a", "b"]);
    let (mut second, position) = directory_after_return(&["a", "b"]);

    let copy = vec![(ready("a"), position(0)), (ready("b"), position(1))];
    second.replace(Time::from_ms(1_100), copy, position(2));

    assert_ne!(first.digest(), second.digest());
}
