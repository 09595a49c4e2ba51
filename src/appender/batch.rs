//! The records that are appended together.

use std::collections::VecDeque;

use super::AppenderOptions;
use super::Entry;
use crate::id::Offset;

/// Records that are appended together.
#[derive(Debug, Clone)]
pub(super) struct Batch {
    pub(super) entries: Vec<Entry>,
    /// The head before the batch was first written.
    pub(super) since: Offset,
    /// Whether an earlier write of it may have taken effect.
    pub(super) may_stand: bool,
}

impl Batch {
    /// Takes the next batch from what waits, within the bounds of an append.
    pub(super) fn next(
        waiting: &mut VecDeque<Entry>,
        options: &AppenderOptions,
        head: Offset,
    ) -> Self {
        let mut entries = Vec::new();
        let mut bytes = 0;
        while let Some(entry) = waiting.front() {
            bytes += entry.data.len();
            let is_full = entries.len() >= options.batch_records
                || bytes > options.batch_bytes && !entries.is_empty();
            if is_full {
                break;
            }
            entries.extend(waiting.pop_front());
        }
        Batch {
            entries,
            since: head,
            may_stand: false,
        }
    }
}
