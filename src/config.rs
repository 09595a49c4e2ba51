//! The configuration in force, as the rest of the process sees it.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use actix::Actor;
use actix::Addr;
use derive_builder::Builder;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::watch;

use crate::clock::wall_ms;
use crate::fold::Outcome;
use crate::id::HostId;
use crate::id::Offset;
use crate::journal::Journal;
use crate::logstream::LogHandle;
use crate::peer::ConfigTail;
use crate::peers::ConfigSource;
use crate::peers::PeersHandle;
use crate::replica::Input;
use crate::replica::Replica;
use crate::snapshot::SnapshotOptions;
use crate::status::ConfigStatus;
use crate::subscription::AskHistory;
use crate::subscription::AskOutcome;
use crate::subscription::Step;
use crate::subscription::Subscription;
use crate::subscription::SubscriptionParts;
use crate::table::Table;
use crate::tail::Tail;

/// How a process keeps the configuration.
#[derive(Debug, Clone, PartialEq, Builder, Serialize, Deserialize)]
#[builder(default)]
#[serde(default, deny_unknown_fields)]
pub struct ConfigOptions {
    /// Outcomes of records kept for the history; 1,000 by default.
    pub history_records: usize,
    /// Whether this process appends snapshots; true by default.
    pub appends_snapshots: bool,
    /// When snapshots are appended.
    pub snapshot: SnapshotOptions,
}

impl Default for ConfigOptions {
    fn default() -> Self {
        ConfigOptions {
            history_records: 1_000,
            appends_snapshots: true,
            snapshot: SnapshotOptions::default(),
        }
    }
}

/// What is in force, and why nothing is if nothing is.
#[derive(Debug, Clone, PartialEq)]
pub struct ConfigState {
    /// The table in force; empty while not ready.
    pub table: Arc<Table>,
    /// Whether the host may serve by it.
    pub is_ready: bool,
    /// Why the host may not serve, or what is wrong although it does; empty if all is well.
    pub reason: String,
    /// The last records, for peers.
    pub(crate) tail: Tail,
}

impl ConfigState {
    fn not_ready() -> Self {
        ConfigState {
            table: Arc::default(),
            is_ready: false,
            reason: Replica::new(SnapshotOptions::default()).reason(),
            tail: Tail::default(),
        }
    }
}

/// What came of a record of the configuration stream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HistoryEntry {
    /// The record's offset.
    pub offset: Offset,
    /// When it was appended, in milliseconds since the Unix epoch.
    pub appended_at_ms: u64,
    /// What came of it.
    #[serde(flatten)]
    pub outcome: Outcome,
}

/// A handle on the configuration in force; clones share it.
#[derive(Debug, Clone)]
pub struct ConfigHandle {
    state: watch::Receiver<ConfigState>,
    sender: Arc<watch::Sender<ConfigState>>,
    confirmed_at_ms: Arc<AtomicU64>,
    actor: Option<Addr<Subscription>>,
}

impl ConfigHandle {
    /// Starts to follow the configuration stream in the current arbiter.
    ///
    /// `host` is this host's name among the live ones ([`ConfigHandle::share_duty`]); `seed`
    /// drives the jitter of snapshots.
    pub fn start(
        log: LogHandle,
        journal: Journal,
        host: HostId,
        options: ConfigOptions,
        seed: u64,
    ) -> Self {
        let mut handle = ConfigHandle::starting_with(ConfigState::not_ready());
        let parts = SubscriptionParts { log, journal, host };
        let actor = Subscription::new(parts, handle.clone(), options, seed);
        handle.actor = Some(actor.start());
        handle
    }

    /// A handle on a table that never changes, for tests and demos.
    pub fn fixed(table: Table) -> Self {
        ConfigHandle::starting_with(ConfigState {
            table: Arc::new(table),
            is_ready: true,
            reason: String::new(),
            tail: Tail::default(),
        })
    }

    /// The table in force.
    pub fn table(&self) -> Arc<Table> {
        Arc::clone(&self.state.borrow().table)
    }

    /// Whether the host has a configuration to serve by.
    pub fn is_ready(&self) -> bool {
        self.state.borrow().is_ready
    }

    /// What is in force, and why nothing is if nothing is.
    pub fn state(&self) -> ConfigState {
        self.state.borrow().clone()
    }

    /// The offset in force, as heartbeats tell it: the next record's. 0 if there is none.
    pub fn offset(&self) -> Offset {
        self.state.borrow().table.next
    }

    /// The offset in force and how long ago the platform confirmed that it is the newest.
    pub fn status(&self) -> ConfigStatus {
        let confirmed_at_ms = self.confirmed_at_ms.load(Ordering::Relaxed);
        let age_ms = wall_ms().saturating_sub(confirmed_at_ms);
        ConfigStatus {
            offset: self.is_ready().then(|| self.offset()),
            age_ms: (confirmed_at_ms > 0).then_some(age_ms),
        }
    }

    /// Waits until a table beyond `seen`, an earlier table's `next`, is in force.
    pub async fn changed(&self, seen: Offset) -> Arc<Table> {
        let mut state = self.state.clone();
        let beyond = state.wait_for(|state| state.table.next > seen).await;
        // The handle holds the sender, so the channel is open while it waits.
        beyond.map_or_else(|_| self.table(), |state| Arc::clone(&state.table))
    }

    /// Shares the duty of snapshots with the live hosts that `peers` tell of.
    pub fn share_duty(&self, peers: &PeersHandle) {
        if let Some(actor) = &self.actor {
            peers.subscribe(actor.clone().recipient());
        }
    }

    /// The last outcomes, oldest first.
    pub async fn history(&self) -> Vec<HistoryEntry> {
        match &self.actor {
            Some(actor) => actor.send(AskHistory).await.unwrap_or_default(),
            None => Vec::new(),
        }
    }

    /// Waits until the record at `offset` is folded and tells what came of it; none if this
    /// process started from a table that already held it.
    pub async fn outcome_at(&self, offset: Offset) -> Option<HistoryEntry> {
        let actor = self.actor.as_ref()?;
        actor.send(AskOutcome(offset)).await.ok().flatten()
    }

    fn starting_with(state: ConfigState) -> Self {
        let (sender, receiver) = watch::channel(state);
        ConfigHandle {
            state: receiver,
            sender: Arc::new(sender),
            confirmed_at_ms: Arc::default(),
            actor: None,
        }
    }

    /// Puts a state in force.
    pub(crate) fn publish(&self, state: ConfigState) {
        self.sender.send_replace(state);
    }

    /// The platform has just confirmed that what is in force is the newest.
    pub(crate) fn confirm(&self) {
        self.confirmed_at_ms.store(wall_ms(), Ordering::Relaxed);
    }

    fn tell(&self, input: Input) {
        if let Some(actor) = &self.actor {
            actor.do_send(Step(input));
        }
    }
}

impl ConfigSource for ConfigHandle {
    fn next(&self) -> Offset {
        self.offset()
    }

    fn tail(&self, next: Offset) -> ConfigTail {
        let state = self.state();
        if state.is_ready {
            state.tail.answer(&state.table, next)
        } else {
            ConfigTail::default()
        }
    }

    fn offer(&self, tail: ConfigTail) {
        self.tell(Input::Offer(tail));
    }
}
