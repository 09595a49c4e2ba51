//! Which generations a host that stops still takes: none that it would have to cut, since the
//! caller's next try reaches another host.

use std::time::Duration;

use super::hinted_tokens;
use super::planned_output;
use super::run_duration;
use crate::gateway::protocol::GenerationSize;
use crate::gateway::refuse;
use crate::gateway::serve::Admitted;
use crate::gateway::shared::Shared;
use crate::refusal::Refusal;

/// For so long callers can't know that the host stops: until the balancer has noticed (2 s) and what
/// was under way has arrived. What comes later over an old connection must certainly finish.
const NOTICE_DELAY: Duration = Duration::from_millis(2_500);

/// The refusal of a generation that would not finish before the host ends.
pub(super) fn refuse_while_stopping(shared: &Shared, admitted: &Admitted) -> Option<Refusal> {
    let left = shared.shutdown_time_left()?;
    let stopping_for = shared.settings().grace.saturating_sub(left);
    let size = admitted.size(shared);
    match finishes_in_time(size, stopping_for, left) {
        true => None,
        false => Some(refuse::host_stopping()),
    }
}

/// Whether a generation finishes within `left` on a host that has been stopping for `stopping_for`:
/// by its caller's hint at first, and by the most that it may produce later, as hints are far off now
/// and then.
fn finishes_in_time(size: GenerationSize, stopping_for: Duration, left: Duration) -> bool {
    let output_tokens = match stopping_for < NOTICE_DELAY {
        true => cautious_output(size),
        false => size.output_tokens_max,
    };
    run_duration(output_tokens) < left
}

/// The longer of what is planned and of what the hint says: a stream that outlasts the grace is cut.
fn cautious_output(size: GenerationSize) -> u32 {
    let planned = planned_output(size);
    let hinted_tokens = hinted_tokens(size).min(size.output_tokens_max);
    planned.max(hinted_tokens)
}

#[cfg(test)]
mod tests;
