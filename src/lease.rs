//! A lease in the log: who may give orders for a service in a data centre, and until when.
//!
//! The offset of the record that takes the lease is its fencing number. The holder counts its term
//! from before it sent the record, on its own monotonic clock; others count it from the platform's
//! time on the record, and wait [`PAUSE_MS`] longer, so that they never have to compare clocks.

use std::time::Duration;

use derive_builder::Builder;
use serde::Deserialize;
use serde::Serialize;

use crate::clock::Time;
use crate::id::DataCentre;
use crate::id::HostId;
use crate::id::Incarnation;
use crate::id::Offset;
use crate::id::ServiceId;
use crate::platform::ReadAnswer;
use crate::platform::Record;

/// Others wait this much longer than the term before they take a lease, in milliseconds.
///
/// A constant: hosts that disagree on it could hold the lease at once.
pub const PAUSE_MS: u64 = 10_000;

/// What a lease is for.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LeaseScope {
    /// The data centre.
    pub data_centre: DataCentre,
    /// The service.
    pub service: ServiceId,
}

/// A host, and which of its lives.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holder {
    /// The host.
    pub host: HostId,
    /// Its incarnation.
    pub incarnation: Incarnation,
}

/// A record of the lease stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "snake_case")]
pub enum LeaseRecord {
    /// A host takes the lease, or renews it.
    Take {
        /// What for.
        #[serde(flatten)]
        scope: LeaseScope,
        /// Who.
        #[serde(flatten)]
        holder: Holder,
        /// Counts the holder's records.
        sequence: u64,
        /// For how long, in milliseconds.
        term_ms: u64,
        /// The configuration that the holder acts by.
        config: Offset,
    },
    /// The holder gives the lease back; it has no order under way.
    GiveBack {
        /// What for.
        #[serde(flatten)]
        scope: LeaseScope,
        /// Who.
        #[serde(flatten)]
        holder: Holder,
        /// Counts the holder's records.
        sequence: u64,
    },
}

/// Options of leases.
#[derive(Debug, Clone, PartialEq, Eq, Builder, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
#[builder(default)]
pub struct LeaseOptions {
    /// Term of a lease, in milliseconds; 30 s.
    pub term_ms: u64,
    /// A lease that is still wanted is renewed this long after it was taken, in milliseconds; 10 s.
    pub renew_after_ms: u64,
    /// Pause after an attempt to take it that failed, in milliseconds; 2 s.
    pub retry_ms: u64,
}

impl Default for LeaseOptions {
    fn default() -> Self {
        LeaseOptions {
            term_ms: 30_000,
            renew_after_ms: 10_000,
            retry_ms: 2_000,
        }
    }
}

/// A lease that is held.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Held {
    /// The fencing number.
    pub fence: Offset,
    /// The end of the term.
    pub until: Time,
    /// When it was read back.
    pub since: Time,
}

/// What the log says of a lease.
#[derive(Debug, Default)]
struct Standing {
    holder: Option<Holder>,
    /// Nobody else takes it before this time of the platform.
    free_ms: u64,
    /// The newest configuration that any holder acted by.
    config: Offset,
}

/// One host's part in one lease.
#[derive(Debug)]
pub struct Lease {
    scope: LeaseScope,
    me: Holder,
    options: LeaseOptions,
    standing: Standing,
    next: Offset,
    is_started: bool,
    sequence: u64,
    sent: Option<Sent>,
    held: Option<Held>,
    not_before: Time,
}

/// A record that takes the lease and was not read back yet.
#[derive(Debug, Clone, Copy)]
struct Sent {
    sequence: u64,
    at: Time,
}

impl Lease {
    /// A lease of which nothing is known.
    pub fn new(scope: LeaseScope, me: Holder, options: LeaseOptions) -> Self {
        Lease {
            scope,
            me,
            options,
            standing: Standing::default(),
            next: Offset(0),
            is_started: false,
            sequence: 0,
            sent: None,
            held: None,
            not_before: Time::ZERO,
        }
    }

    /// The offset to read from next.
    pub fn next_offset(&self) -> Offset {
        self.next
    }

    /// The lease, if it is held at `now`.
    pub fn held(&self, now: Time) -> Option<Held> {
        self.held.filter(|held| now < held.until)
    }

    /// The newest configuration that any holder acted by.
    pub fn config(&self) -> Offset {
        self.standing.config
    }

    /// The record to append at `now` by a host that wants the lease to act by `config`.
    pub fn take(&mut self, now: Time, wall_ms: u64, config: Offset) -> Option<LeaseRecord> {
        if !self.is_started || now < self.not_before || !self.may_try(now, wall_ms) {
            return None;
        }
        let sequence = self.next_sequence();
        self.sent = Some(Sent { sequence, at: now });
        self.not_before = now + Duration::from_millis(self.options.retry_ms);
        Some(LeaseRecord::Take {
            scope: self.scope.clone(),
            holder: self.me.clone(),
            sequence,
            term_ms: self.options.term_ms,
            config,
        })
    }

    /// The record that gives the lease back, for a holder with no order under way.
    pub fn give_back(&mut self) -> Option<LeaseRecord> {
        self.held.take()?;
        self.sent = None;
        Some(LeaseRecord::GiveBack {
            scope: self.scope.clone(),
            holder: self.me.clone(),
            sequence: self.next_sequence(),
        })
    }

    /// A fencing number above this host's was seen: it holds nothing.
    pub fn lose(&mut self) {
        self.held = None;
    }

    /// Takes what was read of the lease stream.
    pub fn read(&mut self, now: Time, wall_ms: u64, answer: &ReadAnswer) {
        let new = |record: &&Record| record.offset >= self.next;
        let first = answer.records.iter().find(new);
        let start = first.map_or(answer.first_retained.max(self.next), |it| it.offset);
        if start > self.next {
            let seen_ms = first.map_or(wall_ms, |record| record.appended_at_ms);
            self.miss(seen_ms);
            self.next = start;
        }
        self.is_started = true;
        for record in &answer.records {
            if record.offset == self.next {
                self.next = record.offset.next();
                self.fold(now, record);
            }
        }
    }

    /// Records were missed that may have taken the lease.
    fn miss(&mut self, seen_ms: u64) {
        self.standing.holder = None;
        self.block_until(seen_ms + self.options.term_ms + PAUSE_MS);
        self.lose();
    }

    fn fold(&mut self, now: Time, record: &Record) {
        match serde_json::from_str(&record.data) {
            Ok(LeaseRecord::Take {
                scope,
                holder,
                sequence,
                term_ms,
                config,
            }) if scope == self.scope => {
                if self.taken(record.appended_at_ms, &holder, term_ms) && holder == self.me {
                    self.mine(now, record.offset, sequence);
                }
                self.standing.config = self.standing.config.max(config);
            }
            Ok(LeaseRecord::GiveBack { scope, holder, .. })
                if scope == self.scope && self.standing.holder.as_ref() == Some(&holder) =>
            {
                self.standing.holder = None;
                self.standing.free_ms = 0;
            }
            _ => {}
        }
    }

    /// Whether `holder` has the lease now.
    fn taken(&mut self, appended_ms: u64, holder: &Holder, term_ms: u64) -> bool {
        let renews = self.standing.holder.as_ref() == Some(holder);
        let is_free = appended_ms >= self.standing.free_ms;
        // After missed records another's claim counts in any case: it may have won.
        let may_have_won = self.standing.holder.is_none() && *holder != self.me;
        if !renews && !is_free && !may_have_won {
            return false;
        }
        if *holder != self.me {
            self.lose();
        }
        if renews || is_free {
            self.standing.holder = Some(holder.clone());
        }
        self.block_until(appended_ms + term_ms + PAUSE_MS);
        true
    }

    fn mine(&mut self, now: Time, offset: Offset, sequence: u64) {
        let Some(sent) = self.sent.filter(|sent| sent.sequence == sequence) else {
            return;
        };
        let renewed = self.held(now);
        self.sent = None;
        self.held = Some(Held {
            fence: offset,
            until: sent.at + Duration::from_millis(self.options.term_ms),
            since: renewed.map_or(now, |held| held.since),
        });
    }

    fn may_try(&self, now: Time, wall_ms: u64) -> bool {
        match self.held(now) {
            Some(held) => {
                let term = Duration::from_millis(self.options.term_ms);
                let renew_after = Duration::from_millis(self.options.renew_after_ms);
                now + term >= held.until + renew_after
            }
            None => wall_ms >= self.standing.free_ms,
        }
    }

    fn block_until(&mut self, free_ms: u64) {
        self.standing.free_ms = self.standing.free_ms.max(free_ms);
    }

    fn next_sequence(&mut self) -> u64 {
        self.sequence += 1;
        self.sequence
    }
}

#[cfg(test)]
mod tests;
