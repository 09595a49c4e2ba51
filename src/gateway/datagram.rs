//! What hosts tell each other in one datagram.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::gateway::directory::Change;
use crate::gateway::loads::Load;
use crate::id::DataCentre;
use crate::id::HostId;
use crate::id::UpstreamId;

/// Largest datagram that crosses a network whole.
pub(crate) const DATAGRAM_BYTES_MAX: usize = 1_400;

/// What a host tells the others.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Datagram {
    /// Its name.
    pub host: HostId,
    /// The version of the configuration that it has in force; 0 for none.
    pub config: u64,
    /// The log's offset up to which it has read the upstreams.
    pub upstreams: u64,
    /// Where it serves what others lack.
    pub peer_port: u16,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Whether it reads the log: what it tells is first-hand and fresh.
    pub reading: bool,
    /// Whether it tried to read the log of late and could not.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub log_away: bool,
    /// A hash over the upstreams that it lists.
    pub upstreams_digest: u64,
    /// The last changes of its upstreams.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub changes: Vec<Change>,
    /// What it runs where; none in a datagram that tells only of turns.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub loads: Option<Vec<(UpstreamId, Load)>>,
    /// Runs that it has still to move off engines that are leaving.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub moving: Vec<(UpstreamId, u32)>,
    /// Upstreams that it saw leaving.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub leaving: Vec<UpstreamId>,
    /// Some other hosts.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub hosts: Vec<SocketAddr>,
    /// Whether it is shutting down and counts no more.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub stopping: bool,
}

impl Datagram {
    pub(crate) fn of_turns_only(&self) -> Datagram {
        Datagram {
            changes: Vec::new(),
            loads: None,
            hosts: Vec::new(),
            ..self.clone()
        }
    }
}

/// A datagram that is too large loses its oldest changes, then its smallest loads.
pub(crate) fn encode(mut datagram: Datagram) -> Vec<u8> {
    if let Some(loads) = &mut datagram.loads {
        loads.sort_by_key(|(_, load)| std::cmp::Reverse(load.tokens));
    }
    loop {
        let bytes = serde_json::to_vec(&datagram).unwrap_or_default();
        if bytes.len() <= DATAGRAM_BYTES_MAX || !shorten(&mut datagram) {
            return bytes;
        }
    }
}

/// Leaves something out; false if there is nothing to leave out.
fn shorten(datagram: &mut Datagram) -> bool {
    if !datagram.changes.is_empty() {
        datagram.changes.remove(0);
        return true;
    }
    match &mut datagram.loads {
        Some(loads) if !loads.is_empty() => {
            loads.truncate(loads.len() * 3 / 4);
            true
        }
        Some(_) | None => false,
    }
}
