use std::sync::Arc;

use super::LineBoard;
use super::Lines;
use super::Reserved;
use crate::gateway::directory::Upstream;
use crate::gateway::directory::UpstreamState;
use crate::gateway::instance::InstanceId;
use crate::gateway::loads::Load;
use crate::gateway::loads::SharedLoads;
use crate::gateway::placement::Candidate;
use crate::id::CustomerId;
use crate::id::DataCentre;
use crate::id::ServiceId;
use crate::id::UpstreamId;
use crate::id::VersionId;

fn engine() -> InstanceId {
    InstanceId::from(UpstreamId::new("engine"))
}

/// The engine as `board` counts it.
fn candidate(board: &SharedLoads) -> Candidate {
    let upstream = Upstream {
        id: engine(),
        service: service(),
        address: "127.0.0.1:9000".parse().unwrap(),
        data_centre: DataCentre::new("north"),
        state: UpstreamState::Ready,
        slots: 4,
        cold_left_ms: 0,
        version: VersionId::new("v1"),
    };
    Candidate {
        load: board.with(|loads| loads.at(&upstream.id)),
        reported: None,
        unhealthy: false,
        upstream: Arc::new(upstream),
    }
}

// Long generations that waited saw short ones of other hosts take all that became free.
#[test]
fn room_that_is_reserved_is_taken_for_others_and_free_for_who_waits() {
    let board = SharedLoads::default();
    let _running = board.add_request(&engine(), 18_000, 0);
    let reserved = Reserved {
        upstream: engine(),
        tokens: 6_000,
        _occupied: board.add_request(&engine(), 6_000, 0),
    };
    let for_others = candidate(&board).load;
    let mut own = [candidate(&board)];

    reserved.leave_out(&mut own);
    drop(reserved);

    let of = |requests, tokens| Load {
        requests,
        tokens,
        unread_tokens: 0,
    };
    assert_eq!(for_others, of(2, 24_000));
    assert_eq!(own[0].load, of(1, 18_000));
    assert_eq!(candidate(&board).load, of(1, 18_000));
}

fn service() -> ServiceId {
    ServiceId::new("inspection")
}

fn join(lines: &mut Lines, rank: u8, customer: &str) -> u64 {
    lines.join(&service(), rank, Some(&CustomerId::new(customer)), 1_000)
}

#[test]
fn who_came_first_goes_first() {
    let mut lines = Lines::default();
    let first = join(&mut lines, 1, "a");
    let second = join(&mut lines, 1, "b");
    assert_eq!(lines.ahead_tokens(first), 0);
    assert_eq!(lines.ahead_tokens(second), 1_000);
    lines.leave(first);
    assert_eq!(lines.ahead_tokens(second), 0);
}

#[test]
fn a_more_urgent_rank_goes_before_those_that_came_earlier() {
    let mut lines = Lines::default();
    let report = join(&mut lines, 1, "a");
    let flag = join(&mut lines, 0, "a");
    assert_eq!(lines.ahead_tokens(flag), 0);
    assert_eq!(lines.ahead_tokens(report), 1_000);
}

#[test]
fn a_customer_of_whom_much_runs_waits_behind_the_others() {
    let board = LineBoard::default();
    let large = CustomerId::new("large");
    let share = board.run(Some(&large), 9_000);
    let (of_large, of_small) =
        board.with(|lines| (join(lines, 1, "large"), join(lines, 1, "small")));
    assert_eq!(board.with(|lines| lines.ahead_tokens(of_small)), 0);
    assert_eq!(board.with(|lines| lines.ahead_tokens(of_large)), 1_000);
    drop(share);
    assert_eq!(board.with(|lines| lines.ahead_tokens(of_large)), 0);
}

#[test]
fn lines_of_other_services_are_not_waited_behind() {
    let mut lines = Lines::default();
    join(&mut lines, 0, "a");
    let other = lines.join(&ServiceId::new("other"), 1, None, 1_000);
    assert_eq!(lines.ahead_tokens(other), 0);
}

#[test]
fn only_a_run_that_completes_tells_the_pace() {
    let board = LineBoard::default();
    let turnover = || board.with(|lines| lines.pace.turnover());
    let before = turnover();
    drop(board.run(None, 50_000));
    assert_eq!(turnover(), before);
    board.run(None, 50_000).complete();
    assert!(turnover() < before);
}
