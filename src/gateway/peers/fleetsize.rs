//! How many hosts share the bounds of a fleet.
//!
//! Each host spends its part of such a bound without asking. Hosts that are gone have spent of it too, and those that
//! stop or are beyond a cut still do, so the parts follow the most hosts counted of late and not the hosts heard now.

use std::time::Duration;

use crate::clock::Time;

/// A host that was counted keeps its part for this time at least and for twice as long at most. Regions lose each other
/// for minutes.
const WINDOW: Duration = Duration::from_secs(10 * 60);

/// The most hosts of late, by this host's own count and by what others tell.
#[derive(Debug, Default)]
pub(super) struct FleetSize {
    own: WindowedMax,
    received: WindowedMax,
}

impl FleetSize {
    /// This host counts so many hosts, itself included.
    pub(super) fn record_own(&mut self, now: Time, hosts: usize) {
        self.own.record(now, hosts);
    }

    /// Another host has counted so many.
    pub(super) fn receive(&mut self, now: Time, hosts: usize) {
        self.received.record(now, hosts);
    }

    /// What this host tells the others. What they told is left out, or it would be remembered for ever.
    pub(super) fn own_max(&self, now: Time) -> usize {
        self.own.get(now)
    }

    /// The most that are known of.
    pub(super) fn max(&self, now: Time) -> usize {
        self.own.get(now).max(self.received.get(now))
    }
}

/// The largest of the values noted in the last one or two spans of [`REMEMBERED`].
#[derive(Debug, Default)]
struct WindowedMax {
    window_start: Time,
    max: usize,
    previous_max: usize,
}

impl WindowedMax {
    fn record(&mut self, now: Time, value: usize) {
        let age = now.since(self.window_start);
        if age >= WINDOW {
            self.previous_max = if age < 2 * WINDOW { self.max } else { 0 };
            self.max = 0;
            self.window_start = now;
        }
        self.max = self.max.max(value);
    }

    fn get(&self, now: Time) -> usize {
        let age = now.since(self.window_start);
        if age < WINDOW {
            self.max.max(self.previous_max)
        } else if age < 2 * WINDOW {
            self.max
        } else {
            0
        }
    }
}

#[cfg(test)]
mod tests;
