//! Datagrams between the data centres of a large fleet.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::net::UdpSocket;

use super::local_datagram;
use super::send;
use super::send_parts;
use crate::clock::Time;
use crate::gateway::datagram::Datagram;
use crate::gateway::datagram::encode;
use crate::gateway::instance::InstanceKey;
use crate::gateway::loads::Load;
use crate::gateway::position::Position;
use crate::gateway::protocol::Topic;
use crate::gateway::shared::Shared;
use crate::id::DataCentre;

/// Interval of summaries for other data centres in a large fleet. Traffic between data centres is
/// billed, and the receivers use a summary for 4 s.
pub(crate) const REMOTE_INTERVAL: Duration = Duration::from_millis(1_800);
/// Share of the reader interval after which a reader's datagram is due. It is below 1 because rounds
/// come slightly sooner or later than their interval.
const DUE_INTERVAL_SHARE: f64 = 0.9;

/// What was last sent to other data centres, and when.
#[derive(Debug, Default)]
pub(super) struct RemoteRounds {
    /// When summaries of this data centre were last sent.
    summary_sent_at: Option<Time>,
    /// When this host, as a reader of the upstreams, last sent to all remote hosts.
    reader_sent_at: Option<Time>,
    /// Whether there were pending moves in the previous round.
    was_moving: bool,
    /// The log position of the upstreams in the previous round.
    announced_upstreams: Position,
    /// The load of this host last announced to each other data centre, and when.
    announced_loads: BTreeMap<DataCentre, (Time, Vec<(InstanceKey, Load)>)>,
    /// Number of local rollout changes in the previous round.
    announced_rollouts: u64,
}

impl RemoteRounds {
    /// Whether a summary of the data centre is due; if so, records it as sent.
    fn is_summary_due(&mut self, now: Time) -> bool {
        let is_due = self
            .summary_sent_at
            .is_none_or(|last| now.since(last) >= REMOTE_INTERVAL);
        if is_due {
            self.summary_sent_at = Some(now);
        }
        is_due
    }

    /// Whether there are pending moves to announce, or that none are left.
    fn has_moves(&mut self, is_moving: bool) -> bool {
        std::mem::replace(&mut self.was_moving, is_moving) || is_moving
    }

    /// Whether this host learnt of rollout changes since the previous round other than from peers.
    fn has_rollout_changes(&mut self, shared: &Shared) -> bool {
        let changes = shared.directory(|directory| directory.rollouts().local_changes());
        std::mem::replace(&mut self.announced_rollouts, changes) != changes
    }

    /// The loads of this host to announce to other data centres: those that changed, those last announced
    /// an interval ago, and, once, empty ones.
    fn due_loads(
        &mut self,
        shared: &Shared,
        now: Time,
    ) -> BTreeMap<DataCentre, Vec<(InstanceKey, Load)>> {
        let mut due = shared.own_remote_loads();
        for data_centre in self.announced_loads.keys() {
            due.entry(data_centre.clone()).or_default();
        }
        due.retain(|data_centre, loads| {
            let sent = self.announced_loads.get(data_centre);
            sent.is_none_or(|(at, sent)| sent != loads || now.since(*at) >= REMOTE_INTERVAL)
        });
        for (data_centre, loads) in &due {
            let was_empty = self
                .announced_loads
                .insert(data_centre.clone(), (now, loads.clone()))
                .is_none_or(|(_, sent)| sent.is_empty());
            if loads.is_empty() && was_empty {
                self.announced_loads.remove(data_centre);
            }
        }
        due
    }

    /// Whether this host is a reader of the upstreams and has to announce that, or changes, to remote hosts.
    fn is_reader_due(&mut self, shared: &Shared, now: Time, datagram: &Datagram) -> bool {
        let upstreams = datagram.upstreams;
        let is_later = std::mem::replace(&mut self.announced_upstreams, upstreams) != upstreams;
        let has_changes = is_later && !datagram.changes.is_empty();
        if !shared.is_reading(Topic::Upstreams) {
            return false;
        }
        let interval = shared.reader_interval().mul_f64(DUE_INTERVAL_SHARE);
        let last = self.reader_sent_at;
        let is_due = has_changes || last.is_none_or(|last| now.since(last) >= interval);
        if is_due {
            self.reader_sent_at = Some(now);
        }
        is_due
    }
}

/// Sends what is due to the other data centres of a large fleet.
pub(super) async fn send_due(
    shared: &Shared,
    socket: &UdpSocket,
    rounds: &mut RemoteRounds,
    datagram: &Datagram,
) {
    let now = shared.now();
    if rounds.has_moves(!datagram.moving.is_empty()) {
        let targets = shared.peers(|peers| peers.remote_hosts());
        send(socket, &encode(datagram.moves_only()), &targets).await;
    }
    // The client may repeat the request at any host, and hosts of other data centres would otherwise
    // learn of the crash from the summaries, 1.8 s later.
    let suspects = shared.suspects(|suspects| suspects.take_observed(now));
    if !suspects.is_empty() {
        let targets = shared.peers(|peers| peers.remote_hosts());
        send(socket, &encode(datagram.suspects_only(suspects)), &targets).await;
    }
    if rounds.has_rollout_changes(shared) {
        let targets = shared.peers(|peers| peers.remote_hosts());
        send(socket, &encode(datagram.moves_only()), &targets).await;
    }
    if rounds.is_reader_due(shared, now, datagram) {
        let targets = shared.peers(|peers| peers.remote_hosts());
        send_parts(socket, datagram.log_only(), &targets).await;
    }
    for (data_centre, loads) in rounds.due_loads(shared, now) {
        let targets = shared.peers(|peers| peers.load_recipients(&data_centre));
        send(socket, &encode(datagram.with_remote_loads(loads)), &targets).await;
    }
    if rounds.is_summary_due(now) {
        let partners = shared.peers(|peers| peers.remote_partners(now));
        for (data_centre, partners) in partners {
            let loads = shared.local_loads(&data_centre);
            let evidence = shared.rollout_evidence(|evidences| evidences.announce_data_centre(now));
            let limits = shared.announced_limits_of_data_centre(now);
            let datagram = datagram.with_summary(loads, evidence, limits);
            send(socket, &encode(datagram), &partners).await;
        }
    }
}

/// Requests the load from other data centres whose reports are out of date.
pub(super) async fn query_loads(shared: &Shared, socket: &UdpSocket) {
    let now = shared.now();
    let data_centres = shared.data_centres_to_query(now);
    if data_centres.is_empty() {
        return;
    }
    let query = encode(local_datagram(shared, now).to_load_query());
    for data_centre in data_centres {
        let targets = shared.peers(|peers| peers.query_targets(now, &data_centre));
        send(socket, &query, &targets).await;
    }
}
