//! The actor that keeps the configuration: it owns the replica and does its I/O.
use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use actix::Actor;
use actix::AsyncContext;
use actix::Context;
use actix::Handler;
use actix::Message;
use actix::MessageResult;
use actix::ResponseFuture;
use actix::WrapFuture;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::sync::oneshot;
use uuid::Uuid;

use crate::clock::SystemClock;
use crate::clock::Time;
use crate::clock::wall_ms;
use crate::config::ConfigHandle;
use crate::config::ConfigOptions;
use crate::config::ConfigState;
use crate::config::HistoryEntry;
use crate::event::EventCode;
use crate::fold::Outcome;
use crate::follower::StreamEvent;
use crate::id::HostId;
use crate::id::Offset;
use crate::journal::Journal;
use crate::journal::Subject;
use crate::logstream::AppendOutcome;
use crate::logstream::LogHandle;
use crate::ownership::Ownership;
use crate::peers::PeerNews;
use crate::platform::CONFIG_STREAM;
use crate::record::ConfigRecord;
use crate::record::Snapshot;
use crate::replica::Action;
use crate::replica::Input;
use crate::replica::Replica;

/// How often the actor looks whether a snapshot is due.
const SNAPSHOT_CHECK: Duration = Duration::from_millis(500);

/// Pause before a log that showed another history is followed again.
const FOREIGN_PAUSE: Duration = Duration::from_secs(5);

/// A snapshot that could not be written by then is given up; another look follows.
const SNAPSHOT_WAIT_LIMIT: Duration = Duration::from_secs(5);

/// The duty of appending snapshots.
const SNAPSHOT_DUTY: &str = "config-snapshot";

#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct Step(pub(crate) Input);

/// An event of the followed stream; the answer is whether its follower is still wanted.
#[derive(Debug, Message)]
#[rtype(result = "bool")]
struct News {
    generation: u64,
    event: StreamEvent,
}

#[derive(Debug, Message)]
#[rtype(result = "Vec<HistoryEntry>")]
pub(crate) struct AskHistory;

#[derive(Debug, Message)]
#[rtype(result = "Option<HistoryEntry>")]
pub(crate) struct AskOutcome(pub(crate) Offset);

/// What a subscription works with.
#[derive(Debug)]
pub(crate) struct SubscriptionParts {
    pub(crate) log: LogHandle,
    pub(crate) journal: Journal,
    pub(crate) host: HostId,
}

/// The actor that owns the replica.
#[derive(Debug)]
pub(crate) struct Subscription {
    replica: Replica,
    options: ConfigOptions,
    handle: ConfigHandle,
    log: LogHandle,
    journal: Journal,
    host: HostId,
    live: Arc<Ownership>,
    history: VecDeque<HistoryEntry>,
    waiting: BTreeMap<Offset, Vec<oneshot::Sender<Option<HistoryEntry>>>>,
    /// Counts the followers started; events of older ones are dropped.
    generation: u64,
    clock: SystemClock,
    rng: ChaCha8Rng,
    /// When this host appends the snapshot that is due.
    snapshot_at: Option<Time>,
}

impl Subscription {
    /// A subscription that puts what it folds in force through `handle`.
    pub(crate) fn new(
        parts: SubscriptionParts,
        handle: ConfigHandle,
        options: ConfigOptions,
        seed: u64,
    ) -> Self {
        Subscription {
            replica: Replica::new(options.snapshot.clone()),
            options,
            handle,
            log: parts.log,
            journal: parts.journal,
            host: parts.host,
            live: Arc::default(),
            history: VecDeque::new(),
            waiting: BTreeMap::new(),
            generation: 0,
            clock: SystemClock::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            snapshot_at: None,
        }
    }

    fn follow(&mut self, from: Offset, pause: Duration, context: &mut Context<Self>) {
        self.generation += 1;
        let generation = self.generation;
        let actor = context.address();
        let log = self.log.clone();
        let following = async move {
            actix_rt::time::sleep(pause).await;
            let mut events = log.follow_checked(CONFIG_STREAM, from);
            while let Some(event) = events.recv().await {
                let news = News { generation, event };
                if actor.send(news).await != Ok(true) {
                    return;
                }
            }
        };
        context.spawn(following.into_actor(self));
    }

    fn step(&mut self, input: Input, context: &mut Context<Self>) {
        let was_ready = self.replica.is_ready();
        for action in self.replica.step(input) {
            match action {
                Action::Publish => self.publish(),
                Action::Record {
                    code,
                    offset,
                    detail,
                } => self.record(code, offset, detail),
                Action::Follow(from) => self.follow(from, FOREIGN_PAUSE, context),
                Action::Folded {
                    offset,
                    appended_at_ms,
                    outcome,
                } => {
                    // What was folded on the way to the first table is history, not news.
                    if was_ready {
                        self.record_outcome(offset, &outcome);
                    }
                    self.remember(HistoryEntry {
                        offset,
                        appended_at_ms,
                        outcome,
                    });
                }
            }
        }
        self.answer_passed();
    }

    fn publish(&self) {
        let is_ready = self.replica.is_ready();
        let table = self.replica.table().filter(|_| is_ready);
        let state = ConfigState {
            table: table.cloned().map(Arc::new).unwrap_or_default(),
            is_ready,
            reason: self.replica.reason(),
            tail: self.replica.last_records().clone(),
        };
        self.handle.publish(state);
    }

    fn record(&self, code: EventCode, offset: Offset, detail: String) {
        self.journal
            .record(code, Subject::none().offset(offset).detail(detail));
    }

    fn record_outcome(&self, offset: Offset, outcome: &Outcome) {
        match outcome {
            Outcome::Applied(edit) => {
                let detail = format!("edit={} author={}", edit.edit_id, edit.author);
                self.record(EventCode::EditApplied, offset, detail);
            }
            Outcome::Rejected { edit, rejection } => {
                let detail = format!(
                    "edit={} author={} conflicts={} faults={}",
                    edit.edit_id,
                    edit.author,
                    rejection.conflicts.len(),
                    rejection.faults.len()
                );
                self.record(EventCode::EditRejected, offset, detail);
            }
            Outcome::Skipped { reason } => {
                self.record(EventCode::RecordSkipped, offset, reason.clone());
            }
            Outcome::Snapshot(_) => {}
        }
    }

    /// Keeps an outcome and answers who waits for it.
    fn remember(&mut self, entry: HistoryEntry) {
        for answer in self.waiting.remove(&entry.offset).unwrap_or_default() {
            // Who asked may have stopped waiting.
            let _ = answer.send(Some(entry.clone()));
        }
        self.history.push_back(entry);
        while self.history.len() > self.options.history_records {
            self.history.pop_front();
        }
    }

    /// Answers who waits for records that a table taken over already holds.
    fn answer_passed(&mut self) {
        let next = self.replica.next_offset();
        let later = self.waiting.split_off(&next);
        for answer in std::mem::replace(&mut self.waiting, later).into_values() {
            answer
                .into_iter()
                .for_each(|answer| drop(answer.send(None)));
        }
    }

    /// Appends a snapshot once one has been due for this host's turn.
    fn check_snapshot(&mut self, context: &mut Context<Self>) {
        let now = self.clock.now();
        let Some(table) = self.replica.snapshot_due(wall_ms()) else {
            self.snapshot_at = None;
            return;
        };
        let at = match self.snapshot_at {
            Some(at) => at,
            None => {
                let rank = self.duty_rank();
                let chance = self.rng.random_range(0.0..1.0);
                let delay_ms = self.replica.keeper().delay_ms(rank, chance);
                now + Duration::from_millis(delay_ms)
            }
        };
        self.snapshot_at = Some(at);
        if now < at {
            return;
        }
        // The next one waits its turn anew, also while this one is under way.
        self.snapshot_at = Some(now + SNAPSHOT_WAIT_LIMIT);
        let snapshot = ConfigRecord::Snapshot(Snapshot::of(table));
        if let Ok(text) = snapshot.to_text() {
            self.append_snapshot(text, context);
        }
    }

    /// This host's place among those on duty; 0 if nobody told who is live.
    fn duty_rank(&self) -> usize {
        let ranked = self.live.on_duty(SNAPSHOT_DUTY, self.live.len());
        ranked
            .iter()
            .position(|host| **host == self.host)
            .unwrap_or(0)
    }

    fn append_snapshot(&self, text: String, context: &mut Context<Self>) {
        let log = self.log.clone();
        let journal = self.journal.clone();
        let appending = async move {
            let bytes = text.len();
            let limit = Some(SNAPSHOT_WAIT_LIMIT);
            let appended = log.append(CONFIG_STREAM, Uuid::now_v7(), text, limit);
            if let AppendOutcome::Settled(offset) = appended.await {
                let subject = Subject::none().offset(offset);
                let subject = subject.detail(format!("bytes={bytes}"));
                journal.record(EventCode::SnapshotAppended, subject);
            }
        };
        context.spawn(appending.into_actor(self));
    }
}

impl Actor for Subscription {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Context<Self>) {
        self.follow(Offset(0), Duration::ZERO, context);
        if self.options.appends_snapshots {
            context.run_interval(SNAPSHOT_CHECK, Subscription::check_snapshot);
        }
    }
}

impl Handler<Step> for Subscription {
    type Result = ();

    fn handle(&mut self, Step(input): Step, context: &mut Context<Self>) {
        self.step(input, context);
    }
}

impl Handler<News> for Subscription {
    type Result = bool;

    fn handle(&mut self, news: News, context: &mut Context<Self>) -> bool {
        if news.generation != self.generation {
            return false;
        }
        let head = match &news.event {
            StreamEvent::Read(answer) => Some(answer.head),
            _ => None,
        };
        self.step(Input::Stream(news.event), context);
        if head == Some(self.replica.next_offset()) {
            self.handle.confirm();
        }
        true
    }
}

impl Handler<AskHistory> for Subscription {
    type Result = MessageResult<AskHistory>;

    fn handle(&mut self, _: AskHistory, _: &mut Context<Self>) -> Self::Result {
        MessageResult(self.history.iter().cloned().collect())
    }
}

impl Handler<AskOutcome> for Subscription {
    type Result = ResponseFuture<Option<HistoryEntry>>;

    fn handle(&mut self, AskOutcome(offset): AskOutcome, _: &mut Context<Self>) -> Self::Result {
        let known = self.history.iter().find(|entry| entry.offset == offset);
        if offset < self.replica.next_offset() {
            let known = known.cloned();
            return Box::pin(async move { known });
        }
        let (sender, receiver) = oneshot::channel();
        self.waiting.entry(offset).or_default().push(sender);
        Box::pin(async move { receiver.await.ok().flatten() })
    }
}

impl Handler<PeerNews> for Subscription {
    type Result = ();

    fn handle(&mut self, news: PeerNews, _: &mut Context<Self>) {
        if let PeerNews::Owners(live) = news {
            self.live = live;
        }
    }
}
