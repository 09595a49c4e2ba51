//! Chooses the hosts that datagrams go to and the addresses that they announce.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use super::Peer;
use super::Peers;
use super::expiry::SILENT_HOST_TTL;
use crate::clock::Time;
use crate::id::DataCentre;

/// Addresses of other hosts in a datagram.
const ANNOUNCED_HOSTS: usize = 4;
/// Maximum addresses in the answer to a host that has just started: most of a data centre at once.
const BOOTSTRAP_HOSTS_MAX: usize = 64;
/// Hosts of each other data centre that an unknown host is introduced to.
const INTRODUCED_HOSTS: usize = 4;
/// Hosts of each other data centre that a host of a large fleet sends to in a round. All hosts of a data
/// centre do so, so that each host receives about as many datagrams of it. Between data centres of equal
/// size, no datagram arrives within [`LIVENESS_TIMEOUT`](super::LIVENESS_TIMEOUT), two rounds and more, in
/// one case of a thousand.
pub(crate) const REMOTE_PARTNERS: usize = 3;

/// Maximum hosts of another data centre to which a host sends the loads that it runs there.
const LOAD_RECIPIENTS_MAX: usize = 24;
/// Hosts of a data centre that are queried for loads together: one may be gone, or get no processor time for
/// a tenth of a second.
const QUERY_TARGETS: usize = 2;

/// Hosts of another data centre that relay changes within it: one may be gone.
const RELAY_ROOTS: usize = 2;
/// Hosts to which each host of the relay tree forwards changes.
const RELAY_CHILDREN: usize = 4;

/// The hosts that a gossip round is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Recipients {
    /// All hosts.
    All,
    /// The hosts of this data centre.
    Local,
}

impl Peers {
    /// The hosts to send to in this round, including those known by their address alone. Removes silent
    /// hosts first; unknown seeds are always among the targets.
    pub fn targets(&mut self, now: Time, recipients: Recipients) -> Vec<SocketAddr> {
        self.remove_silent(now);
        let is_recipient = |peer: &Peer| match (recipients, &peer.report) {
            (Recipients::Local, Some(report)) => report.data_centre == self.data_centre,
            (Recipients::All, _) | (_, None) => true,
        };
        let chosen = self.peers.iter().filter(|(_, peer)| is_recipient(peer));
        let mut targets: Vec<SocketAddr> = chosen.map(|(address, _)| *address).collect();
        let unknown_seeds = self
            .seeds
            .iter()
            .filter(|seed| !self.peers.contains_key(seed));
        targets.extend(unknown_seeds);
        targets
    }

    /// Whether no datagram of a host has arrived, so that only its address is known.
    pub(crate) fn is_unconfirmed(&self, address: &SocketAddr) -> bool {
        self.report_of(address).is_none()
    }

    /// The known hosts of a data centre that aren't stopping.
    pub(super) fn known_in(&self, data_centre: &DataCentre) -> impl Iterator<Item = SocketAddr> {
        let addresses = self.by_data_centre.get(data_centre).into_iter().flatten();
        let is_stopping =
            |address: &SocketAddr| self.report_of(address).is_none_or(|report| report.stopping);
        addresses
            .filter(move |address| !is_stopping(address))
            .copied()
    }

    pub(super) fn remote_data_centres(&self) -> impl Iterator<Item = &DataCentre> {
        let all = self.data_centres.keys();
        all.filter(|other| **other != self.data_centre)
    }

    /// The hosts of another data centre to which this host sends the loads that it runs there: all known
    /// ones, up to [`LOAD_RECIPIENTS_MAX`].
    pub(crate) fn load_recipients(&mut self, data_centre: &DataCentre) -> Vec<SocketAddr> {
        self.remote_rotation = self.remote_rotation.wrapping_add(1);
        let known: Vec<SocketAddr> = self.known_in(data_centre).collect();
        take_rotated(&known, self.remote_rotation, LOAD_RECIPIENTS_MAX)
    }

    /// A few live hosts of another data centre to query for its loads.
    pub(crate) fn query_targets(&mut self, now: Time, data_centre: &DataCentre) -> Vec<SocketAddr> {
        self.remote_rotation = self.remote_rotation.wrapping_add(QUERY_TARGETS);
        take_rotated(
            &self.live_addresses_in(now, data_centre),
            self.remote_rotation,
            QUERY_TARGETS,
        )
    }

    /// The other data centres with a recent datagram.
    pub(crate) fn live_data_centres(&self, now: Time) -> Vec<DataCentre> {
        let reporting = self.reporting_data_centres(now);
        let others = reporting.filter(|other| **other != self.data_centre);
        others.cloned().collect()
    }

    /// All known hosts of other data centres.
    pub(crate) fn remote_hosts(&self) -> Vec<SocketAddr> {
        self.remote_data_centres()
            .flat_map(|data_centre| self.known_in(data_centre))
            .collect()
    }

    /// The hosts to which a host of a large fleet reports on its data centre in this round: some hosts of
    /// each other data centre in turn, and always the readers of the upstreams, which must know all hosts
    /// that they announce changes to.
    pub(crate) fn remote_partners(&mut self, now: Time) -> BTreeMap<DataCentre, Vec<SocketAddr>> {
        let readers = self.upstreams_readers(now);
        let choose_partners = |data_centre: &DataCentre| {
            let known = self.partner_candidates(now, data_centre);
            let mut partners = take_rotated(&known, self.remote_rotation, REMOTE_PARTNERS);
            let readers = readers.iter().filter(|reader| known.contains(reader));
            partners.extend(readers);
            partners.sort();
            partners.dedup();
            (data_centre.clone(), partners)
        };
        let partners = self.remote_data_centres().map(choose_partners).collect();
        self.remote_rotation = self.remote_rotation.wrapping_add(REMOTE_PARTNERS);
        partners
    }

    /// The hosts of a data centre from which partners are chosen: those with a recent datagram, or all known
    /// ones if there are few of these.
    fn partner_candidates(&self, now: Time, data_centre: &DataCentre) -> Vec<SocketAddr> {
        let known: Vec<SocketAddr> = self.known_in(data_centre).collect();
        let received_at =
            |address: &SocketAddr| self.report_of(address).map(|report| report.received_at);
        let is_recent = |address: &&SocketAddr| {
            received_at(address).is_some_and(|at| now.since(at) < SILENT_HOST_TTL)
        };
        let recent: Vec<SocketAddr> = known.iter().filter(is_recent).copied().collect();
        match recent.len() < REMOTE_PARTNERS {
            true => known,
            false => recent,
        }
    }

    /// The hosts of each other data centre from which changes are relayed within it, in turn.
    pub(crate) fn relay_roots(&mut self, now: Time) -> Vec<SocketAddr> {
        self.relay_rotation = self.relay_rotation.wrapping_add(1);
        let roots_in = |data_centre: &DataCentre| {
            take_rotated(
                &self.live_addresses_in(now, data_centre),
                self.relay_rotation,
                RELAY_ROOTS,
            )
        };
        self.remote_data_centres().flat_map(roots_in).collect()
    }

    /// The hosts to which this host forwards the changes that `root` relays within the data centre. They are
    /// its children in a tree over the live hosts of the data centre, ordered by address from `root` on.
    pub(crate) fn relay_children(&self, now: Time, root: SocketAddr) -> Vec<SocketAddr> {
        let mut hosts = self.live_addresses_in(now, &self.data_centre);
        hosts.extend([self.own_address, root]);
        hosts.sort();
        hosts.dedup();
        let index_of = |address| hosts.binary_search(&address).unwrap_or(0);
        let count = hosts.len();
        let own = (index_of(self.own_address) + count - index_of(root)) % count;
        let children = (1..=RELAY_CHILDREN).map(|child| own * RELAY_CHILDREN + child);
        let children = children.take_while(|child| *child < count);
        children
            .map(|child| hosts[(index_of(root) + child) % count])
            .collect()
    }

    /// The live hosts that read the upstreams for the whole fleet.
    fn upstreams_readers(&self, now: Time) -> Vec<SocketAddr> {
        let reads = |address: &SocketAddr| {
            let peer = self.peers.get(address).filter(|peer| peer.is_live(now));
            let report = peer.and_then(|peer| peer.report.as_ref());
            report.is_some_and(|report| report.reading.upstreams)
        };
        let readers = self.readers.iter().filter(|address| reads(address));
        readers.copied().collect()
    }

    /// A few live hosts to announce, in turn. In a large fleet they are hosts of this data centre and the
    /// readers of the upstreams: of two readers, the second stops only once it receives datagrams of the
    /// first.
    pub(crate) fn announced_hosts(&mut self, now: Time) -> Vec<SocketAddr> {
        self.rotation = self.rotation.wrapping_add(ANNOUNCED_HOSTS);
        if self.is_small_fleet(now) {
            return take_rotated(&self.live_addresses(now), self.rotation, ANNOUNCED_HOSTS);
        }
        let mut hosts = self.some_live_in(now, &self.data_centre, ANNOUNCED_HOSTS);
        hosts.extend(
            self.upstreams_readers(now)
                .into_iter()
                .take(ANNOUNCED_HOSTS),
        );
        hosts
    }

    /// Some hosts of each data centre except `own`, to announce to a host of `own`.
    pub(crate) fn introductions(
        &mut self,
        now: Time,
        own: &DataCentre,
    ) -> Vec<(DataCentre, SocketAddr)> {
        self.rotation = self.rotation.wrapping_add(INTRODUCED_HOSTS);
        let others = self.data_centres.keys().filter(|other| *other != own);
        let introduced = others.flat_map(|other| {
            let addresses = self.some_live_in(now, other, INTRODUCED_HOSTS);
            addresses.into_iter().map(|host| (other.clone(), host))
        });
        introduced.collect()
    }

    /// The hosts of a data centre to announce to one of its hosts that has just started.
    pub(crate) fn bootstrap_hosts(&self, now: Time, data_centre: &DataCentre) -> Vec<SocketAddr> {
        take_rotated(
            &self.live_addresses_in(now, data_centre),
            0,
            BOOTSTRAP_HOSTS_MAX,
        )
    }

    fn live_addresses(&self, now: Time) -> Vec<SocketAddr> {
        let live = self.peers.iter().filter(|(_, peer)| peer.is_live(now));
        live.map(|(address, _)| *address).collect()
    }

    fn live_addresses_in(&self, now: Time, data_centre: &DataCentre) -> Vec<SocketAddr> {
        let addresses = self.by_data_centre.get(data_centre).into_iter().flatten();
        let live = addresses.filter(|address| self.is_live(now, address));
        live.copied().collect()
    }

    /// The next `count` live hosts of a data centre in rotation. The remaining hosts aren't looked up.
    fn some_live_in(&self, now: Time, data_centre: &DataCentre, count: usize) -> Vec<SocketAddr> {
        let Some(addresses) = self.by_data_centre.get(data_centre) else {
            return Vec::new();
        };
        let from = self.rotation.checked_rem(addresses.len()).unwrap_or(0);
        let rotated = addresses
            .iter()
            .skip(from)
            .chain(addresses.iter().take(from));
        let live = rotated.filter(|address| self.is_live(now, address));
        live.take(count).copied().collect()
    }

    fn is_live(&self, now: Time, address: &SocketAddr) -> bool {
        self.report_of(address)
            .is_some_and(|report| report.is_live(now))
    }
}

/// Up to `count` of `addresses`, from `offset` on and wrapping around.
fn take_rotated(addresses: &[SocketAddr], offset: usize, count: usize) -> Vec<SocketAddr> {
    let from = offset.checked_rem(addresses.len()).unwrap_or(0);
    let rotated = addresses.iter().cycle().skip(from);
    rotated.take(count.min(addresses.len())).copied().collect()
}
