//! The shared queues that this host owns: answers hosts that ask, decides while generations wait, and counts what it
//! granted.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

use tokio::sync::Notify;

use super::Shared;
use super::lock;
use crate::clock::Time;
use crate::event::EventCode;
use crate::gateway::candidates;
use crate::gateway::enginestats::EngineStats;
use crate::gateway::instance::InstanceKey;
use crate::gateway::loads::Load;
use crate::gateway::loads::LoadGuard;
use crate::gateway::placement::Candidate;
use crate::gateway::queuemessages::Answer;
use crate::gateway::queuemessages::Envelope;
use crate::gateway::queuemessages::JoinRequest;
use crate::gateway::queuemessages::QueueAnswer;
use crate::gateway::queuemessages::QueueMessage;
use crate::gateway::queueowner::Announcement;
use crate::gateway::queueowner::Contact;
use crate::gateway::queueowner::Contacts;
use crate::gateway::queueowner::Grants;
use crate::gateway::queueowner::OpenAnnouncer;
use crate::gateway::queueowner::QueueOwner;
use crate::gateway::sharedqueue::Decision;
use crate::gateway::sharedqueue::EngineView;
use crate::gateway::sharedqueue::JoinOutcome;
use crate::gateway::sharedqueue::SharedQueue;
use crate::gateway::sharedqueue::Waiter;
use crate::gateway::sharedqueue::WaiterId;
use crate::id::HostId;
use crate::id::ServiceId;
use crate::telemetry;

/// Shortest interval between decisions on one queue.
const DECISION_INTERVAL: Duration = Duration::from_millis(10);
/// The next decision comes no sooner than this many times as long as the last one took, so that owners with a tenth of
/// a core have most of it left for requests.
const DECISION_PAUSE_FACTOR: u32 = 20;
/// Shortest interval between queries for the load of other data centres while generations wait.
const REMOTE_LOADS_INTERVAL: Duration = Duration::from_millis(100);
/// A host that has run for less doesn't own queues: it has yet to receive the loads of its peers, whose full rounds
/// take up to a second.
const WARM_UP_TIME: Duration = Duration::from_millis(2_000);

/// The queues that this host owns.
#[derive(Debug, Default)]
pub(super) struct OwnedQueues {
    queues: Mutex<HashMap<ServiceId, OwnedQueue>>,
    /// Notified when a queue is no longer empty.
    filled: Notify,
}

/// The queue of one service, and what is granted.
#[derive(Debug, Default)]
struct OwnedQueue {
    queue: SharedQueue,
    contacts: Contacts,
    grants: Grants<LoadGuard>,
    announcer: OpenAnnouncer,
    decides_at: Time,
    engines: Option<Engines>,
}

/// The engines of a service as seen at a time.
#[derive(Debug)]
struct Engines {
    seen_at: Time,
    candidates: Vec<Candidate>,
    stats: EngineStats,
}

impl Engines {
    fn new(shared: &Shared, now: Time, service: &ServiceId) -> Self {
        Engines {
            seen_at: now,
            candidates: candidates::list_all(shared, service),
            stats: shared.queues().with(|queues| queues.stats.clone()),
        }
    }

    fn view<'a>(&'a self, shared: &'a Shared) -> EngineView<'a> {
        EngineView {
            candidates: &self.candidates,
            regions: &shared.settings().regions,
            stats: &self.stats,
            context: shared.view(),
        }
    }
}

impl OwnedQueue {
    /// Adds or renews a generation and returns what to answer.
    fn join(
        &mut self,
        shared: &Shared,
        now: Time,
        service: &ServiceId,
        waiter: Waiter,
        contact: Contact,
    ) -> Answer {
        let engines = match self.engines.take() {
            Some(engines) if now.since(engines.seen_at) < DECISION_INTERVAL => engines,
            Some(_) | None => Engines::new(shared, now, service),
        };
        let id = waiter.id.clone();
        let outcome = self.queue.join(now, waiter, &engines.view(shared));
        self.engines = Some(engines);
        match outcome {
            JoinOutcome::Queued(forecast) => {
                self.contacts.renew(id, contact);
                Answer::Queued(forecast.into())
            }
            JoinOutcome::Refused(turn) => {
                self.contacts.remove(&id);
                Answer::Refused(turn.into())
            }
        }
    }

    /// Applies a request and returns the answers to send.
    fn receive_join(
        &mut self,
        shared: &Shared,
        now: Time,
        service: &ServiceId,
        host: HostId,
        request: JoinRequest,
        contact: Contact,
    ) -> Vec<(Contact, QueueAnswer)> {
        let number = request.number;
        let id = WaiterId { host, number };
        if let Some(answer) = self.repeat_grant(now, &id, &request, &contact) {
            return vec![(contact, QueueAnswer { number, answer })];
        }
        let is_new = self.contacts.get(&id).is_none();
        let waiter = request.into_waiter(now, id.host.clone());
        let answer = self.join(shared, now, service, waiter, contact.clone());
        let decided = match is_new {
            true => self.decide(shared, now, service),
            false => Vec::new(),
        };
        let is_decided = self.contacts.get(&id).is_none() && matches!(answer, Answer::Queued(_));
        let first = (!is_decided).then_some((contact, QueueAnswer { number, answer }));
        first.into_iter().chain(decided).collect()
    }

    fn leave(&mut self, id: &WaiterId) {
        if self.contacts.remove(id).is_some() {
            self.queue.leave(id);
        }
    }

    /// The grant that a generation may still use, if its answer was lost. One at an engine that its host now avoids
    /// is taken back.
    fn repeat_grant(
        &mut self,
        now: Time,
        id: &WaiterId,
        request: &JoinRequest,
        contact: &Contact,
    ) -> Option<Answer> {
        let engine = self.grants.engine_of(id)?;
        if request.avoids(engine.key()) {
            self.grants.remove(id);
            return None;
        }
        let grant = self.grants.message(now, id, contact);
        if grant.is_none() {
            self.grants.remove(id);
        }
        grant.map(Answer::Granted)
    }

    /// Removes what has lapsed, decides, and returns the answers to send.
    fn decide(
        &mut self,
        shared: &Shared,
        now: Time,
        service: &ServiceId,
    ) -> Vec<(Contact, QueueAnswer)> {
        self.expire(shared, now);
        if self.queue.is_empty() || now < self.decides_at {
            return Vec::new();
        }
        let engines = Engines::new(shared, now, service);
        let decisions = self
            .queue
            .decide(now, &engines.view(shared), rand::random::<f64>);
        self.engines = None;
        let answers = decisions
            .into_iter()
            .filter_map(|decision| self.apply(shared, now, decision));
        let answers = answers.collect();
        let spent = shared.now().since(now);
        self.decides_at = now + DECISION_INTERVAL.max(spent * DECISION_PAUSE_FACTOR);
        answers
    }

    fn expire(&mut self, shared: &Shared, now: Time) {
        for id in self.contacts.expire(now) {
            self.queue.leave(&id);
        }
        let loads = shared.loads();
        self.grants.settle(now, |host, engine| {
            let reported = loads.with(|loads| loads.reported_by(host, engine.key()));
            reported.map_or(0, |load| load.requests)
        });
    }

    /// Counts a grant, and returns the answer to send. There is none for a generation that has left.
    fn apply(
        &mut self,
        shared: &Shared,
        now: Time,
        decision: Decision,
    ) -> Option<(Contact, QueueAnswer)> {
        match decision {
            Decision::Start { id, engine, tokens } => {
                let contact = self.contacts.remove(&id)?;
                let loads = shared.loads();
                let key = engine.key();
                let reported = loads.with(|loads| loads.reported_by(&id.host, key));
                let reported = reported.map_or(0, |load| load.requests);
                let held = loads.add_request(&engine, tokens, contact.prompt_tokens);
                self.grants.add(now, id.clone(), engine, reported, held);
                let grant = self.grants.message(now, &id, &contact)?;
                Some(answer_to(contact, &id, Answer::Granted(grant)))
            }
            Decision::Refuse { id, turn } => {
                let contact = self.contacts.remove(&id)?;
                Some(answer_to(contact, &id, Answer::Refused(turn.into())))
            }
        }
    }
}

fn answer_to(contact: Contact, id: &WaiterId, answer: Answer) -> (Contact, QueueAnswer) {
    let number = id.number;
    (contact, QueueAnswer { number, answer })
}

/// What one look at the owned queues produced.
#[derive(Debug, Default)]
struct Tick {
    answers: Vec<(Contact, QueueAnswer)>,
    announcements: Vec<(ServiceId, usize, Announcement)>,
    /// Whether anything waits.
    has_waiting: bool,
    /// Whether anything waits or is granted and not counted by its host.
    is_active: bool,
}

impl Shared {
    /// Whether this host may own queues: it is ready and has received the loads of its peers.
    pub(super) fn can_own_queues(&self) -> bool {
        self.now() >= Time::ZERO + WARM_UP_TIME && self.is_ready()
    }

    /// Answers a host whose generation waits.
    pub(super) fn receive_join(&self, sender: QueueOwner, request: JoinRequest) {
        let now = self.now();
        let service = request.service.clone();
        let contact = Contact {
            address: sender.address,
            renewal: request.renewal,
            received_at: now,
            prompt_tokens: request.prompt_tokens,
        };
        let configuration = self.configuration();
        let is_served = configuration.is_some_and(|active| active.engine(&service).is_some());
        if !is_served || !self.can_own_queues() {
            let number = request.number;
            let answer = Answer::NotOwner;
            self.send_answers(vec![(contact, QueueAnswer { number, answer })]);
            return;
        }
        let mut queues = lock(&self.0.queueing.owned.queues);
        let owned = queues.entry(service.clone()).or_default();
        let answers = owned.receive_join(self, now, &service, sender.host, request, contact);
        let is_filled = owned.queue.is_open(now) || !owned.grants.is_empty();
        drop(queues);
        self.send_answers(answers);
        if is_filled {
            self.0.queueing.owned.filled.notify_one();
        }
    }

    /// Removes a generation that waits no longer and didn't start.
    pub(super) fn receive_leave(&self, id: &WaiterId) {
        for owned in lock(&self.0.queueing.owned.queues).values_mut() {
            owned.leave(id);
            owned.grants.remove(id);
        }
    }

    /// Counts a granted generation that starts, by what its host counts at the engine.
    pub(super) fn receive_start(
        &self,
        sender: QueueOwner,
        number: u64,
        engine: InstanceKey,
        load: Load,
    ) {
        let now = self.now();
        let host = sender.host;
        let is_own = sender.address.is_none();
        if !is_own {
            let host = host.clone();
            self.loads()
                .with(|loads| loads.receive_one(now, host, engine, load));
        }
        let id = WaiterId { host, number };
        for owned in lock(&self.0.queueing.owned.queues).values_mut() {
            owned.leave(&id);
            match is_own {
                true => owned.grants.start_own(now, &id),
                false => owned.grants.start(&id),
            }
        }
    }

    fn send_answers(&self, answers: Vec<(Contact, QueueAnswer)>) {
        for (contact, answer) in answers {
            let message = QueueMessage::Answer(answer);
            let waiting = QueueOwner {
                host: self.settings().host.clone(),
                address: contact.address,
            };
            // Answers are shorter than any datagram.
            self.tell_owner(&waiting, message);
        }
    }

    /// Decides on all owned queues.
    fn review_owned_queues(&self) -> Tick {
        let now = self.now();
        let mut tick = Tick::default();
        let can_own = self.can_own_queues();
        let mut queues = lock(&self.0.queueing.owned.queues);
        for (service, owned) in queues.iter_mut() {
            match can_own {
                true => tick.answers.extend(owned.decide(self, now, service)),
                // The hosts learn it at their next renewal and ask another owner.
                false => owned.expire(self, now),
            }
            let is_open = owned.queue.is_open(now);
            let announcement = owned.announcer.next(now, is_open);
            let announcement = announcement.map(|next| (service.clone(), owned.queue.len(), next));
            tick.announcements.extend(announcement);
            tick.has_waiting |= !owned.queue.is_empty();
            tick.is_active |= is_open || !owned.grants.is_empty();
        }
        tick
    }

    fn announce_queue(&self, service: ServiceId, waiting: usize, announcement: Announcement) {
        let (code, is_logged, message) = match announcement {
            Announcement::Open { is_logged } => {
                let service = service.clone();
                (
                    EventCode::QueueOpened,
                    is_logged,
                    QueueMessage::Open { service },
                )
            }
            Announcement::Closed { is_logged } => {
                let service = service.clone();
                (
                    EventCode::QueueClosed,
                    is_logged,
                    QueueMessage::Closed { service },
                )
            }
        };
        telemetry::set_queue_waiting(&service, waiting);
        if is_logged {
            let entry = self.log().entry(code);
            entry
                .with("service", service.as_str())
                .with("waiting", waiting)
                .write();
        }
        let now = self.now();
        let hosts = self.peers(|peers| peers.live_local_addresses(now));
        let addresses: Vec<SocketAddr> = hosts.into_iter().map(|(_, address)| address).collect();
        self.send_queue_message(&addresses, message.clone());
        let host = self.settings().host.clone();
        self.receive_queue_message(Envelope { host, message }, None);
    }
}

/// Decides on the queues that this host owns while anything waits there. Never returns.
pub(crate) async fn run(shared: Shared) {
    let mut queried_at = shared.now();
    loop {
        shared.0.queueing.owned.filled.notified().await;
        loop {
            let tick = shared.review_owned_queues();
            shared.send_answers(tick.answers);
            for (service, waiting, announcement) in tick.announcements {
                shared.announce_queue(service, waiting, announcement);
            }
            if !tick.is_active {
                break;
            }
            let now = shared.now();
            if tick.has_waiting && now.since(queried_at) >= REMOTE_LOADS_INTERVAL {
                queried_at = now;
                query_remote_loads(&shared, now);
            }
            tokio::time::sleep(DECISION_INTERVAL).await;
        }
    }
}

/// Queries other data centres for their load without waiting for the answers.
fn query_remote_loads(shared: &Shared, now: Time) {
    if !shared.data_centres_to_query(now).is_empty() {
        let shared = shared.clone();
        actix_rt::spawn(async move { shared.query_remote_loads().await });
    }
}
