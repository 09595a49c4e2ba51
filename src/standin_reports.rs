//! What readers of the stand-in engine see late: load reports that lag, cache events with gaps.

use std::collections::VecDeque;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::clock::Time;
use crate::standin_engine::EngineOptions;
use crate::wire::CacheEvent;
use crate::wire::CacheEvents;
use crate::wire::LoadReport;

/// Load reports that are kept to answer with the lag.
const REPORTS_MAX: usize = 1_024;

/// Cache events that are kept for readers.
const CACHE_EVENTS_MAX: usize = 65_536;

/// Cache events in one answer.
const CACHE_EVENTS_PER_ANSWER: usize = 4_096;

/// Reports and cache events with the time when they arose.
pub(crate) struct Reports {
    lag: Duration,
    cache_delay: Duration,
    cache_loss_percent: u32,
    rng: ChaCha8Rng,
    reports: VecDeque<(Time, LoadReport)>,
    cache_events: VecDeque<(Time, CacheEvent)>,
}

impl Reports {
    pub(crate) fn new(options: &EngineOptions) -> Self {
        Reports {
            lag: Duration::from_millis(options.report_lag_ms),
            cache_delay: Duration::from_millis(options.cache_event_delay_ms),
            cache_loss_percent: options.cache_event_loss_percent,
            rng: ChaCha8Rng::seed_from_u64(options.seed),
            reports: VecDeque::new(),
            cache_events: VecDeque::new(),
        }
    }

    /// Keeps a report and loses a share of the cache events.
    pub(crate) fn push(&mut self, now: Time, report: LoadReport, events: Vec<CacheEvent>) {
        self.reports.push_back((now, report));
        if self.reports.len() > REPORTS_MAX {
            self.reports.pop_front();
        }
        for event in events {
            if self.rng.random_range(0..100) >= self.cache_loss_percent {
                self.cache_events.push_back((now, event));
            }
        }
        let surplus = self.cache_events.len().saturating_sub(CACHE_EVENTS_MAX);
        self.cache_events.drain(..surplus);
    }

    /// The newest report that is as old as the lag, or the oldest one; none without a lag.
    pub(crate) fn report(&self, now: Time) -> Option<LoadReport> {
        if self.lag.is_zero() {
            return None;
        }
        let (at, report) = self
            .reports
            .iter()
            .rev()
            .find(|(at, _)| now.since(*at) >= self.lag)
            .or(self.reports.front())?;
        Some(LoadReport {
            age_ms: u64::try_from(now.since(*at).as_millis()).unwrap_or(u64::MAX),
            ..report.clone()
        })
    }

    /// Cache events from `sequence` on that are old enough to be seen.
    pub(crate) fn cache_events(&self, now: Time, sequence: u64) -> CacheEvents {
        let events: Vec<CacheEvent> = self
            .cache_events
            .iter()
            .filter(|(at, _)| now.since(*at) >= self.cache_delay)
            .map(|(_, event)| *event)
            .filter(|event| event.sequence >= sequence)
            .take(CACHE_EVENTS_PER_ANSWER)
            .collect();
        CacheEvents {
            next_sequence: events.last().map_or(sequence, |last| last.sequence + 1),
            events,
        }
    }
}

#[cfg(test)]
mod tests;
