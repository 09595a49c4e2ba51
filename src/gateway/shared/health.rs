//! What this host believes of upstreams by what became of requests and connections to them.

use http::HeaderMap;

use super::Shared;
use super::locked;
use crate::clock::Time;
use crate::ejection::Ejector;
use crate::ejection::Health;
use crate::event::EventCode;
use crate::gateway::cutoff::Change;
use crate::gateway::instance::InstanceId;
use crate::gateway::reportedloads::ReportedLoad;
use crate::id::HostId;
use crate::id::ServiceId;

/// At most this share of a service's upstreams is ejected at once, in percent.
const EJECTED_PERCENT_MAX: usize = 50;

impl Shared {
    /// Runs `use_ejector` on what is known of upstreams' failures.
    pub(crate) fn ejector<T>(&self, use_ejector: impl FnOnce(&mut Ejector<InstanceId>) -> T) -> T {
        use_ejector(&mut locked(&self.0.ejector))
    }

    /// A connection to an upstream could not be established.
    pub fn upstream_unreachable(&self, upstream: &InstanceId, reason: &str) {
        let now = self.now();
        if locked(&self.0.reach).record_failure(now, upstream) {
            let line = self.log().line(EventCode::UpstreamLost);
            line.with("upstream", upstream.as_str())
                .with("reason", reason)
                .write();
            self.tell_news();
        }
    }

    /// Another host of the data centre can't connect to these upstreams.
    pub fn hear_unreachable(&self, peer: &HostId, upstreams: &[InstanceId]) {
        let now = self.now();
        for upstream in upstreams {
            if locked(&self.0.reach).receive_report(now, upstream) {
                let line = self.log().line(EventCode::UpstreamLost);
                line.with("upstream", upstream.as_str())
                    .with("source", peer.as_str())
                    .write();
            }
        }
    }

    /// What this host itself can't connect to now.
    pub fn unreachable(&self) -> Vec<InstanceId> {
        locked(&self.0.reach).own_failures(self.now())
    }

    /// An upstream may say what it holds.
    pub(crate) fn note_reported_load(&self, upstream: &InstanceId, headers: &HeaderMap) {
        if let Some(reported) = self.protocol().reported_load(headers) {
            let now = self.now();
            locked(&self.0.reported_loads).record(now, upstream.key(), reported);
        }
    }

    /// What an upstream said of itself a moment ago.
    pub(crate) fn reported_load(&self, now: Time, upstream: &InstanceId) -> Option<ReportedLoad> {
        let reported = locked(&self.0.reported_loads);
        match reported.is_empty() {
            true => None,
            false => reported.fresh(now, upstream.key()),
        }
    }

    /// Forgets what upstreams said of themselves a while ago.
    pub(crate) fn lapse_reported_loads(&self) {
        let now = self.now();
        locked(&self.0.reported_loads).expire(now);
    }

    /// A connection to an upstream was established.
    pub fn upstream_reached(&self, upstream: &InstanceId) {
        if locked(&self.0.reach).record_success(self.now(), upstream) {
            let line = self.log().line(EventCode::UpstreamBack);
            line.with("upstream", upstream.as_str())
                .with("change", "reached")
                .write();
        }
    }

    /// A request goes to an upstream. If the upstream was ejected and may be tried again, this is the
    /// trial, and no other is made until the guard is dropped.
    pub(crate) fn trial(&self, upstream: &InstanceId) -> Trial {
        self.ejector(|ejector| ejector.sent(upstream));
        Trial {
            shared: self.clone(),
            upstream: upstream.clone(),
        }
    }

    /// Whether requests that have another choice pass an upstream over.
    pub(crate) fn is_doubtful(&self, now: Time, upstream: &InstanceId) -> bool {
        let health = self.ejector(|ejector| ejector.health(now, upstream));
        health == Health::Ejected || self.is_passed_over(now, upstream)
    }

    /// Whether connections to an upstream could not be established a moment ago.
    pub(crate) fn is_passed_over(&self, now: Time, upstream: &InstanceId) -> bool {
        locked(&self.0.reach).is_unreachable(now, upstream)
    }

    /// Whether this host is cut off from all upstreams of a service that others can reach.
    pub fn is_cut_off(&self) -> bool {
        locked(&self.0.cut_off).is_cut_off()
    }

    /// Looks whether a cut keeps this host from a service, or has ended.
    pub fn look_for_cut(&self) {
        let now = self.now();
        let silence = self.peers(|peers| peers.silence_outside(now));
        let lost = || self.service_out_of_reach(now);
        let Some(change) = locked(&self.0.cut_off).look(silence, lost) else {
            return;
        };
        let (code, service) = match &change {
            Change::Lost(service) => (EventCode::ServiceOutOfReach, service),
            Change::Back(service) => (EventCode::ServiceInReach, service),
        };
        let line = self.log().line(code);
        line.with("service", service.as_str())
            .with_some(
                "silence_ms",
                silence.map(|silence| silence.as_millis() as u64),
            )
            .write();
    }

    /// A service whose upstreams are listed and can't be connected to, all of them.
    fn service_out_of_reach(&self, now: Time) -> Option<ServiceId> {
        let configuration = self.configuration()?;
        let mut services = configuration.services.keys();
        let is_lost = |service: &&ServiceId| {
            let ready = self.directory(|directory| directory.ready(service));
            !ready.is_empty()
                && ready
                    .iter()
                    .all(|upstream| self.is_passed_over(now, &upstream.id))
        };
        services.find(is_lost).cloned()
    }

    /// A request at an upstream failed by the upstream's fault.
    pub fn upstream_failed(&self, service: &ServiceId, upstream: &InstanceId, reason: &str) {
        let now = self.now();
        let pool = self.directory(|directory| directory.ready(service).len());
        let ejected_max = pool * EJECTED_PERCENT_MAX / 100;
        if self.ejector(|ejector| ejector.failed(now, upstream, ejected_max)) {
            let line = self.log().line(EventCode::UpstreamEjected);
            line.with("upstream", upstream.as_str())
                .with("reason", reason)
                .with("pool", pool)
                .write();
        }
    }
}

/// A request that is under way to an upstream, for the judgement on the upstream's health.
#[derive(Debug)]
pub(crate) struct Trial {
    shared: Shared,
    upstream: InstanceId,
}

impl Drop for Trial {
    fn drop(&mut self) {
        let upstream = &self.upstream;
        self.shared.ejector(|ejector| ejector.abandoned(upstream));
    }
}
