//! Handles received datagrams.

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
use crate::gateway::directory::AnnouncedList;
use crate::gateway::directory::Comparison;
use crate::gateway::loads::ReportSource;
use crate::gateway::peerfetch;
use crate::gateway::peers::SenderStatus;
use crate::gateway::protocol::Topic;
use crate::gateway::queuemessages::Envelope;
use crate::gateway::shared::ChangeSource;
use crate::gateway::shared::Shared;
use crate::id::DataCentre;
use crate::id::HostId;

/// Time that a host which reads the log gives its own read before it fetches from a peer.
const OWN_READ_GRACE: Duration = Duration::from_millis(300);
/// Hosts that can't serve yet spread their fetches over this time per other host of the data centre.
const START_JITTER_PER_HOST: Duration = Duration::from_millis(1);
/// Hosts that don't read the log spread their fetches over at least this time.
const FETCH_JITTER_MIN: Duration = Duration::from_millis(250);
/// In large fleets they spread them over this time per host: changes then come faster than a host can
/// fetch them one by one.
const FETCH_JITTER_PER_HOST: Duration = Duration::from_micros(750);
/// Longest time over which they spread their fetches; a fraction of the bounds on propagation.
const FETCH_JITTER_MAX: Duration = Duration::from_millis(1_000);

/// Applies one datagram and sends the answer, if there is one.
pub(super) async fn handle(shared: &Shared, socket: &UdpSocket, from: SocketAddr, bytes: &[u8]) {
    if let Some(announced) = AnnouncedChanges::decode(bytes) {
        apply_relayed(shared, socket, &announced).await;
    } else if let Some(envelope) = queue_message(shared, bytes) {
        shared.receive_queue_message(envelope, Some(from));
    } else if let Some(answer) = apply_datagram(shared, from, bytes) {
        send(socket, &encode(answer), &[from]).await;
    }
}

/// A message on a shared queue, if the host takes part in them.
fn queue_message(shared: &Shared, bytes: &[u8]) -> Option<Envelope> {
    let takes_part = shared.settings().features.shared_queue;
    takes_part.then(|| Envelope::decode(bytes)).flatten()
}

/// Applies a datagram. Returns the answer to a load query, or to a sender that lacks hosts.
fn apply_datagram(shared: &Shared, from: SocketAddr, bytes: &[u8]) -> Option<Datagram> {
    let datagram = match decode(bytes) {
        Ok(datagram) => datagram,
        Err(error) => {
            log::debug!("decoding a datagram from {from}: {error}");
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
    for departure in &datagram.leaving {
        shared.receive_departure(departure, datagram.host.as_str());
    }
    if datagram.data_centre == shared.settings().data_centre {
        shared.receive_unreachable(&datagram.host, &datagram.unreachable);
        shared.receive_failures(&datagram.host, datagram.failures);
        if let Some(claims) = &datagram.limit_claims {
            shared.receive_claims(now, &datagram.host, claims);
        }
    }
    shared.receive_limits(datagram.host.as_str(), &datagram.limits);
    shared.brittle(|brittle| brittle.receive(now, &datagram.host, &datagram.rejections));
    shared.receive_speeds(&datagram.host, &datagram.speeds);
    shared.receive_suspects(datagram.host.as_str(), &datagram.suspects);
    let list = AnnouncedList {
        position: datagram.upstreams,
        digest: datagram.upstreams_digest,
        changes: &datagram.changes,
    };
    let (_, comparison) = apply_list(shared, now, &datagram.host, list);
    let has_whole_list = !datagram.has_more_changes;
    if datagram.reading.upstreams {
        shared.directory(|directory| directory.confirm(now));
    }
    let upstreams = datagram.upstreams;
    let newer_config = datagram.config > shared.config_version();
    shared
        .move_queues()
        .with(|move_queues| move_queues.receive(now, &datagram.host, datagram.moving));
    let data_centre = datagram.data_centre;
    apply_evidence(shared, now, &datagram.host, &data_centre, datagram.evidence);
    apply_loads(shared, now, datagram.host, &data_centre, datagram.loads);
    if newer_config {
        configfetch::fetch_soon(shared, fetch_wait(shared));
    }
    match comparison {
        Comparison::Behind if has_whole_list => {
            peerfetch::fetch_soon(shared, upstreams, fetch_wait(shared));
        }
        Comparison::Differs if datagram.reading.upstreams => {
            let peer = SocketAddr::new(from.ip(), datagram.peer_port);
            peerfetch::repair_soon(shared, peer, fetch_wait(shared));
        }
        Comparison::Behind | Comparison::Differs | Comparison::UpToDate => {}
    }
    if datagram.asks {
        let loads = shared.local_loads(&data_centre);
        return Some(local_datagram(shared, now).to_load_answer(loads));
    }
    let lacks_hosts = sender.lacks_hosts;
    lacks_hosts.then(|| introduction(shared, now, &data_centre, sender))
}

/// Forwards and applies relayed changes, if they are new to this host.
async fn apply_relayed(shared: &Shared, socket: &UdpSocket, announced: &AnnouncedChanges) {
    let now = shared.now();
    shared.receive_era(announced.log_era, announced.host.as_str());
    let is_later = announced.position > shared.directory(|directory| directory.position());
    let list = AnnouncedList {
        position: announced.position,
        digest: announced.digest,
        changes: &announced.changes,
    };
    let (has_changed, comparison) = apply_list(shared, now, &announced.host, list);
    if is_later || has_changed {
        relay::forward(shared, now, socket, announced).await;
    }
    if comparison == Comparison::Behind && !announced.has_more_changes {
        peerfetch::fetch_soon(shared, announced.position, fetch_wait(shared));
    }
}

/// Applies loads announced by `host` of `data_centre`.
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

/// Applies evidence on versions on trial announced by `host` of `data_centre`.
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

/// The answer to a host of `data_centre` that lacks hosts: which topics this host reads, some hosts of the
/// other data centres and, if the sender has just started, hosts of its own data centre.
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

/// Applies the changes of the list of upstreams announced by `host`. Returns whether there were any that this host
/// did not know, and how the lists compare.
fn apply_list(
    shared: &Shared,
    now: Time,
    host: &HostId,
    announced: AnnouncedList<'_>,
) -> (bool, Comparison) {
    let (changes, comparison) =
        shared.directory(|directory| directory.merge_announced(now, announced));
    let has_changed = !changes.is_empty();
    shared.record_changes(changes, ChangeSource::Peer(host.as_str()));
    (has_changed, comparison)
}

/// How long to wait for this host's own read of the log, or for the next datagram, before fetching from a
/// peer. Hosts that don't read the log spread their fetches, so that the readers don't receive all of
/// them at once. A host that can't serve yet fetches within [`START_JITTER_PER_HOST`] for each
/// other host of its data centre.
fn fetch_wait(shared: &Shared) -> Duration {
    if shared.is_reading(Topic::Operator) {
        OWN_READ_GRACE
    } else if shared.is_ready() {
        let hosts = u32::try_from(shared.live_hosts()).unwrap_or(u32::MAX);
        let jitter = FETCH_JITTER_MIN.max(FETCH_JITTER_PER_HOST.saturating_mul(hosts));
        jitter.min(FETCH_JITTER_MAX).mul_f64(rand::random())
    } else {
        let now = shared.now();
        let local_hosts = shared.peers(|peers| peers.count_local(now));
        let jitter = START_JITTER_PER_HOST * u32::try_from(local_hosts).unwrap_or(u32::MAX);
        jitter.mul_f64(rand::random())
    }
}
