//! Upstreams as they list themselves, and their changes as hosts tell them to each other.

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
    /// It does.
    Ready,
    /// It is leaving and ends soon.
    Leaving,
}

/// One upstream as it lists itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Upstream {
    /// The instance; a restart is another one.
    pub id: InstanceId,
    /// What it serves.
    pub service: ServiceId,
    /// Where it listens. Reused by other instances, also of other services.
    pub address: SocketAddr,
    /// Where it stands.
    pub data_centre: DataCentre,
    /// Whether it takes new work.
    pub state: UpstreamState,
    /// Requests that run at once.
    pub slots: u32,
    /// How long it stays cold from when it listed itself like this, in milliseconds; 0 if it is warm.
    pub cold_left_ms: u32,
    /// The version of its software.
    pub version: VersionId,
}

impl Upstream {
    /// Whether two entries say the same but for how long the upstream stays cold, which passes by itself.
    pub(super) fn eq_ignoring_cold(&self, other: &Upstream) -> bool {
        let cold_left_ms = self.cold_left_ms;
        *self
            == Upstream {
                cold_left_ms,
                ..other.clone()
            }
    }
}

/// Has upstreams share the text of names that many of them have.
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

/// What a change of the directory was.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DirectoryChange {
    /// A new upstream.
    Added,
    /// A later instance of an upstream that was listed.
    Restarted,
    /// It takes work again or changed otherwise.
    Changed,
    /// It has become cold.
    Cold,
    /// It takes no new work.
    Leaving,
    /// It was removed.
    Removed,
    /// It is missing after an outage of the log and counts as gone when the grace is over.
    Missing,
}

impl DirectoryChange {
    /// The change's name in logs.
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

/// A change that was taken into the directory.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AppliedChange {
    /// The instance that it is about.
    pub id: InstanceId,
    /// What became of it.
    pub change: DirectoryChange,
    /// The instance that is no longer listed by this change: the one removed, or the one before.
    pub ended: Option<InstanceId>,
}

/// A change as hosts tell it to each other.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The position of its record.
    pub position: Position,
    /// What became of an upstream.
    #[serde(rename = "news")]
    pub kind: ChangeKind,
}

/// What became of an upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ChangeKind {
    /// It is listed like this.
    Listed(Arc<Upstream>),
    /// It is listed as before, but leaving.
    Leaving(InstanceId),
    /// It was removed.
    Removed(InstanceId),
}

impl ChangeKind {
    /// Whose.
    pub fn id(&self) -> &InstanceId {
        match self {
            ChangeKind::Listed(upstream) => &upstream.id,
            ChangeKind::Leaving(id) | ChangeKind::Removed(id) => id,
        }
    }
}
