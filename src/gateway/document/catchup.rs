//! Chooses the peer from which a host fetches a newer configuration.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::clock::Time;

/// Time after which a busy source is asked again: about half the transfer time of 80 KB over a link of 10 Mbit/s.
const BUSY_RETRY_MS: u64 = 30;
/// Maximum random addition to [`BUSY_RETRY_MS`], so that waiting hosts don't retry together.
const BUSY_SPREAD_MS: f64 = 40.0;
/// The random addition grows with the number of waiting hosts, which bounds a source's requests to about 500 per
/// second.
const BUSY_SPREAD_PER_HOST_MS: f64 = 2.0;
/// Time for which a source that didn't answer is avoided: as long as other hosts still announce one that is frozen or
/// partitioned.
const UNANSWERED_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time for which a source of invalid data is avoided. It would send the same data again.
const INVALID_TIMEOUT: Duration = Duration::from_secs(10);
/// Share of the bound on staleness after which a host that is still behind reads the platform's log itself.
const OVERDUE_SHARE: f64 = 0.4;
/// Maximum random addition to [`OVERDUE_SHARE`]. Hundreds of hosts that read a large document together would use up the
/// log's bandwidth.
const OVERDUE_SPREAD: f64 = 0.2;

/// Distance of a host that has a newer version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// In this host's data centre, heard from recently.
    Near,
    /// In another data centre, heard from recently.
    Far,
    /// Not heard from recently.
    Silent,
}

/// A host that has a newer version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Holder {
    /// Address at which it serves its peers.
    pub address: SocketAddr,
    /// The version.
    pub version: u64,
    /// Its distance.
    pub distance: Distance,
}

/// Why a fetch from a source failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The source didn't answer, or not completely.
    Unanswered,
    /// The source sent invalid data.
    Invalid,
}

impl Fault {
    const fn timeout(self) -> Duration {
        match self {
            Fault::Unanswered => UNANSWERED_TIMEOUT,
            Fault::Invalid => INVALID_TIMEOUT,
        }
    }
}

/// The next step of catching up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Fetch from this host.
    Ask(Holder),
    /// All sources are busy; try again after this time.
    Wait(Duration),
    /// No source is known.
    Stop,
}

/// Which sources are busy or have failed, and since when this host has been behind.
#[derive(Debug)]
pub struct CatchUp {
    behind_since: Option<Time>,
    busy_until: HashMap<SocketAddr, Time>,
    failed_until: HashMap<SocketAddr, Time>,
    /// From 0 to 1; determines this host's share of the random additions.
    chance: f64,
}

impl CatchUp {
    /// Creates the state of a host that is up to date. `chance` is a random number from 0 to 1.
    pub fn new(chance: f64) -> Self {
        CatchUp {
            behind_since: None,
            busy_until: HashMap::new(),
            failed_until: HashMap::new(),
            chance,
        }
    }

    /// Records whether a newer version than the active one is known.
    pub fn update(&mut self, now: Time, is_behind: bool) {
        match is_behind {
            true => {
                self.behind_since.get_or_insert(now);
            }
            false => self.behind_since = None,
        }
    }

    /// Time for which a newer version has been known, or `None` if none is.
    pub fn behind_for(&self, now: Time) -> Option<Duration> {
        Some(now.since(self.behind_since?))
    }

    /// Whether the host has been behind for so long that it has to read the log itself.
    pub fn is_overdue(&self, now: Time, staleness_max: Duration) -> bool {
        let share = OVERDUE_SHARE + OVERDUE_SPREAD * self.chance;
        let bound = staleness_max.mul_f64(share);
        self.behind_for(now).is_some_and(|behind| behind > bound)
    }

    /// Records that a source was busy. `hosts` is the number of hosts that may be waiting for it.
    pub fn record_busy(&mut self, now: Time, source: SocketAddr, hosts: usize, chance: f64) {
        let spread_ms = BUSY_SPREAD_MS.max(BUSY_SPREAD_PER_HOST_MS * hosts as f64);
        let pause = Duration::from_millis(BUSY_RETRY_MS + (spread_ms * chance) as u64);
        self.busy_until.insert(source, now + pause);
    }

    /// Records a failed fetch from a source.
    pub fn record_failure(&mut self, now: Time, source: SocketAddr, fault: Fault) {
        self.failed_until.insert(source, now + fault.timeout());
    }

    /// Returns the next step. `chance` is a random number from 0 to 1. Near sources are preferred, which saves
    /// bandwidth between data centres, and among those the ones with the newest version, which saves fetching
    /// versions that are replaced soon.
    pub fn next(&mut self, now: Time, holders: &[Holder], chance: f64) -> Step {
        self.busy_until.retain(|_, until| *until > now);
        self.failed_until.retain(|_, until| *until > now);
        let answering: Vec<&Holder> = holders
            .iter()
            .filter(|holder| !self.failed_until.contains_key(&holder.address))
            .collect();
        let Some(nearest) = answering.iter().map(|holder| holder.distance).min() else {
            return Step::Stop;
        };
        let near = answering
            .into_iter()
            .filter(|holder| holder.distance == nearest);
        let near: Vec<&Holder> = near.collect();
        let is_free = |holder: &&&Holder| !self.busy_until.contains_key(&holder.address);
        let free: Vec<&Holder> = near.iter().filter(is_free).copied().collect();
        let Some(newest) = free.iter().map(|holder| holder.version).max() else {
            return Step::Wait(self.time_until_free(now, &near));
        };
        let newest: Vec<&Holder> = free
            .into_iter()
            .filter(|holder| holder.version == newest)
            .collect();
        let index = (newest.len() as f64 * chance) as usize;
        Step::Ask(*newest[index.min(newest.len() - 1)])
    }

    fn time_until_free(&self, now: Time, holders: &[&Holder]) -> Duration {
        let untils = holders
            .iter()
            .filter_map(|holder| self.busy_until.get(&holder.address));
        let first = untils.min().copied().unwrap_or(now);
        first.since(now)
    }
}

#[cfg(test)]
mod tests;
