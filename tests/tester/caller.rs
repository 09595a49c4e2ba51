//! A caller of the completions API that reads a stream token by token.

use std::io::BufRead;
use std::io::BufReader;

use serde_json::Value;
use serde_json::json;
use ureq::BodyReader;

use super::http_agent;
use cedargauge::standin::token_text;
use cedargauge::standin_table::DEMO_KEY;
use cedargauge::standin_table::INSPECTION;

/// What is asked for.
#[derive(Debug, Clone)]
pub struct Ask {
    /// The prompt, with the stand-in's directives.
    pub prompt: String,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// The idempotency key.
    pub key: Option<String>,
}

impl Ask {
    /// A repeatable request.
    pub fn new(prompt: impl Into<String>) -> Self {
        Ask {
            prompt: prompt.into(),
            repeatable: true,
            key: None,
        }
    }

    /// The same, not repeatable.
    pub fn once(prompt: impl Into<String>) -> Self {
        Ask {
            repeatable: false,
            ..Ask::new(prompt)
        }
    }

    /// Sends it to the entry host at `caller` and answers the stream.
    pub fn open(&self, caller: &str) -> OpenAnswer {
        let body = json!({
            "model": INSPECTION,
            "prompt": self.prompt,
            "stream": true,
            "repeatable": self.repeatable,
        });
        let mut request = http_agent()
            .post(format!("http://{caller}/v1/completions"))
            .header("authorization", format!("Bearer {DEMO_KEY}"));
        if let Some(key) = &self.key {
            request = request.header("idempotency-key", key);
        }
        let answer = request.send_json(body).unwrap();
        OpenAnswer {
            status: answer.status().as_u16(),
            lines: BufReader::new(answer.into_body().into_reader()),
            text: String::new(),
            tokens: 0,
            error: None,
            is_terminated: false,
        }
    }

    /// The text of the first `tokens` tokens that the request must bring.
    pub fn expected(&self, tokens: u32) -> String {
        (0..tokens)
            .map(|index| token_text(&self.prompt, index))
            .collect()
    }
}

/// An answer that is being read.
pub struct OpenAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The text so far.
    pub text: String,
    /// Tokens so far.
    pub tokens: u32,
    /// The refusal or failure, if one came.
    pub error: Option<Value>,
    /// Whether the stream ended with its last event.
    pub is_terminated: bool,
    lines: BufReader<BodyReader<'static>>,
}

impl OpenAnswer {
    /// Reads until at least `tokens` tokens have come or the stream has ended.
    pub fn read_tokens(&mut self, tokens: u32) {
        while self.tokens < tokens && self.read_line() {}
    }

    /// Reads to the end.
    pub fn read_all(mut self) -> Self {
        while self.read_line() {}
        self
    }

    /// Whether the whole answer came, with its explicit end.
    pub fn is_complete(&self) -> bool {
        self.status == 200 && self.is_terminated && self.error.is_none()
    }

    fn read_line(&mut self) -> bool {
        let mut line = String::new();
        if self.lines.read_line(&mut line).unwrap_or(0) == 0 {
            return false;
        }
        let data = line.trim().strip_prefix("data: ").unwrap_or(line.trim());
        if data == "[DONE]" {
            self.is_terminated = true;
        } else if let Ok(value) = serde_json::from_str::<Value>(data) {
            self.take(value);
        }
        true
    }

    fn take(&mut self, value: Value) {
        if let Some(error) = value.get("error") {
            self.error = Some(error.clone());
        }
        let text = value["choices"][0]["text"].as_str().unwrap_or("");
        if !text.is_empty() {
            self.tokens += 1;
            self.text.push_str(text);
        }
    }
}
