//! The callers' HTTP API: parsing, answers, headers and limits of size.

use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use actix_web::HttpRequest;
use actix_web::HttpResponse;
use actix_web::http::StatusCode;
use actix_web::http::header;
use actix_web::web;
use bytes::Bytes;
use bytes::BytesMut;
use derive_builder::Builder;
use futures_util::Stream;
use futures_util::stream;
use serde::Deserialize;
use serde::Serialize;

use crate::clock;
use crate::completion::CompletionWriter;
use crate::completion::FinishReason;
use crate::completion::Usage;
use crate::config::ConfigHandle;
use crate::event::EventCode;
use crate::id::HostId;
use crate::id::RequestId;
use crate::identify;
use crate::identify::Identified;
use crate::journal::Subject;
use crate::refusal::Code;
use crate::refusal::ErrorBody;
use crate::refusal::Refusal;
use crate::relay::Completion;
use crate::relay::RelayTerms;
use crate::request::CompletionRequest;
use crate::schedule::Ticket;
use crate::session::Output;
use crate::session::Session;
use crate::session::SessionContext;
use crate::session::SessionRequest;

/// When to ask again after a refusal that doesn't say so itself, in milliseconds.
const DEFAULT_RETRY_AFTER_MS: u64 = 1_000;

/// Bounds of what callers may send.
#[derive(Debug, Clone, PartialEq, Eq, Builder, Serialize, Deserialize)]
#[builder(default)]
#[serde(default, deny_unknown_fields)]
pub struct ServerOptions {
    /// Longest body, in bytes. Default 1 MiB.
    pub body_bytes_max: usize,
    /// All headers of a request together, in bytes. Default 16 KiB.
    pub header_bytes_max: usize,
    /// Timeout of a request's body, in milliseconds. Default 10,000.
    pub body_timeout_ms: u64,
    /// Longest deadline that a caller may ask for, in milliseconds. Default one hour.
    pub deadline_ms_max: u64,
    /// Worker threads; 0 takes one for each processor. Default 0.
    pub workers: usize,
}

impl Default for ServerOptions {
    fn default() -> Self {
        ServerOptions {
            body_bytes_max: 1 << 20,
            header_bytes_max: 16 << 10,
            body_timeout_ms: 10_000,
            deadline_ms_max: 3_600_000,
            workers: 0,
        }
    }
}

/// What all workers share.
#[derive(Debug)]
pub struct Gate {
    shutting_down: AtomicBool,
    in_flight: AtomicUsize,
}

impl Gate {
    /// A gate of a host that takes requests.
    pub fn new() -> Arc<Self> {
        Arc::new(Gate {
            shutting_down: AtomicBool::new(false),
            in_flight: AtomicUsize::new(0),
        })
    }

    /// Requests that have not ended.
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::SeqCst)
    }

    /// From now on the host is not ready.
    pub fn shut(&self) {
        self.shutting_down.store(true, Ordering::SeqCst);
    }

    /// Whether the host is shutting down.
    pub fn is_shutting_down(&self) -> bool {
        self.shutting_down.load(Ordering::SeqCst)
    }

    /// Counts a request until the pass is dropped.
    pub fn enter(self: &Arc<Self>) -> Pass {
        self.in_flight.fetch_add(1, Ordering::SeqCst);
        Pass(self.clone())
    }
}

/// A request in flight.
#[derive(Debug)]
pub struct Pass(Arc<Gate>);

impl Drop for Pass {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::SeqCst);
    }
}

/// What one worker's handlers use.
#[derive(Clone)]
pub struct ServerState {
    /// This host.
    pub host: HostId,
    /// The table in force.
    pub config: ConfigHandle,
    /// What sessions need.
    pub context: SessionContext,
    /// Bounds of what callers may send.
    pub options: ServerOptions,
    /// Readiness and requests in flight.
    pub gate: Arc<Gate>,
}

/// Adds the routes of the callers' API.
pub fn routes(config: &mut web::ServiceConfig) {
    config
        .route("/v1/completions", web::post().to(completions))
        .route("/healthz", web::get().to(health))
        .route("/readyz", web::get().to(ready))
        .route("/events", web::get().to(events))
        .default_service(web::to(not_found));
}

/// A refusal as an HTTP answer.
pub fn refuse(refusal: Refusal) -> HttpResponse {
    let refusal = with_retry_after(refusal);
    let status = StatusCode::from_u16(refusal.code.http_status())
        .unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut response = HttpResponse::build(status);
    if let Some(retry_after_ms) = refusal.retry_after_ms {
        let seconds = retry_after_ms.div_ceil(1_000);
        response.insert_header((header::RETRY_AFTER, seconds.to_string()));
    }
    response.json(ErrorBody { error: refusal })
}

/// A refusal that another time may lift says when.
fn with_retry_after(refusal: Refusal) -> Refusal {
    let status = refusal.code.http_status();
    let may_pass = status == 429 || status >= 500;
    if may_pass && refusal.retry_after_ms.is_none() {
        return refusal.retry_after_ms(DEFAULT_RETRY_AFTER_MS);
    }
    refusal
}

async fn completions(
    state: web::Data<Rc<ServerState>>,
    http: HttpRequest,
    payload: web::Payload,
) -> HttpResponse {
    let request_id = RequestId::generate();
    let pass = state.gate.enter();
    match prepare(&state, &http, payload, request_id).await {
        Ok(prepared) => prepared.answer(&state, pass).await,
        Err(refusal) => {
            let subject = Subject::request(request_id).detail(refusal.message.as_str());
            state
                .context
                .journal
                .record(EventCode::RequestRefused, subject);
            refuse(refusal.for_request(request_id))
        }
    }
}

/// A completion that passed the filters before the queue.
struct Prepared {
    request: CompletionRequest,
    session: SessionRequest,
}

async fn prepare(
    state: &ServerState,
    http: &HttpRequest,
    payload: web::Payload,
    request_id: RequestId,
) -> Result<Prepared, Refusal> {
    check_headers(&state.options, http)?;
    let body = read_body(&state.options, payload).await?;
    let request = CompletionRequest::parse(&body)?;
    check_ready(state)?;
    let identified = identify::identify(
        &state.config.table(),
        bearer_key(http),
        &request.service,
        request.priority_class.as_ref(),
    )?;
    let session = session_request(state, &request, &identified, request_id)?;
    let detail = format!(
        "customer={} service={} class={}",
        identified.customer.customer, identified.service.service, identified.class.class
    );
    let subject = Subject::request(request_id).detail(detail);
    state
        .context
        .journal
        .record(EventCode::RequestReceived, subject);
    Ok(Prepared { request, session })
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
    let deadline_ms = request
        .deadline_ms
        .unwrap_or(service.deadline_ms)
        .min(state.options.deadline_ms_max);
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
        let session = Session::new(state.context.clone(), self.session);
        if self.request.stream {
            answer.stream(session, pass).await
        } else {
            answer.whole(session).await
        }
    }
}

/// Turns a session's outputs into what the caller receives.
struct Answer {
    writer: CompletionWriter,
    prompt_tokens: u32,
    max_output_tokens: u32,
    include_usage: bool,
    delivered: u32,
}

impl Answer {
    /// A request that fails before its first token is answered with its own status.
    async fn stream(mut self, mut session: Session, pass: Pass) -> HttpResponse {
        let first = match session.next().await {
            Some(Output::Failed(refusal)) => return refuse(refusal),
            Some(output) => output,
            None => {
                return refuse(Refusal::unknown(
                    Code::Internal,
                    "the session ended silently",
                ));
            }
        };
        let first = self.chunk(first);
        HttpResponse::Ok()
            .content_type("text/event-stream")
            .insert_header((header::CACHE_CONTROL, "no-cache"))
            .insert_header(("x-request-id", session.request_id().to_string()))
            .streaming(self.chunks(first, session, pass))
    }

    fn chunks(
        self,
        first: Bytes,
        session: Session,
        pass: Pass,
    ) -> impl Stream<Item = Result<Bytes, actix_web::Error>> {
        let rest = stream::unfold(
            (self, session, pass),
            |(mut answer, mut session, pass)| async move {
                let output = session.next().await?;
                let chunk = answer.chunk(output);
                Some((Ok(chunk), (answer, session, pass)))
            },
        );
        futures_util::StreamExt::chain(stream::iter([Ok(first)]), rest)
    }

    fn chunk(&mut self, output: Output) -> Bytes {
        let mut out = BytesMut::new();
        match output {
            Output::Token(text) => {
                self.delivered += 1;
                self.writer.token(&text, &mut out);
            }
            Output::Discard => {}
            Output::Complete(completion) => {
                let usage = self.include_usage.then(|| self.usage(completion));
                let finish = self.finish_reason(completion);
                self.writer.complete(finish, usage, &mut out);
            }
            Output::Failed(refusal) => {
                let refusal = with_retry_after(refusal);
                self.writer.failed(&refusal, self.delivered, &mut out);
            }
        }
        out.freeze()
    }

    async fn whole(self, mut session: Session) -> HttpResponse {
        let mut text = String::new();
        while let Some(output) = session.next().await {
            match output {
                Output::Token(token) => text.push_str(&token),
                Output::Discard => text.clear(),
                Output::Complete(completion) => {
                    return self.whole_answer(&text, completion, session.request_id());
                }
                Output::Failed(refusal) => return refuse(refusal),
            }
        }
        refuse(Refusal::unknown(
            Code::Internal,
            "the session ended silently",
        ))
    }

    fn whole_answer(&self, text: &str, completion: Completion, id: RequestId) -> HttpResponse {
        let finish = self.finish_reason(completion);
        let body = self.writer.whole(text, finish, self.usage(completion));
        HttpResponse::Ok()
            .content_type("application/json")
            .insert_header(("x-request-id", id.to_string()))
            .body(body)
    }

    fn usage(&self, completion: Completion) -> Usage {
        Usage::new(
            self.prompt_tokens,
            completion.output_tokens,
            completion.cached_prompt_tokens,
        )
    }

    fn finish_reason(&self, completion: Completion) -> FinishReason {
        if completion.output_tokens >= self.max_output_tokens {
            FinishReason::Length
        } else {
            FinishReason::Stop
        }
    }
}

async fn health() -> HttpResponse {
    HttpResponse::Ok().body("ok\n")
}

async fn ready(state: web::Data<Rc<ServerState>>) -> HttpResponse {
    match check_ready(&state) {
        Ok(()) if !state.gate.is_shutting_down() => HttpResponse::Ok().body("ready\n"),
        Ok(()) => refuse(Refusal::not_run(
            Code::NotReady,
            "the host is shutting down",
        )),
        Err(refusal) => refuse(refusal),
    }
}

/// Where `/events` starts.
#[derive(Debug, Deserialize)]
struct EventsQuery {
    #[serde(default)]
    from: u64,
}

async fn events(state: web::Data<Rc<ServerState>>, query: web::Query<EventsQuery>) -> HttpResponse {
    HttpResponse::Ok().json(state.context.journal.events_from(query.from))
}

async fn not_found(http: HttpRequest) -> HttpResponse {
    let message = format!("there is no {} {}", http.method(), http.path());
    let refusal = Refusal::not_run(Code::UnknownService, message);
    refuse(refusal.for_request(RequestId::generate()))
}

fn check_ready(state: &ServerState) -> Result<(), Refusal> {
    if state.config.is_ready() {
        return Ok(());
    }
    let reason = state.config.state().reason;
    Err(Refusal::not_run(
        Code::NotReady,
        format!("the host has no configuration yet: {reason}"),
    ))
}

fn check_headers(options: &ServerOptions, http: &HttpRequest) -> Result<(), Refusal> {
    let bytes: usize = http
        .headers()
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len())
        .sum();
    if bytes <= options.header_bytes_max {
        return Ok(());
    }
    let message = format!(
        "the headers hold {bytes} bytes; {} are allowed",
        options.header_bytes_max
    );
    Err(Refusal::not_run(Code::TooLarge, message))
}

async fn read_body(options: &ServerOptions, payload: web::Payload) -> Result<Bytes, Refusal> {
    let timeout = Duration::from_millis(options.body_timeout_ms);
    let reading = payload.to_bytes_limited(options.body_bytes_max);
    match tokio::time::timeout(timeout, reading).await {
        Ok(Ok(Ok(body))) => Ok(body),
        Ok(Ok(Err(error))) => {
            let message = format!("the body can't be read: {error}");
            Err(Refusal::not_run(Code::InvalidRequest, message))
        }
        Ok(Err(_)) => {
            let message = format!(
                "the body is too large; {} bytes are allowed",
                options.body_bytes_max
            );
            Err(Refusal::not_run(Code::TooLarge, message))
        }
        Err(_) => {
            let message = "the body did not arrive in time";
            Err(Refusal::not_run(Code::InvalidRequest, message))
        }
    }
}

fn bearer_key(http: &HttpRequest) -> Option<&str> {
    http.headers()
        .get(header::AUTHORIZATION)?
        .to_str()
        .ok()?
        .strip_prefix("Bearer ")
}
