//! A whole configuration, as the platform's operators publish it.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::gateway::route::RouteTable;
use crate::id::CustomerId;
use crate::id::RegionId;
use crate::id::ServiceId;

/// What is known of the engines of a service.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineSpec {
    /// Requests that run at once.
    pub slots: u32,
    /// Tokens that the engine's memory holds.
    pub memory_tokens: u32,
    /// Whether a running generation's memory can be copied to another engine.
    pub moves: bool,
    /// Tokens of one event of a stream.
    pub tokens_per_event: u32,
}

/// A service that routes name.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceSpec {
    /// Connections that one upstream accepts from all callers together.
    pub connections_max: u32,
    /// Requests that one upstream bears in a second while it is cold, of all callers together; none where
    /// there is no bound.
    pub cold_requests_per_s: Option<f64>,
    /// Present where the service runs generations.
    pub engine: Option<EngineSpec>,
}

/// Bounds of what callers may send.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerLimits {
    /// All headers of a request together, in bytes.
    pub header_bytes_max: usize,
    /// A request's body, in bytes.
    pub body_bytes_max: usize,
}

/// The customer that a key belongs to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Customer {
    /// Its name.
    pub name: CustomerId,
    /// Its rank, which goes before the route's.
    pub priority: Option<u8>,
    /// The regions in which its requests may run; none where they may run anywhere.
    pub regions: Option<BTreeSet<RegionId>>,
}

/// One version of the configuration. Never changed once it is in force.
#[derive(Debug, Clone)]
pub struct Configuration {
    /// Rises with each configuration, in uneven steps.
    pub version: u64,
    /// The routes.
    pub routes: RouteTable,
    /// The services.
    pub services: HashMap<ServiceId, ServiceSpec>,
    /// Bounds of what callers may send.
    pub limits: CallerLimits,
    /// Customers by key; none where keys are not used.
    pub customers: Option<HashMap<String, Arc<Customer>>>,
}

impl Configuration {
    /// The engines of a service, if it runs generations.
    pub fn engine(&self, service: &ServiceId) -> Option<&EngineSpec> {
        self.services.get(service)?.engine.as_ref()
    }

    /// Requests that one upstream of a service bears in a second while it is cold, if there is a bound.
    pub fn cold_requests_per_s(&self, service: &ServiceId) -> Option<f64> {
        self.services.get(service)?.cold_requests_per_s
    }
}

/// Default timeout of a route that names none. Long enough for any call of a plain service.
pub const ROUTE_TIMEOUT_DEFAULT: Duration = Duration::from_secs(30);
