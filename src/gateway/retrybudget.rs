//! A retry budget that all hosts share without asking each other: each takes its part of the fixed
//! allowance and a ratio of its own requests, over a sliding window.
//!
//! A process knows what it has spent and not what the one before it has, so hosts that start again in series would
//! spend their part each time. In its first window a process uses the share that older ones leave, and of the fixed
//! allowance only what its age has earned: all processes of a host together then stay within its part.
//!
//! Where hosts are so many that the part of one is less than a retry, a host that has run for a window takes one by lot:
//! as many hosts do as their parts make together.

use std::collections::VecDeque;
use std::time::Duration;

use crate::clock::Time;

/// Share of the budget that a process uses once it has run for a window.
const STEADY_SHARE: f64 = 0.6;
/// Share of it that processes use in their first window.
const FIRST_WINDOW_SHARE: f64 = 1.0 - STEADY_SHARE;

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
    draw: f64,
    requests: VecDeque<Time>,
    retries: VecDeque<Time>,
}

impl SharedRetryBudget {
    /// A budget that nothing was taken from. `draw` is drawn from 0 to 1.
    pub fn new(options: RetryBudgetOptions, draw: f64) -> Self {
        SharedRetryBudget {
            options,
            draw,
            requests: VecDeque::new(),
            retries: VecDeque::new(),
        }
    }

    /// A request arrived.
    pub fn record_request(&mut self, now: Time) {
        self.expire(now);
        self.requests.push_back(now);
    }

    /// A request is sent once more whatever the budget says, and counts.
    pub fn charge(&mut self, now: Time) {
        self.retries.push_back(now);
    }

    /// What the budget holds if `hosts` hosts share the allowance. `now` counts from the start of the process.
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

    fn round_up_by_draw(&self, allowed: f64) -> f64 {
        match allowed < 1.0 && self.draw < allowed {
            true => 1.0,
            false => allowed,
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
