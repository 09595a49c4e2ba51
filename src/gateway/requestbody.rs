//! Reads the bodies of callers' requests.

use actix_web::web;
use bytes::Bytes;
use bytes::BytesMut;
use futures_util::StreamExt;
use http::HeaderMap;
use http::header;

use crate::gateway::bodymemory::BodyHold;
use crate::gateway::shared::Shared;
use crate::refusal::Code;
use crate::refusal::Refusal;

/// Retry delay of a caller whose body didn't fit. Bodies make room as their requests end.
const RETRY_AFTER_MS: u64 = 250;

/// Reads a body, and returns it with its hold on the host's memory. One that is known not to fit is refused before it
/// is read.
///
/// # Errors
///
/// The refusal of a body that breaks off, is longer than `bytes_max` or doesn't fit.
pub(crate) async fn read(
    shared: &Shared,
    mut payload: web::Payload,
    headers: &HeaderMap,
    bytes_max: usize,
) -> Result<(Bytes, BodyHold), Refusal> {
    let stated_bytes = stated_length(headers);
    if stated_bytes.is_some_and(|bytes| bytes > bytes_max) {
        return Err(too_long(bytes_max));
    }
    let hold = shared.body_memory().begin(stated_bytes);
    let mut hold = hold.ok_or_else(no_memory)?;
    let mut body = BytesMut::with_capacity(stated_bytes.unwrap_or_default());
    while let Some(chunk) = payload.next().await {
        let chunk = chunk.map_err(|error| {
            Refusal::not_run(Code::InvalidRequest, format!("the body broke off: {error}"))
        })?;
        if body.len() + chunk.len() > bytes_max {
            return Err(too_long(bytes_max));
        }
        if !hold.grow(chunk.len()) {
            return Err(no_memory());
        }
        body.extend_from_slice(&chunk);
    }
    Ok((body.freeze(), hold))
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

fn no_memory() -> Refusal {
    let message = "the host has no memory left for the body";
    Refusal::not_run(Code::Overloaded, message).retry_after_ms(RETRY_AFTER_MS)
}
