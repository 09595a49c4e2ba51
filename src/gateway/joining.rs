//! Fetches the initial state of a host that starts.
//!
//! After a power loss, hundreds of hosts start within half a second, and requests arrive before they have
//! any state. A host with configured seeds queries them, so that not every host reads the whole log. If
//! no seed accepts a connection, waiting for them would only delay serving, and the host reads the log
//! immediately.

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::future::join_all;
use rand::seq::SliceRandom;
use tokio::net::TcpStream;
use tokio::time::Instant;

use crate::error::Result;
use crate::event::EventCode;
use crate::gateway::configfetch;
use crate::gateway::peerfetch;
use crate::gateway::peerfetch::RunningFetch;
use crate::gateway::peers::Fetch;
use crate::gateway::protocol::Topic;
use crate::gateway::shared::Shared;

/// Interval between rounds of seed queries.
const SEED_INTERVAL: Duration = Duration::from_millis(300);
/// Delay before the first round: seeds that start at the same time have read the log by then.
const SEED_DELAY: Duration = Duration::from_millis(100);
/// Seed queries are spread over this time per host of the estimated fleet.
const SEED_JITTER_PER_HOST: Duration = Duration::from_millis(1);
/// Delay before each attempt to connect to the seeds.
const CONNECT_INTERVAL: Duration = Duration::from_millis(40);
/// Attempts before seeds count as unreachable: those that start together with this host are listening
/// by then.
const CONNECT_ATTEMPTS: u32 = 2;
/// Timeout of an attempt: a few round trips to the farthest data centre.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(120);
/// Longest wait of a request for a host that isn't initialized; a start takes a tenth of that if the log
/// answers.
const START_WAIT_MAX: Duration = Duration::from_millis(400);
/// Largest share of the client's timeout that a request waits.
const START_WAIT_SHARE: f64 = 0.25;

/// Interval at which a waiting request checks whether the host has caught up after a suspension.
const RESUME_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Whether this host can connect to its seeds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SeedState {
    /// No attempt has finished yet.
    Unknown,
    /// At least one seed accepted a connection.
    Reachable,
    /// No seed accepted a connection, or none is configured.
    Unreachable,
}

impl SeedState {
    const fn name(self) -> &'static str {
        match self {
            SeedState::Unknown => "unknown",
            SeedState::Reachable => "reached",
            SeedState::Unreachable => "away",
        }
    }
}

/// Queries the seeds until the host can serve.
pub(crate) async fn query_seeds(shared: Shared) {
    let own = shared.settings().peer_address;
    let mut seeds = shared.settings().seeds.clone();
    seeds.retain(|seed| *seed != own);
    // So that hosts that start together don't all query the same seed first.
    seeds.shuffle(&mut rand::rng());
    let query_from = Instant::now() + SEED_DELAY;
    let state = probe_seeds(&seeds).await;
    shared.set_seed_state(state);
    let entry = shared.log().entry(EventCode::SeedsTried);
    entry
        .with("seeds", seeds.len())
        .with("outcome", state.name())
        .write();
    tokio::time::sleep_until(query_from).await;
    while !shared.is_ready() {
        // The delay grows with the fleet; hosts that have been informed by others by then send no query.
        let jitter = SEED_JITTER_PER_HOST * shared.fleet_size_estimate();
        tokio::time::sleep(jitter.mul_f64(rand::random())).await;
        if !shared.is_reading(Topic::Operator) && !has_live_holders(&shared) {
            query_each(&shared, &seeds).await;
        }
        tokio::time::sleep(SEED_INTERVAL).await;
    }
}

/// Whether live peers hold the state of all topics that a host needs.
fn has_live_holders(shared: &Shared) -> bool {
    let now = shared.now();
    let topics = [Topic::Operator, Topic::Upstreams];
    shared.peers(|peers| {
        topics
            .iter()
            .all(|topic| peers.has_live_holder(now, *topic))
    })
}

async fn probe_seeds(seeds: &[SocketAddr]) -> SeedState {
    for _ in 0..CONNECT_ATTEMPTS {
        tokio::time::sleep(CONNECT_INTERVAL).await;
        let attempts = seeds.iter().map(|seed| can_connect(*seed));
        if join_all(attempts).await.contains(&true) {
            return SeedState::Reachable;
        }
    }
    SeedState::Unreachable
}

async fn can_connect(seed: SocketAddr) -> bool {
    let connecting = TcpStream::connect(seed);
    matches!(
        tokio::time::timeout(CONNECT_TIMEOUT, connecting).await,
        Ok(Ok(_))
    )
}

/// Queries one seed after another until the host can serve.
async fn query_each(shared: &Shared, seeds: &[SocketAddr]) {
    for seed in seeds {
        if shared.is_ready() {
            return;
        }
        if let Err(error) = query_seed(shared, *seed).await {
            log::debug!("seed {seed}: {error}");
        }
    }
}

/// Fetches the configuration and the upstreams from a seed. The upstreams are fetched even if the
/// configuration can't be, as a seed that is busy serving its configuration still serves the upstreams.
async fn query_seed(shared: &Shared, seed: SocketAddr) -> Result<()> {
    let configuration = fetch_configuration(shared, seed).await;
    peerfetch::fetch_from_seed(shared, seed).await?;
    configuration
}

/// Fetches the configuration from a seed, unless a fetch from another host is in progress.
async fn fetch_configuration(shared: &Shared, seed: SocketAddr) -> Result<()> {
    let Some(_running) = RunningFetch::begin(shared, Fetch::Configuration) else {
        return Ok(());
    };
    configfetch::fetch_from_seed(shared, seed).await
}

/// Delays a request with the client timeout `timeout` while the host has just started and isn't
/// initialized.
pub(crate) async fn wait_until_initialized(shared: &Shared, timeout: Duration) {
    if shared.is_initialized() {
        return;
    }
    let age = Duration::from_micros(shared.now().as_us());
    let until = Instant::now() + wait_limit(age, timeout);
    let mut announcements = shared.watch_announcements();
    while !shared.is_initialized() && Instant::now() < until {
        tokio::select! {
            _ = announcements.changed() => {}
            () = tokio::time::sleep_until(until) => {}
        }
    }
}

/// Delays a request with the client timeout `timeout` while the host is catching up after a suspension.
/// Returns whether it has caught up.
pub(crate) async fn wait_until_resumed(shared: &Shared, timeout: Duration) -> bool {
    let until = Instant::now() + wait_limit(Duration::ZERO, timeout);
    while shared.is_resuming() && Instant::now() < until {
        tokio::time::sleep(RESUME_CHECK_INTERVAL).await;
    }
    !shared.is_resuming()
}

/// Longest wait of a request at a host that started `age` ago.
fn wait_limit(age: Duration, timeout: Duration) -> Duration {
    let left = START_WAIT_MAX.saturating_sub(age);
    if timeout > START_WAIT_MAX.mul_f64(1.0 / START_WAIT_SHARE) {
        return left;
    }
    left.min(timeout.mul_f64(START_WAIT_SHARE))
}

#[cfg(test)]
mod tests;
