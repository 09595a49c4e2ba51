//! Requests under which upstreams crashed, by the fingerprint of their content.
//!
//! A request that crashes what runs it is sent again by its caller, under another id and to any host. Each
//! crash takes the work beside it along, so after [`CRASHES_MAX`] of them hosts hold such a request back. Hosts
//! tell each other of every crash: evidence is a set of instances, which merges in any order and counts
//! none twice, whoever saw its end.
//!
//! An upstream whose connection broke is taken for crashed until it answers a later request, or is still listed
//! when a crashed one would have lapsed; so a reset connection is held against nobody for long. A content that is
//! answered in whole is cleared of all crashes before.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;

use self::announce::OWN_ANNOUNCEMENTS;
use self::announce::RELAYED_ANNOUNCEMENTS;
use self::suspect::CRASHES_KEPT_MAX;
use self::suspect::Crash;
use self::suspect::EVIDENCE_TTL;
use self::suspect::Suspect;
use self::suspect::TRIAL_TIMEOUT;
use crate::clock::Time;
use crate::fingerprint::Fingerprint;
use crate::gateway::instance::InstanceId;
use crate::gateway::instance::InstanceKey;

mod announce;
mod suspect;

pub use self::announce::AnnouncedSuspect;
pub use self::suspect::Assessment;
pub use self::suspect::CRASHES_MAX;
pub use self::suspect::Verdict;

/// An upstream that is listed so long after its connection broke has not crashed: entries lapse after three
/// heartbeats, 3.6 s on the users' deployments, and are read within a second. Without this a request whose
/// connections living upstreams had reset three times was refused for good in 4 plays of 6 in which nothing else
/// was answered.
const STALE_LISTING_MAX: Duration = Duration::from_secs(6);
/// Requests that are remembered, some 200 bytes each; those with the fewest and oldest crashes go first.
const SUSPECTS_MAX: usize = 4_096;
/// The suspects that a host knows.
#[derive(Debug, Default)]
pub struct Suspects {
    suspects: BTreeMap<Fingerprint, Suspect>,
    /// When upstreams that are recorded as crashed were last known to be alive.
    alive_at: HashMap<InstanceKey, Time>,
    /// The last ones that were told in turn.
    last_repeated: Option<Fingerprint>,
    last_single: Option<Fingerprint>,
    rotated_at: Option<Time>,
    /// Since when this host has known without a gap which upstreams are listed.
    listing_fresh_since: Option<Time>,
}

/// Which upstreams a host knows to be listed and reachable.
#[derive(Debug)]
pub enum ListedUpstreams {
    /// Its view may be old.
    Unknown,
    /// These.
    Fresh(HashSet<InstanceKey>),
}

impl Suspects {
    /// The connection to `upstream` broke while it ran a request. The new standing, if that is news.
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
        if !self.add_crash(fingerprint, crash) {
            return None;
        }
        if let Some(suspect) = self.suspects.get_mut(&fingerprint) {
            suspect.observed_at = Some(now);
            suspect.announcements_left = OWN_ANNOUNCEMENTS;
            suspect.is_unwritten = true;
        }
        self.assess(now, fingerprint)
    }

    /// An upstream answered such a request in whole. Its standing before, if it was a suspect.
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

    /// `upstream` answered a request that was sent at `sent_at`: it had not crashed before.
    pub fn record_alive(&mut self, sent_at: Time, upstream: &InstanceId) {
        if self.alive_at.is_empty() {
            return;
        }
        let key = upstream.key();
        if self.alive_at.contains_key(&key) {
            self.retract(key, sent_at);
        }
    }

    /// Whether nothing is remembered, of requests or of upstreams.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty() && self.alive_at.is_empty()
    }

    /// Takes back the crashes of what is listed though it would have lapsed if it had crashed.
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
    }

    /// What is believed of a content; none if nothing is known against it.
    pub fn assess(&self, now: Time, fingerprint: Fingerprint) -> Option<Assessment> {
        self.suspects.get(&fingerprint)?.assess(now)
    }

    /// Begins the trial of a content; false while another one may be under way here.
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

    /// Takes what another host tells. The contents whose standing it changed.
    pub fn merge(
        &mut self,
        now: Time,
        announced: &[AnnouncedSuspect],
    ) -> Vec<(Fingerprint, Assessment)> {
        let mut changed = Vec::new();
        for suspect in announced {
            let fingerprint = suspect.fingerprint;
            let answered_at = suspect.answered_ms_ago.map(|ms| time_before(now, ms));
            let mut is_news = answered_at.is_some_and(|at| self.clear_before(fingerprint, at));
            for (upstream, ms) in suspect.crashes.iter().take(CRASHES_KEPT_MAX) {
                let crash = Crash {
                    upstream: *upstream,
                    at: time_before(now, *ms),
                };
                is_news |= self.add_crash(fingerprint, crash);
            }
            if is_news {
                self.schedule_relay(fingerprint);
                let assessment = self.assess(now, fingerprint);
                changed.extend(assessment.map(|assessment| (fingerprint, assessment)));
            }
        }
        changed
    }

    /// What this host saw of contents under which at least `crashes_min` upstreams crashed, or that were
    /// cleared of that, since the last call.
    pub fn take_unwritten(&mut self, crashes_min: usize) -> Vec<Fingerprint> {
        let mut taken = Vec::new();
        for (fingerprint, suspect) in &mut self.suspects {
            let is_cleared = suspect.crashes.is_empty() && suspect.answered_at.is_some();
            if suspect.is_unwritten && (is_cleared || suspect.crashes.len() >= crashes_min) {
                suspect.is_unwritten = false;
                taken.push(*fingerprint);
            }
        }
        taken
    }

    /// What was written to the log may be lost.
    pub fn mark_unwritten(&mut self) {
        for suspect in self.suspects.values_mut() {
            suspect.is_unwritten |= suspect.observed_at.is_some();
        }
    }

    /// Forgets what is too old to matter.
    pub fn expire(&mut self, now: Time) {
        self.suspects
            .retain(|_, suspect| now.since(suspect.last_change()) < suspect.ttl());
        let suspects = &self.suspects;
        self.alive_at.retain(|upstream, alive_at| {
            now.since(*alive_at) < EVIDENCE_TTL
                || suspects
                    .values()
                    .any(|suspect| suspect.has_crash_of(*upstream))
        });
    }

    /// Contents that are held back, and all that are remembered.
    pub fn count(&self, now: Time) -> (usize, usize) {
        let fingerprints = self.suspects.keys();
        let held_back = fingerprints.filter(|fingerprint| {
            let assessment = self.assess(now, **fingerprint);
            assessment.is_some_and(|assessment| assessment.verdict != Verdict::Allowed)
        });
        (held_back.count(), self.suspects.len())
    }

    /// Takes back that `upstream` crashed before `alive_at`.
    fn retract(&mut self, upstream: InstanceKey, alive_at: Time) {
        let known = self.alive_at.entry(upstream).or_insert(alive_at);
        *known = (*known).max(alive_at);
        for suspect in self.suspects.values_mut() {
            let crashes = &mut suspect.crashes;
            crashes.retain(|crash| crash.upstream != upstream || crash.at >= alive_at);
        }
        self.suspects.retain(|_, suspect| !suspect.is_empty());
    }

    /// Adds a crash to what is known; true if it is news.
    fn add_crash(&mut self, fingerprint: Fingerprint, crash: Crash) -> bool {
        let alive_at = *self.alive_at.entry(crash.upstream).or_insert(Time::ZERO);
        if alive_at > crash.at {
            return false;
        }
        if !self.suspects.contains_key(&fingerprint) {
            self.evict_if_full();
        }
        let suspect = self.suspects.entry(fingerprint).or_default();
        if suspect.answered_at.is_some_and(|at| at > crash.at) {
            return false;
        }
        suspect.add_crash(crash)
    }

    /// Tells on what was heard, if it matters to whoever is sent the next repeat.
    fn schedule_relay(&mut self, fingerprint: Fingerprint) {
        if let Some(suspect) = self.suspects.get_mut(&fingerprint)
            && suspect.is_repeated()
        {
            suspect.announcements_left = suspect.announcements_left.max(RELAYED_ANNOUNCEMENTS);
        }
    }

    /// Takes back all crashes before an answer; true if there were any.
    fn clear_before(&mut self, fingerprint: Fingerprint, answered_at: Time) -> bool {
        let Some(suspect) = self.suspects.get_mut(&fingerprint) else {
            return false;
        };
        let known = suspect.crashes.len();
        suspect.crashes.retain(|crash| crash.at >= answered_at);
        suspect.answered_at = suspect.answered_at.max(Some(answered_at));
        let is_news = suspect.crashes.len() < known;
        if is_news {
            suspect.announcements_left = RELAYED_ANNOUNCEMENTS;
        }
        is_news
    }

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

fn time_before(now: Time, ms: u32) -> Time {
    Time::from_us(now.as_us().saturating_sub(u64::from(ms) * 1_000))
}

#[cfg(test)]
mod tests;
