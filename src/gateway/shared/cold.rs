//! Limits on the requests that this host sends to cold upstreams.

use std::time::Duration;

use super::Shared;
use super::lock;
use crate::clock::Time;
use crate::gateway::cold::ColdUpstream;
use crate::gateway::cold::Sender;
use crate::gateway::directory::Upstream;

impl Shared {
    /// Whether this host may send one more request to an upstream now. Only cold upstreams are limited, since
    /// otherwise several hosts would send to the same one at once.
    pub(crate) fn may_send(&self, now: Time, upstream: &Upstream) -> bool {
        if !self.directory(|directory| directory.is_cold(now, &upstream.id)) {
            return true;
        }
        let Some(requests_per_s) = self
            .configuration()
            .and_then(|configuration| configuration.cold_requests_per_s(&upstream.service))
        else {
            return true;
        };
        let settings = self.settings();
        let near = self.peers(|peers| peers.live_local(now));
        let sender = Sender {
            host: &settings.host,
            data_centre: &settings.data_centre,
            peers: &near,
            uptime: Duration::from_micros(now.as_us()),
        };
        let cold = ColdUpstream {
            upstream: &upstream.id,
            data_centre: &upstream.data_centre,
            requests_per_s,
        };
        lock(&self.0.cold_budget).allows(now, &sender, &cold)
    }

    /// Records a request sent to an upstream, for the limit on cold ones.
    pub(crate) fn record_send(&self, upstream: &Upstream) {
        let now = self.now();
        if self.directory(|directory| directory.is_cold(now, &upstream.id)) {
            lock(&self.0.cold_budget).spend(now, &upstream.id);
        }
    }

    /// Forgets requests to cold upstreams that are outside the limit's time window.
    pub(crate) fn expire_cold_sends(&self) {
        let now = self.now();
        lock(&self.0.cold_budget).prune(now);
    }
}
