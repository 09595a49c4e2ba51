//! The entries of a directory with indexes that are updated on each change. With ten thousand upstreams, a
//! lookup that runs for each datagram or request must not iterate over all entries.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::Upstream;
use super::UpstreamState;
use super::entry::Entry;
use super::entry::Missing;
use crate::gateway::instance::InstanceKey;
use crate::gateway::position::Position;
use crate::id::DataCentre;
use crate::id::ServiceId;
use crate::id::UpstreamId;

/// Multiplier that spreads eras over the seeds of a digest: 2^64 divided by the golden ratio.
const ERA_SEED: u64 = 0x9e37_79b9_7f4a_7c15;

type Location = (ServiceId, DataCentre);

/// Entries by upstream id, with a digest and indexes over them.
#[derive(Debug, Default)]
pub(super) struct Listing {
    entries: BTreeMap<UpstreamId, Entry>,
    digest: u64,
    by_location: BTreeMap<Location, BTreeMap<UpstreamId, Arc<Upstream>>>,
    data_centres: HashMap<InstanceKey, DataCentre>,
    missing: BTreeSet<UpstreamId>,
}

impl Listing {
    pub(super) fn get(&self, id: &UpstreamId) -> Option<&Entry> {
        self.entries.get(id)
    }

    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (&UpstreamId, &Entry)> {
        self.entries.iter()
    }

    pub(super) fn values(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values()
    }

    /// A hash over all entries.
    pub(super) fn digest(&self) -> u64 {
        self.digest
    }

    /// The upstreams of a service in a data centre, by id.
    pub(super) fn in_data_centre(
        &self,
        service: &ServiceId,
        data_centre: &DataCentre,
    ) -> impl Iterator<Item = &Arc<Upstream>> {
        let location = (service.clone(), data_centre.clone());
        let upstreams = self.by_location.get(&location).into_iter();
        upstreams.flat_map(BTreeMap::values)
    }

    /// The number of upstreams of a service in a data centre.
    pub(super) fn count_in_data_centre(
        &self,
        service: &ServiceId,
        data_centre: &DataCentre,
    ) -> usize {
        let location = (service.clone(), data_centre.clone());
        self.by_location.get(&location).map_or(0, BTreeMap::len)
    }

    /// The data centre of the instance with this key.
    pub(super) fn data_centre_of(&self, key: InstanceKey) -> Option<&DataCentre> {
        self.data_centres.get(&key)
    }

    /// The entries that have been missing from the log since it returned.
    pub(super) fn missing(&self) -> impl Iterator<Item = (&UpstreamId, Missing)> {
        let missing = self.missing.iter();
        missing.filter_map(|id| Some((id, self.entries.get(id)?.missing?)))
    }

    pub(super) fn mark_missing(&mut self, id: &UpstreamId, missing: Missing) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.missing = Some(missing);
            self.missing.insert(id.clone());
        }
    }

    /// Inserts an entry. The id must not be present yet, as its old entry would stay in the digest and
    /// the indexes.
    pub(super) fn insert(&mut self, id: UpstreamId, entry: Entry) {
        self.digest ^= entry_digest(&id, &entry);
        if entry.missing.is_some() {
            self.missing.insert(id.clone());
        }
        let upstream = entry.upstream.clone();
        self.data_centres
            .insert(upstream.id.key(), upstream.data_centre.clone());
        let upstreams = self.by_location.entry(location_of(&upstream)).or_default();
        upstreams.insert(id.clone(), upstream);
        self.entries.insert(id, entry);
    }

    pub(super) fn remove(&mut self, id: &UpstreamId) -> Option<Entry> {
        let entry = self.entries.remove(id)?;
        self.digest ^= entry_digest(id, &entry);
        self.missing.remove(id);
        self.data_centres.remove(&entry.upstream.id.key());
        let location = location_of(&entry.upstream);
        if let Some(upstreams) = self.by_location.get_mut(&location) {
            upstreams.remove(id);
            if upstreams.is_empty() {
                self.by_location.remove(&location);
            }
        }
        Some(entry)
    }
}

fn location_of(upstream: &Upstream) -> Location {
    (upstream.service.clone(), upstream.data_centre.clone())
}

fn entry_digest(id: &UpstreamId, entry: &Entry) -> u64 {
    let leaving = entry.upstream.state == UpstreamState::Leaving;
    let Position { era, offset } = entry.position;
    let history = era.number().wrapping_mul(ERA_SEED);
    let seed = history ^ offset.wrapping_mul(2).wrapping_add(u64::from(leaving));
    xxh3_64_with_seed(id.as_str().as_bytes(), seed)
}
