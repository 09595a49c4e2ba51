//! The engines during one decision: which have room, and which are reserved for a generation that fits nowhere yet.
//!
//! Answers long generations that starve: short ones behind them would take each piece of memory as it becomes free.

use crate::gateway::admit;
use crate::gateway::admit::Demand;
use crate::gateway::instance::InstanceId;
use crate::gateway::instance::InstanceKey;
use crate::gateway::placement;
use crate::gateway::placement::Candidate;
use crate::gateway::sharedqueue::EngineView;
use crate::gateway::sharedqueue::Waiter;

/// Most engines that are reserved at once, as a share of all: the others take what is shorter meanwhile.
const RESERVED_SHARE_MAX: f64 = 0.5;

/// A generation reserves an engine if it needs more than so many running ones hold in the mean. Smaller ones fit after
/// nearly any end, and what is kept for them would stay idle.
const RESERVED_FROM_MEANS: f64 = 1.5;

/// The engines as one decision goes on.
pub(super) struct Engines<'a> {
    view: &'a EngineView<'a>,
    candidates: Vec<Candidate>,
    reserved: Vec<InstanceKey>,
    /// Tokens that a running generation holds in the mean.
    mean_tokens: f64,
    /// Generations without room, so that those like them are not tried. Room only shrinks during a decision.
    blocked: Vec<(Demand, &'a Waiter)>,
}

impl<'a> Engines<'a> {
    /// The engines before the first decision.
    pub(super) fn new(view: &'a EngineView<'a>) -> Self {
        let loads = view.candidates.iter().map(|candidate| candidate.load);
        let requests: u64 = loads.clone().map(|load| u64::from(load.requests)).sum();
        let tokens: u64 = loads.map(|load| u64::from(load.tokens)).sum();
        Engines {
            view,
            candidates: view.candidates.to_vec(),
            reserved: Vec::new(),
            mean_tokens: tokens as f64 / requests.max(1) as f64,
            blocked: Vec::new(),
        }
    }

    /// Starts a generation where it fits best, if anywhere.
    pub(super) fn start(
        &mut self,
        waiter: &'a Waiter,
        draw: impl FnMut() -> f64,
    ) -> Option<InstanceId> {
        let demand = waiter.demand();
        let is_like = |(blocked, other): &(Demand, &Waiter)| {
            demand.needs_no_less_than(blocked)
                && waiter.avoid == other.avoid
                && waiter.regions == other.regions
        };
        if self.blocked.iter().any(is_like) {
            return None;
        }
        let mut with_room = self.with_room(waiter);
        with_room.retain(|candidate| !self.reserved.contains(&candidate.upstream.id.key()));
        let chosen = placement::choose(waiter.need, &with_room, self.view.context, draw);
        let Some(chosen) = chosen else {
            self.blocked.push((demand, waiter));
            return None;
        };
        let id = chosen.upstream.id.clone();
        let mut candidates = self.candidates.iter_mut();
        if let Some(candidate) = candidates.find(|candidate| candidate.upstream.id == id) {
            candidate.load.requests += 1;
            candidate.load.tokens = candidate.load.tokens.saturating_add(waiter.need.tokens());
            candidate.load.unread_tokens += waiter.need.prompt_tokens();
        }
        Some(id)
    }

    /// Reserves the engine where a large generation that fits nowhere will fit first.
    pub(super) fn reserve(&mut self, waiter: &Waiter) {
        let reserved_max = (self.candidates.len() as f64 * RESERVED_SHARE_MAX).ceil() as usize;
        let is_large = f64::from(waiter.need.tokens()) > self.mean_tokens * RESERVED_FROM_MEANS;
        if !is_large || self.reserved.len() >= reserved_max {
            return;
        }
        let local = self.view.context.data_centre;
        let first = self
            .allowed(waiter)
            .filter(|candidate| !self.reserved.contains(&candidate.upstream.id.key()))
            .min_by_key(|candidate| {
                let is_remote = candidate.upstream.data_centre != *local;
                let lacks_slot = candidate.load.requests >= candidate.upstream.slots;
                let load = candidate.load.tokens;
                (candidate.unhealthy, is_remote, lacks_slot, load)
            });
        if let Some(key) = first.map(|candidate| candidate.upstream.id.key()) {
            self.reserved.push(key);
        }
    }

    /// Whether any engine may run a generation, now or later.
    pub(super) fn has_any_for(&self, waiter: &Waiter) -> bool {
        self.allowed(waiter).next().is_some()
    }

    /// Whether an engine has room for a generation now.
    pub(super) fn have_room(&self, waiter: &Waiter) -> bool {
        !self.with_room(waiter).is_empty()
    }

    fn with_room(&self, waiter: &Waiter) -> Vec<Candidate> {
        admit::with_room(&waiter.demand(), self.allowed(waiter), self.view.stats)
    }

    /// The engines that a generation may use.
    fn allowed<'b>(&'b self, waiter: &'b Waiter) -> impl Iterator<Item = &'b Candidate> + Clone {
        let candidates = self.candidates.iter();
        candidates
            .filter(|candidate| {
                waiter.avoid.is_empty() || !waiter.avoid.contains(&candidate.upstream.id.key())
            })
            .filter(|candidate| {
                waiter.regions.as_ref().is_none_or(|regions| {
                    let region = self.view.regions.get(&candidate.upstream.data_centre);
                    region.is_some_and(|region| regions.contains(region))
                })
            })
    }
}
