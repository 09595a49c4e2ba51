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
use super::open;
use crate::event::EventCode;
use crate::gateway::directory::Upstream;
use crate::gateway::events::EventSplitter;
use crate::gateway::place::Need;
use crate::gateway::protocol::CopyDone;
use crate::gateway::rescue;
use crate::gateway::rescue::CopyFailure;
use crate::gateway::serve::Admitted;
use crate::gateway::shared::Shared;
use crate::id::ClassId;
use crate::id::UpstreamId;
use crate::telemetry::StreamMeter;

/// A leaving engine that doesn't say when it ends is expected to live this long: the shortest
/// notices are 1.5 s.
const NOTICE_DEFAULT: Duration = Duration::from_millis(1_500);
/// Runs are stopped this long before their engine ends: the last parts of all its runs and their
/// continuations take less.
const STOP_BEFORE_END: Duration = Duration::from_millis(500);
/// An engine's report on its end may be this old; the platform says some hundred milliseconds, and
/// half a second was measured.
const REPORT_AGE_MAX: Duration = Duration::from_millis(700);
/// A copy that met another one under way is tried again after this time.
const BUSY_PAUSE: Duration = Duration::from_millis(25);
/// Moves of one run that may fail before its fate is left to its engine.
const MOVES_MAX: u32 = 6;

type CopyResult = std::result::Result<CopyDone, CopyFailure>;

/// How far a move has come.
enum Move {
    /// None is needed.
    None,
    /// The first part is being copied.
    First {
        to: Arc<Upstream>,
        copying: LocalBoxFuture<'static, (CopyResult, Option<Duration>)>,
    },
    /// The first part is copied; the run is stopped at `stop_at`.
    Copied { to: Arc<Upstream>, stop_at: Instant },
    /// The run is being stopped and its rest copied.
    Last {
        to: Arc<Upstream>,
        copying: LocalBoxFuture<'static, CopyResult>,
    },
    /// The next try begins at this time.
    Paused { until: Instant },
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
    ends_at: Option<Instant>,
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
    FirstCopied(CopyResult, Option<Duration>),
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
            ends_at: None,
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
                Happened::FirstCopied(result, leaves_in) => self.first_copied(result, leaves_in),
                Happened::LastCopied(result) => {
                    if let Err(reason) = self.last_copied(result).await {
                        return self.fail(&reason);
                    }
                }
                Happened::Timer => self.timer(),
                Happened::Deadline => return self.fail("the deadline passed"),
            }
            if let Some(reason) = self.lost() {
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

    /// The stream has broken off and nothing is under way that could continue it.
    fn lost(&mut self) -> Option<String> {
        self.broken.as_ref()?;
        match self.moving {
            Move::Last { .. } => None,
            _ => self.broken.clone(),
        }
    }

    async fn happened(&mut self) -> Happened {
        let timer = match &self.moving {
            Move::Copied { stop_at, .. } => Some(*stop_at),
            Move::Paused { until } => Some(*until),
            _ => None,
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
            self.begin_move();
        }
    }

    fn can_move(&self) -> bool {
        let engine = self.admitted.engine.as_ref();
        engine.is_some_and(|engine| engine.moves) && self.moves < MOVES_MAX
    }

    /// Starts to copy the run's memory to the engine with the most room.
    fn begin_move(&mut self) {
        self.moves += 1;
        self.avoid.push(self.running.upstream.id.clone());
        let Some(to) = self.destination() else {
            self.note_move("no destination", None);
            self.avoid.clear();
            self.moving = Move::Paused {
                until: Instant::now() + BUSY_PAUSE,
            };
            return;
        };
        self.note_move("copying", Some(&to));
        let shared = self.shared.clone();
        let source = self.running.upstream.clone();
        let id = self.admitted.id.clone();
        let destination = to.clone();
        let copying = async move {
            let result = rescue::copy(&shared, &source, &id, &destination, false).await;
            let report = rescue::report(&shared, &source).await;
            (result, report.ok().and_then(|report| report.leaves_in))
        };
        self.moving = Move::First {
            to,
            copying: Box::pin(copying),
        };
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

    fn first_copied(&mut self, result: CopyResult, leaves_in: Option<Duration>) {
        let Move::First { to, .. } = std::mem::replace(&mut self.moving, Move::None) else {
            return;
        };
        let now = Instant::now();
        let ends_at = match leaves_in {
            Some(leaves_in) => now + leaves_in.saturating_sub(REPORT_AGE_MAX),
            None => self.leaving_since.unwrap_or(now) + NOTICE_DEFAULT,
        };
        self.ends_at = Some(ends_at);
        match result {
            Ok(done) => {
                self.note_move(&format!("copied {} events", done.events), Some(&to));
                let stop_at = ends_at.checked_sub(STOP_BEFORE_END).unwrap_or(now);
                self.moving = Move::Copied { to, stop_at };
            }
            Err(CopyFailure::NoSuchRun) => {
                // It is about to end by itself, or has not begun to run.
                self.note_move("no such run", Some(&to));
                self.avoid.pop();
                self.moving = Move::Paused {
                    until: now + BUSY_PAUSE,
                };
            }
            Err(failure) => {
                self.note_move(&failure.describe(), Some(&to));
                if failure != CopyFailure::Busy {
                    self.avoid.push(to.id.clone());
                }
                self.moving = Move::Paused {
                    until: now + BUSY_PAUSE,
                };
            }
        }
    }

    fn timer(&mut self) {
        match std::mem::replace(&mut self.moving, Move::None) {
            Move::Copied { to, .. } => self.begin_last(to),
            Move::Paused { .. } => self.look_at_directory(),
            other => self.moving = other,
        }
    }

    /// Stops the run and copies its rest.
    fn begin_last(&mut self, to: Arc<Upstream>) {
        self.note_move("stopping", Some(&to));
        let shared = self.shared.clone();
        let source = self.running.upstream.clone();
        let id = self.admitted.id.clone();
        let destination = to.clone();
        let copying = async move { rescue::copy(&shared, &source, &id, &destination, true).await };
        self.moving = Move::Last {
            to,
            copying: Box::pin(copying),
        };
    }

    /// The run was stopped and copied, or not.
    ///
    /// # Errors
    ///
    /// Why the stream can't go on.
    async fn last_copied(&mut self, result: CopyResult) -> Result<(), String> {
        let Move::Last { to, .. } = std::mem::replace(&mut self.moving, Move::None) else {
            return Ok(());
        };
        let source = self.running.upstream.clone();
        match result {
            Ok(done) => {
                self.note_move(&format!("stopped at event {}", done.events), Some(&to));
                self.continue_at(&to, &source, &done.handle).await
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
                self.moving = match failure {
                    CopyFailure::Busy => Move::Copied { to, stop_at: until },
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
                self.running = *running;
                self.broken = None;
                self.splitter.restart();
                self.leaving_since = None;
                self.note_move("continued", Some(to));
                Ok(())
            }
            Opened::NotRun(reason) if to.id != source.id => {
                self.note_move(&format!("not continued: {reason}"), Some(to));
                Box::pin(self.continue_at(source, source, handle)).await
            }
            Opened::NotRun(reason) | Opened::Unknown(reason) => Err(reason),
            Opened::Answered(answer) => Err(format!("status {}", answer.head.status)),
            Opened::TimedOut => Err("the deadline passed".to_owned()),
        }
    }

    fn note_move(&self, outcome: &str, to: Option<&Arc<Upstream>>) {
        let since = self.leaving_since.map(|since| since.elapsed().as_millis());
        let ends_in = self
            .ends_at
            .map(|at| at.saturating_duration_since(Instant::now()).as_millis());
        let line = self.admitted.line(&self.shared, EventCode::StreamMoved);
        line.with("upstream", self.running.upstream.id.as_str())
            .with_some("to", to.map(|to| to.id.as_str()))
            .with("outcome", outcome)
            .with("last_event", self.splitter.last_id())
            .with_some("leaving_ms", since.map(|ms| ms as u64))
            .with_some("ends_in_ms", ends_in.map(|ms| ms as u64))
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
        Move::First { copying, .. } => {
            let (result, leaves_in) = copying.await;
            Happened::FirstCopied(result, leaves_in)
        }
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
