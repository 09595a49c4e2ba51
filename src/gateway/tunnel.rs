//! Connections to upstreams through other hosts, for a host whose own links to them are down.
//!
//! The host asks another one, its carrier, to connect to an upstream, and then speaks to the upstream through
//! it as over a connection of its own. All decisions on the request stay with the host that took it: where it
//! runs, how often, and when it ends. A carrier connects directly and never through a third host, so tunnels
//! form no loops, and it carries a bounded number of them ([`carrier`]).
//!
//! Requests pass unframed. Responses are framed ([`frames`]): a connection that ends because the carrier is
//! gone must not look like the end of a response.

use std::collections::BTreeSet;
use std::time::Duration;

use futures_util::SinkExt;
use futures_util::StreamExt;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::net::TcpStream;
use tokio_util::codec::Framed;
use tokio_util::codec::FramedParts;

use self::carriers::Carrier;
use self::frames::OpenReply;
use self::frames::OpenRequest;
use crate::event::EventCode;
use crate::gateway::connection;
use crate::gateway::connection::Connection;
use crate::gateway::connection::ConnectionProfile;
use crate::gateway::connection::SystemConnector;
use crate::gateway::dial::CONNECT_TIMEOUT;
use crate::gateway::dial::DialOptions;
use crate::gateway::directory::Upstream;
use crate::gateway::shared::Shared;
use crate::id::RegionId;

pub(crate) mod carrier;
pub(crate) mod carriers;
mod frames;

/// Time for a carrier's reply: it connects to the upstream meanwhile.
const REPLY_TIMEOUT: Duration = Duration::from_millis(250);
/// Carriers that are tried for one connection.
const CARRIERS_MAX: usize = 3;

/// Why a connection through other hosts could not be opened.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum TunnelError {
    /// No other host carries it.
    NoCarrier,
    /// A carrier can't reach the upstream either, or knows that it takes no new work.
    Upstream(String),
}

/// Opens a connection to an upstream through another host.
///
/// # Errors
///
/// [`TunnelError`] if there is none. Nothing was sent to the upstream.
pub(crate) async fn open(
    shared: &Shared,
    upstream: &Upstream,
    options: &DialOptions<'_>,
) -> Result<Connection, TunnelError> {
    let carriers = choose_carriers(shared, options.regions);
    for (index, carrier) in carriers.iter().enumerate() {
        let opened = open_through(shared, carrier, upstream, options).await;
        let outcome = match &opened {
            Ok(_) => "open".to_owned(),
            Err(failure) => failure.describe(),
        };
        let entry = shared.log().entry(EventCode::UpstreamTunnelled);
        entry
            .with("upstream", upstream.id.as_str())
            .with_some("request", options.request)
            .with("carrier", carrier.host.as_str())
            .with("tries", index + 1)
            .with("outcome", outcome)
            .write();
        match opened {
            Ok(connection) => return Ok(connection),
            Err(CarrierError::Carrier(_)) => shared.record_carrier_failure(carrier.address),
            Err(CarrierError::Upstream(reason)) => return Err(TunnelError::Upstream(reason)),
            Err(CarrierError::Leaving) => {
                if shared.directory(|directory| directory.departure(&upstream.id).is_some()) {
                    return Err(TunnelError::Upstream("it is leaving".to_owned()));
                }
            }
        }
    }
    Err(TunnelError::NoCarrier)
}

/// Hosts to try in turn. A request that may run only in some regions passes only through hosts there.
fn choose_carriers(shared: &Shared, regions: Option<&BTreeSet<RegionId>>) -> Vec<Carrier> {
    let now = shared.now();
    let settings = shared.settings();
    let mut carriers = shared.peers(|peers| peers.carriers(now));
    if let Some(regions) = regions {
        carriers.retain(|carrier| {
            let region = settings.regions.get(&carrier.data_centre);
            region.is_some_and(|region| regions.contains(region))
        });
    }
    let mut carriers = shared.order_carriers(now, carriers);
    carriers.truncate(CARRIERS_MAX);
    carriers
}

/// Why one carrier opened no connection.
enum CarrierError {
    /// The carrier didn't answer or has no room.
    Carrier(String),
    /// The carrier can't reach the upstream.
    Upstream(String),
    /// The carrier knows that the upstream takes no new work, or doesn't know yet that it takes work again.
    Leaving,
}

impl CarrierError {
    fn describe(&self) -> String {
        match self {
            CarrierError::Carrier(reason) => format!("not carried: {reason}"),
            CarrierError::Upstream(reason) => format!("not reached: {reason}"),
            CarrierError::Leaving => "it is leaving".to_owned(),
        }
    }
}

async fn open_through(
    shared: &Shared,
    carrier: &Carrier,
    upstream: &Upstream,
    options: &DialOptions<'_>,
) -> Result<Connection, CarrierError> {
    let profile = options.profile;
    let connecting =
        connection::connect(&SystemConnector, carrier.address, CONNECT_TIMEOUT, profile);
    let stream = connecting
        .await
        .map_err(|failure| CarrierError::Carrier(failure.reason().to_owned()))?;
    let request = OpenRequest {
        host: shared.settings().host.clone(),
        upstream: upstream.id.clone(),
        address: upstream.address,
        is_stream: profile == ConnectionProfile::Stream,
        is_new_work: options.is_new_work,
    };
    let asking = tokio::time::timeout(REPLY_TIMEOUT, request_open(stream, &request));
    let (reply, stream) = match asking.await {
        Ok(answered) => answered.map_err(|error| CarrierError::Carrier(error.to_string()))?,
        Err(_) => return Err(CarrierError::Carrier("no reply in time".to_owned())),
    };
    match reply {
        OpenReply::Open => {}
        OpenReply::Unreachable(reason) => return Err(CarrierError::Upstream(reason)),
        OpenReply::Leaving(departure) => {
            shared.receive_departure(&departure, carrier.host.as_str());
            return Err(CarrierError::Leaving);
        }
        OpenReply::Refused(reason) => return Err(CarrierError::Carrier(reason)),
    }
    let (stream, carrier_state) = tunnelled_stream(stream);
    let opened = Connection::over(stream, upstream.address, profile).await;
    let connection =
        opened.map_err(|failure| CarrierError::Carrier(failure.reason().to_owned()))?;
    let region = shared.settings().regions.get(&carrier.data_centre);
    Ok(connection.through(carrier.host.clone(), region.cloned(), carrier_state))
}

/// Asks a carrier to connect to an upstream and returns its reply.
async fn request_open(
    stream: TcpStream,
    request: &OpenRequest,
) -> std::io::Result<(OpenReply, Framed<TcpStream, frames::FrameCodec>)> {
    let mut framed = Framed::new(stream, frames::codec());
    framed.send(frames::encode(request)?).await?;
    let frame = framed.next().await;
    let frame = frame.ok_or(std::io::ErrorKind::UnexpectedEof)??;
    Ok((frames::decode(&frame)?, framed))
}

/// The bytes to and from the upstream, and whether the carrier is still there.
fn tunnelled_stream(
    framed: Framed<TcpStream, frames::FrameCodec>,
) -> (
    impl AsyncRead + AsyncWrite + Unpin + 'static,
    connection::CarrierState,
) {
    let FramedParts { io, read_buf, .. } = framed.into_parts();
    let (reader, writer) = io.into_split();
    let state = connection::CarrierState::default();
    let reader = frames::reader(reader, read_buf, state.clone());
    (tokio::io::join(reader, writer), state)
}
