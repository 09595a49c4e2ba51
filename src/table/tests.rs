use super::Table;
use super::key_sha256;
use crate::id::CustomerId;
use crate::id::Offset;
use crate::record::RowKey;
use crate::record::RowKind;
use crate::row::CustomerRow;
use crate::row::Row;

#[test]
fn a_customer_is_found_by_each_of_its_keys_until_it_loses_them() {
    let mut table = Table::from_rows([customer("anna", &["one", "two"])]);

    let before = table.customer_by_key("two").cloned();
    table.put(customer("anna", &["one"]), Offset(3));

    assert_eq!(before.unwrap().customer, CustomerId::from("anna"));
    assert!(table.customer_by_key("one").is_some());
    assert!(table.customer_by_key("two").is_none());
}

#[test]
fn a_stored_table_comes_back_with_its_index_and_digest() {
    let table = Table::from_rows([customer("anna", &["one"]), customer("bert", &["two"])]);

    let text = serde_json::to_string(&table).unwrap();
    let back: Table = serde_json::from_str(&text).unwrap();

    assert_eq!(back, table);
    assert_eq!(back.digest(), table.digest());
    assert!(back.customer_by_key("two").is_some());
}

#[test]
fn the_digest_tells_rows_and_versions_apart_but_not_the_way_there() {
    let plain = Table::from_rows([customer("anna", &[])]);
    let mut detour = Table::from_rows([customer("bert", &[]), customer("anna", &["x"])]);
    let mut newer = plain.clone();

    detour.remove(&RowKey::new(RowKind::Customer, "bert"));
    detour.put(customer("anna", &[]), Offset(0));
    newer.put(customer("anna", &[]), Offset(9));

    assert_eq!(detour.digest(), plain.digest());
    assert_ne!(newer.digest(), plain.digest());
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
