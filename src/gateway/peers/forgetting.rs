//! For how long a host remembers others that it doesn't hear.

use std::net::SocketAddr;
use std::time::Duration;

use super::Peers;
use crate::clock::Time;
use crate::id::DataCentre;

/// An address that never answers is tried for this long, and again when it is learnt anew.
pub(super) const TRIED_FOR: Duration = Duration::from_secs(15);
/// A host of another data centre is remembered for this long,
const REMEMBERED_FOR: Duration = Duration::from_secs(60);
/// unless so many are known there. Where hosts are few, each is heard in turn and would else be a stranger each time.
const REMEMBERED_MAX: usize = 48;

impl Peers {
    /// Forgets hosts that are silent. Seeds are kept: one that was forgotten would be tried by every host in each round.
    pub(super) fn forget_silent(&mut self, now: Time) {
        let unheard = self.peers.iter().filter(|(_, peer)| peer.heard.is_none());
        let unheard = unheard.filter(|(_, peer)| now.since(peer.learnt_at) >= TRIED_FOR);
        let mut forgotten: Vec<SocketAddr> = unheard.map(|(address, _)| *address).collect();
        for data_centre in self.places.keys() {
            forgotten.extend(self.forgotten_in(now, data_centre));
        }
        for address in forgotten {
            self.forget(address);
        }
    }

    /// The hosts of a data centre that are not remembered any more: beyond a number the most silent.
    fn forgotten_in(&self, now: Time, data_centre: &DataCentre) -> Vec<SocketAddr> {
        let there = self.places.get(data_centre).into_iter().flatten();
        let (mut silent, heard): (Vec<_>, Vec<_>) = there
            .filter_map(|address| Some((now.since(self.heard(address)?.at), *address)))
            .partition(|(silence, _)| *silence >= TRIED_FOR);
        silent.retain(|(_, address)| !self.seeds.contains(address));
        silent.sort();
        let remembered = match *data_centre == self.data_centre {
            true => 0,
            false => REMEMBERED_MAX.saturating_sub(heard.len()),
        };
        let ranked = silent.into_iter().enumerate();
        let forgotten =
            ranked.filter(|(rank, (silence, _))| *rank >= remembered || *silence >= REMEMBERED_FOR);
        forgotten.map(|(_, (_, address))| address).collect()
    }

    fn forget(&mut self, address: SocketAddr) {
        self.readers.remove(&address);
        let heard = self.peers.remove(&address).and_then(|peer| peer.heard);
        if let Some(heard) = heard {
            self.leave_place(address, &heard.data_centre);
        }
    }
}
