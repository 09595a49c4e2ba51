//! The upstreams that one request was offered to, and whether another one may follow.
//!
//! A request that was sent draws on the retry budget and on a fixed number of sends. One that could
//! not be sent, because no connection could be established, costs nobody but its caller: after a
//! crowd of upstreams has gone at once it may pass over many of them, for a part of its objective.

use std::time::Duration;

use crate::event::EventCode;
use crate::gateway::instance::InstanceId;
use crate::gateway::serve::Admitted;
use crate::gateway::shared::Shared;

/// Upstreams that a request is sent to, however many of them certainly did not run it.
const SENDS_MAX: usize = 4;
/// A request looks for an upstream that it can connect to for this part of its objective: after
/// that it would be late, and a refusal in time lets its caller come back.
const LOOK_OBJECTIVES: f64 = 0.5;

/// Whether a try reached its upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Reached {
    /// A connection stood; the request was or may have been sent.
    Sent,
    /// No connection could be established.
    Unreachable,
}

/// The tries of one request.
#[derive(Debug, Default)]
pub(crate) struct Tries {
    upstreams: Vec<InstanceId>,
    sent: usize,
}

impl Tries {
    /// The request is offered to `upstream`.
    pub(crate) fn begin(&mut self, upstream: &InstanceId) {
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
    pub(crate) fn go_on(
        &mut self,
        shared: &Shared,
        admitted: &Admitted,
        reached: Reached,
        reason: &str,
    ) -> bool {
        let hosts = shared.hosts();
        let goes_on = match reached {
            Reached::Unreachable => {
                let patience = admitted.route.objective.mul_f64(LOOK_OBJECTIVES);
                self.may_look_further(admitted.arrived.elapsed(), patience)
            }
            Reached::Sent => {
                self.sent += 1;
                self.sent < SENDS_MAX
                    && shared.budget(&admitted.service, |budget| {
                        budget.try_retry(shared.now(), hosts)
                    })
            }
        };
        let line = admitted.line(shared, EventCode::RequestRestarted);
        line.with_some("upstream", self.upstreams.last().map(InstanceId::as_str))
            .with("reason", reason)
            .with("tries", self.len())
            .with("sent", self.sent)
            .with("hosts", hosts)
            .with("retried", goes_on)
            .write();
        goes_on
    }

    fn may_look_further(&self, elapsed: Duration, patience: Duration) -> bool {
        self.len() < SENDS_MAX || elapsed < patience
    }
}

#[cfg(test)]
mod tests;
