//! The decision log: one JSON object per line on standard output for each decision that affects a request
//! or changes the host's state.
//!
//! A separate thread writes the entries, so that a stalled reader of the output blocks no other thread. The
//! queue to it is bounded, and so is the length of a field. Entries that don't fit are dropped, and the next entries
//! carry their number.

use std::io::Write;
use std::sync::Arc;
use std::sync::OnceLock;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::SyncSender;
use std::sync::mpsc::TrySendError;
use std::sync::mpsc::sync_channel;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde_json::Map;
use serde_json::Value;

use crate::clock::SystemClock;
use crate::event::EventCode;
use crate::id::HostId;
use crate::id::Incarnation;

/// Maximum number of entries waiting to be written; about 300 KB.
const QUEUE_ENTRIES_MAX: usize = 1_024;
/// Longest text of a field in bytes. Texts that others wrote may have any length.
const FIELD_BYTES_MAX: usize = 1_024;
/// Mark at the end of a text that was cut.
const CUT_MARK: &str = "…";
/// Longest time for which the end of a process waits for its last entries to be written.
const FLUSH_TIME_MAX: Duration = Duration::from_millis(200);
/// Pause between two attempts to queue a request to flush.
const FLUSH_RETRY_PAUSE: Duration = Duration::from_millis(5);

/// A handle to the decision log of the process. Clones share the log.
#[derive(Debug, Clone)]
pub struct DecisionLog {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    /// Unset until the settings have been read.
    host: OnceLock<HostId>,
    incarnation: Incarnation,
    clock: SystemClock,
    queue: SyncSender<Message>,
    dropped: AtomicU64,
}

/// What the writing thread is told.
#[derive(Debug)]
enum Message {
    Write(String),
    /// All entries before have been written once the sender is dropped.
    Flush(#[expect(dead_code, reason = "dropped, not used")] SyncSender<()>),
}

impl DecisionLog {
    /// Starts a log that writes to standard output.
    pub fn start(incarnation: Incarnation, clock: SystemClock) -> Self {
        DecisionLog::with_output(incarnation, clock, std::io::stdout())
    }

    /// Starts a log that writes to `output`. If its thread can't be started, all entries count as dropped.
    pub fn with_output(
        incarnation: Incarnation,
        clock: SystemClock,
        output: impl Write + Send + 'static,
    ) -> Self {
        let (queue, messages) = sync_channel(QUEUE_ENTRIES_MAX);
        let writer = thread::Builder::new().name("decision-log".to_owned());
        if let Err(error) = writer.spawn(move || write_entries(&messages, output)) {
            log::error!("starting the thread of the decision log: {error}");
        }
        DecisionLog {
            inner: Arc::new(Inner {
                host: OnceLock::new(),
                incarnation,
                clock,
                queue,
                dropped: AtomicU64::new(0),
            }),
        }
    }

    /// Names the host in all later entries.
    pub fn set_host(&self, host: &HostId) {
        self.inner.host.get_or_init(|| host.clone());
    }

    /// The clock of the entries.
    pub fn clock(&self) -> SystemClock {
        self.inner.clock
    }

    /// Begins an entry for the event `code`, with the time, the host and the event's number and name.
    pub fn entry(&self, code: EventCode) -> LogEntry {
        let mut fields = Map::new();
        let ms = self.inner.clock.now().as_us() as f64 / 1_000.0;
        fields.insert("ms".to_owned(), ms.into());
        fields.insert("wall_ms".to_owned(), self.inner.clock.wall_ms().into());
        if let Some(host) = self.inner.host.get() {
            fields.insert("host".to_owned(), host.as_str().into());
        }
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
        if self.inner.queue.try_send(Message::Write(entry)).is_err() {
            self.inner.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Waits until the queued entries have been written, but no longer than [`FLUSH_TIME_MAX`]. For the end of a process.
    pub fn flush(&self) {
        let until = Instant::now() + FLUSH_TIME_MAX;
        let (sender, written) = sync_channel(0);
        let mut request = Message::Flush(sender);
        while let Err(TrySendError::Full(unsent)) = self.inner.queue.try_send(request) {
            if Instant::now() >= until {
                return;
            }
            thread::sleep(FLUSH_RETRY_PAUSE);
            request = unsent;
        }
        // The sender is dropped, not used: either way the wait is over.
        let _ = written.recv_timeout(until.saturating_duration_since(Instant::now()));
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
    /// Adds a field. A text longer than [`FIELD_BYTES_MAX`] is cut.
    pub fn with(mut self, name: &str, value: impl Into<Value>) -> Self {
        let mut value = value.into();
        if let Value::String(text) = &mut value
            && text.len() > FIELD_BYTES_MAX
        {
            let mut end = FIELD_BYTES_MAX;
            while !text.is_char_boundary(end) {
                end -= 1;
            }
            text.truncate(end);
            text.shrink_to_fit();
            text.push_str(CUT_MARK);
        }
        self.fields.insert(name.to_owned(), value);
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
fn write_entries(messages: &Receiver<Message>, mut output: impl Write) {
    while let Ok(message) = messages.recv() {
        let Message::Write(entry) = message else {
            continue;
        };
        let written = writeln!(output, "{entry}").and_then(|()| output.flush());
        if written.is_err() {
            // The output is closed, and there is no other place to report that.
            return;
        }
    }
}

#[cfg(test)]
pub(crate) mod tests;
