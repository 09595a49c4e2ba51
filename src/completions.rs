//! `POST /v1/completions`: the filters from a caller's request to its session.

use std::rc::Rc;

use actix_web::HttpRequest;
use actix_web::HttpResponse;
use actix_web::web;

use crate::account::Account;
use crate::answer::Answer;
use crate::claims::HeldClaim;
use crate::clock;
use crate::completion::CompletionWriter;
use crate::event::EventCode;
use crate::gate::Pass;
use crate::id::RequestId;
use crate::identify;
use crate::identify::Identified;
use crate::intake;
use crate::journal::Subject;
use crate::refusal::Refusal;
use crate::relay::RelayTerms;
use crate::request::CompletionRequest;
use crate::schedule::Ticket;
use crate::server::ServerState;
use crate::session::Session;
use crate::session::SessionRequest;

/// Answers one request.
pub(crate) async fn serve(
    state: web::Data<Rc<ServerState>>,
    http: HttpRequest,
    payload: web::Payload,
) -> HttpResponse {
    let request_id = RequestId::generate();
    let pass = state.gate.enter(request_id);
    match prepare(&state, &http, payload, request_id).await {
        Ok(prepared) => prepared.answer(&state, pass).await,
        Err(refusal) => state.refuse(request_id, refusal),
    }
}

/// A completion that passed the filters before the queue.
struct Prepared {
    request: CompletionRequest,
    session: SessionRequest,
    account: Account,
    claim: Option<HeldClaim>,
}

async fn prepare(
    state: &ServerState,
    http: &HttpRequest,
    payload: web::Payload,
    request_id: RequestId,
) -> Result<Prepared, Refusal> {
    intake::check_headers(&state.options, http)?;
    let body = intake::read_body(&state.options, payload).await?;
    let request = CompletionRequest::parse(&body)?;
    state.check_ready()?;
    let identified = identify::identify(
        &state.config.table(),
        intake::bearer_key(http),
        &request.service,
        request.priority_class.as_ref(),
    )?;
    let session = session_request(state, &request, &identified, request_id)?;
    let key = intake::idempotency_key(http, session.ticket.repeatable)?;
    let admission = state.limits.admit(&identified.customer)?;
    let account = Account::open(state.context.clock.now(), admission, &session.ticket);
    let detail = format!(
        "{} prompt_tokens={} max_output_tokens={} repeatable={}",
        identified.describe(),
        session.ticket.prompt_tokens,
        session.ticket.max_output_tokens,
        session.ticket.repeatable
    );
    let subject = Subject::request(request_id).detail(detail);
    state
        .context
        .journal
        .record(EventCode::RequestReceived, subject);
    let claiming = state
        .claims
        .claim_for(&session.ticket, key, session.deadline_ms);
    let claim = claiming.await?;
    Ok(Prepared {
        request,
        session,
        account,
        claim,
    })
}

fn session_request(
    state: &ServerState,
    request: &CompletionRequest,
    identified: &Identified,
    request_id: RequestId,
) -> Result<SessionRequest, Refusal> {
    let (model, max_output_tokens) = identified.generation()?;
    let service = &identified.service;
    let repeatable = request.repeatable.unwrap_or(service.repeatable);
    let deadline_ms = state.deadline_ms(request.deadline_ms, service.deadline_ms);
    let ticket = Ticket {
        request: request_id,
        host: state.host.clone(),
        service: service.service.clone(),
        customer: identified.customer.customer.clone(),
        class: identified.class.class.clone(),
        prompt_tokens: request.prompt_tokens(),
        max_output_tokens: request.max_tokens.min(max_output_tokens),
        repeatable,
        prefix_hashes: request.prefix_hashes(),
        wait_limit_ms: identified.class.max_wait_ms.min(deadline_ms),
        avoid: Vec::new(),
    };
    Ok(SessionRequest {
        ticket,
        model: model.to_owned(),
        prompt: request.prompt.clone(),
        terms: RelayTerms {
            repeatable,
            streaming: request.stream,
        },
        deadline_ms,
        retry_budget_percent: service.retry_budget_percent,
    })
}

impl Prepared {
    async fn answer(self, state: &ServerState, pass: Pass) -> HttpResponse {
        let ticket = &self.session.ticket;
        let created = clock::wall_ms() / 1_000;
        let answer = Answer {
            writer: CompletionWriter::new(ticket.request, &ticket.service, created),
            prompt_tokens: ticket.prompt_tokens,
            max_output_tokens: ticket.max_output_tokens,
            include_usage: self.request.include_usage,
            delivered: 0,
        };
        let session = Session::new(state.context.clone(), self.session, self.account);
        let session = session.with_claim(self.claim);
        if self.request.stream {
            answer.stream(session, pass, &state.slow_callers).await
        } else {
            answer.whole(session).await
        }
    }
}
