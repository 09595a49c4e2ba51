mod expiry;
mod fleet;
mod livecounts;
mod lookups;
mod readers;
mod relays;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use super::Peers;
use super::Recipients;
use crate::clock::Time;
use crate::gateway::datagram::AnnouncedLoads;
use crate::gateway::datagram::Datagram;
use crate::gateway::datagram::decode;
use crate::gateway::datagram::encode;
use crate::gateway::directory::Change;
use crate::gateway::directory::ChangeKind;
use crate::gateway::directory::Upstream;
use crate::gateway::directory::UpstreamState;
use crate::gateway::document::catchup::Holder;
use crate::gateway::instance::InstanceId;
use crate::gateway::loads::Load;
use crate::gateway::position::Position;
use crate::id::DataCentre;
use crate::id::HostId;
use crate::id::ServiceId;
use crate::id::UpstreamId;
use crate::id::VersionId;

fn address(index: usize) -> std::net::SocketAddr {
    format!("10.0.0.{index}:7200").parse().unwrap()
}

fn host(index: usize) -> HostId {
    HostId::new(format!("host-{index:02}"))
}

fn datagram(index: usize, data_centre: &str) -> Datagram {
    Datagram {
        config: 3,
        upstreams: 10.into(),
        peer_port: 8000,
        loads: AnnouncedLoads::OfHost(Vec::new()),
        ..Datagram::new(host(index), DataCentre::new(data_centre))
    }
}

/// The peers of host 20: twenty hosts, of which the even ones are in the north.
fn peers() -> Peers {
    let mut peers = Peers::new(address(20), DataCentre::new("north"), &[]);
    for index in 0..20 {
        peers.receive(
            Time::ZERO,
            address(index),
            &datagram(index, data_centre_of(index)),
        );
    }
    peers
}

fn data_centre_of(index: usize) -> &'static str {
    match index % 2 {
        0 => "north",
        _ => "south",
    }
}

#[test]
fn silent_and_stopping_hosts_are_not_counted() {
    let mut peers = peers();
    let mut stopping = datagram(3, "south");
    stopping.stopping = true;
    peers.receive(Time::from_ms(2_900), address(3), &stopping);
    peers.receive(Time::from_ms(2_900), address(4), &datagram(4, "north"));

    assert_eq!(peers.count_live(Time::from_ms(2_900)), 19);
    assert_eq!(peers.count_live(Time::from_ms(4_100)), 1);
}

#[test]
fn seeds_stay_targets_after_they_expire() {
    let seed = "10.0.0.1:8000".parse().unwrap();
    let mut peers = Peers::new(address(20), DataCentre::new("north"), &[seed]);
    let at_first = peers.targets(Time::ZERO, Recipients::All);
    peers.receive(Time::ZERO, address(1), &datagram(1, "south"));
    let known = peers.targets(Time::ZERO, Recipients::All);
    let forgotten = peers.targets(Time::from_ms(60_000), Recipients::All);

    assert_eq!(at_first, [address(1)]);
    assert_eq!(known, [address(1)]);
    assert_eq!(forgotten, [address(1)]);
}

#[test]
fn a_local_round_excludes_other_data_centres() {
    let mut peers = peers();

    let near = peers.targets(Time::ZERO, Recipients::Local);

    assert_eq!(near.len(), 10);
}

#[test]
fn an_oversized_datagram_drops_its_smallest_loads() {
    let mut large = datagram(1, "north");
    let loads = (0..200).map(|index| {
        let load = Load {
            requests: 1,
            tokens: index,
            unread_tokens: 0,
        };
        let upstream = InstanceId::from(UpstreamId::new(format!("i-{index:08}")));
        (upstream.key(), load)
    });
    large.loads = AnnouncedLoads::OfHost(loads.collect());

    let bytes = encode(large);
    let kept = decode(&bytes).unwrap();

    assert!(bytes.len() <= 1_400, "{}", bytes.len());
    let AnnouncedLoads::OfHost(kept) = kept.loads else {
        panic!("the host's own loads");
    };
    let least = 200 - kept.len() as u32;
    assert!(kept.iter().all(|(_, load)| load.tokens >= least));
    assert!(!kept.is_empty());
}

#[test]
fn remote_silence_ends_with_a_datagram_of_any_other_data_centre() {
    let mut peers = Peers::new(address(20), DataCentre::new("north"), &[]);
    peers.receive(Time::from_ms(100), address(1), &datagram(1, "north"));
    assert_eq!(peers.remote_silence(Time::from_ms(900)), None);

    peers.receive(Time::from_ms(200), address(2), &datagram(2, "south"));
    peers.receive(Time::from_ms(500), address(3), &datagram(3, "east"));
    let silence = peers.remote_silence(Time::from_ms(900));
    assert_eq!(silence, Some(Duration::from_millis(400)));
}

/// The holders at the smallest distance, which are asked first.
fn nearest(holders: &[Holder]) -> Vec<std::net::SocketAddr> {
    let first = holders.iter().map(|holder| holder.distance).min();
    let nearest = holders
        .iter()
        .filter(|holder| Some(holder.distance) == first);
    nearest.map(|holder| holder.address).collect()
}

#[test]
fn holders_with_recent_datagrams_are_asked_first() {
    let mut peers = peers();
    let later = Time::from_ms(1_500);
    peers.receive(later, address(3), &datagram(3, "south"));

    let recent = nearest(&peers.holders(later, 2));
    let only_older = nearest(&self::peers().holders(later, 2));

    assert_eq!(recent, [std::net::SocketAddr::new(address(3).ip(), 8000)]);
    assert_eq!(only_older.len(), 20);
}

// When hosts counted only the senders of datagrams, each had to receive those of the whole fleet: 131 a second
// at 295 hosts.
#[test]
fn the_report_of_one_host_counts_for_its_data_centre() {
    let mut peers = Peers::new(address(20), DataCentre::new("north"), &[]);
    let mut far = datagram(1, "south");
    far.hears_near = 58;

    peers.receive(Time::ZERO, address(1), &far);
    let counted = peers.count_live(Time::from_ms(3_900));
    let mut stopping = far.clone();
    stopping.stopping = true;
    peers.receive(Time::ZERO, address(1), &stopping);

    assert_eq!(counted, 59);
    assert_eq!(peers.count_live(Time::from_ms(3_900)), 58);
    assert_eq!(peers.count_live(Time::from_ms(4_000)), 0);
}

#[test]
fn remote_partners_rotate_and_always_include_the_reader() {
    let mut peers = Peers::new(address(20), DataCentre::new("north"), &[]);
    for index in 0..9 {
        peers.receive(Time::ZERO, address(index), &datagram(index, "south"));
    }
    let mut reader = datagram(9, "east");
    reader.reading.upstreams = true;
    peers.receive(Time::ZERO, address(9), &reader);
    peers.receive(Time::ZERO, address(10), &datagram(10, "north"));

    let rounds = [0, 1, 2].map(|_| {
        let partners = peers.remote_partners(Time::ZERO).into_values();
        partners.flatten().collect::<Vec<SocketAddr>>()
    });

    let announced: std::collections::BTreeSet<_> = rounds.iter().flatten().copied().collect();
    assert!(
        rounds
            .iter()
            .all(|round| round.len() == 4 && round.contains(&address(9)))
    );
    assert_eq!(announced.len(), 10);
    assert!(!announced.contains(&address(10)));
}

#[test]
fn a_newcomer_is_answered_with_hosts_to_contact() {
    let mut peers = peers();
    let mut newcomer = datagram(30, "north");
    newcomer.hears = 3;
    let mut known = datagram(31, "south");
    known.hears = 20;

    let started = peers.receive(Time::ZERO, address(30), &newcomer);
    let again = peers.receive(Time::ZERO, address(30), &newcomer);
    let experienced = peers.receive(Time::ZERO, address(31), &known);
    let introduced = peers.introductions(Time::ZERO, &DataCentre::new("north"));

    assert!(started.is_unknown && started.is_newcomer);
    assert!(!again.is_unknown);
    assert!(experienced.is_unknown && !experienced.is_newcomer);
    assert_eq!(
        peers
            .bootstrap_hosts(Time::ZERO, &DataCentre::new("north"))
            .len(),
        11
    );
    assert_eq!(introduced.len(), 4);
    assert!(
        introduced
            .iter()
            .all(|(there, _)| there.as_str() == "south")
    );
}

#[test]
fn introductions_are_accepted_while_few_hosts_are_known() {
    let mut peers = Peers::new(address(20), DataCentre::new("north"), &[]);
    let mut introducing = datagram(1, "south");
    introducing.introduced = (2..6)
        .map(|index| (DataCentre::new("east"), address(index)))
        .collect();
    peers.receive(Time::ZERO, address(1), &introducing);
    let tried = peers.targets(Time::ZERO, Recipients::Local);
    for index in 2..10 {
        peers.receive(Time::ZERO, address(index), &datagram(index, "east"));
    }

    introducing.introduced = vec![(DataCentre::new("east"), address(11))];
    peers.receive(Time::ZERO, address(1), &introducing);

    assert_eq!(tried, [2, 3, 4, 5].map(address));
    assert!(peers.targets(Time::ZERO, Recipients::Local).is_empty());
}

#[test]
fn a_configuration_is_fetched_locally_if_a_local_host_has_it() {
    let mut peers = peers();
    for index in [0, 1, 3] {
        let mut newer = datagram(index, data_centre_of(index));
        newer.config = 4;
        peers.receive(Time::from_ms(10), address(index), &newer);
    }

    let holders = nearest(&peers.holders(Time::from_ms(20), 3));

    assert_eq!(holders, ["10.0.0.0:8000".parse().unwrap()]);
}

// When one datagram carried only the last 12 of 22 simultaneous changes, all hosts fetched the whole list.
#[test]
fn many_changes_are_split_over_several_datagrams() {
    let mut many = datagram(1, "north");
    many.changes = (0..45).map(change).collect();

    let parts = many.split();

    let sizes = parts.iter().map(|part| encode(part.clone()).len());
    assert!(sizes.max().unwrap() <= 1_400);
    let announced = parts.iter().flat_map(|part| &part.changes);
    assert_eq!(
        announced
            .map(|change| change.position.offset)
            .collect::<Vec<u64>>(),
        (0..45).collect::<Vec<u64>>()
    );
    let (last, before) = parts.split_last().unwrap();
    assert!(!last.has_more_changes && before.iter().all(|part| part.has_more_changes));
}

fn change(offset: u64) -> Change {
    let id = UpstreamId::new(format!("i-{offset:010}"));
    Change {
        position: offset.into(),
        kind: ChangeKind::Listed(Arc::new(Upstream {
            id: InstanceId::new(id, Some(1_790_000_000_000)),
            service: ServiceId::new("a-service-name"),
            address: "10.128.11.12:8080".parse().unwrap(),
            data_centre: DataCentre::new("a-data-centre-of-some-name"),
            state: UpstreamState::Ready,
            slots: 24,
            cold_left_ms: 0,
            version: VersionId::new("v1"),
            sequence: 0,
        })),
    }
}

#[test]
fn exactly_one_host_is_chosen_for_each_task() {
    let hosts: Vec<(usize, &str)> = (0..24)
        .map(|index| (index, ["north", "south", "west"][index % 3]))
        .collect();
    let knows = |own: usize, data_centre: &str| {
        let mut peers = Peers::new(address(own), DataCentre::new(data_centre), &[]);
        for (index, data_centre) in hosts.iter().filter(|(index, _)| *index != own) {
            peers.receive(Time::ZERO, address(*index), &datagram(*index, data_centre));
        }
        peers
    };
    let chosen = |what: &str| -> Vec<usize> {
        let chosen = hosts.iter().filter(|(index, data_centre)| {
            let host = datagram(*index, data_centre).host;
            knows(*index, data_centre).is_chosen(Time::ZERO, &host, what)
        });
        chosen.map(|(index, _)| *index).collect()
    };

    let each: Vec<Vec<usize>> = (0..20).map(|number| chosen(&format!("{number}"))).collect();

    assert!(each.iter().all(|chosen| chosen.len() == 1), "{each:?}");
    assert!(each.iter().any(|chosen| *chosen != each[0]));
}

// If load datagrams carried a position of the log without the changes up to it, hosts of other data centres
// would fetch those.
#[test]
fn load_datagrams_announce_no_log_position() {
    let announced = datagram(1, "north");

    let of_loads = [
        announced.with_remote_loads(Vec::new()),
        announced.to_load_query(),
        announced.to_load_answer(Vec::new()),
    ];

    for datagram in of_loads {
        assert_eq!(datagram.upstreams, Position::default());
        assert!(datagram.leaving.is_empty() && datagram.unreachable.is_empty());
    }
}

#[test]
fn the_addresses_of_live_hosts_of_this_data_centre_are_listed() {
    let mut peers = peers();
    let stopping = Datagram {
        stopping: true,
        ..datagram(2, "north")
    };
    peers.receive(Time::ZERO, address(2), &stopping);

    let live = peers.live_local_addresses(Time::from_ms(3_999));

    let expected = (0..20).filter(|index| data_centre_of(*index) == "north" && *index != 2);
    let mut expected: Vec<(HostId, SocketAddr)> = expected
        .map(|index| (host(index), address(index)))
        .collect();
    expected.sort_by_key(|(_, address)| *address);
    assert_eq!(live, expected);
    assert!(peers.live_local_addresses(Time::from_ms(4_000)).is_empty());
}
