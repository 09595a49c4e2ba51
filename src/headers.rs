//! Which headers of a plain service's calls and answers are passed on.

use actix_web::HttpRequest;
use actix_web::HttpResponseBuilder;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;

use crate::id::RequestId;

/// Headers that concern one connection only (RFC 9110, section 7.6.1), or that each side writes
/// itself.
const OF_ONE_CONNECTION: [&str; 11] = [
    "connection",
    "content-length",
    "expect",
    "host",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// The customer's key stays with the entry host.
const KEY_HEADER: &str = "authorization";

/// The caller's headers for the upstream, with the request's id.
pub(crate) fn towards_upstream(http: &HttpRequest, request_id: RequestId) -> HeaderMap {
    let mut headers = HeaderMap::new();
    for (name, value) in http.headers() {
        let name = name.as_str();
        if is_end_to_end(name, connection_options(http)) && name != KEY_HEADER {
            append(&mut headers, name, value.as_bytes());
        }
    }
    append(
        &mut headers,
        "x-request-id",
        request_id.to_string().as_bytes(),
    );
    headers
}

/// The upstream's headers for the caller.
pub(crate) fn towards_caller(headers: &HeaderMap, response: &mut HttpResponseBuilder) {
    let options = headers
        .get("connection")
        .and_then(|value| value.to_str().ok())
        .unwrap_or("");
    for (name, value) in headers {
        if is_end_to_end(name.as_str(), options) {
            response.append_header((name.as_str(), value.as_bytes()));
        }
    }
}

fn connection_options(http: &HttpRequest) -> &str {
    http.headers()
        .get("connection")
        .and_then(|value| value.to_str().ok())
        .unwrap_or("")
}

fn is_end_to_end(name: &str, connection_options: &str) -> bool {
    let named = connection_options
        .split(',')
        .any(|option| option.trim().eq_ignore_ascii_case(name));
    !named && !OF_ONE_CONNECTION.contains(&name)
}

/// Both sides accept the same names and values, so none is left out in practice.
fn append(headers: &mut HeaderMap, name: &str, value: &[u8]) {
    if let (Ok(name), Ok(value)) = (
        HeaderName::from_bytes(name.as_bytes()),
        HeaderValue::from_bytes(value),
    ) {
        headers.append(name, value);
    }
}
