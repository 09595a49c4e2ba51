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

/// An unacknowledged write breaks the connection after this time: a silent cut must be noticed well
/// before the shortest bound on a stale view (2 s).
const USER_TIMEOUT: Duration = Duration::from_millis(1_200);
/// A quiet connection is probed after this time; with [`PROBE_INTERVAL`] and [`PROBES`] a silent cut
/// under a long poll is noticed within two seconds.
const PROBE_AFTER: Duration = Duration::from_secs(1);
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
const PROBES: u32 = 2;

/// Why an exchange has no answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Failure {
    /// Nothing of the request was written.
    NotWritten(String),
    /// It was or may have been written.
    Unknown(String),
}

impl Failure {
    /// What happened.
    pub fn reason(&self) -> &str {
        match self {
            Failure::NotWritten(reason) | Failure::Unknown(reason) => reason,
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
    /// [`Failure::NotWritten`] if it isn't established within `timeout`.
    pub async fn open(address: SocketAddr, timeout: Duration) -> Result<Self, Failure> {
        let connecting = TcpStream::connect(address);
        let stream = match tokio::time::timeout(timeout, connecting).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => return Err(Failure::NotWritten(format!("connect: {error}"))),
            Err(_) => return Err(Failure::NotWritten("connect: timeout".to_owned())),
        };
        set_options(&stream).map_err(|error| Failure::NotWritten(error.to_string()))?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|error| Failure::NotWritten(error.to_string()))?;
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
    ) -> Result<Response<Incoming>, Failure> {
        if let Err(error) = self.sender.ready().await {
            return Err(Failure::NotWritten(error.to_string()));
        }
        match self.sender.try_send_request(request).await {
            Ok(response) => Ok(response),
            Err(mut error) => {
                let unsent = error.take_message().is_some();
                let reason = describe(error.error());
                match unsent {
                    true => Err(Failure::NotWritten(reason)),
                    false => Err(Failure::Unknown(reason)),
                }
            }
        }
    }
}

/// hyper's errors hide their cause in their source.
pub(crate) fn describe(error: &hyper::Error) -> String {
    match std::error::Error::source(error) {
        Some(source) => format!("{error}: {source}"),
        None => error.to_string(),
    }
}

fn set_options(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))?;
    let probes = TcpKeepalive::new()
        .with_time(PROBE_AFTER)
        .with_interval(PROBE_INTERVAL)
        .with_retries(PROBES);
    socket.set_tcp_keepalive(&probes)
}

#[cfg(test)]
mod tests;
