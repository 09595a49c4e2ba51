//! Records on their way to a stream of the log: group commit with one append in flight, and lost
//! answers settled by reading back.

use std::collections::VecDeque;
use std::mem;
use std::time::Duration;

use crate::clock::Time;
use crate::id::ClaimId;

/// Shortest wait after an append that failed.
const RETRY_MIN: Duration = Duration::from_millis(10);

/// What a record says, which with its claim's id makes it one of a kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Content {
    /// The claim itself.
    Claim,
    /// Its end.
    End,
    /// A time mark: no matter if it is lost.
    Mark,
}

/// A record to append.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Outgoing {
    /// The claim it concerns.
    pub(crate) claim: ClaimId,
    /// What it says.
    pub(crate) content: Content,
    /// Its text.
    pub(crate) data: String,
}

/// Whether a record that is taken back can still reach the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Withdrawn {
    /// It was never sent.
    NeverSent,
    /// It was sent, or is being sent.
    MayArrive,
}

/// Pace of appends.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Pace {
    /// Least time between two appends.
    pub(crate) interval: Duration,
    /// Longest wait after appends that failed.
    pub(crate) retry_max: Duration,
    /// Most records in one append.
    pub(crate) batch_records_max: usize,
}

/// The records of one stream that this process wants appended.
#[derive(Debug)]
pub(crate) struct Outbox {
    pace: Pace,
    queue: VecDeque<Queued>,
    in_flight: Vec<Queued>,
    batch: Option<u64>,
    next_batch: u64,
    unsettled: Vec<Queued>,
    lost_at: Time,
    not_before: Time,
    wait: Duration,
}

#[derive(Debug)]
struct Queued {
    record: Outgoing,
    sent_before: bool,
}

impl Outbox {
    /// An empty outbox.
    pub(crate) fn new(pace: Pace) -> Self {
        Outbox {
            pace,
            queue: VecDeque::new(),
            in_flight: Vec::new(),
            batch: None,
            next_batch: 0,
            unsettled: Vec::new(),
            lost_at: Time::ZERO,
            not_before: Time::ZERO,
            wait: pace.interval.max(RETRY_MIN),
        }
    }

    /// Whether nothing waits and nothing is under way.
    pub(crate) fn is_empty(&self) -> bool {
        self.queue.is_empty() && self.batch.is_none() && self.unsettled.is_empty()
    }

    /// Whether `record` waits or is under way.
    pub(crate) fn holds(&self, claim: ClaimId, content: Content) -> bool {
        let under_way = self.in_flight.iter().chain(&self.unsettled);
        self.queue
            .iter()
            .chain(under_way)
            .any(|queued| queued.record.is(claim, content))
    }

    /// Adds a record.
    pub(crate) fn push(&mut self, record: Outgoing) {
        self.queue.push_back(Queued {
            record,
            sent_before: false,
        });
    }

    /// Takes a record back.
    pub(crate) fn withdraw(&mut self, claim: ClaimId, content: Content) -> Withdrawn {
        let found = self
            .queue
            .iter()
            .position(|queued| queued.record.is(claim, content));
        let queued = found.and_then(|index| self.queue.remove(index));
        match queued {
            Some(queued) if !queued.sent_before => Withdrawn::NeverSent,
            _ => Withdrawn::MayArrive,
        }
    }

    /// The next batch with its number, if one may be sent at `now`.
    ///
    /// Nothing is sent while the fate of an earlier batch is open.
    pub(crate) fn next(&mut self, now: Time) -> Option<(u64, Vec<String>)> {
        if self.batch.is_some() || !self.unsettled.is_empty() || self.queue.is_empty() {
            return None;
        }
        if now < self.not_before {
            return None;
        }
        let count = self.queue.len().min(self.pace.batch_records_max);
        self.in_flight = self.queue.drain(..count).collect();
        self.not_before = now + self.pace.interval;
        let batch = self.next_batch;
        self.next_batch += 1;
        self.batch = Some(batch);
        let data = self.in_flight.iter().map(|queued| &queued.record.data);
        Some((batch, data.cloned().collect()))
    }

    /// When [`Self::next`] may have something at the earliest, as far as that is known.
    pub(crate) fn next_at(&self) -> Option<Time> {
        let may_send = self.batch.is_none() && self.unsettled.is_empty() && !self.queue.is_empty();
        may_send.then_some(self.not_before)
    }

    /// The batch is in the log. Late and repeated answers are ignored.
    pub(crate) fn settled(&mut self, batch: u64) {
        if self.end_flight(batch).is_some() {
            self.wait = self.pace.interval.max(RETRY_MIN);
        }
    }

    /// The batch is certainly not in the log: it goes again, in order, after a wait.
    pub(crate) fn refused(&mut self, batch: u64, now: Time) {
        if let Some(records) = self.end_flight(batch) {
            self.requeue(records);
            self.back_off(now);
        }
    }

    /// The batch's answer was lost: it may be in the log, or get there yet.
    pub(crate) fn lost(&mut self, batch: u64, now: Time) {
        if let Some(records) = self.end_flight(batch) {
            self.unsettled = records;
            self.unsettled
                .retain(|queued| queued.record.content != Content::Mark);
            for queued in &mut self.unsettled {
                queued.sent_before = true;
            }
            self.lost_at = now;
            self.back_off(now);
        }
    }

    /// The record was read in the log. Answers whether that settled a lost answer.
    pub(crate) fn seen(&mut self, claim: ClaimId, content: Content) -> bool {
        let open = self.unsettled.len();
        let other = |queued: &Queued| !queued.record.is(claim, content);
        self.unsettled.retain(other);
        self.in_flight.retain(other);
        self.queue.retain(other);
        self.unsettled.len() < open
    }

    /// A read that began at `began` and reached the stream's head is done: what was lost before
    /// and not seen goes again. Should the lost one arrive too, the copies say the same.
    pub(crate) fn reached_head(&mut self, began: Time) {
        if began > self.lost_at && !self.unsettled.is_empty() {
            let records = mem::take(&mut self.unsettled);
            self.requeue(records);
        }
    }

    fn end_flight(&mut self, batch: u64) -> Option<Vec<Queued>> {
        if self.batch != Some(batch) {
            return None;
        }
        self.batch = None;
        Some(mem::take(&mut self.in_flight))
    }

    fn requeue(&mut self, records: Vec<Queued>) {
        for queued in records.into_iter().rev() {
            self.queue.push_front(queued);
        }
    }

    fn back_off(&mut self, now: Time) {
        self.not_before = now + self.wait;
        self.wait = (self.wait * 2).min(self.pace.retry_max);
    }
}

impl Outgoing {
    fn is(&self, claim: ClaimId, content: Content) -> bool {
        self.claim == claim && self.content == content
    }
}

#[cfg(test)]
mod tests;
