//! Reads a caller's request within the bounds of size and time.

use std::str::FromStr;
use std::time::Duration;

use actix_web::HttpRequest;
use actix_web::http::header;
use actix_web::web;
use bytes::Bytes;

use crate::key::IdempotencyKey;
use crate::refusal::Code;
use crate::refusal::Refusal;
use crate::server::ServerOptions;

/// The header with the caller's idempotency key.
const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// Refuses headers that are too large together.
pub(crate) fn check_headers(options: &ServerOptions, http: &HttpRequest) -> Result<(), Refusal> {
    let bytes: usize = http
        .headers()
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len())
        .sum();
    if bytes <= options.header_bytes_max {
        return Ok(());
    }
    let message = format!(
        "the headers hold {bytes} bytes; {} are allowed",
        options.header_bytes_max
    );
    Err(Refusal::not_run(Code::TooLarge, message))
}

/// Reads the body within its bounds.
pub(crate) async fn read_body(
    options: &ServerOptions,
    payload: web::Payload,
) -> Result<Bytes, Refusal> {
    let timeout = Duration::from_millis(options.body_timeout_ms);
    let reading = payload.to_bytes_limited(options.body_bytes_max);
    match tokio::time::timeout(timeout, reading).await {
        Ok(Ok(Ok(body))) => Ok(body),
        Ok(Ok(Err(error))) => {
            let message = format!("the body can't be read: {error}");
            Err(Refusal::not_run(Code::InvalidRequest, message))
        }
        Ok(Err(_)) => {
            let message = format!(
                "the body is too large; {} bytes are allowed",
                options.body_bytes_max
            );
            Err(Refusal::not_run(Code::TooLarge, message))
        }
        Err(_) => {
            let message = "the body did not arrive in time";
            Err(Refusal::not_run(Code::InvalidRequest, message))
        }
    }
}

/// The customer's key.
pub(crate) fn bearer_key(http: &HttpRequest) -> Option<&str> {
    http.headers()
        .get(header::AUTHORIZATION)?
        .to_str()
        .ok()?
        .strip_prefix("Bearer ")
}

/// The caller's idempotency key, if the request must not run twice and has one.
pub(crate) fn idempotency_key(
    http: &HttpRequest,
    repeatable: bool,
) -> Result<Option<IdempotencyKey>, Refusal> {
    match http.headers().get(IDEMPOTENCY_KEY_HEADER) {
        Some(value) if !repeatable => {
            IdempotencyKey::parse(value.to_str().unwrap_or_default()).map(Some)
        }
        _ => Ok(None),
    }
}

/// Parses a header that may be missing.
pub(crate) fn parsed_header<T: FromStr>(
    http: &HttpRequest,
    name: &str,
    allowed: &str,
) -> Result<Option<T>, Refusal> {
    let Some(value) = http.headers().get(name) else {
        return Ok(None);
    };
    let parsed = value.to_str().ok().and_then(|text| text.parse().ok());
    parsed.map(Some).ok_or_else(|| {
        let message = format!("header {name}: {value:?}; {allowed} is allowed");
        Refusal::not_run(Code::InvalidRequest, message)
    })
}
