//! HTTP responses for requests that the gateway refuses or fails itself.

use actix_web::HttpResponse;
use actix_web::http::StatusCode;
use actix_web::http::header;

use crate::refusal::Code;
use crate::refusal::ErrorBody;
use crate::refusal::Refusal;

/// `Retry-After` of a refusal that doesn't set its own: long enough for a host that lost its upstreams to
/// learn of others.
const DEFAULT_RETRY_AFTER_MS: u64 = 200;

/// `Retry-After` of a host that is stopping: short, as the load balancer sends the retry to another host.
const STOPPING_RETRY_AFTER_MS: u64 = 20;

/// `Retry-After` of a host with too many connections: short, as the load balancer sends the retry to another host.
const CROWDED_RETRY_AFTER_MS: u64 = 20;

/// The refusal of a host that is stopping and could not finish the request.
pub fn host_stopping() -> Refusal {
    let refusal = Refusal::not_run(Code::NotReady, "the host is stopping");
    refusal.retry_after_ms(STOPPING_RETRY_AFTER_MS)
}

/// The refusal of a host that has too many connections of callers.
pub(crate) fn host_crowded() -> Refusal {
    let refusal = Refusal::not_run(Code::Overloaded, "the host has too many connections");
    refusal.retry_after_ms(CROWDED_RETRY_AFTER_MS)
}

/// Builds the HTTP response for a refusal. Callers accept fractions of a second in `Retry-After`.
pub fn response(refusal: &Refusal, close: bool) -> HttpResponse {
    let status = StatusCode::from_u16(refusal.code.http_status())
        .unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut response = HttpResponse::build(status);
    if matches!(status.as_u16(), 429 | 503) {
        let ms = refusal.retry_after_ms.unwrap_or(DEFAULT_RETRY_AFTER_MS);
        let seconds = ms as f64 / 1_000.0;
        response.insert_header((header::RETRY_AFTER, format!("{seconds:.3}")));
    }
    if close {
        response.force_close();
    }
    response.json(ErrorBody {
        error: refusal.clone(),
    })
}
