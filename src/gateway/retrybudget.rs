//! A retry budget that all hosts share without coordination: each uses its share of a fixed allowance
//! and a ratio of its own requests, over a sliding window.
//!
//! A process doesn't know how much the previous process of its host spent, so a host that restarts
//! repeatedly could spend its share each time. In its first window a process is therefore limited
//! to the part of the budget that older processes leave unused, and its share of the allowance
//! grows with its uptime. All processes of a host together then stay within its share.
//!
//! In a large fleet the share of a host can be less than one retry. A host that has run for a
//! window then rounds it up to one with a probability equal to the share, so that the fleet as a
//! whole uses the sum of its shares.

use std::collections::VecDeque;
use std::time::Duration;

use crate::clock::Time;

/// Part of its budget that a process uses once it has run for a window.
const STEADY_SHARE: f64 = 0.6;
/// Part of its budget that a process uses in its first window.
const FIRST_WINDOW_SHARE: f64 = 1.0 - STEADY_SHARE;

/// Limits of the budget over all hosts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudgetOptions {
    /// Retries allowed per request in the window.
    pub ratio: f64,
    /// Retries allowed in a window in addition.
    pub allowance: f64,
    /// Length of the sliding window.
    pub window: Duration,
}

/// State of a budget at one time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Balance {
    /// Requests in the window.
    pub requests: usize,
    /// Retries in the window.
    pub retries: usize,
    /// Retries that may be made in the window.
    pub allowed: f64,
}

impl Balance {
    /// Whether one more retry is allowed.
    pub fn has_room(&self) -> bool {
        self.retries as f64 + 1.0 <= self.allowed
    }
}

/// The budget of one service on one host.
#[derive(Debug)]
pub struct SharedRetryBudget {
    options: RetryBudgetOptions,
    draw: f64,
    requests: VecDeque<Time>,
    retries: VecDeque<Time>,
}

impl SharedRetryBudget {
    /// Creates an unused budget. `draw` is a random number from 0 to 1.
    pub fn new(options: RetryBudgetOptions, draw: f64) -> Self {
        SharedRetryBudget {
            options,
            draw,
            requests: VecDeque::new(),
            retries: VecDeque::new(),
        }
    }

    /// Records the arrival of a request.
    pub fn record_request(&mut self, now: Time) {
        self.expire(now);
        self.requests.push_back(now);
    }

    /// Records a retry that is made even if the budget is used up.
    pub fn charge(&mut self, now: Time) {
        self.retries.push_back(now);
    }

    /// The balance if `hosts` hosts share the allowance. `now` counts from the start of the process.
    pub fn balance(&mut self, now: Time, hosts: usize) -> Balance {
        self.expire(now);
        let share = self.options.allowance / hosts.max(1) as f64;
        let earned = self.options.ratio * self.requests.len() as f64;
        let age = now.since(Time::ZERO).div_duration_f64(self.options.window);
        let allowed = match age < 1.0 {
            true => (earned + share * age) * FIRST_WINDOW_SHARE,
            false => self.round_up_by_draw((earned + share) * STEADY_SHARE),
        };
        Balance {
            requests: self.requests.len(),
            retries: self.retries.len(),
            allowed,
        }
    }

    /// Rounds a budget below one retry up to one with a probability equal to the budget.
    fn round_up_by_draw(&self, allowed: f64) -> f64 {
        match allowed < 1.0 && self.draw < allowed {
            true => 1.0,
            false => allowed,
        }
    }

    /// Takes one retry if there is room. `hosts` hosts share the allowance.
    pub fn try_retry(&mut self, now: Time, hosts: usize) -> bool {
        let has_room = self.balance(now, hosts).has_room();
        if has_room {
            self.retries.push_back(now);
        }
        has_room
    }

    /// Drops requests and retries that are older than the window.
    fn expire(&mut self, now: Time) {
        for times in [&mut self.requests, &mut self.retries] {
            while times
                .front()
                .is_some_and(|at| now.since(*at) > self.options.window)
            {
                times.pop_front();
            }
        }
    }
}

#[cfg(test)]
mod tests;
