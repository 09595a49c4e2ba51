//! Holds a streamed answer against its request, token by token.

use std::mem;

use bytes::Buf;
use bytes::BytesMut;
use serde::Deserialize;

use crate::promise::BrokenPromise;
use crate::promise::TryEnd;
use crate::refusal::Refusal;
use crate::standin::token_text;

/// Reads the server-sent events of one answer of a stand-in engine.
#[derive(Debug)]
pub struct AnswerCheck {
    prompt: String,
    expected_tokens: u32,
    buffer: BytesMut,
    text: String,
    tokens: u32,
    end: Option<TryEnd>,
    is_done: bool,
    broken: Vec<BrokenPromise>,
}

/// What came of an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CheckedAnswer {
    /// How it ended.
    pub end: TryEnd,
    /// Tokens that came.
    pub tokens: u32,
    /// Promises that it broke.
    pub broken: Vec<BrokenPromise>,
}

/// One event's data: a chunk or a failure.
#[derive(Debug, Deserialize)]
struct EventData {
    #[serde(default)]
    choices: Vec<ChoiceData>,
    error: Option<FailureData>,
}

#[derive(Debug, Deserialize)]
struct ChoiceData {
    #[serde(default)]
    text: String,
    finish_reason: Option<String>,
}

#[derive(Debug, Deserialize)]
struct FailureData {
    #[serde(flatten)]
    refusal: Refusal,
    tokens_delivered: u32,
}

impl AnswerCheck {
    /// A check of the answer to `prompt`, which has `expected_tokens` tokens when whole.
    pub fn new(prompt: impl Into<String>, expected_tokens: u32) -> Self {
        AnswerCheck {
            prompt: prompt.into(),
            expected_tokens,
            buffer: BytesMut::new(),
            text: String::new(),
            tokens: 0,
            end: None,
            is_done: false,
            broken: Vec::new(),
        }
    }

    /// Takes bytes as they come; answers how many tokens were in them.
    pub fn feed(&mut self, bytes: &[u8]) -> u32 {
        let before = self.tokens;
        self.buffer.extend_from_slice(bytes);
        while let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
            let line = self.buffer.split_to(end);
            self.buffer.advance(1);
            if let Some(data) = line.strip_prefix(b"data:") {
                self.event(data.trim_ascii());
            }
        }
        self.tokens - before
    }

    /// The connection ended.
    pub fn finish(mut self) -> CheckedAnswer {
        if !self.text.is_empty() {
            let text = mem::take(&mut self.text);
            self.wrong_token(text);
        }
        CheckedAnswer {
            end: self.end.unwrap_or(TryEnd::Cut),
            tokens: self.tokens,
            broken: self.broken,
        }
    }

    fn event(&mut self, data: &[u8]) {
        if self.is_done {
            self.broken.push(BrokenPromise::DataAfterEnd);
            return;
        }
        if data == b"[DONE]" {
            self.is_done = true;
            return;
        }
        match serde_json::from_slice::<EventData>(data) {
            Ok(event) => self.take(event),
            Err(_) => self.unclear(data),
        }
    }

    fn take(&mut self, event: EventData) {
        if let Some(failure) = event.error {
            self.fail(failure);
            return;
        }
        for choice in event.choices {
            if !choice.text.is_empty() {
                self.take_text(&choice.text);
            }
            if choice.finish_reason.is_some() {
                self.complete();
            }
        }
    }

    fn take_text(&mut self, text: &str) {
        if self.end.is_some() {
            self.broken.push(BrokenPromise::DataAfterEnd);
            return;
        }
        self.text.push_str(text);
        loop {
            let due = token_text(&self.prompt, self.tokens);
            if self.text.starts_with(&due) {
                self.text.drain(..due.len());
                self.tokens += 1;
            } else if due.starts_with(self.text.as_str()) {
                return;
            } else {
                let text = mem::take(&mut self.text);
                self.wrong_token(text);
                return;
            }
        }
    }

    fn complete(&mut self) {
        if self.tokens != self.expected_tokens {
            self.broken.push(BrokenPromise::AnswerNotWhole {
                tokens: self.tokens,
                expected_tokens: self.expected_tokens,
            });
        }
        self.end = Some(TryEnd::Complete);
    }

    fn fail(&mut self, failure: FailureData) {
        if failure.tokens_delivered != self.tokens {
            self.broken.push(BrokenPromise::MiscountedFailure {
                told_tokens: failure.tokens_delivered,
                tokens: self.tokens,
            });
        }
        self.end = Some(TryEnd::Failed(failure.refusal));
    }

    fn unclear(&mut self, data: &[u8]) {
        self.end = Some(TryEnd::Unclear);
        self.broken.push(BrokenPromise::UnclearAnswer {
            text: String::from_utf8_lossy(data).into_owned(),
        });
    }

    fn wrong_token(&mut self, text: String) {
        self.broken.push(BrokenPromise::WrongToken {
            index: self.tokens,
            text,
        });
    }
}

#[cfg(test)]
mod tests;
