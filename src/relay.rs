//! The relay of one generation as a pure state machine: what the link to the upstream yields goes
//! in, what to do about it comes out.
//!
//! A token is accepted only if its attempt and its index are the expected ones. On a gap or a lost
//! or stalled link the same generation is resumed at the same upstream. Only a repeatable request
//! of which the caller has received nothing starts again elsewhere.

use std::time::Duration;

use derive_builder::Builder;
use serde::Deserialize;
use serde::Serialize;

use crate::attempt::Attempt;
use crate::attempt::Link;
use crate::clock::Time;
use crate::id::AttemptId;
use crate::refusal::Code;
use crate::refusal::Ran;
use crate::refusal::Refusal;
use crate::wire::EngineRefusalReason;

pub use crate::relaystep::Action;
pub use crate::relaystep::Completion;
pub use crate::relaystep::DropReason;
pub use crate::relaystep::Input;
pub use crate::relaystep::RestartCause;

/// How patient the relay is.
#[derive(Debug, Clone, PartialEq, Eq, Builder, Serialize, Deserialize)]
#[builder(default)]
#[serde(default, deny_unknown_fields)]
pub struct RelayOptions {
    /// A link silent for this long is resumed, in milliseconds; doubles while nothing comes.
    /// Default 1,000.
    pub stall_timeout_ms: u64,
    /// The bound of that doubling, in milliseconds. Default 16,000.
    pub stall_timeout_max_ms: u64,
    /// Tokens that overtook others wait this long for them, in milliseconds. Default 100.
    pub gap_timeout_ms: u64,
    /// Tokens kept that overtook others. Default 16.
    pub reorder_capacity: usize,
    /// Failed resumptions in a row before a generation is given up. Default 5.
    pub resume_attempts_max: u32,
    /// The same while the request could still start again elsewhere. Default 1.
    pub resume_attempts_restartable_max: u32,
    /// Attempts of one request, the first included. Default 4.
    pub attempts_max: u32,
    /// What callers are told to wait after a failure, in milliseconds. Default 1,000.
    pub retry_after_ms: u64,
}

impl Default for RelayOptions {
    fn default() -> Self {
        RelayOptions {
            stall_timeout_ms: 1_000,
            stall_timeout_max_ms: 16_000,
            gap_timeout_ms: 100,
            reorder_capacity: 16,
            resume_attempts_max: 5,
            resume_attempts_restartable_max: 1,
            attempts_max: 4,
            retry_after_ms: 1_000,
        }
    }
}

/// What the request allows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RelayTerms {
    /// It may run more than once.
    pub repeatable: bool,
    /// The caller receives each token as it comes.
    pub streaming: bool,
}

/// The relay of one request.
#[derive(Debug)]
pub struct Relay {
    options: RelayOptions,
    terms: RelayTerms,
    attempt: Option<Attempt>,
    attempts: u32,
    may_have_run: bool,
    has_run: bool,
    ended: bool,
}

impl Relay {
    /// A relay that waits for its first attempt.
    pub fn new(options: RelayOptions, terms: RelayTerms) -> Self {
        Relay {
            options,
            terms,
            attempt: None,
            attempts: 0,
            may_have_run: false,
            has_run: false,
            ended: false,
        }
    }

    /// An attempt is about to be written to an upstream.
    pub fn begin(&mut self, now: Time, attempt: AttemptId) {
        self.attempts += 1;
        self.attempt = Some(Attempt::new(attempt, now, self.options.stall_timeout_ms));
    }

    /// The attempt that runs.
    pub fn attempt(&self) -> Option<AttemptId> {
        self.attempt.as_ref().map(|attempt| attempt.id)
    }

    /// Tokens accepted of the attempt that runs.
    pub fn output_tokens(&self) -> u32 {
        self.attempt
            .as_ref()
            .map_or(0, |attempt| attempt.next_index)
    }

    /// Whether the request has ended, one way or the other.
    pub fn has_ended(&self) -> bool {
        self.ended
    }

    /// When [`Input::Tick`] is needed at the latest, if nothing else comes.
    pub fn next_tick(&self) -> Option<Time> {
        let attempt = self.attempt.as_ref()?;
        let stalled = attempt.last_heard + Duration::from_millis(attempt.stall_timeout_ms);
        let gap_timeout = Duration::from_millis(self.options.gap_timeout_ms);
        let gap = attempt.gap_since.map(|since| since + gap_timeout);
        Some(gap.map_or(stalled, |gap| gap.min(stalled)))
    }

    /// Takes one input and appends what is to be done to `actions`.
    pub fn step(&mut self, now: Time, input: Input<'_>, actions: &mut Vec<Action>) {
        if self.ended || self.attempt.is_none() {
            return actions.extend(late(&input));
        }
        match input {
            Input::Opened => self.opened(now),
            Input::Token {
                attempt,
                index,
                text,
            } => self.token(now, attempt, index, text, actions),
            Input::Done {
                attempt,
                output_tokens,
                cached_prompt_tokens,
            } => {
                let end = Completion {
                    output_tokens,
                    cached_prompt_tokens,
                };
                self.done(now, attempt, end, actions);
            }
            Input::Failed { attempt, message } => self.failed(attempt, message, actions),
            Input::NotWritten(reason) => self.not_written(reason, actions),
            Input::Refused(reason) => self.refused(reason, actions),
            Input::Lost(reason) => self.lost(reason, actions),
            Input::Forgotten => self.give_up("the upstream lost the generation", actions),
            Input::Relocate => self.relocate(actions),
            Input::DeadlinePassed => {
                self.fail(Code::DeadlineExceeded, "the deadline passed", actions);
            }
            Input::SlowCaller => {
                self.fail(Code::SlowCaller, "the caller reads too slowly", actions);
            }
            Input::Stopped => self.fail(Code::Stopped, "the host was forced to stop", actions),
            Input::Tick => self.tick(now, actions),
        }
    }

    /// Corrects a refusal of the host for what earlier attempts may have done.
    pub fn qualify(&self, mut refusal: Refusal) -> Refusal {
        if self.has_run {
            refusal.ran = Ran::Yes;
        } else if self.may_have_run {
            refusal.ran = Ran::Unknown;
        }
        refusal
    }

    /// Ends the request with a refusal of the host, between two attempts.
    pub fn end(&mut self, refusal: Refusal) -> Refusal {
        self.ended = true;
        self.qualify(refusal)
    }

    fn opened(&mut self, now: Time) {
        self.may_have_run = true;
        if let Some(attempt) = &mut self.attempt {
            attempt.link = Link::Open;
            attempt.last_heard = now;
        }
    }

    fn token(
        &mut self,
        now: Time,
        id: AttemptId,
        index: u32,
        text: &str,
        actions: &mut Vec<Action>,
    ) {
        let capacity = self.options.reorder_capacity;
        let stall_timeout_ms = self.options.stall_timeout_ms;
        let Some(attempt) = &mut self.attempt else {
            return;
        };
        if attempt.id != id {
            return actions.push(Action::Dropped(DropReason::Crossed));
        }
        if index < attempt.next_index {
            return actions.push(Action::Dropped(DropReason::Duplicate));
        }
        attempt.last_heard = now;
        if index > attempt.next_index {
            attempt.keep_early(now, index, text, capacity, actions);
            return;
        }
        attempt.stall_timeout_ms = stall_timeout_ms;
        attempt.failed_resumptions = 0;
        attempt.next_index += 1;
        actions.push(Action::Deliver(text.to_owned()));
        if attempt.gap_since.is_some() {
            attempt.close_gap(now, actions);
        }
        self.has_run = true;
        self.complete_if_whole(actions);
    }

    fn done(&mut self, now: Time, id: AttemptId, end: Completion, actions: &mut Vec<Action>) {
        let Some(attempt) = &mut self.attempt else {
            return;
        };
        if attempt.id != id {
            return actions.push(Action::Dropped(DropReason::Crossed));
        }
        attempt.last_heard = now;
        if end.output_tokens < attempt.next_index {
            return self.give_up("the upstream counts fewer tokens than it sent", actions);
        }
        attempt.end = Some(end);
        if end.output_tokens > attempt.next_index {
            attempt.gap_since.get_or_insert(now);
        }
        self.complete_if_whole(actions);
    }

    fn complete_if_whole(&mut self, actions: &mut Vec<Action>) {
        let Some(attempt) = &self.attempt else {
            return;
        };
        let Some(end) = attempt.end else {
            return;
        };
        if end.output_tokens == attempt.next_index {
            self.ended = true;
            actions.push(Action::Complete(end));
        }
    }

    fn failed(&mut self, id: AttemptId, message: &str, actions: &mut Vec<Action>) {
        if self.attempt() == Some(id) {
            self.give_up(&format!("the upstream gave up: {message}"), actions);
        } else {
            actions.push(Action::Dropped(DropReason::Crossed));
        }
    }

    fn not_written(&mut self, reason: &str, actions: &mut Vec<Action>) {
        self.attempt = None;
        let message = format!("no upstream can be reached: {reason}");
        if self.attempts < self.options.attempts_max {
            return actions.push(Action::Restart(RestartCause::NotWritten(message)));
        }
        self.fail(Code::NoUpstream, &message, actions);
    }

    fn refused(&mut self, reason: EngineRefusalReason, actions: &mut Vec<Action>) {
        self.attempt = None;
        let message = format!("the upstream refused the request: {}", describe(reason));
        if self.terms.repeatable && self.attempts < self.options.attempts_max {
            return actions.push(Action::Restart(RestartCause::Refused(message)));
        }
        self.fail(Code::Overloaded, &message, actions);
    }

    fn lost(&mut self, reason: &str, actions: &mut Vec<Action>) {
        self.may_have_run = true;
        let restartable = self.may_restart();
        let attempts_max = if restartable {
            self.options.resume_attempts_restartable_max
        } else {
            self.options.resume_attempts_max
        };
        let Some(attempt) = &mut self.attempt else {
            return;
        };
        if attempt.failed_resumptions >= attempts_max {
            let message = format!("the upstream was lost: {reason}");
            return self.give_up(&message, actions);
        }
        attempt.failed_resumptions += 1;
        attempt.resume(actions);
    }

    fn tick(&mut self, now: Time, actions: &mut Vec<Action>) {
        let gap_timeout = Duration::from_millis(self.options.gap_timeout_ms);
        let stall_timeout_max_ms = self.options.stall_timeout_max_ms;
        let Some(attempt) = &mut self.attempt else {
            return;
        };
        if attempt.link == Link::Opening {
            return;
        }
        if attempt
            .gap_since
            .is_some_and(|since| now.since(since) >= gap_timeout)
        {
            return attempt.resume(actions);
        }
        if now.since(attempt.last_heard) >= Duration::from_millis(attempt.stall_timeout_ms) {
            attempt.stall_timeout_ms = (attempt.stall_timeout_ms * 2).min(stall_timeout_max_ms);
            attempt.last_heard = now;
            attempt.resume(actions);
        }
    }

    fn relocate(&mut self, actions: &mut Vec<Action>) {
        if self.may_restart() && self.output_tokens() == 0 {
            self.restart(RestartCause::Moved, actions);
        }
    }

    /// Whether another attempt may take the place of this one.
    fn may_restart(&self) -> bool {
        let nothing_delivered = !self.terms.streaming || !self.has_run;
        self.terms.repeatable && nothing_delivered && self.attempts < self.options.attempts_max
    }

    fn give_up(&mut self, reason: &str, actions: &mut Vec<Action>) {
        if self.may_restart() {
            self.restart(RestartCause::Failed(reason.to_owned()), actions);
        } else {
            self.fail(Code::UpstreamFailed, reason, actions);
        }
    }

    fn restart(&mut self, cause: RestartCause, actions: &mut Vec<Action>) {
        let Some(attempt) = self.attempt.take() else {
            return;
        };
        self.may_have_run = true;
        actions.push(Action::Cancel(attempt.id));
        if attempt.next_index > 0 {
            actions.push(Action::Discard);
        }
        actions.push(Action::Restart(cause));
    }

    fn fail(&mut self, code: Code, message: &str, actions: &mut Vec<Action>) {
        if let Some(attempt) = &self.attempt {
            self.may_have_run = true;
            actions.push(Action::Cancel(attempt.id));
        }
        self.ended = true;
        let refusal = Refusal::not_run(code, message).retry_after_ms(self.options.retry_after_ms);
        actions.push(Action::Fail(self.qualify(refusal)));
    }
}

/// An upstream's event after the request has ended is dropped; anything else means nothing then.
fn late(input: &Input<'_>) -> Option<Action> {
    match input {
        Input::Token { .. } | Input::Done { .. } | Input::Failed { .. } => {
            Some(Action::Dropped(DropReason::Late))
        }
        _ => None,
    }
}

fn describe(reason: EngineRefusalReason) -> &'static str {
    match reason {
        EngineRefusalReason::Leaving => "it is leaving",
        EngineRefusalReason::QueueFull => "its queue is full",
        EngineRefusalReason::WrongModel => "it does not hold the model",
    }
}

#[cfg(test)]
mod tests;
