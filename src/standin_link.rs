//! One stream of the stand-in engine's tokens to one reader, with the faults of links.

use std::collections::VecDeque;
use std::io;
use std::process;
use std::sync::Arc;
use std::time::Duration;

use actix_web::HttpRequest;
use actix_web::rt::time::sleep;
use bytes::Bytes;
use futures_util::Stream;
use futures_util::stream;
use tokio::sync::watch;

use crate::id::AttemptId;
use crate::standin::DIED_STATUS;
use crate::standin::cut;
use crate::standin::token_text;
use crate::standin_faults::StreamFaultKind;
use crate::standin_generation::Ending;
use crate::standin_generation::Engine;
use crate::standin_generation::Progress;
use crate::wire::EngineEvent;

/// One stream to one reader.
pub(crate) struct Link {
    engine: Arc<Engine>,
    request: HttpRequest,
    number: u64,
    attempt: AttemptId,
    prompt: String,
    key: String,
    progress: watch::Receiver<Progress>,
    next: u32,
    ready: VecDeque<EngineEvent>,
    closed: bool,
}

impl Link {
    /// Opens a stream of `attempt` from the token `from`, unless the engine doesn't know it.
    pub(crate) fn open(
        engine: Arc<Engine>,
        request: HttpRequest,
        attempt: AttemptId,
        from: u32,
    ) -> Option<Self> {
        let opened = engine.open(attempt, from)?;
        Some(Link {
            number: engine.faults.next_link(),
            engine,
            request,
            attempt,
            prompt: opened.prompt,
            key: opened.key,
            progress: opened.progress,
            next: from,
            ready: VecDeque::new(),
            closed: false,
        })
    }

    /// The stream of server-sent events.
    pub(crate) fn into_stream(self) -> impl Stream<Item = io::Result<Bytes>> {
        stream::unfold(self, |mut link| async move {
            let event = link.next_event().await?;
            Some((Ok(encode(&event)), link))
        })
    }

    async fn next_event(&mut self) -> Option<EngineEvent> {
        loop {
            self.wait_out_stall().await;
            if let Some(event) = self.ready.pop_front() {
                return Some(event);
            }
            if self.closed {
                return None;
            }
            let progress = *self.progress.borrow_and_update();
            if self.next < progress.tokens {
                self.take_token(progress).await;
                continue;
            }
            match progress.ending {
                Some(ending) => self.close(ending, progress.tokens),
                None => self.progress.changed().await.ok()?,
            }
        }
    }

    async fn wait_out_stall(&self) {
        loop {
            let stall = self.engine.faults.stall(self.number);
            if stall.is_zero() {
                return;
            }
            sleep(stall).await;
        }
    }

    /// Makes the next token ready, unless a fault hits it.
    async fn take_token(&mut self, progress: Progress) {
        let fault = self
            .engine
            .faults
            .take_stream_fault(self.attempt, &self.key, self.next);
        match fault {
            None => self.push_next(),
            Some(StreamFaultKind::Stall { ms }) => sleep(Duration::from_millis(ms)).await,
            Some(StreamFaultKind::Break) => {
                cut(&self.request);
                self.closed = true;
            }
            Some(StreamFaultKind::Duplicate) => {
                let token = self.token(self.next);
                self.ready.push_back(token);
                self.push_next();
            }
            Some(StreamFaultKind::Reorder) => self.swap_two(progress).await,
            Some(StreamFaultKind::Gap) => self.next += 1,
            Some(StreamFaultKind::Cross) => {
                let token = self.foreign_token();
                self.ready.push_back(token);
                self.push_next();
            }
            Some(StreamFaultKind::Fail) => {
                self.engine.cancel(self.attempt);
                self.ready.push_back(self.failed("the engine gave up"));
                self.closed = true;
            }
            Some(StreamFaultKind::Die) => process::exit(DIED_STATUS),
        }
    }

    /// Waits for the token after the next one and makes both ready in the wrong order.
    async fn swap_two(&mut self, progress: Progress) {
        let mut progress = progress;
        while progress.tokens < self.next + 2 && progress.ending.is_none() {
            if self.progress.changed().await.is_err() {
                break;
            }
            progress = *self.progress.borrow_and_update();
        }
        if progress.tokens < self.next + 2 {
            self.push_next();
            return;
        }
        let second = self.token(self.next + 1);
        self.ready.push_back(second);
        self.push_next();
        self.next += 1;
    }

    fn push_next(&mut self) {
        let token = self.token(self.next);
        self.ready.push_back(token);
        self.next += 1;
    }

    fn token(&self, index: u32) -> EngineEvent {
        EngineEvent::Token {
            attempt: self.attempt,
            index,
            text: token_text(&self.prompt, index),
        }
    }

    fn foreign_token(&self) -> EngineEvent {
        let (attempt, prompt) = self.engine.other_attempt(self.attempt);
        EngineEvent::Token {
            attempt,
            index: self.next,
            text: token_text(&prompt, self.next),
        }
    }

    fn failed(&self, message: &str) -> EngineEvent {
        EngineEvent::Failed {
            attempt: self.attempt,
            message: message.to_owned(),
        }
    }

    fn close(&mut self, ending: Ending, output_tokens: u32) {
        let event = match ending {
            Ending::Done {
                cached_prompt_tokens,
            } => EngineEvent::Done {
                attempt: self.attempt,
                output_tokens,
                cached_prompt_tokens,
            },
            Ending::Cancelled => self.failed("cancelled"),
        };
        self.ready.push_back(event);
        self.closed = true;
    }
}

fn encode(event: &EngineEvent) -> Bytes {
    // Events hold only names, numbers and text, which always encode.
    let json = serde_json::to_string(event).unwrap_or_default();
    Bytes::from(format!("data: {json}\n\n"))
}
