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
use crate::gateway::directory::ChangeKind;
use crate::gateway::position::Position;
use crate::gateway::protocol::Topic;
use crate::gateway::shared::Shared;

/// Datagrams that a reader sends at once.
const DIRECT_DATAGRAMS_MAX: usize = 300;
/// Upstreams that came of which a reader tells along trees
const RELAYED_LISTINGS_MAX: usize = 200;
/// in this time.
const LISTINGS_WINDOW: Duration = Duration::from_secs(1);
/// A tree over more hosts than any data centre has is no deeper.
const HOPS_MAX: u8 = 8;

/// What this host has sent along trees.
#[derive(Debug, Default)]
pub(super) struct ChangeRelay {
    sent_position: Position,
    /// When it began to count what it sent of upstreams that came,
    window_start: Time,
    /// and how many that were.
    listings: usize,
}

impl ChangeRelay {
    /// Keeps what leaves, and of what comes as much as a second has room for. Who hears of a position without the changes
    /// fetches them, hundreds at once.
    fn limit_listings(&mut self, now: Time, changes: &mut Vec<Change>) {
        if now.since(self.window_start) >= LISTINGS_WINDOW {
            self.window_start = now;
            self.listings = 0;
        }
        changes.retain(|change| match change.kind {
            ChangeKind::Leaving(_) | ChangeKind::Removed(_) => true,
            ChangeKind::Listed(_) => {
                self.listings += 1;
                self.listings <= RELAYED_LISTINGS_MAX
            }
        });
    }

    /// Sends what changed since it last did, if it is more than this host tells all by itself. Whether it was.
    pub(super) async fn send_changes(&mut self, shared: &Shared, socket: &UdpSocket) -> bool {
        if !shared.is_reading(Topic::Upstreams) {
            return false;
        }
        let now = shared.now();
        let (position, digest, mut changes) = shared.directory(|directory| {
            let changes = directory.recent_changes(now);
            (directory.position(), directory.digest(), changes)
        });
        if !is_needed(shared, &changes) {
            return false;
        }
        let sent = std::mem::replace(&mut self.sent_position, position);
        changes.retain(|change| change.position >= sent);
        self.limit_listings(now, &mut changes);
        let roots = shared.peers(|peers| peers.relay_roots(now));
        let chunks = changes.chunks(PART_CHANGES_MAX);
        let count = chunks.len();
        for (index, changes) in chunks.enumerate() {
            let local = AnnouncedChanges {
                root: shared.gossip_address(),
                hops_left: HOPS_MAX,
                host: shared.settings().host.clone(),
                log_era: shared.log_era(),
                position,
                digest,
                changes: changes.to_vec(),
                has_more_changes: index + 1 < count,
            };
            forward(shared, now, socket, &local).await;
            for root in &roots {
                let remote = AnnouncedChanges {
                    root: *root,
                    ..local.clone()
                };
                send(socket, &remote.encode(), &[*root]).await;
            }
        }
        true
    }
}

/// Whether changes are too many for one host to tell all others.
pub(super) fn is_needed(shared: &Shared, changes: &[Change]) -> bool {
    let parts = changes.len().div_ceil(PART_CHANGES_MAX);
    parts * shared.live_hosts() > DIRECT_DATAGRAMS_MAX
}

/// Sends changes to the hosts behind this one in the tree of its data centre.
pub(super) async fn forward(
    shared: &Shared,
    now: Time,
    socket: &UdpSocket,
    announced: &AnnouncedChanges,
) {
    let Some(hops_left) = announced.hops_left.checked_sub(1) else {
        return;
    };
    let children = shared.peers(|peers| peers.relay_children(now, announced.root));
    let announced = AnnouncedChanges {
        hops_left,
        ..announced.clone()
    };
    send(socket, &announced.encode(), &children).await;
}
