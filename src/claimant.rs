//! Decides for one claim stream whether this host may send a request: pure, one step an input.
//!
//! The host may dispatch under a claim once [`ClaimAnswer::Won`] is given for it, which happens at
//! most once a claim and, over all hosts, at most once a key:
//!
//! - A claim wins only where this host has read every record that could hold an earlier claim on
//!   the key, without a gap, up to the claim's own.
//! - A claim that was not given to a caller in time is released and never given afterwards.
//! - `released` is appended only for claims that were not, and never will be, dispatched.
//!
//! How long the holder pauses after it won plays no part: until it releases the claim nobody else
//! can win, and once the record is gone with the log's retention the key is too old for others.

use std::collections::BTreeMap;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use crate::callers::Callers;
use crate::callers::Waiting;
use crate::claim::ClaimEnd;
use crate::claim::ClaimKey;
use crate::claim::ClaimRecord;
use crate::claim::expired;
use crate::claim::from_future;
use crate::claim::unavailable;
use crate::claimstep::Action;
use crate::claimstep::Ask;
use crate::claimstep::ClaimAnswer;
use crate::claimstep::ClaimOptions;
use crate::claimstep::Input;
use crate::claimstep::ReadDone;
use crate::clock::Time;
use crate::event::EventCode;
use crate::holdings::Change;
use crate::holdings::Coverage;
use crate::holdings::Holdings;
use crate::id::ClaimId;
use crate::id::HostId;
use crate::id::Incarnation;
use crate::id::Offset;
use crate::key::CLOCK_SKEW_MS;
use crate::outbox::Content;
use crate::outbox::Outbox;
use crate::outbox::Outgoing;
use crate::outbox::Withdrawn;
use crate::platform::ReadAnswer;
use crate::platform::Record;
use crate::refusal::Ran;
use crate::refusal::Refusal;

/// Decides for one claim stream.
#[derive(Debug)]
pub struct Claimant {
    host: HostId,
    incarnation: Incarnation,
    options: ClaimOptions,
    holdings: Holdings,
    outbox: Outbox,
    /// Callers without an answer.
    callers: Callers,
    /// Claims given to callers and not concluded.
    running: BTreeMap<ClaimId, ClaimKey>,
    /// Claims that are not and never will be dispatched, until their release is read.
    abandoned: BTreeMap<ClaimId, ClaimKey>,
    heard_at: Time,
    mark_after_ms: u64,
}

impl Claimant {
    /// A claimant that has read nothing.
    pub fn new(host: HostId, incarnation: Incarnation, options: ClaimOptions) -> Self {
        // Spread, so that the first host to append a mark spares the others theirs.
        let spread_ms = xxh3_64(host.as_str().as_bytes()) % options.mark_interval_ms.max(1);
        Claimant {
            host,
            incarnation,
            mark_after_ms: options.mark_interval_ms + spread_ms,
            holdings: Holdings::new(options.window_ms),
            outbox: Outbox::new(options.pace()),
            callers: Callers::default(),
            running: BTreeMap::new(),
            abandoned: BTreeMap::new(),
            heard_at: Time::ZERO,
            options,
        }
    }

    /// The offset to read from next.
    pub fn next_offset(&self) -> Offset {
        self.holdings.next()
    }

    /// Whether the stream was read up to where claims can be made.
    pub fn is_ready(&self) -> bool {
        self.holdings.coverage() != Coverage::Nothing
    }

    /// The fold.
    pub fn holdings(&self) -> &Holdings {
        &self.holdings
    }

    /// Callers that wait for an answer.
    pub fn waiting(&self) -> usize {
        self.callers.len()
    }

    /// Claims given to callers whose end is not known yet.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// When to send [`Input::Tick`] at the latest, if at all.
    pub fn next_tick(&self) -> Option<Time> {
        let give_up_at = self.callers.first_give_up_at().into_iter();
        give_up_at.chain(self.outbox.next_at()).min()
    }

    /// Takes one input at `now`, `wall_ms` being the host's wall clock.
    pub fn step(&mut self, now: Time, wall_ms: u64, input: Input) -> Vec<Action> {
        let mut actions = Vec::new();
        match input {
            Input::Ask(ask) => self.ask(now, wall_ms, ask, &mut actions),
            Input::Conclude(claim, end) => self.conclude(claim, end),
            Input::AppendSettled(batch) => self.outbox.settled(batch),
            Input::AppendRefused(batch) => {
                self.outbox.refused(batch, now);
                self.withdraw_abandoned();
            }
            Input::AppendLost(batch) => self.outbox.lost(batch, now),
            Input::RecordsRead(read) => self.read(now, wall_ms, read, &mut actions),
            Input::Tick => self.mark_if_idle(now, wall_ms),
        }
        self.give_up(now, &mut actions);
        if let Some((batch, records)) = self.outbox.next(now) {
            actions.push(Action::Append { batch, records });
        }
        actions
    }

    fn ask(&mut self, now: Time, wall_ms: u64, ask: Ask, actions: &mut Vec<Action>) {
        let wait = Duration::from_millis(self.options.wait_ms);
        let waiting = Waiting::new(ask, now, wall_ms, wait);
        self.admit(wall_ms, waiting, actions);
    }

    /// Answers the caller if that is possible without a claim, else queues one.
    fn admit(&mut self, wall_ms: u64, mut waiting: Waiting, actions: &mut Vec<Action>) {
        let claim = waiting.ask.claim;
        let key = &waiting.ask.key;
        if let Some(refusal) = self.refuse_by_age(key, wall_ms) {
            return answer(claim, ClaimAnswer::Refused(refusal), actions);
        }
        if let Some(holding) = self.holdings.holding(key) {
            return answer(claim, ClaimAnswer::Lost(holding), actions);
        }
        if self.is_ready() {
            if !self.holdings.covers(key.key) {
                let refusal = expired("the log no longer covers the key's age");
                return answer(claim, ClaimAnswer::Refused(refusal), actions);
            }
            waiting.appended = true;
            self.outbox.push(Outgoing {
                claim,
                content: Content::Claim,
                data: self.claim_record(key, claim),
            });
        }
        self.callers.insert(waiting);
    }

    fn refuse_by_age(&self, key: &ClaimKey, wall_ms: u64) -> Option<Refusal> {
        let latest_ms = wall_ms.max(self.holdings.time_ms());
        if key.key.is_from_future(latest_ms) {
            return Some(from_future());
        }
        let is_expired = key.key.is_expired(latest_ms, self.options.window_ms);
        is_expired.then(|| expired("the key is older than the window"))
    }

    fn conclude(&mut self, claim: ClaimId, end: ClaimEnd) {
        let Some(key) = self.running.remove(&claim) else {
            return;
        };
        if end == ClaimEnd::Released {
            self.abandon(claim, key);
        } else {
            self.push_end(claim, key, end);
        }
    }

    /// Gives a claim up that may be in the log, or get there.
    fn abandon(&mut self, claim: ClaimId, key: ClaimKey) {
        self.abandoned.insert(claim, key.clone());
        if !self.outbox.holds(claim, Content::End) {
            self.push_end(claim, key, ClaimEnd::Released);
        }
    }

    fn withdraw_abandoned(&mut self) {
        for claim in self.abandoned.keys() {
            self.outbox.withdraw(*claim, Content::Claim);
        }
    }

    fn push_end(&mut self, claim: ClaimId, key: ClaimKey, end: ClaimEnd) {
        self.outbox.push(Outgoing {
            claim,
            content: Content::End,
            data: ClaimRecord::Outcome { key, claim, end }.encode(),
        });
    }

    fn claim_record(&self, key: &ClaimKey, claim: ClaimId) -> String {
        ClaimRecord::Claim {
            key: key.clone(),
            claim,
            host: self.host.clone(),
            incarnation: self.incarnation,
        }
        .encode()
    }

    fn read(&mut self, now: Time, wall_ms: u64, read: ReadDone, actions: &mut Vec<Action>) {
        if read.from != self.holdings.next() {
            return;
        }
        self.heard_at = now;
        self.join_up(wall_ms, &read.answer, actions);
        for record in &read.answer.records {
            if record.offset == self.holdings.next() {
                self.fold(now, record, actions);
            }
        }
        if self.holdings.next() == read.answer.head {
            self.reached_head(read.began);
        }
        self.admit_early_callers(wall_ms, actions);
    }

    /// Starts the fold, or starts it anew after a gap.
    fn join_up(&mut self, wall_ms: u64, answer: &ReadAnswer, actions: &mut Vec<Action>) {
        let next = self.holdings.next();
        let first = answer.records.first().map(|record| record.offset);
        let first = first.unwrap_or(answer.first_retained.max(next.min(answer.head)));
        let starts = !self.is_ready();
        if !starts && first == next {
            return;
        }
        let coverage = if starts && first == Offset(0) {
            Coverage::Everything
        } else {
            let appended_ms = answer.records.first().map(|record| record.appended_at_ms);
            Coverage::After(appended_ms.unwrap_or(wall_ms + CLOCK_SKEW_MS))
        };
        self.holdings.restart(first, coverage);
        if !starts {
            self.callers.forget_proofs();
            actions.push(Action::Note {
                code: EventCode::ClaimGap,
                request: None,
                offset: first,
            });
        }
    }

    fn fold(&mut self, now: Time, record: &Record, actions: &mut Vec<Action>) {
        match self.holdings.apply(record) {
            Change::Won(claim) => {
                self.settle(claim, Content::Claim, record.offset, actions);
                self.won(now, claim, record, actions);
            }
            Change::Lost(claim, holding) => {
                self.settle(claim, Content::Claim, record.offset, actions);
                if self.callers.remove(claim).is_some() {
                    answer(claim, ClaimAnswer::Lost(holding), actions);
                }
            }
            Change::Void(claim) => {
                self.settle(claim, Content::Claim, record.offset, actions);
            }
            Change::Ended(claim) => {
                self.settle(claim, Content::End, record.offset, actions);
                self.abandoned.remove(&claim);
            }
            Change::Nothing => {}
        }
    }

    fn settle(
        &mut self,
        claim: ClaimId,
        content: Content,
        offset: Offset,
        actions: &mut Vec<Action>,
    ) {
        if self.outbox.seen(claim, content) {
            let waiting = self.callers.get(claim);
            actions.push(Action::Note {
                code: EventCode::ClaimSettled,
                request: waiting.map(|waiting| waiting.ask.request),
                offset,
            });
        }
    }

    fn won(&mut self, now: Time, claim: ClaimId, record: &Record, actions: &mut Vec<Action>) {
        let Some(waiting) = self.callers.remove(claim) else {
            return;
        };
        let key = waiting.ask.key;
        if let Some(refusal) = self.refuse_winner(now, waiting.give_up_at, &key, record) {
            self.abandon(claim, key);
            return answer(claim, ClaimAnswer::Refused(refusal), actions);
        }
        self.running.insert(claim, key);
        actions.push(Action::Note {
            code: EventCode::ClaimWon,
            request: Some(waiting.ask.request),
            offset: record.offset,
        });
        answer(claim, ClaimAnswer::Won, actions);
    }

    /// Why a claim that is the first by offset must not be used all the same.
    fn refuse_winner(
        &self,
        now: Time,
        give_up_at: Time,
        key: &ClaimKey,
        record: &Record,
    ) -> Option<Refusal> {
        if now > give_up_at {
            return Some(unavailable(Ran::No));
        }
        if let Some(refusal) = self.refuse_by_age(key, record.appended_at_ms) {
            return Some(refusal);
        }
        let is_covered = self.holdings.covers(key.key);
        (!is_covered).then(|| expired("the log no longer covers the key's age"))
    }

    fn reached_head(&mut self, began: Time) {
        self.outbox.reached_head(began);
        self.withdraw_abandoned();
        self.callers.prove_unused(began, &self.holdings);
    }

    /// Admits the callers who asked before the stream was first read.
    fn admit_early_callers(&mut self, wall_ms: u64, actions: &mut Vec<Action>) {
        for waiting in self.callers.take(|waiting| !waiting.appended) {
            self.admit(wall_ms, waiting, actions);
        }
    }

    /// Refuses the callers who waited long enough, and gives their claims up.
    fn give_up(&mut self, now: Time, actions: &mut Vec<Action>) {
        for waiting in self.callers.take(|waiting| now > waiting.give_up_at) {
            let ran = waiting.ran();
            let Ask { claim, key, .. } = waiting.ask;
            let holding = self.holdings.holding(&key);
            let withdrawn = self.outbox.withdraw(claim, Content::Claim);
            if waiting.appended && withdrawn == Withdrawn::MayArrive {
                self.abandon(claim, key);
            }
            let refused = || ClaimAnswer::Refused(unavailable(ran));
            answer(
                claim,
                holding.map_or_else(refused, ClaimAnswer::Lost),
                actions,
            );
        }
    }

    /// Keeps a time in a stream that is idle, so that hosts which start can tell what it covers.
    fn mark_if_idle(&mut self, now: Time, wall_ms: u64) {
        let is_used = self.holdings.next() > Offset(0);
        let is_idle = wall_ms > self.holdings.time_ms() + self.mark_after_ms;
        let is_heard = now.since(self.heard_at).as_millis() < u128::from(self.options.wait_ms);
        if is_used && is_idle && is_heard && self.outbox.is_empty() {
            self.outbox.push(Outgoing {
                claim: ClaimId::from_u128(0),
                content: Content::Mark,
                data: ClaimRecord::Mark.encode(),
            });
        }
    }
}

fn answer(claim: ClaimId, answer: ClaimAnswer, actions: &mut Vec<Action>) {
    actions.push(Action::Answer { claim, answer });
}
