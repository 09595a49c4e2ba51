//! The configuration reader: the table by number of customers.

use crate::fit::Series;
use crate::fit::bytes_held;
use crate::fit::nanos_each;
use cedargauge::id::ClassId;
use cedargauge::id::CustomerId;
use cedargauge::id::Offset;
use cedargauge::platform::Record;
use cedargauge::record::ConfigRecord;
use cedargauge::record::Edit;
use cedargauge::record::Snapshot;
use cedargauge::row::ClassRow;
use cedargauge::row::CustomerRow;
use cedargauge::row::Row;
use cedargauge::table::Table;
use cedargauge::table::key_sha256;

const CUSTOMERS: [usize; 4] = [1_000, 4_000, 12_000, 36_000];
const LOOKUPS: usize = 2_000;
const EDITS: usize = 50;
const SNAPSHOTS: usize = 3;

/// Prints the slopes of the configuration reader.
pub fn measure() {
    Series::measure("table, held by customers", &CUSTOMERS, |customers| {
        bytes_held(|| table(customers))
    })
    .print("bytes");
    Series::measure("lookup of a customer by key", &CUSTOMERS, |customers| {
        let table = table(customers);
        nanos_each(LOOKUPS, |index| {
            let found = table.customer_by_key(&key(index % customers));
            assert!(found.is_some());
        })
    })
    .print("ns");
    Series::measure("fold of an edit of one row", &CUSTOMERS, |customers| {
        let mut table = table(customers);
        nanos_each(EDITS, |index| fold_one(&mut table, index))
    })
    .print("ns");
    Series::measure("snapshot, its text", &CUSTOMERS, |customers| {
        snapshot(&table(customers)).len() as f64
    })
    .print("bytes");
    Series::measure("snapshot, written", &CUSTOMERS, |customers| {
        let table = table(customers);
        nanos_each(SNAPSHOTS, |_| drop(snapshot(&table)))
    })
    .print("ns");
    Series::measure("snapshot, read and indexed", &CUSTOMERS, |customers| {
        let text = snapshot(&table(customers));
        nanos_each(SNAPSHOTS, |_| {
            let read = ConfigRecord::parse(&text);
            assert!(read.is_ok());
        })
    })
    .print("ns");
}

fn snapshot(table: &Table) -> String {
    let record = ConfigRecord::Snapshot(Snapshot::of(table));
    record.to_text().expect("snapshots encode")
}

/// A customer's row; its shape is that of the examples.
pub fn customer(index: usize) -> CustomerRow {
    CustomerRow {
        customer: CustomerId::new(format!("customer-{index:05}")),
        key_sha256: vec![key_sha256(&key(index))],
        weight: 1,
        classes: vec![ClassId::from("standard")],
        requests_per_s: 100,
        tokens_per_s: 10_000,
        concurrent_generations: 50,
        queue_length: 50,
    }
}

fn key(index: usize) -> String {
    format!("key-{index}")
}

fn class() -> Row {
    Row::Class(ClassRow {
        class: ClassId::from("standard"),
        weight: 1,
        engine_priority: 1,
        max_wait_ms: 10_000,
    })
}

fn table(customers: usize) -> Table {
    let rows = (0..customers).map(|index| Row::Customer(customer(index)));
    Table::from_rows(std::iter::once(class()).chain(rows))
}

fn fold_one(table: &mut Table, index: usize) {
    let added = customer(1_000_000 + index);
    let edit = Edit::adding("bench", [Row::Customer(added)]);
    let record = Record {
        offset: Offset(table.next.0),
        appended_at_ms: 0,
        data: ConfigRecord::Edit(edit).to_text().expect("edits encode"),
    };
    table.apply(&record);
}
