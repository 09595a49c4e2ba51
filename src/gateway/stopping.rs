//! How the requests of a host end that shuts down: each that was read whole gets a complete answer before the process
//! ends, except for streams that began before the shutdown was noticed and outlast the grace period.
//!
//! [`acceptance`] decides which requests still begin.

use actix_web::HttpResponse;
use tokio::sync::watch;

use crate::event::EventCode;
use crate::gateway::refuse;
use crate::gateway::serve::Admitted;
use crate::gateway::shared::Shared;
use crate::gateway::shared::ShutdownTimes;
use crate::refusal::Code;
use crate::refusal::Refusal;
use crate::telemetry;

pub(crate) mod acceptance;

/// How far a host's shutdown has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum StopStage {
    /// It hasn't begun.
    Serving,
    /// Requests are taken as long as they are certain to be answered.
    Draining,
    /// No request begins, and each without the head of an answer is answered by the host.
    Answering,
    /// Streams that still run are cut.
    Cutting,
}

/// How far a request has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) enum Phase {
    /// It waits for an upstream and has certainly not run.
    #[default]
    Waiting,
    /// It was sent and may have run.
    Sent,
    /// Its stream is relayed to the caller.
    Streaming,
}

impl Phase {
    fn name(self) -> &'static str {
        match self {
            Phase::Waiting => "waiting",
            Phase::Sent => "sent",
            Phase::Streaming => "streaming",
        }
    }
}

/// Returns once the shutdown has come to `stage`.
pub(crate) async fn wait_stage(stages: &mut watch::Receiver<StopStage>, stage: StopStage) {
    if stages.wait_for(|current| *current >= stage).await.is_err() {
        // The shared state is being dropped, so nothing waits for this any more.
        std::future::pending::<()>().await;
    }
}

/// Refuses a request that arrives after the gate was closed, before anything of it is used.
pub(crate) fn refuse_unread(shared: &Shared) -> HttpResponse {
    let refusal = refuse::host_stopping();
    let entry = shared.log().entry(EventCode::RequestRefused);
    entry
        .with("code", refusal.code.name())
        .with("message", refusal.message.as_str())
        .write();
    telemetry::count_refusal(None, refusal.code);
    refuse::response(&refusal, true)
}

/// Answers a request that the host can't finish, because it stops.
pub(crate) fn answer(shared: &Shared, admitted: &Admitted) -> HttpResponse {
    log_stopped(shared, admitted);
    let refusal = match admitted.phase.get() {
        Phase::Waiting => refuse::host_stopping(),
        Phase::Sent | Phase::Streaming => {
            Refusal::unknown(Code::DeadlineExceeded, "no answer before the host stopped")
        }
    };
    admitted.refuse(shared, &refusal)
}

/// Logs that the host gives a request up, because it stops.
pub(crate) fn log_stopped(shared: &Shared, admitted: &Admitted) {
    let times = shared.shutdown_times();
    let stopping_for = times.map(ShutdownTimes::stopping_for).unwrap_or_default();
    let left = times.map(ShutdownTimes::aborting_in).unwrap_or_default();
    let entry = admitted.log_entry(shared, EventCode::RequestStopped);
    entry
        .with("phase", admitted.phase.get().name())
        .with("stopping_ms", stopping_for.as_millis() as u64)
        .with("left_ms", left.as_millis() as u64)
        .write();
}
