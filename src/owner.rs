//! The upstreams that this host owns: one scheduler a service, fed by every host's messages.
//!
//! All of it is soft state. A new owner rebuilds it from the engines' reports and from what the
//! hosts register anew; what a lost message leaves behind is cleared by the reports.

mod requests;
mod upstreams;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;

use derive_builder::Builder;
use serde::Deserialize;
use serde::Serialize;

use crate::clock::Time;
use crate::id::AttemptId;
use crate::id::HostId;
use crate::id::RequestId;
use crate::id::ServiceId;
use crate::id::UpstreamId;
use crate::ownership::Ownership;
use crate::peer::Decision;
use crate::peer::PeerMessage;
use crate::schedule::Action;
use crate::schedule::Input;
use crate::schedule::Policy;
use crate::schedule::Ticket;
use crate::schedule::Weights;
use crate::scheduler::Scheduler;
use crate::scheduler::SchedulerOptions;
use crate::servicepool::ServicePool;
use crate::spill::Room;
use crate::wire::CacheEvent;
use crate::wire::LoadReport;

/// Options of an owner.
#[derive(Debug, Clone, PartialEq, Builder, Serialize, Deserialize)]
#[builder(default)]
#[serde(default, deny_unknown_fields)]
pub struct OwnerOptions {
    /// Options of each scheduler.
    pub scheduler: SchedulerOptions,
    /// Reports in a row that must fail before an upstream counts as lost. Default 3.
    pub failed_reports: u32,
    /// Foreign work is taken only above this free share of the memory, in percent. Default 25.
    pub spill_margin_percent: u32,
    /// When a refused foreign request may ask again, in milliseconds. Default 1000.
    pub spill_retry_ms: u64,
}

impl Default for OwnerOptions {
    fn default() -> Self {
        OwnerOptions {
            scheduler: SchedulerOptions::default(),
            failed_reports: 3,
            spill_margin_percent: 25,
            spill_retry_ms: 1_000,
        }
    }
}

/// What happens to an owner.
#[derive(Debug, Clone)]
pub enum OwnerInput {
    /// The services with their upstreams in this data centre, and the weights.
    Pools {
        /// The services.
        pools: Vec<ServicePool>,
        /// The weights.
        weights: Weights,
    },
    /// The hosts that may own something changed.
    Owners(Arc<Ownership>),
    /// A host died: what it had waiting or running here is forgotten.
    HostGone(HostId),
    /// A message of a host, perhaps of this one.
    Message {
        /// The host.
        from: HostId,
        /// Its message; those that don't concern an owner are ignored.
        message: PeerMessage,
    },
    /// An upstream reported.
    Report {
        /// The upstream.
        upstream: UpstreamId,
        /// Its report.
        report: LoadReport,
    },
    /// An upstream answers but offers no reports.
    NoReport(UpstreamId),
    /// An upstream could not be asked for its report.
    ReportFailed(UpstreamId),
    /// An upstream told of its cache.
    Cache {
        /// The upstream.
        upstream: UpstreamId,
        /// The events.
        events: Vec<CacheEvent>,
    },
    /// Time passed.
    Tick,
}

/// What an owner wants done.
#[derive(Debug, Clone, PartialEq)]
pub enum OwnerAction {
    /// Tell a host of a decision.
    Decision {
        /// The host, perhaps this one.
        to: HostId,
        /// The decision.
        decision: Decision,
    },
    /// An upstream began to leave.
    UpstreamLeft(UpstreamId),
    /// An upstream stopped answering.
    UpstreamLost(UpstreamId),
    /// An upstream that was leaving or lost is back.
    UpstreamBack(UpstreamId),
}

/// Where a request came from and where it was placed.
#[derive(Debug)]
struct Origin {
    host: HostId,
    service: ServiceId,
    upstream: Option<UpstreamId>,
}

/// A running request that waits for its upstream's first report.
#[derive(Debug)]
struct Adoption {
    from: HostId,
    ticket: Ticket,
    output_tokens: u32,
    attempt: Option<AttemptId>,
}

/// An upstream that this host owns.
#[derive(Debug, Default)]
struct Owned {
    /// The schedulers know of it. They hear of it with its first report, so that a new owner grants
    /// nothing before it knows what runs there.
    announced: bool,
    adoptions: Vec<Adoption>,
    leaving: bool,
    /// When the word of others lapses; the engine's own report doesn't.
    leaving_until: Option<Time>,
    lost: bool,
    failed_reports: u32,
    incarnation: u64,
    report: Option<LoadReport>,
    requests: BTreeSet<RequestId>,
}

/// The owner of some upstreams.
#[derive(Debug)]
pub struct Owner {
    options: OwnerOptions,
    host: HostId,
    ownership: Arc<Ownership>,
    pools: Vec<ServicePool>,
    weights: Weights,
    schedulers: BTreeMap<ServiceId, Scheduler>,
    owned: BTreeMap<UpstreamId, Owned>,
    origins: HashMap<RequestId, Origin>,
}

impl Owner {
    /// An owner of nothing yet.
    pub fn new(options: OwnerOptions, host: HostId) -> Self {
        Owner {
            options,
            ownership: Arc::new(Ownership::new([host.clone()])),
            host,
            pools: Vec::new(),
            weights: Weights::default(),
            schedulers: BTreeMap::new(),
            owned: BTreeMap::new(),
            origins: HashMap::new(),
        }
    }

    /// The upstreams that this host owns.
    pub fn upstreams(&self) -> impl Iterator<Item = &UpstreamId> {
        self.owned.keys()
    }

    /// The upstreams that this host owns and that offer load reports.
    pub fn reporting_upstreams(&self) -> Vec<UpstreamId> {
        let owned = self.owned.keys();
        owned
            .filter(|upstream| !self.is_plain(upstream))
            .cloned()
            .collect()
    }

    fn is_plain(&self, upstream: &UpstreamId) -> bool {
        let mut serving = self.pools.iter();
        serving.any(|pool| pool.plain && pool.upstreams.contains(upstream))
    }

    fn is_plain_service(&self, service: &ServiceId) -> bool {
        let mut pools = self.pools.iter();
        pools.any(|pool| pool.plain && pool.service == *service)
    }

    /// An owned upstream's last report.
    pub fn report(&self, upstream: &UpstreamId) -> Option<&LoadReport> {
        self.owned.get(upstream)?.report.as_ref()
    }

    /// Whether an owned upstream is leaving.
    pub fn is_leaving(&self, upstream: &UpstreamId) -> bool {
        self.owned.get(upstream).is_some_and(|owned| owned.leaving)
    }

    /// Whether an owned upstream doesn't answer.
    pub fn is_lost(&self, upstream: &UpstreamId) -> bool {
        self.owned.get(upstream).is_some_and(|owned| owned.lost)
    }

    /// Requests of all hosts that wait here.
    pub fn waiting(&self) -> usize {
        self.schedulers.values().map(Scheduler::waiting).sum()
    }

    /// Requests of all hosts that run here or hold a grant.
    pub fn running(&self) -> usize {
        self.schedulers.values().map(Scheduler::running).sum()
    }

    /// Room that other data centres may use: the free share of each service whose queue is empty.
    pub fn rooms(&self) -> Vec<Room> {
        let with_queue = self.schedulers.iter();
        with_queue
            .filter(|(_, scheduler)| scheduler.waiting() == 0)
            .map(|(service, _)| Room {
                service: service.clone(),
                free_percent: self.free_percent(service),
            })
            .filter(|room| room.free_percent >= self.options.spill_margin_percent)
            .collect()
    }

    /// Takes one input at `now` and answers with what to do.
    pub fn step(&mut self, now: Time, input: OwnerInput) -> Vec<OwnerAction> {
        let mut actions = Vec::new();
        match input {
            OwnerInput::Pools { pools, weights } => {
                self.pools = pools;
                self.weights = weights;
                self.settle(now, &mut actions);
            }
            OwnerInput::Owners(ownership) => {
                self.ownership = ownership;
                self.settle(now, &mut actions);
            }
            OwnerInput::HostGone(host) => self.forget_host(now, &host, &mut actions),
            OwnerInput::Message { from, message } => {
                self.message(now, from, message, &mut actions);
            }
            OwnerInput::Report { upstream, report } => {
                self.reported(now, &upstream, report, &mut actions);
            }
            OwnerInput::NoReport(upstream) => self.answered(now, &upstream, &mut actions),
            OwnerInput::ReportFailed(upstream) => {
                self.report_failed(now, &upstream, &mut actions);
            }
            OwnerInput::Cache { upstream, events } => {
                for service in self.services_of(&upstream) {
                    let input = Input::Cache {
                        upstream: upstream.clone(),
                        events: events.clone(),
                    };
                    self.feed(now, &service, input, &mut actions);
                }
            }
            OwnerInput::Tick => self.tick(now, &mut actions),
        }
        actions
    }

    fn services_of(&self, upstream: &UpstreamId) -> Vec<ServiceId> {
        let serving = self.pools.iter();
        serving
            .filter(|pool| pool.upstreams.contains(upstream))
            .map(|pool| pool.service.clone())
            .collect()
    }

    fn feed_all(&mut self, now: Time, input: &Input, actions: &mut Vec<OwnerAction>) {
        let services: Vec<ServiceId> = self.schedulers.keys().cloned().collect();
        for service in services {
            self.feed(now, &service, input.clone(), actions);
        }
    }

    /// Steps one scheduler and passes its decisions on to the hosts they concern.
    fn feed(
        &mut self,
        now: Time,
        service: &ServiceId,
        input: Input,
        actions: &mut Vec<OwnerAction>,
    ) {
        let Some(scheduler) = self.schedulers.get_mut(service) else {
            return;
        };
        for action in scheduler.step(now, input) {
            self.pass_on(action, actions);
        }
    }

    fn pass_on(&mut self, action: Action, actions: &mut Vec<OwnerAction>) {
        let request = match &action {
            Action::Grant { request, .. }
            | Action::Refuse { request, .. }
            | Action::Relocate { request, .. } => *request,
        };
        let Some(origin) = self.origins.get_mut(&request) else {
            return;
        };
        let to = origin.host.clone();
        match &action {
            Action::Grant { upstream, .. } => {
                origin.upstream = Some(upstream.clone());
                if let Some(owned) = self.owned.get_mut(upstream) {
                    owned.requests.insert(request);
                }
            }
            Action::Refuse { .. } => {
                self.origins.remove(&request);
            }
            Action::Relocate { .. } => {}
        }
        let load = match &action {
            Action::Grant { upstream, .. } => self.load(upstream),
            Action::Refuse { .. } | Action::Relocate { .. } => 0.0,
        };
        let decision = Decision { action, load };
        actions.push(OwnerAction::Decision { to, decision });
    }

    /// Requests that an owned upstream holds, for each million tokens of its memory.
    fn load(&self, upstream: &UpstreamId) -> f64 {
        let Some(owned) = self.owned.get(upstream) else {
            return 0.0;
        };
        let reported = owned.report.as_ref();
        let memory_tokens = reported.map_or(0, |report| report.memory_tokens).max(1);
        owned.requests.len() as f64 * 1e6 / memory_tokens as f64
    }
}
