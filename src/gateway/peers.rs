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
use crate::gateway::document::catchup::Distance;
use crate::gateway::document::catchup::Holder;
use crate::gateway::rendezvous;
use crate::id::DataCentre;
use crate::id::HostId;

/// A host that was not heard for so long counts no more: two rounds to other data centres.
const LIVE_FOR: Duration = Duration::from_millis(4_000);
/// Who knows so many of another data centre, of whom each tells others in turn, needs no introduction.
const KNOWN_ENOUGH: usize = 8;

mod fleetsize;
mod partners;
mod readers;

use self::fleetsize::FleetSize;
#[cfg(test)]
pub(crate) use self::partners::FAR_PARTNERS;
pub use self::partners::Recipients;

/// What a host fetches from peers. A long transfer of one doesn't hold up the other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Fetch {
    /// A newer configuration.
    Configuration,
    /// The list of upstreams, or its changes.
    Upstreams,
}

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

impl Heard {
    fn of(now: Time, address: SocketAddr, datagram: &Datagram) -> Self {
        Heard {
            at: now,
            host: datagram.host.clone(),
            data_centre: datagram.data_centre.clone(),
            peer_address: SocketAddr::new(address.ip(), datagram.peer_port),
            config: datagram.config,
            reading: datagram.reading,
            unreadable: datagram.unreadable,
            hears: datagram.hears,
            stopping: datagram.stopping,
        }
    }
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

/// The other hosts, by the address of their datagrams.
#[derive(Debug)]
pub struct Peers {
    own: SocketAddr,
    data_centre: DataCentre,
    seeds: Vec<SocketAddr>,
    peers: BTreeMap<SocketAddr, Peer>,
    /// What was last heard of each data centre.
    words: BTreeMap<DataCentre, DataCentreWord>,
    size: FleetSize,
    turn: usize,
    far_turn: usize,
    fetching: BTreeSet<Fetch>,
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
            size: FleetSize::default(),
            turn: 0,
            far_turn: usize::from(own.port()) ^ address_number(own),
            fetching: BTreeSet::new(),
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
        let acquaintance = self.acquaint(now, address, datagram);
        let is_near = datagram.data_centre == self.data_centre;
        let others = usize::try_from(datagram.hears_near).unwrap_or(usize::MAX);
        let word = DataCentreWord {
            at: now,
            others: others.saturating_add(usize::from(!is_near && !datagram.stopping)),
        };
        self.words.insert(datagram.data_centre.clone(), word);
        let counted = usize::try_from(datagram.counted).unwrap_or(usize::MAX);
        self.size.hear(now, counted);
        self.peers.insert(
            address,
            Peer {
                learnt_at: now,
                heard: Some(Heard::of(now, address, datagram)),
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

    /// What a datagram shows of its sender, before it is taken.
    fn acquaint(&self, now: Time, address: SocketAddr, datagram: &Datagram) -> Acquaintance {
        let known = self.peers.get(&address);
        let known = known.and_then(|peer| peer.heard.as_ref());
        let last = match datagram.data_centre == self.data_centre {
            true => known.map(|heard| heard.at),
            false => self.words.get(&datagram.data_centre).map(|word| word.at),
        };
        let hears = usize::try_from(datagram.hears).unwrap_or(usize::MAX);
        Acquaintance {
            is_news: last.is_none_or(|at| now.since(at) > LIVE_FOR),
            is_stranger: known.is_none(),
            has_started: known.is_none() && hears.saturating_mul(2) < self.live(now),
        }
    }

    fn live_hosts(&self, now: Time) -> impl Iterator<Item = &Heard> {
        let heard = self.peers.values().filter_map(|peer| peer.heard.as_ref());
        heard.filter(move |heard| now.since(heard.at) < LIVE_FOR && !heard.stopping)
    }

    /// For how long no host of another data centre was heard; none if none ever was.
    pub(crate) fn silence_outside(&self, now: Time) -> Option<Duration> {
        self.silences_outside(now).min()
    }

    /// For how long the most silent of the other data centres was not heard; none if there is none.
    pub(crate) fn longest_silence_outside(&self, now: Time) -> Option<Duration> {
        self.silences_outside(now).max()
    }

    fn silences_outside(&self, now: Time) -> impl Iterator<Item = Duration> {
        let words = self.words.iter();
        let outside = words.filter(|(other, _)| **other != self.data_centre);
        outside.map(move |(_, word)| now.since(word.at))
    }

    /// The live hosts of the own data centre.
    pub(crate) fn live_near(&self, now: Time) -> Vec<HostId> {
        let live = self.live_hosts(now);
        live.filter(|heard| heard.data_centre == self.data_centre)
            .map(|heard| heard.host.clone())
            .collect()
    }

    /// Whether of all hosts `host`, this one, is the one to do something once that `what` names: the same data centre
    /// of those heard of late, and the same host of it, for all who hear the same.
    pub(crate) fn is_chosen(&self, now: Time, host: &HostId, what: &str) -> bool {
        let words = self.words.iter();
        let heard = words.filter(|(_, word)| now.since(word.at) < LIVE_FOR);
        let data_centres = heard.map(|(data_centre, _)| data_centre.as_str());
        let near = self.live_near(now);
        let hosts = near.iter().map(HostId::as_str);
        rendezvous::is_first(self.data_centre.as_str(), data_centres, what)
            && rendezvous::is_first(host.as_str(), hosts, what)
    }

    /// How many hosts come before `host`, this one, in doing what `what` names: of a small fleet all, else one of each data
    /// centre.
    pub(crate) fn rank(&self, now: Time, host: &HostId, what: &str) -> usize {
        if self.is_small(now) {
            let others = self.live_hosts(now).map(|heard| heard.host.as_str());
            return rendezvous::count_before(host.as_str(), others, what);
        }
        let words = self.words.iter();
        let heard = words.filter(|(_, word)| now.since(word.at) < LIVE_FOR);
        let data_centres = heard.map(|(data_centre, _)| data_centre.as_str());
        rendezvous::count_before(self.data_centre.as_str(), data_centres, what)
    }

    /// Number of the live hosts of the own data centre.
    pub(crate) fn count_near(&self, now: Time) -> usize {
        let live = self.live_hosts(now);
        live.filter(|heard| heard.data_centre == self.data_centre)
            .count()
    }

    /// The hosts that have a configuration newer than `version`.
    pub fn holders(&self, now: Time, version: u64) -> Vec<Holder> {
        let silent_for = self.reader_silent_for(now);
        let distance = |heard: &Heard| match now.since(heard.at) < silent_for {
            true if heard.data_centre == self.data_centre => Distance::Near,
            true => Distance::Far,
            false => Distance::Silent,
        };
        let newer = self.live_hosts(now).filter(|heard| heard.config > version);
        let holder = |heard: &Heard| Holder {
            address: heard.peer_address,
            version: heard.config,
            distance: distance(heard),
        };
        newer.map(holder).collect()
    }

    /// The newest version of the configuration that a live host has in force; 0 if none is heard.
    pub(crate) fn newest_version(&self, now: Time) -> u64 {
        let versions = self.live_hosts(now).map(|heard| heard.config);
        versions.max().unwrap_or(0)
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

    /// Counts the live hosts; to be called in each round.
    pub(crate) fn count(&mut self, now: Time) {
        let live = self.live(now) + 1;
        self.size.count(now, live);
    }

    /// The most hosts that this one has counted of late, itself included.
    pub(crate) fn counted(&self, now: Time) -> usize {
        self.size.counted(now)
    }

    /// The hosts among which bounds of the fleet are divided: the most that are known to have been live of late, and at least
    /// the seeds.
    pub(crate) fn sharing(&self, now: Time) -> usize {
        let others = self.live(now).max(self.seeds.len());
        self.size.most(now).max(others + 1)
    }

    /// Begins to fetch something from peers; false while that is under way.
    pub(crate) fn begin_fetch(&mut self, fetch: Fetch) -> bool {
        self.fetching.insert(fetch)
    }

    /// Whether something is being fetched from peers.
    pub(crate) fn is_fetching(&self, fetch: Fetch) -> bool {
        self.fetching.contains(&fetch)
    }

    /// The fetch has ended.
    pub(crate) fn end_fetch(&mut self, fetch: Fetch) {
        self.fetching.remove(&fetch);
    }
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
