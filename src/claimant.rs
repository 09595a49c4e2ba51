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
//! A claim's record may stand in the log twice; the first counts.

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
use crate::claimstep::Appending;
use crate::claimstep::Ask;
use crate::claimstep::ClaimAnswer;
use crate::claimstep::ClaimOptions;
use crate::claimstep::Input;
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
    callers: Callers,
    /// Claims given to callers and not concluded.
    running: BTreeMap<ClaimId, ClaimKey>,
    mark_after_ms: u64,
    marked_ms: u64,
}

impl Claimant {
    /// A claimant that has read nothing.
    pub fn new(host: HostId, incarnation: Incarnation, options: ClaimOptions) -> Self {
        // Spread, so that the first host to append a mark spares the others theirs.
        let spread_ms = xxh3_64(host.as_str().as_bytes()) % options.mark_interval_ms.max(1);
        Claimant {
            host,
            incarnation,
            holdings: Holdings::new(options.window_ms),
            callers: Callers::default(),
            running: BTreeMap::new(),
            mark_after_ms: options.mark_interval_ms + spread_ms,
            marked_ms: 0,
            options,
        }
    }

    /// The offset to read from next.
    pub fn next_offset(&self) -> Offset {
        self.holdings.next()
    }

    /// Whether the stream was read at all.
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

    /// Takes one input at `now`, `wall_ms` being the host's wall clock.
    pub fn step(&mut self, now: Time, wall_ms: u64, input: Input) -> Vec<Action> {
        let mut actions = Vec::new();
        match input {
            Input::Ask(ask) => self.ask(now, wall_ms, ask, &mut actions),
            Input::Conclude(claim, end) => self.conclude(claim, end, &mut actions),
            Input::NotAppended(claim) => self.not_appended(claim, &mut actions),
            Input::Read(answer) => self.read(now, wall_ms, &answer, &mut actions),
            Input::Tick => self.mark_if_idle(wall_ms, &mut actions),
        }
        self.give_up(now, &mut actions);
        actions
    }

    fn ask(&mut self, now: Time, wall_ms: u64, ask: Ask, actions: &mut Vec<Action>) {
        let wait = Duration::from_millis(self.options.wait_ms + self.options.settle_ms);
        let give_up_at = ask.deadline.min(now + wait);
        let waiting = Waiting::new(ask, give_up_at, wall_ms);
        self.admit(now, wall_ms, waiting, actions);
    }

    /// Answers the caller if that is possible without a claim, else appends one.
    fn admit(&mut self, now: Time, wall_ms: u64, mut waiting: Waiting, actions: &mut Vec<Action>) {
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
            actions.push(Action::Append(self.appending(now, &waiting)));
        }
        self.callers.insert(waiting);
    }

    fn appending(&self, now: Time, waiting: &Waiting) -> Appending {
        let Ask { claim, key, .. } = &waiting.ask;
        let record = ClaimRecord::Claim {
            key: key.clone(),
            claim: *claim,
            host: self.host.clone(),
            incarnation: self.incarnation,
        };
        // Time is left to hear whether it was written before the caller is given up.
        let remaining = waiting.give_up_at.since(now) * 3 / 4;
        let wait = Duration::from_millis(self.options.wait_ms);
        Appending {
            claim: Some(*claim),
            data: record.encode(),
            wait_limit: Some(remaining.min(wait)),
        }
    }

    fn refuse_by_age(&self, key: &ClaimKey, wall_ms: u64) -> Option<Refusal> {
        let latest_ms = wall_ms.max(self.holdings.time_ms());
        if key.key.is_from_future(latest_ms) {
            return Some(from_future());
        }
        let is_expired = key.key.is_expired(latest_ms, self.options.window_ms);
        is_expired.then(|| expired("the key is older than the window"))
    }

    fn conclude(&mut self, claim: ClaimId, end: ClaimEnd, actions: &mut Vec<Action>) {
        if let Some(key) = self.running.remove(&claim) {
            append_end(claim, key, end, actions);
        }
    }

    fn not_appended(&mut self, claim: ClaimId, actions: &mut Vec<Action>) {
        if let Some(waiting) = self.callers.remove(claim) {
            self.refuse(waiting, actions);
        }
    }

    fn read(&mut self, now: Time, wall_ms: u64, answer: &ReadAnswer, actions: &mut Vec<Action>) {
        self.join_up(wall_ms, answer, actions);
        for record in &answer.records {
            if record.offset == self.holdings.next() {
                self.fold(now, record, actions);
            }
        }
        for waiting in self.callers.take(|waiting| !waiting.appended) {
            self.admit(now, wall_ms, waiting, actions);
        }
    }

    /// Starts the fold, or starts it anew after a gap.
    fn join_up(&mut self, wall_ms: u64, answer: &ReadAnswer, actions: &mut Vec<Action>) {
        let next = self.holdings.next();
        let new = answer.records.iter().find(|record| record.offset >= next);
        let first = new.map_or(answer.first_retained.max(next), |record| record.offset);
        let starts = !self.is_ready();
        if !starts && first == next {
            return;
        }
        let coverage = if starts && first == Offset(0) {
            Coverage::Everything
        } else {
            let appended_ms = new.map(|record| record.appended_at_ms);
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
            Change::Won(claim) => self.won(now, claim, record, actions),
            Change::Lost(claim, holding) => {
                if self.callers.remove(claim).is_some() {
                    answer(claim, ClaimAnswer::Lost(holding), actions);
                }
            }
            Change::Void(_) | Change::Ended(_) | Change::Nothing => {}
        }
    }

    fn won(&mut self, now: Time, claim: ClaimId, record: &Record, actions: &mut Vec<Action>) {
        let Some(waiting) = self.callers.remove(claim) else {
            return;
        };
        let key = waiting.ask.key;
        if let Some(refusal) = self.refuse_winner(now, waiting.give_up_at, &key, record) {
            append_end(claim, key, ClaimEnd::Released, actions);
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

    /// Refuses the callers who waited long enough. A claim that may still reach the log is
    /// released; should the release come first, the claim is void when it arrives.
    fn give_up(&mut self, now: Time, actions: &mut Vec<Action>) {
        for waiting in self.callers.take(|waiting| now > waiting.give_up_at) {
            if waiting.appended {
                let Ask { claim, key, .. } = &waiting.ask;
                append_end(*claim, key.clone(), ClaimEnd::Released, actions);
            }
            self.refuse(waiting, actions);
        }
    }

    fn refuse(&self, waiting: Waiting, actions: &mut Vec<Action>) {
        let ran = waiting.ran();
        let refused = || ClaimAnswer::Refused(unavailable(ran));
        let holding = self.holdings.holding(&waiting.ask.key);
        let refusal = holding.map_or_else(refused, ClaimAnswer::Lost);
        answer(waiting.ask.claim, refusal, actions);
    }

    /// Keeps a time in a stream that is idle, so that hosts which start can tell what it covers.
    fn mark_if_idle(&mut self, wall_ms: u64, actions: &mut Vec<Action>) {
        let is_used = self.holdings.next() > Offset(0);
        let last_ms = self.holdings.time_ms().max(self.marked_ms);
        if !is_used || wall_ms <= last_ms + self.mark_after_ms {
            return;
        }
        self.marked_ms = wall_ms;
        let mark = ClaimRecord::Mark {
            host: self.host.clone(),
            at_ms: wall_ms,
        };
        actions.push(Action::Append(Appending {
            claim: None,
            data: mark.encode(),
            wait_limit: Some(Duration::from_millis(self.options.wait_ms)),
        }));
    }
}

fn append_end(claim: ClaimId, key: ClaimKey, end: ClaimEnd, actions: &mut Vec<Action>) {
    actions.push(Action::Append(Appending {
        claim: None,
        data: ClaimRecord::Outcome { key, claim, end }.encode(),
        wait_limit: None,
    }));
}

fn answer(claim: ClaimId, answer: ClaimAnswer, actions: &mut Vec<Action>) {
    actions.push(Action::Answer { claim, answer });
}
