//! How many hosts are live, counted anew only now and then.
//!
//! Each datagram, round and request asks for these figures. A walk over all hosts for each would cost a host hosts times
//! datagrams; so hosts are counted at intervals that grow with their number, and in between those that come or stop are
//! added and taken off.

use std::collections::BTreeMap;
use std::time::Duration;

use super::Report;
use crate::clock::Time;
use crate::gateway::position::Position;
use crate::id::DataCentre;

/// Between two counts, for each host that was counted: silence is noticed so much later, 0.1 s of a thousand hosts.
const RECOUNT_INTERVAL_PER_HOST: Duration = Duration::from_micros(100);

/// One count.
#[derive(Debug, Clone)]
pub(super) struct LiveCounts {
    counted_at: Time,
    /// Live hosts of each data centre that were heard.
    live: BTreeMap<DataCentre, usize>,
    /// The newest configuration that any of them has in force.
    pub(super) newest_version: u64,
    /// The most others that any of them hears.
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

    /// Whether the count still holds.
    pub(super) fn is_valid(&self, now: Time) -> bool {
        let hosts: usize = self.live.values().sum();
        let interval = RECOUNT_INTERVAL_PER_HOST * u32::try_from(hosts).unwrap_or(u32::MAX);
        now >= self.counted_at && now.since(self.counted_at) < interval
    }

    /// Takes what a host knows.
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
