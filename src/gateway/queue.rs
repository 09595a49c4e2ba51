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

use crate::event::EventCode;
use crate::gateway::admit;
use crate::gateway::admit::Demand;
use crate::gateway::admit::Verdict;
use crate::gateway::admit::WaitEstimate;
use crate::gateway::enginestats::EngineStats;
use crate::gateway::instance::InstanceId;
use crate::gateway::loads::LoadGuard;
use crate::gateway::placement::Candidate;
use crate::gateway::placement::Need;
use crate::gateway::rollouts::Track;
use crate::gateway::serve;
use crate::gateway::serve::Admitted;
use crate::gateway::serve::CandidateSet;
use crate::gateway::shared::Shared;
use crate::gateway::stream;
use crate::id::CustomerId;
use crate::id::ServiceId;
use crate::refusal::Code;
use crate::refusal::Refusal;

/// How often a queued generation checks for room. Hosts announce ended generations four times a second.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

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
/// # Errors
///
/// A refusal if no room is expected in time or the request is held back.
pub async fn wait_for_room(
    shared: &Shared,
    admitted: &Admitted,
    need: Need,
    avoid: &[InstanceId],
) -> Result<Option<Candidate>, Refusal> {
    let tokens = need.tokens();
    let ticket = Ticket::join(shared, admitted, tokens);
    let mut waited = None;
    let mut has_refreshed = false;
    let mut breadth = CandidateSet::initial(shared, &admitted.service);
    let mut reservation: Option<Reservation> = None;
    loop {
        // Another attempt of the same content may crash upstreams during the wait.
        if let Some(refusal) = shared.refuse_suspect(admitted) {
            return Err(refusal);
        }
        shared.check_suspension();
        if shared.is_resuming() {
            tokio::time::sleep(POLL_INTERVAL).await;
            continue;
        }
        let mut candidates = serve::candidates(shared, admitted, avoid, breadth);
        if candidates.is_empty() {
            match std::mem::replace(&mut breadth, CandidateSet::All) {
                CandidateSet::Subset => continue,
                CandidateSet::All => return Ok(None),
            }
        }
        if let Some(reservation) = &reservation {
            reservation.subtract_from(&mut candidates);
        }
        let demand = Demand {
            need,
            objective: admitted.route.objective,
            waited,
        };
        let inputs = DecisionInputs::new(shared, &ticket, &candidates);
        let verdict = inputs.decide(shared, &demand, &candidates);
        let is_sound = matches!(&verdict, Verdict::Start(candidate) if !candidate.unhealthy);
        if !is_sound && std::mem::replace(&mut breadth, CandidateSet::All) == CandidateSet::Subset {
            continue;
        }
        if !has_refreshed && uses_stale_loads(shared, &verdict) {
            has_refreshed = true;
            shared.query_remote_loads().await;
            continue;
        }
        // Rather than wait for the version under trial, fall back to the proved one.
        let is_start = matches!(verdict, Verdict::Start(_));
        if !is_start && admitted.track.replace(Track::Stable) == Track::Trial {
            continue;
        }
        match verdict {
            Verdict::Start(candidate) => return Ok(Some(candidate)),
            Verdict::Wait => {
                if reservation.is_none() {
                    inputs.log(shared, admitted, "waits");
                    reservation = Reservation::reserve(shared, need, &candidates);
                }
            }
            Verdict::Refuse(estimate) => {
                inputs.log(shared, admitted, "refused");
                return Err(refusal(shared, admitted, estimate));
            }
        }
        tokio::time::sleep(POLL_INTERVAL).await;
        waited = Some(admitted.arrived.elapsed());
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
        let best = serve::choose(shared, need, candidates)?;
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

/// Whether a verdict to start in another data centre, or nowhere, relies on stale load reports. Hosts that
/// act on stale reports pick the same engine, where each waits for the others' prompts.
fn uses_stale_loads(shared: &Shared, verdict: &Verdict) -> bool {
    let leaves_home = match verdict {
        Verdict::Start(candidate) => {
            candidate.upstream.data_centre != shared.settings().data_centre
        }
        Verdict::Wait | Verdict::Refuse(_) => true,
    };
    leaves_home && !shared.data_centres_to_query(shared.now()).is_empty()
}

/// The values from which the admission of a queued generation is decided.
struct DecisionInputs {
    ahead_tokens: u64,
    taken_tokens: u64,
    hosts: usize,
    engines: usize,
    stats: EngineStats,
}

impl DecisionInputs {
    fn new(shared: &Shared, ticket: &Ticket, candidates: &[Candidate]) -> Self {
        let (ahead_tokens, stats) = shared
            .queues()
            .with(|queues| (queues.ahead_tokens(ticket.number), queues.stats.clone()));
        let taken = candidates.iter();
        DecisionInputs {
            ahead_tokens,
            taken_tokens: taken
                .map(|candidate| u64::from(candidate.load.tokens))
                .sum(),
            hosts: shared.live_hosts(),
            engines: candidates.len(),
            stats,
        }
    }

    fn decide(&self, shared: &Shared, demand: &Demand, candidates: &[Candidate]) -> Verdict {
        let queue = admit::QueueState {
            ahead_tokens: self.ahead_tokens,
            taken_tokens: self.taken_tokens,
            hosts: self.hosts,
            stats: &self.stats,
        };
        admit::decide(
            demand,
            &queue,
            candidates,
            shared.view(),
            rand::random::<f64>,
        )
    }

    fn log(&self, shared: &Shared, admitted: &Admitted, outcome: &str) {
        let entry = admitted.log_entry(shared, EventCode::RequestQueued);
        entry
            .with("outcome", outcome)
            .with("ahead_tokens", self.ahead_tokens)
            .with("taken_tokens", self.taken_tokens)
            .with("engines", self.engines)
            .with("hosts", self.hosts)
            .with("turnover_ms", self.stats.turnover().as_millis() as u64)
            .with("far_counts", shared.remote_counts().name())
            .write();
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
