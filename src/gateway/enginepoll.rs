//! Polls engines for their leaving while no host of the data centre can read the log.
//!
//! Leaving notices arrive by the log. Engines also leave during a log outage, and the runs on them would be
//! lost without notice. Their own reports say that they are leaving, half a second late. Each engine is
//! polled by one host of its data centre, chosen by rendezvous hashing over the live hosts; where two hosts
//! choose themselves, the engine gets one more call. While the log can be read no engine is polled, since
//! calls cost engines time.

use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;

use crate::event::EventCode;
use crate::gateway::dial;
use crate::gateway::dial::DialOptions;
use crate::gateway::directory::Upstream;
use crate::gateway::instance::InstanceId;
use crate::gateway::internalclient::InternalClient;
use crate::gateway::protocol::EngineReport;
use crate::gateway::protocol::Topic;
use crate::gateway::reachability::Path;
use crate::gateway::rendezvous;
use crate::gateway::shared::Shared;
use crate::gateway::ticks::tick;
use crate::id::HostId;

/// Engines give at least 1.5 s of notice and their reports are half a second old, so most of a second is
/// left to move runs.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// An engine of the same data centre that doesn't answer within this time counts as unreachable.
const POLL_TIMEOUT: Duration = Duration::from_millis(200);

/// Polls engines whenever the log can't be read. Never returns.
pub async fn run(shared: Shared) {
    loop {
        tick(POLL_INTERVAL).await;
        if !shared.follows_topic(Topic::Upstreams) {
            let engines = engines_to_poll(&shared);
            join_all(engines.iter().map(|engine| poll(&shared, engine))).await;
        }
    }
}

/// The engines of this data centre that have work and that this host polls.
fn engines_to_poll(shared: &Shared) -> Vec<Arc<Upstream>> {
    let Some(configuration) = shared.configuration() else {
        return Vec::new();
    };
    let settings = shared.settings();
    let now = shared.now();
    let hosts = shared.peers(|peers| peers.live_local(now));
    let ready = shared.directory(|directory| directory.all_ready());
    ready
        .into_iter()
        .filter(|upstream| upstream.data_centre == settings.data_centre)
        .filter(|upstream| configuration.engine(&upstream.service).is_some())
        .filter(|upstream| shared.loads().with(|loads| loads.at(&upstream.id)).requests > 0)
        .filter(|upstream| is_poller(&settings.host, &hosts, &upstream.id))
        .filter(|upstream| shared.hold(now, upstream).is_none())
        .collect()
}

/// Whether `host`, rather than one of `others`, polls the engine.
fn is_poller(host: &HostId, others: &[HostId], engine: &InstanceId) -> bool {
    let others = others.iter().map(HostId::as_str);
    rendezvous::is_first(host.as_str(), others, engine.as_str())
}

async fn poll(shared: &Shared, engine: &Upstream) {
    shared.spend_limit(engine);
    let call = shared.protocol().report_request();
    let Ok(connection) = dial::open(shared, engine, &DialOptions::INTERNAL).await else {
        return;
    };
    let path = match connection.carrier() {
        None => Path::Direct,
        Some(_) => Path::Carried,
    };
    let mut client = InternalClient::over(engine.address, connection);
    match client.call(&call, POLL_TIMEOUT).await {
        Ok((200, body)) => handle_report(shared, engine, &body),
        Ok((status, _)) => log_missing_report(shared, engine, &format!("status {status}")),
        Err(error) => shared.record_unreachable(&engine.id, &error.to_string(), path),
    }
}

fn handle_report(shared: &Shared, engine: &Upstream, body: &[u8]) {
    match shared.protocol().decode_report(body) {
        Ok(report) if report.leaving => {
            shared.observe_leaving(&reporting_instance(&engine.id, &report), "its own report");
        }
        Ok(_) => {}
        Err(error) => log_missing_report(shared, engine, &error.to_string()),
    }
}

/// The instance that sent the report, which may be a later one than the instance polled.
fn reporting_instance(polled: &InstanceId, report: &EngineReport) -> InstanceId {
    let born_ms = report.born_ms.or(polled.born_ms());
    InstanceId::new(polled.upstream().clone(), born_ms)
}

/// Logs that a poll gave no readable report. Such an engine doesn't count as leaving.
fn log_missing_report(shared: &Shared, engine: &Upstream, reason: &str) {
    let line = shared.log().entry(EventCode::RecordSkipped);
    line.with("source", "an engine's report")
        .with("upstream", engine.id.as_str())
        .with("reason", reason)
        .write();
}

#[cfg(test)]
mod tests;
