//! Calls of plain services. The whole answer is read before any of it is passed on, so that a broken answer can
//! be replaced by that of another attempt or by an error.

use std::sync::Arc;
use std::time::Duration;

use actix_web::HttpResponse;
use actix_web::http::StatusCode;
use bytes::Bytes;
use http::HeaderMap;
use http::response::Parts;
use tokio::time::Instant;

use crate::event::EventCode;
use crate::gateway::answerguard::AnswerHold;
use crate::gateway::attempts::Attempts;
use crate::gateway::attempts::Delivery;
use crate::gateway::connection::ConnectionProfile;
use crate::gateway::countedbody::WholeBody;
use crate::gateway::dial;
use crate::gateway::directory::Upstream;
use crate::gateway::exchange;
use crate::gateway::exchange::ReadOutcome;
use crate::gateway::exchange::SendError;
use crate::gateway::forward;
use crate::gateway::forward::AttemptHeaders;
use crate::gateway::placement::Candidate;
use crate::gateway::placement::Need;
use crate::gateway::rollouts::evidence::Measure;
use crate::gateway::rollouts::evidence::Outcome;
use crate::gateway::route::RouteKind;
use crate::gateway::serve::Admitted;
use crate::gateway::serve::WorkerState;
use crate::gateway::shared::Hold;
use crate::gateway::shared::Shared;
use crate::gateway::speeds::Work;
use crate::gateway::stopping::acceptance;
use crate::gateway::unconfirmed::Evidence;
use crate::refusal::Code;
use crate::refusal::Refusal;
use crate::telemetry;

/// Timeout of an attempt that may be repeated elsewhere, as a multiple of the objective.
const ATTEMPT_OBJECTIVES: u32 = 2;
/// Time that a call is expected to take at most: the longest take half a second, and twice as long with a second attempt.
const RUN_TIME_MAX: Duration = Duration::from_millis(1_500);
/// Shorter calls count as this long for the speed of an upstream: their times differ by network and scheduler.
const CALL_TIME_MIN: Duration = Duration::from_millis(10);
/// Share of its objective for which a call waits until upstreams have answered others.
const ANSWER_WAIT_SHARE: f64 = 0.25;
/// How often a call that waits looks for an upstream.
const ANSWER_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Time before the deadline at which the gateway answers by itself.
const DEADLINE_MARGIN: Duration = Duration::from_millis(5);

/// An upstream's whole answer.
#[derive(Debug)]
pub struct WholeAnswer {
    /// Status and headers.
    pub head: Parts,
    /// The body.
    pub body: Bytes,
    /// The memory that it takes.
    pub memory: AnswerHold,
}

/// What became of one attempt.
#[derive(Debug)]
pub enum Attempted {
    /// The upstream answered in whole.
    Answered(WholeAnswer),
    /// It was not sent, because no connection could be established.
    Unreachable(String),
    /// It certainly did not run.
    NotRun(String),
    /// It may have run.
    Unknown(String),
    /// No answer came in time; it may have run.
    TimedOut,
}

impl Attempted {
    /// Records the evidence that it gives on the upstream's version, after `time`.
    fn record_rollout(
        &self,
        shared: &Shared,
        admitted: &Admitted,
        upstream: &Upstream,
        time: Duration,
    ) {
        let measure = Measure::Whole;
        let record = |outcome| shared.record_rollout_outcome(admitted, upstream, measure, outcome);
        match self {
            Attempted::Answered(answer) if answer.head.status.is_server_error() => {
                record(Outcome::Failed);
            }
            Attempted::Answered(_) => record(Outcome::Took(time)),
            Attempted::Unknown(_) | Attempted::TimedOut => {
                shared.record_rollout_loss(admitted, upstream, measure);
            }
            Attempted::Unreachable(_) | Attempted::NotRun(_) => {}
        }
    }
}

/// Calls upstreams until one answers.
pub async fn run(front: &WorkerState, admitted: &Admitted) -> HttpResponse {
    let shared = &front.shared;
    let now = shared.now();
    shared.retry_budget(&admitted.service, |budget| budget.record_request(now));
    let mut tries = Attempts::default();
    let mut may_have_run = 0;
    let mut failure: Option<FailedAnswer> = None;
    loop {
        if admitted.time_left() <= DEADLINE_MARGIN {
            return timed_out(shared, admitted, may_have_run);
        }
        if may_have_run == 0
            && let Some(refusal) = acceptance::refuse_uncertain(shared, admitted, RUN_TIME_MAX)
        {
            return admitted.refuse(shared, &refusal);
        }
        if let Some(refusal) = shared.refuse_suspect(admitted) {
            return held_back(shared, admitted, may_have_run, refusal);
        }
        let Some(candidate) = choose_upstream(shared, admitted, &tries).await else {
            return exhausted(shared, admitted, may_have_run, tries.len(), failure);
        };
        let upstream = candidate.upstream;
        tries.add(&upstream.id);
        let _trial = shared.begin_send(&upstream.id);
        let last = is_last(admitted, may_have_run);
        let sent_at = Instant::now();
        let outcome = attempt(front, admitted, &upstream, last).await;
        if is_served(&outcome) {
            shared.record_speed(
                &upstream,
                Work::Call,
                1,
                sent_at.elapsed().max(CALL_TIME_MIN),
            );
        }
        note_health(shared, admitted, &upstream, &outcome);
        outcome.record_rollout(shared, admitted, &upstream, sent_at.elapsed());
        let reached = match outcome {
            Attempted::Unreachable(_) => Delivery::Unreachable,
            _ => Delivery::Sent,
        };
        let reason = match outcome {
            Attempted::Answered(answer) if may_repeat_answer(admitted, &answer, last) => {
                may_have_run += 1;
                let reason = format!("status {}", answer.head.status.as_u16());
                failure = Some((upstream.clone(), answer));
                reason
            }
            Attempted::Answered(answer) => {
                return pass_on(shared, admitted, &upstream, answer, tries.len());
            }
            Attempted::Unreachable(reason) | Attempted::NotRun(reason) => reason,
            Attempted::Unknown(reason) => {
                may_have_run += 1;
                if last {
                    return failed(shared, admitted, &upstream, &reason);
                }
                reason
            }
            Attempted::TimedOut if last => return timed_out(shared, admitted, 1),
            Attempted::TimedOut => {
                may_have_run += 1;
                "no answer in time".to_owned()
            }
        };
        if !tries.decide_retry(shared, admitted, reached, &reason) {
            return exhausted(shared, admitted, may_have_run, tries.len(), failure);
        }
    }
}

/// Chooses an upstream. While all that are left first have to answer other requests of this host, waits for that.
async fn choose_upstream(
    shared: &Shared,
    admitted: &Admitted,
    tries: &Attempts,
) -> Option<Candidate> {
    let wait_max = admitted.route.objective.mul_f64(ANSWER_WAIT_SHARE);
    loop {
        let chosen = admitted.choose_upstream(shared, Need::Slot, tries.upstreams());
        let may_wait = admitted.arrived.elapsed() < wait_max
            && shared.service_hold(&admitted.service) == Some(Hold::UntilAnswer);
        if chosen.is_some() || !may_wait {
            return chosen;
        }
        tokio::time::sleep(ANSWER_POLL_INTERVAL).await;
    }
}

/// An upstream's own failure, kept for the case that no other attempt does better.
type FailedAnswer = (Arc<Upstream>, WholeAnswer);

/// Whether no further attempt may follow one that may have run.
fn is_last(admitted: &Admitted, may_have_run: u32) -> bool {
    admitted.route.kind != RouteKind::Idempotent || may_have_run + 1 >= admitted.route.attempts
}

/// An upstream's own failure is repeated elsewhere if the request may be.
fn may_repeat_answer(admitted: &Admitted, answer: &WholeAnswer, last: bool) -> bool {
    let idempotent = admitted.route.kind == RouteKind::Idempotent;
    idempotent && !last && answer.head.status.is_server_error()
}

/// Sends the request to one upstream.
async fn attempt(
    front: &WorkerState,
    admitted: &Admitted,
    upstream: &Upstream,
    last: bool,
) -> Attempted {
    let shared = &front.shared;
    shared.record_send(upstream);
    let _occupied = shared.loads().add_request(&upstream.id, 0, 0);
    let mut limit = admitted.time_left().saturating_sub(DEADLINE_MARGIN);
    if !last {
        limit = limit.min(admitted.route.objective * ATTEMPT_OBJECTIVES);
    }
    let until = Instant::now() + limit;
    let exchange = call_upstream(front, admitted, upstream);
    tokio::select! {
        outcome = exchange => outcome,
        () = tokio::time::sleep_until(until) => Attempted::TimedOut,
        () = shared.wait_missed_deadline(admitted.deadline_at) => Attempted::TimedOut,
    }
}

async fn call_upstream(front: &WorkerState, admitted: &Admitted, upstream: &Upstream) -> Attempted {
    let shared = &front.shared;
    let pooled = match admitted.route.kind {
        RouteKind::Idempotent => front.pool.borrow_mut().take(&upstream.id),
        RouteKind::Once | RouteKind::Stream => None,
    };
    // A cut may have left an open connection silent, and a carrier that stops may end before the answer.
    let regions = admitted.regions.as_ref();
    let pooled = pooled.filter(|pooled| pooled.is_within(regions));
    let pooled = pooled.filter(|pooled| match pooled.carrier() {
        Some(carrier) => !shared.peers(|peers| peers.is_stopping(carrier)),
        None => !shared.is_cut_off(),
    });
    let connection = match pooled {
        Some(connection) => connection,
        None => match dial::open(
            shared,
            upstream,
            &admitted.dial_options(ConnectionProfile::Call),
        )
        .await
        {
            Ok(connection) => connection,
            Err(failure) => return Attempted::Unreachable(failure.reason().to_owned()),
        },
    };
    let headers = AttemptHeaders {
        upstream,
        time_left: admitted.time_left(),
        customer: admitted.customer.as_ref(),
        priority: None,
        continue_from: None,
    };
    let begun = match exchange::send(shared, admitted, connection, &headers).await {
        Ok(begun) => begun,
        Err(SendError::NotRun(reason)) => return Attempted::NotRun(reason),
        Err(SendError::Unknown(reason)) => return Attempted::Unknown(reason),
    };
    let (outcome, connection) = exchange::read_response(shared, admitted, upstream, begun).await;
    match outcome {
        ReadOutcome::Answered(answer) => {
            front.pool.borrow_mut().put(&upstream.id, connection);
            Attempted::Answered(answer)
        }
        ReadOutcome::NotRun(reason) => Attempted::NotRun(reason),
        ReadOutcome::Truncated(reason) => Attempted::Unknown(reason),
    }
}

/// Whether the upstream did the whole work of a call, so that its time tells of its speed.
fn is_served(outcome: &Attempted) -> bool {
    matches!(outcome, Attempted::Answered(answer) if answer.head.status.is_success())
}

fn note_health(shared: &Shared, admitted: &Admitted, upstream: &Upstream, outcome: &Attempted) {
    match outcome {
        Attempted::Answered(answer) => {
            let is_failed = answer.head.status.is_server_error();
            shared.record_call_outcome(&admitted.service, &upstream.id, is_failed);
        }
        Attempted::Unknown(_) | Attempted::TimedOut => {
            let service = admitted.service.clone();
            shared.hold_back(Evidence::FailedCall(service, upstream.id.clone()));
        }
        Attempted::Unreachable(_) | Attempted::NotRun(_) => {}
    }
    match outcome {
        Attempted::Answered(answer) if !answer.head.status.is_server_error() => {
            shared.ejector(|ejector| ejector.succeeded(&upstream.id));
        }
        Attempted::Answered(answer) => {
            let reason = format!("status {}", answer.head.status.as_u16());
            shared.record_failure(&admitted.service, &upstream.id, &reason);
        }
        Attempted::Unreachable(_) => {}
        Attempted::NotRun(reason) | Attempted::Unknown(reason) => {
            shared.record_failure(&admitted.service, &upstream.id, reason);
        }
        Attempted::TimedOut => {
            shared.record_failure(&admitted.service, &upstream.id, "no answer in time");
        }
    }
}

/// Statuses that promise that a request did not run. An upstream that gives one without saying so
/// promises nothing, and its answer must not be passed on as a promise.
fn promises_not_run(status: u16) -> bool {
    matches!(status, 408 | 421 | 429 | 503)
}

/// Passes an upstream's answer on unchanged.
pub fn pass_on(
    shared: &Shared,
    admitted: &Admitted,
    upstream: &Upstream,
    answer: WholeAnswer,
    sends: usize,
) -> HttpResponse {
    let status = answer.head.status.as_u16();
    if promises_not_run(status) {
        let reason = format!("the upstream answered {status} without saying that it did not run");
        return failed(shared, admitted, upstream, &reason);
    }
    telemetry::record_call(&admitted.service, status, admitted.arrived.elapsed());
    let line = admitted.log_entry(shared, EventCode::RequestComplete);
    line.with("upstream", upstream.id.as_str())
        .with("status", status)
        .with("sends", sends)
        .with("bytes", answer.body.len())
        .write();
    let mut response = respond(&answer.head);
    if shared.closes_connections() {
        response.force_close();
    }
    response.body(WholeBody::new(answer.body, answer.memory))
}

/// The head of the upstream's answer for the caller.
pub fn respond(head: &Parts) -> actix_web::HttpResponseBuilder {
    let status = StatusCode::from_u16(head.status.as_u16()).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = HttpResponse::build(status);
    let mut headers = HeaderMap::new();
    forward::copy_end_to_end_headers(&head.headers, &mut headers, |_| false);
    for (name, value) in &headers {
        response.append_header((name.as_str(), value.as_bytes()));
    }
    response
}

/// A failure of a request that may have run.
fn failed(shared: &Shared, admitted: &Admitted, upstream: &Upstream, reason: &str) -> HttpResponse {
    let message = format!("{}: {reason}", upstream.id);
    admitted.refuse(shared, &Refusal::unknown(Code::UpstreamFailed, message))
}

/// A request that is held back; an earlier try of it may have run.
fn held_back(
    shared: &Shared,
    admitted: &Admitted,
    may_have_run: u32,
    refusal: Refusal,
) -> HttpResponse {
    match may_have_run {
        0 => admitted.refuse(shared, &refusal),
        _ => {
            let message = "upstreams crash while they run it";
            admitted.refuse(shared, &Refusal::unknown(Code::UpstreamFailed, message))
        }
    }
}

fn timed_out(shared: &Shared, admitted: &Admitted, may_have_run: u32) -> HttpResponse {
    let refusal = match may_have_run {
        0 => Refusal::not_run(Code::Overloaded, "the deadline passed before it was sent"),
        _ => Refusal::unknown(Code::DeadlineExceeded, "no answer before the deadline"),
    };
    admitted.refuse(shared, &refusal)
}

fn exhausted(
    shared: &Shared,
    admitted: &Admitted,
    may_have_run: u32,
    tries: usize,
    failure: Option<FailedAnswer>,
) -> HttpResponse {
    if let Some((upstream, answer)) = failure {
        return pass_on(shared, admitted, &upstream, answer, tries);
    }
    let reason = "no upstream is left";
    let refusal = match may_have_run {
        0 => admitted.no_upstream(shared, tries, reason),
        _ => Refusal::unknown(
            Code::UpstreamFailed,
            format!("{reason} after {tries} tries"),
        ),
    };
    admitted.refuse(shared, &refusal)
}
