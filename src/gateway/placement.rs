//! Chooses the upstream of a request by scoring the candidates. The decision does no I/O.

use std::sync::Arc;

use xxhash_rust::xxh3::xxh3_64;

use crate::gateway::directory::Upstream;
use crate::gateway::loads::Load;
use crate::gateway::reportedloads::ReportedLoad;
use crate::gateway::speeds::Slowness;
use crate::id::DataCentre;
use crate::id::HostId;

/// Score added to an upstream of another data centre for a call to a plain service, in shares of the
/// upstream's capacity. Calls are short, so a round trip weighs as much as about one running request
/// of six.
const CALL_REMOTE_COST: f64 = 0.15;
/// Score added to an engine of another data centre for a generation, because a partition breaks or
/// stalls the streams that cross it. At 0.12 more than a third of the generations ran in other data
/// centres; of 0.12, 0.3, 0.6 and 1.2 the last two served most requests (docs/MEASUREMENTS.md).
const GENERATION_REMOTE_COST: f64 = 0.6;
/// Score added to an engine of another data centre for a copy of memory: such copies took 0.5 s, local
/// ones 0.2 s, and a leaving engine runs for less than 2 s.
const COPY_REMOTE_COST: f64 = 0.5;
/// Unread prompt tokens that weigh as much as the whole memory of an engine. An engine reads prompts
/// one after another, at about 7 tokens a millisecond between the steps of running requests, so these
/// delay a first token by 1.4 s, about the whole objective.
const UNREAD_SCALE_TOKENS: f64 = 6_000.0;
/// Score added for each request that runs on the same engine: each lengthens the engine's steps by
/// less than 2%.
const CONCURRENT_REQUEST_COST: f64 = 0.008;
/// Score added for each output token of a generation at an engine that takes twice the usual time for it: a thousand
/// tokens so weigh as much as a third of its memory.
const SLOW_TOKEN_COST: f64 = 1.0 / 3_000.0;
/// Maximum random part of a score, so that hosts with the same information make different choices.
const JITTER: f64 = 0.03;
/// Maximum random part for generations that leave a full data centre while the counts of the others are
/// stale: without it, the hosts of all full data centres choose the same engine for seconds.
const SPILL_JITTER: f64 = 0.35;
/// Maximum random part for copies. When several engines leave together, all their hosts choose at the
/// same time, and copies to one engine wait for each other.
const COPY_JITTER: f64 = 0.12;

/// While the counts of other data centres are stale, a generation stays in its own data centre if an
/// engine there would use at most this share of its memory and has few unread tokens
/// ([`LOCAL_UNREAD_TOKENS_MAX`]).
const LOCAL_MEMORY_SHARE_MAX: f64 = 0.85;
/// Most unread tokens of a local engine that keeps a generation in its data centre: 0.6 s at 7 tokens a
/// millisecond.
const LOCAL_UNREAD_TOKENS_MAX: f64 = 4_500.0;

/// Upstreams of its data centre that a host considers first. Scoring thousands of them for each request
/// costs more than it gains: the least loaded of a subset is rarely full before nearly all upstreams are.
pub(crate) const SUBSET_UPSTREAMS: usize = 64;

/// Freshness of this host's counts of the requests that run in other data centres.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RemoteCounts {
    /// As old as one datagram, like the counts of the own data centre.
    Fresh,
    /// Seconds old: hosts of several data centres that rely on them choose the same engine.
    Stale,
}

impl RemoteCounts {
    /// The name in log entries.
    pub const fn name(self) -> &'static str {
        match self {
            RemoteCounts::Fresh => "fresh",
            RemoteCounts::Stale => "old",
        }
    }
}

/// The host's location and its knowledge of other data centres.
#[derive(Debug, Clone, Copy)]
pub struct PlacementContext<'a> {
    /// The host's data centre.
    pub data_centre: &'a DataCentre,
    /// Freshness of the counts of other data centres.
    pub remote_counts: RemoteCounts,
}

/// The resources that a request needs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Need {
    /// A slot of a plain service.
    Slot,
    /// Engine memory for a new generation.
    Memory {
        /// Tokens that it is predicted to need.
        tokens: u32,
        /// Tokens of its prompt.
        prompt_tokens: u32,
        /// Tokens that an engine holds.
        memory_tokens: u32,
    },
    /// Engine memory for the copy of a running generation.
    Copy {
        /// Tokens that it is predicted to need.
        tokens: u32,
        /// Tokens that an engine holds.
        memory_tokens: u32,
    },
}

impl Need {
    /// Tokens of memory that the request is predicted to need; 0 for plain services.
    pub fn tokens(self) -> u32 {
        match self {
            Need::Slot => 0,
            Need::Memory { tokens, .. } | Need::Copy { tokens, .. } => tokens,
        }
    }

    /// Tokens of its prompt that an engine has to read first.
    pub(crate) fn prompt_tokens(self) -> u32 {
        match self {
            Need::Memory { prompt_tokens, .. } => prompt_tokens,
            Need::Slot | Need::Copy { .. } => 0,
        }
    }
}

/// An upstream that may be chosen.
#[derive(Debug, Clone)]
pub struct Candidate {
    /// The upstream.
    pub upstream: Arc<Upstream>,
    /// The requests that run there, as counted by the hosts.
    pub load: Load,
    /// The load that it last reported itself, if fresh.
    pub reported: Option<ReportedLoad>,
    /// How slow it is, relative to what is usual for its service.
    pub slowness: Slowness,
    /// Whether it is ejected, unreachable or behind a partition, and so only a last resort.
    pub unhealthy: bool,
}

/// The share of a candidate's capacity that would be in use, plus penalties; lower is better.
fn score(need: Need, candidate: &Candidate, local: &DataCentre) -> f64 {
    let is_remote = candidate.upstream.data_centre != *local;
    let remote = if is_remote { 1.0 } else { 0.0 };
    let Slowness {
        prefill, decode, ..
    } = candidate.slowness;
    let requests = f64::from(candidate.load.requests);
    match need {
        Need::Slot => slot_share(candidate) + remote * CALL_REMOTE_COST,
        Need::Memory {
            tokens,
            prompt_tokens,
            memory_tokens,
        } => {
            let unread = f64::from(candidate.load.unread_tokens + prompt_tokens);
            let output = f64::from(tokens.saturating_sub(prompt_tokens));
            unread / UNREAD_SCALE_TOKENS * prefill
                + memory_share(candidate, tokens, memory_tokens) * decode
                + output * SLOW_TOKEN_COST * (decode - 1.0)
                + requests * CONCURRENT_REQUEST_COST * decode
                + remote * GENERATION_REMOTE_COST
        }
        Need::Copy {
            tokens,
            memory_tokens,
        } => {
            f64::from(candidate.load.unread_tokens) / UNREAD_SCALE_TOKENS * prefill
                + memory_share(candidate, tokens, memory_tokens) * decode
                + requests * CONCURRENT_REQUEST_COST * decode
                + remote * COPY_REMOTE_COST
        }
    }
}

/// The share of a plain service's slots that would be in use, multiplied by the upstream's slowness and by
/// what it reports of its machine.
fn slot_share(candidate: &Candidate) -> f64 {
    let slots = f64::from(candidate.upstream.slots.max(1));
    let (reported_requests, at_present) = match candidate.reported {
        Some(reported) => (reported.requests(), reported.slowness),
        None => (0, 1.0),
    };
    let requests = f64::from(candidate.load.requests.max(reported_requests));
    (requests + 1.0) / slots * at_present * candidate.slowness.call
}

/// The share of an engine's memory that would be in use.
fn memory_share(candidate: &Candidate, tokens: u32, memory_tokens: u32) -> f64 {
    f64::from(candidate.load.tokens + tokens) / f64::from(memory_tokens.max(1))
}

/// Whether a local candidate has room enough for a generation not to leave the data centre.
fn has_room(need: Need, candidate: &Candidate) -> bool {
    match need {
        Need::Memory {
            tokens,
            memory_tokens,
            ..
        } => {
            memory_share(candidate, tokens, memory_tokens) <= LOCAL_MEMORY_SHARE_MAX
                && f64::from(candidate.load.unread_tokens) * candidate.slowness.prefill
                    <= LOCAL_UNREAD_TOKENS_MAX
        }
        Need::Slot | Need::Copy { .. } => false,
    }
}

/// At most [`SUBSET_UPSTREAMS`] of `upstreams`. The subset depends on the host, so that it stays
/// the same from one request to the next and hosts together use all upstreams.
pub(crate) fn subset(mut upstreams: Vec<Arc<Upstream>>, host: &HostId) -> Vec<Arc<Upstream>> {
    let length = upstreams.len();
    if length > SUBSET_UPSTREAMS {
        let from = xxh3_64(host.as_str().as_bytes()) % length as u64;
        upstreams.rotate_left(usize::try_from(from).unwrap_or(0));
        upstreams.truncate(SUBSET_UPSTREAMS);
    }
    upstreams
}

/// Returns the candidate with the lowest score after a random jitter, so that hosts with the same
/// information don't all choose the same one. Unhealthy candidates are used only if there is no other, and
/// with stale remote counts a generation leaves its data centre only if no local engine has room. `draw`
/// returns the random numbers for the jitter, from 0 to 1.
pub fn choose(
    need: Need,
    candidates: &[Candidate],
    context: PlacementContext<'_>,
    mut draw: impl FnMut() -> f64,
) -> Option<Candidate> {
    let healthy = candidates.iter().filter(|candidate| !candidate.unhealthy);
    let pool: Vec<&Candidate> = match healthy.clone().next() {
        Some(_) => healthy.collect(),
        None => candidates.iter().collect(),
    };
    let local: Vec<&Candidate> = match context.remote_counts {
        RemoteCounts::Fresh => Vec::new(),
        RemoteCounts::Stale => pool
            .iter()
            .copied()
            .filter(|candidate| candidate.upstream.data_centre == *context.data_centre)
            .filter(|candidate| has_room(need, candidate))
            .collect(),
    };
    let is_spill = context.remote_counts == RemoteCounts::Stale && local.is_empty();
    let pool = if local.is_empty() { pool } else { local };
    let jitter = match need {
        Need::Memory { .. } if is_spill => SPILL_JITTER,
        Need::Slot | Need::Memory { .. } => JITTER,
        Need::Copy { .. } => COPY_JITTER,
    };
    pool.into_iter()
        .map(|candidate| {
            (
                score(need, candidate, context.data_centre) + draw() * jitter,
                candidate,
            )
        })
        .min_by(|(left, _), (right, _)| left.total_cmp(right))
        .map(|(_, candidate)| candidate.clone())
}

#[cfg(test)]
mod tests;
