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
const LOOK_OBJECTIVES: f64 = 0.5;

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
enum Verdict {
    /// It does.
    GoesOn,
    /// It was sent as often as a request may be.
    SentOften,
    /// The retry budget of its service has no room.
    NoBudget,
    /// It would be answered late.
    TooLate,
}

impl Verdict {
    fn name(self) -> &'static str {
        match self {
            Verdict::GoesOn => "goes_on",
            Verdict::SentOften => "sent_often",
            Verdict::NoBudget => "no_budget",
            Verdict::TooLate => "too_late",
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
        reached: Delivery,
        reason: &str,
    ) -> bool {
        let hosts = shared.sharing_hosts();
        let (verdict, balance) = match reached {
            Delivery::Unreachable => (self.look_further(admitted), None),
            Delivery::Sent => self.send_again(shared, &admitted.service, hosts),
        };
        let line = admitted.line(shared, EventCode::RequestRestarted);
        line.with_some("upstream", self.upstreams.last().map(InstanceId::as_str))
            .with("reason", reason)
            .with("tries", self.len())
            .with("sent", self.sent)
            .with("hosts", hosts)
            .with_some("budget_requests", balance.map(|balance| balance.requests))
            .with_some("budget_retries", balance.map(|balance| balance.retries))
            .with_some("budget_allowed", balance.map(|balance| balance.allowed))
            .with("verdict", verdict.name())
            .with("retried", verdict == Verdict::GoesOn)
            .write();
        // A further try is for the request's sake alone.
        admitted.track.set(Track::Proved);
        verdict == Verdict::GoesOn
    }

    fn look_further(&self, admitted: &Admitted) -> Verdict {
        let patience = admitted.route.objective.mul_f64(LOOK_OBJECTIVES);
        match self.may_look_further(admitted.arrived.elapsed(), patience) {
            true => Verdict::GoesOn,
            false => Verdict::TooLate,
        }
    }

    /// Takes a retry out of the budget. Tells also what the budget held before, if it was asked.
    fn send_again(
        &mut self,
        shared: &Shared,
        service: &ServiceId,
        hosts: usize,
    ) -> (Verdict, Option<Balance>) {
        self.sent += 1;
        if self.sent >= SENDS_MAX {
            return (Verdict::SentOften, None);
        }
        let now = shared.now();
        let (balance, is_allowed) = shared.budget(service, |budget| {
            (budget.balance(now, hosts), budget.try_retry(now, hosts))
        });
        telemetry::count_retry(service, is_allowed);
        let verdict = match is_allowed {
            true => Verdict::GoesOn,
            false => Verdict::NoBudget,
        };
        (verdict, Some(balance))
    }

    fn may_look_further(&self, elapsed: Duration, patience: Duration) -> bool {
        self.len() < SENDS_MAX || elapsed < patience
    }
}

#[cfg(test)]
mod tests;
