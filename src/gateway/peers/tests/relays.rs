//! Tests of the tree along which changes are relayed within a data centre.

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

/// Hosts of one data centre, each with a datagram of every other one.
fn hosts(count: usize) -> Vec<Peers> {
    let north = DataCentre::new("north");
    let datagrams: Vec<_> = (0..count)
        .map(|index| {
            let mut datagram = datagram(0, "north");
            datagram.host = HostId::new(format!("host-{index:04}"));
            datagram
        })
        .collect();
    let receive_all = |own: usize| {
        let mut peers = Peers::new(address(own), north.clone(), &[]);
        for (index, datagram) in datagrams.iter().enumerate().filter(|(at, _)| *at != own) {
            peers.receive(Time::ZERO, address(index), datagram);
        }
        peers
    };
    (0..count).map(receive_all).collect()
}

/// The hops after which each host has the changes of `root`, and the most datagrams that one host sends.
fn relay_from(hosts: &[Peers], root: usize) -> (BTreeMap<SocketAddr, usize>, usize) {
    let mut hops = BTreeMap::from([(address(root), 0)]);
    let mut waiting = VecDeque::from([root]);
    let mut max_sends = 0;
    while let Some(index) = waiting.pop_front() {
        let children = hosts[index].relay_children(Time::ZERO, address(root));
        max_sends = max_sends.max(children.len());
        let next_hops = hops[&address(index)] + 1;
        for child in children {
            let next = (0..hosts.len()).find(|other| address(*other) == child);
            if hops.insert(child, next_hops).is_none() {
                waiting.extend(next);
            }
        }
    }
    (hops, max_sends)
}

// Without the tree, one host sent each of hundreds of changes a second to a thousand others.
#[test]
fn relayed_changes_reach_all_hosts_in_few_hops_with_few_sends_each() {
    for count in [1, 2, 30, 80, 250] {
        let hosts = hosts(count);
        for root in [0, count / 3, count - 1] {
            let (hops, max_sends) = relay_from(&hosts, root);

            let deepest = hops.values().max().copied().unwrap_or(0);
            assert_eq!(hops.len(), count, "from {root}");
            assert!(
                max_sends <= 4 && deepest <= 4,
                "{max_sends} sent, {deepest} hops"
            );
        }
    }
}
