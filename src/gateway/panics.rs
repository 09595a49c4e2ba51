//! Logs panics. The runtime catches those of tasks, so that nothing else would tell of them.

use std::panic;
use std::panic::PanicHookInfo;
use std::thread;

use crate::event::EventCode;
use crate::gateway::decisions::DecisionLog;
use crate::telemetry;
use crate::telemetry::Metric;

/// Has all panics of the process logged to `log`.
///
/// Replaces the default hook, which writes to standard error and blocks while nobody reads that.
pub fn log_panics(log: &DecisionLog) {
    let log = log.clone();
    panic::set_hook(Box::new(move |info| {
        telemetry::count(Metric::PanicsTotal);
        let line = log.entry(EventCode::Panicked);
        line.with("message", message(info))
            .with_some("place", info.location().map(ToString::to_string))
            .with_some("thread", thread::current().name())
            .write();
    }));
}

fn message(info: &PanicHookInfo<'_>) -> String {
    let payload = info.payload();
    let text = payload.downcast_ref::<&str>().copied();
    let text = text.or_else(|| payload.downcast_ref::<String>().map(String::as_str));
    text.unwrap_or("a payload that is no text").to_owned()
}
