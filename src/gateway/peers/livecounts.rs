//! Cached counts of the live hosts.
//!
//! Each datagram, round and request needs these counts. If each of them iterated over all hosts, the cost
//! would grow with hosts times datagrams. Therefore all hosts are counted at an interval that grows with
//! their number, and in between the counts are adjusted for hosts that join or stop.

use std::collections::BTreeMap;
use std::time::Duration;

use super::Report;
use crate::clock::Time;
use crate::gateway::position::Position;
use crate::id::DataCentre;

/// Time between two full counts for each counted host. Silence is noticed later by the whole interval: 0.1 s
/// for 1,000 hosts.
const RECOUNT_INTERVAL_PER_HOST: Duration = Duration::from_micros(100);

/// The counts and maxima over all live hosts.
#[derive(Debug, Clone)]
pub(super) struct LiveCounts {
    counted_at: Time,
    /// Number of live hosts with a report, by data centre.
    live: BTreeMap<DataCentre, usize>,
    /// The newest configuration that is active at any of them.
    pub(super) newest_version: u64,
    /// The largest number of live hosts that any of them announces.
    pub(super) live_count_max: u32,
    /// Whether any of them knows the upstreams.
    pub(super) knows_upstreams: bool,
}

impl LiveCounts {
    pub(super) fn new(at: Time) -> Self {
        LiveCounts {
            counted_at: at,
            live: BTreeMap::new(),
            newest_version: 0,
            live_count_max: 0,
            knows_upstreams: false,
        }
    }

    /// Whether the counts are recent enough to use.
    pub(super) fn is_valid(&self, now: Time) -> bool {
        let hosts: usize = self.live.values().sum();
        let interval = RECOUNT_INTERVAL_PER_HOST * u32::try_from(hosts).unwrap_or(u32::MAX);
        now >= self.counted_at && now.since(self.counted_at) < interval
    }

    /// Adds the versions and the count of a host to the maxima.
    pub(super) fn merge(&mut self, report: &Report) {
        self.newest_version = self.newest_version.max(report.config_version);
        self.live_count_max = self.live_count_max.max(report.live_count);
        self.knows_upstreams |= report.upstreams_position > Position::default();
    }

    pub(super) fn live(&self) -> &BTreeMap<DataCentre, usize> {
        &self.live
    }

    pub(super) fn live_in(&self, data_centre: &DataCentre) -> usize {
        self.live.get(data_centre).copied().unwrap_or(0)
    }

    pub(super) fn increment(&mut self, data_centre: &DataCentre) {
        match self.live.get_mut(data_centre) {
            Some(live) => *live += 1,
            None => {
                self.live.insert(data_centre.clone(), 1);
            }
        }
    }

    pub(super) fn decrement(&mut self, data_centre: &DataCentre) {
        if let Some(live) = self.live.get_mut(data_centre) {
            *live = live.saturating_sub(1);
        }
    }
}
