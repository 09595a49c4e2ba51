//! The upstreams that a request may go to, and the choice of one of them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use crate::clock::Time;
use crate::gateway::configuration::EngineSpec;
use crate::gateway::directory::Upstream;
use crate::gateway::instance::InstanceId;
use crate::gateway::loads::Load;
use crate::gateway::placement;
use crate::gateway::placement::Candidate;
use crate::gateway::placement::Need;
use crate::gateway::rollouts::Track;
use crate::gateway::serve::Admitted;
use crate::gateway::shared::Shared;
use crate::gateway::speeds::Slowness;
use crate::id::DataCentre;
use crate::id::RegionId;
use crate::id::ServiceId;
use crate::id::VersionId;

/// Unreachable upstreams from which another data centre counts as unreachable.
const UNREACHABLE_UPSTREAMS_MIN: usize = 2;

/// The upstreams that a request is placed on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CandidateSet {
    /// A subset of those in the host's data centre, which has many.
    Subset,
    /// All upstreams of the service.
    All,
}

impl CandidateSet {
    /// The upstreams of a service that a request considers first.
    pub fn initial(shared: &Shared, service: &ServiceId) -> Self {
        let here = &shared.settings().data_centre;
        match shared.directory(|directory| directory.count_in(service, here))
            > placement::SUBSET_UPSTREAMS
        {
            true => CandidateSet::Subset,
            false => CandidateSet::All,
        }
    }
}

/// Chooses one of `candidates` for `need`, as this host sees the fleet.
pub fn choose(shared: &Shared, need: Need, candidates: &[Candidate]) -> Option<Candidate> {
    placement::choose(need, candidates, shared.view(), rand::random::<f64>)
}

/// The upstreams that a request may go to. If [`UNREACHABLE_UPSTREAMS_MIN`] of another data centre are
/// unreachable, a partition is likelier than as many failures, so all its upstreams count as unhealthy.
pub fn list(
    shared: &Shared,
    admitted: &Admitted,
    avoid: &[InstanceId],
    set: CandidateSet,
) -> Vec<Candidate> {
    let now = shared.now();
    // A probe of an upstream that fails often risks a first attempt only.
    let is_repeat = !avoid.is_empty();
    let any_limited = shared.has_limited_upstreams(now);
    let mut ready = ready_upstreams(shared, &admitted.service, admitted.track.get(), set);
    if let Some(regions) = &admitted.regions {
        ready.retain(|upstream| is_in_regions(shared, &upstream.data_centre, regions));
    }
    ready.retain(|upstream| !shared.is_host_address(upstream.address));
    let unreachable = unreachable_data_centres(shared, now, &ready);
    let engine = admitted.engine.as_ref();
    let candidates = ready
        .into_iter()
        .filter(|upstream| !avoid.contains(&upstream.id))
        .filter(|upstream| !any_limited || shared.may_send(now, upstream))
        .map(|upstream| {
            let is_failing = is_repeat && shared.is_failing(&upstream.id);
            let mut candidate = candidate(shared, now, upstream, &unreachable, engine);
            candidate.unhealthy |= is_failing;
            candidate
        })
        .collect();
    prefer_other_versions(shared, avoid, candidates)
}

/// The candidates of versions other than those of the upstreams that failed the request, as far as they are
/// healthy and have a free slot, or else all candidates. Hosts read rollout orders and upstreams apart, so
/// upstreams of a bad version can be known before the order that puts them on trial.
fn prefer_other_versions(
    shared: &Shared,
    failed: &[InstanceId],
    candidates: Vec<Candidate>,
) -> Vec<Candidate> {
    let versions: Vec<VersionId> = shared.directory(|directory| {
        let failed = failed.iter().filter_map(|id| directory.get(id));
        failed.map(|upstream| upstream.version.clone()).collect()
    });
    let is_preferred = |candidate: &Candidate| {
        let has_free_slot = candidate.load.requests < candidate.upstream.slots;
        let is_other = !versions.contains(&candidate.upstream.version);
        is_other && has_free_slot && !candidate.unhealthy
    };
    match versions.is_empty() || !candidates.iter().any(is_preferred) {
        true => candidates,
        false => candidates.into_iter().filter(is_preferred).collect(),
    }
}

/// All upstreams of a service that are ready and not under trial, whatever this host itself may send them.
pub(crate) fn list_all(shared: &Shared, service: &ServiceId) -> Vec<Candidate> {
    let now = shared.now();
    let ready = ready_upstreams(shared, service, Track::Stable, CandidateSet::All);
    let unreachable = unreachable_data_centres(shared, now, &ready);
    let configuration = shared.configuration();
    let engine = configuration
        .as_ref()
        .and_then(|configuration| configuration.engine(service));
    let ready = ready.into_iter();
    ready
        .map(|upstream| candidate(shared, now, upstream, &unreachable, engine))
        .collect()
}

fn ready_upstreams(
    shared: &Shared,
    service: &ServiceId,
    track: Track,
    set: CandidateSet,
) -> Vec<Arc<Upstream>> {
    let here = &shared.settings().data_centre;
    shared.directory(|directory| {
        let local = (set == CandidateSet::Subset).then_some(here);
        let ready = directory.ready_for(service, track, local);
        match local {
            Some(_) => placement::subset(ready, &shared.settings().host),
            None => ready,
        }
    })
}

fn candidate(
    shared: &Shared,
    now: Time,
    upstream: Arc<Upstream>,
    unreachable: &[DataCentre],
    engine: Option<&EngineSpec>,
) -> Candidate {
    let load = shared.loads().with(|loads| loads.at(&upstream.id));
    let reported = shared.reported_load(now, &upstream.id);
    let present = shared.slowness_reporting(now, &upstream.id, reported);
    Candidate {
        load,
        reported,
        slowness: beside_load(shared, engine, &upstream.service, load, present),
        unhealthy: shared.is_avoided(now, &upstream.id)
            || unreachable.contains(&upstream.data_centre),
        upstream,
    }
}

/// `slowness` with the time between events that one more request beside `load` is expected to see. `engine` holds the
/// properties of the service's engines.
fn beside_load(
    shared: &Shared,
    engine: Option<&EngineSpec>,
    service: &ServiceId,
    load: Load,
    slowness: Slowness,
) -> Slowness {
    let event_time = engine.and_then(|engine| {
        let requests = load.requests.saturating_add(1);
        shared.usual_event_time(service, requests, engine.tokens_per_event)
    });
    Slowness {
        event_time: event_time.map(|time| time.mul_f64(slowness.decode)),
        ..slowness
    }
}

/// Whether a data centre is in one of `regions`; one of unknown region is in none.
fn is_in_regions(shared: &Shared, data_centre: &DataCentre, regions: &BTreeSet<RegionId>) -> bool {
    let region = shared.settings().regions.get(data_centre);
    region.is_some_and(|region| regions.contains(region))
}

/// Other data centres with at least [`UNREACHABLE_UPSTREAMS_MIN`] unreachable upstreams.
fn unreachable_data_centres(
    shared: &Shared,
    now: Time,
    ready: &[Arc<Upstream>],
) -> Vec<DataCentre> {
    let here = &shared.settings().data_centre;
    let mut unreachable: BTreeMap<&DataCentre, usize> = BTreeMap::new();
    for upstream in ready {
        if upstream.data_centre != *here && shared.is_unreachable(now, &upstream.id) {
            *unreachable.entry(&upstream.data_centre).or_default() += 1;
        }
    }
    unreachable
        .into_iter()
        .filter(|(_, upstreams)| *upstreams >= UNREACHABLE_UPSTREAMS_MIN)
        .map(|(data_centre, _)| data_centre.clone())
        .collect()
}
