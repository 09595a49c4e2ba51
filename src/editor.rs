//! Makes edits: tries them on the table, appends them and reads back what came of them.

use std::time::Duration;

use tokio::time::timeout;

use crate::adminapi::EditRequest;
use crate::adminapi::EditResult;
use crate::config::ConfigHandle;
use crate::config::HistoryEntry;
use crate::fold::Outcome;
use crate::fold::Rejection;
use crate::id::EditId;
use crate::logstream::AppendOutcome;
use crate::logstream::LogHandle;
use crate::platform::CONFIG_STREAM;
use crate::record::ConfigRecord;
use crate::record::Edit;

/// Makes edits; clones share the log and the configuration.
#[derive(Debug, Clone)]
pub struct Editor {
    /// Where edits are appended.
    pub log: LogHandle,
    /// Where they are read back.
    pub config: ConfigHandle,
    /// An edit that could not be written to the log by then is given up.
    pub append_wait: Duration,
    /// An edit whose outcome is not known by then is told as unsettled.
    pub answer_wait: Duration,
}

impl Editor {
    /// Makes an edit, or only tries it.
    pub async fn edit(&self, author: &str, request: EditRequest) -> EditResult {
        let is_dry_run = request.dry_run;
        let edit = Edit {
            edit_id: request.edit_id.unwrap_or_else(EditId::generate),
            author: author.to_owned(),
            rows: request.rows,
            deletes: request.deletes,
        };
        if let Some(known) = self.find(edit.edit_id).await {
            return result_of(edit.edit_id, &known);
        }
        let table = self.config.table();
        match table.edited(&edit) {
            Err(rejection) => rejected(edit.edit_id, rejection),
            Ok(_) if is_dry_run => EditResult::WouldApply { offset: table.next },
            Ok(_) => self.append(edit).await,
        }
    }

    /// What came of the first record of an edit, if it was folded here.
    pub async fn find(&self, edit_id: EditId) -> Option<HistoryEntry> {
        let history = self.config.history().await;
        history
            .into_iter()
            .find(|entry| entry.outcome.edit_id() == Some(edit_id))
    }

    async fn append(&self, edit: Edit) -> EditResult {
        let edit_id = edit.edit_id;
        let settled = timeout(self.answer_wait, self.append_and_read_back(edit)).await;
        settled.unwrap_or(EditResult::Unsettled { edit_id })
    }

    async fn append_and_read_back(&self, edit: Edit) -> EditResult {
        let edit_id = edit.edit_id;
        let Ok(text) = ConfigRecord::Edit(edit).to_text() else {
            return EditResult::NotAppended { edit_id };
        };
        let wait_limit = Some(self.append_wait);
        let appended = self.log.append(CONFIG_STREAM, edit_id.0, text, wait_limit);
        let offset = match appended.await {
            AppendOutcome::Settled(offset) => offset,
            AppendOutcome::NotAppended => return EditResult::NotAppended { edit_id },
            AppendOutcome::Unsettled => return EditResult::Unsettled { edit_id },
        };
        match self.config.outcome_at(offset).await {
            Some(entry) => result_of(edit_id, &entry),
            None => EditResult::Unsettled { edit_id },
        }
    }
}

fn result_of(edit_id: EditId, entry: &HistoryEntry) -> EditResult {
    match &entry.outcome {
        Outcome::Applied(_) => EditResult::Accepted {
            edit_id,
            offset: entry.offset,
        },
        Outcome::Rejected { rejection, .. } => EditResult::Rejected {
            edit_id,
            offset: Some(entry.offset),
            rejection: rejection.clone(),
        },
        Outcome::Snapshot(_) | Outcome::Skipped { .. } => EditResult::Unsettled { edit_id },
    }
}

fn rejected(edit_id: EditId, rejection: Rejection) -> EditResult {
    EditResult::Rejected {
        edit_id,
        offset: None,
        rejection,
    }
}
