//! What a host of a large fleet tells the other data centres, and asks of them.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::net::UdpSocket;

use super::own_datagram;
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
const EACH_ROUND: f64 = 0.9;

/// When other data centres were last sent to.
#[derive(Debug, Default)]
pub(super) struct FarRounds {
    /// Some hosts of each, what the whole data centre runs.
    last: Option<Time>,
    /// All hosts, by a host that reads the upstreams for all.
    last_of_reader: Option<Time>,
    was_moving: bool,
    /// The log's position up to which this host had told of upstreams.
    told_upstreams: Position,
    /// What was last told to other data centres of what this host runs there, and when.
    told_visits: BTreeMap<DataCentre, (Time, Vec<(InstanceKey, Load)>)>,
    /// Up to when it had told of requests under which it saw upstreams crash.
    told_suspects: Time,
    /// What it had told of roll-outs.
    told_rollouts: u64,
}

impl FarRounds {
    /// Whether the time has come to tell of the data centre.
    fn is_due(&mut self, now: Time) -> bool {
        let is_due = self
            .last
            .is_none_or(|last| now.since(last) >= REMOTE_INTERVAL);
        if is_due {
            self.last = Some(now);
        }
        is_due
    }

    /// Whether there is something to tell of turns, be it that nothing is left to move.
    fn tells_turns(&mut self, is_moving: bool) -> bool {
        std::mem::replace(&mut self.was_moving, is_moving) || is_moving
    }

    /// Whether this host learnt something of roll-outs since the round before that no other host has told.
    fn tells_rollouts(&mut self, shared: &Shared) -> bool {
        let news = shared.directory(|directory| directory.rollouts().local_changes());
        std::mem::replace(&mut self.told_rollouts, news) != news
    }

    /// What is to be told to other data centres of what this host runs there: what changed, what was told a while
    /// ago, and once that nothing is left.
    fn visits_due(
        &mut self,
        shared: &Shared,
        now: Time,
    ) -> BTreeMap<DataCentre, Vec<(InstanceKey, Load)>> {
        let mut visits = shared.own_remote_loads();
        for data_centre in self.told_visits.keys() {
            visits.entry(data_centre.clone()).or_default();
        }
        visits.retain(|data_centre, loads| {
            let told = self.told_visits.get(data_centre);
            told.is_none_or(|(at, told)| told != loads || now.since(*at) >= REMOTE_INTERVAL)
        });
        for (data_centre, loads) in &visits {
            let was_empty = self
                .told_visits
                .insert(data_centre.clone(), (now, loads.clone()))
                .is_none_or(|(_, told)| told.is_empty());
            if loads.is_empty() && was_empty {
                self.told_visits.remove(data_centre);
            }
        }
        visits
    }

    /// What this host has seen since the round before of requests under which upstreams crash.
    fn new_suspects(&mut self, shared: &Shared, now: Time) -> Vec<AnnouncedSuspect> {
        let since = std::mem::replace(&mut self.told_suspects, now);
        shared.suspects(|suspects| suspects.observed_since(now, since))
    }

    /// Whether this host reads the upstreams for all, and the others must hear that it does, or what has
    /// changed.
    fn is_due_of_reader(&mut self, shared: &Shared, now: Time, datagram: &Datagram) -> bool {
        let upstreams = datagram.upstreams;
        let is_later = std::mem::replace(&mut self.told_upstreams, upstreams) != upstreams;
        let has_news = is_later && !datagram.changes.is_empty();
        if !shared.is_reading(Topic::Upstreams) {
            return false;
        }
        let interval = shared.reader_interval().mul_f64(EACH_ROUND);
        let last = self.last_of_reader;
        let is_due = has_news || last.is_none_or(|last| now.since(last) >= interval);
        if is_due {
            self.last_of_reader = Some(now);
        }
        is_due
    }
}

/// Tells the other data centres of a large fleet what is due.
pub(super) async fn send_far(
    shared: &Shared,
    socket: &UdpSocket,
    far: &mut FarRounds,
    datagram: &Datagram,
) {
    let now = shared.now();
    if far.tells_turns(!datagram.moving.is_empty()) {
        let targets = shared.peers(|peers| peers.all_outside());
        send(socket, &encode(datagram.moves_only()), &targets).await;
    }
    // A repeat may go to any host next, and what a host tells its own data centre first is heard in
    // others 1.8 s later.
    let suspects = far.new_suspects(shared, now);
    if !suspects.is_empty() {
        let all = shared.peers(|peers| peers.all_outside());
        send(socket, &encode(datagram.suspects_only(suspects)), &all).await;
    }
    if far.tells_rollouts(shared) {
        let all = shared.peers(|peers| peers.all_outside());
        send(socket, &encode(datagram.moves_only()), &all).await;
    }
    if far.is_due_of_reader(shared, now, datagram) {
        let all = shared.peers(|peers| peers.all_outside());
        send_parts(socket, datagram.log_only(), &all).await;
    }
    for (data_centre, loads) in far.visits_due(shared, now) {
        let visited = shared.peers(|peers| peers.hosts_visited(&data_centre));
        send(socket, &encode(datagram.with_remote_loads(loads)), &visited).await;
    }
    if far.is_due(now) {
        let partners = shared.peers(|peers| peers.far_partners(now));
        for (data_centre, partners) in partners {
            let loads = shared.local_loads(&data_centre);
            let evidence = shared.rollout_evidence(|evidences| evidences.announce_data_centre(now));
            let datagram = datagram.with_summary(loads, evidence);
            send(socket, &encode(datagram), &partners).await;
        }
    }
}

/// Asks other data centres whose words are old what runs at their upstreams.
pub(super) async fn ask(shared: &Shared, socket: &UdpSocket) {
    let now = shared.now();
    let data_centres = shared.data_centres_to_query(now);
    if data_centres.is_empty() {
        return;
    }
    let asking = encode(own_datagram(shared, now).to_load_query());
    for data_centre in data_centres {
        let asked = shared.peers(|peers| peers.hosts_asked(now, &data_centre));
        send(socket, &asking, &asked).await;
    }
}
