//! What engines and running requests tell a policy during a run in virtual time, late and lossy.

use std::time::Duration;

use rand::RngExt;

use crate::clock::Time;
use crate::schedule::Input;
use crate::virtualtime::Due;
use crate::virtualtime::VirtualRun;
use crate::virtualtime::ids::request_id;

impl VirtualRun<'_> {
    /// Takes an engine's report and cache events, to arrive later.
    pub(super) fn sample(&mut self, now: Time, index: usize) {
        let faults = self.faults;
        if !self.engines[index].alive {
            return;
        }
        let model = &mut self.engines[index].model;
        let mut report = model.report(now);
        report.age_ms = faults.report_lag_ms;
        let mut events = model.take_cache_events();
        let lost = f64::from(faults.cache_loss_percent.min(100)) / 100.0;
        events.retain(|_| !self.rng.random_bool(lost));
        if now <= self.recorder.window_end {
            self.memory_samples.0 += report.used_tokens as f64 / report.memory_tokens as f64;
            self.memory_samples.1 += 1;
        }
        let report_at = now + Duration::from_millis(faults.report_lag_ms);
        self.schedule(report_at, Due::Report(index, report));
        if !events.is_empty() {
            let cache_at = now + Duration::from_millis(faults.cache_lag_ms);
            self.schedule(cache_at, Due::Cache(index, events));
        }
        let next = now + Duration::from_millis(faults.report_interval_ms.max(1));
        self.schedule(next, Due::Sample(index));
    }

    pub(super) fn tell_progress(&mut self, now: Time, index: usize) {
        for request in &self.engines[index].holds {
            let state = &mut self.states[*request];
            if state.tokens > state.told_tokens {
                state.told_tokens = state.tokens;
                self.inputs.push_back(Input::Progress {
                    request: request_id(*request),
                    output_tokens: state.tokens,
                });
            }
        }
        let next = now + Duration::from_millis(self.faults.progress_interval_ms.max(1));
        self.schedule(next, Due::Progress(index));
    }
}
