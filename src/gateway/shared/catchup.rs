//! Progress towards configurations newer than the active one, and transfers to and from peers.

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
    /// Whether a live host has announced a newer version than the active one. A host that is behind must not
    /// answer 404 for unknown routes: in one test day 378 clients got 404 for routes of a version that
    /// their hosts knew of but could not fetch.
    pub(crate) fn is_behind(&self) -> bool {
        self.newest_known_version() > self.config_version()
    }

    /// The newest version that a live host has announced; 0 if none has.
    pub(crate) fn newest_known_version(&self) -> u64 {
        let now = self.now();
        self.peers(|peers| peers.newest_version(now))
    }

    /// Updates whether a newer version is known, and returns for how long one had been known before.
    pub(crate) fn track_newer_version(&self) -> Option<Duration> {
        let now = self.now();
        let is_behind = self.is_behind();
        self.catch_up(|catch_up| {
            let behind = catch_up.behind_for(now);
            catch_up.update(now, is_behind);
            behind
        })
    }

    /// For how long a newer version than the active one has been known.
    pub(crate) fn behind_for(&self) -> Option<Duration> {
        let now = self.now();
        self.catch_up(|catch_up| catch_up.behind_for(now))
    }

    /// Whether fetching a newer version from peers has taken so long that this host should read the topic
    /// itself.
    pub(crate) fn is_overdue(&self, topic: Topic) -> bool {
        let now = self.now();
        let bound = self.settings().staleness_max;
        topic == Topic::Operator && self.catch_up(|catch_up| catch_up.is_overdue(now, bound))
    }

    /// Runs `use_catch_up` on the locked state of catching up with the newest configuration.
    pub(crate) fn catch_up<T>(&self, use_catch_up: impl FnOnce(&mut CatchUp) -> T) -> T {
        use_catch_up(&mut lock(&self.0.catch_up))
    }

    /// Runs `use_transfers` on the locked transfers of `what` to other hosts.
    pub(crate) fn transfers<T>(
        &self,
        what: Fetch,
        use_transfers: impl FnOnce(&mut Transfers) -> T,
    ) -> T {
        use_transfers(lock(&self.0.transfers).entry(what).or_default())
    }

    /// Like [`Shared::catch_up`], for the list of upstreams.
    pub(crate) fn list_catch_up<T>(&self, use_catch_up: impl FnOnce(&mut CatchUp) -> T) -> T {
        use_catch_up(&mut lock(&self.0.list_catch_up))
    }

    /// Runs `use_cache` on the locked cache of the packed list of upstreams.
    pub(crate) fn list_cache<T>(&self, use_cache: impl FnOnce(&mut ListCache) -> T) -> T {
        use_cache(&mut lock(&self.0.list_cache))
    }

    /// Takes the partly fetched document.
    pub(crate) fn take_assembly(&self) -> Option<Assembly> {
        lock(&self.0.assembly).take()
    }

    /// Stores a partly fetched document for the next transfer.
    pub(crate) fn keep_assembly(&self, assembly: Option<Assembly>) {
        *lock(&self.0.assembly) = assembly;
    }

    /// Drops a partly fetched document of `version` or an older one, once `version` is active.
    pub(crate) fn drop_assembly(&self, version: u64) {
        let mut assembly = lock(&self.0.assembly);
        *assembly = assembly
            .take()
            .filter(|assembly| assembly.manifest().version > version);
    }
}
