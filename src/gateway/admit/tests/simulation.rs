//! Simulates arrivals of reports (long outputs) and flags (short, more urgent) at modelled engines, under
//! one of two admission policies.

use std::collections::BTreeMap;
use std::time::Duration;

use super::OBJECTIVE;
use super::candidate;
use super::need;
use super::verdict;
use crate::clock::Time;
use crate::gateway::admit::Demand;
use crate::gateway::admit::QueueState;
use crate::gateway::admit::Verdict;
use crate::gateway::enginestats::EngineStats;
use crate::gateway::loads::Load;
use crate::gateway::placement;
use crate::gateway::placement::Candidate;
use crate::gateway::placement::Need;
use crate::gateway::placement::PlacementContext;
use crate::gateway::placement::RemoteCounts;
use crate::id::AttemptId;
use crate::id::DataCentre;
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
}

/// The state of a simulation and its options.
pub(super) struct Simulation {
    policy: Policy,
    engines: Vec<Option<EngineModel>>,
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

    fn candidates(&self) -> Vec<Candidate> {
        let engines = self.engines.iter().zip(&self.loads).enumerate();
        engines
            .filter(|(_, (engine, _))| engine.is_some())
            .map(|(index, (_, load))| candidate(&index.to_string(), *load))
            .collect()
    }

    /// Decides on all queued generations: flags first, then by arrival.
    fn serve_queue(&mut self, now: Time) {
        let mut queue = std::mem::take(&mut self.queue);
        queue.sort_by_key(|(generation, _)| (generation.kind == Kind::Report, generation.arrived));
        let mut ahead_tokens = 0;
        for (generation, has_waited) in queue {
            let candidates = self.candidates();
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
        if model.submit(now, request).is_err() {
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
        };
        self.runs.insert(attempt, run);
    }

    fn step_engines(&mut self, now: Time) {
        for index in 0..self.engines.len() {
            let Some(engine) = &mut self.engines[index] else {
                continue;
            };
            let mut events = engine.step(now);
            while engine.next_step_at().is_some_and(|at| at <= now) {
                events.extend(engine.step(now));
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
        let Some(run) = self.runs.get_mut(&attempt) else {
            return;
        };
        if run.first.is_some() {
            run.pause_max = run.pause_max.max(now.since(run.last));
        } else {
            run.first = Some(now);
            self.loads[run.engine].unread_tokens -= run.generation.prompt_tokens;
            self.stats
                .record_first_event(run.queued_tokens, now.since(run.sent));
            let in_time = now.since(run.generation.arrived) <= OBJECTIVE;
            self.stats.record_objective(in_time);
        }
        run.last = now;
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
        let load = &mut self.loads[run.engine];
        let tokens = run.generation.need().tokens();
        load.requests -= 1;
        load.tokens -= tokens;
        if run.first.is_none() {
            load.unread_tokens -= run.generation.prompt_tokens;
        }
        self.stats.record_end(tokens, now.since(run.sent));
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
                engine.cancel(now, attempt);
            }
        }
    }
}
