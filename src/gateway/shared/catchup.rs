//! What a host knows of newer configurations than the one it has in force.

use std::time::Duration;

use super::Shared;
use super::lock;
use crate::gateway::document::assembly::Assembly;
use crate::gateway::document::catchup::CatchUp;
use crate::gateway::document::transfers::Transfers;
use crate::gateway::peerfetch::ListCache;
use crate::gateway::peers::Fetch;
use crate::gateway::protocol::Topic;

impl Shared {
    /// Whether another host has told of a newer version than the one in force here. 378 callers of a day
    /// were answered 404 for routes of a version that their hosts had heard of and could not fetch.
    pub(crate) fn is_behind(&self) -> bool {
        self.newest_known_version() > self.config_version()
    }

    /// The newest version that a live host has told of; 0 if none has.
    pub(crate) fn newest_known_version(&self) -> u64 {
        let now = self.now();
        self.peers(|peers| peers.newest_version(now))
    }

    /// Notes whether a newer version is known of. Tells for how long one was until now.
    pub(crate) fn track_newer_version(&self) -> Option<Duration> {
        let now = self.now();
        let is_behind = self.is_behind();
        self.catch_up(|catch_up| {
            let behind = catch_up.behind_for(now);
            catch_up.look(now, is_behind);
            behind
        })
    }

    /// For how long a newer version than the one in force has been known of.
    pub(crate) fn behind_for(&self) -> Option<Duration> {
        let now = self.now();
        self.catch_up(|catch_up| catch_up.behind_for(now))
    }

    /// Whether this host has known of something newer for so long, without getting it from its peers, that
    /// it shall read the topic itself.
    pub(crate) fn is_overdue(&self, topic: Topic) -> bool {
        let now = self.now();
        let bound = self.settings().staleness_max;
        topic == Topic::Operator && self.catch_up(|catch_up| catch_up.is_overdue(now, bound))
    }

    /// Runs `use_catch_up` on the way to the newest version.
    pub(crate) fn catch_up<T>(&self, use_catch_up: impl FnOnce(&mut CatchUp) -> T) -> T {
        use_catch_up(&mut lock(&self.0.catch_up))
    }

    /// Runs `use_transfers` on the transfers of `what` to other hosts.
    pub(crate) fn transfers<T>(
        &self,
        what: Fetch,
        use_transfers: impl FnOnce(&mut Transfers) -> T,
    ) -> T {
        use_transfers(lock(&self.0.transfers).entry(what).or_default())
    }

    /// The same for the list of upstreams.
    pub(crate) fn list_catch_up<T>(&self, use_catch_up: impl FnOnce(&mut CatchUp) -> T) -> T {
        use_catch_up(&mut lock(&self.0.list_catch_up))
    }

    /// Runs `use_cache` on the list of upstreams as it was last packed.
    pub(crate) fn list_cache<T>(&self, use_cache: impl FnOnce(&mut ListCache) -> T) -> T {
        use_cache(&mut lock(&self.0.list_cache))
    }

    /// Takes the document that is being put together.
    pub(crate) fn take_assembly(&self) -> Option<Assembly> {
        lock(&self.0.assembly).take()
    }

    /// Keeps what has arrived of a document for the next transfer.
    pub(crate) fn keep_assembly(&self, assembly: Option<Assembly>) {
        *lock(&self.0.assembly) = assembly;
    }

    /// Drops what has arrived of `version` or an older one, which is of no use once that is in force.
    pub(crate) fn drop_assembly(&self, version: u64) {
        let mut assembly = lock(&self.0.assembly);
        *assembly = assembly
            .take()
            .filter(|assembly| assembly.manifest().version > version);
    }
}
