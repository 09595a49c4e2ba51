//! The claims of the process, as the request path uses them.

mod actor;

use std::time::Duration;

use actix::Actor;
use actix::Addr;

use self::actor::AskCounts;
use self::actor::AskFor;
use self::actor::Claims;
use self::actor::Conclude;
use crate::claim::ClaimEnd;
use crate::claim::ClaimKey;
use crate::claim::Summary;
use crate::claimstep::ClaimOptions;
use crate::clock::SystemClock;
use crate::id::ClaimId;
use crate::id::HostId;
use crate::id::Incarnation;
use crate::id::RequestId;
use crate::journal::Journal;
use crate::key::IdempotencyKey;
use crate::logstream::LogHandle;
use crate::refusal::Code;
use crate::refusal::Ran;
use crate::refusal::Refusal;
use crate::schedule::Ticket;

/// Period of the claimants' ticks.
const TICK: Duration = Duration::from_millis(50);

/// What the claims need from their host.
#[derive(Debug, Clone)]
pub struct ClaimParts {
    /// The platform's log.
    pub log: LogHandle,
    /// Hears what happens.
    pub journal: Journal,
    /// The host's clock.
    pub clock: SystemClock,
    /// The host.
    pub host: HostId,
    /// Its incarnation.
    pub incarnation: Incarnation,
}

/// A handle on the process's claims; clones share it.
#[derive(Debug, Clone)]
pub struct ClaimHandle {
    actor: Addr<Claims>,
}

/// The right to send a request once.
///
/// Dropped without a word it says that the request failed if it was sent, and else releases the
/// key.
#[derive(Debug)]
pub struct HeldClaim {
    claim: ClaimId,
    key: ClaimKey,
    was_sent: bool,
    actor: Option<Addr<Claims>>,
}

/// How full the claims are.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ClaimCounts {
    /// Callers that wait for a claim.
    pub waiting: usize,
    /// Claims whose request has not ended.
    pub running: usize,
    /// Ends that are on their way to the log.
    pub ending: usize,
    /// Keys that the process remembers.
    pub keys: usize,
}

impl ClaimHandle {
    /// Starts to read the claim streams in the current arbiter.
    pub fn start(parts: ClaimParts, options: ClaimOptions) -> Self {
        ClaimHandle {
            actor: Claims::new(parts, options).start(),
        }
    }

    /// Claims `key` for `request`, which waits no longer than `deadline`.
    ///
    /// # Errors
    ///
    /// The refusal to give the caller: the key is held or expired, or the log cannot be reached.
    pub async fn claim(
        &self,
        request: RequestId,
        key: ClaimKey,
        deadline: Duration,
    ) -> Result<HeldClaim, Refusal> {
        let asked = AskFor {
            request,
            key,
            deadline,
        };
        let answer = self.actor.send(asked).await;
        answer.unwrap_or_else(|_| Err(stopped()))
    }

    /// The same for a request that may have no key, and then needs no claim: nobody can ask for
    /// it again.
    pub(crate) async fn claim_for(
        &self,
        ticket: &Ticket,
        key: Option<IdempotencyKey>,
        deadline_ms: u64,
    ) -> Result<Option<HeldClaim>, Refusal> {
        let Some(key) = key else {
            return Ok(None);
        };
        let customer = ticket.customer.clone();
        let key = ClaimKey { customer, key };
        let deadline = Duration::from_millis(deadline_ms);
        self.claim(ticket.request, key, deadline).await.map(Some)
    }

    /// How full the claims are.
    pub async fn counts(&self) -> ClaimCounts {
        self.actor.send(AskCounts).await.unwrap_or_default()
    }

    /// Waits until the ends of all requests are in the log, at most `limit`.
    pub async fn flush(&self, limit: Duration) {
        let flushed = async {
            while self.counts().await.is_busy() {
                tokio::time::sleep(TICK).await;
            }
        };
        if tokio::time::timeout(limit, flushed).await.is_err() {
            log::warn!("not all claims could be concluded in time");
        }
    }
}

impl ClaimCounts {
    fn is_busy(&self) -> bool {
        self.running + self.ending > 0
    }
}

impl HeldClaim {
    /// The request is about to be written to an upstream.
    pub fn sending(&mut self) {
        self.was_sent = true;
    }

    /// The request ended. [`ClaimEnd::Released`] only if it certainly did not run.
    pub fn conclude(mut self, end: ClaimEnd) {
        self.tell(end);
    }

    /// The request ran and its whole answer was received.
    pub(crate) fn done(self, summary: Summary) {
        self.conclude(ClaimEnd::Done(summary));
    }

    /// The request was refused or failed.
    pub(crate) fn failed(self, refusal: &Refusal) {
        self.conclude(match refusal.ran {
            Ran::No => ClaimEnd::Released,
            Ran::Unknown | Ran::Yes => ClaimEnd::Failed,
        });
    }

    fn tell(&mut self, end: ClaimEnd) {
        if let Some(actor) = self.actor.take() {
            actor.do_send(Conclude {
                claim: self.claim,
                key: self.key.clone(),
                end,
            });
        }
    }
}

impl Drop for HeldClaim {
    fn drop(&mut self) {
        self.tell(if self.was_sent {
            ClaimEnd::Failed
        } else {
            ClaimEnd::Released
        });
    }
}

fn stopped() -> Refusal {
    Refusal::not_run(
        Code::Stopped,
        "the host is stopping; the request was not sent",
    )
}
