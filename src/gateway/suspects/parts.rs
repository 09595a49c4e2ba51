//! Evidence against the parts of prompts, and what follows from it for a request.

use std::time::Duration;

use super::Implicated;
use super::PROBE_TIMEOUT;
use super::SuspectKind;
use super::Suspects;
use super::Verdict;
use super::announce::RELAYED_ANNOUNCEMENTS;
use super::suspect::Crash;
use crate::clock::Time;
use crate::fingerprint::Fingerprint;
use crate::gateway::instance::InstanceId;

/// What the crash of an upstream under a request accuses.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Blame {
    /// The request's content, if it is accused.
    pub content: Option<Fingerprint>,
    /// The parts of its prompt; none if it had proved them sound.
    pub parts: Vec<Fingerprint>,
}

/// The conclusion for a request from the evidence against the parts of its prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PartAssessment {
    /// The first of the implicated parts that decide.
    pub part: Fingerprint,
    /// Parts that explain the same crashes, with this one.
    pub tied: usize,
    /// Upstreams whose crashes they explain.
    pub crashes: usize,
    /// Whether the request may be sent.
    pub verdict: PartVerdict,
}

/// Whether a request with an implicated part may be sent, the freest first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum PartVerdict {
    /// It holds some of the parts that explain the same crashes: one at a time may be sent to tell them apart.
    Probe,
    /// One may be sent as a trial; the time to hold them back is over.
    Trial,
    /// It is held back, for at least this long.
    HeldBack(Duration),
}

/// What changed of the parts that explain crashes.
#[derive(Debug, Default)]
pub struct ImplicatedChanges {
    /// Parts that are implicated, by other crashes than before.
    pub implicated: Vec<Implicated>,
    /// Parts that no longer are.
    pub cleared: Vec<Fingerprint>,
}

impl Suspects {
    /// Records that an upstream crashed under a request with these parts, before it had written on them. Returns
    /// whether that was not known.
    pub fn record_part_crashes(
        &mut self,
        now: Time,
        parts: &[Fingerprint],
        upstream: &InstanceId,
    ) -> bool {
        let crash = Crash {
            upstream: upstream.key(),
            at: now,
        };
        let mut is_new = false;
        for part in parts {
            is_new |= self.observe_crash(now, SuspectKind::Part, *part, crash);
        }
        if is_new {
            self.update_implicated();
        }
        is_new
    }

    /// Records that an upstream wrote on these parts from `at` on, without a crash.
    pub fn record_sound(&mut self, at: Time, parts: &[Fingerprint]) {
        let mut is_cleared = false;
        for part in parts {
            self.sound_parts.record(*part, at);
            if self.clear_before(*part, at) {
                is_cleared = true;
                if let Some(suspect) = self.suspects.get_mut(part) {
                    suspect.is_unwritten = true;
                }
            }
        }
        if is_cleared {
            self.update_implicated();
        }
    }

    /// The conclusion for a request with these parts; none if it may be sent like any other.
    pub fn assess_parts(&self, now: Time, parts: &[Fingerprint]) -> Option<PartAssessment> {
        let groups = self.implicated.iter();
        let assessments = groups.filter_map(|group| self.assess_group(now, group, parts));
        assessments.max_by_key(|assessment| assessment.verdict)
    }

    fn assess_group(
        &self,
        now: Time,
        group: &Implicated,
        parts: &[Fingerprint],
    ) -> Option<PartAssessment> {
        let held = group.parts.iter().filter(|part| parts.contains(part));
        let verdict = match held.count() {
            0 => return None,
            held if held < group.parts.len() => PartVerdict::Probe,
            _ => self.group_verdict(now, group),
        };
        Some(PartAssessment {
            part: *group.parts.first()?,
            tied: group.parts.len(),
            crashes: group.crashes,
            verdict,
        })
    }

    /// The verdict on requests with all parts of a group.
    pub fn group_verdict(&self, now: Time, group: &Implicated) -> PartVerdict {
        let parts = group.parts.iter();
        let verdicts = parts.filter_map(|part| match self.assess(now, *part)?.verdict {
            Verdict::HeldBack(left) => Some(PartVerdict::HeldBack(left)),
            Verdict::Trial | Verdict::Allowed => None,
        });
        verdicts.max().unwrap_or(PartVerdict::Trial)
    }

    /// Begins to send a request that tells tied parts apart. Returns false while another may be running on this
    /// host.
    pub fn begin_probe(&mut self, now: Time, part: Fingerprint) -> bool {
        let Some(suspect) = self.suspects.get_mut(&part) else {
            return false;
        };
        let last = suspect.probe_at;
        let is_free = last.is_none_or(|last| now.since(last) >= PROBE_TIMEOUT);
        if is_free {
            suspect.probe_at = Some(now);
        }
        is_free
    }

    /// Takes the changes of what is implicated since they were last taken.
    pub fn take_implicated_changes(&mut self) -> ImplicatedChanges {
        if self.implicated == self.logged {
            return ImplicatedChanges::default();
        }
        let before = std::mem::replace(&mut self.logged, self.implicated.clone());
        let is_same = |group: &Implicated, other: &Implicated| {
            group.parts == other.parts && group.crashes == other.crashes
        };
        let groups = self.implicated.iter();
        let implicated = groups.filter(|group| !before.iter().any(|before| is_same(group, before)));
        let is_implicated = |part: &Fingerprint| {
            let mut groups = self.implicated.iter();
            groups.any(|group| group.parts.contains(part))
        };
        let cleared = before.iter().flat_map(|group| &group.parts);
        let cleared = cleared.filter(|part| !is_implicated(part));
        ImplicatedChanges {
            implicated: implicated.cloned().collect(),
            cleared: cleared.copied().collect(),
        }
    }

    /// The number of implicated parts.
    pub fn count_implicated(&self) -> usize {
        let groups = self.implicated.iter();
        groups.map(|group| group.parts.len()).sum()
    }

    /// Time since the first of the crashes that are known of a part.
    pub fn evidence_age(&self, now: Time, part: Fingerprint) -> Option<Duration> {
        let crashes = self.suspects.get(&part)?.crashes.iter();
        let first = crashes.map(|crash| crash.at).min()?;
        Some(now.since(first))
    }

    /// Decides anew which parts are implicated.
    pub(super) fn update_implicated(&mut self) {
        self.implicated = super::implicated::implicated(&self.suspects);
    }

    /// Announces that a part was proved sound, to hosts that announced crashes from before.
    pub(super) fn announce_proof(&mut self, part: Fingerprint, proved_at: Option<Time>) {
        let suspect = self.suspect_mut(SuspectKind::Part, part);
        suspect.answered_at = suspect.answered_at.max(proved_at);
        suspect.announcements_left = suspect.announcements_left.max(RELAYED_ANNOUNCEMENTS);
    }
}
