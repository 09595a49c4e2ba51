//! A stand-in for the platform: log streams, host list and weight store, with their faults.

use std::sync::Mutex;
use std::time::Duration;

use actix_web::App;
use actix_web::HttpRequest;
use actix_web::HttpResponse;
use actix_web::HttpServer;
use actix_web::rt::time::sleep;
use actix_web::rt::time::timeout;
use actix_web::web;
use derive_builder::Builder;
use serde::Deserialize;
use tokio::sync::watch;

use crate::clock::SystemClock;
use crate::clock::wall_ms;
use crate::error::Result;
use crate::id::Offset;
use crate::journal::Journal;
use crate::platform::AppendAnswer;
use crate::platform::AppendRequest;
use crate::platform::CONFIG_STREAM;
use crate::platform::HostList;
use crate::record::first_edit;
use crate::row::Row;
use crate::standin::RETRY_AFTER_MS_HEADER;
use crate::standin::Served;
use crate::standin::cut;
use crate::standin::events;
use crate::standin::journal;
use crate::standin::keep_socket;
use crate::standin::listen;
use crate::standin::lock;
use crate::standin::record_fault;
use crate::standin_log::Log;
use crate::standin_log::LogCounters;
use crate::standin_log::Pace;
use crate::standin_outage::Faults;
use crate::standin_outage::Outage;
use crate::standin_outage::PlatformFault;

/// Largest batch that is appended, in bytes.
const APPEND_BYTES_MAX: usize = 16 << 20;

/// Longest time that a long poll may wait, in milliseconds.
const WAIT_MS_MAX: u64 = 60_000;

/// Records in one answer where the reader gives no limit.
const READ_LIMIT: usize = 1_000;

/// Options of the platform.
#[derive(Debug, Clone, Builder)]
#[builder(default)]
pub struct PlatformOptions {
    /// Address and port; port 0 takes a free one.
    #[builder(setter(into))]
    pub listen: String,
    /// Rows of the first table, appended as one edit; none appends nothing.
    pub rows: Vec<Row>,
    /// Appends that are accepted a second.
    pub appends_per_s: f64,
    /// Permits to load weights that are given a minute.
    pub weight_permits_per_min: f64,
    /// Records older than this are dropped, in milliseconds.
    pub retention_ms: Option<u64>,
    /// Records beyond this count of a stream are dropped.
    pub retention_records: Option<usize>,
    /// The host list shows a change this much later, in milliseconds.
    pub list_lag_ms: u64,
}

impl Default for PlatformOptions {
    fn default() -> Self {
        PlatformOptions {
            listen: "127.0.0.1:0".to_owned(),
            rows: Vec::new(),
            appends_per_s: 500.0,
            weight_permits_per_min: 600.0,
            retention_ms: None,
            retention_records: None,
            list_lag_ms: 0,
        }
    }
}

struct Platform {
    clock: SystemClock,
    log: Mutex<Log>,
    faults: Mutex<Faults>,
    lists: Mutex<Lists>,
    weights: Mutex<Pace>,
    /// Bumped by every append and fault; wakes those who wait.
    changed: watch::Sender<u64>,
}

struct Lists {
    lag: Duration,
    /// Lists with the time they were set, oldest first.
    versions: Vec<(crate::clock::Time, HostList)>,
}

/// Listens and serves.
///
/// # Errors
///
/// The socket could not be opened.
pub fn serve(options: PlatformOptions) -> Result<Served> {
    let (listener, address) = listen(&options.listen)?;
    let platform = web::Data::new(Platform::new(&options)?);
    let journal = web::Data::new(journal("platform", address));
    let server = HttpServer::new(move || {
        App::new()
            .app_data(journal.clone())
            .app_data(platform.clone())
            .app_data(web::JsonConfig::default().limit(APPEND_BYTES_MAX))
            .route("/v1/streams/{stream}/records", web::post().to(append))
            .route("/v1/streams/{stream}/records", web::get().to(read))
            .route("/v1/hosts", web::get().to(hosts))
            .route("/v1/weights/{model:.*}", web::post().to(weights))
            .route("/admin/hosts", web::post().to(set_hosts))
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

impl Platform {
    fn new(options: &PlatformOptions) -> Result<Self> {
        let clock = SystemClock::new();
        let mut log = Log::new(options.appends_per_s);
        log.retain(options.retention_ms, options.retention_records);
        if !options.rows.is_empty() {
            let record = first_edit(options.rows.clone())?;
            log.append(CONFIG_STREAM, vec![record], wall_ms());
        }
        Ok(Platform {
            clock,
            log: Mutex::new(log),
            faults: Mutex::default(),
            lists: Mutex::new(Lists {
                lag: Duration::from_millis(options.list_lag_ms),
                versions: Vec::new(),
            }),
            weights: Mutex::new(Pace::new(options.weight_permits_per_min / 60.0)),
            changed: watch::Sender::new(0),
        })
    }

    fn wake(&self) {
        self.changed.send_modify(|version| *version += 1);
    }

    /// Lets a call pass, or holds or cuts it as the faults say.
    async fn admit(&self, request: &HttpRequest) -> std::result::Result<(), HttpResponse> {
        let slow = lock(&self.faults).slow;
        if !slow.is_zero() {
            sleep(slow).await;
        }
        let mut changed = self.changed.subscribe();
        loop {
            changed.borrow_and_update();
            let (outage, cut_off) = {
                let faults = lock(&self.faults);
                (faults.outage, faults.cuts_off(request))
            };
            match outage {
                Outage::None if !cut_off => return Ok(()),
                Outage::Refuse if !cut_off => {
                    return Err(HttpResponse::ServiceUnavailable().finish());
                }
                Outage::Reset => return Err(cut(request)),
                _ => {}
            }
            // Held: the caller hears nothing until the fault ends.
            if changed.changed().await.is_err() {
                return Err(cut(request));
            }
            if cut_off && !lock(&self.faults).cuts_off(request) {
                return Err(cut(request));
            }
        }
    }
}

#[derive(Deserialize)]
struct ReadQuery {
    #[serde(default)]
    from: u64,
    limit: Option<usize>,
    #[serde(default)]
    wait_ms: u64,
}

async fn append(
    request: HttpRequest,
    stream: web::Path<String>,
    batch: web::Json<AppendRequest>,
    platform: web::Data<Platform>,
) -> HttpResponse {
    if let Err(answer) = platform.admit(&request).await {
        return answer;
    }
    let outcome = {
        let mut log = lock(&platform.log);
        match log.pace(platform.clock.now()) {
            Ok(()) => Ok(log.append(&stream, batch.into_inner().records, wall_ms())),
            Err(wait) => Err(wait),
        }
    };
    let first_offset = match outcome {
        Ok(first_offset) => first_offset,
        Err(wait) => return too_many(wait),
    };
    platform.wake();
    if lock(&platform.faults).loses_answer() {
        return cut(&request);
    }
    HttpResponse::Ok().json(AppendAnswer { first_offset })
}

async fn read(
    request: HttpRequest,
    stream: web::Path<String>,
    query: web::Query<ReadQuery>,
    platform: web::Data<Platform>,
) -> HttpResponse {
    let wait = Duration::from_millis(query.wait_ms.min(WAIT_MS_MAX));
    let from = Offset(query.from);
    let mut changed = platform.changed.subscribe();
    let arrival = async {
        loop {
            changed.borrow_and_update();
            if lock(&platform.log).head(&stream) > from {
                return;
            }
            if changed.changed().await.is_err() {
                return;
            }
        }
    };
    if let Err(answer) = platform.admit(&request).await {
        return answer;
    }
    // Without an arrival the answer is empty.
    let _ = timeout(wait, arrival).await;
    if let Err(answer) = platform.admit(&request).await {
        return answer;
    }
    let limit = query.limit.unwrap_or(READ_LIMIT);
    HttpResponse::Ok().json(lock(&platform.log).read(&stream, from, limit, wall_ms()))
}

async fn hosts(request: HttpRequest, platform: web::Data<Platform>) -> HttpResponse {
    if let Err(answer) = platform.admit(&request).await {
        return answer;
    }
    let now = platform.clock.now();
    let lists = lock(&platform.lists);
    let visible = lists
        .versions
        .iter()
        .rev()
        .find(|(set_at, _)| now.since(*set_at) >= lists.lag)
        .map(|(_, list)| list.clone());
    HttpResponse::Ok().json(visible.unwrap_or_default())
}

async fn weights(
    request: HttpRequest,
    _model: web::Path<String>,
    platform: web::Data<Platform>,
) -> HttpResponse {
    if let Err(answer) = platform.admit(&request).await {
        return answer;
    }
    match lock(&platform.weights).take(platform.clock.now()) {
        Ok(()) => HttpResponse::Ok().finish(),
        Err(wait) => too_many(wait),
    }
}

fn too_many(wait: Duration) -> HttpResponse {
    HttpResponse::TooManyRequests()
        .insert_header((RETRY_AFTER_MS_HEADER, wait.as_millis().to_string()))
        .finish()
}

async fn set_hosts(list: web::Json<HostList>, platform: web::Data<Platform>) -> HttpResponse {
    let now = platform.clock.now();
    lock(&platform.lists)
        .versions
        .push((now, list.into_inner()));
    HttpResponse::NoContent().finish()
}

async fn set_fault(
    fault: web::Json<PlatformFault>,
    platform: web::Data<Platform>,
    journal: web::Data<Journal>,
) -> HttpResponse {
    record_fault(&journal, &fault.0);
    match fault.into_inner() {
        PlatformFault::Retention { age_ms, records } => {
            lock(&platform.log).retain(age_ms, records);
        }
        PlatformFault::AppendRate { per_s } => lock(&platform.log).set_pace(per_s),
        PlatformFault::WeightRate { per_min } => {
            *lock(&platform.weights) = Pace::new(per_min / 60.0);
        }
        PlatformFault::ListLag { ms } => lock(&platform.lists).lag = Duration::from_millis(ms),
        of_calls => lock(&platform.faults).arm(of_calls),
    }
    platform.wake();
    HttpResponse::NoContent().finish()
}

async fn counters(platform: web::Data<Platform>) -> web::Json<LogCounters> {
    web::Json(lock(&platform.log).counters().clone())
}
