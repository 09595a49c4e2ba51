//! The data centres that operators have evacuated, as this host learns of them and tells of them.

use std::collections::BTreeSet;

use super::Shared;
use crate::event::EventCode;
use crate::gateway::evacuations::EvacuationChange;
use crate::gateway::evacuations::EvacuationRecord;
use crate::gateway::evacuations::ToldEvacuations;
use crate::gateway::position::Position;
use crate::gateway::protocol::Record;

impl Shared {
    /// What this host knows of evacuations, for others.
    pub(crate) fn announced_evacuations(&self) -> ToldEvacuations {
        let now = self.now();
        self.directory(|directory| directory.evacuations().tell(now))
    }

    /// Takes all records that the operators' topic of the log holds as of `end`.
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

    /// Takes the next records of the operators' topic, up to `read_to`.
    pub(crate) fn apply_evacuations(&self, records: &[Record], read_to: Position) {
        let records = self.decode_evacuations(records);
        let changes =
            self.directory(|directory| directory.evacuations_mut().apply(&records, read_to));
        self.report_evacuations(&changes, "log");
    }

    /// Another host tells what it knows.
    pub(crate) fn receive_evacuations(&self, announced: &ToldEvacuations, source: &str) {
        let now = self.now();
        let changes = self.directory(|directory| directory.evacuations_mut().hear(now, announced));
        self.report_evacuations(&changes, source);
    }

    /// Drops what an earlier history of the log said, once operators had time to write it again.
    pub(crate) fn expire_evacuations(&self) {
        let now = self.now();
        let changes = self.directory(|directory| directory.evacuations_mut().lapse(now));
        self.report_evacuations(&changes, "not written again since the log's return");
    }

    fn decode_evacuations(&self, records: &[Record]) -> Vec<EvacuationRecord> {
        let decoded = records.iter().filter_map(|record| {
            let value = record.value.as_deref();
            let evacuation = self.protocol().evacuation(&record.key, value)?;
            if let Some(flaw) = &evacuation.flaw {
                self.log_bad_record(&record.key, flaw);
            }
            Some(evacuation)
        });
        decoded.collect()
    }

    pub(super) fn log_bad_record(&self, key: &str, reason: &str) {
        let line = self.log().line(EventCode::RecordSkipped);
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
            let line = self.log().line(code);
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
