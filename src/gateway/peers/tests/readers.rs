//! Tests of which hosts read the log and which leave it to others.

use super::address;
use super::data_centre_of;
use super::datagram;
use super::host;
use super::peers;
use crate::clock::Time;
use crate::gateway::peers::Peers;
use crate::gateway::protocol::Topic;
use crate::id::DataCentre;
use crate::id::HostId;

fn is_reader_in(peers: &Peers, now: Time, index: usize, data_centre: &str) -> bool {
    let data_centre = DataCentre::new(data_centre);
    peers.is_reader(now, &host(index), &data_centre, Topic::Operator)
}

fn is_reader(peers: &Peers, now: Time, index: usize) -> bool {
    is_reader_in(peers, now, index, data_centre_of(index))
}

#[test]
fn the_first_host_of_a_data_centre_reads() {
    let mut peers = Peers::new(address(0), DataCentre::new("north"), &[]);
    for index in 1..20 {
        peers.receive(
            Time::ZERO,
            address(index),
            &datagram(index, data_centre_of(index)),
        );
    }

    assert!(is_reader(&peers, Time::ZERO, 0));
    assert!(!is_reader(&super::peers(), Time::ZERO, 20));
}

#[test]
fn a_reader_that_falls_silent_is_replaced() {
    let mut peers = peers();
    let later = Time::from_ms(1_200);
    for index in 1..20 {
        peers.receive(
            later,
            address(index),
            &datagram(index, data_centre_of(index)),
        );
    }

    // In the north, host 0 is silent and host 2 would be next.
    assert!(!is_reader(&peers, later, 20));
    assert!(is_reader_in(&peers, later, 1, "north"));
}

#[test]
fn a_reader_that_the_log_refuses_is_replaced() {
    let mut peers = peers();
    let mut unanswered = datagram(0, "north");
    unanswered.unreadable.operator = true;
    peers.receive(Time::ZERO, address(0), &unanswered);

    assert!(is_reader_in(&peers, Time::ZERO, 1, "north"));
}

#[test]
fn one_host_reads_the_upstreams_for_all_data_centres() {
    let mut peers = peers();
    let south = DataCentre::new("south");
    let reads = |peers: &Peers, now: Time| peers.is_reader(now, &host(1), &south, Topic::Upstreams);
    // Host 1 is the first of the south, and host 0 reads in the north.
    assert!(reads(&peers, Time::ZERO));
    let mut reading = datagram(0, "north");
    reading.reading.upstreams = true;
    peers.receive(Time::ZERO, address(0), &reading);

    assert!(!reads(&peers, Time::from_ms(999)));
    assert!(peers.has_live_reader(Time::from_ms(999), Topic::Upstreams));
    assert!(is_reader_in(&peers, Time::from_ms(999), 1, "south"));
    // After the reader timeout, as in a partition, the next host reads.
    assert!(reads(&peers, Time::from_ms(1_000)));
}

#[test]
fn two_hosts_of_a_data_centre_probe_an_unreachable_log() {
    let peers = peers();
    let is_log_prober = |index: usize| {
        peers.is_log_prober(
            Time::ZERO,
            &host(index),
            &DataCentre::new(data_centre_of(index)),
        )
    };

    let probers: Vec<usize> = (0..20).filter(|index| is_log_prober(*index)).collect();

    assert_eq!(probers, [0, 1, 2, 3]);
}

#[test]
fn in_a_small_fleet_each_host_reads() {
    let mut peers = Peers::new(address(20), DataCentre::new("north"), &[]);
    for index in 0..8 {
        peers.receive(Time::ZERO, address(index), &datagram(index, "north"));
    }

    assert!(is_reader(&peers, Time::ZERO, 20));
}

fn fleet_of(count: u16) -> Peers {
    let mut peers = Peers::new(address(0), DataCentre::new("north"), &[]);
    for index in 1..count {
        let [high, low] = index.to_be_bytes();
        let address = std::net::SocketAddr::from(([10, 1, high, low], 7200));
        let mut datagram = datagram(usize::from(index), "north");
        datagram.host = HostId::new(format!("host-{index:04}"));
        datagram.reading.operator = index == 1;
        peers.receive(Time::ZERO, address, &datagram);
    }
    peers
}

// At 295 hosts the interval of 1.18 s between rounds exceeded a fixed reader timeout of 1 s, so hosts that
// weren't readers made nearly all of 29,385 calls to the log in a minute.
#[test]
fn a_reader_survives_one_lost_datagram_at_any_fleet_size() {
    let north = DataCentre::new("north");
    for count in [13, 78, 295, 600] {
        let peers = fleet_of(count);
        let two_rounds = Time::ZERO + peers.reader_interval(Time::ZERO) * 2;
        let last = HostId::new("host-9999");

        assert!(
            peers.has_live_reader(two_rounds, Topic::Operator),
            "{count}"
        );
        assert!(!peers.is_reader(two_rounds, &last, &north, Topic::Operator));
    }
}

#[test]
fn a_host_that_is_no_candidate_waits_longer_for_a_reader() {
    let peers = fleet_of(78);
    let silent = Time::from_ms(1_500);

    assert!(!peers.has_live_reader(silent, Topic::Operator));
    assert!(peers.awaits_reader(silent, Topic::Operator));
    assert!(!peers.awaits_reader(Time::from_ms(2_000), Topic::Operator));
}

// When a host read the log until it had received datagrams of twelve others itself, 295 hosts that started
// together made 7,492 calls in 20 s.
#[test]
fn a_newcomer_does_not_read_if_a_peer_announces_a_large_fleet() {
    let mut peers = Peers::new(address(20), DataCentre::new("north"), &[]);
    let mut seed = datagram(1, "north");
    seed.hears = 200;
    seed.reading.operator = true;
    peers.receive(Time::ZERO, address(1), &seed);
    let mut later = seed.clone();
    later.hears = 3;

    assert!(!is_reader_in(&peers, Time::ZERO, 20, "north"));
    // After a partition the remaining hosts use their own counts.
    peers.receive(Time::ZERO, address(1), &later);
    assert!(is_reader_in(&peers, Time::ZERO, 20, "north"));
}

// Hosts of a large fleet know only some hosts of other data centres. If their neighbours didn't announce the
// readers to them, two readers could go on beside each other without either receiving the other's datagrams.
#[test]
fn in_a_large_fleet_local_hosts_announce_the_upstreams_reader() {
    let mut peers = peers();
    let mut reader = datagram(40, "south");
    reader.reading.upstreams = true;
    peers.receive(Time::ZERO, address(40), &reader);

    let announced = [0, 1, 2].map(|_| peers.announced_hosts(Time::ZERO));

    assert!(
        announced
            .iter()
            .all(|announced| announced.contains(&address(40)))
    );
    assert!(
        announced
            .iter()
            .flatten()
            .all(|host| *host == address(40) || is_in_north(*host))
    );
}

fn is_in_north(host: std::net::SocketAddr) -> bool {
    (0..20).step_by(2).map(address).any(|north| north == host)
}
