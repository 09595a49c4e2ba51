//! Sends a request to one upstream and reads its response.

use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use http::HeaderMap;
use http::header;
use http::response::Parts;
use http_body_util::BodyExt;
use hyper::body::Body;
use tokio::time::Instant;

use crate::gateway::answerguard::AnswerHold;
use crate::gateway::answerguard::Extent;
use crate::gateway::answerguard::ResponseBody;
use crate::gateway::call::WholeAnswer;
use crate::gateway::connection::Connection;
use crate::gateway::connection::ConnectionError;
use crate::gateway::directory::Upstream;
use crate::gateway::forward;
use crate::gateway::forward::AttemptHeaders;
use crate::gateway::memorybudget;
use crate::gateway::serve::Admitted;
use crate::gateway::shared::Shared;
use crate::gateway::stopping::Phase;

/// The remaining time is passed on in whole milliseconds; a request with less than one is not sent.
const TIME_LEFT_MIN: Duration = Duration::from_millis(1);

/// Status 421 Misdirected Request (RFC 9110, section 15.5.20): the instance at the address isn't the
/// expected one.
const MISDIRECTED_REQUEST: u16 = 421;

/// The transfer coding that tells the end of a body.
const CHUNKED: &[u8] = b"chunked";

/// A response whose head has been received.
#[derive(Debug)]
pub(crate) struct OpenResponse {
    /// The connection that the body is read from; dropping it closes the connection.
    pub(crate) connection: Connection,
    pub(crate) head: Parts,
    pub(crate) body: ResponseBody,
    /// How far the request had come before it was sent.
    pub(crate) phase_before: Phase,
}

/// Why no response to a request was received.
#[derive(Debug)]
pub(crate) enum SendError {
    /// The request certainly did not run.
    NotRun(String),
    /// The request may have run.
    Unknown(String),
}

/// Sends a request over `connection`.
///
/// # Errors
///
/// [`SendError`] if no response head was received.
pub(crate) async fn send(
    shared: &Shared,
    admitted: &Admitted,
    mut connection: Connection,
    headers: &AttemptHeaders<'_>,
) -> Result<OpenResponse, SendError> {
    shared.check_suspension();
    // A generation that was stopped in order to be moved is continued regardless; it would be lost otherwise.
    if headers.continue_from.is_none() && shared.is_resuming() {
        let reason = "the host was suspended before it was sent".to_owned();
        return Err(SendError::NotRun(reason));
    }
    if headers.time_left < TIME_LEFT_MIN {
        let reason = "the deadline passed before it was sent".to_owned();
        return Err(SendError::NotRun(reason));
    }
    let names = shared.protocol().headers();
    let request = forward::upstream_request(&admitted.request, names, headers);
    let upstream = &headers.upstream.id;
    let sent_at = shared.now();
    let is_new = !connection.is_used();
    let phase_before = admitted.phase.replace(Phase::Sent);
    let sent = connection.send(request).await;
    let is_direct = connection.carrier().is_none();
    if is_direct && is_new && sent.is_err() {
        shared.record_broken(upstream);
    }
    let response = match sent {
        Ok(response) => response,
        Err(ConnectionError::NotWritten(reason)) => {
            admitted.phase.set(phase_before);
            return Err(SendError::NotRun(reason));
        }
        Err(ConnectionError::Unknown(reason)) => {
            shared.record_crash(admitted, upstream, &connection, None);
            return Err(SendError::Unknown(reason));
        }
    };
    if is_direct {
        shared.record_contact(sent_at, connection.age());
    }
    let (head, body) = response.into_parts();
    if head.status.as_u16() != MISDIRECTED_REQUEST {
        shared.record_answer(upstream, &head);
        shared.record_alive(sent_at, upstream);
    }
    if !is_response_to(shared, admitted, &head.headers) {
        let reason = "an answer to another request".to_owned();
        return Err(SendError::Unknown(reason));
    }
    Ok(OpenResponse {
        connection,
        head,
        body,
        phase_before,
    })
}

/// Whether the end of the connection is all that tells the end of a response's body (RFC 9112, section 6.3).
pub(crate) fn ends_with_connection(head: &Parts) -> bool {
    let codings = head.headers.get_all(header::TRANSFER_ENCODING);
    let last_coding = codings.iter().next_back().map(|value| value.as_bytes());
    match last_coding {
        Some(codings) => !codings.to_ascii_lowercase().ends_with(CHUNKED),
        None => !head.headers.contains_key(header::CONTENT_LENGTH),
    }
}

/// The outcome of reading a complete response.
#[derive(Debug)]
pub(crate) enum ReadOutcome {
    /// The upstream ran the request and responded.
    Answered(WholeAnswer),
    /// The request certainly did not run.
    NotRun(String),
    /// The response ended early; the request may have run.
    Truncated(String),
}

/// Reads the body of a response from `upstream` and returns its connection.
pub(crate) async fn read_response(
    shared: &Shared,
    admitted: &Admitted,
    upstream: &Upstream,
    response: OpenResponse,
) -> (ReadOutcome, Connection) {
    let OpenResponse {
        connection,
        head,
        body,
        phase_before,
    } = response;
    let (body, memory) = match collect(shared, body).await {
        Ok(collected) => collected,
        Err(CollectError::Broken(reason)) => {
            shared.record_crash(admitted, &upstream.id, &connection, None);
            return (ReadOutcome::Truncated(reason), connection);
        }
        Err(CollectError::TooLong(bytes)) => {
            let reason = format!("the answer is too long: {bytes} bytes");
            return (ReadOutcome::Truncated(reason), connection);
        }
    };
    if let Some(reason) = not_run_reason(shared, upstream, &head) {
        admitted.phase.set(phase_before);
        return (ReadOutcome::NotRun(reason), connection);
    }
    shared.clear_suspect(admitted.fingerprint, &upstream.id);
    if head.status.is_success() {
        shared.record_sound_parts(admitted, Duration::ZERO);
    }
    (
        ReadOutcome::Answered(WholeAnswer { head, body, memory }),
        connection,
    )
}

/// Why a body was not read to its end.
enum CollectError {
    /// The connection broke, for this reason.
    Broken(String),
    /// It has at least this many bytes, more than the host can hold.
    TooLong(usize),
}

/// Reads a body to its end, and returns it with its hold on the host's memory.
async fn collect(
    shared: &Shared,
    mut body: ResponseBody,
) -> Result<(Bytes, AnswerHold), CollectError> {
    let stated = body.size_hint().exact();
    let stated = stated.map(|bytes| usize::try_from(bytes).unwrap_or(usize::MAX));
    let extent = stated.map_or(Extent::Open, Extent::Stated);
    let begin = || shared.answer_memory().begin(extent);
    let end_unread = || shared.caller_connections().end_unread(Instant::now());
    let memory = memorybudget::take_or_make_room(begin, end_unread).await;
    let mut memory = memory.ok_or(CollectError::TooLong(stated.unwrap_or_default()))?;
    let mut collected = BytesMut::with_capacity(stated.unwrap_or_default());
    while let Some(frame) = body.frame().await {
        let frame = frame
            .map_err(|error| CollectError::Broken(format!("the answer broke off: {error}")))?;
        if let Ok(data) = frame.into_data() {
            if !memory.grow(data.len()) {
                return Err(CollectError::TooLong(collected.len() + data.len()));
            }
            collected.extend_from_slice(&data);
        }
    }
    Ok((collected.freeze(), memory))
}

/// Whether a response belongs to this request. Upstreams echo the request's id.
fn is_response_to(shared: &Shared, admitted: &Admitted, headers: &HeaderMap) -> bool {
    let echoed = headers.get(&shared.protocol().headers().request_id);
    echoed.is_none_or(|echoed| echoed.as_bytes() == admitted.id.as_bytes())
}

/// The reason why the request did not run, if the response says that it didn't. A response from another
/// instance at the address shows that the expected one is gone, and is recorded as such.
fn not_run_reason(shared: &Shared, upstream: &Upstream, head: &Parts) -> Option<String> {
    let names = shared.protocol().headers();
    let status = head.status.as_u16();
    if status == MISDIRECTED_REQUEST {
        let reason = "another instance answers at its address";
        shared.observe_leaving(&upstream.id, reason);
        return Some(reason.to_owned());
    }
    head.headers
        .contains_key(&names.not_run)
        .then(|| format!("the upstream did not run it: status {status}"))
}
