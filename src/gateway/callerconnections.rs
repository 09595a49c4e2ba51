//! Bounds the connections that clients hold open at one address of this host, and what each makes the host hold.
//!
//! The load balancer may hand most new connections of a region to one host, and callers keep them open. A host whose
//! descriptors are used up can't connect to upstreams either, and takes that for a fault of theirs. When connections or
//! memory run short, the connection that has gone longest without completing a request is ended for a newcomer; one
//! whose request has been read whole is not.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::task::Waker;
use std::time::Duration;

use tokio::time::Instant;

use crate::gate::Pass;
use crate::gateway::configuration::CallerLimits;
use crate::gateway::configuration::HEADER_TIMEOUT_DEFAULT;
use crate::gateway::configuration::IDLE_TIMEOUT_DEFAULT;
use crate::gateway::memorybudget::MemoryBudget;
use crate::gateway::memorybudget::MemoryHold;
use crate::gateway::memorybudget::Place;

/// Default of [`crate::gateway::settings::GatewaySettings::caller_connections_max`].
pub const CALLER_CONNECTIONS_MAX: usize = 3_000;
/// Default of [`crate::gateway::settings::GatewaySettings::internal_connections_max`].
pub const INTERNAL_CONNECTIONS_MAX: usize = 200;
/// Share of the descriptors that the connections at the callers' address may take. The others are for upstreams, the
/// log and other hosts.
pub(crate) const CALLER_DESCRIPTOR_SHARE: f64 = 0.7;
/// Share of the descriptors that the connections at another address may take.
pub(crate) const INTERNAL_DESCRIPTOR_SHARE: f64 = 0.04;
/// Share of the bound from which connections are closed after their next answer.
const CROWDED_SHARE: f64 = 0.5;
/// A connection younger than this in its stage is not ended for a newcomer: its bytes may be on their way.
const PATIENCE: Duration = Duration::from_secs(1);
/// Time for which an answer waits for a client that reads nothing before it counts as unread.
const UNREAD_TIME: Duration = Duration::from_secs(2);
/// Time after a refusal in which the rest of the request's body is read and dropped, so that the client gets to read
/// the refusal.
const DRAIN_TIME: Duration = Duration::from_secs(2);

/// Memory of an idle connection: the HTTP library's first buffers, its state and the task.
const IDLE_BYTES: usize = 20 << 10;
/// Memory of a connection whose request is being read: the head so far, decoded chunks, unread bytes of the socket.
const READING_BYTES: usize = IDLE_BYTES + (64 << 10);
/// Copies of a request's head while it runs: as read, as converted, and as sent.
const HEAD_COPIES: usize = 3;
/// Bytes that are read ahead while a request runs. More wait in the socket, also the end of the connection.
const AHEAD_BYTES_MAX: usize = 8 << 10;
/// Bytes of the request line, which the limit on headers doesn't include.
const REQUEST_LINE_BYTES_MAX: usize = 8 << 10;

/// Limits for addresses that no configuration applies to, and for callers until there is one.
const LIMITS_DEFAULT: CallerLimits = CallerLimits {
    header_bytes_max: 64 << 10,
    body_bytes_max: usize::MAX,
    header_timeout: HEADER_TIMEOUT_DEFAULT,
    idle_timeout: IDLE_TIMEOUT_DEFAULT,
};

/// How far a connection's request has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    /// No byte of a request has arrived.
    Idle,
    /// A head has begun.
    Head,
    /// The body is being read.
    Body,
    /// The request was read whole.
    Running,
    /// A whole answer is being sent. The client has taken nothing since that time.
    Answering { blocked_since: Option<Instant> },
    /// The request was refused before its body was read whole.
    Draining,
}

impl Stage {
    /// Whether the request may still be given up without breaking a promise.
    fn is_reading(self) -> bool {
        matches!(self, Stage::Head | Stage::Body)
    }

    fn is_waiting(self) -> bool {
        matches!(self, Stage::Idle | Stage::Draining)
    }
}

/// Why a connection was ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum EndReason {
    /// There were too many connections.
    Crowded,
    /// Memory ran short.
    Memory,
    /// The head was too long.
    LongHead,
    /// The head took too long.
    SlowHead,
    /// The body was not there before the request's deadline.
    SlowBody,
    /// No request came for too long.
    Idle,
    /// The client didn't read its answer while others needed the memory.
    Unread,
}

impl EndReason {
    /// The reason's name in metrics and log lines.
    pub(crate) const fn name(self) -> &'static str {
        match self {
            EndReason::Crowded => "crowded",
            EndReason::Memory => "memory",
            EndReason::LongHead => "long_head",
            EndReason::SlowHead => "slow_head",
            EndReason::SlowBody => "slow_body",
            EndReason::Idle => "idle",
            EndReason::Unread => "unread_answer",
        }
    }
}

/// What a connection may read now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ReadAllowance {
    /// So many bytes.
    Bytes(usize),
    /// Nothing for now; the waker is called when that changes.
    Wait,
    /// Nothing any more.
    Ended,
}

/// One open connection.
#[derive(Debug)]
struct Entry {
    stage: Stage,
    /// Since when it is in its stage.
    since: Instant,
    has_served: bool,
    /// Whether the request has a body that was not read whole.
    has_unread_body: bool,
    /// Bytes that were read and belong to no request that has begun.
    ahead_bytes: usize,
    hold: MemoryHold,
    /// Why and when it was ended.
    ended: Option<(EndReason, Instant)>,
    /// Wakes the connection's task.
    waker: Option<Waker>,
}

impl Entry {
    fn enter(&mut self, now: Instant, stage: Stage) {
        self.stage = stage;
        self.since = now;
    }

    fn wake(&self) {
        if let Some(waker) = &self.waker {
            waker.wake_by_ref();
        }
    }
}

/// The open connections of an address.
#[derive(Debug)]
struct Registry {
    open: HashMap<u64, Entry>,
    /// Open connections that weren't ended.
    count: usize,
    next_id: u64,
    connections_max: usize,
    limits: CallerLimits,
    budget: MemoryBudget,
    /// Connections that were ended since they were last taken for the log.
    ended: BTreeMap<EndReason, u64>,
}

/// The open connections of an address. Clones share them.
#[derive(Debug, Clone)]
pub(crate) struct CallerConnections(Arc<Mutex<Registry>>);

/// A connection that is counted until it is dropped.
#[derive(Debug)]
pub(crate) struct CallerConnection {
    connections: CallerConnections,
    id: u64,
    /// The request whose answer is the connection's last.
    last: RefCell<Option<Rc<Pass>>>,
}

impl CallerConnections {
    /// No connection is open yet; at most `connections_max` may be.
    pub(crate) fn new(connections_max: usize, budget: MemoryBudget) -> Self {
        CallerConnections(Arc::new(Mutex::new(Registry {
            open: HashMap::new(),
            count: 0,
            next_id: 0,
            connections_max,
            limits: LIMITS_DEFAULT,
            budget,
            ended: BTreeMap::new(),
        })))
    }

    /// The bound on the connections of an address that may take a share of `descriptors`, if those are limited.
    pub(crate) fn bound(connections_max: usize, descriptors: Option<usize>, share: f64) -> usize {
        let shared = descriptors.map(|descriptors| (descriptors as f64 * share) as usize);
        shared.map_or(connections_max, |shared| shared.min(connections_max))
    }

    /// Counts a new connection; `None` if there is no room and none can be made.
    pub(crate) fn admit(&self, now: Instant) -> Option<CallerConnection> {
        let mut registry = self.lock();
        let hold = registry.admit(now)?;
        let id = registry.next_id;
        registry.next_id += 1;
        let entry = Entry {
            stage: Stage::Idle,
            since: now,
            has_served: false,
            has_unread_body: false,
            ahead_bytes: 0,
            hold,
            ended: None,
            waker: None,
        };
        registry.open.insert(id, entry);
        registry.count += 1;
        Some(CallerConnection {
            connections: self.clone(),
            id,
            last: RefCell::default(),
        })
    }

    /// Whether connections are to be closed after their next answer, which makes room for others.
    pub(crate) fn is_crowded(&self) -> bool {
        let registry = self.lock();
        let crowded = (registry.connections_max as f64 * CROWDED_SHARE) as usize;
        registry.count > crowded
    }

    /// The bound on the connections.
    pub(crate) fn max(&self) -> usize {
        self.lock().connections_max
    }

    /// Connections that are open.
    pub(crate) fn count(&self) -> usize {
        self.lock().count
    }

    /// Puts other limits in force.
    pub(crate) fn set_limits(&self, limits: CallerLimits) {
        self.lock().limits = limits;
    }

    /// Ends connections that have exceeded a timeout. `late` is the time for which the host itself did not run.
    pub(crate) fn end_overdue(&self, now: Instant, late: Duration) {
        self.lock().end_overdue(now, late);
    }

    /// Ends a connection whose client doesn't read its answer. Returns whether there was one.
    pub(crate) fn end_unread(&self, now: Instant) -> bool {
        let mut registry = self.lock();
        let unread = registry.longest_unread(now);
        if let Some(id) = unread {
            registry.end(id, now, EndReason::Unread);
        }
        unread.is_some()
    }

    /// How many connections were ended for each reason since the last call.
    pub(crate) fn take_ended(&self) -> BTreeMap<EndReason, u64> {
        std::mem::take(&mut self.lock().ended)
    }

    fn lock(&self) -> MutexGuard<'_, Registry> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Registry {
    /// The memory of a new connection, if there is room or room can be made.
    fn admit(&mut self, now: Instant) -> Option<MemoryHold> {
        if self.count >= self.connections_max {
            let victim = self.longest(now, Stage::is_waiting);
            let victim = victim.or_else(|| self.longest(now, Stage::is_reading));
            match victim {
                Some(victim) => self.end(victim, now, EndReason::Crowded),
                None => self.end(self.longest_unread(now)?, now, EndReason::Unread),
            }
        }
        let mut hold = self.budget.hold(Place::Connections);
        while !hold.resize(IDLE_BYTES) {
            self.end(self.longest_holding(now)?, now, EndReason::Memory);
        }
        Some(hold)
    }

    /// The connection that has been longest in a stage that `may_end`: first of those without any answer so far.
    fn longest(&self, now: Instant, may_end: impl Fn(Stage) -> bool) -> Option<u64> {
        let open = self.open.iter();
        let ending = open.filter(|(_, entry)| {
            let time = now.saturating_duration_since(entry.since);
            entry.ended.is_none() && time >= PATIENCE && may_end(entry.stage)
        });
        let first = ending.min_by_key(|(_, entry)| (entry.has_served, entry.since));
        first.map(|(id, _)| *id)
    }

    /// The connection that gives its memory to others first: one that is being read holds the most.
    fn longest_holding(&self, now: Instant) -> Option<u64> {
        let reading = self.longest(now, Stage::is_reading);
        reading.or_else(|| self.longest(now, Stage::is_waiting))
    }

    fn end(&mut self, id: u64, now: Instant, reason: EndReason) {
        if let Some(entry) = self.open.get_mut(&id)
            && entry.ended.is_none()
        {
            entry.ended = Some((reason, now));
            // A body's handler gives its memory back as soon as it runs.
            let _always_fits = entry.hold.resize(0);
            entry.wake();
            self.count -= 1;
            *self.ended.entry(reason).or_default() += 1;
        }
    }

    fn end_overdue(&mut self, now: Instant, late: Duration) {
        for entry in self.open.values_mut() {
            entry.since = (entry.since + late).min(now);
            if entry.ended.is_some() {
                entry.wake();
            }
        }
        let limits = self.limits;
        let overdue = self.open.iter().filter_map(|(id, entry)| {
            let time = now.saturating_duration_since(entry.since);
            let reason = match entry.stage {
                Stage::Head => (time > limits.header_timeout).then_some(EndReason::SlowHead),
                Stage::Idle | Stage::Draining => {
                    (time > limits.idle_timeout).then_some(EndReason::Idle)
                }
                Stage::Body | Stage::Running | Stage::Answering { .. } => None,
            };
            reason.map(|reason| (*id, reason))
        });
        for (id, reason) in overdue.collect::<Vec<_>>() {
            self.end(id, now, reason);
        }
    }

    /// The connection whose client has taken nothing of its answer for longest.
    fn longest_unread(&self, now: Instant) -> Option<u64> {
        let unread = self
            .open
            .iter()
            .filter_map(|(id, entry)| match entry.stage {
                Stage::Answering {
                    blocked_since: Some(since),
                } if entry.ended.is_none() => Some((since, *id)),
                _ => None,
            });
        let first = unread
            .min()
            .filter(|(since, _)| now.saturating_duration_since(*since) >= UNREAD_TIME);
        first.map(|(_, id)| id)
    }

    /// Holds the memory of a request that is being read; ends others if it doesn't fit.
    fn hold_reading(&mut self, id: u64, now: Instant) -> bool {
        loop {
            let Some(entry) = self.open.get_mut(&id) else {
                return false;
            };
            if entry.hold.resize(READING_BYTES) {
                return true;
            }
            match self.longest_holding(now) {
                Some(victim) if victim != id => self.end(victim, now, EndReason::Memory),
                Some(_) | None => return false,
            }
        }
    }

    fn read_allowance(&mut self, id: u64, now: Instant, waker: &Waker) -> ReadAllowance {
        let head_bytes_max = self.limits.header_bytes_max + REQUEST_LINE_BYTES_MAX;
        let Some(entry) = self.open.get_mut(&id) else {
            return ReadAllowance::Ended;
        };
        if entry.waker.as_ref().is_none_or(|own| !own.will_wake(waker)) {
            entry.waker = Some(waker.clone());
        }
        if entry.ended.is_some() {
            let time = now.saturating_duration_since(entry.since);
            return match entry.stage {
                // The handler of a body refuses it first.
                Stage::Body => ReadAllowance::Wait,
                Stage::Draining if time <= DRAIN_TIME => ReadAllowance::Bytes(usize::MAX),
                _ => ReadAllowance::Ended,
            };
        }
        let ahead_bytes = entry.ahead_bytes;
        match entry.stage {
            Stage::Idle => ReadAllowance::Bytes(head_bytes_max),
            Stage::Head if ahead_bytes >= head_bytes_max => {
                self.end(id, now, EndReason::LongHead);
                ReadAllowance::Ended
            }
            Stage::Head => ReadAllowance::Bytes(head_bytes_max - ahead_bytes),
            Stage::Running | Stage::Answering { .. } if ahead_bytes >= AHEAD_BYTES_MAX => {
                ReadAllowance::Wait
            }
            Stage::Running | Stage::Answering { .. } => {
                ReadAllowance::Bytes(AHEAD_BYTES_MAX - ahead_bytes)
            }
            Stage::Draining if now.saturating_duration_since(entry.since) > DRAIN_TIME => {
                entry.enter(now, Stage::Idle);
                ReadAllowance::Bytes(head_bytes_max)
            }
            Stage::Body | Stage::Draining => ReadAllowance::Bytes(usize::MAX),
        }
    }

    fn record_read(&mut self, id: u64, now: Instant, bytes: usize) {
        let Some(entry) = self.open.get_mut(&id) else {
            return;
        };
        match entry.stage {
            Stage::Idle => {
                entry.enter(now, Stage::Head);
                entry.ahead_bytes = bytes;
                if !self.hold_reading(id, now) {
                    self.end(id, now, EndReason::Memory);
                }
            }
            Stage::Head | Stage::Running | Stage::Answering { .. } => entry.ahead_bytes += bytes,
            Stage::Body | Stage::Draining => {}
        }
    }
}

impl CallerConnection {
    /// Counts the request of the connection's last answer as running until the connection ends, which is after the
    /// answer has been written.
    pub(crate) fn hold(&self, pass: Rc<Pass>) {
        self.last.replace(Some(pass));
    }

    /// What may be read now. `waker` is called when that changes.
    pub(crate) fn read_allowance(&self, now: Instant, waker: &Waker) -> ReadAllowance {
        self.connections.lock().read_allowance(self.id, now, waker)
    }

    /// Counts `bytes` that were read.
    pub(crate) fn record_read(&self, now: Instant, bytes: usize) {
        self.connections.lock().record_read(self.id, now, bytes);
    }

    /// Records whether the client takes what is written.
    pub(crate) fn record_write(&self, now: Instant, is_blocked: bool) {
        self.with(|entry| {
            if let Stage::Answering { blocked_since } = &mut entry.stage {
                *blocked_since = is_blocked.then(|| blocked_since.unwrap_or(now));
            }
        });
    }

    /// Whether no more is written: the client takes nothing of an answer and the connection was ended.
    pub(crate) fn is_write_ended(&self, now: Instant) -> bool {
        let is_unread = |entry: &mut Entry| match entry.ended {
            None => false,
            Some((EndReason::Unread, _)) => true,
            // The refusal of a body is still written.
            Some((_, at)) => now.saturating_duration_since(at) > DRAIN_TIME + UNREAD_TIME,
        };
        self.with(is_unread).unwrap_or(true)
    }

    /// A request with a head of so many bytes begins.
    pub(crate) fn begin_request(&self, now: Instant, head_bytes: usize, has_body: bool) {
        self.with(|entry| {
            entry.enter(now, Stage::Running);
            entry.has_unread_body = has_body;
            entry.ahead_bytes = entry.ahead_bytes.saturating_sub(head_bytes);
            entry.wake();
            if entry.ended.is_none() {
                // It takes less than while it was read, but for one that was read ahead.
                let bytes = IDLE_BYTES + HEAD_COPIES * head_bytes;
                let _fits = entry.hold.resize(bytes);
            }
        });
    }

    /// The request's body is being read. Returns whether there is memory for that.
    pub(crate) fn begin_body(&self, now: Instant) -> bool {
        let mut registry = self.connections.lock();
        let fits = registry.hold_reading(self.id, now);
        if let Some(entry) = registry.open.get_mut(&self.id) {
            entry.enter(now, Stage::Body);
            entry.wake();
        }
        fits
    }

    /// The request's body has been read whole.
    pub(crate) fn end_body(&self, now: Instant, head_bytes: usize) {
        self.with(|entry| entry.ahead_bytes = 0);
        self.begin_request(now, head_bytes, false);
    }

    /// Whether the connection is ended, so that its body has to be refused.
    pub(crate) fn is_ended(&self) -> bool {
        self.with(|entry| entry.ended.is_some()).unwrap_or(true)
    }

    /// Ends the connection, whose body took too long, after its refusal.
    pub(crate) fn end_slow_body(&self, now: Instant) {
        let mut registry = self.connections.lock();
        registry.end(self.id, now, EndReason::SlowBody);
    }

    /// Ends the connection whose request has been read for longest, if it isn't this one. Returns whether there was one.
    pub(crate) fn end_other_reading(&self, now: Instant) -> bool {
        let mut registry = self.connections.lock();
        let victim = registry.longest(now, Stage::is_reading);
        if let Some(victim) = victim.filter(|victim| *victim != self.id) {
            registry.end(victim, now, EndReason::Memory);
            return true;
        }
        false
    }

    /// Whether the request has a body that was not read whole.
    pub(crate) fn has_unread_body(&self) -> bool {
        let has_unread_body = self.with(|entry| entry.has_unread_body);
        has_unread_body.unwrap_or(false)
    }

    /// A whole answer is being sent.
    pub(crate) fn begin_answer(&self, now: Instant) {
        self.with(|entry| {
            let blocked_since = None;
            entry.enter(now, Stage::Answering { blocked_since });
        });
    }

    /// The answer has been sent.
    pub(crate) fn end_request(&self, now: Instant) {
        self.with(|entry| {
            entry.has_served |= !entry.has_unread_body;
            let stage = match entry.has_unread_body {
                true => Stage::Draining,
                false => Stage::Idle,
            };
            entry.enter(now, stage);
            let _always_fits = entry.hold.resize(IDLE_BYTES.min(entry.hold.bytes()));
            entry.wake();
        });
    }

    fn with<T>(&self, update: impl FnOnce(&mut Entry) -> T) -> Option<T> {
        self.connections.lock().open.get_mut(&self.id).map(update)
    }
}

impl Drop for CallerConnection {
    fn drop(&mut self) {
        let mut registry = self.connections.lock();
        let entry = registry.open.remove(&self.id);
        if entry.is_some_and(|entry| entry.ended.is_none()) {
            registry.count -= 1;
        }
    }
}

#[cfg(test)]
mod tests;
