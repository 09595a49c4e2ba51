//! Readiness of the host and its requests in flight.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

/// What all workers share.
#[derive(Debug)]
pub struct Gate {
    shutting_down: AtomicBool,
    in_flight: AtomicUsize,
}

impl Gate {
    /// A gate of a host that takes requests.
    pub fn new() -> Arc<Self> {
        Arc::new(Gate {
            shutting_down: AtomicBool::new(false),
            in_flight: AtomicUsize::new(0),
        })
    }

    /// Requests that have not ended.
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::SeqCst)
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
    pub fn enter(self: &Arc<Self>) -> Pass {
        self.in_flight.fetch_add(1, Ordering::SeqCst);
        Pass(self.clone())
    }
}

/// A request in flight.
#[derive(Debug)]
pub struct Pass(Arc<Gate>);

impl Drop for Pass {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::SeqCst);
    }
}
