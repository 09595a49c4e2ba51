//! How a host that starts learns what is in force.
//!
//! The load that this answers: after a loss of power hundreds of hosts start within half a second, and
//! requests arrive before they know anything. Who names seeds asks them, so that not all read the
//! whole log; but where no seed can be connected to, waiting for them keeps the host from serving,
//! and it reads the log at once.

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
use crate::gateway::peers::Fetch;
use crate::gateway::protocol::Topic;
use crate::gateway::shared::Shared;

/// Between two rounds of asking seeds.
const SEED_INTERVAL: Duration = Duration::from_millis(300);
/// Before the first such round: seeds that start at the same time have read the log by then.
const SEED_DELAY: Duration = Duration::from_millis(100);
/// Seeds are asked within this time for each host that is told of.
const SEED_JITTER_PER_HOST: Duration = Duration::from_millis(1);
/// Between two tries to connect to seeds.
const CONNECT_INTERVAL: Duration = Duration::from_millis(40);
/// Tries after which seeds that can't be connected to count as away: those that start with this host
/// listen by then.
const CONNECT_ATTEMPTS: u32 = 2;
/// A seed that answers the connection is there within this time: a few round trips of the farthest
/// data centre.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(120);
/// A request that comes while the host knows nothing yet waits for so long at most: a start takes a
/// tenth of that where the log answers.
const START_WAIT_MAX: Duration = Duration::from_millis(400);
/// and for no more than this part of the time that its caller gives it.
const START_WAIT_SHARE: f64 = 0.25;

/// How often a request that waits looks whether the host knows what changed while it was suspended.
const RESUME_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Whether seeds can be connected to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SeedState {
    /// Not tried yet.
    Unknown,
    /// At least one can.
    Reachable,
    /// None can, or none is named.
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

/// Asks seeds until the host can serve.
pub(crate) async fn query_seeds(shared: Shared) {
    let own = shared.settings().peer_address;
    let mut seeds = shared.settings().seeds.clone();
    seeds.retain(|seed| *seed != own);
    // Hosts that start together don't all ask the same one first.
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
        // The more hosts there are, the later each asks, and those that others have told by then don't.
        let jitter = SEED_JITTER_PER_HOST * shared.fleet_size_estimate();
        tokio::time::sleep(jitter.mul_f64(rand::random())).await;
        if !shared.is_reading(Topic::Operator) && !has_live_holders(&shared) {
            query_each(&shared, &seeds).await;
        }
        tokio::time::sleep(SEED_INTERVAL).await;
    }
}

/// Whether hosts are heard that know all that a host needs.
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

/// Asks one seed after another until the host can serve.
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

/// Asks a seed for what is in force. A seed that serves its configuration to others tells of the upstreams
/// all the same.
async fn query_seed(shared: &Shared, seed: SocketAddr) -> Result<()> {
    let configuration = fetch_configuration(shared, seed).await;
    peerfetch::fetch_from_seed(shared, seed).await?;
    configuration
}

/// Nothing is done while the configuration is being fetched from another host.
async fn fetch_configuration(shared: &Shared, seed: SocketAddr) -> Result<()> {
    if !shared.peers(|peers| peers.begin_fetch(Fetch::Configuration)) {
        return Ok(());
    }
    let fetched = configfetch::fetch_from_seed(shared, seed).await;
    shared.peers(|peers| peers.end_fetch(Fetch::Configuration));
    fetched
}

/// Keeps a request of a caller who gives it `timeout` while the host has just started and knows
/// nothing yet.
pub(crate) async fn wait_until_initialized(shared: &Shared, timeout: Duration) {
    if shared.is_initialized() {
        return;
    }
    let age = Duration::from_micros(shared.now().as_us());
    let until = Instant::now() + wait_limit(age, timeout);
    let mut news = shared.watch_announcements();
    while !shared.is_initialized() && Instant::now() < until {
        tokio::select! {
            _ = news.changed() => {}
            () = tokio::time::sleep_until(until) => {}
        }
    }
}

/// Keeps a request of a caller who gives it `timeout` while the host has just woken from a suspension. Whether it
/// knows by then what changed meanwhile.
pub(crate) async fn wait_until_resumed(shared: &Shared, timeout: Duration) -> bool {
    let until = Instant::now() + wait_limit(Duration::ZERO, timeout);
    while shared.is_resuming() && Instant::now() < until {
        tokio::time::sleep(RESUME_CHECK_INTERVAL).await;
    }
    !shared.is_resuming()
}

/// How long a request waits at a host of this age.
fn wait_limit(age: Duration, timeout: Duration) -> Duration {
    let left = START_WAIT_MAX.saturating_sub(age);
    if timeout > START_WAIT_MAX.mul_f64(1.0 / START_WAIT_SHARE) {
        return left;
    }
    left.min(timeout.mul_f64(START_WAIT_SHARE))
}

#[cfg(test)]
mod tests;
