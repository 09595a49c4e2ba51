//! Snapshots of the table in the configuration stream: starting from them and keeping them fresh.
//!
//! A snapshot says "the table as of offset X" and may stand at any later offset, so whoever starts
//! from it folds the records from X on, also those before the snapshot itself.

use derive_builder::Builder;
use serde::Deserialize;
use serde::Serialize;

use crate::id::Offset;
use crate::platform::Record;
use crate::record::ConfigRecord;
use crate::record::FoldInput;
use crate::record::SnapshotHeader;
use crate::table::Digest;
use crate::table::Table;

/// When snapshots are appended.
#[derive(Debug, Clone, PartialEq, Eq, Builder, Serialize, Deserialize)]
#[builder(default)]
#[serde(default, deny_unknown_fields)]
pub struct SnapshotOptions {
    /// How long the platform keeps records, in milliseconds; 3,600,000 by default. A snapshot is
    /// appended each quarter of it, and at once when the platform turns out to keep less.
    pub retention_ms: u64,
    /// A host on duty waits a random time up to this, in milliseconds; 2,000 by default.
    pub jitter_ms: u64,
    /// Each rank of duty waits this much longer than the one before, in milliseconds; 4,000 by
    /// default.
    pub rank_delay_ms: u64,
}

impl Default for SnapshotOptions {
    fn default() -> Self {
        SnapshotOptions {
            retention_ms: 3_600_000,
            jitter_ms: 2_000,
            rank_delay_ms: 4_000,
        }
    }
}

/// Part of the retention after which a new snapshot is due.
const PERIODS_IN_RETENTION: u64 = 4;

/// The table to start from so that folding the retained `records` makes the whole table, if they
/// hold one.
///
/// `records` start at the first retained offset and have no gap. If that is 0, the start is the
/// empty table. Otherwise each retained snapshot is one; as a snapshot may lie, that start wins
/// whose fold agrees with most snapshots, and of equals the earliest.
pub(crate) fn start_of(first_retained: Offset, records: &[Record]) -> Option<Table> {
    if first_retained == Offset(0) {
        return Some(Table::default());
    }
    let mut open: Vec<_> = records.iter().filter_map(Header::of).collect();
    let total = open.len();
    let mut best: Option<Candidate> = None;
    while let Some(header) = open.first().copied() {
        let Some(start) = header.table(first_retained) else {
            open.remove(0);
            continue;
        };
        let candidate = Candidate::fold(start, records, &mut open);
        if best
            .as_ref()
            .is_none_or(|best| candidate.votes > best.votes)
        {
            best = Some(candidate);
        }
        if best.as_ref().is_some_and(|best| 2 * best.votes > total) {
            break;
        }
    }
    best.map(|best| best.start)
}

/// The header of a snapshot in the stream, with its record.
#[derive(Debug, Clone, Copy)]
struct Header<'a> {
    record: &'a Record,
    header: SnapshotHeader,
}

impl<'a> Header<'a> {
    fn of(record: &'a Record) -> Option<Self> {
        match FoldInput::parse(&record.data) {
            Ok(FoldInput::Snapshot(header)) => Some(Header { record, header }),
            Ok(FoldInput::Edit(_)) | Err(_) => None,
        }
    }

    /// The snapshot's table, if it can be started from: the records after it are all retained.
    fn table(&self, first_retained: Offset) -> Option<Table> {
        let as_of = self.header.as_of;
        if as_of < first_retained || as_of > self.record.offset {
            return None;
        }
        match ConfigRecord::parse(&self.record.data) {
            Ok(ConfigRecord::Snapshot(snapshot)) if snapshot.is_consistent() => {
                Some(snapshot.table)
            }
            Ok(_) | Err(_) => None,
        }
    }
}

/// A start with the number of snapshots that agree with its fold.
struct Candidate {
    start: Table,
    votes: usize,
}

impl Candidate {
    /// Folds from `start` and takes the snapshots that agree out of `open`.
    fn fold(start: Table, records: &[Record], open: &mut Vec<Header<'_>>) -> Self {
        let total = open.len();
        let mut table = start.clone();
        drop_agreeing(open, &table);
        for record in records {
            if record.offset == table.next {
                table.apply(record);
                drop_agreeing(open, &table);
            }
        }
        Candidate {
            start,
            votes: total - open.len(),
        }
    }
}

fn drop_agreeing(open: &mut Vec<Header<'_>>, table: &Table) {
    let digest = table.digest();
    open.retain(|seen| seen.header.as_of != table.next || seen.header.digest != digest);
}

/// Keeps account of the snapshots in the stream and tells when another one is due.
#[derive(Debug)]
pub struct SnapshotKeeper {
    options: SnapshotOptions,
    seen: Vec<SeenSnapshot>,
    first_retained: Offset,
    oldest_at_ms: Option<u64>,
}

/// A snapshot that stands in the stream.
#[derive(Debug, Clone, Copy)]
struct SeenSnapshot {
    offset: Offset,
    as_of: Offset,
    appended_at_ms: u64,
    agrees: bool,
}

impl SnapshotKeeper {
    /// An account that knows of no snapshot.
    pub fn new(options: SnapshotOptions) -> Self {
        SnapshotKeeper {
            options,
            seen: Vec::new(),
            first_retained: Offset(0),
            oldest_at_ms: None,
        }
    }

    /// The first offset that the platform still keeps.
    pub fn retained(&mut self, first_retained: Offset) {
        self.first_retained = self.first_retained.max(first_retained);
        self.seen.retain(|seen| seen.offset >= first_retained);
    }

    /// A record was folded.
    pub fn passed(&mut self, record: &Record) {
        self.oldest_at_ms.get_or_insert(record.appended_at_ms);
    }

    /// A snapshot was passed; `expected` is the digest as of its offset, if that is still known.
    ///
    /// Returns whether it disagrees.
    pub fn saw(
        &mut self,
        record: &Record,
        header: SnapshotHeader,
        expected: Option<Digest>,
    ) -> bool {
        let agrees = expected.is_some_and(|digest| digest == header.digest);
        self.seen.push(SeenSnapshot {
            offset: record.offset,
            as_of: header.as_of,
            appended_at_ms: record.appended_at_ms,
            agrees,
        });
        expected.is_some_and(|digest| digest != header.digest)
    }

    /// Whether a snapshot is due at wall-clock time `wall_ms`.
    ///
    /// It is when no good one remains from which a new host could start, when the newest good one
    /// is a quarter of the retention old, and when bad ones would outvote the good.
    pub fn is_due(&self, wall_ms: u64) -> bool {
        let (good, bad): (Vec<&SeenSnapshot>, Vec<&SeenSnapshot>) = self
            .seen
            .iter()
            .filter(|seen| seen.as_of >= self.first_retained)
            .partition(|seen| seen.agrees);
        if !bad.is_empty() && bad.len() >= good.len() {
            return true;
        }
        let newest = good.iter().map(|seen| seen.appended_at_ms).max();
        let period_ms = self.options.retention_ms / PERIODS_IN_RETENTION;
        match newest {
            Some(at_ms) => wall_ms.saturating_sub(at_ms) >= period_ms,
            None if self.first_retained > Offset(0) => true,
            None => self
                .oldest_at_ms
                .is_some_and(|at_ms| wall_ms.saturating_sub(at_ms) >= period_ms),
        }
    }

    /// How long a host of duty rank `rank` waits before it appends, in milliseconds; `chance` is
    /// uniform in 0 to 1.
    pub fn delay_ms(&self, rank: usize, chance: f64) -> u64 {
        let jitter_ms = (self.options.jitter_ms as f64 * chance) as u64;
        self.options.rank_delay_ms * rank as u64 + jitter_ms
    }
}

#[cfg(test)]
mod tests;
