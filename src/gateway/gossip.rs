//! Datagrams between hosts: what each runs where, which versions it holds, which upstreams it saw
//! leaving.
//!
//! Every host sends to every other; the interval grows with their number, so that what a host
//! sends and gets stays bounded. A datagram lost is made good by the next one.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use tokio::net::UdpSocket;

use crate::clock::Time;
use crate::event::EventCode;
use crate::gateway::loads::Load;
use crate::gateway::peerfetch;
use crate::gateway::shared::Shared;
use crate::id::HostId;
use crate::id::UpstreamId;

/// Time between two rounds while hosts are few.
const INTERVAL_MIN: Duration = Duration::from_millis(250);
/// News goes out at once, but not sooner than this after the round before.
const NEWS_INTERVAL_MIN: Duration = Duration::from_millis(30);
/// Added for each host: bounds datagrams a host to about 250 a second each way.
const INTERVAL_PER_HOST: Duration = Duration::from_millis(4);
/// A host that was not heard for so long counts no more: several rounds.
const LIVE_FOR: Duration = Duration::from_millis(3_000);
/// An address that never answers is tried for this long, and again when it is learnt anew.
const TRIED_FOR: Duration = Duration::from_secs(15);
/// Largest datagram that crosses a network whole.
const DATAGRAM_BYTES_MAX: usize = 1_400;
/// Addresses of other hosts that a datagram carries.
const ADDRESSES_TOLD: usize = 4;
/// A host whose own reading works gives it this time before it asks a peer for news.
const OWN_READING_FIRST: Duration = Duration::from_millis(300);

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
    /// What it runs where.
    pub loads: Vec<(UpstreamId, Load)>,
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

/// What is known of another host.
#[derive(Debug, Clone)]
struct Peer {
    learnt_at: Time,
    heard_at: Option<Time>,
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
                heard_at: None,
                stopping: false,
            });
        }
    }

    /// A datagram came from `address`. True if the host is new or back.
    pub fn hear(&mut self, now: Time, address: SocketAddr, datagram: &Datagram) -> bool {
        let known = self.peers.get(&address).and_then(|peer| peer.heard_at);
        self.peers.insert(
            address,
            Peer {
                learnt_at: now,
                heard_at: Some(now),
                stopping: datagram.stopping,
            },
        );
        let hosts = datagram.hosts.iter().copied();
        self.learn(now, hosts.filter(|host| host.port() == address.port()));
        known.is_none_or(|heard| now.since(heard) > LIVE_FOR)
    }

    /// Number of hosts heard of late that are not stopping.
    pub fn live(&self, now: Time) -> usize {
        let peers = self.peers.values();
        peers
            .filter(|peer| !peer.stopping && peer.is_live(now))
            .count()
    }

    /// Whom to send to in this round. Forgets hosts that are silent; seeds are always tried.
    pub fn targets(&mut self, now: Time) -> Vec<SocketAddr> {
        self.peers.retain(|_, peer| {
            let last = peer.heard_at.unwrap_or(peer.learnt_at);
            now.since(last) < TRIED_FOR
        });
        let mut targets: Vec<SocketAddr> = self.peers.keys().copied().collect();
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
        self.heard_at.is_some_and(|at| now.since(at) < LIVE_FOR)
    }
}

/// Sends and receives datagrams for ever.
pub async fn run(shared: Shared, socket: UdpSocket) {
    let mut news = shared.news_watch();
    let mut buffer = vec![0; 2 * DATAGRAM_BYTES_MAX];
    let mut last_round = tokio::time::Instant::now();
    let mut next_round = last_round;
    loop {
        tokio::select! {
            received = socket.recv_from(&mut buffer) => match received {
                Ok((length, from)) => receive(&shared, from, &buffer[..length]),
                // A datagram sent to a host that is gone comes back as an error here.
                Err(error) => log::debug!("datagram: {error}"),
            },
            _ = news.changed() => next_round = next_round.min(last_round + NEWS_INTERVAL_MIN),
            () = tokio::time::sleep_until(next_round) => {
                let sent = send_round(&shared, &socket).await;
                let hosts = u32::try_from(sent).unwrap_or(u32::MAX);
                let interval = INTERVAL_MIN.max(INTERVAL_PER_HOST * hosts);
                last_round = tokio::time::Instant::now();
                next_round = last_round + interval;
            }
        }
    }
}

async fn send_round(shared: &Shared, socket: &UdpSocket) -> usize {
    let now = shared.now();
    let targets = shared.peers(|peers| peers.targets(now));
    let bytes = encode(own_datagram(shared, now));
    for target in &targets {
        if let Err(error) = socket.send_to(&bytes, target).await {
            log::debug!("datagram to {target}: {error}");
        }
    }
    targets.len()
}

fn own_datagram(shared: &Shared, now: Time) -> Datagram {
    let (upstreams, leaving) = shared.directory(|directory| {
        let leaving = directory.witnessed().cloned().collect();
        (directory.offset(), leaving)
    });
    Datagram {
        host: shared.settings().host.clone(),
        config: shared.config_version(),
        upstreams,
        peer_port: shared.settings().peer_address.port(),
        loads: shared.loads().with(|loads| loads.own()),
        leaving,
        hosts: shared.peers(|peers| peers.some(now)),
        stopping: shared.gate().is_shutting_down(),
    }
}

/// A datagram that is too large loses its smallest loads.
fn encode(mut datagram: Datagram) -> Vec<u8> {
    datagram
        .loads
        .sort_by_key(|(_, load)| std::cmp::Reverse(load.tokens));
    loop {
        let bytes = serde_json::to_vec(&datagram).unwrap_or_default();
        if bytes.len() <= DATAGRAM_BYTES_MAX || datagram.loads.is_empty() {
            return bytes;
        }
        let keep = datagram.loads.len() * 3 / 4;
        datagram.loads.truncate(keep);
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
    let newer_config = datagram.config > shared.config_version();
    let newer_upstreams = datagram.upstreams > shared.directory(|directory| directory.offset());
    let peer = SocketAddr::new(from.ip(), datagram.peer_port);
    shared
        .loads()
        .with(|loads| loads.hear(now, datagram.host, datagram.loads));
    if newer_config || newer_upstreams {
        fetch_soon(shared, peer);
    }
}

/// Gives the own reading of the log a moment, then asks the peer.
fn fetch_soon(shared: &Shared, peer: SocketAddr) {
    let wait = match shared.is_log_away() {
        true => Duration::ZERO,
        false => OWN_READING_FIRST,
    };
    if shared.peers(|peers| peers.begin_fetch()) {
        actix_rt::spawn(peerfetch::fetch(shared.clone(), peer, wait));
    }
}

#[cfg(test)]
mod tests;
