//! Decides which parts of prompts explain the crashes of upstreams.
//!
//! A crash accuses all parts of all requests that it ended before they had written, though one part may have
//! caused it. So a part is implicated only by crashes that no other part explains better: one that was never proved
//! sound comes before those that were, then the one that explains the most, and what it explains no longer counts
//! against others. Parts that are proved sound lose their earlier crashes, and need more of them to be implicated.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use super::suspect::Suspect;
use super::suspect::SuspectKind;
use crate::fingerprint::Fingerprint;
use crate::gateway::instance::InstanceKey;

/// Parts that explain the same crashes. A request with all of them is held back; one with only some of them tells
/// them apart.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Implicated {
    /// The parts, in their order.
    pub parts: Vec<Fingerprint>,
    /// Upstreams whose crashes they explain and no better part does.
    pub crashes: usize,
    /// Parts with as many crashes as suffice that were considered beside these.
    pub alternatives: usize,
}

/// A part with enough crashes to be implicated.
struct Candidate {
    part: Fingerprint,
    was_sound: bool,
    /// Crashes that implicate it.
    crashes_max: usize,
    /// Crashes that no implicated part explains yet.
    crashes: BTreeSet<InstanceKey>,
}

impl Candidate {
    /// Whether it explains the same crashes as `other` with the same standing.
    fn ties_with(&self, other: &Candidate) -> bool {
        self.was_sound == other.was_sound && self.crashes == other.crashes
    }
}

/// The implicated parts, the same for the same evidence in any order.
pub(super) fn implicated(suspects: &BTreeMap<Fingerprint, Suspect>) -> Vec<Implicated> {
    let mut candidates: Vec<Candidate> = suspects
        .iter()
        .filter(|(_, suspect)| suspect.kind == SuspectKind::Part)
        .filter(|(_, suspect)| suspect.crashes.len() >= suspect.crashes_max())
        .map(|(part, suspect)| Candidate {
            part: *part,
            was_sound: suspect.answered_at.is_some(),
            crashes_max: suspect.crashes_max(),
            crashes: suspect.crashes.iter().map(|crash| crash.upstream).collect(),
        })
        .collect();
    let mut groups = Vec::new();
    // Of equals the lowest comes first, which is the same on all hosts.
    while let Some(best) = candidates.iter().max_by_key(|candidate| {
        let part = std::cmp::Reverse(candidate.part);
        (!candidate.was_sound, candidate.crashes.len(), part)
    }) {
        let parts = candidates
            .iter()
            .filter(|candidate| candidate.ties_with(best));
        let parts: Vec<Fingerprint> = parts.map(|candidate| candidate.part).collect();
        let explained = best.crashes.clone();
        groups.push(Implicated {
            crashes: explained.len(),
            alternatives: candidates.len() - parts.len(),
            parts,
        });
        for candidate in &mut candidates {
            candidate.crashes.retain(|crash| !explained.contains(crash));
        }
        candidates.retain(|candidate| candidate.crashes.len() >= candidate.crashes_max);
    }
    groups
}

#[cfg(test)]
mod tests;
