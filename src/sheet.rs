//! The table as a sheet of rows and columns, for the operators' command line.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde_json::Value;

use crate::adminapi::EditRequest;
use crate::adminapi::TableView;
use crate::error::Error;
use crate::error::Result;
use crate::id::Offset;
use crate::output::Cell;
use crate::output::Grid;
use crate::record::RowDelete;
use crate::record::RowEdit;
use crate::record::RowKey;
use crate::record::RowKind;
use crate::row::Row;
use crate::table::Versioned;
use crate::table::key_sha256;

/// A customer's column that takes a key and stores its hash only.
const KEY_COLUMN: &str = "key";

/// The column of the hashes.
const KEY_HASH_COLUMN: &str = "key_sha256";

/// Digits of a key's hash that are shown.
const HASH_SHOWN: usize = 8;

/// A row in a file of edits: bare, or with the version it was made from.
#[derive(Debug, Deserialize)]
#[serde(untagged)]
enum FileRow {
    /// As `table get --json` prints it.
    Versioned(Versioned<Row>),
    /// Bare: it is written over whatever version is in force.
    Bare(Row),
}

/// A file of edits.
#[derive(Debug, Deserialize)]
#[serde(untagged)]
enum EditFile {
    /// Rows to write.
    Rows(Vec<FileRow>),
    /// Rows to write and to delete.
    Both {
        #[serde(default)]
        rows: Vec<FileRow>,
        #[serde(default)]
        deletes: Vec<RowKey>,
    },
    /// What `table get --json` prints as a whole.
    View(TableView),
}

/// The edit that sets one column of one row.
///
/// `value` is JSON, or else taken as text. For a customer, the column `key` takes a key and
/// stores its hash.
///
/// # Errors
///
/// [`Error::Invalid`] if there is no such row or column, or if the value doesn't fit.
pub fn set_column(
    view: &TableView,
    key: &RowKey,
    column: &str,
    value: &str,
) -> Result<EditRequest> {
    let found = find(view, key).ok_or_else(|| invalid(format!("there is no row {key}")))?;
    let mut row = serde_json::to_value(&found.row)?;
    let (column, value) = match (key.kind, column) {
        (RowKind::Customer, KEY_COLUMN) => (KEY_HASH_COLUMN, Value::from(vec![key_sha256(value)])),
        _ => (column, parse_value(value)),
    };
    let columns = row.as_object_mut();
    let cell = columns.and_then(|columns| columns.get_mut(column));
    let cell = cell.ok_or_else(|| invalid(format!("{key} has no column {column}")))?;
    *cell = value;
    let row =
        serde_json::from_value(row).map_err(|error| invalid(format!("{key} {column}: {error}")))?;
    let base = Some(found.version);
    Ok(EditRequest {
        rows: vec![RowEdit { base, row }],
        ..EditRequest::default()
    })
}

/// The edit that a file describes: rows that are not as they should be, and rows to delete.
///
/// A row with a version is made from that; a bare one from the version in force.
///
/// # Errors
///
/// [`Error::Invalid`] if the text is not a file of edits or deletes a row that isn't there.
pub fn edit_of_file(view: &TableView, text: &str) -> Result<EditRequest> {
    let file: EditFile =
        serde_json::from_str(text).map_err(|_| invalid("not a JSON list of rows".to_owned()))?;
    let (rows, deletes) = match file {
        EditFile::Rows(rows) => (rows, Vec::new()),
        EditFile::Both { rows, deletes } => (rows, deletes),
        EditFile::View(view) => {
            let rows = view.rows.into_iter().map(FileRow::Versioned);
            (rows.collect(), Vec::new())
        }
    };
    let rows = rows.into_iter().filter_map(|row| row_edit(view, row));
    let deletes = deletes.into_iter().map(|key| row_delete(view, key));
    Ok(EditRequest {
        rows: rows.collect(),
        deletes: deletes.collect::<Result<_>>()?,
        ..EditRequest::default()
    })
}

/// The rows of one kind as an aligned table.
pub fn grid(view: &TableView, kind: RowKind) -> Grid {
    let rows: Vec<_> = of_kind(view, kind).collect();
    let columns = columns_of(kind);
    let mut headings = vec!["row", "version"];
    headings.extend(columns);
    let mut grid = Grid::new(&headings);
    for row in rows {
        let values = values_of(&row.row);
        let mut cells = vec![Cell::from(RowKey::of(&row.row)), Cell::from(row.version)];
        let shown = columns.iter().map(|column| values.get(*column));
        cells.extend(shown.map(|value| Cell::from(value.map(shown_value).unwrap_or_default())));
        grid.push(cells);
    }
    grid
}

/// The whole table as CSV: a line a row, the columns of all kinds side by side.
///
/// # Errors
///
/// [`Error::Invalid`] if a line can't be written.
pub fn csv(view: &TableView) -> Result<String> {
    let columns: Vec<&str> = KINDS.into_iter().flat_map(columns_of).copied().collect();
    let mut columns_once: Vec<&str> = Vec::new();
    for column in columns {
        if !columns_once.contains(&column) {
            columns_once.push(column);
        }
    }
    let mut writer = csv::Writer::from_writer(Vec::new());
    let heading = ["row", "version"].into_iter().chain(columns_once.clone());
    let failed = |error: csv::Error| invalid(error.to_string());
    writer.write_record(heading).map_err(failed)?;
    for row in &view.rows {
        let values = values_of(&row.row);
        let mut line = vec![RowKey::of(&row.row).to_string(), row.version.to_string()];
        let written = columns_once.iter().map(|column| values.get(*column));
        line.extend(written.map(|value| value.map(plain_value).unwrap_or_default()));
        writer.write_record(line).map_err(failed)?;
    }
    let bytes = writer
        .into_inner()
        .map_err(|error| invalid(error.to_string()))?;
    String::from_utf8(bytes).map_err(|error| invalid(error.to_string()))
}

/// The kinds of rows in the order in which they are printed.
pub const KINDS: [RowKind; 4] = [
    RowKind::Class,
    RowKind::Pool,
    RowKind::Service,
    RowKind::Customer,
];

const fn columns_of(kind: RowKind) -> &'static [&'static str] {
    match kind {
        RowKind::Class => &["weight", "engine_priority", "max_wait_ms"],
        RowKind::Pool => &["upstreams", "high_water_percent", "ejected_percent_max"],
        RowKind::Service => &[
            "backing",
            "pool",
            "repeatable",
            "retry_budget_percent",
            "deadline_ms",
        ],
        RowKind::Customer => &[
            "weight",
            "classes",
            "requests_per_s",
            "tokens_per_s",
            "concurrent_generations",
            "queue_length",
            "key_sha256",
        ],
    }
}

fn of_kind(view: &TableView, kind: RowKind) -> impl Iterator<Item = &Versioned<Row>> {
    view.rows
        .iter()
        .filter(move |row| RowKey::of(&row.row).kind == kind)
}

fn find<'a>(view: &'a TableView, key: &RowKey) -> Option<&'a Versioned<Row>> {
    view.rows.iter().find(|row| RowKey::of(&row.row) == *key)
}

/// The edit of a row, unless the row is in force as it is.
fn row_edit(view: &TableView, row: FileRow) -> Option<RowEdit> {
    let (base, row) = match row {
        FileRow::Versioned(row) => (Some(row.version), row.row),
        FileRow::Bare(row) => (version(view, &RowKey::of(&row)), row),
    };
    let in_force = find(view, &RowKey::of(&row));
    let is_same = in_force.is_some_and(|found| found.row == row);
    (!is_same).then_some(RowEdit { base, row })
}

fn row_delete(view: &TableView, key: RowKey) -> Result<RowDelete> {
    let base = version(view, &key).ok_or_else(|| invalid(format!("there is no row {key}")))?;
    Ok(RowDelete { base, key })
}

fn version(view: &TableView, key: &RowKey) -> Option<Offset> {
    find(view, key).map(|found| found.version)
}

fn values_of(row: &Row) -> BTreeMap<String, Value> {
    let value = serde_json::to_value(row).unwrap_or_default();
    serde_json::from_value(value).unwrap_or_default()
}

fn parse_value(text: &str) -> Value {
    serde_json::from_str(text).unwrap_or_else(|_| Value::from(text))
}

/// A value in a cell of an aligned table: short.
fn shown_value(value: &Value) -> String {
    match value {
        Value::Array(items) => {
            let items: Vec<String> = items.iter().map(shown_value).collect();
            items.join(" ")
        }
        Value::Object(fields) => {
            let fields: Vec<String> = fields.values().map(shown_value).collect();
            fields.join(" ")
        }
        Value::String(text) if text.len() == 64 => format!("{}…", &text[..HASH_SHOWN]),
        other => plain_value(other),
    }
}

fn plain_value(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}

fn invalid(fault: String) -> Error {
    Error::Invalid {
        faults: vec![fault],
    }
}

#[cfg(test)]
mod tests;
