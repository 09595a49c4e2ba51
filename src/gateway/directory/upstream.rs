//! Upstreams as they list themselves, and their changes as hosts tell them to each other.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::id::DataCentre;
use crate::id::ServiceId;
use crate::id::UpstreamId;

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
    /// The instance; a restart has another one.
    pub id: UpstreamId,
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
}

/// What a change of the directory was.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DirectoryChange {
    /// A new upstream.
    Added,
    /// It takes work again or changed otherwise.
    Changed,
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
            DirectoryChange::Changed => "changed",
            DirectoryChange::Leaving => "leaving",
            DirectoryChange::Removed => "removed",
            DirectoryChange::Missing => "missing",
        }
    }
}

/// A change as hosts tell it to each other.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Whose.
    pub id: UpstreamId,
    /// The offset of its record.
    pub offset: u64,
    /// What became of it.
    pub news: News,
}

/// What became of an upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum News {
    /// It is listed like this.
    Listed(Arc<Upstream>),
    /// It is listed as before, but leaving.
    Leaving,
    /// It was removed.
    Removed,
}
