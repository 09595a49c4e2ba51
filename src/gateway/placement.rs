//! Chooses the upstream of a request: a pure decision over what is known of each.

use std::sync::Arc;

use xxhash_rust::xxh3::xxh3_64;

use crate::gateway::directory::Upstream;
use crate::gateway::loads::Load;
use crate::gateway::reportedloads::ReportedLoad;
use crate::id::DataCentre;
use crate::id::HostId;

/// Cost of leaving the data centre, as a share of an upstream's room. Calls of plain services are
/// short: a round trip weighs as much as about one request of six that runs there.
const CALL_REMOTE_COST: f64 = 0.15;
/// Cost of leaving the data centre for a generation: a cut between data centres breaks what runs
/// across it. At 0.12 more than a third of the generations ran far, and a cut took or stalled them; of
/// 0.12, 0.3, 0.6 and 1.2 the last two served most (docs/MEASUREMENTS.md).
const GENERATION_REMOTE_COST: f64 = 0.6;
/// Cost of leaving the data centre for a copy of memory: copies there took 0.5 s, near ones 0.2 s, and
/// an engine that leaves lives for less than two.
const COPY_REMOTE_COST: f64 = 0.5;
/// Prompts are read one after another, some 7 tokens a millisecond between the steps of what runs.
/// So many unread tokens delay a first token by 1.4 s, about a whole objective, and weigh as much as
/// a whole engine's memory.
const UNREAD_SCALE_TOKENS: f64 = 6_000.0;
/// Cost of each request that runs beside, as each slows the steps of the others a little (an
/// engine's step grows by less than 2% a request).
const CONCURRENT_REQUEST_COST: f64 = 0.008;
/// Random part of a score, so that hosts that see the same don't choose the same.
const JITTER: f64 = 0.03;
/// The same for generations that leave a full data centre while counts of the others are old: the
/// hosts of all data centres that are full would else choose the same engine for seconds.
const SPILL_JITTER: f64 = 0.35;
/// The same for copies. Where several engines leave at once, all their hosts choose in the same
/// moment, and copies to one engine wait for each other.
const COPY_JITTER: f64 = 0.12;

/// While counts of other data centres are old, a generation stays near as long as an engine there has
/// no more than this share of its memory taken,
const LOCAL_MEMORY_SHARE_MAX: f64 = 0.85;
/// and no more unread tokens than these: 0.6 s at 7 tokens a millisecond.
const LOCAL_UNREAD_TOKENS_MAX: u32 = 4_500;

/// Upstreams of its data centre that a host looks at before all others. With thousands a look at each costs more than
/// it finds: that the least loaded of so many is full is rare before nearly all are.
pub(crate) const SUBSET_UPSTREAMS: usize = 64;

/// How old this host's counts of what runs in other data centres are.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RemoteCounts {
    /// A datagram, as those of the own data centre.
    Fresh,
    /// Seconds: hosts of several data centres that choose by them all choose the same engine.
    Stale,
}

impl RemoteCounts {
    /// The age in logs.
    pub const fn name(self) -> &'static str {
        match self {
            RemoteCounts::Fresh => "fresh",
            RemoteCounts::Stale => "old",
        }
    }
}

/// From where a choice is made.
#[derive(Debug, Clone, Copy)]
pub struct PlacementContext<'a> {
    /// The own data centre.
    pub data_centre: &'a DataCentre,
    /// What is known of the others.
    pub remote_counts: RemoteCounts,
}

/// What a request needs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Need {
    /// A slot of a plain service.
    Slot,
    /// Memory of an engine for a new generation, in tokens, out of the engine's whole.
    Memory {
        /// Tokens that it is predicted to need.
        tokens: u32,
        /// Tokens of its prompt.
        prompt_tokens: u32,
        /// Tokens that an engine holds.
        memory_tokens: u32,
    },
    /// The same for the copy of a running one.
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
}

/// An upstream that may be chosen.
#[derive(Debug, Clone)]
pub struct Candidate {
    /// The upstream.
    pub upstream: Arc<Upstream>,
    /// What runs there.
    pub load: Load,
    /// What it said of itself a moment ago.
    pub reported: Option<ReportedLoad>,
    /// Whether its recent failures speak against it.
    pub unhealthy: bool,
}

/// The share of a candidate's room that would be taken; lower is better.
fn score(need: Need, candidate: &Candidate, local: &DataCentre) -> f64 {
    let is_remote = candidate.upstream.data_centre != *local;
    let remote = if is_remote { 1.0 } else { 0.0 };
    let requests = f64::from(candidate.load.requests);
    match need {
        Need::Slot => slot_share(candidate) + remote * CALL_REMOTE_COST,
        Need::Memory {
            tokens,
            prompt_tokens,
            memory_tokens,
        } => {
            let unread = f64::from(candidate.load.unread_tokens + prompt_tokens);
            unread / UNREAD_SCALE_TOKENS
                + memory_share(candidate, tokens, memory_tokens)
                + requests * CONCURRENT_REQUEST_COST
                + remote * GENERATION_REMOTE_COST
        }
        Need::Copy {
            tokens,
            memory_tokens,
        } => {
            f64::from(candidate.load.unread_tokens) / UNREAD_SCALE_TOKENS
                + memory_share(candidate, tokens, memory_tokens)
                + requests * CONCURRENT_REQUEST_COST
                + remote * COPY_REMOTE_COST
        }
    }
}

/// The part of its slots that a plain service's upstream would have taken, longer work counting for more.
fn slot_share(candidate: &Candidate) -> f64 {
    let slots = f64::from(candidate.upstream.slots.max(1));
    let (reported_requests, slowness) = match candidate.reported {
        Some(reported) => (reported.requests(), reported.slowness),
        None => (0, 1.0),
    };
    let requests = f64::from(candidate.load.requests.max(reported_requests));
    (requests + 1.0) / slots * slowness
}

fn memory_share(candidate: &Candidate, tokens: u32, memory_tokens: u32) -> f64 {
    f64::from(candidate.load.tokens + tokens) / f64::from(memory_tokens.max(1))
}

/// Whether a generation is well placed at a candidate, whatever others there are.
fn has_room(need: Need, candidate: &Candidate) -> bool {
    match need {
        Need::Memory {
            tokens,
            memory_tokens,
            ..
        } => {
            memory_share(candidate, tokens, memory_tokens) <= LOCAL_MEMORY_SHARE_MAX
                && candidate.load.unread_tokens <= LOCAL_UNREAD_TOKENS_MAX
        }
        Need::Slot | Need::Copy { .. } => false,
    }
}

/// The part of a long list that one host looks at first: the same from one request to the next, and another one for each
/// host.
pub(crate) fn subset(mut upstreams: Vec<Arc<Upstream>>, host: &HostId) -> Vec<Arc<Upstream>> {
    let length = upstreams.len();
    if length > SUBSET_UPSTREAMS {
        let from = xxh3_64(host.as_str().as_bytes()) % length as u64;
        upstreams.rotate_left(usize::try_from(from).unwrap_or(0));
        upstreams.truncate(SUBSET_UPSTREAMS);
    }
    upstreams
}

/// The best candidate for a request; doubtful ones only where there is no other, and of other data
/// centres only where the counts of these are fresh or no near one has room. `draw` gives random
/// numbers from 0 to 1.
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
