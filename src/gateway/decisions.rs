//! Structured log lines on standard output: one for each decision that touches a request or
//! changes a belief.
//!
//! A thread of its own writes them, so that a reader that stalls stalls nobody else. The queue is
//! bounded; lines that find it full are counted and the count is told with the next line.

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

/// Lines that wait to be written, at most; about 300 KB.
const QUEUE_ENTRIES_MAX: usize = 1_024;

/// A handle on the process's log; clones share it.
#[derive(Debug, Clone)]
pub struct DecisionLog {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    host: HostId,
    incarnation: Incarnation,
    clock: SystemClock,
    queue: SyncSender<String>,
    dropped: AtomicU64,
}

impl DecisionLog {
    /// A log that writes to standard output.
    pub fn start(host: HostId, incarnation: Incarnation, clock: SystemClock) -> Self {
        DecisionLog::with_output(host, incarnation, clock, std::io::stdout())
    }

    /// A log that writes to `output`.
    pub fn with_output(
        host: HostId,
        incarnation: Incarnation,
        clock: SystemClock,
        output: impl Write + Send + 'static,
    ) -> Self {
        let (queue, lines) = sync_channel(QUEUE_ENTRIES_MAX);
        std::thread::spawn(move || write_entries(&lines, output));
        DecisionLog {
            inner: Arc::new(Inner {
                host,
                incarnation,
                clock,
                queue,
                dropped: AtomicU64::new(0),
            }),
        }
    }

    /// Begins a line of this event.
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

    /// Lines dropped so far.
    pub fn dropped(&self) -> u64 {
        self.inner.dropped.load(Ordering::Relaxed)
    }

    fn write(&self, mut fields: Map<String, Value>) {
        let dropped = self.inner.dropped.load(Ordering::Relaxed);
        if dropped > 0 {
            fields.insert("lines_dropped".to_owned(), dropped.into());
        }
        let line = Value::Object(fields).to_string();
        if self.inner.queue.try_send(line).is_err() {
            self.inner.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }
}

/// A line that is being filled; dropping it writes it.
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

    /// Adds a field if there is a value.
    pub fn with_some(self, name: &str, value: Option<impl Into<Value>>) -> Self {
        match value {
            Some(value) => self.with(name, value),
            None => self,
        }
    }

    /// Writes the line.
    pub fn write(self) {
        self.log.write(self.fields);
    }
}

fn write_entries(lines: &Receiver<String>, mut output: impl Write) {
    while let Ok(line) = lines.recv() {
        let written = writeln!(output, "{line}").and_then(|()| output.flush());
        if written.is_err() {
            // Nobody reads the output; there is no other place to say so.
            return;
        }
    }
}

#[cfg(test)]
mod tests;
