//! Removal of hosts that no longer send datagrams.

use std::net::SocketAddr;
use std::time::Duration;

use super::Peers;
use crate::clock::Time;
use crate::id::DataCentre;

/// Time after which an address that never answered, or a silent host, may be removed. An address that is
/// announced again starts over.
pub(super) const SILENT_HOST_TTL: Duration = Duration::from_secs(15);
/// Silence after which a host of another data centre is always removed. It is kept longer than local hosts
/// so that both sides of a partition know whom to contact when it ends.
const REMOTE_SILENT_TTL: Duration = Duration::from_secs(60);
/// Hosts of another data centre that are kept, counting the silent ones after the others. The hosts of a data
/// centre send in turn, so without this the hosts of a small one would be unknown again at each datagram.
const REMOTE_HOSTS_KEPT_MAX: usize = 48;

impl Peers {
    /// Removes silent hosts. Seeds that have ever sent a datagram are kept: every host would contact a removed
    /// seed in each round.
    pub(super) fn remove_silent(&mut self, now: Time) {
        let unanswered = self.peers.iter().filter(|(_, peer)| peer.report.is_none());
        let unanswered = unanswered.filter(|(_, peer)| now.since(peer.added_at) >= SILENT_HOST_TTL);
        let mut expired: Vec<SocketAddr> = unanswered.map(|(address, _)| *address).collect();
        for data_centre in self.by_data_centre.keys() {
            expired.extend(self.expired_in(now, data_centre));
        }
        for address in expired {
            self.remove(address);
        }
    }

    /// The hosts of a data centre to remove: those silent for too long, and the longest silent ones beyond the
    /// number that is kept.
    fn expired_in(&self, now: Time, data_centre: &DataCentre) -> Vec<SocketAddr> {
        let addresses = self.by_data_centre.get(data_centre).into_iter().flatten();
        let (mut silent, recent): (Vec<_>, Vec<_>) = addresses
            .filter_map(|address| Some((now.since(self.report_of(address)?.received_at), *address)))
            .partition(|(silence, _)| *silence >= SILENT_HOST_TTL);
        silent.retain(|(_, address)| !self.seeds.contains(address));
        silent.sort();
        let kept_max = match *data_centre == self.data_centre {
            true => 0,
            false => REMOTE_HOSTS_KEPT_MAX.saturating_sub(recent.len()),
        };
        let ranked = silent.into_iter().enumerate();
        let expired = ranked
            .filter(|(rank, (silence, _))| *rank >= kept_max || *silence >= REMOTE_SILENT_TTL);
        expired.map(|(_, (_, address))| address).collect()
    }

    fn remove(&mut self, address: SocketAddr) {
        self.readers.remove(&address);
        let report = self.peers.remove(&address).and_then(|peer| peer.report);
        if let Some(report) = report {
            self.remove_from_data_centre(address, &report.data_centre);
        }
    }
}
