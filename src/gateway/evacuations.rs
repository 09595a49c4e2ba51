//! Data centres that operators have evacuated: their upstreams get no new work until the evacuation ends.
//!
//! Operators write evacuations to their topic of the log. The set is a few names and is known as of a
//! position of that topic, so hosts announce all of it: the set of a later position replaces that of an
//! earlier one, whatever the order or loss of announcements.
//!
//! A log restored from an older copy, which begins a new era, may lack an evacuation until operators have
//! written it again. An evacuation of the era before is therefore retained for [`RETENTION`], unless the
//! new era has a record of it. That a set lacks a data centre doesn't say that there is such a record, so
//! hosts that read one which ends an evacuation announce that for as long as others may retain it.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::clock::Time;
use crate::gateway::position::Position;
use crate::id::DataCentre;

/// How long evacuations that a restored log lacks stay in force. Operators have rewritten them by then.
const RETENTION: Duration = Duration::from_secs(10);

/// An operators' record that starts or ends the evacuation of one data centre.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EvacuationRecord {
    /// The data centre.
    pub data_centre: DataCentre,
    /// Whether the record starts the evacuation or ends it.
    pub is_evacuated: bool,
    /// Why the record's value can't be read. The record takes effect by its key alone.
    pub flaw: Option<String>,
}

/// The evacuations that a host knows, as it announces them to its peers.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnnouncedEvacuations {
    /// The position of the operators' topic that the set reflects; the default if nothing is known.
    pub as_of: Position,
    /// The data centres that are evacuated according to the log.
    pub data_centres: BTreeSet<DataCentre>,
    /// Data centres evacuated in an earlier era only, with the milliseconds for which they are still
    /// retained.
    pub kept_ms: BTreeMap<DataCentre, u32>,
    /// Data centres whose evacuation a recent record of this era ended.
    #[serde(default)]
    pub ended: BTreeSet<DataCentre>,
}

/// The start or the end of a data centre's evacuation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EvacuationChange {
    /// The data centre.
    pub data_centre: DataCentre,
    /// Whether it is evacuated now.
    pub is_evacuated: bool,
}

/// The evacuations known to one host.
#[derive(Debug, Default)]
pub struct Evacuations {
    as_of: Position,
    data_centres: BTreeSet<DataCentre>,
    /// Data centres evacuated in an earlier era only, with the time at which their retention ends.
    retained_until: BTreeMap<DataCentre, Time>,
    /// Data centres whose evacuation a record of this era ended, with the time until which that is
    /// announced.
    ended_until: BTreeMap<DataCentre, Time>,
}

impl Evacuations {
    /// Whether the evacuations are known. A host that has received none doesn't know that there are none.
    pub fn is_known(&self) -> bool {
        self.as_of != Position::default()
    }

    /// The position of the operators' topic that the set reflects.
    pub fn as_of(&self) -> Position {
        self.as_of
    }

    /// Whether a data centre is evacuated.
    pub fn contains(&self, data_centre: &DataCentre) -> bool {
        self.data_centres.contains(data_centre) || self.retained_until.contains_key(data_centre)
    }

    /// All evacuated data centres, including retained ones.
    pub fn all(&self) -> BTreeSet<DataCentre> {
        let retained = self.retained_until.keys();
        self.data_centres.iter().chain(retained).cloned().collect()
    }

    /// Replaces the set by the one that the log holds as of `as_of`.
    pub fn replace(
        &mut self,
        now: Time,
        data_centres: BTreeSet<DataCentre>,
        as_of: Position,
    ) -> Vec<EvacuationChange> {
        let announced = AnnouncedEvacuations {
            as_of,
            data_centres,
            kept_ms: BTreeMap::new(),
            ended: BTreeSet::new(),
        };
        self.merge(now, &announced)
    }

    /// Applies the operators' records between the last position read and `read_to`.
    pub fn apply(
        &mut self,
        now: Time,
        records: &[EvacuationRecord],
        read_to: Position,
    ) -> Vec<EvacuationChange> {
        if read_to <= self.as_of {
            return Vec::new();
        }
        let before = self.all();
        for record in records {
            self.retained_until.remove(&record.data_centre);
            match record.is_evacuated {
                true => {
                    self.ended_until.remove(&record.data_centre);
                    self.data_centres.insert(record.data_centre.clone());
                }
                false => {
                    self.data_centres.remove(&record.data_centre);
                    self.end_retention(now, record.data_centre.clone());
                }
            }
        }
        self.as_of = read_to;
        self.changes_since(&before)
    }

    /// The announcement of this host's evacuations to its peers.
    pub fn announce(&self, now: Time) -> AnnouncedEvacuations {
        let left_ms =
            |until: &Time| u32::try_from(until.since(now).as_millis()).unwrap_or(u32::MAX);
        let retained = self.retained_until.iter();
        AnnouncedEvacuations {
            as_of: self.as_of,
            data_centres: self.data_centres.clone(),
            kept_ms: retained
                .map(|(data_centre, until)| (data_centre.clone(), left_ms(until)))
                .collect(),
            ended: self.ended_until.keys().cloned().collect(),
        }
    }

    /// Merges the evacuations read from the log or announced by a peer.
    pub fn merge(&mut self, now: Time, announced: &AnnouncedEvacuations) -> Vec<EvacuationChange> {
        if announced.as_of < self.as_of {
            return Vec::new();
        }
        let before = self.all();
        if announced.as_of > self.as_of {
            self.advance(now, announced);
        }
        for data_centre in &announced.ended {
            if !self.ended_until.contains_key(data_centre) {
                self.end_retention(now, data_centre.clone());
            }
        }
        for (data_centre, left_ms) in &announced.kept_ms {
            let left = Duration::from_millis(u64::from(*left_ms)).min(RETENTION);
            self.retain(data_centre.clone(), now + left);
        }
        self.changes_since(&before)
    }

    /// Moves to the set of a later position. In a later era, evacuations that the new set lacks are retained.
    fn advance(&mut self, now: Time, announced: &AnnouncedEvacuations) {
        let is_return = self.is_known() && announced.as_of.era > self.as_of.era;
        let before = std::mem::replace(&mut self.data_centres, announced.data_centres.clone());
        if is_return {
            self.ended_until.clear();
            for data_centre in before {
                self.retain(data_centre, now + RETENTION);
            }
        }
        self.retained_until
            .retain(|data_centre, _| !announced.data_centres.contains(data_centre));
        self.as_of = announced.as_of;
    }

    /// Ends the retention of an evacuation, as a record of this era ended it.
    fn end_retention(&mut self, now: Time, data_centre: DataCentre) {
        self.retained_until.remove(&data_centre);
        self.ended_until.insert(data_centre, now + RETENTION);
    }

    /// Retains an evacuation until the given time, unless this era has a record of it.
    fn retain(&mut self, data_centre: DataCentre, until: Time) {
        let has_record =
            self.data_centres.contains(&data_centre) || self.ended_until.contains_key(&data_centre);
        if has_record {
            return;
        }
        let retained = self.retained_until.entry(data_centre).or_insert(until);
        *retained = (*retained).max(until);
    }

    /// Drops evacuations whose retention has ended.
    pub fn expire(&mut self, now: Time) -> Vec<EvacuationChange> {
        let before = self.all();
        self.retained_until.retain(|_, until| *until > now);
        self.ended_until.retain(|_, until| *until > now);
        self.changes_since(&before)
    }

    fn changes_since(&self, before: &BTreeSet<DataCentre>) -> Vec<EvacuationChange> {
        let after = self.all();
        let changed = before.symmetric_difference(&after);
        changed
            .map(|data_centre| EvacuationChange {
                data_centre: data_centre.clone(),
                is_evacuated: after.contains(data_centre),
            })
            .collect()
    }
}

#[cfg(test)]
mod tests;
