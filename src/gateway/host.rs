//! Starts the parts of a gateway host, serves its addresses and shuts it down.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use actix_server::ServerHandle;
use tokio::net::TcpListener;
use tokio::net::UdpSocket;
use tokio::time::Instant;

use crate::error::Result;
use crate::event::EventCode;
use crate::gateway::clientwatch;
use crate::gateway::enginepoll;
use crate::gateway::follow;
use crate::gateway::gossip;
use crate::gateway::hostlisting;
use crate::gateway::httpserver;
use crate::gateway::joining;
use crate::gateway::memorywatch;
use crate::gateway::process::ReadSettings;
use crate::gateway::process::Signals;
use crate::gateway::protocol::Topic;
use crate::gateway::rolloutstatus;
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
use crate::telemetry::Telemetry;
use crate::telemetry::UPKEEP_INTERVAL_MS;

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
        let server = httpserver::start(&shared, &telemetry, listeners).await?;
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
    supervise_task(shared, "watch clients", clientwatch::run);
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

/// Runs the upkeep of metrics at an interval, which bounds their memory. Never returns.
async fn run_upkeep(telemetry: Telemetry) {
    loop {
        tokio::time::sleep(Duration::from_millis(UPKEEP_INTERVAL_MS)).await;
        telemetry.upkeep();
    }
}
