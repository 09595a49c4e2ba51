//! Tests of entries that the log takes later than the upstream wrote them.

use super::Upstream;
use super::directory_of;
use super::ready_ids;
use super::upstream;
use crate::clock::Time;
use crate::gateway::directory::Directory;
use crate::gateway::directory::UpstreamState;
use crate::gateway::directory::statements::LATE_RECORD_MAX;
use crate::id::UpstreamId;

const NOW: Time = Time::from_ms(1_000);

/// Applies the statement that the upstream `a` made as its `sequence`th.
fn state(directory: &mut Directory, now: Time, state: UpstreamState, sequence: u64, offset: u64) {
    let statement = Upstream {
        sequence,
        ..upstream("a", state)
    };
    directory.apply(now, &UpstreamId::new("a"), Some(statement), offset);
}

// Guards against work for an upstream that leaves: its earlier entry, written late, listed it as ready.
#[test]
fn a_late_entry_does_not_undo_a_leaving_notice() {
    let mut directory = directory_of(&[]);
    state(&mut directory, NOW, UpstreamState::Leaving, 3, 5);

    state(&mut directory, NOW, UpstreamState::Ready, 2, 6);

    assert!(ready_ids(&directory).is_empty());
}

#[test]
fn a_late_entry_does_not_list_an_upstream_that_left() {
    let mut directory = directory_of(&[]);
    state(&mut directory, NOW, UpstreamState::Leaving, 3, 5);
    directory.apply(NOW, &UpstreamId::new("a"), None, 6);

    state(&mut directory, NOW, UpstreamState::Ready, 2, 7);

    assert!(ready_ids(&directory).is_empty());
}

#[test]
fn a_host_that_reads_only_the_late_entry_learns_of_the_departure() {
    let mut directory = directory_of(&[]);
    state(&mut directory, NOW, UpstreamState::Leaving, 3, 5);
    state(&mut directory, NOW, UpstreamState::Ready, 2, 6);
    let mut started = directory_of(&[]);
    state(&mut started, NOW, UpstreamState::Ready, 2, 6);

    for departure in directory.announced_leaving(NOW).collect::<Vec<_>>() {
        started.receive_departure(NOW, &departure);
    }

    assert!(ready_ids(&started).is_empty());
}

#[test]
fn an_upstream_takes_work_again_by_a_later_statement() {
    let mut directory = directory_of(&[]);
    state(&mut directory, NOW, UpstreamState::Leaving, 3, 5);
    state(&mut directory, NOW, UpstreamState::Ready, 2, 6);

    state(&mut directory, NOW, UpstreamState::Ready, 4, 7);

    assert_eq!(ready_ids(&directory), ["a"]);
}

// Guards against an upstream that gets no work any more: the log's entry already said what it had to say.
#[test]
fn a_late_entry_lists_an_upstream_whose_entry_had_lapsed() {
    let mut directory = directory_of(&[]);
    state(&mut directory, NOW, UpstreamState::Ready, 3, 5);
    directory.apply(NOW, &UpstreamId::new("a"), None, 6);

    state(&mut directory, NOW, UpstreamState::Ready, 2, 7);

    assert_eq!(ready_ids(&directory), ["a"]);
}

#[test]
fn a_lower_number_long_after_the_statement_is_not_late() {
    let mut directory = directory_of(&[]);
    state(&mut directory, NOW, UpstreamState::Leaving, 3, 5);

    state(
        &mut directory,
        NOW + LATE_RECORD_MAX,
        UpstreamState::Ready,
        1,
        6,
    );

    assert_eq!(ready_ids(&directory), ["a"]);
}

#[test]
fn a_later_statement_counts_though_the_record_of_an_earlier_one_follows_it() {
    let mut directory = directory_of(&[]);
    state(&mut directory, NOW, UpstreamState::Ready, 2, 6);

    state(&mut directory, NOW, UpstreamState::Leaving, 3, 5);

    assert!(ready_ids(&directory).is_empty());
}
