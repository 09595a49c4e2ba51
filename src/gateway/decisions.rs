//! The decision log: one JSON object per line on standard output for each decision that affects a request
//! or changes the host's state.
//!
//! A separate thread writes the entries, so that a stalled reader of the output blocks no other thread. The
//! queue to it is bounded. Entries that don't fit are dropped, and the next entries carry their number.

use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::SyncSender;
use std::sync::mpsc::sync_channel;

use serde_json::Map;
use serde_json::Value;

use crate::clock::SystemClock;
use crate::event::EventCode;
use crate::id::HostId;
use crate::id::Incarnation;

/// Maximum number of entries waiting to be written; about 300 KB.
const QUEUE_ENTRIES_MAX: usize = 1_024;

/// A handle to the decision log of the process. Clones share the log.
#[derive(Debug, Clone)]
pub struct DecisionLog {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    host: HostId,
    incarnation: Incarnation,
    clock: SystemClock,
    entries: SyncSender<String>,
    dropped: AtomicU64,
}

impl DecisionLog {
    /// Starts a log that writes to standard output.
    pub fn start(host: HostId, incarnation: Incarnation, clock: SystemClock) -> Self {
        DecisionLog::with_output(host, incarnation, clock, std::io::stdout())
    }

    /// Starts a log that writes to `output`.
    pub fn with_output(
        host: HostId,
        incarnation: Incarnation,
        clock: SystemClock,
        output: impl Write + Send + 'static,
    ) -> Self {
        let (entries, receiver) = sync_channel(QUEUE_ENTRIES_MAX);
        std::thread::spawn(move || write_entries(&receiver, output));
        DecisionLog {
            inner: Arc::new(Inner {
                host,
                incarnation,
                clock,
                entries,
                dropped: AtomicU64::new(0),
            }),
        }
    }

    /// Begins an entry for the event `code`, with the time, the host and the event's number and name.
    pub fn entry(&self, code: EventCode) -> LogEntry {
        let mut fields = Map::new();
        let ms = self.inner.clock.now().as_us() as f64 / 1_000.0;
        fields.insert("ms".to_owned(), ms.into());
        fields.insert("wall_ms".to_owned(), self.inner.clock.wall_ms().into());
        fields.insert("host".to_owned(), self.inner.host.as_str().into());
        fields.insert("incarnation".to_owned(), self.inner.incarnation.0.into());
        fields.insert("event".to_owned(), code.number().into());
        fields.insert("name".to_owned(), code.name().into());
        LogEntry {
            log: self.clone(),
            fields,
        }
    }

    /// Number of entries dropped since the start.
    pub fn dropped(&self) -> u64 {
        self.inner.dropped.load(Ordering::Relaxed)
    }

    fn write(&self, mut fields: Map<String, Value>) {
        let dropped = self.inner.dropped.load(Ordering::Relaxed);
        if dropped > 0 {
            fields.insert("lines_dropped".to_owned(), dropped.into());
        }
        let entry = Value::Object(fields).to_string();
        if self.inner.entries.try_send(entry).is_err() {
            self.inner.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }
}

/// A log entry under construction. [`LogEntry::write`] writes it; dropping it discards it.
#[derive(Debug)]
#[must_use]
pub struct LogEntry {
    log: DecisionLog,
    fields: Map<String, Value>,
}

impl LogEntry {
    /// Adds a field.
    pub fn with(mut self, name: &str, value: impl Into<Value>) -> Self {
        self.fields.insert(name.to_owned(), value.into());
        self
    }

    /// Adds a field if `value` is `Some`.
    pub fn with_some(self, name: &str, value: Option<impl Into<Value>>) -> Self {
        match value {
            Some(value) => self.with(name, value),
            None => self,
        }
    }

    /// Queues the entry to be written.
    pub fn write(self) {
        self.log.write(self.fields);
    }
}

/// Writes entries until the log is dropped or the output fails.
fn write_entries(entries: &Receiver<String>, mut output: impl Write) {
    while let Ok(entry) = entries.recv() {
        let written = writeln!(output, "{entry}").and_then(|()| output.flush());
        if written.is_err() {
            // The output is closed, and there is no other place to report that.
            return;
        }
    }
}

#[cfg(test)]
mod tests;
