//! One try of a request at an entry host, over HTTP.

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use awc::Client;
use awc::ClientResponse;
use awc::error::SendRequestError;
use futures_util::StreamExt;
use serde_json::json;

use crate::answercheck::AnswerCheck;
use crate::answercheck::CheckedAnswer;
use crate::promise::BrokenPromise;
use crate::promise::TryEnd;
use crate::refusal::ErrorBody;
use crate::standin_service::Echo;

/// Longest time for one try.
const TRY_TIMEOUT: Duration = Duration::from_secs(900);

/// Longest body of an answer that is not streamed, in bytes.
const BODY_BYTES_MAX: usize = 64 << 20;

/// A request as its caller sends it, the same at every try.
#[derive(Debug, Clone)]
pub(crate) struct LiveRequest {
    /// The customer's key.
    pub(crate) api_key: String,
    /// The idempotency key, if it may run once at most.
    pub(crate) idempotency_key: Option<String>,
    /// The name under which stand-ins count it.
    pub(crate) count_key: String,
    /// The service.
    pub(crate) service: String,
    /// The priority class.
    pub(crate) class: String,
    /// The prompt, or the body of a plain call.
    pub(crate) text: String,
    /// Bound on the output.
    pub(crate) max_output_tokens: u32,
    /// Tokens of the whole answer.
    pub(crate) expected_tokens: u32,
    /// A call of a plain service.
    pub(crate) is_plain: bool,
}

/// When tokens came, in microseconds.
#[derive(Debug, Clone, Default)]
pub(crate) struct Pace {
    /// From the request to the first token.
    pub(crate) first_us: Option<u64>,
    /// Between tokens that came in different reads.
    pub(crate) gaps_us: Vec<u64>,
}

/// Sends `request` to the entry host at `entry` and checks what comes.
pub(crate) async fn call(
    client: &Client,
    entry: &str,
    request: Rc<LiveRequest>,
) -> (CheckedAnswer, Pace) {
    if request.is_plain {
        (call_plain(client, entry, &request).await, Pace::default())
    } else {
        call_generation(client, entry, &request).await
    }
}

async fn call_generation(
    client: &Client,
    entry: &str,
    request: &LiveRequest,
) -> (CheckedAnswer, Pace) {
    let body = json!({
        "model": request.service,
        "prompt": request.text,
        "max_tokens": request.max_output_tokens,
        "stream": true,
        "priority_class": request.class,
        "repeatable": request.idempotency_key.is_none(),
    });
    let mut post = client
        .post(format!("{entry}/v1/completions"))
        .timeout(TRY_TIMEOUT)
        .bearer_auth(&request.api_key);
    if let Some(key) = &request.idempotency_key {
        post = post.insert_header(("idempotency-key", key.as_str()));
    }
    let started = Instant::now();
    let mut pace = Pace::default();
    let mut response = match post.send_json(&body).await {
        Ok(response) => response,
        Err(error) => return (ended(not_answered(&error)), pace),
    };
    if !response.status().is_success() {
        return (refused(&mut response).await, pace);
    }
    let mut check = AnswerCheck::new(request.text.as_str(), request.expected_tokens);
    let mut last = started;
    while let Some(Ok(bytes)) = response.next().await {
        if check.feed(&bytes) == 0 {
            continue;
        }
        let now = Instant::now();
        let waited_us = now.duration_since(last).as_micros() as u64;
        match pace.first_us {
            None => pace.first_us = Some(waited_us),
            Some(_) => pace.gaps_us.push(waited_us),
        }
        last = now;
    }
    (check.finish(), pace)
}

async fn call_plain(client: &Client, entry: &str, request: &LiveRequest) -> CheckedAnswer {
    let mut post = client
        .post(format!("{entry}/v1/services/{}/calls", request.service))
        .timeout(TRY_TIMEOUT)
        .bearer_auth(&request.api_key);
    if let Some(key) = &request.idempotency_key {
        post = post
            .insert_header(("repeatable", "false"))
            .insert_header(("idempotency-key", key.as_str()));
    }
    let mut response = match post.send_body(request.text.clone()).await {
        Ok(response) => response,
        Err(error) => return ended(not_answered(&error)),
    };
    if !response.status().is_success() {
        return refused(&mut response).await;
    }
    let Ok(body) = response.body().limit(BODY_BYTES_MAX).await else {
        return ended(TryEnd::Cut);
    };
    match serde_json::from_slice::<Echo>(&body) {
        Ok(echo) if echo.body == request.text => ended(TryEnd::Complete),
        _ => unclear(&body),
    }
}

/// Only where no connection came about is it certain that nothing was written.
fn not_answered(error: &SendRequestError) -> TryEnd {
    match error {
        SendRequestError::Connect(_) => TryEnd::NotSent,
        _ => TryEnd::Cut,
    }
}

async fn refused<S>(response: &mut ClientResponse<S>) -> CheckedAnswer
where
    S: futures_util::Stream<Item = Result<bytes::Bytes, awc::error::PayloadError>> + Unpin,
{
    let Ok(body) = response.body().limit(BODY_BYTES_MAX).await else {
        return ended(TryEnd::Cut);
    };
    match serde_json::from_slice::<ErrorBody>(&body) {
        Ok(body) => ended(TryEnd::Refused(body.error)),
        Err(_) => unclear(&body),
    }
}

fn ended(end: TryEnd) -> CheckedAnswer {
    CheckedAnswer {
        end,
        tokens: 0,
        broken: Vec::new(),
    }
}

fn unclear(body: &[u8]) -> CheckedAnswer {
    let text = String::from_utf8_lossy(body).into_owned();
    CheckedAnswer {
        broken: vec![BrokenPromise::UnclearAnswer { text }],
        ..ended(TryEnd::Unclear)
    }
}
