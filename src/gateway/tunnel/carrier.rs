//! Carries connections to upstreams for hosts that can't reach them.
//!
//! Limits on the number of connections and on their rate keep the load of hosts that are cut off away from
//! this host's own callers. What exceeds them is refused at once, and the asking host tries another one.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use bytes::BytesMut;
use futures_util::SinkExt;
use futures_util::StreamExt;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;
use tokio_util::codec::Framed;
use tokio_util::codec::FramedParts;
use tokio_util::codec::FramedWrite;

use super::frames;
use super::frames::FRAME_BYTES_MAX;
use super::frames::FrameCodec;
use super::frames::FrameKind;
use super::frames::OpenReply;
use super::frames::OpenRequest;
use crate::bucket::Bucket;
use crate::clock::Time;
use crate::event::EventCode;
use crate::gateway::connection;
use crate::gateway::connection::ConnectionProfile;
use crate::gateway::dial::CONNECT_TIMEOUT;
use crate::gateway::reachability::Path;
use crate::gateway::shared::Shared;
use crate::id::RequestId;

/// Connections that a host carries at once. Each takes two descriptors and some 40 KB of buffers.
const CARRIED_MAX: usize = 256;
/// Connections a second that a host begins to carry. At some 0.3 ms of processor time each, they take a quarter of a
/// host with a quarter of a core.
const CARRIED_PER_S: f64 = 200.0;
/// Time over which the rate is averaged.
const CARRIED_BURST: Duration = Duration::from_secs(1);
/// Time for the first frame of a connection.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(400);
/// Pause after a failure to accept a connection, which would otherwise repeat at once.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Why a host that shuts down carries nothing more.
const STOPPING: &str = "the host is stopping";

/// The limits on what a host carries.
#[derive(Debug)]
pub(crate) struct CarrierLimits {
    places: Arc<Semaphore>,
    rate: Bucket,
}

impl CarrierLimits {
    /// Nothing is carried yet.
    pub(crate) fn new(now: Time) -> Self {
        CarrierLimits {
            places: Arc::new(Semaphore::new(CARRIED_MAX)),
            rate: Bucket::full(now, CARRIED_PER_S, CARRIED_BURST),
        }
    }

    /// Number of connections that are carried now.
    pub(crate) fn carried(&self) -> usize {
        CARRIED_MAX - self.places.available_permits()
    }

    /// A place for one more connection, until it is dropped; `None` if it would exceed a limit.
    pub(crate) fn admit(&mut self, now: Time) -> Option<OwnedSemaphorePermit> {
        let is_within_rate = self.rate.ready_in(now, 1.0) == Some(Duration::ZERO);
        let place = self.places.clone().try_acquire_owned().ok();
        let place = place.filter(|_| is_within_rate)?;
        self.rate.charge(now, 1.0);
        Some(place)
    }
}

/// Takes connections to carry. Never returns.
pub(crate) async fn run(shared: Shared, listener: Arc<TcpListener>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let shared = shared.clone();
                actix_rt::spawn(async move {
                    if let Err(error) = serve(&shared, stream).await {
                        log::debug!("a carried connection: {error}");
                    }
                });
            }
            Err(error) => {
                log::warn!("accepting a connection to carry: {error}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve(shared: &Shared, stream: TcpStream) -> io::Result<()> {
    let mut framed = Framed::new(stream, frames::codec());
    let first = tokio::time::timeout(REQUEST_TIMEOUT, framed.next()).await?;
    let frame = first.ok_or(io::ErrorKind::UnexpectedEof)??;
    let request: OpenRequest = frames::decode(&frame)?;
    connection::set_options(framed.get_ref(), profile(&request))?;
    // A host that shuts down waits for what it carries.
    let Some(_pass) = shared.gate().enter_if_open(RequestId::generate()) else {
        let reply = OpenReply::Refused(STOPPING.to_owned());
        return framed.send(frames::encode(&reply)?).await;
    };
    shared.check_suspension();
    let admitted = admit(shared, &request);
    let (reply, carried) = match admitted {
        Err(reply) => (reply, None),
        Ok(place) => match connect(shared, &request).await {
            Ok(upstream) => (OpenReply::Open, Some((place, upstream))),
            Err(reason) => (OpenReply::Unreachable(reason), None),
        },
    };
    log_reply(shared, &request, &reply);
    framed.send(frames::encode(&reply)?).await?;
    match carried {
        Some((_place, upstream)) => carry(shared, framed, upstream).await,
        None => Ok(()),
    }
}

/// Decides whether to carry a connection.
fn admit(shared: &Shared, request: &OpenRequest) -> Result<OwnedSemaphorePermit, OpenReply> {
    let refused = |reason: &str| OpenReply::Refused(reason.to_owned());
    if shared.gate().is_shutting_down() {
        return Err(refused(STOPPING));
    }
    if shared.is_resuming() {
        return Err(refused("the host has just woken from a suspension"));
    }
    if shared.is_cut_off() {
        return Err(refused("the host is cut off as well"));
    }
    let (listed, departure) = shared.directory(|directory| {
        let listed = directory.get(&request.upstream);
        let address = listed.map(|upstream| upstream.address);
        (address, directory.departure(&request.upstream))
    });
    let is_leaving = departure.is_some();
    if let Some(departure) = departure.filter(|_| request.is_new_work) {
        return Err(OpenReply::Leaving(departure));
    }
    let is_known = listed == Some(request.address) || (listed.is_none() && is_leaving);
    if !is_known {
        return Err(refused("the upstream is not known here"));
    }
    let now = shared.now();
    let place = shared.carrier_limits(|limits| limits.admit(now));
    place.ok_or_else(|| refused("the host carries as much as it may"))
}

fn profile(request: &OpenRequest) -> ConnectionProfile {
    match request.is_stream {
        true => ConnectionProfile::Stream,
        false => ConnectionProfile::Call,
    }
}

async fn connect(shared: &Shared, request: &OpenRequest) -> Result<TcpStream, String> {
    let (address, profile) = (request.address, profile(request));
    let connecting = connection::connect(shared.connector(), address, CONNECT_TIMEOUT, profile);
    match connecting.await {
        Ok(upstream) => {
            shared.record_reached(&request.upstream);
            Ok(upstream)
        }
        Err(failure) => {
            shared.record_unreachable(&request.upstream, failure.reason(), Path::Direct);
            Err(failure.reason().to_owned())
        }
    }
}

fn log_reply(shared: &Shared, request: &OpenRequest, reply: &OpenReply) {
    let outcome = match reply {
        OpenReply::Open => "open",
        OpenReply::Unreachable(reason) | OpenReply::Refused(reason) => reason.as_str(),
        OpenReply::Leaving(_) => "the upstream is leaving",
    };
    let entry = shared.log().entry(EventCode::ConnectionCarried);
    entry
        .with("host_carried", request.host.as_str())
        .with("upstream", request.upstream.as_str())
        .with("outcome", outcome)
        .with("carried", shared.carrier_limits(|limits| limits.carried()))
        .write();
}

/// Moves bytes both ways until either side closes. Whichever does ends the other at once: a caller who leaves
/// frees the upstream.
async fn carry(
    shared: &Shared,
    framed: Framed<TcpStream, FrameCodec>,
    upstream: TcpStream,
) -> io::Result<()> {
    let FramedParts { io, read_buf, .. } = framed.into_parts();
    let (from_host, to_host) = io.into_split();
    let (from_upstream, to_upstream) = upstream.into_split();
    tokio::select! {
        sent = send_requests(shared, from_host, read_buf, to_upstream) => sent,
        sent = send_responses(from_upstream, to_host) => sent,
    }
}

/// Passes on what the host sends, beginning with `received`. Returns once the host has closed.
async fn send_requests(
    shared: &Shared,
    mut host: OwnedReadHalf,
    mut received: BytesMut,
    mut upstream: OwnedWriteHalf,
) -> io::Result<()> {
    loop {
        if received.is_empty() {
            received.reserve(FRAME_BYTES_MAX);
            if host.read_buf(&mut received).await? == 0 {
                return Ok(());
            }
        }
        // What arrived before a suspension may long have been given up.
        shared.check_suspension();
        if shared.is_resuming() {
            return Err(io::ErrorKind::TimedOut.into());
        }
        upstream.write_all(&received).await?;
        received.clear();
    }
}

/// Passes on what the upstream sends, and how its connection ends.
async fn send_responses(mut upstream: OwnedReadHalf, host: OwnedWriteHalf) -> io::Result<()> {
    let mut frames = FramedWrite::new(host, frames::codec());
    let mut buffer = BytesMut::new();
    loop {
        frames::begin_data(&mut buffer);
        let mut limited = (&mut upstream).take((FRAME_BYTES_MAX - 1) as u64);
        match limited.read_buf(&mut buffer).await {
            Ok(0) => return frames.send(FrameKind::End.empty()).await,
            Ok(_) => frames.send(buffer.split().freeze()).await?,
            Err(error) => {
                frames.send(FrameKind::Broken.empty()).await?;
                return Err(error);
            }
        }
    }
}

#[cfg(test)]
mod tests;
