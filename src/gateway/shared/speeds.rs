//! The speed of upstreams, as this host and its peers observe it.

use std::time::Duration;

use super::Shared;
use super::lock;
use crate::clock::Time;
use crate::event::EventCode;
use crate::gateway::directory::Upstream;
use crate::gateway::instance::InstanceId;
use crate::gateway::reportedloads::ReportedLoad;
use crate::gateway::speeds::AnnouncedSpeed;
use crate::gateway::speeds::Observation;
use crate::gateway::speeds::Slowness;
use crate::gateway::speeds::SpeedChange;
use crate::gateway::speeds::Work;
use crate::id::HostId;
use crate::id::ServiceId;

impl Shared {
    /// Whether this host measures the speed of upstreams.
    pub(crate) fn uses_speeds(&self) -> bool {
        self.settings().features.upstream_speeds
    }

    /// Records that an upstream took `time` for `units` tokens or calls beside the requests that run there. What a
    /// host measures while it is cut off depends on the hosts that carry its connections.
    pub(crate) fn record_speed(&self, upstream: &Upstream, work: Work, units: u32, time: Duration) {
        if !self.uses_speeds() || units == 0 || self.is_cut_off() {
            return;
        }
        let now = self.now();
        let load = self.loads().with(|loads| loads.at(&upstream.id));
        let reported = self.reported_load(now, &upstream.id);
        let running = reported.map_or(0, |reported| reported.requests());
        let at_present = reported.map_or(1.0, |reported| reported.slowness);
        let observation = Observation {
            work,
            requests: load.requests.max(running),
            unit_s: time.as_secs_f64() / f64::from(units) / at_present,
        };
        let key = upstream.id.key();
        let change = lock(&self.0.speeds).record(now, &upstream.service, key, observation);
        if let Some(change) = change {
            self.log_speed_change(Some(&upstream.id), change);
        }
    }

    /// How slow an upstream is, without what it reports of its machine at present.
    pub(crate) fn slowness(&self, now: Time, upstream: &InstanceId) -> Slowness {
        match self.uses_speeds() {
            true => lock(&self.0.speeds).slowness(now, upstream.key()),
            false => Slowness::default(),
        }
    }

    /// How slow an upstream is while its machine is as it last reported.
    pub(crate) fn present_slowness(&self, now: Time, upstream: &InstanceId) -> Slowness {
        self.slowness_reporting(now, upstream, self.reported_load(now, upstream))
    }

    /// How slow an upstream is while its machine is as `reported`.
    pub(crate) fn slowness_reporting(
        &self,
        now: Time,
        upstream: &InstanceId,
        reported: Option<ReportedLoad>,
    ) -> Slowness {
        let slowness = self.slowness(now, upstream);
        match reported.filter(|_| self.uses_speeds()) {
            Some(reported) => slowness.at_present(reported.slowness),
            None => slowness,
        }
    }

    /// The expected time between two events of a usual engine's streams where `requests` run.
    pub(crate) fn usual_event_time(
        &self,
        service: &ServiceId,
        requests: u32,
        tokens_per_event: u32,
    ) -> Option<Duration> {
        if !self.uses_speeds() {
            return None;
        }
        let token_time = lock(&self.0.speeds).usual_token_time(service, requests)?;
        Some(token_time.saturating_mul(tokens_per_event))
    }

    /// The speeds to announce to the hosts of the data centre, which count as announced then.
    pub(crate) fn announced_speeds(&self, now: Time) -> Vec<AnnouncedSpeed> {
        match self.uses_speeds() {
            true => lock(&self.0.speeds).announce(now),
            false => Vec::new(),
        }
    }

    /// Takes in the speeds that another host observed.
    pub(crate) fn receive_speeds(&self, host: &HostId, announced: &[AnnouncedSpeed]) {
        if self.uses_speeds() && !announced.is_empty() {
            let now = self.now();
            lock(&self.0.speeds).receive(now, host, announced);
        }
    }

    /// Number of upstreams that are taken for slow.
    pub(crate) fn count_slow_upstreams(&self) -> usize {
        lock(&self.0.speeds).count_slow()
    }

    /// Forgets the speeds of upstreams that were not observed for long.
    pub(crate) fn expire_speeds(&self) {
        if !self.uses_speeds() {
            return;
        }
        let now = self.now();
        let changes = lock(&self.0.speeds).expire(now);
        for (key, change) in changes {
            let upstream = self.directory(|directory| directory.find_by_key(key).cloned());
            self.log_speed_change(upstream.as_ref().map(|upstream| &upstream.id), change);
        }
    }

    fn log_speed_change(&self, upstream: Option<&InstanceId>, change: SpeedChange) {
        let (code, slowness) = match change {
            SpeedChange::Slow(slowness) => (EventCode::UpstreamSlow, slowness),
            SpeedChange::Usual(slowness) => (EventCode::UpstreamUsual, slowness),
        };
        let entry = self.log().entry(code);
        entry
            .with_some("upstream", upstream.map(InstanceId::as_str))
            .with("prefill", slowness.prefill)
            .with("decode", slowness.decode)
            .with("call", slowness.call)
            .write();
    }
}
