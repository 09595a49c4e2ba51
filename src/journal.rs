//! The process's journal: logs every event and keeps the last ones in a bounded ring.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use crate::clock::SystemClock;
use crate::event::Event;
use crate::event::EventCode;
use crate::id::AttemptId;
use crate::id::HostId;
use crate::id::Incarnation;
use crate::id::Offset;
use crate::id::RequestId;
use crate::id::UpstreamId;

/// Events kept where the settings don't say otherwise.
pub const DEFAULT_CAPACITY: usize = 4_096;

/// What an event concerns, beside its code.
#[derive(Debug, Clone, Default)]
pub struct Subject {
    request: Option<RequestId>,
    attempt: Option<AttemptId>,
    upstream: Option<UpstreamId>,
    offset: Option<Offset>,
    detail: String,
}

impl Subject {
    /// Nothing in particular.
    pub fn none() -> Self {
        Subject::default()
    }

    /// A request.
    pub fn request(request: RequestId) -> Self {
        Subject {
            request: Some(request),
            ..Subject::default()
        }
    }

    /// Adds the attempt.
    pub fn attempt(mut self, attempt: AttemptId) -> Self {
        self.attempt = Some(attempt);
        self
    }

    /// Adds the upstream.
    pub fn upstream(mut self, upstream: &UpstreamId) -> Self {
        self.upstream = Some(upstream.clone());
        self
    }

    /// Adds the log offset.
    pub fn offset(mut self, offset: Offset) -> Self {
        self.offset = Some(offset);
        self
    }

    /// Adds figures and words for a person.
    pub fn detail(mut self, detail: impl Into<String>) -> Self {
        self.detail = detail.into();
        self
    }
}

/// A handle on the process's journal; clones share it.
#[derive(Debug, Clone)]
pub struct Journal {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    host: HostId,
    incarnation: Incarnation,
    clock: SystemClock,
    capacity: usize,
    ring: Mutex<Ring>,
}

#[derive(Debug, Default)]
struct Ring {
    next_sequence: u64,
    events: VecDeque<Event>,
}

impl Journal {
    /// A journal that keeps the last `capacity` events.
    pub fn new(
        host: HostId,
        incarnation: Incarnation,
        clock: SystemClock,
        capacity: usize,
    ) -> Self {
        Journal {
            inner: Arc::new(Inner {
                host,
                incarnation,
                clock,
                capacity: capacity.max(1),
                ring: Mutex::default(),
            }),
        }
    }

    /// Logs an event and keeps it in the ring.
    pub fn record(&self, code: EventCode, subject: Subject) {
        let mut ring = self.ring();
        let event = Event {
            code,
            host: self.inner.host.clone(),
            incarnation: self.inner.incarnation,
            sequence: ring.next_sequence,
            monotonic_us: self.inner.clock.now().as_us(),
            wall_ms: self.inner.clock.wall_ms(),
            request: subject.request,
            attempt: subject.attempt,
            upstream: subject.upstream,
            offset: subject.offset,
            detail: subject.detail,
        };
        log::info!("{event}");
        ring.next_sequence += 1;
        if ring.events.len() == self.inner.capacity {
            ring.events.pop_front();
        }
        ring.events.push_back(event);
    }

    /// The events kept, from `sequence` on.
    pub fn events_from(&self, sequence: u64) -> Vec<Event> {
        let ring = self.ring();
        ring.events
            .iter()
            .filter(|event| event.sequence >= sequence)
            .cloned()
            .collect()
    }

    fn ring(&self) -> MutexGuard<'_, Ring> {
        self.inner
            .ring
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
