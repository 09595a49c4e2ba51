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
const CHECK: Duration = Duration::from_millis(100);
/// Hosts that read what operators publish have told them by then that an order is running.
const BEGUN_WITHIN: Duration = Duration::from_secs(3);
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
    let mut status = Status {
        client: OwnClient::new(shared.settings().log_address),
        shared: shared.clone(),
        begun: BTreeMap::new(),
        due_since: BTreeMap::new(),
    };
    loop {
        tick(CHECK).await;
        if shared.directory(|directory| directory.rollouts().open().next().is_none()) {
            continue;
        }
        if !shared.is_reading(Topic::Operator) {
            continue;
        }
        for rollout in shared.open_rollouts() {
            if let Err(reason) = status.look_at(&rollout).await {
                log::debug!("roll-out of {}: {reason:?}", rollout.service);
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

struct Status {
    shared: Shared,
    client: OwnClient,
    /// Orders of which operators were told that they are running, or more.
    begun: BTreeMap<Position, RolloutState>,
    due_since: BTreeMap<(Position, Step), Instant>,
}

impl Status {
    async fn look_at(&mut self, rollout: &OpenRollout) -> Result<(), Interrupted> {
        let step = match &rollout.due {
            _ if !self.begun.contains_key(&rollout.ordered_at) => Step::Begin,
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
            Step::Begin => self.tell(rollout, RolloutState::Running).await,
            Step::Shift => {
                let reason = "it answers as the others do";
                self.shared.advance_rollout(rollout, Stage::Shift, reason);
                Ok(())
            }
            Step::Complete => self.tell(rollout, RolloutState::Complete).await,
            Step::Revert => {
                if let DueStep::GiveUp(reason) = &rollout.due {
                    self.shared
                        .advance_rollout(rollout, Stage::Reverting, reason);
                }
                self.tell(rollout, RolloutState::Reverted).await
            }
        }
    }

    /// Tells operators that an order has come so far, unless they were told more.
    async fn tell(
        &mut self,
        rollout: &OpenRollout,
        state: RolloutState,
    ) -> Result<(), Interrupted> {
        let shared = self.shared.clone();
        let key = shared.protocol().rollout_status_key(&rollout.service);
        let newest = newest(&shared, &mut self.client, Topic::Status, CALL_TIMEOUT).await;
        let (records, end) = newest?;
        let told = records.iter().find(|record| record.key == key);
        let told = told.and_then(|record| record.value.as_deref());
        let told = told.and_then(|value| shared.protocol().decode_rollout_status(value).ok());
        let has_begun = self.begun.contains_key(&rollout.ordered_at);
        match told.map_or(Told::Nothing, |told| told_of(rollout, &told, has_begun)) {
            Told::Nothing => {}
            Told::LaterOrder => return Ok(()),
            Told::State(told) => {
                self.begun.insert(rollout.ordered_at, told);
                self.rise(rollout, told, "operators were told");
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
            self.begun.insert(rollout.ordered_at, state);
            self.rise(rollout, state, "told operators");
        }
        Ok(())
    }

    fn rise(&self, rollout: &OpenRollout, state: RolloutState, reason: &str) {
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
enum Told {
    /// Nothing of it that this host doesn't know.
    Nothing,
    /// That it has come so far.
    State(RolloutState),
    /// Something of an order that replaces it.
    LaterOrder,
}

/// What `told` says of an order. `has_begun` tells whether this host knows that operators were told of it.
fn told_of(rollout: &OpenRollout, told: &RolloutStatus, has_begun: bool) -> Told {
    let is_news = told.state != RolloutState::Running || !has_begun;
    let era = rollout.ordered_at.era;
    let named = told.ordered_at.filter(|order| order.era == era);
    let is_of_order = match named.map(|order| order.cmp(&rollout.ordered_at)) {
        Some(Ordering::Greater) => return Told::LaterOrder,
        Some(Ordering::Equal) => true,
        Some(Ordering::Less) => false,
        // A host that saw the order come knows that it has not ended until somebody says so of it.
        None => {
            let may_have_ended = !rollout.has_order_time || has_begun || rollout.age > BEGUN_WITHIN;
            told.to == rollout.to && (told.state == RolloutState::Running || may_have_ended)
        }
    };
    match is_of_order && is_news {
        true => Told::State(told.state),
        false => Told::Nothing,
    }
}

#[cfg(test)]
mod tests;
