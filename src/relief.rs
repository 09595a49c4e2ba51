//! Chooses what to move away from an upstream whose memory is about to run out.
//!
//! Only a request that may be repeated and whose caller has seen no token can move. The lowest
//! class goes first, and in it the youngest, which loses the least work.

use std::cmp::Reverse;

use crate::clock::Time;
use crate::id::RequestId;

/// Times that one request is moved for relief, at most.
pub(crate) const MOVES_MAX: u8 = 2;

/// A request that may be moved.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Movable {
    /// The request.
    pub(crate) request: RequestId,
    /// Its class's priority at the engine.
    pub(crate) engine_priority: u8,
    /// When it was granted.
    pub(crate) granted: Time,
    /// Memory it holds, in tokens.
    pub(crate) held_tokens: u64,
}

/// The requests to move so that `excess_tokens` are freed, in their order.
pub(crate) fn choose(mut movable: Vec<Movable>, excess_tokens: f64) -> Vec<RequestId> {
    movable.sort_by_key(|candidate| (candidate.engine_priority, Reverse(candidate.granted)));
    let mut left = excess_tokens;
    movable
        .into_iter()
        .take_while(|candidate| {
            let needed = left > 0.0;
            left -= candidate.held_tokens as f64;
            needed
        })
        .map(|candidate| candidate.request)
        .collect()
}

#[cfg(test)]
mod tests;
