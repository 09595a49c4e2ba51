//! Lists hosts in a keyed topic of the log, for hosts whose seeds are gone.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::Instant;

use crate::gateway::follow::CALL_TIMEOUT;
use crate::gateway::follow::append;
use crate::gateway::follow::read_newest;
use crate::gateway::internalclient::InternalClient;
use crate::gateway::position::Era;
use crate::gateway::protocol::Topic;
use crate::gateway::shared::Shared;

/// How often a host checks whether it must list itself or look up others. Hosts that start together know each
/// other by then.
const CHECK_INTERVAL: Duration = Duration::from_millis(1_500);
/// How often a host that knows too few others reads the list. Its peers announce others in between.
const LOOKUP_INTERVAL: Duration = Duration::from_secs(20);
/// Number of live hosts up to which a host reads the list. With more it learns of the rest from them.
const FEW_HOSTS: usize = 3;

/// Lists this host if others may need it, and looks up others if this host knows too few. Never returns.
///
/// Starting hosts find the others by their seeds. They need the list only if the seeds are gone, and then one
/// live host in it is enough, so only a few hosts list themselves.
pub async fn run(shared: Shared) {
    let mut client = InternalClient::new(shared.settings().log_address);
    let mut listed_in: Option<Era> = None;
    let mut looked_up_at: Option<Instant> = None;
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        let is_alone = shared.live_hosts() <= FEW_HOSTS;
        // A log that was restored from an older copy may have lost the record.
        let era = shared.log_era();
        let is_listed = listed_in == Some(era);
        let lists = is_alone || shared.is_log_prober();
        if !is_listed && lists && list_host(&shared, &mut client).await {
            listed_in = Some(era);
        }
        let is_due = looked_up_at.is_none_or(|at| at.elapsed() >= LOOKUP_INTERVAL);
        if is_alone && is_due {
            look_up_hosts(&shared, &mut client).await;
            looked_up_at = Some(Instant::now());
        }
    }
}

/// Appends this host's record and returns whether the log took it. Appending it twice is harmless, as the topic
/// is keyed.
async fn list_host(shared: &Shared, client: &mut InternalClient) -> bool {
    let own = shared.gossip_address().to_string();
    let value = shared.settings().host.as_str().as_bytes();
    let appended = append(shared, client, Topic::Hosts, &own, value).await;
    if let Err(error) = &appended {
        log::debug!("listing this host: {error}");
    }
    appended.is_ok()
}

/// Adds the listed hosts to the known ones.
async fn look_up_hosts(shared: &Shared, client: &mut InternalClient) {
    match read_newest(shared, client, Topic::Hosts, CALL_TIMEOUT).await {
        Ok((records, _)) => {
            let listed = records.iter().filter(|record| record.value.is_some());
            let own = shared.gossip_address();
            let addresses = listed
                .filter_map(|record| record.key.parse().ok())
                // All hosts receive datagrams at the same port; another one names something else.
                .filter(|address: &SocketAddr| address.port() == own.port());
            let now = shared.now();
            shared.peers(|peers| peers.add_addresses(now, addresses));
        }
        Err(error) => log::debug!("the list of hosts: {error:?}"),
    }
}
