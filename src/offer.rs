//! Judges what a peer offers of the configuration: only what continues this host's own history.

use crate::event::EventCode;
use crate::id::Offset;
use crate::peer::ConfigTail;
use crate::record::ConfigRecord;
use crate::record::Snapshot;
use crate::table::Table;

/// What a peer's answer to `config_tail` is worth.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum Offer {
    /// It says nothing new.
    Nothing,
    /// Its records follow on the table held, or make one from nothing.
    Records,
    /// Its table is of the same stream and further on; its records follow on that.
    Table(Box<Table>),
    /// It is damaged or has another history.
    Refused(EventCode, &'static str),
}

impl Offer {
    /// Judges `tail` by the table held, if one is.
    pub(crate) fn of(tail: &ConfigTail, own: Option<&Table>) -> Self {
        match &tail.snapshot {
            Some(text) => Offer::of_table(text, own),
            None => Offer::of_records(tail, own),
        }
    }

    fn of_table(text: &str, own: Option<&Table>) -> Self {
        let Some(snapshot) = parse(text) else {
            return Offer::Refused(EventCode::SnapshotDisagrees, "from a peer");
        };
        let (next, origin) = own.map_or((Offset(0), 0), |own| (own.next, own.origin));
        if origin != 0 && origin != snapshot.table.origin {
            return Offer::Refused(EventCode::ConfigForeign, "a peer's table");
        }
        if snapshot.as_of > next {
            Offer::Table(Box::new(snapshot.table))
        } else {
            Offer::Nothing
        }
    }

    fn of_records(tail: &ConfigTail, own: Option<&Table>) -> Self {
        let empty = Table::default();
        let own = own.unwrap_or(&empty);
        if tail.records.first().map(|record| record.offset) != Some(own.next) {
            return Offer::Nothing;
        }
        if tail.base != Some(own.digest()) {
            return Offer::Refused(EventCode::ConfigForeign, "a peer's records");
        }
        Offer::Records
    }
}

fn parse(text: &str) -> Option<Snapshot> {
    match ConfigRecord::parse(text) {
        Ok(ConfigRecord::Snapshot(snapshot)) if snapshot.is_consistent() => Some(snapshot),
        Ok(_) | Err(_) => None,
    }
}
