use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::Sender;
use std::sync::mpsc::channel;

use serde_json::Value;

use super::CUT_MARK;
use super::DecisionLog;
use super::FIELD_BYTES_MAX;
use super::QUEUE_ENTRIES_MAX;
use crate::clock::SystemClock;
use crate::event::EventCode;
use crate::id::HostId;
use crate::id::Incarnation;

/// Sends the written bytes to the test.
pub(crate) struct ChannelOutput(pub(crate) Sender<Vec<u8>>);

impl Write for ChannelOutput {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.send(bytes.to_vec()).map_err(std::io::Error::other)?;
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// An output whose reader has stalled: writes block until the lock is free.
struct StalledOutput(Arc<Mutex<()>>);

impl Write for StalledOutput {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        let _held = self.0.lock();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

fn log(output: impl Write + Send + 'static) -> DecisionLog {
    let log = DecisionLog::with_output(Incarnation(7), SystemClock::new(), output);
    log.set_host(&HostId::new("host-1"));
    log
}

pub(crate) fn next_entry(output: &Receiver<Vec<u8>>) -> Value {
    let mut text = Vec::new();
    while !text.ends_with(b"\n") {
        text.extend(output.recv().unwrap());
    }
    serde_json::from_slice(&text).unwrap()
}

#[test]
fn an_entry_holds_the_host_the_event_and_the_given_fields() {
    let (sender, output) = channel();
    let log = log(ChannelOutput(sender));

    log.entry(EventCode::RequestRefused)
        .with("request", "r-1")
        .with_some("offset", None::<u64>)
        .with_some("version", Some(4))
        .write();
    let entry = next_entry(&output);

    assert_eq!(entry["event"], 201);
    assert_eq!(entry["name"], "RequestRefused");
    assert_eq!(entry["host"], "host-1");
    assert_eq!(entry["incarnation"], 7);
    assert_eq!(entry["request"], "r-1");
    assert_eq!(entry["version"], 4);
    assert!(entry.get("offset").is_none());
}

#[test]
fn a_stalled_output_blocks_no_caller_and_dropped_entries_are_counted() {
    let lock = Arc::new(Mutex::new(()));
    let held = lock.lock().unwrap();
    let log = log(StalledOutput(lock.clone()));

    for _ in 0..QUEUE_ENTRIES_MAX + 100 {
        log.entry(EventCode::RequestRefused).write();
    }

    // The writer thread holds one entry at most.
    assert!(log.dropped() >= 99, "{}", log.dropped());
    drop(held);
}

#[test]
fn a_long_text_is_cut() {
    let (sender, output) = channel();
    let log = log(ChannelOutput(sender));

    log.entry(EventCode::RecordSkipped)
        .with("reason", "ä".repeat(100_000))
        .write();
    let entry = next_entry(&output);

    let reason = entry["reason"].as_str().unwrap();
    assert!(reason.len() <= FIELD_BYTES_MAX + CUT_MARK.len());
    assert!(reason.ends_with(CUT_MARK));
}

#[test]
fn a_flush_waits_for_the_entries_before_it() {
    let (sender, output) = channel();
    let log = log(ChannelOutput(sender));

    for _ in 0..QUEUE_ENTRIES_MAX / 2 {
        log.entry(EventCode::RequestRefused).write();
    }
    log.flush();

    let text: Vec<u8> = output.try_iter().flatten().collect();
    let lines = text.split(|byte| *byte == b'\n').count() - 1;
    assert_eq!(lines, QUEUE_ENTRIES_MAX / 2);
}

#[test]
fn a_flush_of_a_stalled_output_ends() {
    let lock = Arc::new(Mutex::new(()));
    let held = lock.lock().unwrap();
    let log = log(StalledOutput(lock.clone()));
    for _ in 0..2 * QUEUE_ENTRIES_MAX {
        log.entry(EventCode::RequestRefused).write();
    }

    log.flush();

    drop(held);
}
