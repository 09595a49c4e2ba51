//! Moves running generations off engines that are leaving.
//!
//! A move has two parts. The first copies the generation's memory to another engine while it runs,
//! at once, because the copies of all runs of the engine share its link. The second stops the run,
//! copies what was added meanwhile and continues at the other engine. It waits until the first
//! parts of the other runs should be done, since a stopped run that waits behind their copies
//! would stand still for its caller.

use std::time::Duration;

use crate::gateway::directory::Upstream;
use crate::gateway::ownclient::OwnClient;
use crate::gateway::protocol::CopyDone;
use crate::gateway::shared::Shared;

/// A copy of the largest generation over a link that others use takes less than this.
const COPY_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Why a copy was not made.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CopyFailure {
    /// The engine runs no such request: it has ended or not begun.
    NoSuchRun,
    /// Another copy of the run is under way.
    Busy,
    /// No room at the destination, or it can't be reached. Where the run was stopped the source
    /// keeps its memory under the handle.
    NoRoom(Option<String>),
    /// What became of it is not known.
    Unknown(String),
}

impl CopyFailure {
    /// The failure in logs.
    pub fn describe(&self) -> String {
        match self {
            CopyFailure::NoSuchRun => "no such run".to_owned(),
            CopyFailure::Busy => "busy".to_owned(),
            CopyFailure::NoRoom(_) => "no room".to_owned(),
            CopyFailure::Unknown(reason) => reason.clone(),
        }
    }
}

/// Copies a run's memory to another engine; with `is_final` the run stops first.
///
/// # Errors
///
/// A [`CopyFailure`].
pub async fn copy(
    shared: &Shared,
    source: &Upstream,
    request_id: &str,
    to: &Upstream,
    is_final: bool,
) -> std::result::Result<CopyDone, CopyFailure> {
    let call = shared
        .protocol()
        .copy_call(request_id, to.address, is_final);
    let mut client = OwnClient::new(source.address);
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
