//! Remembers the parts of prompts that were lately proved sound: upstreams wrote on them and went on.

use std::collections::BTreeSet;
use std::collections::HashMap;

use crate::clock::Time;
use crate::fingerprint::Fingerprint;

/// Parts to remember, some 100 bytes each. Those proved the longest ago are forgotten first.
const PARTS_MAX: usize = 8_192;

/// When each part was last proved sound on this host.
#[derive(Debug, Default)]
pub(super) struct SoundParts {
    proved_at: HashMap<Fingerprint, Time>,
    by_time: BTreeSet<(Time, Fingerprint)>,
}

impl SoundParts {
    /// Records that a part was sound at `at`.
    pub(super) fn record(&mut self, part: Fingerprint, at: Time) {
        if let Some(known) = self.proved_at.get(&part).copied() {
            if known >= at {
                return;
            }
            self.by_time.remove(&(known, part));
        }
        self.proved_at.insert(part, at);
        self.by_time.insert((at, part));
        if self.proved_at.len() > PARTS_MAX
            && let Some((_, oldest)) = self.by_time.pop_first()
        {
            self.proved_at.remove(&oldest);
        }
    }

    /// When a part was last proved sound.
    pub(super) fn proved_at(&self, part: Fingerprint) -> Option<Time> {
        self.proved_at.get(&part).copied()
    }
}

#[cfg(test)]
mod tests;
