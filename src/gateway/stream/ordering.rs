//! Moves a stream's run in the order in which most can be saved ([`moveorder`]), and to where its copy still fits.
//!
//! Used while ordered moves are switched on. The load that it answers: engines that leave with more runs than their
//! links copy in time, to destinations that others use as well.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use super::expected_output;
use super::moving::DESTINATION_MEMORY_SHARE_MAX;
use super::moving::MoveGuards;
use super::moving::MoveState;
use super::relay::Relay;
use crate::gateway::candidates;
use crate::gateway::candidates::CandidateSet;
use crate::gateway::destinations::Scope;
use crate::gateway::directory::Upstream;
use crate::gateway::moveorder;
use crate::gateway::moveorder::AfterCopy;
use crate::gateway::moveorder::Decision;
use crate::gateway::moveorder::Distance;
use crate::gateway::moveorder::FirstCopy;
use crate::gateway::moveorder::LIFETIME_MAX;
use crate::gateway::moveorder::LeavingRun;
use crate::gateway::movequeue::OrderedRun;
use crate::gateway::movequeue::Ticket;
use crate::gateway::movequeue::Turn;
use crate::gateway::placement::Candidate;
use crate::gateway::placement::Need;
use crate::telemetry;
use crate::telemetry::Metric;

/// How often a run that is expected to end before its engine is looked at again.
const STAYING_RUN_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// How often a copied run looks whether the destination's link is free.
const LINK_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// How far the first copies of a move have come.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct CopyProgress {
    /// First copies begun.
    copies: u32,
    /// Tokens that the run had produced when the last one began.
    produced_tokens: u32,
    /// When the last one ended.
    ended_at: Option<Instant>,
}

impl CopyProgress {
    /// The state after one more first copy begins at a run that has produced so many tokens.
    pub(super) fn begin(self, produced_tokens: u32) -> Self {
        CopyProgress {
            copies: self.copies + 1,
            produced_tokens,
            ended_at: None,
        }
    }
}

impl Relay {
    /// Whether moves are ordered by what can be saved.
    pub(super) fn is_ordered(&self) -> bool {
        self.shared.settings().features.ordered_moves
    }

    /// The run as the order of moves sees it; `None` if it has no engine memory.
    fn leaving_run(&self) -> Option<LeavingRun> {
        let engine = self.admitted.engine.as_ref()?;
        let size = self.admitted.size(&self.shared);
        let produced_tokens = self.produced_tokens();
        Some(LeavingRun {
            memory_tokens: size.prompt_tokens.saturating_add(produced_tokens),
            produced_tokens,
            tokens_left: expected_output(size, produced_tokens).saturating_sub(produced_tokens),
            token_time: self.token_time(),
            rank: self.admitted.priority,
            copy_tokens_per_s: engine.copy_tokens_per_s,
        })
    }

    /// Tokens of memory that the run is expected to need at its peak.
    pub(super) fn peak_tokens(&self) -> u32 {
        let size = self.admitted.size(&self.shared);
        let output = expected_output(size, self.produced_tokens());
        size.prompt_tokens.saturating_add(output)
    }

    fn since_notice(&self) -> Duration {
        self.leaving_since
            .map_or(Duration::ZERO, |notice| notice.elapsed())
    }

    /// Joins the order of moves, or lets the run go on if it ends before its engine.
    pub(super) fn join_order(&mut self) {
        let Some(run) = self.leaving_run() else {
            return;
        };
        let notice = self.leaving_since.unwrap_or_else(Instant::now);
        match run.decide(notice.elapsed()) {
            Decision::Stays => self.pause_for(STAYING_RUN_CHECK_INTERVAL),
            Decision::Moves(key) => {
                let order = OrderedRun { run, notice, key };
                let upstream = self.running.upstream.id.clone();
                let ticket = Ticket::join(&self.shared, &upstream, Some(order));
                self.log_order("joined", &ticket, None);
                self.wait_for_turn(ticket);
            }
        }
    }

    fn wait_for_turn(&mut self, ticket: Ticket) {
        let notice = self.leaving_since.unwrap_or_else(Instant::now);
        self.moving = MoveState::Queued {
            ticket: Box::pin(ticket.wait(notice + LIFETIME_MAX)),
        };
    }

    /// Begins the move whose turn it is, or waits on behind the others.
    pub(super) fn on_turn(&mut self, turn: Turn) {
        match turn {
            Turn::Begin(ticket) if self.is_ordered() && self.ends_before_engine() => {
                self.log_order("stays: it ends before its engine", &ticket, None);
                self.pause_for(STAYING_RUN_CHECK_INTERVAL);
            }
            Turn::Begin(ticket) => self.begin_move(ticket),
            Turn::PassedOver(ticket) => {
                self.log_order("passed over", &ticket, None);
                let service = &self.admitted.service;
                telemetry::count_of_service(Metric::StreamMovesPassedOverTotal, service);
                self.wait_for_turn(ticket);
            }
        }
    }

    fn ends_before_engine(&self) -> bool {
        let run = self.leaving_run();
        run.is_none_or(|run| run.decide(self.since_notice()) == Decision::Stays)
    }

    /// Logs and counts the begin of an ordered move.
    pub(super) fn record_begin(&self, ticket: &Ticket, to: &Arc<Upstream>) {
        self.log_order("copying", ticket, Some(to));
        let service = &self.admitted.service;
        telemetry::count_of_service(Metric::StreamMovesBegunTotal, service);
    }

    /// Chooses the engine to move the run to: first those whose memory holds the run's peak and whose link is free,
    /// of its engine's data centre before others, and those assigned to its engine before any. An engine of another
    /// data centre is used only if the copy fits into what is left of this engine's life.
    pub(super) fn choose_fitting_destination(&self, is_late: bool) -> Option<Arc<Upstream>> {
        let engine = self.admitted.engine.as_ref()?;
        let run = self.leaving_run()?;
        let tokens = self.peak_tokens();
        let need = Need::Copy {
            tokens,
            memory_tokens: engine.memory_tokens,
        };
        let mut candidates =
            candidates::list(&self.shared, &self.admitted, &self.avoid, CandidateSet::All);
        let tokens_max = f64::from(engine.memory_tokens) * DESTINATION_MEMORY_SHARE_MAX;
        let far_fits = run.fits(Distance::Far, self.since_notice(), is_late);
        candidates.retain(|candidate| far_fits || self.is_near(&candidate.upstream));
        let free = self.exclude_busy(candidates.clone());
        let assigned_near = self.assigned_destinations(Scope::Local);
        let assigned = self.assigned_destinations(Scope::All);
        let is_near = |candidate: &Candidate| self.is_near(&candidate.upstream);
        let fits = |candidate: &Candidate| {
            let used = candidate.load.tokens.saturating_add(tokens);
            f64::from(used) < tokens_max && !candidate.unhealthy
        };
        let choose = |is_eligible: &dyn Fn(&Candidate) -> bool| {
            let eligible = free.iter().filter(|candidate| is_eligible(candidate));
            let eligible: Vec<Candidate> = eligible.cloned().collect();
            candidates::choose(&self.shared, need, &eligible)
        };
        choose(&|to| is_near(to) && fits(to) && assigned_near.contains(&to.upstream.id))
            .or_else(|| choose(&|to| is_near(to) && fits(to) && assigned.contains(&to.upstream.id)))
            .or_else(|| choose(&|to| is_near(to) && fits(to)))
            .or_else(|| choose(&|to| fits(to) && assigned_near.contains(&to.upstream.id)))
            .or_else(|| choose(&|to| fits(to)))
            .or_else(|| choose(&is_near))
            .or_else(|| choose(&|_| true))
            .or_else(|| candidates::choose(&self.shared, need, &candidates))
            .map(|candidate| candidate.upstream)
    }

    fn is_near(&self, to: &Upstream) -> bool {
        to.data_centre == self.running.upstream.data_centre
    }

    /// Stops the run whose first copy has ended, copies what it produced meanwhile first, or waits for the
    /// destination's link.
    pub(super) fn continue_copied(&mut self, to: Arc<Upstream>, guards: MoveGuards) {
        let Some(run) = self.leaving_run() else {
            return self.copy_rest(to, guards);
        };
        let now = Instant::now();
        let ended_at = *self.progress.ended_at.get_or_insert(now);
        let queues = self.shared.move_queues();
        let busy = queues
            .with(|queues| queues.busy_destinations(self.shared.now(), &self.running.upstream.id));
        let copy = FirstCopy {
            distance: match self.is_near(&to) {
                true => Distance::Near,
                false => Distance::Far,
            },
            rest_tokens: run
                .produced_tokens
                .saturating_sub(self.progress.produced_tokens),
            copies: self.progress.copies,
            is_link_taken: busy.contains(&to.id),
            waited: now - ended_at,
            since_notice: self.since_notice(),
        };
        let next = moveorder::after_copy(&run, copy);
        let has_waited = !copy.waited.is_zero();
        if next != AfterCopy::WaitForLink && has_waited {
            guards.ticket.set_destination(&to.id);
        }
        match next {
            AfterCopy::Stop => self.copy_rest(to, guards),
            AfterCopy::CopyAgain => {
                self.log_move("copying again what was produced meanwhile", Some(&to));
                self.copy_first(to, guards);
            }
            AfterCopy::WaitForLink => {
                if !has_waited {
                    self.log_move("waiting for the destination's link", Some(&to));
                    guards.ticket.release_destination();
                }
                self.moving = MoveState::Copied {
                    to,
                    guards,
                    stop_at: now + LINK_CHECK_INTERVAL,
                };
            }
        }
    }

    /// Logs a step of the order with what was decided by.
    fn log_order(&self, outcome: &str, ticket: &Ticket, to: Option<&Arc<Upstream>>) {
        let Some(order) = ticket.order() else {
            return;
        };
        let run = &order.run;
        let since_notice = order.notice.elapsed();
        self.move_entry(outcome, to)
            .with("leaving_ms", since_notice.as_millis() as u64)
            .with("key", order.key.number())
            .with("late", order.key.is_late())
            .with("rank", run.rank)
            .with("tokens", run.memory_tokens)
            .with("produced", run.produced_tokens)
            .with("expected", run.tokens_left)
            .with("token_us", run.token_time.as_micros() as u64)
            .with("copy_ms", run.copy_time(Distance::Near).as_millis() as u64)
            .with("loss_ms", run.loss().as_millis() as u64)
            .with("ahead", ticket.count_ahead())
            .write();
    }
}
