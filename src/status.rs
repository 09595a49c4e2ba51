//! What an entry host tells of itself at `GET /status`.
//!
//! Each part of the host fills in its own section; what a host doesn't know it leaves empty.

use serde::Deserialize;
use serde::Serialize;

use crate::id::CustomerId;
use crate::id::DataCentre;
use crate::id::HostId;
use crate::id::Incarnation;
use crate::id::Offset;
use crate::id::ServiceId;
use crate::id::UpstreamId;

/// Customers named at most in [`HostStatus::limits`].
pub const LIMITS_TOLD_MAX: usize = 20;

/// A limit is told when its use exceeds this share of it, in percent.
pub const LIMIT_NEAR_PERCENT: f64 = 80.0;

/// An entry host's status.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HostStatus {
    /// Its name.
    pub host: HostId,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Counts its starts.
    pub incarnation: Incarnation,
    /// Why it takes no new work; empty if it is ready.
    pub not_ready: Vec<String>,
    /// The configuration in force.
    pub config: ConfigStatus,
    /// Requests being answered.
    pub streams_open: u64,
    /// Requests that wait for an upstream.
    pub requests_waiting: u64,
    /// Claims whose outcome isn't read from the log yet.
    pub claims_waiting: u64,
    /// Upstreams of the host's data centre.
    pub upstreams: Vec<UpstreamStatus>,
    /// Limits near their bound, the nearest first.
    pub limits: Vec<LimitStatus>,
    /// Other entry hosts as this one sees them.
    pub peers: Vec<PeerStatus>,
}

/// The configuration that a host has in force.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigStatus {
    /// The next offset to fold, if there is a configuration.
    pub offset: Option<Offset>,
    /// Time since the platform last confirmed that it is the newest, in milliseconds.
    pub age_ms: Option<u64>,
}

/// An upstream as a host sees it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct UpstreamStatus {
    /// The upstream.
    pub upstream: UpstreamId,
    /// The service that it serves.
    pub service: ServiceId,
    /// The entry host that owns it.
    pub owner: Option<HostId>,
    /// Its state.
    pub state: UpstreamState,
    /// Running sequences, as last reported.
    pub running: u32,
    /// Sequences in the engine's own queue, as last reported.
    pub waiting: u32,
    /// Memory in use in percent, as last reported.
    pub memory_percent: f64,
    /// Preemptions since the engine started, as last reported.
    pub preemptions_total: u64,
    /// Age of that report in milliseconds; none before the first one.
    pub report_age_ms: Option<u64>,
}

/// An upstream's state.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum UpstreamState {
    /// It takes work.
    Ready,
    /// Consecutive failures: no work for a while.
    Ejected,
    /// It is leaving: no new work.
    Leaving,
    /// It doesn't answer.
    Lost,
}

impl UpstreamState {
    /// The state as printed.
    pub const fn name(self) -> &'static str {
        match self {
            UpstreamState::Ready => "ready",
            UpstreamState::Ejected => "ejected",
            UpstreamState::Leaving => "leaving",
            UpstreamState::Lost => "lost",
        }
    }
}

/// A customer's limit that is nearly or wholly used on a host.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LimitStatus {
    /// The customer.
    pub customer: CustomerId,
    /// The limit's column in the table.
    pub limit: LimitName,
    /// The host's share of it.
    pub share: f64,
    /// What is used of the share.
    pub used: f64,
}

impl LimitStatus {
    /// Use in percent of the share; a share of zero counts as used up.
    pub fn used_percent(&self) -> f64 {
        if self.share <= 0.0 {
            return 100.0;
        }
        self.used / self.share * 100.0
    }
}

/// The limits of a customer's row.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LimitName {
    /// Requests a second.
    RequestsPerS,
    /// Generated tokens a second.
    TokensPerS,
    /// Generations at once.
    ConcurrentGenerations,
    /// Requests waiting at once.
    QueueLength,
}

impl LimitName {
    /// The limit's column in the table.
    pub const fn name(self) -> &'static str {
        match self {
            LimitName::RequestsPerS => "requests_per_s",
            LimitName::TokensPerS => "tokens_per_s",
            LimitName::ConcurrentGenerations => "concurrent_generations",
            LimitName::QueueLength => "queue_length",
        }
    }
}

/// Another entry host as seen by the one that tells.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PeerStatus {
    /// The host.
    pub host: HostId,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Its state.
    pub state: PeerState,
    /// Time since it was last heard, in milliseconds.
    pub silent_ms: u64,
    /// The configuration offset it last told.
    pub config_offset: Offset,
}

/// Another entry host's state.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PeerState {
    /// It answers.
    Live,
    /// It is silent, but not yet taken for dead.
    Suspected,
    /// It is leaving.
    Leaving,
    /// It is taken for dead.
    Dead,
}

impl PeerState {
    /// The state as printed.
    pub const fn name(self) -> &'static str {
        match self {
            PeerState::Live => "live",
            PeerState::Suspected => "suspected",
            PeerState::Leaving => "leaving",
            PeerState::Dead => "dead",
        }
    }
}
