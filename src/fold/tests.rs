use super::Outcome;
use crate::id::ClassId;
use crate::id::Offset;
use crate::platform::Record;
use crate::record::ConfigRecord;
use crate::record::Edit;
use crate::record::RowDelete;
use crate::record::RowEdit;
use crate::record::RowKey;
use crate::record::RowKind;
use crate::record::Snapshot;
use crate::row::ClassRow;
use crate::row::CustomerRow;
use crate::row::Row;
use crate::table::Table;
use crate::table::key_sha256;

#[test]
fn of_two_edits_made_from_the_same_version_the_first_wins() {
    let mut table = Table::default();
    apply(&mut table, &Edit::adding("setup", [class("gold", 10)]));

    let first = apply(&mut table, &changing(Some(0), class("gold", 20)));
    let second = apply(&mut table, &changing(Some(0), class("gold", 30)));

    assert!(matches!(first, Outcome::Applied(_)));
    let Outcome::Rejected { rejection, .. } = second else {
        panic!("the second edit must be rejected: {second:?}");
    };
    assert_eq!(rejection.conflicts[0].base, Some(Offset(0)));
    assert_eq!(rejection.conflicts[0].found, Some(Offset(1)));
    assert_eq!(table.classes[&ClassId::from("gold")].row.weight, 20);
    assert_eq!(table.next, Offset(3));
}

#[test]
fn an_edit_with_one_bad_row_changes_nothing() {
    let mut table = Table::default();
    let edit = Edit::adding("setup", [class("gold", 10), class("iron", 0)]);

    let outcome = apply(&mut table, &edit);

    let Outcome::Rejected { rejection, .. } = outcome else {
        panic!("a weight of 0 must be rejected: {outcome:?}");
    };
    assert_eq!(
        rejection.faults[0].to_string(),
        "class/iron weight: 0 is not in 1 to 1000"
    );
    assert!(table.is_empty());
}

#[test]
fn a_key_moves_between_customers_only_in_one_edit() {
    let mut table = Table::default();
    let rows = [
        class("gold", 1),
        customer("anna", &["k"]),
        customer("bert", &[]),
    ];
    apply(&mut table, &Edit::adding("setup", rows));

    let stolen = apply(&mut table, &changing(Some(0), customer("bert", &["k"])));
    let mut edit = changing(Some(0), customer("bert", &["k"]));
    edit.rows
        .extend(changing(Some(0), customer("anna", &[])).rows);
    let moved = apply(&mut table, &edit);

    assert!(matches!(stolen, Outcome::Rejected { .. }));
    assert!(matches!(moved, Outcome::Applied(_)));
    assert_eq!(
        table.customer_by_key("k").unwrap().customer.as_str(),
        "bert"
    );
}

#[test]
fn a_class_in_use_is_not_deleted() {
    let mut table = Table::default();
    let rows = [class("gold", 1), customer("anna", &[])];
    apply(&mut table, &Edit::adding("setup", rows));
    let mut edit = Edit::adding("olga", []);
    edit.deletes.push(RowDelete {
        base: Offset(0),
        key: RowKey::new(RowKind::Class, "gold"),
    });

    let outcome = apply(&mut table, &edit);

    assert!(matches!(outcome, Outcome::Rejected { .. }));
    assert_eq!(table.classes.len(), 1);
}

#[test]
fn what_does_not_parse_is_skipped_and_a_snapshot_changes_nothing() {
    let mut table = Table::default();
    apply(&mut table, &Edit::adding("setup", [class("gold", 1)]));
    let mut other = table.clone();
    other.put(class("gold", 500), Offset(0));
    let snapshot = ConfigRecord::Snapshot(Snapshot::of(&other));

    let rows_before = table.digest().rows;
    let skipped = table.apply(&record(&table, r#"{"type":"edit","rows":[]}"#));
    let passed = table.apply(&record(&table, &snapshot.to_text().unwrap()));

    assert!(matches!(skipped, Outcome::Skipped { .. }));
    assert!(matches!(passed, Outcome::Snapshot(_)));
    assert_eq!(table.digest().rows, rows_before);
    assert_eq!(table.next, Offset(3));
}

fn apply(table: &mut Table, edit: &Edit) -> Outcome {
    let text = ConfigRecord::Edit(edit.clone()).to_text().unwrap();
    table.apply(&record(table, &text))
}

fn record(table: &Table, data: &str) -> Record {
    Record {
        offset: table.next,
        appended_at_ms: 0,
        data: data.to_owned(),
    }
}

fn changing(base: Option<u64>, row: Row) -> Edit {
    let base = base.map(Offset);
    Edit {
        rows: vec![RowEdit { base, row }],
        ..Edit::adding("olga", [])
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

fn customer(name: &str, keys: &[&str]) -> Row {
    Row::Customer(CustomerRow {
        customer: name.into(),
        key_sha256: keys.iter().map(|key| key_sha256(key)).collect(),
        weight: 1,
        classes: vec!["gold".into()],
        requests_per_s: 10,
        tokens_per_s: 1_000,
        concurrent_generations: 4,
        queue_length: 8,
    })
}
