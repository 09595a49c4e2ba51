//! Bounds the memory that the bodies of requests take on a host.
//!
//! A host reads a body whole before it sends the request, and holds it until the request ends. Upstreams that read
//! slowly, or callers with large bodies, would otherwise fill its memory.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

/// Bodies together where the settings give no memory limit.
const BYTES_MAX_DEFAULT: usize = 32 << 20;
/// Share of the memory limit that bodies may take.
const LIMIT_SHARE: f64 = 0.25;
/// A body up to this size is small.
const SMALL_BYTES_MAX: usize = 64 << 10;
/// Share of the bytes that is left to small bodies.
const SMALL_SHARE: f64 = 0.25;

/// The bytes of the bodies that a host holds. Clones share them.
#[derive(Debug, Clone)]
pub(crate) struct BodyMemory {
    held: Arc<AtomicUsize>,
    max: usize,
}

/// The bytes of one body, until it is dropped.
#[derive(Debug)]
pub struct BodyHold {
    memory: BodyMemory,
    bytes: usize,
}

impl BodyMemory {
    /// The memory of a process that may use `limit` bytes, if that is known.
    pub(crate) fn of_process(limit: Option<u64>) -> Self {
        let share = limit.map(|limit| (limit as f64 * LIMIT_SHARE) as usize);
        BodyMemory {
            held: Arc::default(),
            max: share.unwrap_or(BYTES_MAX_DEFAULT),
        }
    }

    /// Begins a body of `stated` bytes, or of unknown length. Returns nothing if it wouldn't fit now.
    pub(crate) fn begin(&self, stated: Option<usize>) -> Option<BodyHold> {
        let hold = BodyHold {
            memory: self.clone(),
            bytes: 0,
        };
        let bytes = stated.unwrap_or(0);
        let fits = self.held().saturating_add(bytes) <= self.max_for(bytes);
        fits.then_some(hold)
    }

    /// Bytes of all bodies.
    pub(crate) fn held(&self) -> usize {
        self.held.load(Ordering::Relaxed)
    }

    /// Bytes that all bodies may take for one of `bytes` to fit.
    fn max_for(&self, bytes: usize) -> usize {
        match bytes <= SMALL_BYTES_MAX {
            true => self.max,
            false => self.max - (self.max as f64 * SMALL_SHARE) as usize,
        }
    }
}

impl BodyHold {
    /// Counts `bytes` that arrived. Returns whether the body still fits.
    #[must_use]
    pub(crate) fn grow(&mut self, bytes: usize) -> bool {
        self.bytes += bytes;
        let held = self.memory.held.fetch_add(bytes, Ordering::Relaxed) + bytes;
        held <= self.memory.max_for(self.bytes)
    }
}

impl Drop for BodyHold {
    fn drop(&mut self) {
        self.memory.held.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

#[cfg(test)]
mod tests;
