//! The records of the configuration stream: edits and snapshots, as JSON.
//!
//! The format is documented for operators in `docs/API.md`.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;

use crate::error::Error;
use crate::id::EditId;
use crate::id::Offset;
use crate::row::Row;
use crate::table::Digest;
use crate::table::Table;

/// A record of the configuration stream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "snake_case")]
pub enum ConfigRecord {
    /// Rows to write and to delete, accepted whole or rejected whole.
    Edit(Edit),
    /// The table as of an offset.
    Snapshot(Snapshot),
}

/// An edit of the table.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Edit {
    /// Chosen by the author's tool, unique; a lost append is looked up by it.
    pub edit_id: EditId,
    /// Who made it.
    pub author: String,
    /// Rows to write.
    #[serde(default)]
    pub rows: Vec<RowEdit>,
    /// Rows to delete.
    #[serde(default)]
    pub deletes: Vec<RowDelete>,
}

/// A row to write.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RowEdit {
    /// The version the edit was made from; none if the row must not exist yet.
    pub base: Option<Offset>,
    /// The whole new row.
    pub row: Row,
}

/// A row to delete.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RowDelete {
    /// The version the edit was made from.
    pub base: Offset,
    /// The row.
    pub key: RowKey,
}

/// The table as of an offset.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Snapshot {
    /// Every record before this offset is folded into the table.
    pub as_of: Offset,
    /// Hashes of the table, by which other hosts compare without reading it.
    pub digest: Digest,
    /// The table.
    pub table: Table,
}

/// A snapshot without its table.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotHeader {
    /// Every record before this offset is folded into the table.
    pub as_of: Offset,
    /// Hashes of the table.
    pub digest: Digest,
}

/// Kinds of rows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RowKind {
    /// A customer.
    Customer,
    /// A priority class.
    Class,
    /// A service.
    Service,
    /// A pool of upstreams.
    Pool,
}

/// Names a row, written `kind/name`.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct RowKey {
    /// Its kind.
    pub kind: RowKind,
    /// Its name.
    pub name: String,
}

/// A record as the fold needs it: of a snapshot only the header.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum FoldInput {
    Edit(Edit),
    Snapshot(SnapshotHeader),
}

#[derive(Deserialize)]
struct Tag {
    r#type: RecordType,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum RecordType {
    Edit,
    Snapshot,
}

impl ConfigRecord {
    /// Parses a record's text.
    ///
    /// # Errors
    ///
    /// [`Error::Message`] if the text is not a record.
    pub fn parse(text: &str) -> Result<Self, Error> {
        Ok(serde_json::from_str(text)?)
    }

    /// The record's text.
    ///
    /// # Errors
    ///
    /// [`Error::Message`] if it cannot be serialized.
    pub fn to_text(&self) -> Result<String, Error> {
        Ok(serde_json::to_string(self)?)
    }
}

impl FoldInput {
    /// Parses a record's text, leaving a snapshot's table unread.
    pub(crate) fn parse(text: &str) -> Result<Self, Error> {
        let tag: Tag = serde_json::from_str(text)?;
        match tag.r#type {
            RecordType::Snapshot => Ok(FoldInput::Snapshot(serde_json::from_str(text)?)),
            RecordType::Edit => match ConfigRecord::parse(text)? {
                ConfigRecord::Edit(edit) => Ok(FoldInput::Edit(edit)),
                ConfigRecord::Snapshot(snapshot) => Ok(FoldInput::Snapshot(snapshot.header())),
            },
        }
    }
}

/// The text of a record that adds `rows` to an empty table, as the first edit of a stream.
///
/// # Errors
///
/// [`Error::Message`] if a row cannot be serialized.
pub fn first_edit(rows: Vec<Row>) -> Result<String, Error> {
    ConfigRecord::Edit(Edit::adding("setup", rows)).to_text()
}

impl Edit {
    /// An edit that adds `rows`, none of which exists yet.
    pub fn adding(author: impl Into<String>, rows: impl IntoIterator<Item = Row>) -> Self {
        let added = |row| RowEdit { base: None, row };
        Edit {
            edit_id: EditId::generate(),
            author: author.into(),
            rows: rows.into_iter().map(added).collect(),
            deletes: Vec::new(),
        }
    }
}

impl Snapshot {
    /// The snapshot of `table`.
    pub fn of(table: &Table) -> Self {
        Snapshot {
            as_of: table.next,
            digest: table.digest(),
            table: table.clone(),
        }
    }

    /// The snapshot without its table.
    pub fn header(&self) -> SnapshotHeader {
        SnapshotHeader {
            as_of: self.as_of,
            digest: self.digest,
        }
    }

    /// Whether the table is what the header says.
    pub fn is_consistent(&self) -> bool {
        self.as_of == self.table.next && self.digest == self.table.digest()
    }
}

impl RowKind {
    const fn as_str(self) -> &'static str {
        match self {
            RowKind::Customer => "customer",
            RowKind::Class => "class",
            RowKind::Service => "service",
            RowKind::Pool => "pool",
        }
    }
}

impl RowKey {
    /// The key of the row `name` of `kind`.
    pub fn new(kind: RowKind, name: impl Into<String>) -> Self {
        RowKey {
            kind,
            name: name.into(),
        }
    }

    /// The key of `row`.
    pub fn of(row: &Row) -> Self {
        match row {
            Row::Customer(row) => RowKey::new(RowKind::Customer, row.customer.as_str()),
            Row::Class(row) => RowKey::new(RowKind::Class, row.class.as_str()),
            Row::Service(row) => RowKey::new(RowKind::Service, row.service.as_str()),
            Row::Pool(row) => RowKey::new(RowKind::Pool, row.pool.as_str()),
        }
    }
}

impl fmt::Display for RowKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.kind.as_str(), self.name)
    }
}

impl FromStr for RowKey {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let expected =
            || format!("{text}: expected KIND/NAME with customer, class, service or pool");
        let (kind, name) = text.split_once('/').ok_or_else(expected)?;
        let kind = match kind {
            "customer" => RowKind::Customer,
            "class" => RowKind::Class,
            "service" => RowKind::Service,
            "pool" => RowKind::Pool,
            _ => return Err(expected()),
        };
        Ok(RowKey::new(kind, name))
    }
}

impl From<RowKey> for String {
    fn from(key: RowKey) -> String {
        key.to_string()
    }
}

impl TryFrom<String> for RowKey {
    type Error = String;

    fn try_from(text: String) -> Result<Self, String> {
        text.parse()
    }
}
