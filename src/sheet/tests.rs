use super::csv;
use super::edit_of_file;
use super::grid;
use super::set_column;
use crate::adminapi::TableView;
use crate::id::Offset;
use crate::record::RowKind;
use crate::row::ClassRow;
use crate::row::CustomerRow;
use crate::row::Row;
use crate::table::Versioned;
use crate::table::key_sha256;

#[test]
fn setting_a_column_edits_the_whole_row_from_its_version() {
    let edit = set_column(&view(), &"class/gold".parse().unwrap(), "weight", "7").unwrap();

    assert_eq!(edit.rows[0].base, Some(Offset(3)));
    assert_eq!(edit.rows[0].row, class(7));
}

#[test]
fn a_customers_key_is_stored_hashed() {
    let key = "customer/anna".parse().unwrap();

    let edit = set_column(&view(), &key, "key", "s3cret").unwrap();

    let text = serde_json::to_string(&edit).unwrap();
    assert!(text.contains(&key_sha256("s3cret")));
    assert!(!text.contains("s3cret"));
}

#[test]
fn a_row_a_column_or_a_value_that_does_not_fit_is_told() {
    let cases = [
        ("class/iron", "weight", "7", "there is no row class/iron"),
        (
            "class/gold",
            "height",
            "7",
            "class/gold has no column height",
        ),
        ("class/gold", "weight", "heavy", "class/gold weight: "),
    ];

    for (row, column, value, expected) in cases {
        let error = set_column(&view(), &row.parse().unwrap(), column, value).unwrap_err();

        assert!(error.to_string().starts_with(expected), "{error}");
    }
}

#[test]
fn a_file_edits_only_rows_that_differ_and_keeps_the_versions_it_gives() {
    let mut printed = view();
    printed.rows[0].row = class(9);
    let as_printed = serde_json::to_string(&printed).unwrap();
    let bare = serde_json::to_string(&[class(9)]).unwrap();
    let deleting = r#"{"deletes": ["customer/anna"]}"#;
    let mut later = view();
    later.rows[0].version = Offset(8);

    let from_printed = edit_of_file(&later, &as_printed).unwrap();
    let from_bare = edit_of_file(&later, &bare).unwrap();
    let from_deleting = edit_of_file(&later, deleting).unwrap();

    assert_eq!(from_printed.rows.len(), 1);
    assert_eq!(from_printed.rows[0].base, Some(Offset(3)));
    assert_eq!(from_bare.rows[0].base, Some(Offset(8)));
    assert_eq!(from_deleting.deletes[0].base, Offset(4));
}

#[test]
fn the_table_prints_aligned_and_as_csv() {
    let aligned = grid(&view(), RowKind::Class).render(false);
    let csv = csv(&view()).unwrap();

    let lines: Vec<_> = aligned
        .lines()
        .map(|l| l.split_whitespace().collect::<Vec<_>>())
        .collect();
    assert_eq!(
        lines[0],
        ["row", "version", "weight", "engine_priority", "max_wait_ms"]
    );
    assert_eq!(lines[1], ["class/gold", "3", "1", "1", "1000"]);
    assert!(
        csv.lines()
            .nth(1)
            .unwrap()
            .starts_with("class/gold,3,1,1,1000,"),
        "{csv}"
    );
}

fn view() -> TableView {
    let rows = vec![
        Versioned {
            version: Offset(3),
            row: class(1),
        },
        Versioned {
            version: Offset(4),
            row: Row::Customer(CustomerRow {
                customer: "anna".into(),
                key_sha256: vec![key_sha256("k")],
                weight: 1,
                classes: vec!["gold".into()],
                requests_per_s: 10,
                tokens_per_s: 1_000,
                concurrent_generations: 4,
                queue_length: 8,
            }),
        },
    ];
    TableView {
        offset: Offset(5),
        rows,
    }
}

fn class(weight: u32) -> Row {
    Row::Class(ClassRow {
        class: "gold".into(),
        weight,
        engine_priority: 1,
        max_wait_ms: 1_000,
    })
}
