//! Handles requests that are answered with a stream of events: sends each to an engine, relays its events
//! and moves its run to another engine if the first one is leaving.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix_web::HttpResponse;
use bytes::Bytes;
use futures_util::stream;
use http::HeaderValue;
use http::response::Parts;
use tokio::time::Instant;

use crate::event::EventCode;
use crate::gateway::answerguard::ResponseBody;
use crate::gateway::attempts::Attempts;
use crate::gateway::attempts::Delivery;
use crate::gateway::call;
use crate::gateway::call::WholeAnswer;
use crate::gateway::connection::Connection;
use crate::gateway::connection::ConnectionProfile;
use crate::gateway::dial;
use crate::gateway::dial::DialOptions;
use crate::gateway::directory::Upstream;
use crate::gateway::exchange;
use crate::gateway::exchange::OpenResponse;
use crate::gateway::exchange::ReadOutcome;
use crate::gateway::exchange::SendError;
use crate::gateway::forward::AttemptHeaders;
use crate::gateway::instance::InstanceId;
use crate::gateway::loads::LoadGuard;
use crate::gateway::placement::Candidate;
use crate::gateway::placement::Need;
use crate::gateway::protocol::GenerationSize;
use crate::gateway::queue;
use crate::gateway::queue::RunningGuard;
use crate::gateway::reachability::Path;
use crate::gateway::rollouts::evidence::Measure;
use crate::gateway::rollouts::evidence::Outcome;
use crate::gateway::serve::Admitted;
use crate::gateway::serve::WorkerState;
use crate::gateway::shared::Shared;
use crate::gateway::stopping::Phase;
use crate::gateway::stopping::acceptance;
use crate::gateway::stream::relay::Relay;
use crate::refusal::Code;
use crate::refusal::Refusal;

mod measuring;
mod moving;
mod ordering;
mod relay;
#[cfg(test)]
mod tests;

/// The lowest priority that upstreams know. Priorities of routes and customers start at 0, the most urgent.
const PRIORITY_MAX: u8 = 9;
/// Factor between the expected and the planned output.
const HINT_MARGIN: f64 = 1.25;
/// Weight of the caller's hint in its geometric mean with the typical output. Hints are right at the median
/// but sometimes far off: short ones tend to be too short and long ones too long.
const HINT_WEIGHT: f64 = 0.6;
/// The typical output as a share of the most that the request may produce.
const TYPICAL_OUTPUT_SHARE: f64 = 0.25;
/// Factor from the tokens that a generation has produced to those expected, once it exceeds its plan. A
/// generation that outlasts its hint usually continues for long.
const OVERRUN_FACTOR: f64 = 1.5;
/// Time per token at an engine under usual load, where tokens take 8 to 11 ms.
const TOKEN_TIME: Duration = Duration::from_millis(11);
/// Factor on the time of a generation that a host that shuts down allows for.
const SLOW_ENGINE_FACTOR: u32 = 2;
/// Time allowed for a generation's prompt, in addition to that of its tokens.
const PROMPT_TIME: Duration = Duration::from_millis(800);

/// A run at an engine whose response has begun.
#[derive(Debug)]
struct ActiveRun {
    upstream: Arc<Upstream>,
    head: Parts,
    body: ResponseBody,
    /// Closes when the run is dropped.
    connection: Connection,
    load_guard: LoadGuard,
    sent_at: Instant,
    /// Prompt tokens that the engine has to read before the run's first event, including the run's own.
    unread_tokens: u32,
}

/// The result of sending a request to an engine.
enum OpenResult {
    /// The engine's response has begun.
    Running(Box<ActiveRun>),
    /// The engine sent a complete response that isn't a stream.
    Answered(WholeAnswer),
    /// The request was not sent, because no connection could be established.
    Unreachable(String),
    /// The request certainly did not run.
    NotRun(String),
    /// The request may have run.
    Unknown(String),
    /// No response began in time.
    TimedOut,
}

impl OpenResult {
    /// Whether a continuation with this result may be a retry for upstreams. A running one isn't: it is the
    /// same run.
    fn may_count_as_retry(&self) -> bool {
        match self {
            OpenResult::Running(_) | OpenResult::Unreachable(_) => false,
            OpenResult::Answered(_)
            | OpenResult::NotRun(_)
            | OpenResult::Unknown(_)
            | OpenResult::TimedOut => true,
        }
    }
}

/// A request that is being sent to an engine.
struct Dispatch<'a> {
    upstream: &'a Arc<Upstream>,
    load_guard: LoadGuard,
    /// Prompt tokens that the engine has to read before the first event, including the request's own.
    unread_tokens: u32,
    continuation: Option<&'a Continuation>,
}

/// The point at which another engine continues a stream.
#[derive(Debug, Clone)]
struct Continuation {
    copy: HeaderValue,
    last_event: u64,
}

/// Handles one request: tries engines until one responds or no attempt is left, then relays its stream.
pub async fn run(worker: &WorkerState, admitted: Rc<Admitted>) -> HttpResponse {
    let shared = &worker.shared;
    let now = shared.now();
    shared.retry_budget(&admitted.service, |budget| budget.record_request(now));
    let run_time = run_time_max(shared, &admitted);
    let mut attempts = Attempts::default();
    loop {
        if let Some(refusal) = acceptance::refuse_uncertain(shared, &admitted, run_time) {
            return admitted.refuse(shared, &refusal);
        }
        let need = need(shared, &admitted);
        let choosing = choose_engine(shared, &admitted, need, attempts.upstreams());
        let chosen = tokio::select! {
            biased;
            refusal = acceptance::wait_until_uncertain(shared, &admitted, run_time) => Err(refusal),
            chosen = choosing => chosen,
        };
        let candidate = match chosen {
            Ok(Some(candidate)) => candidate,
            Ok(None) => {
                return refuse_without_upstream(
                    shared,
                    &admitted,
                    attempts.len(),
                    "no engine is left",
                );
            }
            Err(refusal) => return admitted.refuse(shared, &refusal),
        };
        let running_guard = shared
            .queues()
            .track_running(admitted.customer.as_ref(), need.tokens());
        let upstream = candidate.upstream;
        attempts.add(&upstream.id);
        let _send_guard = shared.begin_send(&upstream.id);
        let slowness = shared.uses_speeds().then_some(candidate.slowness);
        let entry = admitted.log_entry(shared, EventCode::RequestDispatched);
        entry
            .with("upstream", upstream.id.as_str())
            .with("load_requests", candidate.load.requests)
            .with("load_tokens", candidate.load.tokens)
            .with("load_unread", candidate.load.unread_tokens)
            .with("tokens", need.tokens())
            .with_some(
                "prefill_slowness",
                slowness.map(|slowness| slowness.prefill),
            )
            .with_some("decode_slowness", slowness.map(|slowness| slowness.decode))
            .with("hosts", shared.live_hosts())
            .write();
        let (delivery, reason) = match open(shared, &admitted, &upstream, need.tokens(), None).await
        {
            OpenResult::Running(running) => {
                return respond(shared.clone(), admitted, *running, running_guard);
            }
            OpenResult::Answered(answer) => {
                return forward_failure(shared, &admitted, &upstream, answer);
            }
            OpenResult::TimedOut => {
                shared.record_rollout_loss(&admitted, &upstream, Measure::FirstEvent);
                shared.record_failure(&admitted.service, &upstream.id, "no answer in time");
                let refusal =
                    Refusal::unknown(Code::DeadlineExceeded, "no answer before the deadline");
                return admitted.refuse(shared, &refusal);
            }
            OpenResult::Unknown(reason) => {
                shared.record_rollout_loss(&admitted, &upstream, Measure::FirstEvent);
                shared.record_failure(&admitted.service, &upstream.id, &reason);
                let message = format!("{}: {reason}", upstream.id);
                return admitted.refuse(shared, &Refusal::unknown(Code::UpstreamFailed, message));
            }
            OpenResult::Unreachable(reason) => (Delivery::Unreachable, reason),
            OpenResult::NotRun(reason) => {
                shared.record_failure(&admitted.service, &upstream.id, &reason);
                (Delivery::Sent, reason)
            }
        };
        if !attempts.decide_retry(shared, &admitted, delivery, &reason) {
            return refuse_without_upstream(shared, &admitted, attempts.len(), &reason);
        }
    }
}

/// Chooses where a request is sent. One that needs engine memory may wait in the queue.
async fn choose_engine(
    shared: &Shared,
    admitted: &Admitted,
    need: Need,
    avoid: &[InstanceId],
) -> Result<Option<Candidate>, Refusal> {
    match need {
        Need::Memory { .. } => queue::wait_for_room(shared, admitted, need, avoid).await,
        Need::Slot | Need::Copy { .. } => match shared.refuse_suspect(admitted) {
            Some(refusal) => Err(refusal),
            None => Ok(admitted.choose_upstream(shared, need, avoid)),
        },
    }
}

/// The time that a generation is expected to run.
pub(crate) fn expected_duration(shared: &Shared, admitted: &Admitted) -> Duration {
    run_duration(planned_output(admitted.size(shared)))
}

/// The time that a generation takes at most at an engine that is twice as slow as usual.
fn run_time_max(shared: &Shared, admitted: &Admitted) -> Duration {
    run_duration(admitted.size(shared).output_tokens_max) * SLOW_ENGINE_FACTOR
}

fn run_duration(output_tokens: u32) -> Duration {
    PROMPT_TIME + TOKEN_TIME * output_tokens
}

/// Tokens that a generation is planned to produce: its hint weighted with the typical output, plus a margin,
/// or the limit if there is no hint.
fn planned_output(size: GenerationSize) -> u32 {
    let planned = size.output_tokens_hint.map(|hint| {
        let typical = (f64::from(size.output_tokens_max) * TYPICAL_OUTPUT_SHARE).max(1.0);
        let hint = f64::from(hint.max(1));
        let expected = hint.powf(HINT_WEIGHT) * typical.powf(1.0 - HINT_WEIGHT);
        (expected * HINT_MARGIN) as u32
    });
    planned.map_or(size.output_tokens_max, |planned| {
        planned.min(size.output_tokens_max)
    })
}

/// Tokens that a generation is expected to produce in all, given those that it has produced.
fn expected_output(size: GenerationSize, produced: u32) -> u32 {
    let planned = planned_output(size);
    if produced < planned {
        return planned;
    }
    let longer = (f64::from(produced) * OVERRUN_FACTOR) as u32;
    longer.min(size.output_tokens_max).max(produced)
}

fn refuse_without_upstream(
    shared: &Shared,
    admitted: &Admitted,
    attempts: usize,
    reason: &str,
) -> HttpResponse {
    admitted.refuse(shared, &admitted.no_upstream(shared, attempts, reason))
}

/// What the request needs of an upstream: a slot, or the engine memory that it is predicted to fill.
fn need(shared: &Shared, admitted: &Admitted) -> Need {
    let Some(engine) = &admitted.engine else {
        return Need::Slot;
    };
    let size = admitted.size(shared);
    Need::Memory {
        tokens: size.prompt_tokens + planned_output(size),
        prompt_tokens: size.prompt_tokens,
        memory_tokens: engine.memory_tokens,
    }
}

/// Sends the request to an engine and waits until the response begins or the deadline passes.
async fn open(
    shared: &Shared,
    admitted: &Admitted,
    upstream: &Arc<Upstream>,
    tokens: u32,
    continuation: Option<&Continuation>,
) -> OpenResult {
    let unread_tokens = match continuation {
        None if admitted.engine.is_some() => admitted.size(shared).prompt_tokens,
        _ => 0,
    };
    shared.record_send(upstream);
    let load_guard = shared
        .loads()
        .add_request(&upstream.id, tokens, unread_tokens);
    let load = shared.loads().with(|loads| loads.at(&upstream.id));
    shared.announce_now();
    let dispatch = Dispatch {
        upstream,
        load_guard,
        unread_tokens: load.unread_tokens,
        continuation,
    };
    let opening = connect_and_send(shared, admitted, dispatch);
    tokio::select! {
        opened = opening => opened,
        () = tokio::time::sleep_until(admitted.deadline) => OpenResult::TimedOut,
        () = shared.wait_missed_deadline(admitted.deadline_at) => OpenResult::TimedOut,
    }
}

async fn connect_and_send(
    shared: &Shared,
    admitted: &Admitted,
    dispatch: Dispatch<'_>,
) -> OpenResult {
    let Dispatch {
        upstream,
        load_guard,
        unread_tokens,
        continuation,
    } = dispatch;
    let sent_at = Instant::now();
    let options = DialOptions {
        is_new_work: continuation.is_none(),
        ..admitted.dial_options(ConnectionProfile::Stream)
    };
    let connection = match dial::open(shared, upstream, &options).await {
        Ok(connection) => connection,
        Err(failure) => return OpenResult::Unreachable(failure.reason().to_owned()),
    };
    let headers = AttemptHeaders {
        upstream,
        time_left: admitted.time_left(),
        customer: admitted.customer.as_ref(),
        priority: Some(admitted.priority.min(PRIORITY_MAX)),
        continue_from: continuation.map(|to| (to.copy.clone(), to.last_event)),
    };
    let begun = match exchange::send(shared, admitted, connection, &headers).await {
        Ok(begun) => begun,
        Err(SendError::NotRun(reason)) => return OpenResult::NotRun(reason),
        Err(SendError::Unknown(reason)) => {
            // A crashing engine accepts connections for a while and looks empty, so each host that hasn't
            // noticed the crash would choose it again and again.
            shared.record_unreachable(&upstream.id, &reason, Path::Carried);
            return OpenResult::Unknown(reason);
        }
    };
    if begun.head.status.is_success() {
        let OpenResponse {
            connection,
            head,
            body,
            phase_before: _,
        } = begun;
        return OpenResult::Running(Box::new(ActiveRun {
            upstream: upstream.clone(),
            head,
            body,
            connection,
            load_guard,
            sent_at,
            unread_tokens,
        }));
    }
    let (outcome, _) = exchange::read_response(shared, admitted, upstream, begun).await;
    match outcome {
        ReadOutcome::Answered(answer) => OpenResult::Answered(answer),
        ReadOutcome::NotRun(reason) => OpenResult::NotRun(reason),
        ReadOutcome::Truncated(reason) => OpenResult::Unknown(reason),
    }
}

/// Forwards the upstream's failure response to the caller and records the failure.
fn forward_failure(
    shared: &Shared,
    admitted: &Admitted,
    upstream: &Upstream,
    answer: WholeAnswer,
) -> HttpResponse {
    let status = answer.head.status.as_u16();
    shared.record_rollout_outcome(admitted, upstream, Measure::FirstEvent, Outcome::Failed);
    shared.record_failure(&admitted.service, &upstream.id, &format!("status {status}"));
    call::pass_on(shared, admitted, upstream, answer, 1)
}

/// Responds with the head of the engine's response and its events as they arrive.
fn respond(
    shared: Shared,
    admitted: Rc<Admitted>,
    running: ActiveRun,
    running_guard: RunningGuard,
) -> HttpResponse {
    shared.ejector(|ejector| ejector.succeeded(&running.upstream.id));
    let mut response = call::respond(&running.head);
    if shared.closes_connections() {
        response.force_close();
    }
    admitted.phase.set(Phase::Streaming);
    let relay = Relay::new(shared, admitted, running, running_guard);
    response.streaming(stream::unfold(Some(relay), next_chunk))
}

async fn next_chunk(relay: Option<Relay>) -> Option<(Result<Bytes, StreamAborted>, Option<Relay>)> {
    let mut relay = relay?;
    match relay.next().await {
        Some(Ok(events)) => Some((Ok(events), Some(relay))),
        Some(Err(broken)) => Some((Err(broken), None)),
        None => None,
    }
}

/// A stream that ended before its last event. The caller's connection is closed abruptly, so that the response
/// can't be mistaken for a complete one.
#[derive(Debug, thiserror::Error)]
#[error("stream aborted before its last event: {0}")]
pub struct StreamAborted(String);
