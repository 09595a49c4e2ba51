//! Datagrams between hosts: what each runs where, which versions it holds, which upstreams it saw
//! leaving.
//!
//! Every host sends to every other; the interval grows with their number, so that what a host
//! sends and gets stays bounded. A datagram lost is made good by the next one.
//!
//! Calls to the log are priced, so only one host of a data centre follows it and tells the others
//! with its datagrams: the upstreams' last changes in full, and the configuration's version, which
//! the others then fetch. Who reads is decided by each host for itself from whom it hears
//! ([`Peers::is_reader`]); two readers for a moment are harmless, and a host that hears of none
//! reads for itself.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use tokio::net::UdpSocket;

use crate::clock::Time;
use crate::event::EventCode;
use crate::gateway::directory::Change;
use crate::gateway::loads::Load;
use crate::gateway::peerfetch;
use crate::gateway::shared::Shared;
use crate::id::DataCentre;
use crate::id::HostId;
use crate::id::UpstreamId;

/// Time between two rounds while hosts are few.
const INTERVAL_MIN: Duration = Duration::from_millis(250);
/// News goes out at once, but not sooner than this after the round before.
const NEWS_INTERVAL_MIN: Duration = Duration::from_millis(10);
/// Added for each host: bounds datagrams a host to about 250 a second each way.
const INTERVAL_PER_HOST: Duration = Duration::from_millis(4);
/// A host that was not heard for so long counts no more: two rounds to other data centres.
const LIVE_FOR: Duration = Duration::from_millis(4_000);
/// A reader that was silent for so long is replaced: three rounds of a hundred hosts, and short
/// against the bound on configuration (2 s).
const READER_SILENT_FOR: Duration = Duration::from_millis(1_000);
/// With fewer other hosts each reads the log for itself: their calls cost less than half a percent
/// of what is served, and need no one else.
const READERS_ONLY_FROM: usize = 12;
/// Hosts of other data centres are sent to at this interval while hosts are many: bytes between data
/// centres are priced, and each has a reader of its own.
const FAR_INTERVAL: Duration = Duration::from_millis(1_800);
/// An address that never answers is tried for this long, and again when it is learnt anew.
const TRIED_FOR: Duration = Duration::from_secs(15);
/// Largest datagram that crosses a network whole.
const DATAGRAM_BYTES_MAX: usize = 1_400;
/// Addresses of other hosts that a datagram carries.
const ADDRESSES_TOLD: usize = 4;
/// A host whose own reading works gives it this time before it asks a peer for news.
const OWN_READING_FIRST: Duration = Duration::from_millis(300);
/// Hosts that only listen fetch within this time of the first word.
const LISTENER_SPREAD: Duration = Duration::from_millis(250);

/// What a host tells the others.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Datagram {
    /// Its name.
    pub host: HostId,
    /// The version of the configuration that it has in force; 0 for none.
    pub config: u64,
    /// The log's offset up to which it has read the upstreams.
    pub upstreams: u64,
    /// Where it serves what others lack.
    pub peer_port: u16,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Whether it reads the log: what it tells is first-hand and fresh.
    pub reading: bool,
    /// Whether it tried to read the log of late and could not.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub log_away: bool,
    /// A hash over the upstreams that it lists.
    pub upstreams_digest: u64,
    /// The last changes of its upstreams.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub changes: Vec<Change>,
    /// What it runs where; none in a datagram that tells only of turns.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub loads: Option<Vec<(UpstreamId, Load)>>,
    /// Runs that it has still to move off engines that are leaving.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub moving: Vec<(UpstreamId, u32)>,
    /// Upstreams that it saw leaving.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub leaving: Vec<UpstreamId>,
    /// Some other hosts.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub hosts: Vec<SocketAddr>,
    /// Whether it is shutting down and counts no more.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub stopping: bool,
}

impl Datagram {
    fn of_turns_only(&self) -> Datagram {
        Datagram {
            changes: Vec::new(),
            loads: None,
            hosts: Vec::new(),
            ..self.clone()
        }
    }
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
    reading: bool,
    log_away: bool,
    stopping: bool,
}

/// The other hosts, by the address of their datagrams.
#[derive(Debug)]
pub struct Peers {
    own: SocketAddr,
    seeds: Vec<SocketAddr>,
    peers: BTreeMap<SocketAddr, Peer>,
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
            log_away: datagram.log_away,
            stopping: datagram.stopping,
        };
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

    /// Whether this host shall read the log: it is the first by name of the hosts of its data
    /// centre that are heard and can read it. While hosts are few, each reads for itself.
    pub fn is_reader(&self, now: Time, host: &HostId, data_centre: &DataCentre) -> bool {
        if self.live(now) < READERS_ONLY_FROM {
            return true;
        }
        let able = self.live_hosts(now).filter(|heard| {
            heard.data_centre == *data_centre
                && !heard.log_away
                && now.since(heard.at) < READER_SILENT_FOR
        });
        !able.into_iter().any(|heard| heard.host < *host)
    }

    /// Whether a host that reads the log was heard a moment ago.
    pub fn hears_reader(&self, now: Time) -> bool {
        self.live_hosts(now)
            .any(|heard| heard.reading && now.since(heard.at) < READER_SILENT_FOR)
    }

    /// Where hosts that have a configuration newer than `version` serve it.
    pub fn holders(&self, now: Time, version: u64) -> Vec<SocketAddr> {
        self.live_hosts(now)
            .filter(|heard| heard.config > version)
            .map(|heard| heard.peer_address)
            .collect()
    }

    /// Number of hosts heard of late that are not stopping.
    pub fn live(&self, now: Time) -> usize {
        self.live_hosts(now).count()
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
    fn live_outside(&self, now: Time, own: &DataCentre) -> Vec<SocketAddr> {
        let is_far = |peer: &Peer| {
            let heard = peer.heard.as_ref();
            peer.is_live(now) && heard.is_some_and(|heard| heard.data_centre != *own)
        };
        let far = self.peers.iter().filter(|(_, peer)| is_far(peer));
        far.map(|(address, _)| *address).collect()
    }

    /// A few live hosts to tell of, in turn.
    fn some(&mut self, now: Time) -> Vec<SocketAddr> {
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

/// Sends and receives datagrams for ever.
pub async fn run(shared: Shared, socket: UdpSocket) {
    let mut news = shared.news_watch();
    let mut buffer = vec![0; 2 * DATAGRAM_BYTES_MAX];
    let mut last_round = tokio::time::Instant::now();
    let mut next_round = last_round;
    let mut far = FarRounds::default();
    loop {
        tokio::select! {
            received = socket.recv_from(&mut buffer) => match received {
                Ok((length, from)) => receive(&shared, from, &buffer[..length]),
                // A datagram sent to a host that is gone comes back as an error here.
                Err(error) => log::debug!("datagram: {error}"),
            },
            _ = news.changed() => next_round = next_round.min(last_round + NEWS_INTERVAL_MIN),
            () = tokio::time::sleep_until(next_round) => {
                send_round(&shared, &socket, &mut far).await;
                let hosts = u32::try_from(shared.hosts()).unwrap_or(u32::MAX);
                let interval = INTERVAL_MIN.max(INTERVAL_PER_HOST * hosts);
                last_round = tokio::time::Instant::now();
                next_round = last_round + interval;
            }
        }
    }
}

/// When other data centres were last sent to.
#[derive(Debug, Default)]
struct FarRounds {
    last: Option<Time>,
    was_moving: bool,
}

/// What other data centres get in a round.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum FarRound {
    /// Nothing.
    Nothing,
    /// Only what has to be moved: turns are taken over all hosts.
    Turns,
    /// All that the own data centre gets.
    All,
}

impl FarRounds {
    fn next(&mut self, shared: &Shared, now: Time) -> FarRound {
        let is_moving = !shared.turns().with(|turns| turns.own()).is_empty();
        let was_moving = std::mem::replace(&mut self.was_moving, is_moving);
        let is_few = shared.hosts() <= READERS_ONLY_FROM;
        if is_few || self.last.is_none_or(|last| now.since(last) >= FAR_INTERVAL) {
            self.last = Some(now);
            return FarRound::All;
        }
        match is_moving || was_moving {
            true => FarRound::Turns,
            false => FarRound::Nothing,
        }
    }
}

async fn send_round(shared: &Shared, socket: &UdpSocket, far: &mut FarRounds) {
    let now = shared.now();
    let round = far.next(shared, now);
    let own = &shared.settings().data_centre;
    let only = (round != FarRound::All).then_some(own);
    let targets = shared.peers(|peers| peers.targets(now, only));
    let datagram = own_datagram(shared, now);
    if round == FarRound::Turns {
        let far = shared.peers(|peers| peers.live_outside(now, own));
        send(socket, &encode(datagram.of_turns_only()), &far).await;
    }
    send(socket, &encode(datagram), &targets).await;
}

async fn send(socket: &UdpSocket, bytes: &[u8], targets: &[SocketAddr]) {
    for target in targets {
        if let Err(error) = socket.send_to(bytes, target).await {
            log::debug!("datagram to {target}: {error}");
        }
    }
}

fn own_datagram(shared: &Shared, now: Time) -> Datagram {
    let settings = shared.settings();
    let mut datagram = Datagram {
        host: settings.host.clone(),
        data_centre: settings.data_centre.clone(),
        config: shared.config_version(),
        upstreams: 0,
        upstreams_digest: 0,
        changes: Vec::new(),
        reading: shared.is_reading(),
        log_away: shared.is_log_away() && shared.is_reader(),
        peer_port: settings.peer_address.port(),
        loads: Some(shared.loads().with(|loads| loads.own())),
        moving: shared.turns().with(|turns| turns.own()),
        leaving: Vec::new(),
        hosts: shared.peers(|peers| peers.some(now)),
        stopping: shared.gate().is_shutting_down(),
    };
    shared.directory(|directory| {
        datagram.upstreams = directory.offset();
        datagram.upstreams_digest = directory.digest();
        datagram.leaving = directory.witnessed().cloned().collect();
        if datagram.reading {
            datagram.changes = directory.recent();
        }
    });
    datagram
}

/// A datagram that is too large loses its oldest changes, then its smallest loads.
fn encode(mut datagram: Datagram) -> Vec<u8> {
    if let Some(loads) = &mut datagram.loads {
        loads.sort_by_key(|(_, load)| std::cmp::Reverse(load.tokens));
    }
    loop {
        let bytes = serde_json::to_vec(&datagram).unwrap_or_default();
        if bytes.len() <= DATAGRAM_BYTES_MAX || !shorten(&mut datagram) {
            return bytes;
        }
    }
}

/// Leaves something out; false if there is nothing to leave out.
fn shorten(datagram: &mut Datagram) -> bool {
    if !datagram.changes.is_empty() {
        datagram.changes.remove(0);
        return true;
    }
    match &mut datagram.loads {
        Some(loads) if !loads.is_empty() => {
            loads.truncate(loads.len() * 3 / 4);
            true
        }
        Some(_) | None => false,
    }
}

fn receive(shared: &Shared, from: SocketAddr, bytes: &[u8]) {
    let Ok(datagram) = serde_json::from_slice::<Datagram>(bytes) else {
        log::debug!("a datagram from {from} can't be read");
        return;
    };
    let now = shared.now();
    if shared.peers(|peers| peers.hear(now, from, &datagram)) {
        let line = shared.log().line(EventCode::PeerJoined);
        line.with("peer", datagram.host.as_str())
            .with("address", from.to_string())
            .write();
    }
    for upstream in &datagram.leaving {
        shared.witness_leaving(upstream, datagram.host.as_str());
    }
    let newer_upstreams = take_changes(shared, now, &datagram);
    let newer_config = datagram.config > shared.config_version();
    let peer = SocketAddr::new(from.ip(), datagram.peer_port);
    shared
        .turns()
        .with(|turns| turns.hear(now, &datagram.host, datagram.moving));
    if let Some(told) = datagram.loads {
        shared
            .loads()
            .with(|loads| loads.hear(now, datagram.host, told));
    }
    if newer_config || newer_upstreams {
        fetch_soon(shared, peer);
    }
}

/// Takes the changes that a reader tells. True if it must know of more.
fn take_changes(shared: &Shared, now: Time, datagram: &Datagram) -> bool {
    let own_offset = shared.directory(|directory| directory.offset());
    if datagram.upstreams <= own_offset {
        return false;
    }
    let mut changes = Vec::new();
    let same = shared.directory(|directory| {
        for change in &datagram.changes {
            let taken = directory.take(now, change);
            changes.extend(taken.map(|taken| (change.id.clone(), taken)));
        }
        let same = directory.digest() == datagram.upstreams_digest;
        if same {
            directory.advance(datagram.upstreams);
        }
        same
    });
    shared.directory_changes(changes, datagram.host.as_str());
    !same
}

/// Gives the own reading of the log, or the next datagram, a moment; then asks a peer. Hosts that
/// only listen spread their questions, so that the readers are not asked by all at once.
fn fetch_soon(shared: &Shared, peer: SocketAddr) {
    let wait = match shared.is_reading() {
        true => OWN_READING_FIRST,
        false => LISTENER_SPREAD.mul_f64(rand::random()),
    };
    if shared.peers(|peers| peers.begin_fetch()) {
        actix_rt::spawn(peerfetch::fetch(shared.clone(), peer, wait));
    }
}

#[cfg(test)]
mod tests;
