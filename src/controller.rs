//! Composes an entry host from its parts.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::rc::Rc;
use std::sync::Arc;

use actix_web::App;
use actix_web::HttpServer;
use actix_web::dev::ServerHandle;
use actix_web::web;

use crate::clock::SystemClock;
use crate::clock::wall_ms;
use crate::config::ConfigHandle;
use crate::dispatch::Dispatcher;
use crate::engine::EngineClient;
use crate::error::Result;
use crate::event::EventCode;
use crate::id::Incarnation;
use crate::journal::DEFAULT_CAPACITY;
use crate::journal::Journal;
use crate::journal::Subject;
use crate::logstream::LogHandle;
use crate::server;
use crate::server::Gate;
use crate::server::ServerState;
use crate::session::SessionContext;
use crate::settings::EntrySettings;
use crate::shutdown;
use crate::shutdown::Signals;
use crate::shutdown::Stopped;

/// The HTTP library's shutdown timeout, in seconds: a year, so that it cuts no stream.
const SERVER_SHUTDOWN_TIMEOUT_S: u64 = 365 * 24 * 3_600;

/// An entry host that serves.
#[derive(Debug)]
pub struct EntryHost {
    settings: EntrySettings,
    caller_address: SocketAddr,
    peer_listener: TcpListener,
    journal: Journal,
    gate: Arc<Gate>,
    server: ServerHandle,
}

impl EntryHost {
    /// Opens the host's sockets and serves in the background.
    ///
    /// # Errors
    ///
    /// [`crate::error::Error::Io`] if a socket can't be opened.
    pub async fn start(settings: EntrySettings) -> Result<Self> {
        let seed = wall_ms();
        let clock = SystemClock::new();
        let journal = journal_of(&settings, clock);
        let log = LogHandle::start(
            &settings.platform_address,
            &settings.data_centre,
            settings.log.clone(),
            seed,
        );
        let config = ConfigHandle::start(
            log,
            journal.clone(),
            settings.host.clone(),
            settings.config.clone(),
            seed,
        );
        EntryHost::open(settings, config, journal, clock)
    }

    /// The same with a configuration that is followed elsewhere.
    ///
    /// # Errors
    ///
    /// [`crate::error::Error::Io`] if a socket can't be opened.
    pub async fn start_with(settings: EntrySettings, config: ConfigHandle) -> Result<Self> {
        let clock = SystemClock::new();
        let journal = journal_of(&settings, clock);
        EntryHost::open(settings, config, journal, clock)
    }

    fn open(
        settings: EntrySettings,
        config: ConfigHandle,
        journal: Journal,
        clock: SystemClock,
    ) -> Result<Self> {
        let gate = Gate::new();
        let caller_listener = TcpListener::bind(&settings.caller_address)?;
        let peer_listener = TcpListener::bind(&settings.peer_address)?;
        let caller_address = caller_listener.local_addr()?;
        let parts = Parts {
            dispatcher: dispatcher(&config),
            settings: settings.clone(),
            config,
            journal: journal.clone(),
            clock,
            gate: gate.clone(),
        };
        let server = serve(parts, caller_listener)?;
        let detail = format!("caller={caller_address}");
        journal.record(EventCode::ProcessStarted, Subject::none().detail(detail));
        Ok(EntryHost {
            settings,
            caller_address,
            peer_listener,
            journal,
            gate,
            server,
        })
    }

    /// Where callers connect.
    pub fn caller_address(&self) -> SocketAddr {
        self.caller_address
    }

    /// Where the other entry hosts connect.
    ///
    /// # Errors
    ///
    /// [`crate::error::Error::Io`] if the system doesn't tell.
    pub fn peer_address(&self) -> Result<SocketAddr> {
        Ok(self.peer_listener.local_addr()?)
    }

    /// Waits for a signal and shuts down.
    pub async fn run(self, signals: Signals) -> Stopped {
        shutdown::wait(
            signals,
            &self.settings.shutdown,
            &self.gate,
            &self.server,
            &self.journal,
        )
        .await
    }

    /// Stops after everything in flight has ended.
    pub async fn stop(self) {
        self.gate.shut();
        self.server.stop(true).await;
    }
}

/// What the workers are made from.
#[derive(Clone)]
struct Parts {
    settings: EntrySettings,
    config: ConfigHandle,
    journal: Journal,
    clock: SystemClock,
    gate: Arc<Gate>,
    dispatcher: Dispatcher,
}

impl Parts {
    /// The state of one worker thread.
    fn worker_state(&self) -> ServerState {
        ServerState {
            host: self.settings.host.clone(),
            config: self.config.clone(),
            context: SessionContext {
                dispatcher: self.dispatcher.clone(),
                engine: EngineClient::new(self.settings.engine.clone()),
                journal: self.journal.clone(),
                clock: self.clock,
                relay: self.settings.relay.clone(),
            },
            options: self.settings.server.clone(),
            gate: self.gate.clone(),
        }
    }
}

fn journal_of(settings: &EntrySettings, clock: SystemClock) -> Journal {
    let incarnation = Incarnation(wall_ms());
    Journal::new(settings.host.clone(), incarnation, clock, DEFAULT_CAPACITY)
}

fn dispatcher(config: &ConfigHandle) -> Dispatcher {
    let config = config.clone();
    Dispatcher::new(Arc::new(move || config.table()))
}

/// Half-closed connections are not allowed: a caller who closes has left, and its generation is
/// cancelled.
fn serve(parts: Parts, listener: TcpListener) -> Result<ServerHandle> {
    let workers = parts.settings.server.workers;
    let factory = move || {
        let state = Rc::new(parts.worker_state());
        App::new()
            .app_data(web::Data::new(state))
            .configure(server::routes)
    };
    let mut server = HttpServer::new(factory)
        .disable_signals()
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
