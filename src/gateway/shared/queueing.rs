//! The shared queues of services: what this host knows of them, and the messages by which it takes part.
//!
//! [`owning`] is what it does for the queues that it owns itself.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::OnceLock;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use tokio::net::UdpSocket;
use tokio::sync::mpsc::Receiver;
use tokio::sync::mpsc::Sender;
use tokio::sync::mpsc::channel;

use self::owning::OwnedQueues;
use super::Shared;
use super::lock;
use crate::event::EventCode;
use crate::gateway::instance::InstanceId;
use crate::gateway::queuemessages::Answer;
use crate::gateway::queuemessages::Envelope;
use crate::gateway::queuemessages::QueueAnswer;
use crate::gateway::queuemessages::QueueMessage;
use crate::gateway::queueowner;
use crate::gateway::queueowner::OwnerBeliefs;
use crate::gateway::queueowner::QueueOwner;
use crate::gateway::sharedqueue::WaiterId;
use crate::id::HostId;
use crate::id::ServiceId;

pub(crate) mod owning;

/// Answers that wait until a generation reads them; it asks again for one that doesn't fit.
const ANSWERS_MAX: usize = 8;

/// An answer with the host that gave it.
pub(crate) type AnswerFrom = (HostId, Answer);

/// State of the shared queues.
#[derive(Debug)]
pub(super) struct Queueing {
    socket: OnceLock<Arc<UdpSocket>>,
    beliefs: Mutex<OwnerBeliefs>,
    /// Where the answers for this host's waiting generations go.
    asking: Mutex<HashMap<u64, Sender<AnswerFrom>>>,
    /// Starts at a random number: the owner must not take a generation for one of before a restart of the host.
    next_number: AtomicU64,
    owned: OwnedQueues,
}

impl Queueing {
    pub(super) fn new(first_number: u64) -> Self {
        Queueing {
            socket: OnceLock::new(),
            beliefs: Mutex::default(),
            asking: Mutex::default(),
            next_number: AtomicU64::new(first_number),
            owned: OwnedQueues::default(),
        }
    }
}

/// A waiting generation's registration for answers, which ends on drop.
#[derive(Debug)]
pub(crate) struct AnswerInbox {
    shared: Shared,
    /// The generation.
    pub(crate) id: WaiterId,
    answers: Receiver<AnswerFrom>,
}

impl AnswerInbox {
    /// The next answer.
    pub(crate) async fn next(&mut self) -> AnswerFrom {
        match self.answers.recv().await {
            Some(answer) => answer,
            // The sender is removed on drop only.
            None => std::future::pending().await,
        }
    }
}

impl Drop for AnswerInbox {
    fn drop(&mut self) {
        lock(&self.shared.0.queueing.asking).remove(&self.id.number);
    }
}

impl Shared {
    /// Sets the socket by which messages about queues are sent at once. Only the gossip task reads it.
    pub(crate) fn set_gossip_socket(&self, socket: Arc<UdpSocket>) {
        self.0.queueing.socket.get_or_init(|| socket);
    }

    /// Registers a generation for the answers of owners.
    pub(crate) fn register_waiter(&self) -> AnswerInbox {
        let queueing = &self.0.queueing;
        let number = queueing.next_number.fetch_add(1, Ordering::Relaxed);
        let (sender, answers) = channel(ANSWERS_MAX);
        lock(&queueing.asking).insert(number, sender);
        AnswerInbox {
            shared: self.clone(),
            id: WaiterId {
                host: self.settings().host.clone(),
                number,
            },
            answers,
        }
    }

    /// The owner of the queue of a service as this host sees it; none if no host can own it.
    pub(crate) fn queue_owner(&self, service: &ServiceId) -> Option<QueueOwner> {
        let now = self.now();
        let own = Some(&self.settings().host).filter(|_| self.can_own_queues());
        let mut others = self.peers(|peers| peers.live_local_addresses(now));
        let beliefs = lock(&self.0.queueing.beliefs);
        others.retain(|(host, _)| !beliefs.has_declined(now, host));
        queueowner::choose_owner(service, own, others)
    }

    /// Whether an owner announced that generations of the service wait.
    pub(crate) fn is_queue_open(&self, service: &ServiceId) -> bool {
        let now = self.now();
        lock(&self.0.queueing.beliefs).is_open(now, service)
    }

    /// Whether this host waits for answers of owners or owns a queue in which generations wait.
    pub(crate) fn is_queueing(&self) -> bool {
        let host = &self.settings().host;
        let now = self.now();
        let queueing = &self.0.queueing;
        self.settings().features.shared_queue
            && (!lock(&queueing.asking).is_empty()
                || lock(&queueing.beliefs).is_opened_by(now, host))
    }

    /// Whether an owner didn't answer lately.
    pub(crate) fn is_owner_silent(&self, owner: &HostId) -> bool {
        let now = self.now();
        lock(&self.0.queueing.beliefs).is_silent(now, owner)
    }

    /// Records that an owner didn't answer.
    pub(crate) fn record_silent_owner(&self, service: &ServiceId, owner: &HostId) {
        let now = self.now();
        if lock(&self.0.queueing.beliefs).mark_silent(now, owner) {
            self.log_owner_silence(Some(service), owner, true);
        }
    }

    /// Records that a host declined to own queues.
    pub(crate) fn record_declined_owner(&self, host: &HostId) {
        let now = self.now();
        lock(&self.0.queueing.beliefs).mark_declined(now, host);
    }

    fn log_owner_silence(&self, service: Option<&ServiceId>, owner: &HostId, is_silent: bool) {
        let entry = self.log().entry(EventCode::QueueOwnerSilent);
        entry
            .with("owner", owner.as_str())
            .with("silent", is_silent)
            .with_some("service", service.map(ServiceId::as_str))
            .write();
    }

    /// Sends a message to the owner of a queue, which may be this host. Returns whether it fits into a datagram.
    pub(crate) fn tell_owner(&self, owner: &QueueOwner, message: QueueMessage) -> bool {
        match owner.address {
            Some(address) => self.send_queue_message(&[address], message),
            None => {
                let host = self.settings().host.clone();
                self.receive_queue_message(Envelope { host, message }, None);
                true
            }
        }
    }

    /// Sends a message to other hosts at once. Returns whether it fits into a datagram.
    fn send_queue_message(&self, to: &[SocketAddr], message: QueueMessage) -> bool {
        let host = self.settings().host.clone();
        let Some(bytes) = (Envelope { host, message }).encode() else {
            return false;
        };
        let Some(socket) = self.0.queueing.socket.get() else {
            return true;
        };
        for address in to {
            // Whoever waits repeats the message.
            if let Err(error) = socket.try_send_to(&bytes, *address) {
                log::debug!("sending a message on a queue to {address}: {error}");
            }
        }
        true
    }

    /// Handles a message on a queue; `from` is `None` for one of this host itself.
    pub(crate) fn receive_queue_message(&self, envelope: Envelope, from: Option<SocketAddr>) {
        let Envelope { host, message } = envelope;
        let sender = QueueOwner {
            host,
            address: from,
        };
        let now = self.now();
        let beliefs = &self.0.queueing.beliefs;
        match message {
            QueueMessage::Join(request) => self.receive_join(sender, request),
            QueueMessage::Leave { number } => {
                let host = sender.host;
                self.receive_leave(&WaiterId { host, number });
            }
            QueueMessage::Started {
                number,
                engine,
                load,
            } => self.receive_start(sender, number, engine, load),
            QueueMessage::Fell { engine, load } => self
                .loads()
                .with(|loads| loads.receive_one(now, sender.host, engine, load)),
            QueueMessage::Answer(answer) => self.receive_answer(&sender, answer),
            QueueMessage::Open { service } => {
                lock(beliefs).receive_open(now, &service, &sender);
            }
            QueueMessage::Closed { service } => {
                lock(beliefs).receive_closed(&service, &sender.host);
            }
        }
    }

    /// Passes an owner's answer on to the generation. A grant for one that doesn't wait is given back.
    fn receive_answer(&self, owner: &QueueOwner, answer: QueueAnswer) {
        let QueueAnswer { number, answer } = answer;
        if lock(&self.0.queueing.beliefs).mark_answering(&owner.host) {
            self.log_owner_silence(None, &owner.host, false);
        }
        let inbox = lock(&self.0.queueing.asking).get(&number).cloned();
        match inbox {
            // The generation asks again for an answer that doesn't fit.
            Some(inbox) => drop(inbox.try_send((owner.host.clone(), answer))),
            None if matches!(answer, Answer::Granted(_)) => {
                self.tell_owner(owner, QueueMessage::Leave { number });
            }
            None => {}
        }
    }

    /// Tells the owners of open queues how much of this host still runs at `engine`, where a request has ended or
    /// its prompt has been read.
    fn announce_fall(&self, engine: &InstanceId) {
        let now = self.now();
        if !lock(&self.0.queueing.beliefs).is_any_open(now) {
            return;
        }
        let service = self.directory(|directory| {
            let upstream = directory.get(engine)?;
            Some(upstream.service.clone())
        });
        let Some(service) = service else {
            return;
        };
        let owners = lock(&self.0.queueing.beliefs).open_addresses(now, &service);
        if !owners.is_empty() {
            let load = self.loads().with(|loads| loads.own_at(engine));
            let engine = engine.key();
            self.send_queue_message(&owners, QueueMessage::Fell { engine, load });
        }
    }
}

/// Tells the owners of open queues at once where this host's load falls, instead of in the next round. Never returns.
pub(crate) async fn announce_falls(shared: Shared) {
    let mut falls = shared.loads().with(|loads| loads.watch_falls());
    while let Some(engine) = falls.recv().await {
        shared.announce_fall(&engine);
    }
}
