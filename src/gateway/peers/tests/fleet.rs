//! A fleet in virtual time: what a host sends and how well it counts, whatever the size of the fleet.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::datagram;
use crate::clock::Time;
use crate::gateway::datagram::Datagram;
use crate::gateway::gossip::REMOTE_INTERVAL;
use crate::gateway::gossip::round_interval;
use crate::gateway::peers::Peers;
use crate::gateway::peers::Recipients;
use crate::id::DataCentre;
use crate::id::HostId;

/// One datagram in ten is lost.
const LOSS: f64 = 0.1;
const SEEDS: usize = 4;

struct Host {
    peers: Peers,
    data_centre: DataCentre,
    address: SocketAddr,
    last_far: Option<Time>,
    sent: usize,
}

/// Hosts that start within half a second, all with the same seeds.
struct Fleet {
    hosts: Vec<Host>,
    due: BinaryHeap<Reverse<(Time, usize)>>,
    random: ChaCha8Rng,
    /// Datagrams that were answered.
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
                last_far: None,
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
            let next = now + round_interval(self.hosts[index].peers.count_near(now));
            self.due.push(Reverse((next, index)));
        }
    }

    fn round(&mut self, now: Time, index: usize) {
        let host = &mut self.hosts[index];
        let is_small = host.peers.is_small(now);
        let audience = if is_small {
            Recipients::All
        } else {
            Recipients::Near
        };
        let targets = host.peers.targets(now, audience).into_iter();
        let (unheard, heard): (Vec<_>, Vec<_>) =
            targets.partition(|target| host.peers.is_unheard(target));
        let is_far_due = host
            .last_far
            .is_none_or(|last| now.since(last) >= REMOTE_INTERVAL);
        let far = match !is_small && is_far_due {
            true => {
                host.last_far = Some(now);
                let partners = host.peers.far_partners(now);
                partners.into_values().flatten().collect()
            }
            false => Vec::new(),
        };
        let told = host.tell(now);
        self.send(now, index, &unheard, &told.with_host_request());
        self.send(now, index, &heard, &told);
        let told_far = told.with_summary(Vec::new(), Vec::new());
        self.send(now, index, &far, &told_far);
    }

    fn send(&mut self, now: Time, from: usize, targets: &[SocketAddr], told: &Datagram) {
        self.hosts[from].sent += targets.len();
        for target in targets {
            if !self.random.random_bool(LOSS) {
                self.deliver(now, from, index_of(*target), told);
            }
        }
    }

    fn deliver(&mut self, now: Time, from: usize, to: usize, told: &Datagram) {
        let sender = self.hosts[from].address;
        let host = &mut self.hosts[to];
        let acquaintance = host.peers.hear(now, sender, told);
        if !acquaintance.lacks_hosts {
            return;
        }
        self.answered += 1;
        let mut answer = host.tell(now);
        answer.introduced = host.peers.introductions(now, &told.data_centre);
        if acquaintance.has_started {
            answer.hosts = host.peers.neighbours_of(now, &told.data_centre);
        }
        self.send(now, to, &[sender], &answer);
    }

    /// The least and the most hosts that any host counts, itself among them.
    fn counts(&self, now: Time) -> (usize, usize) {
        let counts = self.hosts.iter().map(|host| host.peers.live(now) + 1);
        (counts.clone().min().unwrap(), counts.max().unwrap())
    }

    /// Datagrams that a host sends in a second of the time from `begins` to `ends`, on average.
    fn sent_per_s(&mut self, begins: Time, ends: Time) -> f64 {
        self.run_until(begins);
        self.hosts.iter_mut().for_each(|host| host.sent = 0);
        self.run_until(ends);
        let sent: usize = self.hosts.iter().map(|host| host.sent).sum();
        sent as f64 / self.hosts.len() as f64 / ends.since(begins).as_secs_f64()
    }
}

impl Host {
    fn tell(&mut self, now: Time) -> Datagram {
        let mut told = datagram(0, self.data_centre.as_str());
        told.host = HostId::new(format!("host-{}", self.address));
        told.hears = self.peers.live(now) as u32;
        told.hears_near = self.peers.count_near(now) as u32;
        told.hosts = self.peers.some(now);
        told.lacks_hosts = self.peers.lacks_hosts();
        told
    }
}

// What a host sent grew with the fleet: 181 datagrams a second at 295 hosts, and rounds came more seldom
// than a host counts as live at 1,000.
#[test]
fn a_host_sends_no_more_and_counts_right_in_a_larger_fleet() {
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

// Hosts of other data centres are heard seldom in a large fleet, so each was a stranger whenever it was heard, was
// answered, and answered in turn: three datagrams between data centres for each that told something.
#[test]
fn hosts_that_know_each_others_data_centres_are_not_answered_whenever_they_are_heard() {
    let mut fleet = Fleet::start(160, 2);
    fleet.run_until(Time::from_ms(12_000));
    let answered = fleet.answered;

    fleet.run_until(Time::from_ms(20_000));

    assert_eq!(fleet.answered - answered, 0);
    let (least, _) = fleet.counts(Time::from_ms(20_000));
    assert!(least >= 144, "{least} of 160");
}
