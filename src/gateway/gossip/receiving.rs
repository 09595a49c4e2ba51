//! What a host takes from the datagrams of others, and what it answers.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::UdpSocket;

use super::local_datagram;
use super::relay;
use super::send;
use crate::clock::Time;
use crate::event::EventCode;
use crate::gateway::configfetch;
use crate::gateway::datagram::AnnouncedChanges;
use crate::gateway::datagram::AnnouncedLoads;
use crate::gateway::datagram::AnnouncedTrials;
use crate::gateway::datagram::Datagram;
use crate::gateway::datagram::decode;
use crate::gateway::datagram::encode;
use crate::gateway::directory::Change;
use crate::gateway::loads::ReportSource;
use crate::gateway::peerfetch;
use crate::gateway::peers::SenderStatus;
use crate::gateway::position::Position;
use crate::gateway::protocol::Topic;
use crate::gateway::shared::ChangeSource;
use crate::gateway::shared::Shared;
use crate::id::DataCentre;
use crate::id::HostId;

/// A host whose own reading works gives it this time before it asks a peer for news.
const OWN_READ_GRACE: Duration = Duration::from_millis(300);
/// Hosts that know nothing yet ask within this time for each other one of their data centre.
const START_JITTER_PER_HOST: Duration = Duration::from_millis(1);
/// Hosts that only listen fetch within this time of the first word.
const FETCH_JITTER_MIN: Duration = Duration::from_millis(250);
/// and in large fleets within so much for each host, as changes then come faster than a host can fetch them one by one,
const FETCH_JITTER_PER_HOST: Duration = Duration::from_micros(750);
/// up to a part of the bounds on what must be known.
const FETCH_JITTER_MAX: Duration = Duration::from_millis(1_000);

/// Takes one datagram, and answers it if it is to be answered.
pub(super) async fn handle(shared: &Shared, socket: &UdpSocket, from: SocketAddr, bytes: &[u8]) {
    if let Some(announced) = AnnouncedChanges::decode(bytes) {
        apply_relayed(shared, socket, &announced).await;
    } else if let Some(answer) = apply_datagram(shared, from, bytes) {
        send(socket, &encode(answer), &[from]).await;
    }
}

/// Takes a datagram; returns the answer to a host that was not known.
fn apply_datagram(shared: &Shared, from: SocketAddr, bytes: &[u8]) -> Option<Datagram> {
    let datagram = match decode(bytes) {
        Ok(datagram) => datagram,
        Err(error) => {
            log::debug!("a datagram from {from}: {error}");
            return None;
        }
    };
    let now = shared.now();
    let sender = shared.peers(|peers| peers.receive(now, from, &datagram));
    if sender.has_joined {
        let entry = shared.log().entry(EventCode::PeerJoined);
        entry
            .with("peer", datagram.host.as_str())
            .with("address", from.to_string())
            .with("data_centre", datagram.data_centre.as_str())
            .with("hosts", shared.live_hosts())
            .write();
    }
    shared.receive_era(datagram.log_era, datagram.host.as_str());
    shared.receive_evacuations(&datagram.evacuations, datagram.host.as_str());
    shared.receive_rollouts(&datagram.rollouts, datagram.host.as_str());
    for upstream in &datagram.leaving {
        shared.observe_leaving(upstream, datagram.host.as_str());
    }
    if datagram.data_centre == shared.settings().data_centre {
        shared.receive_unreachable(&datagram.host, &datagram.unreachable);
    }
    shared.receive_suspects(datagram.host.as_str(), &datagram.suspects);
    let announced = AnnouncedPosition {
        host: &datagram.host,
        position: datagram.upstreams,
        digest: datagram.upstreams_digest,
        changes: &datagram.changes,
        has_more_changes: datagram.has_more_changes,
    };
    let newer_upstreams = apply_changes(shared, now, announced);
    let upstreams = datagram.upstreams;
    let newer_config = datagram.config > shared.config_version();
    shared
        .turns()
        .with(|turns| turns.receive(now, &datagram.host, datagram.moving));
    let data_centre = datagram.data_centre;
    apply_evidence(shared, now, &datagram.host, &data_centre, datagram.evidence);
    apply_loads(shared, now, datagram.host, &data_centre, datagram.loads);
    if newer_config {
        configfetch::fetch_soon(shared, fetch_wait(shared));
    }
    if newer_upstreams {
        peerfetch::fetch_soon(shared, upstreams, fetch_wait(shared));
    }
    if datagram.asks {
        let loads = shared.local_loads(&data_centre);
        return Some(local_datagram(shared, now).to_load_answer(loads));
    }
    let lacks_hosts = sender.lacks_hosts;
    lacks_hosts.then(|| introduction(shared, now, &data_centre, sender))
}

/// Takes changes that came over others, and passes on what was new.
async fn apply_relayed(shared: &Shared, socket: &UdpSocket, announced: &AnnouncedChanges) {
    let now = shared.now();
    shared.receive_era(announced.log_era, announced.host.as_str());
    let is_new = announced.position > shared.directory(|directory| directory.position());
    if !is_new {
        return;
    }
    relay::forward(shared, now, socket, announced).await;
    let announced = AnnouncedPosition {
        host: &announced.host,
        position: announced.position,
        digest: announced.digest,
        changes: &announced.changes,
        has_more_changes: announced.has_more_changes,
    };
    if apply_changes(shared, now, announced) {
        peerfetch::fetch_soon(shared, announced.position, fetch_wait(shared));
    }
}

/// Takes what `host` of `data_centre` tells of what runs where.
fn apply_loads(
    shared: &Shared,
    now: Time,
    host: HostId,
    data_centre: &DataCentre,
    announced: AnnouncedLoads,
) {
    let data_centre = data_centre.clone();
    let (source, loads) = match announced {
        AnnouncedLoads::Nothing => return,
        AnnouncedLoads::OfHost(loads) => (ReportSource::Host(host), loads),
        AnnouncedLoads::OfVisitor(loads) => (ReportSource::RemoteHost { host, data_centre }, loads),
        AnnouncedLoads::OfDataCentre(loads) => (ReportSource::DataCentre(data_centre), loads),
    };
    let is_summary = matches!(source, ReportSource::DataCentre(_));
    shared
        .loads()
        .with(|board| board.receive(now, source, loads));
    if is_summary {
        shared.notify_load_report();
    }
}

/// Takes what `host` of `data_centre` tells of versions that are tried.
fn apply_evidence(
    shared: &Shared,
    now: Time,
    host: &HostId,
    data_centre: &DataCentre,
    announced: AnnouncedTrials,
) {
    let (source, announced) = match announced {
        AnnouncedTrials::Nothing => return,
        AnnouncedTrials::OfHost(announced) => (ReportSource::Host(host.clone()), announced),
        AnnouncedTrials::OfDataCentre(announced) => {
            (ReportSource::DataCentre(data_centre.clone()), announced)
        }
    };
    if !announced.is_empty() {
        shared.rollout_evidence(|evidences| evidences.receive(now, source, announced));
    }
}

/// What a host of `data_centre` that was not known is told at once: who reads the log, some hosts of the
/// other data centres, and, if it has just started, those of its own.
fn introduction(
    shared: &Shared,
    now: Time,
    data_centre: &DataCentre,
    sender: SenderStatus,
) -> Datagram {
    let mut datagram = local_datagram(shared, now).log_only();
    shared.peers(|peers| {
        datagram.introduced = peers.introductions(now, data_centre);
        if sender.is_newcomer {
            datagram.hosts = peers.bootstrap_hosts(now, data_centre);
        }
    });
    datagram
}

/// How far a host has read the upstreams, and what changed of late.
#[derive(Clone, Copy)]
struct AnnouncedPosition<'a> {
    host: &'a HostId,
    position: Position,
    digest: u64,
    changes: &'a [Change],
    has_more_changes: bool,
}

/// Takes the changes that a reader tells. True if it must know of more.
fn apply_changes(shared: &Shared, now: Time, announced: AnnouncedPosition<'_>) -> bool {
    let own_position = shared.directory(|directory| directory.position());
    if announced.position <= own_position {
        return false;
    }
    let mut changes = Vec::new();
    let same = shared.directory(|directory| {
        for change in announced.changes {
            let taken = directory.apply_change(now, change);
            changes.extend(taken);
        }
        let same = directory.digest() == announced.digest;
        if same {
            directory.advance(announced.position);
        }
        same
    });
    shared.record_changes(changes, ChangeSource::Peer(announced.host.as_str()));
    !same && !announced.has_more_changes
}

/// Gives the own reading of the log, or the next datagram, a moment before a peer is asked. Hosts that
/// only listen spread their questions, so that the readers are not asked by all at once; one that
/// can't serve yet asks at once.
fn fetch_wait(shared: &Shared) -> Duration {
    if shared.is_reading(Topic::Operator) {
        OWN_READ_GRACE
    } else if shared.is_ready() {
        let hosts = u32::try_from(shared.live_hosts()).unwrap_or(u32::MAX);
        let jitter = FETCH_JITTER_MIN.max(FETCH_JITTER_PER_HOST.saturating_mul(hosts));
        jitter.min(FETCH_JITTER_MAX).mul_f64(rand::random())
    } else {
        let now = shared.now();
        let near = shared.peers(|peers| peers.count_local(now));
        let jitter = START_JITTER_PER_HOST * u32::try_from(near).unwrap_or(u32::MAX);
        jitter.mul_f64(rand::random())
    }
}
