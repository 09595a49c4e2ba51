//! Forwarding of requests to upstreams, and of headers in both directions.

use std::time::Duration;

use actix_web::HttpRequest;
use bytes::Bytes;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::header;
use http_body_util::Full;

use crate::gateway::directory::Upstream;
use crate::gateway::protocol::HeaderNames;
use crate::id::CustomerId;

/// Headers that apply to a single connection (RFC 9110, section 7.6.1), or that each side sets itself. They
/// aren't forwarded.
const HOP_BY_HOP_HEADERS: [HeaderName; 10] = [
    header::CONNECTION,
    header::CONTENT_LENGTH,
    header::EXPECT,
    HeaderName::from_static("keep-alive"),
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// A client's request with its complete body.
#[derive(Debug, Clone)]
pub struct CallerRequest {
    /// HTTP method.
    pub method: Method,
    /// Path and query, as received.
    pub target: String,
    /// Headers of the request, including those that aren't forwarded.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
}

impl CallerRequest {
    /// Returns the value of a header, or `None` if it is missing or isn't text.
    pub fn header_text(&self, name: &HeaderName) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
}

/// Converts the headers of an actix request. Both libraries accept the same names and values.
pub fn convert_headers(http: &HttpRequest) -> HeaderMap {
    let mut headers = HeaderMap::with_capacity(http.headers().len());
    for (name, value) in http.headers() {
        let name = HeaderName::from_bytes(name.as_str().as_bytes());
        let value = HeaderValue::from_bytes(value.as_bytes());
        if let (Ok(name), Ok(value)) = (name, value) {
            headers.append(name, value);
        }
    }
    headers
}

/// Values of the headers that the gateway sets on one attempt.
#[derive(Debug, Clone)]
pub struct AttemptHeaders<'a> {
    /// Upstream that the attempt is sent to.
    pub upstream: &'a Upstream,
    /// Time until the request's deadline.
    pub time_left: Duration,
    /// Customer that made the request, if known.
    pub customer: Option<&'a CustomerId>,
    /// Priority for the engine.
    pub priority: Option<u8>,
    /// Memory copy to continue from, and the last event that was already received.
    pub continue_from: Option<(HeaderValue, u64)>,
}

/// Builds the request that is sent to an upstream.
pub fn upstream_request(
    request: &CallerRequest,
    names: &HeaderNames,
    attempt: &AttemptHeaders<'_>,
) -> Request<Full<Bytes>> {
    let mut outgoing = Request::new(Full::new(request.body.clone()));
    *outgoing.method_mut() = request.method.clone();
    *outgoing.uri_mut() = request.target.parse().unwrap_or_default();
    let headers = outgoing.headers_mut();
    copy_end_to_end_headers(&request.headers, headers, |name| is_reserved(names, name));
    set_attempt_headers(headers, names, attempt);
    outgoing
}

/// Returns whether a header isn't forwarded from clients, because the gateway sets it or it carries a key.
fn is_reserved(names: &HeaderNames, name: &HeaderName) -> bool {
    let set_by_gateway = [
        &header::AUTHORIZATION,
        &names.deadline_ms,
        &names.customer,
        &names.expected_instance,
        &names.priority,
        &names.continue_from,
    ];
    set_by_gateway.contains(&name) || names.reserved.contains(name)
}

fn set_attempt_headers(headers: &mut HeaderMap, names: &HeaderNames, attempt: &AttemptHeaders<'_>) {
    let left_ms = u64::try_from(attempt.time_left.as_millis()).unwrap_or(u64::MAX);
    headers.insert(&names.deadline_ms, HeaderValue::from(left_ms));
    insert_header(
        headers,
        &names.expected_instance,
        attempt.upstream.id.as_str(),
    );
    if let Some(customer) = attempt.customer {
        insert_header(headers, &names.customer, customer.as_str());
    }
    if let Some(priority) = attempt.priority {
        headers.insert(&names.priority, HeaderValue::from(u16::from(priority)));
    }
    if let Some((copy, last_event)) = &attempt.continue_from {
        headers.insert(&names.continue_from, copy.clone());
        headers.insert(&names.last_event, HeaderValue::from(*last_event));
    }
}

/// Inserts a header. Values are names from configurations that were validated when they were read, so an
/// invalid one is only logged.
fn insert_header(headers: &mut HeaderMap, name: &HeaderName, text: &str) {
    match HeaderValue::from_str(text) {
        Ok(value) => {
            headers.insert(name, value);
        }
        Err(error) => log::warn!("invalid value {text:?} for header {name}: {error}"),
    }
}

/// Copies headers, except hop-by-hop headers and those for which `is_excluded` returns true.
pub fn copy_end_to_end_headers(
    from: &HeaderMap,
    to: &mut HeaderMap,
    is_excluded: impl Fn(&HeaderName) -> bool,
) {
    let connection_options = from
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|option| option.trim().to_ascii_lowercase())
        .collect::<Vec<String>>();
    for (name, value) in from {
        let is_hop_by_hop = HOP_BY_HOP_HEADERS.contains(name)
            || connection_options
                .iter()
                .any(|option| option == name.as_str());
        if !is_hop_by_hop && !is_excluded(name) {
            to.append(name, value.clone());
        }
    }
}
