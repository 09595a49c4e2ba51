//! One host's decisions, without the actors and sockets around them.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;

use cedargauge::budget::RetryBudget;
use cedargauge::clock::Time;
use cedargauge::id::AttemptId;
use cedargauge::id::DataCentre;
use cedargauge::id::HostId;
use cedargauge::id::Incarnation;
use cedargauge::id::Offset;
use cedargauge::id::RequestId;
use cedargauge::id::UpstreamId;
use cedargauge::leaving::Leaving;
use cedargauge::membership::Change;
use cedargauge::membership::Heard;
use cedargauge::membership::Identity;
use cedargauge::membership::Membership;
use cedargauge::membership::MembershipAction;
use cedargauge::membership::MembershipInput;
use cedargauge::membership::MembershipOptions;
use cedargauge::owner::Owner;
use cedargauge::owner::OwnerAction;
use cedargauge::owner::OwnerInput;
use cedargauge::owner::OwnerOptions;
use cedargauge::ownership::Ownership;
use cedargauge::peer::PeerMessage;
use cedargauge::platform::HostList;
use cedargauge::registry::Registry;
use cedargauge::registry::RegistryAction;
use cedargauge::registry::RegistryInput;
use cedargauge::registry::RegistryOptions;
use cedargauge::schedule::Ending;
use cedargauge::schedule::Ticket;
use cedargauge::schedule::Weights;
use cedargauge::servicepool::ServicePool;
use cedargauge::spill::Offer;
use cedargauge::spill::Spill;
use cedargauge::spill::SpillOptions;
use cedargauge::wire::LoadReport;

/// What a host wants of the world.
pub enum HostEvent {
    Call(HostId, Option<Box<PeerMessage>>),
    Granted {
        request: RequestId,
        upstream: UpstreamId,
        alone: bool,
    },
    Refused(RequestId, String),
    Relocate(RequestId),
    Spilled(RequestId),
    Noted(String),
}

enum Work {
    Registry(RegistryInput),
    Owner(OwnerInput),
}

pub struct Host {
    pub name: HostId,
    pub data_centre: DataCentre,
    pub up: bool,
    pub membership: Membership,
    pub registry: Registry,
    pub owner: Owner,
    pub events: Vec<HostEvent>,
    budget: RetryBudget,
    leaving: Leaving,
    settling: Vec<RequestId>,
    tickets: BTreeMap<RequestId, Ticket>,
}

/// The peer address of a host.
pub fn address(host: &HostId) -> String {
    format!("{host}:7000")
}

impl Host {
    pub fn new(name: &HostId, data_centre: &DataCentre, incarnation: u64, now: Time) -> Self {
        let identity = Identity {
            host: name.clone(),
            incarnation: Incarnation(incarnation),
            data_centre: data_centre.clone(),
            address: address(name),
        };
        let seed = name.as_str().bytes().map(u64::from).sum::<u64>() + 1_000 * incarnation;
        let spill = Spill::new(SpillOptions::default());
        Host {
            name: name.clone(),
            data_centre: data_centre.clone(),
            up: true,
            membership: Membership::new(MembershipOptions::default(), identity, now, seed),
            registry: Registry::new(RegistryOptions::default(), spill, name.clone(), seed),
            owner: Owner::new(OwnerOptions::default(), name.clone()),
            events: Vec::new(),
            budget: RetryBudget::new(0),
            leaving: Leaving::default(),
            settling: Vec::new(),
            tickets: BTreeMap::new(),
        }
    }

    pub fn identity(&self) -> Identity {
        self.membership.identity().clone()
    }

    pub fn know(&mut self, now: Time, addresses: Vec<String>) {
        self.feed_membership(now, MembershipInput::Known(addresses));
    }

    pub fn call(&mut self, to: HostId, message: PeerMessage) {
        self.events
            .push(HostEvent::Call(to, Some(Box::new(message))));
    }

    pub fn configure(&mut self, now: Time, pools: Vec<ServicePool>, retry_percent: u32) {
        self.budget.set_percent(retry_percent);
        let weights = Weights::default();
        let input = OwnerInput::Pools {
            pools: pools.clone(),
            weights,
        };
        self.drive(now, Work::Owner(input));
        let input = RegistryInput::Pools {
            pools,
            engine_priorities: BTreeMap::new(),
        };
        self.drive(now, Work::Registry(input));
    }

    pub fn listed(&mut self, now: Time, list: &HostList) {
        let fresh = self.leaving.list(now, list, &self.data_centre);
        for upstream in fresh {
            self.witness(now, &upstream);
        }
        self.feed_membership(now, MembershipInput::Listed(list.clone()));
    }

    pub fn leave(&mut self, now: Time) {
        self.feed_membership(now, MembershipInput::Leave);
    }

    pub fn tick_membership(&mut self, now: Time) {
        self.feed_membership(now, MembershipInput::Tick);
    }

    pub fn tick(&mut self, now: Time) {
        self.drive(now, Work::Owner(OwnerInput::Tick));
        self.drive(now, Work::Registry(RegistryInput::Tick));
    }

    /// Compares the grants that came since the last step.
    pub fn settle(&mut self, now: Time) {
        for request in std::mem::take(&mut self.settling) {
            self.drive(now, Work::Registry(RegistryInput::Settle(request)));
        }
    }

    pub fn submit(&mut self, now: Time, ticket: Ticket) {
        self.tickets.insert(ticket.request, ticket.clone());
        self.drive(now, Work::Registry(RegistryInput::Submit(ticket)));
    }

    pub fn prompt_tokens(&self, request: RequestId) -> u32 {
        self.tickets[&request].prompt_tokens
    }

    pub fn started(&mut self, now: Time, request: RequestId) -> AttemptId {
        let attempt = AttemptId::generate();
        let input = RegistryInput::Started { request, attempt };
        self.drive(now, Work::Registry(input));
        attempt
    }

    pub fn complete(&mut self, now: Time, request: RequestId, output_tokens: u32) {
        self.budget.succeeded();
        self.finished(now, request, output_tokens, Ending::Complete);
    }

    /// An attempt failed, or a leaving engine refused it: try elsewhere.
    pub fn failed(&mut self, now: Time, request: RequestId, upstream: &UpstreamId, refused: bool) {
        if refused {
            self.witness(now, upstream);
        }
        self.finished(now, request, 0, Ending::UpstreamFailed);
        if !refused && !self.budget.try_retry() {
            let text = "retry budget".to_owned();
            self.events.push(HostEvent::Refused(request, text));
            return;
        }
        self.again(now, request, upstream);
    }

    pub fn moved(&mut self, now: Time, request: RequestId, upstream: &UpstreamId) {
        self.finished(now, request, 0, Ending::Cancelled);
        self.again(now, request, upstream);
    }

    fn again(&mut self, now: Time, request: RequestId, upstream: &UpstreamId) {
        let mut ticket = self.tickets[&request].clone();
        ticket.avoid.push(upstream.clone());
        self.submit(now, ticket);
    }

    fn finished(&mut self, now: Time, request: RequestId, output_tokens: u32, ending: Ending) {
        let input = RegistryInput::Finished {
            request,
            output_tokens,
            ending,
            cached_prompt_tokens: 0,
        };
        self.drive(now, Work::Registry(input));
    }

    pub fn polled(&mut self, now: Time, upstream: UpstreamId, report: Option<LoadReport>) {
        let input = match report {
            Some(report) => OwnerInput::Report { upstream, report },
            None => OwnerInput::ReportFailed(upstream),
        };
        self.drive(now, Work::Owner(input));
    }

    pub fn answered(&mut self, now: Time, by: Identity) {
        if by.data_centre != self.data_centre {
            return;
        }
        let input = MembershipInput::Answered {
            address: by.address,
            host: by.host,
            incarnation: by.incarnation,
        };
        self.feed_membership(now, input);
    }

    pub fn reachable(&mut self, now: Time, host: &HostId) {
        let input = RegistryInput::Reachable(host.clone());
        self.drive(now, Work::Registry(input));
    }

    pub fn unreachable(&mut self, now: Time, host: &HostId, address: String) {
        let input = RegistryInput::Unreachable(host.clone());
        self.drive(now, Work::Registry(input));
        self.feed_membership(now, MembershipInput::Unanswered { address });
    }

    pub fn receive(&mut self, now: Time, from: Identity, message: PeerMessage) {
        match message {
            PeerMessage::Heartbeat {
                sequence,
                leaving,
                config_offset,
                leaving_upstreams,
                rumours,
            } => {
                let heard = Heard {
                    host: from.host,
                    incarnation: from.incarnation,
                    address: from.address,
                    sequence,
                    leaving,
                    config_offset,
                    rumours,
                };
                self.feed_membership(now, MembershipInput::Heard(heard));
                for upstream in leaving_upstreams {
                    self.leaving.hear(now, &upstream);
                    self.tell_leaving(now, &upstream);
                }
            }
            PeerMessage::Decision(decision) => {
                let input = RegistryInput::Decision {
                    from: from.host,
                    decision,
                };
                self.drive(now, Work::Registry(input));
            }
            PeerMessage::Offer(rooms) => {
                let offer = Offer {
                    host: from.host,
                    rooms,
                };
                self.drive(now, Work::Registry(RegistryInput::Offer(offer)));
            }
            message => {
                let input = OwnerInput::Message {
                    from: from.host,
                    message,
                };
                self.drive(now, Work::Owner(input));
            }
        }
    }

    fn tell_leaving(&mut self, now: Time, upstream: &UpstreamId) {
        let from = self.name.clone();
        let message = PeerMessage::UpstreamLeaving(upstream.clone());
        self.drive(now, Work::Owner(OwnerInput::Message { from, message }));
        let leaving = RegistryInput::Leaving(self.leaving.all());
        self.drive(now, Work::Registry(leaving));
    }

    fn witness(&mut self, now: Time, upstream: &UpstreamId) {
        self.leaving.witness(now, upstream);
        let ownership = Ownership::new(self.membership.owners().iter().cloned());
        let owner = ownership.upstream_owner(upstream).cloned();
        self.tell_leaving(now, upstream);
        if let Some(owner) = owner.filter(|owner| *owner != self.name) {
            self.call(owner, PeerMessage::UpstreamLeaving(upstream.clone()));
        }
    }

    fn feed_membership(&mut self, now: Time, input: MembershipInput) {
        for action in self.membership.step(now, input) {
            match action {
                MembershipAction::Probe { address, rumours } => {
                    let to = HostId::new(address.trim_end_matches(":7000"));
                    let heartbeat = PeerMessage::Heartbeat {
                        sequence: self.membership.sequence(),
                        leaving: self.membership.is_leaving(),
                        config_offset: Offset(0),
                        leaving_upstreams: self.leaving.witnessed(),
                        rumours,
                    };
                    self.call(to, heartbeat);
                }
                MembershipAction::OwnersChanged => {
                    let owners = self.membership.owners().iter().cloned();
                    let ownership = Arc::new(Ownership::new(owners));
                    self.drive(now, Work::Owner(OwnerInput::Owners(ownership.clone())));
                    self.drive(now, Work::Registry(RegistryInput::Owners(ownership)));
                }
                MembershipAction::Noted { change, host } => self.noted(now, change, host),
            }
        }
    }

    fn noted(&mut self, now: Time, change: Change, host: HostId) {
        self.events
            .push(HostEvent::Noted(format!("{change:?} {host}")));
        match change {
            Change::Died => {
                let input = RegistryInput::Unreachable(host.clone());
                self.drive(now, Work::Registry(input));
                self.drive(now, Work::Owner(OwnerInput::HostGone(host)));
            }
            Change::Alone => self.drive(now, Work::Registry(RegistryInput::Alone(true))),
            Change::Rejoined => self.drive(now, Work::Registry(RegistryInput::Alone(false))),
            Change::Joined | Change::Refuted => {
                self.drive(now, Work::Registry(RegistryInput::Reachable(host)));
            }
            Change::Suspected | Change::Left => {}
        }
    }

    fn drive(&mut self, now: Time, work: Work) {
        let mut queue = VecDeque::from([work]);
        while let Some(work) = queue.pop_front() {
            match work {
                Work::Registry(input) => {
                    for action in self.registry.step(now, input) {
                        queue.extend(self.act(action));
                    }
                }
                Work::Owner(input) => {
                    for action in self.owner.step(now, input) {
                        queue.extend(self.act_as_owner(action));
                    }
                }
            }
        }
    }

    fn act(&mut self, action: RegistryAction) -> Option<Work> {
        match action {
            RegistryAction::Send { to, message, .. } if to == self.name => {
                return Some(Work::Owner(OwnerInput::Message { from: to, message }));
            }
            RegistryAction::Send { to, message, .. } => self.call(to, message),
            RegistryAction::SettleLater(request) => self.settling.push(request),
            RegistryAction::Ping(host) => self.events.push(HostEvent::Call(host, None)),
            RegistryAction::Granted {
                request,
                upstream,
                owner,
                ..
            } => self.events.push(HostEvent::Granted {
                request,
                upstream,
                alone: owner.is_none(),
            }),
            RegistryAction::Refused { request, refusal } => {
                let text = format!("{:?}", refusal.code);
                self.events.push(HostEvent::Refused(request, text));
            }
            RegistryAction::Relocate(request) => {
                self.events.push(HostEvent::Relocate(request));
            }
            RegistryAction::Spilled { request, .. } => {
                self.events.push(HostEvent::Spilled(request));
            }
        }
        None
    }

    fn act_as_owner(&mut self, action: OwnerAction) -> Option<Work> {
        match action {
            OwnerAction::Decision { to, decision } if to == self.name => {
                return Some(Work::Registry(RegistryInput::Decision {
                    from: to,
                    decision,
                }));
            }
            OwnerAction::Decision { to, decision } => {
                self.call(to, PeerMessage::Decision(decision));
            }
            OwnerAction::UpstreamLeft(upstream) => {
                self.events
                    .push(HostEvent::Noted(format!("UpstreamLeft {upstream}")));
            }
            OwnerAction::UpstreamLost(upstream) => {
                self.events
                    .push(HostEvent::Noted(format!("UpstreamLost {upstream}")));
            }
            OwnerAction::UpstreamBack(upstream) => {
                self.leaving.clear(&upstream);
                self.events
                    .push(HostEvent::Noted(format!("UpstreamBack {upstream}")));
                return Some(Work::Registry(RegistryInput::Leaving(self.leaving.all())));
            }
        }
        None
    }
}
