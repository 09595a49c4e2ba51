//! What a host of a large fleet tells the other data centres, and asks of them.

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
use crate::gateway::suspects::AnnouncedSuspect;
use crate::id::DataCentre;

/// Some hosts of each other data centre are sent to at this interval while hosts are many: bytes between
/// data centres are priced, and what they tell of is believed for 4 s.
pub(crate) const REMOTE_INTERVAL: Duration = Duration::from_millis(1_800);
/// Rounds come a little sooner or later than their interval: what is due in each has this part of it.
const DUE_INTERVAL_SHARE: f64 = 0.9;

/// When other data centres were last sent to.
#[derive(Debug, Default)]
pub(super) struct RemoteRounds {
    /// Some hosts of each, what the whole data centre runs.
    summary_sent_at: Option<Time>,
    /// All hosts, by a host that reads the upstreams for all.
    reader_sent_at: Option<Time>,
    was_moving: bool,
    /// The log's position up to which this host had told of upstreams.
    announced_upstreams: Position,
    /// What was last told to other data centres of what this host runs there, and when.
    announced_loads: BTreeMap<DataCentre, (Time, Vec<(InstanceKey, Load)>)>,
    /// Up to when it had told of requests under which it saw upstreams crash.
    suspects_sent_at: Time,
    /// What it had told of roll-outs.
    announced_rollouts: u64,
}

impl RemoteRounds {
    /// Whether the time has come to tell of the data centre.
    fn is_summary_due(&mut self, now: Time) -> bool {
        let is_due = self
            .summary_sent_at
            .is_none_or(|last| now.since(last) >= REMOTE_INTERVAL);
        if is_due {
            self.summary_sent_at = Some(now);
        }
        is_due
    }

    /// Whether there is something to tell of turns, be it that nothing is left to move.
    fn has_moves(&mut self, is_moving: bool) -> bool {
        std::mem::replace(&mut self.was_moving, is_moving) || is_moving
    }

    /// Whether this host learnt something of roll-outs since the round before that no other host has told.
    fn has_rollout_changes(&mut self, shared: &Shared) -> bool {
        let changes = shared.directory(|directory| directory.rollouts().local_changes());
        std::mem::replace(&mut self.announced_rollouts, changes) != changes
    }

    /// What is to be told to other data centres of what this host runs there: what changed, what was told a while
    /// ago, and once that nothing is left.
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

    /// What this host has seen since the round before of requests under which upstreams crash.
    fn new_suspects(&mut self, shared: &Shared, now: Time) -> Vec<AnnouncedSuspect> {
        let since = std::mem::replace(&mut self.suspects_sent_at, now);
        shared.suspects(|suspects| suspects.observed_since(now, since))
    }

    /// Whether this host reads the upstreams for all, and the others must hear that it does, or what has
    /// changed.
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

/// Tells the other data centres of a large fleet what is due.
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
    // A repeat may go to any host next, and what a host tells its own data centre first is heard in
    // others 1.8 s later.
    let suspects = rounds.new_suspects(shared, now);
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
            let datagram = datagram.with_summary(loads, evidence);
            send(socket, &encode(datagram), &partners).await;
        }
    }
}

/// Asks other data centres whose words are old what runs at their upstreams.
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
