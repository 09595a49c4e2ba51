//! What the registry keeps of a request that waits and of one that was granted.

use std::time::Duration;

use super::RegistryAction;
use crate::clock::Time;
use crate::id::AttemptId;
use crate::id::HostId;
use crate::id::RequestId;
use crate::id::UpstreamId;
use crate::link::Urgency;
use crate::peer::PeerMessage;
use crate::refusal::Refusal;
use crate::schedule::Ticket;

/// A request that waits.
#[derive(Debug)]
pub(super) struct WaitingEntry {
    pub(super) ticket: Ticket,
    pub(super) submitted_at: Time,
    pub(super) gives_up_at: Time,
    pub(super) resubmit_at: Time,
    pub(super) resubmit_pause: Duration,
    pub(super) paused_until: Option<Time>,
    pub(super) candidates: Vec<Candidate>,
    pub(super) spilled: bool,
}

/// An owner at which a request waits.
#[derive(Debug)]
pub(super) struct Candidate {
    pub(super) host: HostId,
    pub(super) refusal: Option<Refusal>,
    pub(super) grant: Option<Granted>,
}

/// A grant that is compared with others.
#[derive(Debug, Clone)]
pub(super) struct Granted {
    pub(super) upstream: UpstreamId,
    pub(super) engine_priority: u8,
    pub(super) load: f64,
}

/// A request that was granted.
#[derive(Debug)]
pub(super) struct GrantedEntry {
    pub(super) ticket: Ticket,
    pub(super) owner: Option<HostId>,
    pub(super) remote: bool,
    pub(super) upstream: UpstreamId,
    pub(super) attempt: Option<AttemptId>,
    pub(super) output_tokens: u32,
    pub(super) reported_tokens: u32,
    pub(super) reported_at: Time,
}

impl WaitingEntry {
    /// The ticket with what is left of its wait.
    pub(super) fn remaining_ticket(&self, now: Time) -> Ticket {
        let waited = now.since(self.submitted_at).as_millis();
        let waited_ms = u64::try_from(waited).unwrap_or(u64::MAX);
        Ticket {
            wait_limit_ms: self.ticket.wait_limit_ms.saturating_sub(waited_ms),
            ..self.ticket.clone()
        }
    }
}

impl Candidate {
    pub(super) fn new(host: &HostId) -> Self {
        Candidate {
            host: host.clone(),
            refusal: None,
            grant: None,
        }
    }
}

pub(super) fn withdrawal(host: &HostId, urgency: Urgency, request: RequestId) -> RegistryAction {
    RegistryAction::Send {
        to: host.clone(),
        urgency,
        message: PeerMessage::Withdraw(request),
    }
}
