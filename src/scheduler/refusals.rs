//! Refusals: what has waited too long, and early what will.

use std::time::Duration;

use super::Scheduler;
use crate::clock::Time;
use crate::id::RequestId;
use crate::refusal::Code;
use crate::refusal::Refusal;
use crate::schedule::Action;
use crate::schedule::Ticket;

/// Shortest time after which a refused caller is told to ask again, in milliseconds.
const RETRY_AFTER_MS_MIN: f64 = 500.0;
/// Longest such time, in milliseconds.
const RETRY_AFTER_MS_MAX: f64 = 60_000.0;

impl Scheduler {
    /// Whether a request would miss its deadline, as far as can be told.
    pub(super) fn hopeless(&self, ticket: &Ticket, limit_ms: u64) -> bool {
        self.queue.len() > 0
            && self
                .queue
                .wait_ms(&ticket.class, &ticket.customer)
                .is_some_and(|wait_ms| wait_ms > limit_ms as f64)
    }

    pub(super) fn refuse(&self, ticket: &Ticket, left_ms: u64) -> Action {
        let wait_ms = self
            .queue
            .wait_ms(&ticket.class, &ticket.customer)
            .unwrap_or(0.0);
        let excess_ms = (wait_ms - left_ms as f64).clamp(RETRY_AFTER_MS_MIN, RETRY_AFTER_MS_MAX);
        let refusal = Refusal::not_run(Code::Overloaded, "no upstream has room in time")
            .retry_after_ms(excess_ms as u64)
            .for_request(ticket.request);
        Action::Refuse {
            request: ticket.request,
            refusal,
        }
    }

    /// Refuses what has waited too long, and now and then what will.
    pub(super) fn refuse_late(&mut self, now: Time) -> Vec<Action> {
        let mut given_up = Vec::new();
        while let Some((deadline, request)) = self.deadlines.first().copied() {
            if deadline > now {
                break;
            }
            self.deadlines.remove(&(deadline, request));
            given_up.push(request);
        }
        if self.next_check <= now {
            self.next_check = now + Duration::from_millis(self.options.tick_ms);
            self.placement.unshelve(now);
            given_up.extend(self.queue.hopeless(now));
        }
        given_up
            .into_iter()
            .filter_map(|request| self.give_up(now, request))
            .collect()
    }

    pub(super) fn give_up(&mut self, now: Time, request: RequestId) -> Option<Action> {
        let waiting = self.dequeue(request)?;
        self.moves.remove(&request);
        let left = waiting.deadline.since(now);
        let left_ms = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
        Some(self.refuse(&waiting.ticket, left_ms))
    }
}
