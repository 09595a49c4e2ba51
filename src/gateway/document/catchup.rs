//! What a host does that knows of a newer configuration than it has in force.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::clock::Time;

/// A source that was busy is asked again after this time, about half of what a transfer of 80 KB takes a
/// link of 10 Mbit/s,
const BUSY_FOR_MS: u64 = 30;
/// and up to so much more, by chance, so that those who wait don't come back together.
const BUSY_SPREAD_MS: f64 = 40.0;
/// and longer where many wait, so that a source is asked some 500 times a second however many there are.
const BUSY_SPREAD_PER_RIVAL_MS: f64 = 2.0;
/// A source that failed is left for others for this time: as long as a host that is frozen or cut off is
/// still heard of.
const UNANSWERED_FOR: Duration = Duration::from_millis(1_000);
/// and one that told what isn't so for much longer, since the same would be fetched again.
const WRONG_FOR: Duration = Duration::from_secs(10);
/// Part of the bound on staleness after which a host that is still behind reads the platform's log itself,
const OVERDUE_PART: f64 = 0.4;
/// and up to so much more of it, by chance: hundreds that read a large document together would take all
/// that the log sends.
const OVERDUE_SPREAD: f64 = 0.2;

/// How far a host that has a version in force stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// In the own data centre, heard a moment ago.
    Near,
    /// In another one, heard a moment ago.
    Far,
    /// Not heard lately.
    Silent,
}

/// A host that has a newer version in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Holder {
    /// Where it serves its peers.
    pub address: SocketAddr,
    /// The version.
    pub version: u64,
    /// How far it stands.
    pub distance: Distance,
}

/// What was wrong with a source.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// It didn't answer, or broke off.
    Unanswered,
    /// It told what isn't so.
    Wrong,
}

impl Fault {
    const fn lasts(self) -> Duration {
        match self {
            Fault::Unanswered => UNANSWERED_FOR,
            Fault::Wrong => WRONG_FOR,
        }
    }
}

/// What to do next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Ask this host.
    Ask(Holder),
    /// All that could be asked are busy.
    Wait(Duration),
    /// Nobody is known to have a newer version and to answer.
    Stop,
}

/// A host's way to the newest version that it knows of.
#[derive(Debug)]
pub struct CatchUp {
    behind_since: Option<Time>,
    busy_until: HashMap<SocketAddr, Time>,
    failed_until: HashMap<SocketAddr, Time>,
    /// Between 0 and 1, this host's place in what is spread.
    chance: f64,
}

impl CatchUp {
    /// A host that knows of nothing newer. `chance`, between 0 and 1, sets it apart from others.
    pub fn new(chance: f64) -> Self {
        CatchUp {
            behind_since: None,
            busy_until: HashMap::new(),
            failed_until: HashMap::new(),
            chance,
        }
    }

    /// Whether a newer version than the one in force is known of now.
    pub fn look(&mut self, now: Time, is_behind: bool) {
        match is_behind {
            true => {
                self.behind_since.get_or_insert(now);
            }
            false => self.behind_since = None,
        }
    }

    /// For how long a newer version has been known of; none if none is.
    pub fn behind_for(&self, now: Time) -> Option<Duration> {
        Some(now.since(self.behind_since?))
    }

    /// Whether the host has been behind for so long that it shall read the log itself.
    pub fn is_overdue(&self, now: Time, staleness_max: Duration) -> bool {
        let part = OVERDUE_PART + OVERDUE_SPREAD * self.chance;
        let bound = staleness_max.mul_f64(part);
        self.behind_for(now).is_some_and(|behind| behind > bound)
    }

    /// A source serves as many as it can. `rivals` is how many hosts may be asking it.
    pub fn was_busy(&mut self, now: Time, source: SocketAddr, rivals: usize, chance: f64) {
        let spread_ms = BUSY_SPREAD_MS.max(BUSY_SPREAD_PER_RIVAL_MS * rivals as f64);
        let pause = Duration::from_millis(BUSY_FOR_MS + (spread_ms * chance) as u64);
        self.busy_until.insert(source, now + pause);
    }

    /// Something was wrong with a source.
    pub fn has_failed(&mut self, now: Time, source: SocketAddr, fault: Fault) {
        self.failed_until.insert(source, now + fault.lasts());
    }

    /// What to do next, with a random number between 0 and 1. Nearer sources go first, so that little
    /// travels between data centres, and of those the ones with the newest version: a version that is
    /// overtaken costs little then.
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
            return Step::Wait(self.until_one_is_free(now, &near));
        };
        let newest: Vec<&Holder> = free
            .into_iter()
            .filter(|holder| holder.version == newest)
            .collect();
        let index = (newest.len() as f64 * chance) as usize;
        Step::Ask(*newest[index.min(newest.len() - 1)])
    }

    fn until_one_is_free(&self, now: Time, holders: &[&Holder]) -> Duration {
        let untils = holders
            .iter()
            .filter_map(|holder| self.busy_until.get(&holder.address));
        let first = untils.min().copied().unwrap_or(now);
        first.since(now)
    }
}

#[cfg(test)]
mod tests;
