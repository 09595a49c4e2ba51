//! Which host owns the shared queue of a service, and what an owner and the other hosts keep beside the queue itself.
//!
//! Guards against owners that die, pause or are cut off, and against lost messages: every belief here ends by itself
//! unless it is renewed, and whatever an owner granted is counted until the host that starts it counts it, or lapses.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::clock::Time;
use crate::gateway::instance::InstanceId;
use crate::gateway::queuemessages::Grant;
use crate::gateway::queuemessages::to_ms;
use crate::gateway::rendezvous;
use crate::gateway::sharedqueue::WaiterId;
use crate::id::HostId;
use crate::id::ServiceId;

/// How long a host believes that a queue is open: three announcements.
const OPEN_BELIEF_TTL: Duration = Duration::from_millis(300);
/// Interval between announcements of a queue that stays open.
const OPEN_INTERVAL: Duration = Duration::from_millis(100);
/// Shortest interval between log lines about one queue being open.
const OPEN_LOG_INTERVAL: Duration = Duration::from_millis(1_000);
/// How long generations wait less for an owner that didn't answer.
const SILENCE_TTL: Duration = Duration::from_millis(1_000);
/// How long a host that declined to own queues isn't asked again.
const DECLINED_TTL: Duration = Duration::from_millis(300);
/// A generation whose host didn't renew its request for this time waits no longer: three renewals lost.
const CONTACT_TTL: Duration = Duration::from_millis(350);
/// How long a grant may be used: some renewals, so that one lost datagram is made up for.
const GRANT_VALIDITY: Duration = Duration::from_millis(250);
/// How long a grant counts without a sign of the generation: its validity and a gossip round after it.
const GRANT_TTL: Duration = Duration::from_millis(750);
/// How long a grant still counts once the generation starts at the owner's own host, which counts it within
/// microseconds.
const OWN_START_TIME: Duration = Duration::from_millis(5);

/// The host that owns the queue of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct QueueOwner {
    /// Its name.
    pub(crate) host: HostId,
    /// Where it receives datagrams; `None` for this host.
    pub(crate) address: Option<SocketAddr>,
}

/// Chooses the owner of the queue of `service` among `others`, the live hosts of the data centre, and this host if it
/// is given as `own`.
pub(crate) fn choose_owner(
    service: &ServiceId,
    own: Option<&HostId>,
    others: Vec<(HostId, SocketAddr)>,
) -> Option<QueueOwner> {
    let own = own.map(|host| QueueOwner {
        host: host.clone(),
        address: None,
    });
    let others = others.into_iter().map(|(host, address)| QueueOwner {
        host,
        address: Some(address),
    });
    let task = format!("queue {service}");
    rendezvous::first(
        own.into_iter().chain(others),
        |owner| owner.host.as_str(),
        &task,
    )
}

/// What a host believes of the owners of queues.
#[derive(Debug, Default)]
pub(crate) struct OwnerBeliefs {
    open: BTreeMap<(ServiceId, HostId), OpenBelief>,
    silent: HashMap<HostId, Time>,
    declined: HashMap<HostId, Time>,
}

#[derive(Debug)]
struct OpenBelief {
    until: Time,
    address: Option<SocketAddr>,
}

impl OwnerBeliefs {
    /// Records that `owner` announced that the queue of a service is open.
    pub(crate) fn receive_open(&mut self, now: Time, service: &ServiceId, owner: &QueueOwner) {
        self.open.retain(|_, belief| now < belief.until);
        let belief = OpenBelief {
            until: now + OPEN_BELIEF_TTL,
            address: owner.address,
        };
        let key = (service.clone(), owner.host.clone());
        self.open.insert(key, belief);
    }

    /// Records that `owner` announced that the queue of a service is empty.
    pub(crate) fn receive_closed(&mut self, service: &ServiceId, owner: &HostId) {
        self.open.remove(&(service.clone(), owner.clone()));
    }

    /// Whether generations of a service wait, so that others must not start before them.
    pub(crate) fn is_open(&self, now: Time, service: &ServiceId) -> bool {
        self.openers(now, service).next().is_some()
    }

    /// Whether generations of any service wait.
    pub(crate) fn is_any_open(&self, now: Time) -> bool {
        self.open.values().any(|belief| now < belief.until)
    }

    /// Whether generations of any service wait in the queue of `owner`.
    pub(crate) fn is_opened_by(&self, now: Time, owner: &HostId) -> bool {
        let mut open = self.open.iter();
        open.any(|((_, host), belief)| host == owner && now < belief.until)
    }

    /// The other hosts in whose queues generations of a service wait.
    pub(crate) fn open_addresses(&self, now: Time, service: &ServiceId) -> Vec<SocketAddr> {
        let openers = self.openers(now, service);
        openers.filter_map(|belief| belief.address).collect()
    }

    fn openers(&self, now: Time, service: &ServiceId) -> impl Iterator<Item = &OpenBelief> {
        let of_service = self.open.iter();
        of_service
            .filter(move |((other, _), belief)| other == service && now < belief.until)
            .map(|(_, belief)| belief)
    }

    /// Records that an owner didn't answer; whether it is a change.
    pub(crate) fn mark_silent(&mut self, now: Time, owner: &HostId) -> bool {
        let was_silent = self.silent.contains_key(owner);
        self.silent.retain(|_, until| now < *until);
        self.silent.insert(owner.clone(), now + SILENCE_TTL);
        !was_silent
    }

    /// Records that an owner answered; whether it is a change.
    pub(crate) fn mark_answering(&mut self, owner: &HostId) -> bool {
        self.silent.remove(owner).is_some()
    }

    /// Whether an owner didn't answer lately.
    pub(crate) fn is_silent(&self, now: Time, owner: &HostId) -> bool {
        self.silent.get(owner).is_some_and(|until| now < *until)
    }

    /// Records that a host declined to own queues.
    pub(crate) fn mark_declined(&mut self, now: Time, host: &HostId) {
        self.declined.retain(|_, until| now < *until);
        self.declined.insert(host.clone(), now + DECLINED_TTL);
    }

    /// Whether a host declined to own queues lately.
    pub(crate) fn has_declined(&self, now: Time, host: &HostId) -> bool {
        self.declined.get(host).is_some_and(|until| now < *until)
    }
}

/// Where the host of a waiting generation is answered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Contact {
    /// Where it receives datagrams; `None` for this host.
    pub(crate) address: Option<SocketAddr>,
    /// The last renewal received.
    pub(crate) renewal: u32,
    /// When that was received.
    pub(crate) received_at: Time,
    /// Prompt tokens of the generation, which its engine has to read.
    pub(crate) prompt_tokens: u32,
}

/// The hosts of the generations that wait at an owner.
#[derive(Debug, Default)]
pub(crate) struct Contacts(HashMap<WaiterId, Contact>);

impl Contacts {
    /// Records a request; whether the generation wasn't known to wait.
    pub(crate) fn renew(&mut self, id: WaiterId, contact: Contact) -> bool {
        self.0.insert(id, contact).is_none()
    }

    /// The contact of a generation.
    pub(crate) fn get(&self, id: &WaiterId) -> Option<&Contact> {
        self.0.get(id)
    }

    /// Removes a generation that waits no longer.
    pub(crate) fn remove(&mut self, id: &WaiterId) -> Option<Contact> {
        self.0.remove(id)
    }

    /// Removes and returns the generations whose hosts renewed nothing for too long.
    pub(crate) fn expire(&mut self, now: Time) -> Vec<WaiterId> {
        let is_expired = |contact: &Contact| now.since(contact.received_at) >= CONTACT_TTL;
        let expired = self.0.extract_if(|_, contact| is_expired(contact));
        expired.map(|(id, _)| id).collect()
    }
}

/// What an owner granted and still counts. `H` counts it at the engine while it lives.
#[derive(Debug)]
pub(crate) struct Grants<H>(Vec<PendingGrant<H>>);

#[derive(Debug)]
struct PendingGrant<H> {
    id: WaiterId,
    engine: InstanceId,
    granted_at: Time,
    lapses_at: Time,
    /// Requests that the host had reported at the engine before the grant.
    reported_before: u32,
    _held: H,
}

impl<H> Default for Grants<H> {
    fn default() -> Self {
        Grants(Vec::new())
    }
}

impl<H> Grants<H> {
    /// Adds a grant for `id` at `engine`, where its host reported `reported` requests.
    pub(crate) fn add(
        &mut self,
        now: Time,
        id: WaiterId,
        engine: InstanceId,
        reported: u32,
        held: H,
    ) {
        self.0.push(PendingGrant {
            id,
            engine,
            granted_at: now,
            lapses_at: now + GRANT_TTL,
            reported_before: reported,
            _held: held,
        });
    }

    /// Whether nothing is granted that isn't counted by its host.
    pub(crate) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// The grant to send to `contact` for a generation, if one may still be used.
    pub(crate) fn message(&self, now: Time, id: &WaiterId, contact: &Contact) -> Option<Grant> {
        let pending = self.0.iter().find(|pending| pending.id == *id)?;
        let left = GRANT_VALIDITY.saturating_sub(now.since(pending.granted_at));
        (!left.is_zero()).then(|| Grant {
            engine: pending.engine.clone(),
            renewal: contact.renewal,
            after_ms: to_ms(now.since(contact.received_at)),
            valid_for_ms: to_ms(left),
        })
    }

    /// The engine that is granted to a generation.
    pub(crate) fn engine_of(&self, id: &WaiterId) -> Option<&InstanceId> {
        let pending = self.0.iter().find(|pending| pending.id == *id)?;
        Some(&pending.engine)
    }

    /// Removes the grant of a generation that another host starts and reports from now on.
    pub(crate) fn start(&mut self, id: &WaiterId) {
        let Some(engine) = self.engine_of(id).cloned() else {
            return;
        };
        self.remove(id);
        let others = self.0.iter_mut();
        // Otherwise the report would be taken for a sign of the next grant, too.
        others
            .filter(|other| other.id.host == id.host && other.engine == engine)
            .for_each(|other| other.reported_before += 1);
    }

    /// Removes the grant of a generation, since its host doesn't use it.
    pub(crate) fn remove(&mut self, id: &WaiterId) {
        self.0.retain(|pending| pending.id != *id);
    }

    /// Records that a generation starts at the owner's own host, which is about to count it.
    pub(crate) fn start_own(&mut self, now: Time, id: &WaiterId) {
        for pending in self.0.iter_mut().filter(|pending| pending.id == *id) {
            pending.lapses_at = now + OWN_START_TIME;
        }
    }

    /// Removes what has lapsed and what the hosts count. `reported` returns the requests that a host reports at an
    /// engine; each beyond those before the grants accounts for one, the oldest first.
    pub(crate) fn settle(&mut self, now: Time, reported: impl Fn(&HostId, &InstanceId) -> u32) {
        let mut counted: HashMap<(HostId, InstanceId), u32> = HashMap::new();
        self.0.retain_mut(|pending| {
            let requests = reported(&pending.id.host, &pending.engine);
            // Requests that end make room for the sign of the grant, too.
            pending.reported_before = pending.reported_before.min(requests);
            let key = (pending.id.host.clone(), pending.engine.clone());
            let counted = counted.entry(key).or_default();
            let is_counted = requests > pending.reported_before + *counted;
            match is_counted {
                true => *counted += 1,
                false => pending.reported_before += *counted,
            }
            !is_counted && now < pending.lapses_at
        });
    }
}

/// What an owner announces of its queue, and whether it is logged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Announcement {
    /// Generations that arrive have to ask.
    Open {
        /// Whether it is a change that is logged.
        is_logged: bool,
    },
    /// They may start where their host sees room.
    Closed {
        /// Whether it is a change that is logged.
        is_logged: bool,
    },
}

/// Determines when an owner announces whether its queue is open.
#[derive(Debug, Default)]
pub(crate) struct OpenAnnouncer {
    announced_at: Option<Time>,
    is_open: bool,
    logged_at: Option<Time>,
    is_logged: bool,
}

impl OpenAnnouncer {
    /// What is to be announced now, if anything. A queue that opens again at once is announced after the interval.
    pub(crate) fn next(&mut self, now: Time, is_open: bool) -> Option<Announcement> {
        if !is_open {
            return std::mem::take(&mut self.is_open).then(|| Announcement::Closed {
                is_logged: std::mem::take(&mut self.is_logged),
            });
        }
        let is_early = |at: Option<Time>, interval| at.is_some_and(|at| now.since(at) < interval);
        if is_early(self.announced_at, OPEN_INTERVAL) {
            return None;
        }
        self.announced_at = Some(now);
        let is_change = !std::mem::replace(&mut self.is_open, true);
        let is_logged = is_change && !is_early(self.logged_at, OPEN_LOG_INTERVAL);
        if is_logged {
            self.logged_at = Some(now);
            self.is_logged = true;
        }
        Some(Announcement::Open { is_logged })
    }
}

#[cfg(test)]
mod tests;
