//! The datagrams exchanged between hosts, and their encoding.
//!
//! Every host sends to every other host of its data centre, so size matters: the encoding is binary
//! ([`postcard`]), a third of the size of JSON here (docs/MEASUREMENTS.md).

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::error::Error;
use crate::error::Result;
use crate::gateway::brittle::AnnouncedRejections;
use crate::gateway::directory::Change;
use crate::gateway::directory::Departure;
use crate::gateway::evacuations::AnnouncedEvacuations;
use crate::gateway::failurerates::ServiceCalls;
use crate::gateway::instance::InstanceId;
use crate::gateway::instance::InstanceKey;
use crate::gateway::limitclaims::AnnouncedClaim;
use crate::gateway::loads::Load;
use crate::gateway::movequeue::PendingMoves;
use crate::gateway::position::Era;
use crate::gateway::position::Position;
use crate::gateway::protocol::Topic;
use crate::gateway::rollouts::AnnouncedRollout;
use crate::gateway::rollouts::evidence::AnnouncedEvidence;
use crate::gateway::speeds::AnnouncedSpeed;
use crate::gateway::suspects::AnnouncedSuspect;
use crate::gateway::upstreamlimits::AnnouncedLimit;
use crate::id::DataCentre;
use crate::id::HostId;

/// Largest datagram that is delivered without IP fragmentation.
pub(crate) const DATAGRAM_BYTES_MAX: usize = 1_400;
/// Upstream changes in one datagram. Each takes up to 90 bytes; the other fields need the remaining space.
pub(crate) const PART_CHANGES_MAX: usize = 10;
/// First byte of a datagram. Incremented whenever the fields change, so that hosts of different
/// releases don't misinterpret each other's datagrams.
const FORMAT: u8 = 15;
/// First byte of a datagram with [`AnnouncedChanges`].
const CHANGES_FORMAT: u8 = 0x80 | FORMAT;
/// First byte of a datagram about the shared queue of a service ([`crate::gateway::queuemessages`]).
pub(crate) const QUEUE_FORMAT: u8 = 0x40 | FORMAT;

/// A set of log topics.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Topics {
    /// [`Topic::Operator`].
    pub operator: bool,
    /// [`Topic::Upstreams`].
    pub upstreams: bool,
}

impl Topics {
    /// Whether the set contains `topic`.
    pub fn contains(self, topic: Topic) -> bool {
        match topic {
            Topic::Operator => self.operator,
            Topic::Upstreams => self.upstreams,
            Topic::Hosts | Topic::Suspects | Topic::Status => false,
        }
    }
}

/// The load per upstream instance that a datagram announces.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum AnnouncedLoads {
    /// No loads: the datagram is about pending moves or the log.
    Nothing,
    /// The load caused by the sending host.
    OfHost(Vec<(InstanceKey, Load)>),
    /// The load caused by the sending host in the receiver's data centre.
    OfVisitor(Vec<(InstanceKey, Load)>),
    /// The load on the upstreams of the sender's data centre, without that caused by hosts of the
    /// receiver's data centre.
    OfDataCentre(Vec<(InstanceKey, Load)>),
}

/// The evidence on versions on trial that a datagram announces.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum AnnouncedTrials {
    /// No evidence.
    Nothing,
    /// Evidence from the sending host.
    OfHost(Vec<AnnouncedEvidence>),
    /// Combined evidence from the hosts of the sender's data centre.
    OfDataCentre(Vec<AnnouncedEvidence>),
}

impl AnnouncedLoads {
    fn entries_mut(&mut self) -> Option<&mut Vec<(InstanceKey, Load)>> {
        match self {
            AnnouncedLoads::Nothing => None,
            AnnouncedLoads::OfHost(loads)
            | AnnouncedLoads::OfVisitor(loads)
            | AnnouncedLoads::OfDataCentre(loads) => Some(loads),
        }
    }
}

/// The state that a host announces to its peers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Datagram {
    /// Name of the sending host.
    pub host: HostId,
    /// Version of the configuration in force on the sender; 0 for none.
    pub config: u64,
    /// The latest era of the log that the sender knows.
    pub log_era: Era,
    /// The data centres that operators have evacuated.
    pub evacuations: AnnouncedEvacuations,
    /// The newest rollout order of each service.
    pub rollouts: Vec<AnnouncedRollout>,
    /// Evidence on the versions on trial.
    pub evidence: AnnouncedTrials,
    /// The log position up to which the sender knows the upstreams.
    pub upstreams: Position,
    /// Port on which the sender serves configuration and upstream lists to peers.
    pub peer_port: u16,
    /// Data centre of the sender.
    pub data_centre: DataCentre,
    /// Topics that the sender reads from the log itself and successfully, so that its information on
    /// them is first-hand and current.
    pub reading: Topics,
    /// Topics that the sender tried to read from the log and failed to.
    pub unreadable: Topics,
    /// Digest of the upstreams that the sender lists.
    pub upstreams_digest: u64,
    /// Recent changes to the sender's list of upstreams.
    pub changes: Vec<Change>,
    /// Whether another datagram with further changes follows immediately.
    pub has_more_changes: bool,
    /// Load per upstream instance.
    pub loads: AnnouncedLoads,
    /// Generations that the sender has yet to move off engines that are leaving.
    pub moving: Vec<PendingMoves>,
    /// Upstreams that the sender observed leaving.
    pub leaving: Vec<Departure>,
    /// Upstreams that the sender currently can't connect to.
    pub unreachable: Vec<InstanceId>,
    /// The sender's calls of upstreams with failures, in place of those that it told before; `None` if the
    /// datagram isn't about them.
    pub failures: Option<Vec<ServiceCalls>>,
    /// Limits that upstreams name, or no longer name.
    pub limits: Vec<AnnouncedLimit>,
    /// The sender's claims on the rates that upstreams name, in place of those that it told before; `None` if the
    /// datagram isn't about them.
    pub limit_claims: Option<Vec<AnnouncedClaim>>,
    /// Requests of the sender that brittle upstreams turned away.
    pub rejections: Vec<AnnouncedRejections>,
    /// Speeds of upstreams that the sender observed itself.
    pub speeds: Vec<AnnouncedSpeed>,
    /// Requests during which upstreams crashed.
    pub suspects: Vec<AnnouncedSuspect>,
    /// Addresses of some other hosts.
    pub hosts: Vec<SocketAddr>,
    /// Some hosts of other data centres, for a receiver that knows few there.
    pub introduced: Vec<(DataCentre, SocketAddr)>,
    /// Whether the sender knows few hosts of another data centre, or knows only the receiver's address.
    pub lacks_hosts: bool,
    /// Number of other hosts that the sender considers live. A host that has just started estimates
    /// the fleet size from it.
    pub hears: u32,
    /// Number of those hosts that are in the sender's data centre.
    pub hears_near: u32,
    /// The highest number of hosts that the sender has counted recently, including itself.
    pub counted: u32,
    /// Whether the sender is shutting down and no longer counts as a host.
    pub stopping: bool,
    /// Whether the sender is cut off from all upstreams.
    pub cut_off: bool,
    /// Whether the sender requests the load on the upstreams of the receiver's data centre.
    pub asks: bool,
}

impl Datagram {
    /// A datagram that carries only the sender's name and data centre.
    pub fn new(host: HostId, data_centre: DataCentre) -> Self {
        Datagram {
            host,
            config: 0,
            log_era: Era::default(),
            evacuations: AnnouncedEvacuations::default(),
            rollouts: Vec::new(),
            evidence: AnnouncedTrials::Nothing,
            upstreams: Position::default(),
            peer_port: 0,
            data_centre,
            reading: Topics::default(),
            unreadable: Topics::default(),
            upstreams_digest: 0,
            changes: Vec::new(),
            has_more_changes: false,
            loads: AnnouncedLoads::Nothing,
            moving: Vec::new(),
            leaving: Vec::new(),
            unreachable: Vec::new(),
            failures: None,
            limits: Vec::new(),
            limit_claims: None,
            rejections: Vec::new(),
            speeds: Vec::new(),
            suspects: Vec::new(),
            hosts: Vec::new(),
            introduced: Vec::new(),
            lacks_hosts: false,
            hears: 0,
            hears_near: 0,
            counted: 0,
            stopping: false,
            cut_off: false,
            asks: false,
        }
    }

    /// Splits the changes over several datagrams; the last one carries everything else. Dozens of
    /// upstreams may leave at once, and a host that misses one change has to fetch the whole list.
    pub(crate) fn split(mut self) -> Vec<Datagram> {
        let mut parts = Vec::new();
        while self.changes.len() > PART_CHANGES_MAX {
            let rest = self.changes.split_off(PART_CHANGES_MAX);
            let changes = std::mem::replace(&mut self.changes, rest);
            parts.push(Datagram {
                changes,
                has_more_changes: true,
                moving: self.moving.clone(),
                suspects: Vec::new(),
                ..self.log_only()
            });
        }
        parts.push(self);
        parts
    }

    /// A copy for hosts that have not sent anything yet; it requests the addresses of other hosts.
    pub(crate) fn with_host_request(&self) -> Datagram {
        Datagram {
            lacks_hosts: true,
            ..self.clone()
        }
    }

    /// A copy without loads, limits, speeds, evidence and host addresses.
    pub(crate) fn log_only(&self) -> Datagram {
        Datagram {
            evidence: AnnouncedTrials::Nothing,
            loads: AnnouncedLoads::Nothing,
            failures: None,
            limits: Vec::new(),
            limit_claims: None,
            speeds: Vec::new(),
            hosts: Vec::new(),
            ..self.clone()
        }
    }

    /// A copy with the combined loads, evidence and limits of the sender's data centre.
    pub(crate) fn with_summary(
        &self,
        loads: Vec<(InstanceKey, Load)>,
        evidence: Vec<AnnouncedEvidence>,
        limits: Vec<AnnouncedLimit>,
    ) -> Datagram {
        Datagram {
            evidence: AnnouncedTrials::OfDataCentre(evidence),
            loads: AnnouncedLoads::OfDataCentre(loads),
            failures: None,
            limits,
            limit_claims: None,
            hosts: Vec::new(),
            ..self.clone()
        }
    }

    /// A copy with the load that the sender causes in the receiver's data centre.
    pub(crate) fn with_remote_loads(&self, loads: Vec<(InstanceKey, Load)>) -> Datagram {
        self.loads_only(AnnouncedLoads::OfVisitor(loads))
    }

    /// A copy that requests the load on the upstreams of the receiver's data centre.
    pub(crate) fn to_load_query(&self) -> Datagram {
        Datagram {
            asks: true,
            ..self.loads_only(AnnouncedLoads::Nothing)
        }
    }

    /// The answer to a load query.
    pub(crate) fn to_load_answer(&self, loads: Vec<(InstanceKey, Load)>) -> Datagram {
        self.loads_only(AnnouncedLoads::OfDataCentre(loads))
    }

    /// A copy with loads, and with the pending moves, of which every datagram carries the complete list.
    /// Leaving and unreachable upstreams are left out because these lists grow with the fleet; rounds
    /// carry them. The log position is left out as well: a host that receives a newer position without
    /// its changes would fetch them over the link between data centres.
    fn loads_only(&self, loads: AnnouncedLoads) -> Datagram {
        Datagram {
            loads,
            upstreams: Position::default(),
            upstreams_digest: 0,
            leaving: Vec::new(),
            unreachable: Vec::new(),
            ..self.moves_only()
        }
    }

    /// A copy with the pending moves, without changes, loads, limits, evidence, hosts and suspects.
    pub(crate) fn moves_only(&self) -> Datagram {
        self.suspects_only(Vec::new())
    }

    /// A copy with these suspects and the pending moves.
    pub(crate) fn suspects_only(&self, suspects: Vec<AnnouncedSuspect>) -> Datagram {
        Datagram {
            changes: Vec::new(),
            loads: AnnouncedLoads::Nothing,
            failures: None,
            limits: Vec::new(),
            limit_claims: None,
            evidence: AnnouncedTrials::Nothing,
            hosts: Vec::new(),
            suspects,
            ..self.clone()
        }
    }
}

/// Upstream changes that are relayed along a tree of hosts in a large fleet.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct AnnouncedChanges {
    /// Gossip address of the root of the relay tree in the receiver's data centre.
    pub(crate) root: SocketAddr,
    /// Number of further hops that the changes may be relayed.
    pub(crate) hops_left: u8,
    /// The host that read the changes from the log.
    pub(crate) host: HostId,
    /// The era of the log known to that host.
    pub(crate) log_era: Era,
    /// The log position up to which that host had read.
    pub(crate) position: Position,
    /// Digest of the upstreams that it listed at that position.
    pub(crate) digest: u64,
    /// Upstream changes up to `position`.
    pub(crate) changes: Vec<Change>,
    /// Whether another datagram with further changes up to that position follows.
    pub(crate) has_more_changes: bool,
}

impl AnnouncedChanges {
    /// Encodes the changes as a datagram.
    pub(crate) fn encode(&self) -> Vec<u8> {
        postcard::to_extend(self, vec![CHANGES_FORMAT]).unwrap_or_default()
    }

    /// Decodes a datagram; `None` if it is of another kind or malformed.
    pub(crate) fn decode(bytes: &[u8]) -> Option<Self> {
        let (&CHANGES_FORMAT, fields) = bytes.split_first()? else {
            return None;
        };
        postcard::from_bytes(fields).ok()
    }
}

/// Encodes a datagram. One that is too large loses its latest speeds, which are announced again, then its claims, its
/// oldest limits, which the next round repeats, its counts of failed calls, its oldest changes, its smallest loads, suspects
/// and leaving upstreams.
pub fn encode(mut datagram: Datagram) -> Vec<u8> {
    if let Some(loads) = datagram.loads.entries_mut() {
        loads.sort_by_key(|(_, load)| std::cmp::Reverse(load.tokens));
    }
    loop {
        let bytes = postcard::to_extend(&datagram, vec![FORMAT]).unwrap_or_default();
        if bytes.len() <= DATAGRAM_BYTES_MAX || !truncate(&mut datagram) {
            return bytes;
        }
    }
}

/// Decodes a datagram.
///
/// # Errors
///
/// [`Error::Datagram`] if `bytes` isn't a datagram in the format of this release.
pub fn decode(bytes: &[u8]) -> Result<Datagram> {
    let Some((&FORMAT, fields)) = bytes.split_first() else {
        return Err(Error::Datagram("unknown format".to_owned()));
    };
    postcard::from_bytes(fields).map_err(|error| Error::Datagram(error.to_string()))
}

/// Removes the upstream with the fewest failures of the last service; false if there is none.
fn truncate_failures(datagram: &mut Datagram) -> bool {
    let Some(services) = &mut datagram.failures else {
        return false;
    };
    match services.last_mut() {
        Some(service) if service.upstreams.len() > 1 => service.upstreams.pop().is_some(),
        Some(_) | None => services.pop().is_some(),
    }
}

/// Removes the least important entry or entries; false if none are left.
fn truncate(datagram: &mut Datagram) -> bool {
    let is_shorter = datagram.speeds.pop().is_some()
        || datagram.limit_claims.as_mut().and_then(Vec::pop).is_some()
        || datagram.limits.pop().is_some()
        || truncate_failures(datagram);
    if is_shorter {
        return true;
    }
    if !datagram.changes.is_empty() {
        datagram.changes.remove(0);
        return true;
    }
    match datagram.loads.entries_mut() {
        Some(loads) if !loads.is_empty() => {
            loads.truncate(loads.len() * 3 / 4);
            true
        }
        Some(_) | None => datagram.suspects.pop().is_some() || datagram.leaving.pop().is_some(),
    }
}

#[cfg(test)]
mod tests;
