//! Settings of the programs: JSON, every field documented, unknown fields refused.
//!
//! Each module that decides something declares its own options, with their defaults; the settings
//! of a program put them together.

use std::fs;
use std::path::Path;

use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::claimstep::ClaimOptions;
use crate::config::ConfigOptions;
use crate::dispatch::DispatchOptions;
use crate::engine::EngineOptions;
use crate::error::Error;
use crate::error::Result;
use crate::hostlist::HostListOptions;
use crate::id::DataCentre;
use crate::id::HostId;
use crate::limits::LimitOptions;
use crate::logstream::LogOptions;
use crate::peers::PeersOptions;
use crate::relay::RelayOptions;
use crate::server::ServerOptions;
use crate::shutdown::ShutdownOptions;

/// Settings of `cedargauge-entry`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// This host's name, unique in the deployment.
    pub host: HostId,
    /// The data centre it stands in.
    pub data_centre: DataCentre,
    /// Address and port for callers; port 0 takes a free one.
    pub caller_address: String,
    /// Address and port for the other entry hosts; port 0 takes a free one.
    pub peer_address: String,
    /// Address and port of the platform.
    pub platform_address: String,
    /// Peer addresses of other entry hosts to ask while the platform is down.
    #[serde(default)]
    pub peers: Vec<String>,
    /// How the platform's log is used.
    #[serde(default)]
    pub log: LogOptions,
    /// How the configuration is kept.
    #[serde(default)]
    pub config: ConfigOptions,
    /// SHA-256 of the operators' token in hexadecimal; without it `POST /drain` is refused.
    #[serde(default)]
    pub operator_token_sha256: Option<String>,
    /// Bounds of what callers may send.
    #[serde(default)]
    pub server: ServerOptions,
    /// Timeouts towards upstreams.
    #[serde(default)]
    pub engine: EngineOptions,
    /// How customers' limits are enforced and shared.
    #[serde(default)]
    pub limits: LimitOptions,
    /// How patient the relay is.
    #[serde(default)]
    pub relay: RelayOptions,
    /// How claims on idempotency keys are made.
    #[serde(default)]
    pub claims: ClaimOptions,
    /// How the host stops.
    #[serde(default)]
    pub shutdown: ShutdownOptions,
    /// Heartbeats and links to the other entry hosts.
    #[serde(default)]
    pub peering: PeersOptions,
    /// Queues, grants and spill.
    #[serde(default)]
    pub dispatch: DispatchOptions,
    /// Look-ups of the platform's host list.
    #[serde(default)]
    pub host_list: HostListOptions,
}

/// Reads and checks a settings file.
///
/// # Errors
///
/// [`Error::File`] if it cannot be read, [`Error::Invalid`] with the field's path if its content
/// is refused.
pub fn read<S: DeserializeOwned>(path: &Path) -> Result<S> {
    let text = fs::read_to_string(path).map_err(|source| Error::File {
        path: path.display().to_string(),
        source,
    })?;
    parse(&text)
}

/// Parses settings from JSON text.
///
/// # Errors
///
/// [`Error::Invalid`] with the path of the field that is refused.
pub fn parse<S: DeserializeOwned>(text: &str) -> Result<S> {
    let deserializer = &mut serde_json::Deserializer::from_str(text);
    serde_path_to_error::deserialize(deserializer).map_err(|error| Error::Invalid {
        faults: vec![format!("{}: {}", error.path(), error.inner())],
    })
}
