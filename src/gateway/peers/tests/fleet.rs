//! Simulates a fleet in virtual time to check how much each host sends and how well it counts the others.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::clock::Time;
use crate::gateway::datagram::Datagram;
use crate::gateway::gossip::REMOTE_INTERVAL;
use crate::gateway::gossip::round_interval;
use crate::gateway::peers::Peers;
use crate::gateway::peers::Recipients;
use crate::id::DataCentre;
use crate::id::HostId;

/// Share of the datagrams that are lost.
const LOSS: f64 = 0.1;
const SEEDS: usize = 4;

struct Host {
    peers: Peers,
    data_centre: DataCentre,
    address: SocketAddr,
    last_remote: Option<Time>,
    sent: usize,
}

/// Hosts that start within 0.5 s of each other, all with the same seeds.
struct Fleet {
    hosts: Vec<Host>,
    due: BinaryHeap<Reverse<(Time, usize)>>,
    random: ChaCha8Rng,
    /// Number of datagrams that were answered.
    answered: usize,
}

fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, (index >> 8) as u8, index as u8, 1], 7_200))
}

fn index_of(address: SocketAddr) -> usize {
    match address {
        SocketAddr::V4(address) => {
            let [_, high, low, _] = address.ip().octets();
            usize::from(high) << 8 | usize::from(low)
        }
        SocketAddr::V6(_) => panic!("hosts have addresses of version 4"),
    }
}

impl Fleet {
    fn start(count: usize, data_centres: usize) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(7);
        let seeds: Vec<SocketAddr> = (0..SEEDS).map(address).collect();
        let hosts = (0..count).map(|index| {
            let data_centre = DataCentre::new(format!("dc-{}", index % data_centres));
            Host {
                peers: Peers::new(address(index), data_centre.clone(), &seeds),
                data_centre,
                address: address(index),
                last_remote: None,
                sent: 0,
            }
        });
        let due =
            (0..count).map(|index| Reverse((Time::from_ms(random.random_range(0..500)), index)));
        Fleet {
            due: due.collect(),
            hosts: hosts.collect(),
            random,
            answered: 0,
        }
    }

    fn run_until(&mut self, ends: Time) {
        while let Some(Reverse((now, index))) = self.due.pop() {
            if now > ends {
                self.due.push(Reverse((now, index)));
                return;
            }
            self.round(now, index);
            let next = now + round_interval(self.hosts[index].peers.count_local(now));
            self.due.push(Reverse((next, index)));
        }
    }

    fn round(&mut self, now: Time, index: usize) {
        let host = &mut self.hosts[index];
        let is_small = host.peers.is_small_fleet(now);
        let recipients = if is_small {
            Recipients::All
        } else {
            Recipients::Local
        };
        let targets = host.peers.targets(now, recipients).into_iter();
        let (unconfirmed, confirmed): (Vec<_>, Vec<_>) =
            targets.partition(|target| host.peers.is_unconfirmed(target));
        let is_remote_due = host
            .last_remote
            .is_none_or(|last| now.since(last) >= REMOTE_INTERVAL);
        let far = match !is_small && is_remote_due {
            true => {
                host.last_remote = Some(now);
                let partners = host.peers.remote_partners(now);
                partners.into_values().flatten().collect()
            }
            false => Vec::new(),
        };
        let datagram = host.announce(now);
        self.send(now, index, &unconfirmed, &datagram.with_host_request());
        self.send(now, index, &confirmed, &datagram);
        let remote_datagram = datagram.with_summary(Vec::new(), Vec::new(), Vec::new());
        self.send(now, index, &far, &remote_datagram);
    }

    fn send(&mut self, now: Time, from: usize, targets: &[SocketAddr], datagram: &Datagram) {
        self.hosts[from].sent += targets.len();
        for target in targets {
            if !self.random.random_bool(LOSS) {
                self.deliver(now, from, index_of(*target), datagram);
            }
        }
    }

    fn deliver(&mut self, now: Time, from: usize, to: usize, datagram: &Datagram) {
        let sender = self.hosts[from].address;
        let host = &mut self.hosts[to];
        let status = host.peers.receive(now, sender, datagram);
        if !status.lacks_hosts {
            return;
        }
        self.answered += 1;
        let mut answer = host.announce(now);
        answer.introduced = host.peers.introductions(now, &datagram.data_centre);
        if status.is_newcomer {
            answer.hosts = host.peers.bootstrap_hosts(now, &datagram.data_centre);
        }
        self.send(now, to, &[sender], &answer);
    }

    /// The smallest and the largest number of live hosts that a host counts, including itself.
    fn counts(&self, now: Time) -> (usize, usize) {
        let counts = self.hosts.iter().map(|host| host.peers.count_live(now) + 1);
        (counts.clone().min().unwrap(), counts.max().unwrap())
    }

    /// Mean number of datagrams that a host sends per second between `begins` and `ends`.
    fn sent_per_s(&mut self, begins: Time, ends: Time) -> f64 {
        self.run_until(begins);
        self.hosts.iter_mut().for_each(|host| host.sent = 0);
        self.run_until(ends);
        let sent: usize = self.hosts.iter().map(|host| host.sent).sum();
        sent as f64 / self.hosts.len() as f64 / ends.since(begins).as_secs_f64()
    }
}

impl Host {
    fn announce(&mut self, now: Time) -> Datagram {
        let mut datagram = super::datagram(0, self.data_centre.as_str());
        datagram.host = HostId::new(format!("host-{}", self.address));
        datagram.hears = self.peers.count_live(now) as u32;
        datagram.hears_near = self.peers.count_local(now) as u32;
        datagram.hosts = self.peers.announced_hosts(now);
        datagram.lacks_hosts = self.peers.lacks_hosts();
        datagram
    }
}

// When each host sent to the whole fleet, it sent 181 datagrams a second at 295 hosts, and at 1,000 hosts
// the interval between rounds was longer than the liveness timeout.
#[test]
fn send_rate_and_counting_hold_in_a_larger_fleet() {
    let mut sent = Vec::new();
    for (count, data_centres) in [(75, 3), (150, 6)] {
        let mut fleet = Fleet::start(count, data_centres);
        let calm = Time::from_ms(2_500);

        let sent_per_s = fleet.sent_per_s(calm, calm + Duration::from_secs(2));

        let (least, most) = fleet.counts(calm + Duration::from_secs(2));
        assert!(least * 100 >= count * 90, "{least} of {count}");
        assert!(most <= count, "{most} of {count}");
        assert!(
            sent_per_s < 130.0,
            "{count} hosts: {sent_per_s} datagrams a second"
        );
        sent.push(sent_per_s);
    }
    assert!(sent[1] < sent[0] * 1.3, "{sent:?}");
    println!("datagrams a second and host: {sent:.1?}");
}

// In a large fleet a given remote host sends rarely. If its sender is unknown again each time, a datagram is
// answered and the answer answered too: three datagrams between data centres instead of one.
#[test]
fn remote_datagrams_are_not_answered_once_hosts_are_known() {
    let mut fleet = Fleet::start(160, 2);
    fleet.run_until(Time::from_ms(12_000));
    let answered = fleet.answered;

    fleet.run_until(Time::from_ms(20_000));

    assert_eq!(fleet.answered - answered, 0);
    let (least, _) = fleet.counts(Time::from_ms(20_000));
    assert!(least >= 144, "{least} of 160");
}
