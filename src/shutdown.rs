//! How an entry host stops: not ready at once, everything in flight finishes, then it exits.

use std::time::Duration;

use actix_web::dev::ServerHandle;
use derive_builder::Builder;
use serde::Deserialize;
use serde::Serialize;
use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::sync::Notify;

use crate::error::Result;
use crate::event::EventCode;
use crate::gate::Gate;
use crate::journal::Journal;
use crate::journal::Subject;

/// Streams get this long to end with an explicit failure when the host is forced to stop.
const FORCED_LIMIT: Duration = Duration::from_secs(1);

/// How often it is looked whether they have.
const FORCED_POLL: Duration = Duration::from_millis(10);

/// How the host stops.
#[derive(Debug, Clone, PartialEq, Eq, Builder, Serialize, Deserialize)]
#[builder(default)]
#[serde(default, deny_unknown_fields)]
pub struct ShutdownOptions {
    /// New requests are still accepted for this long after the signal, until the balancer has
    /// noticed, in milliseconds. Default 5,000.
    pub drain_accept_ms: u64,
}

impl Default for ShutdownOptions {
    fn default() -> Self {
        ShutdownOptions {
            drain_accept_ms: 5_000,
        }
    }
}

/// How the host stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stopped {
    /// Everything in flight ended.
    Drained,
    /// A second signal cut what was in flight.
    Forced,
}

/// SIGTERM and SIGINT.
#[derive(Debug)]
pub struct Signals {
    terminate: Signal,
    interrupt: Signal,
}

impl Signals {
    /// Listens from now on.
    ///
    /// # Errors
    ///
    /// [`crate::error::Error::Io`] if the system refuses.
    pub fn listen() -> Result<Self> {
        Ok(Signals {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }

    /// Waits for the next of either.
    pub async fn next(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}

/// Waits for a signal or an operator's order, then for everything in flight or a second signal. The
/// first calls `tell_peers` at once.
pub async fn wait(
    mut signals: Signals,
    ordered: &Notify,
    options: &ShutdownOptions,
    gate: &Gate,
    server: &ServerHandle,
    journal: &Journal,
    tell_peers: impl FnOnce(),
) -> Stopped {
    tokio::select! {
        () = signals.next() => {}
        () = ordered.notified() => {}
    }
    gate.shut();
    tell_peers();
    journal.record(EventCode::ShutdownBegan, in_flight(gate));
    tokio::select! {
        () = drain(options, server) => {
            journal.record(EventCode::ShutdownComplete, Subject::none());
            Stopped::Drained
        }
        () = signals.next() => {
            force(gate, journal).await;
            Stopped::Forced
        }
    }
}

/// The server's own timeout is so long that it cuts no stream.
async fn drain(options: &ShutdownOptions, server: &ServerHandle) {
    tokio::time::sleep(Duration::from_millis(options.drain_accept_ms)).await;
    server.stop(true).await;
}

/// Names the requests that are cut and gives their streams a moment to end with a failure.
async fn force(gate: &Gate, journal: &Journal) {
    journal.record(EventCode::ShutdownForced, in_flight(gate));
    for request in gate.in_flight_ids() {
        journal.record(EventCode::ShutdownForced, Subject::request(request));
    }
    gate.force();
    let ended = async {
        while gate.in_flight() > 0 {
            tokio::time::sleep(FORCED_POLL).await;
        }
    };
    if tokio::time::timeout(FORCED_LIMIT, ended).await.is_err() {
        log::warn!("{} requests were cut without a word", gate.in_flight());
    }
}

fn in_flight(gate: &Gate) -> Subject {
    Subject::none().detail(format!("in_flight={}", gate.in_flight()))
}
