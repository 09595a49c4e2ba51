//! Decides what becomes of a generation that wants to start: it starts, waits or is refused.
//!
//! The load that this answers: for seconds more work arrives than engines have memory for (long
//! answers at four times their rate, all engines of a data centre gone in a surge). Engines take what
//! they are sent; once the outputs have grown they preempt streams that callers wait on, the callers
//! leave, and what was read and generated for them was in vain. So a generation starts only where the
//! predicted memory of all that runs leaves room for its own.
//!
//! A wait is short and has a prospect. It is bounded by the objective, less the time within which the
//! first event comes once the request is sent; and it begins only if as much memory as the line ahead
//! needs is expected to become free by then. By Little's law memory becomes free at the rate of what
//! is taken over the mean time for which it is taken. What has no such prospect is refused at once.
//!
//! A host that doesn't hear the others (cut off, just started) sees only its own work and may send as
//! much again as they run; the engines' own queues and preemption bound the harm.

use std::time::Duration;

use crate::gateway::enginestats::EngineStats;
use crate::gateway::place;
use crate::gateway::place::Candidate;
use crate::gateway::place::Need;
use crate::gateway::place::View;

/// What runs holds on average this share of what it is planned to need at its end.
const MEAN_USED_SHARE: f64 = 0.87;
/// A generation of no more output is over before what runs beside it has grown: about a second.
const SHORT_OUTPUT_TOKENS: u32 = 100;
/// A wait takes no more than this part of the objective: what an engine will take for the rest is a
/// guess that is worst where the load has just risen.
const MAX_WAIT_SHARE: f64 = 0.5;
/// and no more than this one while many first events come late.
const CAUTIOUS_WAIT_SHARE: f64 = 0.25;
/// So many hosts at most are taken to wait for what becomes free. Were all of a large fleet counted, generations that
/// would have room in a moment were refused.
const WAITING_HOSTS_MAX: usize = 3;
/// A refused caller is told to come back within the last part of the time in which its answer could
/// still come whole: its objective is lost already, later there is more room, and callers that were
/// refused together come back apart.
const RETRY_EARLIEST_SHARE: f64 = 0.5;

/// A generation that wants to start.
#[derive(Debug, Clone, Copy)]
pub struct Demand {
    /// What it needs of an engine.
    pub need: Need,
    /// Time in which its first event should come.
    pub objective: Duration,
    /// How long it has waited, if it does already.
    pub waited: Option<Duration>,
}

/// The line in which generations wait, as their host sees it.
#[derive(Debug, Clone, Copy)]
pub struct QueueState<'a> {
    /// Tokens that those ahead need.
    pub ahead_tokens: u64,
    /// Tokens taken at all engines by all hosts.
    pub taken_tokens: u64,
    /// Hosts that share what becomes free.
    pub hosts: usize,
    /// What this host observed of engines.
    pub stats: &'a EngineStats,
}

/// What becomes of a generation.
#[derive(Debug, Clone)]
pub enum Verdict {
    /// It starts there.
    Start(Candidate),
    /// It waits for room.
    Wait,
    /// It is refused.
    Refuse(WaitEstimate),
}

/// Why there is no use in waiting.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WaitEstimate {
    /// When room is expected.
    pub expected: Duration,
    /// The longest wait after which the first event still comes in time.
    pub limit: Duration,
}

impl QueueState<'_> {
    /// When `tokens` are expected to be free for the last in the line. Of many hosts few have one that waits at a
    /// time.
    fn expected_wait(&self, tokens: u32) -> Duration {
        let wanted = (self.ahead_tokens + u64::from(tokens)) as f64;
        let taken = self.taken_tokens.max(1) as f64;
        let turns = wanted * self.hosts.clamp(1, WAITING_HOSTS_MAX) as f64 / taken;
        self.stats.turnover().mul_f64(turns)
    }
}

impl Demand {
    fn wait_limit(&self, stats: &EngineStats) -> Duration {
        let first_event = match self.need {
            Need::Memory { prompt_tokens, .. } => stats.first_event_bound(prompt_tokens),
            Need::Slot | Need::Copy { .. } => Duration::ZERO,
        };
        let left = self.objective.saturating_sub(first_event);
        let reduction = (MAX_WAIT_SHARE - CAUTIOUS_WAIT_SHARE) * stats.caution();
        left.min(self.objective.mul_f64(MAX_WAIT_SHARE - reduction))
    }

    /// Whether it may start at `candidate`.
    fn has_room(&self, candidate: &Candidate, stats: &EngineStats) -> bool {
        let Need::Memory {
            tokens,
            prompt_tokens,
            memory_tokens,
        } = self.need
        else {
            return true;
        };
        let load = candidate.load;
        if load.requests == 0 {
            return true;
        }
        let unread = load.unread_tokens + prompt_tokens;
        load.requests < candidate.upstream.slots
            && predicted_peak_tokens(load.tokens, tokens, prompt_tokens) <= f64::from(memory_tokens)
            && (load.unread_tokens == 0 || stats.first_event_bound(unread) <= self.objective)
    }
}

/// Memory that is taken at the peak of a newcomer beside what runs.
fn predicted_peak_tokens(running: u32, tokens: u32, prompt_tokens: u32) -> f64 {
    let is_short = tokens.saturating_sub(prompt_tokens) <= SHORT_OUTPUT_TOKENS;
    let used_share = if is_short { MEAN_USED_SHARE } else { 1.0 };
    f64::from(running) * used_share + f64::from(tokens)
}

/// What becomes of a generation; `draw` gives random numbers from 0 to 1.
pub fn decide(
    demand: &Demand,
    queue: &QueueState<'_>,
    candidates: &[Candidate],
    view: View<'_>,
    draw: impl FnMut() -> f64,
) -> Verdict {
    if queue.ahead_tokens == 0 {
        let with_room = with_room(demand, candidates, queue.stats);
        if let Some(candidate) = place::choose(demand.need, &with_room, view, draw) {
            return Verdict::Start(candidate);
        }
    }
    let estimate = WaitEstimate {
        expected: queue.expected_wait(place::tokens(demand.need)),
        limit: demand.wait_limit(queue.stats),
    };
    let waits = match demand.waited {
        None => estimate.expected < estimate.limit,
        Some(waited) => waited < estimate.limit,
    };
    match waits {
        true => Verdict::Wait,
        false => Verdict::Refuse(estimate),
    }
}

/// The candidates at which it may start; doubtful ones only where there is no other.
fn with_room(demand: &Demand, candidates: &[Candidate], stats: &EngineStats) -> Vec<Candidate> {
    let any_healthy = candidates.iter().any(|candidate| !candidate.doubtful);
    candidates
        .iter()
        .filter(|candidate| !(any_healthy && candidate.doubtful))
        .filter(|candidate| demand.has_room(candidate, stats))
        .cloned()
        .collect()
}

/// When a refused caller should come back that has `time_left` and whose answer takes `run`; `draw` is
/// from 0 to 1.
pub fn retry_after(time_left: Duration, run: Duration, expected: Duration, draw: f64) -> Duration {
    let latest = time_left.saturating_sub(run);
    let share = RETRY_EARLIEST_SHARE + (1.0 - RETRY_EARLIEST_SHARE) * draw;
    latest.mul_f64(share).max(expected.min(latest))
}

#[cfg(test)]
mod tests;
