//! Measures a stream as its events arrive: when they came, and what their times tell of the engine and the prompt.

use std::time::Duration;

use tokio::time::Instant;

use super::TOKEN_TIME;
use super::relay::Relay;
use crate::gateway::rollouts::evidence::Measure;
use crate::gateway::rollouts::evidence::Outcome;
use crate::gateway::shared::PROOF_TIME;
use crate::gateway::speeds::Work;
use crate::telemetry::StreamMeter;

/// Events over which the pace of a stream is measured.
const PACE_EVENTS: u64 = 8;
/// Fewest unread tokens of which the time to the first event tells how fast prompts are read; with fewer the steps
/// of running requests prevail.
const PREFILL_TOKENS_MIN: u32 = 256;

/// What has been measured of a stream.
pub(super) struct Measures {
    meter: StreamMeter,
    /// Time from the request's arrival to the first event, in milliseconds.
    pub(super) first_ms: Option<f64>,
    first_at: Option<Instant>,
    last_at: Instant,
    /// The longest time between two events.
    pub(super) gap_max: Duration,
    /// Whether the pace has been recorded.
    pace_recorded: bool,
    /// Whether it has been recorded that the parts of the prompt are sound.
    has_proved_parts: bool,
    /// From when and from how many events on the engine's speed is measured; none until an event of it has come.
    speed_from: Option<(Instant, u64)>,
}

impl Measures {
    /// Nothing has been measured yet.
    pub(super) fn new(meter: StreamMeter) -> Self {
        Measures {
            meter,
            first_ms: None,
            first_at: None,
            last_at: Instant::now(),
            gap_max: Duration::ZERO,
            pace_recorded: false,
            has_proved_parts: false,
            speed_from: None,
        }
    }
}

impl Relay {
    /// Records that events go out to the caller.
    pub(super) fn record_events(&mut self) {
        self.measures.meter.token(self.shared.now());
        self.running.load_guard.mark_prompt_read();
        self.grow_reservation();
        let now = Instant::now();
        match self.measures.first_ms {
            None => self.record_first_event(),
            Some(_) => {
                self.measures.gap_max = self.measures.gap_max.max(now - self.measures.last_at)
            }
        }
        self.record_pace(now);
        self.record_proof();
        self.record_decode_speed(now);
        self.measures.last_at = now;
    }

    /// Time per token of the stream so far; the usual one until [`PACE_EVENTS`] events have been sent.
    pub(super) fn token_time(&self) -> Duration {
        let produced = self.produced_tokens();
        match self.measures.first_at {
            Some(first_at) if self.splitter.event_count() >= PACE_EVENTS => {
                (self.measures.last_at - first_at) / produced.max(1)
            }
            _ => TOKEN_TIME,
        }
    }

    /// Records the pace of the stream once [`PACE_EVENTS`] events have been sent.
    fn record_pace(&mut self, now: Instant) {
        let Some(first_at) = self.measures.first_at else {
            return;
        };
        if !self.measures.pace_recorded && self.splitter.event_count() >= PACE_EVENTS {
            self.measures.pace_recorded = true;
            let time = now - first_at;
            self.record_outcome(Measure::Pace, Outcome::Took(time));
        }
    }

    /// Records that the parts of the prompt are sound, once the engine has written on them for [`PROOF_TIME`].
    fn record_proof(&mut self) {
        let written_for = self.written_for().unwrap_or_default();
        if !self.measures.has_proved_parts && written_for >= PROOF_TIME {
            self.measures.has_proved_parts = true;
            self.shared.record_sound_parts(&self.admitted, written_for);
        }
    }

    /// Time since the run's first event.
    pub(super) fn written_for(&self) -> Option<Duration> {
        self.measures.first_at.map(|at| at.elapsed())
    }

    /// Records how fast the engine generates, every [`PACE_EVENTS`] events.
    fn record_decode_speed(&mut self, now: Instant) {
        let Some(engine) = &self.admitted.engine else {
            return;
        };
        let events = self.splitter.event_count();
        let Some((from, events_before)) = self.measures.speed_from else {
            self.measures.speed_from = Some((now, events));
            return;
        };
        let passed = u32::try_from(events - events_before).unwrap_or(u32::MAX);
        if u64::from(passed) >= PACE_EVENTS {
            let tokens = passed.saturating_mul(engine.tokens_per_event);
            let upstream = &self.running.upstream;
            self.shared
                .record_speed(upstream, Work::Decode, tokens, now - from);
            self.measures.speed_from = Some((now, events));
        }
    }

    /// Measures the engine's speed anew, because another one continues the run.
    pub(super) fn restart_speed(&mut self) {
        self.measures.speed_from = None;
    }

    fn record_outcome(&self, measure: Measure, outcome: Outcome) {
        let upstream = &self.running.upstream;
        self.shared
            .record_rollout_outcome(&self.admitted, upstream, measure, outcome);
    }

    fn record_first_event(&mut self) {
        self.measures.first_at = Some(Instant::now());
        self.measures.first_ms = Some(self.admitted.arrived.elapsed().as_secs_f64() * 1_000.0);
        let time = self.running.sent_at.elapsed();
        self.record_outcome(Measure::FirstEvent, Outcome::Took(time));
        let tokens = self.running.unread_tokens;
        let upstream = &self.running.upstream;
        let now = self.shared.now();
        let slowness = self.shared.present_slowness(now, &upstream.id);
        if tokens >= PREFILL_TOKENS_MIN {
            self.shared
                .record_speed(upstream, Work::Prefill, tokens, time);
        }
        let in_time = self.admitted.arrived.elapsed() <= self.admitted.route.objective;
        self.shared.queues().with(|lines| {
            lines
                .stats
                .record_first_event(tokens, slowness.prefill, time);
            lines.stats.record_objective(in_time);
        });
    }
}
