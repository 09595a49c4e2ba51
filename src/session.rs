//! One generation on its way from an upstream to a caller: the I/O around a [`Relay`].

use std::collections::VecDeque;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use backon::ExponentialBackoff;
use tokio::sync::oneshot;
use tokio::time::Instant;
use tokio::time::Sleep;

use crate::account::Account;
use crate::claims::HeldClaim;
use crate::clock::SystemClock;
use crate::dispatch::Dispatcher;
use crate::dispatch::Grant;
use crate::engine::EngineClient;
use crate::engine::EngineStream;
use crate::engine::EventView;
use crate::engine::OpenOutcome;
use crate::event::EventCode;
use crate::gate::Gate;
use crate::id::AttemptId;
use crate::id::RequestId;
use crate::journal::Journal;
use crate::refusal::Code;
use crate::refusal::Refusal;
use crate::relay::Action;
use crate::relay::Completion;
use crate::relay::Input;
use crate::relay::Relay;
use crate::relay::RelayOptions;
use crate::relay::RelayTerms;
use crate::retries;
use crate::retries::RetryBudgets;
use crate::schedule::Ending;
use crate::schedule::Ticket;
use crate::wire::EngineRefusalReason;

/// The scheduler hears of progress every so many tokens.
const PROGRESS_TOKENS: u32 = 16;

mod act;

/// What a session needs from its host.
#[derive(Clone)]
pub struct SessionContext {
    /// Chooses upstreams.
    pub dispatcher: Dispatcher,
    /// Talks to them.
    pub engine: EngineClient,
    /// Hears what happens.
    pub journal: Journal,
    /// The host's clock.
    pub clock: SystemClock,
    /// How patient the relay is.
    pub relay: RelayOptions,
    /// What retries are left.
    pub retries: RetryBudgets,
    /// Tells when the host is forced to stop.
    pub gate: Arc<Gate>,
}

/// What a session is to do.
#[derive(Debug, Clone)]
pub struct SessionRequest {
    /// The ticket for the scheduler.
    pub ticket: Ticket,
    /// The model.
    pub model: String,
    /// The prompt.
    pub prompt: String,
    /// What the request allows.
    pub terms: RelayTerms,
    /// Deadline for the whole answer, in milliseconds from now.
    pub deadline_ms: u64,
    /// Retries of the service allowed as a share of its successes, in percent.
    pub retry_budget_percent: u32,
}

/// What a session yields.
#[derive(Debug, Clone, PartialEq)]
pub enum Output {
    /// The next token.
    Token(String),
    /// Forget the tokens so far; only where the caller has received none.
    Discard,
    /// The answer is whole.
    Complete(Completion),
    /// The request failed.
    Failed(Refusal),
}

/// One generation under way. Dropping it cancels what runs.
pub struct Session {
    context: SessionContext,
    request: SessionRequest,
    account: Account,
    claim: Option<HeldClaim>,
    relay: Relay,
    phase: Phase,
    grant: Option<Grant>,
    relocate: Option<oneshot::Receiver<()>>,
    link: Option<EngineStream>,
    backoff: ExponentialBackoff,
    resumed: bool,
    alarm: Pin<Box<Sleep>>,
    deadline: Instant,
    actions: Vec<Action>,
    outputs: VecDeque<Output>,
    output_tokens: u32,
}

/// What the session does next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// Wait for an upstream.
    Acquire,
    /// Write an attempt to it.
    Start,
    /// Resume the attempt.
    Resume { from: u32 },
    /// Read its stream.
    Read,
    /// Nothing more.
    Ended,
}

impl Session {
    /// A session that has done nothing yet.
    pub fn new(context: SessionContext, request: SessionRequest, account: Account) -> Self {
        let relay = Relay::new(context.relay.clone(), request.terms);
        let deadline = Instant::now() + Duration::from_millis(request.deadline_ms);
        Session {
            alarm: Box::pin(tokio::time::sleep_until(deadline)),
            deadline,
            context,
            request,
            account,
            claim: None,
            relay,
            phase: Phase::Acquire,
            grant: None,
            relocate: None,
            link: None,
            backoff: retries::delays(),
            resumed: false,
            actions: Vec::new(),
            outputs: VecDeque::new(),
            output_tokens: 0,
        }
    }

    /// The session of a request that holds its idempotency key.
    pub fn with_claim(mut self, claim: Option<HeldClaim>) -> Self {
        self.claim = claim;
        self
    }

    /// The request.
    pub fn request_id(&self) -> RequestId {
        self.request.ticket.request
    }

    /// The next output; `None` after [`Output::Complete`] or [`Output::Failed`].
    pub async fn next(&mut self) -> Option<Output> {
        loop {
            if let Some(output) = self.outputs.pop_front() {
                return Some(output);
            }
            match self.phase {
                Phase::Acquire => self.acquire().await,
                Phase::Start => self.start().await,
                Phase::Resume { from } => self.resume(from).await,
                Phase::Read => self.read().await,
                Phase::Ended => return None,
            }
        }
    }

    /// Ends the session because the caller doesn't read; the failure to tell, if it had not ended.
    pub(crate) fn give_up_slow_caller(&mut self) -> Option<Output> {
        self.outputs.clear();
        self.step(Input::SlowCaller);
        self.outputs.pop_back()
    }

    async fn acquire(&mut self) {
        self.record(EventCode::RequestQueued, "");
        let waiting = async {
            self.account.started().await;
            let ticket = self.request.ticket.clone();
            self.context.dispatcher.acquire(ticket).await
        };
        match tokio::time::timeout_at(self.deadline, waiting).await {
            Ok(Ok(mut grant)) => {
                let (_, never) = oneshot::channel();
                let relocate = std::mem::replace(&mut grant.relocate, never);
                self.relocate = Some(relocate);
                self.grant = Some(grant);
                self.account.granted(self.context.clock.now());
                self.record(EventCode::RequestGranted, "");
                self.phase = Phase::Start;
            }
            Ok(Err(refusal)) => self.refuse(refusal),
            Err(_) => self.refuse(deadline_passed()),
        }
    }

    async fn start(&mut self) {
        let Some(grant) = &self.grant else {
            self.phase = Phase::Acquire;
            return;
        };
        let attempt = AttemptId::generate();
        let upstream = grant.upstream.clone();
        let generate = self.generate_request(attempt, grant.engine_priority);
        self.relay.begin(self.context.clock.now(), attempt);
        self.context.dispatcher.started(self.request_id(), attempt);
        self.record(EventCode::RequestDispatched, "");
        self.phase = Phase::Read;
        if let Some(claim) = &mut self.claim {
            claim.sending();
        }
        let repeatable = self.request.terms.repeatable;
        let opening = self.context.engine.start(&upstream, &generate, repeatable);
        match tokio::time::timeout_at(self.deadline, opening).await {
            Ok(outcome) => self.opened(outcome),
            Err(_) => self.step(Input::DeadlinePassed),
        }
    }

    async fn resume(&mut self, from: u32) {
        let (Some(grant), Some(attempt)) = (&self.grant, self.relay.attempt()) else {
            self.phase = Phase::Acquire;
            return;
        };
        let upstream = grant.upstream.clone();
        let delay = self.backoff.next().unwrap_or(retries::DELAY_MAX);
        self.resumed = true;
        self.record(EventCode::StreamResumed, &format!("from={from}"));
        self.phase = Phase::Read;
        let opening = async {
            tokio::time::sleep(delay).await;
            self.context.engine.resume(&upstream, attempt, from).await
        };
        match tokio::time::timeout_at(self.deadline, opening).await {
            Ok(OpenOutcome::NotWritten(reason)) => self.step(Input::Lost(&reason)),
            Ok(outcome) => self.opened(outcome),
            Err(_) => self.step(Input::DeadlinePassed),
        }
    }

    fn opened(&mut self, outcome: OpenOutcome) {
        match outcome {
            OpenOutcome::Streaming(stream) => {
                self.link = Some(stream);
                self.step(Input::Opened);
            }
            OpenOutcome::NotWritten(reason) => self.step(Input::NotWritten(&reason)),
            OpenOutcome::Refused(reason) => {
                self.tell_if_leaving(reason);
                self.step(Input::Refused(reason));
            }
            OpenOutcome::Forgotten => self.step(Input::Forgotten),
            OpenOutcome::Lost(reason) => self.step(Input::Lost(&reason)),
        }
    }

    /// An engine's own refusal may be the first sign that it leaves.
    fn tell_if_leaving(&self, reason: EngineRefusalReason) {
        if reason != EngineRefusalReason::Leaving {
            return;
        }
        if let Some(upstream) = self.upstream() {
            self.context.dispatcher.upstream_leaving(&upstream);
        }
    }

    async fn read(&mut self) {
        let Some(link) = &mut self.link else {
            self.step(Input::Lost("no link"));
            return;
        };
        if self.context.gate.is_forced() {
            self.step(Input::Stopped);
            return;
        }
        if let Some(data) = link.next_data() {
            self.take_event(&data);
            return;
        }
        let due = self.relay.next_tick().map_or(self.deadline, |tick| {
            let wait = tick.since(self.context.clock.now());
            self.deadline.min(Instant::now() + wait)
        });
        if due < self.alarm.deadline() || self.alarm.is_elapsed() {
            self.alarm.as_mut().reset(due);
        }
        let may_move = self.output_tokens == 0 && self.relocate.is_some();
        let wake = tokio::select! {
            biased;
            filled = link.fill() => Wake::Filled(filled),
            () = &mut self.alarm => Wake::Tick,
            moved = fired(&mut self.relocate), if may_move => Wake::Relocate(moved),
        };
        match wake {
            Wake::Filled(Ok(())) => {}
            Wake::Filled(Err(reason)) => self.step(Input::Lost(&reason)),
            Wake::Tick => self.tick(),
            Wake::Relocate(true) => self.step(Input::Relocate),
            Wake::Relocate(false) => {}
        }
    }

    fn tick(&mut self) {
        if Instant::now() >= self.deadline {
            self.step(Input::DeadlinePassed);
        } else {
            self.step(Input::Tick);
        }
    }

    fn take_event(&mut self, data: &[u8]) {
        match EventView::parse(data) {
            Ok(view) => {
                if let Some(input) = view.as_input() {
                    self.step(input);
                }
            }
            Err(error) => self.step(Input::Lost(&format!("unreadable event: {error}"))),
        }
    }

    fn step(&mut self, input: Input<'_>) {
        let now = self.context.clock.now();
        let mut actions = std::mem::take(&mut self.actions);
        self.relay.step(now, input, &mut actions);
        for action in actions.drain(..) {
            self.act(now, action);
        }
        self.actions = actions;
    }
}

impl Drop for Session {
    fn drop(&mut self) {
        if self.phase == Phase::Ended {
            return;
        }
        self.record(EventCode::CallerLeft, "");
        if let Some(attempt) = self.relay.attempt() {
            self.cancel(attempt);
        }
        self.finish(Ending::Cancelled, 0);
    }
}

enum Wake {
    Filled(Result<(), String>),
    Tick,
    Relocate(bool),
}

/// Waits for the order to move; `false` if it can no longer come.
async fn fired(relocate: &mut Option<oneshot::Receiver<()>>) -> bool {
    let Some(receiver) = relocate else {
        return false;
    };
    let ordered = receiver.await.is_ok();
    *relocate = None;
    ordered
}

fn deadline_passed() -> Refusal {
    Refusal::not_run(
        Code::DeadlineExceeded,
        "the deadline passed before it started",
    )
}
