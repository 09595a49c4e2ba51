//! Work for other data centres: who offers room there, and when to take it.
//!
//! A request is offered elsewhere only when its own data centre has no usable upstream or every
//! owner asked refused it, and only before dispatch. It is offered once, to owners there, which
//! never pass it on: so there is no loop. An owner takes such work only while nobody of its own
//! waits, and offers only room above a margin, so that two full data centres don't trade work.

use std::collections::BTreeMap;
use std::time::Duration;

use derive_builder::Builder;
use serde::Deserialize;
use serde::Serialize;

use crate::clock::Time;
use crate::id::HostId;
use crate::id::ServiceId;

/// Options of spill.
#[derive(Debug, Clone, PartialEq, Builder, Serialize, Deserialize)]
#[builder(default)]
#[serde(default, deny_unknown_fields)]
pub struct SpillOptions {
    /// Whether work is spilled and taken at all. Default true.
    pub enabled: bool,
    /// Time between two offers to a host of another data centre, in milliseconds. Default 2000.
    pub offer_ms: u64,
    /// An offer is forgotten after this time, in milliseconds. Default 20000.
    pub offer_valid_ms: u64,
    /// An owner takes foreign work only above this free share of its memory, in percent.
    /// Default 25.
    pub margin_percent: u32,
    /// Hosts of other data centres that a request is offered to at once. Default 2.
    pub hosts: usize,
}

impl Default for SpillOptions {
    fn default() -> Self {
        SpillOptions {
            enabled: true,
            offer_ms: 2_000,
            offer_valid_ms: 20_000,
            margin_percent: 25,
            hosts: 2,
        }
    }
}

/// Room that an owner in another data centre offers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Offer {
    /// The owner.
    pub host: HostId,
    /// Free share of its upstreams' memory for each service with room, in percent.
    pub rooms: Vec<Room>,
}

/// Free share of a service's memory at an owner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Room {
    /// The service.
    pub service: ServiceId,
    /// Free share of the memory of its upstreams there, in percent.
    pub free_percent: u32,
}

/// The offers that are known.
#[derive(Debug, Default)]
pub struct Spill {
    options: SpillOptions,
    offers: BTreeMap<HostId, Known>,
}

#[derive(Debug)]
struct Known {
    rooms: Vec<Room>,
    at: Time,
}

impl Spill {
    /// No offers yet.
    pub fn new(options: SpillOptions) -> Self {
        Spill {
            options,
            offers: BTreeMap::new(),
        }
    }

    /// Takes an offer in place of the host's last one.
    pub fn offered(&mut self, now: Time, offer: Offer) {
        let known = Known {
            rooms: offer.rooms,
            at: now,
        };
        self.offers.insert(offer.host, known);
    }

    /// A host cannot be reached: its offer is void.
    pub fn lost(&mut self, host: &HostId) {
        self.offers.remove(host);
    }

    /// The hosts elsewhere with the most room for a service, each counted down by the offer's age.
    pub fn choose(&mut self, now: Time, service: &ServiceId) -> Vec<HostId> {
        if !self.options.enabled {
            return Vec::new();
        }
        let valid = Duration::from_millis(self.options.offer_valid_ms);
        self.offers.retain(|_, known| now.since(known.at) < valid);
        let mut ranked: Vec<(u32, &HostId)> = self
            .offers
            .iter()
            .filter_map(|(host, known)| Some((self.worth(now, known, service)?, host)))
            .collect();
        ranked.sort_by(|left, right| right.cmp(left));
        ranked.truncate(self.options.hosts);
        ranked.into_iter().map(|(_, host)| host.clone()).collect()
    }

    /// What an offer is worth now: none below the margin.
    fn worth(&self, now: Time, known: &Known, service: &ServiceId) -> Option<u32> {
        let room = known.rooms.iter().find(|room| room.service == *service)?;
        if room.free_percent < self.options.margin_percent {
            return None;
        }
        let age_ms = u64::try_from(now.since(known.at).as_millis()).unwrap_or(u64::MAX);
        let left = self.options.offer_valid_ms.saturating_sub(age_ms);
        let share = u64::from(room.free_percent) * left / self.options.offer_valid_ms.max(1);
        u32::try_from(share).ok()
    }
}
