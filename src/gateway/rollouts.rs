//! Roll-outs: a service's traffic moves from the upstreams that it has to those of another version.
//!
//! The load that this answers: a version that is bad at once, later, under load or on one route, over hundreds of
//! hosts that hear each other late or not at all. While a version is tried, each host gives it a small share of the
//! requests that it gets itself. The share holds for all hosts together without a word between them, also
//! behind cuts and through restarts. What upstreams of both versions answer at the same time decides
//! ([`evidence`]); for a moment before the end all new work goes to the new version, so that the old one
//! is empty when the platform stops it.
//!
//! An order is known by the position of its record: a later one replaces it. The stage of an order only advances,
//! so words of hosts merge in whatever order they arrive.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::clock::Time;
use crate::gateway::position::Position;
use crate::gateway::rollouts::evidence::Evidence;
use crate::gateway::rollouts::evidence::Judgement;
use crate::id::ServiceId;
use crate::id::VersionId;

pub mod evidence;

/// Of what a bad version may get, the part that is used before it has proved good.
const TRIAL_SHARE: f64 = 0.5;
/// The same of a host that doesn't know for how long the order has stood.
const TRIAL_SHARE_UNDATED: f64 = 0.2;
/// The part of what a bad version may get that is left alone by all.
const RESERVED_SHARE: f64 = 0.1;
/// A version takes over this long after its order, as a part of the time that operators give.
const SHIFT_END_FRACTION: f64 = 0.8;
/// A version of which little has been seen by then is tried until this part of the time has passed.
const TRIAL_END_FRACTION: f64 = 0.92;
/// One that has not proved good after this part of it is given up.
const GIVE_UP_FRACTION: f64 = 0.97;
/// Time for which new work goes to the new version before the old one is stopped: calls end in it, and
/// generations are moved.
const SHIFT_MIN: Duration = Duration::from_millis(300);
const SHIFT_MAX: Duration = Duration::from_millis(2_500);
/// Answers of the new version before it takes over.
const ANSWERS_MIN: u32 = 20;
/// The same when the time is nearly up.
const LATE_ANSWERS_MIN: u32 = 4;

/// How many requests a bad version may get of all hosts together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ExposureBound {
    /// Part of the service's requests between the order and the end of its time,
    pub share: f64,
    /// and so many beside.
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

/// What operators order for a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutOrder {
    /// The version that its traffic shall go to.
    pub to: VersionId,
    /// Time in which that shall be done.
    pub duration: Duration,
}

/// What a record of the operators says of a service's roll-out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutRecord {
    /// The service.
    pub service: ServiceId,
    /// The order; none where it is taken back, or can't be read.
    pub order: Option<RolloutOrder>,
    /// What is wrong with the record.
    pub flaw: Option<String>,
}

/// How far an order has come. A later stage replaces an earlier one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Stage {
    /// The new version gets a share.
    Trial,
    /// All new work goes to the new version.
    Shift,
    /// The new version is bad; operators have not been told yet.
    Reverting,
    /// They have.
    Reverted,
    /// The old version is stopped.
    Complete,
    /// Operators have taken the order back.
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

    /// Whether operators wait for its end.
    pub const fn is_open(self) -> bool {
        matches!(self, Stage::Trial | Stage::Shift | Stage::Reverting)
    }
}

/// A roll-out as hosts tell it to each other.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnnouncedRollout {
    /// The service.
    pub service: ServiceId,
    /// The position of the order's record.
    pub ordered_at: Position,
    /// The version that is ordered.
    pub to: VersionId,
    /// Time in which it shall be done, in milliseconds.
    pub duration_ms: u32,
    /// Time since the order, if that is known, in milliseconds.
    pub age_ms: Option<u32>,
    /// How far it has come.
    pub stage: Stage,
    /// Versions of earlier orders that never proved good.
    pub barred: BTreeSet<VersionId>,
}

/// A roll-out that is new, or has come further.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutChange {
    /// The service.
    pub service: ServiceId,
    /// The position of the order's record.
    pub ordered_at: Position,
    /// The version that is ordered.
    pub to: VersionId,
    /// How far it has come.
    pub stage: Stage,
    /// Whether the order was not known before.
    pub is_new: bool,
}

/// Which upstreams a request may go to while a version is tried.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Track {
    /// Those that have proved good.
    Stable,
    /// Those of the version that is tried.
    Trial,
}

/// What the next step of an order is.
#[derive(Debug, Clone, PartialEq)]
pub enum DueStep {
    /// None yet.
    Nothing,
    /// All new work goes to the new version.
    Shift,
    /// Operators are told that it is complete.
    Complete,
    /// The version is bad, for this reason: no host gives it work any more, and operators are told.
    Revert(String),
    /// The same because it has not proved good in its time. A host that hears few others must not decide that alone.
    GiveUp(String),
}

/// One order as this host knows it.
#[derive(Debug, Clone)]
pub struct Rollout {
    service: ServiceId,
    ordered_at: Position,
    to: VersionId,
    duration: Duration,
    learnt_at: Time,
    /// Time between the order and `learnt_at`; none if that is not known.
    age_when_learnt: Option<Duration>,
    stage: Stage,
    stage_since: Time,
    barred: BTreeSet<VersionId>,
    /// Requests that this host may still give to the version that is tried; none before its first request.
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

    /// The version that is ordered.
    pub fn to(&self) -> &VersionId {
        &self.to
    }

    /// How far it has come.
    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// Since when all new work has gone to the new version, if it does.
    pub fn shifted_since(&self) -> Option<Time> {
        matches!(self.stage, Stage::Shift | Stage::Complete).then_some(self.stage_since)
    }

    /// Whether it is known when it was ordered.
    pub fn is_dated(&self) -> bool {
        self.age_when_learnt.is_some()
    }

    /// Time since the order; since this host learnt of it, if that is all that is known.
    pub fn age(&self, now: Time) -> Duration {
        now.since(self.learnt_at) + self.age_when_learnt.unwrap_or_default()
    }

    /// Whether an upstream of `version` may get a request on `track`, as far as the order goes.
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

    /// Takes another word of the same order; whether it has come further.
    fn merge(&mut self, now: Time, announced: &AnnouncedRollout) -> bool {
        if let Some(age) = announced.age_ms.map(duration_from_ms) {
            // Datagrams take a while, so the highest age is the truest.
            let known = self.is_dated().then(|| self.age(now));
            self.age_when_learnt = Some(age.max(known.unwrap_or_default()));
            self.learnt_at = now;
        }
        self.barred.extend(announced.barred.iter().cloned());
        self.advance(now, announced.stage)
    }

    fn advance(&mut self, now: Time, stage: Stage) -> bool {
        let advances = stage > self.stage;
        if advances {
            self.stage = stage;
            self.stage_since = now;
        }
        advances
    }

    /// Share of this host's requests that the version gets while it is tried.
    fn trial_share(&self, bound: ExposureBound) -> f64 {
        let fraction = match self.is_dated() {
            true => TRIAL_SHARE,
            false => TRIAL_SHARE_UNDATED,
        };
        bound.share * fraction
    }

    /// How long all new work may go to the new version, at so many requests a second, before it has got what a
    /// bad one may get.
    fn shift_duration(&self, bound: ExposureBound, requests_per_s: f64) -> Duration {
        let bound_requests =
            bound.share * requests_per_s * self.duration.as_secs_f64() + bound.slack;
        let trial_requests = self.trial_share(bound) * requests_per_s * self.duration.as_secs_f64()
            + bound.slack * TRIAL_SHARE;
        let left = bound_requests * (1.0 - RESERVED_SHARE) - trial_requests;
        let seconds = (left / requests_per_s.max(1.0)).max(0.0);
        Duration::from_secs_f64(seconds).clamp(SHIFT_MIN, SHIFT_MAX)
    }

    /// What the next step is. `evidence` is of all hosts that are heard, `judgement` what it comes to, and
    /// `new_upstreams` the number of those of the new version.
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
                        "the time is nearly up, {new_upstreams} upstreams of the version gave {answers} answers"
                    ))
                }
            }
            Stage::Shift if now.since(self.stage_since) < shift_duration => DueStep::Nothing,
            Stage::Shift if !evidence.is_in_doubt() => DueStep::Complete,
            Stage::Shift if age >= give_up_at => {
                DueStep::GiveUp("it may be bad, and the time is nearly up".to_owned())
            }
            Stage::Reverting => DueStep::Revert("it was judged bad before".to_owned()),
            Stage::Shift | Stage::Reverted | Stage::Complete | Stage::Withdrawn => DueStep::Nothing,
        }
    }
}

fn duration_from_ms(ms: u32) -> Duration {
    Duration::from_millis(u64::from(ms))
}

/// The hosts among which what is given to a version beside its share is divided.
#[derive(Debug, Clone, Copy)]
pub struct TrialBudget {
    /// The bound.
    pub bound: ExposureBound,
    /// Hosts that share it.
    pub hosts: usize,
}

/// The newest order of each service.
#[derive(Debug, Default)]
pub struct Rollouts {
    by_service: BTreeMap<ServiceId, Rollout>,
    /// Rises with what this host learnt for itself.
    local_changes: u64,
}

impl Rollouts {
    /// The newest order for a service.
    pub fn get(&self, service: &ServiceId) -> Option<&Rollout> {
        self.by_service.get(service)
    }

    /// Whether there is no order.
    pub fn is_empty(&self) -> bool {
        self.by_service.is_empty()
    }

    /// The orders whose end operators wait for.
    pub fn open(&self) -> impl Iterator<Item = &Rollout> {
        let all = self.by_service.values();
        all.filter(|rollout| rollout.stage.is_open())
    }

    /// Rises with what this host learnt for itself, which others have to be told at once.
    pub fn local_changes(&self) -> u64 {
        self.local_changes
    }

    /// What this host knows, for others.
    pub fn announce(&self, now: Time) -> Vec<AnnouncedRollout> {
        let all = self.by_service.values();
        all.map(|rollout| rollout.announce(now)).collect()
    }

    /// Takes what another host tells.
    pub fn receive(&mut self, now: Time, announced: &[AnnouncedRollout]) -> Vec<RolloutChange> {
        announced
            .iter()
            .filter_map(|announced| self.apply(now, announced))
            .collect()
    }

    /// Takes a record of the operators. `is_fresh` tells whether it was written a moment ago.
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

    /// An order has come further, by what this host saw or did.
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

    /// Which upstreams a request of a service goes to that arrived now. `sample` is a random number from 0 to 1.
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
        // A process that starts after the order leaves the slack to those that were there.
        let started_before_order = rollout.is_dated() && rollout.age(now) < now.since(Time::ZERO);
        let slack = match started_before_order {
            true => budget.bound.slack * TRIAL_SHARE / budget.hosts.max(1) as f64,
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
    /// The versions that have not proved good when a later order comes.
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
