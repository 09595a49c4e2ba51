use super::SnapshotKeeper;
use super::SnapshotOptions;
use super::start_of;
use crate::fold::Outcome;
use crate::id::Offset;
use crate::platform::Record;
use crate::record::ConfigRecord;
use crate::record::Edit;
use crate::record::Snapshot;
use crate::row::ClassRow;
use crate::row::Row;
use crate::table::Table;

#[test]
fn a_snapshot_that_was_overtaken_by_edits_is_started_from_before_them() {
    let mut log = Log::default();
    log.edit("gold");
    let snapshot = Snapshot::of(&log.table);
    log.edit("iron");
    log.snapshot(snapshot);
    log.edit("lead");

    let start = start_of(Offset(1), &log.records[1..]).unwrap();

    assert_eq!(start.next, Offset(1));
    assert_eq!(folded(start, &log.records), log.table);
}

#[test]
fn a_snapshot_whose_edits_are_gone_is_no_start() {
    let mut log = Log::default();
    log.edit("gold");
    let snapshot = Snapshot::of(&log.table);
    log.edit("iron");
    log.snapshot(snapshot);

    let start = start_of(Offset(2), &log.records[2..]);

    assert_eq!(start, None);
}

#[test]
fn one_lying_snapshot_is_outvoted() {
    let mut log = Log::default();
    log.edit("gold");
    let mut lie = log.table.clone();
    lie.put(class("gold", 999), Offset(0));
    log.snapshot(Snapshot::of(&lie));
    log.snapshot(Snapshot::of(&log.table.clone()));
    log.snapshot(Snapshot::of(&log.table.clone()));

    let start = start_of(Offset(1), &log.records[1..]).unwrap();

    assert_eq!(folded(start, &log.records), log.table);
}

#[test]
fn a_snapshot_whose_table_is_not_what_its_header_says_is_no_start() {
    let mut log = Log::default();
    log.edit("gold");
    let mut snapshot = Snapshot::of(&log.table);
    snapshot.table.put(class("gold", 999), Offset(0));
    log.snapshot(snapshot);

    assert_eq!(start_of(Offset(1), &log.records[1..]), None);
}

#[test]
fn a_snapshot_is_due_by_age_by_retention_and_by_bad_ones() {
    let options = SnapshotOptions {
        retention_ms: 4_000,
        ..SnapshotOptions::default()
    };
    let mut log = Log::default();
    log.edit("gold");
    let good = Snapshot::of(&log.table);
    let mut keeper = SnapshotKeeper::new(options);
    keeper.passed(&log.records[0]);

    let young = keeper.is_due(999);
    let aged = keeper.is_due(1_000);
    keeper.saw(&at(1, 1_000), good.header(), Some(log.table.digest()));
    let satisfied = keeper.is_due(1_999);
    keeper.retained(Offset(2));
    let expired = keeper.is_due(1_999);

    assert_eq!(
        (young, aged, satisfied, expired),
        (false, true, false, true)
    );
}

#[test]
fn bad_snapshots_make_good_ones_due_until_these_are_more() {
    let mut log = Log::default();
    log.edit("gold");
    let good = Snapshot::of(&log.table).header();
    let mut bad = good;
    bad.digest.rows += 1;
    let mut keeper = SnapshotKeeper::new(SnapshotOptions::default());

    let disagrees = keeper.saw(&at(1, 0), bad, Some(log.table.digest()));
    let after_bad = keeper.is_due(0);
    keeper.saw(&at(2, 0), good, Some(log.table.digest()));
    let at_par = keeper.is_due(0);
    keeper.saw(&at(3, 0), good, Some(log.table.digest()));
    let outvoted = keeper.is_due(0);

    assert!(disagrees);
    assert_eq!((after_bad, at_par, outvoted), (true, true, false));
}

#[derive(Default)]
struct Log {
    records: Vec<Record>,
    table: Table,
}

impl Log {
    fn edit(&mut self, name: &str) {
        let edit = Edit::adding("olga", [class(name, 1)]);
        let outcome = self.push(&ConfigRecord::Edit(edit));
        assert!(matches!(outcome, Outcome::Applied(_)));
    }

    fn snapshot(&mut self, snapshot: Snapshot) {
        self.push(&ConfigRecord::Snapshot(snapshot));
    }

    fn push(&mut self, record: &ConfigRecord) -> Outcome {
        let record = Record {
            data: record.to_text().unwrap(),
            ..at(self.records.len() as u64, 0)
        };
        self.records.push(record.clone());
        self.table.apply(&record)
    }
}

fn folded(mut table: Table, records: &[Record]) -> Table {
    for record in records {
        if record.offset == table.next {
            table.apply(record);
        }
    }
    table
}

fn at(offset: u64, appended_at_ms: u64) -> Record {
    Record {
        offset: Offset(offset),
        appended_at_ms,
        data: String::new(),
    }
}

fn class(name: &str, weight: u32) -> Row {
    Row::Class(ClassRow {
        class: name.into(),
        weight,
        engine_priority: 1,
        max_wait_ms: 1_000,
    })
}
