//! The upstreams that one request was offered to, and whether another one may follow.
//!
//! A request that was sent draws on the retry budget and on a fixed number of sends. One that could
//! not be sent, because no connection could be established, costs nobody but its caller: after a
//! crowd of upstreams has gone at once it may pass over many of them, for a part of its objective.

use std::time::Duration;

use crate::event::EventCode;
use crate::gateway::instance::InstanceId;
use crate::gateway::retrybudget::Balance;
use crate::gateway::rollouts::Track;
use crate::gateway::serve::Admitted;
use crate::gateway::shared::Shared;
use crate::id::ServiceId;
use crate::telemetry;

/// Upstreams that a request is sent to, however many of them certainly did not run it.
const SENDS_MAX: usize = 4;
/// A request looks for an upstream that it can connect to for this part of its objective: after
/// that it would be late, and a refusal in time lets its caller come back.
const CONNECT_OBJECTIVE_SHARE: f64 = 0.5;

/// Whether a try reached its upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Delivery {
    /// A connection stood; the request was or may have been sent.
    Sent,
    /// No connection could be established.
    Unreachable,
}

/// Whether a request goes to another upstream after a failed try.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RetryDecision {
    /// It does.
    Retry,
    /// It was sent as often as a request may be.
    SendLimit,
    /// The retry budget of its service has no room.
    NoBudget,
    /// It would be answered late.
    TooLate,
}

impl RetryDecision {
    fn name(self) -> &'static str {
        match self {
            RetryDecision::Retry => "goes_on",
            RetryDecision::SendLimit => "sent_often",
            RetryDecision::NoBudget => "no_budget",
            RetryDecision::TooLate => "too_late",
        }
    }
}

/// The tries of one request.
#[derive(Debug, Default)]
pub(crate) struct Attempts {
    upstreams: Vec<InstanceId>,
    sent: usize,
}

impl Attempts {
    /// The request is offered to `upstream`.
    pub(crate) fn add(&mut self, upstream: &InstanceId) {
        self.upstreams.push(upstream.clone());
    }

    /// The upstreams tried so far.
    pub(crate) fn upstreams(&self) -> &[InstanceId] {
        &self.upstreams
    }

    /// Number of upstreams tried.
    pub(crate) fn len(&self) -> usize {
        self.upstreams.len()
    }

    /// The last try failed for `reason`. Whether the request goes to another upstream; writes the
    /// line that says so.
    pub(crate) fn decide_retry(
        &mut self,
        shared: &Shared,
        admitted: &Admitted,
        delivery: Delivery,
        reason: &str,
    ) -> bool {
        let hosts = shared.sharing_hosts();
        let (decision, balance) = match delivery {
            Delivery::Unreachable => (self.check_time_limit(admitted), None),
            Delivery::Sent => self.take_retry(shared, &admitted.service, hosts),
        };
        let entry = admitted.line(shared, EventCode::RequestRestarted);
        entry
            .with_some("upstream", self.upstreams.last().map(InstanceId::as_str))
            .with("reason", reason)
            .with("tries", self.len())
            .with("sent", self.sent)
            .with("hosts", hosts)
            .with_some("budget_requests", balance.map(|balance| balance.requests))
            .with_some("budget_retries", balance.map(|balance| balance.retries))
            .with_some("budget_allowed", balance.map(|balance| balance.allowed))
            .with("verdict", decision.name())
            .with("retried", decision == RetryDecision::Retry)
            .write();
        // A further try is for the request's sake alone.
        admitted.track.set(Track::Proved);
        decision == RetryDecision::Retry
    }

    fn check_time_limit(&self, admitted: &Admitted) -> RetryDecision {
        let time_limit = admitted.route.objective.mul_f64(CONNECT_OBJECTIVE_SHARE);
        match self.may_try_another(admitted.arrived.elapsed(), time_limit) {
            true => RetryDecision::Retry,
            false => RetryDecision::TooLate,
        }
    }

    /// Takes a retry out of the budget. Tells also what the budget held before, if it was asked.
    fn take_retry(
        &mut self,
        shared: &Shared,
        service: &ServiceId,
        hosts: usize,
    ) -> (RetryDecision, Option<Balance>) {
        self.sent += 1;
        if self.sent >= SENDS_MAX {
            return (RetryDecision::SendLimit, None);
        }
        let now = shared.now();
        let (balance, is_allowed) = shared.budget(service, |budget| {
            (budget.balance(now, hosts), budget.try_retry(now, hosts))
        });
        telemetry::count_retry(service, is_allowed);
        let decision = match is_allowed {
            true => RetryDecision::Retry,
            false => RetryDecision::NoBudget,
        };
        (decision, Some(balance))
    }

    fn may_try_another(&self, elapsed: Duration, time_limit: Duration) -> bool {
        self.len() < SENDS_MAX || elapsed < time_limit
    }
}

#[cfg(test)]
mod tests;
