//! Limits on the requests that this host sends to cold upstreams, to those that name a limit or are brittle, and to
//! those that asked for rest.

use std::collections::HashMap;
use std::sync::MutexGuard;
use std::time::Duration;

use http::StatusCode;
use http::response::Parts;

use super::Shared;
use super::lock;
use crate::clock::Time;
use crate::event::EventCode;
use crate::gateway::brittle::BrittleUpstreams;
use crate::gateway::brittle::Share;
use crate::gateway::cold::ColdUpstream;
use crate::gateway::directory::Upstream;
use crate::gateway::instance::InstanceId;
use crate::gateway::instance::InstanceKey;
use crate::gateway::limitclaims::AnnouncedClaim;
use crate::gateway::limitclaims::EqualShare;
use crate::gateway::senders::Sender;
use crate::gateway::upstreamlimits;
use crate::gateway::upstreamlimits::AnnouncedLimit;
use crate::gateway::upstreamlimits::Bound;
use crate::gateway::upstreamlimits::LimitedUpstream;
use crate::gateway::upstreamlimits::UpstreamLimits;
use crate::id::HostId;
use crate::id::ServiceId;

/// Why an upstream that is ready gets no request of this host for now.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Hold {
    /// It may get the next one after this time.
    For(Duration),
    /// It may get the next one once one of this host is answered.
    UntilAnswer,
    /// Other hosts share the limit that it names.
    NoShare,
}

impl Shared {
    /// Whether this host may send one more request to an upstream now.
    pub(crate) fn may_send(&self, now: Time, upstream: &Upstream) -> bool {
        self.allows_cold(now, upstream) && self.hold(now, upstream).is_none()
    }

    /// Whether any upstream is limited, so that callers can skip [`Self::may_send`] otherwise.
    pub(crate) fn has_limited_upstreams(&self, now: Time) -> bool {
        self.directory(|directory| directory.has_cold(now)) || self.has_holds()
    }

    fn has_holds(&self) -> bool {
        !lock(&self.0.upstream_limits).is_empty()
            || !lock(&self.0.rejection_limits).is_empty()
            || !lock(&self.0.rests).is_empty()
    }

    /// Records a request sent to an upstream.
    pub(crate) fn record_send(&self, upstream: &Upstream) {
        let now = self.now();
        if self.directory(|directory| directory.is_cold(now, &upstream.id)) {
            lock(&self.0.cold_budget).spend(now, &upstream.id);
        }
        self.spend_limit(upstream);
    }

    /// Counts a request or a poll for the limit that an upstream names.
    pub(crate) fn spend_limit(&self, upstream: &Upstream) {
        let now = self.now();
        if let Some(host_per_s) = self.limit_share(now, upstream) {
            lock(&self.0.upstream_limits).spend(now, upstream.id.key(), host_per_s);
            lock(&self.0.limit_claims).record_send(now, upstream.id.key());
        }
    }

    /// Forgets requests to cold upstreams that are outside the limit's time window.
    pub(crate) fn expire_cold_sends(&self) {
        let now = self.now();
        lock(&self.0.cold_budget).prune(now);
    }

    /// Whether an upstream isn't cold or tolerates one more request of this host.
    fn allows_cold(&self, now: Time, upstream: &Upstream) -> bool {
        if !self.directory(|directory| directory.is_cold(now, &upstream.id)) {
            return true;
        }
        let Some(requests_per_s) = self
            .configuration()
            .and_then(|configuration| configuration.cold_requests_per_s(&upstream.service))
        else {
            return true;
        };
        let cold = ColdUpstream {
            upstream: &upstream.id,
            data_centre: &upstream.data_centre,
            requests_per_s,
        };
        self.with_sender(now, |sender| {
            lock(&self.0.cold_budget).allows(now, sender, &cold)
        })
    }

    /// Whether an upstream gets no request of this host for now: it asked for rest, or this host's share of a
    /// limit that it names has no room.
    pub(crate) fn hold(&self, now: Time, upstream: &Upstream) -> Option<Hold> {
        self.rate_hold(now, upstream)
            .max(self.brittle_hold(now, upstream))
    }

    fn rate_hold(&self, now: Time, upstream: &Upstream) -> Option<Hold> {
        let rest = lock(&self.0.rests).remaining(now, &upstream.id);
        let Some(host_per_s) = self.limit_share(now, upstream) else {
            return rest.map(Hold::For);
        };
        let key = upstream.id.key();
        let wait = lock(&self.0.upstream_limits).wait(now, key, host_per_s);
        let Some(wait) = wait else {
            return Some(Hold::NoShare);
        };
        let wait = Some(wait).filter(|wait| !wait.is_zero());
        rest.max(wait).map(Hold::For)
    }

    /// Whether a brittle upstream gets no request of this host for now.
    fn brittle_hold(&self, now: Time, upstream: &Upstream) -> Option<Hold> {
        let rejections_per_s = lock(&self.0.rejection_limits).get(upstream.id.key())?;
        let Some(share) = self.brittle_share(now, upstream) else {
            return Some(Hold::NoShare);
        };
        let key = upstream.id.key();
        match lock(&self.0.brittle).wait(now, key, share, rejections_per_s) {
            Some(wait) if wait.is_zero() => None,
            Some(wait) => Some(Hold::For(wait)),
            None => Some(Hold::UntilAnswer),
        }
    }

    /// This host's share in what a brittle upstream takes. In a small fleet all hosts share it, in a large one those
    /// of its data centre.
    fn brittle_share(&self, now: Time, upstream: &Upstream) -> Option<Share> {
        let share = |sender: &Sender<'_>| Share::of(sender, &upstream.id, upstream.slots);
        if self.is_small_fleet() {
            let hosts = self.peers(|peers| peers.live(now));
            return self.with_sender_among(now, &hosts, share);
        }
        let is_local = upstream.data_centre == self.settings().data_centre;
        is_local.then(|| self.with_sender(now, share)).flatten()
    }

    /// The shortest hold of a ready upstream of a service, if any is held.
    pub(crate) fn service_hold(&self, service: &ServiceId) -> Option<Hold> {
        if !self.has_holds() {
            return None;
        }
        let now = self.now();
        let ready = self.directory(|directory| directory.ready(service));
        let holds = ready.iter().filter_map(|upstream| self.hold(now, upstream));
        holds.min()
    }

    /// Records that a request was refused because this host's shares in the limits of a service's upstreams had no
    /// room.
    pub(crate) fn record_shortage(&self, service: &ServiceId) {
        let now = self.now();
        let ready = self.directory(|directory| directory.ready(service));
        for upstream in &ready {
            if self.limit_share(now, upstream).is_some() {
                lock(&self.0.limit_claims).record_shortage(now, upstream.id.key());
            }
        }
    }

    /// Whether an upstream asked this host for rest.
    pub(crate) fn is_resting(&self, upstream: &InstanceId) -> bool {
        let now = self.now();
        lock(&self.0.rests).remaining(now, upstream).is_some()
    }

    /// Records what an answer of an upstream says of the upstream itself.
    pub(crate) fn record_answer(&self, upstream: &InstanceId, head: &Parts) {
        self.record_reported_load(upstream, &head.headers);
        let protocol = self.protocol();
        self.record_limit(
            upstream,
            Bound::Requests,
            protocol.request_limit(&head.headers),
        );
        self.record_limit(
            upstream,
            Bound::Rejections,
            protocol.rejection_limit(&head.headers),
        );
        if self.is_rejection(head) {
            self.record_rejection(upstream);
        }
        if self.protocol().says_leaving(&head.headers) {
            self.observe_leaving(upstream, "its answer");
        }
        if let Some(rest) = self.protocol().requested_rest(head.status, &head.headers) {
            self.record_rest(upstream, rest);
        }
    }

    /// Whether an upstream has turned a request away for want of room.
    fn is_rejection(&self, head: &Parts) -> bool {
        let not_run = &self.protocol().headers().not_run;
        head.status == StatusCode::SERVICE_UNAVAILABLE && head.headers.contains_key(not_run)
    }

    /// Records that an upstream turned a request of this host away, if it is brittle.
    fn record_rejection(&self, upstream: &InstanceId) {
        let now = self.now();
        let Some(rejections_per_s) = lock(&self.0.rejection_limits).get(upstream.key()) else {
            return;
        };
        let Some(listed) = self.directory(|directory| directory.get(upstream).cloned()) else {
            return;
        };
        let Some(share) = self.brittle_share(now, &listed) else {
            return;
        };
        let mut brittle = lock(&self.0.brittle);
        let (window, pause) =
            brittle.record_rejection(now, upstream.key(), share, rejections_per_s);
        let entry = self.log().entry(EventCode::UpstreamRejects);
        entry
            .with("upstream", upstream.as_str())
            .with("bears_per_s", rejections_per_s)
            .with("hosts", share.hosts)
            .with("window", window)
            .with("pause_ms", pause.as_millis() as u64)
            .write();
        self.announce_now();
    }

    /// Runs `use_brittle` on the locked windows at brittle upstreams.
    pub(crate) fn brittle<T>(&self, use_brittle: impl FnOnce(&mut BrittleUpstreams) -> T) -> T {
        use_brittle(&mut lock(&self.0.brittle))
    }

    /// Records that an upstream asked this host for a time without requests.
    fn record_rest(&self, upstream: &InstanceId, rest: Duration) {
        let now = self.now();
        if lock(&self.0.rests).record(now, upstream, rest) {
            let entry = self.log().entry(EventCode::UpstreamRests);
            entry
                .with("upstream", upstream.as_str())
                .with("rest_ms", rest.as_millis() as u64)
                .write();
        }
    }

    /// The requests a second that this host may send to an upstream that names a limit.
    fn limit_share(&self, now: Time, upstream: &Upstream) -> Option<f64> {
        let share = self.equal_share(now, upstream)?;
        Some(lock(&self.0.limit_claims).rate(now, upstream.id.key(), share))
    }

    /// This host's equal share in the limit that an upstream names.
    fn equal_share(&self, now: Time, upstream: &Upstream) -> Option<EqualShare> {
        let requests_per_s = lock(&self.0.upstream_limits).get(upstream.id.key())?;
        let limited = LimitedUpstream {
            id: &upstream.id,
            data_centre: &upstream.data_centre,
            requests_per_s,
        };
        let live = self.peers(|peers| peers.live_data_centres(now));
        let share = |sender: &Sender<'_>| upstreamlimits::host_rate(sender, &live, &limited);
        let per_s = self.with_sender(now, share);
        let hosts = if per_s > 0.0 {
            (requests_per_s / per_s).round() as usize
        } else {
            0
        };
        Some(EqualShare { per_s, hosts })
    }

    fn with_sender<T>(&self, now: Time, use_sender: impl FnOnce(&Sender<'_>) -> T) -> T {
        let peers = self.peers(|peers| peers.live_local(now));
        self.with_sender_among(now, &peers, use_sender)
    }

    fn with_sender_among<T>(
        &self,
        now: Time,
        peers: &[HostId],
        use_sender: impl FnOnce(&Sender<'_>) -> T,
    ) -> T {
        let settings = self.settings();
        use_sender(&Sender {
            host: &settings.host,
            data_centre: &settings.data_centre,
            peers,
            uptime: Duration::from_micros(now.as_us()),
        })
    }

    fn limits(&self, bound: Bound) -> MutexGuard<'_, UpstreamLimits> {
        match bound {
            Bound::Requests => lock(&self.0.upstream_limits),
            Bound::Rejections => lock(&self.0.rejection_limits),
        }
    }

    /// The limits that this host announces to the others of its data centre.
    pub(crate) fn announced_limits(&self, now: Time) -> Vec<AnnouncedLimit> {
        let announced =
            [Bound::Requests, Bound::Rejections].map(|bound| self.limits(bound).announce_host(now));
        announced.concat()
    }

    /// This host's claims on limits, for the others of its data centre.
    pub(crate) fn announced_claims(&self, now: Time) -> Vec<AnnouncedClaim> {
        let keys = lock(&self.0.limit_claims).upstreams();
        let share = |key: InstanceKey| {
            let upstream = self.directory(|directory| directory.find_by_key(key).cloned())?;
            let share = self.equal_share(now, &upstream)?;
            (share.per_s > 0.0).then_some((key, share))
        };
        let shares: HashMap<InstanceKey, EqualShare> = keys.into_iter().filter_map(share).collect();
        lock(&self.0.limit_claims).announce(now, &shares)
    }

    /// Applies the claims on limits that another host of this data centre announces.
    pub(crate) fn receive_claims(&self, now: Time, host: &HostId, claims: &[AnnouncedClaim]) {
        lock(&self.0.limit_claims).receive(now, host, claims);
    }

    /// The limits that this host announces to other data centres.
    pub(crate) fn announced_limits_of_data_centre(&self, now: Time) -> Vec<AnnouncedLimit> {
        let announced = [Bound::Requests, Bound::Rejections]
            .map(|bound| self.limits(bound).announce_data_centre(now));
        announced.concat()
    }

    /// Records the limit that an upstream names in an answer, or that it names none.
    fn record_limit(&self, upstream: &InstanceId, bound: Bound, per_s: Option<f64>) {
        let now = self.now();
        let change = self.limits(bound).record_answer(now, upstream.key(), per_s);
        if let Some(change) = change {
            let entry = self.log().entry(EventCode::UpstreamLimited);
            entry
                .with("upstream", upstream.as_str())
                .with("change", change.name())
                .with("bound", bound.name())
                .with_some("limit_per_s", per_s)
                .with("source", "answer")
                .write();
            self.announce_now();
        }
    }

    /// Applies the limits that another host announces.
    pub(crate) fn receive_limits(&self, host: &str, announced: &[AnnouncedLimit]) {
        let now = self.now();
        for announced in announced {
            let change = self.limits(announced.bound).receive(now, announced);
            let Some(change) = change else {
                continue;
            };
            let upstream =
                self.directory(|directory| directory.find_by_key(announced.upstream).cloned());
            let entry = self.log().entry(EventCode::UpstreamLimited);
            entry
                .with_some(
                    "upstream",
                    upstream.as_ref().map(|upstream| upstream.id.as_str()),
                )
                .with("change", change.name())
                .with("bound", announced.bound.name())
                .with_some("limit_per_s", announced.per_s)
                .with("source", host)
                .with("age_ms", announced.age_ms)
                .write();
        }
    }

    /// Runs `use_limits` on the locked limits that upstreams name.
    pub(crate) fn upstream_limits<T>(&self, use_limits: impl FnOnce(&UpstreamLimits) -> T) -> T {
        use_limits(&lock(&self.0.upstream_limits))
    }

    /// Forgets limits that upstreams have not named for long and rests that have ended.
    pub(crate) fn expire_limits(&self) {
        let now = self.now();
        lock(&self.0.upstream_limits).expire(now);
        lock(&self.0.limit_claims).expire(now);
        lock(&self.0.rejection_limits).expire(now);
        lock(&self.0.brittle).expire(now);
        lock(&self.0.rests).expire(now);
    }
}
