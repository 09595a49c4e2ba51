use super::MoveQueues;
use super::PendingMoves;
use crate::clock::Time;
use crate::gateway::instance::InstanceId;
use crate::id::HostId;
use crate::id::UpstreamId;

fn engine() -> InstanceId {
    InstanceId::from(UpstreamId::new("engine"))
}

fn waiting(runs: u32) -> Vec<PendingMoves> {
    vec![PendingMoves {
        upstream: engine(),
        runs,
        is_moving: false,
        to: None,
    }]
}

fn moving() -> Vec<PendingMoves> {
    vec![PendingMoves {
        upstream: engine(),
        runs: 1,
        is_moving: true,
        to: Some(InstanceId::from(UpstreamId::new("destination"))),
    }]
}

fn is_turn(turns: &MoveQueues, now: Time, host: &str, ticket: u64) -> bool {
    turns.is_turn(now, &HostId::new(host), &engine(), ticket)
}

#[test]
fn runs_of_one_host_go_in_the_order_in_which_they_joined() {
    let mut turns = MoveQueues::default();
    let first = turns.join(&engine());
    let second = turns.join(&engine());
    let before = is_turn(&turns, Time::ZERO, "host-1", second);

    turns.leave(&engine(), first);

    assert!(!before);
    assert!(is_turn(&turns, Time::ZERO, "host-1", second));
}

#[test]
fn a_host_waits_for_those_before_it_by_name_only() {
    let mut turns = MoveQueues::default();
    let ticket = turns.join(&engine());

    turns.receive(Time::ZERO, &HostId::new("host-0"), waiting(2));
    turns.receive(Time::ZERO, &HostId::new("host-2"), waiting(2));

    assert!(!is_turn(&turns, Time::ZERO, "host-1", ticket));
    turns.receive(Time::ZERO, &HostId::new("host-0"), Vec::new());
    assert!(is_turn(&turns, Time::ZERO, "host-1", ticket));
}

#[test]
fn a_peer_that_fell_silent_holds_nobody_up() {
    let mut turns = MoveQueues::default();
    let ticket = turns.join(&engine());
    turns.receive(Time::ZERO, &HostId::new("host-0"), waiting(1));

    assert!(!is_turn(&turns, Time::from_ms(800), "host-1", ticket));
    assert!(is_turn(&turns, Time::from_ms(900), "host-1", ticket));
}

#[test]
fn engines_have_lines_of_their_own() {
    let mut turns = MoveQueues::default();
    turns.join(&InstanceId::from(UpstreamId::new("other")));
    let ticket = turns.join(&engine());

    assert!(is_turn(&turns, Time::ZERO, "host-1", ticket));
    assert_eq!(turns.pending().len(), 2);
}

#[test]
fn a_run_that_is_being_moved_is_waited_for_whatever_its_hosts_name() {
    let mut turns = MoveQueues::default();
    let ticket = turns.join(&engine());

    turns.receive(Time::ZERO, &HostId::new("host-2"), moving());

    assert!(!is_turn(&turns, Time::ZERO, "host-1", ticket));
    turns.receive(Time::ZERO, &HostId::new("host-2"), waiting(1));
    assert!(is_turn(&turns, Time::ZERO, "host-1", ticket));
}

#[test]
fn a_run_that_jumped_the_line_is_waited_for_by_its_own_host() {
    let mut turns = MoveQueues::default();
    let first = turns.join(&engine());
    let second = turns.join(&engine());
    turns.begin(&engine(), second);

    let while_moving = is_turn(&turns, Time::ZERO, "host-1", first);
    turns.leave(&engine(), second);

    assert!(!while_moving);
    assert!(is_turn(&turns, Time::ZERO, "host-1", first));
}

#[test]
fn a_destination_is_taken_while_another_engines_run_is_copied_to_it() {
    let mut turns = MoveQueues::default();
    let destination = InstanceId::from(UpstreamId::new("destination"));
    let other = InstanceId::from(UpstreamId::new("other"));
    turns.receive(Time::ZERO, &HostId::new("host-2"), moving());

    assert!(
        turns
            .busy_destinations(Time::ZERO, &other)
            .contains(&destination)
    );
    assert!(turns.busy_destinations(Time::ZERO, &engine()).is_empty());
    assert!(
        turns
            .busy_destinations(Time::from_ms(2_000), &other)
            .is_empty()
    );
}

#[test]
fn a_hosts_own_copies_take_their_destination_until_they_end() {
    let mut turns = MoveQueues::default();
    let destination = InstanceId::from(UpstreamId::new("destination"));
    let other = InstanceId::from(UpstreamId::new("other"));
    let ticket = turns.join(&engine());
    turns.set_destination(&engine(), ticket, &destination);
    assert!(turns.busy_destinations(Time::ZERO, &other).is_empty());

    turns.begin(&engine(), ticket);
    turns.set_destination(&engine(), ticket, &destination);
    assert!(
        turns
            .busy_destinations(Time::ZERO, &other)
            .contains(&destination)
    );

    turns.leave(&engine(), ticket);
    assert!(turns.busy_destinations(Time::ZERO, &other).is_empty());
}
