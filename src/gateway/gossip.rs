//! Exchanges state between hosts by datagram: load per upstream, the versions in force, upstreams
//! observed leaving.
//!
//! Within a data centre every host sends to every other. The interval grows with the number of hosts,
//! so that the datagrams sent and received by one host stay bounded. A small fleet is treated like one
//! data centre. In a large fleet each host sends a summary of its own data centre's load and its host
//! count to a few hosts of each other data centre in turn, and its own load to hosts of the data
//! centres in which it causes any. The cost per host thus doesn't grow with the fleet, and a host that
//! receives from any host of a data centre knows the whole of it. A lost datagram is made up for by the
//! next one. A host that has just started is sent the addresses of the hosts it should know.
//!
//! Calls to the log are billed, so in a large fleet only a few hosts read it. They announce recent
//! upstream changes in full, and the version of the configuration, which the other hosts then fetch.
//! Each host decides from the datagrams that it receives whether it is a reader
//! ([`crate::gateway::peers::Peers::is_reader`]). Two readers at the same time are harmless, and a host
//! that knows of no reader reads the log itself.
//!
//! Messages on shared queues ([`crate::gateway::queuemessages`]) use the same socket. They are sent at once by whoever
//! has something to say, and received here like all others.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::UdpSocket;
use tokio::time::Instant;

use self::receiving::handle;
use self::relay::ChangeRelay;
use self::remote::RemoteRounds;
use crate::clock::Time;
use crate::gateway::datagram::AnnouncedLoads;
use crate::gateway::datagram::AnnouncedTrials;
use crate::gateway::datagram::DATAGRAM_BYTES_MAX;
use crate::gateway::datagram::Datagram;
use crate::gateway::datagram::encode;
use crate::gateway::peers::Recipients;
use crate::gateway::shared::Shared;

mod receiving;
mod relay;
mod remote;

#[cfg(test)]
pub(crate) use self::remote::REMOTE_INTERVAL;

/// Shortest interval between full rounds, used while there are few hosts.
const INTERVAL_MIN: Duration = Duration::from_millis(250);
/// Changes are announced immediately, but not sooner than this after the previous round.
const CHANGE_INTERVAL_MIN: Duration = Duration::from_millis(10);
/// Share of the interval per host of the data centre. It bounds datagrams to 83 per second in each
/// direction, which takes a few percent of a tenth of a core.
const INTERVAL_PER_HOST: Duration = Duration::from_millis(12);
/// With up to this many other hosts in the data centre, datagrams are read as they arrive.
const BATCH_HOSTS_MIN: usize = 100;
/// Added to the delay between reads for each host beyond [`BATCH_HOSTS_MIN`].
const BATCH_DELAY_PER_HOST: Duration = Duration::from_micros(500);
/// Datagrams that are handled before other tasks get the processor.
const BATCH_MAX: usize = 256;
/// Longest delay between reads. A change incurs it at each of the few hops that it takes.
const BATCH_DELAY_MAX: Duration = Duration::from_millis(100);

/// Sends and receives datagrams; never returns.
pub async fn run(shared: Shared, socket: Arc<UdpSocket>) {
    if shared.settings().features.shared_queue {
        shared.set_gossip_socket(socket.clone());
    }
    let mut announcements = shared.watch_announcements();
    let mut load_queries = shared.watch_load_queries();
    let mut read_changes = shared.watch_read_changes();
    let mut relay = ChangeRelay::default();
    let mut buffer = vec![0; 2 * DATAGRAM_BYTES_MAX];
    let mut rounds = Rounds::new();
    let mut receives_at = Instant::now();
    loop {
        tokio::select! {
            received = receive_after(&socket, receives_at, &mut buffer) => {
                shared.check_suspension();
                let mut next = Some(received);
                let mut handled = 0;
                while let Some(datagram) = next {
                    match datagram {
                        Ok((length, from)) => {
                            handle(&shared, &socket, from, &buffer[..length]).await;
                        }
                        // An earlier send to a host that is gone is reported as an error here.
                        Err(error) => log::debug!("receiving a datagram: {error}"),
                    }
                    handled += 1;
                    next = match handled < BATCH_MAX {
                        true => try_receive(&socket, &mut buffer),
                        false => None,
                    };
                }
                receives_at = Instant::now() + batch_delay(&shared);
            },
            _ = announcements.changed() => rounds.expedite(),
            _ = read_changes.changed() => if !relay.send_changes(&shared, &socket).await {
                rounds.expedite();
            },
            _ = load_queries.changed() => remote::query_loads(&shared, &socket).await,
            () = tokio::time::sleep_until(rounds.next) => {
                let is_full = rounds.is_full(&shared);
                send_round(&shared, &socket, &mut rounds.remote, is_full).await;
                rounds.end(&shared, is_full);
            }
        }
    }
}

/// Receives the next datagram, not before `receives_at`.
async fn receive_after(
    socket: &UdpSocket,
    receives_at: Instant,
    buffer: &mut [u8],
) -> std::io::Result<(usize, SocketAddr)> {
    tokio::time::sleep_until(receives_at).await;
    socket.recv_from(buffer).await
}

/// Returns a datagram that has already arrived, if there is one.
fn try_receive(
    socket: &UdpSocket,
    buffer: &mut [u8],
) -> Option<std::io::Result<(usize, SocketAddr)>> {
    match socket.try_recv_from(buffer) {
        Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => None,
        received => Some(received),
    }
}

/// How long a host of a large data centre lets datagrams accumulate before it reads them. Otherwise each
/// datagram would wake it, about a hundred times a second. While it takes part in a shared queue it lets none
/// accumulate: generations wait for them.
fn batch_delay(shared: &Shared) -> Duration {
    let delay = idle_batch_delay(shared);
    match !delay.is_zero() && shared.is_queueing() {
        true => Duration::ZERO,
        false => delay,
    }
}

/// [`batch_delay`] of a host that takes part in no shared queue.
pub(crate) fn idle_batch_delay(shared: &Shared) -> Duration {
    let now = shared.now();
    let local_hosts = shared.peers(|peers| peers.count_local(now));
    let excess = saturating_u32(local_hosts.saturating_sub(BATCH_HOSTS_MIN));
    BATCH_DELAY_PER_HOST
        .saturating_mul(excess)
        .min(BATCH_DELAY_MAX)
}

/// Schedules rounds and determines which of them are full.
#[derive(Debug)]
struct Rounds {
    next: Instant,
    last: Instant,
    last_full: Instant,
    /// Whether there are changes that don't wait for the next full round.
    has_changes: bool,
    remote: RemoteRounds,
}

impl Rounds {
    fn new() -> Self {
        let now = Instant::now();
        Rounds {
            next: now,
            last: now,
            last_full: now,
            has_changes: true,
            remote: RemoteRounds::default(),
        }
    }

    /// Brings the next round forward because there are changes to announce.
    fn expedite(&mut self) {
        self.has_changes = true;
        self.next = self.next.min(self.last + CHANGE_INTERVAL_MIN);
    }

    /// Whether this round announces everything. A reader's rounds in between cover only the log.
    fn is_full(&self, shared: &Shared) -> bool {
        self.has_changes || self.last_full.elapsed() >= full_interval(shared)
    }

    /// Ends a round and schedules the next one.
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
        self.has_changes = false;
        self.next = now + interval;
    }
}

/// Interval between full rounds.
fn full_interval(shared: &Shared) -> Duration {
    let now = shared.now();
    round_interval(shared.peers(|peers| peers.count_local(now)))
}

/// Interval between full rounds in a data centre with `local_hosts` other hosts.
pub(crate) fn round_interval(local_hosts: usize) -> Duration {
    INTERVAL_MIN.max(INTERVAL_PER_HOST.saturating_mul(saturating_u32(local_hosts)))
}

async fn send_round(shared: &Shared, socket: &UdpSocket, remote: &mut RemoteRounds, is_full: bool) {
    let now = shared.now();
    let is_small = shared.is_small_fleet();
    let recipients = match is_small {
        true => Recipients::All,
        false => Recipients::Local,
    };
    let (unconfirmed, confirmed) = shared.peers(|peers| {
        peers.update_size(now);
        let targets = peers.targets(now, recipients).into_iter();
        targets.partition::<Vec<_>, _>(|target| peers.is_unconfirmed(target))
    });
    let mut datagram = local_datagram(shared, now);
    if relay::is_needed(shared, &datagram.changes) {
        datagram.changes.clear();
    }
    if !is_small {
        remote::send_due(shared, socket, remote, &datagram).await;
    }
    let datagram = match is_full {
        true => Datagram {
            // Other data centres aren't told: few requests leave their own.
            speeds: shared.announced_speeds(now),
            ..datagram
        },
        false => datagram.log_only(),
    };
    if !unconfirmed.is_empty() {
        send_parts(socket, datagram.with_host_request(), &unconfirmed).await;
    }
    send_parts(socket, datagram, &confirmed).await;
}

/// Sends a datagram, preceded by others for the upstream changes that don't fit into it.
async fn send_parts(socket: &UdpSocket, datagram: Datagram, targets: &[SocketAddr]) {
    for part in datagram.split() {
        send(socket, &encode(part), targets).await;
    }
}

async fn send(socket: &UdpSocket, bytes: &[u8], targets: &[SocketAddr]) {
    for target in targets {
        if let Err(error) = socket.send_to(bytes, target).await {
            log::debug!("sending a datagram to {target}: {error}");
        }
    }
}

fn local_datagram(shared: &Shared, now: Time) -> Datagram {
    let settings = shared.settings();
    let mut datagram = Datagram {
        config: shared.config_version(),
        log_era: shared.log_era(),
        evacuations: shared.announced_evacuations(),
        rollouts: shared.announced_rollouts(),
        evidence: AnnouncedTrials::OfHost(
            shared.rollout_evidence(|evidences| evidences.announce_host(now)),
        ),
        reading: shared.read_topics(),
        unreadable: shared.unreadable_topics(),
        peer_port: settings.peer_address.port(),
        loads: AnnouncedLoads::OfHost(shared.loads().with(|loads| loads.own())),
        moving: shared
            .move_queues()
            .with(|move_queues| move_queues.pending()),
        unreachable: shared.unreachable_upstreams(),
        failures: shared.announced_failures(),
        limits: shared.announced_limits(now),
        limit_claims: Some(shared.announced_claims(now)),
        rejections: shared.brittle(|brittle| brittle.announce(now)),
        suspects: shared.suspects(|suspects| suspects.announce(now)),
        hosts: shared.peers(|peers| peers.announced_hosts(now)),
        lacks_hosts: shared.peers(|peers| peers.lacks_hosts()),
        hears: saturating_u32(shared.peers(|peers| peers.count_live(now))),
        hears_near: saturating_u32(shared.peers(|peers| peers.count_local(now))),
        counted: saturating_u32(shared.peers(|peers| peers.counted_max(now))),
        stopping: shared.gate().is_shutting_down(),
        cut_off: shared.is_cut_off(),
        ..Datagram::new(settings.host.clone(), settings.data_centre.clone())
    };
    shared.directory(|directory| {
        datagram.upstreams = directory.complete_to();
        datagram.upstreams_digest = directory.digest();
        datagram.leaving = directory.announced_leaving(now).collect();
        if datagram.reading.upstreams {
            datagram.changes = directory.recent_changes(now);
        }
    });
    datagram
}

/// Converts a number of hosts to `u32`; larger numbers become `u32::MAX`.
fn saturating_u32(hosts: usize) -> u32 {
    u32::try_from(hosts).unwrap_or(u32::MAX)
}
