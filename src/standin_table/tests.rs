use super::DEMO_KEY;
use super::small_table;
use crate::fold::Outcome;
use crate::id::Offset;
use crate::platform::Record;
use crate::record::first_edit;
use crate::row::UpstreamRow;
use crate::table::Table;

fn upstream(port: u16) -> UpstreamRow {
    UpstreamRow {
        upstream: format!("127.0.0.1:{port}").as_str().into(),
        data_centre: "dc-0".into(),
        checks_fence: true,
    }
}

#[test]
fn the_small_table_folds_and_knows_its_customer() {
    let rows = small_table(vec![upstream(1), upstream(2)], vec![upstream(3)]);
    let record = Record {
        offset: Offset(0),
        appended_at_ms: 0,
        data: first_edit(rows).unwrap(),
    };
    let mut table = Table::default();

    let outcome = table.apply(&record);

    assert!(matches!(outcome, Outcome::Applied(_)), "{outcome:?}");
    assert!(table.customer_by_key(DEMO_KEY).is_some());
}
