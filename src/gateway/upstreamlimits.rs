//! Request rates that overloaded upstreams name in their answers, for all hosts together.

use std::collections::HashMap;
use std::time::Duration;

use crate::clock::Time;
use crate::gateway::instance::InstanceKey;

/// Time after its last mention for which a limit is believed to hold.
const LIMIT_TTL: Duration = Duration::from_secs(10);

/// How an answer changes the known limit of its upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LimitChange {
    /// The upstream names a limit and named none before.
    Named,
    /// The upstream names another limit than before.
    Changed,
    /// The upstream no longer names a limit.
    Lifted,
}

impl LimitChange {
    /// The name in log entries.
    pub(crate) const fn name(self) -> &'static str {
        match self {
            LimitChange::Named => "named",
            LimitChange::Changed => "changed",
            LimitChange::Lifted => "lifted",
        }
    }
}

/// The last mention of a limit.
#[derive(Debug, Clone, Copy)]
struct Observation {
    at: Time,
    requests_per_s: f64,
}

/// The limits of all upstreams that name one.
#[derive(Debug, Default)]
pub(crate) struct UpstreamLimits {
    latest: HashMap<InstanceKey, Observation>,
}

impl UpstreamLimits {
    /// Records the limit that an answer names, if any. Returns the change, if it is one.
    pub(crate) fn record_answer(
        &mut self,
        now: Time,
        upstream: InstanceKey,
        requests_per_s: Option<f64>,
    ) -> Option<LimitChange> {
        let Some(requests_per_s) = requests_per_s else {
            return self.latest.remove(&upstream).map(|_| LimitChange::Lifted);
        };
        let observation = Observation {
            at: now,
            requests_per_s,
        };
        match self.latest.insert(upstream, observation) {
            None => Some(LimitChange::Named),
            Some(before) => {
                (before.requests_per_s != requests_per_s).then_some(LimitChange::Changed)
            }
        }
    }

    /// Number of upstreams that name a limit.
    pub(crate) fn len(&self) -> usize {
        self.latest.len()
    }

    /// Removes limits that were not mentioned for [`LIMIT_TTL`].
    pub(crate) fn expire(&mut self, now: Time) {
        self.latest
            .retain(|_, limit| now.since(limit.at) < LIMIT_TTL);
    }
}
