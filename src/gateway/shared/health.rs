//! Health of upstreams, derived from the outcomes of requests and connections to them.

use std::net::SocketAddr;
use std::time::Duration;

use http::HeaderMap;

use super::Shared;
use super::lock;
use crate::clock::Time;
use crate::ejection::Ejector;
use crate::ejection::Health;
use crate::event::EventCode;
use crate::gateway::contact::ContactChange;
use crate::gateway::dial;
use crate::gateway::failurerates::ServiceCalls;
use crate::gateway::instance::InstanceId;
use crate::gateway::partition::PartitionChange;
use crate::gateway::reachability::Path;
use crate::gateway::reportedloads::ReportedLoad;
use crate::gateway::rollouts::evidence::Answer;
use crate::gateway::rollouts::evidence::Outcome;
use crate::gateway::tunnel::carrier::CarrierLimits;
use crate::gateway::tunnel::carriers::Carrier;
use crate::gateway::tunnel::carriers::CarrierDistance;
use crate::gateway::unconfirmed::Evidence;
use crate::id::HostId;
use crate::id::ServiceId;

/// Largest share of a service's upstreams that may be ejected at once, in percent.
const EJECTED_PERCENT_MAX: usize = 50;

impl Shared {
    /// Runs `use_ejector` on the locked ejector, which tracks the failures of upstreams.
    pub(crate) fn ejector<T>(&self, use_ejector: impl FnOnce(&mut Ejector<InstanceId>) -> T) -> T {
        use_ejector(&mut lock(&self.0.ejector))
    }

    /// Records that a connection to an upstream could not be established.
    pub(crate) fn record_unreachable(&self, upstream: &InstanceId, reason: &str, path: Path) {
        let now = self.now();
        if lock(&self.0.reachability).record_failure(now, upstream) {
            let line = self.log().entry(EventCode::UpstreamLost);
            line.with("upstream", upstream.as_str())
                .with("reason", reason)
                .write();
        }
        if path == Path::Direct {
            self.record_broken(upstream);
        }
    }

    /// Whether this host is cut off from all upstreams.
    pub fn is_cut_off(&self) -> bool {
        lock(&self.0.contact).is_lost()
    }

    /// Records that a connection of this host to an upstream failed, or broke before a response.
    pub(crate) fn record_broken(&self, upstream: &InstanceId) {
        let now = self.now();
        let change = lock(&self.0.contact).record_failure(now, upstream.key());
        self.log_contact(change);
    }

    /// Records that an upstream responded to a request sent at `sent_at`, on a direct connection of this age. Unless
    /// the host is cut off, that confirms what failed before.
    pub(crate) fn record_contact(&self, sent_at: Time, connection_age: Duration) {
        let now = self.now();
        let age_us = connection_age.as_micros() as u64;
        let opened_at = Time::from_us(now.as_us().saturating_sub(age_us));
        let change = lock(&self.0.contact).record_reached(now, opened_at);
        self.log_contact(change);
        if self.is_cut_off() {
            return;
        }
        if lock(&self.0.reachability).confirm_failures(sent_at) {
            self.announce_now();
        }
        let confirmed = lock(&self.0.unconfirmed).confirm(sent_at);
        for (failed_at, evidence) in confirmed {
            self.apply_evidence(failed_at, evidence);
        }
    }

    /// Holds evidence against an upstream back until this host knows that its own links are up.
    pub(crate) fn hold_back(&self, evidence: Evidence) {
        let now = self.now();
        if lock(&self.0.unconfirmed).add(now, evidence) {
            actix_rt::spawn(dial::confirm_evidence(self.clone()));
        }
    }

    /// Whether evidence is held back.
    pub(crate) fn has_unconfirmed_evidence(&self) -> bool {
        !lock(&self.0.unconfirmed).is_empty()
    }

    fn apply_evidence(&self, failed_at: Time, evidence: Evidence) {
        match evidence {
            Evidence::Crash(blame, upstream) => {
                self.count_crash(failed_at, &blame, &upstream);
            }
            Evidence::FailedCall(service, upstream) => {
                self.record_call_outcome(&service, &upstream, true);
            }
            Evidence::FailedTrial {
                order,
                route,
                upstream,
                cohort,
                measure,
            } => {
                let answer = Answer {
                    route: &route,
                    upstream,
                    cohort,
                    measure,
                    outcome: Outcome::Failed,
                };
                let now = self.now();
                self.rollout_evidence(|evidence| evidence.record_answer(now, order, &answer));
            }
        }
    }

    /// Drops evidence that was not confirmed in time.
    pub(crate) fn expire_unconfirmed(&self) {
        let now = self.now();
        let dropped = lock(&self.0.unconfirmed).expire(now);
        if dropped > 0 {
            let line = self.log().entry(EventCode::EvidenceDropped);
            line.with("count", dropped)
                .with("cut_off", self.is_cut_off())
                .write();
        }
    }

    /// Whether this host can't reach an upstream by its own links, so that another host has to carry its
    /// connections there.
    pub(crate) fn needs_carrier(&self, upstream: &InstanceId) -> bool {
        self.is_cut_off() || lock(&self.0.reachability).has_own_failure(self.now(), upstream)
    }

    /// Records that another host carries a connection to an upstream, which so is up. Unless this host is cut
    /// off, that doesn't end its own backoff: its own link to the upstream stays down.
    pub(crate) fn record_carried(&self, upstream: &InstanceId) {
        if self.is_cut_off() {
            self.record_reached(upstream);
        }
    }

    /// Records that a host carried no connection for this one.
    pub(crate) fn record_carrier_failure(&self, address: SocketAddr) {
        lock(&self.0.failed_carriers).record(self.now(), address);
    }

    /// Orders hosts that may carry connections by how they are tried.
    pub(crate) fn order_carriers(&self, now: Time, carriers: Vec<Carrier>) -> Vec<Carrier> {
        let here = &self.settings().data_centre;
        let regions = &self.settings().regions;
        let distance = |carrier: &Carrier| match &carrier.data_centre {
            other if other == here => CarrierDistance::Local,
            other if regions.get(other) == regions.get(here) => CarrierDistance::Region,
            _ => CarrierDistance::Far,
        };
        lock(&self.0.failed_carriers).order(now, carriers, distance, rand::random::<u32>)
    }

    /// Runs `use_limits` on the locked limits on what this host carries for others.
    pub(crate) fn carrier_limits<T>(&self, use_limits: impl FnOnce(&mut CarrierLimits) -> T) -> T {
        use_limits(&mut lock(&self.0.carrier_limits))
    }

    fn log_contact(&self, change: Option<ContactChange>) {
        let Some(change) = change else {
            return;
        };
        // What failed was the host's own link.
        lock(&self.0.reachability).forget_own_failures();
        self.announce_now();
        let entry = match change {
            ContactChange::Lost { failed } => {
                actix_rt::spawn(dial::probe_until_reached(self.clone()));
                let entry = self.log().entry(EventCode::UpstreamsOutOfReach);
                entry.with("failed", failed)
            }
            ContactChange::Regained { after } => {
                let entry = self.log().entry(EventCode::UpstreamsInReach);
                entry.with("after_ms", after.as_millis() as u64)
            }
        };
        entry.with("hosts", self.live_hosts()).write();
    }

    /// Records upstreams that another host of this data centre can't connect to.
    pub fn receive_unreachable(&self, peer: &HostId, upstreams: &[InstanceId]) {
        let now = self.now();
        for upstream in upstreams {
            if lock(&self.0.reachability).receive_report(now, upstream) {
                let line = self.log().entry(EventCode::UpstreamLost);
                line.with("upstream", upstream.as_str())
                    .with("source", peer.as_str())
                    .write();
            }
        }
    }

    /// Upstreams that this host itself can't connect to now, though its links are up.
    pub fn unreachable_upstreams(&self) -> Vec<InstanceId> {
        match self.is_cut_off() {
            true => Vec::new(),
            false => lock(&self.0.reachability).confirmed_failures(self.now()),
        }
    }

    /// Records the load that an upstream reports in response headers, if it reports one.
    pub(crate) fn record_reported_load(&self, upstream: &InstanceId, headers: &HeaderMap) {
        if let Some(reported) = self.protocol().reported_load(headers) {
            let now = self.now();
            lock(&self.0.reported_loads).record(now, upstream.key(), reported);
        }
    }

    /// The load that an upstream has reported recently.
    pub(crate) fn reported_load(&self, now: Time, upstream: &InstanceId) -> Option<ReportedLoad> {
        let reported = lock(&self.0.reported_loads);
        match reported.is_empty() {
            true => None,
            false => reported.fresh(now, upstream.key()),
        }
    }

    /// Forgets outdated load reports of upstreams.
    pub(crate) fn expire_reported_loads(&self) {
        let now = self.now();
        lock(&self.0.reported_loads).expire(now);
    }

    /// Records that a connection to an upstream was established.
    pub fn record_reached(&self, upstream: &InstanceId) {
        if lock(&self.0.reachability).record_success(self.now(), upstream) {
            let line = self.log().entry(EventCode::UpstreamBack);
            line.with("upstream", upstream.as_str())
                .with("change", "reached")
                .write();
        }
    }

    /// Records that a request is sent to an upstream. If the upstream is ejected and due for a probe, this
    /// request is the probe, and no other is sent until the guard is dropped.
    pub(crate) fn begin_send(&self, upstream: &InstanceId) -> SendGuard {
        self.ejector(|ejector| ejector.sent(upstream));
        if self.is_failing(upstream) {
            let hosts = self.local_hosts();
            let now = self.now();
            lock(&self.0.failure_rates).record_send(now, upstream, hosts);
        }
        self.brittle(|brittle| brittle.begin(upstream.key()));
        SendGuard {
            shared: self.clone(),
            upstream: upstream.clone(),
        }
    }

    /// Whether requests should prefer other upstreams to this one.
    pub(crate) fn is_avoided(&self, now: Time, upstream: &InstanceId) -> bool {
        let health = self.ejector(|ejector| ejector.health(now, upstream));
        health == Health::Ejected
            || self.is_unreachable(now, upstream)
            || (self.shares_failures() && lock(&self.0.failure_rates).is_avoided(now, upstream))
    }

    /// Whether an upstream fails far more of all hosts' calls than its service's others.
    pub(crate) fn is_failing(&self, upstream: &InstanceId) -> bool {
        self.shares_failures() && lock(&self.0.failure_rates).is_failing(upstream)
    }

    /// Whether hosts tell each other of failed calls.
    fn shares_failures(&self) -> bool {
        self.settings().features.upstream_speeds
    }

    /// Records whether a call of a plain service failed at its upstream.
    pub(crate) fn record_call_outcome(
        &self,
        service: &ServiceId,
        upstream: &InstanceId,
        is_failed: bool,
    ) {
        if self.shares_failures() {
            let now = self.now();
            lock(&self.0.failure_rates).record(now, service, upstream, is_failed);
        }
    }

    /// What this host tells the others of its data centre of failed calls; `None` if that is switched off.
    pub(crate) fn announced_failures(&self) -> Option<Vec<ServiceCalls>> {
        self.shares_failures()
            .then(|| lock(&self.0.failure_rates).announce())
    }

    /// Takes what another host of this data centre tells of failed calls.
    pub(crate) fn receive_failures(&self, host: &HostId, told: Option<Vec<ServiceCalls>>) {
        if let Some(told) = told.filter(|_| self.shares_failures()) {
            let now = self.now();
            lock(&self.0.failure_rates).receive(now, host, told);
        }
    }

    /// Number of upstreams avoided because they fail far more often than their service's others.
    pub(crate) fn count_failing(&self) -> usize {
        lock(&self.0.failure_rates).count()
    }

    /// Number of hosts of this data centre, including this one.
    fn local_hosts(&self) -> usize {
        let now = self.now();
        self.peers(|peers| peers.count_local(now)) + 1
    }

    /// Decides anew which upstreams are avoided for the failed calls of all hosts, and logs changes.
    pub(crate) fn review_failures(&self) {
        if !self.shares_failures() {
            return;
        }
        let now = self.now();
        let hosts = self.local_hosts();
        let pool = |service: &ServiceId| self.directory(|directory| directory.ready(service).len());
        let changes = lock(&self.0.failure_rates).review(now, hosts, rand::random(), pool);
        for change in changes {
            let id = self.directory(|directory| directory.id_of(change.key));
            let (calls, failed) = change.calls;
            let line = self.log().entry(EventCode::UpstreamFailsOften);
            line.with("service", change.service.as_str())
                .with_some("upstream", id.as_ref().map(InstanceId::as_str))
                .with("avoided", change.is_avoided)
                .with("calls", calls)
                .with("failed", failed)
                .write();
        }
    }

    /// Whether connections to an upstream have failed recently, here or at another host.
    pub(crate) fn is_unreachable(&self, now: Time, upstream: &InstanceId) -> bool {
        lock(&self.0.reachability).is_unreachable(now, upstream)
    }

    /// Whether a network partition separates this host from all upstreams of a service that other hosts may
    /// still reach.
    pub fn is_partitioned(&self) -> bool {
        lock(&self.0.partition).is_partitioned()
    }

    /// Checks whether a network partition separates this host from a service, or has ended, and logs a change.
    pub fn check_partition(&self) {
        let now = self.now();
        let silence = self.peers(|peers| peers.remote_silence(now));
        let lost = || self.unreachable_service(now);
        let Some(change) = lock(&self.0.partition).update(silence, lost) else {
            return;
        };
        let (code, service) = match &change {
            PartitionChange::Lost(service) => (EventCode::ServiceOutOfReach, service),
            PartitionChange::Restored(service) => (EventCode::ServiceInReach, service),
        };
        let line = self.log().entry(code);
        line.with("service", service.as_str())
            .with_some(
                "silence_ms",
                silence.map(|silence| silence.as_millis() as u64),
            )
            .write();
    }

    /// A service that has ready upstreams, none of which can be connected to.
    fn unreachable_service(&self, now: Time) -> Option<ServiceId> {
        let configuration = self.configuration()?;
        let mut services = configuration.services.keys();
        let is_lost = |service: &&ServiceId| {
            let ready = self.directory(|directory| directory.ready(service));
            !ready.is_empty()
                && ready
                    .iter()
                    .all(|upstream| self.is_unreachable(now, &upstream.id))
        };
        services.find(is_lost).cloned()
    }

    /// Records a failed request for which the upstream is to blame, and ejects the upstream if due.
    pub fn record_failure(&self, service: &ServiceId, upstream: &InstanceId, reason: &str) {
        let now = self.now();
        let pool = self.directory(|directory| directory.ready(service).len());
        let ejected_max = pool * EJECTED_PERCENT_MAX / 100;
        if self.ejector(|ejector| ejector.failed(now, upstream, ejected_max)) {
            let line = self.log().entry(EventCode::UpstreamEjected);
            line.with("upstream", upstream.as_str())
                .with("reason", reason)
                .with("pool", pool)
                .write();
        }
    }
}

/// A request in flight to an upstream. Dropping it tells the ejector that the request has ended.
#[derive(Debug)]
pub(crate) struct SendGuard {
    shared: Shared,
    upstream: InstanceId,
}

impl Drop for SendGuard {
    fn drop(&mut self) {
        let upstream = &self.upstream;
        self.shared.ejector(|ejector| ejector.abandoned(upstream));
        self.shared.brittle(|brittle| brittle.end(upstream.key()));
    }
}
