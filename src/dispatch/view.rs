//! Publishes what dispatch knows.

use std::sync::PoisonError;

use super::Dispatch;
use super::DispatchView;
use crate::status::UpstreamState;
use crate::status::UpstreamStatus;
use crate::wire::LoadReport;

impl Dispatch {
    pub(super) fn refresh_view(&mut self) {
        if self.leaving.lapse(self.clock.now()) {
            self.publish_leaving();
        }
        let ownership = self.peers.ownership();
        let leaving = self.leaving.all();
        let mut upstreams = Vec::new();
        for pool in &self.pools {
            for upstream in &pool.upstreams {
                let report = self.owner.report(upstream);
                let state = if leaving.contains(upstream) || self.owner.is_leaving(upstream) {
                    UpstreamState::Leaving
                } else if self.owner.is_lost(upstream) {
                    UpstreamState::Lost
                } else {
                    UpstreamState::Ready
                };
                upstreams.push(UpstreamStatus {
                    upstream: upstream.clone(),
                    service: pool.service.clone(),
                    owner: ownership.upstream_owner(upstream).cloned(),
                    state,
                    running: report.map_or(0, running),
                    waiting: report.map_or(0, |report| report.waiting),
                    memory_percent: report.map_or(0.0, memory_percent),
                    preemptions_total: report.map_or(0, |report| report.preemptions_total),
                    report_age_ms: report.map(|report| report.age_ms),
                });
            }
        }
        let view = DispatchView {
            waiting: self.registry.waiting(),
            granted: self.registry.granted(),
            upstreams,
        };
        *self.view.write().unwrap_or_else(PoisonError::into_inner) = view;
    }
}

fn running(report: &LoadReport) -> u32 {
    u32::try_from(report.running.len()).unwrap_or(u32::MAX)
}

fn memory_percent(report: &LoadReport) -> f64 {
    100.0 * report.used_tokens as f64 / report.memory_tokens.max(1) as f64
}
