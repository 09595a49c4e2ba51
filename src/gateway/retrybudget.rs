//! A retry budget that all hosts share without talking: each takes its part of the fixed
//! allowance and a ratio of its own requests, over a sliding window.

use std::collections::VecDeque;
use std::time::Duration;

use crate::clock::Time;

/// Share of the budget that is used, so that uneven parts of the hosts stay within the whole.
const USED_SHARE: f64 = 0.7;

/// Bounds of the budget over all hosts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudgetOptions {
    /// Retries allowed for each request.
    pub ratio: f64,
    /// Retries allowed in a window beside.
    pub allowance: f64,
    /// The window.
    pub window: Duration,
}

/// What a budget holds at one moment.
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
    /// Whether one retry more is allowed.
    pub fn has_room(&self) -> bool {
        self.retries as f64 + 1.0 <= self.allowed
    }
}

/// The budget of one service on one host.
#[derive(Debug)]
pub struct SharedRetryBudget {
    options: RetryBudgetOptions,
    requests: VecDeque<Time>,
    retries: VecDeque<Time>,
}

impl SharedRetryBudget {
    /// A budget that nothing was taken from.
    pub fn new(options: RetryBudgetOptions) -> Self {
        SharedRetryBudget {
            options,
            requests: VecDeque::new(),
            retries: VecDeque::new(),
        }
    }

    /// A request arrived.
    pub fn requested(&mut self, now: Time) {
        self.forget(now);
        self.requests.push_back(now);
    }

    /// A request is sent once more whatever the budget says, and counts.
    pub fn charge(&mut self, now: Time) {
        self.retries.push_back(now);
    }

    /// What the budget holds if `hosts` hosts share the allowance.
    pub fn balance(&mut self, now: Time, hosts: usize) -> Balance {
        self.forget(now);
        let part = self.options.allowance / hosts.max(1) as f64;
        let earned = self.options.ratio * self.requests.len() as f64;
        Balance {
            requests: self.requests.len(),
            retries: self.retries.len(),
            allowed: (earned + part) * USED_SHARE,
        }
    }

    /// Takes one retry, if `hosts` hosts that share the allowance leave this one any.
    pub fn try_retry(&mut self, now: Time, hosts: usize) -> bool {
        let has_room = self.balance(now, hosts).has_room();
        if has_room {
            self.retries.push_back(now);
        }
        has_room
    }

    fn forget(&mut self, now: Time) {
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
