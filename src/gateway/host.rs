//! Starts the parts of a gateway host, serves its addresses and shuts it down.

use std::any::Any;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use actix_web::App;
use actix_web::HttpRequest;
use actix_web::HttpResponse;
use actix_web::HttpServer;
use actix_web::dev::Extensions;
use actix_web::dev::ServerHandle;
use actix_web::http::KeepAlive;
use actix_web::web;
use socket2::SockRef;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::UdpSocket;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::error::Error;
use crate::error::Result;
use crate::event::EventCode;
use crate::gateway::callerconnections::CallerConnection;
use crate::gateway::configfetch;
use crate::gateway::enginepoll;
use crate::gateway::follow;
use crate::gateway::gossip;
use crate::gateway::hostlisting;
use crate::gateway::joining;
use crate::gateway::memorywatch;
use crate::gateway::peerfetch;
use crate::gateway::process::ReadSettings;
use crate::gateway::process::Signals;
use crate::gateway::protocol::Topic;
use crate::gateway::refuse;
use crate::gateway::rolloutstatus;
use crate::gateway::serve;
use crate::gateway::serve::WorkerState;
use crate::gateway::settings::GatewaySettings;
use crate::gateway::shared::Environment;
use crate::gateway::shared::Shared;
use crate::gateway::shared::ShutdownTimes;
use crate::gateway::shared::queueing;
use crate::gateway::sockets::Sockets;
use crate::gateway::stopping::StopStage;
use crate::gateway::supervise::supervise;
use crate::gateway::suspectlog;
use crate::gateway::ticks::tick;
use crate::gateway::tunnel::carrier;
use crate::telemetry;
use crate::telemetry::Metric;
use crate::telemetry::Telemetry;
use crate::telemetry::UPKEEP_INTERVAL_MS;

/// Idle timeout of callers' connections. It is longer than that of any caller, since a close that crosses a
/// request costs the caller a retry.
const CALLER_IDLE_TIMEOUT: Duration = Duration::from_secs(120);
/// Timeout for reading a request's head. After a suspension longer than this, the server answers requests that
/// arrived meanwhile with a bare 408.
const HEAD_TIMEOUT: Duration = Duration::from_secs(60);
/// Bytes of a response that are buffered for a caller that doesn't read, besides the last chunk.
const CALLER_BUFFER_BYTES: usize = 4 * 1_024;
/// Time within which the load balancer stops sending new connections to a host that isn't ready: it checks
/// readiness once a second and tolerates one failure.
const READINESS_NOTICE_TIME: Duration = Duration::from_millis(2_800);
/// Time between aborting the remaining requests and the end of the grace period, for the last log lines.
const EXIT_MARGIN: Duration = Duration::from_millis(150);
/// Time before the remaining streams are cut at which all other requests are answered: enough for a busy host to write
/// the answers.
const ANSWER_MARGIN: Duration = Duration::from_millis(250);
/// Time in which the last answers are written, and cut streams are logged.
const FLUSH_TIME: Duration = Duration::from_millis(50);
/// How often a host that shuts down checks whether all requests have ended.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time within which the thread that serves requests runs, also on a host with a tenth of a core.
const THREAD_START_TIME_MAX: Duration = Duration::from_secs(5);
/// How often state that expires is checked.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(250);

/// How a shutdown ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ended {
    /// All requests ended.
    Drained,
    /// The grace period ended before all requests did.
    Cut,
}

/// A running gateway host.
pub struct GatewayHost {
    shared: Shared,
    read_settings: ReadSettings,
    server: ServerHandle,
}

impl GatewayHost {
    /// Opens the host's addresses and serves in the background.
    ///
    /// # Errors
    ///
    /// [`Error::Socket`] or [`Error::Io`] if an address can't be opened, [`Error::Descriptors`] if the process may open
    /// too few descriptors, and [`Error::NoThreads`] if the threads that serve requests don't start.
    pub async fn start(
        settings: GatewaySettings,
        environment: Environment,
        read_settings: ReadSettings,
    ) -> Result<Self> {
        let telemetry = Telemetry::install();
        let sockets = Sockets::open(&settings)?;
        let gossip_socket = Arc::new(UdpSocket::from_std(sockets.gossip)?);
        let carrier_listener = Arc::new(TcpListener::from_std(sockets.carried)?);
        let shared = Shared::new(settings, environment);
        let listeners = [sockets.callers, sockets.ready, sockets.peers]
            .into_iter()
            .chain(metrics_listener(&shared, sockets.metrics));
        let server = serve_all(&shared, &telemetry, listeners).await?;
        supervise_tasks(&shared, &gossip_socket, &carrier_listener);
        actix_rt::spawn(joining::query_seeds(shared.clone()));
        supervise(shared.log(), "keep metrics", move || {
            run_upkeep(telemetry.clone())
        });
        let settings = shared.settings();
        let line = shared.log().entry(EventCode::ProcessStarted);
        line.with("callers", settings.caller_address.to_string())
            .with("data_centre", settings.data_centre.as_str())
            .write();
        Ok(GatewayHost {
            shared,
            read_settings,
            server,
        })
    }

    /// The host's state.
    pub fn shared(&self) -> &Shared {
        &self.shared
    }

    /// Serves until a termination signal arrives, then drains.
    pub async fn run(self, signals: Signals) -> Ended {
        signals.wait_for_stop(|| self.reload_settings()).await;
        self.drain().await
    }

    /// Reads the settings again and applies the seeds, the only setting that may change at run time.
    fn reload_settings(&self) {
        let settings = (self.read_settings)();
        let flaw = settings.as_ref().err().map(|error| format!("{error:#}"));
        let line = self.shared.log().entry(EventCode::SettingsReloaded);
        line.with("read", settings.is_ok())
            .with_some("reason", flaw)
            .write();
        if let Ok(settings) = settings {
            let now = self.shared.now();
            let port = self.shared.gossip_address().port();
            let seeds = settings.seeds.iter();
            let addresses = seeds.map(|seed| SocketAddr::new(seed.ip(), port));
            self.shared
                .peers(|peers| peers.add_addresses(now, addresses));
        }
    }

    /// Shuts down: reports not ready at once, accepts requests until the load balancer has noticed, and waits for
    /// the running ones until the grace period ends.
    pub async fn drain(self) -> Ended {
        let began = Instant::now();
        let gate = self.shared.gate().clone();
        let abort_at = began + self.shared.settings().grace.saturating_sub(EXIT_MARGIN);
        let answer_at = abort_at - ANSWER_MARGIN;
        self.shared.begin_shutdown(ShutdownTimes {
            began,
            answer_at,
            abort_at,
        });
        let line = self.shared.log().entry(EventCode::ShutdownBegan);
        line.with("in_flight", gate.in_flight()).write();
        let quiet_from = (began + READINESS_NOTICE_TIME).min(answer_at);
        tokio::time::sleep_until(quiet_from).await;
        while Instant::now() < answer_at && !gate.close_if_idle() {
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
        gate.close();
        self.shared.enter_stop_stage(StopStage::Answering);
        // A thread that was late leaves time for the answers all the same.
        let abort_at = abort_at.max(Instant::now() + FLUSH_TIME);
        while Instant::now() < abort_at && gate.in_flight() > 0 {
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
        let in_flight = gate.in_flight();
        self.shared.enter_stop_stage(StopStage::Cutting);
        let (code, ended) = match in_flight {
            0 => (EventCode::ShutdownComplete, Ended::Drained),
            _ => (EventCode::ShutdownForced, Ended::Cut),
        };
        let line = self.shared.log().entry(code);
        line.with("in_flight", in_flight).write();
        tokio::time::sleep(FLUSH_TIME).await;
        self.server.stop(false).await;
        ended
    }
}

/// Runs a task of the host as long as the host runs.
fn supervise_task<F>(shared: &Shared, name: &'static str, start: impl Fn(Shared) -> F + 'static)
where
    F: Future<Output = ()> + 'static,
{
    let task_state = shared.clone();
    supervise(shared.log(), name, move || start(task_state.clone()));
}

/// Starts the tasks that run as long as the host.
fn supervise_tasks(
    shared: &Shared,
    gossip_socket: &Arc<UdpSocket>,
    carrier_listener: &Arc<TcpListener>,
) {
    supervise_task(shared, "follow operators", |shared| {
        follow::follow(shared, Topic::Operator)
    });
    supervise_task(shared, "follow upstreams", |shared| {
        follow::follow(shared, Topic::Upstreams)
    });
    supervise_task(shared, "list hosts", hostlisting::run);
    supervise_task(shared, "store suspects", suspectlog::run);
    supervise_task(shared, "report rollouts", rolloutstatus::run);
    let socket = gossip_socket.clone();
    supervise_task(shared, "exchange datagrams", move |shared| {
        gossip::run(shared, socket.clone())
    });
    let listener = carrier_listener.clone();
    supervise_task(shared, "carry connections", move |shared| {
        carrier::run(shared, listener.clone())
    });
    if shared.settings().features.shared_queue {
        supervise_task(shared, "announce falls", queueing::announce_falls);
        supervise_task(shared, "own queues", queueing::owning::run);
    }
    supervise_task(shared, "poll engines", enginepoll::run);
    supervise_task(shared, "expire state", expire_state);
    supervise_task(shared, "watch memory", memorywatch::run);
}

/// The listener of the metrics, if it could be opened.
fn metrics_listener(
    shared: &Shared,
    listener: Result<std::net::TcpListener>,
) -> Option<std::net::TcpListener> {
    listener
        .inspect_err(|error| {
            let line = shared.log().entry(EventCode::MetricsUnavailable);
            line.with("reason", error.to_string()).write();
        })
        .ok()
}

/// Starts one server for all addresses, and waits until its thread runs. Requests are dispatched by the port that they
/// arrive at.
async fn serve_all(
    shared: &Shared,
    telemetry: &Telemetry,
    listeners: impl IntoIterator<Item = std::net::TcpListener>,
) -> Result<ServerHandle> {
    let shared = shared.clone();
    let admitting = shared.clone();
    let telemetry = telemetry.clone();
    let (running, mut has_started) = watch::channel(false);
    let factory = move || {
        let front = WorkerState::new(shared.clone());
        let idle = front.clone();
        supervise(front.shared.log(), "close idle connections", move || {
            close_idle(idle.clone())
        });
        running.send_replace(true);
        App::new()
            .app_data(web::Data::new(front))
            .app_data(web::Data::new(shared.clone()))
            .app_data(web::Data::new(telemetry.clone()))
            .default_service(web::to(dispatch_by_port))
    };
    let mut server = HttpServer::new(factory)
        .workers(1)
        .on_connect(move |stream, data| admit_connection(&admitting, stream, data))
        .disable_signals()
        .keep_alive(KeepAlive::Timeout(CALLER_IDLE_TIMEOUT))
        .client_request_timeout(HEAD_TIMEOUT)
        .tcp_nodelay(true)
        .h1_write_buffer_size(CALLER_BUFFER_BYTES)
        .h1_allow_half_closed(false);
    for listener in listeners {
        server = server.listen(listener)?;
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

/// Counts a new connection if it is a caller's. One over the bound reads no more than has arrived: a request among it is
/// refused, so that the caller's retry meets another host, and without one the connection ends.
fn admit_connection(shared: &Shared, stream: &dyn Any, data: &mut Extensions) {
    let Some(stream) = stream.downcast_ref::<TcpStream>() else {
        return;
    };
    let caller_port = shared.settings().caller_address.port();
    let is_callers = stream
        .local_addr()
        .is_ok_and(|address| address.port() == caller_port);
    if !is_callers {
        return;
    }
    match shared.caller_connections().admit() {
        Some(connection) => {
            data.insert(connection);
        }
        None => {
            log::debug!("closing a caller's connection over the bound");
            // The other direction stays open for the refusal of a request that has arrived.
            if let Err(error) = SockRef::from(stream).shutdown(Shutdown::Read) {
                log::debug!("closing a caller's connection: {error}");
            }
        }
    }
}

async fn dispatch_by_port(
    front: web::Data<WorkerState>,
    shared: web::Data<Shared>,
    telemetry: web::Data<Telemetry>,
    http: HttpRequest,
    payload: web::Payload,
) -> HttpResponse {
    let port = http.app_config().local_addr().port();
    let settings = shared.settings();
    if port == settings.caller_address.port() {
        // A request that arrived before its connection was shut must not run.
        if http.conn_data::<CallerConnection>().is_none() {
            return refuse::response(&refuse::host_crowded(), true);
        }
        return serve::serve(front, http, payload).await;
    }
    if port == settings.ready_address.port() {
        return ready(&shared);
    }
    if port == settings.metrics_address.port() {
        return HttpResponse::Ok().body(metrics_page(&shared, &telemetry));
    }
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
}

fn ready(shared: &Shared) -> HttpResponse {
    shared.check_suspension();
    match shared.is_ready() {
        true => HttpResponse::Ok().finish(),
        false => HttpResponse::ServiceUnavailable().finish(),
    }
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

/// Removes expired state at an interval. Never returns.
async fn expire_state(shared: Shared) {
    loop {
        tick(EXPIRY_INTERVAL).await;
        shared.check_suspension();
        let now = shared.now();
        shared.loads().with(|loads| loads.expire(now));
        shared.expire_unconfirmed();
        shared.review_suspects();
        shared.review_rollouts();
        shared.review_failures();
        let gone = shared.directory(|directory| directory.expire(now));
        shared.record_expired(gone);
        shared.expire_evacuations();
        shared.expire_cold_sends();
        shared.expire_reported_loads();
        shared.expire_speeds();
        shared.expire_limits();
        shared.log_relayed_changes();
        shared.check_partition();
        shared.track_newer_version();
    }
}

/// Closes idle connections to upstreams at an interval. Never returns.
async fn close_idle(front: WorkerState) {
    loop {
        tick(EXPIRY_INTERVAL).await;
        front.pool.borrow_mut().close_expired();
    }
}

/// Runs the upkeep of metrics at an interval, which bounds their memory. Never returns.
async fn run_upkeep(telemetry: Telemetry) {
    loop {
        tokio::time::sleep(Duration::from_millis(UPKEEP_INTERVAL_MS)).await;
        telemetry.upkeep();
    }
}
