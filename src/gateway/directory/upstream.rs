//! Upstreams as they list themselves, and the directory changes that hosts announce to each other.

use std::collections::HashSet;
use std::hash::Hash;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::gateway::instance::InstanceId;
use crate::gateway::position::Position;
use crate::id::DataCentre;
use crate::id::ServiceId;
use crate::id::VersionId;

/// Whether an upstream takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum UpstreamState {
    /// Takes new work.
    Ready,
    /// Takes no new work and will stop soon.
    Leaving,
}

/// An upstream as it lists itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Upstream {
    /// The instance. A restarted upstream is a new instance.
    pub id: InstanceId,
    /// The service that it serves.
    pub service: ServiceId,
    /// The address that it listens on. Other instances may reuse it later, including those of other services.
    pub address: SocketAddr,
    /// The data centre that it runs in.
    pub data_centre: DataCentre,
    /// Whether it takes new work.
    pub state: UpstreamState,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Remaining cold time in milliseconds when this entry was listed; 0 if the upstream is warm.
    pub cold_left_ms: u32,
    /// The software version that it runs.
    pub version: VersionId,
    /// Number of the entry among those that the instance has written; later ones have higher numbers. 0 if the
    /// platform states none.
    pub sequence: u64,
}

impl Upstream {
    /// Compares all fields except those that change without a change of the upstream: the remaining cold time and the
    /// sequence number.
    pub(super) fn eq_ignoring_cold(&self, other: &Upstream) -> bool {
        let cold_left_ms = self.cold_left_ms;
        let sequence = self.sequence;
        *self
            == Upstream {
                cold_left_ms,
                sequence,
                ..other.clone()
            }
    }
}

/// Makes upstreams with equal service, data centre or version names share one copy of the text.
pub(crate) fn intern_names(list: &mut [(Upstream, Position)]) {
    let mut services: HashSet<ServiceId> = HashSet::new();
    let mut data_centres: HashSet<DataCentre> = HashSet::new();
    let mut versions: HashSet<VersionId> = HashSet::new();
    for (upstream, _) in list {
        upstream.service = intern(&mut services, &upstream.service);
        upstream.data_centre = intern(&mut data_centres, &upstream.data_centre);
        upstream.version = intern(&mut versions, &upstream.version);
    }
}

fn intern<T: Clone + Eq + Hash>(known: &mut HashSet<T>, name: &T) -> T {
    match known.get(name) {
        Some(name) => name.clone(),
        None => {
            known.insert(name.clone());
            name.clone()
        }
    }
}

/// The kind of an applied change, as written to the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DirectoryChange {
    /// A new upstream is listed.
    Added,
    /// A later instance replaces the listed one.
    Restarted,
    /// The upstream takes work again, is no longer missing, or other fields of its entry changed.
    Changed,
    /// The upstream has become cold.
    Cold,
    /// The upstream takes no new work.
    Leaving,
    /// The upstream was removed.
    Removed,
    /// The upstream is missing from the log after an outage and is removed when the grace period ends.
    Missing,
}

impl DirectoryChange {
    /// The name of the change in log entries.
    pub const fn name(self) -> &'static str {
        match self {
            DirectoryChange::Added => "added",
            DirectoryChange::Restarted => "restarted",
            DirectoryChange::Changed => "changed",
            DirectoryChange::Cold => "cold",
            DirectoryChange::Leaving => "leaving",
            DirectoryChange::Removed => "removed",
            DirectoryChange::Missing => "missing",
        }
    }
}

/// A change that has been applied to the directory.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AppliedChange {
    /// The instance that changed.
    pub id: InstanceId,
    /// The kind of change.
    pub change: DirectoryChange,
    /// The instance that this change ended: the one removed, or the one replaced by a later instance.
    pub ended: Option<InstanceId>,
}

/// A directory change as hosts announce it to each other.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The position of the record that made the change.
    pub position: Position,
    /// The upstream concerned and how it changed.
    #[serde(rename = "news")]
    pub kind: ChangeKind,
}

/// How an upstream changed, as announced to peers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ChangeKind {
    /// The upstream is listed with this entry.
    Listed(Arc<Upstream>),
    /// The instance is listed as before, except that it is leaving, as it stated with this sequence number.
    Leaving(InstanceId, u64),
    /// The instance was removed.
    Removed(InstanceId),
}

impl ChangeKind {
    /// The instance that changed.
    pub fn id(&self) -> &InstanceId {
        match self {
            ChangeKind::Listed(upstream) => &upstream.id,
            ChangeKind::Leaving(id, _) | ChangeKind::Removed(id) => id,
        }
    }
}
