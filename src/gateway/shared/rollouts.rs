//! Rollouts: updates from the log and from peers, announcements to peers, and the assessment of new
//! versions.

use std::time::Duration;

use super::Shared;
use super::lock;
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
use crate::gateway::unconfirmed::Evidence;
use crate::id::ServiceId;
use crate::id::VersionId;

/// Whether records of the log are known to be recent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Freshness {
    /// They were written just before they were read.
    Fresh,
    /// They are the newest of their keys, and of any age.
    Unknown,
}

/// An order that has not ended, and its next step.
#[derive(Debug, Clone)]
pub(crate) struct OpenRollout {
    pub(crate) service: ServiceId,
    pub(crate) ordered_at: Position,
    pub(crate) to: VersionId,
    pub(crate) has_order_time: bool,
    pub(crate) age: Duration,
    pub(crate) due: DueStep,
}

impl Shared {
    /// Runs `use_evidence` on the locked observations of versions on trial.
    pub(crate) fn rollout_evidence<T>(
        &self,
        use_evidence: impl FnOnce(&mut EvidenceStore) -> T,
    ) -> T {
        use_evidence(&mut lock(&self.0.evidence))
    }

    /// This host's state of rollouts, as announced to peers.
    pub(crate) fn announced_rollouts(&self) -> Vec<AnnouncedRollout> {
        let now = self.now();
        let mut announced = self.directory(|directory| directory.rollouts().announce(now));
        if let Some(configuration) = self.configuration() {
            // Orders for what is no service would fill the datagrams.
            announced.retain(|rollout| configuration.services.contains_key(&rollout.service));
        }
        announced
    }

    /// Applies rollout orders from records of the operators' topic.
    pub(crate) fn apply_rollouts(&self, records: &[Record], era: Era, freshness: Freshness) {
        let now = self.now();
        let is_fresh = freshness == Freshness::Fresh;
        let mut changes = Vec::new();
        for record in records {
            let value = record.value.as_deref();
            let Some(rollout) = self.protocol().decode_rollout(&record.key, value) else {
                continue;
            };
            if let Some(flaw) = &rollout.flaw {
                self.log_bad_record(&record.key, flaw);
            }
            let at = Position::new(era, record.offset);
            let read = |directory: &mut Directory| {
                let rollouts = directory.rollouts_mut();
                rollouts.apply_record(now, &rollout, at, is_fresh)
            };
            changes.extend(self.directory(read));
        }
        self.report_rollouts(&changes, "log", None);
    }

    /// Merges the state of rollouts that a peer announces.
    pub(crate) fn receive_rollouts(&self, announced: &[AnnouncedRollout], source: &str) {
        if announced.is_empty() {
            return;
        }
        let now = self.now();
        let changes = self.directory(|directory| directory.rollouts_mut().receive(now, announced));
        self.report_rollouts(&changes, source, None);
    }

    /// Advances an order to a later stage, because of what this host observed or did.
    pub(crate) fn advance_rollout(&self, rollout: &OpenRollout, stage: Stage, reason: &str) {
        let now = self.now();
        let change = self.directory(|directory| {
            let rollouts = directory.rollouts_mut();
            rollouts.advance(now, &rollout.service, rollout.ordered_at, stage)
        });
        self.report_rollouts(change.as_slice(), "own", Some(reason));
    }

    fn report_rollouts(&self, changes: &[RolloutChange], source: &str, reason: Option<&str>) {
        for change in changes {
            let code = match change.is_new {
                true => EventCode::RolloutOrdered,
                false => EventCode::RolloutStep,
            };
            let line = self.log().entry(code);
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
            self.announce_now();
        }
    }

    /// Chooses whether a new request of a service goes to the version on trial or to the proven ones.
    pub(crate) fn choose_track(&self, service: &ServiceId) -> Track {
        let open = |directory: &mut Directory| {
            let rollout = directory.rollouts().get(service)?;
            rollout.stage().is_open().then(|| rollout.ordered_at())
        };
        let Some(order) = self.directory(open) else {
            return Track::Stable;
        };
        let now = self.now();
        self.rollout_evidence(|evidence| evidence.record_request(now, order));
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

    /// Records the outcome of a request at an upstream, for the assessment of the version on trial.
    pub(crate) fn record_rollout_outcome(
        &self,
        admitted: &Admitted,
        upstream: &Upstream,
        measure: Measure,
        outcome: Outcome,
    ) {
        let Some((order, cohort)) = self.open_order(upstream) else {
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
        self.rollout_evidence(|evidence| evidence.record_answer(now, order, &answer));
    }

    /// Records a request whose connection to an upstream broke or fell silent.
    pub(crate) fn record_rollout_loss(
        &self,
        admitted: &Admitted,
        upstream: &Upstream,
        measure: Measure,
    ) {
        let Some((order, cohort)) = self.open_order(upstream) else {
            return;
        };
        self.hold_back(Evidence::FailedTrial {
            order,
            route: admitted.route.name.clone(),
            upstream: upstream.id.key(),
            cohort,
            measure,
        });
    }

    /// The order of an open rollout of an upstream's service, and the upstream's part in it.
    fn open_order(&self, upstream: &Upstream) -> Option<(Position, Cohort)> {
        self.directory(|directory| {
            let rollout = directory.rollouts().get(&upstream.service)?;
            let cohort = match upstream.version == *rollout.to() {
                true => Cohort::New,
                false => Cohort::Old,
            };
            rollout
                .stage()
                .is_open()
                .then(|| (rollout.ordered_at(), cohort))
        })
    }

    /// The open orders, each with its next step.
    pub(crate) fn open_rollouts(&self) -> Vec<OpenRollout> {
        let now = self.now();
        let bound = self.settings().exposure;
        self.directory(|directory| {
            let open = directory.rollouts().open().map(|rollout| {
                let order = rollout.ordered_at();
                let evidence = self.rollout_evidence(|evidence| evidence.combine(now, order));
                let new = directory.count_of_version(rollout.service(), rollout.to());
                let judgement = evidence.judge(new);
                OpenRollout {
                    service: rollout.service().clone(),
                    ordered_at: order,
                    to: rollout.to().clone(),
                    has_order_time: rollout.is_dated(),
                    age: rollout.age(now),
                    due: rollout.due_step(now, bound, &evidence, judgement.as_ref(), new),
                }
            });
            open.collect()
        })
    }

    /// Reverts rollouts whose version turns out bad. Each host decides this itself and announces it to the
    /// others.
    pub(crate) fn review_rollouts(&self) {
        if self.directory(|directory| directory.rollouts().is_empty()) {
            return;
        }
        let now = self.now();
        for rollout in self.open_rollouts() {
            if let DueStep::Revert(reason) = &rollout.due {
                self.advance_rollout(&rollout, Stage::Reverting, reason);
            }
        }
        let open: Vec<Position> = self.directory(|directory| {
            let open = directory.rollouts().open();
            open.map(|rollout| rollout.ordered_at()).collect()
        });
        self.rollout_evidence(|evidence| evidence.retain(now, |order| open.contains(&order)));
    }

    /// This host's rank among those that may take the next step of a service's rollout; 0 goes first.
    pub(crate) fn rollout_rank(&self, service: &ServiceId) -> usize {
        let now = self.now();
        let settings = self.settings();
        self.peers(|peers| peers.rank(now, &settings.host, service.as_str()))
    }

    /// How long this host waits before it takes a due step, so that hosts of a lower rank can take it first.
    pub(crate) fn rollout_step_delay(&self, service: &ServiceId) -> Duration {
        const STEP_DELAY_PER_RANK: Duration = Duration::from_millis(250);
        const RANK_MAX: usize = 6;
        STEP_DELAY_PER_RANK * u32::try_from(self.rollout_rank(service).min(RANK_MAX)).unwrap_or(0)
    }
}
