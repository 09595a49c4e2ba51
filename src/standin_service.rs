//! A stand-in for a plain service: it echoes what it is asked and counts how often each key ran.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::time::Duration;

use actix_web::App;
use actix_web::HttpRequest;
use actix_web::HttpResponse;
use actix_web::HttpServer;
use actix_web::rt::time::sleep;
use actix_web::web;
use serde::Deserialize;
use serde::Serialize;

use crate::error::Result;
use crate::journal::Journal;
use crate::standin::DIE_ANSWER_TIME;
use crate::standin::Served;
use crate::standin::count_key;
use crate::standin::cut;
use crate::standin::events;
use crate::standin::exit_soon;
use crate::standin::journal;
use crate::standin::keep_socket;
use crate::standin::listen;
use crate::standin::lock;
use crate::standin::record_fault;

/// Largest body that is echoed, in bytes.
const BODY_BYTES_MAX: usize = 64 << 20;

/// What the service answers: the call it ran.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Echo {
    /// The path that was called.
    pub path: String,
    /// The body that was sent.
    pub body: String,
    /// The key under which the call was counted.
    pub key: String,
    /// How often the key has run, this call included.
    pub ran: u32,
}

/// A fault for `POST /admin/faults`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "fault", rename_all = "snake_case", deny_unknown_fields)]
pub enum ServiceFault {
    /// Every call takes this much longer.
    Slow {
        /// Added time in milliseconds; 0 ends the fault.
        ms: u64,
    },
    /// The next calls run, but their connections are cut before the answer.
    ResetAfterRun {
        /// How many calls.
        count: u32,
    },
    /// The next calls run, but are answered with status 500.
    ErrorAfterRun {
        /// How many calls.
        count: u32,
    },
    /// The process answers and exits.
    Die,
    /// Ends every fault.
    Clear,
}

/// How often a key ran.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyRuns {
    /// The header `Idempotency-Key`, else `#key=` of the body, else the body's hash.
    pub key: String,
    /// How often.
    pub ran: u32,
}

/// Answer of `GET /admin/counters`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceCounters {
    /// Calls that ran.
    pub calls: u64,
    /// Calls by key.
    pub keys: Vec<KeyRuns>,
}

#[derive(Default)]
struct State {
    slow: Duration,
    resets: u32,
    errors: u32,
    calls: u64,
    keys: BTreeMap<String, u32>,
}

/// Listens on `address` and serves.
///
/// # Errors
///
/// The socket could not be opened.
pub fn serve(address: &str) -> Result<Served> {
    let (listener, address) = listen(address)?;
    let state = web::Data::new(Mutex::new(State::default()));
    let journal = web::Data::new(journal("service", address));
    let server = HttpServer::new(move || {
        App::new()
            .app_data(journal.clone())
            .app_data(state.clone())
            .app_data(web::PayloadConfig::new(BODY_BYTES_MAX))
            .route("/events", web::get().to(events))
            .route("/admin/faults", web::post().to(set_fault))
            .route("/admin/counters", web::get().to(counters))
            .route("/healthz", web::get().to(HttpResponse::Ok))
            .default_service(web::to(run))
    })
    .workers(1)
    .shutdown_timeout(0)
    .disable_signals()
    .on_connect(keep_socket)
    .listen(listener)?
    .run();
    Ok(Served { address, server })
}

async fn run(request: HttpRequest, body: String, state: web::Data<Mutex<State>>) -> HttpResponse {
    let slow = lock(&state).slow;
    sleep(slow).await;
    let key = request
        .headers()
        .get("idempotency-key")
        .and_then(|value| value.to_str().ok())
        .map_or_else(|| count_key(&body), str::to_owned);
    let mut state = lock(&state);
    state.calls += 1;
    let runs = state.keys.entry(key.clone()).or_default();
    *runs += 1;
    let echo = Echo {
        path: request.path().to_owned(),
        body,
        key,
        ran: *runs,
    };
    if state.resets > 0 {
        state.resets -= 1;
        return cut(&request);
    }
    if state.errors > 0 {
        state.errors -= 1;
        return HttpResponse::InternalServerError().json(echo);
    }
    HttpResponse::Ok().json(echo)
}

async fn set_fault(
    fault: web::Json<ServiceFault>,
    state: web::Data<Mutex<State>>,
    journal: web::Data<Journal>,
) -> HttpResponse {
    record_fault(&journal, &fault.0);
    let mut state = lock(&state);
    match fault.into_inner() {
        ServiceFault::Slow { ms } => state.slow = Duration::from_millis(ms),
        ServiceFault::ResetAfterRun { count } => state.resets = count,
        ServiceFault::ErrorAfterRun { count } => state.errors = count,
        ServiceFault::Die => exit_soon(DIE_ANSWER_TIME),
        ServiceFault::Clear => {
            state.slow = Duration::ZERO;
            state.resets = 0;
            state.errors = 0;
        }
    }
    HttpResponse::NoContent().finish()
}

async fn counters(state: web::Data<Mutex<State>>) -> web::Json<ServiceCounters> {
    let state = lock(&state);
    let keys = state
        .keys
        .iter()
        .map(|(key, ran)| KeyRuns {
            key: key.clone(),
            ran: *ran,
        })
        .collect();
    web::Json(ServiceCounters {
        calls: state.calls,
        keys,
    })
}
