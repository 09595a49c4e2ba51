//! Evidence against upstreams that this host holds back until it knows that its own links are up.
//!
//! A request whose connection broke or fell silent looks the same whether its upstream or the host's link
//! failed. Told at once, the observations of a host that is cut off would take sound upstreams from hosts that
//! reach them. A response to a later request confirms them; without one they are dropped.

use std::collections::VecDeque;
use std::time::Duration;

use crate::clock::Time;
use crate::gateway::instance::InstanceId;
use crate::gateway::instance::InstanceKey;
use crate::gateway::position::Position;
use crate::gateway::rollouts::evidence::Cohort;
use crate::gateway::rollouts::evidence::Measure;
use crate::gateway::suspects::Blame;
use crate::id::ServiceId;

/// Time after which evidence that wasn't confirmed is dropped. A host in touch confirms it with its next
/// response or, at the latest, its first probe of upstreams.
const TTL: Duration = Duration::from_millis(1_500);
/// Observations that wait at most: as many as a host has requests in flight in a usual cut.
const EVIDENCE_MAX: usize = 256;

/// An observation of a request that failed.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum Evidence {
    /// The upstream may have crashed under a request with these.
    Crash(Blame, InstanceId),
    /// A call of a plain service failed.
    FailedCall(ServiceId, InstanceId),
    /// A request failed while a version of its service is on trial.
    FailedTrial {
        /// Position of the rollout's order.
        order: Position,
        /// Name of the request's route.
        route: String,
        /// The upstream.
        upstream: InstanceKey,
        /// Whether it is of the version on trial.
        cohort: Cohort,
        /// What the request would have timed.
        measure: Measure,
    },
}

/// Evidence that waits, the oldest first.
#[derive(Debug, Default)]
pub(crate) struct UnconfirmedEvidence {
    waiting: VecDeque<(Time, Evidence)>,
}

impl UnconfirmedEvidence {
    /// Holds evidence back. The oldest is dropped if there is too much. Returns whether none waited before.
    pub(crate) fn add(&mut self, now: Time, evidence: Evidence) -> bool {
        let is_first = self.is_empty();
        if self.waiting.len() == EVIDENCE_MAX {
            self.waiting.pop_front();
        }
        self.waiting.push_back((now, evidence));
        is_first
    }

    /// Whether no evidence waits.
    pub(crate) fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Takes the evidence of failures before `sent_at`, when a request was sent that had a response, each with its
    /// time.
    pub(crate) fn confirm(&mut self, sent_at: Time) -> Vec<(Time, Evidence)> {
        let confirmed = self.waiting.partition_point(|(at, _)| *at < sent_at);
        self.waiting.drain(..confirmed).collect()
    }

    /// Drops evidence that was not confirmed in time, and returns how much.
    pub(crate) fn expire(&mut self, now: Time) -> usize {
        let expired = self.waiting.partition_point(|(at, _)| now.since(*at) > TTL);
        self.waiting.drain(..expired).count()
    }
}

#[cfg(test)]
mod tests;
