use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::Sender;
use std::sync::mpsc::channel;

use serde_json::Value;

use super::DecisionLog;
use super::QUEUE_ENTRIES_MAX;
use crate::clock::SystemClock;
use crate::event::EventCode;
use crate::id::HostId;
use crate::id::Incarnation;

/// Hands each line to the test.
struct Output(Sender<Vec<u8>>);

impl Write for Output {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.send(bytes.to_vec()).map_err(std::io::Error::other)?;
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// An output that nobody reads: it blocks until the lock is free.
struct Stalled(Arc<Mutex<()>>);

impl Write for Stalled {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        let _held = self.0.lock();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

fn log(output: impl Write + Send + 'static) -> DecisionLog {
    DecisionLog::with_output(
        HostId::new("host-1"),
        Incarnation(7),
        SystemClock::new(),
        output,
    )
}

fn next_line(lines: &Receiver<Vec<u8>>) -> Value {
    let mut text = Vec::new();
    while !text.ends_with(b"\n") {
        text.extend(lines.recv().unwrap());
    }
    serde_json::from_slice(&text).unwrap()
}

#[test]
fn a_line_tells_who_when_what_and_why() {
    let (sender, lines) = channel();
    let log = log(Output(sender));

    let line = log.entry(EventCode::RequestRefused);
    line.with("request", "r-1")
        .with_some("offset", None::<u64>)
        .with_some("version", Some(4))
        .write();
    let line = next_line(&lines);

    assert_eq!(line["event"], 201);
    assert_eq!(line["name"], "RequestRefused");
    assert_eq!(line["host"], "host-1");
    assert_eq!(line["incarnation"], 7);
    assert_eq!(line["request"], "r-1");
    assert_eq!(line["version"], 4);
    assert!(line.get("offset").is_none());
}

#[test]
fn an_output_that_stalls_blocks_nobody_and_what_is_lost_is_counted() {
    let lock = Arc::new(Mutex::new(()));
    let held = lock.lock().unwrap();
    let log = log(Stalled(lock.clone()));

    for _ in 0..QUEUE_ENTRIES_MAX + 100 {
        log.entry(EventCode::RequestRefused).write();
    }

    // The writer holds one line at most.
    assert!(log.dropped() >= 99, "{}", log.dropped());
    drop(held);
}
