//! The other hosts, as their datagrams tell of them: who is live, who reads the log, who has what.
//!
//! The hosts of a data centre all hear each other. Of other data centres a host of a large fleet hears
//! a few hosts at a time, whose reports stand for their data centre ([`crate::gateway::gossip`]).

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
const LIVENESS_TIMEOUT: Duration = Duration::from_millis(4_000);
/// Who knows so many of another data centre, of whom each tells others in turn, needs no introduction.
const KNOWN_HOSTS_MIN: usize = 8;

mod expiry;
mod fleetsize;
mod livecounts;
mod partners;
mod readers;

use self::fleetsize::FleetSize;
use self::livecounts::LiveCounts;
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
    added_at: Time,
    report: Option<Report>,
}

/// What a host's last datagram said.
#[derive(Debug, Clone)]
struct Report {
    received_at: Time,
    host: HostId,
    data_centre: DataCentre,
    peer_address: SocketAddr,
    config_version: u64,
    upstreams_position: Position,
    reading: Topics,
    unreadable: Topics,
    live_count: u32,
    stopping: bool,
}

impl Report {
    fn is_live(&self, now: Time) -> bool {
        now.since(self.received_at) < LIVENESS_TIMEOUT && !self.stopping
    }

    fn from_datagram(now: Time, address: SocketAddr, datagram: &Datagram) -> Self {
        Report {
            received_at: now,
            host: datagram.host.clone(),
            data_centre: datagram.data_centre.clone(),
            peer_address: SocketAddr::new(address.ip(), datagram.peer_port),
            config_version: datagram.config,
            upstreams_position: datagram.upstreams,
            reading: datagram.reading,
            unreadable: datagram.unreadable,
            live_count: datagram.hears,
            stopping: datagram.stopping,
        }
    }
}

/// What was last told of a whole data centre.
#[derive(Debug, Clone, Copy)]
struct DataCentreReport {
    received_at: Time,
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
    own_address: SocketAddr,
    data_centre: DataCentre,
    seeds: Vec<SocketAddr>,
    peers: BTreeMap<SocketAddr, Peer>,
    /// Those of `peers` that were heard, by data centre.
    by_data_centre: BTreeMap<DataCentre, BTreeSet<SocketAddr>>,
    /// Those of `peers` that read the log.
    readers: BTreeSet<SocketAddr>,
    counts: RefCell<Option<LiveCounts>>,
    /// What was last heard of each data centre.
    data_centres: BTreeMap<DataCentre, DataCentreReport>,
    size: FleetSize,
    rotation: usize,
    remote_rotation: usize,
    relay_rotation: usize,
    fetching: BTreeSet<Fetch>,
    /// Hosts looked up by address.
    #[cfg(test)]
    lookups: Cell<usize>,
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
            own_address: own,
            data_centre,
            seeds,
            peers: BTreeMap::new(),
            by_data_centre: BTreeMap::new(),
            readers: BTreeSet::new(),
            counts: RefCell::default(),
            data_centres: BTreeMap::new(),
            size: FleetSize::default(),
            rotation: 0,
            relay_rotation: 0,
            remote_rotation: usize::from(own.port()) ^ address_sum(own),
            fetching: BTreeSet::new(),
            #[cfg(test)]
            lookups: Cell::default(),
        }
    }

    /// Addresses of hosts, by hearsay.
    pub fn add_addresses(&mut self, now: Time, addresses: impl IntoIterator<Item = SocketAddr>) {
        for address in addresses {
            if address == self.own_address {
                continue;
            }
            self.peers.entry(address).or_insert(Peer {
                added_at: now,
                report: None,
            });
        }
    }

    /// A datagram came from `address`.
    pub fn receive(&mut self, now: Time, address: SocketAddr, datagram: &Datagram) -> SenderStatus {
        let sender = self.sender_status(now, address, datagram);
        let is_local = datagram.data_centre == self.data_centre;
        let others = usize::try_from(datagram.hears_near).unwrap_or(usize::MAX);
        let report = DataCentreReport {
            received_at: now,
            others: others.saturating_add(usize::from(!is_local && !datagram.stopping)),
        };
        self.data_centres
            .insert(datagram.data_centre.clone(), report);
        let counted = usize::try_from(datagram.counted).unwrap_or(usize::MAX);
        self.size.receive(now, counted);
        self.store_report(now, address, Report::from_datagram(now, address, datagram));
        if is_local || !self.knows_enough_in(&datagram.data_centre) {
            let hosts = datagram.hosts.iter().copied();
            self.add_addresses(now, hosts.filter(|host| host.port() == address.port()));
        }
        for (data_centre, host) in &datagram.introduced {
            if *data_centre != self.data_centre && !self.knows_enough_in(data_centre) {
                self.add_addresses(now, [*host]);
            }
        }
        sender
    }

    /// Takes what a host says of itself.
    fn store_report(&mut self, now: Time, address: SocketAddr, report: Report) {
        if report.reading == Topics::default() {
            self.readers.remove(&address);
        } else {
            self.readers.insert(address);
        }
        if let Some(counts) = self.counts.get_mut() {
            counts.merge(&report);
            if !report.stopping {
                counts.increment(&report.data_centre);
            }
        }
        let data_centre = report.data_centre.clone();
        let (config_version, live_count) = (report.config_version, report.live_count);
        let peer = Peer {
            added_at: now,
            report: Some(report),
        };
        let before = self.peers.insert(address, peer);
        let before = before.and_then(|peer| peer.report);
        if let Some(before) = &before {
            let has_decreased =
                before.live_count > live_count || before.config_version > config_version;
            match self.counts.get_mut() {
                // It may have been the one with the most.
                counts if has_decreased => *counts = None,
                Some(counts) if before.is_live(now) => counts.decrement(&before.data_centre),
                Some(_) | None => {}
            }
            if before.data_centre == data_centre {
                return;
            }
            self.remove_from_data_centre(address, &before.data_centre);
        }
        self.by_data_centre
            .entry(data_centre)
            .or_default()
            .insert(address);
    }

    fn remove_from_data_centre(&mut self, address: SocketAddr, data_centre: &DataCentre) {
        if let Some(addresses) = self.by_data_centre.get_mut(data_centre) {
            addresses.remove(&address);
        }
    }

    /// Runs `use_census` on a count that still holds.
    fn with_counts<T>(&self, now: Time, use_counts: impl FnOnce(&LiveCounts) -> T) -> T {
        let mut counts = self.counts.borrow_mut();
        let counts = match counts.as_mut() {
            Some(counts) if counts.is_valid(now) => counts,
            _ => counts.insert(self.count_hosts(now)),
        };
        use_counts(counts)
    }

    fn count_hosts(&self, now: Time) -> LiveCounts {
        let mut counts = LiveCounts::new(now);
        for report in self.live_reports(now) {
            counts.merge(report);
            counts.increment(&report.data_centre);
        }
        counts
    }

    /// What a datagram shows of its sender, before it is taken.
    fn sender_status(&self, now: Time, address: SocketAddr, datagram: &Datagram) -> SenderStatus {
        let known = self.peers.get(&address);
        let known = known.and_then(|peer| peer.report.as_ref());
        let is_local = datagram.data_centre == self.data_centre;
        let last = match is_local {
            true => known.map(|report| report.received_at),
            false => self
                .data_centres
                .get(&datagram.data_centre)
                .map(|report| report.received_at),
        };
        let live_count = usize::try_from(datagram.hears).unwrap_or(usize::MAX);
        let is_unknown = known.is_none();
        let is_newcomer = is_unknown && live_count.saturating_mul(2) < self.count_live(now);
        // Near ones hear each other all the same.
        let lacks_remote_hosts = is_unknown && !is_local && datagram.lacks_hosts;
        SenderStatus {
            has_joined: last.is_none_or(|at| now.since(at) > LIVENESS_TIMEOUT),
            is_unknown,
            is_newcomer,
            lacks_hosts: is_newcomer || lacks_remote_hosts,
        }
    }

    /// Whether this host knows few hosts of another data centre, or none of any.
    pub(crate) fn lacks_hosts(&self) -> bool {
        let others: Vec<&DataCentre> = self.remote_data_centres().collect();
        others.is_empty() || others.iter().any(|other| !self.knows_enough_in(other))
    }

    fn live_reports(&self, now: Time) -> impl Iterator<Item = &Report> {
        let reports = self.peers.values().filter_map(|peer| peer.report.as_ref());
        reports.filter(move |report| report.is_live(now))
    }

    /// The live hosts of a data centre.
    fn live_reports_in(
        &self,
        now: Time,
        data_centre: &DataCentre,
    ) -> impl Iterator<Item = &Report> {
        let addresses = self.by_data_centre.get(data_centre).into_iter().flatten();
        let reports = addresses.filter_map(|address| self.report_of(address));
        reports.filter(move |report| report.is_live(now))
    }

    fn report_of(&self, address: &SocketAddr) -> Option<&Report> {
        #[cfg(test)]
        self.lookups.set(self.lookups.get() + 1);
        self.peers.get(address)?.report.as_ref()
    }

    fn knows_enough_in(&self, data_centre: &DataCentre) -> bool {
        let known = self.known_in(data_centre).take(KNOWN_HOSTS_MIN);
        known.count() == KNOWN_HOSTS_MIN
    }

    /// For how long no host of another data centre was heard; none if none ever was.
    pub(crate) fn remote_silence(&self, now: Time) -> Option<Duration> {
        self.remote_silences(now).min()
    }

    /// For how long the most silent of the other data centres was not heard; none if there is none.
    pub(crate) fn longest_remote_silence(&self, now: Time) -> Option<Duration> {
        self.remote_silences(now).max()
    }

    fn remote_silences(&self, now: Time) -> impl Iterator<Item = Duration> {
        let reports = self.data_centres.iter();
        let remote = reports.filter(|(other, _)| **other != self.data_centre);
        remote.map(move |(_, report)| now.since(report.received_at))
    }

    /// The live hosts of the own data centre.
    pub(crate) fn live_local(&self, now: Time) -> Vec<HostId> {
        let live = self.live_reports_in(now, &self.data_centre);
        live.map(|report| report.host.clone()).collect()
    }

    /// The data centres of which a host was heard of late.
    fn reporting_data_centres(&self, now: Time) -> impl Iterator<Item = &DataCentre> {
        let reports = self.data_centres.iter();
        let recent =
            reports.filter(move |(_, report)| now.since(report.received_at) < LIVENESS_TIMEOUT);
        recent.map(|(data_centre, _)| data_centre)
    }

    /// Whether of all hosts `host`, this one, is the one to do something once that `what` names: the same data centre
    /// of those heard of late, and the same host of it, for all who hear the same.
    pub(crate) fn is_chosen(&self, now: Time, host: &HostId, task: &str) -> bool {
        let data_centres = self.reporting_data_centres(now).map(DataCentre::as_str);
        let local = self.live_local(now);
        let hosts = local.iter().map(HostId::as_str);
        rendezvous::is_first(self.data_centre.as_str(), data_centres, task)
            && rendezvous::is_first(host.as_str(), hosts, task)
    }

    /// How many hosts come before `host`, this one, in doing what `what` names: of a small fleet all, else one of each data
    /// centre.
    pub(crate) fn rank(&self, now: Time, host: &HostId, task: &str) -> usize {
        if self.is_small_fleet(now) {
            let others = self.live_reports(now).map(|report| report.host.as_str());
            return rendezvous::count_before(host.as_str(), others, task);
        }
        let data_centres = self.reporting_data_centres(now).map(DataCentre::as_str);
        rendezvous::count_before(self.data_centre.as_str(), data_centres, task)
    }

    /// Number of the live hosts of the own data centre.
    pub(crate) fn count_local(&self, now: Time) -> usize {
        self.with_counts(now, |counts| counts.live_in(&self.data_centre))
    }

    /// The hosts that have a configuration newer than `version`.
    pub fn holders(&self, now: Time, version: u64) -> Vec<Holder> {
        let timeout = self.reader_timeout(now);
        let distance = |report: &Report| match now.since(report.received_at) < timeout {
            true if report.data_centre == self.data_centre => Distance::Near,
            true => Distance::Far,
            false => Distance::Silent,
        };
        let newer = self
            .live_reports(now)
            .filter(|report| report.config_version > version);
        let holder = |report: &Report| Holder {
            address: report.peer_address,
            version: report.config_version,
            distance: distance(report),
        };
        newer.map(holder).collect()
    }

    /// The hosts that know the upstreams as of a later position.
    pub(crate) fn holders_of_upstreams(&self, now: Time, position: Position) -> Vec<Holder> {
        let newer = self
            .live_reports(now)
            .filter(|report| report.upstreams_position > position);
        // Those that know most are few, and not to be asked by all.
        let holder = |report: &Report| Holder {
            address: report.peer_address,
            version: 0,
            distance: match report.data_centre == self.data_centre {
                true => Distance::Near,
                false => Distance::Far,
            },
        };
        newer.map(holder).collect()
    }

    /// Whether a live host knows what a topic of the log tells.
    pub(crate) fn has_live_holder(&self, now: Time, topic: Topic) -> bool {
        self.with_counts(now, |counts| match topic {
            Topic::Operator => counts.newest_version > 0,
            Topic::Upstreams => counts.knows_upstreams,
            Topic::Hosts | Topic::Suspects | Topic::Status => false,
        })
    }

    /// The newest version of the configuration that a live host has in force; 0 if none is heard.
    pub(crate) fn newest_version(&self, now: Time) -> u64 {
        self.with_counts(now, |counts| counts.newest_version)
    }

    /// Number of other hosts that are live and not stopping: of each data centre those heard of late, or
    /// as many as the last one heard there knows.
    pub fn count_live(&self, now: Time) -> usize {
        self.with_counts(now, |counts| {
            let fresh =
                |report: &&DataCentreReport| now.since(report.received_at) < LIVENESS_TIMEOUT;
            let announced = |data_centre: &DataCentre| {
                let report = self.data_centres.get(data_centre).filter(fresh);
                report.map_or(0, |report| report.others)
            };
            let with_reports = counts.live().iter();
            let with_reports =
                with_reports.map(|(data_centre, live)| announced(data_centre).max(*live));
            let announced_only = self.data_centres.iter().filter(|(_, report)| fresh(report));
            let announced_only =
                announced_only.filter(|(data_centre, _)| !counts.live().contains_key(*data_centre));
            with_reports.sum::<usize>()
                + announced_only
                    .map(|(_, report)| report.others)
                    .sum::<usize>()
        })
    }

    /// The most live hosts that this one counts, or another one tells that it hears.
    pub(crate) fn live_max(&self, now: Time) -> u32 {
        let live = u32::try_from(self.count_live(now)).unwrap_or(u32::MAX);
        self.with_counts(now, |counts| counts.live_count_max)
            .max(live)
    }

    /// Counts the live hosts; to be called in each round.
    pub(crate) fn update_size(&mut self, now: Time) {
        let live = self.count_live(now) + 1;
        self.size.record_own(now, live);
    }

    /// The most hosts that this one has counted of late, itself included.
    pub(crate) fn counted_max(&self, now: Time) -> usize {
        self.size.own_max(now)
    }

    /// The hosts among which bounds of the fleet are divided: the most that are known to have been live of late, and at least
    /// the seeds.
    pub(crate) fn sharing_hosts(&self, now: Time) -> usize {
        let others = self.count_live(now).max(self.seeds.len());
        self.size.max(now).max(others + 1)
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
fn address_sum(address: SocketAddr) -> usize {
    match address.ip() {
        IpAddr::V4(ip) => ip.octets().iter().map(|octet| usize::from(*octet)).sum(),
        IpAddr::V6(ip) => ip.segments().iter().map(|part| usize::from(*part)).sum(),
    }
}

impl Peer {
    fn is_live(&self, now: Time) -> bool {
        let report = self.report.as_ref();
        report.is_some_and(|report| now.since(report.received_at) < LIVENESS_TIMEOUT)
    }
}

#[cfg(test)]
mod tests;
