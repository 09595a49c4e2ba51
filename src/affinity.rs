//! Which upstreams probably hold which prompt prefixes in their cache.
//!
//! Cache events come late and some are lost, so what is kept here is a hint: it fades with its age
//! and is weighed by how often the engine's own word on cached tokens bore it out.

use std::collections::HashMap;
use std::collections::VecDeque;

use crate::clock::Time;

/// Upstreams remembered for one prefix.
const HOLDERS_MAX: usize = 4;
/// Prefixes remembered.
const PREFIXES_MAX: usize = 65_536;
/// A hint counts half after this time, in seconds.
const HALF_LIFE_S: f64 = 60.0;
/// Weight of the newest comparison with the engine's word.
const TRUST_STEP: f64 = 0.1;

/// An upstream, by its slot in the placement.
type Slot = usize;

/// A prefix that an upstream probably holds.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Holder {
    slot: Slot,
    seen: Time,
}

/// An upstream that probably holds the head of a prompt.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Hint {
    /// The upstream.
    pub(crate) slot: Slot,
    /// Share of the prompt's shareable blocks that it holds, faded by age and trust.
    pub(crate) share: f64,
}

/// The hints.
#[derive(Debug, Default)]
pub(crate) struct Affinity {
    holders: HashMap<u64, Vec<Holder>>,
    order: VecDeque<u64>,
    trust: HashMap<Slot, f64>,
}

impl Affinity {
    /// An upstream stored a prefix, or is about to.
    pub(crate) fn stored(&mut self, now: Time, slot: Slot, prefix: u64) {
        if !self.holders.contains_key(&prefix) {
            self.make_room();
            self.order.push_back(prefix);
        }
        let holders = self.holders.entry(prefix).or_default();
        holders.retain(|holder| holder.slot != slot);
        if holders.len() == HOLDERS_MAX {
            holders.remove(0);
        }
        holders.push(Holder { slot, seen: now });
    }

    /// An upstream evicted a prefix.
    pub(crate) fn evicted(&mut self, slot: Slot, prefix: u64) {
        if let Some(holders) = self.holders.get_mut(&prefix) {
            holders.retain(|holder| holder.slot != slot);
        }
    }

    /// An upstream is gone.
    pub(crate) fn forget(&mut self, slot: Slot) {
        self.trust.remove(&slot);
        for holders in self.holders.values_mut() {
            holders.retain(|holder| holder.slot != slot);
        }
    }

    /// The engine told how much of a prompt was cached where a hint promised `expected_share`.
    pub(crate) fn compare(&mut self, slot: Slot, expected_share: f64, cached_share: f64) {
        if expected_share <= 0.0 {
            return;
        }
        let kept = (cached_share / expected_share).min(1.0);
        let trust = self.trust.entry(slot).or_insert(1.0);
        *trust += TRUST_STEP * (kept - *trust);
    }

    /// The upstreams that probably hold the longest known head of a prompt.
    pub(crate) fn hints(&self, now: Time, prefixes: &[u64]) -> Vec<Hint> {
        let longest = prefixes
            .iter()
            .enumerate()
            .rev()
            .find_map(|(index, prefix)| {
                let holders = self.holders.get(prefix)?;
                (!holders.is_empty()).then_some((index, holders))
            });
        let Some((index, holders)) = longest else {
            return Vec::new();
        };
        let share = (index + 1) as f64 / prefixes.len() as f64;
        holders
            .iter()
            .map(|holder| Hint {
                slot: holder.slot,
                share: share * fading(now, holder.seen) * self.trust(holder.slot),
            })
            .collect()
    }

    fn trust(&self, slot: Slot) -> f64 {
        self.trust.get(&slot).copied().unwrap_or(1.0)
    }

    fn make_room(&mut self) {
        if self.order.len() < PREFIXES_MAX {
            return;
        }
        if let Some(oldest) = self.order.pop_front() {
            self.holders.remove(&oldest);
        }
    }
}

/// What an observation still counts.
fn fading(now: Time, seen: Time) -> f64 {
    0.5f64.powf(now.since(seen).as_secs_f64() / HALF_LIFE_S)
}

#[cfg(test)]
mod tests;
