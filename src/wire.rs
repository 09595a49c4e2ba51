//! The protocol that engines speak: JSON over HTTP, tokens as server-sent events.
//!
//! | call | meaning |
//! |---|---|
//! | `POST /v1/generations` [`GenerateRequest`] | start; answers a stream of [`EngineEvent`] |
//! | `GET /v1/generations/{attempt}?from=N` | resume the same generation from index N |
//! | `DELETE /v1/generations/{attempt}` | cancel |
//! | `GET /v1/load` | the last [`LoadReport`], which lags |
//! | `GET /v1/cache-events?from=SEQ` | [`CacheEvents`], late and with gaps |
//! | `POST /v1/orders` [`Order`] | change model, version or role; answers [`OrderState`], or 409 [`OrderRefused`] |
//! | `GET /v1/orders` | the [`OrderState`] in effect |

use serde::Deserialize;
use serde::Serialize;

use crate::id::AttemptId;
use crate::id::UpstreamId;

/// Starts a generation.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct GenerateRequest {
    /// Names the attempt; echoed with every event.
    pub attempt: AttemptId,
    /// The model to run.
    pub model: String,
    /// The prompt's text.
    pub prompt: String,
    /// The prompt's length in tokens.
    pub prompt_tokens: u32,
    /// Stop after this many tokens at the latest.
    pub max_output_tokens: u32,
    /// Scheduling priority at the engine; higher runs first.
    pub engine_priority: u8,
    /// Hashes of the prompt's leading blocks, for the prefix cache; longest prefix last.
    #[serde(default)]
    pub prefix_hashes: Vec<u64>,
}

/// One server-sent event of a generation.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum EngineEvent {
    /// One token.
    Token {
        /// The attempt it belongs to.
        attempt: AttemptId,
        /// Position in the output, from 0.
        index: u32,
        /// The token's text.
        text: String,
    },
    /// The generation is complete.
    Done {
        /// The attempt it belongs to.
        attempt: AttemptId,
        /// Tokens generated in all.
        output_tokens: u32,
        /// Prompt tokens that the prefix cache held.
        cached_prompt_tokens: u32,
    },
    /// The engine gave the generation up.
    Failed {
        /// The attempt it belongs to.
        attempt: AttemptId,
        /// A sentence for a person.
        message: String,
    },
}

/// Body of an engine's refusal (HTTP 409, 429 or 503): the attempt did not run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineRefusal {
    /// Why.
    pub reason: EngineRefusalReason,
}

/// Why an engine refused an attempt. In every case it certainly did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineRefusalReason {
    /// The engine is leaving.
    Leaving,
    /// Its own queue is full.
    QueueFull,
    /// It does not hold the model.
    WrongModel,
}

/// What an engine says of itself. It lags: `age_ms` tells by how much.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// How old the report is when sent, in milliseconds.
    pub age_ms: u64,
    /// Memory for sequences, in tokens.
    pub memory_tokens: u64,
    /// Of that in use.
    pub used_tokens: u64,
    /// Running sequences.
    pub running: Vec<RunningReport>,
    /// Sequences waiting in the engine's own queue.
    pub waiting: u32,
    /// Preemptions since the engine started.
    pub preemptions_total: u64,
    /// Duration of the last decoding step, in microseconds.
    pub step_us: u64,
    /// The engine is leaving and refuses new work.
    pub leaving: bool,
    /// Model that is loaded, as `name@version`.
    pub model: String,
    /// Counts the starts of the engine.
    pub incarnation: u64,
}

impl LoadReport {
    /// Preemptions since an earlier report of the same upstream.
    pub fn preemptions_since(&self, earlier: &LoadReport) -> u64 {
        if self.incarnation != earlier.incarnation {
            return self.preemptions_total;
        }
        // Reports may overtake one another.
        self.preemptions_total
            .saturating_sub(earlier.preemptions_total)
    }
}

/// A running sequence in a [`LoadReport`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RunningReport {
    /// The attempt.
    pub attempt: AttemptId,
    /// Prompt length.
    pub prompt_tokens: u32,
    /// Tokens generated so far.
    pub output_tokens: u32,
}

/// A change of an engine's prefix cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Position in the engine's sequence of cache events; gaps happen.
    pub sequence: u64,
    /// The block's prefix hash.
    pub prefix_hash: u64,
    /// Stored (`true`) or evicted (`false`).
    pub stored: bool,
}

/// Answer to `GET /v1/cache-events`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvents {
    /// Events in sequence order.
    pub events: Vec<CacheEvent>,
    /// Ask from here next.
    pub next_sequence: u64,
}

/// An order to an engine: the absolute state that is wanted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Fencing number: the offset of the lease record. Engines that check refuse lower ones.
    pub fence: u64,
    /// Wanted model as `name@version`.
    pub model: String,
    /// Wanted adapters.
    #[serde(default)]
    pub adapters: Vec<String>,
    /// Wanted role.
    pub role: Role,
}

/// What an engine is for.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Serves generations.
    #[default]
    Serve,
    /// Finishes what runs and takes nothing new.
    Leave,
}

/// An engine's answer to an order that it accepts and to `GET /v1/orders`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderState {
    /// Highest fencing number seen.
    pub fence: u64,
    /// The model that is loaded, as `name@version`.
    pub model: String,
    /// The adapters that are loaded.
    pub adapters: Vec<String>,
    /// The engine's role.
    pub role: Role,
    /// An order was accepted and is not in effect yet.
    pub loading: bool,
    /// Orders accepted since the engine started.
    pub orders_total: u64,
}

/// Body of the 409 that answers an order with an old fencing number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderRefused {
    /// Highest fencing number seen.
    pub fence: u64,
}

/// An upstream's address with the report that came from it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct UpstreamReport {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Its report.
    pub report: LoadReport,
}

#[cfg(test)]
mod tests;
