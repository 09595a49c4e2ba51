//! Settings of a gateway host.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use derive_builder::Builder;

use crate::gateway::retrybudget::RetryBudgetOptions;
use crate::gateway::rollouts::ExposureBound;
use crate::id::DataCentre;
use crate::id::HostId;
use crate::id::RegionId;

/// What a gateway host is told at its start.
#[derive(Debug, Clone, PartialEq, Builder)]
pub struct GatewaySettings {
    /// Its name.
    pub host: HostId,
    /// Where it stands.
    pub data_centre: DataCentre,
    /// Where callers connect.
    pub caller_address: SocketAddr,
    /// Where readiness is asked.
    pub ready_address: SocketAddr,
    /// Where other hosts fetch what they lack.
    pub peer_address: SocketAddr,
    /// Where datagrams of other hosts arrive; all hosts use the same port.
    pub gossip_address: SocketAddr,
    /// Where metrics are served.
    pub metrics_address: SocketAddr,
    /// Peer addresses of a few hosts; may be stale.
    pub seeds: Vec<SocketAddr>,
    /// The platform's log.
    pub log_address: SocketAddr,
    /// The shared bound on retries.
    pub retries: RetryBudgetOptions,
    /// What the platform's log tells must be known within this time: the shortest bound that depends
    /// on it.
    pub staleness_max: Duration,
    /// Time between SIGTERM and the kill that follows.
    pub grace: Duration,
    /// The region of each data centre.
    #[builder(default)]
    pub regions: HashMap<DataCentre, RegionId>,
    /// How many requests a bad version may get of all hosts together.
    #[builder(default)]
    pub exposure: ExposureBound,
}
