//! The other hosts, as their datagrams tell of them: who is live, who reads the log, who has what.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::clock::Time;
use crate::gateway::datagram::Datagram;
use crate::gateway::datagram::Topics;
use crate::gateway::protocol::Topic;
use crate::id::DataCentre;
use crate::id::HostId;

/// A host that was not heard for so long counts no more: two rounds to other data centres.
const LIVE_FOR: Duration = Duration::from_millis(4_000);
/// Hosts that read the log for others send to them at least this often.
const READER_INTERVAL_MIN: Duration = Duration::from_millis(300);
/// and wait so much longer for each host, so that they send 500 datagrams a second at most. With rounds of
/// 4 ms a host, 1.18 s at 295 hosts, all took the readers for silent in each round and read the log
/// themselves: 29,385 calls in a play of 61 s, 10,152 with rounds of their own.
const READER_INTERVAL_PER_HOST: Duration = Duration::from_millis(2);
/// A reader that was silent for so long is replaced: three of its rounds.
const READER_SILENT_FOR_MIN: Duration = Duration::from_millis(1_000);
/// and for so many of its rounds where they are longer.
const READER_SILENT_ROUNDS: f64 = 2.5;
/// Hosts that are no candidates leave it to those for so many times as long, before they read for
/// themselves.
const PATIENT_ROUNDS: u32 = 2;
/// With fewer other hosts each reads the log for itself: their calls cost less than half a percent
/// of what is served, and need no one else.
pub(crate) const READERS_ONLY_FROM: usize = 12;
/// Hosts of a data centre that look for a log that is away: one, and another if it is turned away.
const LOOKOUTS: usize = 2;
/// Hosts of a data centre that try to read the log at once where nobody is answered. With a third of
/// the hosts turned away all of three are in 4 cases of 100, and one try takes 0.4 s or more.
const CANDIDATES: usize = 3;
/// An address that never answers is tried for this long, and again when it is learnt anew.
const TRIED_FOR: Duration = Duration::from_secs(15);
/// Addresses of other hosts that a datagram carries.
const ADDRESSES_TOLD: usize = 4;

/// What is known of another host.
#[derive(Debug, Clone)]
struct Peer {
    learnt_at: Time,
    heard: Option<Heard>,
}

/// What a host's last datagram said.
#[derive(Debug, Clone)]
struct Heard {
    at: Time,
    host: HostId,
    data_centre: DataCentre,
    peer_address: SocketAddr,
    config: u64,
    reading: Topics,
    unreadable: Topics,
    hears: u32,
    stopping: bool,
}

/// The other hosts, by the address of their datagrams.
#[derive(Debug)]
pub struct Peers {
    own: SocketAddr,
    seeds: Vec<SocketAddr>,
    peers: BTreeMap<SocketAddr, Peer>,
    /// When a host of each data centre was last heard.
    heard_at: BTreeMap<DataCentre, Time>,
    turn: usize,
    fetching: bool,
}

impl Peers {
    /// Knows nobody but the seeds; their datagrams arrive at the same port as this host's.
    pub fn new(own: SocketAddr, seeds: &[SocketAddr]) -> Self {
        let seeds = seeds
            .iter()
            .map(|seed| SocketAddr::new(seed.ip(), own.port()))
            .filter(|seed| *seed != own)
            .collect();
        Peers {
            own,
            seeds,
            peers: BTreeMap::new(),
            heard_at: BTreeMap::new(),
            turn: 0,
            fetching: false,
        }
    }

    /// Addresses of hosts, by hearsay.
    pub fn learn(&mut self, now: Time, addresses: impl IntoIterator<Item = SocketAddr>) {
        for address in addresses {
            if address == self.own {
                continue;
            }
            self.peers.entry(address).or_insert(Peer {
                learnt_at: now,
                heard: None,
            });
        }
    }

    /// A datagram came from `address`. True if the host is new or back.
    pub fn hear(&mut self, now: Time, address: SocketAddr, datagram: &Datagram) -> bool {
        let known = self
            .peers
            .get(&address)
            .and_then(|peer| peer.heard.as_ref());
        let is_news = known.is_none_or(|heard| now.since(heard.at) > LIVE_FOR);
        let heard = Heard {
            at: now,
            host: datagram.host.clone(),
            data_centre: datagram.data_centre.clone(),
            peer_address: SocketAddr::new(address.ip(), datagram.peer_port),
            config: datagram.config,
            reading: datagram.reading,
            unreadable: datagram.unreadable,
            hears: datagram.hears,
            stopping: datagram.stopping,
        };
        self.heard_at.insert(heard.data_centre.clone(), now);
        self.peers.insert(
            address,
            Peer {
                learnt_at: now,
                heard: Some(heard),
            },
        );
        let hosts = datagram.hosts.iter().copied();
        self.learn(now, hosts.filter(|host| host.port() == address.port()));
        is_news
    }

    fn live_hosts(&self, now: Time) -> impl Iterator<Item = &Heard> {
        let heard = self.peers.values().filter_map(|peer| peer.heard.as_ref());
        heard.filter(move |heard| now.since(heard.at) < LIVE_FOR && !heard.stopping)
    }

    /// Whether this host shall read a topic of the log. While hosts are few, each reads for itself.
    ///
    /// Else what operators publish is read by one host of each data centre, from which the others
    /// fetch it, and the upstreams, whose changes are many and small, by one host for all. The reader
    /// is the first by name of the hosts that are heard and are answered by the log. Where none is
    /// answered, the first few of a data centre that don't know better try at once.
    pub fn is_reader(
        &self,
        now: Time,
        host: &HostId,
        data_centre: &DataCentre,
        topic: Topic,
    ) -> bool {
        if self.is_small(now) {
            return true;
        }
        let silent_for = self.reader_silent_for(now);
        let before = self
            .live_hosts(now)
            .filter(|heard| heard.host < *host && now.since(heard.at) < silent_for);
        let mut candidates = 0;
        for heard in before {
            let is_near = heard.data_centre == *data_centre;
            let reads_for_all = is_near || topic == Topic::Upstreams;
            if reads_for_all && heard.reading.contains(topic) {
                return false;
            }
            if is_near && !heard.unreadable.contains(topic) {
                candidates += 1;
            }
        }
        candidates < CANDIDATES
    }

    /// Whether a host that reads a topic of the log was heard a moment ago.
    pub fn hears_reader(&self, now: Time, topic: Topic) -> bool {
        self.heard_reader_within(now, topic, self.reader_silent_for(now))
    }

    /// Whether such a host was heard lately enough that a host which is no candidate waits for its word.
    pub(crate) fn awaits_reader(&self, now: Time, topic: Topic) -> bool {
        let patience = self.reader_silent_for(now) * PATIENT_ROUNDS;
        self.heard_reader_within(now, topic, patience)
    }

    fn heard_reader_within(&self, now: Time, topic: Topic, within: Duration) -> bool {
        self.live_hosts(now)
            .any(|heard| heard.reading.contains(topic) && now.since(heard.at) < within)
    }

    /// How often a host that reads the log for others sends to them.
    pub(crate) fn reader_interval(&self, now: Time) -> Duration {
        let hosts = u32::try_from(self.live(now)).unwrap_or(u32::MAX);
        READER_INTERVAL_MIN.max(READER_INTERVAL_PER_HOST.saturating_mul(hosts))
    }

    fn reader_silent_for(&self, now: Time) -> Duration {
        let rounds = self.reader_interval(now).mul_f64(READER_SILENT_ROUNDS);
        READER_SILENT_FOR_MIN.max(rounds)
    }

    /// For how long no host outside `own` was heard; none if none ever was.
    pub(crate) fn silence_outside(&self, now: Time, own: &DataCentre) -> Option<Duration> {
        let outside = self.heard_at.iter().filter(|(other, _)| *other != own);
        outside.map(|(_, at)| now.since(*at)).min()
    }

    /// Whether this host is among the first by name of the live hosts of its data centre: those look
    /// for a log that is away more often than the others, who hear of its return from them. While hosts
    /// are few, each looks for itself.
    pub fn is_lookout(&self, now: Time, host: &HostId, data_centre: &DataCentre) -> bool {
        if self.is_small(now) {
            return true;
        }
        let before = self
            .live_hosts(now)
            .filter(|heard| heard.data_centre == *data_centre && heard.host < *host);
        before.count() < LOOKOUTS
    }

    /// The live hosts of a data centre.
    pub(crate) fn live_inside(&self, now: Time, data_centre: &DataCentre) -> Vec<HostId> {
        let live = self.live_hosts(now);
        live.filter(|heard| heard.data_centre == *data_centre)
            .map(|heard| heard.host.clone())
            .collect()
    }

    /// Where hosts that have a configuration newer than `version` serve it: those that were heard a
    /// moment ago, if there are any.
    pub fn holders(&self, now: Time, version: u64) -> Vec<SocketAddr> {
        let holders: Vec<&Heard> = self
            .live_hosts(now)
            .filter(|heard| heard.config > version)
            .collect();
        let silent_for = self.reader_silent_for(now);
        let is_recent = |heard: &&&Heard| now.since(heard.at) < silent_for;
        let recent: Vec<&Heard> = holders.iter().filter(is_recent).copied().collect();
        let chosen = if recent.is_empty() { holders } else { recent };
        chosen.iter().map(|heard| heard.peer_address).collect()
    }

    /// Number of hosts heard of late that are not stopping.
    pub fn live(&self, now: Time) -> usize {
        self.live_hosts(now).count()
    }

    /// Whether hosts are so few that each reads the log for itself. A host that has just started hears
    /// few others at first, so what these hear counts too: hundreds that start together would each follow
    /// the whole log for seconds (7,492 calls of 295 hosts by second 6 of one play, of 10,152 in all).
    pub(crate) fn is_small(&self, now: Time) -> bool {
        let told = self.live_hosts(now).map(|heard| heard.hears).max();
        let told = usize::try_from(told.unwrap_or(0)).unwrap_or(usize::MAX);
        self.live(now).max(told) < READERS_ONLY_FROM
    }

    /// Whom to send to in this round: all hosts, or only those of `data_centre` and unknown ones.
    /// Forgets hosts that are silent; seeds are always tried.
    pub fn targets(&mut self, now: Time, only: Option<&DataCentre>) -> Vec<SocketAddr> {
        self.peers.retain(|_, peer| {
            let last = peer.heard.as_ref().map_or(peer.learnt_at, |heard| heard.at);
            now.since(last) < TRIED_FOR
        });
        let near = |peer: &Peer| match (only, &peer.heard) {
            (Some(only), Some(heard)) => heard.data_centre == *only,
            (None, _) | (_, None) => true,
        };
        let chosen = self.peers.iter().filter(|(_, peer)| near(peer));
        let mut targets: Vec<SocketAddr> = chosen.map(|(address, _)| *address).collect();
        let unknown = self
            .seeds
            .iter()
            .filter(|seed| !self.peers.contains_key(seed));
        targets.extend(unknown);
        targets
    }

    /// Begins to fetch what a peer has newer; false while another fetch is under way.
    pub fn begin_fetch(&mut self) -> bool {
        !std::mem::replace(&mut self.fetching, true)
    }

    /// The fetch has ended.
    pub fn end_fetch(&mut self) {
        self.fetching = false;
    }

    /// The live hosts of other data centres.
    pub(crate) fn live_outside(&self, now: Time, own: &DataCentre) -> Vec<SocketAddr> {
        let is_far = |peer: &Peer| {
            let heard = peer.heard.as_ref();
            peer.is_live(now) && heard.is_some_and(|heard| heard.data_centre != *own)
        };
        let far = self.peers.iter().filter(|(_, peer)| is_far(peer));
        far.map(|(address, _)| *address).collect()
    }

    /// A few live hosts to tell of, in turn.
    pub(crate) fn some(&mut self, now: Time) -> Vec<SocketAddr> {
        let live: Vec<SocketAddr> = self
            .peers
            .iter()
            .filter(|(_, peer)| peer.is_live(now))
            .map(|(address, _)| *address)
            .collect();
        if live.is_empty() {
            return live;
        }
        self.turn = (self.turn + ADDRESSES_TOLD) % live.len();
        let rotated = live.iter().cycle().skip(self.turn);
        rotated
            .take(ADDRESSES_TOLD.min(live.len()))
            .copied()
            .collect()
    }
}

impl Peer {
    fn is_live(&self, now: Time) -> bool {
        let heard = self.heard.as_ref();
        heard.is_some_and(|heard| now.since(heard.at) < LIVE_FOR)
    }
}

#[cfg(test)]
mod tests;
