//! What happens to the registry, and what it wants done.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use crate::id::AttemptId;
use crate::id::ClassId;
use crate::id::HostId;
use crate::id::RequestId;
use crate::id::UpstreamId;
use crate::link::Urgency;
use crate::ownership::Ownership;
use crate::peer::Decision;
use crate::peer::PeerMessage;
use crate::refusal::Refusal;
use crate::schedule::Ending;
use crate::schedule::Ticket;
use crate::servicepool::ServicePool;

/// What happens to the registry.
#[derive(Debug, Clone)]
pub enum RegistryInput {
    /// The services, their upstreams in this data centre, and the engine priority of each class.
    Pools {
        /// The services.
        pools: Vec<ServicePool>,
        /// Engine priorities, for decisions made alone.
        engine_priorities: BTreeMap<ClassId, u8>,
    },
    /// The hosts that may own something changed.
    Owners(Arc<Ownership>),
    /// This host hears from nobody, or hears from others again.
    Alone(bool),
    /// A host cannot be reached from here.
    Unreachable(HostId),
    /// A host answers again.
    Reachable(HostId),
    /// Upstreams that are leaving: no new work from here.
    Leaving(BTreeSet<UpstreamId>),
    /// How busy an upstream was, from 0 (idle) upwards.
    Load {
        /// The upstream.
        upstream: UpstreamId,
        /// Share of its memory in use plus the sequences that wait there.
        load: f64,
    },
    /// A host of another data centre offers room.
    Offer(crate::spill::Offer),
    /// A request arrived, or comes back for another attempt.
    Submit(Ticket),
    /// The request needs no grant any more.
    Withdraw(RequestId),
    /// A granted request was dispatched.
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
        /// Tokens so far.
        output_tokens: u32,
    },
    /// A granted request ended.
    Finished {
        /// The request.
        request: RequestId,
        /// Tokens in all.
        output_tokens: u32,
        /// How it ended.
        ending: Ending,
        /// Prompt tokens that the engine's cache held.
        cached_prompt_tokens: u32,
    },
    /// An owner decided.
    Decision {
        /// The owner.
        from: HostId,
        /// What it decided.
        decision: Decision,
    },
    /// The time to compare a request's grants has come.
    Settle(RequestId),
    /// Time passed.
    Tick,
}

/// What the registry wants done.
#[derive(Debug, Clone, PartialEq)]
pub enum RegistryAction {
    /// Send a message to an owner, which may be this host.
    Send {
        /// The owner.
        to: HostId,
        /// How soon.
        urgency: Urgency,
        /// The message.
        message: PeerMessage,
    },
    /// Ask an owner for a sign of life.
    Ping(HostId),
    /// Step [`RegistryInput::Settle`] after
    /// [`RegistryOptions::settle_ms`](super::RegistryOptions::settle_ms).
    SettleLater(RequestId),
    /// The request may be dispatched.
    Granted {
        /// The request.
        request: RequestId,
        /// Where to.
        upstream: UpstreamId,
        /// Priority to give the engine.
        engine_priority: u8,
        /// The owner that granted it; none if this host decided alone.
        owner: Option<HostId>,
    },
    /// The request is refused.
    Refused {
        /// The request.
        request: RequestId,
        /// What to tell the caller.
        refusal: Refusal,
    },
    /// The request is to be moved elsewhere.
    Relocate(RequestId),
    /// The request was offered to another data centre.
    Spilled {
        /// The request.
        request: RequestId,
        /// The hosts there.
        to: Vec<HostId>,
    },
}
