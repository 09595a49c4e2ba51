//! Serves HTTP at a host's addresses.

use std::convert::Infallible;
use std::future::ready;
use std::net::Shutdown;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;

use actix_http::HttpService;
use actix_http::KeepAlive;
use actix_http::error::DispatchError;
use actix_server::ServerBuilder;
use actix_server::ServerHandle;
use actix_service::ServiceFactory;
use actix_service::ServiceFactoryExt;
use actix_service::fn_service;
use actix_service::map_config;
use actix_web::App;
use actix_web::HttpRequest;
use actix_web::HttpResponse;
use actix_web::body::BoxBody;
use actix_web::dev::AppConfig;
use actix_web::web;
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::error::Error;
use crate::error::Result;
use crate::gateway::callerconnections::CallerConnection;
use crate::gateway::callerconnections::CallerConnections;
use crate::gateway::callerstream::CallerStream;
use crate::gateway::configfetch;
use crate::gateway::configuration::HEADER_TIMEOUT_DEFAULT;
use crate::gateway::configuration::IDLE_TIMEOUT_DEFAULT;
use crate::gateway::countedbody::CountedBody;
use crate::gateway::peerfetch;
use crate::gateway::protocol::Topic;
use crate::gateway::refuse;
use crate::gateway::serve;
use crate::gateway::serve::WorkerState;
use crate::gateway::settings::GatewaySettings;
use crate::gateway::shared::Shared;
use crate::gateway::supervise::supervise;
use crate::gateway::ticks::tick;
use crate::telemetry;
use crate::telemetry::Metric;
use crate::telemetry::Telemetry;

/// Time for which the rest of a refused body of stated length is read, so that its client gets to read the refusal.
const LINGER_TIME: Duration = Duration::from_secs(1);
/// Bytes of a response that are buffered for a caller that doesn't read, besides the last chunk.
const WRITE_BUFFER_BYTES: usize = 4 * 1_024;
/// Time within which the thread that serves requests runs, also on a host with a tenth of a core.
const THREAD_START_TIME_MAX: Duration = Duration::from_secs(5);
/// How often idle connections to upstreams are checked.
const POOL_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Connections that are accepted over the bounds, in order to refuse them or to end others.
const SPARE_CONNECTIONS: usize = 32;

/// An address of the host that callers don't use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum InternalPort {
    /// Where the load balancer asks.
    Ready,
    /// Where other hosts ask.
    Peers,
    /// Where metrics are read.
    Metrics,
}

impl InternalPort {
    /// All of these addresses.
    pub(crate) const ALL: [InternalPort; 3] = [
        InternalPort::Ready,
        InternalPort::Peers,
        InternalPort::Metrics,
    ];

    /// The address's name in log lines.
    pub(crate) const fn name(self) -> &'static str {
        match self {
            InternalPort::Ready => "ready",
            InternalPort::Peers => "peers",
            InternalPort::Metrics => "metrics",
        }
    }
}

/// An address of the host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Port {
    Callers,
    Internal(InternalPort),
}

impl Port {
    fn of(settings: &GatewaySettings, port: u16) -> Self {
        match port {
            port if port == settings.caller_address.port() => Port::Callers,
            port if port == settings.ready_address.port() => Port::Internal(InternalPort::Ready),
            port if port == settings.metrics_address.port() => {
                Port::Internal(InternalPort::Metrics)
            }
            _ => Port::Internal(InternalPort::Peers),
        }
    }

    fn connections(self, shared: &Shared) -> &CallerConnections {
        match self {
            Port::Callers => shared.caller_connections(),
            Port::Internal(port) => shared.internal_connections(port),
        }
    }
}

/// Starts one server for all addresses, and waits until its thread runs.
///
/// # Errors
///
/// [`Error::Io`] if the server ends at once, and [`Error::NoThreads`] if its thread doesn't start.
pub(crate) async fn start(
    shared: &Shared,
    telemetry: &Telemetry,
    listeners: impl IntoIterator<Item = TcpListener>,
) -> Result<ServerHandle> {
    let (running, mut has_started) = watch::channel(false);
    let mut server = ServerBuilder::new()
        .workers(1)
        .max_concurrent_connections(connections_max(shared))
        .disable_signals();
    for listener in listeners {
        let port = Port::of(shared.settings(), listener.local_addr()?.port());
        let (shared, telemetry) = (shared.clone(), telemetry.clone());
        let running = running.clone();
        server = server.listen(format!("{port:?}"), listener, move || {
            running.send_replace(true);
            serve_port(port, &shared, &telemetry)
        })?;
    }
    let server = server.run();
    let handle = server.handle();
    let mut serving = actix_rt::spawn(server);
    tokio::select! {
        // The channel lives as long as the server.
        _ = has_started.wait_for(|has_started| *has_started) => Ok(handle),
        ended = &mut serving => Err(ended.map_or(no_threads(), |ended| match ended {
            Ok(()) => no_threads(),
            Err(error) => Error::Io(error),
        })),
        () = tokio::time::sleep(THREAD_START_TIME_MAX) => {
            serving.abort();
            Err(no_threads())
        }
    }
}

fn no_threads() -> Error {
    let waited_ms = THREAD_START_TIME_MAX.as_millis();
    Error::NoThreads {
        waited_ms: u64::try_from(waited_ms).unwrap_or(u64::MAX),
    }
}

/// Connections that are accepted at all addresses together. More wait until others end.
fn connections_max(shared: &Shared) -> usize {
    let internal = InternalPort::ALL.map(|port| shared.internal_connections(port).max());
    let internal: usize = internal.iter().sum();
    shared.caller_connections().max() + internal + SPARE_CONNECTIONS
}

/// The service of the connections of one address.
fn serve_port(
    port: Port,
    shared: &Shared,
    telemetry: &Telemetry,
) -> impl ServiceFactory<TcpStream, Config = (), Response = (), Error = DispatchError, InitError = ()>
+ use<> {
    let app = App::new()
        .app_data(web::Data::new(shared.clone()))
        .app_data(web::Data::new(telemetry.clone()));
    let app = match port {
        Port::Callers => {
            let front = WorkerState::new(shared.clone());
            let idle = front.clone();
            supervise(shared.log(), "close idle connections", move || {
                close_idle(idle.clone())
            });
            app.app_data(web::Data::new(front))
                .default_service(web::to(answer_caller))
        }
        Port::Internal(InternalPort::Ready) => app.default_service(web::to(answer_balancer)),
        Port::Internal(InternalPort::Peers) => app.default_service(web::to(answer_peer)),
        Port::Internal(InternalPort::Metrics) => app.default_service(web::to(answer_metrics)),
    };
    let http = HttpService::build()
        .keep_alive(KeepAlive::Timeout(IDLE_TIMEOUT_DEFAULT))
        // After a suspension longer than this, the server answers requests that arrived meanwhile with a bare 408.
        .client_request_timeout(HEADER_TIMEOUT_DEFAULT)
        .client_disconnect_timeout(LINGER_TIME)
        .h1_write_buffer_size(WRITE_BUFFER_BYTES)
        .h1_allow_half_closed(false)
        .on_connect_ext(|stream: &CallerStream, data| {
            if let Some(connection) = stream.connection() {
                data.insert(connection.clone());
            }
        })
        .h1(map_config(app, |()| AppConfig::default()));
    let connections = port.connections(shared).clone();
    fn_service(move |stream: TcpStream| {
        let client = stream.peer_addr().ok();
        ready(Ok::<_, Infallible>((admit(&connections, stream), client)))
    })
    .map_err(|never| match never {})
    .and_then(http)
}

/// Counts a new connection. One over the bound reads no more than has arrived: a request among it is refused, so that
/// the caller's retry meets another host, and without one the connection ends.
fn admit(connections: &CallerConnections, stream: TcpStream) -> CallerStream {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("a new connection: {error}");
    }
    let connection = connections.admit(Instant::now());
    if connection.is_none() {
        log::debug!("closing a connection over the bound");
        // The other direction stays open for the refusal of a request that has arrived.
        if let Err(error) = SockRef::from(&stream).shutdown(Shutdown::Read) {
            log::debug!("closing a connection: {error}");
        }
    }
    CallerStream::new(stream, connection)
}

async fn answer_caller(
    front: web::Data<WorkerState>,
    http: HttpRequest,
    payload: web::Payload,
) -> HttpResponse {
    // A request that arrived before its connection was shut must not run.
    match http.conn_data::<Rc<CallerConnection>>().cloned() {
        Some(connection) => serve::serve(front, http, connection, payload).await,
        None => refuse::response(&refuse::host_crowded(), true),
    }
}

async fn answer_balancer(shared: web::Data<Shared>, http: HttpRequest) -> HttpResponse {
    answer_internal(&http, async {
        shared.check_suspension();
        match shared.is_ready() {
            true => HttpResponse::Ok().finish(),
            false => HttpResponse::ServiceUnavailable().finish(),
        }
    })
    .await
}

async fn answer_metrics(
    shared: web::Data<Shared>,
    telemetry: web::Data<Telemetry>,
    http: HttpRequest,
) -> HttpResponse {
    answer_internal(&http, async {
        HttpResponse::Ok().body(metrics_page(&shared, &telemetry))
    })
    .await
}

async fn answer_peer(
    shared: web::Data<Shared>,
    http: HttpRequest,
    payload: web::Payload,
) -> HttpResponse {
    let answering = async {
        match http.path() {
            configfetch::CONFIGURATION_PATH => match web::Query::from_query(http.query_string()) {
                Ok(query) => configfetch::serve_manifest(&shared, &query).await,
                Err(error) => HttpResponse::BadRequest().body(error.to_string()),
            },
            configfetch::PIECES_PATH => configfetch::serve_pieces(&shared, payload).await,
            peerfetch::UPSTREAMS_PATH => match web::Query::from_query(http.query_string()) {
                Ok(query) => peerfetch::serve_upstreams(&shared, &query).await,
                Err(error) => HttpResponse::BadRequest().body(error.to_string()),
            },
            _ => HttpResponse::NotFound().finish(),
        }
    };
    answer_internal(&http, answering).await
}

/// Answers a request at an address that isn't the callers'.
async fn answer_internal(
    http: &HttpRequest,
    answering: impl Future<Output = HttpResponse>,
) -> HttpResponse {
    let Some(connection) = http.conn_data::<Rc<CallerConnection>>().cloned() else {
        return refuse::response(&refuse::host_crowded(), true);
    };
    if !connection.begin_body(Instant::now()) {
        return refuse::response(&refuse::host_crowded(), true);
    }
    let response = answering.await;
    response.map_body(|_, body| BoxBody::new(CountedBody::new(body, connection, None)))
}

fn metrics_page(shared: &Shared, telemetry: &Telemetry) -> String {
    telemetry::set_total(Metric::LogLinesDroppedTotal, shared.log().dropped());
    for topic in [Topic::Operator, Topic::Upstreams] {
        if let Some(age) = shared.log_age(topic) {
            telemetry::set_log_age(topic.name(), age);
        }
    }
    telemetry::set_config_version(shared.config_version(), shared.newest_known_version());
    telemetry::set_config_behind(shared.behind_for().unwrap_or_default());
    let now = shared.now();
    let (held_back, known) = shared.suspects(|suspects| suspects.count(now));
    telemetry::set_suspects(held_back, known);
    telemetry::set_implicated_parts(shared.suspects(|suspects| suspects.count_implicated()));
    telemetry::set_upstreams_limited(shared.upstream_limits(|limits| limits.count()));
    telemetry::set_upstreams_slow(shared.count_slow_upstreams());
    telemetry::set_upstreams_failing(shared.count_failing());
    telemetry::set_log_era(shared.log_era().number());
    telemetry::set_evacuated(shared.directory(|directory| directory.evacuations().all().len()));
    telemetry::set_last_suspension(shared.last_suspension());
    telemetry.render()
}

/// Closes idle connections to upstreams at an interval. Never returns.
async fn close_idle(front: WorkerState) {
    loop {
        tick(POOL_CHECK_INTERVAL).await;
        front.pool.borrow_mut().close_expired();
    }
}
