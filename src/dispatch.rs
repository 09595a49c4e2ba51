//! Chooses the upstream of a request and hears how the request goes there.
//!
//! An actor owns the host's [`Registry`] (its own requests) and its [`Owner`] (the upstreams it
//! owns for everybody) and does their I/O: messages to peers, reports of upstreams, grants to the
//! request path.

mod messages;
mod news;
mod owning;
mod polls;
mod requests;
mod tables;
mod view;

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::PoisonError;
use std::sync::RwLock;
use std::time::Duration;

use actix::Actor;
use actix::Addr;
use actix::AsyncContext;
use actix::Context;
use derive_builder::Builder;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::oneshot;

use crate::clock::SystemClock;
use crate::config::ConfigHandle;
use crate::dispatch::messages::Abandon;
use crate::dispatch::messages::Acquire;
use crate::dispatch::messages::Feed;
use crate::dispatch::messages::Listed;
use crate::dispatch::messages::SawLeaving;
use crate::id::AttemptId;
use crate::id::HostId;
use crate::id::RequestId;
use crate::id::UpstreamId;
use crate::journal::Journal;
use crate::leaving::Leaving;
use crate::link::Urgency;
use crate::owner::Owner;
use crate::owner::OwnerInput;
use crate::owner::OwnerOptions;
use crate::peer::PeerMessage;
use crate::peers::PeersHandle;
use crate::platform::HostList;
use crate::poller::Poller;
use crate::refusal::Code;
use crate::refusal::Refusal;
use crate::registry::Registry;
use crate::registry::RegistryInput;
use crate::registry::RegistryOptions;
use crate::schedule::Ending;
use crate::schedule::Ticket;
use crate::servicepool::ServicePool;
use crate::spill::Spill;
use crate::spill::SpillOptions;
use crate::status::UpstreamStatus;
use crate::table::Table;

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
