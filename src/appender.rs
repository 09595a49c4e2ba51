//! Appends to one stream of the platform's log, as a pure decision.
//!
//! At most one append is in flight, carrying everything that waited. When its answer is lost, the
//! stream is read for the batch's records before anything else is appended. A batch that is not
//! found is appended again, and as the first copy may still arrive late, the offset reported is
//! then that of the first copy in the stream: a record may stand in a stream twice, and the first
//! one counts. A record's text must be unique, by an id that it holds.

mod batch;
mod search;

use std::collections::VecDeque;
use std::mem;
use std::time::Duration;

use backon::BackoffBuilder;
use backon::ExponentialBackoff;
use backon::ExponentialBuilder;
use derive_builder::Builder;
use serde::Deserialize;
use serde::Serialize;
use uuid::Uuid;

use self::batch::Batch;
use self::search::Search;
use crate::clock::Time;
use crate::id::Offset;
use crate::platform::AppendAnswer;
use crate::platform::ReadAnswer;
use crate::quota::Quota;

/// An offset that no stream reaches: reading from it tells only the head.
pub(crate) const BEYOND_HEAD: Offset = Offset(u64::MAX / 2);

/// Bounds of appends to a stream.
#[derive(Debug, Clone, PartialEq, Eq, Builder, Serialize, Deserialize)]
#[builder(default)]
#[serde(default, deny_unknown_fields)]
pub struct AppenderOptions {
    /// Most records in one append; 500 by default.
    pub batch_records: usize,
    /// Most bytes in one append of more than one record; 262,144 by default.
    pub batch_bytes: usize,
    /// First pause after a failure, in milliseconds; 100 by default. It doubles, with jitter.
    pub backoff_min_ms: u64,
    /// Longest pause after a failure, in milliseconds; 3,000 by default.
    pub backoff_max_ms: u64,
}

impl Default for AppenderOptions {
    fn default() -> Self {
        AppenderOptions {
            batch_records: 500,
            batch_bytes: 256 * 1024,
            backoff_min_ms: 100,
            backoff_max_ms: 3_000,
        }
    }
}

impl AppenderOptions {
    /// The pauses after failures in a row, with jitter from `seed`.
    pub(crate) fn backoff(&self, seed: u64) -> ExponentialBackoff {
        ExponentialBuilder::new()
            .with_min_delay(Duration::from_millis(self.backoff_min_ms))
            .with_max_delay(Duration::from_millis(self.backoff_max_ms))
            .with_jitter()
            .with_jitter_seed(seed)
            .without_max_times()
            .build()
    }
}

/// A record to append.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// Chosen by who appends; answers carry it.
    pub id: Uuid,
    /// The record's text, unique in the stream.
    pub data: String,
    /// If it was not written to the platform by then, it is given up.
    pub expires_at: Option<Time>,
}

/// What happens to an appender.
#[derive(Debug, Clone, PartialEq)]
pub enum Input {
    /// A record is to be appended.
    Submit(Entry),
    /// The append in flight took effect.
    Appended(AppendAnswer),
    /// The append in flight certainly took no effect; it may be tried again.
    Refused,
    /// The platform will never take the append in flight.
    Rejected,
    /// The append in flight may have taken effect.
    Lost,
    /// The read in flight was answered.
    Read(ReadAnswer),
    /// The read in flight failed.
    ReadFailed,
    /// The time asked for has come.
    Wake,
}

/// What an appender wants done.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Append these records.
    Append(Vec<String>),
    /// Read from this offset, without waiting.
    Read(Offset),
    /// Step again at this time.
    Wake(Time),
    /// The record stands in the stream, first at this offset.
    Settled(Uuid, Offset),
    /// The record was never written to the platform, and never will be.
    NotAppended(Uuid),
    /// Retention passed over the place where the record may have stood: nobody can tell.
    Unsettled(Uuid),
}

/// Decides the appends to one stream.
#[derive(Debug)]
pub struct Appender {
    options: AppenderOptions,
    seed: u64,
    waiting: VecDeque<Entry>,
    again: Option<Batch>,
    head: Option<Offset>,
    phase: Phase,
    backoff: ExponentialBackoff,
}

#[derive(Debug)]
enum Phase {
    /// Nothing is in flight.
    Idle,
    /// The head is being read, to know from where a lost append would have to be looked for.
    Probing,
    /// An append is in flight.
    Appending(Batch),
    /// The stream is being read for a batch.
    Searching(Search),
    /// Nothing is in flight until a time.
    Pausing(Time, Option<Search>),
}

impl Appender {
    /// An appender with nothing to append; `seed` drives its jitter.
    pub fn new(options: AppenderOptions, seed: u64) -> Self {
        let backoff = options.backoff(seed);
        Appender {
            options,
            seed,
            waiting: VecDeque::new(),
            again: None,
            head: None,
            phase: Phase::Idle,
            backoff,
        }
    }

    /// Decides what follows from `input`.
    pub fn step(&mut self, now: Time, quota: &mut Quota, input: Input) -> Vec<Action> {
        let mut actions = Vec::new();
        match input {
            Input::Submit(entry) => self.waiting.push_back(entry),
            Input::Appended(answer) => self.appended(answer.first_offset, &mut actions),
            Input::Refused => self.refused(now),
            Input::Rejected => self.rejected(&mut actions),
            Input::Lost => self.lost(&mut actions),
            Input::Read(answer) => self.read(now, &answer, &mut actions),
            Input::ReadFailed => self.read_failed(now),
            Input::Wake => {}
        }
        self.expire(now, &mut actions);
        self.resume(now, &mut actions);
        self.advance(now, quota, &mut actions);
        actions
    }

    fn appended(&mut self, first_offset: Offset, actions: &mut Vec<Action>) {
        let Some(batch) = self.take_appending() else {
            return;
        };
        self.succeeded();
        let end = Offset(first_offset.0 + batch.entries.len() as u64);
        self.saw_head(end);
        if batch.may_stand {
            // An earlier write may have arrived after all, and then it comes first.
            let mut search = Search::new(batch);
            search.until = Some(end);
            search.answered = Some(first_offset);
            self.search(search, actions);
            return;
        }
        for (index, entry) in batch.entries.iter().enumerate() {
            let offset = Offset(first_offset.0 + index as u64);
            actions.push(Action::Settled(entry.id, offset));
        }
    }

    fn refused(&mut self, now: Time) {
        let Some(batch) = self.take_appending() else {
            return;
        };
        self.put_back(batch);
        self.pause(now, None);
    }

    fn rejected(&mut self, actions: &mut Vec<Action>) {
        let Some(batch) = self.take_appending() else {
            return;
        };
        for entry in batch.entries {
            actions.push(if batch.may_stand {
                Action::Unsettled(entry.id)
            } else {
                Action::NotAppended(entry.id)
            });
        }
    }

    fn lost(&mut self, actions: &mut Vec<Action>) {
        if let Some(mut batch) = self.take_appending() {
            batch.may_stand = true;
            self.search(Search::new(batch), actions);
        }
    }

    fn read(&mut self, now: Time, answer: &ReadAnswer, actions: &mut Vec<Action>) {
        match self.take_phase() {
            Phase::Probing => {
                self.succeeded();
                self.saw_head(answer.head);
            }
            Phase::Searching(mut search) => {
                self.succeeded();
                self.saw_head(answer.head);
                search.take(answer);
                if search.is_done() {
                    self.conclude(now, search, actions);
                } else {
                    self.search(search, actions);
                }
            }
            other => self.phase = other,
        }
    }

    fn read_failed(&mut self, now: Time) {
        match self.take_phase() {
            Phase::Probing => self.pause(now, None),
            Phase::Searching(search) => self.pause(now, Some(search)),
            other => self.phase = other,
        }
    }

    /// Reports what a search found and keeps the rest for another append.
    fn conclude(&mut self, now: Time, search: Search, actions: &mut Vec<Action>) {
        let mut missing = Vec::new();
        let offsets = search.offsets();
        for (entry, offset) in search.batch.entries.into_iter().zip(offsets) {
            match offset {
                Some(offset) => actions.push(Action::Settled(entry.id, offset)),
                None if search.is_cut => actions.push(Action::Unsettled(entry.id)),
                None => missing.push(entry),
            }
        }
        if missing.is_empty() {
            return;
        }
        self.put_back(Batch {
            entries: missing,
            since: search.batch.since,
            may_stand: true,
        });
        self.pause(now, None);
    }

    /// Ends a pause whose time has come.
    fn resume(&mut self, now: Time, actions: &mut Vec<Action>) {
        match self.take_phase() {
            Phase::Pausing(until, search) if now >= until => {
                if let Some(search) = search {
                    self.search(search, actions);
                }
            }
            Phase::Pausing(until, search) => {
                self.phase = Phase::Pausing(until, search);
                actions.push(Action::Wake(until));
            }
            other => self.phase = other,
        }
    }

    /// Sends what waits, if nothing is in flight and the budget allows.
    fn advance(&mut self, now: Time, quota: &mut Quota, actions: &mut Vec<Action>) {
        let has_work = self.again.is_some() || !self.waiting.is_empty();
        if !matches!(self.phase, Phase::Idle) || !has_work {
            return;
        }
        let Some(head) = self.head else {
            self.phase = Phase::Probing;
            actions.push(Action::Read(BEYOND_HEAD));
            return;
        };
        let wait = quota.ready_in(now);
        if wait > Duration::ZERO {
            actions.push(Action::Wake(now + wait));
            return;
        }
        let batch = self
            .again
            .take()
            .unwrap_or_else(|| Batch::next(&mut self.waiting, &self.options, head));
        let records: Vec<_> = batch.entries.iter().map(|e| e.data.clone()).collect();
        quota.charge(now, records.iter().map(String::len).sum());
        self.phase = Phase::Appending(batch);
        actions.push(Action::Append(records));
    }

    fn search(&mut self, search: Search, actions: &mut Vec<Action>) {
        actions.push(Action::Read(search.from));
        self.phase = Phase::Searching(search);
    }

    /// Keeps a batch for another append; one that was certainly never written may still expire.
    fn put_back(&mut self, batch: Batch) {
        if batch.may_stand {
            self.again = Some(batch);
            return;
        }
        for entry in batch.entries.into_iter().rev() {
            self.waiting.push_front(entry);
        }
    }

    /// Gives up what was not written in time.
    fn expire(&mut self, now: Time, actions: &mut Vec<Action>) {
        let is_late = |entry: &Entry| entry.expires_at.is_some_and(|at| at <= now);
        self.waiting.retain(|entry| {
            let is_late = is_late(entry);
            if is_late {
                actions.push(Action::NotAppended(entry.id));
            }
            !is_late
        });
        let next = self.waiting.iter().filter_map(|entry| entry.expires_at);
        if let Some(at) = next.min() {
            actions.push(Action::Wake(at));
        }
    }

    fn pause(&mut self, now: Time, search: Option<Search>) {
        let longest = Duration::from_millis(self.options.backoff_max_ms);
        let pause = self.backoff.next().unwrap_or(longest);
        self.phase = Phase::Pausing(now + pause, search);
    }

    fn succeeded(&mut self) {
        self.seed = self.seed.wrapping_add(1);
        self.backoff = self.options.backoff(self.seed);
    }

    fn saw_head(&mut self, head: Offset) {
        self.head = Some(self.head.map_or(head, |known| known.max(head)));
    }

    /// The batch in flight; an answer that belongs to no append is ignored.
    fn take_appending(&mut self) -> Option<Batch> {
        match self.take_phase() {
            Phase::Appending(batch) => Some(batch),
            other => {
                self.phase = other;
                None
            }
        }
    }

    fn take_phase(&mut self) -> Phase {
        mem::replace(&mut self.phase, Phase::Idle)
    }
}

#[cfg(test)]
mod tests;
