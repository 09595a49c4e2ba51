//! Calls to the log's keyed topics: reading the newest record of each key, and appending a record.

use std::collections::HashSet;
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

/// Status of an append whose condition doesn't hold (RFC 9110, section 15.5.13).
const PRECONDITION_FAILED: u16 = 412;

/// Returns the era of an answer, or an error if the log has been restored since that era.
pub(super) fn check_era(shared: &Shared, headers: &HeaderMap) -> ReadResult<Era> {
    shared.check_answer_era(headers).map_err(|StaleAnswer| {
        ReadError::Unavailable("an answer from before the log was restored".to_owned())
    })
}

/// Reads the newest record of each key of a topic. Returns the records and the position to continue reading
/// from. All pages are of the same era.
pub(crate) async fn read_newest(
    shared: &Shared,
    client: &mut InternalClient,
    topic: Topic,
    timeout: Duration,
) -> ReadResult<(Vec<Record>, Position)> {
    let mut records: Vec<Record> = Vec::new();
    let mut keys: HashSet<String> = HashSet::new();
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
        // Pages that bring no new key would repeat for ever.
        let known = keys.len();
        keys.extend(page.records.iter().map(|record| record.key.clone()));
        let more = page.has_more && keys.len() > known;
        records.extend(page.records);
        if !more {
            return Ok((records, from));
        }
    }
}

/// Appends a record to one of the system's own topics. An empty value removes the key.
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

/// Appends a record to one of the system's own topics if the topic ends at `end`. Returns whether it was
/// appended.
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
