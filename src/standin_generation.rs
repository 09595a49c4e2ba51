//! The stand-in engine's state: generations, the model that paces them, reports and counters.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Mutex;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use tokio::sync::Notify;
use tokio::sync::watch;

use crate::clock::SystemClock;
use crate::clock::Time;
use crate::clock::wall_ms;
use crate::event::EventCode;
use crate::id::AttemptId;
use crate::journal::Journal;
use crate::journal::Subject;
use crate::model::EngineModel;
use crate::model::ModelEvent;
use crate::model::ModelRequest;
use crate::standin::count_key;
use crate::standin::lock;
use crate::standin::output_tokens;
use crate::standin_engine::EngineOptions;
use crate::standin_faults::EngineFaults;
use crate::standin_orders::Orders;
use crate::standin_reports::Reports;
use crate::wire::CacheEvents;
use crate::wire::EngineRefusalReason;
use crate::wire::GenerateRequest;
use crate::wire::LoadReport;
use crate::wire::Order;
use crate::wire::OrderRefused;
use crate::wire::OrderState;
use crate::wire::Role;

/// Ended generations that are kept, to be resumed by a late reader.
const ENDED_MAX: usize = 4_096;

/// What the engine ran, for `GET /admin/counters`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineCounters {
    /// Attempts that run or wait in the engine now.
    pub running: u64,
    /// Attempts started.
    pub started: u64,
    /// Attempts that completed.
    pub completed: u64,
    /// Attempts that were cancelled.
    pub cancelled: u64,
    /// Attempts that were refused.
    pub refused: u64,
    /// Streams that resumed a generation.
    pub resumed: u64,
    /// Tokens generated.
    pub tokens: u64,
    /// The same by the prompt's `#key=`, else by its hash.
    pub keys: BTreeMap<String, KeyCounters>,
}

/// What the engine ran of one prompt.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyCounters {
    /// Attempts started.
    pub started: u64,
    /// Attempts that completed.
    pub completed: u64,
    /// Attempts that were cancelled.
    pub cancelled: u64,
}

/// How far a generation is.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Progress {
    pub(crate) tokens: u32,
    pub(crate) ending: Option<Ending>,
}

/// How a generation ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Ending {
    Done { cached_prompt_tokens: u32 },
    Cancelled,
}

/// What a stream needs of its generation.
pub(crate) struct Opened {
    pub(crate) prompt: String,
    pub(crate) key: String,
    pub(crate) progress: watch::Receiver<Progress>,
}

struct Generation {
    prompt: String,
    key: String,
    progress: watch::Sender<Progress>,
}

/// A stand-in engine. Its locks are held for short computations only.
pub(crate) struct Engine {
    clock: SystemClock,
    speed: f64,
    incarnation: u64,
    submitted: Notify,
    state: Mutex<State>,
    pub(crate) faults: EngineFaults,
}

struct State {
    journal: Journal,
    model: EngineModel,
    orders: Orders,
    reports: Reports,
    generations: BTreeMap<AttemptId, Generation>,
    ended: VecDeque<AttemptId>,
    counters: EngineCounters,
}

impl Engine {
    pub(crate) fn new(options: &EngineOptions, journal: Journal) -> Self {
        let load_time = Duration::from_millis(options.order_load_ms);
        let clock = SystemClock::new();
        Engine {
            clock,
            speed: options.speed,
            incarnation: wall_ms(),
            submitted: Notify::new(),
            state: Mutex::new(State {
                journal,
                model: EngineModel::new(options.model.clone(), options.seed),
                orders: Orders::new(&options.model.model, options.checks_fence, load_time),
                reports: Reports::new(options),
                generations: BTreeMap::new(),
                ended: VecDeque::new(),
                counters: EngineCounters::default(),
            }),
            faults: EngineFaults::new(clock),
        }
    }

    /// The model's time, which runs `speed` times as fast as the clock's.
    fn model_now(&self) -> Time {
        let us = self.clock.now().as_us() as f64 * self.speed;
        Time::from_us(us as u64)
    }

    /// Real time until the model's next step; none while it is idle.
    pub(crate) fn until_step(&self) -> Option<Duration> {
        let at = lock(&self.state).model.next_step_at()?;
        Some(at.since(self.model_now()).div_f64(self.speed))
    }

    /// Waits for work.
    pub(crate) async fn submitted(&self) {
        self.submitted.notified().await;
    }

    pub(crate) fn step(&self) {
        let now = self.model_now();
        let mut state = lock(&self.state);
        for event in state.model.step(now) {
            state.apply(event);
        }
    }

    /// Starts a generation. The caller opens its stream.
    pub(crate) fn start(&self, request: GenerateRequest) -> Result<(), EngineRefusalReason> {
        let refused = self.faults.refusal();
        let now = self.model_now();
        let mut state = lock(&self.state);
        let outcome = refused
            .and_then(|()| state.check_model(self.clock.now(), &request.model))
            .and_then(|()| state.submit(now, request));
        match outcome {
            Ok(()) => self.submitted.notify_one(),
            Err(_) => state.counters.refused += 1,
        }
        outcome
    }

    /// Opens a stream of a generation, unless there is none.
    pub(crate) fn open(&self, attempt: AttemptId, from: u32) -> Option<Opened> {
        let mut state = lock(&self.state);
        if from > 0 {
            state.counters.resumed += 1;
        }
        let generation = state.generations.get(&attempt)?;
        Some(Opened {
            prompt: generation.prompt.clone(),
            key: generation.key.clone(),
            progress: generation.progress.subscribe(),
        })
    }

    /// Another attempt than `attempt` with its prompt, for crossed answers.
    pub(crate) fn other_attempt(&self, attempt: AttemptId) -> (AttemptId, String) {
        lock(&self.state)
            .generations
            .iter()
            .find(|(other, _)| **other != attempt)
            .map(|(other, generation)| (*other, generation.prompt.clone()))
            .unwrap_or_else(|| (AttemptId::generate(), "of nobody".to_owned()))
    }

    /// Cancels a generation; whether there is one.
    pub(crate) fn cancel(&self, attempt: AttemptId) -> bool {
        let now = self.model_now();
        let mut state = lock(&self.state);
        state.model.cancel(now, attempt);
        state.end(attempt, Ending::Cancelled)
    }

    pub(crate) fn leave(&self) {
        lock(&self.state).model.set_leaving();
    }

    /// Samples the load and takes the model's cache events.
    pub(crate) fn collect(&self) {
        let report = self.exact_report();
        let mut state = lock(&self.state);
        let events = state.model.take_cache_events();
        state.reports.push(self.clock.now(), report, events);
    }

    /// The load as readers see it.
    pub(crate) fn lagging_report(&self) -> LoadReport {
        let lagging = lock(&self.state).reports.report(self.clock.now());
        lagging.unwrap_or_else(|| self.exact_report())
    }

    fn exact_report(&self) -> LoadReport {
        let now = self.model_now();
        let mut state = lock(&self.state);
        let orders = state.orders.state(self.clock.now());
        let mut report = state.model.report(now);
        report.model = orders.model;
        report.leaving |= orders.role == Role::Leave;
        report.incarnation = self.incarnation;
        report
    }

    /// Cache events from `sequence` on, as readers see them.
    pub(crate) fn cache_events(&self, sequence: u64) -> CacheEvents {
        let now = self.clock.now();
        lock(&self.state).reports.cache_events(now, sequence)
    }

    pub(crate) fn order(&self, order: Order) -> Result<OrderState, OrderRefused> {
        lock(&self.state).orders.take(self.clock.now(), order)
    }

    pub(crate) fn order_state(&self) -> OrderState {
        lock(&self.state).orders.state(self.clock.now())
    }

    pub(crate) fn counters(&self) -> EngineCounters {
        let state = lock(&self.state);
        let ended = state.ended.len() as u64;
        EngineCounters {
            running: state.generations.len() as u64 - ended,
            ..state.counters.clone()
        }
    }
}

impl State {
    fn check_model(&mut self, now: Time, wanted: &str) -> Result<(), EngineRefusalReason> {
        let state = self.orders.state(now);
        if state.role == Role::Leave {
            return Err(EngineRefusalReason::Leaving);
        }
        if state.model.is_empty() || state.model == wanted {
            return Ok(());
        }
        Err(EngineRefusalReason::WrongModel)
    }

    fn submit(&mut self, now: Time, request: GenerateRequest) -> Result<(), EngineRefusalReason> {
        if self.generations.contains_key(&request.attempt) {
            return Ok(());
        }
        self.model.submit(
            now,
            ModelRequest {
                attempt: request.attempt,
                prompt_tokens: request.prompt_tokens,
                output_tokens: output_tokens(&request.prompt).min(request.max_output_tokens),
                engine_priority: request.engine_priority,
                prefix_hashes: request.prefix_hashes,
            },
        )?;
        let key = count_key(&request.prompt);
        self.record(EventCode::GenerationStarted, request.attempt, &key);
        self.counters.started += 1;
        self.count(&key).started += 1;
        let generation = Generation {
            prompt: request.prompt,
            key,
            progress: watch::Sender::new(Progress::default()),
        };
        self.generations.insert(request.attempt, generation);
        Ok(())
    }

    fn record(&self, code: EventCode, attempt: AttemptId, detail: &str) {
        let subject = Subject::none().attempt(attempt).detail(detail);
        self.journal.record(code, subject);
    }

    fn count(&mut self, key: &str) -> &mut KeyCounters {
        self.counters.keys.entry(key.to_owned()).or_default()
    }

    fn apply(&mut self, event: ModelEvent) {
        match event {
            ModelEvent::Token { attempt, index } => {
                self.counters.tokens += 1;
                if let Some(generation) = self.generations.get(&attempt) {
                    generation
                        .progress
                        .send_modify(|progress| progress.tokens = index + 1);
                }
            }
            ModelEvent::Done {
                attempt,
                cached_prompt_tokens,
                ..
            } => {
                self.end(
                    attempt,
                    Ending::Done {
                        cached_prompt_tokens,
                    },
                );
            }
            ModelEvent::Preempted { .. } => {}
        }
    }

    /// Ends a generation that has not ended; whether it is known at all.
    fn end(&mut self, attempt: AttemptId, ending: Ending) -> bool {
        let Some(generation) = self.generations.get(&attempt) else {
            return false;
        };
        if generation.progress.borrow().ending.is_some() {
            return true;
        }
        generation
            .progress
            .send_modify(|progress| progress.ending = Some(ending));
        let key = generation.key.clone();
        match ending {
            Ending::Done { .. } => {
                self.counters.completed += 1;
                self.count(&key).completed += 1;
            }
            Ending::Cancelled => {
                self.counters.cancelled += 1;
                self.count(&key).cancelled += 1;
            }
        }
        let how = match ending {
            Ending::Done { .. } => "completed",
            Ending::Cancelled => "cancelled",
        };
        let detail = format!("{key} {how}");
        self.record(EventCode::GenerationEnded, attempt, &detail);
        self.ended.push_back(attempt);
        if self.ended.len() > ENDED_MAX
            && let Some(oldest) = self.ended.pop_front()
        {
            self.generations.remove(&oldest);
        }
        true
    }
}
