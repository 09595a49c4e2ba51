//! Several hosts' decisions stepped together over a fake link, with fake engines.

#![allow(clippy::unwrap_used, reason = "fixtures of tests")]

mod engine;
mod host;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::time::Duration;

use cedargauge::clock::Time;
use cedargauge::id::DataCentre;
use cedargauge::id::HostId;
use cedargauge::id::RequestId;
use cedargauge::id::UpstreamId;
use cedargauge::peer::PeerMessage;
use cedargauge::platform::HostList;
use cedargauge::servicepool::ServicePool;

pub use engine::Engine;
pub use host::Host;
pub use host::HostEvent;

pub const STEP_MS: u64 = 10;
const MEMBERSHIP_EVERY_MS: u64 = 100;
const TICK_EVERY_MS: u64 = 50;
const POLL_EVERY_MS: u64 = 250;
const OFFER_EVERY_MS: u64 = 2_000;
const CALL_TIMEOUT: Duration = Duration::from_millis(300);

/// A call between hosts on its way: a message, or a bare ping.
#[derive(Debug, Clone)]
pub struct Call {
    pub from: HostId,
    pub to: HostId,
    pub message: Option<PeerMessage>,
}

/// What became of a caller's request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Fate {
    Waiting,
    Running(UpstreamId),
    Complete,
    Refused(String),
    Lost,
}

/// A caller's request.
#[derive(Debug, Clone)]
pub struct Caller {
    pub host: HostId,
    pub fate: Fate,
    pub submitted_at: Time,
    pub granted_at: Option<Time>,
    pub runs: u32,
    pub alone: bool,
    pub spilled: bool,
}

#[derive(Default)]
pub struct World {
    pub now: Time,
    pub hosts: BTreeMap<HostId, Host>,
    pub engines: BTreeMap<UpstreamId, Engine>,
    pub callers: BTreeMap<RequestId, Caller>,
    pub calls: VecDeque<Call>,
    pub cut: BTreeSet<(HostId, HostId)>,
    pub duplicate: bool,
    pub lose_every: u64,
    pub retry_budget_percent: u32,
    pub attempts_failed: u64,
    pub noted: Vec<String>,
    sent: u64,
    failing: BTreeMap<(HostId, HostId), Time>,
    timeouts: Vec<(Time, HostId, HostId)>,
}

impl World {
    pub fn pools(&self, data_centre: &DataCentre) -> Vec<ServicePool> {
        let here = self.engines.values();
        let here = here.filter(|engine| engine.data_centre == *data_centre);
        vec![ServicePool {
            service: "inspection".into(),
            upstreams: here.map(|engine| engine.upstream.clone()).collect(),
            plain: false,
            high_water_percent: 90,
            ejected_percent_max: 50,
        }]
    }

    /// Gives every host the services as they are now.
    pub fn configure(&mut self) {
        let names: Vec<HostId> = self.hosts.keys().cloned().collect();
        for name in names {
            let pools = self.pools(&self.hosts[&name].data_centre);
            let percent = self.retry_budget_percent;
            self.with_host(&name, |host, now| host.configure(now, pools, percent));
        }
    }

    pub fn list(&mut self, names: &[HostId], list: &HostList) {
        for name in names {
            self.with_host(name, |host, now| host.listed(now, list));
        }
    }

    pub fn run(&mut self, ms: u64) {
        for _ in 0..ms / STEP_MS {
            self.now = self.now + Duration::from_millis(STEP_MS);
            self.step();
        }
    }

    fn step(&mut self) {
        let now_ms = self.now.as_ms();
        for engine in self.engines.values_mut() {
            engine.step(self.now);
        }
        self.end_requests();
        self.fire_timeouts();
        let names: Vec<HostId> = self.hosts.keys().cloned().collect();
        for name in &names {
            self.with_host(name, Host::settle);
            if now_ms.is_multiple_of(MEMBERSHIP_EVERY_MS) {
                self.with_host(name, Host::tick_membership);
            }
            if now_ms.is_multiple_of(TICK_EVERY_MS) {
                self.with_host(name, Host::tick);
            }
            if now_ms.is_multiple_of(POLL_EVERY_MS) {
                self.poll(name);
            }
            if now_ms.is_multiple_of(OFFER_EVERY_MS) {
                self.offer(name);
            }
        }
    }

    /// Lets a host take something in, then carries out all that follows.
    pub fn with_host(&mut self, name: &HostId, act: impl FnOnce(&mut Host, Time)) {
        let now = self.now;
        let Some(host) = self.hosts.get_mut(name).filter(|host| host.up) else {
            return;
        };
        act(host, now);
        let events = std::mem::take(&mut host.events);
        for event in events {
            self.apply(name, event);
        }
        self.deliver();
    }

    fn apply(&mut self, name: &HostId, event: HostEvent) {
        match event {
            HostEvent::Call(to, message) => self.calls.push_back(Call {
                from: name.clone(),
                to,
                message: message.map(|message| *message),
            }),
            HostEvent::Granted {
                request,
                upstream,
                alone,
            } => self.dispatch(name, request, upstream, alone),
            HostEvent::Refused(request, code) => {
                self.callers.get_mut(&request).unwrap().fate = Fate::Refused(code);
            }
            HostEvent::Relocate(request) => self.relocate(name, request),
            HostEvent::Spilled(request) => {
                self.callers.get_mut(&request).unwrap().spilled = true;
            }
            HostEvent::Noted(text) => self.noted.push(format!("{name}: {text}")),
        }
    }

    fn deliver(&mut self) {
        while let Some(call) = self.calls.pop_front() {
            self.carry(call);
        }
    }

    fn carry(&mut self, call: Call) {
        self.sent += 1;
        let there = (call.from.clone(), call.to.clone());
        let back = (call.to.clone(), call.from.clone());
        let up = self.hosts.get(&call.to).is_some_and(|host| host.up);
        let arrives = up && !self.cut.contains(&there);
        let answered = arrives && !self.cut.contains(&back);
        let lost = self.lose_every > 0 && self.sent.is_multiple_of(self.lose_every);
        if !answered {
            let after = if up { CALL_TIMEOUT } else { Duration::ZERO };
            let due = self.now + after;
            self.timeouts
                .push((due, call.from.clone(), call.to.clone()));
        } else if self.failing.remove(&there).is_some() {
            self.with_host(&call.from, |host, now| host.reachable(now, &call.to));
        }
        if answered {
            let answer = self.hosts[&call.to].identity();
            self.with_host(&call.from, |host, now| host.answered(now, answer));
        }
        let Some(message) = call.message.filter(|_| arrives && !lost) else {
            return;
        };
        let envelope = self.hosts[&call.from].identity();
        let copies = if self.duplicate { 2 } else { 1 };
        for _ in 0..copies {
            let message = message.clone();
            let from = envelope.clone();
            self.with_host(&call.to, |host, now| host.receive(now, from, message));
        }
    }

    fn fire_timeouts(&mut self) {
        let now = self.now;
        let due = self.timeouts.extract_if(.., |(at, _, _)| *at <= now);
        for (at, from, to) in due.collect::<Vec<_>>() {
            self.failing.insert((from.clone(), to.clone()), at);
            let address = host::address(&to);
            self.with_host(&from, |host, now| host.unreachable(now, &to, address));
        }
    }

    fn poll(&mut self, name: &HostId) {
        let owned: Vec<UpstreamId> = match self.hosts.get(name) {
            Some(host) => host.owner.upstreams().cloned().collect(),
            None => return,
        };
        for upstream in owned {
            let report = self
                .engines
                .get(&upstream)
                .filter(|engine| engine.up)
                .map(Engine::report);
            self.with_host(name, |host, now| host.polled(now, upstream, report));
        }
    }

    fn offer(&mut self, name: &HostId) {
        let Some(host) = self.hosts.get(name) else {
            return;
        };
        let here = host.data_centre.clone();
        let rooms = host.owner.rooms();
        let others = self.hosts.values().filter(|host| host.data_centre != here);
        let others: Vec<HostId> = others.map(|host| host.name.clone()).collect();
        if others.is_empty() {
            return;
        }
        let turn = self.now.as_ms() / OFFER_EVERY_MS;
        let to = others[usize::try_from(turn).unwrap() % others.len()].clone();
        self.with_host(name, |host, _| host.call(to, PeerMessage::Offer(rooms)));
    }

    /// The request path in short: dispatch, and on failure try elsewhere.
    fn dispatch(&mut self, name: &HostId, request: RequestId, upstream: UpstreamId, alone: bool) {
        let now = self.now;
        let engine = self.engines.get_mut(&upstream).unwrap();
        let host = self.hosts.get_mut(name).unwrap();
        let caller = self.callers.get_mut(&request).unwrap();
        caller.granted_at.get_or_insert(now);
        caller.alone |= alone;
        if engine.up && !engine.leaving {
            caller.runs += 1;
            caller.fate = Fate::Running(upstream);
            let attempt = host.started(now, request);
            engine.start(now, request, attempt, host.prompt_tokens(request));
        } else {
            self.attempts_failed += 1;
            caller.fate = Fate::Waiting;
            host.failed(now, request, &upstream, engine.up);
        }
        self.with_host(name, |_, _| {});
    }

    fn relocate(&mut self, name: &HostId, request: RequestId) {
        let now = self.now;
        let Fate::Running(upstream) = self.callers[&request].fate.clone() else {
            return;
        };
        self.engines.get_mut(&upstream).unwrap().cancel(request);
        self.callers.get_mut(&request).unwrap().fate = Fate::Waiting;
        let host = self.hosts.get_mut(name).unwrap();
        host.moved(now, request, &upstream);
        self.with_host(name, |_, _| {});
    }

    fn end_requests(&mut self) {
        let ended = self.engines.values_mut().flat_map(Engine::take_ended);
        for ended in ended.collect::<Vec<_>>() {
            let caller = self.callers.get_mut(&ended.request).unwrap();
            let host = caller.host.clone();
            if !self.hosts.get(&host).is_some_and(|host| host.up) {
                continue;
            }
            if ended.complete {
                caller.fate = Fate::Complete;
                self.with_host(&host, |host, now| {
                    host.complete(now, ended.request, ended.output_tokens);
                });
            } else {
                self.attempts_failed += 1;
                caller.fate = Fate::Waiting;
                let upstream = ended.upstream;
                self.with_host(&host, |host, now| {
                    host.failed(now, ended.request, &upstream, false);
                });
            }
        }
    }

    /// The host's process dies: its callers lose their connections.
    pub fn kill(&mut self, name: &HostId) {
        self.hosts.get_mut(name).unwrap().up = false;
        for (request, caller) in &mut self.callers {
            let open = matches!(caller.fate, Fate::Waiting | Fate::Running(_));
            if caller.host != *name || !open {
                continue;
            }
            if let Fate::Running(upstream) = &caller.fate {
                self.engines.get_mut(upstream).unwrap().cancel(*request);
            }
            caller.fate = Fate::Lost;
        }
    }
}
