//! The HTTP client of upstream engines: start, resume and cancel a generation.
//!
//! It tells apart what was certainly not written, what was refused, and what may have run.

use std::borrow::Cow;
use std::time::Duration;

use actix_web::http::StatusCode;
use awc::Client;
use awc::ClientResponse;
use awc::Connector;
use awc::error::ConnectError;
use awc::error::SendRequestError;
use backon::BackoffBuilder;
use backon::ExponentialBuilder;
use bytes::Bytes;
use bytes::BytesMut;
use derive_builder::Builder;
use futures_util::StreamExt;
use serde::Deserialize;
use serde::Serialize;

use crate::id::AttemptId;
use crate::id::UpstreamId;
use crate::relay::Input;
use crate::wire::EngineRefusal;
use crate::wire::EngineRefusalReason;
use crate::wire::GenerateRequest;

/// The longest event that an engine may send, in bytes.
const EVENT_BYTES_MAX: usize = 1 << 20;

/// Tries of a cancellation.
const CANCEL_TRIES: usize = 4;

/// Timeouts towards upstreams.
#[derive(Debug, Clone, PartialEq, Eq, Builder, Serialize, Deserialize)]
#[builder(default)]
#[serde(default, deny_unknown_fields)]
pub struct EngineOptions {
    /// Timeout of a connection, in milliseconds. Default 500.
    pub connect_timeout_ms: u64,
    /// Timeout of the answer's head after the request is written, in milliseconds. Default 2,000.
    pub head_timeout_ms: u64,
    /// Idle connections are kept this long, in milliseconds. Default 15,000.
    pub keep_alive_ms: u64,
}

impl Default for EngineOptions {
    fn default() -> Self {
        EngineOptions {
            connect_timeout_ms: 500,
            head_timeout_ms: 2_000,
            keep_alive_ms: 15_000,
        }
    }
}

/// Client of all engines; one for each worker thread.
#[derive(Clone)]
pub struct EngineClient {
    client: Client,
    fresh: Client,
    options: EngineOptions,
}

/// What came of asking an engine to start or resume.
pub enum OpenOutcome {
    /// It streams.
    Streaming(EngineStream),
    /// The request was certainly not written.
    NotWritten(String),
    /// The engine refused it by its protocol; it did not run.
    Refused(EngineRefusalReason),
    /// The engine does not know the attempt.
    Forgotten,
    /// The request was or may have been written and nothing else is known.
    Lost(String),
}

impl EngineClient {
    /// A client with these timeouts.
    pub fn new(options: EngineOptions) -> Self {
        EngineClient {
            client: client(&options, Duration::from_millis(options.keep_alive_ms)),
            fresh: client(&options, Duration::ZERO),
            options,
        }
    }

    /// Starts a generation. One that is not repeatable gets a connection of its own, so that no
    /// idle one can break under it.
    pub async fn start(
        &self,
        upstream: &UpstreamId,
        request: &GenerateRequest,
        repeatable: bool,
    ) -> OpenOutcome {
        let client = if repeatable {
            &self.client
        } else {
            &self.fresh
        };
        let url = format!("http://{upstream}/v1/generations");
        let sending = client.post(url).send_json(request);
        self.open(sending).await
    }

    /// Resumes a generation from index `from`.
    pub async fn resume(
        &self,
        upstream: &UpstreamId,
        attempt: AttemptId,
        from: u32,
    ) -> OpenOutcome {
        let url = format!("http://{upstream}/v1/generations/{attempt}?from={from}");
        let sending = self.client.get(url).send();
        self.open(sending).await
    }

    /// Cancels a generation; tries a few times.
    pub async fn cancel(&self, upstream: UpstreamId, attempt: AttemptId) {
        let mut delays = ExponentialBuilder::default()
            .with_jitter()
            .with_min_delay(Duration::from_millis(50))
            .with_max_times(CANCEL_TRIES)
            .build();
        while !self.cancel_once(&upstream, attempt).await {
            let Some(delay) = delays.next() else {
                return;
            };
            tokio::time::sleep(delay).await;
        }
    }

    async fn cancel_once(&self, upstream: &UpstreamId, attempt: AttemptId) -> bool {
        let url = format!("http://{upstream}/v1/generations/{attempt}");
        let sending = self.client.delete(url).send();
        tokio::time::timeout(self.head_timeout(), sending)
            .await
            .is_ok_and(|answer| answer.is_ok())
    }

    async fn open(
        &self,
        sending: impl Future<Output = Result<ClientResponse, SendRequestError>>,
    ) -> OpenOutcome {
        match tokio::time::timeout(self.head_timeout(), sending).await {
            Err(_) => OpenOutcome::Lost("no answer in time".to_owned()),
            Ok(Err(error)) => not_sent(&error),
            Ok(Ok(response)) => self.opened(response).await,
        }
    }

    async fn opened(&self, mut response: ClientResponse) -> OpenOutcome {
        match response.status() {
            StatusCode::OK => OpenOutcome::Streaming(EngineStream::new(response)),
            StatusCode::NOT_FOUND => OpenOutcome::Forgotten,
            status => {
                let body = tokio::time::timeout(self.head_timeout(), response.body()).await;
                match body {
                    Ok(Ok(body)) => refusal(status, &body),
                    _ => OpenOutcome::Lost(format!("status {status} without a body")),
                }
            }
        }
    }

    fn head_timeout(&self) -> Duration {
        Duration::from_millis(self.options.head_timeout_ms)
    }
}

/// A client that keeps idle connections for `keep_alive`.
fn client(options: &EngineOptions, keep_alive: Duration) -> Client {
    let connector = Connector::new()
        .timeout(Duration::from_millis(options.connect_timeout_ms))
        .conn_keep_alive(keep_alive)
        .limit(0);
    Client::builder()
        .connector(connector)
        .disable_timeout()
        .disable_redirects()
        .finish()
}

/// Tells whether a request that could not be sent may have been written.
///
/// The client reports a connection that closed before the answer's head as
/// [`ConnectError::Disconnected`], so that one variant means that the request may have run.
pub(crate) fn certainly_not_written(error: &SendRequestError) -> bool {
    match error {
        SendRequestError::Url(_) => true,
        SendRequestError::Connect(ConnectError::Disconnected) => false,
        SendRequestError::Connect(_) => true,
        _ => false,
    }
}

fn not_sent(error: &SendRequestError) -> OpenOutcome {
    if certainly_not_written(error) {
        OpenOutcome::NotWritten(error.to_string())
    } else {
        OpenOutcome::Lost(error.to_string())
    }
}

/// A refusal counts only if the engine's body says so in its protocol.
fn refusal(status: StatusCode, body: &[u8]) -> OpenOutcome {
    let may_refuse = matches!(
        status,
        StatusCode::CONFLICT | StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE
    );
    match serde_json::from_slice::<EngineRefusal>(body) {
        Ok(refusal) if may_refuse => OpenOutcome::Refused(refusal.reason),
        _ => OpenOutcome::Lost(format!("status {status}")),
    }
}

/// The server-sent events of one connection to an engine.
pub struct EngineStream {
    response: ClientResponse,
    events: EventBuffer,
}

impl EngineStream {
    fn new(response: ClientResponse) -> Self {
        EngineStream {
            response,
            events: EventBuffer::default(),
        }
    }

    /// Waits until at least one more chunk of the stream is buffered.
    ///
    /// # Errors
    ///
    /// Why the link is lost.
    pub async fn fill(&mut self) -> Result<(), String> {
        match self.response.next().await {
            Some(Ok(chunk)) => self.events.push(&chunk),
            Some(Err(error)) => Err(error.to_string()),
            None => Err("the stream ended early".to_owned()),
        }
    }

    /// The next buffered event's data, if one is whole.
    pub fn next_data(&mut self) -> Option<Bytes> {
        self.events.next_data()
    }
}

/// Splits a stream of bytes into the data of server-sent events.
#[derive(Debug, Default)]
pub struct EventBuffer {
    bytes: BytesMut,
}

impl EventBuffer {
    /// Takes a chunk.
    pub fn push(&mut self, chunk: &[u8]) -> Result<(), String> {
        if self.bytes.len() + chunk.len() > EVENT_BYTES_MAX {
            return Err(format!("an event is longer than {EVENT_BYTES_MAX} bytes"));
        }
        self.bytes.extend_from_slice(chunk);
        Ok(())
    }

    /// The data of the next whole line that holds any.
    pub fn next_data(&mut self) -> Option<Bytes> {
        loop {
            let end = self.bytes.iter().position(|byte| *byte == b'\n')?;
            let line = self.bytes.split_to(end + 1).freeze();
            if line.starts_with(b"data:") {
                return Some(line.slice(b"data:".len()..));
            }
        }
    }
}

/// An engine's event as it stands in the buffer, without copies. One flat shape for all kinds
/// parses several times faster than the tagged [`crate::wire::EngineEvent`].
#[derive(Debug, Deserialize)]
pub struct EventView<'a> {
    #[serde(borrow)]
    event: Cow<'a, str>,
    attempt: AttemptId,
    #[serde(default)]
    index: u32,
    #[serde(borrow, default)]
    text: Cow<'a, str>,
    #[serde(default)]
    output_tokens: u32,
    #[serde(default)]
    cached_prompt_tokens: u32,
    #[serde(borrow, default)]
    message: Cow<'a, str>,
}

impl<'a> EventView<'a> {
    /// Parses an event's data.
    pub fn parse(data: &'a [u8]) -> Result<Self, serde_json::Error> {
        serde_json::from_slice(data)
    }

    /// The event as the relay takes it, or `None` if its kind is unknown.
    pub fn as_input(&self) -> Option<Input<'_>> {
        match self.event.as_ref() {
            "token" => Some(Input::Token {
                attempt: self.attempt,
                index: self.index,
                text: &self.text,
            }),
            "done" => Some(Input::Done {
                attempt: self.attempt,
                output_tokens: self.output_tokens,
                cached_prompt_tokens: self.cached_prompt_tokens,
            }),
            "failed" => Some(Input::Failed {
                attempt: self.attempt,
                message: &self.message,
            }),
            _ => None,
        }
    }
}
