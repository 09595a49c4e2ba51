//! Serializes the moves of runs off a leaving engine.
//!
//! An engine sends copies one after another over one link. If all its runs are copied at once, the last
//! part of each waits behind the first parts of all others while its caller receives nothing, and what
//! is still queued when the engine ends is lost with it. So the runs are moved one at a time: within a
//! host in the order in which they join, and among hosts by name, as the hosts announce their pending
//! moves to each other. With ordered moves both go by the runs' keys ([`super::moveorder`]), of which each
//! host announces its least. A move in progress is waited for, regardless of that order. The wait is
//! bounded: the order is best effort, and nothing else depends on it.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use tokio::time::Instant;

use crate::clock::Time;
use crate::gateway::instance::InstanceId;
use crate::gateway::moveorder::Distance;
use crate::gateway::moveorder::LeavingRun;
use crate::gateway::moveorder::MoveKey;
use crate::gateway::shared::Shared;
use crate::id::HostId;

/// Time for which a peer's report of its pending moves counts.
const PEER_REPORT_TTL: Duration = Duration::from_millis(900);
/// Time for which a host whose turn it is may take to begin, with ordered moves. Its word that it has begun takes
/// two datagrams and the delays before them; the engine lives for 1.5 s only.
const TURN_WAIT: Duration = Duration::from_millis(150);
/// Time after the notice within which the first reports of other hosts arrive.
const FIRST_REPORTS_WAIT: Duration = Duration::from_millis(25);
/// How often a waiting run checks whether it may begin.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// The moves off one engine that a host has still to make.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PendingMoves {
    /// The engine.
    pub upstream: InstanceId,
    /// Runs, including the one in progress.
    pub runs: u32,
    /// Whether one of them is in progress.
    pub is_moving: bool,
    /// Destination of the one in progress, once it is chosen.
    pub to: Option<InstanceId>,
    /// The least key of those that wait, with ordered moves.
    pub key: Option<MoveKey>,
}

/// A run in the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Entry {
    ticket: u64,
    /// Its place with ordered moves.
    key: Option<MoveKey>,
}

/// This host's runs that leave one engine, in the order in which they joined.
#[derive(Debug, Default)]
struct Queue {
    entries: Vec<Entry>,
    moving: Option<u64>,
    to: Option<InstanceId>,
    /// Since when no host is known to use the engine's link, as far as a waiting run has looked.
    free_since: Time,
}

impl Queue {
    fn waiting(&self) -> impl Iterator<Item = &Entry> {
        let entries = self.entries.iter();
        entries.filter(|entry| self.moving != Some(entry.ticket))
    }

    /// The waiting run that moves next: that with the least key, or the one that joined first.
    fn first(&self) -> Option<Entry> {
        let waiting = self.waiting();
        waiting.min_by_key(|run| (run.key, run.ticket)).copied()
    }
}

/// The latest report of a peer.
#[derive(Debug)]
struct PeerReport {
    received_at: Time,
    pending: Vec<PendingMoves>,
    /// Whether the peer let its turn pass since.
    is_silent: bool,
}

impl PeerReport {
    /// Its moves off an engine, unless the report is too old.
    fn moves(&self, now: Time, upstream: &InstanceId) -> Option<&PendingMoves> {
        let is_live = now.since(self.received_at) < PEER_REPORT_TTL;
        let mut pending = self.pending.iter().filter(|_| is_live);
        pending.find(|moves| moves.upstream == *upstream)
    }

    /// Whether `peer`, which reports `moves`, goes before `host`, whose next run has this key.
    fn is_ahead(
        &self,
        peer: &HostId,
        moves: &PendingMoves,
        host: &HostId,
        key: Option<MoveKey>,
    ) -> bool {
        match (moves.key, key) {
            (Some(theirs), Some(own)) => !self.is_silent && (theirs, peer) < (own, host),
            (_, _) => peer < host && moves.runs > 0,
        }
    }
}

/// Pending moves of this host and its peers, by engine.
#[derive(Debug, Default)]
pub struct MoveQueues {
    own: BTreeMap<InstanceId, Queue>,
    peers: HashMap<HostId, PeerReport>,
    next_ticket: u64,
}

impl MoveQueues {
    /// This host's pending moves, as announced to peers.
    pub fn pending(&self) -> Vec<PendingMoves> {
        let own = self.own.iter();
        own.map(|(upstream, queue)| PendingMoves {
            upstream: upstream.clone(),
            runs: queue.entries.len() as u32,
            is_moving: queue.moving.is_some(),
            to: queue.to.clone(),
            key: queue.first().and_then(|entry| entry.key),
        })
        .collect()
    }

    /// Replaces the pending moves of a peer by its latest report.
    pub fn receive(&mut self, now: Time, host: &HostId, pending: Vec<PendingMoves>) {
        if pending.is_empty() {
            self.peers.remove(host);
        } else {
            let report = PeerReport {
                received_at: now,
                pending,
                is_silent: false,
            };
            self.peers.insert(host.clone(), report);
        }
    }

    fn join(&mut self, now: Time, upstream: &InstanceId, key: Option<MoveKey>) -> u64 {
        self.next_ticket += 1;
        let ticket = self.next_ticket;
        let queue = self.own.entry(upstream.clone());
        let queue = queue.or_insert_with(|| Queue {
            free_since: now,
            ..Queue::default()
        });
        queue.entries.push(Entry { ticket, key });
        ticket
    }

    /// Replaces the key of a waiting run.
    fn set_key(&mut self, upstream: &InstanceId, ticket: u64, key: MoveKey) {
        let queue = self.own.get_mut(upstream);
        let mut entries = queue.into_iter().flat_map(|queue| &mut queue.entries);
        if let Some(entry) = entries.find(|entry| entry.ticket == ticket) {
            entry.key = Some(key);
        }
    }

    /// Moves that are known to come before that of a waiting run: those of this host, and one for each other host.
    fn count_ahead(&self, now: Time, host: &HostId, upstream: &InstanceId, ticket: u64) -> usize {
        let Some(queue) = self.own.get(upstream) else {
            return 0;
        };
        let key = queue.entries.iter().find(|entry| entry.ticket == ticket);
        let key = key.and_then(|entry| entry.key);
        let own = queue.waiting();
        let own = own.filter(|entry| (entry.key, entry.ticket) < (key, ticket));
        let peers = self.peers.iter().filter(|(peer, report)| {
            let moves = report.moves(now, upstream);
            moves.is_some_and(|moves| report.is_ahead(peer, moves, host, key))
        });
        own.count() + peers.count()
    }

    /// Marks the ticket's run as in progress.
    fn begin(&mut self, upstream: &InstanceId, ticket: u64) {
        if let Some(queue) = self.own.get_mut(upstream) {
            queue.moving = Some(ticket);
        }
    }

    /// Records to which engine the ticket's run is being copied, if its move is in progress.
    fn set_destination(&mut self, upstream: &InstanceId, ticket: u64, to: Option<&InstanceId>) {
        let queue = self.own.get_mut(upstream);
        if let Some(queue) = queue.filter(|queue| queue.moving == Some(ticket)) {
            queue.to = to.cloned();
        }
    }

    /// Engines to which runs of other engines than `source` are being copied. A link takes one copy after
    /// another, so a stopped run would wait behind those copies.
    pub fn busy_destinations(&self, now: Time, source: &InstanceId) -> BTreeSet<InstanceId> {
        let reports = self.peers.values();
        let peers = reports
            .filter(|report| now.since(report.received_at) < PEER_REPORT_TTL)
            .flat_map(|report| &report.pending)
            .filter(|moves| moves.upstream != *source)
            .filter_map(|moves| moves.to.clone());
        let own = self.own.iter().filter(|(upstream, _)| *upstream != source);
        peers
            .chain(own.filter_map(|(_, queue)| queue.to.clone()))
            .collect()
    }

    fn leave(&mut self, upstream: &InstanceId, ticket: u64) {
        let Some(queue) = self.own.get_mut(upstream) else {
            return;
        };
        queue.entries.retain(|entry| entry.ticket != ticket);
        if queue.moving == Some(ticket) {
            queue.moving = None;
            queue.to = None;
        }
        if queue.entries.is_empty() {
            self.own.remove(upstream);
        }
    }

    /// Whether the move of a ticket of `host` may begin: it is the first of its host, no host has a move in
    /// progress, and no other host with pending moves comes before it. By their keys hosts have [`TURN_WAIT`]
    /// each to begin; those that let it pass don't count until they report again.
    fn may_begin(&mut self, now: Time, host: &HostId, upstream: &InstanceId, ticket: u64) -> bool {
        let Some(queue) = self.own.get_mut(upstream) else {
            return true;
        };
        let Some(first) = queue.first().filter(|first| first.ticket == ticket) else {
            return false;
        };
        let peers = self.peers.values();
        let mut moves = peers.filter_map(|report| report.moves(now, upstream));
        if queue.moving.is_some() || moves.any(|moves| moves.is_moving) {
            queue.free_since = now;
            return false;
        }
        let peers = self.peers.iter_mut();
        let ahead = peers.filter(|(peer, report)| {
            let moves = report.moves(now, upstream);
            moves.is_some_and(|moves| report.is_ahead(peer, moves, host, first.key))
        });
        let ahead: Vec<&mut PeerReport> = ahead.map(|(_, report)| report).collect();
        let wait = TURN_WAIT.saturating_mul(u32::try_from(ahead.len()).unwrap_or(u32::MAX));
        let is_free = match first.key {
            Some(_) => now.since(queue.free_since) >= wait,
            None => ahead.is_empty(),
        };
        if is_free {
            for report in ahead {
                report.is_silent = true;
            }
        }
        is_free
    }
}

/// A shared handle to the queues; clones refer to the same ones.
#[derive(Debug, Clone, Default)]
pub struct MoveQueueHandle(Arc<Mutex<MoveQueues>>);

impl MoveQueueHandle {
    fn lock(&self) -> MutexGuard<'_, MoveQueues> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Runs `use_queues` with the queues locked.
    pub fn with<T>(&self, use_queues: impl FnOnce(&mut MoveQueues) -> T) -> T {
        use_queues(&mut self.lock())
    }
}

/// A run that leaves its engine in the order of its key.
#[derive(Debug, Clone, Copy)]
pub struct OrderedRun {
    /// The run as it joined.
    pub run: LeavingRun,
    /// When the engine gave notice.
    pub notice: Instant,
    /// Its place in the order.
    pub key: MoveKey,
}

/// What a waiting run is told.
#[derive(Debug)]
pub enum Turn {
    /// Its move begins.
    Begin(Ticket),
    /// Its copy may no longer end in time; it now waits behind those that may.
    PassedOver(Ticket),
}

/// A place in the queue of one engine's moves, released on drop.
#[derive(Debug)]
pub struct Ticket {
    shared: Shared,
    upstream: InstanceId,
    number: u64,
    joined_at: Instant,
    /// The run's place with ordered moves.
    order: Option<OrderedRun>,
}

impl Ticket {
    /// Joins the queue of `upstream`, with ordered moves at the place of `order`.
    pub fn join(shared: &Shared, upstream: &InstanceId, order: Option<OrderedRun>) -> Self {
        let now = shared.now();
        let key = order.map(|order| order.key);
        let queues = shared.move_queues();
        let number = queues.with(|queues| queues.join(now, upstream, key));
        shared.announce_now();
        Ticket {
            shared: shared.clone(),
            upstream: upstream.clone(),
            number,
            joined_at: Instant::now(),
            order,
        }
    }

    /// Records where the run goes and announces it to peers.
    pub fn set_destination(&self, to: &InstanceId) {
        self.announce_destination(Some(to));
    }

    /// Tells peers that the run isn't being copied for the moment, so that others may use its destination's link.
    pub fn release_destination(&self) {
        self.announce_destination(None);
    }

    fn announce_destination(&self, to: Option<&InstanceId>) {
        let queues = self.shared.move_queues();
        queues.with(|queues| queues.set_destination(&self.upstream, self.number, to));
        self.shared.announce_now();
    }

    /// The run's place, with ordered moves.
    pub fn order(&self) -> Option<&OrderedRun> {
        self.order.as_ref()
    }

    /// Moves that are known to come before this one.
    pub fn count_ahead(&self) -> usize {
        let now = self.shared.now();
        let host = &self.shared.settings().host;
        self.shared
            .move_queues()
            .with(|queues| queues.count_ahead(now, host, &self.upstream, self.number))
    }

    /// Waits until the move may begin or `deadline` has passed, then marks it as in progress; or until its copy may
    /// no longer end in time, then puts it behind those that may.
    pub async fn wait(mut self, deadline: Instant) -> Turn {
        tokio::time::sleep_until(self.joined_at + FIRST_REPORTS_WAIT).await;
        while Instant::now() < deadline {
            if self.put_back_if_late() {
                return Turn::PassedOver(self);
            }
            if self.may_begin() {
                break;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        let queues = self.shared.move_queues();
        queues.with(|queues| queues.begin(&self.upstream, self.number));
        self.shared.announce_now();
        Turn::Begin(self)
    }

    /// Gives a run that no longer fits into the time left its late key; false if it fits or had that key already.
    fn put_back_if_late(&mut self) -> bool {
        let Some(order) = self.order.as_mut() else {
            return false;
        };
        let since_notice = order.notice.elapsed();
        if order.key.is_late() || order.run.fits(Distance::Near, since_notice, false) {
            return false;
        }
        let key = order.run.key(since_notice);
        order.key = key;
        let queues = self.shared.move_queues();
        queues.with(|queues| queues.set_key(&self.upstream, self.number, key));
        self.shared.announce_now();
        true
    }

    fn may_begin(&self) -> bool {
        let now = self.shared.now();
        let host = &self.shared.settings().host;
        self.shared
            .move_queues()
            .with(|queues| queues.may_begin(now, host, &self.upstream, self.number))
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        let upstream = &self.upstream;
        let number = self.number;
        self.shared
            .move_queues()
            .with(|queues| queues.leave(upstream, number));
        self.shared.announce_now();
    }
}

#[cfg(test)]
mod tests;
