//! What an owner makes of its upstreams: their reports, leaving, loss and return.

use std::collections::BTreeSet;

use super::Owner;
use super::OwnerAction;
use crate::clock::Time;
use crate::id::UpstreamId;
use crate::schedule::Input;
use crate::schedule::UpstreamSpec;
use crate::scheduler::Scheduler;
use crate::scheduler::SchedulerOptions;
use crate::servicepool::ServicePool;
use crate::wire::LoadReport;

/// Calls that an upstream of a plain service is given at once at most. A call counts as one token of
/// a memory of this size, so that calls spread evenly.
const PLAIN_CALLS_MAX: u64 = 1_024;

impl Owner {
    /// Brings schedulers and owned upstreams in line with the table and the owners.
    pub(super) fn settle(&mut self, now: Time, actions: &mut Vec<OwnerAction>) {
        for pool in self.pools.clone() {
            if !self.schedulers.contains_key(&pool.service) {
                let scheduler = Scheduler::new(self.scheduler_options(&pool));
                self.schedulers.insert(pool.service.clone(), scheduler);
            }
            let weights = Input::Weights(self.weights.clone());
            self.feed(now, &pool.service, weights, actions);
        }
        let wanted = self.wanted();
        let gone: Vec<UpstreamId> = self
            .owned
            .keys()
            .filter(|upstream| !wanted.contains(*upstream))
            .cloned()
            .collect();
        for upstream in gone {
            self.owned.remove(&upstream);
            self.feed_all(now, &Input::UpstreamRemoved(upstream), actions);
        }
        for upstream in wanted {
            let owned = self.owned.entry(upstream.clone()).or_default();
            let announced = owned.announced;
            if announced || self.is_plain(&upstream) {
                self.announce(now, &upstream, actions);
            }
        }
    }

    fn scheduler_options(&self, pool: &ServicePool) -> SchedulerOptions {
        SchedulerOptions {
            ejected_percent_max: pool.ejected_percent_max,
            ..self.options.scheduler.clone()
        }
    }

    fn wanted(&self) -> BTreeSet<UpstreamId> {
        let all = self.pools.iter().flat_map(|pool| &pool.upstreams);
        all.filter(|upstream| self.ownership.upstream_owner(upstream) == Some(&self.host))
            .cloned()
            .collect()
    }

    /// Tells the schedulers of an upstream that may be used. What its report calls used is held
    /// back until the schedulers have taken in the report itself.
    fn announce(&mut self, now: Time, upstream: &UpstreamId, actions: &mut Vec<OwnerAction>) {
        let Some(owned) = self.owned.get_mut(upstream) else {
            return;
        };
        if owned.lost || owned.leaving {
            return;
        }
        let memory_tokens = owned.report.as_ref().map_or(0, |report| {
            let used_tokens = match owned.announced {
                true => 0,
                false => report.used_tokens,
            };
            report.memory_tokens.saturating_sub(used_tokens).max(1)
        });
        owned.announced = true;
        for pool in self.pools.clone() {
            if !pool.upstreams.contains(upstream) {
                continue;
            }
            let spec = UpstreamSpec {
                upstream: upstream.clone(),
                memory_tokens: match pool.plain {
                    true => PLAIN_CALLS_MAX,
                    false => memory_tokens,
                },
                high_water_percent: pool.high_water_percent,
            };
            self.feed(now, &pool.service, Input::Upstream(spec), actions);
        }
    }

    /// No new work for an upstream, for good or until a time.
    pub(super) fn leave(
        &mut self,
        now: Time,
        upstream: &UpstreamId,
        until: Option<Time>,
        actions: &mut Vec<OwnerAction>,
    ) {
        let Some(owned) = self.owned.get_mut(upstream) else {
            return;
        };
        if !owned.leaving || owned.leaving_until.is_some() {
            owned.leaving_until = until;
        }
        if std::mem::replace(&mut owned.leaving, true) {
            return;
        }
        actions.push(OwnerAction::UpstreamLeft(upstream.clone()));
        for service in self.services_of(upstream) {
            let input = Input::UpstreamLeaving(upstream.clone());
            self.feed(now, &service, input, actions);
        }
        self.refuse_hopeless(now, upstream, actions);
    }

    pub(super) fn reported(
        &mut self,
        now: Time,
        upstream: &UpstreamId,
        report: LoadReport,
        actions: &mut Vec<OwnerAction>,
    ) {
        let Some(owned) = self.owned.get_mut(upstream) else {
            return;
        };
        owned.failed_reports = 0;
        let restarted = report.incarnation > owned.incarnation;
        owned.incarnation = report.incarnation;
        let back = owned.lost || owned.leaving && restarted && !report.leaving;
        owned.report = Some(report.clone());
        let fresh = !owned.announced;
        if back {
            self.come_back(now, upstream, actions);
        } else if fresh {
            self.announce(now, upstream, actions);
        }
        if report.leaving {
            self.leave(now, upstream, None, actions);
        }
        for service in self.services_of(upstream) {
            let input = Input::Report {
                upstream: upstream.clone(),
                report: report.clone(),
            };
            self.feed(now, &service, input, actions);
        }
        self.adopt_buffered(now, upstream, actions);
        self.sweep(upstream);
    }

    /// An upstream without reports is alive; its schedulers assume its memory.
    pub(super) fn answered(
        &mut self,
        now: Time,
        upstream: &UpstreamId,
        actions: &mut Vec<OwnerAction>,
    ) {
        let Some(owned) = self.owned.get_mut(upstream) else {
            return;
        };
        owned.failed_reports = 0;
        if owned.lost {
            self.come_back(now, upstream, actions);
        } else if !owned.announced {
            self.announce(now, upstream, actions);
        }
        self.adopt_buffered(now, upstream, actions);
        self.sweep(upstream);
    }

    fn adopt_buffered(&mut self, now: Time, upstream: &UpstreamId, actions: &mut Vec<OwnerAction>) {
        let Some(owned) = self.owned.get_mut(upstream) else {
            return;
        };
        for adoption in std::mem::take(&mut owned.adoptions) {
            self.adopt(now, upstream.clone(), adoption, actions);
        }
    }

    /// Forgets requests whose grant lapsed or whose end was lost: their scheduler has given them up.
    fn sweep(&mut self, upstream: &UpstreamId) {
        let Some(owned) = self.owned.get_mut(upstream) else {
            return;
        };
        let (origins, schedulers) = (&mut self.origins, &self.schedulers);
        owned.requests.retain(|request| {
            let Some(origin) = origins.get(request) else {
                return false;
            };
            let here = origin.upstream.as_ref() == Some(upstream);
            let scheduler = schedulers.get(&origin.service);
            let held = here && scheduler.is_some_and(|scheduler| scheduler.holds(*request));
            if here && !held {
                origins.remove(request);
            }
            held
        });
    }

    fn come_back(&mut self, now: Time, upstream: &UpstreamId, actions: &mut Vec<OwnerAction>) {
        let Some(owned) = self.owned.get_mut(upstream) else {
            return;
        };
        owned.lost = false;
        owned.leaving = false;
        owned.leaving_until = None;
        actions.push(OwnerAction::UpstreamBack(upstream.clone()));
        self.feed_all(now, &Input::UpstreamRemoved(upstream.clone()), actions);
        self.announce(now, upstream, actions);
    }

    pub(super) fn tick(&mut self, now: Time, actions: &mut Vec<OwnerAction>) {
        let lapsed = self.owned.iter().filter(|(_, owned)| {
            let until = owned.leaving_until;
            owned.leaving && until.is_some_and(|until| until <= now)
        });
        let lapsed: Vec<UpstreamId> = lapsed.map(|(upstream, _)| upstream.clone()).collect();
        for upstream in lapsed {
            self.come_back(now, &upstream, actions);
        }
        self.feed_all(now, &Input::Tick, actions);
    }

    pub(super) fn report_failed(
        &mut self,
        now: Time,
        upstream: &UpstreamId,
        actions: &mut Vec<OwnerAction>,
    ) {
        let Some(owned) = self.owned.get_mut(upstream) else {
            return;
        };
        owned.failed_reports += 1;
        if owned.lost || owned.failed_reports < self.options.failed_reports {
            return;
        }
        owned.lost = true;
        actions.push(OwnerAction::UpstreamLost(upstream.clone()));
        self.feed_all(now, &Input::UpstreamRemoved(upstream.clone()), actions);
        self.refuse_hopeless(now, upstream, actions);
    }
}
