//! Calls that a host makes itself: to the platform's log, to peers and to engines.

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
use hyper::body::Incoming;
use tokio::time::Instant;

use crate::error::Error;
use crate::error::Result;
use crate::gateway::connection::Connection;
use crate::gateway::connection::ConnectionProfile;
use crate::gateway::protocol::InternalRequest;

/// Each connection attempt.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Largest answer: a configuration of many routes fits.
const RESPONSE_BYTES_MAX: usize = 32 << 20;
/// An answer that has begun is given up when nothing more of it arrives for so long: some round trips of
/// the farthest data centre and a lost packet sent again.
const STALL_MAX: Duration = Duration::from_millis(500);
/// and when, after that time, it has come more slowly than this: a twentieth of a link of 10 Mbit/s.
const BYTES_PER_S_MIN: f64 = 64_000.0;

/// What arrives of an answer.
#[derive(Debug)]
pub(crate) enum ResponsePart {
    /// Its headers.
    Head(HeaderMap),
    /// Bytes of its body, in order.
    Body(Bytes),
}

/// An answer to a call of our own.
#[derive(Debug)]
pub(crate) struct InternalResponse {
    /// Its status.
    pub(crate) status: u16,
    /// Its headers.
    pub(crate) headers: HeaderMap,
    /// Its body.
    pub(crate) body: Bytes,
}

/// Makes calls to one address, one at a time, over a connection that is kept.
#[derive(Debug)]
pub struct InternalClient {
    address: SocketAddr,
    connection: Option<Connection>,
}

impl InternalClient {
    /// A client that connects with its first call.
    pub fn new(address: SocketAddr) -> Self {
        InternalClient {
            address,
            connection: None,
        }
    }

    /// Makes a call; answers with status and body.
    ///
    /// # Errors
    ///
    /// [`Error::Remote`] if no answer begins within `timeout`, or it breaks off or stands still.
    pub async fn call(
        &mut self,
        call: &InternalRequest,
        timeout: Duration,
    ) -> Result<(u16, Bytes)> {
        let answer = self.call_full(call, timeout).await?;
        Ok((answer.status, answer.body))
    }

    /// Makes a call; answers with all that came back.
    ///
    /// # Errors
    ///
    /// [`Error::Remote`] if no answer begins within `timeout`, or it breaks off or stands still.
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

    /// Makes a call; answers with the status, and has `on_part` see what arrives as it does.
    ///
    /// An answer has `timeout` to begin. How long it may last is told by what arrives: a configuration of
    /// 600 KB takes a link of 10 Mbit/s half a second, and with a timeout for the whole of it sixty hosts
    /// fetched one anew for as long as anyone looked.
    ///
    /// # Errors
    ///
    /// [`Error::Remote`] if no answer begins within `timeout`, or it breaks off or stands still.
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
        let read = read_body(response, on_part).await;
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

/// Sends a call and waits for the head of its answer.
async fn send_request(
    address: SocketAddr,
    connection: Option<Connection>,
    call: &InternalRequest,
) -> std::result::Result<(Connection, Response<Incoming>), String> {
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

/// Receives a body for as long as it makes progress.
async fn read_body(
    response: Response<Incoming>,
    mut on_part: impl FnMut(ResponsePart),
) -> std::result::Result<(), String> {
    let started = Instant::now();
    let (head, body) = response.into_parts();
    let mut body = Limited::new(body, RESPONSE_BYTES_MAX);
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

/// When the next bytes must have arrived of a body that started to arrive at `started`.
fn next_frame_deadline(started: Instant, received_bytes: u64) -> Instant {
    let transfer_time_max = Duration::from_secs_f64(received_bytes as f64 / BYTES_PER_S_MIN);
    (Instant::now() + STALL_MAX).min(started + STALL_MAX + transfer_time_max)
}

fn stall_message(started: Instant, received_bytes: u64, expected_bytes: Option<u64>) -> String {
    let ms = started.elapsed().as_millis();
    match expected_bytes {
        Some(due) => format!("{received_bytes} of {due} bytes in {ms} ms, then nothing"),
        None => format!("{received_bytes} bytes in {ms} ms, then nothing"),
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
