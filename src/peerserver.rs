//! The server that the other entry hosts call.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;

use async_trait::async_trait;
use jsonrpsee::core::RpcResult;
use jsonrpsee::server::Server;
use jsonrpsee::server::ServerConfig;
use jsonrpsee::server::ServerHandle;
use jsonrpsee::types::ErrorCode;

use crate::clock::SystemClock;
use crate::error::Result;
use crate::id::DataCentre;
use crate::id::HostId;
use crate::id::Incarnation;
use crate::id::Offset;
use crate::journal::Journal;
use crate::link::MESSAGE_BYTES_MAX;
use crate::membership::Identity;
use crate::peer::ConfigTail;
use crate::peer::Envelope;
use crate::peer::Receipt;
use crate::peerapi::PeerApiServer;
use crate::peers::ConfigSource;
use crate::peers::Peers;
use crate::peers::PeersHandle;
use crate::peers::PeersOptions;
use crate::peers::PeersSetup;

/// Connections that other hosts may hold open.
const CONNECTIONS_MAX: u32 = 2_048;

/// What the peers of an entry host start from.
pub struct PeersStart {
    /// Options.
    pub options: PeersOptions,
    /// This host.
    pub host: HostId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Where the other hosts connect.
    pub listener: TcpListener,
    /// Peer addresses of other hosts.
    pub known: Vec<String>,
    /// The process's clock.
    pub clock: SystemClock,
    /// The process's journal.
    pub journal: Journal,
    /// The configuration to exchange.
    pub config: Arc<dyn ConfigSource>,
}

/// The peers and their server, which stops when this is dropped.
#[derive(Debug)]
pub struct RunningPeers {
    /// The handle.
    pub handle: PeersHandle,
    /// Where the server listens.
    pub address: SocketAddr,
    server: ServerHandle,
}

impl RunningPeers {
    /// Stops the server; open connections are closed.
    pub fn stop(&self) {
        if self.server.stop().is_err() {
            log::debug!("the peer server had already stopped");
        }
    }
}

/// Listens and starts the peers. It must run inside an actix system.
///
/// # Errors
///
/// [`crate::error::Error::Io`] if the listener cannot be used.
pub fn start(start: PeersStart) -> Result<RunningPeers> {
    let config = ServerConfig::builder()
        .ws_only()
        .max_connections(CONNECTIONS_MAX)
        .max_request_body_size(MESSAGE_BYTES_MAX)
        .max_response_body_size(MESSAGE_BYTES_MAX)
        .set_tcp_no_delay(true)
        .build();
    start.listener.set_nonblocking(true)?;
    let server = Server::builder()
        .set_config(config)
        .build_from_tcp(start.listener)?;
    let address = server.local_addr()?;
    let identity = Identity {
        host: start.host,
        incarnation: start.incarnation,
        data_centre: start.data_centre,
        address: address.to_string(),
    };
    let handle = Peers::launch(PeersSetup {
        options: start.options,
        identity,
        known: start.known,
        clock: start.clock,
        journal: start.journal,
        config: start.config.clone(),
    });
    let api = Api {
        handle: handle.clone(),
        config: start.config,
    };
    let server = server.start(api.into_rpc());
    Ok(RunningPeers {
        handle,
        address,
        server,
    })
}

struct Api {
    handle: PeersHandle,
    config: Arc<dyn ConfigSource>,
}

#[async_trait]
impl PeerApiServer for Api {
    async fn deliver(&self, envelope: Envelope) -> RpcResult<Receipt> {
        let receipt = self.handle.deliver(envelope).await;
        receipt.ok_or_else(|| ErrorCode::InternalError.into())
    }

    async fn config_tail(&self, next: Offset) -> RpcResult<ConfigTail> {
        Ok(self.config.tail(next))
    }
}

#[cfg(test)]
mod tests;
