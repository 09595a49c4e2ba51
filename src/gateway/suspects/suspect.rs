//! Evidence against the requests with one content, or with one part in their prompts, and its assessment.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::clock::Time;
use crate::gateway::instance::InstanceKey;

/// Crashes after which a request is held back. A harmless request that its caller repeats may meet one or two
/// crashes of other causes, but not three without an answer in between.
pub const CRASHES_MAX: usize = 3;
/// The same for parts of prompts that were proved sound before. Requests share them, so they are at hand when other
/// parts crash upstreams in quick succession, before an upstream can prove them sound again.
const CRASHES_OF_SOUND_PARTS_MAX: usize = 2 * CRASHES_MAX;
/// How long a request is held back once it has crashed that many upstreams. Then one host tries it: three upstreams that ran a
/// harmless request may have been lost together, and a request that is never run is never cleared.
pub(super) const HELD_BACK_MIN: Duration = Duration::from_secs(15);
/// The factor by which each further crash lengthens the time: 15 s, 2 min, 16 min, 2.1 h.
const HELD_BACK_FACTOR: u32 = 8;
/// The longest time for which a request is held back, so that it is served again once its cause is fixed.
pub(super) const HELD_BACK_MAX: Duration = Duration::from_secs(6 * 60 * 60);
/// Another trial may begin if the last one has neither crashed its upstream nor been answered within this
/// time.
pub(super) const TRIAL_TIMEOUT: Duration = Duration::from_secs(30);
/// Minimum time from the last change of evidence until it expires. Also how long an upstream without
/// recorded crashes is remembered after it was last known to be alive.
pub(super) const EVIDENCE_TTL: Duration = Duration::from_secs(600);
/// Another request may tell parts apart if the last one has neither crashed its upstream nor written within
/// this time.
pub(super) const PROBE_TIMEOUT: Duration = Duration::from_secs(2);
/// Crashes kept per content or part. More of them don't lengthen the time for which it is held back.
pub(super) const CRASHES_KEPT_MAX: usize = 8;

/// The crash of an upstream while it ran a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Crash {
    pub(super) upstream: InstanceKey,
    pub(super) at: Time,
}

/// What the requests of a suspect have in common.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SuspectKind {
    /// Their whole content.
    #[default]
    Content,
    /// A part of their prompts.
    Part,
}

impl SuspectKind {
    /// Its name in logs.
    pub const fn name(self) -> &'static str {
        match self {
            SuspectKind::Content => "content",
            SuspectKind::Part => "part",
        }
    }
}

/// Evidence against the requests with one content or part.
#[derive(Debug, Clone, Default)]
pub(super) struct Suspect {
    pub(super) kind: SuspectKind,
    pub(super) crashes: Vec<Crash>,
    /// When requests with it were last answered or, with a part, last proved it sound.
    pub(super) answered_at: Option<Time>,
    /// When this host itself last saw this content crash an upstream.
    pub(super) observed_at: Option<Time>,
    /// Datagrams left in which to announce the last change.
    pub(super) announcements_left: u8,
    /// Whether this host saw a crash that it has yet to tell all hosts that it knows.
    pub(super) is_news: bool,
    /// When this host last began a trial.
    pub(super) trial_at: Option<Time>,
    /// When this host last let a request go that tells this part from others.
    pub(super) probe_at: Option<Time>,
    /// Whether this host has written it to the platform's log.
    pub(super) is_stored: bool,
    /// Whether this host saw a change that may have to be written to the platform's log.
    pub(super) is_unwritten: bool,
}

/// The conclusion from the evidence against a content.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Assessment {
    /// What its requests have in common.
    pub kind: SuspectKind,
    /// Upstreams that it crashed since it was last answered.
    pub crashes: usize,
    /// Whether its requests may be sent.
    pub verdict: Verdict,
}

/// Whether requests of one content may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// They may be sent.
    Allowed,
    /// They are held back, for at least this long.
    HeldBack(Duration),
    /// One of them may be sent as a trial; the time to hold them back is over.
    Trial,
}

impl Suspect {
    /// The assessment of the content; none if no crash is known.
    pub(super) fn assess(&self, now: Time) -> Option<Assessment> {
        let last = self.last_crash()?;
        let left = self.held_back_time().saturating_sub(now.since(last));
        let verdict = if self.crashes.len() < self.crashes_max() {
            Verdict::Allowed
        } else if left.is_zero() {
            Verdict::Trial
        } else {
            Verdict::HeldBack(left)
        };
        Some(Assessment {
            kind: self.kind,
            crashes: self.crashes.len(),
            verdict,
        })
    }

    /// Crashes after which its requests are held back.
    pub(super) fn crashes_max(&self) -> usize {
        match (self.kind, self.answered_at) {
            (SuspectKind::Part, Some(_)) => CRASHES_OF_SOUND_PARTS_MAX,
            (SuspectKind::Part, None) | (SuspectKind::Content, _) => CRASHES_MAX,
        }
    }

    /// Adds a crash, and keeps the latest [`CRASHES_KEPT_MAX`]. Returns whether the crash was not known and
    /// is kept.
    pub(super) fn add_crash(&mut self, crash: Crash) -> bool {
        let mut known = self.crashes.iter_mut();
        if let Some(known) = known.find(|known| known.upstream == crash.upstream) {
            // A host that learns of a crash late, or has started since, dates it too late: keep the
            // earliest time.
            known.at = known.at.min(crash.at);
            return false;
        }
        self.crashes.push(crash);
        if self.crashes.len() <= CRASHES_KEPT_MAX {
            return true;
        }
        self.crashes.sort_by_key(|crash| crash.at);
        self.crashes.remove(0) != crash
    }

    fn last_crash(&self) -> Option<Time> {
        self.crashes.iter().map(|crash| crash.at).max()
    }

    pub(super) fn last_change(&self) -> Time {
        let last = self.last_crash().max(self.answered_at);
        last.unwrap_or(Time::ZERO)
    }

    /// How long the content is held back after its last crash.
    fn held_back_time(&self) -> Duration {
        let Some(further) = self.crashes.len().checked_sub(self.crashes_max()) else {
            return Duration::ZERO;
        };
        let further = u32::try_from(further).unwrap_or(u32::MAX);
        let longer = HELD_BACK_MIN.saturating_mul(HELD_BACK_FACTOR.saturating_pow(further));
        longer.min(HELD_BACK_MAX)
    }

    /// How long the evidence is kept. Once a content is no longer held back, for as long as it was held back.
    pub(super) fn ttl(&self) -> Duration {
        EVIDENCE_TTL.max(self.held_back_time() * 2)
    }

    /// Whether as many crashes are known as matter to hosts that didn't see them. Parts that many requests share
    /// meet a few.
    pub(super) fn is_repeated(&self) -> bool {
        match self.kind {
            SuspectKind::Content => self.crashes.len() > 1,
            SuspectKind::Part => self.crashes.len() >= CRASHES_MAX,
        }
    }

    /// Whether fewer crashes are known.
    pub(super) fn is_single(&self) -> bool {
        !self.is_repeated()
    }

    /// Whether the platform's log should hold it. Parts that are cleared are written only if the log holds them:
    /// most that a crash accuses are sound.
    pub(super) fn is_worth_storing(&self, crashes_min: usize) -> bool {
        let is_cleared = self.crashes.is_empty() && self.answered_at.is_some();
        match self.kind {
            SuspectKind::Content => is_cleared || self.crashes.len() >= crashes_min,
            SuspectKind::Part => {
                (is_cleared && self.is_stored) || self.crashes.len() >= CRASHES_MAX
            }
        }
    }

    /// Whether neither a crash nor an answer is known.
    pub(super) fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.answered_at.is_none()
    }

    pub(super) fn has_crash_of(&self, upstream: InstanceKey) -> bool {
        self.crashes.iter().any(|crash| crash.upstream == upstream)
    }
}
