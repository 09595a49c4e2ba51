//! Rollouts: move a service's traffic from its current upstreams to those of a new version.
//!
//! A new version may be bad at once, later, under load or on one route only, and hundreds of hosts may
//! learn of that late or not at all. During the trial each host therefore sends the new version a small
//! share of its own requests. These shares stay within the exposure bound without coordination, also across
//! partitions and restarts. The answers of both versions over the same time decide whether the new one is
//! good ([`evidence`]). Before a rollout completes, all new work goes to the new version for a short time, so
//! that the old version is idle when the platform stops it.
//!
//! An order is identified by the position of its record in the log: a later order replaces an earlier one.
//! The stage of an order never moves back, so announcements of peers merge to the same result in any order.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::clock::Time;
use crate::clock::bounded_seconds;
use crate::gateway::position::Position;
use crate::gateway::rollouts::evidence::Evidence;
use crate::gateway::rollouts::evidence::Judgement;
use crate::id::ServiceId;
use crate::id::VersionId;

pub mod evidence;

/// Fraction of the exposure bound that the trial uses.
const TRIAL_BOUND_FRACTION: f64 = 0.5;
/// Fraction of [`ExposureBound::share`] that the trial uses at a host that doesn't know the age of the order.
const TRIAL_BOUND_FRACTION_UNDATED: f64 = 0.2;
/// Fraction of the exposure bound that neither the trial nor the shift uses.
const RESERVED_BOUND_FRACTION: f64 = 0.1;
/// Fraction of the order's duration after which the shift ends.
const SHIFT_END_FRACTION: f64 = 0.8;
/// Fraction of the order's duration after which [`LATE_ANSWERS_MIN`] answers are enough to end the trial.
const TRIAL_END_FRACTION: f64 = 0.92;
/// Fraction of the order's duration after which a version that has not proved good is given up.
const GIVE_UP_FRACTION: f64 = 0.97;
/// Minimum duration of the shift: calls to the old version end in it, and its generations are moved.
const SHIFT_MIN: Duration = Duration::from_millis(300);
/// Maximum duration of the shift.
const SHIFT_MAX: Duration = Duration::from_millis(2_500);
/// Answers of the new version that are needed to end the trial.
const ANSWERS_MIN: u32 = 20;
/// Answers that are needed once [`TRIAL_END_FRACTION`] has passed.
const LATE_ANSWERS_MIN: u32 = 4;

/// Limit on the requests that a bad version may get from all hosts together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ExposureBound {
    /// Fraction of the service's requests during the order's duration.
    pub share: f64,
    /// Number of requests on top of the share.
    pub slack: f64,
}

impl Default for ExposureBound {
    fn default() -> Self {
        ExposureBound {
            share: 0.1,
            slack: 50.0,
        }
    }
}

/// An operator's order to move a service to another version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutOrder {
    /// The version to move the traffic to.
    pub to: VersionId,
    /// Time within which the rollout has to end.
    pub duration: Duration,
}

/// A rollout record of the operators' topic.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutRecord {
    /// The service.
    pub service: ServiceId,
    /// The order; none if it was withdrawn or can't be parsed.
    pub order: Option<RolloutOrder>,
    /// Why the record can't be parsed.
    pub flaw: Option<String>,
}

/// Progress of an order. Stages are ordered: a later one replaces an earlier one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Stage {
    /// The new version gets a small share of the requests.
    Trial,
    /// All new work goes to the new version.
    Shift,
    /// The new version gets no work; this has not been reported to operators yet.
    Reverting,
    /// The new version gets no work, and operators know it.
    Reverted,
    /// All work goes to the new version, and operators may stop the old one.
    Complete,
    /// Operators have withdrawn the order.
    Withdrawn,
}

impl Stage {
    /// The stage's name in logs.
    pub const fn name(self) -> &'static str {
        match self {
            Stage::Trial => "trial",
            Stage::Shift => "shift",
            Stage::Reverting => "reverting",
            Stage::Reverted => "reverted",
            Stage::Complete => "complete",
            Stage::Withdrawn => "withdrawn",
        }
    }

    /// Whether the order has neither ended nor been withdrawn.
    pub const fn is_open(self) -> bool {
        matches!(self, Stage::Trial | Stage::Shift | Stage::Reverting)
    }
}

/// State of a rollout as hosts announce it to each other.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnnouncedRollout {
    /// The service.
    pub service: ServiceId,
    /// The position of the order's record.
    pub ordered_at: Position,
    /// The new version.
    pub to: VersionId,
    /// Time within which the rollout has to end, in milliseconds.
    pub duration_ms: u32,
    /// Time since the order in milliseconds, if known.
    pub age_ms: Option<u32>,
    /// Its progress.
    pub stage: Stage,
    /// Versions of earlier orders that never proved good and get no work.
    pub barred: BTreeSet<VersionId>,
}

/// A rollout that is new or has reached another stage.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutChange {
    /// The service.
    pub service: ServiceId,
    /// The position of the order's record.
    pub ordered_at: Position,
    /// The new version.
    pub to: VersionId,
    /// Its progress.
    pub stage: Stage,
    /// Whether this host did not know the order before.
    pub is_new: bool,
}

/// The group of upstreams that a request may go to during a trial.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Track {
    /// Upstreams of versions that are neither on trial nor barred.
    Stable,
    /// Upstreams of the version on trial.
    Trial,
}

/// The next step of an order.
#[derive(Debug, Clone, PartialEq)]
pub enum DueStep {
    /// No step is due.
    Nothing,
    /// Send all new work to the new version.
    Shift,
    /// Report to operators that the rollout is complete.
    Complete,
    /// Stop sending work to the new version, which is bad for this reason, and report it to operators.
    Revert(String),
    /// Revert the version for this reason: it has not proved good in time. Each host may decide
    /// [`DueStep::Revert`] alone, but not this, as a host that receives from few others has little
    /// evidence.
    GiveUp(String),
}

/// This host's state of one order.
#[derive(Debug, Clone)]
pub struct Rollout {
    service: ServiceId,
    ordered_at: Position,
    to: VersionId,
    duration: Duration,
    learnt_at: Time,
    /// Age of the order at `learnt_at`; none if unknown.
    age_when_learnt: Option<Duration>,
    stage: Stage,
    stage_since: Time,
    barred: BTreeSet<VersionId>,
    /// Requests that this host may send to the version on trial; none before the first request of the
    /// service.
    trial_credit: Option<f64>,
}

impl Rollout {
    fn new(now: Time, announced: &AnnouncedRollout, barred: BTreeSet<VersionId>) -> Self {
        Rollout {
            service: announced.service.clone(),
            ordered_at: announced.ordered_at,
            to: announced.to.clone(),
            duration: Duration::from_millis(u64::from(announced.duration_ms)),
            learnt_at: now,
            age_when_learnt: announced.age_ms.map(duration_from_ms),
            stage: announced.stage,
            stage_since: now,
            barred,
            trial_credit: None,
        }
    }

    /// The service.
    pub fn service(&self) -> &ServiceId {
        &self.service
    }

    /// The position of the order's record.
    pub fn ordered_at(&self) -> Position {
        self.ordered_at
    }

    /// The new version.
    pub fn to(&self) -> &VersionId {
        &self.to
    }

    /// Its progress.
    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// When all new work began to go to the new version; none if it doesn't.
    pub fn shifted_since(&self) -> Option<Time> {
        matches!(self.stage, Stage::Shift | Stage::Complete).then_some(self.stage_since)
    }

    /// Whether the age of the order is known.
    pub fn is_dated(&self) -> bool {
        self.age_when_learnt.is_some()
    }

    /// Time since the order, or since this host learnt of it if the order's age is unknown.
    pub fn age(&self, now: Time) -> Duration {
        now.since(self.learnt_at) + self.age_when_learnt.unwrap_or_default()
    }

    /// Whether the order lets an upstream of `version` get a request on `track`.
    pub fn allows(&self, version: &VersionId, track: Track) -> bool {
        if self.barred.contains(version) {
            return false;
        }
        let is_new = *version == self.to;
        match (self.stage, track) {
            (Stage::Trial, Track::Trial) => is_new,
            (Stage::Trial, Track::Stable) | (Stage::Reverting | Stage::Reverted, _) => !is_new,
            (Stage::Shift | Stage::Complete, _) => is_new,
            (Stage::Withdrawn, _) => true,
        }
    }

    /// Whether upstreams of `version` may serve once no upstream of the ordered version is listed any more: the
    /// rollout is complete, and the version was never tried without success.
    pub fn allows_without_order(&self, version: &VersionId) -> bool {
        self.stage == Stage::Complete && !self.barred.contains(version)
    }

    fn announce(&self, now: Time) -> AnnouncedRollout {
        let ms = |time: Duration| u32::try_from(time.as_millis()).unwrap_or(u32::MAX);
        AnnouncedRollout {
            service: self.service.clone(),
            ordered_at: self.ordered_at,
            to: self.to.clone(),
            duration_ms: ms(self.duration),
            age_ms: self.is_dated().then(|| ms(self.age(now))),
            stage: self.stage,
            barred: self.barred.clone(),
        }
    }

    fn to_change(&self, is_new: bool) -> RolloutChange {
        RolloutChange {
            service: self.service.clone(),
            ordered_at: self.ordered_at,
            to: self.to.clone(),
            stage: self.stage,
            is_new,
        }
    }

    /// Merges an announcement of the same order. Returns whether the stage advanced.
    fn merge(&mut self, now: Time, announced: &AnnouncedRollout) -> bool {
        if let Some(age) = announced.age_ms.map(duration_from_ms) {
            // An announced age lacks the time that its datagram took, so the highest one is the most
            // accurate.
            let known = self.is_dated().then(|| self.age(now));
            self.age_when_learnt = Some(age.max(known.unwrap_or_default()));
            self.learnt_at = now;
        }
        self.barred.extend(announced.barred.iter().cloned());
        self.advance(now, announced.stage)
    }

    /// Moves to `stage` if it is a later one. Returns whether it is.
    fn advance(&mut self, now: Time, stage: Stage) -> bool {
        let advances = stage > self.stage;
        if advances {
            self.stage = stage;
            self.stage_since = now;
        }
        advances
    }

    /// Fraction of this host's requests that the new version gets during the trial.
    fn trial_share(&self, bound: ExposureBound) -> f64 {
        let fraction = match self.is_dated() {
            true => TRIAL_BOUND_FRACTION,
            false => TRIAL_BOUND_FRACTION_UNDATED,
        };
        bound.share * fraction
    }

    /// Time for which the new version may get `requests_per_s` until the rest of the exposure bound is used
    /// up.
    fn shift_duration(&self, bound: ExposureBound, requests_per_s: f64) -> Duration {
        let bound_requests =
            bound.share * requests_per_s * self.duration.as_secs_f64() + bound.slack;
        let trial_requests = self.trial_share(bound) * requests_per_s * self.duration.as_secs_f64()
            + bound.slack * TRIAL_BOUND_FRACTION;
        let left = bound_requests * (1.0 - RESERVED_BOUND_FRACTION) - trial_requests;
        let seconds = (left / requests_per_s.max(1.0)).max(0.0);
        bounded_seconds(seconds).clamp(SHIFT_MIN, SHIFT_MAX)
    }

    /// Returns the step that is due. `evidence` is that of all hosts from which this one receives,
    /// `judgement` is its result, and `new_upstreams` counts the upstreams of the new version that take
    /// work.
    pub fn due_step(
        &self,
        now: Time,
        bound: ExposureBound,
        evidence: &Evidence,
        judgement: Option<&Judgement>,
        new_upstreams: usize,
    ) -> DueStep {
        if let (Stage::Trial | Stage::Shift, Some(judgement)) = (self.stage, judgement) {
            return DueStep::Revert(judgement.to_string());
        }
        let age = self.age(now);
        let shift_duration = self.shift_duration(bound, evidence.requests_per_s());
        let give_up_at = self.duration.mul_f64(GIVE_UP_FRACTION);
        match self.stage {
            Stage::Trial => {
                let answers = evidence.new_answers();
                let shift_at = self
                    .duration
                    .mul_f64(SHIFT_END_FRACTION)
                    .saturating_sub(shift_duration);
                let trial_end = self.duration.mul_f64(TRIAL_END_FRACTION);
                let has_enough_answers = answers >= ANSWERS_MIN && evidence.has_covered_routes();
                let in_doubt = evidence.is_in_doubt();
                let is_due = age >= shift_at && has_enough_answers && new_upstreams > 0
                    || age >= trial_end && answers >= LATE_ANSWERS_MIN;
                if is_due && !in_doubt {
                    DueStep::Shift
                } else if age < give_up_at {
                    DueStep::Nothing
                } else {
                    DueStep::GiveUp(format!(
                        "not proved good near the deadline: \
                         {answers} answers from {new_upstreams} upstreams"
                    ))
                }
            }
            Stage::Shift if now.since(self.stage_since) < shift_duration => DueStep::Nothing,
            Stage::Shift if !evidence.is_in_doubt() => DueStep::Complete,
            Stage::Shift if age >= give_up_at => {
                DueStep::GiveUp("still in doubt near the deadline".to_owned())
            }
            Stage::Reverting => DueStep::Revert("judged bad earlier".to_owned()),
            Stage::Shift | Stage::Reverted | Stage::Complete | Stage::Withdrawn => DueStep::Nothing,
        }
    }
}

fn duration_from_ms(ms: u32) -> Duration {
    Duration::from_millis(u64::from(ms))
}

/// The exposure bound and the hosts that divide its slack among them.
#[derive(Debug, Clone, Copy)]
pub struct TrialBudget {
    /// The bound for all hosts together.
    pub bound: ExposureBound,
    /// Number of hosts.
    pub hosts: usize,
}

/// The newest order of each service.
#[derive(Debug, Default)]
pub struct Rollouts {
    by_service: BTreeMap<ServiceId, Rollout>,
    /// Counts changes that this host did not learn from a peer.
    local_changes: u64,
}

impl Rollouts {
    /// The newest order for a service.
    pub fn get(&self, service: &ServiceId) -> Option<&Rollout> {
        self.by_service.get(service)
    }

    /// Whether no order is known.
    pub fn is_empty(&self) -> bool {
        self.by_service.is_empty()
    }

    /// The orders that have neither ended nor been withdrawn.
    pub fn open(&self) -> impl Iterator<Item = &Rollout> {
        let all = self.by_service.values();
        all.filter(|rollout| rollout.stage.is_open())
    }

    /// Counts changes that this host did not learn from a peer, and so has to announce at once.
    pub fn local_changes(&self) -> u64 {
        self.local_changes
    }

    /// Returns the state of all orders, to be announced to peers.
    pub fn announce(&self, now: Time) -> Vec<AnnouncedRollout> {
        let all = self.by_service.values();
        all.map(|rollout| rollout.announce(now)).collect()
    }

    /// Merges what a peer announces.
    pub fn receive(&mut self, now: Time, announced: &[AnnouncedRollout]) -> Vec<RolloutChange> {
        announced
            .iter()
            .filter_map(|announced| self.apply(now, announced))
            .collect()
    }

    /// Applies a record of the operators. `is_fresh` says that it was written just now, so the order's age
    /// is zero.
    pub fn apply_record(
        &mut self,
        now: Time,
        record: &RolloutRecord,
        at: Position,
        is_fresh: bool,
    ) -> Option<RolloutChange> {
        let (to, duration, stage) = match &record.order {
            Some(order) => (order.to.clone(), order.duration, Stage::Trial),
            None => (
                self.get(&record.service)?.to.clone(),
                Duration::ZERO,
                Stage::Withdrawn,
            ),
        };
        let announced = AnnouncedRollout {
            service: record.service.clone(),
            ordered_at: at,
            to,
            duration_ms: u32::try_from(duration.as_millis()).unwrap_or(u32::MAX),
            age_ms: is_fresh.then_some(0),
            stage,
            barred: BTreeSet::new(),
        };
        let change = self.apply(now, &announced);
        self.local_changes += u64::from(change.is_some());
        change
    }

    fn apply(&mut self, now: Time, announced: &AnnouncedRollout) -> Option<RolloutChange> {
        let known = self.by_service.get_mut(&announced.service);
        match known {
            Some(known) if known.ordered_at > announced.ordered_at => None,
            Some(known) if known.ordered_at == announced.ordered_at => {
                known.merge(now, announced).then(|| known.to_change(false))
            }
            known => {
                let mut barred = announced.barred.clone();
                if let Some(known) = known {
                    barred.extend(known.unproven_versions());
                }
                barred.remove(&announced.to);
                let rollout = Rollout::new(now, announced, barred);
                let change = rollout.to_change(true);
                self.by_service.insert(announced.service.clone(), rollout);
                Some(change)
            }
        }
    }

    /// Moves an order to a later stage by a decision of this host.
    pub fn advance(
        &mut self,
        now: Time,
        service: &ServiceId,
        ordered_at: Position,
        stage: Stage,
    ) -> Option<RolloutChange> {
        let rollout = self.by_service.get_mut(service)?;
        let advances = rollout.ordered_at == ordered_at && rollout.advance(now, stage);
        self.local_changes += u64::from(advances);
        advances.then(|| rollout.to_change(false))
    }

    /// Returns the track of a request for `service` that arrives at `now`. `sample`, a random number from 0
    /// to 1, is part of the host's initial credit for trial requests.
    pub fn assign_track(
        &mut self,
        now: Time,
        service: &ServiceId,
        budget: TrialBudget,
        sample: f64,
    ) -> Track {
        let Some(rollout) = self.by_service.get_mut(service) else {
            return Track::Stable;
        };
        if rollout.stage != Stage::Trial || rollout.age(now) > rollout.duration {
            return Track::Stable;
        }
        let per_request = rollout.trial_share(budget.bound);
        // A process that started after the order gets no slack, or each restart would use a part of it
        // again.
        let started_before_order = rollout.is_dated() && rollout.age(now) < now.since(Time::ZERO);
        let slack = match started_before_order {
            true => budget.bound.slack * TRIAL_BOUND_FRACTION / budget.hosts.max(1) as f64,
            false => 0.0,
        };
        let trial_credit = rollout.trial_credit.get_or_insert(sample + slack);
        *trial_credit += per_request;
        if *trial_credit < 1.0 {
            return Track::Stable;
        }
        *trial_credit -= 1.0;
        Track::Trial
    }
}

impl Rollout {
    /// The versions that a later order bars, as they have not proved good.
    fn unproven_versions(&self) -> BTreeSet<VersionId> {
        match self.stage {
            Stage::Complete => BTreeSet::new(),
            Stage::Trial | Stage::Shift | Stage::Reverting | Stage::Reverted | Stage::Withdrawn => {
                let own = std::iter::once(self.to.clone());
                self.barred.iter().cloned().chain(own).collect()
            }
        }
    }
}

#[cfg(test)]
mod tests;
