//! The operators' part of an entry host's HTTP interface.
//!
//! | call | meaning |
//! |---|---|
//! | `GET /status` | [`HostStatus`](crate::status::HostStatus) as JSON |
//! | `GET /metrics` | metrics in Prometheus' text format |
//! | `POST /drain` | begins a graceful shutdown, as SIGTERM does; needs the operators' token |

use std::fmt;
use std::rc::Rc;

use actix_web::HttpRequest;
use actix_web::HttpResponse;
use actix_web::http::header;
use actix_web::web;
use actix_web::web::ServiceConfig;

use crate::board::StatusBoard;
use crate::refusal::Code;
use crate::refusal::ErrorBody;
use crate::refusal::Refusal;
use crate::table::key_sha256;
use crate::telemetry::Telemetry;

/// What the operators' calls need of the host.
#[derive(Clone)]
pub struct Inspection {
    /// Gathers the status.
    pub board: StatusBoard,
    /// Renders the metrics.
    pub telemetry: Telemetry,
    /// SHA-256 of the operators' token in hexadecimal; none refuses every `POST /drain`.
    pub operator_token_sha256: Option<String>,
    /// Begins a graceful shutdown.
    pub drain: Rc<dyn Fn()>,
}

impl fmt::Debug for Inspection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Inspection").finish_non_exhaustive()
    }
}

/// Adds the operators' calls to an application.
pub fn routes(config: &mut ServiceConfig, inspection: Inspection) {
    config
        .app_data(web::Data::new(inspection))
        .route("/status", web::get().to(status))
        .route("/metrics", web::get().to(metrics))
        .route("/drain", web::post().to(drain));
}

async fn status(inspection: web::Data<Inspection>) -> HttpResponse {
    HttpResponse::Ok().json(inspection.board.status())
}

async fn metrics(inspection: web::Data<Inspection>) -> HttpResponse {
    HttpResponse::Ok()
        .content_type("text/plain; version=0.0.4")
        .body(inspection.telemetry.render())
}

async fn drain(inspection: web::Data<Inspection>, request: HttpRequest) -> HttpResponse {
    if !inspection.permits(bearer_token(&request)) {
        let refusal = Refusal::not_run(Code::Unauthorized, "the operators' token is needed");
        return HttpResponse::Unauthorized().json(ErrorBody { error: refusal });
    }
    (inspection.drain)();
    HttpResponse::Accepted().finish()
}

impl Inspection {
    fn permits(&self, token: Option<&str>) -> bool {
        match (token, &self.operator_token_sha256) {
            (Some(token), Some(expected)) => key_sha256(token) == *expected,
            _ => false,
        }
    }
}

fn bearer_token(request: &HttpRequest) -> Option<&str> {
    let value = request.headers().get(header::AUTHORIZATION)?;
    value.to_str().ok()?.strip_prefix("Bearer ")
}
