//! The hosts through which a host reaches upstreams that it can't connect to itself.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::clock::Time;
use crate::id::DataCentre;
use crate::id::HostId;

/// Time for which a host that carried nothing is tried after the others.
const BACKOFF: Duration = Duration::from_millis(1_000);

/// A host that may carry connections.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Carrier {
    /// Its name.
    pub(crate) host: HostId,
    /// Where it takes connections to carry.
    pub(crate) address: SocketAddr,
    /// Its data centre.
    pub(crate) data_centre: DataCentre,
}

/// How far away a carrier is; nearer ones are tried first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum CarrierDistance {
    /// In the host's data centre.
    Local,
    /// In another data centre of its region.
    Region,
    /// In another region.
    Far,
}

/// Carriers that failed recently.
#[derive(Debug, Default)]
pub(crate) struct FailedCarriers {
    until: HashMap<SocketAddr, Time>,
}

impl FailedCarriers {
    /// Records that a host carried nothing: it didn't answer or had no room.
    pub(crate) fn record(&mut self, now: Time, address: SocketAddr) {
        self.until.retain(|_, until| *until > now);
        self.until.insert(address, now + BACKOFF);
    }

    /// Orders carriers by the time of their last failure, then by distance, then at random, so that the hosts in
    /// touch share the load.
    pub(crate) fn order(
        &self,
        now: Time,
        carriers: Vec<Carrier>,
        distance: impl Fn(&Carrier) -> CarrierDistance,
        mut draw: impl FnMut() -> u32,
    ) -> Vec<Carrier> {
        let mut keyed: Vec<_> = carriers
            .into_iter()
            .map(|carrier| {
                let failed_until = self.until.get(&carrier.address);
                let failed_until = failed_until.filter(|until| **until > now).copied();
                ((failed_until, distance(&carrier), draw()), carrier)
            })
            .collect();
        keyed.sort_by_key(|(key, _)| *key);
        keyed.into_iter().map(|(_, carrier)| carrier).collect()
    }
}

#[cfg(test)]
mod tests;
