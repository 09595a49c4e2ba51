//! How many hosts are live, counted anew only now and then.
//!
//! Each datagram, round and request asks for these figures. A walk over all hosts for each would cost a host hosts times
//! datagrams; so hosts are counted at intervals that grow with their number, and in between those that come or stop are
//! added and taken off.

use std::collections::BTreeMap;
use std::time::Duration;

use super::Heard;
use crate::clock::Time;
use crate::gateway::position::Position;
use crate::id::DataCentre;

/// Between two counts, for each host that was counted: silence is noticed so much later, 0.1 s of a thousand hosts.
const INTERVAL_PER_HOST: Duration = Duration::from_micros(100);

/// One count.
#[derive(Debug, Clone)]
pub(super) struct Census {
    at: Time,
    /// Live hosts of each data centre that were heard.
    heard: BTreeMap<DataCentre, usize>,
    /// The newest configuration that any of them has in force.
    pub(super) newest_version: u64,
    /// The most others that any of them hears.
    pub(super) hears_most: u32,
    /// Whether any of them knows the upstreams.
    pub(super) knows_upstreams: bool,
}

impl Census {
    pub(super) fn new(at: Time) -> Self {
        Census {
            at,
            heard: BTreeMap::new(),
            newest_version: 0,
            hears_most: 0,
            knows_upstreams: false,
        }
    }

    /// Whether the count still holds.
    pub(super) fn holds(&self, now: Time) -> bool {
        let hosts: usize = self.heard.values().sum();
        let interval = INTERVAL_PER_HOST * u32::try_from(hosts).unwrap_or(u32::MAX);
        now >= self.at && now.since(self.at) < interval
    }

    /// Takes what a host knows.
    pub(super) fn note(&mut self, heard: &Heard) {
        self.newest_version = self.newest_version.max(heard.config);
        self.hears_most = self.hears_most.max(heard.hears);
        self.knows_upstreams |= heard.upstreams > Position::default();
    }

    pub(super) fn heard(&self) -> &BTreeMap<DataCentre, usize> {
        &self.heard
    }

    pub(super) fn heard_in(&self, data_centre: &DataCentre) -> usize {
        self.heard.get(data_centre).copied().unwrap_or(0)
    }

    pub(super) fn add(&mut self, data_centre: &DataCentre) {
        match self.heard.get_mut(data_centre) {
            Some(heard) => *heard += 1,
            None => {
                self.heard.insert(data_centre.clone(), 1);
            }
        }
    }

    pub(super) fn take_off(&mut self, data_centre: &DataCentre) {
        if let Some(heard) = self.heard.get_mut(data_centre) {
            *heard = heard.saturating_sub(1);
        }
    }
}
