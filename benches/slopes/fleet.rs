//! What a gateway host pays for a datagram and a decision: by number of hosts and of upstreams.

use std::net::SocketAddr;

use crate::fit::Series;
use crate::fit::bytes_held;
use crate::fit::nanos_each;
use cedargauge::clock::Time;
use cedargauge::gateway::datagram::AnnouncedLoads;
use cedargauge::gateway::datagram::Datagram;
use cedargauge::gateway::datagram::Topics;
use cedargauge::gateway::directory::Directory;
use cedargauge::gateway::directory::Upstream;
use cedargauge::gateway::directory::UpstreamState;
use cedargauge::gateway::instance::InstanceId;
use cedargauge::gateway::loads::Load;
use cedargauge::gateway::loads::Loads;
use cedargauge::gateway::loads::ReportSource;
use cedargauge::gateway::peers::Peers;
use cedargauge::gateway::position::Position;
use cedargauge::gateway::protocol::Topic;
use cedargauge::id::DataCentre;
use cedargauge::id::HostId;
use cedargauge::id::UpstreamId;

const HOSTS: [usize; 3] = [30, 300, 1_000];
const UPSTREAMS: [usize; 3] = [1_000, 3_000, 10_000];
const DATA_CENTRES: usize = 5;
const CALLS: usize = 20_000;

/// Prints the slopes of a gateway host.
pub fn measure() {
    Series::measure(
        "gateway, hear a datagram and look who reads",
        &HOSTS,
        |hosts| {
            let mut peers = peers(hosts);
            let datagrams: Vec<Datagram> = (0..hosts).map(datagram).collect();
            let own = HostId::from("host-9999");
            nanos_each(CALLS, |index| {
                // Each host of a data centre is heard 83 times a second in all, at any number of them.
                let now = Time::from_ms(1 + 12 * index as u64);
                let from = index % hosts;
                peers.receive(now, address(from), &datagrams[from]);
                peers.is_reader(now, &own, &place(0), Topic::Operator)
            })
        },
    )
    .print("ns");
    Series::measure("gateway, loads at one upstream", &HOSTS, |hosts| {
        let loads = loads(hosts);
        let upstream = instance(7);
        nanos_each(CALLS, |_| loads.at(&upstream))
    })
    .print("ns");
    Series::measure(
        "gateway, take a change and the digest",
        &UPSTREAMS,
        |upstreams| {
            let mut directory = directory(upstreams);
            nanos_each(CALLS, |index| {
                let offset = (upstreams + index) as u64;
                let changed = upstream(index % upstreams);
                let id = changed.id.upstream().clone();
                directory.apply(Time::ZERO, &id, Some(changed), offset);
                directory.digest()
            })
        },
    )
    .print("ns");
    Series::measure("gateway, list of upstreams", &UPSTREAMS, |upstreams| {
        bytes_held(|| directory(upstreams))
    })
    .print("bytes");
}

fn place(index: usize) -> DataCentre {
    DataCentre::new(format!("dc-{}", index % DATA_CENTRES))
}

fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 1, (index >> 8) as u8, index as u8], 7_200))
}

fn peers(hosts: usize) -> Peers {
    let own = SocketAddr::from(([10, 9, 9, 9], 7_200));
    let mut peers = Peers::new(own, place(0), &[]);
    for index in 0..hosts {
        peers.receive(Time::ZERO, address(index), &datagram(index));
    }
    peers
}

fn datagram(index: usize) -> Datagram {
    Datagram {
        config: 3,
        upstreams: Position::from(10),
        peer_port: 8_000,
        reading: Topics {
            operator: index < DATA_CENTRES,
            upstreams: index == 0,
        },
        loads: AnnouncedLoads::OfHost(Vec::new()),
        ..Datagram::new(HostId::new(format!("host-{index:04}")), place(index))
    }
}

fn loads(hosts: usize) -> Loads {
    let mut loads = Loads::default();
    for index in 0..hosts {
        let host = ReportSource::Host(HostId::new(format!("host-{index:04}")));
        let told = (0..8).map(|run| (instance(index + run).key(), Load::default()));
        loads.receive(Time::ZERO, host, told.collect());
    }
    loads
}

fn instance(index: usize) -> InstanceId {
    InstanceId::from(UpstreamId::new(format!("i-{index:010}")))
}

fn upstream(index: usize) -> Upstream {
    Upstream {
        id: instance(index),
        service: "service".into(),
        address: address(index),
        data_centre: place(index),
        state: UpstreamState::Ready,
        slots: 24,
        cold_left_ms: 0,
        version: "v1".into(),
        sequence: 0,
    }
}

fn directory(upstreams: usize) -> Directory {
    let mut directory = Directory::default();
    let listed = (0..upstreams).map(|index| (upstream(index), Position::from(index as u64)));
    directory.replace(Time::ZERO, listed.collect(), upstreams as u64);
    directory
}
