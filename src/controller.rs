//! Composes an entry host from its parts.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix_web::App;
use actix_web::HttpServer;
use actix_web::dev::ServerHandle;
use actix_web::web;
use socket2::SockRef;
use tokio::sync::Notify;

use crate::allowances::AllowanceParts;
use crate::allowances::Allowances;
use crate::board::StatusBoard;
use crate::claims::ClaimHandle;
use crate::claims::ClaimParts;
use crate::clock::SystemClock;
use crate::clock::wall_ms;
use crate::config::ConfigHandle;
use crate::dispatch::Dispatcher;
use crate::engine::EngineClient;
use crate::error::Result;
use crate::event::EventCode;
use crate::gate::Gate;
use crate::hostlist;
use crate::id::Incarnation;
use crate::inspect;
use crate::inspect::Inspection;
use crate::journal::DEFAULT_CAPACITY;
use crate::journal::Journal;
use crate::journal::Subject;
use crate::limits::LimitHandle;
use crate::logstream::LogHandle;
use crate::peers::PeersHandle;
use crate::peerserver;
use crate::peerserver::PeersStart;
use crate::peerserver::RunningPeers;
use crate::plain::PlainClient;
use crate::retries::RetryBudgets;
use crate::server;
use crate::server::ServerState;
use crate::session::SessionContext;
use crate::settings::EntrySettings;
use crate::shutdown;
use crate::shutdown::Signals;
use crate::shutdown::Stopped;
use crate::telemetry::Telemetry;
use crate::telemetry::UPKEEP_INTERVAL_MS;
use crate::watch::SlowCallers;

/// The HTTP library's shutdown timeout, in seconds: a year, so that it cuts no stream.
const SERVER_SHUTDOWN_TIMEOUT_S: u64 = 365 * 24 * 3_600;

/// Longest wait for the ends of claims to reach the log, once all requests have ended.
const CLAIM_FLUSH_LIMIT: Duration = Duration::from_secs(2);

/// An entry host that serves.
#[derive(Debug)]
pub struct EntryHost {
    settings: EntrySettings,
    caller_address: SocketAddr,
    peers: RunningPeers,
    journal: Journal,
    claims: ClaimHandle,
    gate: Arc<Gate>,
    drain: Arc<Notify>,
    server: ServerHandle,
}

impl EntryHost {
    /// Opens the host's sockets and serves in the background.
    ///
    /// # Errors
    ///
    /// [`crate::error::Error::Io`] if a socket can't be opened.
    pub async fn start(settings: EntrySettings) -> Result<Self> {
        let incarnation = Incarnation(wall_ms());
        let seed = incarnation.0;
        let clock = SystemClock::new();
        let journal = journal_of(&settings, incarnation, clock);
        let log = log_of(&settings, incarnation);
        let config = ConfigHandle::start(
            log.clone(),
            journal.clone(),
            settings.host.clone(),
            settings.config.clone(),
            seed,
        );
        EntryHost::open(settings, incarnation, log, config, journal, clock)
    }

    /// The same with a configuration that is followed elsewhere.
    ///
    /// # Errors
    ///
    /// [`crate::error::Error::Io`] if a socket can't be opened.
    pub async fn start_with(settings: EntrySettings, config: ConfigHandle) -> Result<Self> {
        let incarnation = Incarnation(wall_ms());
        let clock = SystemClock::new();
        let journal = journal_of(&settings, incarnation, clock);
        let log = log_of(&settings, incarnation);
        EntryHost::open(settings, incarnation, log, config, journal, clock)
    }

    fn open(
        settings: EntrySettings,
        incarnation: Incarnation,
        log: LogHandle,
        config: ConfigHandle,
        journal: Journal,
        clock: SystemClock,
    ) -> Result<Self> {
        let gate = Gate::new();
        let drain = Arc::new(Notify::new());
        let caller_listener = listen(&settings)?;
        let peer_listener = TcpListener::bind(&settings.peer_address)?;
        let caller_address = caller_listener.local_addr()?;
        let claims = ClaimHandle::start(
            ClaimParts {
                log,
                journal: journal.clone(),
                clock,
                host: settings.host.clone(),
                incarnation,
            },
            settings.claims.clone(),
        );
        let peers = peerserver::start(PeersStart {
            options: settings.peering.clone(),
            host: settings.host.clone(),
            incarnation,
            data_centre: settings.data_centre.clone(),
            listener: peer_listener,
            known: settings.peers.clone(),
            clock,
            journal: journal.clone(),
            config: Arc::new(config.clone()),
        })?;
        config.share_duty(&peers.handle);
        let dispatcher = Dispatcher::start(
            settings.dispatch.clone(),
            config.clone(),
            peers.handle.clone(),
            journal.clone(),
            clock,
        );
        actix_rt::spawn(hostlist::follow(
            settings.host_list,
            settings.platform_address.clone(),
            peers.handle.clone(),
            dispatcher.clone(),
        ));
        let board = board(&settings, incarnation, &config, &gate);
        report_peers(&board, &peers.handle, &dispatcher, clock);
        let limits = LimitHandle::new(settings.limits.clone(), clock);
        report_limits(&board, &limits);
        Allowances::launch(
            AllowanceParts {
                limits: limits.clone(),
                peers: peers.handle.clone(),
                config: config.clone(),
                clock,
                journal: journal.clone(),
            },
            settings.limits.lending.clone(),
        );
        let parts = Parts {
            claims: claims.clone(),
            dispatcher,
            settings: settings.clone(),
            config: config.clone(),
            journal: journal.clone(),
            clock,
            gate: gate.clone(),
            limits,
            retries: RetryBudgets::default(),
            board,
            telemetry: Telemetry::install(),
            drain: drain.clone(),
        };
        actix_rt::spawn(keep_up(parts.telemetry.clone()));
        let server = serve(parts, caller_listener)?;
        let detail = format!("caller={caller_address}");
        journal.record(EventCode::ProcessStarted, Subject::none().detail(detail));
        Ok(EntryHost {
            settings,
            caller_address,
            peers,
            journal,
            claims,
            gate,
            drain,
            server,
        })
    }

    /// Where callers connect.
    pub fn caller_address(&self) -> SocketAddr {
        self.caller_address
    }

    /// Where the other entry hosts connect.
    pub fn peer_address(&self) -> SocketAddr {
        self.peers.address
    }

    /// Waits for a signal and shuts down.
    pub async fn run(self, signals: Signals) -> Stopped {
        let stopped = shutdown::wait(
            signals,
            &self.drain,
            &self.settings.shutdown,
            &self.gate,
            &self.server,
            &self.journal,
            || self.peers.handle.leave(),
        )
        .await;
        if stopped == Stopped::Drained {
            self.claims.flush(CLAIM_FLUSH_LIMIT).await;
        }
        stopped
    }

    /// Stops after everything in flight has ended.
    pub async fn stop(self) {
        self.gate.shut();
        self.server.stop(true).await;
        self.claims.flush(CLAIM_FLUSH_LIMIT).await;
    }
}

/// What the workers are made from.
#[derive(Clone)]
struct Parts {
    settings: EntrySettings,
    config: ConfigHandle,
    claims: ClaimHandle,
    journal: Journal,
    clock: SystemClock,
    gate: Arc<Gate>,
    dispatcher: Dispatcher,
    limits: LimitHandle,
    retries: RetryBudgets,
    board: StatusBoard,
    telemetry: Telemetry,
    drain: Arc<Notify>,
}

impl Parts {
    /// The operators' calls of one worker thread.
    fn inspection(&self) -> Inspection {
        let drain = self.drain.clone();
        Inspection {
            board: self.board.clone(),
            telemetry: self.telemetry.clone(),
            operator_token_sha256: self.settings.operator_token_sha256.clone(),
            drain: Rc::new(move || drain.notify_one()),
        }
    }

    /// The state of one worker thread.
    fn worker_state(&self) -> ServerState {
        let options = &self.settings.server;
        let slow_caller_timeout = Duration::from_millis(options.slow_caller_timeout_ms);
        ServerState {
            host: self.settings.host.clone(),
            config: self.config.clone(),
            context: SessionContext {
                dispatcher: self.dispatcher.clone(),
                engine: EngineClient::new(self.settings.engine.clone()),
                journal: self.journal.clone(),
                clock: self.clock,
                relay: self.settings.relay.clone(),
                retries: self.retries.clone(),
                gate: self.gate.clone(),
            },
            plain: PlainClient::new(&self.settings.engine, options.plain_answer_bytes_max),
            claims: self.claims.clone(),
            limits: self.limits.clone(),
            slow_callers: SlowCallers::start(slow_caller_timeout),
            options: options.clone(),
            gate: self.gate.clone(),
        }
    }
}

fn log_of(settings: &EntrySettings, incarnation: Incarnation) -> LogHandle {
    LogHandle::start(
        &settings.platform_address,
        &settings.data_centre,
        settings.log.clone(),
        incarnation.0,
    )
}

fn journal_of(settings: &EntrySettings, incarnation: Incarnation, clock: SystemClock) -> Journal {
    Journal::new(settings.host.clone(), incarnation, clock, DEFAULT_CAPACITY)
}

/// The parts of the status that the controller itself knows.
fn board(
    settings: &EntrySettings,
    incarnation: Incarnation,
    config: &ConfigHandle,
    gate: &Arc<Gate>,
) -> StatusBoard {
    let data_centre = settings.data_centre.clone();
    let board = StatusBoard::new(settings.host.clone(), data_centre, incarnation);
    let config = config.clone();
    let gate = gate.clone();
    board.add(move |status| {
        let state = config.state();
        status.streams_open = gate.in_flight() as u64;
        if gate.is_shutting_down() {
            status
                .not_ready
                .push("the host is shutting down".to_owned());
        }
        status.config = config.status();
        if !state.is_ready {
            status.not_ready.push(state.reason);
        }
    });
    board
}

/// The parts of the status that peers and dispatch know.
fn report_peers(
    board: &StatusBoard,
    peers: &PeersHandle,
    dispatcher: &Dispatcher,
    clock: SystemClock,
) {
    let peers = peers.clone();
    let dispatcher = dispatcher.clone();
    board.add(move |status| {
        let view = dispatcher.view();
        status.requests_waiting = view.waiting as u64;
        status.upstreams = view.upstreams;
        status.peers = peers.status(clock.now());
    });
}

/// Limits near their bound.
fn report_limits(board: &StatusBoard, limits: &LimitHandle) {
    let limits = limits.clone();
    board.add(move |status| limits.fill_status(status));
}

/// Keeps the memory of metrics bounded.
async fn keep_up(telemetry: Telemetry) {
    loop {
        tokio::time::sleep(Duration::from_millis(UPKEEP_INTERVAL_MS)).await;
        telemetry.upkeep();
    }
}

/// Connections inherit the listener's send buffer, which bounds what waits for a slow caller.
fn listen(settings: &EntrySettings) -> Result<TcpListener> {
    let listener = TcpListener::bind(&settings.caller_address)?;
    let send_buffer_bytes = settings.server.send_buffer_bytes;
    if send_buffer_bytes > 0 {
        SockRef::from(&listener).set_send_buffer_size(send_buffer_bytes)?;
    }
    Ok(listener)
}

/// Half-closed connections are not allowed: a caller who closes has left, and its generation is
/// cancelled.
fn serve(parts: Parts, listener: TcpListener) -> Result<ServerHandle> {
    let workers = parts.settings.server.workers;
    let head_timeout = Duration::from_millis(parts.settings.server.head_timeout_ms);
    let factory = move || {
        let state = Rc::new(parts.worker_state());
        App::new()
            .app_data(web::Data::new(state))
            .configure(|config| inspect::routes(config, parts.inspection()))
            .configure(server::routes)
    };
    let mut server = HttpServer::new(factory)
        .disable_signals()
        .client_request_timeout(head_timeout)
        .tcp_nodelay(true)
        .h1_allow_half_closed(false)
        .shutdown_timeout(SERVER_SHUTDOWN_TIMEOUT_S);
    if workers > 0 {
        server = server.workers(workers);
    }
    let server = server.listen(listener)?.run();
    let handle = server.handle();
    actix_rt::spawn(server);
    Ok(handle)
}
