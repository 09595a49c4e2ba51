//! Checks settings and table files, all faults at once.

use std::fmt;
use std::fs;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::Path;
use std::str::FromStr;

use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use serde_json::json;

use crate::error::Error;
use crate::error::Result;
use crate::faults::Fault;
use crate::faults::faults;
use crate::record::Edit;
use crate::record::RowKey;
use crate::row::ClassRow;
use crate::row::CustomerRow;
use crate::row::PoolRow;
use crate::row::Row;
use crate::row::ServiceRow;
use crate::settings;
use crate::settings::EntrySettings;
use crate::table::Table;

/// What a file holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FileKind {
    /// Settings of `cedargauge-entry`.
    Entry,
    /// Rows of the table, as a JSON array.
    Table,
}

impl FromStr for FileKind {
    type Err = String;

    fn from_str(text: &str) -> std::result::Result<Self, String> {
        match text {
            "entry" => Ok(FileKind::Entry),
            "table" => Ok(FileKind::Table),
            _ => Err(format!("{text:?} is not entry or table")),
        }
    }
}

/// What the check of a file found.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Report {
    /// The file's path as given.
    pub file: String,
    /// What it was taken for.
    pub kind: FileKind,
    /// All its faults.
    pub faults: Vec<Fault>,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for fault in &self.faults {
            writeln!(f, "{}: {fault}", self.file)?;
        }
        match self.faults.len() {
            0 => writeln!(f, "{}: no fault", self.file),
            1 => writeln!(f, "{}: 1 fault", self.file),
            count => writeln!(f, "{}: {count} faults", self.file),
        }
    }
}

/// Checks the file at `path`; what it holds is told by its content if `kind` is none.
///
/// # Errors
///
/// [`Error::File`] if it cannot be read.
pub fn check(path: &Path, kind: Option<FileKind>) -> Result<Report> {
    let file = path.display().to_string();
    let text = fs::read_to_string(path).map_err(|source| Error::File {
        path: file.clone(),
        source,
    })?;
    let (kind, faults) = match serde_json::from_str(&text) {
        Ok(value) => check_value(&value, kind),
        Err(error) => (kind.unwrap_or(FileKind::Entry), vec![not_json(&error)]),
    };
    Ok(Report { file, kind, faults })
}

fn check_value(value: &Value, kind: Option<FileKind>) -> (FileKind, Vec<Fault>) {
    let kind = kind.unwrap_or(match value.is_array() {
        true => FileKind::Table,
        false => FileKind::Entry,
    });
    let faults = match kind {
        FileKind::Entry => check_entry(value),
        FileKind::Table => check_table(value),
    };
    (kind, faults)
}

fn not_json(error: &serde_json::Error) -> Fault {
    Fault {
        path: "(whole file)".to_owned(),
        value: None,
        allowed: format!("JSON; {error}"),
    }
}

/// Reads an entry host's settings.
///
/// # Errors
///
/// [`Error::File`] if the file cannot be read, [`Error::Invalid`] with all its faults.
pub fn read_entry(path: &Path) -> Result<EntrySettings> {
    let report = check(path, Some(FileKind::Entry))?;
    if report.faults.is_empty() {
        return settings::read(path);
    }
    Err(Error::Invalid {
        faults: report.faults.iter().map(Fault::to_string).collect(),
    })
}

/// Every fault of an entry host's settings.
pub fn check_entry(value: &Value) -> Vec<Fault> {
    let mut found = faults::<EntrySettings>(value, &entry_sample());
    range_faults("", value, &mut found);
    for path in ["caller_address", "peer_address", "platform_address"] {
        found.extend(address_fault(path, &value[path]));
    }
    for (index, address) in value["peers"].as_array().into_iter().flatten().enumerate() {
        found.extend(address_fault(&format!("peers[{index}]"), address));
    }
    found
}

/// Adds the numbers below `value` that are out of the range of their unit.
fn range_faults(path: &str, value: &Value, found: &mut Vec<Fault>) {
    for (field, value) in value.as_object().into_iter().flatten() {
        let path = match path {
            "" => field.clone(),
            _ => format!("{path}.{field}"),
        };
        range_faults(&path, value, found);
        let (Some(number), Some(range)) = (value.as_u64(), range_of(field)) else {
            continue;
        };
        if !range.contains(&number) {
            found.push(Fault {
                path,
                value: Some(value.to_string()),
                allowed: format!("{} to {}", range.start(), range.end()),
            });
        }
    }
}

/// What a number may be, by the unit that its field's name ends with.
fn range_of(field: &str) -> Option<RangeInclusive<u64>> {
    const DAY_MS: u64 = 86_400_000;
    const GIB: u64 = 1 << 30;
    if NEVER_ZERO.contains(&field) {
        return Some(1..=DAY_MS);
    }
    if field.ends_with("_ms") {
        return Some(0..=DAY_MS);
    }
    if field.ends_with("_percent") {
        return Some(0..=100);
    }
    field.contains("_bytes").then_some(0..=GIB)
}

/// Times of which zero would be no time at all.
const NEVER_ZERO: [&str; 8] = [
    "tick_ms",
    "period_ms",
    "call_timeout_ms",
    "burst_ms",
    "valid_ms",
    "half_life_ms",
    "rotate_ms",
    "report_ms",
];

fn address_fault(path: &str, value: &Value) -> Option<Fault> {
    let text = value.as_str()?;
    text.parse::<SocketAddr>().is_err().then(|| Fault {
        path: path.to_owned(),
        value: Some(value.to_string()),
        allowed: "an IP number and a port, as in 10.0.0.5:8080".to_owned(),
    })
}

/// Every fault of a table file.
pub fn check_table(value: &Value) -> Vec<Fault> {
    let Some(rows) = value.as_array() else {
        return vec![Fault {
            path: "(whole file)".to_owned(),
            value: Some(value.to_string()),
            allowed: "an array of rows".to_owned(),
        }];
    };
    let mut found = Vec::new();
    for (index, row) in rows.iter().enumerate() {
        found.extend(check_row_value(row).into_iter().map(|fault| Fault {
            path: format!("[{index}].{}", fault.path),
            ..fault
        }));
    }
    if found.is_empty() {
        found = fold_faults(rows);
    }
    found
}

/// What the fold would say against the rows as a first edit.
fn fold_faults(rows: &[Value]) -> Vec<Fault> {
    let parsed: Vec<Row> = rows
        .iter()
        .filter_map(|row| serde_json::from_value(row.clone()).ok())
        .collect();
    let keys: Vec<RowKey> = parsed.iter().map(RowKey::of).collect();
    let edit = Edit::adding("check", parsed);
    let Err(rejection) = Table::default().edited(&edit) else {
        return Vec::new();
    };
    let told = rejection.faults.into_iter().map(|fault| {
        let index = keys.iter().position(|key| *key == fault.row);
        let index = index.unwrap_or_default();
        Fault {
            path: format!("[{index}].{}", fault.column),
            value: rows[index].get(&fault.column).map(Value::to_string),
            allowed: fault.message,
        }
    });
    told.collect()
}

/// The tag is taken off first, since it would hide the path of a fault.
fn check_row_value(row: &Value) -> Vec<Fault> {
    let mut fields = row.clone();
    let kind = fields
        .as_object_mut()
        .and_then(|fields| fields.remove("kind"));
    match kind.as_ref().and_then(Value::as_str) {
        Some("customer") => faults::<CustomerRow>(&fields, &customer_sample()),
        Some("class") => faults::<ClassRow>(&fields, &class_sample()),
        Some("service") => faults::<ServiceRow>(&fields, &service_sample()),
        Some("pool") => faults::<PoolRow>(&fields, &pool_sample()),
        _ => vec![Fault {
            path: "kind".to_owned(),
            value: kind.map(|kind| kind.to_string()),
            allowed: "customer, class, service or pool".to_owned(),
        }],
    }
}

fn entry_sample() -> Value {
    full::<EntrySettings>(json!({
        "host": "entry-a",
        "data_centre": "a",
        "caller_address": "127.0.0.1:0",
        "peer_address": "127.0.0.1:0",
        "platform_address": "127.0.0.1:0",
        "peers": ["127.0.0.1:0"],
    }))
}

/// The sample with every field that has a default.
fn full<S: DeserializeOwned + Serialize>(sample: Value) -> Value {
    serde_json::from_value::<S>(sample.clone())
        .and_then(serde_json::to_value)
        .unwrap_or(sample)
}

fn customer_sample() -> Value {
    json!({
        "customer": "a",
        "key_sha256": [""],
        "weight": 1,
        "classes": [""],
        "requests_per_s": 1,
        "tokens_per_s": 1,
        "concurrent_generations": 1,
        "queue_length": 1,
    })
}

fn class_sample() -> Value {
    json!({"class": "a", "weight": 1, "engine_priority": 1, "max_wait_ms": 1})
}

fn service_sample() -> Value {
    json!({
        "service": "a",
        "backing": {"type": "plain"},
        "pool": "a",
        "repeatable": true,
        "retry_budget_percent": 1,
        "deadline_ms": 1,
    })
}

fn pool_sample() -> Value {
    json!({
        "pool": "a",
        "upstreams": [{"upstream": "127.0.0.1:1", "data_centre": "a", "checks_fence": true}],
        "high_water_percent": 1,
        "ejected_percent_max": 1,
    })
}
