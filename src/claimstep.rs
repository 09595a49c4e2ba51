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
    /// Longest wait until a claim is written to the log, in milliseconds; 2 s.
    pub wait_ms: u64,
    /// Longest wait after that until the claim is read back, in milliseconds; 1 s.
    pub settle_ms: u64,
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
            settle_ms: 1_000,
            mark_interval_ms: 180_000,
            partitions: 1,
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
    /// The claim's record was not written to the log and never will be.
    NotAppended(ClaimId),
    /// The stream was read; the answer follows on what was read before, or leaves a gap.
    Read(ReadAnswer),
    /// Time passed.
    Tick,
}

/// What the claimant wants done.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Append a record.
    Append(Appending),
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

/// A record to append.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Appending {
    /// The claim to report as [`Input::NotAppended`], if the record makes one.
    pub claim: Option<ClaimId>,
    /// The record's text, unlike any other's.
    pub data: String,
    /// It need not be written any more after this time; `None` waits as long as the log is away.
    pub wait_limit: Option<Duration>,
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
