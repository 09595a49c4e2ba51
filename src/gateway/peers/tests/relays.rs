//! How changes go over a data centre along a tree.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::net::SocketAddr;

use super::datagram;
use crate::clock::Time;
use crate::gateway::peers::Peers;
use crate::id::DataCentre;
use crate::id::HostId;

fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 2, (index >> 8) as u8, index as u8], 7_200))
}

/// Hosts of one data centre that all hear each other.
fn hosts(count: usize) -> Vec<Peers> {
    let north = DataCentre::new("north");
    let datagrams: Vec<_> = (0..count)
        .map(|index| {
            let mut datagram = datagram(0, "north");
            datagram.host = HostId::new(format!("host-{index:04}"));
            datagram
        })
        .collect();
    let hear_all = |own: usize| {
        let mut peers = Peers::new(address(own), north.clone(), &[]);
        for (index, datagram) in datagrams.iter().enumerate().filter(|(at, _)| *at != own) {
            peers.receive(Time::ZERO, address(index), datagram);
        }
        peers
    };
    (0..count).map(hear_all).collect()
}

/// After how many hops each host has what `root` passes on, and the most that one host sends.
fn spread(hosts: &[Peers], root: usize) -> (BTreeMap<SocketAddr, usize>, usize) {
    let mut hops = BTreeMap::from([(address(root), 0)]);
    let mut waiting = VecDeque::from([root]);
    let mut sends_most = 0;
    while let Some(index) = waiting.pop_front() {
        let behind = hosts[index].relay_children(Time::ZERO, address(root));
        sends_most = sends_most.max(behind.len());
        let passed = hops[&address(index)] + 1;
        for child in behind {
            let next = (0..hosts.len()).find(|other| address(*other) == child);
            if hops.insert(child, passed).is_none() {
                waiting.extend(next);
            }
        }
    }
    (hops, sends_most)
}

// One host told a thousand others of each of hundreds of changes a second.
#[test]
fn changes_reach_all_hosts_of_a_data_centre_in_a_few_hops_and_nobody_sends_to_many() {
    for count in [1, 2, 30, 80, 250] {
        let hosts = hosts(count);
        for root in [0, count / 3, count - 1] {
            let (hops, sends_most) = spread(&hosts, root);

            let deepest = hops.values().max().copied().unwrap_or(0);
            assert_eq!(hops.len(), count, "from {root}");
            assert!(
                sends_most <= 4 && deepest <= 4,
                "{sends_most} sent, {deepest} hops"
            );
        }
    }
}
