//! A generation of this host that waits in the shared queue of its service.

use std::time::Duration;

use super::refusal;
use crate::clock::Time;
use crate::event::EventCode;
use crate::gateway::admit::WaitEstimate;
use crate::gateway::candidates;
use crate::gateway::candidates::CandidateSet;
use crate::gateway::gossip;
use crate::gateway::instance::InstanceId;
use crate::gateway::instance::InstanceKey;
use crate::gateway::loads::Load;
use crate::gateway::placement::Candidate;
use crate::gateway::placement::Need;
use crate::gateway::queueclient;
use crate::gateway::queueclient::Asking;
use crate::gateway::queueclient::OwnerHealth;
use crate::gateway::queueclient::Reaction;
use crate::gateway::queueclient::Step;
use crate::gateway::queuemessages::Answer;
use crate::gateway::queuemessages::JoinRequest;
use crate::gateway::queuemessages::QueueMessage;
use crate::gateway::queuemessages::before;
use crate::gateway::queueowner::QueueOwner;
use crate::gateway::serve::Admitted;
use crate::gateway::shared::Shared;
use crate::gateway::shared::queueing::AnswerInbox;
use crate::gateway::sharedqueue::QueueForecast;
use crate::gateway::sharedqueue::Turn;
use crate::gateway::sharedqueue::Waiter;
use crate::gateway::stream;
use crate::id::HostId;
use crate::refusal::Code;
use crate::refusal::Refusal;
use crate::telemetry;
use crate::telemetry::QueueEnd;

/// Most engines that a generation names as not to be used. With more, its own host looks for another one.
const AVOIDED_MAX: usize = 16;

/// How asking the owner of a shared queue ended.
pub(super) enum Asked {
    /// The generation starts here.
    Start(Candidate),
    /// No engine is left.
    NoEngine,
    /// It is refused.
    Refused(Refusal),
    /// This host decides by itself.
    Alone {
        /// Whether an owner had let the generation wait.
        has_waited: bool,
    },
}

/// Asks the owner of the queue and waits until it decides.
pub(super) async fn ask(
    shared: &Shared,
    admitted: &Admitted,
    need: Need,
    avoid: &[InstanceId],
) -> Asked {
    let Some(owner) = shared.queue_owner(&admitted.service) else {
        telemetry::record_queue_end(&admitted.service, QueueEnd::Alone, Duration::ZERO);
        let entry = admitted.log_entry(shared, EventCode::RequestQueued);
        entry
            .with("outcome", "decided alone")
            .with("reason", "no host owns the queue")
            .write();
        return Asked::Alone { has_waited: false };
    };
    SharedWait::new(shared, admitted, need, avoid, owner)
        .run()
        .await
}

/// A generation that waits. Dropping it tells the owner that it waits no longer.
struct SharedWait<'a> {
    shared: &'a Shared,
    admitted: &'a Admitted,
    /// Engines that an earlier attempt used.
    tried: &'a [InstanceId],
    waiter: Waiter,
    owner: QueueOwner,
    asking: Asking,
    inbox: AnswerInbox,
    began: Time,
    /// Whether the owner doesn't count it as waiting any more.
    is_settled: bool,
}

impl<'a> SharedWait<'a> {
    fn new(
        shared: &'a Shared,
        admitted: &'a Admitted,
        need: Need,
        tried: &'a [InstanceId],
        owner: QueueOwner,
    ) -> Self {
        let now = shared.now();
        let inbox = shared.register_waiter();
        let waiter = Waiter {
            id: inbox.id.clone(),
            rank: admitted.priority,
            customer: admitted.customer.clone(),
            weight: admitted.weight,
            content: admitted.fingerprint,
            need,
            arrived_at: before(now, admitted.arrived.elapsed()),
            objective: admitted.route.objective,
            deadline: now + admitted.time_left(),
            run_time: stream::expected_duration(shared, admitted),
            avoid: tried.iter().map(InstanceId::key).collect(),
            regions: admitted.regions.clone(),
        };
        let timeout = answer_timeout(shared, &owner);
        SharedWait {
            asking: Asking::new(now, timeout, waiter.deadline),
            shared,
            admitted,
            tried,
            waiter,
            owner,
            inbox,
            began: now,
            is_settled: false,
        }
    }

    async fn run(mut self) -> Asked {
        loop {
            // Another attempt of the same content may crash upstreams during the wait.
            if let Some(refusal) = self.shared.refuse_suspect(self.admitted) {
                return Asked::Refused(refusal);
            }
            self.shared.check_suspension();
            if self.shared.is_resuming() {
                return self.decide_alone("the host resumes");
            }
            let now = self.shared.now();
            match self.asking.step(now) {
                Step::Send { renewal } => {
                    if let Some(asked) = self.send(now, renewal) {
                        return asked;
                    }
                }
                Step::Wait { until } => {
                    tokio::select! {
                        (host, answer) = self.inbox.next() => {
                            if let Some(refusal) = self.shared.refuse_suspect(self.admitted) {
                                return Asked::Refused(refusal);
                            }
                            if let Some(asked) = self.receive(&host, answer) {
                                return asked;
                            }
                        }
                        () = tokio::time::sleep(until.since(now)) => {}
                    }
                }
                Step::DecideAlone => {
                    let owner = &self.owner.host;
                    self.shared
                        .record_silent_owner(&self.admitted.service, owner);
                    return self.decide_alone("the owner is silent");
                }
                Step::GiveUp(forecast) => return self.give_up(forecast),
            }
        }
    }

    /// Sends the request to the owner, which may have changed; how asking ends if it can't be sent.
    fn send(&mut self, now: Time, renewal: u32) -> Option<Asked> {
        match self.shared.queue_owner(&self.admitted.service) {
            None => return Some(self.decide_alone("no host owns the queue")),
            Some(owner) if owner != self.owner => {
                self.leave();
                self.change_owner(now, owner);
                return None;
            }
            Some(_) => {}
        }
        let request = JoinRequest::new(now, &self.admitted.service, &self.waiter, renewal);
        let is_sent = request.is_some_and(|request| {
            let message = QueueMessage::Join(request);
            self.shared.tell_owner(&self.owner, message)
        });
        match is_sent {
            true => None,
            false => Some(self.decide_alone("the request is too large")),
        }
    }

    fn change_owner(&mut self, now: Time, owner: QueueOwner) {
        let timeout = answer_timeout(self.shared, &owner);
        self.owner = owner;
        self.asking.change_owner(now, timeout);
    }

    /// Applies an answer; how asking ends if it does.
    fn receive(&mut self, host: &HostId, answer: Answer) -> Option<Asked> {
        if *host != self.owner.host {
            // The previous owner has been told that the generation doesn't wait there.
            return None;
        }
        let now = self.shared.now();
        match self.asking.receive(now, answer) {
            Reaction::Nothing => None,
            Reaction::Forecast(forecast) => {
                self.log("waits", Some(forecast));
                None
            }
            Reaction::Start(engine) => self.start(now, &engine),
            Reaction::Refuse(turn) => Some(self.refuse(turn)),
            Reaction::AskAnother => {
                self.shared.record_declined_owner(host);
                match self.shared.queue_owner(&self.admitted.service) {
                    Some(owner) => {
                        self.change_owner(now, owner);
                        None
                    }
                    None => Some(self.decide_alone("no host owns the queue")),
                }
            }
        }
    }

    /// Starts at the granted engine, or asks again if this host can't use it.
    fn start(&mut self, now: Time, engine: &InstanceId) -> Option<Asked> {
        let candidates =
            candidates::list(self.shared, self.admitted, self.tried, CandidateSet::All);
        if candidates.is_empty() {
            return Some(Asked::NoEngine);
        }
        let any_healthy = candidates.iter().any(|candidate| !candidate.unhealthy);
        let granted = candidates
            .into_iter()
            .find(|candidate| candidate.upstream.id == *engine)
            .filter(|candidate| !(any_healthy && candidate.unhealthy));
        match granted {
            Some(candidate) => {
                self.tell_start(&candidate.upstream.id);
                self.log("granted", self.asking.forecast());
                self.count(QueueEnd::Granted);
                Some(Asked::Start(candidate))
            }
            None => self.avoid(now, engine.key()),
        }
    }

    /// Tells the owner what this host counts at the engine from now on.
    fn tell_start(&mut self, engine: &InstanceId) {
        let mut load = self.shared.loads().with(|loads| loads.own_at(engine));
        load.add(Load {
            requests: 1,
            tokens: self.waiter.need.tokens(),
            unread_tokens: self.waiter.need.prompt_tokens(),
        });
        let message = QueueMessage::Started {
            number: self.waiter.id.number,
            engine: engine.key(),
            load,
        };
        self.shared.tell_owner(&self.owner, message);
        self.is_settled = true;
    }

    fn avoid(&mut self, now: Time, engine: InstanceKey) -> Option<Asked> {
        if self.waiter.avoid.len() >= AVOIDED_MAX {
            return Some(self.decide_alone("too many engines can't be used"));
        }
        self.waiter.avoid.push(engine);
        self.asking.ask_again(now);
        None
    }

    fn refuse(&mut self, turn: Turn) -> Asked {
        self.is_settled = true;
        self.log("refused", Some(turn.forecast));
        self.count(QueueEnd::Refused);
        let message = refusal_message(&self.owner.host, turn.forecast);
        let retry_after_ms = u64::try_from(turn.retry_after.as_millis()).unwrap_or(u64::MAX);
        let refusal = Refusal::not_run(Code::Overloaded, message);
        Asked::Refused(refusal.retry_after_ms(retry_after_ms))
    }

    /// Refuses a generation that has waited as long as was useful by the owner's forecast.
    fn give_up(&mut self, forecast: QueueForecast) -> Asked {
        self.log("gave up", Some(forecast));
        self.count(QueueEnd::Refused);
        let estimate = WaitEstimate {
            expected: forecast.expected,
            limit: forecast.limit,
        };
        let refusal = refusal(self.shared, self.admitted, estimate);
        Asked::Refused(Refusal {
            message: refusal_message(&self.owner.host, forecast),
            ..refusal
        })
    }

    fn decide_alone(&self, reason: &str) -> Asked {
        self.count(QueueEnd::Alone);
        let entry = self
            .admitted
            .log_entry(self.shared, EventCode::RequestQueued);
        entry
            .with("outcome", "decided alone")
            .with("owner", self.owner.host.as_str())
            .with("reason", reason)
            .write();
        Asked::Alone {
            has_waited: self.asking.has_waited(),
        }
    }

    fn leave(&self) {
        let number = self.waiter.id.number;
        self.shared
            .tell_owner(&self.owner, QueueMessage::Leave { number });
    }

    fn count(&self, end: QueueEnd) {
        let asked_for = self.shared.now().since(self.began);
        telemetry::record_queue_end(&self.admitted.service, end, asked_for);
    }

    fn log(&self, outcome: &str, forecast: Option<QueueForecast>) {
        let ms = |time: Duration| time.as_millis() as u64;
        let entry = self
            .admitted
            .log_entry(self.shared, EventCode::RequestQueued);
        entry
            .with("outcome", outcome)
            .with("owner", self.owner.host.as_str())
            .with("waited_ms", ms(self.shared.now().since(self.began)))
            .with_some(
                "ahead_tokens",
                forecast.map(|forecast| forecast.ahead_tokens),
            )
            .with_some(
                "expected_ms",
                forecast.map(|forecast| ms(forecast.expected)),
            )
            .with_some("limit_ms", forecast.map(|forecast| ms(forecast.limit)))
            .write();
    }
}

impl Drop for SharedWait<'_> {
    fn drop(&mut self) {
        if !self.is_settled {
            self.leave();
        }
    }
}

/// How long the first answer of an owner is waited for.
fn answer_timeout(shared: &Shared, owner: &QueueOwner) -> Duration {
    let health = match shared.is_owner_silent(&owner.host) {
        true => OwnerHealth::Silent,
        false => OwnerHealth::Answering,
    };
    queueclient::answer_timeout(health) + gossip::idle_batch_delay(shared)
}

fn refusal_message(owner: &HostId, forecast: QueueForecast) -> String {
    format!(
        "room is expected in {} ms, and it can wait {} ms, by the queue at {owner}",
        forecast.expected.as_millis(),
        forecast.limit.as_millis()
    )
}
