//! What this host may send to upstreams that are cold.

use std::time::Duration;

use super::Shared;
use super::lock;
use crate::clock::Time;
use crate::gateway::cold::Cold;
use crate::gateway::cold::Sender;
use crate::gateway::directory::Upstream;

impl Shared {
    /// Whether an upstream may get one request more of this host now. All may but cold ones, which several hosts
    /// would else send to at once.
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
        let near = self.peers(|peers| peers.live_near(now));
        let sender = Sender {
            host: &settings.host,
            data_centre: &settings.data_centre,
            near: &near,
            age: Duration::from_micros(now.as_us()),
        };
        let cold = Cold {
            upstream: &upstream.id,
            data_centre: &upstream.data_centre,
            requests_per_s,
        };
        lock(&self.0.cold_budget).allows(now, &sender, &cold)
    }

    /// A request of this host goes to an upstream.
    pub(crate) fn record_send(&self, upstream: &Upstream) {
        let now = self.now();
        if self.directory(|directory| directory.is_cold(now, &upstream.id)) {
            lock(&self.0.cold_budget).spend(now, &upstream.id);
        }
    }

    /// Forgets what was sent to cold upstreams and counts no more.
    pub(crate) fn expire_cold_sends(&self) {
        let now = self.now();
        lock(&self.0.cold_budget).lapse(now);
    }
}
