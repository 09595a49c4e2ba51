//! The stand-in platform's log: streams in memory, retention, the rate limit and the counters.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::clock::Time;
use crate::id::Offset;
use crate::platform::ReadAnswer;
use crate::platform::Record;

/// What the log was asked, for `GET /admin/counters`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogCounters {
    /// Batches appended.
    pub appends: u64,
    /// Records appended.
    pub records: u64,
    /// Bytes appended.
    pub appended_bytes: u64,
    /// Appends refused by the rate limit.
    pub refused: u64,
    /// Reads answered.
    pub reads: u64,
    /// Bytes of records read.
    pub read_bytes: u64,
    /// Appends by stream.
    pub streams: BTreeMap<String, StreamCounters>,
}

/// What one stream was asked.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamCounters {
    /// Batches appended.
    pub appends: u64,
    /// Records appended.
    pub records: u64,
}

/// Streams of records in memory.
pub(crate) struct Log {
    streams: BTreeMap<String, Stream>,
    pace: Pace,
    retention_ms: Option<u64>,
    retention_records: Option<usize>,
    counters: LogCounters,
}

#[derive(Default)]
struct Stream {
    head: Offset,
    records: VecDeque<Record>,
}

impl Log {
    pub(crate) fn new(appends_per_s: f64) -> Self {
        Log {
            streams: BTreeMap::new(),
            pace: Pace::new(appends_per_s),
            retention_ms: None,
            retention_records: None,
            counters: LogCounters::default(),
        }
    }

    pub(crate) fn retain(&mut self, age_ms: Option<u64>, records: Option<usize>) {
        self.retention_ms = age_ms;
        self.retention_records = records;
    }

    pub(crate) fn set_pace(&mut self, appends_per_s: f64) {
        self.pace = Pace::new(appends_per_s);
    }

    /// Takes one append from the rate limit, or says how long to wait.
    pub(crate) fn pace(&mut self, now: Time) -> Result<(), Duration> {
        let taken = self.pace.take(now);
        if taken.is_err() {
            self.counters.refused += 1;
        }
        taken
    }

    /// Appends all records and answers the first one's offset.
    pub(crate) fn append(&mut self, name: &str, records: Vec<String>, wall_ms: u64) -> Offset {
        let stream = self.streams.entry(name.to_owned()).or_default();
        let first = stream.head;
        let counters = self.counters.streams.entry(name.to_owned()).or_default();
        counters.appends += 1;
        self.counters.appends += 1;
        for data in records {
            counters.records += 1;
            self.counters.records += 1;
            self.counters.appended_bytes += data.len() as u64;
            stream.push(data, wall_ms);
        }
        first
    }

    pub(crate) fn head(&self, name: &str) -> Offset {
        self.streams
            .get(name)
            .map_or(Offset::default(), |stream| stream.head)
    }

    pub(crate) fn read(
        &mut self,
        name: &str,
        from: Offset,
        limit: usize,
        wall_ms: u64,
    ) -> ReadAnswer {
        let oldest_ms = self
            .retention_ms
            .map_or(0, |age| wall_ms.saturating_sub(age));
        let stream = self.streams.entry(name.to_owned()).or_default();
        stream.expire(oldest_ms, self.retention_records);
        let records: Vec<Record> = stream
            .records
            .iter()
            .filter(|record| record.offset >= from)
            .take(limit)
            .cloned()
            .collect();
        self.counters.reads += 1;
        self.counters.read_bytes += records.iter().map(|r| r.data.len() as u64).sum::<u64>();
        ReadAnswer {
            first_retained: stream.first_retained(),
            head: stream.head,
            records,
        }
    }

    pub(crate) fn counters(&self) -> &LogCounters {
        &self.counters
    }
}

impl Stream {
    fn push(&mut self, data: String, wall_ms: u64) {
        self.records.push_back(Record {
            offset: self.head,
            appended_at_ms: wall_ms,
            data,
        });
        self.head = self.head.next();
    }

    fn expire(&mut self, oldest_ms: u64, records_max: Option<usize>) {
        let records_max = records_max.unwrap_or(usize::MAX);
        while self
            .records
            .front()
            .is_some_and(|first| first.appended_at_ms < oldest_ms)
            || self.records.len() > records_max
        {
            self.records.pop_front();
        }
    }

    fn first_retained(&self) -> Offset {
        self.records
            .front()
            .map_or(self.head, |record| record.offset)
    }
}

/// A token bucket that holds one second's worth.
#[derive(Debug)]
pub(crate) struct Pace {
    per_s: f64,
    tokens: f64,
    filled_at: Time,
}

impl Pace {
    pub(crate) fn new(per_s: f64) -> Self {
        Pace {
            per_s,
            tokens: per_s.max(1.0),
            filled_at: Time::ZERO,
        }
    }

    /// Takes one token, or says how long until there is one.
    pub(crate) fn take(&mut self, now: Time) -> Result<(), Duration> {
        let gained = now.since(self.filled_at).as_secs_f64() * self.per_s;
        self.filled_at = now;
        self.tokens = (self.tokens + gained).min(self.per_s.max(1.0));
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        let wait_s = (1.0 - self.tokens) / self.per_s.max(f64::MIN_POSITIVE);
        Err(Duration::from_secs_f64(wait_s.min(3_600.0)))
    }
}

#[cfg(test)]
mod tests;
