//! Decides which requests a host that is shutting down accepts. It refuses those that it would have to abort, because the
//! caller's next attempt reaches another host.

use std::time::Duration;

use crate::event::EventCode;
use crate::gateway::refuse;
use crate::gateway::serve::Admitted;
use crate::gateway::shared::Shared;
use crate::gateway::shared::ShutdownTimes;
use crate::gateway::stopping::StopStage;
use crate::refusal::Refusal;

/// Time within which new requests still arrive: the load balancer needs 2 s to notice the shutdown, and
/// requests in transit arrive after that. Later ones come over old connections.
const NOTICE_DELAY: Duration = Duration::from_millis(2_500);

/// How often a request that waits is checked again.
const RECHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Why a host that is shutting down accepts a request, or that it doesn't.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Verdict {
    /// The request's deadline passes before the host aborts requests, whatever its upstream does.
    Certain,
    /// The request is expected to end in time. Upstreams preempt, pause and slow down, so that isn't certain.
    Expected,
    /// The request might be aborted.
    Refused,
}

impl Verdict {
    const fn name(self) -> &'static str {
        match self {
            Verdict::Certain => "certain",
            Verdict::Expected => "expected",
            Verdict::Refused => "refused",
        }
    }
}

/// What a verdict is based on.
#[derive(Debug, Clone, Copy)]
struct Evidence {
    /// Time since the shutdown began.
    stopping_for: Duration,
    /// Time until the host answers the remaining requests itself.
    time_left: Duration,
    /// Time until the request's deadline.
    deadline_in: Duration,
    /// Time that the request is expected to take at most.
    run_time: Duration,
}

impl Evidence {
    fn new(times: &ShutdownTimes, admitted: &Admitted, run_time: Duration) -> Self {
        Evidence {
            stopping_for: times.stopping_for(),
            time_left: times.answering_in(),
            deadline_in: admitted.time_left(),
            run_time,
        }
    }

    fn verdict(self) -> Verdict {
        if self.deadline_in <= self.time_left {
            return Verdict::Certain;
        }
        match self.stopping_for < NOTICE_DELAY && self.run_time <= self.time_left {
            true => Verdict::Expected,
            false => Verdict::Refused,
        }
    }

    fn log(self, shared: &Shared, admitted: &Admitted, verdict: Verdict) {
        let ms = |time: Duration| u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
        let entry = admitted.log_entry(shared, EventCode::StoppingChecked);
        entry
            .with("verdict", verdict.name())
            .with("phase", admitted.phase.get().name())
            .with("stopping_ms", ms(self.stopping_for))
            .with("left_ms", ms(self.time_left))
            .with("deadline_ms", ms(self.deadline_in))
            .with("run_ms", ms(self.run_time))
            .write();
    }
}

/// Returns the refusal of a request that the host might have to abort, if the host is shutting down. The request is
/// expected to take `run_time` at most.
pub(crate) fn refuse_uncertain(
    shared: &Shared,
    admitted: &Admitted,
    run_time: Duration,
) -> Option<Refusal> {
    let times = shared.shutdown_times()?;
    let evidence = Evidence::new(times, admitted, run_time);
    let verdict = evidence.verdict();
    evidence.log(shared, admitted, verdict);
    (verdict == Verdict::Refused).then(refuse::host_stopping)
}

/// Returns the refusal of a request that waits for room, as soon as the host might have to abort it.
pub(crate) async fn wait_until_uncertain(
    shared: &Shared,
    admitted: &Admitted,
    run_time: Duration,
) -> Refusal {
    shared.wait_stop_stage(StopStage::Draining).await;
    loop {
        if let Some(times) = shared.shutdown_times() {
            let evidence = Evidence::new(times, admitted, run_time);
            let verdict = evidence.verdict();
            if verdict == Verdict::Refused {
                evidence.log(shared, admitted, verdict);
                super::log_stopped(shared, admitted);
                return refuse::host_stopping();
            }
        }
        tokio::time::sleep(RECHECK_INTERVAL).await;
    }
}

#[cfg(test)]
mod tests;
