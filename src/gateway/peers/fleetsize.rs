//! Estimates how many hosts share the limits of a fleet.
//!
//! Each host uses its share of a limit without coordination. Hosts that are gone have used theirs too, and
//! hosts that are stopping or behind a network partition still do, so shares are computed from the largest
//! recent count instead of the hosts that are live now.

use std::time::Duration;

use crate::clock::Time;

/// A counted host keeps its share for at least this time and at most twice as long: partitions between
/// regions last for minutes.
const WINDOW: Duration = Duration::from_secs(10 * 60);

/// The largest recent number of hosts, by this host's own counts and by those that others announce.
#[derive(Debug, Default)]
pub(super) struct FleetSize {
    own: WindowedMax,
    received: WindowedMax,
}

impl FleetSize {
    /// Records a count of this host, which includes itself.
    pub(super) fn record_own(&mut self, now: Time, hosts: usize) {
        self.own.record(now, hosts);
    }

    /// Records a count that another host announced.
    pub(super) fn receive(&mut self, now: Time, hosts: usize) {
        self.received.record(now, hosts);
    }

    /// The maximum of this host's own counts, which it announces. Received counts are left out: hosts that
    /// repeated them to each other would keep them for ever.
    pub(super) fn own_max(&self, now: Time) -> usize {
        self.own.get(now)
    }

    /// The maximum of the own and the received counts.
    pub(super) fn max(&self, now: Time) -> usize {
        self.own.get(now).max(self.received.get(now))
    }
}

/// The maximum of the values recorded in the last one to two [`WINDOW`]s.
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
