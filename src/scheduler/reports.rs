//! What the scheduler learns from engines: load reports and cache events, late and with gaps.

use std::time::Duration;

use super::Scheduler;
use crate::admission::Trajectory;
use crate::clock::Time;
use crate::id::RequestId;
use crate::id::UpstreamId;
use crate::placement::Slot;
use crate::relief;
use crate::schedule::Action;
use crate::wire::CacheEvent;
use crate::wire::LoadReport;
use crate::wire::RunningReport;

/// Reports that must leave a request out before it counts as ended.
const MISSING_REPORTS: u32 = 3;
/// A request is expected in a report this long after its grant.
const REPORTED_AFTER: Duration = Duration::from_secs(2);
/// Bound on the output of generations that others run.
const FOREIGN_OUTPUT_TOKENS_MAX: u32 = 32_768;
/// Weight of the newest report in the average of shared memory.
const SHARED_STEP: f64 = 0.3;

impl Scheduler {
    /// Takes a load report; answers with what has to move.
    pub(super) fn report(
        &mut self,
        now: Time,
        id: &UpstreamId,
        report: &LoadReport,
    ) -> Vec<Action> {
        let Some(slot) = self.placement.slot(id) else {
            return Vec::new();
        };
        self.catch_up(now, report);
        self.drop_missing(now, slot, report);
        let foreign = self.foreign(now, report);
        self.observe(now, slot, report, foreign);
        let leaving = self.placement.get(slot).is_some_and(|u| u.leaving);
        if report.leaving && !leaving {
            return self.leave(now, id);
        }
        self.relieve(slot)
    }

    /// Takes cache events.
    pub(super) fn cache(&mut self, now: Time, id: &UpstreamId, events: &[CacheEvent]) {
        let Some(slot) = self.placement.slot(id) else {
            return;
        };
        let affinity = &mut self.placement.affinity;
        for event in events {
            match event.stored {
                true => affinity.stored(now, slot, event.prefix_hash),
                false => affinity.evicted(slot, event.prefix_hash),
            }
        }
    }

    /// Tokens that the report knows of and no host has told yet.
    fn catch_up(&mut self, now: Time, report: &LoadReport) {
        for running in &report.running {
            if let Some(request) = self.ledger.by_attempt(running.attempt) {
                self.progress(now, request, running.output_tokens);
            }
        }
    }

    /// Ends what several reports in a row left out though the engine's queue was empty.
    fn drop_missing(&mut self, now: Time, slot: Slot, report: &LoadReport) {
        let Some(upstream) = self.placement.get(slot) else {
            return;
        };
        let taken_ago = Duration::from_millis(report.age_ms) + REPORTED_AFTER;
        let requests: Vec<RequestId> = upstream.running.iter().copied().collect();
        for request in requests {
            let Some(running) = self.ledger.get_mut(request) else {
                continue;
            };
            let Some(attempt) = running.attempt else {
                continue;
            };
            let named = report.running.iter().any(|r| r.attempt == attempt);
            if named || report.waiting > 0 || now.since(running.granted) < taken_ago {
                running.missing_reports = 0;
                continue;
            }
            running.missing_reports += 1;
            if running.missing_reports >= MISSING_REPORTS {
                self.release(now, request);
            }
        }
    }

    /// The part of the forecast that others run.
    fn foreign(&mut self, now: Time, report: &LoadReport) -> Vec<Trajectory> {
        let unknown: Vec<&RunningReport> = report
            .running
            .iter()
            .filter(|running| !self.ledger.knows(running.attempt))
            .collect();
        let curve = self.estimator.service_curve(now);
        unknown
            .into_iter()
            .map(|running| {
                let limit = FOREIGN_OUTPUT_TOKENS_MAX;
                Trajectory::new(curve, running.prompt_tokens, running.output_tokens, limit)
            })
            .collect()
    }

    fn observe(&mut self, now: Time, slot: Slot, report: &LoadReport, foreign: Vec<Trajectory>) {
        let held: u64 = report
            .running
            .iter()
            .map(|running| u64::from(running.prompt_tokens) + u64::from(running.output_tokens))
            .sum();
        let shared = held as f64 - report.used_tokens as f64;
        self.placement.update(now, slot, |upstream| {
            if report.memory_tokens > 0 {
                upstream.spec.memory_tokens = report.memory_tokens;
            }
            upstream.shared_tokens += SHARED_STEP * (shared - upstream.shared_tokens);
            for trajectory in &upstream.foreign {
                upstream.forecast -= trajectory;
            }
            for trajectory in &foreign {
                upstream.forecast += trajectory;
            }
            upstream.foreign = foreign;
            let restarted = upstream.incarnation != report.incarnation;
            if !restarted && report.preemptions_total > upstream.preemptions_total {
                upstream.margin.raise(now);
            }
            upstream.preemptions_total = report.preemptions_total;
            upstream.incarnation = report.incarnation;
        });
    }

    /// Moves requests away where memory is about to run out.
    fn relieve(&mut self, slot: Slot) -> Vec<Action> {
        let excess_tokens = self.placement.excess_tokens(slot);
        if excess_tokens <= 0.0 {
            return Vec::new();
        }
        let mut movable = self.movable(slot);
        movable.retain(|candidate| {
            self.moves
                .get(&candidate.request)
                .is_none_or(|moves| *moves < relief::MOVES_MAX)
        });
        self.relocate(slot, relief::choose(movable, excess_tokens))
    }
}
