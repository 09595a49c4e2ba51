//! Relays one stream to its caller and drives the move of its run off a leaving engine.

use std::rc::Rc;

use bytes::Bytes;
use http_body_util::BodyExt;
use tokio::sync::watch;
use tokio::time::Instant;

use super::ActiveRun;
use super::StreamAborted;
use super::expected_output;
use super::measuring::Measures;
use super::moving::CopyResult;
use super::moving::MoveState;
use super::moving::next_step;
use super::ordering::CopyProgress;
use super::planned_output;
use crate::event::EventCode;
use crate::gateway::events::EventSplitter;
use crate::gateway::exchange;
use crate::gateway::instance::InstanceId;
use crate::gateway::movequeue::Turn;
use crate::gateway::queue::RunningGuard;
use crate::gateway::rollouts::evidence::Measure;
use crate::gateway::serve::Admitted;
use crate::gateway::shared::Shared;
use crate::gateway::stopping;
use crate::gateway::stopping::StopStage;
use crate::id::ClassId;
use crate::telemetry;
use crate::telemetry::Metric;
use crate::telemetry::StreamMeter;

/// A stream that is being relayed to its caller.
pub(super) struct Relay {
    pub(super) shared: Shared,
    pub(super) admitted: Rc<Admitted>,
    pub(super) running: ActiveRun,
    /// Why the engine's stream broke off, if it did; a move may still continue it.
    pub(super) stream_error: Option<String>,
    /// Whether the engine's stream ended with its connection between events while its run was being stopped. A
    /// stopped run's stream ends like that too, so the engine's reply tells whether it is complete.
    pub(super) is_end_unconfirmed: bool,
    /// Whether the engine was told to stop the run and didn't confirm it.
    pub(super) may_be_stopped: bool,
    pub(super) splitter: EventSplitter,
    pub(super) changes: watch::Receiver<u64>,
    /// How far the host's shutdown has come.
    stages: watch::Receiver<StopStage>,
    pub(super) moving: MoveState,
    pub(super) leaving_since: Option<Instant>,
    pub(super) moves: u32,
    pub(super) progress: CopyProgress,
    pub(super) avoid: Vec<InstanceId>,
    pub(super) measures: Measures,
    /// Tokens that the run is expected to produce in all.
    expected_tokens: u32,
    pub(super) ended: bool,
    /// Counts the stream's tokens for its customer while it runs.
    running_guard: RunningGuard,
}

/// An event that a relay waits for.
pub(super) enum RelayEvent {
    Frame(Option<Result<Bytes, String>>),
    DirectoryChanged,
    MayMove(Turn),
    FirstCopied(CopyResult),
    RestCopied(CopyResult),
    Timer,
    Deadline,
    HostStops,
}

impl Relay {
    pub(super) fn new(
        shared: Shared,
        admitted: Rc<Admitted>,
        running: ActiveRun,
        running_guard: RunningGuard,
    ) -> Self {
        let class = ClassId::new(format!("{}", admitted.priority));
        let meter = StreamMeter::start(shared.now(), &admitted.service, &class);
        let mut changes = shared.watch_directory();
        changes.mark_changed();
        let expected_tokens = planned_output(admitted.size(&shared));
        Relay {
            stages: shared.watch_stop_stage(),
            changes,
            admitted,
            running,
            stream_error: None,
            is_end_unconfirmed: false,
            may_be_stopped: false,
            splitter: EventSplitter::default(),
            moving: MoveState::None,
            leaving_since: None,
            moves: 0,
            progress: CopyProgress::default(),
            avoid: Vec::new(),
            measures: Measures::new(meter),
            expected_tokens,
            ended: false,
            running_guard,
            shared,
        }
    }

    /// Returns the next complete events, or `None` after the last one.
    pub(super) async fn next(&mut self) -> Option<Result<Bytes, StreamAborted>> {
        loop {
            match self.next_event().await {
                RelayEvent::Frame(Some(Ok(data))) => match self.splitter.push(&data) {
                    Ok(events) if events.is_empty() => {}
                    Ok(events) => {
                        self.record_events();
                        return Some(Ok(events));
                    }
                    Err(fault) => return self.fail(&format!("{fault:?}")),
                },
                RelayEvent::Frame(None) => match self.check_end() {
                    Ok(()) => {
                        self.complete();
                        return None;
                    }
                    Err(reason) => self.stream_error = Some(reason.to_owned()),
                },
                RelayEvent::Frame(Some(Err(reason))) => self.stream_error = Some(reason),
                // Timers don't count a suspension of the host; its end is notified as a directory change.
                RelayEvent::DirectoryChanged if self.admitted.time_left().is_zero() => {
                    return self.fail("the deadline passed");
                }
                RelayEvent::DirectoryChanged => self.check_leaving(),
                RelayEvent::MayMove(turn) => self.on_turn(turn),
                RelayEvent::FirstCopied(result) => self.on_first_copied(result),
                RelayEvent::RestCopied(Err(failure))
                    if self.is_end_unconfirmed && failure.is_not_stopped() =>
                {
                    self.complete();
                    return None;
                }
                RelayEvent::RestCopied(result) => {
                    if let Err(reason) = self.on_rest_copied(result).await {
                        return self.fail(&reason);
                    }
                }
                RelayEvent::Timer => self.on_timer(),
                RelayEvent::HostStops => return self.cut(),
                RelayEvent::Deadline => return self.fail("the deadline passed"),
            }
            if let Some(reason) = self.stream_error.clone()
                && !self.will_continue()
            {
                let upstream = &self.running.upstream.id;
                let connection = &self.running.connection;
                let written_for = self.written_for();
                self.shared
                    .record_crash(&self.admitted, upstream, connection, written_for);
                return self.fail(&reason);
            }
        }
    }

    /// Checks that the engine's stream is complete as its body ends.
    ///
    /// # Errors
    ///
    /// Returns the reason why it isn't, or isn't known to be.
    fn check_end(&mut self) -> Result<(), &'static str> {
        if self.splitter.has_partial() {
            return Err("ended within an event");
        }
        if !exchange::ends_with_connection(&self.running.head) {
            return Ok(());
        }
        if self.measures.first_ms.is_none() {
            return Err("its connection ended before its first event");
        }
        if self.may_be_stopped {
            return Err("its connection ended after a stop that wasn't confirmed");
        }
        self.is_end_unconfirmed = self.will_continue();
        match self.is_end_unconfirmed {
            true => Err("its connection ended while its run was being stopped"),
            false => Ok(()),
        }
    }

    /// Reserves more memory for a run that has produced its planned output. Otherwise ten long answers with
    /// short hints would fill an engine that looks half empty.
    pub(super) fn grow_reservation(&mut self) {
        let produced = self.produced_tokens();
        if produced < self.expected_tokens {
            return;
        }
        let size = self.admitted.size(&self.shared);
        self.expected_tokens = expected_output(size, produced).max(produced + 1);
        let tokens = size.prompt_tokens.saturating_add(self.expected_tokens);
        self.running.load_guard.grow_to(tokens);
    }

    /// Tokens in the events sent to the caller.
    pub(super) fn produced_tokens(&self) -> u32 {
        let engine = self.admitted.engine.as_ref();
        let of_event = engine.map_or(1, |engine| engine.tokens_per_event);
        let produced = self.splitter.event_count() * u64::from(of_event);
        u32::try_from(produced).unwrap_or(u32::MAX)
    }

    /// Whether a stream that broke off is going to be continued by a move in progress.
    fn will_continue(&self) -> bool {
        matches!(self.moving, MoveState::CopyingRest { .. })
    }

    async fn next_event(&mut self) -> RelayEvent {
        let timer = match &self.moving {
            MoveState::Copied { stop_at, .. } => Some(*stop_at),
            MoveState::Paused { until } => Some(*until),
            MoveState::None
            | MoveState::Queued { .. }
            | MoveState::CopyingFirst { .. }
            | MoveState::CopyingRest { .. } => None,
        };
        let is_open = self.stream_error.is_none();
        tokio::select! {
            biased;
            frame = self.running.body.frame(), if is_open => RelayEvent::Frame(match frame {
                None => None,
                Some(Ok(frame)) => Some(Ok(frame.into_data().unwrap_or_default())),
                Some(Err(error)) => Some(Err(error.to_string())),
            }),
            step = next_step(&mut self.moving) => step,
            _ = self.changes.changed() => RelayEvent::DirectoryChanged,
            () = sleep_until(timer) => RelayEvent::Timer,
            () = tokio::time::sleep_until(self.admitted.deadline) => RelayEvent::Deadline,
            () = stopping::wait_stage(&mut self.stages, StopStage::Cutting) => RelayEvent::HostStops,
        }
    }

    fn complete(&mut self) {
        self.ended = true;
        let now = self.shared.now();
        let upstream = &self.running.upstream.id;
        let slowness = self.shared.slowness(now, upstream);
        self.running_guard.complete(slowness.decode);
        self.shared
            .clear_suspect(self.admitted.fingerprint, upstream);
        if let Some(written_for) = self.written_for() {
            self.shared.record_sound_parts(&self.admitted, written_for);
        }
        let entry = self
            .admitted
            .log_entry(&self.shared, EventCode::RequestComplete);
        entry
            .with("upstream", self.running.upstream.id.as_str())
            .with("events", self.splitter.event_count())
            .with_some("first_ms", self.measures.first_ms)
            .with("gap_max_ms", self.measures.gap_max.as_millis() as u64)
            .with("moves", self.moves)
            .write();
    }

    /// Ends a stream that outlasts the grace period, which says nothing about its upstream.
    fn cut(&mut self) -> Option<Result<Bytes, StreamAborted>> {
        self.ended = true;
        self.record_cut();
        Some(Err(StreamAborted("the host stops".to_owned())))
    }

    fn record_cut(&self) {
        telemetry::count_of_service(Metric::StreamsLostTotal, &self.admitted.service);
        stopping::log_stopped(&self.shared, &self.admitted);
    }

    fn fail(&mut self, reason: &str) -> Option<Result<Bytes, StreamAborted>> {
        self.ended = true;
        let id = self.running.upstream.id.clone();
        let upstream = &self.running.upstream;
        self.shared
            .record_rollout_loss(&self.admitted, upstream, Measure::Pace);
        self.shared
            .record_failure(&self.admitted.service, &id, reason);
        telemetry::count_of_service(Metric::StreamsLostTotal, &self.admitted.service);
        let entry = self
            .admitted
            .log_entry(&self.shared, EventCode::RequestFailed);
        entry
            .with("upstream", id.as_str())
            .with("reason", reason)
            .with("events", self.splitter.event_count())
            .with("moves", self.moves)
            .write();
        Some(Err(StreamAborted(reason.to_owned())))
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        if self.ended {
            return;
        }
        // The host also drops the streams of callers who read too slowly to be told of the cut.
        if *self.stages.borrow() >= StopStage::Cutting {
            self.record_cut();
        } else {
            let entry = self.admitted.log_entry(&self.shared, EventCode::CallerLeft);
            entry
                .with("upstream", self.running.upstream.id.as_str())
                .with("events", self.splitter.event_count())
                .write();
        }
    }
}

async fn sleep_until(at: Option<Instant>) {
    match at {
        Some(at) => tokio::time::sleep_until(at).await,
        None => std::future::pending().await,
    }
}
