use std::sync::Arc;

use super::QueueHandle;
use super::Queues;
use super::Reservation;
use crate::gateway::directory::Upstream;
use crate::gateway::directory::UpstreamState;
use crate::gateway::instance::InstanceId;
use crate::gateway::loads::Load;
use crate::gateway::loads::SharedLoads;
use crate::gateway::placement::Candidate;
use crate::gateway::speeds::Slowness;
use crate::id::CustomerId;
use crate::id::DataCentre;
use crate::id::ServiceId;
use crate::id::UpstreamId;
use crate::id::VersionId;

fn engine() -> InstanceId {
    InstanceId::from(UpstreamId::new("engine"))
}

/// The engine with its load as counted by `board`.
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
        sequence: 0,
    };
    Candidate {
        load: board.with(|loads| loads.at(&upstream.id)),
        reported: None,
        slowness: Slowness::default(),
        unhealthy: false,
        upstream: Arc::new(upstream),
    }
}

// Guards against starvation: without a reservation, short generations of other hosts took all memory that
// became free while a long one waited.
#[test]
fn reserved_room_is_taken_for_others_and_free_for_its_holder() {
    let board = SharedLoads::default();
    let _running = board.add_request(&engine(), 18_000, 0);
    let reservation = Reservation {
        upstream: engine(),
        tokens: 6_000,
        _occupied: board.add_request(&engine(), 6_000, 0),
    };
    let for_others = candidate(&board).load;
    let mut own = [candidate(&board)];

    reservation.subtract_from(&mut own);
    drop(reservation);

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

fn join(queues: &mut Queues, rank: u8, customer: &str) -> u64 {
    queues.join(&service(), rank, Some(&CustomerId::new(customer)), 1_000)
}

#[test]
fn generations_of_one_rank_go_in_arrival_order() {
    let mut queues = Queues::default();
    let first = join(&mut queues, 1, "a");
    let second = join(&mut queues, 1, "b");
    assert_eq!(queues.ahead_tokens(first), 0);
    assert_eq!(queues.ahead_tokens(second), 1_000);
    queues.leave(first);
    assert_eq!(queues.ahead_tokens(second), 0);
}

#[test]
fn a_more_urgent_rank_goes_before_earlier_arrivals() {
    let mut queues = Queues::default();
    let report = join(&mut queues, 1, "a");
    let flag = join(&mut queues, 0, "a");
    assert_eq!(queues.ahead_tokens(flag), 0);
    assert_eq!(queues.ahead_tokens(report), 1_000);
}

#[test]
fn the_customer_with_most_running_tokens_goes_last() {
    let handle = QueueHandle::default();
    let large = CustomerId::new("large");
    let guard = handle.track_running(Some(&large), 9_000);
    let (of_large, of_small) =
        handle.with(|queues| (join(queues, 1, "large"), join(queues, 1, "small")));
    assert_eq!(handle.with(|queues| queues.ahead_tokens(of_small)), 0);
    assert_eq!(handle.with(|queues| queues.ahead_tokens(of_large)), 1_000);
    drop(guard);
    assert_eq!(handle.with(|queues| queues.ahead_tokens(of_large)), 0);
}

#[test]
fn services_have_separate_queues() {
    let mut queues = Queues::default();
    join(&mut queues, 0, "a");
    let other = queues.join(&ServiceId::new("other"), 1, None, 1_000);
    assert_eq!(queues.ahead_tokens(other), 0);
}

#[test]
fn only_completed_runs_change_the_turnover() {
    let handle = QueueHandle::default();
    let turnover = || handle.with(|queues| queues.stats.turnover());
    let before = turnover();
    drop(handle.track_running(None, 50_000));
    assert_eq!(turnover(), before);
    handle.track_running(None, 50_000).complete(1.0);
    assert!(turnover() < before);
}
