//! What hosts tell each other in one datagram, and its encoding.
//!
//! Every host sends to every other of its data centre, so bytes count: the encoding is binary
//! ([`postcard`]), a third of the size of JSON here (docs/MEASUREMENTS.md).

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::error::Error;
use crate::error::Result;
use crate::gateway::directory::Change;
use crate::gateway::evacuations::AnnouncedEvacuations;
use crate::gateway::instance::InstanceId;
use crate::gateway::instance::InstanceKey;
use crate::gateway::loads::Load;
use crate::gateway::movequeue::PendingMoves;
use crate::gateway::position::Era;
use crate::gateway::position::Position;
use crate::gateway::protocol::Topic;
use crate::gateway::rollouts::AnnouncedRollout;
use crate::gateway::rollouts::evidence::AnnouncedEvidence;
use crate::gateway::suspects::AnnouncedSuspect;
use crate::id::DataCentre;
use crate::id::HostId;

/// Largest datagram that crosses a network whole.
pub(crate) const DATAGRAM_BYTES_MAX: usize = 1_400;
/// Changes of upstreams in one datagram, at most 90 bytes each, so that the rest has room beside them.
pub(crate) const PART_CHANGES_MAX: usize = 10;
/// First byte of a datagram; rises with each change of its fields, so that hosts of two releases
/// side by side don't misread each other.
const FORMAT: u8 = 11;
/// The same of one that tells changes alone.
const CHANGES_FORMAT: u8 = 0x80 | FORMAT;

/// Topics of the log.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Topics {
    /// What operators publish.
    pub operator: bool,
    /// The upstreams.
    pub upstreams: bool,
}

impl Topics {
    /// Whether `topic` is among them.
    pub fn contains(self, topic: Topic) -> bool {
        match topic {
            Topic::Operator => self.operator,
            Topic::Upstreams => self.upstreams,
            Topic::Hosts | Topic::Suspects | Topic::Status => false,
        }
    }
}

/// What a datagram tells of what runs where.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum AnnouncedLoads {
    /// Nothing: it tells only of turns or of the log.
    Nothing,
    /// What its host runs.
    OfHost(Vec<(InstanceKey, Load)>),
    /// What its host runs in the data centre that it is for.
    OfVisitor(Vec<(InstanceKey, Load)>),
    /// What runs at the upstreams of its data centre, but for what hosts of the one that it is for run there.
    OfDataCentre(Vec<(InstanceKey, Load)>),
}

/// What a datagram tells of versions that are tried.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum AnnouncedTrials {
    /// Nothing.
    Nothing,
    /// What its host saw.
    OfHost(Vec<AnnouncedEvidence>),
    /// What the hosts of its data centre saw.
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

/// What a host tells the others.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Datagram {
    /// Its name.
    pub host: HostId,
    /// The version of the configuration that it has in force; 0 for none.
    pub config: u64,
    /// The latest history of the log that it knows.
    pub log_era: Era,
    /// The data centres that operators have evacuated.
    pub evacuations: AnnouncedEvacuations,
    /// The newest order to roll a version out of each service.
    pub rollouts: Vec<AnnouncedRollout>,
    /// What was seen of the versions that are tried.
    pub evidence: AnnouncedTrials,
    /// The log's position up to which it has read the upstreams.
    pub upstreams: Position,
    /// Where it serves what others lack.
    pub peer_port: u16,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// What it reads of the log and is answered: what it tells of that is first-hand and fresh.
    pub reading: Topics,
    /// What it tried to read of the log and could not.
    pub unreadable: Topics,
    /// A hash over the upstreams that it lists.
    pub upstreams_digest: u64,
    /// The last changes of its upstreams.
    pub changes: Vec<Change>,
    /// Whether further changes follow at once in another datagram.
    pub has_more_changes: bool,
    /// What runs where.
    pub loads: AnnouncedLoads,
    /// Runs that it has still to move off engines that are leaving.
    pub moving: Vec<PendingMoves>,
    /// Upstreams that it saw leaving.
    pub leaving: Vec<InstanceId>,
    /// Upstreams that it can't connect to now.
    pub unreachable: Vec<InstanceId>,
    /// Requests under which upstreams crashed.
    pub suspects: Vec<AnnouncedSuspect>,
    /// Some other hosts.
    pub hosts: Vec<SocketAddr>,
    /// Some hosts of other data centres, for a host that knows few there.
    pub introduced: Vec<(DataCentre, SocketAddr)>,
    /// Whether it knows few hosts of another data centre, or knows the receiver by its address alone.
    pub lacks_hosts: bool,
    /// How many other hosts it knows to be live. One that has just started takes its fleet's size from
    /// this.
    pub hears: u32,
    /// How many of them are of its data centre.
    pub hears_near: u32,
    /// The most hosts that it has counted of late, itself included.
    pub counted: u32,
    /// Whether it is shutting down and counts no more.
    pub stopping: bool,
    /// Whether it asks what runs at the upstreams of the receiver's data centre.
    pub asks: bool,
}

impl Datagram {
    /// Tells only whose it is.
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
            suspects: Vec::new(),
            hosts: Vec::new(),
            introduced: Vec::new(),
            lacks_hosts: false,
            hears: 0,
            hears_near: 0,
            counted: 0,
            stopping: false,
            asks: false,
        }
    }

    /// The datagram with the last of its changes, and before it others with the rest: dozens of upstreams
    /// may leave in one moment, and a host that misses one change fetches the whole list.
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

    /// Is for hosts that this one has never heard.
    pub(crate) fn with_host_request(&self) -> Datagram {
        Datagram {
            lacks_hosts: true,
            ..self.clone()
        }
    }

    /// Tells of the log alone.
    pub(crate) fn log_only(&self) -> Datagram {
        Datagram {
            evidence: AnnouncedTrials::Nothing,
            loads: AnnouncedLoads::Nothing,
            hosts: Vec::new(),
            ..self.clone()
        }
    }

    /// Tells of what runs at the upstreams of its data centre.
    pub(crate) fn with_summary(
        &self,
        loads: Vec<(InstanceKey, Load)>,
        evidence: Vec<AnnouncedEvidence>,
    ) -> Datagram {
        Datagram {
            evidence: AnnouncedTrials::OfDataCentre(evidence),
            loads: AnnouncedLoads::OfDataCentre(loads),
            hosts: Vec::new(),
            ..self.clone()
        }
    }

    /// Tells of what its host runs in the data centre that it is for.
    pub(crate) fn with_remote_loads(&self, loads: Vec<(InstanceKey, Load)>) -> Datagram {
        self.loads_only(AnnouncedLoads::OfVisitor(loads))
    }

    /// Asks for what runs at the upstreams of the data centre that it is for.
    pub(crate) fn to_load_query(&self) -> Datagram {
        Datagram {
            asks: true,
            ..self.loads_only(AnnouncedLoads::Nothing)
        }
    }

    /// The answer to one that asks.
    pub(crate) fn to_load_answer(&self, loads: Vec<(InstanceKey, Load)>) -> Datagram {
        self.loads_only(AnnouncedLoads::OfDataCentre(loads))
    }

    /// Tells of loads, and of turns, which each datagram tells whole. Lists of upstreams that are leaving or can't be
    /// connected to grow with the fleet, and are told in rounds. So is how much of the log was read: who hears of news
    /// without the news would fetch it, over the link between data centres.
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

    /// Tells of turns alone.
    pub(crate) fn moves_only(&self) -> Datagram {
        self.suspects_only(Vec::new())
    }

    /// Tells of these suspects, and of turns.
    pub(crate) fn suspects_only(&self, suspects: Vec<AnnouncedSuspect>) -> Datagram {
        Datagram {
            changes: Vec::new(),
            loads: AnnouncedLoads::Nothing,
            evidence: AnnouncedTrials::Nothing,
            hosts: Vec::new(),
            suspects,
            ..self.clone()
        }
    }
}

/// Changes of the upstreams on their way over a large fleet.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct AnnouncedChanges {
    /// The host from which they go over the data centre of the receiver, by the address of its datagrams.
    pub(crate) root: SocketAddr,
    /// How many times more they may be passed on.
    pub(crate) hops_left: u8,
    /// Who read them.
    pub(crate) host: HostId,
    /// The history of the log that it knew.
    pub(crate) log_era: Era,
    /// The log's position up to which it had read.
    pub(crate) position: Position,
    /// A hash over the upstreams that it listed.
    pub(crate) digest: u64,
    /// The changes.
    pub(crate) changes: Vec<Change>,
    /// Whether further changes up to that position follow in another datagram.
    pub(crate) has_more_changes: bool,
}

impl AnnouncedChanges {
    /// As it travels.
    pub(crate) fn encode(&self) -> Vec<u8> {
        postcard::to_extend(self, vec![CHANGES_FORMAT]).unwrap_or_default()
    }

    /// What a datagram tells; none if it is of another kind.
    pub(crate) fn decode(bytes: &[u8]) -> Option<Self> {
        let (&CHANGES_FORMAT, fields) = bytes.split_first()? else {
            return None;
        };
        postcard::from_bytes(fields).ok()
    }
}

/// A datagram that is too large loses its oldest changes, then its smallest loads, then suspects.
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

/// What a datagram tells.
///
/// # Errors
///
/// [`Error::Datagram`] if it is not a datagram of this release.
pub fn decode(bytes: &[u8]) -> Result<Datagram> {
    let Some((&FORMAT, fields)) = bytes.split_first() else {
        return Err(Error::Datagram("another format".to_owned()));
    };
    postcard::from_bytes(fields).map_err(|error| Error::Datagram(error.to_string()))
}

/// Leaves something out; false if there is nothing to leave out.
fn truncate(datagram: &mut Datagram) -> bool {
    if !datagram.changes.is_empty() {
        datagram.changes.remove(0);
        return true;
    }
    match datagram.loads.entries_mut() {
        Some(loads) if !loads.is_empty() => {
            loads.truncate(loads.len() * 3 / 4);
            true
        }
        Some(_) | None => datagram.suspects.pop().is_some(),
    }
}
