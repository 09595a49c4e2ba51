//! The memory that callers can make a host hold: their connections, the bodies of their requests, and answers.
//!
//! All of it is drawn from one budget, so that what one kind takes is missing for the others, and the sum stays within
//! the memory of the machine.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

/// The budget where the settings give no memory limit.
const BYTES_MAX_DEFAULT: usize = 128 << 20;
/// Share of the memory limit. The rest is for what a host needs without callers, and for what the allocator keeps.
const LIMIT_SHARE: f64 = 0.5;

/// Holders that are ended to make room for one more.
const ENDED_FOR_ROOM_MAX: usize = 8;

/// What memory is held for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Place {
    /// Buffers and state of callers' connections.
    Connections,
    /// Bodies of requests.
    Bodies,
    /// Answers that are held whole.
    Answers,
}

impl Place {
    /// All places.
    pub(crate) const ALL: [Place; 3] = [Place::Connections, Place::Bodies, Place::Answers];

    /// The place's name in metrics and log lines.
    pub(crate) const fn name(self) -> &'static str {
        match self {
            Place::Connections => "connections",
            Place::Bodies => "bodies",
            Place::Answers => "answers",
        }
    }
}

/// The budget of a process. Clones share it.
#[derive(Debug, Clone)]
pub(crate) struct MemoryBudget {
    held: Arc<[AtomicUsize; Place::ALL.len()]>,
    bytes_max: usize,
}

/// A part of the budget, until it is dropped.
#[derive(Debug)]
pub(crate) struct MemoryHold {
    budget: MemoryBudget,
    place: Place,
    bytes: usize,
}

impl MemoryBudget {
    /// The budget of a process that may use `limit` bytes, if that is known.
    pub(crate) fn of_process(limit: Option<u64>) -> Self {
        let share = limit.map(|limit| (limit as f64 * LIMIT_SHARE) as usize);
        MemoryBudget {
            held: Arc::default(),
            bytes_max: share.unwrap_or(BYTES_MAX_DEFAULT),
        }
    }

    /// A hold of nothing yet.
    pub(crate) fn hold(&self, place: Place) -> MemoryHold {
        MemoryHold {
            budget: self.clone(),
            place,
            bytes: 0,
        }
    }

    /// Bytes that are held for `place`.
    pub(crate) fn held(&self, place: Place) -> usize {
        self.held[place as usize].load(Ordering::Relaxed)
    }

    /// Whether `bytes` more fit.
    pub(crate) fn fits(&self, bytes: usize) -> bool {
        let held: usize = Place::ALL.iter().map(|place| self.held(*place)).sum();
        held.saturating_add(bytes) <= self.bytes_max
    }
}

impl MemoryHold {
    /// Holds `bytes` in all, if they fit. Less than before always fits.
    #[must_use]
    pub(crate) fn resize(&mut self, bytes: usize) -> bool {
        let more = bytes.saturating_sub(self.bytes);
        if more > 0 && !self.budget.fits(more) {
            return false;
        }
        let held = &self.budget.held[self.place as usize];
        held.fetch_add(more, Ordering::Relaxed);
        held.fetch_sub(self.bytes.saturating_sub(bytes), Ordering::Relaxed);
        self.bytes = bytes;
        true
    }

    /// Bytes held.
    pub(crate) fn bytes(&self) -> usize {
        self.bytes
    }
}

/// Tries to `take` memory. While that fails, has `end_holder` end another holder, which gives its memory back as soon
/// as it runs, and tries again. Returns nothing if there is none to end, or too many would have to be.
pub(crate) async fn take_or_make_room<T>(
    mut take: impl FnMut() -> Option<T>,
    end_holder: impl Fn() -> bool,
) -> Option<T> {
    for _ in 0..ENDED_FOR_ROOM_MAX {
        let taken = take();
        if taken.is_some() || !end_holder() {
            return taken;
        }
        tokio::task::yield_now().await;
    }
    take()
}

impl Drop for MemoryHold {
    fn drop(&mut self) {
        self.budget.held[self.place as usize].fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

#[cfg(test)]
mod tests;
