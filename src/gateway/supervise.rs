//! Keeps the tasks running that a host needs.

use std::time::Duration;

use tokio::task::JoinError;

use crate::event::EventCode;
use crate::gateway::decisions::DecisionLog;
use crate::telemetry;
use crate::telemetry::Metric;

/// Pause before a task is started again, so that one which ends at once doesn't take the processor.
const RESTART_PAUSE: Duration = Duration::from_millis(250);

/// Runs a task that never ends by itself, and starts it again if it ends or panics.
pub(crate) fn supervise<F>(log: &DecisionLog, name: &'static str, start: impl Fn() -> F + 'static)
where
    F: Future<Output = ()> + 'static,
{
    let log = log.clone();
    actix_rt::spawn(async move {
        let mut restarts = 0_u64;
        loop {
            let ended = actix_rt::spawn(start()).await;
            if ended.as_ref().is_err_and(JoinError::is_cancelled) {
                return;
            }
            restarts += 1;
            telemetry::count(Metric::TaskRestartsTotal);
            let line = log.entry(EventCode::TaskRestarted);
            line.with("task", name)
                .with("reason", reason(ended))
                .with("restarts", restarts)
                .write();
            tokio::time::sleep(RESTART_PAUSE).await;
        }
    });
}

fn reason(ended: Result<(), JoinError>) -> &'static str {
    match ended {
        Ok(()) => "it returned",
        Err(_) => "it panicked",
    }
}

#[cfg(test)]
mod tests;
