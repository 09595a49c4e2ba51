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
const ANSWER_BYTES_MAX: usize = 32 << 20;
/// An answer that has begun is given up when nothing more of it arrives for so long: some round trips of
/// the farthest data centre and a lost packet sent again.
const STALL_MAX: Duration = Duration::from_millis(500);
/// and when, after that time, it has come more slowly than this: a twentieth of a link of 10 Mbit/s.
const BYTES_PER_S_MIN: f64 = 64_000.0;

/// What arrives of an answer.
#[derive(Debug)]
pub(crate) enum Arrival {
    /// Its headers.
    Head(HeaderMap),
    /// Bytes of its body, in order.
    Body(Bytes),
}

/// An answer to a call of our own.
#[derive(Debug)]
pub(crate) struct OwnAnswer {
    /// Its status.
    pub(crate) status: u16,
    /// Its headers.
    pub(crate) headers: HeaderMap,
    /// Its body.
    pub(crate) body: Bytes,
}

/// Makes calls to one address, one at a time, over a connection that is kept.
#[derive(Debug)]
pub struct OwnClient {
    address: SocketAddr,
    connection: Option<Connection>,
}

impl OwnClient {
    /// A client that connects with its first call.
    pub fn new(address: SocketAddr) -> Self {
        OwnClient {
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
        let answer = self.call_whole(call, timeout).await?;
        Ok((answer.status, answer.body))
    }

    /// Makes a call; answers with all that came back.
    ///
    /// # Errors
    ///
    /// [`Error::Remote`] if no answer begins within `timeout`, or it breaks off or stands still.
    pub(crate) async fn call_whole(
        &mut self,
        call: &InternalRequest,
        timeout: Duration,
    ) -> Result<OwnAnswer> {
        let mut headers = HeaderMap::new();
        let mut body = BytesMut::new();
        let status = self
            .call_watched(call, timeout, |arrival| match arrival {
                Arrival::Head(head) => headers = head,
                Arrival::Body(bytes) => body.extend_from_slice(&bytes),
            })
            .await?;
        Ok(OwnAnswer {
            status,
            headers,
            body: body.freeze(),
        })
    }

    /// Makes a call; answers with the status, and has `watch` see what arrives as it does.
    ///
    /// An answer has `timeout` to begin. How long it may last is told by what arrives: a configuration of
    /// 600 KB takes a link of 10 Mbit/s half a second, and with a timeout for the whole of it sixty hosts
    /// fetched one anew for as long as anyone looked.
    ///
    /// # Errors
    ///
    /// [`Error::Remote`] if no answer begins within `timeout`, or it breaks off or stands still.
    pub(crate) async fn call_watched(
        &mut self,
        call: &InternalRequest,
        timeout: Duration,
        watch: impl FnMut(Arrival),
    ) -> Result<u16> {
        let connection = self.connection.take().filter(Connection::is_usable);
        let begins = tokio::time::timeout(timeout, begin(self.address, connection, call));
        let (connection, response) = match begins.await {
            Ok(begun) => begun.map_err(|reason| self.remote(reason))?,
            Err(_) => {
                let timeout_ms = timeout.as_millis();
                return Err(self.remote(format!("no answer in {timeout_ms} ms")));
            }
        };
        let status = response.status().as_u16();
        let arriving = receive(response, watch).await;
        arriving.map_err(|reason| self.remote(reason))?;
        self.connection = Some(connection);
        Ok(status)
    }

    fn remote(&self, reason: String) -> Error {
        Error::Remote {
            peer: self.address.to_string(),
            reason,
        }
    }
}

/// Sends a call and waits for the head of its answer.
async fn begin(
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
    let request = request_of(address, call).map_err(|error| error.to_string())?;
    let response = connection
        .send(request)
        .await
        .map_err(|failure| failure.reason().to_owned())?;
    Ok((connection, response))
}

/// Receives a body for as long as it makes progress.
async fn receive(
    response: Response<Incoming>,
    mut watch: impl FnMut(Arrival),
) -> std::result::Result<(), String> {
    let began = Instant::now();
    let (head, body) = response.into_parts();
    let mut body = Limited::new(body, ANSWER_BYTES_MAX);
    let due_bytes = body.size_hint().exact();
    let mut got_bytes = 0;
    watch(Arrival::Head(head.headers));
    loop {
        let next = tokio::time::timeout_at(next_is_due(began, got_bytes), body.frame());
        let Ok(frame) = next.await else {
            return Err(broken_off(began, got_bytes, due_bytes));
        };
        let Some(frame) = frame else {
            return Ok(());
        };
        let frame = frame.map_err(|error| error.to_string())?;
        if let Ok(bytes) = frame.into_data() {
            got_bytes += bytes.len() as u64;
            watch(Arrival::Body(bytes));
        }
    }
}

/// When the next bytes must have arrived of a body that began to arrive at `began`.
fn next_is_due(began: Instant, got_bytes: u64) -> Instant {
    let lasts_at_most = Duration::from_secs_f64(got_bytes as f64 / BYTES_PER_S_MIN);
    (Instant::now() + STALL_MAX).min(began + STALL_MAX + lasts_at_most)
}

fn broken_off(began: Instant, got_bytes: u64, due_bytes: Option<u64>) -> String {
    let ms = began.elapsed().as_millis();
    match due_bytes {
        Some(due) => format!("{got_bytes} of {due} bytes in {ms} ms, then nothing"),
        None => format!("{got_bytes} bytes in {ms} ms, then nothing"),
    }
}

fn request_of(address: SocketAddr, call: &InternalRequest) -> http::Result<Request<Full<Bytes>>> {
    let mut builder = Request::builder()
        .method(call.method.clone())
        .uri(&call.path)
        .header(header::HOST, address.to_string());
    if let Some(content_type) = call.content_type {
        builder = builder.header(header::CONTENT_TYPE, content_type);
    }
    builder.body(Full::new(call.body.clone()))
}
