//! Limits the request rate to cold upstreams and divides it among hosts.
//!
//! Guards against a thundering herd: hundreds of hosts see one idle upstream beside full ones, by load
//! reports that are some hundred milliseconds old, and all send to it at once. An upstream that has just
//! started crashes under such a load, with every request it was given.
//!
//! Hosts don't coordinate on the request path. Each knows the live hosts of its data centre and computes
//! by rendezvous hashing which of them may send to a cold upstream: as many hosts as its allowed requests
//! a second, one request each, or all hosts with equal quotas if there are fewer. Hosts of other data
//! centres don't send until it is warm, so that a partition between data centres leaves one group of
//! senders, not two. A host that has just started doesn't know its peers yet and sends nothing.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use crate::clock::Time;
use crate::gateway::instance::InstanceId;
use crate::gateway::rendezvous;
use crate::id::DataCentre;
use crate::id::HostId;

/// Share of the tolerated rate that is divided among hosts. The rest covers hosts that wrongly count some
/// of their peers as gone and so take a larger quota.
const ALLOCATED_SHARE: f64 = 0.8;
/// Time over which a quota for one second is counted. The excess over a second allows for differences in
/// network latency between hosts.
const WINDOW: Duration = Duration::from_millis(1_100);
/// Time after its start within which a host knows the other hosts of its data centre.
const PEER_DISCOVERY_TIME: Duration = Duration::from_secs(2);

/// The sending host and what it knows of its peers.
#[derive(Debug, Clone, Copy)]
pub struct Sender<'a> {
    /// The host.
    pub host: &'a HostId,
    /// Its data centre.
    pub data_centre: &'a DataCentre,
    /// The other live hosts of its data centre.
    pub peers: &'a [HostId],
    /// Time since its start.
    pub uptime: Duration,
}

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
    if sender.uptime < PEER_DISCOVERY_TIME || sender.data_centre != cold.data_centre {
        return 0;
    }
    // An upstream that tolerates a single request a second may still get that one.
    let allocated = ((cold.requests_per_s * ALLOCATED_SHARE) as usize).max(1);
    let hosts = sender.peers.len() + 1;
    if hosts <= allocated {
        return allocated / hosts;
    }
    let others = sender.peers.iter().map(HostId::as_str);
    let ahead = rendezvous::rank(sender.host.as_str(), others, cold.upstream.as_str());
    usize::from(ahead < allocated)
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
