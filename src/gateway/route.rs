//! Routing of requests to services by host and longest path prefix.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::id::RegionId;
use crate::id::ServiceId;

/// Whether a route's requests may be repeated, and the form of their responses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once.
    Once,
    /// Runs at most once and returns a stream of events.
    Stream,
}

impl RouteKind {
    /// Returns the kind's name in logs.
    pub const fn name(self) -> &'static str {
        match self {
            RouteKind::Idempotent => "idempotent",
            RouteKind::Once => "once",
            RouteKind::Stream => "stream",
        }
    }
}

/// A service that receives a weighted share of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// Service that receives the requests.
    pub service: ServiceId,
    /// Weight relative to the route's other targets.
    pub weight: u32,
}

/// Maps requests with a host and path prefix to services, and states how to handle them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Name in the configuration.
    pub name: String,
    /// Host of the requests, in lower case and without a port.
    pub host: String,
    /// Prefix of the path; begins and ends with a slash.
    pub path_prefix: String,
    /// Whether requests may be repeated, and the form of their responses.
    pub kind: RouteKind,
    /// Time limit for the final response to a request.
    pub timeout: Duration,
    /// Latency objective: a response within this time counts as on time.
    pub objective: Duration,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Services that share the requests by weight.
    pub targets: Vec<Target>,
    /// Maximum number of upstreams that one request is sent to.
    pub attempts: u32,
    /// Whether requests are accepted without a key.
    pub public: bool,
    /// Regions in which requests may run, or `None` for no restriction.
    pub regions: Option<BTreeSet<RegionId>>,
}

impl Route {
    /// Chooses the service for a request by weight, with `draw` as the random number. Returns `None` if the
    /// weights add up to zero.
    pub fn choose_service(&self, draw: u32) -> Option<&ServiceId> {
        let weights = self.targets.iter().map(|target| u64::from(target.weight));
        let total: u64 = weights.sum();
        let mut remaining = u64::from(draw).checked_rem(total)?;
        for target in &self.targets {
            let weight = u64::from(target.weight);
            if remaining < weight {
                return Some(&target.service);
            }
            remaining -= weight;
        }
        None
    }
}

/// The routes of a configuration, grouped by host.
#[derive(Debug, Clone, Default)]
pub struct RouteTable {
    by_host: HashMap<String, Vec<Arc<Route>>>,
}

impl RouteTable {
    /// Creates a table of `routes`, whose hosts may be in any case.
    pub fn new(routes: Vec<Route>) -> Self {
        let mut by_host: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
        for route in routes {
            let host = route.host.to_ascii_lowercase();
            by_host.entry(host).or_default().push(Arc::new(route));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        RouteTable { by_host }
    }

    /// Returns the route of `host` with the longest matching prefix of `path`. `host` may include a port and
    /// is compared without case.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.split(':').next().unwrap_or(host);
        let routes = match self.by_host.get(name) {
            Some(routes) => routes,
            None => self.by_host.get(&name.to_ascii_lowercase())?,
        };
        routes
            .iter()
            .find(|route| path.starts_with(&route.path_prefix))
    }

    /// Returns the number of routes of all hosts.
    pub fn len(&self) -> usize {
        self.by_host.values().map(Vec::len).sum()
    }

    /// Returns whether the table has no routes.
    pub fn is_empty(&self) -> bool {
        self.by_host.is_empty()
    }
}

#[cfg(test)]
mod tests;
