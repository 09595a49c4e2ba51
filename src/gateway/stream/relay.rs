//! Relays one stream and moves its run off a leaving engine.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::LocalBoxFuture;
use http_body_util::BodyExt;
use tokio::sync::watch;
use tokio::time::Instant;

use super::BrokenOff;
use super::Continuation;
use super::Opened;
use super::Running;
use super::TOKEN_TIME;
use super::open;
use crate::event::EventCode;
use crate::gateway::directory::Upstream;
use crate::gateway::events::EventSplitter;
use crate::gateway::loads::Occupied;
use crate::gateway::place::Need;
use crate::gateway::protocol::CopyDone;
use crate::gateway::rescue;
use crate::gateway::rescue::CopyFailure;
use crate::gateway::serve::Admitted;
use crate::gateway::shared::Shared;
use crate::gateway::turns::Ticket;
use crate::id::ClassId;
use crate::id::UpstreamId;
use crate::telemetry;
use crate::telemetry::Metric;
use crate::telemetry::StreamMeter;

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
/// A copy that met another one under way is tried again after this time.
const BUSY_PAUSE: Duration = Duration::from_millis(25);
/// A stream of which nothing came for so long stands still: several times the longest gap between
/// two events of a sound engine (0.2 s were measured while long prompts are read).
const STALL_LIMIT: Duration = Duration::from_millis(800);
/// Moves of one run that may fail before its fate is left to its engine.
const MOVES_MAX: u32 = 6;

type CopyResult = std::result::Result<CopyDone, CopyFailure>;

/// How far a move has come.
enum Move {
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
        /// Whether `to` has kept a copy all along, so that nobody waits for this one.
        is_backup: bool,
        /// What it holds, where the destination isn't a backup.
        held: Option<Held>,
        copying: LocalBoxFuture<'static, CopyResult>,
    },
    /// The next try begins at this time.
    Paused { until: Instant },
}

/// What a move holds until the run goes on elsewhere.
struct Held {
    _room: Occupied,
    _turn: Ticket,
}

/// One stream on its way to its caller.
pub(super) struct Relay {
    shared: Shared,
    admitted: Admitted,
    running: Running,
    /// The engine's stream has broken off; a move may still continue it.
    broken: Option<String>,
    splitter: EventSplitter,
    changes: watch::Receiver<u64>,
    moving: Move,
    leaving_since: Option<Instant>,
    moves: u32,
    avoid: Vec<UpstreamId>,
    meter: StreamMeter,
    first_ms: Option<f64>,
    last_at: Instant,
    gap_max: Duration,
    ended: bool,
}

/// What happened next.
enum Happened {
    Frame(Option<Result<Bytes, String>>),
    DirectoryChanged,
    Turn(Ticket),
    FirstCopied(CopyResult),
    LastCopied(CopyResult),
    Timer,
    Deadline,
}

impl Relay {
    pub(super) fn new(shared: Shared, admitted: Admitted, running: Running) -> Self {
        let class = ClassId::new(format!("{}", admitted.priority));
        let meter = StreamMeter::start(shared.now(), &admitted.service, &class);
        let mut changes = shared.directory_watch();
        changes.mark_changed();
        Relay {
            changes,
            meter,
            admitted,
            running,
            broken: None,
            splitter: EventSplitter::default(),
            moving: Move::None,
            leaving_since: None,
            moves: 0,
            avoid: Vec::new(),
            first_ms: None,
            last_at: Instant::now(),
            gap_max: Duration::ZERO,
            ended: false,
            shared,
        }
    }

    /// The next whole events, or none after the last one.
    pub(super) async fn next(&mut self) -> Option<Result<Bytes, BrokenOff>> {
        loop {
            match self.happened().await {
                Happened::Frame(Some(Ok(data))) => match self.splitter.push(&data) {
                    Ok(events) if events.is_empty() => {}
                    Ok(events) => {
                        self.passed();
                        return Some(Ok(events));
                    }
                    Err(fault) => return self.fail(&format!("{fault:?}")),
                },
                Happened::Frame(None) if !self.splitter.has_partial() => {
                    self.complete();
                    return None;
                }
                Happened::Frame(None) => self.broken = Some("ended within an event".to_owned()),
                Happened::Frame(Some(Err(reason))) => self.broken = Some(reason),
                Happened::DirectoryChanged => self.look_at_directory(),
                Happened::Turn(ticket) => self.begin_move(ticket),
                Happened::FirstCopied(result) => self.first_copied(result),
                Happened::LastCopied(result) => {
                    if let Err(reason) = self.last_copied(result).await {
                        return self.fail(&reason);
                    }
                }
                Happened::Timer => self.timer(),
                Happened::Deadline => return self.fail("the deadline passed"),
            }
            if let Err(reason) = self.go_on_if_broken().await {
                return self.fail(&reason);
            }
        }
    }

    /// Events go out to the caller.
    fn passed(&mut self) {
        self.meter.token(self.shared.now());
        self.running.occupied.prompt_read();
        let now = Instant::now();
        match self.first_ms {
            None => self.first_ms = Some(self.admitted.arrived.elapsed().as_secs_f64() * 1_000.0),
            Some(_) => self.gap_max = self.gap_max.max(now - self.last_at),
        }
        self.last_at = now;
    }

    /// Where the stream has broken off, continues it at the engine that keeps a copy, unless a move
    /// is under way that will continue it.
    ///
    /// # Errors
    ///
    /// Why the stream can't go on.
    async fn go_on_if_broken(&mut self) -> Result<(), String> {
        let Some(reason) = self.broken.clone() else {
            return Ok(());
        };
        match &mut self.moving {
            Move::Last {
                is_backup: false, ..
            } => Ok(()),
            Move::Last { is_backup, .. } => {
                // The run was stopped. If its copy isn't there yet, the one under way will do.
                *is_backup = false;
                let _ = self.continue_at_backup(&reason).await;
                Ok(())
            }
            _ => {
                self.moving = Move::None;
                self.continue_at_backup(&reason).await
            }
        }
    }

    /// Continues the run at the engine that keeps a copy of it.
    ///
    /// # Errors
    ///
    /// Why the stream can't go on.
    async fn continue_at_backup(&mut self, reason: &str) -> Result<(), String> {
        let Some(backup) = self.usable_backup() else {
            return Err(reason.to_owned());
        };
        self.note_move(reason, Some(&backup));
        let handle = self.admitted.id.clone();
        self.continue_at(&backup, &backup, &handle).await
    }

    /// The engine that keeps a copy, if it can take the run over.
    fn usable_backup(&self) -> Option<Arc<Upstream>> {
        let backup = &self.running.backup.as_ref()?.upstream;
        let ready = self
            .shared
            .directory(|directory| directory.is_ready(&backup.id));
        ready.then(|| backup.clone())
    }

    /// When a stream that stands still is looked after: its engine may have gone without a word.
    fn stall_at(&self) -> Option<Instant> {
        self.usable_backup()?;
        self.first_ms?;
        Some(self.last_at + STALL_LIMIT)
    }

    async fn happened(&mut self) -> Happened {
        let timer = match &self.moving {
            Move::Copied { stop_at, .. } => Some(*stop_at),
            Move::Paused { until } => Some(*until),
            Move::None => self.stall_at(),
            Move::Queued { .. } | Move::First { .. } | Move::Last { .. } => None,
        };
        let is_open = self.broken.is_none();
        tokio::select! {
            biased;
            frame = self.running.body.frame(), if is_open => Happened::Frame(match frame {
                None => None,
                Some(Ok(frame)) => Some(Ok(frame.into_data().unwrap_or_default())),
                Some(Err(error)) => Some(Err(error.to_string())),
            }),
            happened = copied(&mut self.moving) => happened,
            _ = self.changes.changed() => Happened::DirectoryChanged,
            () = sleep_until(timer) => Happened::Timer,
            () = tokio::time::sleep_until(self.admitted.deadline) => Happened::Deadline,
        }
    }

    /// Begins a move if the engine is leaving.
    fn look_at_directory(&mut self) {
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
    fn begin_move(&mut self, ticket: Ticket) {
        self.moves += 1;
        self.avoid.push(self.running.upstream.id.clone());
        let Some(to) = self.destination() else {
            self.note_move("no destination", None);
            self.avoid.clear();
            self.pause();
            return;
        };
        self.note_move("copying", Some(&to));
        let size = self.admitted.size(&self.shared);
        let tokens = size.prompt_tokens + super::output_planned(size);
        let held = Held {
            // Its link takes one copy after another, so the copy counts as unread until it is used.
            _room: self.shared.loads().occupy(&to.id, tokens, tokens),
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
        Box::pin(async move { rescue::copy(&shared, &source, &id, &to, last).await })
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
        let Some(engine) = &self.admitted.engine else {
            return true;
        };
        let produced = self.splitter.passed() * u64::from(engine.tokens_per_event);
        let produced = u32::try_from(produced).unwrap_or(u32::MAX);
        let planned = super::output_planned(self.admitted.size(&self.shared));
        TOKEN_TIME * planned.saturating_sub(produced) < SHORT_RUN && produced < planned
    }

    fn destination(&self) -> Option<Arc<Upstream>> {
        let engine = self.admitted.engine.as_ref()?;
        let size = self.admitted.size(&self.shared);
        let need = Need::Copy {
            tokens: size.prompt_tokens + size.output_tokens_max / 2,
            memory_tokens: engine.memory_tokens,
        };
        let candidate = self.admitted.place(&self.shared, need, &self.avoid)?;
        Some(candidate.upstream)
    }

    fn first_copied(&mut self, result: CopyResult) {
        let moving = std::mem::replace(&mut self.moving, Move::None);
        let Move::First { to, held, .. } = moving else {
            return;
        };
        match result {
            Ok(done) => {
                self.note_move(&format!("copied {} events", done.events), Some(&to));
                self.begin_last(to, Some(held));
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

    fn timer(&mut self) {
        match std::mem::replace(&mut self.moving, Move::None) {
            Move::Copied { to, held, .. } => self.begin_last(to, Some(held)),
            Move::Paused { .. } => self.look_at_directory(),
            Move::None => self.look_at_stall(),
            other => self.moving = other,
        }
    }

    /// Stops a run that stands still and continues it at the engine that keeps a copy.
    fn look_at_stall(&mut self) {
        let Some(backup) = self.usable_backup() else {
            return;
        };
        self.last_at = Instant::now();
        self.begin_last(backup, None);
    }

    /// Stops the run and copies its rest. Where the move holds nothing `to` is the backup.
    fn begin_last(&mut self, to: Arc<Upstream>, held: Option<Held>) {
        self.note_move("stopping", Some(&to));
        let copying = self.copy(&to, true);
        self.moving = Move::Last {
            to,
            is_backup: held.is_none(),
            held,
            copying,
        };
    }

    /// The run was stopped and copied, or not.
    ///
    /// # Errors
    ///
    /// Why the stream can't go on.
    async fn last_copied(&mut self, result: CopyResult) -> Result<(), String> {
        let moving = std::mem::replace(&mut self.moving, Move::None);
        let Move::Last {
            to,
            is_backup,
            held,
            ..
        } = moving
        else {
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
            Err(CopyFailure::NoRoom(_)) if is_backup => {
                self.continue_at_backup("stopped, no room for another copy")
                    .await
            }
            Err(CopyFailure::Unknown(reason)) if is_backup => {
                self.continue_at_backup(&reason).await
            }
            Err(CopyFailure::NoRoom(Some(handle))) => {
                self.note_move("no room after the stop", Some(&to));
                self.avoid.push(to.id.clone());
                self.continue_at(&source, &source, &handle).await?;
                self.look_at_directory();
                Ok(())
            }
            Err(failure) => {
                self.note_move(&failure.describe(), Some(&to));
                let until = Instant::now() + BUSY_PAUSE;
                self.moving = match (failure, held) {
                    (CopyFailure::Busy, Some(held)) => Move::Copied {
                        to,
                        held,
                        stop_at: until,
                    },
                    _ => Move::Paused { until },
                };
                Ok(())
            }
        }
    }

    /// Continues the run at `to`, from the copy that `source` made.
    async fn continue_at(
        &mut self,
        to: &Arc<Upstream>,
        source: &Arc<Upstream>,
        handle: &str,
    ) -> Result<(), String> {
        let now = self.shared.now();
        let service = self.admitted.service.clone();
        self.shared.budget(&service, |budget| budget.charge(now));
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
        );
        match opened.await {
            Opened::Running(running) => {
                self.moving = Move::None;
                self.running = *running;
                self.broken = None;
                self.splitter.restart();
                self.leaving_since = None;
                telemetry::count_stream(Metric::StreamMovesTotal, &service);
                self.note_move("continued", Some(to));
                Ok(())
            }
            Opened::NotRun(reason) | Opened::Unreachable(reason) if to.id != source.id => {
                self.note_move(&format!("not continued: {reason}"), Some(to));
                Box::pin(self.continue_at(source, source, handle)).await
            }
            Opened::Unreachable(reason) | Opened::NotRun(reason) | Opened::Unknown(reason) => {
                Err(reason)
            }
            Opened::Answered(answer) => Err(format!("status {}", answer.head.status)),
            Opened::TimedOut => Err("the deadline passed".to_owned()),
        }
    }

    fn note_move(&self, outcome: &str, to: Option<&Arc<Upstream>>) {
        let since = self.leaving_since.map(|since| since.elapsed().as_millis());
        let line = self.admitted.line(&self.shared, EventCode::StreamMoved);
        line.with("upstream", self.running.upstream.id.as_str())
            .with_some("to", to.map(|to| to.id.as_str()))
            .with("outcome", outcome)
            .with("last_event", self.splitter.last_id())
            .with_some("leaving_ms", since.map(|ms| ms as u64))
            .write();
    }

    fn complete(&mut self) {
        self.ended = true;
        let line = self.admitted.line(&self.shared, EventCode::RequestComplete);
        line.with("upstream", self.running.upstream.id.as_str())
            .with("events", self.splitter.passed())
            .with_some("first_ms", self.first_ms)
            .with("gap_max_ms", self.gap_max.as_millis() as u64)
            .with("moves", self.moves)
            .write();
    }

    fn fail(&mut self, reason: &str) -> Option<Result<Bytes, BrokenOff>> {
        self.ended = true;
        let id = self.running.upstream.id.clone();
        self.shared
            .upstream_failed(&self.admitted.service, &id, reason);
        telemetry::count_stream(Metric::StreamsLostTotal, &self.admitted.service);
        let line = self.admitted.line(&self.shared, EventCode::RequestFailed);
        line.with("upstream", id.as_str())
            .with("reason", reason)
            .with("events", self.splitter.passed())
            .with("moves", self.moves)
            .write();
        Some(Err(BrokenOff(reason.to_owned())))
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        if !self.ended {
            let line = self.admitted.line(&self.shared, EventCode::CallerLeft);
            line.with("upstream", self.running.upstream.id.as_str())
                .with("events", self.splitter.passed())
                .write();
        }
    }
}

async fn copied(moving: &mut Move) -> Happened {
    match moving {
        Move::Queued { turn } => Happened::Turn(turn.await),
        Move::First { copying, .. } => Happened::FirstCopied(copying.await),
        Move::Last { copying, .. } => Happened::LastCopied(copying.await),
        Move::None | Move::Copied { .. } | Move::Paused { .. } => std::future::pending().await,
    }
}

async fn sleep_until(at: Option<Instant>) {
    match at {
        Some(at) => tokio::time::sleep_until(at).await,
        None => std::future::pending().await,
    }
}
