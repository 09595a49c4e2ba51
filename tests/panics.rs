//! Panics of threads and tasks in the decision log. The hook is that of the process, so they have a program of their own.

#![allow(clippy::unwrap_used, reason = "fixtures of tests")]

use std::io::Write;
use std::panic;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::Sender;
use std::sync::mpsc::channel;
use std::thread;

use serde_json::Value;

use cedargauge::clock::SystemClock;
use cedargauge::gateway::decisions::DecisionLog;
use cedargauge::gateway::panics::log_panics;
use cedargauge::id::Incarnation;

/// Sends the written bytes to the test.
struct ChannelOutput(Sender<Vec<u8>>);

impl Write for ChannelOutput {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.send(bytes.to_vec()).map_err(std::io::Error::other)?;
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

fn log() -> (DecisionLog, Receiver<Vec<u8>>) {
    let (sender, output) = channel();
    let log = DecisionLog::with_output(Incarnation(1), SystemClock::new(), ChannelOutput(sender));
    (log, output)
}

fn lines(log: &DecisionLog, output: &Receiver<Vec<u8>>) -> Vec<Value> {
    log.flush();
    let text: Vec<u8> = output.try_iter().flatten().collect();
    let text = String::from_utf8(text).unwrap();
    let lines = text.lines().map(|line| serde_json::from_str(line).unwrap());
    lines.collect()
}

/// A panic was on standard error alone, and that of a task left no other trace.
#[test]
fn a_panic_is_logged_with_its_place_and_thread() {
    let (log, output) = log();
    log_panics(&log);

    let thread = thread::Builder::new().name("requests".to_owned());
    let of_thread = thread.spawn(|| panic!("slot {} is none", 7)).unwrap();
    let of_thread = of_thread.join().is_err();
    let of_task = actix_rt::System::new().block_on(async {
        let task = actix_rt::spawn(async { panic!("a task") });
        task.await.is_err_and(|error| error.is_panic())
    });

    // The hook would hide why the test fails.
    drop(panic::take_hook());
    assert!(of_thread && of_task);
    let lines = lines(&log, &output);
    let messages: Vec<&Value> = lines.iter().map(|line| &line["message"]).collect();
    assert_eq!(messages, ["slot 7 is none", "a task"]);
    assert!(lines.iter().all(|line| line["event"] == 109));
    assert_eq!(lines[0]["thread"], "requests");
    let place = lines[0]["place"].as_str().unwrap();
    assert!(place.contains("panics.rs:"), "{place}");
}
