//! Claims on idempotency keys as the log holds them, and what callers are told about them.
//!
//! Before a non-repeatable request with a key goes to an upstream, its host appends a
//! [`ClaimRecord::Claim`] to the key's stream. The first claim by offset holds the key for ever,
//! unless its holder appends that it was released, which says that nothing was sent.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::Xxh3;

use crate::id::ClaimId;
use crate::id::CustomerId;
use crate::id::HostId;
use crate::id::Incarnation;
use crate::key::IdempotencyKey;
use crate::platform::CLAIM_STREAM_PREFIX;
use crate::refusal::Code;
use crate::refusal::Ran;
use crate::refusal::Refusal;

/// What is claimed: a key belongs to one customer.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ClaimKey {
    /// The customer.
    pub customer: CustomerId,
    /// The customer's key.
    pub key: IdempotencyKey,
}

impl ClaimKey {
    /// The partition, of `partitions`, whose stream holds the key's claims.
    pub fn partition(&self, partitions: u32) -> u32 {
        let mut hasher = Xxh3::new();
        hasher.update(self.customer.as_str().as_bytes());
        hasher.update(self.key.as_bytes());
        let bucket = hasher.digest() % u64::from(partitions.max(1));
        u32::try_from(bucket).unwrap_or(0)
    }
}

/// Name of a partition's stream.
pub fn stream_name(partition: u32) -> String {
    format!("{CLAIM_STREAM_PREFIX}{partition}")
}

/// A record of a claim stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "snake_case")]
pub enum ClaimRecord {
    /// A host wants the key.
    Claim {
        /// What is claimed.
        #[serde(flatten)]
        key: ClaimKey,
        /// Names this claim.
        claim: ClaimId,
        /// The claimant.
        host: HostId,
        /// The claimant's incarnation.
        incarnation: Incarnation,
    },
    /// The claimant says how its claim ended.
    Outcome {
        /// What was claimed.
        #[serde(flatten)]
        key: ClaimKey,
        /// The claim.
        claim: ClaimId,
        /// How it ended.
        end: ClaimEnd,
    },
    /// Nothing but a time of the platform's clock, for hosts that start on an idle stream.
    Mark {
        /// Who appended it.
        host: HostId,
        /// When, by the host's clock, in milliseconds since the Unix epoch.
        at_ms: u64,
    },
}

impl ClaimRecord {
    /// The record's text.
    pub fn encode(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }
}

/// How a claim ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "end", rename_all = "snake_case")]
pub enum ClaimEnd {
    /// The request ran and its whole answer was received.
    Done(Summary),
    /// The request was sent and did not end well.
    Failed,
    /// Certainly not sent, now or later: the key may be claimed anew.
    Released,
}

/// What is kept of an answer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// HTTP status of the upstream's answer.
    pub status: u16,
    /// Tokens generated; 0 for plain services.
    pub output_tokens: u32,
    /// Length of a plain service's answer in bytes; 0 for generations.
    pub body_bytes: u64,
}

impl fmt::Display for Summary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "status {}", self.status)?;
        match self.output_tokens {
            0 => write!(f, ", {} bytes", self.body_bytes),
            tokens => write!(f, ", {tokens} tokens"),
        }
    }
}

/// What is known of a key that somebody else holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Holding {
    /// Claimed; its holder has not said how it ended.
    Held,
    /// It ran.
    Done(Summary),
    /// It was sent and did not end well.
    Failed,
}

impl Holding {
    /// What a caller who repeats the request is told.
    pub fn refusal(self) -> Refusal {
        match self {
            Holding::Held => Refusal::unknown(
                Code::AlreadyClaimed,
                "a request with this key was accepted; how it ended is not recorded",
            ),
            Holding::Failed => Refusal::unknown(
                Code::AlreadyClaimed,
                "a request with this key was sent to an upstream and failed there",
            ),
            Holding::Done(summary) => Refusal {
                ran: Ran::Yes,
                ..Refusal::unknown(
                    Code::AlreadyClaimed,
                    format!("a request with this key ran: {summary}"),
                )
            },
        }
    }
}

/// A key that was made later than now, by the clocks of the host or the platform.
pub(crate) fn from_future() -> Refusal {
    let message = "Idempotency-Key: made in the future by the clocks here";
    Refusal::not_run(Code::InvalidRequest, message)
}

/// A key too old for anybody to tell whether it was used.
pub(crate) fn expired(message: &str) -> Refusal {
    Refusal::unknown(Code::KeyExpired, message)
}

/// No claim could be made in time. `ran` speaks of every call with the key so far.
pub(crate) fn unavailable(ran: Ran) -> Refusal {
    let message = match ran {
        Ran::No => "the log did not take the claim in time; the request was not sent",
        _ => {
            "the log did not take the claim in time; this call was not sent, an earlier one may be"
        }
    };
    Refusal {
        ran,
        ..Refusal::not_run(Code::LogUnavailable, message)
    }
    .retry_after_ms(1_000)
}
