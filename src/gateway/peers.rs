//! The other hosts, as their datagrams tell of them: who is live, who reads the log, who has what.
//!
//! The hosts of a data centre all hear each other. Of other data centres a host of a large fleet hears
//! a few hosts at a time, whose words stand for their data centre ([`crate::gateway::gossip`]).

#[cfg(test)]
use std::cell::Cell;
use std::cell::RefCell;
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
use crate::gateway::position::Position;
use crate::gateway::protocol::Topic;
use crate::gateway::rendezvous;
use crate::id::DataCentre;
use crate::id::HostId;

/// A host that was not heard for so long counts no more: two rounds to other data centres.
const LIVE_FOR: Duration = Duration::from_millis(4_000);
/// Who knows so many of another data centre, of whom each tells others in turn, needs no introduction.
const KNOWN_ENOUGH: usize = 8;

mod census;
mod fleetsize;
mod forgetting;
mod partners;
mod readers;

use self::census::Census;
use self::fleetsize::FleetSize;
#[cfg(test)]
pub(crate) use self::partners::REMOTE_PARTNERS;
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
    upstreams: Position,
    reading: Topics,
    unreadable: Topics,
    hears: u32,
    stopping: bool,
}

impl Heard {
    fn is_live(&self, now: Time) -> bool {
        now.since(self.at) < LIVE_FOR && !self.stopping
    }

    fn of(now: Time, address: SocketAddr, datagram: &Datagram) -> Self {
        Heard {
            at: now,
            host: datagram.host.clone(),
            data_centre: datagram.data_centre.clone(),
            peer_address: SocketAddr::new(address.ip(), datagram.peer_port),
            config: datagram.config,
            upstreams: datagram.upstreams,
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
pub struct SenderStatus {
    /// A host of the own data centre, or its whole data centre, is new or back.
    pub has_joined: bool,
    /// It was not known, and may not know this host.
    pub is_unknown: bool,
    /// It was not known, and knows less than half of the hosts that this one knows.
    pub is_newcomer: bool,
    /// It was not known, and lacks hosts that this one can tell it of.
    pub lacks_hosts: bool,
}

/// The other hosts, by the address of their datagrams.
#[derive(Debug)]
pub struct Peers {
    own: SocketAddr,
    data_centre: DataCentre,
    seeds: Vec<SocketAddr>,
    peers: BTreeMap<SocketAddr, Peer>,
    /// Those of `peers` that were heard, by data centre.
    places: BTreeMap<DataCentre, BTreeSet<SocketAddr>>,
    /// Those of `peers` that read the log.
    readers: BTreeSet<SocketAddr>,
    census: RefCell<Option<Census>>,
    /// What was last heard of each data centre.
    words: BTreeMap<DataCentre, DataCentreWord>,
    size: FleetSize,
    turn: usize,
    far_turn: usize,
    relay_turn: usize,
    fetching: BTreeSet<Fetch>,
    /// Hosts looked up by address.
    #[cfg(test)]
    looks: Cell<usize>,
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
            places: BTreeMap::new(),
            readers: BTreeSet::new(),
            census: RefCell::default(),
            words: BTreeMap::new(),
            size: FleetSize::default(),
            turn: 0,
            relay_turn: 0,
            far_turn: usize::from(own.port()) ^ address_number(own),
            fetching: BTreeSet::new(),
            #[cfg(test)]
            looks: Cell::default(),
        }
    }

    /// Addresses of hosts, by hearsay.
    pub fn add_addresses(&mut self, now: Time, addresses: impl IntoIterator<Item = SocketAddr>) {
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
    pub fn receive(&mut self, now: Time, address: SocketAddr, datagram: &Datagram) -> SenderStatus {
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
        self.enter(now, address, Heard::of(now, address, datagram));
        if is_near || !self.knows_enough_in(&datagram.data_centre) {
            let hosts = datagram.hosts.iter().copied();
            self.add_addresses(now, hosts.filter(|host| host.port() == address.port()));
        }
        for (data_centre, host) in &datagram.introduced {
            if *data_centre != self.data_centre && !self.knows_enough_in(data_centre) {
                self.add_addresses(now, [*host]);
            }
        }
        acquaintance
    }

    /// Takes what a host says of itself.
    fn enter(&mut self, now: Time, address: SocketAddr, heard: Heard) {
        if heard.reading == Topics::default() {
            self.readers.remove(&address);
        } else {
            self.readers.insert(address);
        }
        if let Some(census) = self.census.get_mut() {
            census.note(&heard);
            if !heard.stopping {
                census.add(&heard.data_centre);
            }
        }
        let data_centre = heard.data_centre.clone();
        let (config, hears) = (heard.config, heard.hears);
        let peer = Peer {
            learnt_at: now,
            heard: Some(heard),
        };
        let before = self.peers.insert(address, peer);
        let before = before.and_then(|peer| peer.heard);
        if let Some(before) = &before {
            let fewer = before.hears > hears || before.config > config;
            match self.census.get_mut() {
                // It may have been the one with the most.
                census if fewer => *census = None,
                Some(census) if before.is_live(now) => census.take_off(&before.data_centre),
                Some(_) | None => {}
            }
            if before.data_centre == data_centre {
                return;
            }
            self.leave_place(address, &before.data_centre);
        }
        self.places.entry(data_centre).or_default().insert(address);
    }

    fn leave_place(&mut self, address: SocketAddr, data_centre: &DataCentre) {
        if let Some(there) = self.places.get_mut(data_centre) {
            there.remove(&address);
        }
    }

    /// Runs `use_census` on a count that still holds.
    fn census<T>(&self, now: Time, use_census: impl FnOnce(&Census) -> T) -> T {
        let mut census = self.census.borrow_mut();
        let census = match census.as_mut() {
            Some(census) if census.holds(now) => census,
            _ => census.insert(self.take_census(now)),
        };
        use_census(census)
    }

    fn take_census(&self, now: Time) -> Census {
        let mut census = Census::new(now);
        for heard in self.live_hosts(now) {
            census.note(heard);
            census.add(&heard.data_centre);
        }
        census
    }

    /// What a datagram shows of its sender, before it is taken.
    fn acquaint(&self, now: Time, address: SocketAddr, datagram: &Datagram) -> SenderStatus {
        let known = self.peers.get(&address);
        let known = known.and_then(|peer| peer.heard.as_ref());
        let is_near = datagram.data_centre == self.data_centre;
        let last = match is_near {
            true => known.map(|heard| heard.at),
            false => self.words.get(&datagram.data_centre).map(|word| word.at),
        };
        let hears = usize::try_from(datagram.hears).unwrap_or(usize::MAX);
        let is_unknown = known.is_none();
        let is_newcomer = is_unknown && hears.saturating_mul(2) < self.count_live(now);
        // Near ones hear each other all the same.
        let lacks_far_hosts = is_unknown && !is_near && datagram.lacks_hosts;
        SenderStatus {
            has_joined: last.is_none_or(|at| now.since(at) > LIVE_FOR),
            is_unknown,
            is_newcomer,
            lacks_hosts: is_newcomer || lacks_far_hosts,
        }
    }

    /// Whether this host knows few hosts of another data centre, or none of any.
    pub(crate) fn lacks_hosts(&self) -> bool {
        let others: Vec<&DataCentre> = self.other_data_centres().collect();
        others.is_empty() || others.iter().any(|other| !self.knows_enough_in(other))
    }

    fn live_hosts(&self, now: Time) -> impl Iterator<Item = &Heard> {
        let heard = self.peers.values().filter_map(|peer| peer.heard.as_ref());
        heard.filter(move |heard| heard.is_live(now))
    }

    /// The live hosts of a data centre.
    fn live_hosts_in(&self, now: Time, data_centre: &DataCentre) -> impl Iterator<Item = &Heard> {
        let there = self.places.get(data_centre).into_iter().flatten();
        let heard = there.filter_map(|address| self.heard(address));
        heard.filter(move |heard| heard.is_live(now))
    }

    fn heard(&self, address: &SocketAddr) -> Option<&Heard> {
        #[cfg(test)]
        self.looks.set(self.looks.get() + 1);
        self.peers.get(address)?.heard.as_ref()
    }

    fn knows_enough_in(&self, data_centre: &DataCentre) -> bool {
        let known = self.known_in(data_centre).take(KNOWN_ENOUGH);
        known.count() == KNOWN_ENOUGH
    }

    /// For how long no host of another data centre was heard; none if none ever was.
    pub(crate) fn remote_silence(&self, now: Time) -> Option<Duration> {
        self.silences_outside(now).min()
    }

    /// For how long the most silent of the other data centres was not heard; none if there is none.
    pub(crate) fn longest_remote_silence(&self, now: Time) -> Option<Duration> {
        self.silences_outside(now).max()
    }

    fn silences_outside(&self, now: Time) -> impl Iterator<Item = Duration> {
        let words = self.words.iter();
        let outside = words.filter(|(other, _)| **other != self.data_centre);
        outside.map(move |(_, word)| now.since(word.at))
    }

    /// The live hosts of the own data centre.
    pub(crate) fn live_local(&self, now: Time) -> Vec<HostId> {
        let live = self.live_hosts_in(now, &self.data_centre);
        live.map(|heard| heard.host.clone()).collect()
    }

    /// The data centres of which a host was heard of late.
    fn heard_data_centres(&self, now: Time) -> impl Iterator<Item = &DataCentre> {
        let words = self.words.iter();
        let heard = words.filter(move |(_, word)| now.since(word.at) < LIVE_FOR);
        heard.map(|(data_centre, _)| data_centre)
    }

    /// Whether of all hosts `host`, this one, is the one to do something once that `what` names: the same data centre
    /// of those heard of late, and the same host of it, for all who hear the same.
    pub(crate) fn is_chosen(&self, now: Time, host: &HostId, what: &str) -> bool {
        let data_centres = self.heard_data_centres(now).map(DataCentre::as_str);
        let near = self.live_local(now);
        let hosts = near.iter().map(HostId::as_str);
        rendezvous::is_first(self.data_centre.as_str(), data_centres, what)
            && rendezvous::is_first(host.as_str(), hosts, what)
    }

    /// How many hosts come before `host`, this one, in doing what `what` names: of a small fleet all, else one of each data
    /// centre.
    pub(crate) fn rank(&self, now: Time, host: &HostId, what: &str) -> usize {
        if self.is_small_fleet(now) {
            let others = self.live_hosts(now).map(|heard| heard.host.as_str());
            return rendezvous::count_before(host.as_str(), others, what);
        }
        let data_centres = self.heard_data_centres(now).map(DataCentre::as_str);
        rendezvous::count_before(self.data_centre.as_str(), data_centres, what)
    }

    /// Number of the live hosts of the own data centre.
    pub(crate) fn count_local(&self, now: Time) -> usize {
        self.census(now, |census| census.heard_in(&self.data_centre))
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

    /// The hosts that know the upstreams as of a later position.
    pub(crate) fn holders_of_upstreams(&self, now: Time, position: Position) -> Vec<Holder> {
        let knows_more = self
            .live_hosts(now)
            .filter(|heard| heard.upstreams > position);
        // Those that know most are few, and not to be asked by all.
        let holder = |heard: &Heard| Holder {
            address: heard.peer_address,
            version: 0,
            distance: match heard.data_centre == self.data_centre {
                true => Distance::Near,
                false => Distance::Far,
            },
        };
        knows_more.map(holder).collect()
    }

    /// Whether a live host knows what a topic of the log tells.
    pub(crate) fn has_live_holder(&self, now: Time, topic: Topic) -> bool {
        self.census(now, |census| match topic {
            Topic::Operator => census.newest_version > 0,
            Topic::Upstreams => census.knows_upstreams,
            Topic::Hosts | Topic::Suspects | Topic::Status => false,
        })
    }

    /// The newest version of the configuration that a live host has in force; 0 if none is heard.
    pub(crate) fn newest_version(&self, now: Time) -> u64 {
        self.census(now, |census| census.newest_version)
    }

    /// Number of other hosts that are live and not stopping: of each data centre those heard of late, or
    /// as many as the last one heard there knows.
    pub fn count_live(&self, now: Time) -> usize {
        self.census(now, |census| {
            let fresh = |word: &&DataCentreWord| now.since(word.at) < LIVE_FOR;
            let told = |data_centre: &DataCentre| {
                let word = self.words.get(data_centre).filter(fresh);
                word.map_or(0, |word| word.others)
            };
            let heard = census.heard().iter();
            let heard = heard.map(|(data_centre, heard)| told(data_centre).max(*heard));
            let unheard = self.words.iter().filter(|(_, word)| fresh(word));
            let unheard = unheard.filter(|(place, _)| !census.heard().contains_key(*place));
            heard.sum::<usize>() + unheard.map(|(_, word)| word.others).sum::<usize>()
        })
    }

    /// The most live hosts that this one counts, or another one tells that it hears.
    pub(crate) fn live_max(&self, now: Time) -> u32 {
        let live = u32::try_from(self.count_live(now)).unwrap_or(u32::MAX);
        self.census(now, |census| census.hears_most).max(live)
    }

    /// Counts the live hosts; to be called in each round.
    pub(crate) fn update_size(&mut self, now: Time) {
        let live = self.count_live(now) + 1;
        self.size.count(now, live);
    }

    /// The most hosts that this one has counted of late, itself included.
    pub(crate) fn counted_max(&self, now: Time) -> usize {
        self.size.counted(now)
    }

    /// The hosts among which bounds of the fleet are divided: the most that are known to have been live of late, and at least
    /// the seeds.
    pub(crate) fn sharing_hosts(&self, now: Time) -> usize {
        let others = self.count_live(now).max(self.seeds.len());
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
