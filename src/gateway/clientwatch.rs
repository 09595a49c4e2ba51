//! Ends connections of clients that exceed a timeout, and tells how many were ended and why.

use std::time::Duration;

use tokio::time::Instant;

use crate::event::EventCode;
use crate::gateway::callerconnections::CallerConnections;
use crate::gateway::httpserver::InternalPort;
use crate::gateway::shared::Shared;
use crate::gateway::ticks::tick;
use crate::telemetry;

/// Interval between two checks.
const INTERVAL: Duration = Duration::from_millis(250);

/// Checks the connections of all addresses at an interval. Never returns.
pub(crate) async fn run(shared: Shared) {
    let mut checked_at = Instant::now();
    loop {
        tick(INTERVAL).await;
        let now = Instant::now();
        let late = now.saturating_duration_since(checked_at + INTERVAL);
        checked_at = now;
        if let Some(configuration) = shared.configuration() {
            shared.caller_connections().set_limits(configuration.limits);
        }
        check(&shared, shared.caller_connections(), "callers", late);
        for port in InternalPort::ALL {
            check(
                &shared,
                shared.internal_connections(port),
                port.name(),
                late,
            );
        }
    }
}

fn check(shared: &Shared, connections: &CallerConnections, port: &'static str, late: Duration) {
    connections.end_overdue(Instant::now(), late);
    for (reason, count) in connections.take_ended() {
        telemetry::count_ended_connections(reason.name(), count);
        let line = shared.log().entry(EventCode::ConnectionsEnded);
        line.with("port", port)
            .with("reason", reason.name())
            .with("connections", count)
            .with("open", connections.count())
            .write();
    }
}
