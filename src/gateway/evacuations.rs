//! The data centres that operators have evacuated: their upstreams get no new work until they are taken back.
//!
//! Operators say so in their topic of the log. What they have said is known as of a position of it, and it is a
//! few names, so hosts tell each other all of it: the word of a later position replaces that of an earlier one,
//! in whatever order words arrive and however many are lost.
//!
//! A log that returns from an older copy may lack an evacuation until operators have written it again. One that was
//! in force in an earlier history is therefore kept for [`RETENTION`], unless the later history tells of it.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::clock::Time;
use crate::gateway::position::Position;
use crate::id::DataCentre;

/// Operators have written again by then what the log lost in its return.
const RETENTION: Duration = Duration::from_secs(10);

/// What a record of the operators says of one data centre.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EvacuationRecord {
    /// The data centre.
    pub data_centre: DataCentre,
    /// Whether it is evacuated from here on, or taken back.
    pub is_evacuated: bool,
    /// What is wrong with the record's value. Its key alone counts.
    pub flaw: Option<String>,
}

/// What a host knows of evacuations, as it tells others.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnnouncedEvacuations {
    /// The position of the operators' topic up to which this is all; the first one of all if nothing is known.
    pub as_of: Position,
    /// What is evacuated by the log.
    pub data_centres: BTreeSet<DataCentre>,
    /// What was in an earlier history of the log, and for how many milliseconds more that counts.
    pub kept_ms: BTreeMap<DataCentre, u32>,
}

/// A data centre was evacuated or taken back.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EvacuationChange {
    /// The data centre.
    pub data_centre: DataCentre,
    /// Whether it is evacuated now.
    pub is_evacuated: bool,
}

/// The evacuations as one host knows them.
#[derive(Debug, Default)]
pub struct Evacuations {
    as_of: Position,
    data_centres: BTreeSet<DataCentre>,
    /// What was evacuated in an earlier history of the log, and until when that counts.
    retained_until: BTreeMap<DataCentre, Time>,
}

impl Evacuations {
    /// Whether anything is known: a host that has not heard of evacuations doesn't know that there are none.
    pub fn is_known(&self) -> bool {
        self.as_of != Position::default()
    }

    /// The position of the operators' topic up to which all is known.
    pub fn as_of(&self) -> Position {
        self.as_of
    }

    /// Whether the upstreams of a data centre get no new work.
    pub fn contains(&self, data_centre: &DataCentre) -> bool {
        self.data_centres.contains(data_centre) || self.retained_until.contains_key(data_centre)
    }

    /// The data centres that are evacuated.
    pub fn all(&self) -> BTreeSet<DataCentre> {
        let retained = self.retained_until.keys();
        self.data_centres.iter().chain(retained).cloned().collect()
    }

    /// Takes all that the log holds as of `as_of`.
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
        };
        self.merge(now, &announced)
    }

    /// Takes the records of the operators between the last position that was read and `read_to`.
    pub fn apply(
        &mut self,
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
                true => self.data_centres.insert(record.data_centre.clone()),
                false => self.data_centres.remove(&record.data_centre),
            };
        }
        self.as_of = read_to;
        self.changes_since(&before)
    }

    /// What this host knows, for others.
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
        }
    }

    /// Takes what the log or another host tells.
    pub fn merge(&mut self, now: Time, announced: &AnnouncedEvacuations) -> Vec<EvacuationChange> {
        if announced.as_of < self.as_of {
            return Vec::new();
        }
        let before = self.all();
        if announced.as_of > self.as_of {
            self.advance(now, announced);
        }
        for (data_centre, left_ms) in &announced.kept_ms {
            let left = Duration::from_millis(u64::from(*left_ms)).min(RETENTION);
            self.retain(data_centre.clone(), now + left);
        }
        self.changes_since(&before)
    }

    /// Goes on from a later word. Where that is of a later history of the log, what it lacks is kept.
    fn advance(&mut self, now: Time, announced: &AnnouncedEvacuations) {
        let is_return = self.is_known() && announced.as_of.era > self.as_of.era;
        let before = std::mem::replace(&mut self.data_centres, announced.data_centres.clone());
        match is_return {
            true => before.into_iter().for_each(|data_centre| {
                self.retain(data_centre, now + RETENTION);
            }),
            false => self.retained_until.clear(),
        }
        self.retained_until
            .retain(|data_centre, _| !announced.data_centres.contains(data_centre));
        self.as_of = announced.as_of;
    }

    fn retain(&mut self, data_centre: DataCentre, until: Time) {
        if self.data_centres.contains(&data_centre) {
            return;
        }
        let retained = self.retained_until.entry(data_centre).or_insert(until);
        *retained = (*retained).max(until);
    }

    /// Drops what was kept and not written again.
    pub fn expire(&mut self, now: Time) -> Vec<EvacuationChange> {
        let before = self.all();
        self.retained_until.retain(|_, until| *until > now);
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
