//! Roll-outs, as this host learns of them, tells of them and judges them.

use std::time::Duration;

use super::Shared;
use super::locked;
use crate::event::EventCode;
use crate::gateway::directory::Directory;
use crate::gateway::directory::Upstream;
use crate::gateway::position::Era;
use crate::gateway::position::Position;
use crate::gateway::protocol::Record;
use crate::gateway::rollouts::AnnouncedRollout;
use crate::gateway::rollouts::DueStep;
use crate::gateway::rollouts::RolloutChange;
use crate::gateway::rollouts::Stage;
use crate::gateway::rollouts::Track;
use crate::gateway::rollouts::TrialBudget;
use crate::gateway::rollouts::evidence::Answer;
use crate::gateway::rollouts::evidence::Cohort;
use crate::gateway::rollouts::evidence::EvidenceStore;
use crate::gateway::rollouts::evidence::Measure;
use crate::gateway::rollouts::evidence::Outcome;
use crate::gateway::serve::Admitted;
use crate::id::ServiceId;
use crate::id::VersionId;

/// Whether records of the log were written a moment ago.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Freshness {
    /// They were.
    Fresh,
    /// They are the newest of their keys, however old.
    Unknown,
}

/// An order and what is due of it.
#[derive(Debug, Clone)]
pub(crate) struct OpenRollout {
    pub(crate) service: ServiceId,
    pub(crate) ordered_at: Position,
    pub(crate) to: VersionId,
    pub(crate) is_dated: bool,
    pub(crate) age: Duration,
    pub(crate) due: DueStep,
}

impl Shared {
    /// Runs `use_evidences` on what was seen of versions that are tried.
    pub(crate) fn evidences<T>(&self, use_evidences: impl FnOnce(&mut EvidenceStore) -> T) -> T {
        use_evidences(&mut locked(&self.0.evidences))
    }

    /// What this host knows of roll-outs, for others.
    pub(crate) fn told_rollouts(&self) -> Vec<AnnouncedRollout> {
        let now = self.now();
        self.directory(|directory| directory.rollouts().announce(now))
    }

    /// Takes records of the operators' topic.
    pub(crate) fn read_rollouts(&self, records: &[Record], era: Era, freshness: Freshness) {
        let now = self.now();
        let is_fresh = freshness == Freshness::Fresh;
        let mut changes = Vec::new();
        for record in records {
            let value = record.value.as_deref();
            let Some(rollout) = self.protocol().rollout(&record.key, value) else {
                continue;
            };
            if let Some(flaw) = &rollout.flaw {
                self.note_flaw(&record.key, flaw);
            }
            let at = Position::new(era, record.offset);
            let read = |directory: &mut Directory| {
                let rollouts = directory.rollouts_mut();
                rollouts.apply_record(now, &rollout, at, is_fresh)
            };
            changes.extend(self.directory(read));
        }
        self.note_rollouts(&changes, "log", None);
    }

    /// Another host tells what it knows.
    pub(crate) fn hear_rollouts(&self, told: &[AnnouncedRollout], source: &str) {
        if told.is_empty() {
            return;
        }
        let now = self.now();
        let changes = self.directory(|directory| directory.rollouts_mut().receive(now, told));
        self.note_rollouts(&changes, source, None);
    }

    /// An order has come further, by what this host saw or did.
    pub(crate) fn rollout_rises(&self, rollout: &OpenRollout, stage: Stage, reason: &str) {
        let now = self.now();
        let change = self.directory(|directory| {
            let rollouts = directory.rollouts_mut();
            rollouts.advance(now, &rollout.service, rollout.ordered_at, stage)
        });
        self.note_rollouts(change.as_slice(), "own", Some(reason));
    }

    fn note_rollouts(&self, changes: &[RolloutChange], source: &str, reason: Option<&str>) {
        for change in changes {
            let code = match change.is_new {
                true => EventCode::RolloutOrdered,
                false => EventCode::RolloutStep,
            };
            let line = self.log().line(code);
            line.with("service", change.service.as_str())
                .with("to", change.to.as_str())
                .with("order", change.ordered_at.to_string())
                .with("stage", change.stage.name())
                .with_some("reason", reason)
                .with("source", source)
                .write();
        }
        if !changes.is_empty() {
            self.0.directory_changed.send_modify(|count| *count += 1);
            self.tell_news();
        }
    }

    /// Which upstreams a request of a service goes to that arrived now.
    pub(crate) fn draw_track(&self, service: &ServiceId) -> Track {
        let open = |directory: &mut Directory| {
            let rollout = directory.rollouts().get(service)?;
            rollout.stage().is_open().then(|| rollout.ordered_at())
        };
        let Some(order) = self.directory(open) else {
            return Track::Stable;
        };
        let now = self.now();
        self.evidences(|evidences| evidences.record_request(now, order));
        let share = TrialBudget {
            bound: self.settings().exposure,
            hosts: self.sharing_hosts(),
        };
        let draw = rand::random();
        self.directory(|directory| {
            directory
                .rollouts_mut()
                .assign_track(now, service, share, draw)
        })
    }

    /// What came of a request at an upstream, for the judgement on a version that is tried.
    pub(crate) fn note_tried(
        &self,
        admitted: &Admitted,
        upstream: &Upstream,
        measure: Measure,
        outcome: Outcome,
    ) {
        let order_of = |directory: &mut Directory| {
            let rollout = directory.rollouts().get(&upstream.service)?;
            let cohort = match upstream.version == *rollout.to() {
                true => Cohort::New,
                false => Cohort::Old,
            };
            rollout
                .stage()
                .is_open()
                .then(|| (rollout.ordered_at(), cohort))
        };
        let Some((order, cohort)) = self.directory(order_of) else {
            return;
        };
        let answer = Answer {
            route: &admitted.route.name,
            upstream: upstream.id.key(),
            cohort,
            measure,
            outcome,
        };
        let now = self.now();
        self.evidences(|evidences| evidences.record_answer(now, order, &answer));
    }

    /// The orders whose end operators wait for, and what is due of each.
    pub(crate) fn open_rollouts(&self) -> Vec<OpenRollout> {
        let now = self.now();
        let bound = self.settings().exposure;
        self.directory(|directory| {
            let open = directory.rollouts().open().map(|rollout| {
                let order = rollout.ordered_at();
                let evidence = self.evidences(|evidences| evidences.combine(now, order));
                let new = directory.count_of_version(rollout.service(), rollout.to());
                let judgement = evidence.judge(new);
                OpenRollout {
                    service: rollout.service().clone(),
                    ordered_at: order,
                    to: rollout.to().clone(),
                    is_dated: rollout.is_dated(),
                    age: rollout.age(now),
                    due: rollout.due_step(now, bound, &evidence, judgement.as_ref(), new),
                }
            });
            open.collect()
        })
    }

    /// Stops work for versions that turn out bad; every host does so by itself, and tells the others.
    pub(crate) fn review_rollouts(&self) {
        if self.directory(|directory| directory.rollouts().is_empty()) {
            return;
        }
        let now = self.now();
        for rollout in self.open_rollouts() {
            if let DueStep::Revert(reason) = &rollout.due {
                self.rollout_rises(&rollout, Stage::Reverting, reason);
            }
        }
        let open: Vec<Position> = self.directory(|directory| {
            let open = directory.rollouts().open();
            open.map(|rollout| rollout.ordered_at()).collect()
        });
        self.evidences(|evidences| evidences.retain(now, |order| open.contains(&order)));
    }

    /// Where this host stands among those that may take an order's next step, so that one does it first.
    pub(crate) fn rank_for(&self, service: &ServiceId) -> usize {
        let now = self.now();
        let settings = self.settings();
        self.peers(|peers| peers.rank(now, &settings.host, service.as_str()))
    }

    /// How long a host of this rank leaves a step to those before it.
    pub(crate) fn leaves_step_for(&self, service: &ServiceId) -> Duration {
        const FOR_EACH: Duration = Duration::from_millis(250);
        const RANK_MAX: usize = 6;
        FOR_EACH * u32::try_from(self.rank_for(service).min(RANK_MAX)).unwrap_or(0)
    }
}
