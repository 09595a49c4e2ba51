//! Tracks the other hosts by their datagrams: which are live, which read the log and which versions
//! they hold.
//!
//! Each host receives the datagrams of all hosts of its own data centre. In a large fleet it receives
//! those of only a few hosts of each other data centre at a time, whose reports count for the whole
//! data centre ([`crate::gateway::gossip`]).

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
use crate::gateway::tunnel::carriers::Carrier;
use crate::id::DataCentre;
use crate::id::HostId;

/// Silence after which a host no longer counts as live: two gossip rounds to other data centres.
const LIVENESS_TIMEOUT: Duration = Duration::from_millis(4_000);
/// Hosts of another data centre that a host must know to need no introductions there: each of them
/// announces others in turn.
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

/// A kind of transfer from peers. A long transfer of one kind doesn't delay the other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Fetch {
    /// A newer configuration.
    Configuration,
    /// The list of upstreams or its changes.
    Upstreams,
}

/// Another host, known by its address and perhaps by its last report.
#[derive(Debug, Clone)]
struct Peer {
    added_at: Time,
    report: Option<Report>,
}

/// The contents of the last datagram of a host.
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
    cut_off: bool,
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
            cut_off: datagram.cut_off,
        }
    }
}

/// The last report on a whole data centre.
#[derive(Debug, Clone, Copy)]
struct DataCentreReport {
    received_at: Time,
    /// Live hosts of the data centre, without this one.
    others: usize,
}

/// What a datagram shows about its sender.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SenderStatus {
    /// The sender is new or back after a silence; for a remote sender, its whole data centre is.
    pub has_joined: bool,
    /// No datagram of the sender had been received, or the sender has been removed since.
    pub is_unknown: bool,
    /// The sender was unknown and counts less than half as many live hosts as this one.
    pub is_newcomer: bool,
    /// The sender was unknown and lacks hosts that this one can announce to it.
    pub lacks_hosts: bool,
}

/// The other hosts, by the address of their datagrams.
#[derive(Debug)]
pub struct Peers {
    own_address: SocketAddr,
    data_centre: DataCentre,
    seeds: Vec<SocketAddr>,
    peers: BTreeMap<SocketAddr, Peer>,
    /// Addresses of the `peers` with a report, by data centre.
    by_data_centre: BTreeMap<DataCentre, BTreeSet<SocketAddr>>,
    /// Addresses of the `peers` that read the log.
    readers: BTreeSet<SocketAddr>,
    counts: RefCell<Option<LiveCounts>>,
    /// The last report on each data centre.
    data_centres: BTreeMap<DataCentre, DataCentreReport>,
    size: FleetSize,
    rotation: usize,
    remote_rotation: usize,
    relay_rotation: usize,
    fetching: BTreeSet<Fetch>,
    /// Number of lookups of a host by its address.
    #[cfg(test)]
    lookups: Cell<usize>,
}

impl Peers {
    /// Starts with the seeds alone. They receive datagrams at the same port as this host.
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

    /// Adds addresses of hosts from which no datagram has arrived yet.
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

    /// Whether a host is known that receives datagrams at `address`.
    pub(crate) fn is_known(&self, address: &SocketAddr) -> bool {
        self.peers.contains_key(address) || self.seeds.contains(address)
    }

    /// Applies a datagram received from `address` and returns what it shows about its sender.
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

    /// Stores the report of a host and updates the cached counts.
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
                // The previous report may have held the maximum, so all hosts are counted again.
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

    /// Runs `use_counts` on the cached counts, after a recount if they have expired.
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

    /// Determines what a datagram shows about its sender. To be called before the datagram is applied.
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
        // Hosts of one data centre receive each other's datagrams in any case.
        let lacks_remote_hosts = is_unknown && !is_local && datagram.lacks_hosts;
        SenderStatus {
            has_joined: last.is_none_or(|at| now.since(at) > LIVENESS_TIMEOUT),
            is_unknown,
            is_newcomer,
            lacks_hosts: is_newcomer || lacks_remote_hosts,
        }
    }

    /// Whether this host knows too few hosts of another data centre, or no other data centre at all.
    pub(crate) fn lacks_hosts(&self) -> bool {
        let others: Vec<&DataCentre> = self.remote_data_centres().collect();
        others.is_empty() || others.iter().any(|other| !self.knows_enough_in(other))
    }

    fn live_reports(&self, now: Time) -> impl Iterator<Item = &Report> {
        let reports = self.peers.values().filter_map(|peer| peer.report.as_ref());
        reports.filter(move |report| report.is_live(now))
    }

    /// The reports of the live hosts of a data centre.
    fn live_reports_in(
        &self,
        now: Time,
        data_centre: &DataCentre,
    ) -> impl Iterator<Item = &Report> {
        let addresses = self.by_data_centre.get(data_centre).into_iter().flatten();
        let reports = addresses.filter_map(|address| self.report_of(address));
        reports.filter(move |report| report.is_live(now))
    }

    /// Whether a host has told that it is stopping.
    pub(crate) fn is_stopping(&self, host: &HostId) -> bool {
        let reports = self
            .peers
            .values()
            .filter_map(|peer| peer.report.as_ref())
            .filter(|report| report.host == *host);
        let newest = reports.max_by_key(|report| report.received_at);
        newest.is_some_and(|report| report.stopping)
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

    /// Time since the last datagram of any other data centre; none before the first one.
    pub(crate) fn remote_silence(&self, now: Time) -> Option<Duration> {
        self.remote_silences(now).min()
    }

    /// Time since the last datagram of the longest silent other data centre; none if no other is known.
    pub(crate) fn longest_remote_silence(&self, now: Time) -> Option<Duration> {
        self.remote_silences(now).max()
    }

    fn remote_silences(&self, now: Time) -> impl Iterator<Item = Duration> {
        let reports = self.data_centres.iter();
        let remote = reports.filter(|(other, _)| **other != self.data_centre);
        remote.map(move |(_, report)| now.since(report.received_at))
    }

    /// The live hosts of all data centres, as far as each is heard itself.
    pub(crate) fn live(&self, now: Time) -> Vec<HostId> {
        let live = self.live_reports(now);
        live.map(|report| report.host.clone()).collect()
    }

    /// The live hosts of this data centre.
    pub(crate) fn live_local(&self, now: Time) -> Vec<HostId> {
        let live = self.live_reports_in(now, &self.data_centre);
        live.map(|report| report.host.clone()).collect()
    }

    /// The live hosts of this data centre with the addresses of their datagrams.
    pub(crate) fn live_local_addresses(&self, now: Time) -> Vec<(HostId, SocketAddr)> {
        let addresses = self.by_data_centre.get(&self.data_centre);
        let hosts = addresses.into_iter().flatten().filter_map(|address| {
            let report = self.report_of(address)?;
            report.is_live(now).then(|| (report.host.clone(), *address))
        });
        hosts.collect()
    }

    /// The live hosts that reach upstreams, and so may carry connections for this one.
    pub(crate) fn carriers(&self, now: Time) -> Vec<Carrier> {
        let live = self.peers.iter().filter_map(|(address, peer)| {
            let report = peer.report.as_ref()?;
            let may_carry = report.is_live(now) && !report.cut_off;
            may_carry.then(|| Carrier {
                host: report.host.clone(),
                address: *address,
                data_centre: report.data_centre.clone(),
            })
        });
        live.collect()
    }

    /// The data centres with a recent datagram.
    fn reporting_data_centres(&self, now: Time) -> impl Iterator<Item = &DataCentre> {
        let reports = self.data_centres.iter();
        let recent =
            reports.filter(move |(_, report)| now.since(report.received_at) < LIVENESS_TIMEOUT);
        recent.map(|(data_centre, _)| data_centre)
    }

    /// Whether this host, `host`, is the one of the fleet that performs `task`. All hosts that receive the
    /// same datagrams choose the same data centre and the same host of it.
    pub(crate) fn is_chosen(&self, now: Time, host: &HostId, task: &str) -> bool {
        let data_centres = self.reporting_data_centres(now).map(DataCentre::as_str);
        let local = self.live_local(now);
        let hosts = local.iter().map(HostId::as_str);
        rendezvous::is_first(self.data_centre.as_str(), data_centres, task)
            && rendezvous::is_first(host.as_str(), hosts, task)
    }

    /// Number of hosts that precede this one, `host`, in performing `task`. In a small fleet all hosts are
    /// ranked, in a large one the data centres.
    pub(crate) fn rank(&self, now: Time, host: &HostId, task: &str) -> usize {
        if self.is_small_fleet(now) {
            let others = self.live_reports(now).map(|report| report.host.as_str());
            return rendezvous::rank(host.as_str(), others, task);
        }
        let data_centres = self.reporting_data_centres(now).map(DataCentre::as_str);
        rendezvous::rank(self.data_centre.as_str(), data_centres, task)
    }

    /// Number of other live hosts of this data centre.
    pub(crate) fn count_local(&self, now: Time) -> usize {
        self.with_counts(now, |counts| counts.live_in(&self.data_centre))
    }

    /// The live hosts with a configuration newer than `version`.
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

    /// The live hosts that know the upstreams up to a later position than `position`.
    pub(crate) fn holders_of_upstreams(&self, now: Time, position: Position) -> Vec<Holder> {
        let newer = self
            .live_reports(now)
            .filter(|report| report.upstreams_position > position);
        // All get the same version: the few hosts with the latest position must not get the requests of all
        // others.
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

    /// Whether a live host knows the contents of a topic of the log.
    pub(crate) fn has_live_holder(&self, now: Time, topic: Topic) -> bool {
        self.with_counts(now, |counts| match topic {
            Topic::Operator => counts.newest_version > 0,
            Topic::Upstreams => counts.knows_upstreams,
            Topic::Hosts | Topic::Suspects | Topic::Status => false,
        })
    }

    /// The newest configuration that is active at a live host; 0 if there is none.
    pub(crate) fn newest_version(&self, now: Time) -> u64 {
        self.with_counts(now, |counts| counts.newest_version)
    }

    /// Number of other hosts that are live and not stopping. For each data centre it is the larger of the
    /// hosts with a recent datagram and the number in the last report on that data centre.
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

    /// The largest number of live hosts that this host counts or another one announces.
    pub(crate) fn live_max(&self, now: Time) -> u32 {
        let live = u32::try_from(self.count_live(now)).unwrap_or(u32::MAX);
        self.with_counts(now, |counts| counts.live_count_max)
            .max(live)
    }

    /// Records the current number of live hosts. To be called in each gossip round.
    pub(crate) fn update_size(&mut self, now: Time) {
        let live = self.count_live(now) + 1;
        self.size.record_own(now, live);
    }

    /// The most hosts that this host has counted recently, including itself.
    pub(crate) fn counted_max(&self, now: Time) -> usize {
        self.size.own_max(now)
    }

    /// Number of hosts among which fleet-wide limits are divided: the most that were recently live, and at
    /// least this host and the seeds.
    pub(crate) fn sharing_hosts(&self, now: Time) -> usize {
        let others = self.count_live(now).max(self.seeds.len());
        self.size.max(now).max(others + 1)
    }

    /// Marks a transfer from peers as running; false if one of the same kind is running already.
    pub(crate) fn begin_fetch(&mut self, fetch: Fetch) -> bool {
        self.fetching.insert(fetch)
    }

    /// Whether a transfer of this kind is running.
    pub(crate) fn is_fetching(&self, fetch: Fetch) -> bool {
        self.fetching.contains(&fetch)
    }

    /// Marks a transfer as ended.
    pub(crate) fn end_fetch(&mut self, fetch: Fetch) {
        self.fetching.remove(&fetch);
    }
}

/// Sum of the parts of an address, which differs between most hosts.
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
