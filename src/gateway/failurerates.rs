//! Upstreams of plain services that fail far more often than their service's others, found from the calls of
//! all hosts of a data centre: one host alone makes too few calls of an upstream to tell.
//!
//! Hosts tell each other how many of their recent calls failed, of the upstreams with failures only, so
//! nothing is told while all is well. What a host tells replaces what it told before. Requests that fail at
//! every upstream raise the rate of all of them and so blame none.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::collections::btree_map::Entry;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::clock::Time;
use crate::gateway::instance::InstanceId;
use crate::gateway::instance::InstanceKey;
use crate::id::HostId;
use crate::id::ServiceId;

/// Time for which a call counts, and so the time within which an upstream that is well is used as before.
const WINDOW: Duration = Duration::from_secs(5);
/// Length of the buckets that make up the window.
const BUCKET: Duration = Duration::from_secs(1);
/// Time for which the counts of another host count after they were received: several rounds of datagrams.
const TOLD_TTL: Duration = Duration::from_secs(4);
/// Upstreams of which a host tells: they take a quarter of a datagram.
const UPSTREAMS_TOLD_MAX: usize = 24;
/// Services of which a host tells.
const SERVICES_TOLD_MAX: usize = 6;
/// Calls that one host can tell of one upstream, so that a wrong count is outweighed by right ones.
const CALLS_TOLD_MAX: u16 = 10;
/// Calls that one host can tell of a service, for the same reason.
const SERVICE_CALLS_TOLD_MAX: u32 = 400;
/// Failures that an upstream needs to be avoided, as many as a single host ejects it for.
const FAILURES_MIN: f64 = 3.0;
/// Standard deviations by which an upstream's failures exceed those expected at the others' rate.
const DEVIATIONS_MIN: f64 = 6.0;
/// Lower limit of the others' rate: no upstream is avoided for a few failures among many calls.
const RATE_FLOOR: f64 = 0.05;
/// An upstream is avoided only if its rate exceeds the others' by this: with less, avoiding it gains little.
const RATE_EXCESS_MIN: f64 = 0.2;
/// Time between two probes of an avoided upstream by all hosts together.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);
/// Shortest time between two probes of an avoided upstream by one host.
const HOST_PROBE_INTERVAL_MIN: Duration = Duration::from_secs(1);

/// Calls that ended, and how many of them failed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallCounts {
    /// Calls that ended.
    pub calls: u16,
    /// Those of them that failed.
    pub failed: u16,
}

impl CallCounts {
    fn add(&mut self, is_failed: bool) {
        self.calls = self.calls.saturating_add(1);
        self.failed = self.failed.saturating_add(u16::from(is_failed));
    }

    /// The same rate of at most [`CALLS_TOLD_MAX`] calls.
    fn capped(self) -> Self {
        let failed = self.failed.min(self.calls);
        match self.calls > CALLS_TOLD_MAX {
            true => CallCounts {
                calls: CALLS_TOLD_MAX,
                failed: (u32::from(failed) * u32::from(CALLS_TOLD_MAX) / u32::from(self.calls))
                    as u16,
            },
            false => CallCounts {
                calls: self.calls,
                failed,
            },
        }
    }
}

/// One host's recent calls of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceCalls {
    /// The service.
    pub service: ServiceId,
    /// The calls of all its upstreams, and those of them that failed.
    pub all: (u32, u32),
    /// The number of its upstreams called.
    pub called: u16,
    /// The calls of upstreams that fail at this host or another.
    pub upstreams: Vec<(InstanceKey, CallCounts)>,
}

/// An upstream is avoided from now on, or no longer.
#[derive(Debug, Clone, PartialEq)]
pub struct FailureChange {
    /// The service.
    pub service: ServiceId,
    /// The upstream's instance.
    pub key: InstanceKey,
    /// Whether it is avoided.
    pub is_avoided: bool,
    /// The calls of it that this host knows of, and those of them that failed.
    pub calls: (u32, u32),
}

/// Counts over the window.
#[derive(Debug, Default)]
struct Counter {
    buckets: VecDeque<(u128, CallCounts)>,
}

fn bucket(now: Time) -> u128 {
    now.since(Time::ZERO).as_millis() / BUCKET.as_millis()
}

impl Counter {
    fn record(&mut self, now: Time, is_failed: bool) {
        let current = bucket(now);
        if self.buckets.back().is_none_or(|(at, _)| *at != current) {
            self.buckets.push_back((current, CallCounts::default()));
        }
        if let Some((_, counts)) = self.buckets.back_mut() {
            counts.add(is_failed);
        }
    }

    fn expire(&mut self, now: Time) {
        let kept = WINDOW.as_millis() / BUCKET.as_millis();
        let current = bucket(now);
        while self
            .buckets
            .front()
            .is_some_and(|(at, _)| at + kept <= current)
        {
            self.buckets.pop_front();
        }
    }

    fn total(&self) -> CallCounts {
        let mut total = CallCounts::default();
        for (_, counts) in &self.buckets {
            total.calls = total.calls.saturating_add(counts.calls);
            total.failed = total.failed.saturating_add(counts.failed);
        }
        total.capped()
    }
}

/// Calls and failures summed over hosts.
#[derive(Debug, Clone, Copy, Default)]
struct Sum {
    calls: f64,
    failed: f64,
}

impl Sum {
    fn add(&mut self, (calls, failed): (u32, u32)) {
        self.calls += f64::from(calls);
        self.failed += f64::from(failed);
    }

    fn without(self, other: Sum) -> Sum {
        Sum {
            calls: (self.calls - other.calls).max(0.0),
            failed: (self.failed - other.failed).max(0.0),
        }
    }

    /// How far the failures exceed those expected at the rate of `others`, in standard deviations; `None` if
    /// they don't count as a fault of the upstream.
    fn deviations_above(self, others: Sum) -> Option<f64> {
        if self.failed < FAILURES_MIN || others.calls < 1.0 {
            return None;
        }
        let calls = self.calls.max(self.failed);
        let failed = self.failed;
        let observed = (others.failed / others.calls).min(1.0);
        let rate = observed.max(RATE_FLOOR);
        if failed / calls < observed + RATE_EXCESS_MIN {
            return None;
        }
        let deviation = (calls * rate * (1.0 - rate)).sqrt();
        // All others fail: no rate is above theirs.
        (deviation > 0.0).then(|| (failed - calls * rate) / deviation)
    }
}

/// What another host told last.
#[derive(Debug)]
struct Told {
    at: Time,
    services: Vec<ServiceCalls>,
}

/// An upstream that is avoided.
#[derive(Debug)]
struct Avoided {
    service: ServiceId,
    next_probe: Time,
}

/// The failures of upstreams, as one host knows them.
#[derive(Debug, Default)]
pub struct FailureRates {
    own: BTreeMap<ServiceId, BTreeMap<InstanceKey, Counter>>,
    told: HashMap<HostId, Told>,
    /// Upstreams with failures at any host, those with most first, as of the last review.
    suspected: Vec<(ServiceId, InstanceKey)>,
    avoided: BTreeMap<InstanceKey, Avoided>,
}

impl FailureRates {
    /// Records the end of a call of this host.
    pub fn record(&mut self, now: Time, service: &ServiceId, upstream: &InstanceId, failed: bool) {
        if !self.own.contains_key(service) {
            self.own.insert(service.clone(), BTreeMap::new());
        }
        if let Some(counters) = self.own.get_mut(service) {
            let counter = counters.entry(upstream.key()).or_default();
            counter.record(now, failed);
        }
    }

    /// Replaces what `host` told before.
    pub fn receive(&mut self, now: Time, host: &HostId, services: Vec<ServiceCalls>) {
        if services.is_empty() {
            self.told.remove(host);
            return;
        }
        let services = services.into_iter().take(SERVICES_TOLD_MAX);
        let bounded = services.map(|mut told| {
            told.all = cap_all(told.all);
            told.upstreams.truncate(UPSTREAMS_TOLD_MAX);
            for (_, counts) in &mut told.upstreams {
                *counts = counts.capped();
            }
            told
        });
        let services = bounded.collect();
        self.told.insert(host.clone(), Told { at: now, services });
    }

    /// What this host tells the others: its calls of the upstreams that fail here or, as others told, there.
    pub fn announce(&self) -> Vec<ServiceCalls> {
        let suspected = self.suspected.iter().take(UPSTREAMS_TOLD_MAX);
        let mut by_service: BTreeMap<&ServiceId, Vec<(InstanceKey, CallCounts)>> = BTreeMap::new();
        for (service, key) in suspected {
            if let Some(own) = self.own.get(service) {
                let counts = own.get(key).map(Counter::total).unwrap_or_default();
                by_service.entry(service).or_default().push((*key, counts));
            }
        }
        let services = by_service.into_iter().take(SERVICES_TOLD_MAX);
        services
            .map(|(service, upstreams)| ServiceCalls {
                service: service.clone(),
                all: self.own_total(service),
                called: self.own_called(service),
                upstreams,
            })
            .collect()
    }

    fn own_total(&self, service: &ServiceId) -> (u32, u32) {
        let counters = self.own.get(service).into_iter().flat_map(BTreeMap::values);
        counters
            .map(Counter::total)
            .fold((0, 0), |(calls, failed), counts| {
                (
                    calls + u32::from(counts.calls),
                    failed + u32::from(counts.failed),
                )
            })
    }

    fn own_called(&self, service: &ServiceId) -> u16 {
        let called = self.own.get(service).map_or(0, BTreeMap::len);
        u16::try_from(called).unwrap_or(u16::MAX)
    }

    /// Whether requests should prefer other upstreams. False also when a probe is due.
    pub fn is_avoided(&self, now: Time, upstream: &InstanceId) -> bool {
        let avoided = self.avoided.get(&upstream.key());
        avoided.is_some_and(|avoided| avoided.next_probe > now)
    }

    /// Whether an upstream fails far more often than its service's others.
    pub fn is_failing(&self, upstream: &InstanceId) -> bool {
        self.avoided.contains_key(&upstream.key())
    }

    /// Number of upstreams that are avoided.
    pub fn count(&self) -> usize {
        self.avoided.len()
    }

    /// Records that a request is sent to an upstream. If it is avoided, this is its probe, and this one of
    /// `hosts` sends the next one only after its share of the time.
    pub fn record_send(&mut self, now: Time, upstream: &InstanceId, hosts: usize) {
        if let Some(avoided) = self.avoided.get_mut(&upstream.key()) {
            avoided.next_probe = now + probe_interval(hosts);
        }
    }

    /// Drops what is too old and decides anew which upstreams are avoided: at most half of the `pool` of a
    /// service. `draw`, a random number from 0 to 1, spreads the first probes of the `hosts`.
    pub fn review(
        &mut self,
        now: Time,
        hosts: usize,
        draw: f64,
        pool: impl Fn(&ServiceId) -> usize,
    ) -> Vec<FailureChange> {
        self.expire(now);
        let sums = self.sum();
        let mut failing: BTreeMap<InstanceKey, (ServiceId, Sum)> = BTreeMap::new();
        for (service, sums) in &sums {
            let found = sums.find_failing(pool(service) / 2);
            let found = found.into_iter();
            failing.extend(found.map(|(key, sum)| (key, (service.clone(), sum))));
        }
        let mut suspected: Vec<(u32, ServiceId, InstanceKey)> = Vec::new();
        for (service, sums) in sums {
            let failed = sums
                .upstreams
                .into_iter()
                .filter(|(_, sum)| sum.failed > 0.0);
            suspected.extend(failed.map(|(key, sum)| (sum.failed as u32, service.clone(), key)));
        }
        suspected.sort_by(|left, right| right.cmp(left));
        suspected.truncate(UPSTREAMS_TOLD_MAX);
        let suspected = suspected.into_iter();
        self.suspected = suspected.map(|(_, service, key)| (service, key)).collect();
        self.replace_avoided(now + probe_interval(hosts).mul_f64(draw), failing)
    }

    fn replace_avoided(
        &mut self,
        next_probe: Time,
        failing: BTreeMap<InstanceKey, (ServiceId, Sum)>,
    ) -> Vec<FailureChange> {
        let change = |service: &ServiceId, key: InstanceKey, sum: Sum, is_avoided| FailureChange {
            service: service.clone(),
            key,
            is_avoided,
            calls: (sum.calls.round() as u32, sum.failed as u32),
        };
        let mut changes = Vec::new();
        self.avoided.retain(|key, avoided| {
            let remains = failing.contains_key(key);
            if !remains {
                changes.push(change(&avoided.service, *key, Sum::default(), false));
            }
            remains
        });
        for (key, (service, sum)) in failing {
            if let Entry::Vacant(entry) = self.avoided.entry(key) {
                changes.push(change(&service, key, sum, true));
                entry.insert(Avoided {
                    service,
                    next_probe,
                });
            }
        }
        changes
    }

    fn expire(&mut self, now: Time) {
        self.told.retain(|_, told| now.since(told.at) < TOLD_TTL);
        for counters in self.own.values_mut() {
            counters.retain(|_, counter| {
                counter.expire(now);
                !counter.buckets.is_empty()
            });
        }
        self.own.retain(|_, counters| !counters.is_empty());
    }

    /// The calls of all hosts, of services with failures. A host that tells of a service but not of an
    /// upstream saw no failure there; it counts with as many calls as it made of each of its upstreams on
    /// average, or the sums of an upstream of which the others don't know yet would hold failures only.
    fn sum(&self) -> BTreeMap<ServiceId, ServiceSums> {
        let mut sums: BTreeMap<ServiceId, ServiceSums> = BTreeMap::new();
        let mut untold: BTreeMap<&ServiceId, f64> = BTreeMap::new();
        for told in self.told.values().flat_map(|told| &told.services) {
            let service = sums.entry(told.service.clone()).or_default();
            service.all.add(told.all);
            let calls_each = f64::from(told.all.0) / f64::from(told.called.max(1));
            *untold.entry(&told.service).or_default() += calls_each;
            for (key, counts) in &told.upstreams {
                service.add(*key, *counts).calls -= calls_each;
            }
        }
        for (service, counters) in &self.own {
            let own = self.own_total(service);
            if own.1 == 0 && !sums.contains_key(service) {
                continue;
            }
            let service = sums.entry(service.clone()).or_default();
            service.all.add(own);
            for (key, counter) in counters {
                let counts = counter.total();
                if counts.failed > 0 || service.upstreams.contains_key(key) {
                    service.add(*key, counts);
                }
            }
        }
        for (service, calls) in untold {
            if let Some(service) = sums.get_mut(service) {
                let upstreams = service.upstreams.values_mut();
                upstreams.for_each(|sum| sum.calls += calls);
            }
        }
        sums
    }
}

/// The calls of one service by all hosts.
#[derive(Debug, Default)]
struct ServiceSums {
    all: Sum,
    /// Those of upstreams with failures.
    upstreams: BTreeMap<InstanceKey, Sum>,
}

impl ServiceSums {
    fn add(&mut self, key: InstanceKey, counts: CallCounts) -> &mut Sum {
        let sum = self.upstreams.entry(key).or_default();
        sum.add((u32::from(counts.calls), u32::from(counts.failed)));
        sum
    }

    /// The upstreams that fail far more often than the others, at most `count_max`. The worst is found
    /// first, and those found don't count among the others any more.
    fn find_failing(&self, count_max: usize) -> Vec<(InstanceKey, Sum)> {
        let mut others = self.all;
        let mut found: Vec<(InstanceKey, Sum)> = Vec::new();
        let mut known: BTreeSet<InstanceKey> = BTreeSet::new();
        while found.len() < count_max {
            let left = self
                .upstreams
                .iter()
                .filter(|(key, _)| !known.contains(key));
            let scored = left.filter_map(|(key, sum)| {
                let deviations = sum.deviations_above(others.without(*sum))?;
                (deviations >= DEVIATIONS_MIN).then_some((deviations, *key, *sum))
            });
            let Some((_, key, sum)) = scored.max_by(|left, right| left.0.total_cmp(&right.0))
            else {
                break;
            };
            others = others.without(sum);
            known.insert(key);
            found.push((key, sum));
        }
        found
    }
}

/// The same rate of at most [`SERVICE_CALLS_TOLD_MAX`] calls.
fn cap_all((calls, failed): (u32, u32)) -> (u32, u32) {
    let failed = failed.min(calls);
    match calls > SERVICE_CALLS_TOLD_MAX {
        true => {
            let share = f64::from(failed) / f64::from(calls);
            let capped = f64::from(SERVICE_CALLS_TOLD_MAX) * share;
            (SERVICE_CALLS_TOLD_MAX, capped as u32)
        }
        false => (calls, failed),
    }
}

/// Time between two probes of an avoided upstream by one of `hosts`.
fn probe_interval(hosts: usize) -> Duration {
    let hosts = u32::try_from(hosts).unwrap_or(u32::MAX);
    PROBE_INTERVAL
        .saturating_mul(hosts)
        .max(HOST_PROBE_INTERVAL_MIN)
}

#[cfg(test)]
mod tests;
