//! Decides which waiting request goes to which upstream, and when.
//!
//! One scheduler serves one service over a set of upstreams. It is pure: every input carries its
//! time, and the answers are actions for the caller of [`Scheduler::step`] to carry out.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;

use derive_builder::Builder;
use serde::Deserialize;
use serde::Serialize;

use crate::admission::Trajectory;
use crate::clock::Time;
use crate::ejection::EjectionOptions;
use crate::estimator::Estimator;
use crate::fairqueue::FairQueue;
use crate::fairqueue::Waiting;
use crate::id::RequestId;
use crate::id::UpstreamId;
use crate::ledger::Ledger;
use crate::placement::Caution;
use crate::placement::Choice;
use crate::placement::Placement;
use crate::placement::Slot;
use crate::refusal::Code;
use crate::refusal::Refusal;
use crate::relief;
use crate::relief::Movable;
use crate::schedule::Action;
use crate::schedule::Ending;
use crate::schedule::Input;
use crate::schedule::Policy;
use crate::schedule::Ticket;

mod lifecycle;
mod refusals;
mod reports;

/// Options of a [`Scheduler`].
#[derive(Debug, Clone, PartialEq, Builder, Serialize, Deserialize)]
#[builder(default)]
#[serde(default, deny_unknown_fields)]
pub struct SchedulerOptions {
    /// A grant that is not started within this time is void, in milliseconds. Default 1,000.
    pub grant_valid_ms: u64,
    /// Median output assumed before any generation has ended, in tokens. Default 512.
    pub prior_output_tokens: u32,
    /// Memory of an upstream that has not told its own, in tokens. Default 32,768.
    pub prior_memory_tokens: u64,
    /// Memory is predicted this many standard deviations above its mean. Default 1.0.
    pub caution_deviations: f64,
    /// One grant in this many goes to the request that has waited longest. Default 20.
    pub ageing_grants: u32,
    /// Smaller requests may go before the first in order while it fits nowhere, for this long, in
    /// milliseconds. Default 1,000.
    pub bypass_ms: u64,
    /// Longest time between two ticks while anything waits or runs, in milliseconds. Default 100.
    pub tick_ms: u64,
    /// Ejection of failing upstreams.
    pub ejection: EjectionOptions,
    /// At most this share of the upstreams is ejected at once, in percent. Default 50.
    pub ejected_percent_max: u32,
}

impl Default for SchedulerOptions {
    fn default() -> Self {
        SchedulerOptions {
            grant_valid_ms: 1_000,
            prior_output_tokens: 512,
            prior_memory_tokens: 32_768,
            caution_deviations: 1.0,
            ageing_grants: 20,
            bypass_ms: 1_000,
            tick_ms: 100,
            ejection: EjectionOptions::default(),
            ejected_percent_max: 50,
        }
    }
}

/// The scheduler of one service over a set of upstreams.
#[derive(Debug)]
pub struct Scheduler {
    options: SchedulerOptions,
    queue: FairQueue,
    deadlines: BTreeSet<(Time, RequestId)>,
    ledger: Ledger,
    placement: Placement,
    estimator: Estimator,
    blocked: HashMap<RequestId, Time>,
    moves: HashMap<RequestId, u8>,
    grants: u32,
    next_check: Time,
}

impl Scheduler {
    /// A scheduler without upstreams.
    pub fn new(options: SchedulerOptions) -> Self {
        let caution = Caution {
            deviations: options.caution_deviations,
            prior_memory_tokens: options.prior_memory_tokens,
        };
        Scheduler {
            queue: FairQueue::default(),
            deadlines: BTreeSet::new(),
            ledger: Ledger::default(),
            placement: Placement::new(caution, options.ejection.clone()),
            estimator: Estimator::new(options.prior_output_tokens),
            blocked: HashMap::new(),
            moves: HashMap::new(),
            grants: 0,
            next_check: Time::ZERO,
            options,
        }
    }

    /// Number of requests that wait for a grant.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Number of requests that hold a grant or run.
    pub fn running(&self) -> usize {
        self.ledger.len()
    }

    /// Whether a request holds a grant or runs.
    pub fn holds(&self, request: RequestId) -> bool {
        self.ledger.get(request).is_some()
    }

    fn take(&mut self, now: Time, input: Input) -> Vec<Action> {
        match input {
            Input::Weights(weights) => self.queue.set_weights(&weights),
            Input::Upstream(spec) => self.placement.join(now, spec),
            Input::UpstreamLeaving(upstream) => return self.leave(now, &upstream),
            Input::UpstreamRemoved(upstream) => self.forget(now, &upstream),
            Input::Report { upstream, report } => return self.report(now, &upstream, &report),
            Input::Cache { upstream, events } => self.cache(now, &upstream, &events),
            Input::Submit(ticket) => return self.submit(now, ticket),
            Input::Withdraw(request) => self.withdraw(now, request),
            Input::Started { request, attempt } => self.ledger.started(request, attempt),
            Input::Progress {
                request,
                output_tokens,
            } => self.progress(now, request, output_tokens),
            Input::Finished {
                request,
                output_tokens,
                ending,
                cached_prompt_tokens,
            } => {
                self.progress(now, request, output_tokens);
                self.finished(now, request, ending, cached_prompt_tokens);
            }
            Input::Adopt {
                ticket,
                upstream,
                output_tokens,
            } => self.adopt(now, &ticket, &upstream, output_tokens),
            Input::Tick => {}
        }
        Vec::new()
    }

    fn leave(&mut self, now: Time, id: &UpstreamId) -> Vec<Action> {
        let Some(slot) = self.placement.slot(id) else {
            return Vec::new();
        };
        self.placement
            .update(now, slot, |upstream| upstream.leaving = true);
        let movable = self.movable(slot);
        self.relocate(slot, relief::choose(movable, f64::INFINITY))
    }

    fn forget(&mut self, now: Time, id: &UpstreamId) {
        let Some(upstream) = self.placement.remove(id) else {
            return;
        };
        for request in upstream.running {
            self.release(now, request);
        }
    }

    fn submit(&mut self, now: Time, ticket: Ticket) -> Vec<Action> {
        let request = ticket.request;
        self.release(now, request);
        if self.placement.never_fits(ticket.prompt_tokens) {
            let refusal = Refusal::not_run(Code::TooLarge, "the prompt exceeds every upstream");
            let refusal = refusal.for_request(request);
            return vec![Action::Refuse { request, refusal }];
        }
        let limit_ms = self
            .queue
            .max_wait_ms(&ticket.class)
            .map_or(ticket.wait_limit_ms, |ms| ms.min(ticket.wait_limit_ms));
        let moved = self.moves.contains_key(&request);
        if !moved && self.hopeless(&ticket, limit_ms) {
            return vec![self.refuse(&ticket, limit_ms)];
        }
        let deadline = now + Duration::from_millis(limit_ms);
        self.deadlines.insert((deadline, request));
        let waiting = Waiting {
            ticket,
            since: now,
            deadline,
        };
        match moved {
            true => self.queue.push_front(waiting),
            false => self.queue.push(waiting),
        }
        Vec::new()
    }

    fn withdraw(&mut self, now: Time, request: RequestId) {
        self.dequeue(request);
        self.moves.remove(&request);
        let unused = self
            .ledger
            .get(request)
            .is_some_and(|running| running.attempt.is_none());
        if unused {
            self.release(now, request);
        }
    }

    fn movable(&self, slot: Slot) -> Vec<Movable> {
        let Some(upstream) = self.placement.get(slot) else {
            return Vec::new();
        };
        upstream
            .running
            .iter()
            .filter_map(|request| Some((*request, self.ledger.get(*request)?)))
            .filter(|(_, running)| running.movable())
            .map(|(request, running)| Movable {
                request,
                engine_priority: self.queue.engine_priority(&running.class),
                granted: running.granted,
                held_tokens: u64::from(running.prompt_tokens),
            })
            .collect()
    }

    fn relocate(&mut self, slot: Slot, requests: Vec<RequestId>) -> Vec<Action> {
        let Some(upstream) = self.placement.get(slot) else {
            return Vec::new();
        };
        let id = upstream.spec.upstream.clone();
        for request in &requests {
            if let Some(running) = self.ledger.get_mut(*request) {
                running.relocating = true;
            }
            *self.moves.entry(*request).or_default() += 1;
        }
        requests
            .into_iter()
            .map(|request| Action::Relocate {
                request,
                upstream: id.clone(),
            })
            .collect()
    }

    fn expire_grants(&mut self, now: Time) {
        while let Some(request) = self.ledger.expired(now) {
            if let Some(running) = self.ledger.get(request) {
                self.judge(now, running.slot, Ending::Cancelled);
            }
            self.release(now, request);
        }
    }

    fn grant(&mut self, now: Time) -> Vec<Action> {
        let mut actions = Vec::new();
        while let Some((request, choice)) = self.choose(now) {
            actions.extend(self.grant_one(now, request, choice));
        }
        actions
    }

    /// The next request that fits somewhere, and where.
    ///
    /// Where the first in order fits nowhere, a smaller one may go before it, for a while.
    fn choose(&mut self, now: Time) -> Option<(RequestId, Choice)> {
        if self.placement.is_full() {
            return None;
        }
        let first = next_waiting(&self.queue, &self.options, self.grants)?;
        let request = first.ticket.request;
        if let Some(choice) = fit(&mut self.estimator, &self.placement, now, &first.ticket) {
            return Some((request, choice));
        }
        let since = *self.blocked.entry(request).or_insert(now);
        if now.since(since) >= Duration::from_millis(self.options.bypass_ms) {
            return None;
        }
        self.queue
            .heads()
            .filter(|waiting| waiting.ticket.request != request)
            .find_map(|waiting| {
                let ticket = &waiting.ticket;
                let choice = fit(&mut self.estimator, &self.placement, now, ticket)?;
                Some((ticket.request, choice))
            })
    }

    fn grant_one(&mut self, now: Time, request: RequestId, choice: Choice) -> Option<Action> {
        let waiting = self.dequeue(request)?;
        let class = &waiting.ticket.class;
        self.queue.record_grant(class);
        self.grants = self.grants.wrapping_add(1);
        let upstream = self.placement.get(choice.slot)?.spec.upstream.clone();
        self.placement.ejector.sent(&upstream);
        for prefix in &waiting.ticket.prefix_hashes {
            self.placement.affinity.stored(now, choice.slot, *prefix);
        }
        let valid_ms = self.options.grant_valid_ms;
        let expires = now + Duration::from_millis(valid_ms);
        let engine_priority = self.queue.engine_priority(class);
        self.run(now, &waiting.ticket, choice, 0, Some(expires));
        Some(Action::Grant {
            request,
            upstream,
            engine_priority,
            valid_ms,
        })
    }

    /// Takes a request out of the queue and all that belongs to its waiting.
    fn dequeue(&mut self, request: RequestId) -> Option<Waiting> {
        let waiting = self.queue.remove(request)?;
        self.deadlines.remove(&(waiting.deadline, request));
        self.blocked.remove(&request);
        Some(waiting)
    }
}

/// Where a request fits, if anywhere.
fn fit(
    estimator: &mut Estimator,
    placement: &Placement,
    now: Time,
    ticket: &Ticket,
) -> Option<Choice> {
    let curve = estimator.curve(now, &ticket.class, &ticket.customer);
    let newcomer = Trajectory::new(curve, ticket.prompt_tokens, 0, ticket.max_output_tokens);
    placement.choose(now, ticket, &newcomer)
}

/// The request to grant next: by shares, but now and then the one that has waited longest.
fn next_waiting<'a>(
    queue: &'a FairQueue,
    options: &SchedulerOptions,
    grants: u32,
) -> Option<&'a Waiting> {
    let ageing = options.ageing_grants.max(1);
    if grants % ageing == ageing - 1 {
        return queue.oldest();
    }
    queue.peek()
}

impl Policy for Scheduler {
    fn step(&mut self, now: Time, input: Input) -> Vec<Action> {
        self.queue.record_time(now);
        let mut actions = self.take(now, input);
        self.expire_grants(now);
        actions.extend(self.refuse_late(now));
        actions.extend(self.grant(now));
        actions
    }

    fn next_tick(&self, now: Time) -> Option<Time> {
        let idle = self.queue.len() == 0 && self.ledger.len() == 0;
        let regular = (!idle).then(|| now + Duration::from_millis(self.options.tick_ms));
        let deadline = self.deadlines.first().map(|(time, _)| *time);
        [regular, self.ledger.next_expiry(), deadline]
            .into_iter()
            .flatten()
            .min()
    }
}

#[cfg(test)]
mod tests;
