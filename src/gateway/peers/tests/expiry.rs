//! Tests of how long silent hosts of other data centres are kept.

use std::net::SocketAddr;
use std::time::Duration;

use super::datagram;
use crate::clock::Time;
use crate::gateway::datagram::Datagram;
use crate::gateway::peers::Peers;
use crate::gateway::peers::Recipients;
use crate::id::DataCentre;

fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 1, 0, index as u8], 7_200))
}

/// A host of the north that received a datagram of one host of the south every 10 ms.
fn host_with_remote_peers(remote: usize) -> Peers {
    let own = SocketAddr::from(([10, 0, 0, 1], 7_200));
    let mut peers = Peers::new(own, DataCentre::new("north"), &[]);
    for index in 0..remote {
        let now = Time::ZERO + Duration::from_millis(10) * index as u32;
        peers.receive(now, address(index), &datagram(index, "south"));
    }
    peers
}

fn known_after(peers: &mut Peers, silence: Duration) -> Vec<SocketAddr> {
    peers.targets(Time::ZERO + silence, Recipients::Local);
    peers.remote_hosts()
}

// When silent hosts were removed after 15 s, neither side of a 16 s partition had a host left to contact.
#[test]
fn a_few_silent_remote_hosts_are_kept_for_a_minute() {
    let mut peers = host_with_remote_peers(10);

    let after_20_s = known_after(&mut peers, Duration::from_secs(20));
    let partners = peers.remote_partners(Time::ZERO + Duration::from_secs(20));
    let after_61_s = known_after(&mut peers, Duration::from_secs(61));

    assert_eq!(after_20_s.len(), 10);
    assert_eq!(partners[&DataCentre::new("south")].len(), 3);
    assert_eq!(after_61_s.len(), 0);
}

#[test]
fn the_longest_silent_of_many_remote_hosts_expire() {
    let mut peers = host_with_remote_peers(100);

    let known = known_after(&mut peers, Duration::from_secs(20));

    let most_recent: Vec<SocketAddr> = (52..100).map(address).collect();
    assert_eq!(known, most_recent);
}

#[test]
fn partners_are_recently_active_hosts_if_there_are_enough() {
    let mut peers = host_with_remote_peers(10);
    let now = Time::ZERO + Duration::from_secs(20);
    for index in 20..24 {
        peers.receive(now, address(index), &datagram(index, "south"));
    }

    let partners = peers.remote_partners(now).remove(&DataCentre::new("south"));

    let partners = partners.expect("hosts of the south");
    assert!(
        partners.iter().all(|host| *host >= address(20)),
        "{partners:?}"
    );
}

#[test]
fn an_unknown_remote_host_is_answered_only_if_it_lacks_hosts() {
    let mut peers = host_with_remote_peers(10);
    let datagram_from = |index: usize, lacks_hosts: bool| Datagram {
        lacks_hosts,
        hears: 20,
        ..datagram(index, "south")
    };

    let lacking = peers.receive(Time::ZERO, address(30), &datagram_from(30, true));
    let knowing = peers.receive(Time::ZERO, address(31), &datagram_from(31, false));

    assert!(lacking.is_unknown && lacking.lacks_hosts);
    assert!(knowing.is_unknown && !knowing.lacks_hosts);
}

#[test]
fn a_host_lacks_hosts_until_it_knows_enough_of_each_data_centre() {
    assert!(host_with_remote_peers(0).lacks_hosts());
    assert!(host_with_remote_peers(7).lacks_hosts());
    assert!(!host_with_remote_peers(8).lacks_hosts());
}
