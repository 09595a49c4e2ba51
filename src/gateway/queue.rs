//! The queue of this host's generations that wait for room at an engine.
//!
//! Ordered by rank, the most urgent first; then by the tokens of the customer that run at this host,
//! fewest first, so that a customer at many times its usual rate waits behind the others; then by
//! arrival.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use tokio::time::Instant;

use self::asking::Asked;
use self::local::LocalWait;
use crate::gateway::admit;
use crate::gateway::admit::Verdict;
use crate::gateway::admit::WaitEstimate;
use crate::gateway::candidates;
use crate::gateway::enginestats::EngineStats;
use crate::gateway::instance::InstanceId;
use crate::gateway::loads::LoadGuard;
use crate::gateway::placement::Candidate;
use crate::gateway::placement::Need;
use crate::gateway::rollouts::Track;
use crate::gateway::serve::Admitted;
use crate::gateway::shared::Shared;
use crate::gateway::stream;
use crate::id::CustomerId;
use crate::id::ServiceId;
use crate::refusal::Code;
use crate::refusal::Refusal;

/// How often a queued generation checks for room. Hosts announce ended generations four times a second.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

mod asking;
mod local;

/// A queued generation.
#[derive(Debug, Clone)]
struct QueueEntry {
    number: u64,
    service: ServiceId,
    rank: u8,
    customer: Option<CustomerId>,
    tokens: u32,
}

/// Queued generations of all services, running tokens by customer, and statistics of engines.
#[derive(Debug, Default)]
pub struct Queues {
    waiting: Vec<QueueEntry>,
    running_tokens: HashMap<CustomerId, u64>,
    next_number: u64,
    /// This host's observations of engines.
    pub stats: EngineStats,
}

impl Queues {
    fn join(
        &mut self,
        service: &ServiceId,
        rank: u8,
        customer: Option<&CustomerId>,
        tokens: u32,
    ) -> u64 {
        self.next_number += 1;
        self.waiting.push(QueueEntry {
            number: self.next_number,
            service: service.clone(),
            rank,
            customer: customer.cloned(),
            tokens,
        });
        self.next_number
    }

    fn leave(&mut self, number: u64) {
        self.waiting.retain(|other| other.number != number);
    }

    fn customer_tokens(&self, customer: Option<&CustomerId>) -> u64 {
        let running = customer.and_then(|customer| self.running_tokens.get(customer));
        running.copied().unwrap_or(0)
    }

    /// Tokens needed by the generations of the same service that go before `number`.
    fn ahead_tokens(&self, number: u64) -> u64 {
        let key = |waiting: &QueueEntry| {
            let running = self.customer_tokens(waiting.customer.as_ref());
            (waiting.rank, running, waiting.number)
        };
        let Some(own) = self.waiting.iter().find(|other| other.number == number) else {
            return 0;
        };
        let queue = self
            .waiting
            .iter()
            .filter(|other| other.service == own.service);
        queue
            .filter(|other| key(other) < key(own))
            .map(|other| u64::from(other.tokens))
            .sum()
    }

    fn add_running(&mut self, customer: &CustomerId, tokens: u32) {
        *self.running_tokens.entry(customer.clone()).or_default() += u64::from(tokens);
    }

    fn remove_running(&mut self, customer: &CustomerId, tokens: u32) {
        let Some(running) = self.running_tokens.get_mut(customer) else {
            return;
        };
        *running = running.saturating_sub(u64::from(tokens));
        if *running == 0 {
            self.running_tokens.remove(customer);
        }
    }
}

/// A shared handle to the queues; clones refer to the same ones.
#[derive(Debug, Clone, Default)]
pub struct QueueHandle(Arc<Mutex<Queues>>);

impl QueueHandle {
    /// Runs `use_queues` with the queues locked.
    pub fn with<T>(&self, use_queues: impl FnOnce(&mut Queues) -> T) -> T {
        use_queues(&mut self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Counts `tokens` as running for `customer` until the guard is dropped.
    pub fn track_running(&self, customer: Option<&CustomerId>, tokens: u32) -> RunningGuard {
        if let Some(customer) = customer {
            self.with(|queues| queues.add_running(customer, tokens));
        }
        RunningGuard {
            queues: self.clone(),
            customer: customer.cloned(),
            tokens,
            started_at: Instant::now(),
        }
    }
}

/// Counts a generation as running for its customer while it lives.
#[derive(Debug)]
pub struct RunningGuard {
    queues: QueueHandle,
    customer: Option<CustomerId>,
    tokens: u32,
    started_at: Instant,
}

impl RunningGuard {
    /// Records a generation that ran to its end. Broken ones and ones that never ran are not recorded: they
    /// say nothing about how long memory is held.
    ///
    /// `slowness` is that of the engine; what is recorded describes a usual one.
    pub fn complete(&self, slowness: f64) {
        let time = self.started_at.elapsed().div_f64(slowness);
        self.queues
            .with(|queues| queues.stats.record_end(self.tokens, time));
    }
}

impl Drop for RunningGuard {
    fn drop(&mut self) {
        if let Some(customer) = &self.customer {
            self.queues
                .with(|queues| queues.remove_running(customer, self.tokens));
        }
    }
}

/// A place in the queue, released on drop.
struct Ticket {
    queues: QueueHandle,
    number: u64,
}

impl Ticket {
    fn join(shared: &Shared, admitted: &Admitted, tokens: u32) -> Self {
        let queues = shared.queues().clone();
        let customer = admitted.customer.as_ref();
        let number = queues
            .with(|queues| queues.join(&admitted.service, admitted.priority, customer, tokens));
        Ticket { queues, number }
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        self.queues.with(|queues| queues.leave(self.number));
    }
}

/// Chooses the engine at which a generation starts, waiting for room if needed; none if no engine is left.
///
/// With shared queues, a generation for which this host sees no room, or which others wait before, asks the queue's
/// owner. If that is silent, this host decides as it does without.
///
/// # Errors
///
/// A refusal if no room is expected in time or the request is held back.
pub async fn wait_for_room(
    shared: &Shared,
    admitted: &Admitted,
    need: Need,
    avoid: &[InstanceId],
) -> Result<Option<Candidate>, Refusal> {
    let mut local = LocalWait::join(shared, admitted, need, avoid);
    if !shared.settings().features.shared_queue {
        return local.wait().await;
    }
    let is_stable = admitted.track.get() == Track::Stable;
    if !(is_stable && shared.is_queue_open(&admitted.service)) {
        match local.decide().await? {
            None => return Ok(None),
            Some(decided) => {
                if let Verdict::Start(candidate) = decided.verdict {
                    return Ok(Some(candidate));
                }
            }
        }
    }
    match asking::ask(shared, admitted, need, avoid).await {
        Asked::Start(candidate) => Ok(Some(candidate)),
        Asked::NoEngine => Ok(None),
        Asked::Refused(refusal) => Err(refusal),
        Asked::Alone { has_waited } => {
            local.continue_from(has_waited);
            local.wait().await
        }
    }
}

/// Room that a queued generation reserves at an engine. Otherwise short generations of other hosts take
/// the room as it becomes free, and long ones starve.
struct Reservation {
    upstream: InstanceId,
    tokens: u32,
    _occupied: LoadGuard,
}

impl Reservation {
    fn reserve(shared: &Shared, need: Need, candidates: &[Candidate]) -> Option<Self> {
        let best = candidates::choose(shared, need, candidates)?;
        let tokens = need.tokens();
        let upstream = best.upstream.id.clone();
        let occupied = shared.loads().add_request(&upstream, tokens, 0);
        shared.announce_now();
        Some(Reservation {
            upstream,
            tokens,
            _occupied: occupied,
        })
    }

    /// Takes the reservation off its engine's load, so that it doesn't block its own generation.
    fn subtract_from(&self, candidates: &mut [Candidate]) {
        let own = candidates
            .iter_mut()
            .find(|candidate| candidate.upstream.id == self.upstream);
        if let Some(own) = own {
            own.load.requests = own.load.requests.saturating_sub(1);
            own.load.tokens = own.load.tokens.saturating_sub(self.tokens);
        }
    }
}

fn refusal(shared: &Shared, admitted: &Admitted, estimate: WaitEstimate) -> Refusal {
    let left = admitted.time_left();
    let run = stream::expected_duration(shared, admitted);
    let again = admit::retry_after(left, run, estimate.expected, rand::random());
    let message = format!(
        "room is expected in {} ms, and it can wait {} ms",
        estimate.expected.as_millis(),
        estimate.limit.as_millis()
    );
    Refusal::not_run(Code::Overloaded, message).retry_after_ms(again.as_millis() as u64)
}

#[cfg(test)]
mod tests;
