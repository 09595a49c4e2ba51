//! How fast each upstream works, relative to what is usual for its service.
//!
//! Answers load on upstreams of unequal speed: placed by their load alone, requests go as often to an upstream that
//! takes twice as long, whose streams pause, hold memory for longer and are cut more often when it leaves.
//!
//! A host compares the time of each piece of work with the usual one beside as many requests ([`usual`]) and keeps
//! the mean deviation of each upstream ([`evidence`]). The deviations are measured from the median upstream's, so
//! none is compared with itself. Hosts of a data centre tell each other of what they observed themselves
//! ([`announced`]); what they tell is kept by host, so nothing counts twice.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;

use self::announced::PeerSpeeds;
use self::evidence::Evidence;
use self::usual::UsualTimes;
use crate::clock::Time;
use crate::gateway::instance::InstanceKey;
use crate::id::HostId;
use crate::id::ServiceId;

mod announced;
mod evidence;
mod usual;

pub use self::announced::AnnouncedSpeed;
pub use self::announced::SpeedReport;

/// Weight of the assumption that an upstream is usual, in observations.
const PRIOR_WEIGHT: f64 = 2.0;
/// Factors up to this count as 1: choices among upstreams that are alike stay as they are.
const ALIKE_FACTOR: f64 = 1.25;
/// Factors from this count as they are; in between they count in part.
const DISTINCT_FACTOR: f64 = 1.5;
/// Largest factor that is believed, either way.
const FACTOR_MAX: f64 = 4.0;
/// What is believed of an upstream holds for this time after the last observation and fades until
/// [`FADED_AFTER`]. One that gets no requests for its slowness is so tried again.
const FADES_AFTER: Duration = Duration::from_secs(10);
/// Time after the last observation from which an upstream counts as usual.
const FADED_AFTER: Duration = Duration::from_secs(15);
/// Time after the last observation from which nothing is kept of an upstream.
const KEPT_FOR: Duration = Duration::from_secs(60);
/// Shortest time between two computations of a service's median.
const CENTRE_INTERVAL_MIN: Duration = Duration::from_millis(250);
/// Time between two computations of a service's median for each upstream, which bounds their cost.
const CENTRE_INTERVAL_PER_UPSTREAM: Duration = Duration::from_millis(2);
/// Weight of an upstream's evidence from which it counts for the median.
const CENTRE_WEIGHT_MIN: f64 = 0.5;
/// Factor from which an upstream is logged as slow.
const SLOW_FACTOR: f64 = 1.5;
/// Factor up to which one that was logged as slow is logged as usual again.
const USUAL_FACTOR: f64 = 1.2;
/// Weight of evidence from which an upstream is logged as slow.
const SLOW_WEIGHT_MIN: f64 = 3.0;
/// Shortest time between two announcements of an upstream while the belief changes.
const ANNOUNCE_INTERVAL_MIN: Duration = Duration::from_secs(1);
/// Time between two announcements of an upstream that is still observed and whose belief stays: below
/// [`FADES_AFTER`], so that it doesn't fade at the receivers.
const RENEW_INTERVAL: Duration = Duration::from_secs(8);
/// Change of a believed deviation that is announced without waiting for the renewal.
const ANNOUNCED_CHANGE_MIN: f64 = 0.1;
/// Speeds in one datagram, of about 11 bytes each.
pub(crate) const ANNOUNCED_MAX: usize = 16;

/// How much longer an upstream takes than what is usual for its service: 1 for a usual one, 2 for one that takes
/// twice as long.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Slowness {
    /// For reading a prompt token.
    pub prefill: f64,
    /// For generating a token.
    pub decode: f64,
    /// For a call of a plain service, without what the upstream reports of its machine at present.
    pub call: f64,
    /// Expected time between two events of its streams beside one request more, if known.
    pub event_time: Option<Duration>,
}

impl Default for Slowness {
    fn default() -> Self {
        Slowness {
            prefill: 1.0,
            decode: 1.0,
            call: 1.0,
            event_time: None,
        }
    }
}

impl Slowness {
    /// The slowness of an engine while its machine takes `reported` times the usual time.
    #[must_use]
    pub(crate) fn at_present(self, reported: f64) -> Self {
        Slowness {
            prefill: self.prefill * reported,
            decode: self.decode * reported,
            ..self
        }
    }

    fn largest(self) -> f64 {
        self.prefill.max(self.decode).max(self.call)
    }
}

/// A kind of work that upstreams do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Work {
    /// Reading a prompt token.
    Prefill,
    /// Generating a token.
    Decode,
    /// A call of a plain service.
    Call,
}

impl Work {
    const ALL: [Work; 3] = [Work::Prefill, Work::Decode, Work::Call];
}

/// A value for each kind of work.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
struct PerWork<T>([T; 3]);

impl<T> PerWork<T> {
    fn get(&self, work: Work) -> &T {
        &self.0[work as usize]
    }

    fn get_mut(&mut self, work: Work) -> &mut T {
        &mut self.0[work as usize]
    }
}

/// The time that an upstream took for a piece of work.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Observation {
    /// What it did.
    pub(crate) work: Work,
    /// Requests that ran there, this one included.
    pub(crate) requests: u32,
    /// Time for each token or call, without what the upstream reported of its machine then.
    pub(crate) unit_s: f64,
}

/// A change of what is believed of an upstream.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum SpeedChange {
    /// It works slowly.
    Slow(Slowness),
    /// It was slow and is usual again, or hasn't been observed for long.
    Usual(Slowness),
}

/// What this host observed of one upstream.
#[derive(Debug)]
struct Observed {
    service: ServiceId,
    evidence: PerWork<Evidence>,
    at: Time,
    is_slow: bool,
    announced: PerWork<SpeedReport>,
    announced_at: Option<Time>,
    /// Key of its entry among those due for announcement.
    due_at: Option<Time>,
}

/// What is usual for one service.
#[derive(Debug, Default)]
struct ServiceSpeeds {
    usual: PerWork<UsualTimes>,
    /// The deviation of the median upstream.
    centre: PerWork<f64>,
    centred_at: Option<Time>,
    upstreams: BTreeSet<InstanceKey>,
}

/// What is believed of one kind of work of an upstream.
#[derive(Debug, Clone, Copy, Default)]
struct Belief {
    weight: f64,
    /// Logarithm of the factor.
    deviation: f64,
}

impl Belief {
    /// The factor by which placement reckons, when the last observation is `age` old.
    fn factor(self, age: Duration) -> f64 {
        let shrunk = self.deviation * self.weight / (self.weight + PRIOR_WEIGHT);
        let fade = FADED_AFTER.saturating_sub(age).as_secs_f64()
            / (FADED_AFTER - FADES_AFTER).as_secs_f64();
        let limit = FACTOR_MAX.ln();
        distinct(shrunk.clamp(-limit, limit) * fade.min(1.0)).exp()
    }
}

/// `deviation` without what may be chance: 0 up to [`ALIKE_FACTOR`], all from [`DISTINCT_FACTOR`].
fn distinct(deviation: f64) -> f64 {
    let (alike, distinct) = (ALIKE_FACTOR.ln(), DISTINCT_FACTOR.ln());
    let share = (deviation.abs() - alike) / (distinct - alike);
    deviation * share.clamp(0.0, 1.0)
}

/// The speeds of all upstreams as known to this host.
#[derive(Debug, Default)]
pub(crate) struct Speeds {
    services: HashMap<ServiceId, ServiceSpeeds>,
    observed: HashMap<InstanceKey, Observed>,
    peers: PeerSpeeds,
    /// Upstreams to announce, by the time from which they are due.
    due: BTreeSet<(Time, InstanceKey)>,
}

impl Speeds {
    /// Records an observation of an upstream of `service`.
    pub(crate) fn record(
        &mut self,
        now: Time,
        service: &ServiceId,
        upstream: InstanceKey,
        observation: Observation,
    ) -> Option<SpeedChange> {
        let work = observation.work;
        let level = observation.unit_s.ln();
        if !level.is_finite() {
            return None;
        }
        self.centre(now, service);
        let of_service = self.services.entry(service.clone()).or_default();
        of_service.upstreams.insert(upstream);
        let observed = self.observed.entry(upstream).or_insert_with(|| Observed {
            service: service.clone(),
            evidence: PerWork::default(),
            at: now,
            is_slow: false,
            announced: PerWork::default(),
            announced_at: None,
            due_at: None,
        });
        let evidence = observed.evidence.get_mut(work);
        let centre = *of_service.centre.get(work);
        let known = if evidence.is_empty() {
            centre
        } else {
            evidence.mean
        };
        let usual = of_service.usual.get_mut(work);
        let expected = usual.expected(observation.requests);
        let deviation = expected.map_or(known, |expected| level - expected);
        usual.record(observation.requests, level - known);
        evidence.record(now, deviation, centre);
        observed.at = now;
        self.schedule(now, upstream);
        self.change(now, upstream)
    }

    /// How slow an upstream is.
    pub(crate) fn slowness(&self, now: Time, upstream: InstanceKey) -> Slowness {
        let factor = |work| {
            let (belief, at) = self.belief(now, upstream, work);
            at.map_or(1.0, |at| belief.factor(now.since(at)))
        };
        Slowness {
            prefill: factor(Work::Prefill),
            decode: factor(Work::Decode),
            call: factor(Work::Call),
            event_time: None,
        }
    }

    /// The expected time of a token at a usual upstream of `service` where `requests` run.
    pub(crate) fn usual_token_time(&self, service: &ServiceId, requests: u32) -> Option<Duration> {
        let of_service = self.services.get(service)?;
        let usual = of_service.usual.get(Work::Decode).expected(requests)?;
        let usual = usual + of_service.centre.get(Work::Decode);
        Duration::try_from_secs_f64(usual.exp()).ok()
    }

    /// Number of upstreams that are taken for slow.
    pub(crate) fn count_slow(&self) -> usize {
        self.observed.values().filter(|one| one.is_slow).count()
    }

    /// The speeds to announce to the hosts of the data centre: those that changed or are due, the oldest first.
    pub(crate) fn announce(&mut self, now: Time) -> Vec<AnnouncedSpeed> {
        let mut announced = Vec::new();
        while announced.len() < ANNOUNCED_MAX {
            match self.due.first() {
                Some((due_at, _)) if *due_at <= now => {}
                Some(_) | None => break,
            }
            let Some((_, upstream)) = self.due.pop_first() else {
                break;
            };
            let reports = self.own_reports(now, upstream);
            if let Some(observed) = self.observed.get_mut(&upstream) {
                observed.due_at = None;
                observed.announced = reports;
                observed.announced_at = Some(now);
                announced.push(AnnouncedSpeed::new(upstream, reports));
            }
        }
        announced
    }

    /// Takes in what a host announces of its own observations; it replaces what that host announced before.
    pub(crate) fn receive(&mut self, now: Time, host: &HostId, announced: &[AnnouncedSpeed]) {
        for speed in announced {
            self.peers.receive(now, host, speed);
        }
    }

    /// Forgets what is old. Returns the upstreams that are no longer taken for slow.
    pub(crate) fn expire(&mut self, now: Time) -> Vec<(InstanceKey, SpeedChange)> {
        self.peers.expire(now);
        let slow = self.observed.iter().filter(|(_, one)| one.is_slow);
        let slow: Vec<InstanceKey> = slow.map(|(key, _)| *key).collect();
        let changes = slow
            .into_iter()
            .filter_map(|key| Some((key, self.change(now, key)?)))
            .collect();
        let is_old = |one: &Observed| now.since(one.at) >= KEPT_FOR;
        for (key, old) in self.observed.extract_if(|_, one| is_old(one)) {
            if let Some(due_at) = old.due_at {
                self.due.remove(&(due_at, key));
            }
            if let Some(of_service) = self.services.get_mut(&old.service) {
                of_service.upstreams.remove(&key);
            }
        }
        changes
    }

    /// What is believed of an upstream's work, and when it was last observed here or told of.
    fn belief(&self, now: Time, upstream: InstanceKey, work: Work) -> (Belief, Option<Time>) {
        let (own, own_at) = self.own_belief(now, upstream, work);
        let (told, told_at) = self.peers.belief(upstream, work);
        let weight = own.weight + told.weight;
        let belief = match weight > 0.0 {
            true => Belief {
                weight,
                deviation: (own.deviation * own.weight + told.deviation * told.weight) / weight,
            },
            false => Belief::default(),
        };
        (belief, own_at.max(told_at))
    }

    fn own_belief(&self, now: Time, upstream: InstanceKey, work: Work) -> (Belief, Option<Time>) {
        let Some(observed) = self.observed.get(&upstream) else {
            return (Belief::default(), None);
        };
        let evidence = observed.evidence.get(work);
        if evidence.is_empty() {
            return (Belief::default(), None);
        }
        let of_service = self.services.get(&observed.service);
        let centre = of_service.map_or(0.0, |of_service| *of_service.centre.get(work));
        let belief = Belief {
            weight: evidence.weight(now),
            deviation: evidence.mean - centre,
        };
        (belief, Some(evidence.at))
    }

    fn own_reports(&self, now: Time, upstream: InstanceKey) -> PerWork<SpeedReport> {
        let report = |work| SpeedReport::new(self.own_belief(now, upstream, work).0);
        PerWork(Work::ALL.map(report))
    }

    /// Sets when an upstream that was just observed is announced.
    fn schedule(&mut self, now: Time, upstream: InstanceKey) {
        let reports = self.own_reports(now, upstream);
        let Some(observed) = self.observed.get_mut(&upstream) else {
            return;
        };
        let is_changed = Work::ALL.into_iter().any(|work| {
            let before = observed.announced.get(work).belief();
            let after = reports.get(work).belief();
            (after.deviation - before.deviation).abs() >= ANNOUNCED_CHANGE_MIN
        });
        let interval = match is_changed {
            true => ANNOUNCE_INTERVAL_MIN,
            false => RENEW_INTERVAL,
        };
        let due_at = observed.announced_at.map_or(now, |at| at + interval);
        let due_at = observed.due_at.map_or(due_at, |before| before.min(due_at));
        if let Some(before) = observed.due_at.replace(due_at) {
            self.due.remove(&(before, upstream));
        }
        self.due.insert((due_at, upstream));
    }

    /// Whether what is believed of an upstream has just become slow or usual.
    fn change(&mut self, now: Time, upstream: InstanceKey) -> Option<SpeedChange> {
        let slowness = self.slowness(now, upstream);
        let weights = Work::ALL.map(|work| self.belief(now, upstream, work).0.weight);
        let is_known = weights.into_iter().any(|weight| weight >= SLOW_WEIGHT_MIN);
        let observed = self.observed.get_mut(&upstream)?;
        let change = match observed.is_slow {
            false if is_known && slowness.largest() >= SLOW_FACTOR => SpeedChange::Slow(slowness),
            true if slowness.largest() <= USUAL_FACTOR => SpeedChange::Usual(slowness),
            false | true => return None,
        };
        observed.is_slow = matches!(change, SpeedChange::Slow(_));
        Some(change)
    }

    /// Computes the deviation of a service's median upstream, unless that was done recently.
    fn centre(&mut self, now: Time, service: &ServiceId) {
        let Some(of_service) = self.services.get_mut(service) else {
            return;
        };
        let count = u32::try_from(of_service.upstreams.len()).unwrap_or(u32::MAX);
        let interval = CENTRE_INTERVAL_MIN.max(CENTRE_INTERVAL_PER_UPSTREAM.saturating_mul(count));
        let last = of_service.centred_at;
        if last.is_some_and(|last| now.since(last) < interval) {
            return;
        }
        of_service.centred_at = Some(now);
        for work in Work::ALL {
            let upstreams = of_service.upstreams.iter();
            let evidence = upstreams.filter_map(|key| self.observed.get(key));
            let evidence = evidence.map(|observed| observed.evidence.get(work));
            let known = evidence.filter(|evidence| evidence.weight(now) >= CENTRE_WEIGHT_MIN);
            let deviations: Vec<f64> = known.map(|evidence| evidence.mean).collect();
            if let Some(median) = median(deviations) {
                *of_service.centre.get_mut(work) = median;
            }
        }
    }
}

/// The median; for an even number the mean of the two in the middle.
fn median(mut values: Vec<f64>) -> Option<f64> {
    values.sort_by(f64::total_cmp);
    let middle = values.len() / 2;
    let upper = *values.get(middle)?;
    match values.len() % 2 {
        0 => Some((values[middle - 1] + upper) / 2.0),
        _ => Some(upper),
    }
}

#[cfg(test)]
mod tests;
