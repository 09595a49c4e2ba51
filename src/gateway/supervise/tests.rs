use std::cell::Cell;
use std::rc::Rc;
use std::sync::mpsc::channel;

use serde_json::Value;
use tokio::sync::Notify;

use super::supervise;
use crate::clock::SystemClock;
use crate::gateway::decisions::DecisionLog;
use crate::gateway::decisions::tests::ChannelOutput;
use crate::gateway::decisions::tests::next_entry;
use crate::id::Incarnation;

/// Supervises a task whose first run is `first`, and returns the line on its restart once it runs again.
fn restart_line(first: fn()) -> Value {
    let (sender, output) = channel();
    let log = DecisionLog::with_output(Incarnation(1), SystemClock::new(), ChannelOutput(sender));
    actix_rt::System::new().block_on(async move {
        let starts = Rc::new(Cell::new(0));
        let runs_again = Rc::new(Notify::new());
        let running = runs_again.clone();
        supervise(&log, "count starts", move || {
            starts.set(starts.get() + 1);
            let (start, running) = (starts.get(), running.clone());
            async move {
                if start == 1 {
                    return first();
                }
                running.notify_one();
                std::future::pending().await
            }
        });
        runs_again.notified().await;
    });
    next_entry(&output)
}

/// A task that panicked was gone without a word.
#[test]
fn a_task_that_panics_is_started_again() {
    let line = restart_line(|| panic!("a bad figure"));

    assert_eq!(line["name"], "TaskRestarted");
    assert_eq!(line["task"], "count starts");
    assert_eq!(line["reason"], "it panicked");
    assert_eq!(line["restarts"], 1);
}

#[test]
fn a_task_that_returns_is_started_again() {
    let line = restart_line(|| {});

    assert_eq!(line["reason"], "it returned");
}
