//! Promises that a caller can see, and what breaks them.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::refusal::Ran;
use crate::refusal::Refusal;

/// A broken promise.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(tag = "promise", rename_all = "snake_case")]
pub enum BrokenPromise {
    /// A token came that is not the next one of the request's own answer.
    WrongToken {
        /// The index that was due.
        index: u32,
        /// What came.
        text: String,
    },
    /// The answer was called complete, but its tokens are not all there.
    AnswerNotWhole {
        /// Tokens that came.
        tokens: u32,
        /// Tokens that the answer has.
        expected_tokens: u32,
    },
    /// Something came after the terminal event.
    DataAfterEnd,
    /// The failure tells another count of delivered tokens than came.
    MiscountedFailure {
        /// The count that was told.
        told_tokens: u32,
        /// Tokens that came.
        tokens: u32,
    },
    /// The answer is neither whole nor a failure in the documented form.
    UnclearAnswer {
        /// What came.
        text: String,
    },
    /// The connection ended without a terminal event, which was not allowed in this run.
    Cut {
        /// Tokens that came.
        tokens: u32,
    },
    /// Every try was refused as not run, but the request ran.
    RanDespiteRefusal {
        /// How often it was started.
        started: u64,
    },
    /// The request may run once at most, but ran more often.
    RanTwice {
        /// How often it was started.
        started: u64,
    },
}

/// How one try of a request ended, as its caller knows.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TryEnd {
    /// The whole answer came.
    Complete,
    /// It was refused before any token.
    Refused(Refusal),
    /// It failed after tokens came, in the documented form.
    Failed(Refusal),
    /// The connection ended without a terminal event.
    Cut,
    /// No connection came about: nothing was written.
    NotSent,
    /// What came is not in the documented form.
    Unclear,
}

impl TryEnd {
    /// Whether the request certainly did not run by this try.
    pub fn did_not_run(&self) -> bool {
        match self {
            TryEnd::NotSent => true,
            TryEnd::Refused(refusal) | TryEnd::Failed(refusal) => refusal.ran == Ran::No,
            TryEnd::Complete | TryEnd::Cut | TryEnd::Unclear => false,
        }
    }

    /// Whether a caller may send the request again.
    pub fn may_try_again(&self, repeatable: bool) -> bool {
        match self {
            TryEnd::Complete | TryEnd::Unclear => false,
            TryEnd::Refused(refusal) if !worth_repeating(refusal) => false,
            _ => repeatable || self.did_not_run(),
        }
    }
}

/// Refusals with a 4xx status other than 429 stay what they are.
fn worth_repeating(refusal: &Refusal) -> bool {
    let status = refusal.code.http_status();
    status == 429 || status >= 500
}

/// How often requests were started, by count key, summed over all that count.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RunCounts(BTreeMap<String, u64>);

impl RunCounts {
    /// Adds `started` to what is known of `key`.
    pub fn add(&mut self, key: &str, started: u64) {
        *self.0.entry(key.to_owned()).or_default() += started;
    }

    /// How often the request was started.
    pub fn started(&self, key: &str) -> u64 {
        self.0.get(key).copied().unwrap_or(0)
    }
}

/// What the counts of those that ran a request say against what its caller was told.
pub fn check_runs(
    counts: &RunCounts,
    count_key: &str,
    repeatable: bool,
    tries: &[TryEnd],
) -> Option<BrokenPromise> {
    let started = counts.started(count_key);
    if started > 0 && !tries.is_empty() && tries.iter().all(TryEnd::did_not_run) {
        return Some(BrokenPromise::RanDespiteRefusal { started });
    }
    if !repeatable && started > 1 {
        return Some(BrokenPromise::RanTwice { started });
    }
    None
}

#[cfg(test)]
mod tests;
