//! Following one stream of the platform's log, as a pure decision.
//!
//! Records are delivered once, in order. A gap left by retention is reported before what follows
//! it. After an outage the last record delivered is read again: if it differs, or if the stream
//! ends before it, the stream has another history and nothing more of it is delivered until it
//! shows the old one again.

use std::time::Duration;

use backon::ExponentialBackoff;
use xxhash_rust::xxh3::xxh3_64;

use crate::appender::AppenderOptions;
use crate::clock::Time;
use crate::id::Offset;
use crate::platform::ReadAnswer;
use crate::platform::Record;

/// What a follower of a stream is told.
#[derive(Debug, Clone, PartialEq)]
pub enum StreamEvent {
    /// The stream was read; the records follow without a gap on what was delivered before.
    Read(ReadAnswer),
    /// Retention passed over records that were not delivered.
    Gap {
        /// The first offset that was not delivered.
        from: Offset,
        /// The first offset that is still retained, and the next to be delivered.
        first_retained: Offset,
    },
    /// The platform did not answer; said once for each outage.
    Unreachable,
    /// The stream ends before, or differs from, what was delivered; said once.
    Foreign {
        /// Where the stream ends now.
        head: Offset,
    },
}

/// What happens to a follower.
#[derive(Debug, Clone, PartialEq)]
pub enum Input {
    /// The read in flight was answered.
    Read(ReadAnswer),
    /// The read in flight failed.
    Failed,
    /// The time asked for has come.
    Wake,
}

/// What a follower wants done.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Read from this offset.
    Read {
        /// From where.
        from: Offset,
        /// Whether to wait for a record if there is none.
        wait: bool,
    },
    /// Step again at this time.
    Wake(Time),
    /// Tell who follows.
    Tell(StreamEvent),
}

/// Decides how a stream is followed.
#[derive(Debug)]
pub struct Follower {
    options: AppenderOptions,
    seed: u64,
    next: Offset,
    last: Option<Last>,
    trust: Trust,
    checks_always: bool,
    is_failing: bool,
    backoff: ExponentialBackoff,
}

/// The last record delivered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Last {
    offset: Offset,
    hash: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Trust {
    /// The stream is known to hold what was delivered.
    Known,
    /// To be checked after an outage.
    Unchecked,
    /// It holds something else.
    Foreign,
}

impl Follower {
    /// A follower that delivers from `next` on; `seed` drives its jitter.
    pub fn new(options: AppenderOptions, next: Offset, seed: u64) -> Self {
        Follower {
            backoff: options.backoff(seed),
            options,
            seed,
            next,
            last: None,
            trust: Trust::Unchecked,
            checks_always: false,
            is_failing: false,
        }
    }

    /// Reads the last record again before anything that follows it is delivered, also without an
    /// outage: costs a second read each time that records arrive.
    pub fn checking_always(mut self) -> Self {
        self.checks_always = true;
        self
    }

    /// The next offset to be delivered.
    pub fn next_offset(&self) -> Offset {
        self.next
    }

    /// Decides what follows from `input`. Start it with [`Input::Wake`].
    pub fn step(&mut self, now: Time, input: Input) -> Vec<Action> {
        match input {
            Input::Wake => vec![self.read_on()],
            Input::Failed => self.failed(now),
            Input::Read(answer) => self.read(now, answer),
        }
    }

    fn read_on(&self) -> Action {
        match (self.trust, self.last) {
            (Trust::Known, _) => Action::Read {
                from: self.next,
                wait: true,
            },
            (_, last) => Action::Read {
                from: last.map_or(self.next, |last| last.offset),
                wait: false,
            },
        }
    }

    fn failed(&mut self, now: Time) -> Vec<Action> {
        let mut actions = Vec::new();
        if !self.is_failing {
            actions.push(Action::Tell(StreamEvent::Unreachable));
        }
        self.is_failing = true;
        if self.trust == Trust::Known {
            self.trust = Trust::Unchecked;
        }
        actions.push(self.pause(now));
        actions
    }

    fn read(&mut self, now: Time, answer: ReadAnswer) -> Vec<Action> {
        if answer.head < self.next || self.differs(&answer) {
            return self.foreign(now, answer.head);
        }
        let is_checked = self.trust != Trust::Known || self.last.is_none();
        if self.checks_always && !is_checked && !answer.records.is_empty() {
            self.trust = Trust::Unchecked;
            return vec![self.read_on()];
        }
        let mut actions = Vec::new();
        if answer.first_retained > self.next {
            actions.push(Action::Tell(StreamEvent::Gap {
                from: self.next,
                first_retained: answer.first_retained,
            }));
            self.next = answer.first_retained;
            self.last = None;
        }
        let Some(answer) = self.following(answer) else {
            // Records that don't follow on break the protocol: ask again later.
            actions.extend(self.failed(now));
            return actions;
        };
        self.succeeded();
        self.remember(&answer.records);
        actions.push(Action::Tell(StreamEvent::Read(answer)));
        actions.push(self.read_on());
        actions
    }

    /// Whether the answer holds the last record delivered, with another text.
    fn differs(&self, answer: &ReadAnswer) -> bool {
        let Some(last) = self.last else {
            return false;
        };
        answer
            .records
            .iter()
            .any(|record| record.offset == last.offset && hash(record) != last.hash)
    }

    fn foreign(&mut self, now: Time, head: Offset) -> Vec<Action> {
        let mut actions = Vec::new();
        if self.trust != Trust::Foreign {
            actions.push(Action::Tell(StreamEvent::Foreign { head }));
        }
        self.trust = Trust::Foreign;
        actions.push(self.pause(now));
        actions
    }

    /// The answer without what was delivered before, if its records have no gap.
    fn following(&self, mut answer: ReadAnswer) -> Option<ReadAnswer> {
        answer.records.retain(|record| record.offset >= self.next);
        let mut expected = self.next;
        for record in &answer.records {
            if record.offset != expected {
                return None;
            }
            expected = expected.next();
        }
        Some(answer)
    }

    fn remember(&mut self, records: &[Record]) {
        if let Some(record) = records.last() {
            self.next = record.offset.next();
            self.last = Some(Last {
                offset: record.offset,
                hash: hash(record),
            });
        }
    }

    fn pause(&mut self, now: Time) -> Action {
        let longest = Duration::from_millis(self.options.backoff_max_ms);
        Action::Wake(now + self.backoff.next().unwrap_or(longest))
    }

    fn succeeded(&mut self) {
        self.trust = Trust::Known;
        self.is_failing = false;
        self.seed = self.seed.wrapping_add(1);
        self.backoff = self.options.backoff(self.seed);
    }
}

fn hash(record: &Record) -> u64 {
    xxh3_64(record.data.as_bytes())
}

#[cfg(test)]
mod tests;
