//! Bounds the connections that callers hold open at this host.
//!
//! The load balancer may hand most new connections of a region to one host, and callers keep them open. A host whose
//! descriptors are used up can't connect to upstreams either, and takes that for a fault of theirs.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use crate::gate::Pass;

/// Default of [`crate::gateway::settings::GatewaySettings::caller_connections_max`]: three quarters of the 4,100
/// descriptors of a host. The others are for upstreams, the log and other hosts.
pub const CALLER_CONNECTIONS_MAX: usize = 3_000;
/// Share of the bound from which connections are closed after their next answer.
const CROWDED_SHARE: f64 = 0.5;

/// The open connections of callers. Clones share the count.
#[derive(Debug, Clone)]
pub(crate) struct CallerConnections {
    open: Arc<AtomicUsize>,
    max: usize,
}

/// A connection that is counted until it is dropped.
#[derive(Debug)]
pub(crate) struct CallerConnection {
    open: Arc<AtomicUsize>,
    /// The request whose answer is the connection's last.
    last: RefCell<Option<Rc<Pass>>>,
}

impl CallerConnections {
    /// No connection is open yet; at most `max` may be.
    pub(crate) fn new(max: usize) -> Self {
        CallerConnections {
            open: Arc::default(),
            max,
        }
    }

    /// Counts a new connection; `None` if it would exceed the bound.
    pub(crate) fn admit(&self) -> Option<CallerConnection> {
        let before = self.open.fetch_add(1, Ordering::Relaxed);
        let connection = CallerConnection {
            open: self.open.clone(),
            last: RefCell::default(),
        };
        (before < self.max).then_some(connection)
    }

    /// Whether connections are to be closed after their next answer, which makes room for others.
    pub(crate) fn is_crowded(&self) -> bool {
        let crowded = (self.max as f64 * CROWDED_SHARE) as usize;
        self.open.load(Ordering::Relaxed) > crowded
    }
}

impl CallerConnection {
    /// Counts the request of the connection's last answer as running until the connection ends, which is after the
    /// answer has been written.
    pub(crate) fn hold(&self, pass: Rc<Pass>) {
        self.last.replace(Some(pass));
    }
}

impl Drop for CallerConnection {
    fn drop(&mut self) {
        self.open.fetch_sub(1, Ordering::Relaxed);
    }
}

#[cfg(test)]
mod tests;
