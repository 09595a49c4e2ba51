//! The queue of a data centre's generations that wait for engine memory, as its owner decides on it.
//!
//! Answers load for which a service's engines lack memory for seconds: with one queue per host, whichever host looks
//! next takes the memory that becomes free, and nobody knows who has waited longest or what a customer uses on all
//! hosts. The owner is one host of the data centre for each service; the others send it what waits.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::clock::Time;
use crate::fairqueue::FairQueue;
use crate::fairqueue::Position;
use crate::fingerprint::Fingerprint;
use crate::gateway::admit;
use crate::gateway::admit::Demand;
use crate::gateway::enginestats::EngineStats;
use crate::gateway::instance::InstanceId;
use crate::gateway::instance::InstanceKey;
use crate::gateway::placement::Candidate;
use crate::gateway::placement::Need;
use crate::gateway::placement::PlacementContext;
use crate::gateway::sharedqueue::engines::Engines;
use crate::gateway::sharedqueue::forecast::Ahead;
use crate::gateway::sharedqueue::forecast::Forecaster;
use crate::gateway::sharedqueue::places::Places;
use crate::id::ClassId;
use crate::id::CustomerId;
use crate::id::DataCentre;
use crate::id::HostId;
use crate::id::RegionId;
use crate::id::RequestId;

mod engines;
mod forecast;
mod places;

/// Identifies a waiting generation.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub(crate) struct WaiterId {
    /// The host that holds the caller's connection.
    pub(crate) host: HostId,
    /// Unique among the generations of the host's process; starts at a random number.
    pub(crate) number: u64,
}

/// A generation that waits for room.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Waiter {
    /// Its identity.
    pub(crate) id: WaiterId,
    /// Its rank; 0 is the most urgent.
    pub(crate) rank: u8,
    /// The customer who sent it.
    pub(crate) customer: Option<CustomerId>,
    /// The customer's weight beside others of the rank; at least 1.
    pub(crate) weight: u32,
    /// Fingerprint of its content, by which it is known when its caller returns.
    pub(crate) content: Fingerprint,
    /// What it needs of an engine: [`Need::Memory`].
    pub(crate) need: Need,
    /// When its caller's request arrived, by the owner's clock.
    pub(crate) arrived_at: Time,
    /// Time from arrival within which its first event should come.
    pub(crate) objective: Duration,
    /// When its caller or its route gives up, by the owner's clock.
    pub(crate) deadline: Time,
    /// How long its answer is expected to take once it has started.
    pub(crate) run_time: Duration,
    /// Engines that it may not use.
    pub(crate) avoid: Vec<InstanceKey>,
    /// The regions in which it may run; `None` allows all.
    pub(crate) regions: Option<BTreeSet<RegionId>>,
}

/// What the owner knows of the engines when it decides.
pub(crate) struct EngineView<'a> {
    /// The engines of the service, with what runs at them and what is granted there.
    pub(crate) candidates: &'a [Candidate],
    /// The region of each data centre.
    pub(crate) regions: &'a HashMap<DataCentre, RegionId>,
    /// The owner's observations of engines.
    pub(crate) stats: &'a EngineStats,
    /// The owner's location.
    pub(crate) context: PlacementContext<'a>,
}

/// How long a generation is expected to wait.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct QueueForecast {
    /// Time until it is expected to start.
    pub(crate) expected: Duration,
    /// Longest wait from now after which it is still useful to its caller.
    pub(crate) limit: Duration,
    /// Tokens needed by the generations ahead.
    pub(crate) ahead_tokens: u64,
}

/// The answer to a generation that asks to wait.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum JoinOutcome {
    /// It waits.
    Queued(QueueForecast),
    /// It is refused.
    Refused(Turn),
}

/// When a refused generation would have its turn.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Turn {
    /// The forecast by which it is refused.
    pub(crate) forecast: QueueForecast,
    /// Time after which its caller should return. Its place is kept until some time after that.
    pub(crate) retry_after: Duration,
}

/// What the owner decided on a waiting generation.
#[derive(Debug, Clone)]
pub(crate) enum Decision {
    /// It starts at this engine.
    Start {
        /// The generation.
        id: WaiterId,
        /// Where it starts.
        engine: InstanceId,
        /// Tokens of the engine's memory that it is predicted to need.
        tokens: u32,
    },
    /// It waited in vain and is refused.
    Refuse {
        /// The generation.
        id: WaiterId,
        /// When it would have its turn.
        turn: Turn,
    },
}

/// A generation waits if all ahead of it is expected to start within this share of the time for which it may wait. The
/// rest is for finding room once it is first: a large one may have to wait there for several ends at one engine.
const JOINS_WITHIN: f64 = 0.75;
/// Time for which a refusal for lack of room holds the less urgent ranks back: some arrivals of the rank that lacks room,
/// and well below the objective of what is held back.
const HELD_BACK_FOR: Duration = Duration::from_millis(200);
/// A generation that waits for longer than this without being renewed has lost its host.
const RENEWED_WITHIN: Duration = Duration::from_millis(300);

impl Waiter {
    /// What it asks of admission.
    fn demand(&self) -> Demand {
        Demand {
            need: self.need,
            objective: self.objective,
            waited: None,
        }
    }

    fn customer_id(&self) -> CustomerId {
        self.customer.clone().unwrap_or_else(|| CustomerId::new(""))
    }

    /// A number from 0 to 1 that differs between generations that are refused together.
    fn spread(&self) -> f64 {
        let mixed = self.id.number.wrapping_mul(SPREAD_FACTOR) >> (u64::BITS - SPREAD_BITS);
        mixed as f64 / f64::from(1u32 << SPREAD_BITS)
    }
}

/// Bits of a generation's number, once mixed, that spread returns.
const SPREAD_BITS: u32 = 16;
/// Odd number whose multiples are spread evenly: 2^64 over the golden ratio.
const SPREAD_FACTOR: u64 = 0x9E37_79B9_7F4A_7C15;

/// A generation in the queue.
#[derive(Debug)]
struct Entry {
    waiter: Waiter,
    /// Whether it was refused before and returned to its place.
    is_returned: bool,
}

impl Entry {
    /// Longest wait from now after which it is still useful. One that returned waits for as long as its whole answer is
    /// expected to come.
    fn limit(&self, now: Time, forecaster: &Forecaster<'_>) -> Duration {
        let waiter = &self.waiter;
        let left = waiter.deadline.since(now);
        if self.is_returned {
            return left.saturating_sub(waiter.run_time);
        }
        let limit = waiter.arrived_at + forecaster.wait_limit(&waiter.demand());
        limit.since(now).min(left)
    }
}

/// What is known of a generation beside its place in the order.
#[derive(Debug)]
struct Standing {
    request: RequestId,
    renewed_at: Time,
    forecast: QueueForecast,
    /// Whether it has waited through a decision.
    has_waited: bool,
}

/// What becomes of a waiting generation in a decision.
enum Outcome {
    Start(InstanceId),
    Refuse(QueueForecast),
    Wait(QueueForecast),
}

/// The queue of one service at its owner.
#[derive(Debug)]
pub(crate) struct SharedQueue {
    /// A class for each rank; tokens are charged when they are granted.
    queue: FairQueue<Entry>,
    ranks: BTreeMap<u8, ClassId>,
    /// When a generation of a rank was last refused for lack of room.
    refused_at: BTreeMap<u8, Time>,
    standings: HashMap<WaiterId, Standing>,
    places: Places,
    next_request: u128,
}

impl Default for SharedQueue {
    fn default() -> Self {
        SharedQueue {
            queue: FairQueue::charged_whole(),
            ranks: BTreeMap::new(),
            refused_at: BTreeMap::new(),
            standings: HashMap::new(),
            places: Places::default(),
            next_request: 0,
        }
    }
}

impl SharedQueue {
    /// Adds a generation, or renews one that waits already, which keeps its place.
    pub(crate) fn join(&mut self, now: Time, waiter: Waiter, view: &EngineView<'_>) -> JoinOutcome {
        if let Some(forecast) = self.renew(now, &waiter) {
            return JoinOutcome::Queued(forecast);
        }
        self.queue.record_time(now);
        self.places.expire(now);
        let returned_to = self.places.take(now, &waiter);
        let is_returned = returned_to.is_some();
        let mut entry = Entry {
            waiter,
            is_returned,
        };
        if let Some(arrived_at) = returned_to {
            entry.waiter.arrived_at = arrived_at;
        }
        let id = entry.waiter.id.clone();
        let engines = Engines::new(view);
        let has_engine = engines.has_any_for(&entry.waiter) && entry.waiter.deadline > now;
        let has_room = engines.have_room(&entry.waiter);
        let request = self.insert(now, entry);
        let forecaster = Forecaster::new(view);
        let mut forecast = self.forecast(now, request, &forecaster);
        let has_room = has_room && self.starts_now(now, &id, view, &forecaster);
        if has_room {
            forecast.expected = Duration::ZERO;
        }
        let comes_in_time = match is_returned {
            true => forecast.expected < forecast.limit,
            false => forecast.expected < forecast.limit.mul_f64(JOINS_WITHIN),
        };
        if !has_engine || !(has_room || comes_in_time) {
            let turn = self.refuse(now, &id, forecast, &forecaster);
            return JoinOutcome::Refused(turn);
        }
        if let Some(standing) = self.standings.get_mut(&id) {
            standing.forecast = forecast;
        }
        JoinOutcome::Queued(forecast)
    }

    /// Renews a generation that waits already.
    fn renew(&mut self, now: Time, waiter: &Waiter) -> Option<QueueForecast> {
        let standing = self.standings.get_mut(&waiter.id)?;
        standing.renewed_at = now;
        let entry = self.queue.get_mut(standing.request)?;
        entry.waiter.avoid.clone_from(&waiter.avoid);
        entry.waiter.regions.clone_from(&waiter.regions);
        Some(standing.forecast)
    }

    fn insert(&mut self, now: Time, entry: Entry) -> RequestId {
        self.next_request += 1;
        let request = RequestId::from_u128(self.next_request);
        let waiter = &entry.waiter;
        let customer = waiter.customer_id();
        let rank = waiter.rank;
        let class = self
            .ranks
            .entry(rank)
            .or_insert_with(|| ClassId::new(rank.to_string()));
        let position = Position {
            request,
            class: class.clone(),
            customer: customer.clone(),
            since: waiter.arrived_at,
            deadline: waiter.deadline,
        };
        let standing = Standing {
            request,
            renewed_at: now,
            forecast: QueueForecast {
                expected: Duration::ZERO,
                limit: Duration::ZERO,
                ahead_tokens: 0,
            },
            has_waited: false,
        };
        self.standings.insert(waiter.id.clone(), standing);
        self.queue.set_weight(&customer, waiter.weight);
        self.queue.insert(position, entry);
        request
    }

    /// The forecast of a generation that has just been added.
    fn forecast(
        &self,
        now: Time,
        request: RequestId,
        forecaster: &Forecaster<'_>,
    ) -> QueueForecast {
        let mut ahead = Ahead::default();
        for class in self.ranks.values() {
            ahead.rank_tokens = 0;
            for (other, entry) in self.queue.order(class, tokens_of) {
                if other != request {
                    ahead.add(u64::from(tokens_of(entry)));
                    continue;
                }
                let per_s = self.queue.granted_per_s(class);
                // Behind others its own size doesn't count: small ones would fill the queue up to the limit each time,
                // and no large one would ever be taken into it.
                let own = if ahead.tokens == 0 {
                    tokens_of(entry)
                } else {
                    0
                };
                return QueueForecast {
                    expected: forecaster.expected(ahead, own, per_s),
                    limit: entry.limit(now, forecaster),
                    ahead_tokens: ahead.tokens,
                };
            }
        }
        QueueForecast {
            expected: Duration::ZERO,
            limit: Duration::ZERO,
            ahead_tokens: ahead.tokens,
        }
    }

    /// Whether a generation would start if it were decided now: there may be room that those ahead can't use.
    fn starts_now(
        &self,
        now: Time,
        id: &WaiterId,
        view: &EngineView<'_>,
        forecaster: &Forecaster<'_>,
    ) -> bool {
        let outcomes = self.outcomes(now, view, forecaster, || 0.0);
        let mut outcomes = outcomes.iter();
        outcomes.any(|(other, outcome)| other == id && matches!(outcome, Outcome::Start(_)))
    }

    /// Removes a generation that waits no longer.
    pub(crate) fn leave(&mut self, id: &WaiterId) {
        self.take(id);
    }

    fn take(&mut self, id: &WaiterId) -> Option<(Entry, Standing)> {
        let standing = self.standings.remove(id)?;
        Some((self.queue.remove(standing.request)?, standing))
    }

    fn remove_if(&mut self, is_gone: impl Fn(&WaiterId, &Standing) -> bool) {
        let gone = self.standings.iter();
        let gone: Vec<WaiterId> = gone
            .filter(|(id, standing)| is_gone(id, standing))
            .map(|(id, _)| id.clone())
            .collect();
        for id in &gone {
            self.leave(id);
        }
    }

    /// Whether a generation that arrives has to ask: others wait, or a rank is held back.
    pub(crate) fn is_open(&self, now: Time) -> bool {
        !self.is_empty() || self.is_held_back(now, u8::MAX)
    }

    /// Whether generations of a rank may not start because more urgent ones were refused a moment ago. The memory that
    /// becomes free is theirs, though none of them waits at this moment.
    fn is_held_back(&self, now: Time, rank: u8) -> bool {
        let more_urgent = self.refused_at.range(..rank);
        let mut refused_at = more_urgent.map(|(_, refused_at)| *refused_at);
        refused_at.any(|refused_at| now.since(refused_at) < HELD_BACK_FOR)
    }

    /// Whether nothing waits.
    pub(crate) fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Number of waiting generations.
    pub(crate) fn len(&self) -> usize {
        self.queue.len()
    }

    /// Decides which generations start now and which are refused. Each that is decided on has left the queue. A
    /// decision to start counts at its engine for the decisions after it in the same call; the caller counts it until
    /// the host that starts it does.
    pub(crate) fn decide(
        &mut self,
        now: Time,
        view: &EngineView<'_>,
        draw: impl FnMut() -> f64,
    ) -> Vec<Decision> {
        self.queue.record_time(now);
        self.places.expire(now);
        self.remove_if(|_, standing| now.since(standing.renewed_at) > RENEWED_WITHIN);
        let forecaster = Forecaster::new(view);
        let outcomes = self.outcomes(now, view, &forecaster, draw);
        let outcomes = outcomes.into_iter();
        let decisions = outcomes
            .filter_map(|(id, outcome)| self.apply(now, id, outcome, &forecaster))
            .collect();
        self.queue.forget_idle();
        decisions
    }

    /// What becomes of each waiting generation, in order.
    fn outcomes(
        &self,
        now: Time,
        view: &EngineView<'_>,
        forecaster: &Forecaster<'_>,
        mut draw: impl FnMut() -> f64,
    ) -> Vec<(WaiterId, Outcome)> {
        let mut forecaster = *forecaster;
        let mut engines = Engines::new(view);
        let mut ahead = Ahead::default();
        let mut outcomes = Vec::with_capacity(self.len());
        for (rank, class) in &self.ranks {
            ahead.rank_tokens = 0;
            let per_s = self.queue.granted_per_s(class);
            let is_held_back = self.is_held_back(now, *rank);
            for (_, entry) in self.queue.order(class, tokens_of) {
                let waiter = &entry.waiter;
                let start = match is_held_back {
                    true => None,
                    false => engines.start(waiter, &mut draw),
                };
                let outcome = match start {
                    Some(engine) => {
                        forecaster.add_taken(tokens_of(entry));
                        Outcome::Start(engine)
                    }
                    None => {
                        let forecast = QueueForecast {
                            expected: forecaster.expected(ahead, 0, per_s),
                            limit: entry.limit(now, &forecaster),
                            ahead_tokens: ahead.tokens,
                        };
                        let is_late = forecast.expected > forecast.limit;
                        if is_late || forecast.limit.is_zero() {
                            Outcome::Refuse(forecast)
                        } else {
                            engines.reserve(waiter);
                            ahead.add(u64::from(tokens_of(entry)));
                            Outcome::Wait(forecast)
                        }
                    }
                };
                outcomes.push((waiter.id.clone(), outcome));
            }
        }
        outcomes
    }

    fn apply(
        &mut self,
        now: Time,
        id: WaiterId,
        outcome: Outcome,
        forecaster: &Forecaster<'_>,
    ) -> Option<Decision> {
        match outcome {
            Outcome::Start(engine) => {
                let (entry, standing) = self.take(&id)?;
                let tokens = tokens_of(&entry);
                self.charge(&entry.waiter, standing.has_waited);
                Some(Decision::Start { id, engine, tokens })
            }
            Outcome::Refuse(forecast) => {
                let turn = self.refuse(now, &id, forecast, forecaster);
                Some(Decision::Refuse { id, turn })
            }
            Outcome::Wait(forecast) => {
                let standing = self.standings.get_mut(&id)?;
                standing.forecast = forecast;
                standing.has_waited = true;
                None
            }
        }
    }

    /// Charges a generation that starts. Only one that has waited tells how fast memory becomes free.
    fn charge(&mut self, waiter: &Waiter, has_waited: bool) {
        let Some(class) = self.ranks.get(&waiter.rank) else {
            return;
        };
        let tokens = waiter.need.tokens();
        self.queue
            .charge(class, &waiter.customer_id(), i64::from(tokens));
        if has_waited {
            self.queue.record_granted(class, f64::from(tokens));
        }
    }

    /// Takes a generation out and keeps its place, once.
    fn refuse(
        &mut self,
        now: Time,
        id: &WaiterId,
        forecast: QueueForecast,
        forecaster: &Forecaster<'_>,
    ) -> Turn {
        let mut turn = Turn {
            forecast,
            retry_after: Duration::ZERO,
        };
        let Some((entry, _)) = self.take(id) else {
            return turn;
        };
        if !entry.is_returned {
            self.refused_at.insert(entry.waiter.rank, now);
        }
        let waiter = &entry.waiter;
        let promised_tokens = self.places.tokens(waiter.rank);
        let ahead = Ahead {
            tokens: forecast.ahead_tokens + promised_tokens,
            rank_tokens: 0,
        };
        let expected = forecaster.expected(ahead, tokens_of(&entry), None);
        turn.retry_after = admit::return_after(
            waiter.deadline.since(now),
            waiter.run_time,
            expected.max(forecast.expected),
            waiter.spread(),
        );
        if !entry.is_returned && !turn.retry_after.is_zero() {
            self.places.keep(now, waiter, turn.retry_after);
        }
        turn
    }
}

fn tokens_of(entry: &Entry) -> u32 {
    entry.waiter.need.tokens()
}

#[cfg(test)]
mod tests;
