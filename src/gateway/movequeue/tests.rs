use std::time::Duration;

use super::MoveQueues;
use super::PendingMoves;
use super::TURN_WAIT;
use crate::clock::Time;
use crate::gateway::instance::InstanceId;
use crate::gateway::moveorder::LeavingRun;
use crate::gateway::moveorder::MoveKey;
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
        key: None,
    }]
}

fn moving() -> Vec<PendingMoves> {
    vec![PendingMoves {
        upstream: engine(),
        runs: 1,
        is_moving: true,
        to: Some(InstanceId::from(UpstreamId::new("destination"))),
        key: None,
    }]
}

fn may_begin(queues: &mut MoveQueues, now: Time, host: &str, ticket: u64) -> bool {
    queues.may_begin(now, &HostId::new(host), &engine(), ticket)
}

#[test]
fn runs_of_one_host_go_in_the_order_in_which_they_joined() {
    let mut queues = MoveQueues::default();
    let first = queues.join(Time::ZERO, &engine(), None);
    let second = queues.join(Time::ZERO, &engine(), None);
    let before = may_begin(&mut queues, Time::ZERO, "host-1", second);

    queues.leave(&engine(), first);

    assert!(!before);
    assert!(may_begin(&mut queues, Time::ZERO, "host-1", second));
}

#[test]
fn a_host_waits_only_for_hosts_before_it_by_name() {
    let mut queues = MoveQueues::default();
    let ticket = queues.join(Time::ZERO, &engine(), None);

    queues.receive(Time::ZERO, &HostId::new("host-0"), waiting(2));
    queues.receive(Time::ZERO, &HostId::new("host-2"), waiting(2));

    assert!(!may_begin(&mut queues, Time::ZERO, "host-1", ticket));
    queues.receive(Time::ZERO, &HostId::new("host-0"), Vec::new());
    assert!(may_begin(&mut queues, Time::ZERO, "host-1", ticket));
}

#[test]
fn a_silent_peer_does_not_block_others() {
    let mut queues = MoveQueues::default();
    let ticket = queues.join(Time::ZERO, &engine(), None);
    queues.receive(Time::ZERO, &HostId::new("host-0"), waiting(1));

    assert!(!may_begin(
        &mut queues,
        Time::from_ms(800),
        "host-1",
        ticket
    ));
    assert!(may_begin(&mut queues, Time::from_ms(900), "host-1", ticket));
}

#[test]
fn engines_have_separate_queues() {
    let mut queues = MoveQueues::default();
    queues.join(
        Time::ZERO,
        &InstanceId::from(UpstreamId::new("other")),
        None,
    );
    let ticket = queues.join(Time::ZERO, &engine(), None);

    assert!(may_begin(&mut queues, Time::ZERO, "host-1", ticket));
    assert_eq!(queues.pending().len(), 2);
}

#[test]
fn a_move_in_progress_is_waited_for_regardless_of_host_order() {
    let mut queues = MoveQueues::default();
    let ticket = queues.join(Time::ZERO, &engine(), None);

    queues.receive(Time::ZERO, &HostId::new("host-2"), moving());

    assert!(!may_begin(&mut queues, Time::ZERO, "host-1", ticket));
    queues.receive(Time::ZERO, &HostId::new("host-2"), waiting(1));
    assert!(may_begin(&mut queues, Time::ZERO, "host-1", ticket));
}

#[test]
fn a_run_moved_out_of_order_is_waited_for_by_its_host() {
    let mut queues = MoveQueues::default();
    let first = queues.join(Time::ZERO, &engine(), None);
    let second = queues.join(Time::ZERO, &engine(), None);
    queues.begin(&engine(), second);

    let while_moving = may_begin(&mut queues, Time::ZERO, "host-1", first);
    queues.leave(&engine(), second);

    assert!(!while_moving);
    assert!(may_begin(&mut queues, Time::ZERO, "host-1", first));
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
    let ticket = queues.join(Time::ZERO, &engine(), None);
    queues.set_destination(&engine(), ticket, Some(&destination));
    assert!(queues.busy_destinations(Time::ZERO, &other).is_empty());

    queues.begin(&engine(), ticket);
    queues.set_destination(&engine(), ticket, Some(&destination));
    assert!(
        queues
            .busy_destinations(Time::ZERO, &other)
            .contains(&destination)
    );

    queues.leave(&engine(), ticket);
    assert!(queues.busy_destinations(Time::ZERO, &other).is_empty());
}

/// The key of a run of so many tokens; the least tokens go first.
fn key(memory_tokens: u32) -> MoveKey {
    let run = LeavingRun {
        memory_tokens,
        produced_tokens: 100,
        tokens_left: 1_000,
        token_time: Duration::from_millis(10),
        rank: 0,
        copy_tokens_per_s: None,
    };
    run.key(Duration::ZERO)
}

fn join(queues: &mut MoveQueues, memory_tokens: u32) -> u64 {
    queues.join(Time::ZERO, &engine(), Some(key(memory_tokens)))
}

/// Hosts that each have one run of so many tokens, and its ticket.
fn hosts(tokens: &[u32]) -> Vec<(HostId, MoveQueues, u64)> {
    let hosts = tokens.iter().enumerate().map(|(index, tokens)| {
        let mut queues = MoveQueues::default();
        let ticket = join(&mut queues, *tokens);
        (HostId::new(format!("host-{index}")), queues, ticket)
    });
    hosts.collect()
}

/// Each host but those of `lost` hears all others.
fn exchange(now: Time, hosts: &mut [(HostId, MoveQueues, u64)], lost: &[usize]) {
    let reports: Vec<(HostId, Vec<PendingMoves>)> = hosts
        .iter()
        .map(|(host, queues, _)| (host.clone(), queues.pending()))
        .collect();
    for (index, (own, queues, _)) in hosts.iter_mut().enumerate() {
        let heard = reports.iter().filter(|(host, _)| host != own);
        for (host, pending) in heard.filter(|_| !lost.contains(&index)) {
            queues.receive(now, host, pending.clone());
        }
    }
}

/// The hosts whose run may begin now.
fn beginning(now: Time, hosts: &mut [(HostId, MoveQueues, u64)]) -> Vec<usize> {
    let hosts = hosts.iter_mut().enumerate();
    let free = hosts.filter_map(|(index, (host, queues, ticket))| {
        queues
            .may_begin(now, host, &engine(), *ticket)
            .then_some(index)
    });
    free.collect()
}

#[test]
fn runs_of_one_host_go_by_their_keys() {
    let mut queues = MoveQueues::default();
    let large = join(&mut queues, 6_000);
    let small = join(&mut queues, 1_000);

    assert!(!may_begin(&mut queues, Time::ZERO, "host-1", large));
    assert!(may_begin(&mut queues, Time::ZERO, "host-1", small));
    queues.set_key(&engine(), small, key(9_000));
    assert!(may_begin(&mut queues, Time::ZERO, "host-1", large));
}

#[test]
fn hosts_agree_on_the_run_with_the_least_key_and_go_on_one_after_another() {
    let mut hosts = hosts(&[3_000, 1_000, 2_000]);
    let mut order = Vec::new();
    exchange(Time::ZERO, &mut hosts, &[]);
    while let [first] = beginning(Time::ZERO, &mut hosts)[..] {
        let (_, queues, ticket) = &mut hosts[first];
        queues.begin(&engine(), *ticket);
        exchange(Time::ZERO, &mut hosts, &[]);
        assert!(beginning(Time::ZERO, &mut hosts).is_empty());

        let (host, queues, ticket) = &mut hosts[first];
        queues.leave(&engine(), *ticket);
        order.push(host.clone());
        exchange(Time::ZERO, &mut hosts, &[]);
        hosts.remove(first);
    }

    assert_eq!(order, ["host-1", "host-2", "host-0"].map(HostId::new));
}

#[test]
fn hosts_with_equal_keys_go_by_name() {
    let mut hosts = hosts(&[2_000, 2_000]);
    exchange(Time::ZERO, &mut hosts, &[]);

    assert_eq!(beginning(Time::ZERO, &mut hosts), [0]);
}

#[test]
fn hosts_after_a_silent_one_go_on_one_after_another() {
    let mut hosts = hosts(&[1_000, 2_000, 3_000]);
    exchange(Time::ZERO, &mut hosts, &[]);
    let turn = Time::ZERO + TURN_WAIT;
    let almost = Time::from_us(turn.as_us() - 1);
    let of_others = |now, hosts: &mut [(HostId, MoveQueues, u64)]| beginning(now, &mut hosts[1..]);

    assert!(of_others(almost, &mut hosts).is_empty());
    assert_eq!(of_others(turn, &mut hosts), [0]);

    let (_, queues, ticket) = &mut hosts[1];
    queues.begin(&engine(), *ticket);
    let pending = queues.pending();
    hosts[2].1.receive(turn, &HostId::new("host-1"), pending);
    let later = Time::ZERO + TURN_WAIT * 3;
    assert!(of_others(later, &mut hosts).is_empty());
}

#[test]
fn a_host_that_was_silent_is_waited_for_once_it_reports_again() {
    let mut hosts = hosts(&[1_000, 2_000]);
    exchange(Time::ZERO, &mut hosts, &[]);
    let turn = Time::ZERO + TURN_WAIT;
    assert_eq!(beginning(turn, &mut hosts[1..]), [0]);
    let (_, queues, ticket) = &mut hosts[1];
    queues.begin(&engine(), *ticket);
    let next = join(queues, 3_000);
    queues.leave(&engine(), *ticket);
    hosts[1].2 = next;

    assert_eq!(beginning(turn, &mut hosts[1..]), [0]);
    exchange(turn, &mut hosts, &[]);
    hosts[1]
        .1
        .own
        .values_mut()
        .for_each(|queue| queue.free_since = turn);
    assert!(beginning(turn, &mut hosts[1..]).is_empty());
}

#[test]
fn a_lost_datagram_delays_a_host_until_the_next_one() {
    let mut hosts = hosts(&[2_000, 1_000]);
    exchange(Time::ZERO, &mut hosts, &[0]);
    assert_eq!(beginning(Time::ZERO, &mut hosts), [0, 1]);
    for (_, queues, ticket) in &mut hosts {
        queues.begin(&engine(), *ticket);
    }
    let (_, queues, ticket) = &mut hosts[1];
    queues.leave(&engine(), *ticket);
    hosts[1].2 = join(&mut hosts[1].1, 1_500);
    exchange(Time::ZERO, &mut hosts, &[]);

    assert!(beginning(Time::ZERO, &mut hosts).is_empty());
    let (_, queues, ticket) = &mut hosts[0];
    queues.leave(&engine(), *ticket);
    assert!(beginning(Time::ZERO, &mut hosts[1..]).is_empty());
    exchange(Time::ZERO, &mut hosts, &[]);
    assert_eq!(beginning(Time::ZERO, &mut hosts[1..]), [0]);
}

#[test]
fn a_silent_host_of_one_engine_holds_up_no_run_of_another() {
    let mut hosts = hosts(&[1_000, 2_000]);
    let other = InstanceId::from(UpstreamId::new("other"));
    let (host, queues, _) = &mut hosts[1];
    let of_other = queues.join(Time::ZERO, &other, Some(key(9_000)));
    let host = host.clone();
    exchange(Time::ZERO, &mut hosts, &[]);

    assert!(beginning(Time::ZERO, &mut hosts[1..]).is_empty());
    let queues = &mut hosts[1].1;
    assert!(queues.may_begin(Time::ZERO, &host, &other, of_other));
}

#[test]
fn a_host_without_keys_goes_by_its_name() {
    let mut queues = MoveQueues::default();
    let ticket = join(&mut queues, 1_000);
    queues.receive(Time::ZERO, &HostId::new("host-0"), waiting(1));
    queues.receive(Time::ZERO, &HostId::new("host-2"), waiting(1));

    assert!(!may_begin(&mut queues, Time::ZERO, "host-1", ticket));
    assert_eq!(
        queues.count_ahead(Time::ZERO, &HostId::new("host-1"), &engine(), ticket),
        1
    );
    queues.receive(Time::ZERO, &HostId::new("host-0"), Vec::new());
    assert!(may_begin(&mut queues, Time::ZERO, "host-1", ticket));
}

#[test]
fn a_destination_is_free_while_its_copied_run_waits() {
    let mut queues = MoveQueues::default();
    let destination = InstanceId::from(UpstreamId::new("destination"));
    let other = InstanceId::from(UpstreamId::new("other"));
    let ticket = join(&mut queues, 1_000);
    queues.begin(&engine(), ticket);
    queues.set_destination(&engine(), ticket, Some(&destination));

    queues.set_destination(&engine(), ticket, None);

    assert!(queues.busy_destinations(Time::ZERO, &other).is_empty());
    assert!(queues.pending()[0].is_moving);
}
