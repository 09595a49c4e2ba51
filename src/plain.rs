//! The HTTP client of plain services.
//!
//! It is hyper's, not awc's: awc ends a chunked body silently when its connection breaks, and a
//! caller would take a truncated answer for a whole one.

use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::Request;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;

use crate::engine::EngineOptions;
use crate::id::UpstreamId;

/// A call to a plain service.
#[derive(Debug, Clone)]
pub(crate) struct PlainCall {
    /// Path and query.
    pub(crate) path: String,
    /// End-to-end headers.
    pub(crate) headers: HeaderMap,
    /// The whole body.
    pub(crate) body: Bytes,
    /// Whether it may run more than once.
    pub(crate) repeatable: bool,
}

/// A plain service's whole answer.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct PlainAnswer {
    /// Its status.
    pub(crate) status: StatusCode,
    /// Its headers.
    pub(crate) headers: HeaderMap,
    /// Its body.
    pub(crate) body: Bytes,
}

/// What came of a call.
#[derive(Debug)]
pub(crate) enum PlainOutcome {
    /// The whole answer.
    Answered(PlainAnswer),
    /// The call was certainly not written.
    NotWritten(String),
    /// The call was or may have been written, and no whole answer came.
    Lost(String),
    /// It ran, and its answer is longer than is allowed.
    TooLong,
}

/// Client of all plain services; one for each worker thread.
#[derive(Clone)]
pub struct PlainClient {
    pooled: HttpClient,
    fresh: HttpClient,
    answer_bytes_max: usize,
}

type HttpClient = Client<HttpConnector, Full<Bytes>>;

impl PlainClient {
    /// A client with these timeouts that takes answers of up to `answer_bytes_max` bytes.
    pub fn new(options: &EngineOptions, answer_bytes_max: usize) -> Self {
        PlainClient {
            pooled: client(options, usize::MAX),
            fresh: client(options, 0),
            answer_bytes_max,
        }
    }

    /// Writes the call at most once. A call that may not run twice gets a connection of its own,
    /// so that no idle one can break under it.
    pub(crate) async fn call(&self, upstream: &UpstreamId, call: &PlainCall) -> PlainOutcome {
        let request = match self.request(upstream, call) {
            Ok(request) => request,
            Err(error) => return PlainOutcome::NotWritten(error.to_string()),
        };
        let client = if call.repeatable {
            &self.pooled
        } else {
            &self.fresh
        };
        match client.request(request).await {
            Ok(response) => self.answer(response).await,
            Err(error) if error.is_connect() => PlainOutcome::NotWritten(error.to_string()),
            Err(error) => PlainOutcome::Lost(error.to_string()),
        }
    }

    fn request(
        &self,
        upstream: &UpstreamId,
        call: &PlainCall,
    ) -> Result<Request<Full<Bytes>>, http::Error> {
        let mut request = Request::post(format!("http://{upstream}/{}", call.path))
            .body(Full::new(call.body.clone()))?;
        *request.headers_mut() = call.headers.clone();
        Ok(request)
    }

    async fn answer(&self, response: http::Response<hyper::body::Incoming>) -> PlainOutcome {
        let (head, body) = response.into_parts();
        match Limited::new(body, self.answer_bytes_max).collect().await {
            Ok(body) => PlainOutcome::Answered(PlainAnswer {
                status: head.status,
                headers: head.headers,
                body: body.to_bytes(),
            }),
            Err(error) if error.is::<LengthLimitError>() => PlainOutcome::TooLong,
            Err(error) => PlainOutcome::Lost(error.to_string()),
        }
    }
}

fn client(options: &EngineOptions, idle_max: usize) -> HttpClient {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(Duration::from_millis(options.connect_timeout_ms)));
    Client::builder(TokioExecutor::new())
        .pool_idle_timeout(Duration::from_millis(options.keep_alive_ms))
        .pool_max_idle_per_host(idle_max)
        .retry_canceled_requests(false)
        .build(connector)
}

#[cfg(test)]
mod tests;
