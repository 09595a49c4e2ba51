//! The requests that hold a grant or run, with what was granted, charged and predicted for each.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::time::Duration;

use crate::admission::Trajectory;
use crate::clock::Time;
use crate::id::AttemptId;
use crate::id::ClassId;
use crate::id::CustomerId;
use crate::id::RequestId;
use crate::placement::Slot;

/// A running generation's forecast is renewed after at least this many tokens.
const RENEW_TOKENS_MIN: u32 = 8;
/// And after at most this many.
const RENEW_TOKENS_MAX: u32 = 64;

/// Ended attempts are remembered this long, so that late reports don't bring them back.
const ENDED_KEPT: Duration = Duration::from_secs(30);

/// A granted request.
#[derive(Debug)]
pub(crate) struct Running {
    /// Where it runs.
    pub(crate) slot: Slot,
    /// Who pays.
    pub(crate) customer: CustomerId,
    /// Its class.
    pub(crate) class: ClassId,
    /// Whether it may be started again elsewhere.
    pub(crate) repeatable: bool,
    /// Prompt length.
    pub(crate) prompt_tokens: u32,
    /// The caller's bound on the output.
    pub(crate) max_output_tokens: u32,
    /// Tokens generated so far.
    pub(crate) output_tokens: u32,
    /// Tokens generated before this scheduler knew of it.
    pub(crate) adopted_tokens: u32,
    /// Tokens charged so far.
    pub(crate) charged_tokens: i64,
    /// Share of the prompt that was hoped to be cached.
    pub(crate) cached_share: f64,
    /// When it was granted.
    pub(crate) granted: Time,
    /// When the grant is void unless started.
    pub(crate) expires: Option<Time>,
    /// Its attempt, once started.
    pub(crate) attempt: Option<AttemptId>,
    /// Reports in a row that should have named it and did not.
    pub(crate) missing_reports: u32,
    /// It was asked to move away.
    pub(crate) relocating: bool,
    /// Its part of the upstream's forecast.
    pub(crate) trajectory: Trajectory,
    /// The forecast is renewed when this many tokens are generated.
    pub(crate) renew_at_tokens: u32,
}

impl Running {
    /// Tokens to be charged by now: the prompt and what was generated here.
    pub(crate) fn due_tokens(&self) -> i64 {
        let generated = self.output_tokens.saturating_sub(self.adopted_tokens);
        i64::from(self.prompt_tokens) + i64::from(generated)
    }

    /// Whether it may be cancelled and started elsewhere.
    pub(crate) fn movable(&self) -> bool {
        self.repeatable && self.output_tokens == 0 && !self.relocating
    }

    /// Sets when the forecast is next renewed.
    pub(crate) fn renewed(&mut self) {
        let step = (self.output_tokens / 16).clamp(RENEW_TOKENS_MIN, RENEW_TOKENS_MAX);
        self.renew_at_tokens = self.output_tokens.saturating_add(step);
    }
}

/// The granted requests.
#[derive(Debug, Default)]
pub(crate) struct Ledger {
    running: HashMap<RequestId, Running>,
    by_attempt: HashMap<AttemptId, RequestId>,
    expiries: BTreeSet<(Time, RequestId)>,
    ended: HashSet<AttemptId>,
    ended_order: VecDeque<(Time, AttemptId)>,
}

impl Ledger {
    /// Number of granted requests.
    pub(crate) fn len(&self) -> usize {
        self.running.len()
    }

    /// A granted request.
    pub(crate) fn get(&self, request: RequestId) -> Option<&Running> {
        self.running.get(&request)
    }

    /// The same, to change.
    pub(crate) fn get_mut(&mut self, request: RequestId) -> Option<&mut Running> {
        self.running.get_mut(&request)
    }

    /// The request of an attempt.
    pub(crate) fn by_attempt(&self, attempt: AttemptId) -> Option<RequestId> {
        self.by_attempt.get(&attempt).copied()
    }

    /// Adds a granted request.
    pub(crate) fn insert(&mut self, request: RequestId, running: Running) {
        if let Some(expires) = running.expires {
            self.expiries.insert((expires, request));
        }
        self.running.insert(request, running);
    }

    /// Notes that a granted request was dispatched.
    pub(crate) fn started(&mut self, request: RequestId, attempt: AttemptId) {
        let Some(running) = self.running.get_mut(&request) else {
            return;
        };
        if let Some(expires) = running.expires.take() {
            self.expiries.remove(&(expires, request));
        }
        if let Some(earlier) = running.attempt.replace(attempt) {
            self.by_attempt.remove(&earlier);
        }
        self.by_attempt.insert(attempt, request);
    }

    /// Takes a request out and remembers its attempt for a while.
    pub(crate) fn remove(&mut self, now: Time, request: RequestId) -> Option<Running> {
        let running = self.running.remove(&request)?;
        if let Some(expires) = running.expires {
            self.expiries.remove(&(expires, request));
        }
        if let Some(attempt) = running.attempt {
            self.by_attempt.remove(&attempt);
            self.remember(now, attempt);
        }
        Some(running)
    }

    /// Whether an attempt runs here or did a while ago.
    pub(crate) fn knows(&self, attempt: AttemptId) -> bool {
        self.by_attempt.contains_key(&attempt) || self.ended.contains(&attempt)
    }

    fn remember(&mut self, now: Time, attempt: AttemptId) {
        self.ended.insert(attempt);
        self.ended_order.push_back((now, attempt));
        while let Some((ended, oldest)) = self.ended_order.front().copied() {
            if now.since(ended) < ENDED_KEPT {
                return;
            }
            self.ended_order.pop_front();
            self.ended.remove(&oldest);
        }
    }

    /// When the next grant is void.
    pub(crate) fn next_expiry(&self) -> Option<Time> {
        self.expiries.first().map(|(time, _)| *time)
    }

    /// A grant that is void at `now`.
    pub(crate) fn expired(&self, now: Time) -> Option<RequestId> {
        let (expires, request) = self.expiries.first().copied()?;
        (expires <= now).then_some(request)
    }
}

#[cfg(test)]
mod tests;
