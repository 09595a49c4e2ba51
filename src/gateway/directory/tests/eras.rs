//! A log that returned from an older copy.

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

/// A directory that read `ids` in the first era, and the position of an offset in the second.
fn returned(ids: &[&str]) -> (Directory, impl Fn(u64) -> Position) {
    let mut directory = directory_of(ids);
    directory.mark_log_returned(Time::from_ms(1_000));
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
    directory.expire(Time::from_ms(1_000) + RETURN_GRACE);

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
    directory.mark_log_returned(Time::from_ms(1_000));
    let second = |offset| Position::new(Era::new(2), offset);

    let copy = vec![
        (ready("a"), second(0)),
        (ready("b"), second(1)),
        (ready("c"), second(2)),
    ];
    directory.replace(Time::from_ms(1_100), copy, second(3));

    assert_eq!(ready_ids(&directory), ["c"]);
    assert_eq!(directory.observed_leaving().count(), 2);
}

#[test]
fn hosts_that_read_the_same_records_in_two_eras_have_two_digests() {
    let first = directory_of(&["a", "b"]);
    let (mut second, position) = returned(&["a", "b"]);

    let copy = vec![(ready("a"), position(0)), (ready("b"), position(1))];
    second.replace(Time::from_ms(1_100), copy, position(2));

    assert_ne!(first.digest(), second.digest());
}
