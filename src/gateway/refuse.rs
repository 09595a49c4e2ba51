//! Last filter of a request that gets no upstream's answer: a refusal or failure of our own.

use actix_web::HttpResponse;
use actix_web::http::StatusCode;
use actix_web::http::header;

use crate::refusal::Code;
use crate::refusal::ErrorBody;
use crate::refusal::Refusal;

/// When to ask again after a refusal that doesn't say so itself, in milliseconds: long enough for
/// a host that lost its upstreams to learn of others.
const DEFAULT_RETRY_AFTER_MS: u64 = 200;

/// The balancer sends a caller that comes back elsewhere at once.
const STOPPING_RETRY_AFTER_MS: u64 = 20;

/// The refusal of a host that is stopping and would have to cut the request.
pub fn host_stopping() -> Refusal {
    let refusal = Refusal::not_run(Code::NotReady, "the host is stopping");
    refusal.retry_after_ms(STOPPING_RETRY_AFTER_MS)
}

/// A refusal as an answer. Callers read fractions of a second in `Retry-After`.
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
