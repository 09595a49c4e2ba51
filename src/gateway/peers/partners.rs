//! Whom a host tells what it knows, and of whom it tells.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use super::Peer;
use super::Peers;
use super::forgetting::TRIED_FOR;
use crate::clock::Time;
use crate::id::DataCentre;

/// Addresses of other hosts that a datagram carries.
const ADDRESSES_TOLD: usize = 4;
/// The same of the answer to a host that has just started: most of a data centre at once.
const ADDRESSES_TOLD_AT_START: usize = 64;
/// Hosts of each other data centre that a stranger is introduced to.
const INTRODUCED: usize = 4;
/// Hosts of each other data centre that a host of a large fleet tells in one of its rounds. All hosts of
/// a data centre do, so that each host hears about as many of it: no word within [`LIVE_FOR`], two
/// rounds and more, is one case in a thousand where as many hosts tell as listen.
pub(crate) const REMOTE_PARTNERS: usize = 3;

/// Hosts of a data centre that one which runs work there tells of it, at most.
const VISITED_MAX: usize = 24;
/// Hosts of a data centre that are asked at once: one may be gone, or have no processor time for a tenth of a second.
const ASKED: usize = 2;

/// Hosts of another data centre from which changes go over it: one may be gone.
const RELAY_ROOTS: usize = 2;
/// Hosts to which each host of a data centre passes changes on.
const RELAY_CHILDREN: usize = 4;

/// Which hosts a round is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Recipients {
    /// All.
    All,
    /// Those of the own data centre.
    Local,
}

impl Peers {
    /// Whom to send to in this round, beside hosts that are known by their address alone. Forgets hosts
    /// that are silent; seeds are always tried.
    pub fn targets(&mut self, now: Time, recipients: Recipients) -> Vec<SocketAddr> {
        self.forget_silent(now);
        let is_meant = |peer: &Peer| match (recipients, &peer.heard) {
            (Recipients::Local, Some(heard)) => heard.data_centre == self.data_centre,
            (Recipients::All, _) | (_, None) => true,
        };
        let chosen = self.peers.iter().filter(|(_, peer)| is_meant(peer));
        let mut targets: Vec<SocketAddr> = chosen.map(|(address, _)| *address).collect();
        let unknown = self
            .seeds
            .iter()
            .filter(|seed| !self.peers.contains_key(seed));
        targets.extend(unknown);
        targets
    }

    /// Whether a host is known by its address alone.
    pub(crate) fn is_unconfirmed(&self, address: &SocketAddr) -> bool {
        self.heard(address).is_none()
    }

    /// The hosts of a data centre that are known and not stopping.
    pub(super) fn known_in(&self, data_centre: &DataCentre) -> impl Iterator<Item = SocketAddr> {
        let there = self.places.get(data_centre).into_iter().flatten();
        let is_stopping = |address: &SocketAddr| self.heard(address).is_none_or(|it| it.stopping);
        there.filter(move |address| !is_stopping(address)).copied()
    }

    pub(super) fn other_data_centres(&self) -> impl Iterator<Item = &DataCentre> {
        let heard = self.words.keys();
        heard.filter(|other| **other != self.data_centre)
    }

    /// Hosts of another data centre that are told what is run there: all that are known, up to a bound.
    pub(crate) fn load_recipients(&mut self, data_centre: &DataCentre) -> Vec<SocketAddr> {
        self.far_turn = self.far_turn.wrapping_add(1);
        let known: Vec<SocketAddr> = self.known_in(data_centre).collect();
        in_turn(&known, self.far_turn, VISITED_MAX)
    }

    /// A few live hosts of another data centre that are asked what runs there.
    pub(crate) fn query_targets(&mut self, now: Time, data_centre: &DataCentre) -> Vec<SocketAddr> {
        self.far_turn = self.far_turn.wrapping_add(ASKED);
        in_turn(&self.live_in(now, data_centre), self.far_turn, ASKED)
    }

    /// The other data centres of which a host was heard of late.
    pub(crate) fn live_data_centres(&self, now: Time) -> Vec<DataCentre> {
        let heard = self.heard_data_centres(now);
        let others = heard.filter(|other| **other != self.data_centre);
        others.cloned().collect()
    }

    /// All known hosts of other data centres.
    pub(crate) fn remote_hosts(&self) -> Vec<SocketAddr> {
        self.other_data_centres()
            .flat_map(|data_centre| self.known_in(data_centre))
            .collect()
    }

    /// Whom a host of a large fleet tells of its data centre in this round: some hosts of each other one
    /// in turn, and those that read the upstreams for all, who must know whom to tell.
    pub(crate) fn remote_partners(&mut self, now: Time) -> BTreeMap<DataCentre, Vec<SocketAddr>> {
        let readers = self.readers_for_all(now);
        let partners_in = |data_centre: &DataCentre| {
            let known = self.partners_in(now, data_centre);
            let mut partners = in_turn(&known, self.far_turn, REMOTE_PARTNERS);
            let readers = readers.iter().filter(|reader| known.contains(reader));
            partners.extend(readers);
            partners.sort();
            partners.dedup();
            (data_centre.clone(), partners)
        };
        let partners = self.other_data_centres().map(partners_in).collect();
        self.far_turn = self.far_turn.wrapping_add(REMOTE_PARTNERS);
        partners
    }

    /// The hosts of a data centre of which one may be told: those heard of late, or all that are known if those are few.
    fn partners_in(&self, now: Time, data_centre: &DataCentre) -> Vec<SocketAddr> {
        let known: Vec<SocketAddr> = self.known_in(data_centre).collect();
        let heard_at = |address: &SocketAddr| self.heard(address).map(|heard| heard.at);
        let is_heard =
            |address: &&SocketAddr| heard_at(address).is_some_and(|at| now.since(at) < TRIED_FOR);
        let heard: Vec<SocketAddr> = known.iter().filter(is_heard).copied().collect();
        match heard.len() < REMOTE_PARTNERS {
            true => known,
            false => heard,
        }
    }

    /// Those of each other data centre from which changes go over it, in turn.
    pub(crate) fn relay_roots(&mut self, now: Time) -> Vec<SocketAddr> {
        self.relay_turn = self.relay_turn.wrapping_add(1);
        let roots_in = |data_centre: &DataCentre| {
            in_turn(
                &self.live_in(now, data_centre),
                self.relay_turn,
                RELAY_ROOTS,
            )
        };
        self.other_data_centres().flat_map(roots_in).collect()
    }

    /// To whom this host passes on what comes over its data centre from `root`: its children in a tree over the live hosts
    /// there in the order of their addresses, beginning with `root`.
    pub(crate) fn relay_children(&self, now: Time, root: SocketAddr) -> Vec<SocketAddr> {
        let mut hosts = self.live_in(now, &self.data_centre);
        hosts.extend([self.own, root]);
        hosts.sort();
        hosts.dedup();
        let index_of = |address| hosts.binary_search(&address).unwrap_or(0);
        let count = hosts.len();
        let own = (index_of(self.own) + count - index_of(root)) % count;
        let children = (1..=RELAY_CHILDREN).map(|child| own * RELAY_CHILDREN + child);
        let children = children.take_while(|child| *child < count);
        children
            .map(|child| hosts[(index_of(root) + child) % count])
            .collect()
    }

    /// The live hosts that read the upstreams for all.
    fn readers_for_all(&self, now: Time) -> Vec<SocketAddr> {
        let reads = |address: &SocketAddr| {
            let peer = self.peers.get(address).filter(|peer| peer.is_live(now));
            let heard = peer.and_then(|peer| peer.heard.as_ref());
            heard.is_some_and(|heard| heard.reading.upstreams)
        };
        let readers = self.readers.iter().filter(|address| reads(address));
        readers.copied().collect()
    }

    /// A few live hosts to tell of, in turn; in a large fleet those of the own data centre, and who reads
    /// the upstreams for all: of two that read, the second must hear the first to leave it to that one.
    pub(crate) fn announced_hosts(&mut self, now: Time) -> Vec<SocketAddr> {
        self.turn = self.turn.wrapping_add(ADDRESSES_TOLD);
        if self.is_small_fleet(now) {
            return in_turn(&self.all_live(now), self.turn, ADDRESSES_TOLD);
        }
        let mut some = self.few_live_in(now, &self.data_centre, ADDRESSES_TOLD);
        some.extend(self.readers_for_all(now).into_iter().take(ADDRESSES_TOLD));
        some
    }

    /// Some hosts of each data centre but `own`, for a host there.
    pub(crate) fn introductions(
        &mut self,
        now: Time,
        own: &DataCentre,
    ) -> Vec<(DataCentre, SocketAddr)> {
        self.turn = self.turn.wrapping_add(INTRODUCED);
        let others = self.words.keys().filter(|other| *other != own);
        let introduced = others.flat_map(|other| {
            let there = self.few_live_in(now, other, INTRODUCED);
            there.into_iter().map(|host| (other.clone(), host))
        });
        introduced.collect()
    }

    /// The hosts of a data centre, for one of them that has just started.
    pub(crate) fn bootstrap_hosts(&self, now: Time, data_centre: &DataCentre) -> Vec<SocketAddr> {
        in_turn(&self.live_in(now, data_centre), 0, ADDRESSES_TOLD_AT_START)
    }

    fn all_live(&self, now: Time) -> Vec<SocketAddr> {
        let live = self.peers.iter().filter(|(_, peer)| peer.is_live(now));
        live.map(|(address, _)| *address).collect()
    }

    fn live_in(&self, now: Time, data_centre: &DataCentre) -> Vec<SocketAddr> {
        let there = self.places.get(data_centre).into_iter().flatten();
        let live = there.filter(|address| self.is_live(now, address));
        live.copied().collect()
    }

    /// The first `count` live hosts of a data centre from where it is their turn, without a look at the others.
    fn few_live_in(&self, now: Time, data_centre: &DataCentre, count: usize) -> Vec<SocketAddr> {
        let Some(there) = self.places.get(data_centre) else {
            return Vec::new();
        };
        let from = self.turn.checked_rem(there.len()).unwrap_or(0);
        let rotated = there.iter().skip(from).chain(there.iter().take(from));
        let live = rotated.filter(|address| self.is_live(now, address));
        live.take(count).copied().collect()
    }

    fn is_live(&self, now: Time, address: &SocketAddr) -> bool {
        self.heard(address).is_some_and(|heard| heard.is_live(now))
    }
}

/// `count` of `addresses`, from `turn` on and round.
fn in_turn(addresses: &[SocketAddr], turn: usize, count: usize) -> Vec<SocketAddr> {
    let from = turn.checked_rem(addresses.len()).unwrap_or(0);
    let rotated = addresses.iter().cycle().skip(from);
    rotated.take(count.min(addresses.len())).copied().collect()
}
