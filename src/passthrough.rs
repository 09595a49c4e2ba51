//! `POST /v1/services/{service}/{path}`: calls of plain services, passed through whole.
//!
//! A call that is not repeatable is written at most once.

use std::rc::Rc;
use std::time::Duration;

use actix_web::HttpRequest;
use actix_web::HttpResponse;
use actix_web::http::StatusCode;
use actix_web::web;
use serde::Deserialize;
use tokio::time::Instant;

use self::progress::Failure;
use self::progress::FailureKind;
use self::progress::Progress;
use crate::claim::Summary;
use crate::claims::HeldClaim;
use crate::dispatch::Grant;
use crate::event::EventCode;
use crate::headers;
use crate::id::ClassId;
use crate::id::RequestId;
use crate::id::ServiceId;
use crate::identify;
use crate::identify::Identified;
use crate::intake;
use crate::journal::Subject;
use crate::limits::Admission;
use crate::plain::PlainAnswer;
use crate::plain::PlainCall;
use crate::plain::PlainOutcome;
use crate::refusal::Code;
use crate::refusal::Refusal;
use crate::retries;
use crate::row::Backing;
use crate::schedule::Ending;
use crate::schedule::Ticket;
use crate::server::ServerState;

mod progress;

/// The header that says whether a call may run more than once.
const REPEATABLE_HEADER: &str = "repeatable";

/// The header with the caller's deadline in milliseconds.
const DEADLINE_HEADER: &str = "deadline-ms";

/// The header with the priority class.
const CLASS_HEADER: &str = "priority-class";

/// What the path names.
#[derive(Debug, Deserialize)]
pub(crate) struct PathNames {
    service: ServiceId,
    path: String,
}

/// Answers one call.
pub(crate) async fn serve(
    state: web::Data<Rc<ServerState>>,
    names: web::Path<PathNames>,
    http: HttpRequest,
    payload: web::Payload,
) -> HttpResponse {
    let request_id = RequestId::generate();
    let _pass = state.gate.enter(request_id);
    let outcome = match prepare(&state, &names, &http, payload, request_id).await {
        Ok(call) => call.run(&state).await,
        Err(refusal) => Err(refusal),
    };
    match outcome {
        Ok(answer) => pass_on(answer, request_id),
        Err(refusal) => state.refuse(request_id, refusal),
    }
}

/// A call that passed the filters before the queue.
struct Call {
    plain: PlainCall,
    ticket: Ticket,
    admission: Admission,
    claim: Option<HeldClaim>,
    retry_budget_percent: u32,
    deadline: Instant,
}

async fn prepare(
    state: &ServerState,
    names: &PathNames,
    http: &HttpRequest,
    payload: web::Payload,
    request_id: RequestId,
) -> Result<Call, Refusal> {
    intake::check_headers(&state.options, http)?;
    let body = intake::read_body(&state.options, payload).await?;
    state.check_ready()?;
    let class = intake::parsed_header::<String>(http, CLASS_HEADER, "a priority class")?;
    let identified = identify::identify(
        &state.config.table(),
        intake::bearer_key(http),
        &names.service,
        class.map(ClassId::new).as_ref(),
    )?;
    check_plain(&identified)?;
    let service = &identified.service;
    let asked = intake::parsed_header(http, DEADLINE_HEADER, "a number of milliseconds")?;
    let deadline_ms = state.deadline_ms(asked, service.deadline_ms);
    let repeatable = intake::parsed_header(http, REPEATABLE_HEADER, "true or false")?
        .unwrap_or(service.repeatable);
    let key = intake::idempotency_key(http, repeatable)?;
    let admission = state.limits.admit(&identified.customer)?;
    let subject = Subject::request(request_id).detail(identified.describe());
    state
        .context
        .journal
        .record(EventCode::RequestReceived, subject);
    let deadline = Instant::now() + Duration::from_millis(deadline_ms);
    let ticket = ticket(state, &identified, request_id, repeatable, deadline_ms);
    let claim = state.claims.claim_for(&ticket, key, deadline_ms).await?;
    Ok(Call {
        plain: PlainCall {
            path: path_and_query(&names.path, http),
            headers: headers::towards_upstream(http, request_id),
            body,
            repeatable,
        },
        ticket,
        admission,
        claim,
        retry_budget_percent: service.retry_budget_percent,
        deadline,
    })
}

fn check_plain(identified: &Identified) -> Result<(), Refusal> {
    match &identified.service.backing {
        Backing::Plain => Ok(()),
        Backing::Generation { .. } => Err(Refusal::not_run(
            Code::InvalidRequest,
            format!(
                "service: {} runs generations; call /v1/completions",
                identified.service.service
            ),
        )),
    }
}

fn path_and_query(path: &str, http: &HttpRequest) -> String {
    match http.query_string() {
        "" => path.to_owned(),
        query => format!("{path}?{query}"),
    }
}

fn ticket(
    state: &ServerState,
    identified: &Identified,
    request: RequestId,
    repeatable: bool,
    deadline_ms: u64,
) -> Ticket {
    Ticket {
        request,
        host: state.host.clone(),
        service: identified.service.service.clone(),
        customer: identified.customer.customer.clone(),
        class: identified.class.class.clone(),
        prompt_tokens: 0,
        max_output_tokens: 0,
        repeatable,
        prefix_hashes: Vec::new(),
        wait_limit_ms: identified.class.max_wait_ms.min(deadline_ms),
        avoid: Vec::new(),
    }
}

impl Call {
    /// Runs the call under its deadline.
    async fn run(mut self, state: &ServerState) -> Result<PlainAnswer, Refusal> {
        let mut progress = Progress::NotWritten;
        let deadline = self.deadline;
        let running = self.attempt_until_answered(state, &mut progress);
        let outcome = match tokio::time::timeout_at(deadline, running).await {
            Ok(outcome) => outcome.map_err(|refusal| progress.qualify(refusal)),
            Err(_) => {
                let refusal = Refusal::not_run(Code::DeadlineExceeded, "the deadline passed");
                Err(progress.qualify(refusal))
            }
        };
        if let Some(claim) = self.claim {
            conclude(claim, &outcome);
        }
        outcome
    }

    async fn attempt_until_answered(
        &mut self,
        state: &ServerState,
        progress: &mut Progress,
    ) -> Result<PlainAnswer, Refusal> {
        self.admission.started().await;
        let mut delays = retries::delays();
        loop {
            let grant = state
                .context
                .dispatcher
                .acquire(self.ticket.clone())
                .await?;
            let upstream = grant.upstream.clone();
            if let Some(claim) = &mut self.claim {
                claim.sending();
            }
            let failure = match self.attempt(state, grant, progress).await {
                Ok(answer) => return Ok(answer),
                Err(failure) => failure,
            };
            if !self.may_repeat(state, &failure) {
                return Err(failure.refusal(state.context.relay.retry_after_ms));
            }
            let subject = Subject::request(self.ticket.request).upstream(&upstream);
            let subject = subject.detail(failure.message.as_str());
            state
                .context
                .journal
                .record(EventCode::RequestRestarted, subject);
            self.ticket.avoid.push(upstream);
            tokio::time::sleep(delays.next().unwrap_or(retries::DELAY_MAX)).await;
        }
    }

    /// Writes the call once and reads its whole answer.
    async fn attempt(
        &self,
        state: &ServerState,
        grant: Grant,
        progress: &mut Progress,
    ) -> Result<PlainAnswer, Failure> {
        let request = self.ticket.request;
        let subject = Subject::request(request).upstream(&grant.upstream);
        state
            .context
            .journal
            .record(EventCode::RequestDispatched, subject);
        let before = *progress;
        *progress = Progress::MayHaveRun;
        let open = OpenGrant {
            state,
            request,
            ending: Ending::Cancelled,
        };
        let outcome = state.plain.call(&grant.upstream, &self.plain).await;
        if matches!(outcome, PlainOutcome::NotWritten(_)) {
            *progress = before;
        }
        open.close(&outcome);
        let may_repeat = self.plain.repeatable;
        match outcome {
            PlainOutcome::Answered(answer) if may_repeat && asks_for_another(&answer) => {
                let message = format!("the service answered {}", answer.status);
                Err(Failure::new(message, FailureKind::Repeatable))
            }
            PlainOutcome::Answered(answer) => {
                self.succeeded(state);
                Ok(answer)
            }
            PlainOutcome::NotWritten(message) => {
                Err(Failure::new(message, FailureKind::NotWritten))
            }
            PlainOutcome::Lost(message) if may_repeat => {
                Err(Failure::new(message, FailureKind::Repeatable))
            }
            PlainOutcome::Lost(message) => Err(Failure::new(message, FailureKind::Final)),
            PlainOutcome::TooLong => {
                *progress = Progress::HasRun;
                let message = "the service's answer is longer than the settings allow";
                Err(Failure::new(message.to_owned(), FailureKind::Final))
            }
        }
    }

    fn succeeded(&self, state: &ServerState) {
        let subject = Subject::request(self.ticket.request);
        state
            .context
            .journal
            .record(EventCode::RequestComplete, subject);
        let percent = self.retry_budget_percent;
        state
            .context
            .retries
            .succeeded(&self.ticket.service, percent);
    }

    /// What was never written costs no upstream anything and needs no budget.
    fn may_repeat(&self, state: &ServerState, failure: &Failure) -> bool {
        let service = &self.ticket.service;
        let attempts_max = state.context.relay.attempts_max as usize;
        let attempts_left = self.ticket.avoid.len() + 1 < attempts_max;
        attempts_left
            && match failure.kind {
                FailureKind::NotWritten => true,
                FailureKind::Final => false,
                FailureKind::Repeatable => state
                    .context
                    .retries
                    .try_retry(service, self.retry_budget_percent),
            }
    }
}

fn conclude(claim: HeldClaim, outcome: &Result<PlainAnswer, Refusal>) {
    match outcome {
        Ok(answer) => claim.done(Summary {
            status: answer.status.as_u16(),
            output_tokens: 0,
            body_bytes: answer.body.len() as u64,
        }),
        Err(refusal) => claim.failed(refusal),
    }
}

/// A grant that is given back when dropped, also if the caller leaves.
struct OpenGrant<'s> {
    state: &'s ServerState,
    request: RequestId,
    ending: Ending,
}

impl OpenGrant<'_> {
    fn close(mut self, outcome: &PlainOutcome) {
        self.ending = match outcome {
            PlainOutcome::Answered(_) | PlainOutcome::TooLong => Ending::Complete,
            PlainOutcome::NotWritten(_) | PlainOutcome::Lost(_) => Ending::UpstreamFailed,
        };
    }
}

impl Drop for OpenGrant<'_> {
    fn drop(&mut self) {
        let dispatcher = &self.state.context.dispatcher;
        dispatcher.finished(self.request, 0, self.ending, 0);
    }
}

/// Statuses by which a service says that another upstream may do better.
fn asks_for_another(answer: &PlainAnswer) -> bool {
    matches!(answer.status.as_u16(), 502..=504)
}

fn pass_on(answer: PlainAnswer, request_id: RequestId) -> HttpResponse {
    let status = StatusCode::from_u16(answer.status.as_u16()).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = HttpResponse::build(status);
    headers::towards_caller(&answer.headers, &mut response);
    response.insert_header(("x-request-id", request_id.to_string()));
    response.body(answer.body)
}
