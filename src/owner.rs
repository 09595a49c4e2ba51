//! The upstreams that this host owns: one scheduler a service, fed by every host's messages.
//!
//! All of it is soft state. A new owner rebuilds it from the engines' reports and from what the
//! hosts register anew; what a lost message leaves behind is cleared by the reports.

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
use crate::leaving::MARK_LASTS;
use crate::ownership::Ownership;
use crate::peer::Decision;
use crate::peer::PeerMessage;
use crate::refusal::Code;
use crate::refusal::Refusal;
use crate::schedule::Action;
use crate::schedule::Ending;
use crate::schedule::Input;
use crate::schedule::Policy;
use crate::schedule::Ticket;
use crate::schedule::UpstreamSpec;
use crate::schedule::Weights;
use crate::scheduler::Scheduler;
use crate::scheduler::SchedulerOptions;
use crate::servicepool::ServicePool;
use crate::spill::Room;
use crate::wire::CacheEvent;
use crate::wire::LoadReport;

/// Calls that an upstream of a plain service is given at once at most. A call counts as one token of
/// a memory of this size, so that calls spread evenly.
const PLAIN_CALLS_MAX: u64 = 1_024;

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

    /// Brings schedulers and owned upstreams in line with the table and the owners.
    fn settle(&mut self, now: Time, actions: &mut Vec<OwnerAction>) {
        for pool in self.pools.clone() {
            if !self.schedulers.contains_key(&pool.service) {
                let scheduler = Scheduler::new(self.scheduler_options(&pool));
                self.schedulers.insert(pool.service.clone(), scheduler);
            }
            let weights = Input::Weights(self.weights.clone());
            self.feed(now, &pool.service, weights, actions);
        }
        let wanted = self.wanted();
        let gone: Vec<UpstreamId> = self
            .owned
            .keys()
            .filter(|upstream| !wanted.contains(*upstream))
            .cloned()
            .collect();
        for upstream in gone {
            self.owned.remove(&upstream);
            self.feed_all(now, &Input::UpstreamRemoved(upstream), actions);
        }
        for upstream in wanted {
            let owned = self.owned.entry(upstream.clone()).or_default();
            let announced = owned.announced;
            if announced || self.is_plain(&upstream) {
                self.announce(now, &upstream, actions);
            }
        }
    }

    fn scheduler_options(&self, pool: &ServicePool) -> SchedulerOptions {
        SchedulerOptions {
            ejected_percent_max: pool.ejected_percent_max,
            ..self.options.scheduler.clone()
        }
    }

    fn wanted(&self) -> BTreeSet<UpstreamId> {
        let all = self.pools.iter().flat_map(|pool| &pool.upstreams);
        all.filter(|upstream| self.ownership.upstream_owner(upstream) == Some(&self.host))
            .cloned()
            .collect()
    }

    /// Tells the schedulers of an upstream that may be used. What its report calls used is held
    /// back until the schedulers have taken in the report itself.
    fn announce(&mut self, now: Time, upstream: &UpstreamId, actions: &mut Vec<OwnerAction>) {
        let Some(owned) = self.owned.get_mut(upstream) else {
            return;
        };
        if owned.lost || owned.leaving {
            return;
        }
        let memory_tokens = owned.report.as_ref().map_or(0, |report| {
            let used_tokens = match owned.announced {
                true => 0,
                false => report.used_tokens,
            };
            report.memory_tokens.saturating_sub(used_tokens).max(1)
        });
        owned.announced = true;
        for pool in self.pools.clone() {
            if !pool.upstreams.contains(upstream) {
                continue;
            }
            let spec = UpstreamSpec {
                upstream: upstream.clone(),
                memory_tokens: match pool.plain {
                    true => PLAIN_CALLS_MAX,
                    false => memory_tokens,
                },
                high_water_percent: pool.high_water_percent,
            };
            self.feed(now, &pool.service, Input::Upstream(spec), actions);
        }
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

    fn message(
        &mut self,
        now: Time,
        from: HostId,
        message: PeerMessage,
        actions: &mut Vec<OwnerAction>,
    ) {
        match message {
            PeerMessage::Submit(ticket) => self.submit(now, from, ticket, actions),
            PeerMessage::Spill(ticket) => self.submit_foreign(now, from, ticket, actions),
            PeerMessage::Withdraw(request) => {
                self.end(now, request, Input::Withdraw(request), actions);
            }
            PeerMessage::Started { request, attempt } => {
                let input = Input::Started { request, attempt };
                self.relay(now, request, input, actions);
            }
            PeerMessage::Progress {
                request,
                output_tokens,
            } => {
                let input = Input::Progress {
                    request,
                    output_tokens,
                };
                self.relay(now, request, input, actions);
            }
            PeerMessage::Finished {
                request,
                output_tokens,
                ending,
                cached_prompt_tokens,
            } => {
                let input = Input::Finished {
                    request,
                    output_tokens,
                    ending,
                    cached_prompt_tokens,
                };
                self.end(now, request, input, actions);
            }
            PeerMessage::Adopt {
                ticket,
                upstream,
                output_tokens,
                attempt,
            } => {
                let adoption = Adoption {
                    from,
                    ticket,
                    output_tokens,
                    attempt,
                };
                self.adopt(now, upstream, adoption, actions);
            }
            PeerMessage::UpstreamLeaving(upstream) => {
                self.leave(now, &upstream, Some(now + MARK_LASTS), actions);
            }
            PeerMessage::Heartbeat { .. }
            | PeerMessage::Decision(_)
            | PeerMessage::Offer(_)
            | PeerMessage::Demand(_)
            | PeerMessage::Allowance(_) => {}
        }
    }

    fn submit(&mut self, now: Time, from: HostId, ticket: Ticket, actions: &mut Vec<OwnerAction>) {
        if !self.schedulers.contains_key(&ticket.service) {
            let refusal = Refusal::not_run(Code::UnknownService, "the owner knows no such service");
            actions.push(refused(from, ticket.request, refusal));
            return;
        }
        let known = self.origins.get(&ticket.request);
        if known.is_some_and(|origin| origin.host == from && origin.upstream.is_none()) {
            return;
        }
        if self.is_hopeless(&ticket.service) {
            let refusal = self.no_upstream();
            actions.push(refused(from, ticket.request, refusal));
            return;
        }
        let origin = Origin {
            host: from,
            service: ticket.service.clone(),
            upstream: None,
        };
        let service = ticket.service.clone();
        self.origins.insert(ticket.request, origin);
        let ticket = self.sized(ticket);
        self.feed(now, &service, Input::Submit(ticket), actions);
    }

    /// The ticket with the size that its scheduler counts.
    fn sized(&self, ticket: Ticket) -> Ticket {
        if !self.is_plain_service(&ticket.service) {
            return ticket;
        }
        Ticket {
            prompt_tokens: 1,
            max_output_tokens: 0,
            ..ticket
        }
    }

    /// Whether this host owns upstreams of a service and none of them can take work. Without any
    /// of its own it doesn't know: ownership may just be moving.
    fn is_hopeless(&self, service: &ServiceId) -> bool {
        let mut owned = self.owned_of(service).peekable();
        owned.peek().is_some() && owned.all(|owned| owned.lost || owned.leaving)
    }

    fn owned_of(&self, service: &ServiceId) -> impl Iterator<Item = &Owned> {
        let pool = self.pools.iter().find(|pool| pool.service == *service);
        let upstreams = pool.map_or(&[][..], |pool| &pool.upstreams);
        upstreams
            .iter()
            .filter_map(|upstream| self.owned.get(upstream))
    }

    fn no_upstream(&self) -> Refusal {
        Refusal::not_run(Code::NoUpstream, "no upstream of the service answers")
            .retry_after_ms(self.options.spill_retry_ms)
    }

    /// Refuses what waits for upstreams of which none is left, so that it can go elsewhere.
    fn refuse_hopeless(
        &mut self,
        now: Time,
        upstream: &UpstreamId,
        actions: &mut Vec<OwnerAction>,
    ) {
        for service in self.services_of(upstream) {
            if !self.is_hopeless(&service) {
                continue;
            }
            let waiting = self
                .origins
                .iter()
                .filter(|(_, origin)| origin.service == service && origin.upstream.is_none());
            let waiting: Vec<RequestId> = waiting.map(|(request, _)| *request).collect();
            for request in waiting {
                let Some(origin) = self.origins.get(&request) else {
                    continue;
                };
                let to = origin.host.clone();
                let refusal = self.no_upstream();
                actions.push(refused(to, request, refusal));
                self.end(now, request, Input::Withdraw(request), actions);
            }
        }
    }

    /// Takes work of another data centre only while there is room that nobody here waits for.
    fn submit_foreign(
        &mut self,
        now: Time,
        from: HostId,
        ticket: Ticket,
        actions: &mut Vec<OwnerAction>,
    ) {
        let room = self
            .rooms()
            .iter()
            .any(|room| room.service == ticket.service);
        if room {
            self.submit(now, from, ticket, actions);
            return;
        }
        let refusal = Refusal::not_run(Code::Overloaded, "no data centre has room")
            .retry_after_ms(self.options.spill_retry_ms);
        actions.push(refused(from, ticket.request, refusal));
    }

    fn free_percent(&self, service: &ServiceId) -> u32 {
        let owned = self.owned_of(service);
        let usable = owned.filter(|owned| !owned.leaving && !owned.lost);
        let (mut memory, mut used) = (0, 0);
        for report in usable.filter_map(|owned| owned.report.as_ref()) {
            memory += report.memory_tokens;
            used += report.used_tokens.min(report.memory_tokens);
        }
        let free = (memory - used) * 100;
        free.checked_div(memory)
            .and_then(|percent| u32::try_from(percent).ok())
            .unwrap_or(0)
    }

    fn relay(
        &mut self,
        now: Time,
        request: RequestId,
        input: Input,
        actions: &mut Vec<OwnerAction>,
    ) {
        if let Some(origin) = self.origins.get(&request) {
            let service = origin.service.clone();
            self.feed(now, &service, input, actions);
        }
    }

    /// The request is over here: `input` tells its scheduler how.
    fn end(&mut self, now: Time, request: RequestId, input: Input, actions: &mut Vec<OwnerAction>) {
        let Some(origin) = self.origins.remove(&request) else {
            return;
        };
        let upstream = origin.upstream.and_then(|id| self.owned.get_mut(&id));
        if let Some(owned) = upstream {
            owned.requests.remove(&request);
        }
        self.feed(now, &origin.service, input, actions);
    }

    fn adopt(
        &mut self,
        now: Time,
        upstream: UpstreamId,
        adoption: Adoption,
        actions: &mut Vec<OwnerAction>,
    ) {
        let Some(owned) = self.owned.get_mut(&upstream) else {
            return;
        };
        if !owned.announced {
            owned.adoptions.push(adoption);
            return;
        }
        let request = adoption.ticket.request;
        let service = adoption.ticket.service.clone();
        owned.requests.insert(request);
        let origin = Origin {
            host: adoption.from,
            service: service.clone(),
            upstream: Some(upstream.clone()),
        };
        self.origins.insert(request, origin);
        let adopt = Input::Adopt {
            ticket: self.sized(adoption.ticket),
            upstream,
            output_tokens: adoption.output_tokens,
        };
        self.feed(now, &service, adopt, actions);
        if let Some(attempt) = adoption.attempt {
            let started = Input::Started { request, attempt };
            self.feed(now, &service, started, actions);
        }
    }

    fn forget_host(&mut self, now: Time, host: &HostId, actions: &mut Vec<OwnerAction>) {
        let theirs = self
            .origins
            .iter()
            .filter(|(_, origin)| origin.host == *host);
        let theirs: Vec<RequestId> = theirs.map(|(request, _)| *request).collect();
        for request in theirs {
            self.drop_request(now, request, actions);
        }
    }

    /// Forgets a request whatever its state: a withdrawal frees a waiting one, an end a running one.
    fn drop_request(&mut self, now: Time, request: RequestId, actions: &mut Vec<OwnerAction>) {
        self.relay(now, request, Input::Withdraw(request), actions);
        let end = Input::Finished {
            request,
            output_tokens: 0,
            ending: Ending::Cancelled,
            cached_prompt_tokens: 0,
        };
        self.end(now, request, end, actions);
    }

    /// No new work for an upstream, for good or until a time.
    fn leave(
        &mut self,
        now: Time,
        upstream: &UpstreamId,
        until: Option<Time>,
        actions: &mut Vec<OwnerAction>,
    ) {
        let Some(owned) = self.owned.get_mut(upstream) else {
            return;
        };
        if !owned.leaving || owned.leaving_until.is_some() {
            owned.leaving_until = until;
        }
        if std::mem::replace(&mut owned.leaving, true) {
            return;
        }
        actions.push(OwnerAction::UpstreamLeft(upstream.clone()));
        for service in self.services_of(upstream) {
            let input = Input::UpstreamLeaving(upstream.clone());
            self.feed(now, &service, input, actions);
        }
        self.refuse_hopeless(now, upstream, actions);
    }

    fn reported(
        &mut self,
        now: Time,
        upstream: &UpstreamId,
        report: LoadReport,
        actions: &mut Vec<OwnerAction>,
    ) {
        let Some(owned) = self.owned.get_mut(upstream) else {
            return;
        };
        owned.failed_reports = 0;
        let restarted = report.incarnation > owned.incarnation;
        owned.incarnation = report.incarnation;
        let back = owned.lost || owned.leaving && restarted && !report.leaving;
        owned.report = Some(report.clone());
        let fresh = !owned.announced;
        if back {
            self.come_back(now, upstream, actions);
        } else if fresh {
            self.announce(now, upstream, actions);
        }
        if report.leaving {
            self.leave(now, upstream, None, actions);
        }
        for service in self.services_of(upstream) {
            let input = Input::Report {
                upstream: upstream.clone(),
                report: report.clone(),
            };
            self.feed(now, &service, input, actions);
        }
        self.adopt_buffered(now, upstream, actions);
        self.sweep(upstream);
    }

    /// An upstream without reports is alive; its schedulers assume its memory.
    fn answered(&mut self, now: Time, upstream: &UpstreamId, actions: &mut Vec<OwnerAction>) {
        let Some(owned) = self.owned.get_mut(upstream) else {
            return;
        };
        owned.failed_reports = 0;
        if owned.lost {
            self.come_back(now, upstream, actions);
        } else if !owned.announced {
            self.announce(now, upstream, actions);
        }
        self.adopt_buffered(now, upstream, actions);
        self.sweep(upstream);
    }

    fn adopt_buffered(&mut self, now: Time, upstream: &UpstreamId, actions: &mut Vec<OwnerAction>) {
        let Some(owned) = self.owned.get_mut(upstream) else {
            return;
        };
        for adoption in std::mem::take(&mut owned.adoptions) {
            self.adopt(now, upstream.clone(), adoption, actions);
        }
    }

    /// Forgets requests whose grant lapsed or whose end was lost: their scheduler has given them up.
    fn sweep(&mut self, upstream: &UpstreamId) {
        let Some(owned) = self.owned.get_mut(upstream) else {
            return;
        };
        let (origins, schedulers) = (&mut self.origins, &self.schedulers);
        owned.requests.retain(|request| {
            let Some(origin) = origins.get(request) else {
                return false;
            };
            let here = origin.upstream.as_ref() == Some(upstream);
            let scheduler = schedulers.get(&origin.service);
            let held = here && scheduler.is_some_and(|scheduler| scheduler.holds(*request));
            if here && !held {
                origins.remove(request);
            }
            held
        });
    }

    fn come_back(&mut self, now: Time, upstream: &UpstreamId, actions: &mut Vec<OwnerAction>) {
        let Some(owned) = self.owned.get_mut(upstream) else {
            return;
        };
        owned.lost = false;
        owned.leaving = false;
        owned.leaving_until = None;
        actions.push(OwnerAction::UpstreamBack(upstream.clone()));
        self.feed_all(now, &Input::UpstreamRemoved(upstream.clone()), actions);
        self.announce(now, upstream, actions);
    }

    fn tick(&mut self, now: Time, actions: &mut Vec<OwnerAction>) {
        let lapsed = self.owned.iter().filter(|(_, owned)| {
            let until = owned.leaving_until;
            owned.leaving && until.is_some_and(|until| until <= now)
        });
        let lapsed: Vec<UpstreamId> = lapsed.map(|(upstream, _)| upstream.clone()).collect();
        for upstream in lapsed {
            self.come_back(now, &upstream, actions);
        }
        self.feed_all(now, &Input::Tick, actions);
    }

    fn report_failed(&mut self, now: Time, upstream: &UpstreamId, actions: &mut Vec<OwnerAction>) {
        let Some(owned) = self.owned.get_mut(upstream) else {
            return;
        };
        owned.failed_reports += 1;
        if owned.lost || owned.failed_reports < self.options.failed_reports {
            return;
        }
        owned.lost = true;
        actions.push(OwnerAction::UpstreamLost(upstream.clone()));
        self.feed_all(now, &Input::UpstreamRemoved(upstream.clone()), actions);
        self.refuse_hopeless(now, upstream, actions);
    }
}

fn refused(to: HostId, request: RequestId, refusal: Refusal) -> OwnerAction {
    let action = Action::Refuse { request, refusal };
    let decision = Decision { action, load: 0.0 };
    OwnerAction::Decision { to, decision }
}
