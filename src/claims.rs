//! The actor that makes and settles claims, and the handle that the request path uses.

use std::collections::HashMap;
use std::time::Duration;

use actix::Actor;
use actix::ActorFutureExt;
use actix::Addr;
use actix::AsyncContext;
use actix::Context;
use actix::Handler;
use actix::Message;
use actix::ResponseFuture;
use actix::WrapFuture;
use tokio::sync::oneshot;
use uuid::Uuid;

use crate::claim::ClaimEnd;
use crate::claim::ClaimKey;
use crate::claim::Summary;
use crate::claim::stream_name;
use crate::claimant::Claimant;
use crate::claimstep::Action;
use crate::claimstep::Appending;
use crate::claimstep::Ask;
use crate::claimstep::ClaimAnswer;
use crate::claimstep::ClaimOptions;
use crate::claimstep::Input;
use crate::clock::SystemClock;
use crate::event::EventCode;
use crate::follower::StreamEvent;
use crate::id::ClaimId;
use crate::id::HostId;
use crate::id::Incarnation;
use crate::id::Offset;
use crate::id::RequestId;
use crate::journal::Journal;
use crate::journal::Subject;
use crate::key::IdempotencyKey;
use crate::logstream::AppendOutcome;
use crate::logstream::LogHandle;
use crate::refusal::Code;
use crate::refusal::Ran;
use crate::refusal::Refusal;
use crate::schedule::Ticket;

/// Period of the claimants' ticks.
const TICK: Duration = Duration::from_millis(50);

/// What the claims need from their host.
#[derive(Debug, Clone)]
pub struct ClaimParts {
    /// The platform's log.
    pub log: LogHandle,
    /// Hears what happens.
    pub journal: Journal,
    /// The host's clock.
    pub clock: SystemClock,
    /// The host.
    pub host: HostId,
    /// Its incarnation.
    pub incarnation: Incarnation,
}

/// A handle on the process's claims; clones share it.
#[derive(Debug, Clone)]
pub struct ClaimHandle {
    actor: Addr<Claims>,
}

/// The right to send a request once.
///
/// Dropped without a word it says that the request failed if it was sent, and else releases the
/// key.
#[derive(Debug)]
pub struct HeldClaim {
    claim: ClaimId,
    key: ClaimKey,
    was_sent: bool,
    actor: Option<Addr<Claims>>,
}

/// How full the claims are.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ClaimCounts {
    /// Callers that wait for a claim.
    pub waiting: usize,
    /// Claims whose request has not ended.
    pub running: usize,
    /// Ends that are on their way to the log.
    pub ending: usize,
    /// Keys that the process remembers.
    pub keys: usize,
}

impl ClaimHandle {
    /// Starts to read the claim streams in the current arbiter.
    pub fn start(parts: ClaimParts, options: ClaimOptions) -> Self {
        ClaimHandle {
            actor: Claims::new(parts, options).start(),
        }
    }

    /// Claims `key` for `request`, which waits no longer than `deadline`.
    ///
    /// # Errors
    ///
    /// The refusal to give the caller: the key is held or expired, or the log cannot be reached.
    pub async fn claim(
        &self,
        request: RequestId,
        key: ClaimKey,
        deadline: Duration,
    ) -> Result<HeldClaim, Refusal> {
        let asked = AskFor {
            request,
            key,
            deadline,
        };
        let answer = self.actor.send(asked).await;
        answer.unwrap_or_else(|_| Err(stopped()))
    }

    /// The same for a request that may have no key, and then needs no claim: nobody can ask for
    /// it again.
    pub(crate) async fn claim_for(
        &self,
        ticket: &Ticket,
        key: Option<IdempotencyKey>,
        deadline_ms: u64,
    ) -> Result<Option<HeldClaim>, Refusal> {
        let Some(key) = key else {
            return Ok(None);
        };
        let customer = ticket.customer.clone();
        let key = ClaimKey { customer, key };
        let deadline = Duration::from_millis(deadline_ms);
        self.claim(ticket.request, key, deadline).await.map(Some)
    }

    /// How full the claims are.
    pub async fn counts(&self) -> ClaimCounts {
        self.actor.send(AskCounts).await.unwrap_or_default()
    }

    /// Waits until the ends of all requests are in the log, at most `limit`.
    pub async fn flush(&self, limit: Duration) {
        let flushed = async {
            while self.counts().await.is_busy() {
                tokio::time::sleep(TICK).await;
            }
        };
        if tokio::time::timeout(limit, flushed).await.is_err() {
            log::warn!("not all claims could be concluded in time");
        }
    }
}

impl ClaimCounts {
    fn is_busy(&self) -> bool {
        self.running + self.ending > 0
    }
}

impl HeldClaim {
    /// The request is about to be written to an upstream.
    pub fn sending(&mut self) {
        self.was_sent = true;
    }

    /// The request ended. [`ClaimEnd::Released`] only if it certainly did not run.
    pub fn conclude(mut self, end: ClaimEnd) {
        self.tell(end);
    }

    /// The request ran and its whole answer was received.
    pub(crate) fn done(self, summary: Summary) {
        self.conclude(ClaimEnd::Done(summary));
    }

    /// The request was refused or failed.
    pub(crate) fn failed(self, refusal: &Refusal) {
        self.conclude(match refusal.ran {
            Ran::No => ClaimEnd::Released,
            Ran::Unknown | Ran::Yes => ClaimEnd::Failed,
        });
    }

    fn tell(&mut self, end: ClaimEnd) {
        if let Some(actor) = self.actor.take() {
            actor.do_send(Conclude {
                claim: self.claim,
                key: self.key.clone(),
                end,
            });
        }
    }
}

impl Drop for HeldClaim {
    fn drop(&mut self) {
        self.tell(if self.was_sent {
            ClaimEnd::Failed
        } else {
            ClaimEnd::Released
        });
    }
}

#[derive(Debug, Message)]
#[rtype(result = "Result<HeldClaim, Refusal>")]
struct AskFor {
    request: RequestId,
    key: ClaimKey,
    deadline: Duration,
}

#[derive(Debug, Message)]
#[rtype(result = "()")]
struct Conclude {
    claim: ClaimId,
    key: ClaimKey,
    end: ClaimEnd,
}

#[derive(Debug, Message)]
#[rtype(result = "ClaimCounts")]
struct AskCounts;

#[derive(Debug, Message)]
#[rtype(result = "()")]
struct Followed {
    partition: u32,
    event: StreamEvent,
}

/// The actor that owns the claimants, one for each stream.
#[derive(Debug)]
struct Claims {
    parts: ClaimParts,
    claimants: Vec<Claimant>,
    callers: HashMap<ClaimId, Caller>,
    ending: usize,
}

/// Who waits for an answer.
#[derive(Debug)]
struct Caller {
    request: RequestId,
    key: ClaimKey,
    sender: oneshot::Sender<Result<HeldClaim, Refusal>>,
}

impl Claims {
    fn new(parts: ClaimParts, options: ClaimOptions) -> Self {
        let claimant = |_| {
            let host = parts.host.clone();
            Claimant::new(host, parts.incarnation, options.clone())
        };
        Claims {
            claimants: (0..options.partitions.max(1)).map(claimant).collect(),
            callers: HashMap::new(),
            ending: 0,
            parts,
        }
    }

    fn partition(&self, key: &ClaimKey) -> u32 {
        key.partition(u32::try_from(self.claimants.len()).unwrap_or(u32::MAX))
    }

    fn step(&mut self, partition: u32, input: Input, context: &mut Context<Self>) {
        let now = self.parts.clock.now();
        let wall_ms = self.parts.clock.wall_ms();
        let Some(claimant) = self.claimants.get_mut(partition as usize) else {
            return;
        };
        for action in claimant.step(now, wall_ms, input) {
            match action {
                Action::Append(appending) => self.append(partition, appending, context),
                Action::Answer { claim, answer } => self.answer(claim, answer, context),
                Action::Note {
                    code,
                    request,
                    offset,
                } => {
                    let subject = request.map_or_else(Subject::none, Subject::request);
                    self.parts.journal.record(code, subject.offset(offset));
                }
            }
        }
    }

    fn append(&mut self, partition: u32, appending: Appending, context: &mut Context<Self>) {
        let Appending {
            claim,
            data,
            wait_limit,
        } = appending;
        let is_end = wait_limit.is_none();
        self.ending += usize::from(is_end);
        let log = self.parts.log.clone();
        let stream = stream_name(partition);
        let appended = async move { log.append(&stream, Uuid::now_v7(), data, wait_limit).await };
        let reported = appended
            .into_actor(self)
            .map(move |outcome, claims, context| {
                claims.ending -= usize::from(is_end);
                if let (AppendOutcome::NotAppended, Some(claim)) = (outcome, claim) {
                    claims.step(partition, Input::NotAppended(claim), context);
                }
            });
        context.spawn(reported);
    }

    fn answer(&mut self, claim: ClaimId, answer: ClaimAnswer, context: &mut Context<Self>) {
        let Some(caller) = self.callers.remove(&claim) else {
            return;
        };
        let answer = match answer {
            ClaimAnswer::Won => Ok(HeldClaim {
                claim,
                key: caller.key,
                was_sent: false,
                actor: Some(context.address()),
            }),
            ClaimAnswer::Lost(holding) => {
                Err(self.refused(EventCode::ClaimLost, caller.request, holding.refusal()))
            }
            ClaimAnswer::Refused(refusal) => {
                Err(self.refused(EventCode::ClaimRefused, caller.request, refusal))
            }
        };
        // A caller who left drops its claim, which releases it.
        let _ = caller.sender.send(answer);
    }

    fn refused(&self, code: EventCode, request: RequestId, refusal: Refusal) -> Refusal {
        let subject = Subject::request(request).detail(refusal.message.clone());
        self.parts.journal.record(code, subject);
        refusal
    }

    fn follow(&self, partition: u32, context: &mut Context<Self>) {
        let mut events = self
            .parts
            .log
            .follow(&stream_name(partition), Offset::default());
        let actor = context.address();
        let following = async move {
            while let Some(event) = events.recv().await {
                if actor.send(Followed { partition, event }).await.is_err() {
                    return;
                }
            }
        };
        context.spawn(following.into_actor(self));
    }

    fn tick(&mut self, context: &mut Context<Self>) {
        for partition in (0..).take(self.claimants.len()) {
            self.step(partition, Input::Tick, context);
        }
    }
}

impl Actor for Claims {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Self::Context) {
        for partition in (0..).take(self.claimants.len()) {
            self.follow(partition, context);
        }
        context.run_interval(TICK, Claims::tick);
    }
}

impl Handler<AskFor> for Claims {
    type Result = ResponseFuture<Result<HeldClaim, Refusal>>;

    fn handle(&mut self, asked: AskFor, context: &mut Context<Self>) -> Self::Result {
        let (sender, receiver) = oneshot::channel();
        let claim = ClaimId::generate();
        let partition = self.partition(&asked.key);
        let ask = Ask {
            request: asked.request,
            claim,
            key: asked.key.clone(),
            deadline: self.parts.clock.now() + asked.deadline,
        };
        let caller = Caller {
            request: asked.request,
            key: asked.key,
            sender,
        };
        self.callers.insert(claim, caller);
        self.step(partition, Input::Ask(ask), context);
        Box::pin(async move { receiver.await.unwrap_or_else(|_| Err(stopped())) })
    }
}

impl Handler<Conclude> for Claims {
    type Result = ();

    fn handle(&mut self, conclude: Conclude, context: &mut Context<Self>) {
        let partition = self.partition(&conclude.key);
        let input = Input::Conclude(conclude.claim, conclude.end);
        self.step(partition, input, context);
    }
}

impl Handler<AskCounts> for Claims {
    type Result = actix::MessageResult<AskCounts>;

    fn handle(&mut self, _: AskCounts, _: &mut Context<Self>) -> Self::Result {
        let claimants = &self.claimants;
        actix::MessageResult(ClaimCounts {
            waiting: claimants.iter().map(Claimant::waiting).sum(),
            running: claimants.iter().map(Claimant::running).sum(),
            ending: self.ending,
            keys: claimants.iter().map(|it| it.holdings().len()).sum(),
        })
    }
}

impl Handler<Followed> for Claims {
    type Result = ();

    fn handle(&mut self, followed: Followed, context: &mut Context<Self>) {
        match followed.event {
            StreamEvent::Read(answer) => {
                self.step(followed.partition, Input::Read(answer), context);
            }
            // A gap shows in the next answer. Without reads nothing is claimed, and callers are
            // refused when they have waited long enough.
            StreamEvent::Gap { .. } | StreamEvent::Unreachable | StreamEvent::Foreign { .. } => {}
        }
    }
}

fn stopped() -> Refusal {
    Refusal::not_run(
        Code::Stopped,
        "the host is stopping; the request was not sent",
    )
}
