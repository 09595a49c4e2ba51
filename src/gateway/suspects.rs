//! Requests that crashed upstreams, by the fingerprint of their content and of the parts of their prompts.
//!
//! A caller sends a request that crashed its upstream again, under another id and to any host. Each crash
//! also ends the other work of that upstream, so hosts hold such a request back after [`CRASHES_MAX`]
//! crashes. Hosts announce every crash to each other. The evidence is a set of instances, which merges in
//! any order and counts a crash once, whichever hosts saw it.
//!
//! An upstream whose connection broke counts as crashed until it answers a later request, or is still
//! listed when the entry of a crashed one would have lapsed, so a reset connection doesn't count as a crash
//! for long. A complete answer clears a content of all earlier crashes. A part of prompts that requests share is
//! cleared by any request with it that an upstream writes on; which parts explain the crashes is decided over all
//! evidence together ([`Implicated`]).

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;

use self::announce::OWN_ANNOUNCEMENTS;
use self::announce::RELAYED_ANNOUNCEMENTS;
use self::soundparts::SoundParts;
use self::suspect::CRASHES_KEPT_MAX;
use self::suspect::Crash;
use self::suspect::EVIDENCE_TTL;
use self::suspect::PROBE_TIMEOUT;
use self::suspect::Suspect;
use self::suspect::TRIAL_TIMEOUT;
use crate::clock::Time;
use crate::fingerprint::Fingerprint;
use crate::gateway::instance::InstanceId;
use crate::gateway::instance::InstanceKey;

mod announce;
mod implicated;
mod parts;
mod soundparts;
mod suspect;

pub use self::announce::AnnouncedSuspect;
pub use self::implicated::Implicated;
pub use self::parts::Blame;
pub use self::parts::PartAssessment;
pub use self::parts::PartVerdict;
pub use self::suspect::Assessment;
pub use self::suspect::CRASHES_MAX;
pub use self::suspect::SuspectKind;
pub use self::suspect::Verdict;

/// An upstream that is still listed this long after its connection broke has not crashed: entries lapse
/// after three heartbeats, 3.6 s on the users' deployments, and are read within a second. Without this
/// rule, a request whose connections live upstreams had reset three times was refused for good in 4 of 6
/// runs in which nothing else was answered.
const STALE_LISTING_MAX: Duration = Duration::from_secs(6);
/// Contents and parts to remember, some 300 bytes each. Those with the fewest and oldest crashes are evicted first.
const SUSPECTS_MAX: usize = 4_096;

/// The suspects that a host knows.
#[derive(Debug, Default)]
pub struct Suspects {
    suspects: BTreeMap<Fingerprint, Suspect>,
    /// Parts that this host saw proved sound.
    sound_parts: SoundParts,
    /// The parts that explain crashes, by the present evidence.
    implicated: Vec<Implicated>,
    /// Those last taken for the log.
    logged: Vec<Implicated>,
    /// When each upstream recorded as crashed was last known to be alive.
    alive_at: HashMap<InstanceKey, Time>,
    /// The suspect with several crashes that was last announced in rotation.
    last_repeated: Option<Fingerprint>,
    /// The other suspect that was last announced in rotation.
    last_single: Option<Fingerprint>,
    rotated_at: Option<Time>,
    /// Since when this host's list of upstreams has been fresh without a gap.
    listing_fresh_since: Option<Time>,
}

/// The upstreams that a host knows to be listed and reachable.
#[derive(Debug)]
pub enum ListedUpstreams {
    /// The list may be stale.
    Unknown,
    /// The list is fresh.
    Fresh(HashSet<InstanceKey>),
}

impl Suspects {
    /// Records that the connection to `upstream` broke while it ran a request. Returns the new assessment
    /// if the crash was not known.
    pub fn record_crash(
        &mut self,
        now: Time,
        fingerprint: Fingerprint,
        upstream: &InstanceId,
    ) -> Option<Assessment> {
        let crash = Crash {
            upstream: upstream.key(),
            at: now,
        };
        match self.observe_crash(now, SuspectKind::Content, fingerprint, crash) {
            true => self.assess(now, fingerprint),
            false => None,
        }
    }

    /// Adds a crash that this host saw. Returns whether it was not known.
    fn observe_crash(
        &mut self,
        now: Time,
        kind: SuspectKind,
        fingerprint: Fingerprint,
        crash: Crash,
    ) -> bool {
        let is_new = self.add_crash(kind, fingerprint, crash);
        if is_new && let Some(suspect) = self.suspects.get_mut(&fingerprint) {
            suspect.observed_at = Some(now);
            suspect.announcements_left = OWN_ANNOUNCEMENTS;
            suspect.is_unwritten = true;
            suspect.is_news = true;
        }
        is_new
    }

    /// Records a complete answer to a request. Returns the assessment before it, if the content was a
    /// suspect.
    pub fn record_answer(&mut self, now: Time, fingerprint: Fingerprint) -> Option<Assessment> {
        let before = self.assess(now, fingerprint);
        self.clear_before(fingerprint, now);
        if before.is_some_and(|before| before.crashes > 1)
            && let Some(suspect) = self.suspects.get_mut(&fingerprint)
        {
            suspect.is_unwritten = true;
        }
        before
    }

    /// Records that `upstream` answered a request sent at `sent_at`, so it had not crashed before that.
    pub fn record_alive(&mut self, sent_at: Time, upstream: &InstanceId) {
        if self.alive_at.is_empty() {
            return;
        }
        let key = upstream.key();
        if self.alive_at.contains_key(&key) && self.retract(key, sent_at) {
            self.update_implicated();
        }
    }

    /// Whether nothing is recorded of any content or upstream.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty() && self.alive_at.is_empty()
    }

    /// Retracts crashes of upstreams that have stayed listed for longer than a crashed one would.
    pub fn check_listed(&mut self, now: Time, listed: &ListedUpstreams) {
        let ListedUpstreams::Fresh(listed) = listed else {
            self.listing_fresh_since = None;
            return;
        };
        let fresh_since = *self.listing_fresh_since.get_or_insert(now);
        if now.since(fresh_since) < STALE_LISTING_MAX {
            return;
        }
        let lapsed_before = Time::from_us(
            now.as_us()
                .saturating_sub(STALE_LISTING_MAX.as_micros() as u64),
        );
        let alive: Vec<InstanceKey> = self.alive_at.keys().copied().collect();
        for upstream in alive
            .into_iter()
            .filter(|upstream| listed.contains(upstream))
        {
            self.retract(upstream, lapsed_before);
        }
        self.update_implicated();
    }

    /// The assessment of a content; none if no crash is known.
    pub fn assess(&self, now: Time, fingerprint: Fingerprint) -> Option<Assessment> {
        self.suspects.get(&fingerprint)?.assess(now)
    }

    /// Begins the trial of a content. Returns false while another trial may be running on this host.
    pub fn begin_trial(&mut self, now: Time, fingerprint: Fingerprint) -> bool {
        let Some(suspect) = self.suspects.get_mut(&fingerprint) else {
            return false;
        };
        let last = suspect.trial_at;
        let is_free = last.is_none_or(|last| now.since(last) >= TRIAL_TIMEOUT);
        if is_free {
            suspect.trial_at = Some(now);
        }
        is_free
    }

    /// Merges suspects that another host announced. Returns the contents whose assessment changed.
    pub fn merge(
        &mut self,
        now: Time,
        announced: &[AnnouncedSuspect],
    ) -> Vec<(Fingerprint, Assessment)> {
        let mut changed = Vec::new();
        let mut is_any_new = false;
        for suspect in announced {
            let fingerprint = suspect.fingerprint;
            let answered_at = suspect.answered_ms_ago.map(|ms| time_before(now, ms));
            let proved_at = self.sound_parts.proved_at(fingerprint);
            let answered_at = answered_at.max(proved_at);
            let mut is_refuted = false;
            let mut is_new = answered_at.is_some_and(|at| self.clear_before(fingerprint, at));
            for (upstream, ms) in suspect.crashes.iter().take(CRASHES_KEPT_MAX) {
                let crash = Crash {
                    upstream: *upstream,
                    at: time_before(now, *ms),
                };
                is_new |= self.add_crash(suspect.kind, fingerprint, crash);
                is_refuted |= proved_at.is_some_and(|at| at > crash.at);
            }
            if let Some(known) = self.suspects.get_mut(&fingerprint) {
                known.answered_at = known.answered_at.max(answered_at);
            }
            is_any_new |= is_new;
            if is_refuted && suspect.crashes.len() > 1 {
                self.announce_proof(fingerprint, proved_at);
            }
            if is_new {
                self.schedule_relay(fingerprint);
                let assessment = self.assess(now, fingerprint);
                changed.extend(assessment.map(|assessment| (fingerprint, assessment)));
            }
        }
        if is_any_new {
            self.update_implicated();
        }
        changed
    }

    /// Takes the contents whose last change this host saw and has not yet written to the platform's log:
    /// those with at least `crashes_min` crashes, and those that were cleared.
    pub fn take_unwritten(&mut self, crashes_min: usize) -> Vec<Fingerprint> {
        let mut taken = Vec::new();
        for (fingerprint, suspect) in &mut self.suspects {
            if suspect.is_unwritten && suspect.is_worth_storing(crashes_min) {
                suspect.is_unwritten = false;
                suspect.is_stored = true;
                taken.push(*fingerprint);
            }
        }
        taken
    }

    /// Marks what this host observed as unwritten, because the log may have lost it.
    pub fn mark_unwritten(&mut self) {
        for suspect in self.suspects.values_mut() {
            suspect.is_unwritten |= suspect.observed_at.is_some();
        }
    }

    /// Drops evidence that has expired.
    pub fn expire(&mut self, now: Time) {
        self.suspects
            .retain(|_, suspect| now.since(suspect.last_change()) < suspect.ttl());
        self.update_implicated();
        let suspects = &self.suspects;
        self.alive_at.retain(|upstream, alive_at| {
            now.since(*alive_at) < EVIDENCE_TTL
                || suspects
                    .values()
                    .any(|suspect| suspect.has_crash_of(*upstream))
        });
    }

    /// The number of contents held back, and of all contents recorded.
    pub fn count(&self, now: Time) -> (usize, usize) {
        let contents = self
            .suspects
            .values()
            .filter(|suspect| suspect.kind == SuspectKind::Content);
        let is_held_back = |suspect: &&Suspect| {
            let assessment = suspect.assess(now);
            assessment.is_some_and(|assessment| assessment.verdict != Verdict::Allowed)
        };
        let held_back = contents.clone().filter(is_held_back);
        (held_back.count(), contents.count())
    }

    /// Retracts crashes of `upstream` before `alive_at`. Returns whether there were any.
    fn retract(&mut self, upstream: InstanceKey, alive_at: Time) -> bool {
        let known = self.alive_at.entry(upstream).or_insert(alive_at);
        *known = (*known).max(alive_at);
        let mut is_retracted = false;
        for suspect in self.suspects.values_mut() {
            let crashes = &mut suspect.crashes;
            let known = crashes.len();
            crashes.retain(|crash| crash.upstream != upstream || crash.at >= alive_at);
            is_retracted |= crashes.len() < known;
        }
        self.suspects.retain(|_, suspect| !suspect.is_empty());
        is_retracted
    }

    /// Adds a crash. Returns whether it was not known.
    fn add_crash(&mut self, kind: SuspectKind, fingerprint: Fingerprint, crash: Crash) -> bool {
        let alive_at = *self.alive_at.entry(crash.upstream).or_insert(Time::ZERO);
        if alive_at > crash.at {
            return false;
        }
        let proved_at = self.sound_parts.proved_at(fingerprint);
        if proved_at.is_some_and(|at| at > crash.at) {
            return false;
        }
        let suspect = self.suspect_mut(kind, fingerprint);
        suspect.answered_at = suspect.answered_at.max(proved_at);
        if suspect.answered_at.is_some_and(|at| at > crash.at) {
            return false;
        }
        suspect.add_crash(crash)
    }

    /// The suspect of this fingerprint, which is added if it isn't known.
    fn suspect_mut(&mut self, kind: SuspectKind, fingerprint: Fingerprint) -> &mut Suspect {
        if !self.suspects.contains_key(&fingerprint) {
            self.evict_if_full();
        }
        let suspect = self.suspects.entry(fingerprint).or_default();
        suspect.kind = kind;
        suspect
    }

    /// Schedules a relayed announcement of a content with several crashes. The host that gets the next
    /// repeat needs to know of it.
    fn schedule_relay(&mut self, fingerprint: Fingerprint) {
        if let Some(suspect) = self.suspects.get_mut(&fingerprint)
            && suspect.is_repeated()
        {
            suspect.announcements_left = suspect.announcements_left.max(RELAYED_ANNOUNCEMENTS);
        }
    }

    /// Clears all crashes before an answer. Returns whether there were any.
    fn clear_before(&mut self, fingerprint: Fingerprint, answered_at: Time) -> bool {
        let Some(suspect) = self.suspects.get_mut(&fingerprint) else {
            return false;
        };
        let known = suspect.crashes.len();
        suspect.crashes.retain(|crash| crash.at >= answered_at);
        suspect.answered_at = suspect.answered_at.max(Some(answered_at));
        let is_new = suspect.crashes.len() < known;
        if is_new {
            suspect.announcements_left = RELAYED_ANNOUNCEMENTS;
        }
        is_new
    }

    /// Evicts the content with the fewest and oldest crashes if the table is full.
    fn evict_if_full(&mut self) {
        if self.suspects.len() < SUSPECTS_MAX {
            return;
        }
        let least = self
            .suspects
            .iter()
            .min_by_key(|(_, suspect)| (suspect.crashes.len(), suspect.last_change()));
        if let Some(fingerprint) = least.map(|(fingerprint, _)| *fingerprint) {
            self.suspects.remove(&fingerprint);
        }
    }
}

/// The time `ms` before `now`, and zero at the earliest.
fn time_before(now: Time, ms: u32) -> Time {
    Time::from_us(now.as_us().saturating_sub(u64::from(ms) * 1_000))
}

#[cfg(test)]
mod tests;
