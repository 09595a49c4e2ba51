//! A fleet in virtual time that catches up with versions, over links of 10 Mbit/s, under faults: the
//! product's decisions ([`CatchUp`], [`Transfers`]) over modelled links.

use std::net::SocketAddr;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::clock::Time;
use crate::gateway::document::catchup::CatchUp;
use crate::gateway::document::catchup::Distance;
use crate::gateway::document::catchup::Fault;
use crate::gateway::document::catchup::Holder;
use crate::gateway::document::catchup::Step;
use crate::gateway::document::transfers::Ticket;
use crate::gateway::document::transfers::Transfers;

const TICK: Duration = Duration::from_millis(5);
/// Both ways of each host's link: 10 Mbit/s.
pub(super) const LINK_BYTES_PER_S: f64 = 1_250_000.0;
/// A manifest and a request for pieces, there and back.
pub(super) const ROUND_TRIP: Duration = Duration::from_millis(5);
/// Nothing arrives for so long before a source is left.
pub(super) const STALL: Duration = Duration::from_millis(500);
/// A host's word that it has a version is heard at once, or, where the datagram is lost, with the next
/// round.
const LOSS: f64 = 0.1;
pub(super) const ROUND: Duration = Duration::from_millis(900);
/// A reader that is frozen or dead is replaced after this time.
pub(super) const READER_REPLACED: Duration = Duration::from_millis(1_000);
/// Hosts that only listen spread their first questions over this time.
pub(super) const SPREAD: Duration = Duration::from_millis(250);
const STALENESS_MAX: Duration = Duration::from_millis(9_000);

/// A version: when it appears, and what a host that has the one before lacks of it, as it travels.
#[derive(Debug, Clone, Copy)]
pub(super) struct Version {
    pub(super) at: Time,
    pub(super) lacking_bytes: u32,
}

/// What happens to a host from one time to another.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Trouble {
    /// It does nothing, and nothing reaches it.
    Frozen,
    /// The same, and it knows nothing afterwards.
    Killed,
    /// What it sends doesn't arrive.
    Mute,
}

#[derive(Debug, Clone, Copy)]
struct Spell {
    host: usize,
    trouble: Trouble,
    from: Time,
    until: Time,
}

#[derive(Debug)]
struct Fetch {
    source: usize,
    ticket: Option<Ticket>,
    /// When it last got nearer, or will have begun.
    progressed_at: Time,
    version: usize,
}

pub(super) struct Host {
    /// Number of the versions that are in force; the newest of them counts.
    in_force: usize,
    /// When it came into force here.
    since: Time,
    /// What has arrived of what is lacking.
    got_bytes: f64,
    pub(super) received_bytes: f64,
    catch_up: CatchUp,
    transfers: Transfers,
    fetch: Option<Fetch>,
    asks_from: Time,
}

pub(super) struct Fleet {
    pub(super) hosts: Vec<Host>,
    a_data_centre: usize,
    versions: Vec<Version>,
    spells: Vec<Spell>,
    random: ChaCha8Rng,
    now: Time,
    /// What troubles each host now.
    troubles: Vec<Option<Trouble>>,
}

fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, (index >> 8) as u8, index as u8, 1], 8_000))
}

impl Fleet {
    pub(super) fn new(
        count: usize,
        a_data_centre: usize,
        versions: Vec<Version>,
        seed: u64,
    ) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let hosts = (0..count).map(|_| Host {
            in_force: 0,
            since: Time::ZERO,
            got_bytes: 0.0,
            received_bytes: 0.0,
            catch_up: CatchUp::new(random.random()),
            transfers: Transfers::default(),
            fetch: None,
            asks_from: Time::ZERO,
        });
        Fleet {
            hosts: hosts.collect(),
            a_data_centre,
            versions,
            spells: Vec::new(),
            random,
            now: Time::ZERO,
            troubles: vec![None; count],
        }
    }

    /// Strikes `share` of the hosts between the first version and `until`, for up to a second each.
    pub(super) fn strike(&mut self, share: f64, until: Time) {
        for host in 0..self.hosts.len() {
            if !self.random.random_bool(share) {
                continue;
            }
            let from = Time::from_ms(self.random.random_range(0..until.as_ms() - 1_000));
            let lasts = Duration::from_millis(self.random.random_range(100..1_000));
            let troubles = [Trouble::Frozen, Trouble::Killed, Trouble::Mute];
            let trouble = troubles[self.random.random_range(0..troubles.len())];
            let until = from + lasts;
            self.spells.push(Spell {
                host,
                trouble,
                from,
                until,
            });
        }
    }

    fn note_troubles(&mut self) {
        self.troubles.fill(None);
        for spell in &self.spells {
            if spell.from <= self.now && self.now < spell.until {
                self.troubles[spell.host] = Some(spell.trouble);
            }
        }
    }

    fn trouble(&self, host: usize) -> Option<Trouble> {
        self.troubles[host]
    }

    fn is_up(&self, host: usize) -> bool {
        matches!(self.trouble(host), None | Some(Trouble::Mute))
    }

    fn can_send(&self, host: usize) -> bool {
        self.trouble(host).is_none()
    }

    /// What a host with `in_force` versions lacks of the first `wanted`.
    fn lacking(&self, in_force: usize, wanted: usize) -> f64 {
        let versions = self.versions[in_force..wanted].iter();
        versions
            .map(|version| f64::from(version.lacking_bytes))
            .sum()
    }

    /// The version that the reader of a data centre has read.
    fn read_by(&self, data_centre: usize) -> usize {
        let first = data_centre * self.a_data_centre;
        let reader = (first..(first + self.a_data_centre).min(self.hosts.len()))
            .find(|host| self.can_send(*host))
            .unwrap_or(first);
        let delay = match reader == first {
            true => Duration::from_millis(50),
            false => READER_REPLACED,
        };
        let read = self.versions.iter();
        read.filter(|version| version.at + delay <= self.now)
            .count()
    }

    /// Who is known to have a newer version than `host`, by what was heard.
    fn holders(&self, host: usize) -> Vec<Holder> {
        let first = host / self.a_data_centre * self.a_data_centre;
        let near = first..(first + self.a_data_centre).min(self.hosts.len());
        let heard = near.filter(|other| *other != host && self.is_heard(*other, host));
        let holder = |other: usize| Holder {
            address: address(other),
            version: self.hosts[other].in_force as u64,
            distance: Distance::Near,
        };
        let holders = heard.map(holder);
        let own = self.hosts[host].in_force as u64;
        holders.filter(|holder| holder.version > own).collect()
    }

    fn is_heard(&self, teller: usize, listener: usize) -> bool {
        let teller_host = &self.hosts[teller];
        let draw = (teller * 31 + listener * 17 + teller_host.in_force * 7) % 100;
        let delay = match (draw as f64) < LOSS * 100.0 {
            true => ROUND,
            false => ROUND_TRIP,
        };
        self.can_send(teller) && teller_host.since + delay <= self.now
    }

    /// Runs until all hosts have all versions and no fault is left, or the time is over.
    pub(super) fn run_until(&mut self, ends: Time) {
        while self.now < ends && !self.is_settled() {
            self.now = self.now + TICK;
            self.note_troubles();
            for data_centre in 0..self.hosts.len().div_ceil(self.a_data_centre) {
                self.read_log(data_centre);
            }
            for host in 0..self.hosts.len() {
                match self.trouble(host) {
                    Some(Trouble::Killed) => self.forget(host),
                    Some(Trouble::Frozen) => {}
                    Some(Trouble::Mute) | None => self.step(host),
                }
            }
            self.transfer();
        }
    }

    fn is_settled(&self) -> bool {
        let faults_last = self.spells.iter().any(|spell| spell.until >= self.now);
        !faults_last
            && self
                .hosts
                .iter()
                .all(|host| host.in_force == self.versions.len())
    }

    /// The first host of a data centre that can reads the log, as does one that is overdue.
    fn read_log(&mut self, data_centre: usize) {
        let read = self.read_by(data_centre);
        let first = data_centre * self.a_data_centre;
        for host in first..(first + self.a_data_centre).min(self.hosts.len()) {
            let is_overdue = self.hosts[host]
                .catch_up
                .is_overdue(self.now, STALENESS_MAX);
            if self.can_send(host) {
                self.take(host, read);
                if !is_overdue {
                    return;
                }
            }
        }
    }

    fn take(&mut self, host: usize, version: usize) {
        if version > self.hosts[host].in_force {
            self.end_fetch(host);
            let host = &mut self.hosts[host];
            host.in_force = version;
            host.since = self.now;
            host.got_bytes = 0.0;
        }
    }

    fn forget(&mut self, host: usize) {
        self.end_fetch(host);
        let host = &mut self.hosts[host];
        host.in_force = 0;
        host.got_bytes = 0.0;
        host.received_bytes = 0.0;
        host.transfers = Transfers::default();
    }

    fn end_fetch(&mut self, host: usize) {
        if let Some(fetch) = self.hosts[host].fetch.take()
            && let Some(ticket) = fetch.ticket
        {
            self.hosts[fetch.source].transfers.end(ticket);
        }
    }

    fn step(&mut self, host: usize) {
        let is_waiting = self.now < self.hosts[host].asks_from;
        let has_all = self.hosts[host].in_force == self.versions.len();
        if has_all || is_waiting || self.hosts[host].fetch.is_some() {
            return;
        }
        let holders = self.holders(host);
        let was_behind = self.hosts[host].catch_up.behind_for(self.now).is_some();
        let now = self.now;
        self.hosts[host].catch_up.update(now, !holders.is_empty());
        if !was_behind && !holders.is_empty() {
            self.hosts[host].asks_from = now + SPREAD.mul_f64(self.random.random());
        }
        if now < self.hosts[host].asks_from {
            return;
        }
        let chance = self.random.random();
        match self.hosts[host].catch_up.next(now, &holders, chance) {
            Step::Ask(holder) => self.ask(host, holder),
            Step::Wait(pause) => self.hosts[host].asks_from = now + pause,
            Step::Stop => {}
        }
    }

    fn ask(&mut self, host: usize, holder: Holder) {
        let [_, high, low, _] = match holder.address {
            SocketAddr::V4(address) => address.ip().octets(),
            SocketAddr::V6(_) => panic!("hosts have addresses of version 4"),
        };
        let source = usize::from(high) << 8 | usize::from(low);
        let now = self.now;
        let ticket = match self.is_up(source) {
            true => match self.hosts[source].transfers.begin(now) {
                Some(ticket) => Some(ticket),
                None => {
                    let chance = self.random.random();
                    let host = &mut self.hosts[host];
                    host.catch_up.record_busy(now, holder.address, 0, chance);
                    return;
                }
            },
            false => None,
        };
        self.hosts[host].fetch = Some(Fetch {
            source,
            ticket,
            progressed_at: now + ROUND_TRIP,
            version: holder.version as usize,
        });
    }

    /// Moves bytes for one tick, each source's link shared by those whom it serves.
    fn transfer(&mut self) {
        let mut served = vec![0_usize; self.hosts.len()];
        for fetch in self.hosts.iter().filter_map(|host| host.fetch.as_ref()) {
            served[fetch.source] += 1;
        }
        for host in 0..self.hosts.len() {
            let Some(fetch) = &self.hosts[host].fetch else {
                continue;
            };
            let (source, version, progressed_at) =
                (fetch.source, fetch.version, fetch.progressed_at);
            if progressed_at > self.now || !self.is_up(host) {
                continue;
            }
            if !self.can_send(source) || fetch.ticket.is_none() {
                if self.now.since(progressed_at) >= STALL {
                    let now = self.now;
                    self.end_fetch(host);
                    let catch_up = &mut self.hosts[host].catch_up;
                    catch_up.record_failure(now, address(source), Fault::Unanswered);
                }
                continue;
            }
            let bytes = LINK_BYTES_PER_S * TICK.as_secs_f64() / served[source] as f64;
            self.arrive(host, version, bytes);
        }
    }

    fn arrive(&mut self, host: usize, version: usize, bytes: f64) {
        let lacking = self.lacking(self.hosts[host].in_force.min(version), version);
        let now = self.now;
        let host_now = &mut self.hosts[host];
        let bytes = bytes.min((lacking - host_now.got_bytes).max(0.0));
        host_now.got_bytes += bytes;
        host_now.received_bytes += bytes;
        if let Some(fetch) = &mut host_now.fetch {
            fetch.progressed_at = now;
            let (source, ticket) = (fetch.source, fetch.ticket);
            if let Some(ticket) = ticket {
                self.hosts[source].transfers.record_progress(now, ticket);
            }
        }
        let host_now = &mut self.hosts[host];
        if host_now.got_bytes >= lacking {
            self.take(host, version);
        }
    }

    /// When the last host came to have all versions; none if some host never did.
    pub(super) fn all_since(&self) -> Option<Time> {
        let all = self.versions.len();
        let have_all = self.hosts.iter().all(|host| host.in_force == all);
        have_all.then(|| self.hosts.iter().map(|host| host.since).max())?
    }
}
