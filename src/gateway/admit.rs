//! Admission control: decides whether a generation starts, waits or is refused.
//!
//! Guards against overload that lasts for seconds, when more work arrives than engines have memory for
//! (long answers at four times their usual rate, or all engines of a data centre lost in a surge).
//! Engines accept everything they are sent. Once the outputs have grown, they preempt running streams;
//! the callers time out and disconnect, and the prefill and generation done for them are wasted. So a
//! generation starts only where the predicted memory use of the running ones leaves room for it.
//!
//! A generation waits only while it can still meet its objective: the wait is bounded by the objective
//! less the time to the first event after sending, and begins only if the memory needed by the queue
//! ahead is expected to become free within that bound. By Little's law, memory is freed at the rate of
//! the tokens taken divided by the mean time for which they are held. Otherwise the generation is
//! refused at once.
//!
//! A host that receives nothing from its peers (partitioned or just started) sees only its own load and
//! may send as much again as they run. The engines' own queues and preemption limit the damage.

use std::time::Duration;

use crate::clock::bounded_seconds;
use crate::gateway::enginestats::EngineStats;
use crate::gateway::placement;
use crate::gateway::placement::Candidate;
use crate::gateway::placement::Need;
use crate::gateway::placement::PlacementContext;
use crate::gateway::speeds::Slowness;

/// Mean share of its planned memory that a running generation holds.
const MEAN_USED_SHARE: f64 = 0.87;
/// Generations of at most this output end within about a second, before those beside them have grown.
const SHORT_OUTPUT_TOKENS: u32 = 100;
/// Longest wait as a share of the objective. The time that an engine needs for the rest is an estimate,
/// least accurate when the load has just risen.
const MAX_WAIT_SHARE: f64 = 0.5;
/// Longest wait as a share of the objective while many first events are late.
const CAUTIOUS_WAIT_SHARE: f64 = 0.25;
/// Most hosts assumed to compete for freed memory. Counting every host of a large fleet refuses
/// generations for which there would soon be room.
const WAITING_HOSTS_MAX: usize = 3;
/// Longest pause between two events that callers accept.
const PAUSE_MAX: Duration = Duration::from_millis(180);
/// Factor by which an engine's machine slows it down for moments while others use it.
const SHARED_MACHINE_FACTOR: f64 = 2.5;
/// A refused caller retries no earlier than this share of the time in which it can still get a whole
/// answer. Its objective is missed already and there is more room later; the rest of that time spreads
/// the retries of callers that were refused together.
const RETRY_EARLIEST_SHARE: f64 = 0.5;

/// A caller whose place is kept is told to return within this part of the time left: it honours no later time.
const RETURN_WITHIN: u32 = 3;
/// Of the time in which its answer can still start, it has this part left to wait in when it returns.
const RETURN_WAIT_PART: u32 = 2;
/// Returns of callers with the same turn are spread over this share of the time until then.
const RETURN_SPREAD: f64 = 0.2;
/// Shortest time after which a refused caller returns: several looks of a host at its queue.
const RETURN_EARLIEST: Duration = Duration::from_millis(100);

/// A generation that asks for admission.
#[derive(Debug, Clone, Copy)]
pub struct Demand {
    /// What it needs of an engine.
    pub need: Need,
    /// Time from arrival within which its first event should come.
    pub objective: Duration,
    /// Time spent waiting; none for one that was not queued yet.
    pub waited: Option<Duration>,
}

/// The state of the queue as this host sees it.
#[derive(Debug, Clone, Copy)]
pub struct QueueState<'a> {
    /// Tokens needed by the generations ahead.
    pub ahead_tokens: u64,
    /// Tokens taken at all engines by all hosts.
    pub taken_tokens: u64,
    /// Hosts that share the memory that becomes free.
    pub hosts: usize,
    /// This host's observations of engines.
    pub stats: &'a EngineStats,
}

/// The outcome of admission.
#[derive(Debug, Clone)]
pub enum Verdict {
    /// It starts at this candidate.
    Start(Candidate),
    /// It waits for room.
    Wait,
    /// It is refused, since room is not expected in time.
    Refuse(WaitEstimate),
}

/// How long a generation would wait and how long it may.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WaitEstimate {
    /// Time until room is expected.
    pub expected: Duration,
    /// Longest wait after which the first event is still expected in time.
    pub limit: Duration,
}

impl QueueState<'_> {
    /// Time until `tokens` are expected to be free for a generation at the end of the queue. Of many
    /// hosts, only a few have a queue at the same time.
    pub(crate) fn expected_wait(&self, tokens: u32) -> Duration {
        let wanted = (self.ahead_tokens + u64::from(tokens)) as f64;
        let taken = self.taken_tokens.max(1) as f64;
        let turnovers = wanted * self.hosts.clamp(1, WAITING_HOSTS_MAX) as f64 / taken;
        bounded_seconds(self.stats.turnover().as_secs_f64() * turnovers)
    }
}

impl Demand {
    /// Longest wait after which the first event is still expected in time at engines that read prompts `prefill`
    /// times as long as usual.
    pub(crate) fn wait_limit(&self, stats: &EngineStats, prefill: f64) -> Duration {
        let first_event = match self.need {
            Need::Memory { prompt_tokens, .. } => stats.first_event_bound(prompt_tokens, prefill),
            Need::Slot | Need::Copy { .. } => Duration::ZERO,
        };
        let left = self.objective.saturating_sub(first_event);
        let reduction = (MAX_WAIT_SHARE - CAUTIOUS_WAIT_SHARE) * stats.caution();
        left.min(self.objective.mul_f64(MAX_WAIT_SHARE - reduction))
    }

    /// Whether an engine without room for `other` has none for this generation either.
    pub(crate) fn needs_no_less_than(&self, other: &Demand) -> bool {
        let (
            Need::Memory {
                tokens,
                prompt_tokens,
                memory_tokens,
            },
            Need::Memory {
                tokens: other_tokens,
                prompt_tokens: other_prompt_tokens,
                memory_tokens: other_memory_tokens,
            },
        ) = (self.need, other.need)
        else {
            return false;
        };
        tokens >= other_tokens
            && prompt_tokens >= other_prompt_tokens
            && memory_tokens <= other_memory_tokens
            && self.objective <= other.objective
            && (!is_short(tokens, prompt_tokens) || is_short(other_tokens, other_prompt_tokens))
    }

    /// Whether the generation may start at `candidate`: an idle engine always takes it; a busy one needs
    /// a free slot, room for the predicted peak, prefill work that fits the objective, and, for a long output at a
    /// slow one, a pace that keeps pauses short.
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
        let unread = load.unread_tokens.saturating_add(prompt_tokens);
        let first_event = stats.first_event_bound(unread, candidate.slowness.prefill);
        let output_tokens = tokens.saturating_sub(prompt_tokens);
        load.requests < candidate.upstream.slots
            && predicted_peak_tokens(load.tokens, tokens, prompt_tokens) <= f64::from(memory_tokens)
            && (load.unread_tokens == 0 || first_event <= self.objective)
            && (output_tokens <= SHORT_OUTPUT_TOKENS || keeps_pauses_short(&candidate.slowness))
    }
}

/// Whether an engine's events follow each other in time also while its machine is shared. A usual engine is not
/// asked: where all are as slow, there is no better one.
fn keeps_pauses_short(slowness: &Slowness) -> bool {
    let pause = |event_time: Duration| event_time.mul_f64(SHARED_MACHINE_FACTOR);
    slowness.decode <= 1.0
        || slowness
            .event_time
            .is_none_or(|time| pause(time) <= PAUSE_MAX)
}

/// How slow the engines are at which a waiting generation is expected to start. Memory becomes free there the more
/// often, the faster they generate.
pub(crate) fn waiting_slowness(candidates: &[Candidate]) -> Slowness {
    let rates = candidates
        .iter()
        .map(|candidate| candidate.slowness.decode.recip());
    let rate: f64 = rates.sum();
    if candidates.is_empty() {
        return Slowness::default();
    }
    let prefill = candidates.iter().map(|candidate| &candidate.slowness);
    let prefill: f64 = prefill
        .map(|slowness| slowness.prefill / slowness.decode)
        .sum();
    Slowness {
        prefill: prefill / rate,
        decode: candidates.len() as f64 / rate,
        ..Slowness::default()
    }
}

/// Tokens in memory at the peak of a new generation of `tokens` beside `running` planned tokens. For a
/// short one, the others are counted at their mean use instead of their full plan.
fn predicted_peak_tokens(running: u32, tokens: u32, prompt_tokens: u32) -> f64 {
    let is_short = is_short(tokens, prompt_tokens);
    let used_share = if is_short { MEAN_USED_SHARE } else { 1.0 };
    f64::from(running) * used_share + f64::from(tokens)
}

/// Whether a generation ends before those beside it have grown.
fn is_short(tokens: u32, prompt_tokens: u32) -> bool {
    tokens.saturating_sub(prompt_tokens) <= SHORT_OUTPUT_TOKENS
}

/// Decides on `demand`. `draw` returns random numbers from 0 to 1.
pub fn decide(
    demand: &Demand,
    queue: &QueueState<'_>,
    candidates: &[Candidate],
    view: PlacementContext<'_>,
    draw: impl FnMut() -> f64,
) -> Verdict {
    if queue.ahead_tokens == 0 {
        let with_room = with_room(demand, candidates.iter(), queue.stats);
        if let Some(candidate) = placement::choose(demand.need, &with_room, view, draw) {
            return Verdict::Start(candidate);
        }
    }
    let slowness = waiting_slowness(candidates);
    let expected = queue.expected_wait(demand.need.tokens());
    let estimate = WaitEstimate {
        expected: expected.mul_f64(slowness.decode),
        limit: demand.wait_limit(queue.stats, slowness.prefill),
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

/// The candidates with room for `demand`. Unhealthy ones count only if all candidates are
/// unhealthy.
pub(crate) fn with_room<'a>(
    demand: &Demand,
    candidates: impl Iterator<Item = &'a Candidate> + Clone,
    stats: &EngineStats,
) -> Vec<Candidate> {
    let any_healthy = candidates.clone().any(|candidate| !candidate.unhealthy);
    candidates
        .filter(|candidate| !(any_healthy && candidate.unhealthy))
        .filter(|candidate| demand.has_room(candidate, stats))
        .cloned()
        .collect()
}

/// Time after which a refused caller should retry, given its `time_left`, the `run` time of its answer
/// and the `expected` wait for room. `draw` is from 0 to 1.
pub fn retry_after(time_left: Duration, run: Duration, expected: Duration, draw: f64) -> Duration {
    let latest = time_left.saturating_sub(run);
    let share = RETRY_EARLIEST_SHARE + (1.0 - RETRY_EARLIEST_SHARE) * draw;
    latest.mul_f64(share).max(expected.min(latest))
}

/// Time after which a refused caller whose place is kept should return, given its `time_left`, the `run` time of its
/// answer and its `turn`, the expected wait for room. `draw` is from 0 to 1.
pub(crate) fn return_after(
    time_left: Duration,
    run: Duration,
    turn: Duration,
    draw: f64,
) -> Duration {
    let latest_start = time_left.saturating_sub(run) / RETURN_WAIT_PART;
    let latest = latest_start.min(time_left / RETURN_WITHIN);
    let spread = turn.mul_f64(1.0 + RETURN_SPREAD * draw);
    spread.max(RETURN_EARLIEST).min(latest)
}

#[cfg(test)]
mod tests;
