//! Models hosts that ask an owner, and engines whose memory is held for the time of a run.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::clock::Time;
use crate::gateway::admit;
use crate::gateway::admit::Demand;
use crate::gateway::admit::QueueState;
use crate::gateway::admit::Verdict;
use crate::gateway::enginestats::EngineStats;
use crate::gateway::loads::Load;
use crate::gateway::placement::Candidate;
use crate::gateway::placement::Need;
use crate::gateway::placement::PlacementContext;
use crate::gateway::placement::RemoteCounts;
use crate::gateway::sharedqueue::Decision;
use crate::gateway::sharedqueue::EngineView;
use crate::gateway::sharedqueue::JoinOutcome;
use crate::gateway::sharedqueue::SharedQueue;
use crate::gateway::sharedqueue::Waiter;
use crate::gateway::sharedqueue::WaiterId;
use crate::gateway::sharedqueue::tests::MEMORY_TOKENS;
use crate::gateway::sharedqueue::tests::OBJECTIVE;
use crate::gateway::sharedqueue::tests::candidate;
use crate::id::DataCentre;

const TICK: Duration = Duration::from_millis(5);
const RENEW: Duration = Duration::from_millis(100);
const FIRST_RENEW: Duration = Duration::from_millis(25);
/// Without an answer for this long, a host decides alone.
const SILENCE_MAX: Duration = Duration::from_millis(60);
/// How often a host that decides alone looks for room.
const LOOK: Duration = Duration::from_millis(20);
/// A host refuses this long after the limit, when no refusal of the owner has come.
const LIMIT_SLACK: Duration = Duration::from_millis(15);
/// A grant that is older is not used.
const GRANT_VALID: Duration = Duration::from_millis(100);
/// Hosts take another for the owner once it was silent for this long.
const SUSPECTED_AFTER: Duration = Duration::from_millis(400);
const TIMEOUT: Duration = Duration::from_secs(20);

/// A series of generations of one customer.
#[derive(Debug, Clone)]
pub(super) struct Stream {
    pub(super) customer: &'static str,
    pub(super) weight: u32,
    pub(super) rank: u8,
    pub(super) per_s: f64,
    pub(super) prompt_tokens: (u32, u32),
    pub(super) output_tokens: (u32, u32),
}

/// What happens to owner 0. Owner 1 takes its place where it isn't heard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Fault {
    Dead,
    Paused,
    /// The hosts with odd numbers don't reach it.
    Cut,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum State {
    /// Not asked yet, or refused: asks at this time.
    Away(Time),
    Waiting,
    Alone,
    Started,
    GivenUp,
}

#[derive(Debug, Clone)]
pub(super) struct Generation {
    pub(super) stream: usize,
    pub(super) host: usize,
    pub(super) waiter: Waiter,
    pub(super) arrived_at: Time,
    pub(super) state: State,
    pub(super) started_at: Option<Time>,
    pub(super) starts: u32,
    pub(super) refusals: u32,
    /// Longest time by which a wait exceeded its limit.
    pub(super) over: Duration,
    next_ask: Time,
    asked_at: Option<Time>,
    limit_at: Time,
}

impl Generation {
    pub(super) fn tokens(&self) -> u32 {
        self.waiter.need.tokens()
    }

    pub(super) fn waits(&self) -> bool {
        matches!(self.state, State::Waiting | State::Alone)
    }
}

#[derive(Debug, Clone)]
enum Message {
    Join(usize, usize, Waiter),
    Leave(usize, WaiterId),
    Queued(usize, Duration),
    Granted(usize, Time, usize, WaiterId),
    Refused(usize, Duration, WaiterId),
    Ended(usize, u32),
}

/// The state of a model and its options.
pub(super) struct Model {
    pub(super) now: Time,
    pub(super) engines: Vec<Candidate>,
    pub(super) generations: Vec<Generation>,
    /// Whether refused callers come back when told.
    pub(super) callers_return: bool,
    pub(super) fault: Option<(Time, Time, Fault)>,
    owners: [SharedQueue; 2],
    grants: [HashMap<WaiterId, (Time, usize, u32)>; 2],
    held: Vec<Message>,
    by_id: HashMap<u64, usize>,
    messages: BTreeMap<(Time, u64), Message>,
    stats: EngineStats,
    rng: ChaCha8Rng,
    next_number: u64,
}

impl Model {
    pub(super) fn new(
        seed: u64,
        hosts: usize,
        engines: usize,
        streams: &[Stream],
        time: Duration,
    ) -> Self {
        let mut model = Model {
            now: Time::ZERO,
            engines: (0..engines)
                .map(|number| candidate(number, Load::default()))
                .collect(),
            generations: Vec::new(),
            callers_return: false,
            fault: None,
            owners: Default::default(),
            grants: Default::default(),
            held: Vec::new(),
            by_id: HashMap::new(),
            messages: BTreeMap::new(),
            stats: EngineStats::default(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            next_number: 0,
        };
        for (stream, spec) in streams.iter().enumerate() {
            let mut at_s = 0.0;
            loop {
                at_s += -(1.0 - model.rng.random::<f64>()).ln() / spec.per_s;
                if at_s >= time.as_secs_f64() {
                    break;
                }
                let generation =
                    model.draw(stream, spec, Time::from_us((at_s * 1e6) as u64), hosts);
                model.generations.push(generation);
            }
        }
        model
    }

    fn draw(&mut self, stream: usize, spec: &Stream, arrived_at: Time, hosts: usize) -> Generation {
        let prompt_tokens = self
            .rng
            .random_range(spec.prompt_tokens.0..=spec.prompt_tokens.1);
        let output = self
            .rng
            .random_range(spec.output_tokens.0..=spec.output_tokens.1);
        let host = self.rng.random_range(0..hosts);
        let content = format!("{:032x}", self.generations.len() + 1);
        let waiter = Waiter {
            id: WaiterId {
                host: format!("host-{host}").as_str().into(),
                number: 0,
            },
            rank: spec.rank,
            customer: Some(spec.customer.into()),
            weight: spec.weight,
            content: content.parse().unwrap(),
            need: Need::Memory {
                tokens: prompt_tokens + output,
                prompt_tokens,
                memory_tokens: MEMORY_TOKENS,
            },
            arrived_at,
            objective: OBJECTIVE,
            deadline: arrived_at + TIMEOUT,
            run_time: Duration::from_millis(u64::from(300 + output * 8)),
            avoid: Vec::new(),
            regions: None,
        };
        Generation {
            stream,
            host,
            waiter,
            arrived_at,
            state: State::Away(arrived_at),
            started_at: None,
            starts: 0,
            refusals: 0,
            over: Duration::ZERO,
            next_ask: arrived_at,
            asked_at: None,
            limit_at: arrived_at,
        }
    }

    /// Runs until `end`; `look` sees the model after each tick.
    pub(super) fn run(&mut self, end: Duration, mut look: impl FnMut(&Model)) {
        while self.now < Time::ZERO + end {
            self.now = self.now + TICK;
            while let Some(entry) = self
                .messages
                .first_entry()
                .filter(|entry| entry.key().0 <= self.now)
            {
                let message = entry.remove();
                self.receive(message);
            }
            for owner in 0..self.owners.len() {
                self.decide(owner);
            }
            for number in 0..self.generations.len() {
                self.step(number);
            }
            look(self);
        }
    }

    fn fault_now(&self) -> Option<(Time, Fault)> {
        let (from, until, fault) = self.fault?;
        (from <= self.now && self.now < until).then_some((from, fault))
    }

    /// The owner as a host sees it.
    fn owner_of(&self, host: usize) -> usize {
        let lost = self.fault_now().filter(|(from, fault)| {
            let reaches = *fault == Fault::Cut && host.is_multiple_of(2);
            !reaches && self.now.since(*from) > SUSPECTED_AFTER
        });
        usize::from(lost.is_some())
    }

    fn reaches(&self, host: usize, owner: usize) -> bool {
        match self.fault_now() {
            Some((_, Fault::Cut)) => owner == 1 || host.is_multiple_of(2),
            Some((_, Fault::Dead)) => owner == 1,
            Some((_, Fault::Paused)) | None => true,
        }
    }

    fn send(&mut self, message: Message) {
        let delay = Duration::from_micros(self.rng.random_range(500..4_000));
        self.next_number += 1;
        self.messages
            .insert((self.now + delay, self.next_number), message);
    }

    fn receive(&mut self, message: Message) {
        let is_paused = self
            .fault_now()
            .is_some_and(|(_, fault)| fault == Fault::Paused);
        match message {
            Message::Join(0, ..) | Message::Leave(0, _) if is_paused => self.held.push(message),
            Message::Join(owner, number, waiter) => self.join(owner, number, waiter),
            Message::Leave(owner, id) => {
                self.owners[owner].leave(&id);
                self.grants[owner].remove(&id);
            }
            Message::Queued(number, limit) => {
                let limit_at = self.now + limit;
                let generation = &mut self.generations[number];
                generation.asked_at = None;
                generation.next_ask = self.now + RENEW;
                generation.limit_at = generation.limit_at.max(limit_at);
            }
            Message::Granted(number, granted_at, engine, id) => {
                self.granted(number, granted_at, engine, &id)
            }
            Message::Refused(number, retry_after, id) => {
                let generation = &self.generations[number];
                if generation.waiter.id == id && generation.state == State::Waiting {
                    self.refused(number, retry_after);
                }
            }
            Message::Ended(engine, tokens) => {
                let load = &mut self.engines[engine].load;
                load.requests -= 1;
                load.tokens -= tokens;
            }
        }
    }

    fn join(&mut self, owner: usize, number: usize, waiter: Waiter) {
        let host = self.generations[number].host;
        if !self.reaches(host, owner) {
            return;
        }
        // A grant whose datagram was late stands for as long as it is valid.
        if let Some((granted_at, engine, _)) = self.grants[owner].get(&waiter.id) {
            let message = Message::Granted(number, *granted_at, *engine, waiter.id);
            return self.send(message);
        }
        let id = waiter.id.clone();
        let (now, candidates) = (self.now, self.counted(owner));
        let outcome = with_view(&candidates, &self.stats, |view| {
            self.owners[owner].join(now, waiter, view)
        });
        match outcome {
            JoinOutcome::Queued(forecast) => self.send(Message::Queued(number, forecast.limit)),
            JoinOutcome::Refused(turn) => self.send(Message::Refused(number, turn.retry_after, id)),
        }
    }

    /// The engines as an owner counts them: what runs and what it has granted.
    fn counted(&self, owner: usize) -> Vec<Candidate> {
        let mut candidates = self.engines.clone();
        for (_, engine, tokens) in self.grants[owner].values() {
            candidates[*engine].load.requests += 1;
            candidates[*engine].load.tokens += tokens;
        }
        candidates
    }

    fn decide(&mut self, owner: usize) {
        let fault = self
            .fault_now()
            .filter(|_| owner == 0)
            .map(|(_, fault)| fault);
        match fault {
            Some(Fault::Dead) => {
                self.owners[0] = SharedQueue::default();
                return;
            }
            Some(Fault::Paused) => return,
            Some(Fault::Cut) | None => {}
        }
        if owner == 0 {
            for message in std::mem::take(&mut self.held) {
                self.receive(message);
            }
        }
        let now = self.now;
        self.grants[owner].retain(|_, (granted_at, ..)| now.since(*granted_at) < GRANT_VALID);
        let candidates = self.counted(owner);
        let rng = &mut self.rng;
        let owners = &mut self.owners;
        let decisions = with_view(&candidates, &self.stats, |view| {
            owners[owner].decide(now, view, || rng.random())
        });
        for decision in decisions {
            self.answer(owner, decision);
        }
    }

    fn answer(&mut self, owner: usize, decision: Decision) {
        let (Decision::Start { id, .. } | Decision::Refuse { id, .. }) = &decision;
        let number = self.by_id[&id.number];
        let message = match decision {
            Decision::Start { id, engine, tokens } => {
                let engines = self.engines.iter();
                let engine = engines
                    .map(|other| &other.upstream.id)
                    .position(|other| *other == engine)
                    .unwrap();
                self.grants[owner].insert(id.clone(), (self.now, engine, tokens));
                Message::Granted(number, self.now, engine, id)
            }
            Decision::Refuse { id, turn } => Message::Refused(number, turn.retry_after, id),
        };
        if self.reaches(self.generations[number].host, owner) {
            self.send(message);
        }
    }

    fn granted(&mut self, number: usize, granted_at: Time, engine: usize, id: &WaiterId) {
        let generation = &self.generations[number];
        let is_valid = self.now.since(granted_at) < GRANT_VALID;
        if generation.waits() && generation.waiter.id == *id && is_valid {
            return self.start(number, engine);
        }
        self.leave_all(number, id.clone());
    }

    fn start(&mut self, number: usize, engine: usize) {
        let generation = &mut self.generations[number];
        generation.state = State::Started;
        generation.started_at = Some(self.now);
        generation.over = generation.over.max(self.now.since(generation.limit_at));
        generation.starts += 1;
        let id = generation.waiter.id.clone();
        let (tokens, run_time) = (generation.tokens(), generation.waiter.run_time);
        for grants in &mut self.grants {
            grants.remove(&id);
        }
        let load = &mut self.engines[engine].load;
        load.requests += 1;
        load.tokens += tokens;
        self.stats.record_end(tokens, run_time);
        self.next_number += 1;
        self.messages.insert(
            (self.now + run_time, self.next_number),
            Message::Ended(engine, tokens),
        );
        self.leave_all(number, id);
    }

    fn leave_all(&mut self, number: usize, id: WaiterId) {
        let host = self.generations[number].host;
        for owner in 0..self.owners.len() {
            if self.reaches(host, owner) {
                self.send(Message::Leave(owner, id.clone()));
            }
        }
    }

    fn refused(&mut self, number: usize, retry_after: Duration) {
        let late = Duration::from_millis(self.rng.random_range(0..100));
        let back_at = self.now + retry_after + late;
        let now = self.now;
        let generation = &mut self.generations[number];
        generation.refusals += 1;
        generation.over = generation.over.max(now.since(generation.limit_at));
        let returns = self.callers_return && back_at < generation.waiter.deadline;
        generation.state = if returns {
            State::Away(back_at)
        } else {
            State::GivenUp
        };
    }

    /// What the generation's host does.
    fn step(&mut self, number: usize) {
        let now = self.now;
        let generation = &mut self.generations[number];
        match generation.state {
            State::Away(at) if at <= now => {
                self.next_number += 1;
                generation.waiter.id.number = self.next_number;
                generation.waiter.arrived_at = at;
                generation.state = State::Waiting;
                generation.next_ask = now;
                generation.asked_at = None;
                generation.limit_at = at + demand(&generation.waiter).wait_limit(&self.stats, 1.0);
                self.by_id.insert(self.next_number, number);
            }
            State::Waiting | State::Alone if now.since(generation.limit_at) >= LIMIT_SLACK => {
                let id = generation.waiter.id.clone();
                self.refused(number, Duration::from_secs(1));
                return self.leave_all(number, id);
            }
            State::Alone => return self.decide_alone(number),
            State::Away(_) | State::Waiting | State::Started | State::GivenUp => {}
        }
        let generation = &mut self.generations[number];
        if generation.state != State::Waiting {
            return;
        }
        if generation
            .asked_at
            .is_some_and(|at| now.since(at) > SILENCE_MAX)
        {
            generation.state = State::Alone;
            let id = generation.waiter.id.clone();
            return self.leave_all(number, id);
        }
        if generation.next_ask <= now {
            let is_repeat = generation.asked_at.is_some();
            generation.next_ask = now + if is_repeat { RENEW } else { FIRST_RENEW };
            generation.asked_at.get_or_insert(now);
            let (host, waiter) = (generation.host, generation.waiter.clone());
            let owner = self.owner_of(host);
            self.send(Message::Join(owner, number, waiter));
        }
    }

    fn decide_alone(&mut self, number: usize) {
        let generation = &mut self.generations[number];
        if generation.next_ask > self.now {
            return;
        }
        generation.next_ask = self.now + LOOK;
        let demand = Demand {
            waited: Some(self.now.since(generation.waiter.arrived_at)),
            ..demand(&generation.waiter)
        };
        let queue = QueueState {
            ahead_tokens: 0,
            taken_tokens: self
                .engines
                .iter()
                .map(|engine| u64::from(engine.load.tokens))
                .sum(),
            hosts: 72,
            stats: &self.stats,
        };
        let here = DataCentre::new("north");
        let rng = &mut self.rng;
        match admit::decide(&demand, &queue, &self.engines, context(&here), || {
            rng.random()
        }) {
            Verdict::Start(chosen) => {
                let mut engines = self.engines.iter();
                let engine = engines.position(|engine| engine.upstream.id == chosen.upstream.id);
                self.start(number, engine.unwrap());
            }
            Verdict::Wait => {}
            Verdict::Refuse(_) => self.refused(number, Duration::from_secs(1)),
        }
    }
}

fn demand(waiter: &Waiter) -> Demand {
    Demand {
        need: waiter.need,
        objective: waiter.objective,
        waited: None,
    }
}

fn context(here: &DataCentre) -> PlacementContext<'_> {
    PlacementContext {
        data_centre: here,
        remote_counts: RemoteCounts::Fresh,
    }
}

pub(super) fn with_view<T>(
    candidates: &[Candidate],
    stats: &EngineStats,
    run: impl FnOnce(&EngineView<'_>) -> T,
) -> T {
    let here = DataCentre::new("north");
    let regions = HashMap::from([(here.clone(), "home".into())]);
    run(&EngineView {
        candidates,
        regions: &regions,
        stats,
        context: context(&here),
    })
}
