//! The gateway's configuration, as published by the platform's operators.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::gateway::route::RouteTable;
use crate::id::CustomerId;
use crate::id::RegionId;
use crate::id::ServiceId;

/// Properties of a service's engines.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineSpec {
    /// Maximum number of requests that run concurrently.
    pub slots: u32,
    /// Capacity of the engine's memory, in tokens.
    pub memory_tokens: u32,
    /// Whether the memory of a running generation can be copied to another engine.
    pub moves: bool,
    /// Number of tokens in each event of a stream.
    pub tokens_per_event: u32,
    /// Rate at which an engine's link copies memory to another engine of its data centre, in tokens per second;
    /// `None` if the configuration doesn't say.
    pub copy_tokens_per_s: Option<f64>,
}

/// Limits and engine properties of a service that routes refer to.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceSpec {
    /// Maximum number of connections that one upstream accepts, over all of its clients.
    pub connections_max: u32,
    /// Maximum request rate of one upstream while it is cold, over all of its clients, or `None` for no limit.
    pub cold_requests_per_s: Option<f64>,
    /// Properties of the engines, or `None` if the service doesn't run generations.
    pub engine: Option<EngineSpec>,
}

/// Limits for requests and connections of clients.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum total size of a request's headers, in bytes.
    pub header_bytes_max: usize,
    /// Maximum size of a request's body, in bytes.
    pub body_bytes_max: usize,
    /// Maximum time from the first byte of a request's head to its end.
    pub header_timeout: Duration,
    /// Maximum time between requests on a connection.
    pub idle_timeout: Duration,
}

/// The customer that a key belongs to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Customer {
    /// The customer's name, which is passed to upstreams.
    pub name: CustomerId,
    /// Priority, which overrides the route's.
    pub priority: Option<u8>,
    /// Weight of its share of scarce room beside other customers of the same rank; at least 1.
    pub weight: u32,
    /// Regions in which the customer's requests may run, or `None` for no restriction.
    pub regions: Option<BTreeSet<RegionId>>,
}

/// One version of the configuration. Immutable once it is in force.
#[derive(Debug, Clone)]
pub struct Configuration {
    /// Version, which increases with each configuration but may skip numbers.
    pub version: u64,
    /// Routes by host and path prefix.
    pub routes: RouteTable,
    /// Services by name.
    pub services: HashMap<ServiceId, ServiceSpec>,
    /// Size limits for requests of clients.
    pub limits: CallerLimits,
    /// Customers by key, or `None` if keys aren't used.
    pub customers: Option<HashMap<String, Arc<Customer>>>,
}

impl Configuration {
    /// Returns the properties of a service's engines, or `None` if it doesn't run generations.
    pub fn engine(&self, service: &ServiceId) -> Option<&EngineSpec> {
        self.services.get(service)?.engine.as_ref()
    }

    /// Returns the maximum request rate of one cold upstream of a service, or `None` if there is no limit.
    pub fn cold_requests_per_s(&self, service: &ServiceId) -> Option<f64> {
        self.services.get(service)?.cold_requests_per_s
    }
}

/// Timeout of heads where the configuration sets none.
pub const HEADER_TIMEOUT_DEFAULT: Duration = Duration::from_secs(60);

/// Timeout of idle connections where the configuration sets none.
pub const IDLE_TIMEOUT_DEFAULT: Duration = Duration::from_secs(120);

/// Timeout of a route that sets none: long enough for any call of a plain service.
pub const ROUTE_TIMEOUT_DEFAULT: Duration = Duration::from_secs(30);
