//! Runs a host as a process: from its settings to its exit code.
//!
//! What keeps a host from starting often ends by itself: its settings are being written, or the process before it
//! still holds an address. So a start is tried again for a while, and each process says why it ends.

use std::panic;
use std::panic::AssertUnwindSafe;
use std::process::ExitCode;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::time::Instant;

use crate::clock::SystemClock;
use crate::clock::wall_ms;
use crate::event::EventCode;
use crate::gateway::connection::SystemConnector;
use crate::gateway::decisions::DecisionLog;
use crate::gateway::host::Ended;
use crate::gateway::host::GatewayHost;
use crate::gateway::panics::log_panics;
use crate::gateway::protocol::Protocol;
use crate::gateway::settings::GatewaySettings;
use crate::gateway::shared::Environment;
use crate::id::Incarnation;

/// Time for which a start is tried again: longer than any process before takes to end.
const START_TIME_MAX: Duration = Duration::from_secs(30);
/// Pause between two attempts.
const START_RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Interval at which an unchanged reason is logged again.
const REASON_INTERVAL: Duration = Duration::from_secs(5);

/// Reads the settings.
pub type ReadSettings = Rc<dyn Fn() -> anyhow::Result<GatewaySettings>>;

/// Why a process ends.
#[derive(Debug)]
enum Ending {
    Served(Ended),
    /// The reason that kept the host from starting for [`START_TIME_MAX`].
    NotStarted(String),
    /// The same of a host that was told to stop before.
    Stopped(String),
    Panicked,
}

impl Ending {
    fn reason(&self) -> String {
        match self {
            Ending::Served(Ended::Drained) => "told to stop; all requests ended".to_owned(),
            Ending::Served(Ended::Cut) => "told to stop; the grace period ended".to_owned(),
            Ending::NotStarted(reason) => format!("can't start: {reason}"),
            Ending::Stopped(reason) => format!("told to stop before it could start: {reason}"),
            Ending::Panicked => "the main thread panicked".to_owned(),
        }
    }

    const fn exit_code(&self) -> u8 {
        match self {
            Ending::Served(Ended::Drained) => 0,
            Ending::Served(Ended::Cut)
            | Ending::NotStarted(_)
            | Ending::Stopped(_)
            | Ending::Panicked => 1,
        }
    }
}

/// Runs a host until it is told to stop.
pub fn run(protocol: Arc<dyn Protocol>, read_settings: ReadSettings) -> ExitCode {
    let clock = SystemClock::new();
    let log = DecisionLog::start(Incarnation(wall_ms()), clock);
    log_panics(&log);
    let environment = Environment {
        protocol,
        clock,
        log: log.clone(),
        connector: Arc::new(SystemConnector),
    };
    let serving = || actix_rt::System::new().block_on(serve(&environment, read_settings));
    let ending = panic::catch_unwind(AssertUnwindSafe(serving)).unwrap_or(Ending::Panicked);
    let code = ending.exit_code();
    let line = log.entry(EventCode::ProcessEnded);
    line.with("reason", ending.reason())
        .with("exit_code", code)
        .write();
    log.flush();
    ExitCode::from(code)
}

async fn serve(environment: &Environment, read_settings: ReadSettings) -> Ending {
    // Without handlers a signal would end the process and whatever it has read.
    let mut signals = match Signals::listen() {
        Ok(signals) => signals,
        Err(error) => return Ending::NotStarted(error.to_string()),
    };
    let mut delay = StartDelay::new(environment.log.clone());
    match start(environment, &read_settings, &mut delay, &mut signals).await {
        Some(host) => Ending::Served(host.run(signals).await),
        None if delay.is_over() => Ending::NotStarted(delay.reason),
        None => Ending::Stopped(delay.reason),
    }
}

/// Starts the host, and tries again until it starts, [`START_TIME_MAX`] is over or the process is told to stop. An attempt
/// in progress is not given up, as callers may have connected: a host that has started drains.
async fn start(
    environment: &Environment,
    read_settings: &ReadSettings,
    delay: &mut StartDelay,
    signals: &mut Signals,
) -> Option<GatewayHost> {
    loop {
        match try_start(environment, read_settings).await {
            Ok(host) => return Some(host),
            Err(error) => delay.record(&format!("{error:#}")),
        }
        if delay.is_over() {
            return None;
        }
        tokio::select! {
            () = tokio::time::sleep(START_RETRY_PAUSE) => {}
            () = signals.stop_requested() => return None,
        }
    }
}

async fn try_start(
    environment: &Environment,
    read_settings: &ReadSettings,
) -> anyhow::Result<GatewayHost> {
    let settings = read_settings()?;
    environment.log.set_host(&settings.host);
    let host = GatewayHost::start(settings, environment.clone(), read_settings.clone());
    Ok(host.await?)
}

/// What keeps the host from starting.
#[derive(Debug)]
struct StartDelay {
    log: DecisionLog,
    began: Instant,
    attempts: u64,
    reason: String,
    logged_at: Option<Instant>,
}

impl StartDelay {
    fn new(log: DecisionLog) -> Self {
        StartDelay {
            log,
            began: Instant::now(),
            attempts: 0,
            reason: "it had not tried yet".to_owned(),
            logged_at: None,
        }
    }

    /// Records a failed attempt, and logs it if the reason is new or was last logged a while ago.
    fn record(&mut self, reason: &str) {
        let now = Instant::now();
        self.attempts += 1;
        let is_recent = self
            .logged_at
            .is_some_and(|at| now.saturating_duration_since(at) < REASON_INTERVAL);
        if is_recent && self.reason == reason {
            return;
        }
        reason.clone_into(&mut self.reason);
        self.logged_at = Some(now);
        let tried_ms = now.saturating_duration_since(self.began).as_millis();
        let line = self.log.entry(EventCode::StartDelayed);
        line.with("reason", reason)
            .with("attempts", self.attempts)
            .with("tried_ms", u64::try_from(tried_ms).unwrap_or(u64::MAX))
            .write();
    }

    fn is_over(&self) -> bool {
        self.began.elapsed() >= START_TIME_MAX
    }
}

/// The signals that a host handles.
#[derive(Debug)]
pub struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl Signals {
    /// Handles the signals from now on.
    ///
    /// # Errors
    ///
    /// If a handler can't be installed.
    pub fn listen() -> std::io::Result<Self> {
        Ok(Signals {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hangup: signal(SignalKind::hangup())?,
        })
    }

    /// Returns when the process is told to stop.
    pub async fn stop_requested(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }

    /// Runs `reload` each time the settings are to be read again, until the process is told to stop.
    pub(crate) async fn wait_for_stop(mut self, reload: impl Fn()) {
        loop {
            tokio::select! {
                _ = self.terminate.recv() => return,
                _ = self.interrupt.recv() => return,
                _ = self.hangup.recv() => reload(),
            }
        }
    }
}
