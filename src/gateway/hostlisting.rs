//! The keyed topic in which hosts list themselves for those whose seeds are gone.

use std::time::Duration;

use tokio::time::Instant;

use crate::gateway::follow::CALL_TIMEOUT;
use crate::gateway::follow::append;
use crate::gateway::follow::read_newest;
use crate::gateway::internalclient::InternalClient;
use crate::gateway::position::Era;
use crate::gateway::protocol::Topic;
use crate::gateway::shared::Shared;

/// How often it is looked whether this host must list itself or learn of others; hosts that start
/// together have heard each other by then.
const HOSTS_CHECK: Duration = Duration::from_millis(1_500);
/// How often a host that knows too few reads the list again; peers tell of others in between.
const HOSTS_INTERVAL: Duration = Duration::from_secs(20);
/// A host that hears more than this many others learns of the rest from them.
const HOSTS_ENOUGH: usize = 3;

/// Lists this host where others must find it, and learns of others where it knows too few.
///
/// Hosts that start find the others by their seeds. Only if those are gone do they need the list,
/// and then one living host in it is enough; so a few hosts list themselves, not all.
pub async fn run(shared: Shared) {
    let mut client = InternalClient::new(shared.settings().log_address);
    let mut listed_in: Option<Era> = None;
    let mut learnt_at: Option<Instant> = None;
    loop {
        tokio::time::sleep(HOSTS_CHECK).await;
        let is_alone = shared.live_hosts() <= HOSTS_ENOUGH;
        // What was written before the log's return may be lost.
        let era = shared.log_era();
        let is_listed = listed_in == Some(era);
        let lists = is_alone || shared.is_log_prober();
        if !is_listed && lists && list_host(&shared, &mut client).await {
            listed_in = Some(era);
        }
        let is_due = learnt_at.is_none_or(|at| at.elapsed() >= HOSTS_INTERVAL);
        if is_alone && is_due {
            learn_hosts(&shared, &mut client).await;
            learnt_at = Some(Instant::now());
        }
    }
}

/// Whether the log took this host's record. Appending it twice is harmless: the newest of a key
/// counts.
async fn list_host(shared: &Shared, client: &mut InternalClient) -> bool {
    let own = shared.gossip_address().to_string();
    let value = shared.settings().host.as_str().as_bytes();
    let appended = append(shared, client, Topic::Hosts, &own, value).await;
    if let Err(error) = &appended {
        log::debug!("listing this host: {error}");
    }
    appended.is_ok()
}

async fn learn_hosts(shared: &Shared, client: &mut InternalClient) {
    match read_newest(shared, client, Topic::Hosts, CALL_TIMEOUT).await {
        Ok((records, _)) => {
            let listed = records.iter().filter(|record| record.value.is_some());
            let addresses = listed.filter_map(|record| record.key.parse().ok());
            let now = shared.now();
            shared.peers(|peers| peers.add_addresses(now, addresses));
        }
        Err(error) => log::debug!("the list of hosts: {error:?}"),
    }
}
