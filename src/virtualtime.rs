//! Runs one service of a trace in virtual time: a policy over modelled engines.
//!
//! No network, host or platform is modelled: a grant reaches its engine and a token its caller at
//! once. What engines tell of themselves is late and partly lost, as [`Faults`] says.

mod failures;
pub(crate) mod ids;
mod signals;

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::clock::Time;
use crate::faultscript::Fault;
use crate::faultscript::FaultEvent;
use crate::faultscript::Faults;
use crate::id::HostId;
use crate::id::UpstreamId;
use crate::model::EngineModel;
use crate::model::ModelEvent;
use crate::model::ModelRequest;
use crate::observe::Fate;
use crate::observe::Recorder;
use crate::schedule::Action;
use crate::schedule::Ending;
use crate::schedule::Input;
use crate::schedule::Policy;
use crate::schedule::Ticket;
use crate::schedule::UpstreamSpec;
use crate::schedule::Weights;
use crate::trace::Trace;
use crate::trace::TraceRequest;
use crate::trace::TraceService;
use crate::virtualtime::ids::attempt_id;
use crate::virtualtime::ids::engine_id;
use crate::virtualtime::ids::index_of;
use crate::virtualtime::ids::request_id;
use crate::virtualtime::ids::request_index;
use crate::wire::CacheEvent;
use crate::wire::LoadReport;

/// After the last arrival, running requests may go on for this long.
const DRAIN: Duration = Duration::from_secs(1_800);

/// A policy's ticks are at least this far apart.
const TICK_MIN: Duration = Duration::from_millis(1);

/// Callers wait this long for a first token at most, in milliseconds; classes allow less.
const CALLER_WAIT_MS: u64 = 600_000;

/// Something that happens at a time of its own.
#[derive(Debug)]
enum Due {
    Arrival(usize),
    Sample(usize),
    Report(usize, LoadReport),
    Cache(usize, Vec<CacheEvent>),
    Progress(usize),
    Fault(Fault),
    Dies(usize),
    Unlisted(usize),
}

/// An engine with the requests that it holds.
#[derive(Debug)]
struct Engine {
    id: UpstreamId,
    model: EngineModel,
    alive: bool,
    holds: Vec<usize>,
}

/// Where a request stands.
#[derive(Debug, Default)]
struct State {
    attempts: u32,
    engine: Option<usize>,
    tokens: u32,
    told_tokens: u32,
    ended: bool,
    avoid: Vec<UpstreamId>,
}

/// One service under one policy.
pub(crate) struct VirtualRun<'a> {
    service: &'a TraceService,
    faults: &'a Faults,
    requests: Vec<&'a TraceRequest>,
    policy: Box<dyn Policy + 'a>,
    engines: Vec<Engine>,
    states: Vec<State>,
    agenda: BTreeMap<(Time, u64), Due>,
    next_order: u64,
    next_tick: Option<Time>,
    inputs: VecDeque<Input>,
    open: usize,
    recorder: Recorder,
    memory_samples: (f64, u64),
    rng: ChaCha8Rng,
}

impl<'a> VirtualRun<'a> {
    /// A run of `service`'s part of `trace` under `policy`.
    pub(crate) fn new(
        trace: &'a Trace,
        service: &'a TraceService,
        faults: &'a Faults,
        policy: Box<dyn Policy + 'a>,
    ) -> Self {
        let requests: Vec<&TraceRequest> = trace.requests_of(&service.service).collect();
        let mut recorder = Recorder::new(Time::from_ms(trace.header.duration_ms));
        requests.iter().for_each(|request| recorder.add(request));
        let engines = (0..service.engines).map(|number| {
            let seed = trace.header.seed.wrapping_mul(1_009) + u64::from(number);
            Engine {
                id: engine_id(&service.service, number),
                model: EngineModel::new(service.engine.clone(), seed),
                alive: true,
                holds: Vec::new(),
            }
        });
        let mut run = VirtualRun {
            service,
            faults,
            policy,
            engines: engines.collect(),
            states: requests.iter().map(|_| State::default()).collect(),
            open: requests.len(),
            requests,
            agenda: BTreeMap::new(),
            next_order: 0,
            next_tick: None,
            inputs: VecDeque::new(),
            recorder,
            memory_samples: (0.0, 0),
            rng: ChaCha8Rng::seed_from_u64(trace.header.seed),
        };
        run.introduce(&trace.header.weights);
        run
    }

    /// Runs until every request has ended, or the drain time is over.
    pub(crate) fn run(mut self) -> Recorder {
        let limit = self.recorder.window_end + DRAIN;
        while let Some(now) = self.next_time().filter(|now| *now <= limit) {
            if self.open == 0 {
                break;
            }
            self.advance(now);
        }
        self.close(limit)
    }

    fn introduce(&mut self, weights: &Weights) {
        self.inputs.push_back(Input::Weights(weights.clone()));
        for index in 0..self.engines.len() {
            self.inputs.push_back(Input::Upstream(UpstreamSpec {
                upstream: self.engines[index].id.clone(),
                memory_tokens: self.service.engine.memory_tokens,
                high_water_percent: self.service.high_water_percent,
            }));
            self.schedule(Time::ZERO, Due::Sample(index));
            self.schedule(Time::ZERO, Due::Progress(index));
        }
        for index in 0..self.requests.len() {
            let at = Time::from_ms(self.requests[index].at_ms);
            self.schedule(at, Due::Arrival(index));
        }
        let faults = self.faults;
        for FaultEvent { at_ms, fault } in &faults.events {
            self.schedule(Time::from_ms(*at_ms), Due::Fault(fault.clone()));
        }
        self.decide(Time::ZERO);
    }

    fn next_time(&self) -> Option<Time> {
        let agenda = self.agenda.first_key_value().map(|((at, _), _)| *at);
        let steps = self.engines.iter().filter_map(Engine::next_step_at);
        steps.chain(agenda).chain(self.next_tick).min()
    }

    fn advance(&mut self, now: Time) {
        for index in 0..self.engines.len() {
            if self.engines[index].next_step_at() == Some(now) {
                self.step_engine(now, index);
            }
        }
        while let Some(entry) = self.agenda.first_entry() {
            if entry.key().0 > now {
                break;
            }
            let due = entry.remove();
            self.happen(now, due);
        }
        if self.next_tick.is_some_and(|at| at <= now) {
            self.next_tick = None;
            self.inputs.push_back(Input::Tick);
        }
        self.decide(now);
    }

    fn step_engine(&mut self, now: Time, index: usize) {
        for event in self.engines[index].model.step(now) {
            match event {
                ModelEvent::Token { attempt, .. } => {
                    let request = request_index(attempt);
                    self.states[request].tokens += 1;
                    self.recorder.token(request, now);
                }
                ModelEvent::Preempted { attempt } => {
                    self.recorder.requests[request_index(attempt)].preemptions += 1;
                }
                ModelEvent::Done {
                    attempt,
                    cached_prompt_tokens,
                    ..
                } => {
                    let request = request_index(attempt);
                    self.release(request, Ending::Complete, cached_prompt_tokens);
                    self.end(now, request, Fate::Completed);
                }
            }
        }
    }

    fn happen(&mut self, now: Time, due: Due) {
        match due {
            Due::Arrival(request) => self.submit(now, request),
            Due::Sample(engine) => self.sample(now, engine),
            Due::Report(engine, report) => self.inputs.push_back(Input::Report {
                upstream: self.engines[engine].id.clone(),
                report,
            }),
            Due::Cache(engine, events) => self.inputs.push_back(Input::Cache {
                upstream: self.engines[engine].id.clone(),
                events,
            }),
            Due::Progress(engine) => self.tell_progress(now, engine),
            Due::Fault(fault) => self.fault(now, &fault),
            Due::Dies(engine) => self.die(now, engine),
            Due::Unlisted(engine) => {
                let id = self.engines[engine].id.clone();
                self.inputs.push_back(Input::UpstreamRemoved(id));
            }
        }
    }

    /// Passes every input to the policy and carries out its actions, which may bring more inputs.
    fn decide(&mut self, now: Time) {
        if self.inputs.is_empty() {
            return;
        }
        while let Some(input) = self.inputs.pop_front() {
            for action in self.policy.step(now, input) {
                self.act(now, action);
            }
        }
        let earliest = now + TICK_MIN;
        self.next_tick = self.policy.next_tick(now).map(|at| at.max(earliest));
    }

    fn act(&mut self, now: Time, action: Action) {
        match action {
            Action::Grant {
                request,
                upstream,
                engine_priority,
                ..
            } => self.grant(now, index_of(request), &upstream, engine_priority),
            Action::Refuse { request, .. } => {
                let request = index_of(request);
                if self.states[request].engine.is_none() {
                    self.end(now, request, Fate::Refused);
                }
            }
            Action::Relocate { request, .. } => self.relocate(now, index_of(request)),
        }
    }

    fn submit(&mut self, now: Time, request: usize) {
        let trace_request = self.requests[request];
        let arrived = self.recorder.requests[request].arrived;
        let waited_ms = now.as_ms().saturating_sub(arrived.as_ms());
        self.inputs.push_back(Input::Submit(Ticket {
            request: request_id(request),
            host: HostId::from("replay"),
            service: trace_request.service.clone(),
            customer: trace_request.customer.clone(),
            class: trace_request.class.clone(),
            prompt_tokens: trace_request.prompt_tokens,
            max_output_tokens: trace_request.max_output_tokens,
            repeatable: trace_request.repeatable,
            prefix_hashes: trace_request.prefix_hashes(),
            wait_limit_ms: CALLER_WAIT_MS.saturating_sub(waited_ms),
            avoid: self.states[request].avoid.clone(),
        }));
    }

    fn grant(&mut self, now: Time, request: usize, upstream: &UpstreamId, engine_priority: u8) {
        let found = self.engines.iter().position(|e| e.id == *upstream);
        let (Some(index), false) = (found, self.states[request].ended) else {
            return;
        };
        let state = &mut self.states[request];
        state.attempts += 1;
        let attempt = attempt_id(request, state.attempts);
        let trace_request = self.requests[request];
        let engine = &mut self.engines[index];
        let submitted = engine.alive.then(|| {
            let model_request = ModelRequest {
                attempt,
                prompt_tokens: trace_request.prompt_tokens,
                output_tokens: trace_request.output_tokens,
                engine_priority,
                prefix_hashes: trace_request.prefix_hashes(),
            };
            engine.model.submit(now, model_request)
        });
        match submitted {
            Some(Ok(())) => {
                engine.holds.push(request);
                self.states[request].engine = Some(index);
                self.inputs.push_back(Input::Started {
                    request: request_id(request),
                    attempt,
                });
            }
            Some(Err(_)) => self.retry(now, request, index, Ending::UpstreamRefused),
            None => self.retry(now, request, index, Ending::UpstreamFailed),
        }
    }

    fn relocate(&mut self, now: Time, request: usize) {
        let state = &self.states[request];
        let Some(engine) = state.engine.filter(|_| state.tokens == 0) else {
            return;
        };
        let attempt = attempt_id(request, state.attempts);
        self.engines[engine].model.cancel(now, attempt);
        self.recorder.requests[request].relocations += 1;
        self.release(request, Ending::Cancelled, 0);
        self.submit(now, request);
    }

    /// Tells the policy that the request's attempt ended, and forgets where it ran.
    fn release(&mut self, request: usize, ending: Ending, cached_prompt_tokens: u32) {
        let state = &mut self.states[request];
        if let Some(engine) = state.engine.take() {
            let holds = &mut self.engines[engine].holds;
            holds.retain(|held| *held != request);
        }
        self.inputs.push_back(Input::Finished {
            request: request_id(request),
            output_tokens: state.tokens,
            ending,
            cached_prompt_tokens,
        });
    }

    fn end(&mut self, now: Time, request: usize, fate: Fate) {
        if !self.states[request].ended {
            self.states[request].ended = true;
            self.open -= 1;
            self.recorder.end(request, now, fate);
        }
    }

    fn schedule(&mut self, at: Time, due: Due) {
        self.agenda.insert((at, self.next_order), due);
        self.next_order += 1;
    }

    /// Ends what is still open and answers with the record.
    fn close(mut self, limit: Time) -> Recorder {
        for request in 0..self.requests.len() {
            self.end(limit, request, Fate::Incomplete);
        }
        let (sum, count) = self.memory_samples;
        let share = sum / count.max(1) as f64;
        let service = self.service.service.clone();
        self.recorder.memory_share.push((service, share));
        self.recorder
    }
}

impl Engine {
    fn next_step_at(&self) -> Option<Time> {
        self.model.next_step_at().filter(|_| self.alive)
    }
}

#[cfg(test)]
mod tests;
