//! The whole path in one process: platform, engines, a plain service and one entry host.

use std::net::SocketAddr;
use std::time::Duration;

use actix_web::rt;
use actix_web::rt::time::sleep;
use awc::Client;

use crate::controller::EntryHost;
use crate::error::Error;
use crate::error::Result;
use crate::id::DataCentre;
use crate::id::UpstreamId;
use crate::platform::HostKind;
use crate::platform::HostList;
use crate::platform::HostState;
use crate::platform::ListedHost;
use crate::row::Row;
use crate::row::UpstreamRow;
use crate::settings;
use crate::settings::EntrySettings;
use crate::shutdown::Signals;
use crate::shutdown::Stopped;
use crate::standin::Served;
use crate::standin_engine;
use crate::standin_engine::EngineOptions;
use crate::standin_platform;
use crate::standin_platform::PlatformOptions;
use crate::standin_service;
use crate::standin_table::DEMO_KEY;
use crate::standin_table::INSPECTION;
use crate::standin_table::small_table;

const ANY_PORT: &str = "127.0.0.1:0";
const DATA_CENTRE: &str = "dc-0";
const ENGINES: u64 = 3;
const READY_POLLS: u32 = 500;
const READY_POLL_EVERY: Duration = Duration::from_millis(20);

/// A running demo.
#[derive(Debug)]
pub struct Demo {
    host: EntryHost,
}

impl Demo {
    /// Starts everything; callers are served at `caller_address`. Ready when it returns.
    ///
    /// # Errors
    ///
    /// A socket could not be opened, or the entry host did not get ready.
    pub async fn start(caller_address: &str) -> Result<Self> {
        let engines = (0..ENGINES).map(start_engine).collect::<Result<Vec<_>>>()?;
        let services = vec![run(standin_service::serve(ANY_PORT)?)];
        let rows = small_table(upstreams(&engines), upstreams(&services));
        let platform = run(standin_platform::serve(platform_options(rows))?);
        let settings = entry_settings(caller_address, platform)?;
        let host = EntryHost::start(settings).await?;
        let upstreams = engines.iter().chain(&services).copied();
        register(platform, host_list(upstreams, host.peer_address())).await?;
        let demo = Demo { host };
        demo.wait_ready().await?;
        Ok(demo)
    }

    /// Where callers connect.
    pub fn caller_address(&self) -> SocketAddr {
        self.host.caller_address()
    }

    /// A command that streams an answer.
    pub fn curl_line(&self) -> String {
        format!(
            "curl -N http://{}/v1/completions -H 'Authorization: Bearer {DEMO_KEY}' \
             -H 'Content-Type: application/json' -d '{{\"model\": \"{INSPECTION}\", \
             \"prompt\": \"Report on the snow nets above the village\", \"stream\": true}}'",
            self.caller_address()
        )
    }

    /// Serves until a signal, then until everything in flight has ended.
    pub async fn run(self, signals: Signals) -> Stopped {
        self.host.run(signals).await
    }

    async fn wait_ready(&self) -> Result<()> {
        let url = format!("http://{}/readyz", self.caller_address());
        let client = Client::default();
        for _ in 0..READY_POLLS {
            let answer = client.get(&url).send().await;
            if answer.is_ok_and(|answer| answer.status().is_success()) {
                return Ok(());
            }
            sleep(READY_POLL_EVERY).await;
        }
        Err(Error::Remote {
            peer: url,
            reason: "the entry host did not get ready".to_owned(),
        })
    }
}

fn start_engine(seed: u64) -> Result<SocketAddr> {
    let options = EngineOptions {
        seed,
        ..EngineOptions::default()
    };
    Ok(run(standin_engine::serve(options)?))
}

/// Serves in the background.
fn run(served: Served) -> SocketAddr {
    rt::spawn(served.server);
    served.address
}

fn platform_options(rows: Vec<Row>) -> PlatformOptions {
    PlatformOptions {
        rows,
        ..PlatformOptions::default()
    }
}

fn upstreams(addresses: &[SocketAddr]) -> Vec<UpstreamRow> {
    addresses
        .iter()
        .map(|address| UpstreamRow {
            upstream: UpstreamId::new(address.to_string()),
            data_centre: DataCentre::new(DATA_CENTRE),
            checks_fence: true,
        })
        .collect()
}

/// The settings as a file would give them, so that the other fields take their defaults.
fn entry_settings(caller_address: &str, platform: SocketAddr) -> Result<EntrySettings> {
    let json = serde_json::json!({
        "host": "demo",
        "data_centre": DATA_CENTRE,
        "caller_address": caller_address,
        "peer_address": ANY_PORT,
        "platform_address": platform.to_string(),
        "shutdown": { "drain_accept_ms": 0 },
    });
    settings::parse(&json.to_string())
}

fn host_list(upstreams: impl Iterator<Item = SocketAddr>, entry: SocketAddr) -> HostList {
    let listed = |address: SocketAddr, kind| ListedHost {
        address: address.to_string(),
        kind,
        data_centre: DataCentre::new(DATA_CENTRE),
        state: HostState::Live,
    };
    HostList {
        hosts: upstreams
            .map(|address| listed(address, HostKind::Upstream))
            .chain([listed(entry, HostKind::Entry)])
            .collect(),
    }
}

async fn register(platform: SocketAddr, hosts: HostList) -> Result<()> {
    let url = format!("http://{platform}/admin/hosts");
    let sent = Client::default().post(&url).send_json(&hosts).await;
    sent.map(|_| ()).map_err(|error| Error::Remote {
        peer: url,
        reason: error.to_string(),
    })
}
