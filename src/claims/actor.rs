//! The actor that makes and settles claims.

use std::collections::HashMap;
use std::time::Duration;

use actix::Actor;
use actix::ActorFutureExt;
use actix::AsyncContext;
use actix::Context;
use actix::Handler;
use actix::Message;
use actix::ResponseFuture;
use actix::WrapFuture;
use tokio::sync::oneshot;
use uuid::Uuid;

use super::ClaimCounts;
use super::ClaimParts;
use super::HeldClaim;
use super::TICK;
use super::stopped;
use crate::claim::ClaimEnd;
use crate::claim::ClaimKey;
use crate::claim::stream_name;
use crate::claimant::Claimant;
use crate::claimstep::Action;
use crate::claimstep::Appending;
use crate::claimstep::Ask;
use crate::claimstep::ClaimAnswer;
use crate::claimstep::ClaimOptions;
use crate::claimstep::Input;
use crate::event::EventCode;
use crate::follower::StreamEvent;
use crate::id::ClaimId;
use crate::id::Offset;
use crate::id::RequestId;
use crate::journal::Subject;
use crate::logstream::AppendOutcome;
use crate::refusal::Refusal;

#[derive(Debug, Message)]
#[rtype(result = "Result<HeldClaim, Refusal>")]
pub(super) struct AskFor {
    pub(super) request: RequestId,
    pub(super) key: ClaimKey,
    pub(super) deadline: Duration,
}

#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(super) struct Conclude {
    pub(super) claim: ClaimId,
    pub(super) key: ClaimKey,
    pub(super) end: ClaimEnd,
}

#[derive(Debug, Message)]
#[rtype(result = "ClaimCounts")]
pub(super) struct AskCounts;

#[derive(Debug, Message)]
#[rtype(result = "()")]
struct Followed {
    partition: u32,
    event: StreamEvent,
}

/// The actor that owns the claimants, one for each stream.
#[derive(Debug)]
pub(super) struct Claims {
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
    pub(super) fn new(parts: ClaimParts, options: ClaimOptions) -> Self {
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
