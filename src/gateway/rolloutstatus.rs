//! Takes the rollout steps that one host takes for all, and reports them to operators in the platform's
//! log.
//!
//! Only hosts that read the operators' topic take steps. The first of them in rendezvous order takes a
//! step, and each further one only if the step is still due after a delay. A report is appended on
//! condition that the status topic has not changed since this host read it, so that each order ends exactly
//! once however many hosts attempt it.

use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

use crate::event::EventCode;
use crate::gateway::follow::CALL_TIMEOUT;
use crate::gateway::follow::ReadError;
use crate::gateway::follow::append_if_end;
use crate::gateway::follow::read_newest;
use crate::gateway::internalclient::InternalClient;
use crate::gateway::position::Position;
use crate::gateway::protocol::RolloutState;
use crate::gateway::protocol::RolloutStatus;
use crate::gateway::protocol::Topic;
use crate::gateway::rollouts::DueStep;
use crate::gateway::rollouts::Stage;
use crate::gateway::shared::OpenRollout;
use crate::gateway::shared::Shared;
use crate::gateway::ticks::tick;

/// Interval between checks for due steps.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Age of an order by which a host that reads the operators' topic has reported it as running.
const RUNNING_REPORT_DELAY: Duration = Duration::from_secs(3);
/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// A step that one host takes for all.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    Begin,
    Shift,
    Complete,
    Revert,
}

/// Checks all open rollouts for due steps, and takes them. Never returns.
pub async fn run(shared: Shared) {
    let mut reporter = StatusReporter {
        client: InternalClient::new(shared.settings().log_address),
        shared: shared.clone(),
        reported: BTreeMap::new(),
        due_since: BTreeMap::new(),
    };
    loop {
        tick(CHECK_INTERVAL).await;
        if shared.directory(|directory| directory.rollouts().open().next().is_none()) {
            continue;
        }
        if !shared.is_reading(Topic::Operator) {
            continue;
        }
        for rollout in shared.open_rollouts() {
            if let Err(reason) = reporter.take_due_step(&rollout).await {
                log::debug!(
                    "step of the rollout of {} failed: {reason:?}",
                    rollout.service
                );
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

struct StatusReporter {
    shared: Shared,
    client: InternalClient,
    /// The state last known to be reported of each order.
    reported: BTreeMap<Position, RolloutState>,
    /// When this host first found each step due.
    due_since: BTreeMap<(Position, Step), Instant>,
}

impl StatusReporter {
    /// Takes the step that is due, once the hosts before this one have had time to take it.
    async fn take_due_step(&mut self, rollout: &OpenRollout) -> Result<(), ReadError> {
        let step = match &rollout.due {
            _ if !self.reported.contains_key(&rollout.ordered_at) => Step::Begin,
            DueStep::Nothing => return Ok(()),
            DueStep::Shift => Step::Shift,
            DueStep::Complete => Step::Complete,
            DueStep::Revert(_) | DueStep::GiveUp(_) => Step::Revert,
        };
        let key = (rollout.ordered_at, step);
        let due_since = *self.due_since.entry(key).or_insert_with(Instant::now);
        if due_since.elapsed() < self.shared.rollout_step_delay(&rollout.service) {
            return Ok(());
        }
        match step {
            Step::Begin => self.report(rollout, RolloutState::Running).await,
            Step::Shift => {
                let reason = "its answers are like the others'";
                self.shared.advance_rollout(rollout, Stage::Shift, reason);
                Ok(())
            }
            Step::Complete => self.report(rollout, RolloutState::Complete).await,
            Step::Revert => {
                if let DueStep::GiveUp(reason) = &rollout.due {
                    self.shared
                        .advance_rollout(rollout, Stage::Reverting, reason);
                }
                self.report(rollout, RolloutState::Reverted).await
            }
        }
    }

    /// Reports `state` to operators, unless the status topic already holds news of this order or a later
    /// one.
    async fn report(
        &mut self,
        rollout: &OpenRollout,
        state: RolloutState,
    ) -> Result<(), ReadError> {
        let shared = self.shared.clone();
        let key = shared.protocol().rollout_status_key(&rollout.service);
        let newest = read_newest(&shared, &mut self.client, Topic::Status, CALL_TIMEOUT).await;
        let (records, end) = newest?;
        let previous = records.iter().find(|record| record.key == key);
        let previous = previous.and_then(|record| record.value.as_deref());
        let previous =
            previous.and_then(|value| shared.protocol().decode_rollout_status(value).ok());
        let was_reported = self.reported.contains_key(&rollout.ordered_at);
        let reported = previous.map_or(Reported::Nothing, |previous| {
            reported_state(rollout, &previous, was_reported)
        });
        match reported {
            Reported::Nothing => {}
            Reported::LaterOrder => return Ok(()),
            Reported::State(reported) => {
                self.reported.insert(rollout.ordered_at, reported);
                self.advance(rollout, reported, "already reported to operators");
                return Ok(());
            }
        }
        let status = RolloutStatus {
            to: rollout.to.clone(),
            state,
            ordered_at: Some(rollout.ordered_at),
        };
        let value = shared.protocol().encode_rollout_status(&status);
        let written = append_if_end(
            &shared,
            &mut self.client,
            Topic::Status,
            (&key, &value),
            end,
        );
        let is_written = written.await?;
        let line = shared.log().entry(EventCode::RolloutTold);
        line.with("service", rollout.service.as_str())
            .with("to", rollout.to.as_str())
            .with("order", rollout.ordered_at.to_string())
            .with("state", format!("{state:?}"))
            .with("written", is_written)
            .with("end", end.to_string())
            .write();
        if is_written {
            self.reported.insert(rollout.ordered_at, state);
            self.advance(rollout, state, "reported to operators");
        }
        Ok(())
    }

    /// Moves the order to the stage that a reported state implies.
    fn advance(&self, rollout: &OpenRollout, state: RolloutState, reason: &str) {
        let stage = match state {
            RolloutState::Running => return,
            RolloutState::Complete => Stage::Complete,
            RolloutState::Reverted => Stage::Reverted,
        };
        self.shared.advance_rollout(rollout, stage, reason);
    }
}

/// What the last report of a service says about one order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Reported {
    /// Nothing that is new to this host.
    Nothing,
    /// The order has reached this state.
    State(RolloutState),
    /// The report is of a later order, which replaces this one.
    LaterOrder,
}

/// Returns what `status` says about an order. `was_reported` says that this host knows of a report of the
/// order.
fn reported_state(rollout: &OpenRollout, status: &RolloutStatus, was_reported: bool) -> Reported {
    let is_new = status.state != RolloutState::Running || !was_reported;
    let era = rollout.ordered_at.era;
    let same_era = status.ordered_at.filter(|order| order.era == era);
    let is_same_order = match same_era.map(|order| order.cmp(&rollout.ordered_at)) {
        Some(Ordering::Greater) => return Reported::LaterOrder,
        Some(Ordering::Equal) => true,
        Some(Ordering::Less) => false,
        // The report names no order of this era. If this host learnt of its order just after it was placed,
        // a final state that it has not reported belongs to an earlier order to the same version.
        None => {
            let may_have_ended =
                !rollout.has_order_time || was_reported || rollout.age > RUNNING_REPORT_DELAY;
            status.to == rollout.to && (status.state == RolloutState::Running || may_have_ended)
        }
    };
    match is_same_order && is_new {
        true => Reported::State(status.state),
        false => Reported::Nothing,
    }
}

#[cfg(test)]
mod tests;
