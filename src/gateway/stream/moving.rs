//! The steps of moving a stream's run to another engine.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::LocalBoxFuture;
use tokio::time::Instant;

use super::Continuation;
use super::Opened;
use super::TOKEN_TIME;
use super::open;
use super::output_planned;
use super::relay::Happened;
use super::relay::Relay;
use crate::event::EventCode;
use crate::gateway::destinations;
use crate::gateway::destinations::Scope;
use crate::gateway::directory::Upstream;
use crate::gateway::instance::InstanceId;
use crate::gateway::loads::LoadGuard;
use crate::gateway::migration;
use crate::gateway::migration::CopyFailure;
use crate::gateway::movequeue::Ticket;
use crate::gateway::placement::Candidate;
use crate::gateway::placement::Need;
use crate::gateway::protocol::CopyDone;
use crate::gateway::serve;
use crate::gateway::serve::CandidateSet;
use crate::telemetry;
use crate::telemetry::Metric;

/// A run waits for its turn no longer than this after the notice. Runs that jump the line would make
/// all of them late, and few engines live longer after it.
const PATIENCE: Duration = Duration::from_millis(1_700);
/// A run that is expected to end within this time isn't moved at first, so that the link is free for
/// the others,
const SHORT_RUN: Duration = Duration::from_millis(700);
/// but is after this time since the notice.
const SHORT_RUN_WAIT: Duration = Duration::from_millis(600);
/// How often it is looked whether such a run has ended.
const SHORT_RUN_PAUSE: Duration = Duration::from_millis(150);
/// Where no engine takes a run, one may be listed or taken back while the run's own engine lives; it is looked for
/// again after this time.
const DESTINATION_PAUSE: Duration = Duration::from_millis(100);
/// A copy that met another one under way is tried again after this time.
const BUSY_PAUSE: Duration = Duration::from_millis(25);
/// Moves of one run that may fail before its fate is left to its engine.
const MOVES_MAX: u32 = 6;

/// Runs leave an engine within this time of its notice; engines give 1.5 to 2.1 s.
const MOVES_LAST: Duration = Duration::from_millis(2_500);
/// An engine whose predicted memory is taken to this share is no destination while others have room.
const DESTINATION_MEMORY_SHARE_MAX: f64 = 0.9;

pub(super) type CopyResult = std::result::Result<CopyDone, CopyFailure>;

/// How far a move has come.
pub(super) enum Move {
    /// None is needed.
    None,
    /// The run waits for its turn.
    Queued {
        turn: LocalBoxFuture<'static, Ticket>,
    },
    /// The first part is being copied.
    First {
        to: Arc<Upstream>,
        held: Held,
        copying: LocalBoxFuture<'static, CopyResult>,
    },
    /// The first part is copied; the run is stopped at `stop_at`, after another copy of it.
    Copied {
        to: Arc<Upstream>,
        held: Held,
        stop_at: Instant,
    },
    /// The run is being stopped and its rest copied.
    Last {
        to: Arc<Upstream>,
        held: Held,
        copying: LocalBoxFuture<'static, CopyResult>,
    },
    /// The next try begins at this time.
    Paused { until: Instant },
}

/// What a move holds until the run goes on elsewhere.
pub(super) struct Held {
    _room: LoadGuard,
    _turn: Ticket,
}

impl Relay {
    /// Begins a move if the engine is leaving.
    pub(super) fn look_at_directory(&mut self) {
        if !matches!(self.moving, Move::None) || !self.can_move() {
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
            match self.ends_soon() && ago < SHORT_RUN_WAIT {
                true => self.pause_for(SHORT_RUN_PAUSE),
                false => self.queue(),
            }
        }
    }

    fn can_move(&self) -> bool {
        let engine = self.admitted.engine.as_ref();
        engine.is_some_and(|engine| engine.moves) && self.moves < MOVES_MAX
    }

    /// Joins the line of the runs that leave the engine.
    fn queue(&mut self) {
        let ticket = Ticket::join(&self.shared, &self.running.upstream.id);
        let notice = self.leaving_since.unwrap_or_else(Instant::now);
        self.moving = Move::Queued {
            turn: Box::pin(ticket.wait(notice + PATIENCE)),
        };
    }

    /// Starts to copy the run's memory to the engine with the most room.
    pub(super) fn begin_move(&mut self, ticket: Ticket) {
        self.avoid.push(self.running.upstream.id.clone());
        let Some(to) = self.destination() else {
            self.note_move("no destination", None);
            self.avoid.clear();
            self.pause_for(DESTINATION_PAUSE);
            return;
        };
        self.moves += 1;
        ticket.set_destination(&to.id);
        // Reserves what the run will need when it goes on there.
        self.shared.record_send(&to);
        self.note_move("copying", Some(&to));
        let size = self.admitted.size(&self.shared);
        let tokens = size.prompt_tokens + output_planned(size);
        let held = Held {
            // Its link takes one copy after another, so the copy counts as unread until it is used.
            _room: self.shared.loads().add_request(&to.id, tokens, tokens),
            _turn: ticket,
        };
        let copying = self.copy(&to, false);
        self.moving = Move::First { to, held, copying };
    }

    fn copy(&self, to: &Arc<Upstream>, last: bool) -> LocalBoxFuture<'static, CopyResult> {
        let shared = self.shared.clone();
        let source = self.running.upstream.clone();
        let id = self.admitted.id.clone();
        let to = to.clone();
        Box::pin(async move { migration::copy(&shared, &source, &id, &to, last).await })
    }

    fn pause(&mut self) {
        self.pause_for(BUSY_PAUSE);
    }

    fn pause_for(&mut self, pause: Duration) {
        self.moving = Move::Paused {
            until: Instant::now() + pause,
        };
    }

    /// Whether the run is expected to end by itself before its engine does.
    fn ends_soon(&self) -> bool {
        if self.admitted.engine.is_none() {
            return true;
        }
        let produced = self.produced_tokens();
        let planned = output_planned(self.admitted.size(&self.shared));
        TOKEN_TIME * planned.saturating_sub(produced) < SHORT_RUN && produced < planned
    }

    /// Where the run goes: to an engine that takes runs of no other near leaving engine; if none of
    /// those has room, to one that takes runs of no other leaving engine at all; else to any. Engines to
    /// which others are being copied now are passed over as long as there is another one.
    fn destination(&self) -> Option<Arc<Upstream>> {
        let engine = self.admitted.engine.as_ref()?;
        let size = self.admitted.size(&self.shared);
        let tokens = size.prompt_tokens + size.output_tokens_max / 2;
        let need = Need::Copy {
            tokens,
            memory_tokens: engine.memory_tokens,
        };
        let candidates =
            serve::candidates(&self.shared, &self.admitted, &self.avoid, CandidateSet::All);
        let room = f64::from(engine.memory_tokens) * DESTINATION_MEMORY_SHARE_MAX;
        let of_share = |among: Scope| -> Vec<Candidate> {
            let own = self.own_destinations(among);
            let own = candidates
                .iter()
                .filter(|candidate| own.contains(&candidate.upstream.id) && !candidate.unhealthy)
                .filter(|candidate| f64::from(candidate.load.tokens + tokens) < room);
            own.cloned().collect()
        };
        let choose = |among: &[Candidate]| serve::choose(&self.shared, need, among);
        let candidate = choose(&self.free(of_share(Scope::Local)))
            .or_else(|| choose(&self.free(of_share(Scope::All))))
            .or_else(|| choose(&self.free(candidates.clone())))
            .or_else(|| choose(&candidates))?;
        Some(candidate.upstream)
    }

    /// Those of `candidates` to which no run of another engine is being copied.
    fn free(&self, mut candidates: Vec<Candidate>) -> Vec<Candidate> {
        let now = self.shared.now();
        let source = &self.running.upstream.id;
        let turns = self.shared.turns();
        let taken = turns.with(|turns| turns.busy_destinations(now, source));
        candidates.retain(|candidate| !taken.contains(&candidate.upstream.id));
        candidates
    }

    /// The engines that take runs of this run's engine and of no other one.
    fn own_destinations(&self, among: Scope) -> BTreeSet<InstanceId> {
        let now = self.shared.now();
        let service = &self.admitted.service;
        let (leaving, ready) = self.shared.directory(|directory| {
            let leaving = directory.leaving(now, service, MOVES_LAST);
            (leaving, directory.ready(service))
        });
        destinations::assign(&self.running.upstream.id, &leaving, &ready, among)
    }

    pub(super) fn first_copied(&mut self, result: CopyResult) {
        let moving = std::mem::replace(&mut self.moving, Move::None);
        let Move::First { to, held, .. } = moving else {
            return;
        };
        match result {
            Ok(done) => {
                self.note_move(&format!("copied {} events", done.events), Some(&to));
                self.begin_last(to, held);
            }
            Err(failure) => {
                self.note_move(&failure.describe(), Some(&to));
                match failure {
                    // It is about to end by itself, or has not begun to run.
                    CopyFailure::NoSuchRun | CopyFailure::Busy => {}
                    CopyFailure::NoRoom(_) | CopyFailure::Unknown(_) => {
                        self.avoid.push(to.id.clone());
                    }
                }
                self.pause();
            }
        }
    }

    pub(super) fn timer(&mut self) {
        match std::mem::replace(&mut self.moving, Move::None) {
            Move::Copied { to, held, .. } => self.begin_last(to, held),
            Move::Paused { .. } => self.look_at_directory(),
            other => self.moving = other,
        }
    }

    /// Stops the run and copies its rest.
    pub(super) fn begin_last(&mut self, to: Arc<Upstream>, held: Held) {
        self.note_move("stopping", Some(&to));
        let copying = self.copy(&to, true);
        self.moving = Move::Last { to, held, copying };
    }

    /// The run was stopped and copied, or not.
    ///
    /// # Errors
    ///
    /// Why the stream can't go on.
    pub(super) async fn last_copied(&mut self, result: CopyResult) -> Result<(), String> {
        let moving = std::mem::replace(&mut self.moving, Move::None);
        let Move::Last { to, held, .. } = moving else {
            return Ok(());
        };
        let source = self.running.upstream.clone();
        match result {
            Ok(done) => {
                self.note_move(&format!("stopped at event {}", done.events), Some(&to));
                // The link is free for the next run.
                drop(held);
                self.continue_at(&to, &source, &done.handle).await
            }
            Err(CopyFailure::NoRoom(Some(handle))) => {
                self.note_move("no room after the stop", Some(&to));
                self.avoid.push(to.id.clone());
                self.continue_at_source(&source, &handle).await?;
                self.look_at_directory();
                Ok(())
            }
            Err(failure) => {
                self.note_move(&failure.describe(), Some(&to));
                let until = Instant::now() + BUSY_PAUSE;
                self.moving = match failure {
                    CopyFailure::Busy => Move::Copied {
                        to,
                        held,
                        stop_at: until,
                    },
                    CopyFailure::NoSuchRun | CopyFailure::NoRoom(_) | CopyFailure::Unknown(_) => {
                        Move::Paused { until }
                    }
                };
                Ok(())
            }
        }
    }

    /// Continues the run at `to`, from the copy that `source` made.
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
        let tokens = size.prompt_tokens + size.output_tokens_max / 2;
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
            Opened::Running(running) => {
                self.moving = Move::None;
                self.running = *running;
                self.broken = None;
                self.splitter.restart();
                self.leaving_since = None;
                telemetry::count_of_service(Metric::StreamMovesTotal, &service);
                self.note_move("continued", Some(to));
                Ok(())
            }
            Opened::NotRun(reason) | Opened::Unreachable(reason) if to.id != source.id => {
                self.note_move(&format!("not continued: {reason}"), Some(to));
                Box::pin(self.continue_at_source(source, handle)).await
            }
            Opened::Unreachable(reason) | Opened::NotRun(reason) | Opened::Unknown(reason) => {
                Err(reason)
            }
            Opened::Answered(answer) => Err(format!("status {}", answer.head.status)),
            Opened::TimedOut => Err("the deadline passed".to_owned()),
        }
    }

    /// Continues the run where it was stopped, unless that is new work which operators forbid there.
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
            self.note_move("not continued: its data centre is evacuated", Some(source));
            return Err("its data centre is evacuated and no other engine took it".to_owned());
        }
        self.continue_at(source, source, handle).await
    }

    pub(super) fn note_move(&self, outcome: &str, to: Option<&Arc<Upstream>>) {
        let since = self.leaving_since.map(|since| since.elapsed().as_millis());
        let line = self
            .admitted
            .log_entry(&self.shared, EventCode::StreamMoved);
        line.with("upstream", self.running.upstream.id.as_str())
            .with_some("to", to.map(|to| to.id.as_str()))
            .with("outcome", outcome)
            .with("last_event", self.splitter.last_id())
            .with_some("leaving_ms", since.map(|ms| ms as u64))
            .write();
    }
}

pub(super) async fn copied(moving: &mut Move) -> Happened {
    match moving {
        Move::Queued { turn } => Happened::Turn(turn.await),
        Move::First { copying, .. } => Happened::FirstCopied(copying.await),
        Move::Last { copying, .. } => Happened::LastCopied(copying.await),
        Move::None | Move::Copied { .. } | Move::Paused { .. } => std::future::pending().await,
    }
}
