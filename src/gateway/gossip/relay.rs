//! Relays upstream changes along trees of hosts in a large fleet.
//!
//! When hundreds of upstreams change within a second and each change concerns a thousand hosts, a reader
//! that sent to all of them would send tens of thousands of datagrams per second. Beyond a few hundred
//! datagrams it therefore sends to a few hosts, which forward the changes: each data centre has a tree
//! over its hosts, so that no host sends to more than a few. In each other data centre two hosts, chosen
//! in turn, are the roots of trees, as one may be gone. A host that misses a change learns of the newer
//! position from the next datagrams of its neighbours and fetches the changes from them.

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

/// Most datagrams that a reader sends at once itself; changes that need more are relayed.
const DIRECT_DATAGRAMS_MAX: usize = 300;
/// Most new listings that a reader relays within [`LISTINGS_WINDOW`].
const RELAYED_LISTINGS_MAX: usize = 200;
/// Window over which relayed listings are counted.
const LISTINGS_WINDOW: Duration = Duration::from_secs(1);
/// Most hops of a change. A tree of this depth holds more hosts than any data centre has.
const HOPS_MAX: u8 = 8;

/// What this host has sent along relay trees.
#[derive(Debug, Default)]
pub(super) struct ChangeRelay {
    /// The log position up to which changes have been sent.
    sent_position: Position,
    /// Start of the current window of [`LISTINGS_WINDOW`].
    window_start: Time,
    /// Number of listings in the current window, including those left out.
    listings: usize,
}

impl ChangeRelay {
    /// Keeps all departures, and listings up to the limit of the window. A host that receives a position
    /// without its changes fetches them, hundreds at once.
    fn limit_listings(&mut self, now: Time, changes: &mut Vec<Change>) {
        if now.since(self.window_start) >= LISTINGS_WINDOW {
            self.window_start = now;
            self.listings = 0;
        }
        changes.retain(|change| match change.kind {
            ChangeKind::Leaving(..) | ChangeKind::Removed(_) => true,
            ChangeKind::Listed(_) => {
                self.listings += 1;
                self.listings <= RELAYED_LISTINGS_MAX
            }
        });
    }

    /// Relays the changes since the previous call if they are too many for direct datagrams. Returns
    /// whether they were.
    pub(super) async fn send_changes(&mut self, shared: &Shared, socket: &UdpSocket) -> bool {
        if !shared.is_reading(Topic::Upstreams) {
            return false;
        }
        let now = shared.now();
        let (position, digest, mut changes) = shared.directory(|directory| {
            let changes = directory.recent_changes(now);
            (directory.complete_to(), directory.digest(), changes)
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

/// Whether there are too many changes for one host to send to all others itself.
pub(super) fn is_needed(shared: &Shared, changes: &[Change]) -> bool {
    let parts = changes.len().div_ceil(PART_CHANGES_MAX);
    parts * shared.live_hosts() > DIRECT_DATAGRAMS_MAX
}

/// Sends changes to the children of this host in the relay tree of its data centre.
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
