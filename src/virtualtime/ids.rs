//! Ids of engines, requests and attempts in virtual time, made from their positions.

use crate::id::AttemptId;
use crate::id::RequestId;
use crate::id::ServiceId;
use crate::id::UpstreamId;

/// The name of a service's engine in a replay.
pub(crate) fn engine_id(service: &ServiceId, number: u32) -> UpstreamId {
    UpstreamId::new(format!("{service}-{number}"))
}

/// The id of a request in a replay.
pub(crate) fn request_id(index: usize) -> RequestId {
    RequestId::from_u128(index as u128)
}

/// The index of a request by its id.
pub(super) fn index_of(request: RequestId) -> usize {
    request.0.as_u128() as usize
}

/// The id of a request's attempt, counted from 1.
pub(super) fn attempt_id(request: usize, attempt: u32) -> AttemptId {
    AttemptId::from_u128((u128::from(attempt) << 64) | request as u128)
}

/// The index of a request by its attempt's id.
pub(super) fn request_index(attempt: AttemptId) -> usize {
    attempt.0.as_u128() as u64 as usize
}
