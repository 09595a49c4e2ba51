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

fn may_begin(queues: &MoveQueues, now: Time, host: &str, ticket: u64) -> bool {
    queues.may_begin(now, &HostId::new(host), &engine(), ticket)
}

#[test]
fn runs_of_one_host_go_in_the_order_in_which_they_joined() {
    let mut queues = MoveQueues::default();
    let first = queues.join(&engine());
    let second = queues.join(&engine());
    let before = may_begin(&queues, Time::ZERO, "host-1", second);

    queues.leave(&engine(), first);

    assert!(!before);
    assert!(may_begin(&queues, Time::ZERO, "host-1", second));
}

#[test]
fn a_host_waits_only_for_hosts_before_it_by_name() {
    let mut queues = MoveQueues::default();
    let ticket = queues.join(&engine());

    queues.receive(Time::ZERO, &HostId::new("host-0"), waiting(2));
    queues.receive(Time::ZERO, &HostId::new("host-2"), waiting(2));

    assert!(!may_begin(&queues, Time::ZERO, "host-1", ticket));
    queues.receive(Time::ZERO, &HostId::new("host-0"), Vec::new());
    assert!(may_begin(&queues, Time::ZERO, "host-1", ticket));
}

#[test]
fn a_silent_peer_does_not_block_others() {
    let mut queues = MoveQueues::default();
    let ticket = queues.join(&engine());
    queues.receive(Time::ZERO, &HostId::new("host-0"), waiting(1));

    assert!(!may_begin(&queues, Time::from_ms(800), "host-1", ticket));
    assert!(may_begin(&queues, Time::from_ms(900), "host-1", ticket));
}

#[test]
fn engines_have_separate_queues() {
    let mut queues = MoveQueues::default();
    queues.join(&InstanceId::from(UpstreamId::new("other")));
    let ticket = queues.join(&engine());

    assert!(may_begin(&queues, Time::ZERO, "host-1", ticket));
    assert_eq!(queues.pending().len(), 2);
}

#[test]
fn a_move_in_progress_is_waited_for_regardless_of_host_order() {
    let mut queues = MoveQueues::default();
    let ticket = queues.join(&engine());

    queues.receive(Time::ZERO, &HostId::new("host-2"), moving());

    assert!(!may_begin(&queues, Time::ZERO, "host-1", ticket));
    queues.receive(Time::ZERO, &HostId::new("host-2"), waiting(1));
    assert!(may_begin(&queues, Time::ZERO, "host-1", ticket));
}

#[test]
fn a_run_moved_out_of_order_is_waited_for_by_its_host() {
    let mut queues = MoveQueues::default();
    let first = queues.join(&engine());
    let second = queues.join(&engine());
    queues.begin(&engine(), second);

    let while_moving = may_begin(&queues, Time::ZERO, "host-1", first);
    queues.leave(&engine(), second);

    assert!(!while_moving);
    assert!(may_begin(&queues, Time::ZERO, "host-1", first));
}

#[test]
fn a_destination_is_busy_while_another_engines_run_is_copied_to_it() {
    let mut queues = MoveQueues::default();
    let destination = InstanceId::from(UpstreamId::new("destination"));
    let other = InstanceId::from(UpstreamId::new("other"));
    queues.receive(Time::ZERO, &HostId::new("host-2"), moving());

    assert!(
        queues
            .busy_destinations(Time::ZERO, &other)
            .contains(&destination)
    );
    assert!(queues.busy_destinations(Time::ZERO, &engine()).is_empty());
    assert!(
        queues
            .busy_destinations(Time::from_ms(2_000), &other)
            .is_empty()
    );
}

#[test]
fn a_hosts_own_copy_keeps_its_destination_busy_until_it_ends() {
    let mut queues = MoveQueues::default();
    let destination = InstanceId::from(UpstreamId::new("destination"));
    let other = InstanceId::from(UpstreamId::new("other"));
    let ticket = queues.join(&engine());
    queues.set_destination(&engine(), ticket, &destination);
    assert!(queues.busy_destinations(Time::ZERO, &other).is_empty());

    queues.begin(&engine(), ticket);
    queues.set_destination(&engine(), ticket, &destination);
    assert!(
        queues
            .busy_destinations(Time::ZERO, &other)
            .contains(&destination)
    );

    queues.leave(&engine(), ticket);
    assert!(queues.busy_destinations(Time::ZERO, &other).is_empty());
}
