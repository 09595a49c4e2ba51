//! What hosts of a data centre tell each other of the speed of upstreams.
//!
//! A host announces only its own observations, and each receiver keeps them by host: a later announcement replaces
//! the one before, so that none counts twice however often it is sent.

use std::collections::HashMap;
use std::collections::VecDeque;

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

use super::Belief;
use super::FADED_AFTER;
use super::PerWork;
use super::Work;
use crate::clock::Time;
use crate::gateway::instance::InstanceKey;
use crate::id::HostId;

/// Steps of an announced deviation for a factor of e: 3% each.
const DEVIATION_STEPS: f64 = 32.0;
/// Steps of an announced weight for one observation.
const WEIGHT_STEPS: f64 = 8.0;

/// What a host believes of one kind of work from its own observations, in two bytes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SpeedReport {
    /// Logarithm of the factor, in steps of 1/32.
    pub deviation: i8,
    /// Weight of the observations, in steps of an eighth of one; 0 for none.
    pub weight: u8,
}

impl SpeedReport {
    pub(super) fn new(belief: Belief) -> Self {
        SpeedReport {
            deviation: (belief.deviation * DEVIATION_STEPS).round() as i8,
            weight: (belief.weight * WEIGHT_STEPS).round() as u8,
        }
    }

    pub(super) fn belief(self) -> Belief {
        Belief {
            deviation: f64::from(self.deviation) / DEVIATION_STEPS,
            weight: f64::from(self.weight) / WEIGHT_STEPS,
        }
    }
}

/// What the sending host observed itself of the speed of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnnouncedSpeed {
    /// The upstream.
    pub upstream: InstanceKey,
    /// How it reads prompts.
    pub prefill: SpeedReport,
    /// How it generates.
    pub decode: SpeedReport,
    /// How it answers calls.
    pub call: SpeedReport,
}

impl AnnouncedSpeed {
    pub(super) fn new(upstream: InstanceKey, reports: PerWork<SpeedReport>) -> Self {
        AnnouncedSpeed {
            upstream,
            prefill: *reports.get(Work::Prefill),
            decode: *reports.get(Work::Decode),
            call: *reports.get(Work::Call),
        }
    }

    fn reports(&self) -> PerWork<SpeedReport> {
        PerWork([self.prefill, self.decode, self.call])
    }
}

/// Sum of the reports of all hosts on one kind of work, in whole steps so that subtraction is exact.
#[derive(Debug, Clone, Copy, Default)]
struct Sum {
    weight: u32,
    deviation: i32,
}

impl Sum {
    fn add(&mut self, report: SpeedReport) {
        self.weight += u32::from(report.weight);
        self.deviation += i32::from(report.deviation) * i32::from(report.weight);
    }

    fn subtract(&mut self, report: SpeedReport) {
        self.weight -= u32::from(report.weight);
        self.deviation -= i32::from(report.deviation) * i32::from(report.weight);
    }
}

/// A hash that stands for a host's name.
type HostKey = u64;

/// What other hosts told of one upstream.
#[derive(Debug, Default)]
struct Told {
    by_host: HashMap<HostKey, (Time, PerWork<SpeedReport>)>,
    sums: PerWork<Sum>,
    at: Time,
}

/// What other hosts told of all upstreams.
#[derive(Debug, Default)]
pub(super) struct PeerSpeeds {
    upstreams: HashMap<InstanceKey, Told>,
    /// Announcements in the order in which they came.
    arrivals: VecDeque<(Time, InstanceKey, HostKey)>,
}

impl PeerSpeeds {
    /// Takes in an announcement of `host`.
    pub(super) fn receive(&mut self, now: Time, host: &HostId, speed: &AnnouncedSpeed) {
        let host = xxh3_64(host.as_str().as_bytes());
        let told = self.upstreams.entry(speed.upstream).or_default();
        let reports = speed.reports();
        let before = told.by_host.insert(host, (now, reports));
        for work in Work::ALL {
            let sum = told.sums.get_mut(work);
            sum.add(*reports.get(work));
            if let Some((_, before)) = &before {
                sum.subtract(*before.get(work));
            }
        }
        told.at = now;
        self.arrivals.push_back((now, speed.upstream, host));
    }

    /// Removes what was not renewed until an upstream counts as usual.
    pub(super) fn expire(&mut self, now: Time) {
        while let Some((at, upstream, host)) = self.arrivals.front().copied() {
            if now.since(at) < FADED_AFTER {
                return;
            }
            self.arrivals.pop_front();
            let Some(told) = self.upstreams.get_mut(&upstream) else {
                continue;
            };
            // A later announcement of the host has an arrival of its own.
            if told.by_host.get(&host).is_none_or(|(last, _)| *last != at) {
                continue;
            }
            if let Some((_, reports)) = told.by_host.remove(&host) {
                for work in Work::ALL {
                    told.sums.get_mut(work).subtract(*reports.get(work));
                }
            }
            if told.by_host.is_empty() {
                self.upstreams.remove(&upstream);
            }
        }
    }

    /// What the hosts together believe of an upstream's work, and when one last told of it.
    pub(super) fn belief(&self, upstream: InstanceKey, work: Work) -> (Belief, Option<Time>) {
        let Some(told) = self.upstreams.get(&upstream) else {
            return (Belief::default(), None);
        };
        let sum = told.sums.get(work);
        if sum.weight == 0 {
            return (Belief::default(), None);
        }
        let mean = f64::from(sum.deviation) / f64::from(sum.weight);
        let belief = Belief {
            weight: f64::from(sum.weight) / WEIGHT_STEPS,
            deviation: mean / DEVIATION_STEPS,
        };
        (belief, Some(told.at))
    }
}
