//! Shares out among hosts what an upstream may get while it is cold.
//!
//! The load that this answers: hundreds of hosts find one upstream empty beside full ones, each by counts that are
//! some hundred milliseconds old, and all send there at once. One that has just started crashes under such a crowd,
//! with all that it was given.
//!
//! No host asks another in the path of a request. Each knows the live hosts of its data centre, and by rendezvous
//! hashing which of them send to a cold upstream: as many as it may get requests a second, one each, or all, with an
//! equal part each, where they are fewer. Hosts elsewhere wait until it is warm; a cut then leaves one group of senders
//! for it, not two. A host that has just started doesn't know the others yet and leaves cold upstreams to them.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use crate::clock::Time;
use crate::gateway::instance::InstanceId;
use crate::gateway::rendezvous;
use crate::id::DataCentre;
use crate::id::HostId;

/// Part of what an upstream bears that is shared out. The rest is for hosts that count some of the others as gone.
const ALLOCATED_SHARE: f64 = 0.8;
/// What is allowed in a second is counted over this time, as requests of different hosts are under way for different
/// times.
const WINDOW: Duration = Duration::from_millis(1_100);
/// A host hears the others of its data centre within this time of its start.
const PEER_DISCOVERY_TIME: Duration = Duration::from_secs(2);

/// What is known of the host that asks, and of the others.
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
    /// Where it stands.
    pub data_centre: &'a DataCentre,
    /// Requests that it may get in a second, of all hosts together.
    pub requests_per_s: f64,
}

/// Requests that a host may send to a cold upstream in [`WINDOW`].
pub fn quota(sender: &Sender<'_>, cold: &ColdUpstream<'_>) -> usize {
    if sender.uptime < PEER_DISCOVERY_TIME || sender.data_centre != cold.data_centre {
        return 0;
    }
    // One that bears a single request may get it.
    let allocated = ((cold.requests_per_s * ALLOCATED_SHARE) as usize).max(1);
    let hosts = sender.peers.len() + 1;
    if hosts <= allocated {
        return allocated / hosts;
    }
    let others = sender.peers.iter().map(HostId::as_str);
    let before = rendezvous::count_before(sender.host.as_str(), others, cold.upstream.as_str());
    usize::from(before < allocated)
}

/// What this host sent to cold upstreams.
#[derive(Debug, Default)]
pub struct ColdBudget {
    sent: HashMap<InstanceId, VecDeque<Time>>,
}

impl ColdBudget {
    /// Whether this host may send one request more to a cold upstream.
    pub fn allows(&self, now: Time, sender: &Sender<'_>, cold: &ColdUpstream<'_>) -> bool {
        let sent = self.sent.get(cold.upstream);
        let recent_requests = sent.map_or(0, |sent| {
            let recent = |at: &&Time| now.since(**at) < WINDOW;
            sent.iter().filter(recent).count()
        });
        recent_requests < quota(sender, cold)
    }

    /// A request goes to a cold upstream.
    pub fn spend(&mut self, now: Time, upstream: &InstanceId) {
        let sent = self.sent.entry(upstream.clone()).or_default();
        sent.retain(|at| now.since(*at) < WINDOW);
        sent.push_back(now);
    }

    /// Forgets what counts no more.
    pub fn prune(&mut self, now: Time) {
        self.sent.retain(|_, sent| {
            sent.retain(|at| now.since(*at) < WINDOW);
            !sent.is_empty()
        });
    }
}

#[cfg(test)]
mod tests;
