//! Copies the memory of running generations off engines that are leaving.
//!
//! A migration has two phases. The first copies the generation's memory to another engine while the
//! generation runs. It starts immediately, because the copies of all generations on the engine share its
//! link. The second stops the generation, copies the memory added since and continues it on the other
//! engine. The second phase waits until the first phases of the other generations should be done: a
//! stopped generation queued behind their copies would stall its stream.

use std::time::Duration;

use crate::gateway::dial;
use crate::gateway::dial::DialOptions;
use crate::gateway::directory::Upstream;
use crate::gateway::internalclient::InternalClient;
use crate::gateway::protocol::MemoryCopy;
use crate::gateway::shared::Shared;

/// Longer than the copy of the largest generation takes over a shared link.
const COPY_TIMEOUT: Duration = Duration::from_millis(2_500);

/// The reason why a copy failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CopyFailure {
    /// The engine doesn't run the request: it has ended or not started.
    NoSuchRun,
    /// Another copy of the generation is in progress.
    Busy,
    /// The destination has no room or can't be reached. If the generation was stopped, the source
    /// keeps its memory under this handle.
    NoRoom(Option<String>),
    /// The call wasn't sent, for this reason: the source can't be reached.
    NotSent(String),
    /// The outcome is unknown, for this reason.
    Unknown(String),
}

impl CopyFailure {
    /// Whether the copy certainly did not stop the generation.
    pub(crate) fn is_not_stopped(&self) -> bool {
        match self {
            CopyFailure::NoSuchRun
            | CopyFailure::Busy
            | CopyFailure::NoRoom(None)
            | CopyFailure::NotSent(_) => true,
            CopyFailure::NoRoom(Some(_)) | CopyFailure::Unknown(_) => false,
        }
    }

    /// The text in log entries.
    pub fn describe(&self) -> String {
        match self {
            CopyFailure::NoSuchRun => "no such run".to_owned(),
            CopyFailure::Busy => "busy".to_owned(),
            CopyFailure::NoRoom(_) => "no room".to_owned(),
            CopyFailure::NotSent(reason) | CopyFailure::Unknown(reason) => reason.clone(),
        }
    }
}

/// Copies a generation's memory to another engine. With `is_final` the generation stops first.
///
/// # Errors
///
/// Returns a [`CopyFailure`] if the source doesn't confirm the copy.
pub async fn copy(
    shared: &Shared,
    source: &Upstream,
    request_id: &str,
    to: &Upstream,
    is_final: bool,
) -> std::result::Result<MemoryCopy, CopyFailure> {
    let call = shared
        .protocol()
        .copy_request(request_id, to.address, is_final);
    let opened = dial::open(shared, source, &DialOptions::INTERNAL).await;
    let connection = opened.map_err(|failure| CopyFailure::NotSent(failure.reason().to_owned()))?;
    let mut client = InternalClient::over(source.address, connection);
    let (status, body) = client
        .call(&call, COPY_TIMEOUT)
        .await
        .map_err(|error| CopyFailure::Unknown(error.to_string()))?;
    let decoded = shared.protocol().decode_copy(&body);
    match status {
        200 => decoded.map_err(|error| CopyFailure::Unknown(error.to_string())),
        404 => Err(CopyFailure::NoSuchRun),
        409 => Err(CopyFailure::Busy),
        503 => Err(CopyFailure::NoRoom(decoded.ok().map(|done| done.handle))),
        status => Err(CopyFailure::Unknown(format!("status {status}"))),
    }
}
