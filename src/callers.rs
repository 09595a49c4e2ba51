//! Callers who asked for a claim and have no answer yet.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::claimstep::Ask;
use crate::clock::Time;
use crate::holdings::Holdings;
use crate::id::ClaimId;
use crate::refusal::Ran;

/// A key younger than this had no time for an earlier call, in milliseconds.
const FRESH_KEY_MS: u64 = 500;

/// A caller without an answer.
#[derive(Debug)]
pub(crate) struct Waiting {
    /// What it asked.
    pub(crate) ask: Ask,
    /// When it is refused at the latest.
    pub(crate) give_up_at: Time,
    /// Its claim was given to the outbox.
    pub(crate) appended: bool,
    asked_at: Time,
    /// No earlier call can hold the key, as far as this host can know.
    unused: bool,
}

impl Waiting {
    /// A caller who asks at `now` and waits no longer than `wait`.
    pub(crate) fn new(ask: Ask, now: Time, wall_ms: u64, wait: Duration) -> Self {
        let age_ms = wall_ms.abs_diff(ask.key.key.created_ms());
        Waiting {
            asked_at: now,
            give_up_at: ask.deadline.min(now + wait),
            appended: false,
            unused: age_ms <= FRESH_KEY_MS,
            ask,
        }
    }

    /// Whether a request with the key ran, if this caller is refused.
    pub(crate) fn ran(&self) -> Ran {
        match self.unused {
            true => Ran::No,
            false => Ran::Unknown,
        }
    }
}

/// Callers by their claim.
#[derive(Debug, Default)]
pub(crate) struct Callers {
    waiting: BTreeMap<ClaimId, Waiting>,
}

impl Callers {
    /// How many there are.
    pub(crate) fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Adds one.
    pub(crate) fn insert(&mut self, waiting: Waiting) {
        self.waiting.insert(waiting.ask.claim, waiting);
    }

    /// The caller of a claim.
    pub(crate) fn get(&self, claim: ClaimId) -> Option<&Waiting> {
        self.waiting.get(&claim)
    }

    /// Takes the caller of a claim out.
    pub(crate) fn remove(&mut self, claim: ClaimId) -> Option<Waiting> {
        self.waiting.remove(&claim)
    }

    /// Takes out all that are `wanted`, in the order of their claims.
    pub(crate) fn take(&mut self, wanted: impl Fn(&Waiting) -> bool) -> Vec<Waiting> {
        let claims = self.waiting.iter().filter(|(_, waiting)| wanted(waiting));
        let claims = claims.map(|(claim, _)| *claim).collect::<Vec<_>>();
        let taken = claims.iter().filter_map(|claim| self.waiting.remove(claim));
        taken.collect()
    }

    /// When the first has to be refused.
    pub(crate) fn first_give_up_at(&self) -> Option<Time> {
        let times = self.waiting.values().map(|waiting| waiting.give_up_at);
        times.min()
    }

    /// A read that began at `began` reached the head: keys not held there were not used before.
    pub(crate) fn prove_unused(&mut self, began: Time, holdings: &Holdings) {
        for waiting in self.waiting.values_mut() {
            let key = &waiting.ask.key;
            let is_known = waiting.asked_at < began && holdings.covers(key.key);
            if is_known && holdings.holding(key).is_none() {
                waiting.unused = true;
            }
        }
    }

    /// Records were missed: nothing is known of any key.
    pub(crate) fn forget_proofs(&mut self) {
        for waiting in self.waiting.values_mut() {
            waiting.unused = false;
        }
    }
}
