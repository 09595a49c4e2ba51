//! The load of each upstream, from this host's own counts and from the reports of its peers.
//!
//! Upstreams' own reports are half a second old; the hosts' counts are as old as a datagram. In a
//! large fleet each data centre summarises its own upstreams: its hosts report their requests to
//! each other, and hosts of other data centres report the requests that they run there, so each of
//! its hosts knows the whole load of its upstreams. A summary is therefore complete, except that it
//! leaves out the requests of the data centre that receives it.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use tokio::sync::mpsc::Receiver;
use tokio::sync::mpsc::Sender;
use tokio::sync::mpsc::channel;

use crate::clock::Time;
use crate::gateway::instance::InstanceId;
use crate::gateway::instance::InstanceKey;
use crate::id::DataCentre;
use crate::id::HostId;

/// Time for which a peer's report counts: two gossip rounds between data centres, or a short partition.
const PEER_REPORT_TTL: Duration = Duration::from_millis(4_000);

/// Falls in this host's own load that wait to be read. One that doesn't fit is announced by the next round.
const FALLS_MAX: usize = 256;

/// Load of an upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Running requests.
    pub requests: u32,
    /// Tokens of memory that they are predicted to need.
    pub tokens: u32,
    /// Prompt tokens among them that the upstream has not read yet.
    pub unread_tokens: u32,
}

impl Load {
    pub(crate) fn add(&mut self, other: Load) {
        self.requests = self.requests.saturating_add(other.requests);
        self.tokens = self.tokens.saturating_add(other.tokens);
        self.unread_tokens = self.unread_tokens.saturating_add(other.unread_tokens);
    }

    fn subtract(&mut self, other: Load) {
        self.requests = self.requests.saturating_sub(other.requests);
        self.tokens = self.tokens.saturating_sub(other.tokens);
        self.unread_tokens = self.unread_tokens.saturating_sub(other.unread_tokens);
    }
}

/// The latest report of one source.
#[derive(Debug, Clone)]
struct PeerReport {
    received_at: Time,
    loads: HashMap<InstanceKey, Load>,
}

/// The source and scope of a report.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum ReportSource {
    /// A host that reports all its requests.
    Host(HostId),
    /// A host of another data centre that reports its requests at upstreams of this one.
    RemoteHost {
        /// The host.
        host: HostId,
        /// Its data centre.
        data_centre: DataCentre,
    },
    /// Another data centre's summary of the load of its upstreams, from any of its hosts: a later
    /// summary from another host replaces it.
    DataCentre(DataCentre),
}

/// The load of all upstreams.
#[derive(Debug, Default)]
pub struct Loads {
    own: BTreeMap<InstanceId, Load>,
    peers: HashMap<ReportSource, PeerReport>,
    /// Sums over the reports of all peers, so that the load of one upstream is found without visiting each.
    sums: HashMap<InstanceKey, Load>,
    /// Gets each upstream at which this host's own load fell, if a task reads them.
    falls: Option<Sender<InstanceId>>,
}

impl Loads {
    /// Returns a channel of the upstreams at which this host's own load falls from now on.
    pub(crate) fn watch_falls(&mut self) -> Receiver<InstanceId> {
        let (falls, receiver) = channel(FALLS_MAX);
        self.falls = Some(falls);
        receiver
    }

    /// Replaces a host's load at one upstream in its last report.
    pub(crate) fn receive_one(&mut self, now: Time, host: HostId, key: InstanceKey, load: Load) {
        let report = self
            .peers
            .entry(ReportSource::Host(host))
            .or_insert_with(|| PeerReport {
                received_at: now,
                loads: HashMap::new(),
            });
        let previous = report.loads.insert(key, load).unwrap_or_default();
        let sum = self.sums.entry(key).or_default();
        sum.add(load);
        sum.subtract(previous);
        if *sum == Load::default() {
            self.sums.remove(&key);
        }
    }

    /// A host's load at an upstream by its last report; none without a report.
    pub(crate) fn reported_by(&self, host: &HostId, key: InstanceKey) -> Option<Load> {
        let report = self.peers.get(&ReportSource::Host(host.clone()))?;
        Some(report.loads.get(&key).copied().unwrap_or_default())
    }

    /// This host's own load at an upstream.
    pub(crate) fn own_at(&self, upstream: &InstanceId) -> Load {
        self.own.get(upstream).copied().unwrap_or_default()
    }

    /// Replaces the report of `source`.
    pub fn receive(&mut self, now: Time, source: ReportSource, loads: Vec<(InstanceKey, Load)>) {
        let loads: HashMap<InstanceKey, Load> = loads.into_iter().collect();
        for (key, load) in &loads {
            self.sums.entry(*key).or_default().add(*load);
        }
        let previous = self.peers.insert(
            source,
            PeerReport {
                received_at: now,
                loads,
            },
        );
        self.subtract_reports(previous.as_slice());
    }

    fn subtract_reports(&mut self, reports: &[PeerReport]) {
        for (key, load) in reports.iter().flat_map(|report| &report.loads) {
            let Some(sum) = self.sums.get_mut(key) else {
                continue;
            };
            sum.subtract(*load);
            if *sum == Load::default() {
                self.sums.remove(key);
            }
        }
    }

    /// Removes reports that were not renewed within their time to live.
    pub fn expire(&mut self, now: Time) {
        let is_expired = |peer: &PeerReport| now.since(peer.received_at) >= PEER_REPORT_TTL;
        let expired = self.peers.extract_if(|_, peer| is_expired(peer));
        let expired: Vec<PeerReport> = expired.map(|(_, peer)| peer).collect();
        self.subtract_reports(&expired);
    }

    /// The load of an upstream over all hosts.
    pub fn at(&self, upstream: &InstanceId) -> Load {
        let mut sum = self.own.get(upstream).copied().unwrap_or_default();
        sum.add(self.sums.get(&upstream.key()).copied().unwrap_or_default());
        sum
    }

    /// This host's own load at each upstream.
    pub fn own(&self) -> Vec<(InstanceKey, Load)> {
        let own = self.own.iter();
        own.map(|(upstream, load)| (upstream.key(), *load))
            .collect()
    }

    /// The load of the upstreams for which `is_local` is true, those of this data centre, as a report for
    /// `receiver`: without the requests of the receiver's own hosts.
    pub fn summary_for(
        &self,
        is_local: impl Fn(InstanceKey) -> bool,
        receiver: &DataCentre,
    ) -> Vec<(InstanceKey, Load)> {
        let is_included = |source: &ReportSource| match source {
            ReportSource::Host(_) => true,
            ReportSource::RemoteHost { data_centre, .. } => data_centre != receiver,
            ReportSource::DataCentre(_) => false,
        };
        let reported = self.peers.iter().filter(|(source, _)| is_included(source));
        let reported =
            reported.flat_map(|(_, report)| report.loads.iter().map(|(key, load)| (*key, *load)));
        let mut sums: BTreeMap<InstanceKey, Load> = BTreeMap::new();
        for (key, load) in self.own().into_iter().chain(reported) {
            if is_local(key) {
                sums.entry(key).or_default().add(load);
            }
        }
        sums.into_iter().collect()
    }

    /// This host's own load, grouped by the data centre that `data_centre_of` returns for an upstream.
    pub fn own_by_data_centre(
        &self,
        data_centre_of: impl Fn(&InstanceId) -> Option<DataCentre>,
    ) -> BTreeMap<DataCentre, Vec<(InstanceKey, Load)>> {
        let mut by_data_centre: BTreeMap<DataCentre, Vec<(InstanceKey, Load)>> = BTreeMap::new();
        for (upstream, load) in &self.own {
            if let Some(data_centre) = data_centre_of(upstream) {
                by_data_centre
                    .entry(data_centre)
                    .or_default()
                    .push((upstream.key(), *load));
            }
        }
        by_data_centre
    }

    /// Time since the last summary from a data centre.
    pub fn report_age(&self, now: Time, data_centre: &DataCentre) -> Option<Duration> {
        let report = self
            .peers
            .get(&ReportSource::DataCentre(data_centre.clone()));
        report.map(|report| now.since(report.received_at))
    }

    fn add_own(&mut self, upstream: &InstanceId, load: Load) {
        self.own.entry(upstream.clone()).or_default().add(load);
    }

    fn subtract_own(&mut self, upstream: &InstanceId, load: Load) {
        let Some(sum) = self.own.get_mut(upstream) else {
            return;
        };
        sum.subtract(load);
        if *sum == Load::default() {
            self.own.remove(upstream);
        }
        if let Some(falls) = &self.falls {
            // One that doesn't fit is announced by the next round.
            let _ = falls.try_send(upstream.clone());
        }
    }
}

/// A handle on [`Loads`]; clones share the same state.
#[derive(Debug, Clone, Default)]
pub struct SharedLoads(Arc<Mutex<Loads>>);

impl SharedLoads {
    /// Runs `access` on the loads under the lock.
    pub fn with<T>(&self, access: impl FnOnce(&mut Loads) -> T) -> T {
        access(&mut self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Adds one request to an upstream's load until the guard is dropped. Its prompt counts as unread
    /// until [`LoadGuard::mark_prompt_read`].
    pub fn add_request(&self, upstream: &InstanceId, tokens: u32, prompt_tokens: u32) -> LoadGuard {
        let load = Load {
            requests: 1,
            tokens,
            unread_tokens: prompt_tokens,
        };
        self.with(|loads| loads.add_own(upstream, load));
        LoadGuard {
            shared: self.clone(),
            upstream: upstream.clone(),
            load,
        }
    }
}

/// A request that counts towards an upstream's load until this is dropped.
#[derive(Debug)]
pub struct LoadGuard {
    shared: SharedLoads,
    upstream: InstanceId,
    load: Load,
}

impl LoadGuard {
    /// Raises the memory that the request is predicted to need to `tokens`; a lower value changes nothing.
    pub fn grow_to(&mut self, tokens: u32) {
        let more = Load {
            tokens: tokens.saturating_sub(self.load.tokens),
            ..Load::default()
        };
        self.load.add(more);
        let upstream = &self.upstream;
        self.shared.with(|loads| loads.add_own(upstream, more));
    }

    /// Records that the upstream has read the request's prompt.
    pub fn mark_prompt_read(&mut self) {
        let unread = Load {
            unread_tokens: std::mem::take(&mut self.load.unread_tokens),
            ..Load::default()
        };
        let upstream = &self.upstream;
        self.shared
            .with(|loads| loads.subtract_own(upstream, unread));
    }
}

impl Drop for LoadGuard {
    fn drop(&mut self) {
        let upstream = &self.upstream;
        let load = self.load;
        self.shared.with(|loads| loads.subtract_own(upstream, load));
    }
}

#[cfg(test)]
mod tests;
