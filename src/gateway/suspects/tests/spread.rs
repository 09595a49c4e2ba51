//! Simulates how long it takes until every host of a fleet holds a request back.

use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::super::AnnouncedSuspect;
use super::super::CRASHES_MAX;
use super::super::Suspects;
use super::at;
use super::content;
use super::is_held_back;
use super::upstream;
use crate::clock::Time;
use crate::gateway::gossip::REMOTE_INTERVAL;
use crate::gateway::gossip::round_interval;
use crate::gateway::peers::REMOTE_PARTNERS;

/// The share of datagrams that are lost.
const LOSS_RATE: f64 = 0.1;
/// The fewest hosts of each other data centre that a host knows.
const FAR_HOSTS_KNOWN: usize = 4;
/// Every host must act on the crashes that others know of within 3 s of the last one.
const HOLD_BACK_BOUND: Duration = Duration::from_millis(3_000);
/// The seed of the fleets.
const SEED: u64 = 11;
/// The step of virtual time.
pub(super) const STEP: Duration = Duration::from_millis(50);

pub(super) struct Host {
    pub(super) suspects: Suspects,
    next_near: Time,
    next_far: Time,
}

pub(super) struct Fleet {
    pub(super) hosts: Vec<Host>,
    data_centres: usize,
    pub(super) random: ChaCha8Rng,
}

impl Fleet {
    pub(super) fn start(count: usize, data_centres: usize, seed: u64) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let near = round_interval(count / data_centres);
        let mut random_part = |whole: Duration| at(0) + whole.mul_f64(random.random());
        let hosts = (0..count).map(|_| Host {
            suspects: Suspects::default(),
            next_near: random_part(near),
            next_far: random_part(REMOTE_INTERVAL),
        });
        Fleet {
            hosts: hosts.collect(),
            data_centres,
            random,
        }
    }

    /// The hosts of a data centre. Hosts are assigned to data centres by their index, round robin.
    fn hosts_in(&self, data_centre: usize) -> Vec<usize> {
        let hosts = 0..self.hosts.len();
        hosts
            .filter(|host| host % self.data_centres == data_centre)
            .collect()
    }

    fn send(&mut self, now: Time, targets: &[usize], announced: &[AnnouncedSuspect]) {
        for target in targets {
            if !self.random.random_bool(LOSS_RATE) {
                self.hosts[*target].suspects.merge(now, announced);
            }
        }
    }

    /// Lets a host observe the crash of an upstream, which it announces at once to all hosts it knows: all of
    /// its own data centre and some of each other one.
    fn observe_crash(&mut self, now: Time, host: usize, upstream_index: usize) {
        let suspects = &mut self.hosts[host].suspects;
        suspects.record_crash(now, content(0), &upstream(upstream_index));
        self.announce_observed(now, host);
    }

    /// Lets a host announce at once what it observed at this time.
    pub(super) fn announce_observed(&mut self, now: Time, host: usize) {
        let announced = self.hosts[host].suspects.take_observed(now);
        let here = host % self.data_centres;
        for data_centre in 0..self.data_centres {
            let mut known = self.hosts_in(data_centre);
            if data_centre != here {
                known.truncate(FAR_HOSTS_KNOWN);
            }
            self.send(now, &known, &announced);
        }
    }

    /// Sends the datagrams that are due, to the host's own data centre and to the others.
    pub(super) fn send_due(&mut self, now: Time, host: usize) {
        let here = host % self.data_centres;
        let near = self.hosts_in(here);
        if self.hosts[host].next_near <= now {
            self.hosts[host].next_near = now + round_interval(near.len());
            let announced = self.hosts[host].suspects.announce(now);
            self.send(now, &near, &announced);
        }
        if self.hosts[host].next_far <= now {
            self.hosts[host].next_far = now + REMOTE_INTERVAL;
            let announced = self.hosts[host].suspects.announce(now);
            for data_centre in (0..self.data_centres).filter(|other| *other != here) {
                let there = self.hosts_in(data_centre);
                let from = self.random.random_range(0..there.len());
                let some = there.iter().cycle().skip(from).take(REMOTE_PARTNERS);
                let some: Vec<usize> = some.copied().collect();
                self.send(now, &some, &announced);
            }
        }
    }

    /// The time from the last crash until all hosts hold the request back.
    fn time_until_all_hold_back(&mut self) -> Duration {
        let count = self.hosts.len();
        for index in 0..CRASHES_MAX {
            // Hosts of different data centres see the crashes.
            self.observe_crash(at(index as u64), index % count, index);
        }
        let last = at(CRASHES_MAX as u64);
        let mut now = last;
        while now.since(last) < HOLD_BACK_BOUND * 2 {
            let hosts = self.hosts.iter();
            let mut held_back = hosts.map(|host| is_held_back(&host.suspects, now, 0));
            if held_back.all(|is_held_back| is_held_back) {
                return now.since(last);
            }
            now = now + STEP;
            (0..count).for_each(|host| self.send_due(now, host));
        }
        now.since(last)
    }
}

#[test]
fn all_hosts_hold_back_in_time_at_any_fleet_size() {
    for (hosts, data_centres) in [(4, 1), (30, 3), (300, 5), (1_100, 15)] {
        let time = Fleet::start(hosts, data_centres, SEED).time_until_all_hold_back();

        assert!(time < HOLD_BACK_BOUND, "{hosts} hosts: {time:?}");
    }
}
