//! Evidence other than an entry that an instance is leaving or gone, and when that evidence ends.
//!
//! Each statement refers to a position of the log. If it rests on the log, a later record that lists the instance as
//! ready ends it on every host that reads the record or learns of it. All statements end after a time.

use std::cmp::Ordering;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::Directory;
use super::REMOVAL_TTL;
use super::UpstreamState;
use super::entry::Entry;
use crate::clock::Time;
use crate::gateway::instance::InstanceId;
use crate::gateway::position::Position;

/// How long an observation lasts if no record ends it. An instance that still leaves then says so again in its
/// next answer.
const OBSERVATION_TTL: Duration = Duration::from_secs(60);

/// The same if the log was restored from a copy that lists an instance as ready which had left. The platform
/// removes entries that are not renewed for a few seconds, so the entry of an instance that is gone ends earlier.
const RESTORED_LISTING_TTL: Duration = Duration::from_secs(10);

/// How long an observation is announced once the instance is no longer listed as ready.
const ANNOUNCEMENT_TTL: Duration = Duration::from_secs(10);

/// What shows that an instance is leaving or gone.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Witness {
    /// Its entry in the log, or the lack of one. A later listing as ready supersedes that.
    Log,
    /// Its own answer or report, or another instance at its address. The log may list it as ready until it takes the
    /// leaving notice, so no listing takes that back.
    Instance,
}

/// The statement that an instance is leaving or gone, as exchanged between hosts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Departure {
    /// The instance.
    pub id: InstanceId,
    /// The log position up to which the statement holds.
    pub as_of: Position,
    /// What it rests on.
    pub witness: Witness,
}

impl Departure {
    /// Whether the record at `position`, which lists the instance as ready, was written later.
    fn is_superseded_by(&self, position: Position) -> bool {
        match self.witness {
            Witness::Log => position > self.as_of,
            Witness::Instance => false,
        }
    }
}

/// An observation that an instance is leaving or gone. It is kept for [`REMOVAL_TTL`] after its end, so that peers
/// whose observation ends later don't renew it.
#[derive(Debug, Clone, Copy)]
pub(super) struct Observation {
    pub(super) first_at: Time,
    until: Time,
    as_of: Position,
    witness: Witness,
    is_ended: bool,
}

impl Observation {
    fn new(now: Time, as_of: Position, witness: Witness, ttl: Duration) -> Self {
        Observation {
            first_at: now,
            until: now + ttl,
            as_of,
            witness,
            is_ended: false,
        }
    }

    /// The observation that the record at `position` lists an instance as ready that has left.
    pub(super) fn of_restored_listing(now: Time, position: Position) -> Self {
        Observation::new(now, position, Witness::Log, RESTORED_LISTING_TTL)
    }

    /// Ends the observation if its time is over. Returns whether it still has to be kept.
    pub(super) fn expire(&mut self, now: Time) -> bool {
        self.is_ended |= self.until <= now;
        now < self.until + REMOVAL_TTL
    }
}

impl Directory {
    /// Records that the instance itself, or another one at its address, showed it to be leaving or gone. Returns
    /// whether this was not known before.
    pub fn observe_leaving(&mut self, now: Time, id: &InstanceId) -> bool {
        let as_of = self.entry_of(id).map_or(self.position, |entry| {
            entry.latest_position().max(entry.position)
        });
        match self.observed_leaving.get_mut(id) {
            Some(known) if !known.is_ended => {
                known.until = now + OBSERVATION_TTL;
                known.as_of = known.as_of.max(as_of);
                known.witness = Witness::Instance;
                false
            }
            Some(_) | None => {
                let observation = Observation::new(now, as_of, Witness::Instance, OBSERVATION_TTL);
                self.observed_leaving.insert(id.clone(), observation);
                true
            }
        }
    }

    /// Records a peer's statement that an instance is leaving or gone, unless a later record lists the instance as
    /// ready. Returns whether this was not known before.
    pub fn receive_departure(&mut self, now: Time, departure: &Departure) -> bool {
        let Departure { id, as_of, witness } = departure;
        let is_superseded = self.entry_of(id).is_some_and(|entry| {
            entry.upstream.state == UpstreamState::Ready
                && departure.is_superseded_by(entry.position)
        });
        let is_known = self.observed_leaving.get(id).is_some_and(|known| {
            let is_as_late = known.as_of >= *as_of;
            is_as_late && (known.is_ended || known.witness >= *witness)
        });
        if is_superseded || is_known {
            return false;
        }
        let observation = Observation::new(now, *as_of, *witness, OBSERVATION_TTL);
        let replaced = self.observed_leaving.insert(id.clone(), observation);
        replaced.is_none_or(|known| known.is_ended)
    }

    /// Ends the observation of an instance that the record at `position` lists as ready. `order` compares that
    /// statement to the last one known before.
    pub(super) fn clear_observation(
        &mut self,
        id: &InstanceId,
        position: Position,
        order: Ordering,
    ) {
        let is_ended = self.observed_leaving.get(id).is_some_and(|known| {
            // Offsets of a restored log say nothing about the order of what happened before.
            let is_ordered = known.as_of.era == position.era || order == Ordering::Greater;
            is_ordered && known.witness == Witness::Log && known.as_of < position
        });
        if is_ended {
            self.observed_leaving.remove(id);
        }
    }

    /// The observation that an instance is leaving or gone, if there is one that has not ended.
    pub(super) fn observation(&self, id: &InstanceId) -> Option<&Observation> {
        let known = self.observed_leaving.get(id);
        known.filter(|known| !known.is_ended)
    }

    /// Departures that were observed and that other hosts may not know: recent ones, and those of instances that
    /// are still listed as ready.
    pub fn announced_leaving(&self, now: Time) -> impl Iterator<Item = Departure> {
        let observed = self.observed_leaving.iter();
        let announced = observed.filter(move |(id, known)| {
            let is_ready = self
                .get(id)
                .is_some_and(|upstream| upstream.state == UpstreamState::Ready);
            !known.is_ended && (now.since(known.first_at) < ANNOUNCEMENT_TTL || is_ready)
        });
        announced.map(|(id, known)| Departure {
            id: id.clone(),
            as_of: known.as_of,
            witness: known.witness,
        })
    }

    /// What this host knows of the departure of an instance; `None` if it takes new work. A rollout that moved work
    /// to another version is no departure.
    pub fn departure(&self, id: &InstanceId) -> Option<Departure> {
        let entry = self.entry_of(id);
        let listed = entry.filter(|entry| entry.upstream.state == UpstreamState::Leaving);
        let removed = self.removed.get(id.upstream());
        let removed = removed.filter(|removal| removal.instance == *id);
        let by_log = listed
            .map(|entry| entry.position)
            .or_else(|| removed.map(|removal| removal.position));
        let (as_of, witness) = match by_log {
            Some(position) => (position, Witness::Log),
            None => {
                let known = self.observation(id)?;
                (known.as_of, known.witness)
            }
        };
        Some(Departure {
            id: id.clone(),
            as_of,
            witness,
        })
    }

    fn entry_of(&self, id: &InstanceId) -> Option<&Entry> {
        let entry = self.entries.get(id.upstream());
        entry.filter(|entry| entry.upstream.id == *id)
    }
}
