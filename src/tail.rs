//! The last records of the configuration stream, kept for peers and to recognise the history.

use std::sync::Arc;

use imbl::Vector;

use crate::id::Offset;
use crate::peer::ConfigTail;
use crate::platform::Record;
use crate::record::ConfigRecord;
use crate::record::Snapshot;
use crate::table::Digest;
use crate::table::Table;

/// Records kept at most.
const RECORDS_MAX: usize = 1_024;

/// Bytes of records kept at most.
const BYTES_MAX: usize = 512 * 1024;

/// The last records folded, each with the digest of the table before it. Clones share them.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Tail {
    kept: Vector<Arc<Kept>>,
    bytes: usize,
}

#[derive(Debug, PartialEq)]
struct Kept {
    before: Digest,
    record: Record,
}

impl Tail {
    /// Adds the next record and the digest of the table before it.
    pub(crate) fn push(&mut self, before: Digest, record: Record) {
        self.bytes += record.data.len();
        self.kept.push_back(Arc::new(Kept { before, record }));
        while self.kept.len() > RECORDS_MAX || self.bytes > BYTES_MAX {
            self.drop_first();
        }
    }

    /// Forgets everything.
    pub(crate) fn clear(&mut self) {
        *self = Tail::default();
    }

    /// The digest of the table as of `offset`, if the record at `offset` is kept.
    pub(crate) fn digest_before(&self, offset: Offset) -> Option<Digest> {
        self.get(offset).map(|kept| kept.before)
    }

    /// The record kept at `offset`.
    pub(crate) fn record(&self, offset: Offset) -> Option<&Record> {
        self.get(offset).map(|kept| &kept.record)
    }

    /// The records from `offset` on, if that one is kept.
    pub(crate) fn from(&self, offset: Offset) -> Option<Vec<Record>> {
        let first = self.index(offset)?;
        let records = self.kept.iter().skip(first);
        Some(records.map(|kept| kept.record.clone()).collect())
    }

    /// What a peer lacks that has folded up to `next`, where `table` is what this tail led to.
    pub(crate) fn answer(&self, table: &Table, next: Offset) -> ConfigTail {
        let mut answer = ConfigTail {
            next: table.next,
            ..ConfigTail::default()
        };
        if next >= table.next {
            return answer;
        }
        answer.base = self.digest_before(next);
        match self.from(next) {
            Some(records) => answer.records = records,
            None => {
                let snapshot = ConfigRecord::Snapshot(Snapshot::of(table));
                answer.snapshot = snapshot.to_text().ok();
            }
        }
        answer
    }

    fn get(&self, offset: Offset) -> Option<&Kept> {
        self.kept.get(self.index(offset)?).map(Arc::as_ref)
    }

    fn index(&self, offset: Offset) -> Option<usize> {
        let first = self.kept.front()?.record.offset;
        let index = usize::try_from(offset.0.checked_sub(first.0)?).ok()?;
        (index < self.kept.len()).then_some(index)
    }

    fn drop_first(&mut self) {
        if let Some(kept) = self.kept.pop_front() {
            self.bytes -= kept.record.data.len();
        }
    }
}
