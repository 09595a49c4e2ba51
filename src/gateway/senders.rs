//! The hosts that share a rate of requests to one upstream.
//!
//! Hosts don't coordinate on the request path. Each knows the live hosts of its data centre and computes
//! by rendezvous hashing whether it is one of those that may send.

use std::time::Duration;

use crate::gateway::instance::InstanceId;
use crate::gateway::rendezvous;
use crate::id::DataCentre;
use crate::id::HostId;

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

impl Sender<'_> {
    /// Number of hosts of this data centre that may send to `upstream`, at most `hosts_max`. `None` if this
    /// host isn't one of them, or has just started and doesn't know its peers yet.
    pub(crate) fn count_sharing(&self, upstream: &InstanceId, hosts_max: usize) -> Option<usize> {
        if self.uptime < PEER_DISCOVERY_TIME {
            return None;
        }
        let hosts = self.peers.len() + 1;
        if hosts <= hosts_max {
            return Some(hosts);
        }
        let others = self.peers.iter().map(HostId::as_str);
        let rank = rendezvous::rank(self.host.as_str(), others, upstream.as_str());
        (rank < hosts_max).then_some(hosts_max)
    }
}
