//! Carries out what the relay decides.

use super::Output;
use super::PROGRESS_TOKENS;
use super::Phase;
use super::Session;
use crate::claim::Summary;
use crate::clock::Time;
use crate::event::EventCode;
use crate::id::AttemptId;
use crate::id::UpstreamId;
use crate::journal::Subject;
use crate::refusal::Code;
use crate::refusal::Refusal;
use crate::relay::Action;
use crate::relay::Completion;
use crate::relay::DropReason;
use crate::relay::RestartCause;
use crate::retries;
use crate::schedule::Ending;
use crate::telemetry;
use crate::wire::GenerateRequest;

impl Session {
    pub(super) fn act(&mut self, now: Time, action: Action) {
        match action {
            Action::Deliver(text) => self.deliver(now, text),
            Action::Discard => self.outputs.push_back(Output::Discard),
            Action::Resume { from } => {
                self.link = None;
                self.phase = Phase::Resume { from };
            }
            Action::Cancel(attempt) => self.cancel(attempt),
            Action::Restart(cause) => self.restart(cause),
            Action::Complete(completion) => self.complete(completion),
            Action::Fail(refusal) => self.fail(refusal),
            Action::Dropped(reason) => self.record(EventCode::TokenDropped, describe(reason)),
        }
    }

    pub(super) fn deliver(&mut self, now: Time, text: String) {
        self.account.token(now);
        if self.output_tokens == 0 {
            self.record(EventCode::FirstToken, "");
        }
        self.output_tokens = self.relay.output_tokens();
        if std::mem::take(&mut self.resumed) {
            self.backoff = retries::delays();
        }
        if self.output_tokens.is_multiple_of(PROGRESS_TOKENS) {
            let request = self.request_id();
            self.context
                .dispatcher
                .progress(request, self.output_tokens);
        }
        self.outputs.push_back(Output::Token(text));
    }

    pub(super) fn complete(&mut self, completion: Completion) {
        self.link = None;
        self.phase = Phase::Ended;
        self.finish(Ending::Complete, completion.cached_prompt_tokens);
        let service = &self.request.ticket.service;
        let percent = self.request.retry_budget_percent;
        self.context.retries.succeeded(service, percent);
        if let Some(claim) = self.claim.take() {
            claim.done(Summary {
                status: 200,
                output_tokens: completion.output_tokens,
                body_bytes: 0,
            });
        }
        let detail = format!("tokens={}", completion.output_tokens);
        self.record(EventCode::RequestComplete, &detail);
        self.outputs.push_back(Output::Complete(completion));
    }

    pub(super) fn fail(&mut self, refusal: Refusal) {
        self.link = None;
        self.phase = Phase::Ended;
        self.record(EventCode::RequestFailed, &refusal.message);
        if let Some(claim) = self.claim.take() {
            claim.failed(&refusal);
        }
        self.finish(ending_of(refusal.code), 0);
        let refusal = refusal.for_request(self.request_id());
        telemetry::count_refusal(Some(&self.request.ticket.service), refusal.code);
        self.outputs.push_back(Output::Failed(refusal));
    }

    pub(super) fn refuse(&mut self, refusal: Refusal) {
        let refusal = self.relay.end(refusal);
        self.fail(refusal);
    }

    pub(super) fn restart(&mut self, cause: RestartCause) {
        self.link = None;
        self.output_tokens = 0;
        let ending = match &cause {
            RestartCause::Moved => Ending::Cancelled,
            RestartCause::Refused(_) => Ending::UpstreamRefused,
            RestartCause::Failed(_) | RestartCause::NotWritten(_) => Ending::UpstreamFailed,
        };
        self.finish(ending, 0);
        if let Some(grant) = self.grant.take() {
            self.request.ticket.avoid.push(grant.upstream);
        }
        match cause {
            RestartCause::Failed(reason) | RestartCause::Refused(reason) if !self.may_retry() => {
                let refusal = Refusal::not_run(Code::UpstreamFailed, reason);
                self.refuse(refusal.retry_after_ms(self.context.relay.retry_after_ms));
            }
            RestartCause::Failed(reason)
            | RestartCause::Refused(reason)
            | RestartCause::NotWritten(reason) => self.begin_again(&reason),
            RestartCause::Moved => self.begin_again("moved by the scheduler"),
        }
    }

    pub(super) fn begin_again(&mut self, reason: &str) {
        self.phase = Phase::Acquire;
        self.record(EventCode::RequestRestarted, reason);
    }

    pub(super) fn may_retry(&self) -> bool {
        let service = &self.request.ticket.service;
        let percent = self.request.retry_budget_percent;
        self.context.retries.try_retry(service, percent)
    }

    pub(super) fn cancel(&self, attempt: AttemptId) {
        let Some(upstream) = self.upstream() else {
            return;
        };
        let engine = self.context.engine.clone();
        actix_rt::spawn(async move { engine.cancel(upstream, attempt).await });
    }

    /// Tells the scheduler that the grant is used up.
    pub(super) fn finish(&self, ending: Ending, cached_prompt_tokens: u32) {
        if self.grant.is_some() {
            self.context.dispatcher.finished(
                self.request_id(),
                self.output_tokens,
                ending,
                cached_prompt_tokens,
            );
        }
    }

    pub(super) fn upstream(&self) -> Option<UpstreamId> {
        self.grant.as_ref().map(|grant| grant.upstream.clone())
    }

    pub(super) fn generate_request(
        &self,
        attempt: AttemptId,
        engine_priority: u8,
    ) -> GenerateRequest {
        GenerateRequest {
            attempt,
            model: self.request.model.clone(),
            prompt: self.request.prompt.clone(),
            prompt_tokens: self.request.ticket.prompt_tokens,
            max_output_tokens: self.request.ticket.max_output_tokens,
            engine_priority,
            prefix_hashes: self.request.ticket.prefix_hashes.clone(),
        }
    }

    pub(super) fn record(&self, code: EventCode, detail: &str) {
        let mut subject = Subject::request(self.request_id()).detail(detail);
        if let Some(upstream) = self.upstream() {
            subject = subject.upstream(&upstream);
        }
        if let Some(attempt) = self.relay.attempt() {
            subject = subject.attempt(attempt);
        }
        self.context.journal.record(code, subject);
    }
}

/// Only a failure of the upstream counts against it.
fn ending_of(code: Code) -> Ending {
    match code {
        Code::UpstreamFailed | Code::NoUpstream => Ending::UpstreamFailed,
        Code::Overloaded => Ending::UpstreamRefused,
        _ => Ending::Cancelled,
    }
}

fn describe(reason: DropReason) -> &'static str {
    match reason {
        DropReason::Duplicate => "duplicate",
        DropReason::Crossed => "of another attempt",
        DropReason::Late => "after the end",
    }
}
