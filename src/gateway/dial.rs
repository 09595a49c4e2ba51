//! Opens connections to upstreams and records whether they could be opened.

use std::time::Duration;

use crate::gateway::connection;
use crate::gateway::connection::Connection;
use crate::gateway::connection::ConnectionError;
use crate::gateway::connection::ConnectionProfile;
use crate::gateway::directory::Upstream;
use crate::gateway::shared::Shared;

/// Timeout of connecting to an upstream: a few round trips to the farthest data centre, and less than the time
/// after which the system sends a lost SYN again (1 s). Nothing was sent on a connection that timed out.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);

/// Opens a connection to an upstream.
///
/// # Errors
///
/// [`ConnectionError::NotWritten`] if none could be opened.
pub(crate) async fn open(
    shared: &Shared,
    upstream: &Upstream,
    profile: ConnectionProfile,
) -> Result<Connection, ConnectionError> {
    let opened = open_direct(shared, upstream, profile).await;
    match &opened {
        Ok(_) => shared.record_reached(&upstream.id),
        Err(failure) => shared.record_unreachable(&upstream.id, failure.reason()),
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
