//! Selects the suspects that a host announces to its peers.

use std::cmp::Reverse;
use std::ops::Bound;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::Suspects;
use super::suspect::Suspect;
use super::suspect::SuspectKind;
use crate::clock::Time;
use crate::fingerprint::Fingerprint;
use crate::gateway::instance::InstanceKey;

/// Datagrams in which a host announces a change that it saw itself. One datagram in ten may be lost.
pub(super) const OWN_ANNOUNCEMENTS: u8 = 5;
/// Datagrams in which a host relays a change, beside those of the host that saw it.
pub(super) const RELAYED_ANNOUNCEMENTS: u8 = 1;
/// The most changes in one datagram, of at most 100 bytes each.
pub(super) const CHANGES_MAX: usize = 6;
/// The shortest interval between datagrams that also carry older suspects, in rotation, for hosts that
/// joined or were cut off. Busy hosts send a datagram every 10 ms.
const ROTATION_INTERVAL: Duration = Duration::from_millis(250);
/// Older suspects with several crashes in such a datagram.
const ROTATED_REPEATED_MAX: usize = 3;
/// Older suspects with at most one crash in such a datagram.
const ROTATED_SINGLE_MAX: usize = 1;

/// The evidence against one content or part, as a host announces it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnnouncedSuspect {
    /// The fingerprint of the content or part.
    pub fingerprint: Fingerprint,
    /// Which of them it is.
    pub kind: SuspectKind,
    /// The upstreams that crashed, each with the time since its crash in milliseconds.
    pub crashes: Vec<(InstanceKey, u32)>,
    /// Time since the last complete answer, or since the part was last proved sound, in milliseconds.
    pub answered_ms_ago: Option<u32>,
}

/// The order in which suspects are announced: the one with the most crashes first, and of equals the one that was
/// announced the least.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Urgency(Reverse<usize>, Reverse<u8>);

impl Urgency {
    fn of(suspect: &Suspect) -> Self {
        Urgency(
            Reverse(suspect.crashes.len()),
            Reverse(suspect.announcements_left),
        )
    }
}

impl Suspects {
    /// The suspects for the next datagram: recent changes and, at intervals, older suspects in rotation.
    pub fn announce(&mut self, now: Time) -> Vec<AnnouncedSuspect> {
        let mut announced = self.most_urgent(|suspect| suspect.announcements_left > 0);
        for fingerprint in &announced {
            if let Some(suspect) = self.suspects.get_mut(fingerprint) {
                suspect.announcements_left -= 1;
            }
        }
        for fingerprint in self.next_rotation(now) {
            if !announced.contains(&fingerprint) {
                announced.push(fingerprint);
            }
        }
        let announced = announced.into_iter();
        announced
            .filter_map(|fingerprint| self.snapshot(now, fingerprint))
            .collect()
    }

    /// Takes suspects that this host saw crash an upstream and has not yet taken here.
    pub fn take_observed(&mut self, now: Time) -> Vec<AnnouncedSuspect> {
        let observed = self.most_urgent(|suspect| suspect.is_news);
        for fingerprint in &observed {
            if let Some(suspect) = self.suspects.get_mut(fingerprint) {
                suspect.is_news = false;
            }
        }
        let observed = observed.into_iter();
        observed
            .filter_map(|fingerprint| self.snapshot(now, fingerprint))
            .collect()
    }

    /// The [`CHANGES_MAX`] suspects with the most crashes of those for which `matches` holds. A crash accuses a
    /// dozen parts, of which all hosts need to know the few that others accuse as well.
    fn most_urgent(&self, matches: impl Fn(&Suspect) -> bool) -> Vec<Fingerprint> {
        let suspects = self.suspects.iter();
        let mut matching: Vec<(Urgency, Fingerprint)> = suspects
            .filter(|(_, suspect)| matches(suspect))
            .map(|(fingerprint, suspect)| (Urgency::of(suspect), *fingerprint))
            .collect();
        matching.sort_unstable();
        matching.truncate(CHANGES_MAX);
        matching
            .into_iter()
            .map(|(_, fingerprint)| fingerprint)
            .collect()
    }

    /// The next older suspects in rotation; none if the interval has not passed.
    fn next_rotation(&mut self, now: Time) -> Vec<Fingerprint> {
        let last = self.rotated_at;
        if last.is_some_and(|last| now.since(last) < ROTATION_INTERVAL) {
            return Vec::new();
        }
        self.rotated_at = Some(now);
        let mut next = self.next_matching(
            self.last_repeated,
            ROTATED_REPEATED_MAX,
            Suspect::is_repeated,
        );
        let single = self.next_matching(self.last_single, ROTATED_SINGLE_MAX, Suspect::is_single);
        self.last_repeated = next.last().copied().or(self.last_repeated);
        self.last_single = single.last().copied().or(self.last_single);
        next.extend(single);
        next
    }

    /// The next `count` suspects after `last` for which `matches` holds, wrapping around at the end.
    fn next_matching(
        &self,
        last: Option<Fingerprint>,
        count: usize,
        matches: impl Fn(&Suspect) -> bool,
    ) -> Vec<Fingerprint> {
        let from = last.map_or(Bound::Unbounded, Bound::Excluded);
        let behind = self.suspects.range((from, Bound::Unbounded));
        let to = last.map_or(Bound::Excluded(Fingerprint::MIN), Bound::Included);
        let before = self.suspects.range((Bound::Unbounded, to));
        let matching = behind.chain(before).filter(|(_, suspect)| matches(suspect));
        matching
            .take(count)
            .map(|(fingerprint, _)| *fingerprint)
            .collect()
    }

    /// The evidence that this host has against a content, in the form for peers.
    pub fn snapshot(&self, now: Time, fingerprint: Fingerprint) -> Option<AnnouncedSuspect> {
        let suspect = self.suspects.get(&fingerprint)?;
        let crashes = suspect.crashes.iter();
        Some(AnnouncedSuspect {
            fingerprint,
            kind: suspect.kind,
            crashes: crashes
                .map(|crash| (crash.upstream, ms_since(now, crash.at)))
                .collect(),
            answered_ms_ago: suspect.answered_at.map(|at| ms_since(now, at)),
        })
    }
}

fn ms_since(now: Time, at: Time) -> u32 {
    u32::try_from(now.since(at).as_millis()).unwrap_or(u32::MAX)
}
