//! Decides which waiting request goes to which upstream, and when.
//!
//! One scheduler serves one service over a set of upstreams. It is pure: every input carries its
//! time, and the answers are actions for the caller of [`Scheduler::step`] to carry out.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;

use derive_builder::Builder;
use serde::Deserialize;
use serde::Serialize;

use crate::clock::Time;
use crate::fairqueue::FairQueue;
use crate::fairqueue::Waiting;
use crate::id::AttemptId;
use crate::id::ClassId;
use crate::id::CustomerId;
use crate::id::RequestId;
use crate::id::UpstreamId;
use crate::refusal::Code;
use crate::refusal::Refusal;
use crate::schedule::Action;
use crate::schedule::Ending;
use crate::schedule::Input;
use crate::schedule::Policy;
use crate::schedule::Ticket;
use crate::schedule::UpstreamSpec;
use crate::wire::LoadReport;

/// Options of a [`Scheduler`].
#[derive(Debug, Clone, PartialEq, Builder, Serialize, Deserialize)]
#[builder(default)]
#[serde(default, deny_unknown_fields)]
pub struct SchedulerOptions {
    /// A grant that is not started within this time is void, in milliseconds. Default 1,000.
    pub grant_valid_ms: u64,
    /// Output length assumed before any generation has finished, in tokens. Default 512.
    pub prior_output_tokens: u32,
    /// Memory of an upstream that has not told its own, in tokens. Default 32,768.
    pub prior_memory_tokens: u64,
    /// One grant in this many goes to the request that has waited longest. Default 20.
    pub ageing_grants: u32,
    /// Longest time between two ticks while anything waits or runs, in milliseconds. Default 100.
    pub tick_ms: u64,
}

impl Default for SchedulerOptions {
    fn default() -> Self {
        SchedulerOptions {
            grant_valid_ms: 1_000,
            prior_output_tokens: 512,
            prior_memory_tokens: 32_768,
            ageing_grants: 20,
            tick_ms: 100,
        }
    }
}

/// A granted request.
#[derive(Debug)]
struct Running {
    upstream: UpstreamId,
    customer: CustomerId,
    class: ClassId,
    repeatable: bool,
    prompt_tokens: u32,
    output_tokens: u32,
    expires: Option<Time>,
    attempt: Option<AttemptId>,
    charged_tokens: i64,
}

/// An upstream as the scheduler sees it.
#[derive(Debug)]
struct Upstream {
    spec: UpstreamSpec,
    leaving: bool,
    running: BTreeSet<RequestId>,
    foreign_tokens: u64,
}

/// The scheduler of one service over a set of upstreams.
#[derive(Debug)]
pub struct Scheduler {
    options: SchedulerOptions,
    queue: FairQueue,
    deadlines: BTreeSet<(Time, RequestId)>,
    upstreams: BTreeMap<UpstreamId, Upstream>,
    running: HashMap<RequestId, Running>,
    expiries: BTreeSet<(Time, RequestId)>,
    grants: u32,
}

impl Scheduler {
    /// A scheduler without upstreams.
    pub fn new(options: SchedulerOptions) -> Self {
        Scheduler {
            options,
            queue: FairQueue::default(),
            deadlines: BTreeSet::new(),
            upstreams: BTreeMap::new(),
            running: HashMap::new(),
            expiries: BTreeSet::new(),
            grants: 0,
        }
    }

    /// Number of requests that wait for a grant.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Number of requests that hold a grant or run.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    fn take(&mut self, now: Time, input: Input) -> Vec<Action> {
        match input {
            Input::Weights(weights) => self.queue.set_weights(&weights),
            Input::Upstream(spec) => self.join(spec),
            Input::UpstreamLeaving(upstream) => return self.leave(&upstream),
            Input::UpstreamRemoved(upstream) => self.forget(&upstream),
            Input::Report { upstream, report } => return self.report(&upstream, &report),
            Input::Cache { .. } | Input::Tick => {}
            Input::Submit(ticket) => self.submit(now, ticket),
            Input::Withdraw(request) => self.withdraw(request),
            Input::Started { request, attempt } => self.started(request, attempt),
            Input::Progress {
                request,
                output_tokens,
            } => self.progress(request, output_tokens),
            Input::Finished {
                request,
                output_tokens,
                ending,
                ..
            } => self.finished(request, output_tokens, ending),
            Input::Adopt {
                ticket,
                upstream,
                output_tokens,
            } => self.adopt(&ticket, upstream, output_tokens),
        }
        Vec::new()
    }

    fn join(&mut self, spec: UpstreamSpec) {
        match self.upstreams.get_mut(&spec.upstream) {
            Some(known) => {
                let memory_tokens = spec.memory_tokens.max(known.spec.memory_tokens);
                known.spec = spec;
                known.spec.memory_tokens = memory_tokens;
            }
            None => {
                let upstream = Upstream {
                    leaving: false,
                    running: BTreeSet::new(),
                    foreign_tokens: 0,
                    spec: spec.clone(),
                };
                self.upstreams.insert(spec.upstream, upstream);
            }
        }
    }

    fn leave(&mut self, id: &UpstreamId) -> Vec<Action> {
        let Some(upstream) = self.upstreams.get_mut(id) else {
            return Vec::new();
        };
        upstream.leaving = true;
        let movable = |request: &&RequestId| {
            self.running
                .get(*request)
                .is_some_and(|running| running.repeatable && running.output_tokens == 0)
        };
        upstream
            .running
            .iter()
            .filter(movable)
            .map(|request| Action::Relocate {
                request: *request,
                upstream: id.clone(),
            })
            .collect()
    }

    fn forget(&mut self, id: &UpstreamId) {
        let Some(upstream) = self.upstreams.remove(id) else {
            return;
        };
        for request in upstream.running {
            self.release(request);
        }
    }

    fn report(&mut self, id: &UpstreamId, report: &LoadReport) -> Vec<Action> {
        let Some(upstream) = self.upstreams.get_mut(id) else {
            return Vec::new();
        };
        upstream.spec.memory_tokens = report.memory_tokens;
        let own: BTreeSet<AttemptId> = upstream
            .running
            .iter()
            .filter_map(|request| self.running.get(request)?.attempt)
            .collect();
        upstream.foreign_tokens = report
            .running
            .iter()
            .filter(|running| !own.contains(&running.attempt))
            .map(|running| u64::from(running.prompt_tokens) + u64::from(running.output_tokens))
            .sum();
        if report.leaving && !upstream.leaving {
            return self.leave(id);
        }
        Vec::new()
    }

    fn submit(&mut self, now: Time, ticket: Ticket) {
        let request = ticket.request;
        if self.running.contains_key(&request) {
            self.release(request);
        }
        let limit_ms = self
            .queue
            .max_wait_ms(&ticket.class)
            .map_or(ticket.wait_limit_ms, |ms| ms.min(ticket.wait_limit_ms));
        let deadline = now + Duration::from_millis(limit_ms);
        self.deadlines.insert((deadline, request));
        self.queue.push(Waiting {
            ticket,
            since: now,
            deadline,
        });
    }

    fn withdraw(&mut self, request: RequestId) {
        if let Some(waiting) = self.queue.remove(request) {
            self.deadlines.remove(&(waiting.deadline, request));
        }
        let unused = self
            .running
            .get(&request)
            .is_some_and(|running| running.attempt.is_none());
        if unused {
            self.release(request);
        }
    }

    fn started(&mut self, request: RequestId, attempt: AttemptId) {
        let Some(running) = self.running.get_mut(&request) else {
            return;
        };
        running.attempt = Some(attempt);
        if let Some(expires) = running.expires.take() {
            self.expiries.remove(&(expires, request));
        }
    }

    fn progress(&mut self, request: RequestId, output_tokens: u32) {
        let Some(running) = self.running.get_mut(&request) else {
            return;
        };
        let grown = output_tokens.saturating_sub(running.output_tokens);
        running.output_tokens += grown;
        running.charged_tokens += i64::from(grown);
        self.queue
            .charge(&running.class, &running.customer, i64::from(grown));
    }

    fn finished(&mut self, request: RequestId, output_tokens: u32, _ending: Ending) {
        self.progress(request, output_tokens);
        self.release(request);
    }

    fn adopt(&mut self, ticket: &Ticket, upstream: UpstreamId, output_tokens: u32) {
        self.withdraw(ticket.request);
        if self.running.contains_key(&ticket.request) {
            self.progress(ticket.request, output_tokens);
            return;
        }
        self.run(ticket, upstream, output_tokens, None);
    }

    fn run(&mut self, ticket: &Ticket, id: UpstreamId, output_tokens: u32, expires: Option<Time>) {
        let Some(upstream) = self.upstreams.get_mut(&id) else {
            return;
        };
        upstream.running.insert(ticket.request);
        if let Some(expires) = expires {
            self.expiries.insert((expires, ticket.request));
        }
        let running = Running {
            upstream: id,
            customer: ticket.customer.clone(),
            class: ticket.class.clone(),
            repeatable: ticket.repeatable,
            prompt_tokens: ticket.prompt_tokens,
            output_tokens,
            expires,
            attempt: None,
            charged_tokens: i64::from(ticket.prompt_tokens),
        };
        self.queue.start(&running.class, &running.customer);
        self.queue
            .charge(&running.class, &running.customer, running.charged_tokens);
        self.running.insert(ticket.request, running);
    }

    fn release(&mut self, request: RequestId) {
        let Some(running) = self.running.remove(&request) else {
            return;
        };
        if let Some(expires) = running.expires {
            self.expiries.remove(&(expires, request));
        }
        if let Some(upstream) = self.upstreams.get_mut(&running.upstream) {
            upstream.running.remove(&request);
        }
        self.queue.end(&running.class, &running.customer);
    }

    fn expire_grants(&mut self, now: Time) {
        while let Some((expires, request)) = self.expiries.first().copied() {
            if expires > now {
                return;
            }
            self.release(request);
        }
    }

    fn refuse_late(&mut self, now: Time) -> Vec<Action> {
        let mut actions = Vec::new();
        while let Some((deadline, request)) = self.deadlines.first().copied() {
            if deadline > now {
                break;
            }
            self.deadlines.remove(&(deadline, request));
            self.queue.remove(request);
            let refusal = Refusal::not_run(Code::Overloaded, "no upstream had room in time")
                .retry_after_ms(self.options.grant_valid_ms)
                .for_request(request);
            actions.push(Action::Refuse { request, refusal });
        }
        actions
    }

    fn grant(&mut self, now: Time) -> Vec<Action> {
        let mut actions = Vec::new();
        while let Some(waiting) = self.next_waiting() {
            let Some(upstream) = self.place(&waiting.ticket) else {
                break;
            };
            let request = waiting.ticket.request;
            let Some(waiting) = self.queue.remove(request) else {
                break;
            };
            self.deadlines.remove(&(waiting.deadline, request));
            self.grants = self.grants.wrapping_add(1);
            let valid_ms = self.options.grant_valid_ms;
            let expires = now + Duration::from_millis(valid_ms);
            self.run(&waiting.ticket, upstream.clone(), 0, Some(expires));
            actions.push(Action::Grant {
                request,
                upstream,
                engine_priority: self.queue.engine_priority(&waiting.ticket.class),
                valid_ms,
            });
        }
        actions
    }

    fn next_waiting(&self) -> Option<&Waiting> {
        let ageing = self.options.ageing_grants.max(1);
        if self.grants % ageing == ageing - 1 {
            return self.queue.oldest();
        }
        self.queue.peek()
    }

    fn place(&self, ticket: &Ticket) -> Option<UpstreamId> {
        let need = self.predicted_tokens(ticket.prompt_tokens, 0);
        self.upstreams
            .iter()
            .filter(|(id, upstream)| !upstream.leaving && !ticket.avoid.contains(id))
            .map(|(id, upstream)| (self.headroom_tokens(upstream), id))
            .filter(|(headroom, _)| *headroom >= need)
            .max_by_key(|(headroom, _)| *headroom)
            .map(|(_, id)| id.clone())
    }

    fn headroom_tokens(&self, upstream: &Upstream) -> u64 {
        let memory_tokens = match upstream.spec.memory_tokens {
            0 => self.options.prior_memory_tokens,
            known => known,
        };
        let bound = memory_tokens * u64::from(upstream.spec.high_water_percent) / 100;
        let predicted: u64 = upstream
            .running
            .iter()
            .filter_map(|request| self.running.get(request))
            .map(|running| self.predicted_tokens(running.prompt_tokens, running.output_tokens))
            .sum();
        bound.saturating_sub(predicted + upstream.foreign_tokens)
    }

    fn predicted_tokens(&self, prompt_tokens: u32, output_tokens: u32) -> u64 {
        let output = output_tokens.max(self.options.prior_output_tokens);
        u64::from(prompt_tokens) + u64::from(output)
    }
}

impl Policy for Scheduler {
    fn step(&mut self, now: Time, input: Input) -> Vec<Action> {
        let mut actions = self.take(now, input);
        self.expire_grants(now);
        actions.extend(self.refuse_late(now));
        actions.extend(self.grant(now));
        actions
    }

    fn next_tick(&self, now: Time) -> Option<Time> {
        let idle = self.queue.len() == 0 && self.running.is_empty();
        let regular = (!idle).then(|| now + Duration::from_millis(self.options.tick_ms));
        let expiry = self.expiries.first().map(|(time, _)| *time);
        let deadline = self.deadlines.first().map(|(time, _)| *time);
        [regular, expiry, deadline].into_iter().flatten().min()
    }
}

#[cfg(test)]
mod tests;
