//! Chooses the upstream of a request and hears how the request goes there.
//!
//! An actor owns the host's [`Registry`] (its own requests) and its [`Owner`] (the upstreams it
//! owns for everybody) and does their I/O: messages to peers, reports of upstreams, grants to the
//! request path.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::PoisonError;
use std::sync::RwLock;
use std::time::Duration;

use actix::Actor;
use actix::ActorFutureExt;
use actix::Addr;
use actix::AsyncContext;
use actix::Context;
use actix::Handler;
use actix::WrapFuture;
use derive_builder::Builder;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::oneshot;

use crate::clock::SystemClock;
use crate::config::ConfigHandle;
use crate::error::Result;
use crate::event::EventCode;
use crate::id::AttemptId;
use crate::id::HostId;
use crate::id::Offset;
use crate::id::RequestId;
use crate::id::UpstreamId;
use crate::journal::Journal;
use crate::journal::Subject;
use crate::leaving::Leaving;
use crate::link::Urgency;
use crate::owner::Owner;
use crate::owner::OwnerAction;
use crate::owner::OwnerInput;
use crate::owner::OwnerOptions;
use crate::peer::Decision;
use crate::peer::PeerMessage;
use crate::peers::PeerNews;
use crate::peers::PeersHandle;
use crate::platform::HostList;
use crate::poller::Poller;
use crate::refusal::Code;
use crate::refusal::Refusal;
use crate::registry::Registry;
use crate::registry::RegistryAction;
use crate::registry::RegistryInput;
use crate::registry::RegistryOptions;
use crate::schedule::Action;
use crate::schedule::Ending;
use crate::schedule::Ticket;
use crate::servicepool::ServicePool;
use crate::servicepool::service_pools;
use crate::servicepool::weights;
use crate::spill::Offer;
use crate::spill::Spill;
use crate::spill::SpillOptions;
use crate::status::UpstreamState;
use crate::status::UpstreamStatus;
use crate::table::Table;
use crate::telemetry::count_preemptions;
use crate::wire::CacheEvents;
use crate::wire::LoadReport;

/// Options of dispatch.
#[derive(Debug, Clone, PartialEq, Builder, Serialize, Deserialize)]
#[builder(default)]
#[serde(default, deny_unknown_fields)]
pub struct DispatchOptions {
    /// Options of the registry of this host's requests.
    pub registry: RegistryOptions,
    /// Options of the owner of upstreams.
    pub owner: OwnerOptions,
    /// Options of spill between data centres.
    pub spill: SpillOptions,
    /// Time between two steps of waiting requests, in milliseconds. Default 50.
    pub tick_ms: u64,
    /// Time between two load reports of an owned upstream, in milliseconds. Default 250.
    pub poll_ms: u64,
    /// Time between two requests for an owned upstream's cache events, in milliseconds.
    /// Default 1000.
    pub cache_poll_ms: u64,
    /// A request for a report that takes longer has failed, in milliseconds. Default 500.
    pub poll_timeout_ms: u64,
}

impl Default for DispatchOptions {
    fn default() -> Self {
        DispatchOptions {
            registry: RegistryOptions::default(),
            owner: OwnerOptions::default(),
            spill: SpillOptions::default(),
            tick_ms: 50,
            poll_ms: 250,
            cache_poll_ms: 1_000,
            poll_timeout_ms: 500,
        }
    }
}

/// Leave to dispatch one attempt of a request.
#[derive(Debug)]
pub struct Grant {
    /// The request.
    pub request: RequestId,
    /// Where to.
    pub upstream: UpstreamId,
    /// Priority to give the engine.
    pub engine_priority: u8,
    /// Fires if the request is to be moved.
    pub relocate: oneshot::Receiver<()>,
}

/// What dispatch knows, to be read at any time.
#[derive(Debug, Clone, Default)]
pub struct DispatchView {
    /// This host's requests that wait for a grant.
    pub waiting: usize,
    /// This host's requests that hold a grant.
    pub granted: usize,
    /// Upstreams of the data centre, with figures for those that this host owns.
    pub upstreams: Vec<UpstreamStatus>,
}

/// Chooses upstreams; clones share their state.
#[derive(Clone)]
pub struct Dispatcher {
    addr: Addr<Dispatch>,
    view: Arc<RwLock<DispatchView>>,
}

impl Dispatcher {
    /// Starts dispatch among `peers`. It must run inside an actix system.
    pub fn start(
        options: DispatchOptions,
        config: ConfigHandle,
        peers: PeersHandle,
        journal: Journal,
        clock: SystemClock,
    ) -> Self {
        let host = peers.identity().host.clone();
        let seed = peers.identity().incarnation.0;
        let view: Arc<RwLock<DispatchView>> = Arc::default();
        let spill = Spill::new(options.spill.clone());
        let dispatch = Dispatch {
            registry: Registry::new(options.registry.clone(), spill, host.clone(), seed),
            owner: Owner::new(options.owner.clone(), host),
            leaving: Leaving::default(),
            poller: Poller::new(Duration::from_millis(options.poll_timeout_ms)),
            polling: BTreeMap::new(),
            cache_next: BTreeMap::new(),
            table: None,
            pools: Vec::new(),
            grants: HashMap::new(),
            relocations: HashMap::new(),
            work: VecDeque::new(),
            settling: Vec::new(),
            offers_sent: 0,
            view: view.clone(),
            options,
            config,
            peers,
            journal,
            clock,
        };
        Dispatcher {
            addr: dispatch.start(),
            view,
        }
    }

    /// Waits for an upstream for `ticket`. Dropping the future withdraws the request.
    ///
    /// # Errors
    ///
    /// The refusal to give the caller; the request did not run under this ticket.
    pub async fn acquire(&self, ticket: Ticket) -> std::result::Result<Grant, Refusal> {
        let request = ticket.request;
        let (reply, answer) = oneshot::channel();
        let mut guard = WithdrawGuard {
            addr: self.addr.clone(),
            request: Some(request),
        };
        self.addr.do_send(Acquire { ticket, reply });
        let outcome = answer.await;
        guard.request = None;
        outcome.unwrap_or_else(|_| {
            let refusal = Refusal::not_run(Code::Stopped, "the host stopped while it waited");
            Err(refusal.for_request(request))
        })
    }

    /// The granted request was dispatched as `attempt`.
    pub fn started(&self, request: RequestId, attempt: AttemptId) {
        let input = RegistryInput::Started { request, attempt };
        self.addr.do_send(Feed(Work::Registry(input)));
    }

    /// The granted request has produced `output_tokens` so far.
    pub fn progress(&self, request: RequestId, output_tokens: u32) {
        let input = RegistryInput::Progress {
            request,
            output_tokens,
        };
        self.addr.do_send(Feed(Work::Registry(input)));
    }

    /// The granted request ended. Telling it twice does nothing more.
    pub fn finished(
        &self,
        request: RequestId,
        output_tokens: u32,
        ending: Ending,
        cached_prompt_tokens: u32,
    ) {
        let input = RegistryInput::Finished {
            request,
            output_tokens,
            ending,
            cached_prompt_tokens,
        };
        self.addr.do_send(Feed(Work::Registry(input)));
    }

    /// An upstream refused a request because it is leaving.
    pub fn upstream_leaving(&self, upstream: &UpstreamId) {
        self.addr.do_send(SawLeaving(upstream.clone()));
    }

    /// Takes the platform's list.
    pub fn listed(&self, list: HostList) {
        self.addr.do_send(Listed(list));
    }

    /// What is known now.
    pub fn view(&self) -> DispatchView {
        let view = self.view.read().unwrap_or_else(PoisonError::into_inner);
        view.clone()
    }
}

/// Withdraws a request whose caller stopped waiting.
struct WithdrawGuard {
    addr: Addr<Dispatch>,
    request: Option<RequestId>,
}

impl Drop for WithdrawGuard {
    fn drop(&mut self) {
        if let Some(request) = self.request {
            self.addr.do_send(Abandon(request));
        }
    }
}

/// Something for one of the two decisions to take in.
enum Work {
    Registry(RegistryInput),
    Owner(OwnerInput),
}

struct Dispatch {
    options: DispatchOptions,
    registry: Registry,
    owner: Owner,
    leaving: Leaving,
    poller: Poller,
    /// Upstreams with a poll on its way.
    polling: BTreeMap<UpstreamId, ()>,
    cache_next: BTreeMap<UpstreamId, u64>,
    table: Option<Arc<Table>>,
    pools: Vec<ServicePool>,
    grants: HashMap<RequestId, oneshot::Sender<std::result::Result<Grant, Refusal>>>,
    relocations: HashMap<RequestId, oneshot::Sender<()>>,
    work: VecDeque<Work>,
    /// Requests whose grants are to be compared a moment later.
    settling: Vec<RequestId>,
    offers_sent: u64,
    view: Arc<RwLock<DispatchView>>,
    config: ConfigHandle,
    peers: PeersHandle,
    journal: Journal,
    clock: SystemClock,
}

impl Dispatch {
    fn host(&self) -> &HostId {
        &self.peers.identity().host
    }

    /// Lets the decisions take in `work` and everything that follows from it on this host.
    fn drive(&mut self, work: Work) {
        self.work.push_back(work);
        while let Some(work) = self.work.pop_front() {
            let now = self.clock.now();
            match work {
                Work::Registry(input) => {
                    for action in self.registry.step(now, input) {
                        self.act(action);
                    }
                }
                Work::Owner(input) => {
                    for action in self.owner.step(now, input) {
                        self.act_as_owner(action);
                    }
                }
            }
        }
    }

    fn act(&mut self, action: RegistryAction) {
        match action {
            RegistryAction::Send {
                to,
                urgency,
                message,
            } => self.send(to, urgency, message),
            RegistryAction::Ping(host) => self.peers.ping(&host),
            RegistryAction::SettleLater(request) => self.settling.push(request),
            RegistryAction::Granted {
                request,
                upstream,
                engine_priority,
                owner,
            } => self.grant(request, upstream, engine_priority, owner),
            RegistryAction::Refused { request, refusal } => {
                if let Some(reply) = self.grants.remove(&request) {
                    self.answer(request, reply, Err(refusal.for_request(request)));
                }
            }
            RegistryAction::Relocate(request) => {
                if let Some(relocate) = self.relocations.remove(&request) {
                    // The request may have ended meanwhile.
                    let _ = relocate.send(());
                }
            }
            RegistryAction::Spilled { request, to } => {
                let names: Vec<&str> = to.iter().map(HostId::as_str).collect();
                self.journal.record(
                    EventCode::RequestSpilled,
                    Subject::request(request).detail(format!("to={}", names.join(","))),
                );
            }
        }
    }

    fn send(&mut self, to: HostId, urgency: Urgency, message: PeerMessage) {
        if to == *self.host() {
            self.work.push_back(match message {
                PeerMessage::Decision(decision) => {
                    Work::Registry(RegistryInput::Decision { from: to, decision })
                }
                message => Work::Owner(OwnerInput::Message { from: to, message }),
            });
            return;
        }
        self.peers.send(&to, urgency, message);
    }

    fn grant(
        &mut self,
        request: RequestId,
        upstream: UpstreamId,
        engine_priority: u8,
        owner: Option<HostId>,
    ) {
        if owner.is_none() {
            let subject = Subject::request(request).upstream(&upstream);
            self.journal.record(EventCode::DecidedAlone, subject);
        }
        let (sender, relocate) = oneshot::channel();
        let grant = Grant {
            request,
            upstream,
            engine_priority,
            relocate,
        };
        let Some(reply) = self.grants.remove(&request) else {
            self.give_back(request);
            return;
        };
        self.relocations.insert(request, sender);
        self.answer(request, reply, Ok(grant));
    }

    fn answer(
        &mut self,
        request: RequestId,
        reply: oneshot::Sender<std::result::Result<Grant, Refusal>>,
        outcome: std::result::Result<Grant, Refusal>,
    ) {
        let granted = outcome.is_ok();
        if reply.send(outcome).is_err() && granted {
            self.give_back(request);
        }
    }

    /// Nobody waits for the grant any more.
    fn give_back(&mut self, request: RequestId) {
        self.relocations.remove(&request);
        self.work.push_back(Work::Registry(RegistryInput::Finished {
            request,
            output_tokens: 0,
            ending: Ending::Cancelled,
            cached_prompt_tokens: 0,
        }));
    }

    fn act_as_owner(&mut self, action: OwnerAction) {
        match action {
            OwnerAction::Decision { to, decision } => {
                self.note_decision(&to, &decision);
                self.send(to, Urgency::Now, PeerMessage::Decision(decision));
            }
            OwnerAction::UpstreamLeft(upstream) => {
                self.note_upstream(EventCode::UpstreamLeaving, &upstream);
                self.leaving.witness(self.clock.now(), &upstream);
                self.publish_leaving();
            }
            OwnerAction::UpstreamLost(upstream) => {
                self.note_upstream(EventCode::UpstreamLost, &upstream);
            }
            OwnerAction::UpstreamBack(upstream) => {
                self.note_upstream(EventCode::UpstreamBack, &upstream);
                self.leaving.clear(&upstream);
                self.publish_leaving();
            }
        }
    }

    /// Records a decision of this owner with the figures it was made from.
    fn note_decision(&self, to: &HostId, decision: &Decision) {
        let subject = match &decision.action {
            Action::Grant {
                request, upstream, ..
            } => {
                let figures = self.figures(upstream);
                let detail = format!("granted to={to} load={:.1} {figures}", decision.load);
                Subject::request(*request).upstream(upstream).detail(detail)
            }
            Action::Refuse { request, refusal } => {
                let detail = format!("refused to={to} {}", refusal.message);
                Subject::request(*request).detail(detail)
            }
            Action::Relocate { request, upstream } => {
                let detail = format!("to be moved, to={to} {}", self.figures(upstream));
                Subject::request(*request).upstream(upstream).detail(detail)
            }
        };
        self.journal.record(EventCode::OwnerDecided, subject);
    }

    fn figures(&self, upstream: &UpstreamId) -> String {
        let waiting = self.owner.waiting();
        let Some(report) = self.owner.report(upstream) else {
            return format!("waiting={waiting}, no report");
        };
        format!(
            "waiting={waiting} running={} engine_queue={} used_tokens={} of {} report_age_ms={}",
            report.running.len(),
            report.waiting,
            report.used_tokens,
            report.memory_tokens,
            report.age_ms
        )
    }

    fn note_upstream(&self, code: EventCode, upstream: &UpstreamId) {
        self.journal
            .record(code, Subject::none().upstream(upstream));
    }

    fn publish_leaving(&mut self) {
        self.peers.announce_leaving(self.leaving.witnessed());
        let leaving = RegistryInput::Leaving(self.leaving.all());
        self.work.push_back(Work::Registry(leaving));
    }

    /// This host saw that an upstream is leaving: its owner must know at once.
    fn witness(&mut self, upstream: UpstreamId) {
        self.leaving.witness(self.clock.now(), &upstream);
        self.tell_owner_leaving(upstream);
        self.publish_leaving();
    }

    fn tell_owner_leaving(&mut self, upstream: UpstreamId) {
        let ownership = self.peers.ownership();
        if let Some(owner) = ownership.upstream_owner(&upstream) {
            let message = PeerMessage::UpstreamLeaving(upstream);
            self.send(owner.clone(), Urgency::Now, message);
        }
    }

    fn hear(&mut self, news: PeerNews) {
        match news {
            PeerNews::Owners(ownership) => {
                self.drive(Work::Owner(OwnerInput::Owners(ownership.clone())));
                self.drive(Work::Registry(RegistryInput::Owners(ownership)));
                for upstream in self.leaving.witnessed() {
                    self.tell_owner_leaving(upstream);
                }
            }
            PeerNews::Alone(alone) => self.drive(Work::Registry(RegistryInput::Alone(alone))),
            PeerNews::Died(host) => {
                self.drive(Work::Registry(RegistryInput::Unreachable(host.clone())));
                self.drive(Work::Owner(OwnerInput::HostGone(host)));
            }
            PeerNews::Unreachable(host) => {
                self.drive(Work::Registry(RegistryInput::Unreachable(host)));
            }
            PeerNews::Reachable(host) => {
                self.drive(Work::Registry(RegistryInput::Reachable(host)));
            }
            PeerNews::UpstreamLeaving(upstream) => {
                self.leaving.hear(self.clock.now(), &upstream);
                let from = self.host().clone();
                let message = PeerMessage::UpstreamLeaving(upstream);
                self.publish_leaving();
                self.drive(Work::Owner(OwnerInput::Message { from, message }));
            }
            PeerNews::Message { from, message } => self.receive(from, *message),
        }
    }

    fn receive(&mut self, from: HostId, message: PeerMessage) {
        match message {
            PeerMessage::Decision(decision) => {
                self.drive(Work::Registry(RegistryInput::Decision { from, decision }));
            }
            PeerMessage::Offer(rooms) => {
                let offer = Offer { host: from, rooms };
                self.drive(Work::Registry(RegistryInput::Offer(offer)));
            }
            message => self.drive(Work::Owner(OwnerInput::Message { from, message })),
        }
    }

    /// Takes in the table in force, if it is another one than before.
    fn configure(&mut self) {
        let table = self.config.table();
        if self
            .table
            .as_ref()
            .is_some_and(|known| Arc::ptr_eq(known, &table))
        {
            return;
        }
        self.table = Some(Arc::clone(&table));
        let pools = service_pools(&table, &self.peers.identity().data_centre);
        let weights = weights(&table);
        let classes = weights.classes.iter();
        let engine_priorities = classes
            .map(|class| (class.class.clone(), class.engine_priority))
            .collect();
        self.pools.clone_from(&pools);
        self.drive(Work::Owner(OwnerInput::Pools {
            pools: pools.clone(),
            weights,
        }));
        self.drive(Work::Registry(RegistryInput::Pools {
            pools,
            engine_priorities,
        }));
        self.refresh_view();
    }

    /// Takes in each table that comes into force from `seen` on.
    fn follow_config(&mut self, seen: Option<Offset>, context: &mut Context<Self>) {
        let config = self.config.clone();
        let next = async move {
            match seen {
                Some(seen) => config.changed(seen).await.next,
                None => config.table().next,
            }
        };
        let took = next.into_actor(self).map(|seen, dispatch, context| {
            dispatch.configure();
            dispatch.poll(context);
            dispatch.follow_config(Some(seen), context);
        });
        context.spawn(took);
    }

    /// Compares grants a moment from now.
    fn schedule_settling(&mut self, context: &mut Context<Self>) {
        if self.settling.is_empty() {
            return;
        }
        let requests = std::mem::take(&mut self.settling);
        let later = Duration::from_millis(self.options.registry.settle_ms);
        context.run_later(later, move |dispatch, _| {
            for request in requests {
                dispatch.drive(Work::Registry(RegistryInput::Settle(request)));
            }
        });
    }

    fn tick(&mut self) {
        self.drive(Work::Owner(OwnerInput::Tick));
        self.drive(Work::Registry(RegistryInput::Tick));
    }

    /// Polls the upstreams that this host owns, and the others too while nobody tells of them.
    fn poll(&mut self, context: &mut Context<Self>) {
        let mut upstreams = self.owner.reporting_upstreams();
        if self.peers.is_alone() {
            let reporting = self.pools.iter().filter(|pool| !pool.plain);
            let all = reporting.flat_map(|pool| &pool.upstreams);
            upstreams.extend(all.cloned());
            upstreams.sort();
            upstreams.dedup();
        }
        for upstream in upstreams {
            if self.polling.insert(upstream.clone(), ()).is_some() {
                continue;
            }
            let poller = self.poller.clone();
            let ask = async move {
                let report = poller.load(&upstream).await;
                (upstream, report)
            };
            let took = ask
                .into_actor(self)
                .map(|(upstream, report), dispatch, context| {
                    dispatch.polled(upstream, report);
                    dispatch.schedule_settling(context);
                });
            context.spawn(took);
        }
    }

    fn polled(&mut self, upstream: UpstreamId, report: Result<Option<LoadReport>>) {
        self.polling.remove(&upstream);
        let report = match report {
            Ok(Some(report)) => report,
            Ok(None) => {
                self.drive(Work::Owner(OwnerInput::NoReport(upstream)));
                return;
            }
            Err(error) => {
                log::debug!("report of {upstream}: {error}");
                self.drive(Work::Owner(OwnerInput::ReportFailed(upstream)));
                return;
            }
        };
        self.count_preemptions(&upstream, &report);
        let memory = report.memory_tokens.max(1) as f64;
        let load = report.used_tokens as f64 / memory + f64::from(report.waiting);
        self.drive(Work::Registry(RegistryInput::Load {
            upstream: upstream.clone(),
            load,
        }));
        self.drive(Work::Owner(OwnerInput::Report { upstream, report }));
    }

    /// Counts what an owned engine preempted between its last two reports.
    fn count_preemptions(&self, upstream: &UpstreamId, report: &LoadReport) {
        let Some(earlier) = self.owner.report(upstream) else {
            return;
        };
        let preemptions = report.preemptions_since(earlier);
        let serving = self.pools.iter();
        for pool in serving.filter(|pool| pool.upstreams.contains(upstream)) {
            count_preemptions(&pool.service, preemptions);
        }
    }

    fn poll_caches(&mut self, context: &mut Context<Self>) {
        let upstreams = self.owner.reporting_upstreams();
        self.cache_next
            .retain(|upstream, _| upstreams.contains(upstream));
        for upstream in upstreams {
            let from = self.cache_next.get(&upstream).copied().unwrap_or(0);
            let poller = self.poller.clone();
            let ask = async move {
                let events = poller.cache_events(&upstream, from).await;
                (upstream, events)
            };
            let took = ask
                .into_actor(self)
                .map(|(upstream, events), dispatch, _| dispatch.cache_polled(upstream, events));
            context.spawn(took);
        }
    }

    fn cache_polled(&mut self, upstream: UpstreamId, events: Result<CacheEvents>) {
        let Ok(events) = events else {
            return;
        };
        self.cache_next
            .insert(upstream.clone(), events.next_sequence);
        if !events.events.is_empty() {
            self.drive(Work::Owner(OwnerInput::Cache {
                upstream,
                events: events.events,
            }));
        }
    }

    /// Offers room to one host of another data centre, a different one each time.
    fn offer_room(&mut self) {
        let addresses = self.peers.remote_addresses();
        if addresses.is_empty() || !self.options.spill.enabled {
            return;
        }
        let rooms = self.owner.rooms();
        let turn = self.offers_sent + self.peers.identity().incarnation.0;
        self.offers_sent += 1;
        let index = usize::try_from(turn % addresses.len() as u64).unwrap_or(0);
        let offer = PeerMessage::Offer(rooms);
        self.peers
            .send_to_address(&addresses[index], Urgency::Soon, offer);
    }

    fn refresh_view(&mut self) {
        if self.leaving.lapse(self.clock.now()) {
            self.publish_leaving();
        }
        let ownership = self.peers.ownership();
        let leaving = self.leaving.all();
        let mut upstreams = Vec::new();
        for pool in &self.pools {
            for upstream in &pool.upstreams {
                let report = self.owner.report(upstream);
                let state = if leaving.contains(upstream) || self.owner.is_leaving(upstream) {
                    UpstreamState::Leaving
                } else if self.owner.is_lost(upstream) {
                    UpstreamState::Lost
                } else {
                    UpstreamState::Ready
                };
                upstreams.push(UpstreamStatus {
                    upstream: upstream.clone(),
                    service: pool.service.clone(),
                    owner: ownership.upstream_owner(upstream).cloned(),
                    state,
                    running: report.map_or(0, running),
                    waiting: report.map_or(0, |report| report.waiting),
                    memory_percent: report.map_or(0.0, memory_percent),
                    preemptions_total: report.map_or(0, |report| report.preemptions_total),
                    report_age_ms: report.map(|report| report.age_ms),
                });
            }
        }
        let view = DispatchView {
            waiting: self.registry.waiting(),
            granted: self.registry.granted(),
            upstreams,
        };
        *self.view.write().unwrap_or_else(PoisonError::into_inner) = view;
    }
}

fn running(report: &LoadReport) -> u32 {
    u32::try_from(report.running.len()).unwrap_or(u32::MAX)
}

fn memory_percent(report: &LoadReport) -> f64 {
    100.0 * report.used_tokens as f64 / report.memory_tokens.max(1) as f64
}

impl Actor for Dispatch {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Self::Context) {
        self.peers.subscribe(context.address().recipient());
        self.follow_config(None, context);
        let tick = Duration::from_millis(self.options.tick_ms);
        context.run_interval(tick, |dispatch, context| {
            dispatch.tick();
            dispatch.schedule_settling(context);
        });
        let poll = Duration::from_millis(self.options.poll_ms);
        context.run_interval(poll, |dispatch, context| {
            dispatch.poll(context);
            dispatch.refresh_view();
        });
        let cache_poll = Duration::from_millis(self.options.cache_poll_ms);
        context.run_interval(cache_poll, |dispatch, context| {
            dispatch.poll_caches(context);
        });
        let offer = Duration::from_millis(self.options.spill.offer_ms);
        context.run_interval(offer, |dispatch, _| dispatch.offer_room());
    }
}

impl Handler<PeerNews> for Dispatch {
    type Result = ();

    fn handle(&mut self, news: PeerNews, context: &mut Self::Context) {
        let owners_changed = matches!(news, PeerNews::Owners(_));
        self.hear(news);
        if owners_changed {
            self.poll(context);
        }
        self.schedule_settling(context);
    }
}

#[derive(actix::Message)]
#[rtype(result = "()")]
struct Acquire {
    ticket: Ticket,
    reply: oneshot::Sender<std::result::Result<Grant, Refusal>>,
}

impl Handler<Acquire> for Dispatch {
    type Result = ();

    fn handle(&mut self, acquire: Acquire, context: &mut Self::Context) {
        self.configure();
        self.grants.insert(acquire.ticket.request, acquire.reply);
        self.drive(Work::Registry(RegistryInput::Submit(acquire.ticket)));
        self.schedule_settling(context);
    }
}

#[derive(actix::Message)]
#[rtype(result = "()")]
struct Feed(Work);

impl Handler<Feed> for Dispatch {
    type Result = ();

    fn handle(&mut self, Feed(work): Feed, context: &mut Self::Context) {
        if let Work::Registry(RegistryInput::Finished { request, .. }) = &work {
            self.relocations.remove(request);
        }
        self.drive(work);
        self.schedule_settling(context);
    }
}

#[derive(actix::Message)]
#[rtype(result = "()")]
struct Abandon(RequestId);

impl Handler<Abandon> for Dispatch {
    type Result = ();

    fn handle(&mut self, Abandon(request): Abandon, _: &mut Self::Context) {
        self.grants.remove(&request);
        self.drive(Work::Registry(RegistryInput::Withdraw(request)));
    }
}

#[derive(actix::Message)]
#[rtype(result = "()")]
struct SawLeaving(UpstreamId);

impl Handler<SawLeaving> for Dispatch {
    type Result = ();

    fn handle(&mut self, SawLeaving(upstream): SawLeaving, _: &mut Self::Context) {
        self.witness(upstream);
        self.tick();
    }
}

#[derive(actix::Message)]
#[rtype(result = "()")]
struct Listed(HostList);

impl Handler<Listed> for Dispatch {
    type Result = ();

    fn handle(&mut self, Listed(list): Listed, _: &mut Self::Context) {
        let now = self.clock.now();
        let data_centre = &self.peers.identity().data_centre;
        let fresh = self.leaving.list(now, &list, data_centre);
        for upstream in fresh {
            self.witness(upstream);
        }
        self.tick();
    }
}
