//! Turns of runs that are moved off one leaving engine.
//!
//! An engine sends copies one after another over one link. If all its runs are copied at once, the
//! last part of each waits behind the first parts of all others while its caller sees nothing, and
//! what is still queued when the engine ends is lost with it. So the runs take turns: within a host
//! in the order in which they ask, and among hosts by name, as the hosts tell each other what they
//! have still to move. A wait is bounded: turns are a courtesy, and no promise rests on them.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use tokio::time::Instant;

use crate::clock::Time;
use crate::gateway::shared::Shared;
use crate::id::HostId;
use crate::id::UpstreamId;

/// What a peer said it has to move counts for this long.
const PEER_WORD_LASTS: Duration = Duration::from_millis(900);
/// Other hosts' words on what they have to move arrive within this time of the notice.
const FIRST_WORDS: Duration = Duration::from_millis(25);
/// How often it is looked whose turn it is.
const LOOK_INTERVAL: Duration = Duration::from_millis(5);

/// Who has what to move off which engine.
#[derive(Debug, Default)]
pub struct Turns {
    own: BTreeMap<UpstreamId, Vec<u64>>,
    peers: HashMap<HostId, (Time, Vec<(UpstreamId, u32)>)>,
    next_ticket: u64,
}

impl Turns {
    /// What this host has still to move, for its peers.
    pub fn own(&self) -> Vec<(UpstreamId, u32)> {
        let own = self.own.iter();
        own.map(|(upstream, tickets)| (upstream.clone(), tickets.len() as u32))
            .collect()
    }

    /// What a peer has still to move.
    pub fn hear(&mut self, now: Time, host: &HostId, moving: Vec<(UpstreamId, u32)>) {
        if moving.is_empty() {
            self.peers.remove(host);
        } else {
            self.peers.insert(host.clone(), (now, moving));
        }
    }

    fn join(&mut self, upstream: &UpstreamId) -> u64 {
        self.next_ticket += 1;
        let ticket = self.next_ticket;
        self.own.entry(upstream.clone()).or_default().push(ticket);
        ticket
    }

    fn leave(&mut self, upstream: &UpstreamId, ticket: u64) {
        let Some(tickets) = self.own.get_mut(upstream) else {
            return;
        };
        tickets.retain(|other| *other != ticket);
        if tickets.is_empty() {
            self.own.remove(upstream);
        }
    }

    /// Whether it is the turn of a ticket of `host`.
    fn is_turn(&self, now: Time, host: &HostId, upstream: &UpstreamId, ticket: u64) -> bool {
        let first = self.own.get(upstream).and_then(|tickets| tickets.first());
        if first != Some(&ticket) {
            return false;
        }
        let before = self.peers.iter().filter(|(peer, _)| *peer < host);
        !before
            .filter(|(_, (at, _))| now.since(*at) < PEER_WORD_LASTS)
            .any(|(_, (_, moving))| moving.iter().any(|(id, runs)| id == upstream && *runs > 0))
    }
}

/// A handle on the turns; clones share them.
#[derive(Debug, Clone, Default)]
pub struct TurnBoard(Arc<Mutex<Turns>>);

impl TurnBoard {
    fn turns(&self) -> MutexGuard<'_, Turns> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Runs `use_turns` on the turns.
    pub fn with<T>(&self, use_turns: impl FnOnce(&mut Turns) -> T) -> T {
        use_turns(&mut self.turns())
    }
}

/// A place in the line of one engine's runs; dropping it lets the next one go on.
#[derive(Debug)]
pub struct Ticket {
    shared: Shared,
    upstream: UpstreamId,
    number: u64,
}

impl Ticket {
    /// Joins the line of `upstream`.
    pub fn join(shared: &Shared, upstream: &UpstreamId) -> Self {
        let number = shared.turns().with(|turns| turns.join(upstream));
        shared.tell_news();
        Ticket {
            shared: shared.clone(),
            upstream: upstream.clone(),
            number,
        }
    }

    /// Waits for the turn, or until `patience_ends`.
    pub async fn wait(self, patience_ends: Instant) -> Self {
        tokio::time::sleep(FIRST_WORDS).await;
        while Instant::now() < patience_ends && !self.is_turn() {
            tokio::time::sleep(LOOK_INTERVAL).await;
        }
        self
    }

    fn is_turn(&self) -> bool {
        let now = self.shared.now();
        let host = &self.shared.settings().host;
        self.shared
            .turns()
            .with(|turns| turns.is_turn(now, host, &self.upstream, self.number))
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        let upstream = &self.upstream;
        let number = self.number;
        self.shared
            .turns()
            .with(|turns| turns.leave(upstream, number));
        self.shared.tell_news();
    }
}

#[cfg(test)]
mod tests;
