//! Asks the owned upstreams for their load reports and cache events.

use actix::ActorFutureExt;
use actix::AsyncContext;
use actix::Context;
use actix::WrapFuture;

use super::Dispatch;
use super::Work;
use crate::error::Result;
use crate::id::UpstreamId;
use crate::owner::OwnerInput;
use crate::registry::RegistryInput;
use crate::telemetry::count_preemptions;
use crate::wire::CacheEvents;
use crate::wire::LoadReport;

impl Dispatch {
    /// Polls the upstreams that this host owns, and the others too while nobody tells of them.
    pub(super) fn poll(&mut self, context: &mut Context<Self>) {
        let mut upstreams = self.owner.reporting_upstreams();
        if self.peers.is_alone() {
            let reporting = self.pools.iter().filter(|pool| !pool.plain);
            let all = reporting.flat_map(|pool| &pool.upstreams);
            upstreams.extend(all.cloned());
            upstreams.sort();
            upstreams.dedup();
        }
        for upstream in upstreams {
            if self.polling.insert(upstream.clone(), ()).is_some() {
                continue;
            }
            let poller = self.poller.clone();
            let ask = async move {
                let report = poller.load(&upstream).await;
                (upstream, report)
            };
            let took = ask
                .into_actor(self)
                .map(|(upstream, report), dispatch, context| {
                    dispatch.polled(upstream, report);
                    dispatch.schedule_settling(context);
                });
            context.spawn(took);
        }
    }

    fn polled(&mut self, upstream: UpstreamId, report: Result<Option<LoadReport>>) {
        self.polling.remove(&upstream);
        let report = match report {
            Ok(Some(report)) => report,
            Ok(None) => {
                self.drive(Work::Owner(OwnerInput::NoReport(upstream)));
                return;
            }
            Err(error) => {
                log::debug!("report of {upstream}: {error}");
                self.drive(Work::Owner(OwnerInput::ReportFailed(upstream)));
                return;
            }
        };
        self.count_preemptions(&upstream, &report);
        let memory = report.memory_tokens.max(1) as f64;
        let load = report.used_tokens as f64 / memory + f64::from(report.waiting);
        self.drive(Work::Registry(RegistryInput::Load {
            upstream: upstream.clone(),
            load,
        }));
        self.drive(Work::Owner(OwnerInput::Report { upstream, report }));
    }

    /// Counts what an owned engine preempted between its last two reports.
    fn count_preemptions(&self, upstream: &UpstreamId, report: &LoadReport) {
        let Some(earlier) = self.owner.report(upstream) else {
            return;
        };
        let preemptions = report.preemptions_since(earlier);
        let serving = self.pools.iter();
        for pool in serving.filter(|pool| pool.upstreams.contains(upstream)) {
            count_preemptions(&pool.service, preemptions);
        }
    }

    pub(super) fn poll_caches(&mut self, context: &mut Context<Self>) {
        let upstreams = self.owner.reporting_upstreams();
        self.cache_next
            .retain(|upstream, _| upstreams.contains(upstream));
        for upstream in upstreams {
            let from = self.cache_next.get(&upstream).copied().unwrap_or(0);
            let poller = self.poller.clone();
            let ask = async move {
                let events = poller.cache_events(&upstream, from).await;
                (upstream, events)
            };
            let took = ask
                .into_actor(self)
                .map(|(upstream, events), dispatch, _| dispatch.cache_polled(upstream, events));
            context.spawn(took);
        }
    }

    fn cache_polled(&mut self, upstream: UpstreamId, events: Result<CacheEvents>) {
        let Ok(events) = events else {
            return;
        };
        self.cache_next
            .insert(upstream.clone(), events.next_sequence);
        if !events.events.is_empty() {
            self.drive(Work::Owner(OwnerInput::Cache {
                upstream,
                events: events.events,
            }));
        }
    }
}
