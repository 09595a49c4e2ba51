//! Settings of a gateway host.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use derive_builder::Builder;

use crate::gateway::callerconnections::CALLER_CONNECTIONS_MAX;
use crate::gateway::callerconnections::INTERNAL_CONNECTIONS_MAX;
use crate::gateway::retrybudget::RetryBudgetOptions;
use crate::gateway::rollouts::ExposureBound;
use crate::id::DataCentre;
use crate::id::HostId;
use crate::id::RegionId;

/// Decisions under load that a deployment can switch on.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LoadFeatures {
    /// Hosts measure how fast each upstream works, tell each other, and place requests by it.
    pub upstream_speeds: bool,
    /// Generations that wait for engine memory wait in one queue per data centre instead of one per host.
    pub shared_queue: bool,
    /// Runs are moved off a leaving engine in the order in which most of them can still be saved.
    pub ordered_moves: bool,
}

/// Settings that a gateway host gets at start.
#[derive(Debug, Clone, PartialEq, Builder)]
pub struct GatewaySettings {
    /// Name of the host.
    pub host: HostId,
    /// Data centre in which the host runs.
    pub data_centre: DataCentre,
    /// Address on which clients connect.
    pub caller_address: SocketAddr,
    /// Address of the readiness endpoint.
    pub ready_address: SocketAddr,
    /// Address from which other hosts fetch the configuration and the upstreams they lack.
    pub peer_address: SocketAddr,
    /// Address for datagrams from other hosts, and over TCP for connections to upstreams that this host carries for
    /// them. All hosts use the same port.
    pub gossip_address: SocketAddr,
    /// Address of the metrics endpoint.
    pub metrics_address: SocketAddr,
    /// Peer addresses of a few other hosts. They may be stale.
    pub seeds: Vec<SocketAddr>,
    /// Address of the platform's log.
    pub log_address: SocketAddr,
    /// Options of the retry budget that the hosts share.
    pub retries: RetryBudgetOptions,
    /// Maximum time until the host knows a new record of the platform's log: the shortest of the bounds that
    /// depend on the log.
    pub staleness_max: Duration,
    /// Time between SIGTERM and the SIGKILL that follows.
    pub grace: Duration,
    /// Region of each data centre.
    #[builder(default)]
    pub regions: HashMap<DataCentre, RegionId>,
    /// Limit on the requests that a bad version may receive from all hosts together.
    #[builder(default)]
    pub exposure: ExposureBound,
    /// Connections that callers may hold open at this host.
    #[builder(default = "CALLER_CONNECTIONS_MAX")]
    pub caller_connections_max: usize,
    /// Connections that other hosts, the load balancer and readers of metrics may hold open, at each of these addresses.
    #[builder(default = "INTERNAL_CONNECTIONS_MAX")]
    pub internal_connections_max: usize,
    /// Descriptors that the process may open, if the machine limits them. Connections take a share of them at most.
    #[builder(default)]
    pub descriptors_max: Option<usize>,
    /// Memory in bytes that the process may use, if the machine limits it.
    #[builder(default)]
    pub memory_bytes_max: Option<u64>,
    /// Decisions under load that are switched on.
    #[builder(default)]
    pub features: LoadFeatures,
}
