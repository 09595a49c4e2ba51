//! Datagrams between hosts: what each runs where, which versions it holds, which upstreams it saw
//! leaving.
//!
//! The hosts of a data centre all tell each other; the interval grows with their number, so that what
//! a host sends and gets stays bounded. In a small fleet that goes for all hosts. In a large one each host
//! tells a few of each other data centre in turn what its own one's upstreams run and how many hosts it counts,
//! and those of a data centre in which it runs something that it does, so that the cost of a host doesn't grow with the fleet, and who hears any of a data centre knows all
//! of it. A datagram lost is made good by the next one. A host that has just started is told at once
//! whom it shall hear.
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

use self::far::FarRounds;
use self::spread::Spread;
use crate::clock::Time;
use crate::event::EventCode;
use crate::gateway::configfetch;
use crate::gateway::datagram::DATAGRAM_BYTES_MAX;
use crate::gateway::datagram::Datagram;
use crate::gateway::datagram::ToldChanges;
use crate::gateway::datagram::ToldEvidences;
use crate::gateway::datagram::ToldLoads;
use crate::gateway::datagram::decode;
use crate::gateway::datagram::encode;
use crate::gateway::directory::Change;
use crate::gateway::loads::Teller;
use crate::gateway::peerfetch;
use crate::gateway::peers::Acquaintance;
use crate::gateway::peers::Recipients;
use crate::gateway::position::Position;
use crate::gateway::protocol::Topic;
use crate::gateway::shared::Shared;
use crate::gateway::shared::ToldBy;
use crate::id::DataCentre;
use crate::id::HostId;

mod far;
mod spread;

#[cfg(test)]
pub(crate) use self::far::FAR_INTERVAL;

/// Time between two rounds while hosts are few.
const INTERVAL_MIN: Duration = Duration::from_millis(250);
/// News goes out at once, but not sooner than this after the round before.
const NEWS_INTERVAL_MIN: Duration = Duration::from_millis(10);
/// Added for each host of the data centre: bounds datagrams to 83 a second each way, a few percent of a
/// tenth of a core.
const INTERVAL_PER_HOST: Duration = Duration::from_millis(12);
/// Datagrams are read as they arrive in data centres of up to so many other hosts,
const GATHERED_FROM: usize = 100;
/// and gathered for so much longer for each further one,
const GATHERED_PER_HOST: Duration = Duration::from_micros(500);
/// up to this time, which passes at each of a few hops that a change takes.
const GATHERED_MAX: Duration = Duration::from_millis(100);
/// A host whose own reading works gives it this time before it asks a peer for news.
const OWN_READING_FIRST: Duration = Duration::from_millis(300);
/// Hosts that know nothing yet ask within this time for each other one of their data centre.
const START_SPREAD_PER_HOST: Duration = Duration::from_millis(1);
/// Hosts that only listen fetch within this time of the first word.
const LISTENER_SPREAD: Duration = Duration::from_millis(250);
/// and in large fleets within so much for each host, as changes then come faster than a host can fetch them one by one,
const LISTENER_SPREAD_PER_HOST: Duration = Duration::from_micros(750);
/// up to a part of the bounds on what must be known.
const LISTENER_SPREAD_MAX: Duration = Duration::from_millis(1_000);

/// Sends and receives datagrams for ever.
pub async fn run(shared: Shared, socket: UdpSocket) {
    let mut news = shared.news_watch();
    let mut asks = shared.asks_watch();
    let mut changes_read = shared.changes_read_watch();
    let mut spread = Spread::default();
    let mut buffer = vec![0; 2 * DATAGRAM_BYTES_MAX];
    let mut rounds = Rounds::new();
    let mut receives_at = Instant::now();
    loop {
        tokio::select! {
            received = receive_from(&socket, receives_at, &mut buffer) => {
                shared.look_for_suspension();
                let mut received = Some(received);
                while let Some(datagram) = received {
                    match datagram {
                        Ok((length, from)) => {
                            take(&shared, &socket, from, &buffer[..length]).await;
                        }
                        // A datagram sent to a host that is gone comes back as an error here.
                        Err(error) => log::debug!("datagram: {error}"),
                    }
                    received = waiting(&socket, &mut buffer);
                }
                receives_at = Instant::now() + receive_pause(&shared);
            },
            _ = news.changed() => rounds.hasten(),
            _ = changes_read.changed() => if !spread.send_new(&shared, &socket).await {
                rounds.hasten();
            },
            _ = asks.changed() => far::ask(&shared, &socket).await,
            () = tokio::time::sleep_until(rounds.next) => {
                let is_full = rounds.is_full(&shared);
                send_round(&shared, &socket, &mut rounds.far, is_full).await;
                rounds.end(&shared, is_full);
            }
        }
    }
}

/// The next datagram, not before `receives_at`.
async fn receive_from(
    socket: &UdpSocket,
    receives_at: Instant,
    buffer: &mut [u8],
) -> std::io::Result<(usize, SocketAddr)> {
    tokio::time::sleep_until(receives_at).await;
    socket.recv_from(buffer).await
}

/// A datagram that has arrived already.
fn waiting(socket: &UdpSocket, buffer: &mut [u8]) -> Option<std::io::Result<(usize, SocketAddr)>> {
    match socket.try_recv_from(buffer) {
        Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => None,
        received => Some(received),
    }
}

/// How long a host of a large data centre lets datagrams gather: each would else wake it, a hundred times a second.
fn receive_pause(shared: &Shared) -> Duration {
    let now = shared.now();
    let near = shared.peers(|peers| peers.count_near(now));
    let many = u32::try_from(near.saturating_sub(GATHERED_FROM)).unwrap_or(u32::MAX);
    GATHERED_PER_HOST.saturating_mul(many).min(GATHERED_MAX)
}

/// Takes one datagram, and answers it if it is to be answered.
async fn take(shared: &Shared, socket: &UdpSocket, from: SocketAddr, bytes: &[u8]) {
    if let Some(told) = ToldChanges::decode(bytes) {
        take_spread(shared, socket, &told).await;
    } else if let Some(answer) = receive(shared, from, bytes) {
        send(socket, &encode(answer), &[from]).await;
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
    let now = shared.now();
    interval_among(shared.peers(|peers| peers.count_near(now)))
}

/// Between two rounds to so many hosts of the own data centre.
pub(crate) fn interval_among(near: usize) -> Duration {
    let near = u32::try_from(near).unwrap_or(u32::MAX);
    INTERVAL_MIN.max(INTERVAL_PER_HOST.saturating_mul(near))
}

async fn send_round(shared: &Shared, socket: &UdpSocket, far: &mut FarRounds, is_full: bool) {
    let now = shared.now();
    let is_small = shared.is_small_fleet();
    let recipients = match is_small {
        true => Recipients::All,
        false => Recipients::Near,
    };
    let targets = shared.peers(|peers| {
        peers.count(now);
        peers.targets(now, recipients)
    });
    let mut datagram = own_datagram(shared, now);
    if spread::is_much(shared, &datagram) {
        datagram.changes.clear();
    }
    if !is_small {
        far::send_far(shared, socket, far, &datagram).await;
    }
    let datagram = match is_full {
        true => datagram,
        false => datagram.of_the_log_only(),
    };
    send_parts(socket, datagram, &targets).await;
}

/// Sends a datagram, and before it the changes of the upstreams that have no room in it.
async fn send_parts(socket: &UdpSocket, datagram: Datagram, targets: &[SocketAddr]) {
    for part in datagram.into_parts() {
        send(socket, &encode(part), targets).await;
    }
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
        log_era: shared.log_era(),
        evacuations: shared.told_evacuations(),
        rollouts: shared.told_rollouts(),
        evidence: ToldEvidences::OfHost(shared.evidences(|evidences| evidences.own(now))),
        upstreams: Position::default(),
        upstreams_digest: 0,
        changes: Vec::new(),
        has_more_changes: false,
        reading: shared.reading(),
        unreadable: shared.unreadable(),
        peer_port: settings.peer_address.port(),
        loads: ToldLoads::OfHost(shared.loads().with(|loads| loads.own())),
        moving: shared.turns().with(|turns| turns.own()),
        leaving: Vec::new(),
        unreachable: shared.unreachable(),
        suspects: shared.suspects(|suspects| suspects.tell(now)),
        hosts: shared.peers(|peers| peers.some(now)),
        introduced: Vec::new(),
        hears: told_count(shared.peers(|peers| peers.live(now))),
        hears_near: told_count(shared.peers(|peers| peers.count_near(now))),
        counted: told_count(shared.peers(|peers| peers.counted(now))),
        stopping: shared.gate().is_shutting_down(),
        asks: false,
    };
    shared.directory(|directory| {
        datagram.upstreams = directory.position();
        datagram.upstreams_digest = directory.digest();
        datagram.leaving = directory.witnessed().cloned().collect();
        if datagram.reading.upstreams {
            datagram.changes = directory.recent(now);
        }
    });
    datagram
}

/// A number of hosts as datagrams carry it.
fn told_count(hosts: usize) -> u32 {
    u32::try_from(hosts).unwrap_or(u32::MAX)
}

/// Takes a datagram; returns the answer to a host that was not known.
fn receive(shared: &Shared, from: SocketAddr, bytes: &[u8]) -> Option<Datagram> {
    let datagram = match decode(bytes) {
        Ok(datagram) => datagram,
        Err(error) => {
            log::debug!("a datagram from {from}: {error}");
            return None;
        }
    };
    let now = shared.now();
    let acquaintance = shared.peers(|peers| peers.hear(now, from, &datagram));
    if acquaintance.is_news {
        let line = shared.log().line(EventCode::PeerJoined);
        line.with("peer", datagram.host.as_str())
            .with("address", from.to_string())
            .with("data_centre", datagram.data_centre.as_str())
            .with("hosts", shared.hosts())
            .write();
    }
    shared.hear_era(datagram.log_era, datagram.host.as_str());
    shared.hear_evacuations(&datagram.evacuations, datagram.host.as_str());
    shared.hear_rollouts(&datagram.rollouts, datagram.host.as_str());
    for upstream in &datagram.leaving {
        shared.witness_leaving(upstream, datagram.host.as_str());
    }
    if datagram.data_centre == shared.settings().data_centre {
        shared.hear_unreachable(&datagram.host, &datagram.unreachable);
    }
    shared.hear_suspects(datagram.host.as_str(), &datagram.suspects);
    let told = ToldPosition {
        host: &datagram.host,
        position: datagram.upstreams,
        digest: datagram.upstreams_digest,
        changes: &datagram.changes,
        has_more_changes: datagram.has_more_changes,
    };
    let newer_upstreams = take_changes(shared, now, told);
    let upstreams = datagram.upstreams;
    let newer_config = datagram.config > shared.config_version();
    shared
        .turns()
        .with(|turns| turns.hear(now, &datagram.host, datagram.moving));
    let data_centre = datagram.data_centre;
    take_evidence(shared, now, &datagram.host, &data_centre, datagram.evidence);
    take_loads(shared, now, datagram.host, &data_centre, datagram.loads);
    if newer_config {
        configfetch::fetch_soon(shared, fetch_wait(shared));
    }
    if newer_upstreams {
        peerfetch::fetch_soon(shared, upstreams, fetch_wait(shared));
    }
    if datagram.asks {
        let loads = shared.home_loads(&data_centre);
        return Some(own_datagram(shared, now).that_answers(loads));
    }
    // Near ones hear each other all the same.
    let is_near = data_centre == shared.settings().data_centre;
    let lacks_something = !is_near || acquaintance.has_started;
    (acquaintance.is_stranger && lacks_something)
        .then(|| answer(shared, now, &data_centre, acquaintance))
}

/// Takes changes that came over others, and passes on what was new.
async fn take_spread(shared: &Shared, socket: &UdpSocket, told: &ToldChanges) {
    let now = shared.now();
    shared.hear_era(told.log_era, told.host.as_str());
    let is_new = told.position > shared.directory(|directory| directory.position());
    if !is_new {
        return;
    }
    spread::pass_on(shared, now, socket, told).await;
    let told = ToldPosition {
        host: &told.host,
        position: told.position,
        digest: told.digest,
        changes: &told.changes,
        has_more_changes: told.has_more_changes,
    };
    if take_changes(shared, now, told) {
        peerfetch::fetch_soon(shared, told.position, fetch_wait(shared));
    }
}

/// Takes what `host` of `data_centre` tells of what runs where.
fn take_loads(shared: &Shared, now: Time, host: HostId, data_centre: &DataCentre, told: ToldLoads) {
    let data_centre = data_centre.clone();
    let (teller, loads) = match told {
        ToldLoads::Nothing => return,
        ToldLoads::OfHost(loads) => (Teller::Host(host), loads),
        ToldLoads::OfVisitor(loads) => (Teller::Visitor { host, data_centre }, loads),
        ToldLoads::OfDataCentre(loads) => (Teller::DataCentre(data_centre), loads),
    };
    let is_word = matches!(teller, Teller::DataCentre(_));
    shared.loads().with(|board| board.hear(now, teller, loads));
    if is_word {
        shared.word_heard();
    }
}

/// Takes what `host` of `data_centre` tells of versions that are tried.
fn take_evidence(
    shared: &Shared,
    now: Time,
    host: &HostId,
    data_centre: &DataCentre,
    told: ToldEvidences,
) {
    let (teller, told) = match told {
        ToldEvidences::Nothing => return,
        ToldEvidences::OfHost(told) => (Teller::Host(host.clone()), told),
        ToldEvidences::OfDataCentre(told) => (Teller::DataCentre(data_centre.clone()), told),
    };
    if !told.is_empty() {
        shared.evidences(|evidences| evidences.hear(now, teller, told));
    }
}

/// What a host of `data_centre` that was not known is told at once: who reads the log, some hosts of the
/// other data centres, and, if it has just started, those of its own.
fn answer(
    shared: &Shared,
    now: Time,
    data_centre: &DataCentre,
    acquaintance: Acquaintance,
) -> Datagram {
    let mut datagram = own_datagram(shared, now).of_the_log_only();
    shared.peers(|peers| {
        datagram.introduced = peers.introductions(now, data_centre);
        if acquaintance.has_started {
            datagram.hosts = peers.neighbours_of(now, data_centre);
        }
    });
    datagram
}

/// How far a host has read the upstreams, and what changed of late.
#[derive(Clone, Copy)]
struct ToldPosition<'a> {
    host: &'a HostId,
    position: Position,
    digest: u64,
    changes: &'a [Change],
    has_more_changes: bool,
}

/// Takes the changes that a reader tells. True if it must know of more.
fn take_changes(shared: &Shared, now: Time, told: ToldPosition<'_>) -> bool {
    let own_position = shared.directory(|directory| directory.position());
    if told.position <= own_position {
        return false;
    }
    let mut changes = Vec::new();
    let same = shared.directory(|directory| {
        for change in told.changes {
            let taken = directory.take(now, change);
            changes.extend(taken);
        }
        let same = directory.digest() == told.digest;
        if same {
            directory.advance(told.position);
        }
        same
    });
    shared.directory_changes(changes, ToldBy::Host(told.host.as_str()));
    !same && !told.has_more_changes
}

/// Gives the own reading of the log, or the next datagram, a moment before a peer is asked. Hosts that
/// only listen spread their questions, so that the readers are not asked by all at once; one that
/// can't serve yet asks at once.
fn fetch_wait(shared: &Shared) -> Duration {
    if shared.is_reading(Topic::Operator) {
        OWN_READING_FIRST
    } else if shared.is_ready() {
        let hosts = u32::try_from(shared.hosts()).unwrap_or(u32::MAX);
        let spread = LISTENER_SPREAD.max(LISTENER_SPREAD_PER_HOST.saturating_mul(hosts));
        spread.min(LISTENER_SPREAD_MAX).mul_f64(rand::random())
    } else {
        let now = shared.now();
        let near = shared.peers(|peers| peers.count_near(now));
        let spread = START_SPREAD_PER_HOST * u32::try_from(near).unwrap_or(u32::MAX);
        spread.mul_f64(rand::random())
    }
}
