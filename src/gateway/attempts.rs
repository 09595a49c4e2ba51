//! The attempts of one request, and the decision whether to try another upstream.
//!
//! Each retry of a request that was sent is taken from the retry budget, and the number of sends is
//! limited. A failed connection costs only the caller's time, so it is not charged: when many
//! upstreams have gone at once, a request may try many of them within a share of its objective.

use std::time::Duration;

use crate::event::EventCode;
use crate::gateway::instance::InstanceId;
use crate::gateway::retrybudget::Balance;
use crate::gateway::rollouts::Track;
use crate::gateway::serve::Admitted;
use crate::gateway::shared::Shared;
use crate::id::ServiceId;
use crate::telemetry;

/// Most upstreams that a request is sent to, even if none of them ran it.
const SENDS_MAX: usize = 4;
/// Share of its objective for which a request tries to connect to further upstreams. After that the
/// answer would be late, while an early refusal lets the caller try again.
const CONNECT_OBJECTIVE_SHARE: f64 = 0.5;

/// Whether an attempt sent the request to its upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Delivery {
    /// A connection was established; the request was or may have been sent.
    Sent,
    /// No connection could be established.
    Unreachable,
}

/// Whether a request is retried on another upstream after a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RetryDecision {
    /// It is.
    Retry,
    /// It was sent [`SENDS_MAX`] times.
    SendLimit,
    /// The retry budget of its service is used up.
    NoBudget,
    /// The answer would be late.
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

/// The attempts of one request.
#[derive(Debug, Default)]
pub(crate) struct Attempts {
    upstreams: Vec<InstanceId>,
    /// Those of them that could not be connected to.
    unreachable: Vec<InstanceId>,
    /// Number of upstreams tried, some perhaps twice.
    tries: usize,
    sent: usize,
    /// Whether the host turned out to be cut off, and the unreachable upstreams are tried through other hosts.
    is_carried: bool,
}

impl Attempts {
    /// Adds an attempt on `upstream`.
    pub(crate) fn add(&mut self, upstream: &InstanceId) {
        self.upstreams.push(upstream.clone());
        self.tries += 1;
    }

    /// The upstreams tried so far, in order.
    pub(crate) fn upstreams(&self) -> &[InstanceId] {
        &self.upstreams
    }

    /// Number of tries.
    pub(crate) fn len(&self) -> usize {
        self.tries
    }

    /// Records that the last upstream could not be connected to. Once the host turns out to be cut off, all such
    /// upstreams may be tried again: other hosts may reach them.
    fn record_unreachable(&mut self, is_cut_off: bool) {
        if let Some(last) = self.upstreams.last() {
            self.unreachable.push(last.clone());
        }
        if is_cut_off && !self.is_carried {
            self.is_carried = true;
            let unreachable = std::mem::take(&mut self.unreachable);
            self.upstreams
                .retain(|upstream| !unreachable.contains(upstream));
        }
    }

    /// Decides whether the request is retried on another upstream after its last attempt failed for
    /// `reason`, takes the retry from the budget and logs the decision.
    pub(crate) fn decide_retry(
        &mut self,
        shared: &Shared,
        admitted: &Admitted,
        delivery: Delivery,
        reason: &str,
    ) -> bool {
        let hosts = shared.sharing_hosts();
        let last = self.upstreams.last().cloned();
        let (decision, balance) = match delivery {
            Delivery::Unreachable => {
                self.record_unreachable(shared.is_cut_off());
                (self.check_time_limit(admitted), None)
            }
            Delivery::Sent => self.take_retry(shared, &admitted.service, hosts),
        };
        let entry = admitted.log_entry(shared, EventCode::RequestRestarted);
        entry
            .with_some("upstream", last.as_ref().map(InstanceId::as_str))
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
        // A retry serves the request, not the trial of a version, so it goes to a proved upstream.
        admitted.track.set(Track::Stable);
        decision == RetryDecision::Retry
    }

    fn check_time_limit(&self, admitted: &Admitted) -> RetryDecision {
        let time_limit = admitted.route.objective.mul_f64(CONNECT_OBJECTIVE_SHARE);
        match self.may_try_another(admitted.arrived.elapsed(), time_limit) {
            true => RetryDecision::Retry,
            false => RetryDecision::TooLate,
        }
    }

    /// Takes a retry from the budget. The balance is that before the retry, if the budget was consulted.
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
        let (balance, is_allowed) = shared.retry_budget(service, |budget| {
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
