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
    in_flight: Mutex<InFlight>,
}

/// The requests that have not ended, and whether more may begin.
#[derive(Debug, Default)]
struct InFlight {
    requests: HashSet<RequestId>,
    is_closed: bool,
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
        self.lock().requests.len()
    }

    /// The requests that have not ended.
    pub fn in_flight_ids(&self) -> Vec<RequestId> {
        self.lock().requests.iter().copied().collect()
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
        self.lock().requests.insert(request);
        Pass {
            gate: self.clone(),
            request,
        }
    }

    /// Counts a request until the pass is dropped; `None` once the gate is closed.
    pub fn enter_if_open(self: &Arc<Self>, request: RequestId) -> Option<Pass> {
        let mut in_flight = self.lock();
        if in_flight.is_closed {
            return None;
        }
        in_flight.requests.insert(request);
        Some(Pass {
            gate: self.clone(),
            request,
        })
    }

    /// From now on no request begins.
    pub fn close(&self) {
        self.lock().is_closed = true;
    }

    /// Closes the gate if no request is in flight; whether it is closed. No request begins between the look and the
    /// closing.
    pub fn close_if_idle(&self) -> bool {
        let mut in_flight = self.lock();
        in_flight.is_closed |= in_flight.requests.is_empty();
        in_flight.is_closed
    }

    fn lock(&self) -> MutexGuard<'_, InFlight> {
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
        self.gate.lock().requests.remove(&self.request);
    }
}

#[cfg(test)]
mod tests;
