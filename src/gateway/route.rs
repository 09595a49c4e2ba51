//! Routes: which service a request goes to, by host and longest path prefix.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::id::RegionId;
use crate::id::ServiceId;

/// What may be repeated of a route's requests, and how they are answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once.
    Once,
    /// Runs at most once and answers with a stream of events.
    Stream,
}

impl RouteKind {
    /// The kind's name in logs.
    pub const fn name(self) -> &'static str {
        match self {
            RouteKind::Idempotent => "idempotent",
            RouteKind::Once => "once",
            RouteKind::Stream => "stream",
        }
    }
}

/// A service that takes a share of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// The service.
    pub service: ServiceId,
    /// Its weight among the route's targets.
    pub weight: u32,
}

/// One route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Its name.
    pub name: String,
    /// The host that callers name, without a port, in lower case.
    pub host: String,
    /// The path's prefix; begins and ends with a slash.
    pub path_prefix: String,
    /// What may be repeated.
    pub kind: RouteKind,
    /// The longest time a request may be kept without its final answer.
    pub timeout: Duration,
    /// The time within which an answer is on time.
    pub objective: Duration,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// Where requests go.
    pub targets: Vec<Target>,
    /// Upstreams that one request may be sent to, at most.
    pub attempts: u32,
    /// Whether requests need no key.
    pub public: bool,
    /// The regions in which its requests may run; none where they may run anywhere.
    pub regions: Option<BTreeSet<RegionId>>,
}

impl Route {
    /// The service for a request, where `draw` is a random number.
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

/// All routes of a configuration.
#[derive(Debug, Clone, Default)]
pub struct RouteTable {
    by_host: HashMap<String, Vec<Arc<Route>>>,
}

impl RouteTable {
    /// A table of `routes`.
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

    /// The route of the longest prefix of `path` at `host`, which may name a port.
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

    /// Number of routes.
    pub fn len(&self) -> usize {
        self.by_host.values().map(Vec::len).sum()
    }

    /// Whether there is no route.
    pub fn is_empty(&self) -> bool {
        self.by_host.is_empty()
    }
}

#[cfg(test)]
mod tests;
