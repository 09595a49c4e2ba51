//! The search of a stream for a batch whose append may have taken effect.

use super::batch::Batch;
use crate::id::Offset;
use crate::platform::ReadAnswer;
use crate::platform::Record;

/// A search of the stream for a batch.
#[derive(Debug, Clone)]
pub(super) struct Search {
    pub(super) batch: Batch,
    pub(super) from: Offset,
    /// Where the search ends: the head at its first read, or the end of the copy answered.
    pub(super) until: Option<Offset>,
    /// The offset of the copy that was answered.
    pub(super) answered: Option<Offset>,
    found: Vec<Option<Offset>>,
    /// Whether a part of what was to be searched is no longer in the stream.
    pub(super) is_cut: bool,
}

impl Search {
    pub(super) fn new(batch: Batch) -> Self {
        Search {
            from: batch.since,
            until: None,
            answered: None,
            found: vec![None; batch.entries.len()],
            is_cut: false,
            batch,
        }
    }

    pub(super) fn take(&mut self, answer: &ReadAnswer) {
        // A head below the place searched means that the stream lost what it held there.
        self.is_cut |= answer.first_retained > self.from || answer.head < self.batch.since;
        let until = *self.until.get_or_insert(answer.head);
        for record in answer.records.iter().filter(|r| r.offset < until) {
            self.compare(record);
        }
        self.from = match answer.records.last() {
            Some(last) => last.offset.next(),
            None => until,
        };
    }

    fn compare(&mut self, record: &Record) {
        for (entry, found) in self.batch.entries.iter().zip(&mut self.found) {
            if found.is_none() && entry.data == record.data {
                *found = Some(record.offset);
            }
        }
    }

    pub(super) fn is_done(&self) -> bool {
        self.until.is_some_and(|until| self.from >= until) || self.found.iter().all(Option::is_some)
    }

    /// Where each record stands: as found, or else as answered.
    pub(super) fn offsets(&self) -> Vec<Option<Offset>> {
        let answered = |index: usize| self.answered.map(|first| Offset(first.0 + index as u64));
        self.found
            .iter()
            .enumerate()
            .map(|(index, found)| found.or_else(|| answered(index)))
            .collect()
    }
}
