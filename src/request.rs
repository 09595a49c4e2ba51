//! First filter: a caller's body and headers become a typed request, or a clear refusal.

use serde::Deserialize;
use serde_json::Value;
use xxhash_rust::xxh3::xxh3_64;

use crate::id::ClassId;
use crate::id::ServiceId;
use crate::refusal::Code;
use crate::refusal::Refusal;

/// Bytes of prompt text that count as one token where no tokenizer is at hand.
const BYTES_PER_TOKEN: usize = 4;

/// Prompt tokens in one block of the engines' prefix cache.
const BLOCK_TOKENS: usize = 16;

/// Prefix hashes sent with a request at the most.
const PREFIX_HASHES_MAX: usize = 128;

/// Output tokens where the caller names no bound; the service's own bound may be lower.
const DEFAULT_MAX_TOKENS: u32 = u32::MAX;

/// Options of the official API that the engines' protocol doesn't carry, with the one value that
/// asks for nothing.
const NEUTRAL_OPTIONS: [(&str, f64); 6] = [
    ("n", 1.0),
    ("best_of", 1.0),
    ("temperature", 1.0),
    ("top_p", 1.0),
    ("frequency_penalty", 0.0),
    ("presence_penalty", 0.0),
];

/// A completion that a caller asks for.
#[derive(Debug, Clone, PartialEq)]
pub struct CompletionRequest {
    /// The service, named by `model`.
    pub service: ServiceId,
    /// The prompt's text.
    pub prompt: String,
    /// The caller's bound on the output, in tokens.
    pub max_tokens: u32,
    /// Server-sent events in place of one answer.
    pub stream: bool,
    /// Whether the stream ends with a chunk that holds the usage.
    pub include_usage: bool,
    /// The priority class asked for.
    pub priority_class: Option<ClassId>,
    /// Whether the request may run more than once; `None` where the caller doesn't say.
    pub repeatable: Option<bool>,
    /// Deadline for the whole answer, in milliseconds from its arrival.
    pub deadline_ms: Option<u64>,
}

/// The body as callers write it.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Body {
    model: String,
    prompt: String,
    #[serde(default)]
    max_tokens: Option<u32>,
    #[serde(default)]
    stream: Option<bool>,
    #[serde(default)]
    stream_options: Option<StreamOptions>,
    #[serde(default)]
    priority_class: Option<String>,
    #[serde(default)]
    repeatable: Option<bool>,
    #[serde(default)]
    deadline_ms: Option<u64>,
    #[serde(default)]
    user: Option<String>,
    #[serde(default)]
    n: Value,
    #[serde(default)]
    best_of: Value,
    #[serde(default)]
    temperature: Value,
    #[serde(default)]
    top_p: Value,
    #[serde(default)]
    frequency_penalty: Value,
    #[serde(default)]
    presence_penalty: Value,
}

/// Options of a stream.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct StreamOptions {
    #[serde(default)]
    include_usage: bool,
}

impl CompletionRequest {
    /// Parses the body of `POST /v1/completions`.
    ///
    /// # Errors
    ///
    /// [`Code::InvalidRequest`] that names the field and what is allowed.
    pub fn parse(body: &[u8]) -> Result<Self, Refusal> {
        let body = parse_body(body)?;
        body.check()?;
        Ok(CompletionRequest {
            service: ServiceId::new(body.model),
            prompt: body.prompt,
            max_tokens: body.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS),
            stream: body.stream.unwrap_or(false),
            include_usage: body.stream_options.is_some_and(|it| it.include_usage),
            priority_class: body.priority_class.map(ClassId::new),
            repeatable: body.repeatable,
            deadline_ms: body.deadline_ms,
        })
    }

    /// The prompt's length in tokens, estimated from its bytes.
    pub fn prompt_tokens(&self) -> u32 {
        let tokens = self.prompt.len().div_ceil(BYTES_PER_TOKEN).max(1);
        u32::try_from(tokens).unwrap_or(u32::MAX)
    }

    /// Hashes of the prompt's leading blocks, longest prefix last.
    pub fn prefix_hashes(&self) -> Vec<u64> {
        let block_bytes = BLOCK_TOKENS * BYTES_PER_TOKEN;
        let mut previous = 0;
        self.prompt
            .as_bytes()
            .chunks_exact(block_bytes)
            .take(PREFIX_HASHES_MAX)
            .map(|block| {
                previous ^= xxh3_64(block);
                previous = xxh3_64(&previous.to_le_bytes());
                previous
            })
            .collect()
    }
}

impl Body {
    fn check(&self) -> Result<(), Refusal> {
        if self.model.is_empty() {
            return Err(bad_field("model", "empty; it must name a service"));
        }
        if self.max_tokens == Some(0) {
            return Err(bad_field("max_tokens", "0; at least 1 is allowed"));
        }
        if self.deadline_ms == Some(0) {
            return Err(bad_field("deadline_ms", "0; at least 1 is allowed"));
        }
        if let Some(user) = &self.user {
            log::debug!("caller's own user label: {user}");
        }
        self.check_neutral_options()
    }

    fn check_neutral_options(&self) -> Result<(), Refusal> {
        let values = [
            &self.n,
            &self.best_of,
            &self.temperature,
            &self.top_p,
            &self.frequency_penalty,
            &self.presence_penalty,
        ];
        for ((field, neutral), value) in NEUTRAL_OPTIONS.into_iter().zip(values) {
            if !value.is_null() && value.as_f64() != Some(neutral) {
                let reason =
                    format!("{value}; engines take no such option, only {neutral} is allowed");
                return Err(bad_field(field, &reason));
            }
        }
        Ok(())
    }
}

fn parse_body(body: &[u8]) -> Result<Body, Refusal> {
    let mut deserializer = serde_json::Deserializer::from_slice(body);
    let parsed = serde_path_to_error::deserialize(&mut deserializer)
        .map_err(|error| bad_field(&error.path().to_string(), &error.inner().to_string()))?;
    deserializer
        .end()
        .map_err(|error| bad_field("body", &error.to_string()))?;
    Ok(parsed)
}

fn bad_field(field: &str, reason: &str) -> Refusal {
    Refusal::not_run(Code::InvalidRequest, format!("{field}: {reason}"))
}

#[cfg(test)]
mod tests;
