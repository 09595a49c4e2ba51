//! Compares the answers of a new version with those of the others on the same routes at the same time.
//!
//! An answer is bad if it failed, or took several times the mean of the other versions' upstreams on its
//! route. Upstreams of any version fail at times and slow down in a surge, so the new version is bad only
//! if its rate of bad answers is far higher than chance allows at the others' rate. A single faulty
//! upstream doesn't make its version bad, so bad answers have to come from several.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::fmt;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

use crate::clock::Time;
use crate::gateway::instance::InstanceKey;
use crate::gateway::loads::ReportSource;
use crate::gateway::position::Position;

/// Answers of this window are judged together.
const WINDOW: Duration = Duration::from_secs(10);
/// Length of the buckets that make up the window.
const BUCKET: Duration = Duration::from_secs(1);
/// Time for which evidence from a peer counts after it was received.
const PEER_EVIDENCE_TTL: Duration = Duration::from_millis(4_000);
/// An answer that takes longer than this multiple of the others' mean is bad.
const SLOW_FACTOR: f64 = 2.5;
/// Shorter means count as this long: what short answers take differs by the network and by whether a connection
/// was open, and a version on trial, which gets few requests, mostly opens new ones.
const MEAN_TIME_MIN: Duration = Duration::from_millis(10);
/// Answers of all hosts to a route that its mean has to rest on.
const BASELINE_ANSWERS_MIN: u32 = 6;
/// A version is bad if the p-value of its bad answers is below this.
const BAD_P_VALUE: f64 = 1e-5;
/// A version is in doubt if the p-value of its bad answers is below this.
const DOUBT_P_VALUE: f64 = 0.002;
/// The trial has to cover every route with at least this fraction of the others' answers.
const ROUTE_SHARE_MIN: f64 = 0.08;
/// Answers of the new version that cover a route.
const ROUTE_ANSWERS_MIN: u32 = 8;
/// Lower limit of the expected rate of bad answers: no version is reverted at a rate up to this one.
const BAD_RATE_FLOOR: f64 = 0.05;
/// Upper limit of the expected rate of bad answers: a version that fails far more often is bad whatever the
/// others' rate is.
const BAD_RATE_CEILING: f64 = 0.5;
/// Standard deviations by which the expected rate exceeds the observed rate of the others.
const BAD_RATE_DEVIATIONS: f64 = 2.0;
/// Upstreams that have to give bad answers before a version is bad, or all of its upstreams if it has
/// fewer.
const BAD_UPSTREAMS_MIN: usize = 3;
/// Upstreams with bad answers that an announcement names.
const BAD_UPSTREAMS_ANNOUNCED: usize = 4;

/// The group of versions that an upstream belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cohort {
    /// All versions but the one on trial.
    Old,
    /// The version on trial.
    New,
}

/// The part of an answer that was timed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Measure {
    /// The whole answer.
    Whole,
    /// The time to the first event of a stream.
    FirstEvent,
    /// The time between the first events of a stream.
    Pace,
}

/// The outcome of a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Outcome {
    /// It was answered within this time.
    Took(Duration),
    /// It failed.
    Failed,
}

/// An answer to a request.
#[derive(Debug, Clone, Copy)]
pub struct Answer<'a> {
    /// The request's route.
    pub route: &'a str,
    /// The upstream that answered.
    pub upstream: InstanceKey,
    /// The upstream's cohort.
    pub cohort: Cohort,
    /// The part that was timed.
    pub measure: Measure,
    /// How it ended.
    pub outcome: Outcome,
}

/// Number of answers, and of bad ones, of one cohort on one route.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    answers: u32,
    bad: u32,
}

impl Tally {
    fn add(&mut self, other: Tally) {
        self.answers += other.answers;
        self.bad += other.bad;
    }
}

/// Tallies of both cohorts on one route.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteTally {
    old: Tally,
    new: Tally,
}

/// Number and total time of answers of the old cohort.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
struct LatencySum {
    answers: u32,
    sum_us: u64,
}

impl LatencySum {
    fn add(&mut self, other: LatencySum) {
        self.answers += other.answers;
        self.sum_us += other.sum_us;
    }

    fn is_slow(&self, time: Duration) -> bool {
        let mean_us = self.sum_us as f64 / f64::from(self.answers.max(1));
        let mean_us = mean_us.max(MEAN_TIME_MIN.as_micros() as f64);
        self.answers >= BASELINE_ANSWERS_MIN && time.as_micros() as f64 > mean_us * SLOW_FACTOR
    }
}

/// The requests and answers of one window.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    requests: u32,
    /// Tallies by a hash of the route's name.
    routes: BTreeMap<u32, RouteTally>,
    times: BTreeMap<(u32, Measure), LatencySum>,
    bad_upstreams: BTreeSet<InstanceKey>,
}

impl Evidence {
    fn add(&mut self, other: &Evidence) {
        self.requests = self.requests.saturating_add(other.requests);
        for (route, tally) in &other.routes {
            let sum = self.routes.entry(*route).or_default();
            sum.old.add(tally.old);
            sum.new.add(tally.new);
        }
        for (measure, times) in &other.times {
            self.times.entry(*measure).or_default().add(*times);
        }
        self.bad_upstreams.extend(&other.bad_upstreams);
    }

    /// Number of answers of the new version.
    pub fn new_answers(&self) -> u32 {
        self.routes.values().map(|tally| tally.new.answers).sum()
    }

    /// Mean rate of requests for the service.
    pub fn requests_per_s(&self) -> f64 {
        f64::from(self.requests) / WINDOW.as_secs_f64()
    }

    /// Returns a judgement if the new version is bad, on one route or on all together. `new_upstreams` is
    /// the number of its upstreams.
    pub fn judge(&self, new_upstreams: usize) -> Option<Judgement> {
        if self.bad_upstreams.len() < BAD_UPSTREAMS_MIN.min(new_upstreams).max(1) {
            return None;
        }
        let most_significant = self.most_significant();
        most_significant.filter(|judgement| judgement.p_value < BAD_P_VALUE)
    }

    /// Whether the new version may be bad: its p-value is below the limit for doubt.
    pub fn is_in_doubt(&self) -> bool {
        let most_significant = self.most_significant();
        most_significant.is_some_and(|judgement| judgement.p_value < DOUBT_P_VALUE)
    }

    /// Whether the new version has answered enough requests on all busy routes.
    pub fn has_covered_routes(&self) -> bool {
        let all = self.total();
        let share_min = f64::from(all.old.answers) * ROUTE_SHARE_MIN;
        let mut busy = self
            .routes
            .values()
            .filter(|it| f64::from(it.old.answers) >= share_min);
        busy.all(|tally| tally.new.answers >= ROUTE_ANSWERS_MIN)
    }

    /// The tallies of all routes together.
    fn total(&self) -> RouteTally {
        let mut all = RouteTally::default();
        for tally in self.routes.values() {
            all.old.add(tally.old);
            all.new.add(tally.new);
        }
        all
    }

    /// The judgement with the lowest p-value, of each route and of all together.
    fn most_significant(&self) -> Option<Judgement> {
        let all = self.total();
        let tallies = self.routes.values().chain([&all]);
        tallies
            .map(judge_tally)
            .min_by(|a, b| a.p_value.total_cmp(&b.p_value))
    }
}

/// Tests the new cohort's bad answers against the rate of the old cohort.
fn judge_tally(tally: &RouteTally) -> Judgement {
    let RouteTally { old, new } = *tally;
    let baseline_bad = f64::from(old.bad) + 1.0;
    let baseline_bad = baseline_bad + BAD_RATE_DEVIATIONS * baseline_bad.sqrt();
    let expected =
        (baseline_bad / (f64::from(old.answers) + 1.0)).clamp(BAD_RATE_FLOOR, BAD_RATE_CEILING);
    let p_value = binomial_tail(new.bad, new.answers, expected);
    Judgement { old, new, p_value }
}

/// Probability of at least `successes` in `trials` independent trials with probability `p` each.
fn binomial_tail(successes: u32, trials: u32, p: f64) -> f64 {
    if successes == 0 || p >= 1.0 {
        return 1.0;
    }
    let trials_f = f64::from(trials);
    let mut ln_term = trials_f * (1.0 - p).ln();
    let mut below = 0.0;
    for success in 0..successes.min(trials) {
        below += ln_term.exp();
        let success = f64::from(success);
        ln_term += ((trials_f - success) / (success + 1.0)).ln() + (p / (1.0 - p)).ln();
    }
    (1.0_f64 - below).max(0.0)
}

/// Tallies of both cohorts, and the p-value of the new cohort's bad answers.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Judgement {
    old: Tally,
    new: Tally,
    p_value: f64,
}

impl fmt::Display for Judgement {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} of {} answers of the new version are bad, {} of {} of the others",
            self.new.bad, self.new.answers, self.old.bad, self.old.answers
        )
    }
}

/// The evidence on one order that a host announces to its peers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnnouncedEvidence {
    /// The position of the order's record.
    pub ordered_at: Position,
    /// The requests and answers of the window.
    pub evidence: Evidence,
}

/// This host's own evidence on one order.
#[derive(Debug, Default)]
struct OrderEvidence {
    buckets: VecDeque<(Time, Evidence)>,
    /// Answer times of the old cohort at all hosts, as of the last [`EvidenceStore::combine`].
    baseline: BTreeMap<(u32, Measure), LatencySum>,
}

impl OrderEvidence {
    fn bucket(&mut self, now: Time) -> &mut Evidence {
        let is_current = |bucket: &(Time, Evidence)| now.since(bucket.0) < BUCKET;
        if !self.buckets.back().is_some_and(is_current) {
            self.buckets.push_back((now, Evidence::default()));
            while self
                .buckets
                .front()
                .is_some_and(|(began, _)| now.since(*began) >= WINDOW)
            {
                self.buckets.pop_front();
            }
        }
        let (_, evidence) = self.buckets.back_mut().expect("a bucket was just added");
        evidence
    }

    fn sum(&self, now: Time) -> Evidence {
        let mut sum = Evidence::default();
        let buckets = self.buckets.iter();
        for (_, evidence) in buckets.filter(|(began, _)| now.since(*began) < WINDOW) {
            sum.add(evidence);
        }
        sum
    }
}

/// The evidence on all orders: this host's own, and what peers announced.
#[derive(Debug, Default)]
pub struct EvidenceStore {
    local: BTreeMap<Position, OrderEvidence>,
    received: HashMap<ReportSource, (Time, Vec<AnnouncedEvidence>)>,
}

impl EvidenceStore {
    /// Records that a request for the order's service arrived.
    pub fn record_request(&mut self, now: Time, order: Position) {
        self.local.entry(order).or_default().bucket(now).requests += 1;
    }

    /// Records an answer to a request for the order's service.
    pub fn record_answer(&mut self, now: Time, order: Position, answer: &Answer<'_>) {
        let observed = self.local.entry(order).or_default();
        let route = xxh3_64(answer.route.as_bytes()) as u32;
        let is_bad = match answer.outcome {
            Outcome::Failed => true,
            Outcome::Took(time) => {
                let times = observed.baseline.get(&(route, answer.measure));
                times.is_some_and(|times| times.is_slow(time))
            }
        };
        let bucket = observed.bucket(now);
        if let (Outcome::Took(time), Cohort::Old) = (answer.outcome, answer.cohort) {
            let times = bucket.times.entry((route, answer.measure)).or_default();
            times.add(LatencySum {
                answers: 1,
                sum_us: u64::try_from(time.as_micros()).unwrap_or(u64::MAX),
            });
        }
        let tally = bucket.routes.entry(route).or_default();
        let tally = match answer.cohort {
            Cohort::Old => &mut tally.old,
            Cohort::New => &mut tally.new,
        };
        tally.add(Tally {
            answers: 1,
            bad: u32::from(is_bad),
        });
        if is_bad && answer.cohort == Cohort::New {
            bucket.bad_upstreams.insert(answer.upstream);
        }
    }

    /// Returns this host's own evidence, to be announced to its peers.
    pub fn announce_host(&self, now: Time) -> Vec<AnnouncedEvidence> {
        let local = self
            .local
            .iter()
            .map(|(order, observed)| AnnouncedEvidence {
                ordered_at: *order,
                evidence: truncate_upstreams(observed.sum(now)),
            });
        local.collect()
    }

    /// Returns the evidence of this data centre's hosts, to be announced to other data centres.
    pub fn announce_data_centre(&self, now: Time) -> Vec<AnnouncedEvidence> {
        let is_host = |source: &ReportSource| matches!(source, ReportSource::Host(_));
        let local = self.local.keys().map(|order| AnnouncedEvidence {
            ordered_at: *order,
            evidence: truncate_upstreams(self.sum(now, *order, is_host)),
        });
        local.collect()
    }

    /// Stores the evidence that a host or a data centre announced, in place of its previous one.
    pub fn receive(&mut self, now: Time, source: ReportSource, announced: Vec<AnnouncedEvidence>) {
        self.received.insert(source, (now, announced));
    }

    /// Returns the evidence of this host and of all peers that were received lately. Their answer times of
    /// the old cohort become the baseline for slow answers.
    pub fn combine(&mut self, now: Time, order: Position) -> Evidence {
        let all = self.sum(now, order, |_| true);
        if let Some(observed) = self.local.get_mut(&order) {
            observed.baseline.clone_from(&all.times);
        }
        all
    }

    fn sum(
        &self,
        now: Time,
        order: Position,
        is_counted: impl Fn(&ReportSource) -> bool,
    ) -> Evidence {
        let local = self.local.get(&order);
        let mut sum = local.map(|observed| observed.sum(now)).unwrap_or_default();
        for (source, (received_at, announcements)) in &self.received {
            if now.since(*received_at) >= PEER_EVIDENCE_TTL || !is_counted(source) {
                continue;
            }
            let of_order = announcements.iter().filter(|it| it.ordered_at == order);
            for announced in of_order {
                sum.add(&announced.evidence);
            }
        }
        sum
    }

    /// Drops expired evidence of peers, and this host's own on orders that are not open.
    pub fn retain(&mut self, now: Time, is_open: impl Fn(Position) -> bool) {
        self.local.retain(|order, _| is_open(*order));
        self.received
            .retain(|_, (received_at, _)| now.since(*received_at) < PEER_EVIDENCE_TTL);
    }
}

/// Limits the upstreams that an announcement names, as datagrams have little room.
fn truncate_upstreams(mut evidence: Evidence) -> Evidence {
    while evidence.bad_upstreams.len() > BAD_UPSTREAMS_ANNOUNCED {
        evidence.bad_upstreams.pop_last();
    }
    evidence
}

#[cfg(test)]
mod tests;
