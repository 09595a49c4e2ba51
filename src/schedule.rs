//! What the scheduler is told and what it answers.
//!
//! One scheduler decides for a set of upstreams of one service: an entry host runs one for each
//! service over the upstreams it owns, and replay runs one over all. A request may wait at two or
//! three schedulers at once; the first [`Action::Grant`] that the host accepts wins and it
//! withdraws the others.

use serde::Deserialize;
use serde::Serialize;

use crate::clock::Time;
use crate::id::AttemptId;
use crate::id::ClassId;
use crate::id::CustomerId;
use crate::id::HostId;
use crate::id::RequestId;
use crate::id::ServiceId;
use crate::id::UpstreamId;
use crate::refusal::Refusal;
use crate::wire::CacheEvent;
use crate::wire::LoadReport;

/// A request that waits for an upstream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Ticket {
    /// The request.
    pub request: RequestId,
    /// The entry host that holds the caller's connection.
    pub host: HostId,
    /// The service asked for.
    pub service: ServiceId,
    /// Who pays.
    pub customer: CustomerId,
    /// The priority class.
    pub class: ClassId,
    /// Prompt length in tokens.
    pub prompt_tokens: u32,
    /// The caller's own bound on the output, in tokens.
    pub max_output_tokens: u32,
    /// Whether it may be started again elsewhere.
    pub repeatable: bool,
    /// Hashes of the prompt's leading blocks, longest prefix last.
    pub prefix_hashes: Vec<u64>,
    /// How long it may still wait, in milliseconds from submission.
    pub wait_limit_ms: u64,
    /// Upstreams that already failed this request and are not to be tried again.
    pub avoid: Vec<UpstreamId>,
}

/// Weights that the table gives a class and a customer.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Weights {
    /// Each class with its weight, engine priority and longest wait.
    pub classes: Vec<ClassWeight>,
    /// Customers whose weight is not 1.
    pub customers: Vec<CustomerWeight>,
}

/// A class's weight.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ClassWeight {
    /// The class.
    pub class: ClassId,
    /// Its share against other classes.
    pub weight: u32,
    /// Priority at the engine.
    pub engine_priority: u8,
    /// A request that cannot start within this time is refused, in milliseconds.
    pub max_wait_ms: u64,
}

/// A customer's weight.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CustomerWeight {
    /// The customer.
    pub customer: CustomerId,
    /// Its share against other customers of its class.
    pub weight: u32,
}

/// An upstream that the scheduler may use.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct UpstreamSpec {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Memory for sequences in tokens; 0 until a report tells.
    pub memory_tokens: u64,
    /// Predicted memory may rise to this share, in percent.
    pub high_water_percent: u32,
}

/// What happens to the scheduler.
#[derive(Debug, Clone, PartialEq)]
pub enum Input {
    /// The table's weights changed.
    Weights(Weights),
    /// An upstream joined, or its bounds changed.
    Upstream(UpstreamSpec),
    /// An upstream is leaving or gone: no new work.
    UpstreamLeaving(UpstreamId),
    /// An upstream is no longer owned here; what it runs is forgotten.
    UpstreamRemoved(UpstreamId),
    /// A load report arrived.
    Report {
        /// From which upstream.
        upstream: UpstreamId,
        /// The report.
        report: LoadReport,
    },
    /// Cache events arrived, late and perhaps with gaps.
    Cache {
        /// From which upstream.
        upstream: UpstreamId,
        /// The events.
        events: Vec<CacheEvent>,
    },
    /// A request arrived.
    Submit(Ticket),
    /// A request no longer waits here.
    Withdraw(RequestId),
    /// A granted request was dispatched to its upstream.
    Started {
        /// The request.
        request: RequestId,
        /// Its attempt.
        attempt: AttemptId,
    },
    /// A running request has produced tokens.
    Progress {
        /// The request.
        request: RequestId,
        /// Tokens generated so far.
        output_tokens: u32,
    },
    /// A granted request ended.
    Finished {
        /// The request.
        request: RequestId,
        /// Tokens generated in all.
        output_tokens: u32,
        /// How it ended.
        ending: Ending,
        /// Prompt tokens that the engine's cache held, if it said so.
        cached_prompt_tokens: u32,
    },
    /// A request was found running that this scheduler did not grant: a new owner rebuilding, or
    /// a host that decided alone.
    Adopt {
        /// The request.
        ticket: Ticket,
        /// Where it runs.
        upstream: UpstreamId,
        /// Tokens generated so far.
        output_tokens: u32,
    },
    /// Time passed.
    Tick,
}

/// How a granted request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ending {
    /// The whole answer came.
    Complete,
    /// The caller left or the grant was not used.
    Cancelled,
    /// The upstream failed.
    UpstreamFailed,
    /// The upstream refused it; it did not run.
    UpstreamRefused,
}

/// What the scheduler wants done.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "action", rename_all = "snake_case")]
pub enum Action {
    /// The request may be dispatched.
    Grant {
        /// The request.
        request: RequestId,
        /// Where to.
        upstream: UpstreamId,
        /// Priority to give the engine.
        engine_priority: u8,
        /// The grant is void after this many milliseconds.
        valid_ms: u64,
    },
    /// The request cannot start in time.
    Refuse {
        /// The request.
        request: RequestId,
        /// What to tell the caller.
        refusal: Refusal,
    },
    /// Move a repeatable request whose caller has seen no token: cancel it and submit it again.
    Relocate {
        /// The request.
        request: RequestId,
        /// From where.
        upstream: UpstreamId,
    },
}

/// A policy: the scheduler, or a baseline that replay compares it with.
pub trait Policy {
    /// Takes one input at `now` and answers with what to do.
    fn step(&mut self, now: Time, input: Input) -> Vec<Action>;

    /// When to send [`Input::Tick`] at the latest, if at all.
    fn next_tick(&self, now: Time) -> Option<Time>;
}
