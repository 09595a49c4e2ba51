//! Reads the bodies of callers' requests.

use std::future::poll_fn;
use std::task::Poll;

use actix_web::error::PayloadError;
use actix_web::web;
use bytes::Bytes;
use futures_util::StreamExt;
use http::HeaderMap;
use http::header;
use tokio::time::Instant;

use crate::gateway::bodymemory::BodyHold;
use crate::gateway::callerconnections::CallerConnection;
use crate::gateway::memorybudget;
use crate::gateway::shared::Shared;
use crate::refusal::Code;
use crate::refusal::Refusal;

/// Retry delay of a caller whose body didn't fit. Bodies make room as their requests end.
const RETRY_AFTER_MS: u64 = 250;
/// First buffer of a body whose length isn't known, or is larger.
const FIRST_BUFFER_BYTES: usize = 16 << 10;

/// What is known of a body before it is read.
#[derive(Debug)]
pub(crate) struct ExpectedBody<'a> {
    /// The connection that it arrives on.
    pub(crate) connection: &'a CallerConnection,
    /// The head of its request.
    pub(crate) headers: &'a HeaderMap,
    /// Its longest length.
    pub(crate) bytes_max: usize,
    /// When its caller or the route gives the request up.
    pub(crate) deadline: Instant,
}

/// Why a body was not read whole.
enum ReadError {
    /// The connection was ended to make room for others.
    Ended,
    Broken(PayloadError),
}

/// Reads a body, and returns it with its hold on the host's memory. One that is known not to fit is refused before it
/// is read.
///
/// # Errors
///
/// The refusal of a body that breaks off, is too long, doesn't fit or takes too long.
pub(crate) async fn read(
    shared: &Shared,
    payload: web::Payload,
    expected: &ExpectedBody<'_>,
) -> Result<(Bytes, BodyHold), Refusal> {
    let stated_bytes = stated_length(expected.headers);
    if stated_bytes.is_some_and(|bytes| bytes > expected.bytes_max) {
        return Err(too_long(expected.bytes_max));
    }
    if has_body(expected.headers) && !expected.connection.begin_body(Instant::now()) {
        return Err(no_memory());
    }
    let reading = read_whole(shared, payload, expected, stated_bytes);
    match tokio::time::timeout_at(expected.deadline, reading).await {
        Ok(read) => read,
        Err(_) => {
            expected.connection.end_slow_body(Instant::now());
            Err(too_slow())
        }
    }
}

async fn read_whole(
    shared: &Shared,
    mut payload: web::Payload,
    expected: &ExpectedBody<'_>,
    stated_bytes: Option<usize>,
) -> Result<(Bytes, BodyHold), Refusal> {
    let end_other = || expected.connection.end_other_reading(Instant::now());
    let begin = || shared.body_memory().begin(stated_bytes);
    let hold = memorybudget::take_or_make_room(begin, end_other).await;
    let mut hold = hold.ok_or_else(no_memory)?;
    let capacity_max = stated_bytes.unwrap_or(expected.bytes_max);
    let mut body = Vec::new();
    while let Some(chunk) = next_chunk(&mut payload, expected.connection).await {
        let chunk = chunk.map_err(|error| match error {
            ReadError::Ended => no_memory(),
            ReadError::Broken(error) => {
                Refusal::not_run(Code::InvalidRequest, format!("the body broke off: {error}"))
            }
        })?;
        let bytes = body.len() + chunk.len();
        if bytes > expected.bytes_max {
            return Err(too_long(expected.bytes_max));
        }
        if bytes > body.capacity() {
            let capacity = (2 * body.capacity()).max(FIRST_BUFFER_BYTES);
            let capacity = capacity.min(capacity_max).max(bytes);
            let grow = || hold.resize(capacity).then_some(());
            let grown = memorybudget::take_or_make_room(grow, end_other).await;
            grown.ok_or_else(no_memory)?;
            body.reserve_exact(capacity - body.len());
        }
        body.extend_from_slice(&chunk);
    }
    Ok((Bytes::from(body), hold))
}

async fn next_chunk(
    payload: &mut web::Payload,
    connection: &CallerConnection,
) -> Option<Result<Bytes, ReadError>> {
    poll_fn(|context| match connection.is_ended() {
        true => Poll::Ready(Some(Err(ReadError::Ended))),
        false => payload
            .poll_next_unpin(context)
            .map(|chunk| chunk.map(|chunk| chunk.map_err(ReadError::Broken))),
    })
    .await
}

/// Whether a request has a body, by its head.
pub(crate) fn has_body(headers: &HeaderMap) -> bool {
    headers.contains_key(header::TRANSFER_ENCODING)
        || stated_length(headers).is_some_and(|bytes| bytes > 0)
}

/// The length of a request's body, if its head states it.
fn stated_length(headers: &HeaderMap) -> Option<usize> {
    let length = headers.get(header::CONTENT_LENGTH)?;
    length.to_str().ok()?.trim().parse().ok()
}

fn too_long(bytes_max: usize) -> Refusal {
    let message = format!("the body is longer than {bytes_max} bytes");
    Refusal::not_run(Code::TooLarge, message)
}

fn too_slow() -> Refusal {
    let message = "the body was not there in time";
    Refusal::not_run(Code::SlowBody, message)
}

fn no_memory() -> Refusal {
    let message = "the host has no memory left for the body";
    Refusal::not_run(Code::Overloaded, message).retry_after_ms(RETRY_AFTER_MS)
}
