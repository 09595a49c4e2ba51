//! Opens the addresses of a host.

use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::UdpSocket;

use nix::sys::resource::Resource;
use nix::sys::resource::getrlimit;
use socket2::Domain;
use socket2::Socket;
use socket2::Type;

use crate::error::Error;
use crate::error::Result;
use crate::gateway::settings::GatewaySettings;

/// Connections that wait to be accepted. While the queue is full the system drops opening packets, which callers send
/// again only after a second.
const ACCEPT_QUEUE_MAX: i32 = 1_024;

/// Receive buffer of a client's connection, of which the system uses twice as much. Unread bytes count as memory of the
/// process.
const RECEIVE_BUFFER_BYTES: usize = 16 << 10;
/// Receive buffer of a connection that is carried for another host, which may be in another region.
const CARRIED_RECEIVE_BUFFER_BYTES: usize = 64 << 10;

/// Descriptors that a host needs besides those of callers and upstreams: its addresses, its threads and its calls to the
/// log and to other hosts.
const DESCRIPTORS_MIN: u64 = 64;

/// The open addresses of a host.
#[derive(Debug)]
pub(crate) struct Sockets {
    pub(crate) callers: TcpListener,
    pub(crate) ready: TcpListener,
    pub(crate) peers: TcpListener,
    /// Datagrams of other hosts.
    pub(crate) gossip: UdpSocket,
    /// Connections to upstreams that this host carries for others.
    pub(crate) carried: TcpListener,
    /// No request depends on the metrics, so a host serves without them.
    pub(crate) metrics: Result<TcpListener>,
}

impl Sockets {
    /// Opens all addresses.
    ///
    /// # Errors
    ///
    /// [`Error::Socket`] with the first address that can't be opened, and [`Error::Descriptors`] if the process may open
    /// too few.
    pub(crate) fn open(settings: &GatewaySettings) -> Result<Self> {
        check_descriptors()?;
        Ok(Sockets {
            gossip: bind(settings.gossip_address)?,
            carried: listen(settings.gossip_address, CARRIED_RECEIVE_BUFFER_BYTES)?,
            callers: listen(settings.caller_address, RECEIVE_BUFFER_BYTES)?,
            ready: listen(settings.ready_address, RECEIVE_BUFFER_BYTES)?,
            peers: listen(settings.peer_address, RECEIVE_BUFFER_BYTES)?,
            metrics: listen(settings.metrics_address, RECEIVE_BUFFER_BYTES),
        })
    }
}

fn check_descriptors() -> Result<()> {
    let max = getrlimit(Resource::RLIMIT_NOFILE).map_or(u64::MAX, |(max, _)| max);
    match max < DESCRIPTORS_MIN {
        true => Err(Error::Descriptors {
            max,
            needed: DESCRIPTORS_MIN,
        }),
        false => Ok(()),
    }
}

fn bind(address: SocketAddr) -> Result<UdpSocket> {
    let open = || {
        let socket = UdpSocket::bind(address)?;
        socket.set_nonblocking(true)?;
        Ok(socket)
    };
    open().map_err(|source| unopened(address, source))
}

fn listen(address: SocketAddr, receive_buffer_bytes: usize) -> Result<TcpListener> {
    let open = || {
        let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
        socket.set_reuse_address(true)?;
        socket.set_nonblocking(true)?;
        if let Err(error) = socket.set_recv_buffer_size(receive_buffer_bytes) {
            log::warn!("receive buffer of {address}: {error}");
        }
        socket.bind(&address.into())?;
        socket.listen(ACCEPT_QUEUE_MAX)?;
        Ok(socket.into())
    };
    open().map_err(|source| unopened(address, source))
}

fn unopened(address: SocketAddr, source: io::Error) -> Error {
    Error::Socket { address, source }
}
