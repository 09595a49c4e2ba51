//! Selection of the upstreams that take new work, by state, evacuation, rollout and cold time.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use super::Directory;
use super::Upstream;
use super::UpstreamState;
use crate::clock::Time;
use crate::gateway::evacuations::Evacuations;
use crate::gateway::instance::InstanceId;
use crate::gateway::instance::InstanceKey;
use crate::gateway::rollouts::Rollouts;
use crate::gateway::rollouts::Track;
use crate::id::DataCentre;
use crate::id::ServiceId;
use crate::id::VersionId;

/// Share of the upstreams of each data centre that take the trial requests of a new version. It is small so
/// that each of them carries the load that it will carry after the rollout.
const TRIAL_SHARE: f64 = 0.08;
/// Minimum number of upstreams of each data centre that take trial requests. A single faulty upstream says
/// nothing about its version.
const TRIAL_UPSTREAMS_MIN: usize = 3;

impl Directory {
    /// The evacuations ordered by operators.
    pub fn evacuations(&self) -> &Evacuations {
        &self.evacuations
    }

    /// Mutable access to the evacuations.
    pub fn evacuations_mut(&mut self) -> &mut Evacuations {
        &mut self.evacuations
    }

    /// The rollouts ordered by operators.
    pub fn rollouts(&self) -> &Rollouts {
        &self.rollouts
    }

    /// Mutable access to the rollouts.
    pub fn rollouts_mut(&mut self) -> &mut Rollouts {
        &mut self.rollouts
    }

    /// When a rollout moved new work to a version other than that of `upstream`, if one did.
    pub(super) fn replaced_since(&self, upstream: &Upstream) -> Option<Time> {
        let rollout = self.rollouts.get(&upstream.service)?;
        let is_replaced = upstream.version != *rollout.to();
        rollout.shifted_since().filter(|_| is_replaced)
    }

    /// The upstreams of a service that take new work on `track`, in one data centre or in all. If no upstream
    /// is listed for the stable track, those of the ordered version take its requests, and after a completed rollout
    /// those of any version that never proved bad.
    pub fn ready_for(
        &self,
        service: &ServiceId,
        track: Track,
        within: Option<&DataCentre>,
    ) -> Vec<Arc<Upstream>> {
        let ready = match within {
            Some(data_centre) => self.ready_in(service, data_centre),
            None => self.ready(service),
        };
        let Some(rollout) = self.rollouts.get(service) else {
            return ready;
        };
        let allows = |upstream: &Upstream, track| rollout.allows(&upstream.version, track);
        let chosen: Vec<_> = ready
            .iter()
            .filter(|up| allows(up, track))
            .cloned()
            .collect();
        match (track, chosen.is_empty()) {
            (Track::Trial, false) => trial_subset(chosen),
            (Track::Trial, true) => self.ready_for(service, Track::Stable, within),
            (Track::Stable, false) => chosen,
            (Track::Stable, true) if self.has_listed(service, |up| allows(up, track)) => chosen,
            (Track::Stable, true) => {
                let allowed = ready.into_iter().filter(|up| {
                    allows(up, Track::Trial) || rollout.allows_without_order(&up.version)
                });
                allowed.collect()
            }
        }
    }

    /// Whether any listed upstream of a service matches a predicate.
    fn has_listed(&self, service: &ServiceId, matches: impl Fn(&Upstream) -> bool) -> bool {
        let listed = self.entries.values().map(|entry| &entry.upstream);
        let mut of_service = listed.filter(|upstream| upstream.service == *service);
        of_service.any(|upstream| matches(upstream))
    }

    /// The number of upstreams of a version that take new work. Failed requests are not considered.
    pub fn count_of_version(&self, service: &ServiceId, version: &VersionId) -> usize {
        let ready = self.ready(service);
        ready.iter().filter(|up| up.version == *version).count()
    }

    /// Whether an instance is listed and takes new work.
    pub fn is_ready(&self, id: &InstanceId) -> bool {
        self.get(id)
            .is_some_and(|upstream| self.accepts_work(upstream))
    }

    /// Whether a listed upstream is live and its data centre is not evacuated.
    fn accepts_work(&self, upstream: &Upstream) -> bool {
        self.is_live(upstream) && !self.evacuations.contains(&upstream.data_centre)
    }

    /// Whether a listed upstream is ready and has not been observed leaving.
    fn is_live(&self, upstream: &Upstream) -> bool {
        upstream.state == UpstreamState::Ready && self.observation(&upstream.id).is_none()
    }

    /// The upstreams of a service that take new work.
    pub fn ready(&self, service: &ServiceId) -> Vec<Arc<Upstream>> {
        let entries = self.entries.values();
        entries
            .filter(|entry| entry.upstream.service == *service)
            .filter(|entry| self.accepts_work(&entry.upstream))
            .map(|entry| entry.upstream.clone())
            .collect()
    }

    /// The upstreams of a service in one data centre that take new work.
    pub fn ready_in(&self, service: &ServiceId, data_centre: &DataCentre) -> Vec<Arc<Upstream>> {
        let upstreams = self.entries.in_data_centre(service, data_centre);
        let ready = upstreams.filter(|upstream| self.accepts_work(upstream));
        ready.cloned().collect()
    }

    /// The number of listed upstreams of a service in a data centre.
    pub fn count_in(&self, service: &ServiceId, data_centre: &DataCentre) -> usize {
        self.entries.count_in_data_centre(service, data_centre)
    }

    /// The data centre of the listed instance with this key.
    pub fn data_centre_of(&self, key: InstanceKey) -> Option<&DataCentre> {
        self.entries.data_centre_of(key)
    }

    /// The listed instance with this key.
    pub fn id_of(&self, key: InstanceKey) -> Option<InstanceId> {
        let ids = self.entries.values().map(|entry| &entry.upstream.id);
        ids.into_iter().find(|id| id.key() == key).cloned()
    }

    /// All upstreams that take new work.
    pub fn all_ready(&self) -> Vec<Arc<Upstream>> {
        let upstreams = self.entries.values().map(|entry| &entry.upstream);
        let ready = upstreams.filter(|upstream| self.accepts_work(upstream));
        ready.cloned().collect()
    }

    /// All upstreams that are neither leaving nor gone, including those in evacuated data centres.
    pub fn all_live(&self) -> Vec<Arc<Upstream>> {
        let upstreams = self.entries.values().map(|entry| &entry.upstream);
        let live = upstreams.filter(|upstream| self.is_live(upstream));
        live.cloned().collect()
    }

    /// Whether a service has live upstreams and all of them are in evacuated data centres.
    pub fn is_evacuated(&self, service: &ServiceId) -> bool {
        let upstreams = self.entries.values().map(|entry| &entry.upstream);
        let mut live = upstreams
            .filter(|upstream| upstream.service == *service && self.is_live(upstream))
            .peekable();
        live.peek().is_some() && live.all(|upstream| !self.accepts_work(upstream))
    }

    /// The listed upstreams of a data centre.
    pub fn listed_in(&self, data_centre: &DataCentre) -> impl Iterator<Item = &Arc<Upstream>> {
        let upstreams = self.entries.values().map(|entry| &entry.upstream);
        upstreams.filter(|upstream| upstream.data_centre == *data_centre)
    }

    /// Records how long an upstream stays cold from now on, according to its entry.
    pub(super) fn record_cold(&mut self, now: Time, upstream: &Upstream) {
        match upstream.cold_left_ms {
            0 => self.cold_until.remove(&upstream.id),
            left_ms => {
                let until = now + Duration::from_millis(u64::from(left_ms));
                self.cold_until.insert(upstream.id.clone(), until)
            }
        };
    }

    /// Whether any upstream is cold.
    pub fn has_cold(&self, now: Time) -> bool {
        self.cold_until.values().any(|until| *until > now)
    }

    /// Whether an upstream is cold, that is, can serve only a few requests per second. The cold time counts
    /// from when this host learned of it, so the upstream is warm before the host treats it as warm, not
    /// after.
    pub fn is_cold(&self, now: Time, id: &InstanceId) -> bool {
        self.cold_until.get(id).is_some_and(|until| *until > now)
    }
}

/// The first few upstreams of each data centre in the order given, which is the same on all hosts with the
/// same listing.
fn trial_subset(upstreams: Vec<Arc<Upstream>>) -> Vec<Arc<Upstream>> {
    let mut by_data_centre: BTreeMap<DataCentre, Vec<Arc<Upstream>>> = BTreeMap::new();
    for upstream in upstreams {
        let data_centre = upstream.data_centre.clone();
        by_data_centre
            .entry(data_centre)
            .or_default()
            .push(upstream);
    }
    let first = by_data_centre.into_values().flat_map(|upstreams| {
        let count = (upstreams.len() as f64 * TRIAL_SHARE).ceil() as usize;
        upstreams.into_iter().take(count.max(TRIAL_UPSTREAMS_MIN))
    });
    first.collect()
}
