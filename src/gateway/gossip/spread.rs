//! Spreads changes of the upstreams over a large fleet.
//!
//! The load that this answers: hundreds of upstreams change in a second and each change concerns a thousand hosts. One
//! host that told all would send tens of thousands of datagrams a second. So beyond some hundred datagrams a
//! reader sends to a few, who pass on: in each data centre along a tree over the hosts there, so that nobody
//! sends to more than a few. Of each other data centre two hosts are told, in turn, as one may be gone. Who
//! misses something hears of the newer position with its neighbours' next datagrams, and asks them.

use std::time::Duration;

use tokio::net::UdpSocket;

use super::send;
use crate::clock::Time;
use crate::gateway::datagram::AnnouncedChanges;
use crate::gateway::datagram::PART_CHANGES_MAX;
use crate::gateway::directory::Change;
use crate::gateway::directory::News;
use crate::gateway::position::Position;
use crate::gateway::protocol::Topic;
use crate::gateway::shared::Shared;

/// Datagrams that a reader sends at once.
const DIRECT_MAX: usize = 300;
/// Upstreams that came of which a reader tells along trees
const LISTED_MAX: usize = 200;
/// in this time.
const COUNTED_FOR: Duration = Duration::from_secs(1);
/// A tree over more hosts than any data centre has is no deeper.
const HOPS_MAX: u8 = 8;

/// What this host has sent along trees.
#[derive(Debug, Default)]
pub(super) struct Spread {
    told: Position,
    /// When it began to count what it sent of upstreams that came,
    counted_from: Time,
    /// and how many that were.
    listed: usize,
}

impl Spread {
    /// Keeps what leaves, and of what comes as much as a second has room for. Who hears of a position without the changes
    /// fetches them, hundreds at once.
    fn leave_out_listed(&mut self, now: Time, changes: &mut Vec<Change>) {
        if now.since(self.counted_from) >= COUNTED_FOR {
            self.counted_from = now;
            self.listed = 0;
        }
        changes.retain(|change| match change.news {
            News::Leaving(_) | News::Removed(_) => true,
            News::Listed(_) => {
                self.listed += 1;
                self.listed <= LISTED_MAX
            }
        });
    }

    /// Sends what changed since it last did, if it is more than this host tells all by itself. Whether it was.
    pub(super) async fn send_new(&mut self, shared: &Shared, socket: &UdpSocket) -> bool {
        if !shared.is_reading(Topic::Upstreams) {
            return false;
        }
        let now = shared.now();
        let (position, digest, mut changes) = shared.directory(|directory| {
            let changes = directory.recent(now);
            (directory.position(), directory.digest(), changes)
        });
        if !is_much(shared, &changes) {
            return false;
        }
        let told = std::mem::replace(&mut self.told, position);
        changes.retain(|change| change.position >= told);
        self.leave_out_listed(now, &mut changes);
        let roots = shared.peers(|peers| peers.relay_roots(now));
        let chunks = changes.chunks(PART_CHANGES_MAX);
        let count = chunks.len();
        for (index, changes) in chunks.enumerate() {
            let near = AnnouncedChanges {
                root: shared.gossip_address(),
                hops_left: HOPS_MAX,
                host: shared.settings().host.clone(),
                log_era: shared.log_era(),
                position,
                digest,
                changes: changes.to_vec(),
                has_more_changes: index + 1 < count,
            };
            pass_on(shared, now, socket, &near).await;
            for root in &roots {
                let far = AnnouncedChanges {
                    root: *root,
                    ..near.clone()
                };
                send(socket, &far.encode(), &[*root]).await;
            }
        }
        true
    }
}

/// Whether changes are too many for one host to tell all others.
pub(super) fn is_much(shared: &Shared, changes: &[Change]) -> bool {
    let parts = changes.len().div_ceil(PART_CHANGES_MAX);
    parts * shared.live_hosts() > DIRECT_MAX
}

/// Sends changes to the hosts behind this one in the tree of its data centre.
pub(super) async fn pass_on(
    shared: &Shared,
    now: Time,
    socket: &UdpSocket,
    told: &AnnouncedChanges,
) {
    let Some(hops_left) = told.hops_left.checked_sub(1) else {
        return;
    };
    let behind = shared.peers(|peers| peers.behind(now, told.root));
    let told = AnnouncedChanges {
        hops_left,
        ..told.clone()
    };
    send(socket, &told.encode(), &behind).await;
}
