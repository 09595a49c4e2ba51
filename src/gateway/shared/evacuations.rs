//! The data centres that operators have evacuated: updates from the log and from peers, and announcements
//! to peers.

use std::collections::BTreeSet;

use super::Shared;
use crate::event::EventCode;
use crate::gateway::evacuations::AnnouncedEvacuations;
use crate::gateway::evacuations::EvacuationChange;
use crate::gateway::evacuations::EvacuationRecord;
use crate::gateway::position::Position;
use crate::gateway::protocol::Record;
use crate::id::DataCentre;

impl Shared {
    /// This host's state of evacuations, as announced to peers.
    pub(crate) fn announced_evacuations(&self) -> AnnouncedEvacuations {
        let now = self.now();
        self.directory(|directory| directory.evacuations().announce(now))
    }

    /// Replaces the evacuations by those in a full read of the operators' topic, as of `end`.
    pub(crate) fn replace_evacuations(&self, records: &[Record], end: Position) {
        let evacuated = self.decode_evacuations(records);
        let data_centres: BTreeSet<_> = evacuated
            .into_iter()
            .filter(|record| record.is_evacuated)
            .map(|record| record.data_centre)
            .collect();
        let now = self.now();
        let changes = self.directory(|directory| {
            let evacuations = directory.evacuations_mut();
            evacuations.replace(now, data_centres, end)
        });
        self.report_evacuations(&changes, "log");
    }

    /// Applies the next records of the operators' topic, up to `read_to`.
    pub(crate) fn apply_evacuations(&self, records: &[Record], read_to: Position) {
        let records = self.decode_evacuations(records);
        let now = self.now();
        let changes = self.directory(|directory| {
            let evacuations = directory.evacuations_mut();
            evacuations.apply(now, &records, read_to)
        });
        self.report_evacuations(&changes, "log");
    }

    /// Merges the evacuations that a peer announces.
    pub(crate) fn receive_evacuations(&self, announced: &AnnouncedEvacuations, source: &str) {
        let now = self.now();
        let changes = self.directory(|directory| directory.evacuations_mut().merge(now, announced));
        self.report_evacuations(&changes, source);
    }

    /// Drops evacuations of an earlier log era that operators have not written again in time.
    pub(crate) fn expire_evacuations(&self) {
        let now = self.now();
        let changes = self.directory(|directory| directory.evacuations_mut().expire(now));
        self.report_evacuations(&changes, "not written again since the log's return");
    }

    fn decode_evacuations(&self, records: &[Record]) -> Vec<EvacuationRecord> {
        let decoded = records.iter().filter_map(|record| {
            let value = record.value.as_deref();
            let evacuation = self.protocol().decode_evacuation(&record.key, value)?;
            if let Some(flaw) = &evacuation.flaw {
                self.log_bad_record(&record.key, flaw);
            }
            let is_known = self.is_known(&evacuation.data_centre);
            if !is_known {
                self.log_bad_record(&record.key, "no data centre of this deployment");
            }
            is_known.then_some(evacuation)
        });
        decoded.collect()
    }

    /// Whether the settings name a data centre, or none at all.
    fn is_known(&self, data_centre: &DataCentre) -> bool {
        let regions = &self.settings().regions;
        regions.is_empty() || regions.contains_key(data_centre)
    }

    pub(super) fn log_bad_record(&self, key: &str, reason: &str) {
        let line = self.log().entry(EventCode::RecordSkipped);
        line.with("source", "log")
            .with("key", key)
            .with("reason", reason)
            .write();
    }

    fn report_evacuations(&self, changes: &[EvacuationChange], source: &str) {
        for change in changes {
            let code = match change.is_evacuated {
                true => EventCode::DataCentreEvacuated,
                false => EventCode::DataCentreTakenBack,
            };
            let (position, upstreams) = self.directory(|directory| {
                let position = directory.evacuations().as_of();
                (position, directory.listed_in(&change.data_centre).count())
            });
            let line = self.log().entry(code);
            line.with("data_centre", change.data_centre.as_str())
                .with("upstreams", upstreams)
                .with("position", position.to_string())
                .with("source", source)
                .write();
        }
        if !changes.is_empty() {
            self.announce_now();
        }
    }
}
