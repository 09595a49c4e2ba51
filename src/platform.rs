//! The protocol of the platform: log streams, host list and weight store, JSON over HTTP.
//!
//! | call | meaning |
//! |---|---|
//! | `POST /v1/streams/{stream}/records` [`AppendRequest`] | append a batch; answers [`AppendAnswer`] |
//! | `GET /v1/streams/{stream}/records?from=N&limit=N&wait_ms=N` | [`ReadAnswer`]; long poll |
//! | `GET /v1/hosts` | [`HostList`], which lags |
//! | `POST /v1/weights/{model}` | a permit to load weights: 200, or 429 with `retry-after-ms` |
//! | `POST /admin/faults` | the stand-in's faults |

use serde::Deserialize;
use serde::Serialize;

use crate::id::DataCentre;
use crate::id::Offset;

/// Name of the stream that holds the table's edits and snapshots.
pub const CONFIG_STREAM: &str = "config";

/// Name of the stream that holds order leases.
pub const LEASE_STREAM: &str = "leases";

/// Prefix of the streams that hold claims; the partition's number follows.
pub const CLAIM_STREAM_PREFIX: &str = "claims-";

/// Appends records to a stream, all or none, in order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendRequest {
    /// The records' text, usually JSON.
    pub records: Vec<String>,
}

/// The answer to an append.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendAnswer {
    /// Offset of the first record appended; the others follow without a gap.
    pub first_offset: Offset,
}

/// A record of a stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Its position.
    pub offset: Offset,
    /// The platform's wall clock when it was appended, in milliseconds since the Unix epoch.
    pub appended_at_ms: u64,
    /// Its text.
    pub data: String,
}

/// The answer to a read.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadAnswer {
    /// Records from the asked offset on, or from the first one retained if that is later.
    pub records: Vec<Record>,
    /// The first offset that is still retained.
    pub first_retained: Offset,
    /// The offset that the next append will get.
    pub head: Offset,
}

/// The platform's list of hosts. It lags.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostList {
    /// Entry hosts and upstreams.
    pub hosts: Vec<ListedHost>,
}

/// A host in the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedHost {
    /// `address:port`: an entry host's peer address, or an upstream's address.
    pub address: String,
    /// What runs there.
    pub kind: HostKind,
    /// Where it is.
    pub data_centre: DataCentre,
    /// Whether it is leaving.
    pub state: HostState,
}

/// What runs on a listed host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostKind {
    /// An entry host of cedargauge.
    Entry,
    /// An upstream.
    Upstream,
}

/// A listed host's state.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostState {
    /// In service.
    Live,
    /// Leaving: it gets no new work.
    Leaving,
}
