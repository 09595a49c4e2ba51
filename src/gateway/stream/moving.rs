//! Moves a stream's run to another engine when its own is leaving.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::LocalBoxFuture;
use tokio::time::Instant;

use super::Continuation;
use super::OpenResult;
use super::TOKEN_TIME;
use super::open;
use super::ordering::CopyProgress;
use super::planned_output;
use super::relay::Relay;
use super::relay::RelayEvent;
use crate::event::EventCode;
use crate::gateway::candidates;
use crate::gateway::candidates::CandidateSet;
use crate::gateway::decisions::LogEntry;
use crate::gateway::destinations;
use crate::gateway::destinations::Scope;
use crate::gateway::directory::Upstream;
use crate::gateway::instance::InstanceId;
use crate::gateway::loads::LoadGuard;
use crate::gateway::migration;
use crate::gateway::migration::CopyFailure;
use crate::gateway::movequeue::Ticket;
use crate::gateway::movequeue::Turn;
use crate::gateway::placement::Candidate;
use crate::gateway::placement::Need;
use crate::gateway::protocol::MemoryCopy;
use crate::gateway::stopping::Phase;
use crate::telemetry;
use crate::telemetry::Metric;

/// Time after the notice until which a run waits for its turn in the move queue. Runs that jump the queue
/// would delay all of them, and few engines live longer than this.
const QUEUE_WAIT_MAX: Duration = Duration::from_millis(1_700);
/// A run that is expected to end within this time isn't moved at first, which leaves the link to longer runs.
const SHORT_RUN_MAX: Duration = Duration::from_millis(700);
/// Time after the notice from which short runs are moved too.
const SHORT_RUN_DELAY: Duration = Duration::from_millis(600);
/// How often a short run is checked before that.
const SHORT_RUN_CHECK_INTERVAL: Duration = Duration::from_millis(150);
/// Delay before another search for a destination when no engine has room. One may be listed, or accept work
/// again, while the run's own engine is alive.
const DESTINATION_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Delay before the next attempt at a move after a failed copy, such as one that met another in progress.
const BUSY_RETRY_DELAY: Duration = Duration::from_millis(25);
/// Moves that are begun for one run. After these it stays on its engine until either ends.
const MOVES_MAX: u32 = 6;

/// Time after an engine's notice within which its runs leave it. Engines leave 1.5 to 2.1 s after it.
const MOVE_WINDOW: Duration = Duration::from_millis(2_500);
/// Share of an engine's memory below which its predicted use, the run included, must stay for it to be preferred
/// as a destination.
pub(super) const DESTINATION_MEMORY_SHARE_MAX: f64 = 0.9;

pub(super) type CopyResult = std::result::Result<MemoryCopy, CopyFailure>;

/// The state of a move.
pub(super) enum MoveState {
    /// No move is needed.
    None,
    /// The run waits in the move queue.
    Queued {
        ticket: LocalBoxFuture<'static, Turn>,
    },
    /// The first part is being copied.
    CopyingFirst {
        to: Arc<Upstream>,
        guards: MoveGuards,
        copying: LocalBoxFuture<'static, CopyResult>,
    },
    /// The first part is copied, but another copy of the run, or one to the same engine, is in progress. The run
    /// is stopped at `stop_at`, or with ordered moves looked at again.
    Copied {
        to: Arc<Upstream>,
        guards: MoveGuards,
        stop_at: Instant,
    },
    /// The run is being stopped and the rest of its memory copied.
    CopyingRest {
        to: Arc<Upstream>,
        guards: MoveGuards,
        copying: LocalBoxFuture<'static, CopyResult>,
    },
    /// The next attempt begins at `until`.
    Paused { until: Instant },
}

/// The reserved memory at the destination and the place in the move queue. Dropped once the run is stopped, which
/// frees the link for the next move, or when the move fails.
pub(super) struct MoveGuards {
    _load: LoadGuard,
    pub(super) ticket: Ticket,
}

impl Relay {
    /// Begins a move if the engine is leaving and none is in progress.
    pub(super) fn check_leaving(&mut self) {
        if !matches!(self.moving, MoveState::None) || !self.can_move() {
            return;
        }
        let id = &self.running.upstream.id;
        let now = self.shared.now();
        let notice = self
            .shared
            .directory(|directory| directory.leaving_since(id));
        if let Some(notice) = notice {
            let ago = now.since(notice);
            let since = Instant::now().checked_sub(ago);
            self.leaving_since = since.or(self.leaving_since);
            if self.is_ordered() {
                self.join_order();
                return;
            }
            match self.ends_soon() && ago < SHORT_RUN_DELAY {
                true => self.pause_for(SHORT_RUN_CHECK_INTERVAL),
                false => self.join_queue(),
            }
        }
    }

    fn can_move(&self) -> bool {
        let engine = self.admitted.engine.as_ref();
        engine.is_some_and(|engine| engine.moves) && self.moves < MOVES_MAX
    }

    /// Joins the queue of the runs that leave the engine.
    fn join_queue(&mut self) {
        let ticket = Ticket::join(&self.shared, &self.running.upstream.id, None);
        let notice = self.leaving_since.unwrap_or_else(Instant::now);
        self.moving = MoveState::Queued {
            ticket: Box::pin(ticket.wait(notice + QUEUE_WAIT_MAX)),
        };
    }

    /// Chooses a destination and starts to copy the run's memory there, or pauses if there is none.
    pub(super) fn begin_move(&mut self, ticket: Ticket) {
        self.avoid.push(self.running.upstream.id.clone());
        let is_ordered = self.is_ordered();
        let is_late = ticket.order().is_some_and(|order| order.key.is_late());
        let chosen = match is_ordered {
            true => self.choose_fitting_destination(is_late),
            false => self.choose_destination(),
        };
        let Some(to) = chosen else {
            self.log_move("no destination", None);
            self.avoid.clear();
            self.pause_for(DESTINATION_RETRY_DELAY);
            return;
        };
        self.moves += 1;
        let size = self.admitted.size(&self.shared);
        let tokens = match is_ordered {
            true => self.peak_tokens(),
            false => size.prompt_tokens + planned_output(size),
        };
        // Reserves the memory that the run will need when it continues there, before peers hear of the move. A link
        // takes one copy after another, so the tokens count as unread until the run continues.
        let load = self.shared.loads().add_request(&to.id, tokens, tokens);
        ticket.set_destination(&to.id);
        self.shared.record_send(&to);
        match is_ordered {
            true => self.record_begin(&ticket, &to),
            false => self.log_move("copying", Some(&to)),
        }
        self.progress = CopyProgress::default();
        let guards = MoveGuards {
            _load: load,
            ticket,
        };
        self.copy_first(to, guards);
    }

    /// Starts to copy what isn't copied yet, while the run goes on.
    pub(super) fn copy_first(&mut self, to: Arc<Upstream>, guards: MoveGuards) {
        self.progress = self.progress.begin(self.produced_tokens());
        let copying = self.start_copy(&to, false);
        self.moving = MoveState::CopyingFirst {
            to,
            guards,
            copying,
        };
    }

    fn start_copy(
        &self,
        to: &Arc<Upstream>,
        is_final: bool,
    ) -> LocalBoxFuture<'static, CopyResult> {
        let shared = self.shared.clone();
        let source = self.running.upstream.clone();
        let id = self.admitted.id.clone();
        let to = to.clone();
        Box::pin(async move { migration::copy(&shared, &source, &id, &to, is_final).await })
    }

    fn pause(&mut self) {
        self.pause_for(BUSY_RETRY_DELAY);
    }

    pub(super) fn pause_for(&mut self, pause: Duration) {
        self.moving = MoveState::Paused {
            until: Instant::now() + pause,
        };
    }

    /// Whether the run is expected to end before its engine does, so that it needs no move.
    fn ends_soon(&self) -> bool {
        if self.admitted.engine.is_none() {
            return true;
        }
        let produced = self.produced_tokens();
        let planned = planned_output(self.admitted.size(&self.shared));
        let upstream = &self.running.upstream.id;
        let slowness = self.shared.present_slowness(self.shared.now(), upstream);
        let token_time = TOKEN_TIME.mul_f64(slowness.decode);
        token_time * planned.saturating_sub(produced) < SHORT_RUN_MAX && produced < planned
    }

    /// Chooses the engine to move the run to. Engines assigned to this run's engine among those leaving in
    /// its data centre come first, then those assigned to it among all that are leaving, then any engine.
    /// One that is receiving a copy from another engine is used only if there is no other.
    fn choose_destination(&self) -> Option<Arc<Upstream>> {
        let engine = self.admitted.engine.as_ref()?;
        let size = self.admitted.size(&self.shared);
        let tokens = size.prompt_tokens + size.output_tokens_max / 2;
        let need = Need::Copy {
            tokens,
            memory_tokens: engine.memory_tokens,
        };
        let candidates =
            candidates::list(&self.shared, &self.admitted, &self.avoid, CandidateSet::All);
        let tokens_max = f64::from(engine.memory_tokens) * DESTINATION_MEMORY_SHARE_MAX;
        let assigned = |scope: Scope| -> Vec<Candidate> {
            let ids = self.assigned_destinations(scope);
            let assigned = candidates
                .iter()
                .filter(|candidate| ids.contains(&candidate.upstream.id) && !candidate.unhealthy)
                .filter(|candidate| f64::from(candidate.load.tokens + tokens) < tokens_max);
            assigned.cloned().collect()
        };
        let choose = |among: &[Candidate]| candidates::choose(&self.shared, need, among);
        let candidate = choose(&self.exclude_busy(assigned(Scope::Local)))
            .or_else(|| choose(&self.exclude_busy(assigned(Scope::All))))
            .or_else(|| choose(&self.exclude_busy(candidates.clone())))
            .or_else(|| choose(&candidates))?;
        Some(candidate.upstream)
    }

    /// Removes the candidates to which a run of another engine is being copied.
    pub(super) fn exclude_busy(&self, mut candidates: Vec<Candidate>) -> Vec<Candidate> {
        let now = self.shared.now();
        let source = &self.running.upstream.id;
        let queues = self.shared.move_queues();
        let busy = queues.with(|queues| queues.busy_destinations(now, source));
        candidates.retain(|candidate| !busy.contains(&candidate.upstream.id));
        candidates
    }

    /// The engines that are assigned to this run's engine and to no other leaving one.
    pub(super) fn assigned_destinations(&self, scope: Scope) -> BTreeSet<InstanceId> {
        let now = self.shared.now();
        let service = &self.admitted.service;
        let (leaving, ready) = self.shared.directory(|directory| {
            let leaving = directory.leaving(now, service, MOVE_WINDOW);
            (leaving, directory.ready(service))
        });
        destinations::assign(&self.running.upstream.id, &leaving, &ready, scope)
    }

    /// Handles the result of copying the first part: stops the run, or pauses before the next attempt.
    pub(super) fn on_first_copied(&mut self, result: CopyResult) {
        let moving = std::mem::replace(&mut self.moving, MoveState::None);
        let MoveState::CopyingFirst { to, guards, .. } = moving else {
            return;
        };
        match result {
            Ok(done) => {
                self.log_move(&format!("copied {} events", done.events), Some(&to));
                match self.is_ordered() {
                    true => self.continue_copied(to, guards),
                    false => self.copy_rest(to, guards),
                }
            }
            Err(failure) => {
                self.log_move(&failure.describe(), Some(&to));
                match failure {
                    // The run is about to end, or hasn't begun.
                    CopyFailure::NoSuchRun | CopyFailure::Busy => {}
                    CopyFailure::NoRoom(_) | CopyFailure::NotSent(_) | CopyFailure::Unknown(_) => {
                        self.avoid.push(to.id.clone());
                    }
                }
                self.pause();
            }
        }
    }

    /// Continues a move whose delay has passed.
    pub(super) fn on_timer(&mut self) {
        match std::mem::replace(&mut self.moving, MoveState::None) {
            MoveState::Copied { to, guards, .. } if self.is_ordered() => {
                self.continue_copied(to, guards);
            }
            MoveState::Copied { to, guards, .. } => self.copy_rest(to, guards),
            MoveState::Paused { .. } => self.check_leaving(),
            other => self.moving = other,
        }
    }

    /// Stops the run and starts to copy the rest of its memory.
    pub(super) fn copy_rest(&mut self, to: Arc<Upstream>, guards: MoveGuards) {
        self.log_move("stopping", Some(&to));
        let copying = self.start_copy(&to, true);
        self.moving = MoveState::CopyingRest {
            to,
            guards,
            copying,
        };
    }

    /// Handles the result of stopping the run and copying the rest: continues it at the destination, or at
    /// its source if the destination had no room, or tries again.
    ///
    /// # Errors
    ///
    /// Returns the reason why the stream can't continue.
    pub(super) async fn on_rest_copied(&mut self, result: CopyResult) -> Result<(), String> {
        let moving = std::mem::replace(&mut self.moving, MoveState::None);
        let MoveState::CopyingRest { to, guards, .. } = moving else {
            return Ok(());
        };
        let source = self.running.upstream.clone();
        match result {
            Ok(done) => {
                self.log_move(&format!("stopped at event {}", done.events), Some(&to));
                // Frees the link for the next run.
                drop(guards);
                match self.shared.is_resting(&to.id) {
                    true => {
                        self.log_move("not continued: the engine asked for rest", Some(&to));
                        self.avoid.push(to.id.clone());
                        self.continue_at_source(&source, &done.handle).await
                    }
                    false => self.continue_at(&to, &source, &done.handle).await,
                }
            }
            Err(CopyFailure::NoRoom(Some(handle))) => {
                self.log_move("no room after the stop", Some(&to));
                self.avoid.push(to.id.clone());
                self.continue_at_source(&source, &handle).await?;
                self.check_leaving();
                Ok(())
            }
            Err(failure) => {
                self.log_move(&failure.describe(), Some(&to));
                self.may_be_stopped |= !failure.is_not_stopped();
                let until = Instant::now() + BUSY_RETRY_DELAY;
                self.moving = match failure {
                    CopyFailure::Busy => MoveState::Copied {
                        to,
                        guards,
                        stop_at: until,
                    },
                    CopyFailure::NoSuchRun
                    | CopyFailure::NoRoom(_)
                    | CopyFailure::NotSent(_)
                    | CopyFailure::Unknown(_) => MoveState::Paused { until },
                };
                Ok(())
            }
        }
    }

    /// Continues the run at `to` from the memory that `source` keeps under `handle`.
    ///
    /// # Errors
    ///
    /// Returns the reason why the stream can't continue.
    pub(super) async fn continue_at(
        &mut self,
        to: &Arc<Upstream>,
        source: &Arc<Upstream>,
        handle: &str,
    ) -> Result<(), String> {
        let service = self.admitted.service.clone();
        let continuation = Continuation {
            copy: self
                .shared
                .protocol()
                .continue_value(source.address, handle),
            last_event: self.splitter.last_id().unwrap_or(0),
        };
        let size = self.admitted.size(&self.shared);
        let tokens = match self.is_ordered() {
            true => self.peak_tokens(),
            false => size.prompt_tokens + size.output_tokens_max / 2,
        };
        let opened = open(
            &self.shared,
            &self.admitted,
            to,
            tokens,
            Some(&continuation),
        )
        .await;
        if opened.may_count_as_retry() {
            let now = self.shared.now();
            self.shared
                .retry_budget(&service, |budget| budget.charge(now));
        }
        match opened {
            OpenResult::Running(running) => {
                self.moving = MoveState::None;
                self.running = *running;
                self.admitted.phase.set(Phase::Streaming);
                self.stream_error = None;
                self.is_end_unconfirmed = false;
                self.may_be_stopped = false;
                self.splitter.discard_partial();
                self.restart_speed();
                self.leaving_since = None;
                telemetry::count_of_service(Metric::StreamMovesTotal, &service);
                self.log_move("continued", Some(to));
                Ok(())
            }
            OpenResult::NotRun(reason) | OpenResult::Unreachable(reason) if to.id != source.id => {
                self.log_move(&format!("not continued: {reason}"), Some(to));
                Box::pin(self.continue_at_source(source, handle)).await
            }
            OpenResult::Unreachable(reason)
            | OpenResult::NotRun(reason)
            | OpenResult::Unknown(reason) => Err(reason),
            OpenResult::Answered(answer) => Err(format!("status {}", answer.head.status)),
            OpenResult::TimedOut => Err("the deadline passed".to_owned()),
        }
    }

    /// Continues the run at the engine where it was stopped, unless that data centre is evacuated: a
    /// continuation counts as new work, which may not start there.
    async fn continue_at_source(
        &mut self,
        source: &Arc<Upstream>,
        handle: &str,
    ) -> Result<(), String> {
        let data_centre = &source.data_centre;
        let is_evacuated = self
            .shared
            .directory(|directory| directory.evacuations().contains(data_centre));
        if is_evacuated {
            self.log_move("not continued: its data centre is evacuated", Some(source));
            return Err("its data centre is evacuated and no other engine took it".to_owned());
        }
        self.continue_at(source, source, handle).await
    }

    /// Logs a step of the move with its outcome.
    pub(super) fn log_move(&self, outcome: &str, to: Option<&Arc<Upstream>>) {
        let since = self.leaving_since.map(|since| since.elapsed().as_millis());
        self.move_entry(outcome, to)
            .with_some("leaving_ms", since.map(|ms| ms as u64))
            .write();
    }

    /// Starts a log entry about a step of the move.
    pub(super) fn move_entry(&self, outcome: &str, to: Option<&Arc<Upstream>>) -> LogEntry {
        let entry = self
            .admitted
            .log_entry(&self.shared, EventCode::StreamMoved);
        entry
            .with("upstream", self.running.upstream.id.as_str())
            .with_some("to", to.map(|to| to.id.as_str()))
            .with("outcome", outcome)
            .with("last_event", self.splitter.last_id())
    }
}

/// Waits for the event that ends the current state of the move; forever in states that end by a timer.
pub(super) async fn next_step(moving: &mut MoveState) -> RelayEvent {
    match moving {
        MoveState::Queued { ticket } => RelayEvent::MayMove(ticket.await),
        MoveState::CopyingFirst { copying, .. } => RelayEvent::FirstCopied(copying.await),
        MoveState::CopyingRest { copying, .. } => RelayEvent::RestCopied(copying.await),
        MoveState::None | MoveState::Copied { .. } | MoveState::Paused { .. } => {
            std::future::pending().await
        }
    }
}
