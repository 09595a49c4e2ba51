//! The queue of one host: each host decides by what it counts, which is how generations wait without shared queues, or
//! when the owner of one is silent.

use std::time::Duration;

use super::POLL_INTERVAL;
use super::Reservation;
use super::Ticket;
use super::refusal;
use crate::event::EventCode;
use crate::gateway::admit;
use crate::gateway::admit::Demand;
use crate::gateway::admit::Verdict;
use crate::gateway::candidates;
use crate::gateway::candidates::CandidateSet;
use crate::gateway::enginestats::EngineStats;
use crate::gateway::instance::InstanceId;
use crate::gateway::placement::Candidate;
use crate::gateway::placement::Need;
use crate::gateway::rollouts::Track;
use crate::gateway::serve::Admitted;
use crate::gateway::shared::Shared;
use crate::refusal::Refusal;

/// A generation in this host's queue.
pub(super) struct LocalWait<'a> {
    shared: &'a Shared,
    admitted: &'a Admitted,
    need: Need,
    avoid: &'a [InstanceId],
    ticket: Ticket,
    /// Time since its arrival once it waits.
    waited: Option<Duration>,
    has_refreshed: bool,
    breadth: CandidateSet,
    reservation: Option<Reservation>,
}

/// This host's decision on a generation, and what it was based on.
pub(super) struct Decided {
    /// The decision.
    pub(super) verdict: Verdict,
    inputs: DecisionInputs,
    candidates: Vec<Candidate>,
}

impl<'a> LocalWait<'a> {
    /// Adds a generation to the queue.
    pub(super) fn join(
        shared: &'a Shared,
        admitted: &'a Admitted,
        need: Need,
        avoid: &'a [InstanceId],
    ) -> Self {
        LocalWait {
            shared,
            admitted,
            need,
            avoid,
            ticket: Ticket::join(shared, admitted, need.tokens()),
            waited: None,
            has_refreshed: false,
            breadth: CandidateSet::initial(shared, &admitted.service),
            reservation: None,
        }
    }

    /// Has the generation go on waiting if an owner had let it wait.
    pub(super) fn continue_from(&mut self, has_waited: bool) {
        if has_waited {
            self.waited = Some(self.admitted.arrived.elapsed());
        }
    }

    /// Waits until the generation may start; none if no engine is left.
    ///
    /// # Errors
    ///
    /// A refusal if no room is expected in time or the request is held back.
    pub(super) async fn wait(&mut self) -> Result<Option<Candidate>, Refusal> {
        let (shared, admitted) = (self.shared, self.admitted);
        loop {
            let Some(decided) = self.decide().await? else {
                return Ok(None);
            };
            match decided.verdict {
                Verdict::Start(candidate) => return Ok(Some(candidate)),
                Verdict::Wait => {
                    if self.reservation.is_none() {
                        decided.inputs.log(shared, admitted, "waits");
                        let candidates = &decided.candidates;
                        self.reservation = Reservation::reserve(shared, self.need, candidates);
                    }
                }
                Verdict::Refuse(estimate) => {
                    decided.inputs.log(shared, admitted, "refused");
                    return Err(refusal(shared, admitted, estimate));
                }
            }
            tokio::time::sleep(POLL_INTERVAL).await;
            self.waited = Some(admitted.arrived.elapsed());
        }
    }

    /// Decides by what this host counts now; none if no engine is left.
    ///
    /// # Errors
    ///
    /// A refusal if the request is held back.
    pub(super) async fn decide(&mut self) -> Result<Option<Decided>, Refusal> {
        let (shared, admitted) = (self.shared, self.admitted);
        loop {
            // Another attempt of the same content may crash upstreams during the wait.
            if let Some(refusal) = shared.refuse_suspect(admitted) {
                return Err(refusal);
            }
            shared.check_suspension();
            if shared.is_resuming() {
                tokio::time::sleep(POLL_INTERVAL).await;
                continue;
            }
            let mut candidates = candidates::list(shared, admitted, self.avoid, self.breadth);
            if candidates.is_empty() {
                match std::mem::replace(&mut self.breadth, CandidateSet::All) {
                    CandidateSet::Subset => continue,
                    CandidateSet::All => return Ok(None),
                }
            }
            if let Some(reservation) = &self.reservation {
                reservation.subtract_from(&mut candidates);
            }
            let demand = Demand {
                need: self.need,
                objective: admitted.route.objective,
                waited: self.waited,
            };
            let inputs = DecisionInputs::new(shared, &self.ticket, &candidates);
            let verdict = inputs.decide(shared, &demand, &candidates);
            let is_sound = matches!(&verdict, Verdict::Start(candidate) if !candidate.unhealthy);
            if !is_sound
                && std::mem::replace(&mut self.breadth, CandidateSet::All) == CandidateSet::Subset
            {
                continue;
            }
            if !self.has_refreshed && uses_stale_loads(shared, &verdict) {
                self.has_refreshed = true;
                shared.query_remote_loads().await;
                continue;
            }
            // Rather than wait for the version under trial, fall back to the proved one.
            let is_start = matches!(verdict, Verdict::Start(_));
            if !is_start && admitted.track.replace(Track::Stable) == Track::Trial {
                continue;
            }
            return Ok(Some(Decided {
                verdict,
                inputs,
                candidates,
            }));
        }
    }
}

/// Whether a verdict to start in another data centre, or nowhere, relies on stale load reports. Hosts that
/// act on stale reports pick the same engine, where each waits for the others' prompts.
fn uses_stale_loads(shared: &Shared, verdict: &Verdict) -> bool {
    let leaves_home = match verdict {
        Verdict::Start(candidate) => {
            candidate.upstream.data_centre != shared.settings().data_centre
        }
        Verdict::Wait | Verdict::Refuse(_) => true,
    };
    leaves_home && !shared.data_centres_to_query(shared.now()).is_empty()
}

/// The values from which the admission of a queued generation is decided.
struct DecisionInputs {
    ahead_tokens: u64,
    taken_tokens: u64,
    hosts: usize,
    engines: usize,
    stats: EngineStats,
}

impl DecisionInputs {
    fn new(shared: &Shared, ticket: &Ticket, candidates: &[Candidate]) -> Self {
        let (ahead_tokens, stats) = shared
            .queues()
            .with(|queues| (queues.ahead_tokens(ticket.number), queues.stats.clone()));
        let taken = candidates.iter();
        DecisionInputs {
            ahead_tokens,
            taken_tokens: taken
                .map(|candidate| u64::from(candidate.load.tokens))
                .sum(),
            hosts: shared.live_hosts(),
            engines: candidates.len(),
            stats,
        }
    }

    fn decide(&self, shared: &Shared, demand: &Demand, candidates: &[Candidate]) -> Verdict {
        let queue = admit::QueueState {
            ahead_tokens: self.ahead_tokens,
            taken_tokens: self.taken_tokens,
            hosts: self.hosts,
            stats: &self.stats,
        };
        admit::decide(
            demand,
            &queue,
            candidates,
            shared.view(),
            rand::random::<f64>,
        )
    }

    fn log(&self, shared: &Shared, admitted: &Admitted, outcome: &str) {
        let entry = admitted.log_entry(shared, EventCode::RequestQueued);
        entry
            .with("outcome", outcome)
            .with("ahead_tokens", self.ahead_tokens)
            .with("taken_tokens", self.taken_tokens)
            .with("engines", self.engines)
            .with("hosts", self.hosts)
            .with("turnover_ms", self.stats.turnover().as_millis() as u64)
            .with("far_counts", shared.remote_counts().name())
            .write();
    }
}
