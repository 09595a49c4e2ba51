//! Callers who asked for a claim and have no answer yet.

use std::collections::BTreeMap;

use crate::claimstep::Ask;
use crate::clock::Time;
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
    /// Its claim was given to the log's client.
    pub(crate) appended: bool,
    /// No earlier call can hold the key, as far as this host can know.
    unused: bool,
}

impl Waiting {
    /// A caller who asks.
    pub(crate) fn new(ask: Ask, give_up_at: Time, wall_ms: u64) -> Self {
        let age_ms = wall_ms.abs_diff(ask.key.key.created_ms());
        Waiting {
            give_up_at,
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

    /// Records were missed: nothing is known of any key.
    pub(crate) fn forget_proofs(&mut self) {
        for waiting in self.waiting.values_mut() {
            waiting.unused = false;
        }
    }
}
