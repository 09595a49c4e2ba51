//! Tests that the lookups for one datagram don't grow with the fleet.

use std::net::SocketAddr;

use super::datagram;
use crate::clock::Time;
use crate::gateway::datagram::Datagram;
use crate::gateway::peers::Peers;
use crate::id::DataCentre;
use crate::id::HostId;

const DATA_CENTRES: [&str; 5] = ["east", "north", "south", "west", "centre"];

fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (index / 250) as u8, (index % 250) as u8], 7_200))
}

fn datagram_from(index: usize) -> Datagram {
    Datagram {
        host: HostId::new(format!("host-{index:04}")),
        ..datagram(1, DATA_CENTRES[index % DATA_CENTRES.len()])
    }
}

/// The peers of the first host of a fleet, which has received a datagram of each other host.
fn host_in_fleet_of(fleet: usize) -> Peers {
    let mut peers = Peers::new(address(0), DataCentre::new(DATA_CENTRES[0]), &[]);
    for index in 1..fleet {
        peers.receive(Time::ZERO, address(index), &datagram_from(index));
    }
    peers
}

/// Number of hosts that `act` looks up.
fn lookups(peers: &mut Peers, act: impl FnOnce(&mut Peers)) -> usize {
    let before = peers.lookups.get();
    act(peers);
    peers.lookups.get() - before
}

// Each of 1,000 hosts that start together sends to hundreds as an unknown host, and each receiver looked up all
// hosts for each data centre in the introductions.
#[test]
fn lookups_for_an_unknown_host_do_not_grow_with_the_fleet() {
    let lookups_in = |fleet: usize| {
        let mut peers = host_in_fleet_of(fleet);
        let introduced = (1..17).map(|index| {
            let data_centre = DataCentre::new(DATA_CENTRES[index % DATA_CENTRES.len()]);
            (data_centre, address(index))
        });
        let unknown = Datagram {
            introduced: introduced.collect(),
            ..datagram_from(fleet)
        };
        lookups(&mut peers, |peers| {
            peers.receive(Time::ZERO, address(fleet), &unknown);
            peers.introductions(Time::ZERO, &unknown.data_centre);
            peers.announced_hosts(Time::ZERO);
        })
    };

    let small = lookups_in(60);

    for fleet in [300, 1_000] {
        assert!(lookups_in(fleet) <= small, "{fleet} hosts: {small}");
    }
}
