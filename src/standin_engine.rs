//! A stand-in for an engine: the engine model in real time behind the engines' protocol.

use std::sync::Arc;
use std::time::Duration;

use actix_web::App;
use actix_web::HttpRequest;
use actix_web::HttpResponse;
use actix_web::HttpServer;
use actix_web::rt;
use actix_web::rt::time::sleep;
use actix_web::web;
use derive_builder::Builder;
use serde::Deserialize;

use crate::error::Result;
use crate::id::AttemptId;
use crate::journal::Journal;
use crate::model::ModelOptions;
use crate::standin::DIE_ANSWER_TIME;
use crate::standin::Served;
use crate::standin::cut;
use crate::standin::events;
use crate::standin::exit_soon;
use crate::standin::journal;
use crate::standin::keep_socket;
use crate::standin::listen;
use crate::standin::record_fault;
use crate::standin_faults::EngineFault;
use crate::standin_generation::Engine;
use crate::standin_generation::EngineCounters;
use crate::standin_link::Link;
use crate::wire::EngineRefusal;
use crate::wire::EngineRefusalReason;
use crate::wire::GenerateRequest;
use crate::wire::Order;
use crate::wire::OrderRefused;

/// Largest request that is taken, in bytes.
const REQUEST_BYTES_MAX: usize = 16 << 20;

/// How often load reports and cache events are collected.
const COLLECT_EVERY: Duration = Duration::from_millis(50);

/// Options of an engine.
#[derive(Debug, Clone, Builder)]
#[builder(default)]
pub struct EngineOptions {
    /// Address and port; port 0 takes a free one.
    #[builder(setter(into))]
    pub listen: String,
    /// Size and speed of the engine. An empty model name accepts every model.
    pub model: ModelOptions,
    /// The model's time runs this many times as fast as real time.
    pub speed: f64,
    /// Decides the variation of steps and the loss of cache events.
    pub seed: u64,
    /// Load reports are at least this old, in milliseconds.
    pub report_lag_ms: u64,
    /// Cache events appear this late, in milliseconds.
    pub cache_event_delay_ms: u64,
    /// Cache events that are lost, in percent.
    pub cache_event_loss_percent: u32,
    /// Whether orders with an old fencing number are refused.
    pub checks_fence: bool,
    /// Loading a model takes this long, in milliseconds.
    pub order_load_ms: u64,
}

impl Default for EngineOptions {
    fn default() -> Self {
        EngineOptions {
            listen: "127.0.0.1:0".to_owned(),
            model: ModelOptions {
                model: String::new(),
                ..ModelOptions::default()
            },
            speed: 1.0,
            seed: 1,
            report_lag_ms: 0,
            cache_event_delay_ms: 0,
            cache_event_loss_percent: 0,
            checks_fence: true,
            order_load_ms: 200,
        }
    }
}

/// Listens, serves and generates.
///
/// # Errors
///
/// The socket could not be opened.
pub fn serve(options: EngineOptions) -> Result<Served> {
    let (listener, address) = listen(&options.listen)?;
    let journal = journal("engine", address);
    let engine = Arc::new(Engine::new(&options, journal.clone()));
    rt::spawn(generate_steps(Arc::clone(&engine)));
    rt::spawn(collect(Arc::clone(&engine)));
    let data = web::Data::from(engine);
    let journal = web::Data::new(journal);
    let server = HttpServer::new(move || {
        App::new()
            .app_data(journal.clone())
            .app_data(data.clone())
            .app_data(web::JsonConfig::default().limit(REQUEST_BYTES_MAX))
            .route("/v1/generations", web::post().to(start))
            .route("/v1/generations/{attempt}", web::get().to(resume))
            .route("/v1/generations/{attempt}", web::delete().to(cancel))
            .route("/v1/load", web::get().to(load))
            .route("/v1/cache-events", web::get().to(cache_events))
            .route("/v1/orders", web::post().to(order))
            .route("/v1/orders", web::get().to(order_state))
            .route("/events", web::get().to(events))
            .route("/admin/faults", web::post().to(set_fault))
            .route("/admin/counters", web::get().to(counters))
    })
    .workers(1)
    .shutdown_timeout(0)
    .disable_signals()
    .on_connect(keep_socket)
    .listen(listener)?
    .run();
    Ok(Served { address, server })
}

/// Runs the model's steps at their times.
async fn generate_steps(engine: Arc<Engine>) {
    loop {
        match engine.until_step() {
            Some(wait) => sleep(wait).await,
            None => engine.submitted().await,
        }
        engine.step();
    }
}

/// Collects what appears late: load reports and cache events.
async fn collect(engine: Arc<Engine>) {
    loop {
        engine.collect();
        sleep(COLLECT_EVERY).await;
    }
}

async fn start(
    request: HttpRequest,
    body: web::Json<GenerateRequest>,
    engine: web::Data<Engine>,
) -> HttpResponse {
    let attempt = body.attempt;
    if engine.faults.resets_on_accept() {
        return cut(&request);
    }
    match engine.start(body.into_inner()) {
        Ok(()) => {}
        Err(reason) => return refuse(reason),
    }
    if engine.faults.resets_after_start() {
        return cut(&request);
    }
    stream(&request, engine, attempt, 0)
}

fn refuse(reason: EngineRefusalReason) -> HttpResponse {
    let mut answer = match reason {
        EngineRefusalReason::WrongModel => HttpResponse::Conflict(),
        EngineRefusalReason::QueueFull => HttpResponse::TooManyRequests(),
        EngineRefusalReason::Leaving => HttpResponse::ServiceUnavailable(),
    };
    answer.json(EngineRefusal { reason })
}

#[derive(Deserialize)]
struct FromQuery {
    #[serde(default)]
    from: u64,
}

async fn resume(
    request: HttpRequest,
    attempt: web::Path<AttemptId>,
    query: web::Query<FromQuery>,
    engine: web::Data<Engine>,
) -> HttpResponse {
    let from = u32::try_from(query.from).unwrap_or(u32::MAX);
    stream(&request, engine, attempt.into_inner(), from)
}

fn stream(
    request: &HttpRequest,
    engine: web::Data<Engine>,
    attempt: AttemptId,
    from: u32,
) -> HttpResponse {
    match Link::open(engine.into_inner(), request.clone(), attempt, from) {
        Some(link) => HttpResponse::Ok()
            .content_type("text/event-stream")
            .streaming(link.into_stream()),
        None => HttpResponse::NotFound().finish(),
    }
}

async fn cancel(attempt: web::Path<AttemptId>, engine: web::Data<Engine>) -> HttpResponse {
    if engine.cancel(attempt.into_inner()) {
        HttpResponse::NoContent().finish()
    } else {
        HttpResponse::NotFound().finish()
    }
}

async fn load(engine: web::Data<Engine>) -> HttpResponse {
    HttpResponse::Ok().json(engine.lagging_report())
}

async fn cache_events(query: web::Query<FromQuery>, engine: web::Data<Engine>) -> HttpResponse {
    HttpResponse::Ok().json(engine.cache_events(query.from))
}

async fn order(
    request: HttpRequest,
    order: web::Json<Order>,
    engine: web::Data<Engine>,
) -> HttpResponse {
    match engine.order(order.into_inner()) {
        Err(OrderRefused { fence }) => HttpResponse::Conflict().json(OrderRefused { fence }),
        Ok(_) if engine.faults.loses_order_answer() => cut(&request),
        Ok(state) => HttpResponse::Ok().json(state),
    }
}

async fn order_state(engine: web::Data<Engine>) -> HttpResponse {
    HttpResponse::Ok().json(engine.order_state())
}

async fn set_fault(
    fault: web::Json<EngineFault>,
    engine: web::Data<Engine>,
    journal: web::Data<Journal>,
) -> HttpResponse {
    record_fault(&journal, &fault.0);
    match fault.into_inner() {
        EngineFault::Die => exit_soon(DIE_ANSWER_TIME),
        EngineFault::Reclaim { notice_ms } => {
            engine.leave();
            exit_soon(Duration::from_millis(notice_ms));
        }
        EngineFault::Leave => engine.leave(),
        other => engine.faults.arm(other),
    }
    HttpResponse::NoContent().finish()
}

async fn counters(engine: web::Data<Engine>) -> web::Json<EngineCounters> {
    web::Json(engine.counters())
}
