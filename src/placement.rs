//! The upstreams with their forecasts, and the choice among them.
//!
//! Upstreams are kept in the order of their predicted headroom, so that a choice looks at the few
//! with the most, and at those that probably hold the prompt's prefix, however many there are.

use std::collections::BTreeSet;
use std::collections::HashMap;

use crate::admission::Forecast;
use crate::admission::Margin;
use crate::admission::Trajectory;
use crate::affinity::Affinity;
use crate::affinity::Hint;
use crate::clock::Time;
use crate::ejection::EjectionOptions;
use crate::ejection::Ejector;
use crate::ejection::Health;
use crate::id::RequestId;
use crate::id::UpstreamId;
use crate::schedule::Ticket;
use crate::schedule::UpstreamSpec;

/// Upstreams with the most headroom that are looked at.
const CANDIDATES: usize = 4;
/// Upstreams passed over because they may not be used, at most.
const SKIPPED_MAX: usize = 16;
/// Prompt tokens not yet computed that weigh as much as the whole memory's headroom.
const PREFILL_WEIGHT_TOKENS: f64 = 32_768.0;
/// A whole cached prompt weighs as much as this share of the memory's headroom.
const AFFINITY_WEIGHT: f64 = 0.2;
/// Headroom's share of memory is ordered in these steps.
const ORDER_STEPS: f64 = 1_000_000.0;

/// An upstream, by its slot.
pub(crate) type Slot = usize;

/// How a choice predicts memory.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Caution {
    /// Standard deviations above the mean.
    pub(crate) deviations: f64,
    /// Memory of an upstream that has not told its own, in tokens.
    pub(crate) prior_memory_tokens: u64,
}

/// An upstream as the scheduler sees it.
#[derive(Debug)]
pub(crate) struct Upstream {
    /// Its name and bounds.
    pub(crate) spec: UpstreamSpec,
    /// It gets no new work.
    pub(crate) leaving: bool,
    /// It was ejected and its time is not over.
    pub(crate) shelved: bool,
    /// Requests granted to it.
    pub(crate) running: BTreeSet<RequestId>,
    /// Predicted memory of all it runs.
    pub(crate) forecast: Forecast,
    /// Work of others, by the last report.
    pub(crate) foreign: Vec<Trajectory>,
    /// Memory kept free.
    pub(crate) margin: Margin,
    /// Tokens that sequences share, by the last report; negative where blocks are padded.
    pub(crate) shared_tokens: f64,
    /// Prompt tokens granted whose first token has not come.
    pub(crate) prefill_tokens: u64,
    /// Preemptions, by the last report.
    pub(crate) preemptions_total: u64,
    /// Starts of the engine, by the last report.
    pub(crate) incarnation: u64,
    order_key: i64,
}

impl Upstream {
    fn new(spec: UpstreamSpec) -> Self {
        Upstream {
            spec,
            leaving: false,
            shelved: false,
            running: BTreeSet::new(),
            forecast: Forecast::default(),
            foreign: Vec::new(),
            margin: Margin::new(),
            shared_tokens: 0.0,
            prefill_tokens: 0,
            preemptions_total: 0,
            incarnation: 0,
            order_key: 0,
        }
    }

    /// Its memory, in tokens.
    pub(crate) fn memory_tokens(&self, caution: Caution) -> f64 {
        match self.spec.memory_tokens {
            0 => caution.prior_memory_tokens as f64,
            known => known as f64,
        }
    }

    /// Memory that predictions may fill, in tokens.
    fn capacity_tokens(&self, now: Time, caution: Caution) -> f64 {
        let high_water = f64::from(self.spec.high_water_percent) / 100.0;
        let share = (high_water - self.margin.share(now)).max(0.0);
        share * self.memory_tokens(caution) + self.shared_tokens
    }

    /// Share of the memory that stays free with one more sequence.
    fn headroom_share(&self, now: Time, newcomer: &Trajectory, caution: Caution) -> f64 {
        let peak = self.forecast.peak_with(newcomer, caution.deviations);
        (self.capacity_tokens(now, caution) - peak) / self.memory_tokens(caution)
    }

    fn fits_alone(&self, ticket: &Ticket, caution: Caution) -> bool {
        self.forecast.sequences() == 0
            && f64::from(ticket.prompt_tokens) < self.memory_tokens(caution)
    }
}

/// A chosen upstream.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Choice {
    /// The upstream.
    pub(crate) slot: Slot,
    /// Share of the prompt that is hoped to be cached there.
    pub(crate) cached_share: f64,
}

/// The upstreams.
#[derive(Debug)]
pub(crate) struct Placement {
    caution: Caution,
    slots: Vec<Option<Upstream>>,
    by_id: HashMap<UpstreamId, Slot>,
    order: BTreeSet<(i64, Slot)>,
    /// Prefix hints.
    pub(crate) affinity: Affinity,
    /// Failing upstreams.
    pub(crate) ejector: Ejector,
}

impl Placement {
    /// No upstreams.
    pub(crate) fn new(caution: Caution, ejection: EjectionOptions) -> Self {
        Placement {
            caution,
            slots: Vec::new(),
            by_id: HashMap::new(),
            order: BTreeSet::new(),
            affinity: Affinity::default(),
            ejector: Ejector::new(ejection),
        }
    }

    /// Number of upstreams.
    pub(crate) fn len(&self) -> usize {
        self.by_id.len()
    }

    /// The slot of an upstream.
    pub(crate) fn slot(&self, id: &UpstreamId) -> Option<Slot> {
        self.by_id.get(id).copied()
    }

    /// The upstream in a slot.
    pub(crate) fn get(&self, slot: Slot) -> Option<&Upstream> {
        self.slots.get(slot)?.as_ref()
    }

    /// Adds an upstream or takes its new bounds. One that was leaving comes back.
    pub(crate) fn join(&mut self, now: Time, spec: UpstreamSpec) {
        let Some(slot) = self.slot(&spec.upstream) else {
            self.insert(now, spec);
            return;
        };
        self.update(now, slot, |upstream| {
            let memory_tokens = match spec.memory_tokens {
                0 => upstream.spec.memory_tokens,
                told => told,
            };
            upstream.leaving = false;
            upstream.spec = spec;
            upstream.spec.memory_tokens = memory_tokens;
        });
    }

    fn insert(&mut self, now: Time, spec: UpstreamSpec) {
        let free = self.slots.iter().position(Option::is_none);
        let slot = free.unwrap_or(self.slots.len());
        if free.is_none() {
            self.slots.push(None);
        }
        self.by_id.insert(spec.upstream.clone(), slot);
        let upstream = Upstream::new(spec);
        self.order.insert((upstream.order_key, slot));
        self.slots[slot] = Some(upstream);
        self.update(now, slot, |_| {});
    }

    /// Takes an upstream out.
    pub(crate) fn remove(&mut self, id: &UpstreamId) -> Option<Upstream> {
        let slot = self.by_id.remove(id)?;
        let upstream = self.slots[slot].take()?;
        self.order.remove(&(upstream.order_key, slot));
        self.affinity.forget(slot);
        self.ejector.forget(id);
        Some(upstream)
    }

    /// Changes an upstream and keeps the order.
    pub(crate) fn update(&mut self, now: Time, slot: Slot, change: impl FnOnce(&mut Upstream)) {
        let Some(Some(upstream)) = self.slots.get_mut(slot) else {
            return;
        };
        change(upstream);
        let headroom = upstream.headroom_share(now, &Trajectory::default(), self.caution);
        let order_key = match upstream.leaving || upstream.shelved {
            true => i64::MIN,
            false => (headroom * ORDER_STEPS) as i64,
        };
        if order_key == upstream.order_key {
            return;
        }
        self.order.remove(&(upstream.order_key, slot));
        upstream.order_key = order_key;
        self.order.insert((order_key, slot));
    }

    /// Notes that an upstream was ejected.
    pub(crate) fn shelve(&mut self, now: Time, slot: Slot) {
        self.update(now, slot, |upstream| upstream.shelved = true);
    }

    /// Puts upstreams whose ejection is over back into the order.
    pub(crate) fn unshelve(&mut self, now: Time) {
        for id in self.ejector.half_open(now) {
            if let Some(slot) = self.slot(&id) {
                self.update(now, slot, |upstream| upstream.shelved = false);
            }
        }
    }

    /// The best upstream that has room for a request, if one has.
    pub(crate) fn choose(
        &self,
        now: Time,
        ticket: &Ticket,
        newcomer: &Trajectory,
    ) -> Option<Choice> {
        let hints = self.affinity.hints(now, &ticket.prefix_hashes);
        let hinted = hints.iter().map(|hint| hint.slot);
        self.candidates(now, ticket)
            .chain(hinted.filter(|slot| self.usable(now, ticket, *slot)))
            .filter_map(|slot| self.scored(now, ticket, newcomer, slot, &hints))
            .max_by(|a, b| a.0.total_cmp(&b.0))
            .map(|(_, choice)| choice)
    }

    /// Whether no upstream has any headroom.
    pub(crate) fn is_full(&self) -> bool {
        self.order.last().is_none_or(|(key, _)| *key <= 0)
    }

    /// Whether the prompt alone is too large for every upstream.
    pub(crate) fn never_fits(&self, prompt_tokens: u32) -> bool {
        let mut upstreams = self.slots.iter().flatten().peekable();
        upstreams.peek().is_some()
            && upstreams
                .all(|upstream| upstream.memory_tokens(self.caution) <= f64::from(prompt_tokens))
    }

    /// Mean memory over the next steps beyond what the upstream has, in tokens.
    pub(crate) fn excess_tokens(&self, slot: Slot) -> f64 {
        self.get(slot).map_or(0.0, |upstream| {
            let memory = upstream.memory_tokens(self.caution) + upstream.shared_tokens;
            upstream.forecast.near_tokens() - memory
        })
    }

    fn candidates(&self, now: Time, ticket: &Ticket) -> impl Iterator<Item = Slot> {
        self.order
            .iter()
            .rev()
            .take(CANDIDATES + SKIPPED_MAX)
            .map(|(_, slot)| *slot)
            .filter(move |slot| self.usable(now, ticket, *slot))
            .take(CANDIDATES)
    }

    fn usable(&self, now: Time, ticket: &Ticket, slot: Slot) -> bool {
        let Some(upstream) = self.get(slot) else {
            return false;
        };
        let id = &upstream.spec.upstream;
        !upstream.leaving
            && !ticket.avoid.contains(id)
            && self.ejector.health(now, id) != Health::Ejected
    }

    fn scored(
        &self,
        now: Time,
        ticket: &Ticket,
        newcomer: &Trajectory,
        slot: Slot,
        hints: &[Hint],
    ) -> Option<(f64, Choice)> {
        let upstream = self.get(slot)?;
        let headroom = upstream.headroom_share(now, newcomer, self.caution);
        if headroom < 0.0 && !upstream.fits_alone(ticket, self.caution) {
            return None;
        }
        let cached_share = hints
            .iter()
            .find(|hint| hint.slot == slot)
            .map_or(0.0, |hint| hint.share);
        let prefill = upstream.prefill_tokens as f64 / PREFILL_WEIGHT_TOKENS;
        let score = headroom - prefill + AFFINITY_WEIGHT * cached_share;
        Some((score, Choice { slot, cached_share }))
    }
}

#[cfg(test)]
mod tests;
