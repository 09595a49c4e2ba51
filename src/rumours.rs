//! News of members on its way to the others: each piece rides on a bounded number of heartbeats.

use std::collections::BTreeMap;

use crate::id::HostId;
use crate::peer::Rumour;

/// Rumours that one heartbeat carries at most.
const RUMOURS_A_HEARTBEAT: usize = 6;

/// Each rumour rides on this many heartbeats for every doubling of the number of members.
const REPEATS_A_DOUBLING: u32 = 3;

/// The newest rumour of each host, with how often it was sent.
#[derive(Debug, Default)]
pub(crate) struct Rumours {
    queued: BTreeMap<HostId, Queued>,
}

#[derive(Debug)]
struct Queued {
    rumour: Rumour,
    sent: u32,
}

impl Rumours {
    /// Queues a rumour in place of older ones of the same host.
    pub(crate) fn spread(&mut self, rumour: Rumour) {
        let host = rumour.host.clone();
        self.queued.insert(host, Queued { rumour, sent: 0 });
    }

    /// The rumours for the next heartbeat among `members` hosts, the least sent first.
    pub(crate) fn take(&mut self, members: usize) -> Vec<Rumour> {
        let repeats = REPEATS_A_DOUBLING * (members + 1).ilog2().max(1);
        let mut chosen: Vec<&mut Queued> = self.queued.values_mut().collect();
        chosen.sort_by_key(|queued| queued.sent);
        let mut rumours = Vec::new();
        for queued in chosen.into_iter().take(RUMOURS_A_HEARTBEAT) {
            queued.sent += 1;
            rumours.push(queued.rumour.clone());
        }
        self.queued.retain(|_, queued| queued.sent < repeats);
        rumours
    }

    /// The rumours that were never sent, which count as sent once from now on.
    pub(crate) fn take_fresh(&mut self) -> Vec<Rumour> {
        let fresh = self.queued.values_mut().filter(|queued| queued.sent == 0);
        let mut rumours = Vec::new();
        for queued in fresh.take(RUMOURS_A_HEARTBEAT) {
            queued.sent = 1;
            rumours.push(queued.rumour.clone());
        }
        rumours
    }
}
