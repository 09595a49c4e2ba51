//! Readiness of the host and its requests in flight.

use std::collections::HashSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use crate::id::RequestId;

/// What all workers share.
#[derive(Debug)]
pub struct Gate {
    shutting_down: AtomicBool,
    forced: AtomicBool,
    in_flight: Mutex<HashSet<RequestId>>,
}

impl Gate {
    /// A gate of a host that takes requests.
    pub fn new() -> Arc<Self> {
        Arc::new(Gate {
            shutting_down: AtomicBool::new(false),
            forced: AtomicBool::new(false),
            in_flight: Mutex::default(),
        })
    }

    /// How many requests have not ended.
    pub fn in_flight(&self) -> usize {
        self.requests().len()
    }

    /// The requests that have not ended.
    pub fn in_flight_ids(&self) -> Vec<RequestId> {
        self.requests().iter().copied().collect()
    }

    /// From now on every stream ends with an explicit failure.
    pub fn force(&self) {
        self.forced.store(true, Ordering::SeqCst);
    }

    /// Whether the host is forced to stop.
    pub fn is_forced(&self) -> bool {
        self.forced.load(Ordering::Relaxed)
    }

    /// From now on the host is not ready.
    pub fn shut(&self) {
        self.shutting_down.store(true, Ordering::SeqCst);
    }

    /// Whether the host is shutting down.
    pub fn is_shutting_down(&self) -> bool {
        self.shutting_down.load(Ordering::SeqCst)
    }

    /// Counts a request until the pass is dropped.
    pub fn enter(self: &Arc<Self>, request: RequestId) -> Pass {
        self.requests().insert(request);
        Pass {
            gate: self.clone(),
            request,
        }
    }

    fn requests(&self) -> MutexGuard<'_, HashSet<RequestId>> {
        self.in_flight
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// A request in flight.
#[derive(Debug)]
pub struct Pass {
    gate: Arc<Gate>,
    request: RequestId,
}

impl Drop for Pass {
    fn drop(&mut self) {
        self.gate.requests().remove(&self.request);
    }
}
