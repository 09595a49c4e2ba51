//! HTTP client for the gateway's own calls to the platform's log, to peers and to engines.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use http::HeaderMap;
use http::Request;
use http::Response;
use http::header;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::body::Body;
use tokio::time::Instant;

use crate::error::Error;
use crate::error::Result;
use crate::gateway::answerguard::ResponseBody;
use crate::gateway::connection::Connection;
use crate::gateway::connection::ConnectionProfile;
use crate::gateway::protocol::InternalRequest;

/// Timeout of each connection attempt.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Maximum size of a response body of the log or a peer. A configuration with many routes fits.
const RESPONSE_BYTES_MAX: usize = 16 << 20;
/// Maximum size of an engine's response: a report, or the outcome of an order.
const ENGINE_RESPONSE_BYTES_MAX: usize = 256 << 10;
/// Maximum time without data in a response body. It covers several round trips to the farthest data centre
/// and the retransmission of a lost packet.
const STALL_MAX: Duration = Duration::from_millis(500);
/// Minimum average rate of a response body after an initial [`STALL_MAX`]: a twentieth of a 10 Mbit/s link.
const BYTES_PER_S_MIN: f64 = 64_000.0;

/// A part of a response, passed on as it arrives.
#[derive(Debug)]
pub(crate) enum ResponsePart {
    /// The headers, which arrive first.
    Head(HeaderMap),
    /// The next bytes of the body.
    Body(Bytes),
}

/// A complete response to a call.
#[derive(Debug)]
pub(crate) struct InternalResponse {
    /// HTTP status code.
    pub(crate) status: u16,
    /// Headers of the response.
    pub(crate) headers: HeaderMap,
    /// The complete body.
    pub(crate) body: Bytes,
}

/// Makes calls to one address, one at a time, over a persistent connection.
#[derive(Debug)]
pub struct InternalClient {
    address: SocketAddr,
    connection: Option<Connection>,
    response_bytes_max: usize,
}

impl InternalClient {
    /// Creates a client that connects on its first call.
    pub fn new(address: SocketAddr) -> Self {
        InternalClient {
            address,
            connection: None,
            response_bytes_max: RESPONSE_BYTES_MAX,
        }
    }

    /// Creates a client for an engine that uses `connection`, which is open, for its first call.
    pub(crate) fn over(address: SocketAddr, connection: Connection) -> Self {
        InternalClient {
            address,
            connection: Some(connection),
            response_bytes_max: ENGINE_RESPONSE_BYTES_MAX,
        }
    }

    /// Makes a call and returns the status and the body.
    ///
    /// # Errors
    ///
    /// [`Error::Remote`] if the head of the response doesn't arrive within `timeout`, or if the body ends
    /// early or stalls.
    pub async fn call(
        &mut self,
        call: &InternalRequest,
        timeout: Duration,
    ) -> Result<(u16, Bytes)> {
        let response = self.call_full(call, timeout).await?;
        Ok((response.status, response.body))
    }

    /// Makes a call and returns the complete response.
    ///
    /// # Errors
    ///
    /// [`Error::Remote`] if the head of the response doesn't arrive within `timeout`, or if the body ends
    /// early or stalls.
    pub(crate) async fn call_full(
        &mut self,
        call: &InternalRequest,
        timeout: Duration,
    ) -> Result<InternalResponse> {
        let mut headers = HeaderMap::new();
        let mut body = BytesMut::new();
        let status = self
            .call_streaming(call, timeout, |part| match part {
                ResponsePart::Head(head) => headers = head,
                ResponsePart::Body(bytes) => body.extend_from_slice(&bytes),
            })
            .await?;
        Ok(InternalResponse {
            status,
            headers,
            body: body.freeze(),
        })
    }

    /// Makes a call, passes each part of the response to `on_part` as it arrives, and returns the status.
    ///
    /// `timeout` applies to the head of the response only. The body may take as long as it makes progress: a
    /// configuration of 600 KB takes half a second on a 10 Mbit/s link, and with a timeout for the complete
    /// response, sixty hosts timed out and fetched it again without end.
    ///
    /// # Errors
    ///
    /// [`Error::Remote`] if the head of the response doesn't arrive within `timeout`, or if the body ends
    /// early or stalls.
    pub(crate) async fn call_streaming(
        &mut self,
        call: &InternalRequest,
        timeout: Duration,
        on_part: impl FnMut(ResponsePart),
    ) -> Result<u16> {
        let connection = self.connection.take().filter(Connection::is_usable);
        let sending = tokio::time::timeout(timeout, send_request(self.address, connection, call));
        let (connection, response) = match sending.await {
            Ok(sent) => sent.map_err(|reason| self.remote_error(reason))?,
            Err(_) => {
                let timeout_ms = timeout.as_millis();
                return Err(self.remote_error(format!("no answer in {timeout_ms} ms")));
            }
        };
        let status = response.status().as_u16();
        let read = read_body(response, self.response_bytes_max, on_part).await;
        read.map_err(|reason| self.remote_error(reason))?;
        self.connection = Some(connection);
        Ok(status)
    }

    fn remote_error(&self, reason: String) -> Error {
        Error::Remote {
            peer: self.address.to_string(),
            reason,
        }
    }
}

/// Sends a call, on a new connection if there is none, and waits for the head of the response.
async fn send_request(
    address: SocketAddr,
    connection: Option<Connection>,
    call: &InternalRequest,
) -> std::result::Result<(Connection, Response<ResponseBody>), String> {
    let mut connection = match connection {
        Some(connection) => connection,
        None => Connection::open(address, CONNECT_TIMEOUT, ConnectionProfile::Call)
            .await
            .map_err(|failure| failure.reason().to_owned())?,
    };
    let request = build_request(address, call).map_err(|error| error.to_string())?;
    let response = connection
        .send(request)
        .await
        .map_err(|failure| failure.reason().to_owned())?;
    Ok((connection, response))
}

/// Reads a response for as long as its body makes progress.
async fn read_body(
    response: Response<ResponseBody>,
    bytes_max: usize,
    mut on_part: impl FnMut(ResponsePart),
) -> std::result::Result<(), String> {
    let started = Instant::now();
    let (head, body) = response.into_parts();
    let mut body = Limited::new(body, bytes_max);
    let expected_bytes = body.size_hint().exact();
    let mut received_bytes = 0;
    on_part(ResponsePart::Head(head.headers));
    loop {
        let next =
            tokio::time::timeout_at(next_frame_deadline(started, received_bytes), body.frame());
        let Ok(frame) = next.await else {
            return Err(stall_message(started, received_bytes, expected_bytes));
        };
        let Some(frame) = frame else {
            return Ok(());
        };
        let frame = frame.map_err(|error| error.to_string())?;
        if let Ok(bytes) = frame.into_data() {
            received_bytes += bytes.len() as u64;
            on_part(ResponsePart::Body(bytes));
        }
    }
}

/// Returns the deadline for the next bytes of a body that is being read since `started`.
fn next_frame_deadline(started: Instant, received_bytes: u64) -> Instant {
    let transfer_time_max = Duration::from_secs_f64(received_bytes as f64 / BYTES_PER_S_MIN);
    (Instant::now() + STALL_MAX).min(started + STALL_MAX + transfer_time_max)
}

fn stall_message(started: Instant, received_bytes: u64, expected_bytes: Option<u64>) -> String {
    let ms = started.elapsed().as_millis();
    match expected_bytes {
        Some(expected) => {
            format!("response body stalled after {received_bytes} of {expected} bytes in {ms} ms")
        }
        None => format!("response body stalled after {received_bytes} bytes in {ms} ms"),
    }
}

fn build_request(
    address: SocketAddr,
    call: &InternalRequest,
) -> http::Result<Request<Full<Bytes>>> {
    let mut builder = Request::builder()
        .method(call.method.clone())
        .uri(&call.path)
        .header(header::HOST, address.to_string());
    if let Some(content_type) = call.content_type {
        builder = builder.header(header::CONTENT_TYPE, content_type);
    }
    builder.body(Full::new(call.body.clone()))
}
