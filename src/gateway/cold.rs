//! Limits the request rate to cold upstreams and divides it among hosts.
//!
//! Guards against a thundering herd: hundreds of hosts see one idle upstream beside full ones, by load
//! reports that are some hundred milliseconds old, and all send to it at once. An upstream that has just
//! started crashes under such a load, with every request it was given.
//!
//! As many hosts of its data centre send to a cold upstream as its allowed requests a second, one request
//! each, or all hosts with equal quotas if there are fewer ([`Sender`]). Hosts of other data centres don't
//! send until it is warm, so that a partition between data centres leaves one group of senders, not two.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use crate::clock::Time;
use crate::gateway::instance::InstanceId;
use crate::gateway::senders::Sender;
use crate::id::DataCentre;

/// Share of the tolerated rate that is divided among hosts. The rest covers hosts that wrongly count some
/// of their peers as gone and so take a larger quota.
const ALLOCATED_SHARE: f64 = 0.8;
/// Time over which a quota for one second is counted. The excess over a second allows for differences in
/// network latency between hosts.
const WINDOW: Duration = Duration::from_millis(1_100);
/// A cold upstream.
#[derive(Debug, Clone, Copy)]
pub struct ColdUpstream<'a> {
    /// The upstream.
    pub upstream: &'a InstanceId,
    /// Its data centre.
    pub data_centre: &'a DataCentre,
    /// Requests a second that it tolerates from all hosts together.
    pub requests_per_s: f64,
}

/// Requests that a host may send to a cold upstream in [`WINDOW`].
pub fn quota(sender: &Sender<'_>, cold: &ColdUpstream<'_>) -> usize {
    if sender.data_centre != cold.data_centre {
        return 0;
    }
    // An upstream that tolerates a single request a second may still get that one.
    let allocated = ((cold.requests_per_s * ALLOCATED_SHARE) as usize).max(1);
    let hosts = sender.count_sharing(cold.upstream, allocated);
    hosts.map_or(0, |hosts| allocated / hosts)
}

/// Recent requests of this host to cold upstreams.
#[derive(Debug, Default)]
pub struct ColdBudget {
    sent: HashMap<InstanceId, VecDeque<Time>>,
}

impl ColdBudget {
    /// Whether this host may send another request to a cold upstream.
    pub fn allows(&self, now: Time, sender: &Sender<'_>, cold: &ColdUpstream<'_>) -> bool {
        let sent = self.sent.get(cold.upstream);
        let recent_requests = sent.map_or(0, |sent| {
            let recent = |at: &&Time| now.since(**at) < WINDOW;
            sent.iter().filter(recent).count()
        });
        recent_requests < quota(sender, cold)
    }

    /// Counts a request sent to a cold upstream.
    pub fn spend(&mut self, now: Time, upstream: &InstanceId) {
        let sent = self.sent.entry(upstream.clone()).or_default();
        sent.retain(|at| now.since(*at) < WINDOW);
        sent.push_back(now);
    }

    /// Removes requests that are older than the window.
    pub fn prune(&mut self, now: Time) {
        self.sent.retain(|_, sent| {
            sent.retain(|at| now.since(*at) < WINDOW);
            !sent.is_empty()
        });
    }
}

#[cfg(test)]
mod tests;
