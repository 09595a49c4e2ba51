//! For how long hosts of other data centres are remembered that are not heard.

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

/// A host of the north that heard one of so many of the south each 10 ms.
fn host_that_heard(far: usize) -> Peers {
    let own = SocketAddr::from(([10, 0, 0, 1], 7_200));
    let mut peers = Peers::new(own, DataCentre::new("north"), &[]);
    for index in 0..far {
        let now = Time::ZERO + Duration::from_millis(10) * index as u32;
        peers.receive(now, address(index), &datagram(index, "south"));
    }
    peers
}

fn remembered_after(peers: &mut Peers, silence: Duration) -> Vec<SocketAddr> {
    peers.targets(Time::ZERO + silence, Recipients::Local);
    peers.remote_hosts()
}

// After a cut of 16 s neither side knew whom to tell that it was over.
#[test]
fn a_few_far_hosts_are_remembered_for_a_minute() {
    let mut peers = host_that_heard(10);

    let after_20_s = remembered_after(&mut peers, Duration::from_secs(20));
    let partners = peers.remote_partners(Time::ZERO + Duration::from_secs(20));
    let after_61_s = remembered_after(&mut peers, Duration::from_secs(61));

    assert_eq!(after_20_s.len(), 10);
    assert_eq!(partners[&DataCentre::new("south")].len(), 3);
    assert_eq!(after_61_s.len(), 0);
}

#[test]
fn of_many_far_hosts_the_most_silent_are_forgotten() {
    let mut peers = host_that_heard(100);

    let remembered = remembered_after(&mut peers, Duration::from_secs(20));

    let last_heard: Vec<SocketAddr> = (52..100).map(address).collect();
    assert_eq!(remembered, last_heard);
}

#[test]
fn only_hosts_heard_of_late_are_told_of_the_data_centre_while_there_are_some() {
    let mut peers = host_that_heard(10);
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
fn a_far_stranger_is_answered_if_it_knows_few_hosts_of_another_data_centre() {
    let mut peers = host_that_heard(10);
    let told_by = |index: usize, lacks_hosts: bool| Datagram {
        lacks_hosts,
        hears: 20,
        ..datagram(index, "south")
    };

    let lacking = peers.receive(Time::ZERO, address(30), &told_by(30, true));
    let knowing = peers.receive(Time::ZERO, address(31), &told_by(31, false));

    assert!(lacking.is_unknown && lacking.lacks_hosts);
    assert!(knowing.is_unknown && !knowing.lacks_hosts);
}

#[test]
fn a_host_lacks_others_until_it_knows_some_of_each_data_centre() {
    assert!(host_that_heard(0).lacks_hosts());
    assert!(host_that_heard(7).lacks_hosts());
    assert!(!host_that_heard(8).lacks_hosts());
}
