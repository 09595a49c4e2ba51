//! Serializes the moves of runs off a leaving engine.
//!
//! An engine sends copies one after another over one link. If all its runs are copied at once, the last
//! part of each waits behind the first parts of all others while its caller receives nothing, and what
//! is still queued when the engine ends is lost with it. So the runs are moved one at a time: within a
//! host in the order in which they join, and among hosts by name, as the hosts announce their pending
//! moves to each other. A move in progress is waited for, regardless of that order. The wait is bounded:
//! the order is best effort, and nothing else depends on it.

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
use crate::gateway::shared::Shared;
use crate::id::HostId;

/// Time for which a peer's report of its pending moves counts.
const PEER_REPORT_TTL: Duration = Duration::from_millis(900);
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
}

/// This host's runs that leave one engine, in the order in which they joined.
#[derive(Debug, Default)]
struct Queue {
    tickets: Vec<u64>,
    moving: Option<u64>,
    to: Option<InstanceId>,
}

/// Pending moves of this host and its peers, by engine.
#[derive(Debug, Default)]
pub struct MoveQueues {
    own: BTreeMap<InstanceId, Queue>,
    peers: HashMap<HostId, (Time, Vec<PendingMoves>)>,
    next_ticket: u64,
}

impl MoveQueues {
    /// This host's pending moves, as announced to peers.
    pub fn pending(&self) -> Vec<PendingMoves> {
        let own = self.own.iter();
        own.map(|(upstream, queue)| PendingMoves {
            upstream: upstream.clone(),
            runs: queue.tickets.len() as u32,
            is_moving: queue.moving.is_some(),
            to: queue.to.clone(),
        })
        .collect()
    }

    /// Replaces the pending moves of a peer by its latest report.
    pub fn receive(&mut self, now: Time, host: &HostId, pending: Vec<PendingMoves>) {
        if pending.is_empty() {
            self.peers.remove(host);
        } else {
            self.peers.insert(host.clone(), (now, pending));
        }
    }

    fn join(&mut self, upstream: &InstanceId) -> u64 {
        self.next_ticket += 1;
        let ticket = self.next_ticket;
        let queue = self.own.entry(upstream.clone()).or_default();
        queue.tickets.push(ticket);
        ticket
    }

    /// Marks the ticket's run as in progress.
    fn begin(&mut self, upstream: &InstanceId, ticket: u64) {
        if let Some(queue) = self.own.get_mut(upstream) {
            queue.moving = Some(ticket);
        }
    }

    /// Records the destination of the ticket's run, if its move is in progress.
    fn set_destination(&mut self, upstream: &InstanceId, ticket: u64, to: &InstanceId) {
        let queue = self.own.get_mut(upstream);
        if let Some(queue) = queue.filter(|queue| queue.moving == Some(ticket)) {
            queue.to = Some(to.clone());
        }
    }

    /// Engines to which runs of other engines than `source` are being copied. A link takes one copy after
    /// another, so a stopped run would wait behind those copies.
    pub fn busy_destinations(&self, now: Time, source: &InstanceId) -> BTreeSet<InstanceId> {
        let reports = self.peers.values();
        let peers = reports
            .filter(|(at, _)| now.since(*at) < PEER_REPORT_TTL)
            .flat_map(|(_, pending)| pending)
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
        queue.tickets.retain(|other| *other != ticket);
        if queue.moving == Some(ticket) {
            queue.moving = None;
            queue.to = None;
        }
        if queue.tickets.is_empty() {
            self.own.remove(upstream);
        }
    }

    /// Whether the move of a ticket of `host` may begin: it is the first of its host, no host has a move in
    /// progress, and no other host with pending moves comes before it by name.
    fn may_begin(&self, now: Time, host: &HostId, upstream: &InstanceId, ticket: u64) -> bool {
        let Some(queue) = self.own.get(upstream) else {
            return true;
        };
        if queue.tickets.first() != Some(&ticket) || queue.moving.is_some() {
            return false;
        }
        let live = self.peers.iter();
        let live = live.filter(|(_, (at, _))| now.since(*at) < PEER_REPORT_TTL);
        let mut ahead = live.flat_map(|(peer, (_, pending))| {
            let of_engine = pending.iter().filter(|moves| moves.upstream == *upstream);
            of_engine.filter(move |moves| moves.is_moving || (peer < host && moves.runs > 0))
        });
        ahead.next().is_none()
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

/// A place in the queue of one engine's moves, released on drop.
#[derive(Debug)]
pub struct Ticket {
    shared: Shared,
    upstream: InstanceId,
    number: u64,
}

impl Ticket {
    /// Joins the queue of `upstream`.
    pub fn join(shared: &Shared, upstream: &InstanceId) -> Self {
        let number = shared.move_queues().with(|queues| queues.join(upstream));
        shared.announce_now();
        Ticket {
            shared: shared.clone(),
            upstream: upstream.clone(),
            number,
        }
    }

    /// Records where the run goes and announces it to peers.
    pub fn set_destination(&self, to: &InstanceId) {
        let queues = self.shared.move_queues();
        queues.with(|queues| queues.set_destination(&self.upstream, self.number, to));
        self.shared.announce_now();
    }

    /// Waits until the move may begin or `deadline` has passed, then marks it as in progress.
    pub async fn wait(self, deadline: Instant) -> Self {
        tokio::time::sleep(FIRST_REPORTS_WAIT).await;
        while Instant::now() < deadline && !self.may_begin() {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        let queues = self.shared.move_queues();
        queues.with(|queues| queues.begin(&self.upstream, self.number));
        self.shared.announce_now();
        self
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
