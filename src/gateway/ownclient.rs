//! Calls that a host makes itself: to the platform's log, to peers and to engines.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::header;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::body::Body;

use crate::error::Error;
use crate::error::Result;
use crate::gateway::connection::Connection;
use crate::gateway::connection::Patience;
use crate::gateway::protocol::OwnCall;

/// Each connection attempt.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Largest answer: a configuration of many routes fits.
const ANSWER_BYTES_MAX: usize = 8 << 20;

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
    /// [`Error::Remote`] if there is no whole answer within `timeout`.
    pub async fn call(&mut self, call: &OwnCall, timeout: Duration) -> Result<(u16, Bytes)> {
        let connection = self.connection.take().filter(Connection::is_usable);
        let mut arrived = Arrived::default();
        let exchange = exchange(self.address, connection, call, &mut arrived);
        let outcome = tokio::time::timeout(timeout, exchange).await;
        match outcome {
            Ok(Ok((status, body, connection))) => {
                self.connection = Some(connection);
                Ok((status, body))
            }
            Ok(Err(reason)) => Err(self.remote(reason)),
            Err(_) => Err(self.remote(arrived.missed(timeout))),
        }
    }

    fn remote(&self, reason: String) -> Error {
        Error::Remote {
            peer: self.address.to_string(),
            reason,
        }
    }
}

/// What of an answer has arrived, to tell a slow transfer from silence.
#[derive(Debug, Default)]
struct Arrived {
    bytes: Vec<u8>,
    /// What its head announced.
    due_bytes: Option<u64>,
}

impl Arrived {
    /// Why there is no whole answer.
    fn missed(&self, timeout: Duration) -> String {
        let timeout_ms = timeout.as_millis();
        match self.due_bytes {
            Some(due) => {
                let got = self.bytes.len();
                format!("{got} of {due} bytes in {timeout_ms} ms")
            }
            None => format!("no answer in {timeout_ms} ms"),
        }
    }
}

async fn exchange(
    address: SocketAddr,
    connection: Option<Connection>,
    call: &OwnCall,
    arrived: &mut Arrived,
) -> std::result::Result<(u16, Bytes, Connection), String> {
    let mut connection = match connection {
        Some(connection) => connection,
        None => Connection::open(address, CONNECT_TIMEOUT, Patience::Short)
            .await
            .map_err(|failure| failure.reason().to_owned())?,
    };
    let request = request_of(address, call).map_err(|error| error.to_string())?;
    let response = connection
        .send(request)
        .await
        .map_err(|failure| failure.reason().to_owned())?;
    let status = response.status().as_u16();
    let mut body = Limited::new(response.into_body(), ANSWER_BYTES_MAX);
    arrived.due_bytes = body.size_hint().exact();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| error.to_string())?;
        if let Ok(data) = frame.into_data() {
            arrived.bytes.extend_from_slice(&data);
        }
    }
    let body = Bytes::from(std::mem::take(&mut arrived.bytes));
    Ok((status, body, connection))
}

fn request_of(address: SocketAddr, call: &OwnCall) -> http::Result<Request<Full<Bytes>>> {
    let mut builder = Request::builder()
        .method(call.method.clone())
        .uri(&call.path)
        .header(header::HOST, address.to_string());
    if let Some(content_type) = call.content_type {
        builder = builder.header(header::CONTENT_TYPE, content_type);
    }
    builder.body(Full::new(call.body.clone()))
}
