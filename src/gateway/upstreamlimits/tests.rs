use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::ANNOUNCED_MAX;
use super::ANNOUNCEMENT_TTL;
use super::AnnouncedLimit;
use super::Bound;
use super::LIMIT_TTL_MAX;
use super::LIMIT_TTL_MIN;
use super::LimitChange;
use super::LimitedUpstream;
use super::UpstreamLimits;
use super::host_rate;
use crate::clock::Time;
use crate::gateway::instance::InstanceId;
use crate::gateway::instance::InstanceKey;
use crate::gateway::senders::Sender;
use crate::id::DataCentre;
use crate::id::HostId;
use crate::id::UpstreamId;

const LIMIT_PER_S: f64 = 3.4;
/// Uptime of a host that knows its peers.
const ESTABLISHED_UPTIME: Duration = Duration::from_secs(60);
/// Span over which requests are counted, and the share by which they may exceed the limit in it.
const WINDOW: Duration = Duration::from_secs(4);
const EXCESS_SHARE: f64 = 1.5;
const EXCESS_REQUESTS: f64 = 5.0;

fn upstream(index: usize) -> InstanceId {
    InstanceId::from(UpstreamId::new(format!("up-{index}")))
}

fn key() -> InstanceKey {
    upstream(0).key()
}

fn hosts(count: usize) -> Vec<HostId> {
    let names = (0..count).map(|index| HostId::new(format!("host-{index:04}")));
    names.collect()
}

fn data_centres(names: &[&str]) -> Vec<DataCentre> {
    names.iter().map(|name| DataCentre::new(*name)).collect()
}

/// The rates of all hosts of `data_centre` at an upstream of "north" with this limit, while hosts of `live` are
/// heard.
fn rates(hosts: &[HostId], data_centre: &str, live: &[&str], requests_per_s: f64) -> Vec<f64> {
    let (data_centre, north) = (DataCentre::new(data_centre), DataCentre::new("north"));
    let upstream = upstream(0);
    let limited = LimitedUpstream {
        id: &upstream,
        data_centre: &north,
        requests_per_s,
    };
    let rate = |host: &HostId| {
        let others = hosts.iter().filter(|other| *other != host);
        let peers: Vec<HostId> = others.cloned().collect();
        let sender = Sender {
            host,
            data_centre: &data_centre,
            peers: &peers,
            uptime: ESTABLISHED_UPTIME,
        };
        host_rate(&sender, &data_centres(live), &limited)
    };
    hosts.iter().map(rate).collect()
}

fn announced(per_s: Option<f64>, age: Duration) -> AnnouncedLimit {
    AnnouncedLimit {
        upstream: key(),
        bound: Bound::Requests,
        per_s,
        age_ms: age.as_millis() as u32,
        is_relayed: false,
    }
}

fn seconds(count: u64) -> Time {
    Time::from_ms(count * 1_000)
}

fn named(at: Time) -> UpstreamLimits {
    let mut limits = UpstreamLimits::new(Bound::Requests, 0.0);
    limits.record_answer(at, key(), Some(LIMIT_PER_S));
    limits
}

#[test]
fn the_hosts_of_the_upstreams_data_centre_share_the_whole_limit() {
    for (count, limit_per_s) in [
        (1, 3.4),
        (3, 3.4),
        (8, 3.4),
        (100, 3.4),
        (100, 0.4),
        (5, 0.0),
    ] {
        let rates = rates(&hosts(count), "north", &["south"], limit_per_s);

        let sum: f64 = rates.iter().sum();
        let senders = rates.iter().filter(|rate| **rate > 0.0).count();
        assert!((sum - limit_per_s).abs() < 1e-9, "{count} hosts: {sum}");
        assert!(senders <= (limit_per_s as usize).max(1), "{senders}");
    }
}

#[test]
fn hosts_of_one_other_data_centre_take_the_place_of_those_that_are_gone() {
    let hosts = hosts(3);
    let at = |own: &str, live: &[&str]| rates(&hosts, own, live, LIMIT_PER_S).iter().sum::<f64>();

    let present = [
        at("east", &["north", "south"]),
        at("south", &["north", "east"]),
    ];
    let gone = at("east", &["south"]) + at("south", &["east"]);

    assert_eq!(present, [0.0, 0.0]);
    assert!((gone - LIMIT_PER_S).abs() < 1e-9, "{gone}");
}

#[test]
fn a_host_that_has_just_started_has_no_share() {
    let (host, north, upstream) = (HostId::new("host"), DataCentre::new("north"), upstream(0));
    let sender = Sender {
        host: &host,
        data_centre: &north,
        peers: &[],
        uptime: Duration::from_millis(1_900),
    };
    let limited = LimitedUpstream {
        id: &upstream,
        data_centre: &north,
        requests_per_s: LIMIT_PER_S,
    };

    assert_eq!(host_rate(&sender, &[], &limited), 0.0);
}

// Guards against an overload: hosts that start, end and hear of each other late use a share that others use, too.
#[test]
fn hosts_that_come_and_go_stay_within_the_limit() {
    for (count, seeds) in [(2, 8), (8, 8), (60, 4), (300, 1)] {
        for seed in 0..seeds {
            let most = Fleet::new(count, seed).most_in_window();

            let allowed = LIMIT_PER_S * WINDOW.as_secs_f64() * EXCESS_SHARE + EXCESS_REQUESTS;
            assert!(
                (1..=allowed as usize).contains(&most),
                "{count} hosts: {most}"
            );
        }
    }
}

/// Hosts of one data centre with more requests than an upstream takes. Now and then one ends, and another
/// process starts in its place.
struct Fleet {
    rng: ChaCha8Rng,
    names: Vec<HostId>,
    limits: Vec<UpstreamLimits>,
    started_at: Vec<Time>,
    /// Until when a host doesn't run.
    down_until: Vec<Time>,
}

impl Fleet {
    const STEP: Duration = Duration::from_millis(10);
    const STEPS: u64 = 4_000;
    /// Time until a host notices that another is gone.
    const LIVENESS_TIMEOUT: Duration = Duration::from_secs(4);
    /// Time until a host hears of another one that has started.
    const JOIN_TIME: Duration = Duration::from_millis(500);
    /// Shortest time between two ends of hosts.
    const END_INTERVAL: u64 = 300;

    fn new(count: usize, seed: u64) -> Self {
        Fleet {
            rng: ChaCha8Rng::seed_from_u64(seed),
            names: hosts(count),
            limits: (0..count).map(|_| named(seconds(60))).collect(),
            started_at: vec![Time::ZERO; count],
            down_until: vec![Time::ZERO; count],
        }
    }

    fn peers(&self, now: Time, host: usize) -> Vec<HostId> {
        let is_heard = |other: usize| match now < self.down_until[other] {
            // Ends are noticed late.
            true => now.since(self.started_at[other]) < Self::LIVENESS_TIMEOUT,
            false => now.since(self.started_at[other]) >= Self::JOIN_TIME,
        };
        let others = (0..self.names.len()).filter(|other| *other != host && is_heard(*other));
        others.map(|other| self.names[other].clone()).collect()
    }

    fn send(&mut self, now: Time, host: usize) -> bool {
        let (north, upstream) = (DataCentre::new("north"), upstream(0));
        let peers = self.peers(now, host);
        let sender = Sender {
            host: &self.names[host],
            data_centre: &north,
            peers: &peers,
            uptime: now.since(self.started_at[host]),
        };
        let limited = LimitedUpstream {
            id: &upstream,
            data_centre: &north,
            requests_per_s: LIMIT_PER_S,
        };
        let rate = host_rate(&sender, &[], &limited);
        let limits = &mut self.limits[host];
        let may_send = limits.wait(now, key(), rate) == Some(Duration::ZERO);
        if may_send {
            limits.spend(now, key(), rate);
            limits.record_answer(now, key(), Some(LIMIT_PER_S));
        }
        may_send
    }

    fn end_one(&mut self, now: Time) {
        let host = self.rng.random_range(0..self.names.len());
        let down = Duration::from_millis(self.rng.random_range(300..3_000));
        self.limits[host] = named(now);
        self.down_until[host] = now + down;
        // A new process starts when the host runs again.
        self.started_at[host] = now;
    }

    fn most_in_window(mut self) -> usize {
        let mut sent = Vec::new();
        let mut now = seconds(60);
        for step in 0..Self::STEPS {
            now = now + Self::STEP;
            if step % Self::END_INTERVAL == 0 {
                self.end_one(now);
            }
            for host in 0..self.names.len() {
                if now >= self.down_until[host] && self.rng.random_bool(0.3) && self.send(now, host)
                {
                    sent.push(now);
                }
            }
        }
        let in_window = |from: &Time| {
            let window = sent.iter().filter(|at| *at >= from);
            window.take_while(|at| at.since(*from) < WINDOW).count()
        };
        sent.iter().map(in_window).max().unwrap_or(0)
    }
}

#[test]
fn a_share_allows_its_rate_with_one_request_in_advance() {
    let mut limits = named(seconds(60));
    let mut sent = 0;

    for ms in 60_000..70_000 {
        let now = Time::from_ms(ms);
        if limits.wait(now, key(), 2.0) == Some(Duration::ZERO) {
            limits.spend(now, key(), 2.0);
            sent += 1;
        }
    }

    assert!((20..=21).contains(&sent), "{sent}");
    assert_eq!(limits.wait(seconds(70), key(), 0.0), None);
}

#[test]
fn answers_name_change_and_lift_a_limit() {
    let mut limits = UpstreamLimits::new(Bound::Requests, 0.0);
    let answers = [None, Some(2.0), Some(2.0), Some(3.0), None, None];

    let changes: Vec<Option<LimitChange>> = (60..)
        .zip(answers)
        .map(|(at, limit)| limits.record_answer(seconds(at), key(), limit))
        .collect();

    let expected = [
        None,
        Some(LimitChange::Named),
        None,
        Some(LimitChange::Changed),
        Some(LimitChange::Lifted),
        None,
    ];
    assert_eq!(changes, expected);
    assert_eq!(limits.get(key()), None);
}

#[test]
fn an_answer_that_was_overtaken_does_not_lift_a_limit() {
    let mut limits = named(seconds(60));

    let change = limits.record_answer(Time::from_ms(60_900), key(), None);

    assert_eq!(change, None);
    assert_eq!(limits.get(key()), Some(LIMIT_PER_S));
}

#[test]
fn a_host_takes_over_limits_that_others_were_told() {
    let teller = named(seconds(60));
    let mut limits = UpstreamLimits::new(Bound::Requests, 0.0);

    let told = teller.announce_host(seconds(61));
    let change = limits.receive(seconds(5), &told[0]);

    assert_eq!((told[0].age_ms, told[0].is_relayed), (1_000, false));
    assert_eq!(change, Some(LimitChange::Named));
    assert_eq!(limits.get(key()), Some(LIMIT_PER_S));
}

#[test]
fn a_mention_is_relayed_once_and_only_while_it_is_recent() {
    let mut first = UpstreamLimits::new(Bound::Requests, 0.0);
    let mut second = UpstreamLimits::new(Bound::Requests, 0.0);
    first.receive(seconds(60), &announced(Some(2.0), Duration::ZERO));

    let relayed = first.announce_data_centre(seconds(60));
    second.receive(seconds(60), &relayed[0]);

    assert!(relayed[0].is_relayed);
    assert_eq!(second.get(key()), Some(2.0));
    assert_eq!(first.announce_host(seconds(60)), []);
    assert_eq!(second.announce_data_centre(seconds(60)), []);
    let later = seconds(60) + ANNOUNCEMENT_TTL;
    assert_eq!(first.announce_data_centre(later), []);
}

#[test]
fn older_mentions_change_nothing() {
    let mut limits = named(seconds(60));

    let older = limits.receive(seconds(61), &announced(Some(9.0), Duration::from_secs(2)));
    let lifted_before = limits.receive(seconds(61), &announced(None, Duration::from_millis(400)));

    assert_eq!((older, lifted_before), (None, None));
    assert_eq!(limits.get(key()), Some(LIMIT_PER_S));
}

#[test]
fn the_end_of_a_limit_is_told_to_hosts_that_get_no_answers() {
    let mut sender = named(seconds(60));
    let mut other = named(seconds(60));
    sender.record_answer(seconds(62), key(), None);

    let change = other.receive(seconds(62), &sender.announce_host(seconds(62))[0]);

    assert_eq!(change, Some(LimitChange::Lifted));
    assert_eq!(other.get(key()), None);
}

#[test]
fn a_limit_that_nobody_mentions_is_forgotten_by_each_host_at_its_own_time() {
    let mut limits = [0.0, 1.0].map(|draw| UpstreamLimits::new(Bound::Requests, draw));
    for limits in &mut limits {
        limits.record_answer(seconds(60), key(), Some(LIMIT_PER_S));
        limits.expire(seconds(60) + LIMIT_TTL_MIN);
    }

    assert_eq!(limits.each_ref().map(UpstreamLimits::count), [0, 1]);
    limits[1].expire(seconds(60) + LIMIT_TTL_MAX);
    assert!(limits[1].is_empty());
}

#[test]
fn the_newest_mentions_are_announced() {
    let mut limits = UpstreamLimits::new(Bound::Requests, 0.0);
    for index in 0..ANNOUNCED_MAX + 3 {
        let at = Time::from_ms(60_000 + index as u64);
        limits.record_answer(at, upstream(index).key(), Some(2.0));
    }

    let announced = limits.announce_host(seconds(61));

    assert_eq!(announced.len(), ANNOUNCED_MAX);
    assert_eq!(announced[0].upstream, upstream(ANNOUNCED_MAX + 2).key());
}
