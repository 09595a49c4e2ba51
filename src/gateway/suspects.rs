//! Requests under which upstreams crashed, by the fingerprint of their content.
//!
//! A request that crashes what runs it is sent again by its caller, under another id and to any host. Each
//! crash takes the work beside it along, so after [`CRASHES_MAX`] of them hosts hold such a request back. Hosts
//! tell each other of every crash: evidence is a set of instances, which merges in any order and counts
//! none twice, whoever saw its end.
//!
//! An upstream whose connection broke is taken for crashed until it answers a later request, or is still listed
//! when a crashed one would have lapsed; so a reset connection accuses nobody for long. A content that is
//! answered in whole is cleared of all crashes before.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::ops::Bound;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::clock::Time;
use crate::fingerprint::Fingerprint;
use crate::gateway::instance::InstanceId;
use crate::gateway::instance::InstanceKey;

/// Crashes after which a request is held back. One or two beside crashes of other causes happen to
/// requests that callers repeat; three without an answer in between don't.
pub const CRASHES_MAX: usize = 3;
/// A request is held back for this long after its last crash, and then tried by one host. Three upstreams
/// that ran an innocent request may have been lost together, and nobody runs it any more who could clear it.
const HELD_BACK_MIN: Duration = Duration::from_secs(15);
/// So many times longer after each further crash: 15 s, 2 min, 16 min, 2.1 h,
const HELD_BACK_FACTOR: u32 = 8;
/// and no longer than this, so that a request whose cause was mended comes through.
const HELD_BACK_MAX: Duration = Duration::from_secs(6 * 60 * 60);
/// A trial that neither crashed its upstream nor was answered in this time was none.
const TRIAL_LASTS: Duration = Duration::from_secs(30);
/// Evidence is forgotten after this time, if it holds nothing back.
const REMEMBERED: Duration = Duration::from_secs(600);
/// An upstream that is listed so long after its connection broke has not crashed: entries lapse after three
/// heartbeats, 3.6 s on the users' deployments, and are read within a second. Without this a request whose
/// connections living upstreams reset three times was held back for ten minutes.
const LISTED_WITHOUT: Duration = Duration::from_secs(6);
/// Crashes that are kept of one request; the time for which it is held back grows no further.
const CRASHES_KEPT: usize = 8;
/// Requests that are remembered, some 200 bytes each; those with the fewest and oldest crashes go first.
const REQUESTS_MAX: usize = 4_096;
/// So many datagrams tell of what a host saw itself: one in ten may be lost.
const OWN_TELLINGS: u8 = 5;
/// So many tell of a repeated crash that it heard of, beside those of the host that saw it.
const HEARD_TELLINGS: u8 = 1;
/// Such news in one datagram, at most 100 bytes each.
const NEWS_TOLD: usize = 6;
/// Between two datagrams that tell of older suspects in turn, for hosts that joined or were cut off: hosts
/// with much to do send a datagram each 10 ms.
const TURN_INTERVAL: Duration = Duration::from_millis(250);
/// Older suspects that such a datagram tells of: requests under which several upstreams crashed,
const REPEATED_TOLD: usize = 3;
/// and those with a single crash.
const SINGLE_TOLD: usize = 1;

/// An upstream that ended while it ran a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Crash {
    upstream: InstanceKey,
    at: Time,
}

/// What is known of the requests with one content.
#[derive(Debug, Clone, Default)]
struct Suspect {
    crashes: Vec<Crash>,
    answered_at: Option<Time>,
    changed_at: Time,
    /// When this host last saw an upstream crash under it.
    witnessed_at: Option<Time>,
    /// Datagrams that will tell of its last change.
    tellings_left: u8,
    /// When this host last let one through as a trial.
    tried_at: Option<Time>,
    /// Whether this host saw something that may have to be written to the platform's log.
    is_unwritten: bool,
}

/// What is believed of a request's content.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Standing {
    /// Upstreams that crashed under it since it was last answered.
    pub crashes: usize,
    /// Whether it may be sent.
    pub verdict: Verdict,
}

/// Whether requests of one content may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// They may.
    Sent,
    /// They are held back, for so long at least.
    HeldBack(Duration),
    /// They were held back for long enough that one of them is tried.
    Tried,
}

/// What a host tells of one content.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ToldSuspect {
    /// The content.
    pub fingerprint: Fingerprint,
    /// The upstreams that crashed, each with the time since then in milliseconds.
    pub crashes: Vec<(InstanceKey, u32)>,
    /// Time since it was last answered in whole, in milliseconds.
    pub answered_ms_ago: Option<u32>,
}

/// The suspects that a host knows.
#[derive(Debug, Default)]
pub struct Suspects {
    suspects: BTreeMap<Fingerprint, Suspect>,
    /// When upstreams that stand accused were last known to be alive.
    alive: HashMap<InstanceKey, Time>,
    /// The last ones that were told in turn.
    told_repeated: Option<Fingerprint>,
    told_single: Option<Fingerprint>,
    told_in_turn_at: Option<Time>,
    /// Since when this host has known without a gap which upstreams are listed.
    view_fresh_since: Option<Time>,
}

/// Which upstreams a host knows to be listed and reachable.
#[derive(Debug)]
pub enum Listed {
    /// Its view may be old.
    Unknown,
    /// These.
    Fresh(HashSet<InstanceKey>),
}

impl Suspects {
    /// The connection to `upstream` broke while it ran a request. The new standing, if that is news.
    pub fn crashed(
        &mut self,
        now: Time,
        fingerprint: Fingerprint,
        upstream: &InstanceId,
    ) -> Option<Standing> {
        let crash = Crash {
            upstream: upstream.key(),
            at: now,
        };
        self.add(now, fingerprint, crash);
        let standing = self.standing_if_changed(now, fingerprint)?;
        if let Some(suspect) = self.suspects.get_mut(&fingerprint) {
            suspect.witnessed_at = Some(now);
            suspect.tellings_left = OWN_TELLINGS;
            suspect.is_unwritten = true;
        }
        Some(standing)
    }

    /// An upstream answered such a request in whole. Its standing before, if it was a suspect.
    pub fn answered(&mut self, now: Time, fingerprint: Fingerprint) -> Option<Standing> {
        let before = self.standing(now, fingerprint);
        self.clear(now, fingerprint, now);
        if before.is_some_and(|before| before.crashes > 1)
            && let Some(suspect) = self.suspects.get_mut(&fingerprint)
        {
            suspect.is_unwritten = true;
        }
        before
    }

    /// `upstream` answered a request that was sent at `sent_at`: it had not crashed before.
    pub fn alive(&mut self, sent_at: Time, upstream: &InstanceId) {
        if self.alive.is_empty() {
            return;
        }
        let key = upstream.key();
        if self.alive.contains_key(&key) {
            self.acquit(key, sent_at);
        }
    }

    /// Whether anything is known against any request.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Acquits what is listed though it would have lapsed if it had crashed.
    pub fn look_at_listed(&mut self, now: Time, listed: &Listed) {
        let Listed::Fresh(listed) = listed else {
            self.view_fresh_since = None;
            return;
        };
        let fresh_since = *self.view_fresh_since.get_or_insert(now);
        if now.since(fresh_since) < LISTED_WITHOUT {
            return;
        }
        let lapsed_before = Time::from_us(
            now.as_us()
                .saturating_sub(LISTED_WITHOUT.as_micros() as u64),
        );
        let alive: Vec<InstanceKey> = self.alive.keys().copied().collect();
        for upstream in alive
            .into_iter()
            .filter(|upstream| listed.contains(upstream))
        {
            self.acquit(upstream, lapsed_before);
        }
    }

    /// What is believed of a content; none if nothing is known against it.
    pub fn standing(&self, now: Time, fingerprint: Fingerprint) -> Option<Standing> {
        let suspect = self.suspects.get(&fingerprint)?;
        let last = suspect.last_crash()?;
        let left = suspect.held_back_for().saturating_sub(now.since(last));
        let verdict = match suspect.crashes.len() {
            ..CRASHES_MAX => Verdict::Sent,
            _ if left.is_zero() => Verdict::Tried,
            _ => Verdict::HeldBack(left),
        };
        Some(Standing {
            crashes: suspect.crashes.len(),
            verdict,
        })
    }

    /// Begins the trial of a content; false while another one may be under way here.
    pub fn begin_trial(&mut self, now: Time, fingerprint: Fingerprint) -> bool {
        let Some(suspect) = self.suspects.get_mut(&fingerprint) else {
            return false;
        };
        let last = suspect.tried_at;
        let is_free = last.is_none_or(|last| now.since(last) >= TRIAL_LASTS);
        if is_free {
            suspect.tried_at = Some(now);
        }
        is_free
    }

    /// Takes what another host tells. The contents whose standing it changed.
    pub fn hear(&mut self, now: Time, told: &[ToldSuspect]) -> Vec<(Fingerprint, Standing)> {
        let mut changed = Vec::new();
        for suspect in told {
            let fingerprint = suspect.fingerprint;
            if let Some(ms) = suspect.answered_ms_ago {
                self.clear(now, fingerprint, ago(now, ms));
            }
            for (upstream, ms) in suspect.crashes.iter().take(CRASHES_KEPT) {
                let crash = Crash {
                    upstream: *upstream,
                    at: ago(now, *ms),
                };
                self.add(now, fingerprint, crash);
            }
            if let Some(standing) = self.standing_if_changed(now, fingerprint) {
                self.tell_on(fingerprint);
                changed.push((fingerprint, standing));
            }
        }
        changed
    }

    /// What this host tells with its next datagram: its news, and from time to time older suspects in turn.
    pub fn tell(&mut self, now: Time) -> Vec<ToldSuspect> {
        let mut told: Vec<Fingerprint> = Vec::new();
        for (fingerprint, suspect) in &mut self.suspects {
            if suspect.tellings_left > 0 && told.len() < NEWS_TOLD {
                suspect.tellings_left -= 1;
                told.push(*fingerprint);
            }
        }
        for fingerprint in self.next_in_turn(now) {
            if !told.contains(&fingerprint) {
                told.push(fingerprint);
            }
        }
        let told = told.into_iter();
        told.filter_map(|fingerprint| self.told(now, fingerprint))
            .collect()
    }

    /// The suspects under which this host saw an upstream crash after `since`.
    pub fn witnessed(&self, now: Time, since: Time) -> Vec<ToldSuspect> {
        let suspects = self.suspects.iter();
        let witnessed = suspects
            .filter(|(_, suspect)| suspect.witnessed_at.is_some_and(|at| at > since))
            .take(NEWS_TOLD);
        witnessed
            .filter_map(|(fingerprint, _)| self.told(now, *fingerprint))
            .collect()
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
    pub fn write_again(&mut self) {
        for suspect in self.suspects.values_mut() {
            suspect.is_unwritten |= suspect.witnessed_at.is_some();
        }
    }

    /// Forgets what is too old to matter.
    pub fn lapse(&mut self, now: Time) {
        self.suspects
            .retain(|_, suspect| now.since(suspect.last_change()) < suspect.remembered_for());
        let suspects = &self.suspects;
        self.alive.retain(|upstream, alive_at| {
            now.since(*alive_at) < REMEMBERED
                || suspects.values().any(|suspect| suspect.accuses(*upstream))
        });
    }

    /// Contents that are held back, and all that are remembered.
    pub fn count(&self, now: Time) -> (usize, usize) {
        let fingerprints = self.suspects.keys();
        let held_back = fingerprints.filter(|fingerprint| {
            let standing = self.standing(now, **fingerprint);
            standing.is_some_and(|standing| standing.verdict != Verdict::Sent)
        });
        (held_back.count(), self.suspects.len())
    }

    /// Takes back that `upstream` crashed before `alive_at`.
    fn acquit(&mut self, upstream: InstanceKey, alive_at: Time) {
        let known = self.alive.entry(upstream).or_insert(alive_at);
        *known = (*known).max(alive_at);
        for suspect in self.suspects.values_mut() {
            let crashes = &mut suspect.crashes;
            crashes.retain(|crash| crash.upstream != upstream || crash.at >= alive_at);
        }
        self.suspects.retain(|_, suspect| !suspect.is_void());
    }

    fn add(&mut self, now: Time, fingerprint: Fingerprint, crash: Crash) {
        let alive_at = *self.alive.entry(crash.upstream).or_insert(Time::ZERO);
        if alive_at > crash.at {
            return;
        }
        if !self.suspects.contains_key(&fingerprint) {
            self.make_room();
        }
        let suspect = self.suspects.entry(fingerprint).or_default();
        if suspect.answered_at.is_some_and(|at| at > crash.at) {
            return;
        }
        if suspect.note(crash) {
            suspect.changed_at = now;
        }
    }

    /// Tells on what was heard, if it matters to whoever is sent the next repeat.
    fn tell_on(&mut self, fingerprint: Fingerprint) {
        if let Some(suspect) = self.suspects.get_mut(&fingerprint)
            && suspect.is_repeated()
        {
            suspect.tellings_left = suspect.tellings_left.max(HEARD_TELLINGS);
        }
    }

    fn clear(&mut self, now: Time, fingerprint: Fingerprint, answered_at: Time) {
        let Some(suspect) = self.suspects.get_mut(&fingerprint) else {
            return;
        };
        let known = suspect.crashes.len();
        suspect.crashes.retain(|crash| crash.at >= answered_at);
        suspect.answered_at = suspect.answered_at.max(Some(answered_at));
        if suspect.crashes.len() < known {
            suspect.changed_at = now;
            suspect.tellings_left = HEARD_TELLINGS;
        }
    }

    /// The standing of a content that changed just now.
    fn standing_if_changed(&self, now: Time, fingerprint: Fingerprint) -> Option<Standing> {
        let suspect = self.suspects.get(&fingerprint)?;
        (suspect.changed_at == now).then(|| {
            let standing = self.standing(now, fingerprint);
            standing.unwrap_or(Standing {
                crashes: 0,
                verdict: Verdict::Sent,
            })
        })
    }

    fn make_room(&mut self) {
        if self.suspects.len() < REQUESTS_MAX {
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

    fn next_in_turn(&mut self, now: Time) -> Vec<Fingerprint> {
        let last = self.told_in_turn_at;
        if last.is_some_and(|last| now.since(last) < TURN_INTERVAL) {
            return Vec::new();
        }
        self.told_in_turn_at = Some(now);
        let mut next = self.in_turn(self.told_repeated, REPEATED_TOLD, Suspect::is_repeated);
        let single = self.in_turn(self.told_single, SINGLE_TOLD, Suspect::is_single);
        self.told_repeated = next.last().copied().or(self.told_repeated);
        self.told_single = single.last().copied().or(self.told_single);
        next.extend(single);
        next
    }

    /// The next `count` suspects behind `last` that `is_meant` says, in a circle.
    fn in_turn(
        &self,
        last: Option<Fingerprint>,
        count: usize,
        is_meant: impl Fn(&Suspect) -> bool,
    ) -> Vec<Fingerprint> {
        let from = last.map_or(Bound::Unbounded, Bound::Excluded);
        let behind = self.suspects.range((from, Bound::Unbounded));
        let to = last.map_or(Bound::Excluded(Fingerprint::MIN), Bound::Included);
        let before = self.suspects.range((Bound::Unbounded, to));
        let meant = behind
            .chain(before)
            .filter(|(_, suspect)| is_meant(suspect));
        meant
            .take(count)
            .map(|(fingerprint, _)| *fingerprint)
            .collect()
    }

    /// What this host knows of a content, for others.
    pub fn told(&self, now: Time, fingerprint: Fingerprint) -> Option<ToldSuspect> {
        let suspect = self.suspects.get(&fingerprint)?;
        let crashes = suspect.crashes.iter();
        Some(ToldSuspect {
            fingerprint,
            crashes: crashes
                .map(|crash| (crash.upstream, ms_since(now, crash.at)))
                .collect(),
            answered_ms_ago: suspect.answered_at.map(|at| ms_since(now, at)),
        })
    }
}

impl Suspect {
    /// Keeps the latest crashes. True if this is one that was not known.
    fn note(&mut self, crash: Crash) -> bool {
        let mut known = self.crashes.iter_mut();
        if let Some(known) = known.find(|known| known.upstream == crash.upstream) {
            // Who hears of it late, or has started meanwhile, takes it for younger than it is.
            known.at = known.at.min(crash.at);
            return false;
        }
        self.crashes.push(crash);
        if self.crashes.len() <= CRASHES_KEPT {
            return true;
        }
        self.crashes.sort_by_key(|crash| crash.at);
        self.crashes.remove(0) != crash
    }

    fn last_crash(&self) -> Option<Time> {
        self.crashes.iter().map(|crash| crash.at).max()
    }

    fn last_change(&self) -> Time {
        let last = self.last_crash().max(self.answered_at);
        last.unwrap_or(Time::ZERO)
    }

    /// For how long it is held back after its last crash.
    fn held_back_for(&self) -> Duration {
        let Some(further) = self.crashes.len().checked_sub(CRASHES_MAX) else {
            return Duration::ZERO;
        };
        let further = u32::try_from(further).unwrap_or(u32::MAX);
        let longer = HELD_BACK_MIN.saturating_mul(HELD_BACK_FACTOR.saturating_pow(further));
        longer.min(HELD_BACK_MAX)
    }

    /// Once it is let through again, it is remembered for as long as it was held back.
    fn remembered_for(&self) -> Duration {
        REMEMBERED.max(self.held_back_for() * 2)
    }

    fn is_repeated(&self) -> bool {
        self.crashes.len() > 1
    }

    fn is_single(&self) -> bool {
        !self.is_repeated()
    }

    /// Whether nothing is left to be told of it.
    fn is_void(&self) -> bool {
        self.crashes.is_empty() && self.answered_at.is_none()
    }

    fn accuses(&self, upstream: InstanceKey) -> bool {
        self.crashes.iter().any(|crash| crash.upstream == upstream)
    }
}

fn ms_since(now: Time, at: Time) -> u32 {
    u32::try_from(now.since(at).as_millis()).unwrap_or(u32::MAX)
}

fn ago(now: Time, ms: u32) -> Time {
    Time::from_us(now.as_us().saturating_sub(u64::from(ms) * 1_000))
}

#[cfg(test)]
mod tests;
