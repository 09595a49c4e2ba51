//! Decides which generations a host that is shutting down still accepts. It refuses those that it would
//! have to abort, because the caller's next attempt reaches another host.

use std::time::Duration;

use super::hinted_tokens;
use super::planned_output;
use super::run_duration;
use crate::gateway::protocol::GenerationSize;
use crate::gateway::refuse;
use crate::gateway::serve::Admitted;
use crate::gateway::shared::Shared;
use crate::refusal::Refusal;

/// Time within which new requests still arrive: the load balancer needs 2 s to notice the shutdown, and
/// requests in transit arrive after that. Later ones come over old connections and must be certain to finish.
const NOTICE_DELAY: Duration = Duration::from_millis(2_500);

/// Returns the refusal of a generation that would not finish before the host exits.
pub(super) fn refuse_while_stopping(shared: &Shared, admitted: &Admitted) -> Option<Refusal> {
    let left = shared.shutdown_time_left()?;
    let stopping_for = shared.stopping_for()?;
    let size = admitted.size(shared);
    match finishes_in_time(size, stopping_for, left) {
        true => None,
        false => Some(refuse::host_stopping()),
    }
}

/// Whether a generation finishes within `left` on a host that has been shutting down for `stopping_for`.
/// The estimate uses the caller's hint at first and the output limit later, because some hints are far off.
fn finishes_in_time(size: GenerationSize, stopping_for: Duration, left: Duration) -> bool {
    let output_tokens = match stopping_for < NOTICE_DELAY {
        true => cautious_output(size),
        false => size.output_tokens_max,
    };
    run_duration(output_tokens) < left
}

/// The larger of the planned output and the hinted one: a stream that outlasts the grace period is aborted.
fn cautious_output(size: GenerationSize) -> u32 {
    let planned = planned_output(size);
    let hinted_tokens = hinted_tokens(size).min(size.output_tokens_max);
    planned.max(hinted_tokens)
}

#[cfg(test)]
mod tests;
