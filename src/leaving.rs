//! Upstreams that are leaving, by the word of anybody who saw it.
//!
//! First-hand signs are the platform's list, an engine's own refusal and its report. They are told
//! to the upstream's owner at once and repeated with heartbeats; what others say is believed but
//! not repeated, so that a mark dies with its witness. Marks lapse unless they are renewed, because
//! the list may be stale and an upstream may come back at the same address.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::clock::Time;
use crate::id::DataCentre;
use crate::id::UpstreamId;
use crate::platform::HostKind;
use crate::platform::HostList;
use crate::platform::HostState;

/// A mark that nobody renews lapses after this time.
pub const MARK_LASTS: Duration = Duration::from_secs(60);

/// The marks that one host holds.
#[derive(Debug, Default)]
pub struct Leaving {
    witnessed: BTreeMap<UpstreamId, Time>,
    heard: BTreeMap<UpstreamId, Time>,
    listed: BTreeSet<UpstreamId>,
}

impl Leaving {
    /// This host saw that an upstream is leaving. True if that is news.
    pub fn witness(&mut self, now: Time, upstream: &UpstreamId) -> bool {
        let known = self.witnessed.insert(upstream.clone(), now);
        known.is_none()
    }

    /// Another host says that an upstream is leaving.
    pub fn hear(&mut self, now: Time, upstream: &UpstreamId) {
        self.heard.insert(upstream.clone(), now);
    }

    /// Takes the platform's list; answers with the upstreams of `data_centre` that it newly calls
    /// leaving. A list that goes on saying so renews nothing: it may be stale.
    pub fn list(
        &mut self,
        now: Time,
        list: &HostList,
        data_centre: &DataCentre,
    ) -> Vec<UpstreamId> {
        let upstreams = list.hosts.iter().filter(|host| {
            host.kind == HostKind::Upstream
                && host.data_centre == *data_centre
                && host.state == HostState::Leaving
        });
        let listed: BTreeSet<UpstreamId> = upstreams
            .map(|host| UpstreamId::new(host.address.as_str()))
            .collect();
        let fresh: Vec<UpstreamId> = listed.difference(&self.listed).cloned().collect();
        for upstream in &fresh {
            self.witness(now, upstream);
        }
        self.listed = listed;
        fresh
    }

    /// The upstream is known to be back.
    pub fn clear(&mut self, upstream: &UpstreamId) {
        self.witnessed.remove(upstream);
        self.heard.remove(upstream);
    }

    /// Drops the marks that lapsed. True if any did.
    pub fn lapse(&mut self, now: Time) -> bool {
        let before = self.witnessed.len() + self.heard.len();
        let lasts = |_: &UpstreamId, at: &mut Time| now.since(*at) < MARK_LASTS;
        self.witnessed.retain(lasts);
        self.heard.retain(lasts);
        before != self.witnessed.len() + self.heard.len()
    }

    /// What this host saw itself, to be told to others.
    pub fn witnessed(&self) -> Vec<UpstreamId> {
        self.witnessed.keys().cloned().collect()
    }

    /// Every upstream that is marked.
    pub fn all(&self) -> BTreeSet<UpstreamId> {
        let heard = self.heard.keys();
        self.witnessed.keys().chain(heard).cloned().collect()
    }
}

#[cfg(test)]
mod tests;
