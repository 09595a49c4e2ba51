//! The callers' HTTP API: its routes, its bounds and what its handlers share.

use std::rc::Rc;
use std::sync::Arc;

use actix_web::HttpRequest;
use actix_web::HttpResponse;
use actix_web::web;
use derive_builder::Builder;
use serde::Deserialize;
use serde::Serialize;

use crate::answer::refuse;
use crate::claims::ClaimHandle;
use crate::completions;
use crate::config::ConfigHandle;
use crate::event::EventCode;
use crate::gate::Gate;
use crate::id::HostId;
use crate::id::RequestId;
use crate::journal::Subject;
use crate::limits::LimitHandle;
use crate::passthrough;
use crate::plain::PlainClient;
use crate::refusal::Code;
use crate::refusal::Refusal;
use crate::session::SessionContext;
use crate::telemetry;
use crate::watch::SlowCallers;

/// Bounds of what callers may send.
#[derive(Debug, Clone, PartialEq, Eq, Builder, Serialize, Deserialize)]
#[builder(default)]
#[serde(default, deny_unknown_fields)]
pub struct ServerOptions {
    /// Longest body, in bytes. Default 1 MiB.
    pub body_bytes_max: usize,
    /// All headers of a request together, in bytes. Default 16 KiB.
    pub header_bytes_max: usize,
    /// Timeout of a request's head, in milliseconds. A host that was paused for longer answers what
    /// arrived meanwhile with a bare 408. Default 60,000.
    pub head_timeout_ms: u64,
    /// Timeout of a request's body, in milliseconds. Default 10,000.
    pub body_timeout_ms: u64,
    /// Longest deadline that a caller may ask for, in milliseconds. Default one hour.
    pub deadline_ms_max: u64,
    /// Buffer of the system for what a caller has not read yet, in bytes; 0 leaves the system's
    /// own. Default 64 KiB.
    pub send_buffer_bytes: usize,
    /// A caller that reads nothing for this long while tokens wait is given up, in milliseconds.
    /// Default 10,000.
    pub slow_caller_timeout_ms: u64,
    /// Longest answer of a plain service, in bytes. Default 8 MiB.
    pub plain_answer_bytes_max: usize,
    /// Worker threads; 0 takes one for each processor. Default 0.
    pub workers: usize,
}

impl Default for ServerOptions {
    fn default() -> Self {
        ServerOptions {
            body_bytes_max: 1 << 20,
            header_bytes_max: 16 << 10,
            head_timeout_ms: 60_000,
            body_timeout_ms: 10_000,
            deadline_ms_max: 3_600_000,
            send_buffer_bytes: 64 << 10,
            slow_caller_timeout_ms: 10_000,
            plain_answer_bytes_max: 8 << 20,
            workers: 0,
        }
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
    /// Talks to plain services.
    pub plain: PlainClient,
    /// Makes claims on idempotency keys.
    pub claims: ClaimHandle,
    /// Holds customers to their limits.
    pub limits: LimitHandle,
    /// Gives up callers that don't read.
    pub slow_callers: SlowCallers,
    /// Bounds of what callers may send.
    pub options: ServerOptions,
    /// Readiness and requests in flight.
    pub gate: Arc<Gate>,
}

impl ServerState {
    /// Refuses while there is no configuration to serve by.
    pub(crate) fn check_ready(&self) -> Result<(), Refusal> {
        let config = self.config.state();
        if config.is_ready {
            return Ok(());
        }
        let message = format!("the host has no configuration yet: {}", config.reason);
        Err(Refusal::not_run(Code::NotReady, message))
    }

    /// Records a refusal, counts it and makes the caller's answer of it.
    pub(crate) fn refuse(&self, request_id: RequestId, refusal: Refusal) -> HttpResponse {
        let subject = Subject::request(request_id).detail(refusal.message.as_str());
        self.context
            .journal
            .record(EventCode::RequestRefused, subject);
        telemetry::count_refusal(None, refusal.code);
        refuse(refusal.for_request(request_id))
    }

    /// A caller's deadline within the bounds, in milliseconds.
    pub(crate) fn deadline_ms(&self, asked: Option<u64>, default: u64) -> u64 {
        asked.unwrap_or(default).min(self.options.deadline_ms_max)
    }
}

/// Adds the routes of the callers' API.
pub fn routes(config: &mut web::ServiceConfig) {
    config
        .route("/v1/completions", web::post().to(completions::serve))
        .route(
            "/v1/services/{service}/{path:.*}",
            web::post().to(passthrough::serve),
        )
        .route("/healthz", web::get().to(health))
        .route("/readyz", web::get().to(ready))
        .route("/events", web::get().to(events))
        .default_service(web::to(not_found));
}

async fn health() -> HttpResponse {
    HttpResponse::Ok().body("ok\n")
}

async fn ready(state: web::Data<Rc<ServerState>>) -> HttpResponse {
    match state.check_ready() {
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
