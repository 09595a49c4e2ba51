//! Decides the orders to the engines of one service in one data centre: pure, one step an input.
//!
//! Orders are given under a [`Lease`] and carry its fencing number. Some engines ignore the
//! number, so the rest must do without it: an order states the whole wanted state and is
//! idempotent; one order is under way at a time; the holder sends none that could arrive after its
//! term, and does not trust the answer of one that came back after it; a new holder waits out the
//! old term and a pause, and reads every engine's state before it orders anything.

use std::collections::BTreeMap;
use std::time::Duration;

use derive_builder::Builder;
use serde::Deserialize;
use serde::Serialize;

use crate::clock::Time;
use crate::id::Offset;
use crate::id::UpstreamId;
use crate::lease::Held;
use crate::lease::Lease;
use crate::lease::LeaseRecord;
use crate::platform::ReadAnswer;
use crate::rollout::Seen;
use crate::rollout::Wanted;
use crate::rollout::next_change;
use crate::wire::Order;
use crate::wire::OrderState;

/// Options of orders.
#[derive(Debug, Clone, PartialEq, Eq, Builder, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
#[builder(default)]
pub struct OrderOptions {
    /// The states of engines are read this often, in milliseconds; 5 s.
    pub read_interval_ms: u64,
    /// Timeout of an order, in milliseconds; 3 s. No order is sent later than this before the end
    /// of the lease's term.
    pub order_timeout_ms: u64,
}

impl Default for OrderOptions {
    fn default() -> Self {
        OrderOptions {
            read_interval_ms: 5_000,
            order_timeout_ms: 3_000,
        }
    }
}

/// What an engine answered to an order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderAnswer {
    /// It took the order.
    Accepted(OrderState),
    /// It has seen a higher fencing number.
    OldFence,
    /// Nobody knows.
    Lost,
}

/// What happens.
#[derive(Debug, Clone, PartialEq)]
pub enum Input {
    /// The table says what is wanted, as of `config`.
    Wanted {
        /// The wanted state of every upstream.
        wanted: Wanted,
        /// The service's upstreams in the data centre.
        upstreams: Vec<UpstreamId>,
        /// Version of the row.
        config: Offset,
    },
    /// The lease stream was read.
    LeaseRead(ReadAnswer),
    /// An engine's state; none if it did not answer.
    State(UpstreamId, Option<OrderState>),
    /// The weight store gave a permit, or says when to ask again.
    Permit(Result<(), Duration>),
    /// An order came back.
    Answered(UpstreamId, OrderAnswer),
    /// Time passed.
    Tick,
}

/// What is to be done.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Append to the lease stream.
    AppendLease(LeaseRecord),
    /// Read an engine's state.
    ReadState(UpstreamId),
    /// Ask the weight store for a permit to load a model.
    AskPermit(String),
    /// Send an order.
    Send(UpstreamId, Order),
    /// The lease was found lost while an order was under way.
    LostLease(UpstreamId),
}

/// Decides for one service in one data centre.
#[derive(Debug)]
pub struct Orders {
    options: OrderOptions,
    lease: Lease,
    wanted: Option<Wanted>,
    config: Offset,
    upstreams: BTreeMap<UpstreamId, Seen>,
    read_began: BTreeMap<UpstreamId, Time>,
    permit: Permit,
    sent_under: Option<Offset>,
}

/// Where the permit for the next load stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Permit {
    None,
    Asked,
    Given,
    NotBefore(Time),
}

impl Orders {
    /// Nothing is wanted yet.
    pub fn new(lease: Lease, options: OrderOptions) -> Self {
        Orders {
            options,
            lease,
            wanted: None,
            config: Offset(0),
            upstreams: BTreeMap::new(),
            read_began: BTreeMap::new(),
            permit: Permit::None,
            sent_under: None,
        }
    }

    /// The lease.
    pub fn lease(&self) -> &Lease {
        &self.lease
    }

    /// Takes one input at `now`, `wall_ms` being the host's wall clock.
    pub fn step(&mut self, now: Time, wall_ms: u64, input: Input) -> Vec<Action> {
        let mut actions = Vec::new();
        match input {
            Input::Wanted {
                wanted,
                upstreams,
                config,
            } => self.want(wanted, upstreams, config),
            Input::LeaseRead(answer) => self.lease.read(now, wall_ms, &answer),
            Input::State(upstream, state) => self.state(&upstream, state),
            Input::Permit(Ok(())) => self.permit = Permit::Given,
            Input::Permit(Err(wait)) => self.permit = Permit::NotBefore(now + wait),
            Input::Answered(upstream, answer) => {
                self.answered(now, upstream, answer, &mut actions);
            }
            Input::Tick => {}
        }
        self.read_states(now, &mut actions);
        self.advance(now, wall_ms, &mut actions);
        actions
    }

    /// A row that is older than what is known changes nothing.
    fn want(&mut self, wanted: Wanted, upstreams: Vec<UpstreamId>, config: Offset) {
        if config < self.config {
            return;
        }
        if self.wanted.as_ref() != Some(&wanted) {
            self.permit = Permit::None;
        }
        self.wanted = Some(wanted);
        self.config = config;
        self.upstreams
            .retain(|upstream, _| upstreams.contains(upstream));
        for upstream in upstreams {
            self.upstreams.entry(upstream).or_default();
        }
    }

    fn state(&mut self, upstream: &UpstreamId, state: Option<OrderState>) {
        let began = self.read_began.remove(upstream).unwrap_or(Time::ZERO);
        if let Some(seen) = self.upstreams.get_mut(upstream) {
            seen.reading = false;
            seen.at = began;
            seen.state = state;
        }
    }

    fn answered(
        &mut self,
        now: Time,
        upstream: UpstreamId,
        answer: OrderAnswer,
        actions: &mut Vec<Action>,
    ) {
        let sent_under = self.sent_under.take();
        let holds = self.lease.held(now).map(|held| held.fence) >= sent_under;
        if let Some(seen) = self.upstreams.get_mut(&upstream) {
            seen.ordered = false;
            seen.state = None;
            seen.at = Time::ZERO;
        }
        if answer == OrderAnswer::OldFence {
            self.lease.lose();
        }
        if !holds || answer == OrderAnswer::OldFence {
            actions.push(Action::LostLease(upstream));
        }
    }

    fn read_states(&mut self, now: Time, actions: &mut Vec<Action>) {
        let interval = Duration::from_millis(self.options.read_interval_ms);
        let since = self.lease.held(now).map_or(Time::ZERO, |held| held.since);
        for (upstream, seen) in &mut self.upstreams {
            let is_old = seen.at == Time::ZERO || seen.at < since || now >= seen.at + interval;
            if is_old && !seen.reading && !seen.ordered {
                seen.reading = true;
                self.read_began.insert(upstream.clone(), now);
                actions.push(Action::ReadState(upstream.clone()));
            }
        }
    }

    fn advance(&mut self, now: Time, wall_ms: u64, actions: &mut Vec<Action>) {
        let Some(wanted) = self.wanted.clone() else {
            return;
        };
        if !self.states_are_fresh(now) {
            return;
        }
        let held = self.lease.held(now);
        let is_busy = self.upstreams.values().any(Seen::is_busy);
        let has_work = is_busy || next_change(&wanted, &self.upstreams, Time::ZERO).is_some();
        // Another holder acted by a newer row: this host's table lags.
        let lags = self.config < self.lease.config();
        if !has_work || lags {
            if held.is_some() && !self.is_ordering() {
                actions.extend(self.lease.give_back().map(Action::AppendLease));
            }
            return;
        }
        let take = self.lease.take(now, wall_ms, self.config);
        actions.extend(take.map(Action::AppendLease));
        if let Some(held) = held {
            self.order(now, held, &wanted, actions);
        }
    }

    fn is_ordering(&self) -> bool {
        self.upstreams.values().any(|seen| seen.ordered)
    }

    /// Whether every engine was read lately, or is under way; a host that was paused reads first.
    fn states_are_fresh(&self, now: Time) -> bool {
        let fresh = Duration::from_millis(2 * self.options.read_interval_ms);
        let mut all = self.upstreams.values();
        all.all(|seen| seen.ordered || (seen.at > Time::ZERO && now < seen.at + fresh))
    }

    /// Sends the next order, if one may be sent.
    fn order(&mut self, now: Time, held: Held, wanted: &Wanted, actions: &mut Vec<Action>) {
        let timeout = Duration::from_millis(self.options.order_timeout_ms);
        if now + timeout >= held.until + timeout + timeout {
            return;
        }
        let Some(upstream) = next_change(wanted, &self.upstreams, held.since).cloned() else {
            return;
        };
        let Some(seen) = self.upstreams.get_mut(&upstream) else {
            return;
        };
        let loads = seen
            .state
            .as_ref()
            .is_some_and(|state| wanted.needs_weights(state));
        if loads && self.permit != Permit::Given {
            if self.permit.may_ask(now) {
                self.permit = Permit::Asked;
                actions.push(Action::AskPermit(wanted.model.clone()));
            }
            return;
        }
        if loads {
            self.permit = Permit::None;
        }
        seen.ordered = true;
        self.sent_under = Some(held.fence);
        let order = Order {
            fence: held.fence.0,
            model: wanted.model.clone(),
            adapters: wanted.adapters.clone(),
            role: wanted.role,
        };
        actions.push(Action::Send(upstream, order));
    }
}

impl Permit {
    fn may_ask(self, now: Time) -> bool {
        match self {
            Permit::None => true,
            Permit::NotBefore(at) => now >= at,
            Permit::Asked | Permit::Given => false,
        }
    }
}
