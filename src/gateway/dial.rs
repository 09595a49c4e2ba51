//! Opens connections to upstreams and records whether they could be opened.

use std::collections::BTreeSet;
use std::time::Duration;

use futures_util::future::join_all;
use rand::seq::SliceRandom;

use crate::gateway::connection;
use crate::gateway::connection::Connection;
use crate::gateway::connection::ConnectionError;
use crate::gateway::connection::ConnectionProfile;
use crate::gateway::directory::Upstream;
use crate::gateway::reachability::Path;
use crate::gateway::shared::Shared;
use crate::gateway::tunnel;
use crate::gateway::tunnel::TunnelError;
use crate::id::RegionId;

/// Timeout of connecting to an upstream: a few round trips to the farthest data centre, and less than the time
/// after which the system sends a lost SYN again (1 s). Nothing was sent on a connection that timed out.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);

/// Upstreams that are probed at a time.
const PROBED_UPSTREAMS: usize = 2;
/// Time between two rounds of probes, and so about the time after which a healed link is used again.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);
/// Time for a response to confirm evidence before upstreams are probed for it.
const CONFIRMATION_DELAY: Duration = Duration::from_millis(100);
/// Time for which a probe's connection has to stay open: a link can accept connections and then reset them.
const PROBE_OPEN_TIME: Duration = Duration::from_millis(10);

/// What a connection is opened for.
#[derive(Debug, Clone, Copy)]
pub(crate) struct DialOptions<'a> {
    /// Timeouts and buffers of the connection.
    pub(crate) profile: ConnectionProfile,
    /// Id of the caller's request, for logs; `None` for the host's own calls.
    pub(crate) request: Option<&'a str>,
    /// Whether it is for new work, which a leaving upstream must not get.
    pub(crate) is_new_work: bool,
    /// The regions through which it may lead; `None` allows all.
    pub(crate) regions: Option<&'a BTreeSet<RegionId>>,
}

impl DialOptions<'_> {
    /// For a call of the host itself.
    pub(crate) const INTERNAL: DialOptions<'static> = DialOptions {
        profile: ConnectionProfile::Call,
        request: None,
        is_new_work: false,
        regions: None,
    };
}

/// Opens a connection to an upstream: through another host if this one can't reach it by its own links.
///
/// # Errors
///
/// [`ConnectionError::NotWritten`] if none could be opened.
pub(crate) async fn open(
    shared: &Shared,
    upstream: &Upstream,
    options: &DialOptions<'_>,
) -> Result<Connection, ConnectionError> {
    if shared.needs_carrier(&upstream.id) {
        match tunnel::open(shared, upstream, options).await {
            Ok(connection) => {
                shared.record_carried(&upstream.id);
                return Ok(connection);
            }
            Err(TunnelError::Upstream(reason)) => {
                shared.record_unreachable(&upstream.id, &reason, Path::Carried);
                return Err(ConnectionError::NotWritten(reason));
            }
            Err(TunnelError::NoCarrier) => {}
        }
    }
    let opened = open_direct(shared, upstream, options.profile).await;
    match &opened {
        Ok(_) => shared.record_reached(&upstream.id),
        Err(failure) => shared.record_unreachable(&upstream.id, failure.reason(), Path::Direct),
    }
    opened
}

async fn open_direct(
    shared: &Shared,
    upstream: &Upstream,
    profile: ConnectionProfile,
) -> Result<Connection, ConnectionError> {
    let address = upstream.address;
    let stream = connection::connect(shared.connector(), address, CONNECT_TIMEOUT, profile).await?;
    Connection::over(stream, address, profile).await
}

/// Connects to some upstreams again and again until one is reached.
pub(crate) async fn probe_until_reached(shared: Shared) {
    while shared.is_cut_off() {
        probe_some(&shared).await;
        tokio::time::sleep(PROBE_INTERVAL).await;
    }
}

/// Finds out whether this host's links are up, for evidence that no response confirms within
/// [`CONFIRMATION_DELAY`]. Returns once none waits. A host that is cut off probes upstreams anyway.
pub(crate) async fn confirm_evidence(shared: Shared) {
    loop {
        tokio::time::sleep(CONFIRMATION_DELAY).await;
        if !shared.has_unconfirmed_evidence() {
            return;
        }
        if !shared.is_cut_off() {
            probe_some(&shared).await;
        }
    }
}

/// Connects to some upstreams, and records contact if one is reached.
async fn probe_some(shared: &Shared) {
    let started_at = shared.now();
    let mut upstreams = shared.directory(|directory| directory.all_ready());
    let chosen = upstreams
        .partial_shuffle(&mut rand::rng(), PROBED_UPSTREAMS)
        .0;
    let probes = chosen.iter().map(|upstream| probe(shared, upstream));
    if join_all(probes).await.contains(&true) {
        shared.record_contact(started_at, Duration::ZERO);
    }
}

/// Whether a connection to an upstream can be opened and stays open.
async fn probe(shared: &Shared, upstream: &Upstream) -> bool {
    let profile = ConnectionProfile::Call;
    let connecting = connection::connect(
        shared.connector(),
        upstream.address,
        CONNECT_TIMEOUT,
        profile,
    );
    match connecting.await {
        Ok(stream) => tokio::time::timeout(PROBE_OPEN_TIME, stream.readable())
            .await
            .is_err(),
        Err(_) => false,
    }
}
