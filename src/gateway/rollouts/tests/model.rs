//! Drawn roll-outs over fleets in virtual time, with hosts that are cut off and start again.

use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::at;
use super::order;
use super::service;
use super::share;
use crate::clock::Time;
use crate::gateway::instance::InstanceId;
use crate::gateway::loads::Teller;
use crate::gateway::rollouts::DueStep;
use crate::gateway::rollouts::ExposureBound;
use crate::gateway::rollouts::RolloutOrder;
use crate::gateway::rollouts::RolloutRecord;
use crate::gateway::rollouts::Rollouts;
use crate::gateway::rollouts::Stage;
use crate::gateway::rollouts::evidence::Answer;
use crate::gateway::rollouts::evidence::Cohort;
use crate::gateway::rollouts::evidence::EvidenceStore;
use crate::gateway::rollouts::evidence::Measure;
use crate::gateway::rollouts::evidence::Outcome;
use crate::id::HostId;
use crate::id::UpstreamId;
use crate::id::VersionId;

const STEP_MS: u64 = 50;
const ROUND_MS: u64 = 250;
/// Hosts have run for so long when the order comes.
const ORDERED_AT_MS: u64 = 60_000;
const ROUTES: [&str; 3] = ["drafts", "checks", "lookups"];
const NEW_UPSTREAMS: usize = 9;
/// A bad version gets nothing so long after its 50th bad answer.
const REVERTED_WITHIN_MS: u64 = 5_000;

/// How a version is.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Nature {
    Good,
    Fails,
    /// From this part of the order's time on.
    FailsLater(f64),
    /// Only on one route.
    FailsOnRoute(usize),
    Slow,
}

#[derive(Default)]
struct Host {
    rollouts: Rollouts,
    evidences: EvidenceStore,
    started_ms: u64,
    cut_until_ms: u64,
}

impl Host {
    fn is_cut(&self, now_ms: u64) -> bool {
        now_ms < self.cut_until_ms
    }

    /// The time since its process started, as its clock tells.
    fn clock(&self, now_ms: u64) -> Time {
        Time::from_ms(now_ms - self.started_ms)
    }

    fn knows_order(&self) -> bool {
        self.rollouts.get(&service()).is_some()
    }
}

struct World {
    rng: ChaCha8Rng,
    hosts: Vec<Host>,
    nature: Nature,
    duration: Duration,
    now_ms: u64,
    requests: u32,
    exposed: u32,
    bad: u32,
    fiftieth_bad_ms: Option<u64>,
    late: u32,
    told: Vec<Stage>,
    reasons: Vec<String>,
}

impl World {
    fn new(seed: u64, hosts: usize, nature: Nature) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let duration = Duration::from_secs(rng.random_range(10..40));
        let mut world = World {
            hosts: (0..hosts).map(|_| Host::default()).collect(),
            rng,
            nature,
            duration,
            now_ms: ORDERED_AT_MS,
            requests: 0,
            exposed: 0,
            bad: 0,
            fiftieth_bad_ms: None,
            late: 0,
            told: Vec::new(),
            reasons: Vec::new(),
        };
        world.order();
        world
    }

    fn order(&mut self) {
        let record = RolloutRecord {
            order: Some(RolloutOrder {
                to: VersionId::new("v2"),
                duration: self.duration,
            }),
            ..order("v2")
        };
        for host in &mut self.hosts {
            let now = host.clock(ORDERED_AT_MS);
            host.rollouts.apply_record(now, &record, at(0), true);
        }
    }

    fn run(&mut self, requests_per_s: f64) {
        let ends_ms = ORDERED_AT_MS + self.duration.as_millis() as u64;
        while self.now_ms < ends_ms && self.told.last() != Some(&Stage::Complete) {
            self.trouble();
            let arrivals = requests_per_s * STEP_MS as f64 / 1_000.0;
            let count = arrivals as usize + usize::from(self.rng.random_bool(arrivals.fract()));
            for _ in 0..count {
                self.request();
            }
            if self.now_ms.is_multiple_of(ROUND_MS) {
                self.gossip();
                self.review();
            }
            self.now_ms += STEP_MS;
        }
    }

    /// Hosts are cut off, or start again, each every 20 s on average.
    fn trouble(&mut self) {
        for host in &mut self.hosts {
            if self.rng.random_bool(STEP_MS as f64 / 20_000.0) {
                if self.rng.random_bool(0.5) {
                    *host = Host {
                        started_ms: self.now_ms,
                        cut_until_ms: host.cut_until_ms,
                        ..Host::default()
                    };
                } else {
                    host.cut_until_ms = self.now_ms + self.rng.random_range(1_000..5_000);
                }
            }
        }
    }

    fn request(&mut self) {
        let index = self.rng.random_range(0..self.hosts.len());
        let count = self.hosts.len();
        let draw = self.rng.random();
        let (now_ms, host) = (self.now_ms, &mut self.hosts[index]);
        if !host.knows_order() {
            // It isn't ready before another host has told it what it knows.
            return;
        }
        let now = host.clock(now_ms);
        self.requests += 1;
        host.evidences.record_request(now, at(0));
        let track = host
            .rollouts
            .assign_track(now, &service(), share(count), draw);
        let rollout = host.rollouts.get(&service()).unwrap();
        let goes_to_new = rollout.allows(&VersionId::new("v2"), track);
        let is_cut = host.is_cut(now_ms);
        let route = self.rng.random_range(0..ROUTES.len());
        let cohort = if goes_to_new {
            Cohort::New
        } else {
            Cohort::Old
        };
        let outcome = self.outcome(cohort, route);
        if goes_to_new {
            self.expose(outcome, is_cut);
        }
        let upstream = format!("up-{}", self.rng.random_range(0..NEW_UPSTREAMS));
        let answer = Answer {
            route: ROUTES[route],
            upstream: InstanceId::from(UpstreamId::new(upstream)).key(),
            cohort,
            measure: Measure::Whole,
            outcome,
        };
        self.hosts[index]
            .evidences
            .record_answer(now, at(0), &answer);
    }

    fn expose(&mut self, outcome: Outcome, is_cut: bool) {
        self.exposed += 1;
        let is_bad = match outcome {
            Outcome::Failed => true,
            Outcome::Took(time) => time > Duration::from_millis(180),
        };
        self.bad += u32::from(is_bad);
        if self.bad >= 50 {
            let at = *self.fiftieth_bad_ms.get_or_insert(self.now_ms);
            let is_late = self.now_ms > at + REVERTED_WITHIN_MS && !is_cut;
            self.late += u32::from(is_late);
        }
    }

    /// Answers take 60 ms, a few much longer; one of a hundred fails, on one route one of eight.
    fn outcome(&mut self, cohort: Cohort, route: usize) -> Outcome {
        let since_ms = (self.now_ms - ORDERED_AT_MS) as f64;
        let part = since_ms / self.duration.as_millis() as f64;
        let is_ill = cohort == Cohort::New
            && match self.nature {
                Nature::Good => false,
                Nature::Fails | Nature::Slow => true,
                Nature::FailsLater(from) => part >= from,
                Nature::FailsOnRoute(bad) => route == bad,
            };
        let usual_failures = if route == 2 { 0.12 } else { 0.01 };
        let failures = match self.nature {
            Nature::Slow => usual_failures,
            _ if is_ill => 0.45,
            _ => usual_failures,
        };
        if self.rng.random_bool(failures) {
            return Outcome::Failed;
        }
        let tail = if self.rng.random_bool(0.01) { 5.0 } else { 1.0 };
        let slow = match self.nature {
            Nature::Slow if is_ill => 4.0,
            _ => 1.0,
        };
        let ms = 60.0 * self.rng.random_range(0.5..1.6) * tail * slow;
        Outcome::Took(Duration::from_secs_f64(ms / 1_000.0))
    }

    /// Each host that isn't cut off tells all others; one datagram of ten is lost.
    fn gossip(&mut self) {
        let now_ms = self.now_ms;
        let speaking = self
            .hosts
            .iter()
            .enumerate()
            .filter(|(_, host)| !host.is_cut(now_ms));
        let told: Vec<_> = speaking
            .map(|(index, host)| {
                let now = host.clock(now_ms);
                (
                    index,
                    host.rollouts.announce(now),
                    host.evidences.announce_host(now),
                )
            })
            .collect();
        for (to, host) in self.hosts.iter_mut().enumerate() {
            if host.is_cut(now_ms) {
                continue;
            }
            let now = host.clock(now_ms);
            for (from, rollouts, evidences) in &told {
                if *from == to || self.rng.random_bool(0.1) {
                    continue;
                }
                host.rollouts.receive(now, rollouts);
                let teller = Teller::Host(HostId::new(format!("host-{from}")));
                host.evidences.receive(now, teller, evidences.clone());
            }
        }
    }

    /// Each host judges for itself; the first that is not cut off takes the steps that one takes for all.
    fn review(&mut self) {
        let now_ms = self.now_ms;
        let conductor = self
            .hosts
            .iter()
            .position(|host| !host.is_cut(now_ms) && host.knows_order());
        let mut has_news = false;
        for (index, host) in self.hosts.iter_mut().enumerate() {
            let now = host.clock(now_ms);
            let Some(rollout) = host.rollouts.get(&service()) else {
                continue;
            };
            let evidence = host.evidences.combine(now, at(0));
            let judgement = evidence.judge(NEW_UPSTREAMS);
            let bound = ExposureBound::default();
            let due = rollout.due_step(now, bound, &evidence, judgement.as_ref(), NEW_UPSTREAMS);
            let is_conductor = conductor == Some(index);
            if let DueStep::Revert(reason) = &due {
                self.reasons.push(reason.clone());
            }
            let stage = match due {
                DueStep::Revert(_) | DueStep::GiveUp(_) if is_conductor => Stage::Reverted,
                DueStep::Revert(_) => Stage::Reverting,
                DueStep::Shift if is_conductor => Stage::Shift,
                DueStep::Complete if is_conductor => Stage::Complete,
                DueStep::Nothing | DueStep::Shift | DueStep::Complete | DueStep::GiveUp(_) => {
                    continue;
                }
            };
            let change = host.rollouts.advance(now, &service(), at(0), stage);
            has_news |= change.is_some();
            if is_conductor {
                self.told.extend(change.map(|change| change.stage));
            }
        }
        if has_news {
            self.gossip();
        }
    }

    fn allowed(&self) -> f64 {
        let bound = ExposureBound::default();
        f64::from(self.requests) * bound.share + bound.slack
    }
}

fn drawn(seed: u64) -> World {
    let mut rng = ChaCha8Rng::seed_from_u64(1_000 + seed);
    let nature = match rng.random_range(0..6) {
        0 | 1 => Nature::Good,
        2 => Nature::Fails,
        3 => Nature::FailsLater(rng.random_range(0.1..0.6)),
        4 => Nature::FailsOnRoute(rng.random_range(0..ROUTES.len())),
        _ => Nature::Slow,
    };
    let hosts = if seed.is_multiple_of(8) { 66 } else { 6 };
    let mut world = World::new(seed, hosts, nature);
    let requests_per_s = rng.random_range(40.0..150.0);
    world.run(requests_per_s);
    world
}

// A version got its part of all requests from its start on, bad or good.
#[test]
fn no_bad_version_of_a_hundred_gets_more_than_it_may_and_good_ones_complete_in_time() {
    for seed in 0..100 {
        let world = drawn(seed);

        let World {
            nature,
            told,
            reasons,
            ..
        } = &world;
        let (exposed, allowed) = (world.exposed, world.allowed());
        if *nature == Nature::Good {
            assert_eq!(
                told.last(),
                Some(&Stage::Complete),
                "seed {seed}: {told:?} {reasons:?}"
            );
        } else {
            assert_eq!(
                told.last(),
                Some(&Stage::Reverted),
                "seed {seed}: {nature:?} {told:?}"
            );
            assert!(
                f64::from(exposed) <= allowed,
                "seed {seed}: {exposed} of {allowed}"
            );
            assert_eq!(world.late, 0, "seed {seed}: {nature:?}");
        }
    }
}
