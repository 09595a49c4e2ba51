//! A host's share of a customer's limits, and the arithmetic of sharing them.

use serde::Deserialize;
use serde::Serialize;

use crate::row::CustomerRow;

/// A share of a customer's limits. The shares of all hosts add up to the customer's row.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Share {
    /// Requests a second.
    pub requests_per_s: f64,
    /// Generated tokens a second.
    pub tokens_per_s: f64,
    /// Generations running at once.
    pub concurrent_generations: f64,
    /// Requests waiting at once for one of those.
    pub queue_length: f64,
}

impl Share {
    /// The customer's limits whole, as its row states them.
    pub fn whole(row: &CustomerRow) -> Self {
        Share {
            requests_per_s: f64::from(row.requests_per_s),
            tokens_per_s: f64::from(row.tokens_per_s),
            concurrent_generations: f64::from(row.concurrent_generations),
            queue_length: f64::from(row.queue_length),
        }
    }

    /// One of `parts` equal parts.
    pub fn split(&self, parts: usize) -> Self {
        let parts = parts.max(1) as f64;
        self.map(|value| value / parts)
    }

    /// Moves from this share towards `target`: 0 stays, 1 arrives.
    pub fn towards(&self, target: &Share, fraction: f64) -> Self {
        self.zip(target, |from, to| from + (to - from) * fraction)
    }

    /// Applies `f` to each limit.
    pub fn map(&self, f: impl Fn(f64) -> f64) -> Self {
        Share {
            requests_per_s: f(self.requests_per_s),
            tokens_per_s: f(self.tokens_per_s),
            concurrent_generations: f(self.concurrent_generations),
            queue_length: f(self.queue_length),
        }
    }

    /// Combines each limit with the other share's.
    pub fn zip(&self, other: &Share, f: impl Fn(f64, f64) -> f64) -> Self {
        Share {
            requests_per_s: f(self.requests_per_s, other.requests_per_s),
            tokens_per_s: f(self.tokens_per_s, other.tokens_per_s),
            concurrent_generations: f(self.concurrent_generations, other.concurrent_generations),
            queue_length: f(self.queue_length, other.queue_length),
        }
    }
}
