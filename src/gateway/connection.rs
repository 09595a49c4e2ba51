//! One connection to an upstream, with an exact account of what became of a request on it.
//!
//! hyper's connection is used directly: it alone gives back a request that was never written.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

/// What is read ahead of a stream that its caller doesn't take.
const STREAM_BUFFER_BYTES: usize = 8 * 1_024;
/// The same of an answer that is read whole, bounded elsewhere.
const RESPONSE_BUFFER_BYTES: usize = 400 * 1_024;
/// A quiet connection is probed after this time, and then again and again.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// How long a connection may be silent before it counts as cut.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionProfile {
    /// A cut is noticed within two seconds, the shortest bound on a stale view: for calls and reads
    /// that can be made again.
    Call,
    /// A cut of some seconds is waited out: for streams, which can't be made again and whose bytes
    /// arrive when it is over. Callers wait for the next event for 7 s.
    Stream,
}

impl ConnectionProfile {
    /// After so long an unacknowledged write breaks the connection.
    const fn user_timeout(self) -> Duration {
        match self {
            ConnectionProfile::Call => Duration::from_millis(1_200),
            ConnectionProfile::Stream => Duration::from_millis(8_000),
        }
    }

    /// After so many unanswered probes the connection breaks.
    const fn probes(self) -> u32 {
        match self {
            ConnectionProfile::Call => 2,
            ConnectionProfile::Stream => 7,
        }
    }

    /// So much is read before it is asked for.
    const fn buffer_bytes(self) -> usize {
        match self {
            ConnectionProfile::Call => RESPONSE_BUFFER_BYTES,
            ConnectionProfile::Stream => STREAM_BUFFER_BYTES,
        }
    }
}

/// Why an exchange has no answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ConnectionError {
    /// Nothing of the request was written.
    NotWritten(String),
    /// It was or may have been written.
    Unknown(String),
}

impl ConnectionError {
    /// What happened.
    pub fn reason(&self) -> &str {
        match self {
            ConnectionError::NotWritten(reason) | ConnectionError::Unknown(reason) => reason,
        }
    }
}

/// Ends the connection's task with its owner, which closes the socket at once.
#[derive(Debug)]
struct Driver(JoinHandle<()>);

impl Drop for Driver {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// An open connection.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    _driver: Driver,
}

impl Connection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// [`ConnectionError::NotWritten`] if it isn't established within `timeout`.
    pub async fn open(
        address: SocketAddr,
        timeout: Duration,
        profile: ConnectionProfile,
    ) -> Result<Self, ConnectionError> {
        let connecting = TcpStream::connect(address);
        let stream = match tokio::time::timeout(timeout, connecting).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => return Err(ConnectionError::NotWritten(format!("connect: {error}"))),
            Err(_) => return Err(ConnectionError::NotWritten("connect: timeout".to_owned())),
        };
        set_options(&stream, profile)
            .map_err(|error| ConnectionError::NotWritten(error.to_string()))?;
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(profile.buffer_bytes())
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|error| ConnectionError::NotWritten(error.to_string()))?;
        let driver = actix_rt::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("connection to {address}: {error}");
            }
        });
        Ok(Connection {
            sender,
            _driver: Driver(driver),
        })
    }

    /// Whether the connection takes another request.
    pub fn is_usable(&self) -> bool {
        self.sender.is_ready()
    }

    /// Sends a request and waits for the head of its answer.
    ///
    /// # Errors
    ///
    /// What became of the request.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, ConnectionError> {
        if let Err(error) = self.sender.ready().await {
            return Err(ConnectionError::NotWritten(error.to_string()));
        }
        match self.sender.try_send_request(request).await {
            Ok(response) => Ok(response),
            Err(mut error) => {
                let unsent = error.take_message().is_some();
                let reason = error_with_source(error.error());
                match unsent {
                    true => Err(ConnectionError::NotWritten(reason)),
                    false => Err(ConnectionError::Unknown(reason)),
                }
            }
        }
    }
}

/// hyper's errors hide their cause in their source.
pub(crate) fn error_with_source(error: &hyper::Error) -> String {
    match std::error::Error::source(error) {
        Some(source) => format!("{error}: {source}"),
        None => error.to_string(),
    }
}

fn set_options(stream: &TcpStream, profile: ConnectionProfile) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(profile.user_timeout()))?;
    let probes = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(profile.probes());
    socket.set_tcp_keepalive(&probes)
}
