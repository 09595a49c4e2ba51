//! Asks the platform for its host list from time to time.
//!
//! Two hosts a data centre, chosen by rendezvous hashing, ask often; the others learn of changes
//! from them and ask seldom, so that the list's size doesn't become every host's traffic.

use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::Deserialize;
use serde::Serialize;

use crate::dispatch::Dispatcher;
use crate::error::Error;
use crate::error::Result;
use crate::peers::PeersHandle;
use crate::platform::HostList;

/// Hosts of a data centre that ask often.
const ON_DUTY: usize = 2;

/// Largest list that is taken, in bytes.
const LIST_BYTES_MAX: usize = 64 * 1024 * 1024;

/// Options of the look-ups.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct HostListOptions {
    /// Time between two look-ups of a host on duty, in milliseconds. Default 1000.
    pub on_duty_ms: u64,
    /// Time between two look-ups of another host, in milliseconds. Default 10000.
    pub off_duty_ms: u64,
    /// A look-up that takes longer has failed, in milliseconds. Default 2000.
    pub timeout_ms: u64,
}

impl Default for HostListOptions {
    fn default() -> Self {
        HostListOptions {
            on_duty_ms: 1_000,
            off_duty_ms: 10_000,
            timeout_ms: 2_000,
        }
    }
}

/// Looks the list up until the process ends.
pub async fn follow(
    options: HostListOptions,
    platform_address: String,
    peers: PeersHandle,
    dispatcher: Dispatcher,
) {
    let mut rng = ChaCha8Rng::seed_from_u64(peers.identity().incarnation.0);
    loop {
        match fetch(&options, &platform_address).await {
            Ok(list) => {
                dispatcher.listed(list.clone());
                peers.listed(list);
            }
            Err(error) => log::debug!("host list: {error}"),
        }
        let pause_ms = if is_on_duty(&peers) {
            options.on_duty_ms
        } else {
            options.off_duty_ms
        };
        let jitter = rng.random_range(0.8..1.2);
        let pause = Duration::from_millis(pause_ms).mul_f64(jitter);
        actix_rt::time::sleep(pause).await;
    }
}

fn is_on_duty(peers: &PeersHandle) -> bool {
    let ownership = peers.ownership();
    let on_duty = ownership.on_duty("host-list", ON_DUTY);
    on_duty.contains(&&peers.identity().host)
}

async fn fetch(options: &HostListOptions, platform_address: &str) -> Result<HostList> {
    let remote = |reason: String| Error::Remote {
        peer: platform_address.to_owned(),
        reason,
    };
    let client = awc::Client::builder()
        .timeout(Duration::from_millis(options.timeout_ms))
        .finish();
    let mut response = client
        .get(format!("http://{platform_address}/v1/hosts"))
        .send()
        .await
        .map_err(|error| remote(error.to_string()))?;
    if !response.status().is_success() {
        return Err(remote(format!("status {}", response.status())));
    }
    response
        .json()
        .limit(LIST_BYTES_MAX)
        .await
        .map_err(|error| remote(error.to_string()))
}
