//! Simulates random rollouts over fleets in virtual time, with hosts that are partitioned or restart.

use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::budget;
use super::order;
use super::position;
use super::service;
use crate::clock::Time;
use crate::gateway::instance::InstanceId;
use crate::gateway::loads::ReportSource;
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
const GOSSIP_INTERVAL_MS: u64 = 250;
/// Uptime of the hosts when the order is placed.
const ORDERED_AT_MS: u64 = 60_000;
const ROUTES: [&str; 3] = ["drafts", "checks", "lookups"];
const NEW_UPSTREAMS: usize = 9;
/// Time after the 50th bad answer within which a bad version has to stop getting requests.
const REVERTED_WITHIN_MS: u64 = 5_000;

/// How the new version behaves.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Behaviour {
    Good,
    Fails,
    /// Fails once this fraction of the order's duration has passed.
    FailsLater(f64),
    /// Fails on this route only.
    FailsOnRoute(usize),
    Slow,
}

#[derive(Default)]
struct Host {
    rollouts: Rollouts,
    evidence: EvidenceStore,
    started_ms: u64,
    partitioned_until_ms: u64,
}

impl Host {
    fn is_partitioned(&self, now_ms: u64) -> bool {
        now_ms < self.partitioned_until_ms
    }

    /// The host's own time, which starts with its process.
    fn clock(&self, now_ms: u64) -> Time {
        Time::from_ms(now_ms - self.started_ms)
    }

    fn has_order(&self) -> bool {
        self.rollouts.get(&service()).is_some()
    }
}

struct Simulation {
    rng: ChaCha8Rng,
    hosts: Vec<Host>,
    behaviour: Behaviour,
    duration: Duration,
    now_ms: u64,
    requests: u32,
    exposed_requests: u32,
    bad_answers: u32,
    fiftieth_bad_ms: Option<u64>,
    late_requests: u32,
    reported: Vec<Stage>,
    revert_reasons: Vec<String>,
}

impl Simulation {
    fn new(seed: u64, hosts: usize, behaviour: Behaviour) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let duration = Duration::from_secs(rng.random_range(10..40));
        let mut simulation = Simulation {
            hosts: (0..hosts).map(|_| Host::default()).collect(),
            rng,
            behaviour,
            duration,
            now_ms: ORDERED_AT_MS,
            requests: 0,
            exposed_requests: 0,
            bad_answers: 0,
            fiftieth_bad_ms: None,
            late_requests: 0,
            reported: Vec::new(),
            revert_reasons: Vec::new(),
        };
        simulation.place_order();
        simulation
    }

    fn place_order(&mut self) {
        let record = RolloutRecord {
            order: Some(RolloutOrder {
                to: VersionId::new("v2"),
                duration: self.duration,
            }),
            ..order("v2")
        };
        for host in &mut self.hosts {
            let now = host.clock(ORDERED_AT_MS);
            host.rollouts.apply_record(now, &record, position(0), true);
        }
    }

    fn run(&mut self, requests_per_s: f64) {
        let ends_ms = ORDERED_AT_MS + self.duration.as_millis() as u64;
        while self.now_ms < ends_ms && self.reported.last() != Some(&Stage::Complete) {
            self.inject_faults();
            let arrivals = requests_per_s * STEP_MS as f64 / 1_000.0;
            let count = arrivals as usize + usize::from(self.rng.random_bool(arrivals.fract()));
            for _ in 0..count {
                self.request();
            }
            if self.now_ms.is_multiple_of(GOSSIP_INTERVAL_MS) {
                self.gossip();
                self.review();
            }
            self.now_ms += STEP_MS;
        }
    }

    /// Partitions or restarts each host once in 20 s on average.
    fn inject_faults(&mut self) {
        for host in &mut self.hosts {
            if self.rng.random_bool(STEP_MS as f64 / 20_000.0) {
                if self.rng.random_bool(0.5) {
                    *host = Host {
                        started_ms: self.now_ms,
                        partitioned_until_ms: host.partitioned_until_ms,
                        ..Host::default()
                    };
                } else {
                    host.partitioned_until_ms = self.now_ms + self.rng.random_range(1_000..5_000);
                }
            }
        }
    }

    fn request(&mut self) {
        let index = self.rng.random_range(0..self.hosts.len());
        let count = self.hosts.len();
        let draw = self.rng.random();
        let (now_ms, host) = (self.now_ms, &mut self.hosts[index]);
        if !host.has_order() {
            // A restarted host is not ready before a peer has announced the order to it.
            return;
        }
        let now = host.clock(now_ms);
        self.requests += 1;
        host.evidence.record_request(now, position(0));
        let track = host
            .rollouts
            .assign_track(now, &service(), budget(count), draw);
        let rollout = host.rollouts.get(&service()).unwrap();
        let goes_to_new = rollout.allows(&VersionId::new("v2"), track);
        let is_partitioned = host.is_partitioned(now_ms);
        let route = self.rng.random_range(0..ROUTES.len());
        let cohort = if goes_to_new {
            Cohort::New
        } else {
            Cohort::Old
        };
        let outcome = self.outcome(cohort, route);
        if goes_to_new {
            self.expose(outcome, is_partitioned);
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
            .evidence
            .record_answer(now, position(0), &answer);
    }

    fn expose(&mut self, outcome: Outcome, is_partitioned: bool) {
        self.exposed_requests += 1;
        let is_bad = match outcome {
            Outcome::Failed => true,
            Outcome::Took(time) => time > Duration::from_millis(180),
        };
        self.bad_answers += u32::from(is_bad);
        if self.bad_answers >= 50 {
            let at = *self.fiftieth_bad_ms.get_or_insert(self.now_ms);
            let is_late = self.now_ms > at + REVERTED_WITHIN_MS && !is_partitioned;
            self.late_requests += u32::from(is_late);
        }
    }

    /// Draws the outcome of a request. Sound upstreams answer in about 60 ms and in 1% of cases five times
    /// as late; 1% of their answers fail, on the last route 12%.
    fn outcome(&mut self, cohort: Cohort, route: usize) -> Outcome {
        let since_ms = (self.now_ms - ORDERED_AT_MS) as f64;
        let elapsed_fraction = since_ms / self.duration.as_millis() as f64;
        let is_defective = cohort == Cohort::New
            && match self.behaviour {
                Behaviour::Good => false,
                Behaviour::Fails | Behaviour::Slow => true,
                Behaviour::FailsLater(from) => elapsed_fraction >= from,
                Behaviour::FailsOnRoute(bad) => route == bad,
            };
        let base_failure_rate = if route == 2 { 0.12 } else { 0.01 };
        let failure_rate = match self.behaviour {
            Behaviour::Slow => base_failure_rate,
            _ if is_defective => 0.45,
            _ => base_failure_rate,
        };
        if self.rng.random_bool(failure_rate) {
            return Outcome::Failed;
        }
        let tail = if self.rng.random_bool(0.01) { 5.0 } else { 1.0 };
        let slow = match self.behaviour {
            Behaviour::Slow if is_defective => 4.0,
            _ => 1.0,
        };
        let ms = 60.0 * self.rng.random_range(0.5..1.6) * tail * slow;
        Outcome::Took(Duration::from_secs_f64(ms / 1_000.0))
    }

    /// Each host that isn't partitioned sends to all others; 10% of the datagrams are lost.
    fn gossip(&mut self) {
        let now_ms = self.now_ms;
        let senders = self
            .hosts
            .iter()
            .enumerate()
            .filter(|(_, host)| !host.is_partitioned(now_ms));
        let announced: Vec<_> = senders
            .map(|(index, host)| {
                let now = host.clock(now_ms);
                (
                    index,
                    host.rollouts.announce(now),
                    host.evidence.announce_host(now),
                )
            })
            .collect();
        for (to, host) in self.hosts.iter_mut().enumerate() {
            if host.is_partitioned(now_ms) {
                continue;
            }
            let now = host.clock(now_ms);
            for (from, rollouts, evidence) in &announced {
                if *from == to || self.rng.random_bool(0.1) {
                    continue;
                }
                host.rollouts.receive(now, rollouts);
                let source = ReportSource::Host(HostId::new(format!("host-{from}")));
                host.evidence.receive(now, source, evidence.clone());
            }
        }
    }

    /// Each host judges by itself; the first that isn't partitioned takes the steps that one host takes for
    /// all.
    fn review(&mut self) {
        let now_ms = self.now_ms;
        let coordinator = self
            .hosts
            .iter()
            .position(|host| !host.is_partitioned(now_ms) && host.has_order());
        let mut has_changes = false;
        for (index, host) in self.hosts.iter_mut().enumerate() {
            let now = host.clock(now_ms);
            let Some(rollout) = host.rollouts.get(&service()) else {
                continue;
            };
            let evidence = host.evidence.combine(now, position(0));
            let judgement = evidence.judge(NEW_UPSTREAMS);
            let bound = ExposureBound::default();
            let due = rollout.due_step(now, bound, &evidence, judgement.as_ref(), NEW_UPSTREAMS);
            let is_coordinator = coordinator == Some(index);
            if let DueStep::Revert(reason) = &due {
                self.revert_reasons.push(reason.clone());
            }
            let stage = match due {
                DueStep::Revert(_) | DueStep::GiveUp(_) if is_coordinator => Stage::Reverted,
                DueStep::Revert(_) => Stage::Reverting,
                DueStep::Shift if is_coordinator => Stage::Shift,
                DueStep::Complete if is_coordinator => Stage::Complete,
                DueStep::Nothing | DueStep::Shift | DueStep::Complete | DueStep::GiveUp(_) => {
                    continue;
                }
            };
            let change = host.rollouts.advance(now, &service(), position(0), stage);
            has_changes |= change.is_some();
            if is_coordinator {
                self.reported.extend(change.map(|change| change.stage));
            }
        }
        if has_changes {
            self.gossip();
        }
    }

    fn bound_requests(&self) -> f64 {
        let bound = ExposureBound::default();
        f64::from(self.requests) * bound.share + bound.slack
    }
}

fn simulate(seed: u64) -> Simulation {
    let mut rng = ChaCha8Rng::seed_from_u64(1_000 + seed);
    let behaviour = match rng.random_range(0..6) {
        0 | 1 => Behaviour::Good,
        2 => Behaviour::Fails,
        3 => Behaviour::FailsLater(rng.random_range(0.1..0.6)),
        4 => Behaviour::FailsOnRoute(rng.random_range(0..ROUTES.len())),
        _ => Behaviour::Slow,
    };
    let hosts = if seed.is_multiple_of(8) { 66 } else { 6 };
    let mut simulation = Simulation::new(seed, hosts, behaviour);
    let requests_per_s = rng.random_range(40.0..150.0);
    simulation.run(requests_per_s);
    simulation
}

// Guards against a new version getting its full part of all requests as soon as its upstreams start, bad or
// good.
#[test]
fn bad_versions_stay_within_the_exposure_bound_and_good_ones_complete_in_time() {
    for seed in 0..100 {
        let simulation = simulate(seed);

        let Simulation {
            behaviour,
            reported,
            revert_reasons,
            ..
        } = &simulation;
        let (exposed_requests, bound_requests) =
            (simulation.exposed_requests, simulation.bound_requests());
        if *behaviour == Behaviour::Good {
            assert_eq!(
                reported.last(),
                Some(&Stage::Complete),
                "seed {seed}: {reported:?} {revert_reasons:?}"
            );
        } else {
            assert_eq!(
                reported.last(),
                Some(&Stage::Reverted),
                "seed {seed}: {behaviour:?} {reported:?}"
            );
            assert!(
                f64::from(exposed_requests) <= bound_requests,
                "seed {seed}: {exposed_requests} requests, at most {bound_requests} allowed"
            );
            assert_eq!(simulation.late_requests, 0, "seed {seed}: {behaviour:?}");
        }
    }
}
