//! Datagrams between hosts: what each runs where, which versions it holds, which upstreams it saw
//! leaving.
//!
//! Every host sends to every other; the interval grows with their number, so that what a host
//! sends and gets stays bounded. A datagram lost is made good by the next one.
//!
//! Calls to the log are priced, so where hosts are many few of them follow it and tell the others
//! with their datagrams: the upstreams' last changes in full, and the configuration's version, which
//! the others then fetch. Who reads is decided by each host for itself from whom it hears
//! ([`crate::gateway::peers::Peers::is_reader`]); two readers for a moment are harmless, and a host that hears of none
//! reads for itself.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::UdpSocket;
use tokio::time::Instant;

use crate::clock::Time;
use crate::event::EventCode;
use crate::gateway::datagram::DATAGRAM_BYTES_MAX;
use crate::gateway::datagram::Datagram;
use crate::gateway::datagram::decode;
use crate::gateway::datagram::encode;
use crate::gateway::peerfetch;
use crate::gateway::peers::READERS_ONLY_FROM;
use crate::gateway::protocol::Topic;
use crate::gateway::shared::Shared;

/// Time between two rounds while hosts are few.
const INTERVAL_MIN: Duration = Duration::from_millis(250);
/// News goes out at once, but not sooner than this after the round before.
const NEWS_INTERVAL_MIN: Duration = Duration::from_millis(10);
/// Added for each host: bounds datagrams a host to about 250 a second each way.
const INTERVAL_PER_HOST: Duration = Duration::from_millis(4);
/// Hosts of other data centres are sent to at this interval while hosts are many: bytes between data
/// centres are priced, and each has a reader of its own.
const FAR_INTERVAL: Duration = Duration::from_millis(1_800);
/// Rounds come a little sooner or later than their interval: what is due in each has this part of it.
const EACH_ROUND: f64 = 0.9;
/// A host whose own reading works gives it this time before it asks a peer for news.
const OWN_READING_FIRST: Duration = Duration::from_millis(300);
/// Hosts that only listen fetch within this time of the first word.
const LISTENER_SPREAD: Duration = Duration::from_millis(250);

/// Sends and receives datagrams for ever.
pub async fn run(shared: Shared, socket: UdpSocket) {
    let mut news = shared.news_watch();
    let mut buffer = vec![0; 2 * DATAGRAM_BYTES_MAX];
    let mut rounds = Rounds::new();
    loop {
        tokio::select! {
            received = socket.recv_from(&mut buffer) => match received {
                Ok((length, from)) => receive(&shared, from, &buffer[..length]),
                // A datagram sent to a host that is gone comes back as an error here.
                Err(error) => log::debug!("datagram: {error}"),
            },
            _ = news.changed() => rounds.hasten(),
            () = tokio::time::sleep_until(rounds.next) => {
                let is_full = rounds.is_full(&shared);
                send_round(&shared, &socket, &mut rounds.far, is_full).await;
                rounds.end(&shared, is_full);
            }
        }
    }
}

/// When this host sends, and whether it tells everything then.
#[derive(Debug)]
struct Rounds {
    next: Instant,
    last: Instant,
    last_full: Instant,
    /// What the host has to tell doesn't wait for its turn.
    has_news: bool,
    far: FarRounds,
}

impl Rounds {
    fn new() -> Self {
        let now = Instant::now();
        Rounds {
            next: now,
            last: now,
            last_full: now,
            has_news: true,
            far: FarRounds::default(),
        }
    }

    /// There is news.
    fn hasten(&mut self) {
        self.has_news = true;
        self.next = self.next.min(self.last + NEWS_INTERVAL_MIN);
    }

    /// Whether this round tells everything; a reader's rounds in between tell of the log alone.
    fn is_full(&self, shared: &Shared) -> bool {
        self.has_news || self.last_full.elapsed() >= full_interval(shared)
    }

    fn end(&mut self, shared: &Shared, was_full: bool) {
        let now = Instant::now();
        if was_full {
            self.last_full = now;
        }
        let until_full = (self.last_full + full_interval(shared)).saturating_duration_since(now);
        let interval = match shared.reads_for_others() {
            true => until_full.min(shared.reader_interval()),
            false => until_full,
        };
        self.last = now;
        self.has_news = false;
        self.next = now + interval;
    }
}

/// Between two rounds that tell everything.
fn full_interval(shared: &Shared) -> Duration {
    let hosts = u32::try_from(shared.hosts()).unwrap_or(u32::MAX);
    INTERVAL_MIN.max(INTERVAL_PER_HOST * hosts)
}

/// When other data centres were last sent to.
#[derive(Debug, Default)]
struct FarRounds {
    last: Option<Time>,
    was_moving: bool,
    /// The log's offset up to which this host had told of upstreams.
    told_upstreams: u64,
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
        let is_due = self
            .last
            .is_none_or(|last| now.since(last) >= self.interval(shared));
        if is_few || is_due || self.has_news(shared) {
            self.last = Some(now);
            return FarRound::All;
        }
        match is_moving || was_moving {
            true => FarRound::Turns,
            false => FarRound::Nothing,
        }
    }
}

impl FarRounds {
    /// A host that reads for all must be heard by all, in each of its rounds.
    fn interval(&self, shared: &Shared) -> Duration {
        match shared.is_reading(Topic::Upstreams) {
            true => shared.reader_interval().mul_f64(EACH_ROUND),
            false => FAR_INTERVAL,
        }
    }

    /// Whether this host reads the upstreams for all and they have changed.
    fn has_news(&mut self, shared: &Shared) -> bool {
        let upstreams = shared.directory(|directory| directory.offset());
        let told = std::mem::replace(&mut self.told_upstreams, upstreams);
        told != upstreams && shared.is_reading(Topic::Upstreams)
    }
}

async fn send_round(shared: &Shared, socket: &UdpSocket, far: &mut FarRounds, is_full: bool) {
    let now = shared.now();
    let round = far.next(shared, now);
    let own = &shared.settings().data_centre;
    let only = (round != FarRound::All).then_some(own);
    let targets = shared.peers(|peers| peers.targets(now, only));
    let mut datagram = own_datagram(shared, now);
    if !is_full {
        datagram = datagram.of_the_log_only();
    }
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
        reading: shared.reading(),
        unreadable: shared.unreadable(),
        peer_port: settings.peer_address.port(),
        loads: Some(shared.loads().with(|loads| loads.own())),
        moving: shared.turns().with(|turns| turns.own()),
        leaving: Vec::new(),
        unreachable: shared.unreachable(),
        hosts: shared.peers(|peers| peers.some(now)),
        hears: u32::try_from(shared.peers(|peers| peers.live(now))).unwrap_or(u32::MAX),
        stopping: shared.gate().is_shutting_down(),
    };
    shared.directory(|directory| {
        datagram.upstreams = directory.offset();
        datagram.upstreams_digest = directory.digest();
        datagram.leaving = directory.witnessed().cloned().collect();
        if datagram.reading.upstreams {
            datagram.changes = directory.recent();
        }
    });
    datagram
}

fn receive(shared: &Shared, from: SocketAddr, bytes: &[u8]) {
    let datagram = match decode(bytes) {
        Ok(datagram) => datagram,
        Err(error) => {
            log::debug!("a datagram from {from}: {error}");
            return;
        }
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
    if datagram.data_centre == shared.settings().data_centre {
        shared.hear_unreachable(&datagram.host, &datagram.unreachable);
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
            changes.extend(taken);
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
/// only listen spread their questions, so that the readers are not asked by all at once; one that
/// can't serve yet asks at once.
fn fetch_soon(shared: &Shared, peer: SocketAddr) {
    let wait = if shared.is_reading(Topic::Operator) {
        OWN_READING_FIRST
    } else if shared.is_ready() {
        LISTENER_SPREAD.mul_f64(rand::random())
    } else {
        Duration::ZERO
    };
    if shared.peers(|peers| peers.begin_fetch()) {
        actix_rt::spawn(peerfetch::fetch(shared.clone(), peer, wait));
    }
}
