//! The other hosts, as their datagrams tell of them: who is live, who reads the log, who has what.
//!
//! The hosts of a data centre all hear each other. Of other data centres a host of a large fleet hears
//! a few hosts at a time, whose words stand for their data centre ([`crate::gateway::gossip`]).

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::IpAddr;
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
/// The same of the answer to a host that has just started: most of a data centre at once.
const ADDRESSES_TOLD_AT_START: usize = 64;
/// Hosts of each other data centre that a stranger is introduced to.
const INTRODUCED: usize = 4;
/// Who knows so many of another data centre, of whom each tells others in turn, needs no introduction.
const KNOWN_ENOUGH: usize = 8;
/// Hosts of each other data centre that a host of a large fleet tells in one of its rounds. All hosts of
/// a data centre do, so that each host hears about as many of it: no word within [`LIVE_FOR`], two
/// rounds and more, is one case in a thousand where as many hosts tell as listen.
const FAR_PARTNERS: usize = 3;

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

/// What was last told of a whole data centre.
#[derive(Debug, Clone, Copy)]
struct DataCentreWord {
    at: Time,
    /// Hosts there that are live, but not this one.
    others: usize,
}

/// What a datagram shows of its sender.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Acquaintance {
    /// A host of the own data centre, or its whole data centre, is new or back.
    pub is_news: bool,
    /// It was not known, and may not know this host.
    pub is_stranger: bool,
    /// It was not known, and knows less than half of the hosts that this one knows.
    pub has_started: bool,
}

/// Which hosts a round is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Recipients {
    /// All.
    All,
    /// Those of the own data centre.
    Near,
}

/// The other hosts, by the address of their datagrams.
#[derive(Debug)]
pub struct Peers {
    own: SocketAddr,
    data_centre: DataCentre,
    seeds: Vec<SocketAddr>,
    peers: BTreeMap<SocketAddr, Peer>,
    /// What was last heard of each data centre.
    words: BTreeMap<DataCentre, DataCentreWord>,
    turn: usize,
    far_turn: usize,
    fetching: bool,
}

impl Peers {
    /// Knows nobody but the seeds; their datagrams arrive at the same port as this host's.
    pub fn new(own: SocketAddr, data_centre: DataCentre, seeds: &[SocketAddr]) -> Self {
        let seeds = seeds
            .iter()
            .map(|seed| SocketAddr::new(seed.ip(), own.port()))
            .filter(|seed| *seed != own)
            .collect();
        Peers {
            own,
            data_centre,
            seeds,
            peers: BTreeMap::new(),
            words: BTreeMap::new(),
            turn: 0,
            far_turn: usize::from(own.port()) ^ address_number(own),
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

    /// A datagram came from `address`.
    pub fn hear(&mut self, now: Time, address: SocketAddr, datagram: &Datagram) -> Acquaintance {
        let known = self
            .peers
            .get(&address)
            .and_then(|peer| peer.heard.as_ref());
        let was_heard_at = known.map(|heard| heard.at);
        let is_near = datagram.data_centre == self.data_centre;
        let last_word = self.words.get(&datagram.data_centre).map(|word| word.at);
        let last = if is_near { was_heard_at } else { last_word };
        let lapsed = |at: Option<Time>| at.is_none_or(|at| now.since(at) > LIVE_FOR);
        let hears = usize::try_from(datagram.hears).unwrap_or(usize::MAX);
        let acquaintance = Acquaintance {
            is_news: lapsed(last),
            is_stranger: known.is_none(),
            has_started: known.is_none() && hears.saturating_mul(2) < self.live(now),
        };
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
        let others = usize::try_from(datagram.hears_near).unwrap_or(usize::MAX);
        let word = DataCentreWord {
            at: now,
            others: others.saturating_add(usize::from(!is_near && !datagram.stopping)),
        };
        self.words.insert(heard.data_centre.clone(), word);
        self.peers.insert(
            address,
            Peer {
                learnt_at: now,
                heard: Some(heard),
            },
        );
        let hosts = datagram.hosts.iter().copied();
        self.learn(now, hosts.filter(|host| host.port() == address.port()));
        for (data_centre, host) in &datagram.introduced {
            let known = self.known_in(data_centre).len();
            if *data_centre != self.data_centre && known < KNOWN_ENOUGH {
                self.learn(now, [*host]);
            }
        }
        acquaintance
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

    /// For how long no host of another data centre was heard; none if none ever was.
    pub(crate) fn silence_outside(&self, now: Time) -> Option<Duration> {
        let words = self.words.iter();
        let outside = words.filter(|(other, _)| **other != self.data_centre);
        outside.map(|(_, word)| now.since(word.at)).min()
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

    /// The live hosts of the own data centre.
    pub(crate) fn live_near(&self, now: Time) -> Vec<HostId> {
        let live = self.live_hosts(now);
        live.filter(|heard| heard.data_centre == self.data_centre)
            .map(|heard| heard.host.clone())
            .collect()
    }

    /// Number of the live hosts of the own data centre.
    pub(crate) fn count_near(&self, now: Time) -> usize {
        let live = self.live_hosts(now);
        live.filter(|heard| heard.data_centre == self.data_centre)
            .count()
    }

    /// Where hosts that have a configuration newer than `version` serve it: those of the own data centre
    /// that were heard a moment ago, else others heard then, else any.
    pub fn holders(&self, now: Time, version: u64) -> Vec<SocketAddr> {
        let holders: Vec<&Heard> = self
            .live_hosts(now)
            .filter(|heard| heard.config > version)
            .collect();
        let silent_for = self.reader_silent_for(now);
        let is_recent = |heard: &&&Heard| now.since(heard.at) < silent_for;
        let recent: Vec<&Heard> = holders.iter().filter(is_recent).copied().collect();
        let is_near = |heard: &&&Heard| heard.data_centre == self.data_centre;
        let near: Vec<&Heard> = recent.iter().filter(is_near).copied().collect();
        let chosen = [near, recent, holders];
        let chosen = chosen.into_iter().find(|hosts| !hosts.is_empty());
        let chosen = chosen.unwrap_or_default();
        chosen.iter().map(|heard| heard.peer_address).collect()
    }

    /// Number of other hosts that are live and not stopping: of each data centre those heard of late, or
    /// as many as the last one heard there knows.
    pub fn live(&self, now: Time) -> usize {
        let mut heard: BTreeMap<&DataCentre, usize> = BTreeMap::new();
        for host in self.live_hosts(now) {
            *heard.entry(&host.data_centre).or_default() += 1;
        }
        let fresh = |word: &DataCentreWord| now.since(word.at) < LIVE_FOR;
        for (data_centre, word) in self.words.iter().filter(|(_, word)| fresh(word)) {
            let known = heard.entry(data_centre).or_default();
            *known = (*known).max(word.others);
        }
        heard.values().sum()
    }

    /// Whether hosts are so few that each reads the log for itself. A host that has just started hears
    /// few others at first, so what these hear counts too: hundreds that start together would each follow
    /// the whole log for seconds (7,492 calls of 295 hosts by second 6 of one play, of 10,152 in all).
    pub(crate) fn is_small(&self, now: Time) -> bool {
        let told = self.live_hosts(now).map(|heard| heard.hears).max();
        let told = usize::try_from(told.unwrap_or(0)).unwrap_or(usize::MAX);
        self.live(now).max(told) < READERS_ONLY_FROM
    }

    /// Whom to send to in this round, beside hosts that are known by their address alone. Forgets hosts
    /// that are silent; seeds are always tried.
    pub fn targets(&mut self, now: Time, recipients: Recipients) -> Vec<SocketAddr> {
        self.peers.retain(|_, peer| {
            let last = peer.heard.as_ref().map_or(peer.learnt_at, |heard| heard.at);
            now.since(last) < TRIED_FOR
        });
        let is_meant = |peer: &Peer| match (recipients, &peer.heard) {
            (Recipients::Near, Some(heard)) => heard.data_centre == self.data_centre,
            (Recipients::All, _) | (_, None) => true,
        };
        let chosen = self.peers.iter().filter(|(_, peer)| is_meant(peer));
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

    /// The hosts of another data centre that are known.
    fn known_in(&self, data_centre: &DataCentre) -> Vec<SocketAddr> {
        let is_there = |peer: &Peer| {
            let heard = peer.heard.as_ref();
            heard.is_some_and(|heard| heard.data_centre == *data_centre && !heard.stopping)
        };
        let there = self.peers.iter().filter(|(_, peer)| is_there(peer));
        there.map(|(address, _)| *address).collect()
    }

    /// All known hosts of other data centres.
    pub(crate) fn all_outside(&self) -> Vec<SocketAddr> {
        self.outside(&self.words.keys().cloned().collect())
    }

    /// The hosts of these data centres, but not of the own one.
    pub(crate) fn outside(&self, data_centres: &BTreeSet<DataCentre>) -> Vec<SocketAddr> {
        let outside = data_centres.iter();
        outside
            .filter(|data_centre| **data_centre != self.data_centre)
            .flat_map(|data_centre| self.known_in(data_centre))
            .collect()
    }

    /// Whom a host of a large fleet tells of its data centre in this round: some hosts of each other one
    /// in turn, and those that read the upstreams for all, who must know whom to tell.
    pub(crate) fn far_partners(&mut self, now: Time) -> BTreeSet<SocketAddr> {
        let outside = self
            .words
            .keys()
            .filter(|other| **other != self.data_centre);
        let mut partners: BTreeSet<SocketAddr> = outside
            .flat_map(|data_centre| {
                in_turn(&self.known_in(data_centre), self.far_turn, FAR_PARTNERS)
            })
            .collect();
        self.far_turn = self.far_turn.wrapping_add(FAR_PARTNERS);
        partners.extend(self.readers_for_all(now));
        partners
    }

    /// The live hosts that read the upstreams for all.
    fn readers_for_all(&self, now: Time) -> Vec<SocketAddr> {
        let reads = |peer: &Peer| {
            let heard = peer.heard.as_ref();
            peer.is_live(now) && heard.is_some_and(|heard| heard.reading.upstreams)
        };
        let readers = self.peers.iter().filter(|(_, peer)| reads(peer));
        readers.map(|(address, _)| *address).collect()
    }

    /// A few live hosts to tell of, in turn; in a large fleet those of the own data centre, and who reads
    /// the upstreams for all: of two that read, the second must hear the first to leave it to that one.
    pub(crate) fn some(&mut self, now: Time) -> Vec<SocketAddr> {
        let is_small = self.is_small(now);
        let live = match is_small {
            true => self.all_live(now),
            false => self.live_in(now, &self.data_centre),
        };
        self.turn = self.turn.wrapping_add(ADDRESSES_TOLD);
        let mut some = in_turn(&live, self.turn, ADDRESSES_TOLD);
        if !is_small {
            some.extend(self.readers_for_all(now).into_iter().take(ADDRESSES_TOLD));
        }
        some
    }

    /// Some hosts of each data centre but `own`, for a host there.
    pub(crate) fn introductions(
        &mut self,
        now: Time,
        own: &DataCentre,
    ) -> Vec<(DataCentre, SocketAddr)> {
        self.turn = self.turn.wrapping_add(INTRODUCED);
        let others = self.words.keys().filter(|other| *other != own);
        let introduced = others.flat_map(|other| {
            let there = in_turn(&self.live_in(now, other), self.turn, INTRODUCED);
            there.into_iter().map(|host| (other.clone(), host))
        });
        introduced.collect()
    }

    /// The hosts of a data centre, for one of them that has just started.
    pub(crate) fn neighbours_of(&self, now: Time, data_centre: &DataCentre) -> Vec<SocketAddr> {
        in_turn(&self.live_in(now, data_centre), 0, ADDRESSES_TOLD_AT_START)
    }

    fn all_live(&self, now: Time) -> Vec<SocketAddr> {
        let live = self.peers.iter().filter(|(_, peer)| peer.is_live(now));
        live.map(|(address, _)| *address).collect()
    }

    fn live_in(&self, now: Time, data_centre: &DataCentre) -> Vec<SocketAddr> {
        let mut there = self.known_in(data_centre);
        there.retain(|address| {
            self.peers
                .get(address)
                .is_some_and(|peer| peer.is_live(now))
        });
        there
    }
}

/// `count` of `addresses`, from `turn` on and round.
fn in_turn(addresses: &[SocketAddr], turn: usize, count: usize) -> Vec<SocketAddr> {
    let from = turn.checked_rem(addresses.len()).unwrap_or(0);
    let rotated = addresses.iter().cycle().skip(from);
    rotated.take(count.min(addresses.len())).copied().collect()
}

/// A number that hosts mostly don't share.
fn address_number(address: SocketAddr) -> usize {
    match address.ip() {
        IpAddr::V4(ip) => ip.octets().iter().map(|octet| usize::from(*octet)).sum(),
        IpAddr::V6(ip) => ip.segments().iter().map(|part| usize::from(*part)).sum(),
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
