//! Decides which generations a host that is shutting down still accepts. It refuses those that it would
//! have to abort, because the caller's next attempt reaches another host.

use std::time::Duration;

use super::PROMPT_TIME;
use super::TOKEN_TIME;
use super::hinted_tokens;
use super::planned_output;
use super::run_duration;
use crate::event::EventCode;
use crate::gateway::placement::Candidate;
use crate::gateway::protocol::GenerationSize;
use crate::gateway::refuse;
use crate::gateway::rollouts::Track;
use crate::gateway::serve::Admitted;
use crate::gateway::shared::Shared;
use crate::refusal::Refusal;

/// Time within which new requests still arrive: the load balancer needs 2 s to notice the shutdown, and
/// requests in transit arrive after that. Later ones come over old connections and must be certain to finish.
const NOTICE_DELAY: Duration = Duration::from_millis(2_500);

/// Factor by which the time of a late generation may exceed its estimate. Its caller loses nothing by a refusal, since
/// another host serves the next attempt, and all of its answer by a cut.
const LATE_SAFETY: f64 = 2.0;

/// Returns the refusal of a generation that would not finish before the host exits.
pub(super) fn refuse_while_stopping(shared: &Shared, admitted: &Admitted) -> Option<Refusal> {
    let left = shared.shutdown_time_left()?;
    let stopping_for = shared.stopping_for()?;
    let size = admitted.size(shared);
    let finishes = finishes_in_time(size, stopping_for, left);
    log_checked(shared, admitted, finishes, None);
    (!finishes).then(refuse::host_stopping)
}

/// The same once the generation has an engine, perhaps after a wait: late ones are sent only where they are certain to
/// finish.
pub(super) fn refuse_at_engine(
    shared: &Shared,
    admitted: &Admitted,
    candidate: &Candidate,
) -> Option<Refusal> {
    let left = shared.shutdown_time_left()?;
    let stopping_for = shared.stopping_for()?;
    let size = admitted.size(shared);
    let finishes = finishes_in_time(size, stopping_for, left)
        && (stopping_for < NOTICE_DELAY || is_certain(shared, admitted, candidate, left));
    log_checked(shared, admitted, finishes, Some(candidate));
    (!finishes).then(refuse::host_stopping)
}

/// Logs whether a generation is taken, with what its host and its engine are known to have left.
fn log_checked(
    shared: &Shared,
    admitted: &Admitted,
    is_taken: bool,
    candidate: Option<&Candidate>,
) {
    let ms = |time: Option<Duration>| time.unwrap_or_default().as_millis() as u64;
    let engine = admitted.engine.as_ref();
    let memory_tokens = engine.map(|engine| engine.memory_tokens);
    let entry = admitted.log_entry(shared, EventCode::StoppingChecked);
    entry
        .with("taken", is_taken)
        .with("stopping_ms", ms(shared.stopping_for()))
        .with("left_ms", ms(shared.shutdown_time_left()))
        .with("deadline_ms", ms(Some(admitted.time_left())))
        .with_some("upstream", candidate.map(|to| to.upstream.id.as_str()))
        .with_some("load_tokens", candidate.map(|to| to.load.tokens))
        .with_some("memory_tokens", candidate.and(memory_tokens))
        .write();
}

/// Whether a generation finishes within `left` at an engine even if it takes much longer than expected.
fn is_certain(shared: &Shared, admitted: &Admitted, candidate: &Candidate, left: Duration) -> bool {
    let upstream = &candidate.upstream;
    let now = shared.now();
    let is_cold = shared.directory(|directory| directory.is_cold(now, &upstream.id));
    if is_cold || candidate.unhealthy || admitted.track.get() == Track::Trial {
        return false;
    }
    let size = admitted.size(shared);
    let unread_tokens = candidate
        .load
        .unread_tokens
        .saturating_add(size.prompt_tokens);
    let slowness = candidate.slowness;
    let stats = shared.queues().with(|queues| queues.stats.clone());
    let first_event = stats.first_event_bound(unread_tokens, slowness.prefill);
    late_duration(size, first_event, slowness.decode) < left
}

/// Time that a late generation is certain not to exceed, if its first event comes after `first_event` at an engine that
/// generates `decode` times as long as usual.
fn late_duration(size: GenerationSize, first_event: Duration, decode: f64) -> Duration {
    let events = (TOKEN_TIME * size.output_tokens_max).mul_f64(decode.max(1.0));
    (first_event.max(PROMPT_TIME) + events).mul_f64(LATE_SAFETY)
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
