//! What a claimant is told, what it answers, and its options.

use std::time::Duration;

use derive_builder::Builder;
use serde::Deserialize;
use serde::Serialize;

use crate::claim::ClaimEnd;
use crate::claim::ClaimKey;
use crate::claim::Holding;
use crate::clock::Time;
use crate::event::EventCode;
use crate::id::ClaimId;
use crate::id::Offset;
use crate::id::RequestId;
use crate::outbox::Pace;
use crate::platform::ReadAnswer;
use crate::refusal::Refusal;

/// Options of the claims.
#[derive(Debug, Clone, PartialEq, Eq, Builder, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
#[builder(default)]
pub struct ClaimOptions {
    /// Age at which a key expires, in milliseconds; 15 minutes. The log must keep records longer
    /// than this by twice `mark_interval_ms` and twice the clock skew.
    pub window_ms: u64,
    /// Longest wait for the log, in milliseconds; 2 s.
    pub wait_ms: u64,
    /// Least time between two appends to a claim stream, in milliseconds; 100 ms. Eight hosts
    /// then append at most 80 times a second.
    pub append_interval_ms: u64,
    /// Longest pause after a failed append, in milliseconds; 500 ms.
    pub retry_max_ms: u64,
    /// Most records in one append; 512.
    pub batch_records_max: usize,
    /// A stream that was idle for this long gets a time mark, in milliseconds; 3 minutes.
    pub mark_interval_ms: u64,
    /// Streams that claims are spread over, by key; 1. The same on every host.
    pub partitions: u32,
}

impl Default for ClaimOptions {
    fn default() -> Self {
        ClaimOptions {
            window_ms: 900_000,
            wait_ms: 2_000,
            append_interval_ms: 100,
            retry_max_ms: 500,
            batch_records_max: 512,
            mark_interval_ms: 180_000,
            partitions: 1,
        }
    }
}

impl ClaimOptions {
    pub(crate) fn pace(&self) -> Pace {
        Pace {
            interval: Duration::from_millis(self.append_interval_ms),
            retry_max: Duration::from_millis(self.retry_max_ms),
            batch_records_max: self.batch_records_max.max(1),
        }
    }
}

/// A caller's request for the right to run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ask {
    /// The request.
    pub request: RequestId,
    /// The claim to make for it; a new id for every ask.
    pub claim: ClaimId,
    /// What to claim.
    pub key: ClaimKey,
    /// The caller's own deadline.
    pub deadline: Time,
}

/// What the claimant is told.
#[derive(Debug, Clone, PartialEq)]
pub enum Input {
    /// A caller asks.
    Ask(Ask),
    /// A request that won its claim ended so.
    Conclude(ClaimId, ClaimEnd),
    /// The batch is in the log.
    AppendSettled(u64),
    /// The batch is certainly not in the log and never will be.
    AppendRefused(u64),
    /// Nobody knows whether the batch is in the log.
    AppendLost(u64),
    /// Records were read.
    RecordsRead(ReadDone),
    /// Time passed.
    Tick,
}

/// A read of the stream.
#[derive(Debug, Clone, PartialEq)]
pub struct ReadDone {
    /// When the read was sent.
    pub began: Time,
    /// The offset asked for.
    pub from: Offset,
    /// The answer.
    pub answer: ReadAnswer,
}

/// What the claimant wants done.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Append these records in one append and report its fate under the batch's number.
    Append {
        /// The batch's number.
        batch: u64,
        /// The records.
        records: Vec<String>,
    },
    /// Answer the caller who asked.
    Answer {
        /// The claim that was to be made.
        claim: ClaimId,
        /// The answer.
        answer: ClaimAnswer,
    },
    /// Record an event.
    Note {
        /// The event.
        code: EventCode,
        /// The request, where it is known.
        request: Option<RequestId>,
        /// The record it concerns.
        offset: Offset,
    },
}

/// The answer to an [`Ask`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimAnswer {
    /// The request may be dispatched once, and must be concluded.
    Won,
    /// Another request holds the key.
    Lost(Holding),
    /// The request must not be dispatched.
    Refused(Refusal),
}
