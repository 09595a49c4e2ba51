//! Chooses which upstream of a service is changed next, so that the service never stands still.

use std::collections::BTreeMap;

use crate::clock::Time;
use crate::id::UpstreamId;
use crate::wire::OrderState;
use crate::wire::Role;

/// What an upstream should run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Wanted {
    /// The model as `name@version`.
    pub model: String,
    /// The adapters.
    pub adapters: Vec<String>,
    /// The role.
    pub role: Role,
}

impl Wanted {
    /// Whether the engine is as it should be, with nothing under way.
    pub fn is_met_by(&self, state: &OrderState) -> bool {
        !state.loading
            && state.model == self.model
            && state.adapters == self.adapters
            && state.role == self.role
    }

    /// Whether the engine has to load weights for it.
    pub fn needs_weights(&self, state: &OrderState) -> bool {
        state.model != self.model || state.adapters != self.adapters
    }
}

/// What is known of one upstream.
#[derive(Debug, Default)]
pub struct Seen {
    /// Its last state, if it answered.
    pub state: Option<OrderState>,
    /// When the read of that state began.
    pub at: Time,
    /// A read is under way.
    pub reading: bool,
    /// An order was sent and its fate is not known.
    pub ordered: bool,
}

impl Seen {
    /// Whether it can serve, as far as is known.
    fn is_ready(&self) -> bool {
        let serves = |state: &OrderState| !state.loading && state.role == Role::Serve;
        !self.ordered && self.state.as_ref().is_some_and(serves)
    }

    /// Whether an order may be under way there.
    pub(crate) fn is_busy(&self) -> bool {
        self.ordered || self.state.as_ref().is_some_and(|state| state.loading)
    }
}

/// The upstream to change next, if one may be.
///
/// One at a time, only on states read since `since`, and never the last one that is ready. Those
/// that are not ready go first, as changing them costs nothing.
pub fn next_change<'a>(
    wanted: &Wanted,
    upstreams: &'a BTreeMap<UpstreamId, Seen>,
    since: Time,
) -> Option<&'a UpstreamId> {
    let all = upstreams.values();
    if all.clone().any(|seen| seen.is_busy() || seen.at < since) {
        return None;
    }
    let ready = all.filter(|seen| seen.is_ready()).count();
    let differs = |seen: &Seen| {
        let state = seen.state.as_ref();
        state.is_some_and(|state| !wanted.is_met_by(state))
    };
    upstreams
        .iter()
        .filter(|(_, seen)| differs(seen))
        .filter(|(_, seen)| !seen.is_ready() || ready > 1)
        .min_by_key(|(_, seen)| seen.is_ready())
        .map(|(upstream, _)| upstream)
}

#[cfg(test)]
mod tests;
