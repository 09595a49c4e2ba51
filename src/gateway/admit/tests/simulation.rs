//! Simulates arrivals of reports (long outputs) and flags (short, more urgent) at modelled engines, under
//! one of two admission policies.

use std::collections::BTreeMap;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::OBJECTIVE;
use super::candidate;
use super::need;
use super::verdict;
use crate::clock::Time;
use crate::gateway::admit::Demand;
use crate::gateway::admit::QueueState;
use crate::gateway::admit::Verdict;
use crate::gateway::enginestats::EngineStats;
use crate::gateway::instance::InstanceId;
use crate::gateway::instance::InstanceKey;
use crate::gateway::loads::Load;
use crate::gateway::placement;
use crate::gateway::placement::Candidate;
use crate::gateway::placement::Need;
use crate::gateway::placement::PlacementContext;
use crate::gateway::placement::RemoteCounts;
use crate::gateway::speeds::Observation;
use crate::gateway::speeds::Slowness;
use crate::gateway::speeds::Speeds;
use crate::gateway::speeds::Work;
use crate::id::AttemptId;
use crate::id::DataCentre;
use crate::id::ServiceId;
use crate::id::UpstreamId;
use crate::model::EngineModel;
use crate::model::ModelEvent;
use crate::model::ModelOptionsBuilder;
use crate::model::ModelRequest;

/// Simulated time per step.
const TICK: Duration = Duration::from_millis(10);
/// A caller disconnects after a gap of this time.
const CALLER_TIMEOUT: Duration = Duration::from_secs(7);
/// Longest pause between two tokens within the objective.
const PAUSE_MAX: Duration = Duration::from_millis(180);
/// Time for which a shared machine is slow or not, share of it in which it is slow, and by how much.
const SHARED_PHASE: Duration = Duration::from_millis(600);
const SHARED_SHARE: u64 = 7;
const SHARED_FACTOR: f64 = 2.5;
/// Tokens over which the pace of a run is observed.
const PACE_TOKENS: u32 = 32;
/// Time after the last arrival in which running generations may complete.
const DRAIN_TIME: Duration = Duration::from_secs(30);

/// How generations are placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Policy {
    /// Sent on arrival to the best placed engine, without admission control.
    SendAtOnce,
    /// Admitted by [`crate::gateway::admit`].
    Decide,
}

/// What hosts know of the engines' speed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Knowledge {
    /// Nothing.
    Nothing,
    /// What they observe.
    Observed,
    /// How fast each engine works while nobody else uses its machine.
    True,
}

/// Counts of what became of the generations.
#[derive(Debug, Default)]
pub(super) struct Outcome {
    pub(super) reports: u32,
    pub(super) flags: u32,
    pub(super) in_time_reports: u32,
    pub(super) in_time_flags: u32,
    pub(super) late_reports: u32,
    pub(super) refused: u32,
    pub(super) waited: u32,
    pub(super) preempted: u32,
}

impl Outcome {
    /// Generations whose first event and pauses were in time.
    pub(super) fn in_time(&self) -> u32 {
        self.in_time_reports + self.in_time_flags
    }

    pub(super) fn flags_share(&self) -> f64 {
        f64::from(self.in_time_flags) / f64::from(self.flags)
    }

    pub(super) fn reports_share(&self) -> f64 {
        f64::from(self.in_time_reports) / f64::from(self.reports)
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Kind {
    Report,
    Flag,
}

#[derive(Debug, Clone, Copy)]
struct Generation {
    kind: Kind,
    prompt_tokens: u32,
    output_tokens: u32,
    arrived: Time,
}

impl Generation {
    fn need(&self) -> Need {
        need(self.prompt_tokens, self.output_tokens)
    }
}

#[derive(Debug)]
struct Run {
    generation: Generation,
    engine: usize,
    sent: Time,
    queued_tokens: u32,
    first: Option<Time>,
    last: Time,
    pause_max: Duration,
    /// Tokens after the first event.
    tokens: u32,
    paced_from: Time,
    paced_tokens: u32,
}

/// The speed of an engine.
#[derive(Debug, Clone, Copy)]
struct Machine {
    /// Time that its work takes, relative to that of the model.
    factor: f64,
    /// Its model's time, which passes more slowly where the factor is above 1.
    model_time: Time,
}

fn service() -> ServiceId {
    ServiceId::new("inspection")
}

fn key(engine: usize) -> InstanceKey {
    InstanceId::from(UpstreamId::new(engine.to_string())).key()
}

/// The state of a simulation and its options.
pub(super) struct Simulation {
    policy: Policy,
    engines: Vec<Option<EngineModel>>,
    machines: Vec<Machine>,
    /// Seed of the phases of shared machines; none if nobody else uses them.
    shared_seed: Option<u64>,
    knowledge: Knowledge,
    speeds: Speeds,
    tokens_per_event: u32,
    loads: Vec<Load>,
    runs: BTreeMap<AttemptId, Run>,
    queue: Vec<(Generation, bool)>,
    stats: EngineStats,
    outcome: Outcome,
    started: u128,
    reports_per_s: f64,
    flags_per_s: f64,
    duration: Duration,
    loss: Option<(Time, usize)>,
}

impl Simulation {
    pub(super) fn new(policy: Policy) -> Self {
        Simulation {
            policy,
            engines: Vec::new(),
            machines: Vec::new(),
            shared_seed: None,
            knowledge: Knowledge::Nothing,
            speeds: Speeds::default(),
            tokens_per_event: 1,
            loads: Vec::new(),
            runs: BTreeMap::new(),
            queue: Vec::new(),
            stats: EngineStats::default(),
            outcome: Outcome::default(),
            started: 0,
            reports_per_s: 0.0,
            flags_per_s: 0.0,
            duration: Duration::ZERO,
            loss: None,
        }
    }

    pub(super) fn engines(mut self, number: usize) -> Self {
        let engine = |seed| {
            let options = ModelOptionsBuilder::default()
                .memory_tokens(u64::from(super::MEMORY_TOKENS))
                .sequences_max(24)
                .prefill_chunk_tokens(112)
                .step_base_us(7_000)
                .step_prefill_token_us(71)
                .build()
                .expect("the options have defaults");
            Some(EngineModel::new(options, seed))
        };
        self.engines = (0..number as u64).map(engine).collect();
        self.loads = vec![Load::default(); number];
        self.factors(&vec![1.0; number])
    }

    /// Sets how long the engines' work takes, relative to that of the model.
    pub(super) fn factors(mut self, factors: &[f64]) -> Self {
        let machine = |factor: &f64| Machine {
            factor: *factor,
            model_time: Time::ZERO,
        };
        self.machines = factors.iter().map(machine).collect();
        self
    }

    /// Shares the engines' machines with others.
    pub(super) fn shared_machines(mut self, seed: u64) -> Self {
        self.shared_seed = Some(seed);
        self
    }

    /// Tokens that the engines send together.
    pub(super) fn tokens_per_event(mut self, tokens: u32) -> Self {
        self.tokens_per_event = tokens;
        self
    }

    pub(super) fn knowing(mut self, knowledge: Knowledge) -> Self {
        self.knowledge = knowledge;
        self
    }

    pub(super) fn reports_per_s(mut self, rate: f64) -> Self {
        self.reports_per_s = rate;
        self
    }

    pub(super) fn flags_per_s(mut self, rate: f64) -> Self {
        self.flags_per_s = rate;
        self
    }

    pub(super) fn duration_s(mut self, seconds: u64) -> Self {
        self.duration = Duration::from_secs(seconds);
        self
    }

    pub(super) fn lose_engines_at_s(mut self, seconds: u64, number: usize) -> Self {
        self.loss = Some((Time::from_ms(seconds * 1_000), number));
        self
    }

    pub(super) fn run(mut self) -> Outcome {
        let mut now = Time::ZERO;
        let mut due = (0.0, 0.0);
        let end = Time::ZERO + self.duration;
        while now < end + DRAIN_TIME {
            if now < end {
                due.0 += self.reports_per_s * TICK.as_secs_f64();
                due.1 += self.flags_per_s * TICK.as_secs_f64();
            }
            while due.0 >= 1.0 {
                due.0 -= 1.0;
                self.arrive(now, Kind::Report);
            }
            while due.1 >= 1.0 {
                due.1 -= 1.0;
                self.arrive(now, Kind::Flag);
            }
            self.lose_engines(now);
            self.serve_queue(now);
            self.step_engines(now);
            self.cancel_stalled(now);
            now = now + TICK;
        }
        self.outcome
    }

    fn arrive(&mut self, now: Time, kind: Kind) {
        let number = self.outcome.reports + self.outcome.flags;
        // A fixed pattern of lengths around the mean keeps runs reproducible.
        let output_tokens = match kind {
            Kind::Report => 300 + (number * 397) % 1_300,
            Kind::Flag => 4 + number % 16,
        };
        match kind {
            Kind::Report => self.outcome.reports += 1,
            Kind::Flag => self.outcome.flags += 1,
        }
        let generation = Generation {
            kind,
            prompt_tokens: 2_000 + (number * 211) % 2_000,
            output_tokens,
            arrived: now,
        };
        self.queue.push((generation, false));
    }

    fn lose_engines(&mut self, now: Time) {
        let Some((at, number)) = self.loss else {
            return;
        };
        if now < at {
            return;
        }
        self.loss = None;
        for engine in 0..number {
            self.engines[engine] = None;
            self.loads[engine] = Load::default();
            self.runs.retain(|_, run| run.engine != engine);
        }
    }

    /// How long the work of an engine takes now, relative to that of the model.
    fn present_factor(&self, now: Time, engine: usize) -> f64 {
        let Some(seed) = self.shared_seed else {
            return self.machines[engine].factor;
        };
        let phase = now.as_us() / SHARED_PHASE.as_micros() as u64;
        let draw = xxh3_64_with_seed(&phase.to_le_bytes(), seed * 1_000 + engine as u64);
        match draw.is_multiple_of(SHARED_SHARE) {
            true => self.machines[engine].factor * SHARED_FACTOR,
            false => self.machines[engine].factor,
        }
    }

    /// How slow an engine is believed to be.
    fn slowness(&self, now: Time, engine: usize) -> Slowness {
        match self.knowledge {
            Knowledge::Nothing => Slowness::default(),
            Knowledge::Observed => {
                let slowness = self.speeds.slowness(now, key(engine));
                self.with_event_time(engine, slowness)
            }
            Knowledge::True => {
                let mut factors: Vec<f64> = self.machines.iter().map(|it| it.factor).collect();
                factors.sort_by(f64::total_cmp);
                let slowness = self.machines[engine].factor / factors[factors.len() / 2];
                let slowness = Slowness {
                    prefill: slowness,
                    decode: slowness,
                    ..Slowness::default()
                };
                self.with_event_time(engine, slowness)
            }
        }
    }

    fn with_event_time(&self, engine: usize, slowness: Slowness) -> Slowness {
        let requests = self.loads[engine].requests + 1;
        let usual = self.speeds.usual_token_time(&service(), requests);
        let event_time = usual.map(|time| time.mul_f64(slowness.decode) * self.tokens_per_event);
        Slowness {
            event_time,
            ..slowness
        }
    }

    fn observe(&mut self, now: Time, engine: usize, work: Work, unit_s: f64) {
        if self.knowledge == Knowledge::Nothing {
            return;
        }
        let observation = Observation {
            work,
            requests: self.loads[engine].requests,
            unit_s,
        };
        self.speeds
            .record(now, &service(), key(engine), observation);
    }

    fn candidates(&self, now: Time) -> Vec<Candidate> {
        let engines = self.engines.iter().zip(&self.loads).enumerate();
        engines
            .filter(|(_, (engine, _))| engine.is_some())
            .map(|(index, (_, load))| Candidate {
                slowness: self.slowness(now, index),
                ..candidate(&index.to_string(), *load)
            })
            .collect()
    }

    /// Decides on all queued generations: flags first, then by arrival.
    fn serve_queue(&mut self, now: Time) {
        let mut queue = std::mem::take(&mut self.queue);
        queue.sort_by_key(|(generation, _)| (generation.kind == Kind::Report, generation.arrived));
        let mut ahead_tokens = 0;
        for (generation, has_waited) in queue {
            let candidates = self.candidates(now);
            match self.decide(now, &generation, has_waited, ahead_tokens, &candidates) {
                Verdict::Start(chosen) => self.start(now, generation, &chosen),
                Verdict::Wait => {
                    self.outcome.waited += u32::from(!has_waited);
                    ahead_tokens += u64::from(generation.need().tokens());
                    self.queue.push((generation, true));
                }
                Verdict::Refuse(_) => self.outcome.refused += 1,
            }
        }
    }

    fn decide(
        &self,
        now: Time,
        generation: &Generation,
        has_waited: bool,
        ahead_tokens: u64,
        candidates: &[Candidate],
    ) -> Verdict {
        let demand = Demand {
            need: generation.need(),
            objective: OBJECTIVE,
            waited: has_waited.then(|| now.since(generation.arrived)),
        };
        let queue = QueueState {
            ahead_tokens,
            taken_tokens: self.loads.iter().map(|load| u64::from(load.tokens)).sum(),
            hosts: 1,
            stats: &self.stats,
        };
        match self.policy {
            Policy::Decide => verdict(&demand, &queue, candidates),
            Policy::SendAtOnce => {
                let view = PlacementContext {
                    data_centre: &DataCentre::new("north"),
                    remote_counts: RemoteCounts::Fresh,
                };
                let chosen = placement::choose(demand.need, candidates, view, || 0.0);
                Verdict::Start(chosen.expect("an engine is left"))
            }
        }
    }

    fn start(&mut self, now: Time, generation: Generation, chosen: &Candidate) {
        let engine: usize = chosen
            .upstream
            .id
            .as_str()
            .parse()
            .expect("ids are numbers");
        self.started += 1;
        let attempt = AttemptId::from_u128(self.started);
        let request = ModelRequest {
            attempt,
            prompt_tokens: generation.prompt_tokens,
            output_tokens: generation.output_tokens,
            engine_priority: u8::from(generation.kind == Kind::Flag),
            prefix_hashes: Vec::new(),
        };
        let Some(model) = &mut self.engines[engine] else {
            return;
        };
        if model
            .submit(self.machines[engine].model_time, request)
            .is_err()
        {
            self.outcome.refused += 1;
            return;
        }
        let load = &mut self.loads[engine];
        load.requests += 1;
        load.tokens += generation.need().tokens();
        load.unread_tokens += generation.prompt_tokens;
        let run = Run {
            generation,
            engine,
            sent: now,
            queued_tokens: load.unread_tokens,
            first: None,
            last: now,
            pause_max: Duration::ZERO,
            tokens: 0,
            paced_from: now,
            paced_tokens: 0,
        };
        self.runs.insert(attempt, run);
    }

    fn step_engines(&mut self, now: Time) {
        for index in 0..self.engines.len() {
            let passed = TICK.div_f64(self.present_factor(now, index));
            let machine = &mut self.machines[index];
            let model_time = machine.model_time;
            machine.model_time = model_time + passed;
            let Some(engine) = &mut self.engines[index] else {
                continue;
            };
            let mut events = engine.step(model_time);
            while engine.next_step_at().is_some_and(|at| at <= model_time) {
                events.extend(engine.step(model_time));
            }
            for event in events {
                match event {
                    ModelEvent::Token { attempt, .. } => self.token(now, attempt),
                    ModelEvent::Done { attempt, .. } => self.done(now, attempt),
                    ModelEvent::Preempted { .. } => self.outcome.preempted += 1,
                }
            }
        }
    }

    fn token(&mut self, now: Time, attempt: AttemptId) {
        let Some(engine) = self.runs.get(&attempt).map(|run| run.engine) else {
            return;
        };
        let slowness = self.slowness(now, engine);
        let mut observed = None;
        let Some(run) = self.runs.get_mut(&attempt) else {
            return;
        };
        if run.first.is_some() {
            run.tokens += 1;
            if run.tokens % self.tokens_per_event == 0 {
                run.pause_max = run.pause_max.max(now.since(run.last));
                run.last = now;
            }
            run.paced_tokens += 1;
            if run.paced_tokens == PACE_TOKENS {
                let time = now.since(run.paced_from).as_secs_f64();
                observed = Some((Work::Decode, time / f64::from(PACE_TOKENS)));
                run.paced_tokens = 0;
                run.paced_from = now;
            }
        } else {
            run.first = Some(now);
            run.last = now;
            run.paced_from = now;
            let (engine, tokens, time) = (run.engine, run.queued_tokens, now.since(run.sent));
            self.loads[engine].unread_tokens -= run.generation.prompt_tokens;
            self.stats
                .record_first_event(tokens, slowness.prefill, time);
            observed = Some((Work::Prefill, time.as_secs_f64() / f64::from(tokens)));
            let in_time = now.since(run.generation.arrived) <= OBJECTIVE;
            self.stats.record_objective(in_time);
        }
        if let Some((work, unit_s)) = observed {
            self.observe(now, engine, work, unit_s);
        }
    }

    fn done(&mut self, now: Time, attempt: AttemptId) {
        let Some(run) = self.end(now, attempt) else {
            return;
        };
        let first = run
            .first
            .map_or(Duration::MAX, |first| first.since(run.generation.arrived));
        let is_in_time = first <= OBJECTIVE && run.pause_max <= PAUSE_MAX;
        match (run.generation.kind, is_in_time) {
            (Kind::Report, true) => self.outcome.in_time_reports += 1,
            (Kind::Flag, true) => self.outcome.in_time_flags += 1,
            (Kind::Report, false) => self.outcome.late_reports += 1,
            (Kind::Flag, false) => {}
        }
    }

    fn end(&mut self, now: Time, attempt: AttemptId) -> Option<Run> {
        let run = self.runs.remove(&attempt)?;
        let slowness = self.slowness(now, run.engine);
        let load = &mut self.loads[run.engine];
        let tokens = run.generation.need().tokens();
        load.requests -= 1;
        load.tokens -= tokens;
        if run.first.is_none() {
            load.unread_tokens -= run.generation.prompt_tokens;
        }
        let time = now.since(run.sent).div_f64(slowness.decode);
        self.stats.record_end(tokens, time);
        Some(run)
    }

    /// Cancels the streams whose callers have timed out.
    fn cancel_stalled(&mut self, now: Time) {
        let silent: Vec<AttemptId> = self
            .runs
            .iter()
            .filter(|(_, run)| now.since(run.last) > CALLER_TIMEOUT)
            .map(|(attempt, _)| *attempt)
            .collect();
        for attempt in silent {
            if let Some(run) = self.end(now, attempt)
                && let Some(engine) = &mut self.engines[run.engine]
            {
                engine.cancel(self.machines[run.engine].model_time, attempt);
            }
        }
    }
}
