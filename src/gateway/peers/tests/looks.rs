//! What a host looks at for one datagram doesn't grow with the fleet.

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

fn told_by(index: usize) -> Datagram {
    Datagram {
        host: HostId::new(format!("host-{index:04}")),
        ..datagram(1, DATA_CENTRES[index % DATA_CENTRES.len()])
    }
}

/// The first host of a fleet of so many, which has heard all the others.
fn host_of(fleet: usize) -> Peers {
    let mut peers = Peers::new(address(0), DataCentre::new(DATA_CENTRES[0]), &[]);
    for index in 1..fleet {
        peers.receive(Time::ZERO, address(index), &told_by(index));
    }
    peers
}

/// How many hosts `act` looks up.
fn looks(peers: &mut Peers, act: impl FnOnce(&mut Peers)) -> usize {
    let before = peers.looks.get();
    act(peers);
    peers.looks.get() - before
}

// Each of a thousand hosts that start together introduces itself to hundreds, and each looked at all hosts for each
// data centre that it was told of.
#[test]
fn a_stranger_costs_as_many_looks_in_a_fleet_of_a_thousand_as_in_one_of_sixty() {
    let looks_in = |fleet: usize| {
        let mut peers = host_of(fleet);
        let introduced = (1..17).map(|index| {
            let data_centre = DataCentre::new(DATA_CENTRES[index % DATA_CENTRES.len()]);
            (data_centre, address(index))
        });
        let stranger = Datagram {
            introduced: introduced.collect(),
            ..told_by(fleet)
        };
        looks(&mut peers, |peers| {
            peers.receive(Time::ZERO, address(fleet), &stranger);
            peers.introductions(Time::ZERO, &stranger.data_centre);
            peers.announced_hosts(Time::ZERO);
        })
    };

    let small = looks_in(60);

    for fleet in [300, 1_000] {
        assert!(looks_in(fleet) <= small, "{fleet} hosts: {small}");
    }
}
