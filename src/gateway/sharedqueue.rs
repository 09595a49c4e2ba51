//! The queue of a data centre's generations that wait for engine memory, as its owner decides on it.
//!
//! Answers load for which a service's engines lack memory for seconds: with one queue per host, whichever host looks
//! next takes the memory that becomes free, and nobody knows who has waited longest or what a customer uses on all
//! hosts. The owner is one host of the data centre for each service; the others send it what waits.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::clock::Time;
use crate::fingerprint::Fingerprint;
use crate::gateway::admit;
use crate::gateway::admit::Demand;
use crate::gateway::enginestats::EngineStats;
use crate::gateway::instance::InstanceId;
use crate::gateway::instance::InstanceKey;
use crate::gateway::placement;
use crate::gateway::placement::Candidate;
use crate::gateway::placement::Need;
use crate::gateway::placement::PlacementContext;
use crate::id::CustomerId;
use crate::id::DataCentre;
use crate::id::HostId;
use crate::id::RegionId;

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

/// The queue of one service at its owner.
#[derive(Debug, Default)]
pub(crate) struct SharedQueue {
    waiting: Vec<Waiter>,
}

impl SharedQueue {
    /// Adds a generation, or renews one that waits already, which keeps its place.
    pub(crate) fn join(&mut self, now: Time, waiter: Waiter, view: &EngineView<'_>) -> JoinOutcome {
        let forecast = QueueForecast {
            expected: view.stats.turnover(),
            limit: (waiter.arrived_at + waiter.objective).since(now),
            ahead_tokens: 0,
        };
        self.leave(&waiter.id);
        self.waiting.push(waiter);
        JoinOutcome::Queued(forecast)
    }

    /// Removes a generation that waits no longer.
    pub(crate) fn leave(&mut self, id: &WaiterId) {
        self.waiting.retain(|waiter| waiter.id != *id);
    }

    /// Removes the generations of a host that is gone.
    pub(crate) fn remove_host(&mut self, host: &HostId) {
        self.waiting.retain(|waiter| waiter.id.host != *host);
    }

    /// Whether nothing waits.
    pub(crate) fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Number of waiting generations.
    pub(crate) fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Decides which generations start now and which are refused. Each that is decided on has left the queue. A
    /// decision to start counts at its engine for the decisions after it in the same call; the caller counts it until
    /// the host that starts it does.
    pub(crate) fn decide(
        &mut self,
        _now: Time,
        view: &EngineView<'_>,
        mut draw: impl FnMut() -> f64,
    ) -> Vec<Decision> {
        let mut engines = view.candidates.to_vec();
        let mut decisions = Vec::new();
        self.waiting
            .sort_by_key(|waiter| (waiter.rank, waiter.arrived_at));
        self.waiting.retain(|waiter| {
            let demand = Demand {
                need: waiter.need,
                objective: waiter.objective,
                waited: None,
            };
            let allowed: Vec<Candidate> = engines
                .iter()
                .filter(|engine| !waiter.avoid.contains(&engine.upstream.id.key()))
                .cloned()
                .collect();
            let with_room = admit::with_room(&demand, &allowed, view.stats);
            let chosen = placement::choose(waiter.need, &with_room, view.context, &mut draw);
            let Some(chosen) = chosen else {
                return true;
            };
            for engine in &mut engines {
                if engine.upstream.id == chosen.upstream.id {
                    engine.load.requests += 1;
                    engine.load.tokens += waiter.need.tokens();
                }
            }
            decisions.push(Decision::Start {
                id: waiter.id.clone(),
                engine: chosen.upstream.id.clone(),
                tokens: waiter.need.tokens(),
            });
            false
        });
        decisions
    }
}
