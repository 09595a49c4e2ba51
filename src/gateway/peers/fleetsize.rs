//! How many hosts share the bounds of a fleet.
//!
//! Each host spends its part of such a bound without asking. Hosts that are gone have spent of it too, and those that
//! stop or are beyond a cut still do, so the parts follow the most hosts counted of late and not the hosts heard now.

use std::time::Duration;

use crate::clock::Time;

/// A host that was counted keeps its part for this time at least and for twice as long at most. Regions lose each other
/// for minutes.
const REMEMBERED: Duration = Duration::from_secs(10 * 60);

/// The most hosts of late, by this host's own count and by what others tell.
#[derive(Debug, Default)]
pub(super) struct FleetSize {
    counted: RecentMost,
    told: RecentMost,
}

impl FleetSize {
    /// This host counts so many hosts, itself included.
    pub(super) fn count(&mut self, now: Time, hosts: usize) {
        self.counted.note(now, hosts);
    }

    /// Another host has counted so many.
    pub(super) fn hear(&mut self, now: Time, hosts: usize) {
        self.told.note(now, hosts);
    }

    /// What this host tells the others. What they told is left out, or it would be remembered for ever.
    pub(super) fn counted(&self, now: Time) -> usize {
        self.counted.get(now)
    }

    /// The most that are known of.
    pub(super) fn most(&self, now: Time) -> usize {
        self.counted.get(now).max(self.told.get(now))
    }
}

/// The largest of the values noted in the last one or two spans of [`REMEMBERED`].
#[derive(Debug, Default)]
struct RecentMost {
    began: Time,
    most: usize,
    most_before: usize,
}

impl RecentMost {
    fn note(&mut self, now: Time, value: usize) {
        let age = now.since(self.began);
        if age >= REMEMBERED {
            self.most_before = if age < 2 * REMEMBERED { self.most } else { 0 };
            self.most = 0;
            self.began = now;
        }
        self.most = self.most.max(value);
    }

    fn get(&self, now: Time) -> usize {
        let age = now.since(self.began);
        if age < REMEMBERED {
            self.most.max(self.most_before)
        } else if age < 2 * REMEMBERED {
            self.most
        } else {
            0
        }
    }
}

#[cfg(test)]
mod tests;
