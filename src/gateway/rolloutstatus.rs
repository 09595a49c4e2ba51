//! Takes the steps of roll-outs that one host takes for all, and tells operators in the platform's log.
//!
//! The hosts that read what operators publish may take a step; the first of them by rendezvous does, and the others only
//! if it didn't. What operators are told is written under the condition that nothing was written since this host looked,
//! so that an order ends once, however many hosts try.

use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

use crate::event::EventCode;
use crate::gateway::follow::CALL_TIMEOUT;
use crate::gateway::follow::Interrupted;
use crate::gateway::follow::append_only_at;
use crate::gateway::follow::newest;
use crate::gateway::ownclient::OwnClient;
use crate::gateway::position::Position;
use crate::gateway::protocol::RolloutState;
use crate::gateway::protocol::RolloutStatus;
use crate::gateway::protocol::Topic;
use crate::gateway::rollouts::DueStep;
use crate::gateway::rollouts::Stage;
use crate::gateway::shared::OpenRollout;
use crate::gateway::shared::Shared;
use crate::gateway::ticks::tick;

/// How often it is looked whether a step is due.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Hosts that read what operators publish have told them by then that an order is running.
const RUNNING_REPORT_DELAY: Duration = Duration::from_secs(3);
/// A call that failed is made again after this time.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// A step that one host takes for all.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    Begin,
    Shift,
    Complete,
    Revert,
}

/// Takes steps for ever.
pub async fn run(shared: Shared) {
    let mut reporter = StatusReporter {
        client: OwnClient::new(shared.settings().log_address),
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
                log::debug!("roll-out of {}: {reason:?}", rollout.service);
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

struct StatusReporter {
    shared: Shared,
    client: OwnClient,
    /// Orders of which operators were told that they are running, or more.
    reported: BTreeMap<Position, RolloutState>,
    due_since: BTreeMap<(Position, Step), Instant>,
}

impl StatusReporter {
    async fn take_due_step(&mut self, rollout: &OpenRollout) -> Result<(), Interrupted> {
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
                let reason = "it answers as the others do";
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

    /// Tells operators that an order has come so far, unless they were told more.
    async fn report(
        &mut self,
        rollout: &OpenRollout,
        state: RolloutState,
    ) -> Result<(), Interrupted> {
        let shared = self.shared.clone();
        let key = shared.protocol().rollout_status_key(&rollout.service);
        let newest = newest(&shared, &mut self.client, Topic::Status, CALL_TIMEOUT).await;
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
                self.advance(rollout, reported, "operators were told");
                return Ok(());
            }
        }
        let status = RolloutStatus {
            to: rollout.to.clone(),
            state,
            ordered_at: Some(rollout.ordered_at),
        };
        let value = shared.protocol().rollout_status(&status);
        let written = append_only_at(
            &shared,
            &mut self.client,
            Topic::Status,
            (&key, &value),
            end,
        );
        let is_written = written.await?;
        let line = shared.log().line(EventCode::RolloutTold);
        line.with("service", rollout.service.as_str())
            .with("to", rollout.to.as_str())
            .with("order", rollout.ordered_at.to_string())
            .with("state", format!("{state:?}"))
            .with("written", is_written)
            .with("end", end.to_string())
            .write();
        if is_written {
            self.reported.insert(rollout.ordered_at, state);
            self.advance(rollout, state, "told operators");
        }
        Ok(())
    }

    fn advance(&self, rollout: &OpenRollout, state: RolloutState, reason: &str) {
        let stage = match state {
            RolloutState::Running => return,
            RolloutState::Complete => Stage::Complete,
            RolloutState::Reverted => Stage::Reverted,
        };
        self.shared.advance_rollout(rollout, stage, reason);
    }
}

/// What operators were told last, as seen from one order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Reported {
    /// Nothing of it that this host doesn't know.
    Nothing,
    /// That it has come so far.
    State(RolloutState),
    /// Something of an order that replaces it.
    LaterOrder,
}

/// What `status` says of an order. `was_reported` tells whether this host knows that operators were told of it.
fn reported_state(rollout: &OpenRollout, status: &RolloutStatus, was_reported: bool) -> Reported {
    let is_new = status.state != RolloutState::Running || !was_reported;
    let era = rollout.ordered_at.era;
    let same_era = status.ordered_at.filter(|order| order.era == era);
    let is_same_order = match same_era.map(|order| order.cmp(&rollout.ordered_at)) {
        Some(Ordering::Greater) => return Reported::LaterOrder,
        Some(Ordering::Equal) => true,
        Some(Ordering::Less) => false,
        // A host that saw the order come knows that it has not ended until somebody says so of it.
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
