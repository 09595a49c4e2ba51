//! Takes what owners decide: compares grants, keeps the best and withdraws the request elsewhere.

use super::Registry;
use super::RegistryAction;
use super::entries::Granted;
use super::entries::GrantedEntry;
use super::entries::withdrawal;
use crate::clock::Time;
use crate::id::HostId;
use crate::id::RequestId;
use crate::id::UpstreamId;
use crate::link::Urgency;
use crate::peer::Decision;
use crate::refusal::Refusal;
use crate::schedule::Action;

impl Registry {
    pub(super) fn decide(
        &mut self,
        now: Time,
        from: HostId,
        decision: Decision,
        actions: &mut Vec<RegistryAction>,
    ) {
        match decision.action {
            Action::Grant {
                request,
                upstream,
                engine_priority,
                ..
            } => {
                let granted = Granted {
                    upstream,
                    engine_priority,
                    load: decision.load,
                };
                self.granted_by(from, request, granted, actions);
            }
            Action::Refuse { request, refusal } => {
                self.refused_by(now, &from, request, refusal, actions);
            }
            Action::Relocate { request, upstream } => {
                let entry = self.granted.get(&request);
                let current = entry.is_some_and(|entry| {
                    entry.upstream == upstream
                        && entry.output_tokens == 0
                        && entry.ticket.repeatable
                });
                if current {
                    actions.push(RegistryAction::Relocate(request));
                }
            }
        }
    }

    fn granted_by(
        &mut self,
        from: HostId,
        request: RequestId,
        granted: Granted,
        actions: &mut Vec<RegistryAction>,
    ) {
        let Some(entry) = self.waiting.get_mut(&request) else {
            let same = self.granted.get(&request).is_some_and(|entry| {
                entry.owner.as_ref() == Some(&from) && entry.upstream == granted.upstream
            });
            if !same {
                actions.push(withdrawal(&from, Urgency::Now, request));
            }
            return;
        };
        let first = entry.candidates.iter().all(|known| known.grant.is_none());
        match entry.candidates.iter_mut().find(|known| known.host == from) {
            Some(candidate) => candidate.grant = Some(granted),
            None => {
                actions.push(withdrawal(&from, Urgency::Now, request));
                return;
            }
        }
        let mut candidates = entry.candidates.iter();
        let all_answered = candidates.all(|known| known.grant.is_some() || known.refusal.is_some());
        if all_answered {
            self.settle(request, actions);
        } else if first {
            actions.push(RegistryAction::SettleLater(request));
        }
    }

    /// Takes the grant of the least loaded upstream.
    pub(super) fn settle(&mut self, request: RequestId, actions: &mut Vec<RegistryAction>) {
        let Some(entry) = self.waiting.get(&request) else {
            return;
        };
        let granted = entry.candidates.iter().filter_map(|candidate| {
            let grant = candidate.grant.as_ref()?;
            Some((candidate.host.clone(), grant.clone()))
        });
        let best = granted.min_by(|(_, left), (_, right)| left.load.total_cmp(&right.load));
        if let Some((host, grant)) = best {
            let priority = Some(grant.engine_priority);
            self.grant(request, Some(host), grant.upstream, priority, actions);
        }
    }

    pub(super) fn grant(
        &mut self,
        request: RequestId,
        owner: Option<HostId>,
        upstream: UpstreamId,
        engine_priority: Option<u8>,
        actions: &mut Vec<RegistryAction>,
    ) {
        let Some(entry) = self.waiting.remove(&request) else {
            return;
        };
        for candidate in &entry.candidates {
            if owner.as_ref() != Some(&candidate.host) && candidate.refusal.is_none() {
                let urgency = match candidate.grant {
                    Some(_) => Urgency::Now,
                    None => Urgency::Soon,
                };
                actions.push(withdrawal(&candidate.host, urgency, request));
            }
        }
        let class_priority = self.engine_priorities.get(&entry.ticket.class).copied();
        actions.push(RegistryAction::Granted {
            request,
            upstream: upstream.clone(),
            engine_priority: engine_priority.or(class_priority).unwrap_or_default(),
            owner: owner.clone(),
        });
        let granted = GrantedEntry {
            ticket: entry.ticket,
            owner,
            remote: entry.spilled,
            upstream,
            attempt: None,
            output_tokens: 0,
            reported_tokens: 0,
            reported_at: Time::ZERO,
        };
        self.granted.insert(request, granted);
    }

    fn refused_by(
        &mut self,
        now: Time,
        from: &HostId,
        request: RequestId,
        refusal: Refusal,
        actions: &mut Vec<RegistryAction>,
    ) {
        let Some(entry) = self.waiting.get_mut(&request) else {
            return;
        };
        if let Some(candidate) = entry
            .candidates
            .iter_mut()
            .find(|known| known.host == *from)
        {
            candidate.refusal = Some(refusal);
        }
        let refusals = entry.candidates.iter().map(|known| known.refusal.as_ref());
        let refusals: Option<Vec<&Refusal>> = refusals.collect();
        let soonest = refusals.and_then(|refusals| {
            let soonest = refusals
                .into_iter()
                .min_by_key(|refusal| refusal.retry_after_ms);
            soonest.cloned()
        });
        if let Some(refusal) = soonest {
            self.go_elsewhere(now, request, refusal, actions);
        }
    }
}
