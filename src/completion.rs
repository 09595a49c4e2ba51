//! Answers in the shape of the official completions API: chunks, usage and failures.

use bytes::BufMut;
use bytes::Bytes;
use bytes::BytesMut;
use serde::Serialize;

use crate::id::RequestId;
use crate::id::ServiceId;
use crate::refusal::Refusal;

/// The last event of every stream.
const DONE: &[u8] = b"data: [DONE]\n\n";

/// Why a generation ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FinishReason {
    /// The model ended it.
    Stop,
    /// The bound on the output ended it.
    Length,
}

/// What a completion cost.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens generated.
    pub completion_tokens: u32,
    /// Both together.
    pub total_tokens: u32,
    /// Details of the prompt's tokens.
    pub prompt_tokens_details: PromptDetails,
}

/// Details of a prompt's tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct PromptDetails {
    /// Tokens that the upstream's prefix cache held.
    pub cached_tokens: u32,
}

impl Usage {
    /// The usage of one completion.
    pub fn new(prompt_tokens: u32, completion_tokens: u32, cached_tokens: u32) -> Self {
        Usage {
            prompt_tokens,
            completion_tokens,
            total_tokens: prompt_tokens.saturating_add(completion_tokens),
            prompt_tokens_details: PromptDetails { cached_tokens },
        }
    }
}

#[derive(Debug, Serialize)]
struct Answer<'a> {
    id: &'a str,
    object: &'static str,
    created: u64,
    model: &'a str,
    choices: &'a [Choice<'a>],
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<Usage>,
}

#[derive(Debug, Serialize)]
struct Choice<'a> {
    index: u32,
    text: &'a str,
    logprobs: Option<()>,
    finish_reason: Option<FinishReason>,
}

/// A refusal or failure that tells how many tokens the caller has.
#[derive(Debug, Serialize)]
struct StreamFailure<'a> {
    error: StreamError<'a>,
}

#[derive(Debug, Serialize)]
struct StreamError<'a> {
    #[serde(flatten)]
    refusal: &'a Refusal,
    tokens_delivered: u32,
}

/// Writes the answers of one request.
#[derive(Debug)]
pub struct CompletionWriter {
    id: String,
    model: String,
    created: u64,
    token_prefix: Bytes,
}

/// What stands after the text of a token's chunk.
const TOKEN_SUFFIX: &[u8] = b",\"logprobs\":null,\"finish_reason\":null}]}\n\n";

impl CompletionWriter {
    /// A writer for `request`, `created` in seconds since the Unix epoch.
    pub fn new(request: RequestId, service: &ServiceId, created: u64) -> Self {
        let id = format!("cmpl-{}", request.0.simple());
        let model = service.as_str().to_owned();
        let token_prefix = token_prefix(&id, &model, created);
        CompletionWriter {
            id,
            model,
            created,
            token_prefix,
        }
    }

    /// Appends the chunk of one token.
    pub fn token(&self, text: &str, out: &mut BytesMut) {
        out.reserve(self.token_prefix.len() + text.len() + TOKEN_SUFFIX.len() + 8);
        out.extend_from_slice(&self.token_prefix);
        write_json(out, &text);
        out.extend_from_slice(TOKEN_SUFFIX);
    }

    /// Appends the terminal events of a whole answer.
    pub fn complete(&self, finish: FinishReason, usage: Option<Usage>, out: &mut BytesMut) {
        let choice = Choice {
            index: 0,
            text: "",
            logprobs: None,
            finish_reason: Some(finish),
        };
        self.event(&self.answer(&[choice], None), out);
        if usage.is_some() {
            self.event(&self.answer(&[], usage), out);
        }
        out.extend_from_slice(DONE);
    }

    /// Appends the terminal events of a failed answer.
    pub fn failed(&self, refusal: &Refusal, tokens_delivered: u32, out: &mut BytesMut) {
        let error = StreamError {
            refusal,
            tokens_delivered,
        };
        out.extend_from_slice(b"event: error\n");
        self.event(&StreamFailure { error }, out);
        out.extend_from_slice(DONE);
    }

    /// The whole answer in one piece.
    pub fn whole(&self, text: &str, finish: FinishReason, usage: Usage) -> Bytes {
        let choice = Choice {
            index: 0,
            text,
            logprobs: None,
            finish_reason: Some(finish),
        };
        let mut out = BytesMut::new();
        write_json(&mut out, &self.answer(&[choice], Some(usage)));
        out.freeze()
    }

    fn answer<'a>(&'a self, choices: &'a [Choice<'a>], usage: Option<Usage>) -> Answer<'a> {
        Answer {
            id: &self.id,
            object: "text_completion",
            created: self.created,
            model: &self.model,
            choices,
            usage,
        }
    }

    fn event<T: Serialize>(&self, value: &T, out: &mut BytesMut) {
        out.extend_from_slice(b"data: ");
        write_json(out, value);
        out.extend_from_slice(b"\n\n");
    }
}

/// The part of a token's chunk before its text; it is the same for all tokens of a request.
fn token_prefix(id: &str, model: &str, created: u64) -> Bytes {
    let mut out = BytesMut::new();
    out.extend_from_slice(b"data: {\"id\":");
    write_json(&mut out, &id);
    out.extend_from_slice(b",\"object\":\"text_completion\",\"created\":");
    write_json(&mut out, &created);
    out.extend_from_slice(b",\"model\":");
    write_json(&mut out, &model);
    out.extend_from_slice(b",\"choices\":[{\"index\":0,\"text\":");
    out.freeze()
}

/// Values here always serialise, and a buffer in memory always takes them.
fn write_json<T: Serialize>(out: &mut BytesMut, value: &T) {
    if let Err(error) = serde_json::to_writer(out.writer(), value) {
        log::error!("an answer could not be written: {error}");
    }
}

#[cfg(test)]
mod tests;
