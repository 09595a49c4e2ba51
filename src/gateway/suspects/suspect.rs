//! What is known of the requests with one content, and what it means.

use std::time::Duration;

use crate::clock::Time;
use crate::gateway::instance::InstanceKey;

/// Crashes after which a request is held back. One or two beside crashes of other causes happen to
/// requests that callers repeat; three without an answer in between don't.
pub const CRASHES_MAX: usize = 3;
/// A request is held back for this long after its last crash, and then tried by one host. Three upstreams
/// that ran a harmless request may have been lost together, and nobody runs it any more who could clear it.
pub(super) const HELD_BACK_MIN: Duration = Duration::from_secs(15);
/// So many times longer after each further crash: 15 s, 2 min, 16 min, 2.1 h,
const HELD_BACK_FACTOR: u32 = 8;
/// and no longer than this, so that a request whose cause was mended comes through.
pub(super) const HELD_BACK_MAX: Duration = Duration::from_secs(6 * 60 * 60);
/// A trial that neither crashed its upstream nor was answered in this time was none.
pub(super) const TRIAL_TIMEOUT: Duration = Duration::from_secs(30);
/// Evidence is forgotten after this time, if it holds nothing back.
pub(super) const EVIDENCE_TTL: Duration = Duration::from_secs(600);
/// Crashes that are kept of one request; the time for which it is held back grows no further.
pub(super) const CRASHES_KEPT_MAX: usize = 8;

/// An upstream that ended while it ran a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Crash {
    pub(super) upstream: InstanceKey,
    pub(super) at: Time,
}

/// What is known of the requests with one content.
#[derive(Debug, Clone, Default)]
pub(super) struct Suspect {
    pub(super) crashes: Vec<Crash>,
    pub(super) answered_at: Option<Time>,
    /// When this host last saw an upstream crash under it.
    pub(super) observed_at: Option<Time>,
    /// Datagrams that will tell of its last change.
    pub(super) announcements_left: u8,
    /// When this host last let one through as a trial.
    pub(super) trial_at: Option<Time>,
    /// Whether this host saw something that may have to be written to the platform's log.
    pub(super) is_unwritten: bool,
}

/// What is believed of a request's content.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Assessment {
    /// Upstreams that crashed under it since it was last answered.
    pub crashes: usize,
    /// Whether it may be sent.
    pub verdict: Verdict,
}

/// Whether requests of one content may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// They may.
    Allowed,
    /// They are held back, for so long at least.
    HeldBack(Duration),
    /// They were held back for long enough that one of them is tried.
    Trial,
}

impl Suspect {
    /// What is believed of its content; none if nothing is known against it.
    pub(super) fn assess(&self, now: Time) -> Option<Assessment> {
        let last = self.last_crash()?;
        let left = self.held_back_time().saturating_sub(now.since(last));
        let verdict = match self.crashes.len() {
            ..CRASHES_MAX => Verdict::Allowed,
            _ if left.is_zero() => Verdict::Trial,
            _ => Verdict::HeldBack(left),
        };
        Some(Assessment {
            crashes: self.crashes.len(),
            verdict,
        })
    }

    /// Keeps the latest crashes. True if this is one that was not known.
    pub(super) fn add_crash(&mut self, crash: Crash) -> bool {
        let mut known = self.crashes.iter_mut();
        if let Some(known) = known.find(|known| known.upstream == crash.upstream) {
            // Who hears of it late, or has started meanwhile, takes it for younger than it is.
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

    /// For how long it is held back after its last crash.
    fn held_back_time(&self) -> Duration {
        let Some(further) = self.crashes.len().checked_sub(CRASHES_MAX) else {
            return Duration::ZERO;
        };
        let further = u32::try_from(further).unwrap_or(u32::MAX);
        let longer = HELD_BACK_MIN.saturating_mul(HELD_BACK_FACTOR.saturating_pow(further));
        longer.min(HELD_BACK_MAX)
    }

    /// Once it is let through again, it is remembered for as long as it was held back.
    pub(super) fn ttl(&self) -> Duration {
        EVIDENCE_TTL.max(self.held_back_time() * 2)
    }

    pub(super) fn is_repeated(&self) -> bool {
        self.crashes.len() > 1
    }

    pub(super) fn is_single(&self) -> bool {
        !self.is_repeated()
    }

    /// Whether nothing is left to be told of it.
    pub(super) fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.answered_at.is_none()
    }

    pub(super) fn has_crash_of(&self, upstream: InstanceKey) -> bool {
        self.crashes.iter().any(|crash| crash.upstream == upstream)
    }
}
