use std::collections::HashMap;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::AnnouncedClaim;
use super::Claim;
use super::EqualShare;
use super::LimitClaims;
use super::RECLAIM_DELAY;
use super::YIELDED_PART;
use crate::clock::Time;
use crate::gateway::instance::InstanceId;
use crate::gateway::instance::InstanceKey;
use crate::id::HostId;
use crate::id::UpstreamId;

const HOSTS: usize = 4;
const LIMIT_PER_S: f64 = 20.0;
const SHARE: EqualShare = EqualShare {
    per_s: LIMIT_PER_S / HOSTS as f64,
    hosts: HOSTS,
};
const STEP: Duration = Duration::from_millis(10);
/// Time for which requests are counted.
const COUNTED: Duration = Duration::from_secs(20);
/// Time from which a crowded host has to send them.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// A crowded fleet sends at least this share of what it sent before.
const SENT_SHARE_MIN: f64 = 0.75;
/// Steps between two rounds of datagrams.
const ROUND_STEPS: usize = 25;

fn key() -> InstanceKey {
    InstanceId::from(UpstreamId::new("up-0".to_owned())).key()
}

fn shares() -> HashMap<InstanceKey, EqualShare> {
    HashMap::from([(key(), SHARE)])
}

fn host(index: usize) -> HostId {
    HostId::new(format!("host-{index}"))
}

fn claim(claim: Claim) -> [AnnouncedClaim; 1] {
    [AnnouncedClaim {
        upstream: key(),
        claim,
    }]
}

/// Hosts that tell each other their claims and send at the rates that they take.
struct Fleet {
    claims: Vec<LimitClaims>,
    next_at: Vec<Time>,
    now: Time,
    steps: usize,
    rng: ChaCha8Rng,
    /// Probability with which a datagram is lost.
    loss: f64,
}

impl Fleet {
    fn new(seed: u64, loss: f64) -> Self {
        let now = Time::from_ms(60_000);
        Fleet {
            claims: (0..HOSTS).map(|_| LimitClaims::default()).collect(),
            next_at: vec![now; HOSTS],
            now,
            steps: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            loss,
        }
    }

    fn gossip(&mut self) {
        for sender in 0..HOSTS {
            let announced = self.claims[sender].announce(self.now, &shares());
            for receiver in (0..HOSTS).filter(|receiver| *receiver != sender) {
                if !self.rng.random_bool(self.loss) {
                    self.claims[receiver].receive(self.now, &host(sender), &announced);
                }
            }
        }
    }

    /// Runs for `time` with these requests a second at each host. Returns those sent by each, and the largest sum of
    /// the rates.
    fn run(&mut self, time: Duration, demand_per_s: [f64; HOSTS]) -> ([usize; HOSTS], f64) {
        let mut sent = [0; HOSTS];
        let mut rate_max: f64 = 0.0;
        for _ in 0..time.as_millis() / STEP.as_millis() {
            self.now = self.now + STEP;
            self.steps += 1;
            if self.steps.is_multiple_of(ROUND_STEPS) {
                self.gossip();
            }
            let mut rates = 0.0;
            for index in 0..HOSTS {
                let rate = self.claims[index].rate(self.now, key(), SHARE);
                rates += rate;
                if !self
                    .rng
                    .random_bool(demand_per_s[index] * STEP.as_secs_f64())
                {
                    continue;
                }
                if self.now < self.next_at[index] {
                    self.claims[index].record_shortage(self.now, key());
                    continue;
                }
                self.claims[index].record_send(self.now, key());
                self.next_at[index] = self.now + Duration::from_secs_f64(1.0 / rate);
                sent[index] += 1;
            }
            rate_max = rate_max.max(rates);
        }
        (sent, rate_max)
    }
}

/// The share of requests that is sent with this demand.
fn sent_share(fleet: &mut Fleet, demand_per_s: [f64; HOSTS]) -> f64 {
    let (sent, _) = fleet.run(COUNTED, demand_per_s);
    let demand: f64 = demand_per_s.iter().sum();
    sent.iter().sum::<usize>() as f64 / (demand * COUNTED.as_secs_f64())
}

#[test]
fn a_crowded_host_gets_what_the_others_leave() {
    for seed in 0..10 {
        let mut fleet = Fleet::new(seed, 0.0);
        let before = sent_share(&mut fleet, [3.0; HOSTS]);
        fleet.run(CONTACT_TIME, [12.0, 0.4, 0.4, 0.4]);

        let crowded = sent_share(&mut fleet, [12.0, 0.4, 0.4, 0.4]);

        let least = before * SENT_SHARE_MIN;
        assert!(crowded >= least, "seed {seed}: {crowded} after {before}");
    }
}

#[test]
fn another_host_that_is_crowded_gets_its_share_back() {
    for seed in 0..10 {
        let mut fleet = Fleet::new(seed, 0.0);
        let before = sent_share(&mut fleet, [3.0; HOSTS]);
        fleet.run(COUNTED, [12.0, 0.4, 0.4, 0.4]);
        fleet.run(CONTACT_TIME, [0.4, 12.0, 0.4, 0.4]);

        let crowded = sent_share(&mut fleet, [0.4, 12.0, 0.4, 0.4]);

        let least = before * SENT_SHARE_MIN;
        assert!(crowded >= least, "seed {seed}: {crowded} after {before}");
    }
}

#[test]
fn the_rates_of_all_hosts_never_exceed_the_limit() {
    for seed in 0..20 {
        let mut fleet = Fleet::new(seed, 0.3);
        for phase in 0..20 {
            let mut demand_per_s = [0.5; HOSTS];
            demand_per_s[phase % HOSTS] = 20.0;
            let time = Duration::from_millis(fleet.rng.random_range(500..6_000));

            let (_, rate_max) = fleet.run(time, demand_per_s);

            assert!(rate_max <= LIMIT_PER_S + 1e-6, "seed {seed}: {rate_max}");
        }
    }
}

#[test]
fn nothing_is_yielded_while_nobody_wants_more() {
    let mut claims = LimitClaims::default();
    claims.record_send(Time::from_ms(60_000), key());

    let rate = claims.rate(Time::from_ms(70_000), key(), SHARE);

    assert_eq!(rate, SHARE.per_s);
    let announced = claims.announce(Time::from_ms(70_000), &shares());
    assert_eq!(announced, []);
}

#[test]
fn a_yielded_part_is_taken_back_after_a_delay() {
    let mut claims = LimitClaims::default();
    let start = Time::from_ms(60_000);
    claims.receive(start, &host(1), &claim(Claim::WantsMore));
    let yielded = claims.rate(start, key(), SHARE);
    claims.record_shortage(start, key());
    claims.record_shortage(start, key());

    let at_once = claims.rate(start, key(), SHARE);
    let announced = claims.announce(start, &shares());
    let later = claims.rate(start + RECLAIM_DELAY, key(), SHARE);

    let kept = SHARE.per_s * (1.0 - YIELDED_PART);
    assert_eq!((yielded, at_once, later), (kept, kept, SHARE.per_s));
    assert_eq!(announced, claim(Claim::WantsMore));
}
