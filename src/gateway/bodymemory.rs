//! Bounds the memory that the bodies of requests take on a host.
//!
//! A host reads a body whole before it sends the request, and holds it until the request ends. Upstreams that read
//! slowly, or callers with large bodies, would otherwise fill its memory.

use crate::gateway::memorybudget::MemoryBudget;
use crate::gateway::memorybudget::MemoryHold;
use crate::gateway::memorybudget::Place;

/// Bodies together where the settings give no memory limit.
const BYTES_MAX_DEFAULT: usize = 32 << 20;
/// Share of the memory limit that bodies may take.
const LIMIT_SHARE: f64 = 0.25;
/// A body up to this size is small.
const SMALL_BYTES_MAX: usize = 64 << 10;
/// Share of the bytes that is left to small bodies.
const SMALL_SHARE: f64 = 0.25;

/// The memory that bodies may take. Clones share it.
#[derive(Debug, Clone)]
pub(crate) struct BodyMemory {
    budget: MemoryBudget,
    max: usize,
}

/// The memory of one body, until it is dropped.
#[derive(Debug)]
pub struct BodyHold {
    memory: BodyMemory,
    hold: MemoryHold,
}

impl BodyMemory {
    /// A share of `budget`, of a process that may use `limit` bytes if that is known.
    pub(crate) fn new(limit: Option<u64>, budget: MemoryBudget) -> Self {
        let share = limit.map(|limit| (limit as f64 * LIMIT_SHARE) as usize);
        BodyMemory {
            budget,
            max: share.unwrap_or(BYTES_MAX_DEFAULT),
        }
    }

    /// Begins a body of `stated` bytes, or of unknown length. Returns nothing if it wouldn't fit now.
    pub(crate) fn begin(&self, stated: Option<usize>) -> Option<BodyHold> {
        let hold = BodyHold {
            memory: self.clone(),
            hold: self.budget.hold(Place::Bodies),
        };
        self.fits(0, stated.unwrap_or(0)).then_some(hold)
    }

    /// Memory of all bodies.
    pub(crate) fn held(&self) -> usize {
        self.budget.held(Place::Bodies)
    }

    /// Whether a body that takes `held` bytes may take `bytes`.
    fn fits(&self, held: usize, bytes: usize) -> bool {
        let others = self.held().saturating_sub(held);
        others.saturating_add(bytes) <= self.max_for(bytes)
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
    /// Has the body take `bytes` in all. Returns whether they fit.
    #[must_use]
    pub(crate) fn resize(&mut self, bytes: usize) -> bool {
        self.memory.fits(self.hold.bytes(), bytes) && self.hold.resize(bytes)
    }
}

#[cfg(test)]
mod tests;
