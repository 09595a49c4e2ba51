//! The fold of the configuration stream: deterministic, in log order, the same on every host.
//!
//! An edit is accepted whole or rejected whole. A record that does not parse is skipped, and a
//! snapshot changes nothing in a table that follows the stream.

use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

use crate::id::EditId;
use crate::id::Offset;
use crate::platform::Record;
use crate::record::Edit;
use crate::record::FoldInput;
use crate::record::RowKey;
use crate::record::SnapshotHeader;
use crate::rowcheck::Fault;
use crate::rowcheck::check_deleted;
use crate::rowcheck::check_references;
use crate::rowcheck::check_row;
use crate::table::Table;

/// What the fold did with a record.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum Outcome {
    /// The edit is in force.
    Applied(EditSummary),
    /// The edit changed nothing.
    Rejected {
        /// The edit.
        edit: EditSummary,
        /// Why.
        rejection: Rejection,
    },
    /// A snapshot, to be compared with the table as of its offset.
    Snapshot(SnapshotHeader),
    /// Not a record of a known form.
    Skipped {
        /// What is wrong with it.
        reason: String,
    },
}

/// An edit without its values.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EditSummary {
    /// The edit.
    pub edit_id: EditId,
    /// Who made it.
    pub author: String,
    /// Rows that it writes or deletes.
    pub rows: Vec<RowKey>,
}

/// Why an edit was rejected.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rejection {
    /// Rows that were changed since the edit was made.
    pub conflicts: Vec<Conflict>,
    /// Bad values.
    pub faults: Vec<Fault>,
}

/// A row that was changed since the edit was made.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Conflict {
    /// The row.
    pub row: RowKey,
    /// The version the edit was made from; none if it expected no row.
    pub base: Option<Offset>,
    /// The version in force; none if there is no such row.
    pub found: Option<Offset>,
}

impl Outcome {
    /// The edit concerned, if the record is one.
    pub fn edit_id(&self) -> Option<EditId> {
        match self {
            Outcome::Applied(edit) | Outcome::Rejected { edit, .. } => Some(edit.edit_id),
            Outcome::Snapshot(_) | Outcome::Skipped { .. } => None,
        }
    }
}

impl Rejection {
    fn is_empty(&self) -> bool {
        self.conflicts.is_empty() && self.faults.is_empty()
    }
}

impl Edit {
    /// The edit without its values.
    pub fn summary(&self) -> EditSummary {
        EditSummary {
            edit_id: self.edit_id,
            author: self.author.clone(),
            rows: self.bases().map(|(row, _)| row).collect(),
        }
    }

    /// Each row concerned with the version that the edit was made from.
    fn bases(&self) -> impl Iterator<Item = (RowKey, Option<Offset>)> {
        let written = self.rows.iter().map(|row| (RowKey::of(&row.row), row.base));
        let deleted = self
            .deletes
            .iter()
            .map(|row| (row.key.clone(), Some(row.base)));
        written.chain(deleted)
    }
}

impl Table {
    /// Folds the record at [`Table::next`].
    ///
    /// # Panics
    ///
    /// If the record is not the next one: whoever folds must not leave a gap.
    pub fn apply(&mut self, record: &Record) -> Outcome {
        assert_eq!(record.offset, self.next, "the fold must be contiguous");
        let outcome = self.fold(record);
        self.pass(record);
        outcome
    }

    /// The table that `edit` would make if it were the next record.
    ///
    /// # Errors
    ///
    /// Its conflicts and faults.
    pub fn edited(&self, edit: &Edit) -> Result<Table, Rejection> {
        let mut rejection = Rejection {
            conflicts: self.conflicts(edit),
            faults: faults_of_edit(edit),
        };
        if !rejection.is_empty() {
            return Err(rejection);
        }
        let table = self.written(edit);
        rejection.faults = faults_of_result(edit, &table);
        if rejection.is_empty() {
            Ok(table)
        } else {
            Err(rejection)
        }
    }

    fn fold(&mut self, record: &Record) -> Outcome {
        let edit = match FoldInput::parse(&record.data) {
            Ok(FoldInput::Edit(edit)) => edit,
            Ok(FoldInput::Snapshot(header)) => return Outcome::Snapshot(header),
            Err(error) => {
                let reason = error.to_string();
                return Outcome::Skipped { reason };
            }
        };
        match self.edited(&edit) {
            Ok(table) => {
                *self = table;
                Outcome::Applied(edit.summary())
            }
            Err(rejection) => Outcome::Rejected {
                edit: edit.summary(),
                rejection,
            },
        }
    }

    fn conflicts(&self, edit: &Edit) -> Vec<Conflict> {
        edit.bases()
            .map(|(row, base)| Conflict {
                found: self.version(&row),
                base,
                row,
            })
            .filter(|conflict| conflict.base != conflict.found)
            .collect()
    }

    fn written(&self, edit: &Edit) -> Table {
        let mut table = self.clone();
        // All old rows go first, so that a key may move from one customer to another.
        for (row, _) in edit.bases() {
            table.remove(&row);
        }
        for written in &edit.rows {
            table.put(written.row.clone(), self.next);
        }
        table
    }
}

/// Faults that the edit has by itself.
fn faults_of_edit(edit: &Edit) -> Vec<Fault> {
    let mut faults: Vec<_> = edit
        .rows
        .iter()
        .flat_map(|written| check_row(&written.row))
        .collect();
    let mut seen = BTreeSet::new();
    for (row, _) in edit.bases() {
        if !seen.insert(row.clone()) {
            faults.push(Fault {
                row,
                column: "row".to_owned(),
                message: "named twice in one edit".to_owned(),
            });
        }
    }
    faults
}

/// Faults of the rows concerned against the table that the edit makes.
fn faults_of_result(edit: &Edit, table: &Table) -> Vec<Fault> {
    let written = edit
        .rows
        .iter()
        .flat_map(|written| check_references(&written.row, table));
    let deleted = edit
        .deletes
        .iter()
        .flat_map(|deleted| check_deleted(&deleted.key, table));
    written.chain(deleted).collect()
}

#[cfg(test)]
mod tests;
