use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::ColdBudget;
use super::ColdUpstream;
use super::WINDOW;
use super::quota;
use crate::clock::Time;
use crate::gateway::instance::InstanceId;
use crate::gateway::senders::Sender;
use crate::id::DataCentre;
use crate::id::HostId;
use crate::id::UpstreamId;

/// Requests a second that a cold upstream tolerates.
const TOLERATED_PER_S: f64 = 25.0;
/// Requests a second beyond which the tolerance counts as exceeded.
const BOUND_PER_S: usize = 42;
/// Uptime of a host that knows its peers.
const ESTABLISHED_UPTIME: Duration = Duration::from_secs(60);
/// Seconds simulated for each number of hosts.
const SECONDS: usize = 1_000;
/// A host is missing one in this many peers of its data centre.
const UNSEEN_ONE_IN: u32 = 20;
/// Longest time from sending a request to its arrival.
const LATENCY_MAX: Duration = Duration::from_millis(50);

fn hosts(count: usize) -> Vec<HostId> {
    let names = (0..count).map(|index| HostId::new(format!("host-{index:04}")));
    names.collect()
}

fn instance(index: usize) -> InstanceId {
    InstanceId::from(UpstreamId::new(format!("up-{index}")))
}

fn north() -> DataCentre {
    DataCentre::new("north")
}

/// The quota of each of `hosts` at an upstream; `sees` decides for each pair whether a host knows the peer.
fn quotas(hosts: &[HostId], upstream: &InstanceId, mut sees: impl FnMut() -> bool) -> Vec<usize> {
    let cold = ColdUpstream {
        upstream,
        data_centre: &north(),
        requests_per_s: TOLERATED_PER_S,
    };
    let of_host = |host: &HostId| {
        let others = hosts.iter().filter(|other| *other != host);
        let peers: Vec<HostId> = others.filter(|_| sees()).cloned().collect();
        let sender = Sender {
            host,
            data_centre: &north(),
            peers: &peers,
            uptime: ESTABLISHED_UPTIME,
        };
        quota(&sender, &cold)
    };
    hosts.iter().map(of_host).collect()
}

/// The most requests that arrive within a second if each host spends its quota as soon as it may, starting
/// at a random time in the first second.
fn most_in_a_second(quotas: &[usize], random: &mut ChaCha8Rng) -> usize {
    let mut arrivals = Vec::new();
    for quota in quotas {
        let begins = Time::ZERO + Duration::from_millis(random.random_range(0..1_000));
        for window in 0..3 {
            let sent = begins + WINDOW * window;
            let latency = || LATENCY_MAX.mul_f64(random.random());
            arrivals.extend(
                std::iter::repeat_with(latency)
                    .take(*quota)
                    .map(|time| sent + time),
            );
        }
    }
    arrivals.sort();
    let within = |from: &Time| {
        let second = arrivals.iter().filter(|at| **at >= *from);
        second
            .take_while(|at| at.since(*from) < Duration::from_secs(1))
            .count()
    };
    arrivals.iter().map(within).max().unwrap_or(0)
}

#[test]
fn hosts_keep_the_bound_at_any_fleet_size_with_incomplete_peer_lists() {
    for count in [1, 3, 21, 74, 100] {
        let hosts = hosts(count);
        let mut random = ChaCha8Rng::seed_from_u64(count as u64);
        let mut most = 0;
        for second in 0..SECONDS {
            let mut unseen = ChaCha8Rng::seed_from_u64(second as u64);
            let sees = || !unseen.random_ratio(1, UNSEEN_ONE_IN);
            let quotas = quotas(&hosts, &instance(second), sees);
            most = most.max(most_in_a_second(&quotas, &mut random));
        }

        assert!((1..=BOUND_PER_S).contains(&most), "{count} hosts: {most}");
    }
}

#[test]
fn two_partitioned_halves_of_a_data_centre_keep_the_bound_together() {
    let hosts = hosts(60);
    let mut random = ChaCha8Rng::seed_from_u64(3);

    for second in 0..SECONDS {
        let upstream = instance(second);
        let halves = hosts
            .chunks(30)
            .map(|half| quotas(half, &upstream, || true));
        let quotas: Vec<usize> = halves.flatten().collect();
        let most = most_in_a_second(&quotas, &mut random);

        assert!(most <= BOUND_PER_S, "{most}");
    }
}

#[test]
fn hosts_of_other_data_centres_and_new_hosts_send_nothing() {
    let upstream = instance(0);
    let south = DataCentre::new("south");
    let cold = ColdUpstream {
        upstream: &upstream,
        data_centre: &north(),
        requests_per_s: TOLERATED_PER_S,
    };
    let host = HostId::new("host");
    let old = Sender {
        host: &host,
        data_centre: &south,
        peers: &[],
        uptime: ESTABLISHED_UPTIME,
    };
    let young = Sender {
        data_centre: &north(),
        uptime: Duration::from_secs(1),
        ..old
    };

    assert_eq!((quota(&old, &cold), quota(&young, &cold)), (0, 0));
}

#[test]
fn a_host_spends_its_quota_once_per_window() {
    let upstream = instance(0);
    let host = HostId::new("host");
    let sender = Sender {
        host: &host,
        data_centre: &north(),
        peers: &[],
        uptime: ESTABLISHED_UPTIME,
    };
    let cold = ColdUpstream {
        upstream: &upstream,
        data_centre: &north(),
        requests_per_s: 2.5,
    };
    let mut budget = ColdBudget::default();

    let taken = (0..10).filter(|_| {
        let allows = budget.allows(Time::ZERO, &sender, &cold);
        if allows {
            budget.spend(Time::ZERO, &upstream);
        }
        allows
    });
    let taken = taken.count();
    let later = Time::ZERO + WINDOW;
    budget.prune(later);

    assert_eq!(taken, 2);
    assert!(budget.allows(later, &sender, &cold));
}

/// Requests to an upstream within one window if all of `hosts` spend their quotas, only the first `left` of
/// them go on, and these spend what their larger quotas add.
fn sent_around_a_stop(hosts: &[HostId], left: usize, upstream: &InstanceId) -> usize {
    let before = quotas(hosts, upstream, || true);
    let after = quotas(&hosts[..left], upstream, || true);
    let more = after.iter().zip(&before);
    let more = more.map(|(after, before)| after.saturating_sub(*before));
    before.iter().sum::<usize>() + more.sum::<usize>()
}

// The remaining hosts take over the quotas of the stopped ones, which these have spent in the same second.
#[test]
fn hosts_that_stop_together_and_the_remaining_ones_keep_the_bound() {
    for count in [2, 3, 6, 21, 74, 100] {
        let hosts = hosts(count);
        for second in 0..SECONDS / 10 {
            let left = 1 + second % count;

            let sent = sent_around_a_stop(&hosts, left, &instance(second));

            assert!(
                sent <= BOUND_PER_S,
                "{left} of {count} hosts are left: {sent}"
            );
        }
    }
}
