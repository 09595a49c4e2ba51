//! Calls to the log's keyed topics: the newest record of each key, and one record more.

use std::time::Duration;

use http::HeaderMap;

use super::CALL_TIMEOUT;
use super::ReadError;
use super::ReadResult;
use crate::error::Error;
use crate::error::Result;
use crate::gateway::internalclient::InternalClient;
use crate::gateway::position::Era;
use crate::gateway::position::Position;
use crate::gateway::protocol::Record;
use crate::gateway::protocol::Topic;
use crate::gateway::shared::Shared;
use crate::gateway::shared::StaleAnswer;

/// The status of an append under a condition that doesn't hold (RFC 9110, section 15.5.13).
const PRECONDITION_FAILED: u16 = 412;

/// The history of the log that an answer is of.
pub(super) fn check_era(shared: &Shared, headers: &HeaderMap) -> ReadResult<Era> {
    shared.check_answer_era(headers).map_err(|StaleAnswer| {
        ReadError::Unavailable("an answer from before the log's return".to_owned())
    })
}

/// The newest record of each key of a topic, and the position to read from next. All pages are of one
/// history of the log.
pub(crate) async fn read_newest(
    shared: &Shared,
    client: &mut InternalClient,
    topic: Topic,
    timeout: Duration,
) -> ReadResult<(Vec<Record>, Position)> {
    let mut records: Vec<Record> = Vec::new();
    let mut end = None;
    loop {
        let after = records.last().map(|record| record.key.clone());
        let call = shared.protocol().newest_request(topic, after.as_deref());
        let answer = client.call_full(&call, timeout).await?;
        let era = check_era(shared, &answer.headers)?;
        if answer.status != 200 {
            return Err(ReadError::Unavailable(format!("status {}", answer.status)));
        }
        let page = shared.protocol().decode_newest(&answer.body)?;
        let from = *end.get_or_insert(Position::new(era, page.end));
        if from.era != era {
            return Err(ReadError::Truncated);
        }
        // A page that ends where the one before did would be asked for again and again.
        let last = page.records.last().map(|record| &record.key);
        let more = page.has_more && last.is_some() && last != after.as_ref();
        records.extend(page.records);
        if !more {
            return Ok((records, from));
        }
    }
}

/// Appends a record to a topic of the system's own; one without a value removes its key.
///
/// # Errors
///
/// [`Error::Remote`] if the log doesn't answer, or refuses it.
pub(crate) async fn append(
    shared: &Shared,
    client: &mut InternalClient,
    topic: Topic,
    key: &str,
    value: &[u8],
) -> Result<()> {
    let call = shared.protocol().append_request(topic, key, value, None);
    match client.call(&call, CALL_TIMEOUT).await? {
        (200, _) => Ok(()),
        (status, _) => Err(refused(status)),
    }
}

/// Appends a record to a topic of the system's own if that ends at `end`; whether it did.
///
/// # Errors
///
/// [`Error::Remote`] if the log doesn't answer, or refuses it.
pub(crate) async fn append_if_end(
    shared: &Shared,
    client: &mut InternalClient,
    topic: Topic,
    (key, value): (&str, &[u8]),
    end: Position,
) -> Result<bool> {
    let protocol = shared.protocol();
    let call = protocol.append_request(topic, key, value, Some(end.offset));
    match client.call(&call, CALL_TIMEOUT).await? {
        (200, _) => Ok(true),
        (PRECONDITION_FAILED, _) => Ok(false),
        (status, _) => Err(refused(status)),
    }
}

fn refused(status: u16) -> Error {
    Error::Remote {
        peer: "the platform's log".to_owned(),
        reason: format!("status {status}"),
    }
}
