//! A connection to an upstream that reports whether a failed request was written.
//!
//! hyper's low-level connection is used directly, because only it returns a request that was never written.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::LocalBoxFuture;
use http::Request;
use http::Response;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::Instant;

use crate::gateway::answerguard::FramingWatch;
use crate::gateway::answerguard::ResponseBody;
use crate::gateway::answerguard::WatchedStream;
use crate::id::HostId;
use crate::id::RegionId;

/// Read buffer for streams: the maximum that is read ahead while the client reads slowly.
const STREAM_BUFFER_BYTES: usize = 8 * 1_024;
/// Read buffer for responses that are read as a whole, and so the largest head. Their size is limited elsewhere.
const RESPONSE_BUFFER_BYTES: usize = 64 * 1_024;
/// Idle time before the first TCP keepalive probe.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);
/// Interval between TCP keepalive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Timeouts and buffer size of a connection, by its use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionProfile {
    /// For calls and reads that can be retried. A network partition is detected within two seconds, the
    /// shortest bound on stale data.
    Call,
    /// For streams, which can't be retried. The connection survives a network partition of several seconds
    /// and delivers the bytes afterwards, because clients wait 7 s for the next event.
    Stream,
}

impl ConnectionProfile {
    /// Time after which an unacknowledged write closes the connection (`TCP_USER_TIMEOUT`).
    const fn user_timeout(self) -> Duration {
        match self {
            ConnectionProfile::Call => Duration::from_millis(1_200),
            ConnectionProfile::Stream => Duration::from_millis(8_000),
        }
    }

    /// Number of unanswered keepalive probes after which the connection is closed.
    const fn probes(self) -> u32 {
        match self {
            ConnectionProfile::Call => 2,
            ConnectionProfile::Stream => 7,
        }
    }

    /// Maximum size of hyper's read buffer.
    const fn buffer_bytes(self) -> usize {
        match self {
            ConnectionProfile::Call => RESPONSE_BUFFER_BYTES,
            ConnectionProfile::Stream => STREAM_BUFFER_BYTES,
        }
    }
}

/// Opens TCP connections to upstreams. Tests cut a host off from its upstreams with one of their own.
pub trait Connector: std::fmt::Debug + Send + Sync {
    /// Connects to `address`.
    fn connect(&self, address: SocketAddr) -> LocalBoxFuture<'_, std::io::Result<TcpStream>>;
}

/// The [`Connector`] of the operating system.
#[derive(Debug, Clone, Copy, Default)]
pub struct SystemConnector;

impl Connector for SystemConnector {
    fn connect(&self, address: SocketAddr) -> LocalBoxFuture<'_, std::io::Result<TcpStream>> {
        Box::pin(TcpStream::connect(address))
    }
}

/// The reason why a request has no response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ConnectionError {
    /// No part of the request was written.
    NotWritten(String),
    /// The request was written, or may have been.
    Unknown(String),
}

impl ConnectionError {
    /// Returns the description of the failure.
    pub fn reason(&self) -> &str {
        match self {
            ConnectionError::NotWritten(reason) | ConnectionError::Unknown(reason) => reason,
        }
    }
}

/// Aborts the connection's task on drop, which closes the socket immediately.
#[derive(Debug)]
struct Driver(JoinHandle<()>);

impl Drop for Driver {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Whether the host that carries a connection is still there. Clones share it.
#[derive(Debug, Clone, Default)]
pub(crate) struct CarrierState(Arc<AtomicBool>);

impl CarrierState {
    /// Records that the carrier is gone.
    pub(crate) fn set_lost(&self) {
        self.0.store(true, Ordering::Relaxed);
    }

    /// Whether the carrier is gone.
    pub(crate) fn is_lost(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// The host through which a connection runs.
#[derive(Debug)]
struct Carried {
    by: HostId,
    /// The region of that host, if its data centre has one.
    region: Option<RegionId>,
    state: CarrierState,
}

/// An open HTTP/1.1 connection.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    watch: Rc<FramingWatch>,
    /// Whether a request has been sent on it.
    is_used: bool,
    opened_at: Instant,
    carried: Option<Carried>,
    _driver: Driver,
}

impl Connection {
    /// Opens a connection to `address`.
    ///
    /// # Errors
    ///
    /// [`ConnectionError::NotWritten`] if the connection isn't established within `timeout`.
    pub async fn open(
        address: SocketAddr,
        timeout: Duration,
        profile: ConnectionProfile,
    ) -> Result<Self, ConnectionError> {
        let stream = connect(&SystemConnector, address, timeout, profile).await?;
        Connection::over(stream, address, profile).await
    }

    /// Speaks HTTP over `stream`, which leads to `address`.
    ///
    /// # Errors
    ///
    /// [`ConnectionError::NotWritten`] if hyper can't use the stream.
    pub async fn over(
        stream: impl AsyncRead + AsyncWrite + Unpin + 'static,
        address: SocketAddr,
        profile: ConnectionProfile,
    ) -> Result<Self, ConnectionError> {
        let watch = Rc::new(FramingWatch::default());
        let stream = WatchedStream::new(stream, watch.clone());
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
            watch,
            is_used: false,
            opened_at: Instant::now(),
            carried: None,
            _driver: Driver(driver),
        })
    }

    /// Whether the connection can send another request.
    pub fn is_usable(&self) -> bool {
        self.sender.is_ready()
    }

    /// The same connection, carried by another host.
    pub(crate) fn through(self, by: HostId, region: Option<RegionId>, state: CarrierState) -> Self {
        Connection {
            carried: Some(Carried { by, region, state }),
            ..self
        }
    }

    /// The host that carries the connection; `None` if it is a direct one.
    pub(crate) fn carrier(&self) -> Option<&HostId> {
        self.carried.as_ref().map(|carried| &carried.by)
    }

    /// Whether the connection leads only through `regions`; `None` allows all.
    pub(crate) fn is_within(&self, regions: Option<&BTreeSet<RegionId>>) -> bool {
        match (&self.carried, regions) {
            (None, _) | (_, None) => true,
            (Some(carried), Some(regions)) => {
                let region = carried.region.as_ref();
                region.is_some_and(|region| regions.contains(region))
            }
        }
    }

    /// Whether the connection broke because its carrier is gone, which says nothing about the upstream.
    pub(crate) fn has_lost_carrier(&self) -> bool {
        let carried = self.carried.as_ref();
        carried.is_some_and(|carried| carried.state.is_lost())
    }

    /// Time since the connection was opened.
    pub(crate) fn age(&self) -> Duration {
        self.opened_at.elapsed()
    }

    /// Whether a request has been sent on the connection. Upstreams close used ones while they are idle.
    pub(crate) fn is_used(&self) -> bool {
        self.is_used
    }

    /// Sends a request and waits for the response head.
    ///
    /// # Errors
    ///
    /// A [`ConnectionError`] that says whether the request may have been written.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<ResponseBody>, ConnectionError> {
        if let Err(error) = self.sender.ready().await {
            return Err(ConnectionError::NotWritten(error.to_string()));
        }
        self.is_used = true;
        self.watch.reset();
        match self.sender.try_send_request(request).await {
            Ok(response) => Ok(response.map(|body| ResponseBody::new(body, self.watch.clone()))),
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

/// Opens a TCP connection with the options of `profile`.
///
/// # Errors
///
/// [`ConnectionError::NotWritten`] if the connection isn't established within `timeout`.
pub(crate) async fn connect(
    connector: &dyn Connector,
    address: SocketAddr,
    timeout: Duration,
    profile: ConnectionProfile,
) -> Result<TcpStream, ConnectionError> {
    let stream = match tokio::time::timeout(timeout, connector.connect(address)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) => return Err(ConnectionError::NotWritten(format!("connect: {error}"))),
        Err(_) => return Err(ConnectionError::NotWritten("connect: timeout".to_owned())),
    };
    set_options(&stream, profile)
        .map_err(|error| ConnectionError::NotWritten(error.to_string()))?;
    Ok(stream)
}

/// Formats an error with its source, because the message of a hyper error omits the cause.
pub(crate) fn error_with_source(error: &hyper::Error) -> String {
    match std::error::Error::source(error) {
        Some(source) => format!("{error}: {source}"),
        None => error.to_string(),
    }
}

pub(crate) fn set_options(stream: &TcpStream, profile: ConnectionProfile) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(profile.user_timeout()))?;
    let probes = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(profile.probes());
    socket.set_tcp_keepalive(&probes)
}
