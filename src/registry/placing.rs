//! Finds owners for a request that waits, decides alone without any, and turns to another data
//! centre when this one can't serve it.

use std::time::Duration;

use rand::RngExt;

use super::Registry;
use super::RegistryAction;
use super::RegistryOptions;
use super::entries::Candidate;
use super::entries::withdrawal;
use crate::clock::Time;
use crate::id::HostId;
use crate::id::RequestId;
use crate::id::UpstreamId;
use crate::link::Urgency;
use crate::peer::PeerMessage;
use crate::refusal::Code;
use crate::refusal::Refusal;
use crate::schedule::Ticket;

impl Registry {
    pub(super) fn register_all(&mut self, now: Time, actions: &mut Vec<RegistryAction>) {
        let requests: Vec<RequestId> = self.waiting.keys().copied().collect();
        for request in requests {
            self.register(now, request, actions);
        }
    }

    /// Brings the owners at which a request waits in line with what is known now.
    pub(super) fn register(
        &mut self,
        now: Time,
        request: RequestId,
        actions: &mut Vec<RegistryAction>,
    ) {
        let Some(entry) = self.waiting.get(&request) else {
            return;
        };
        if entry.spilled && !entry.candidates.is_empty() {
            return;
        }
        let mut usable = self.usable(&entry.ticket);
        if usable.is_empty() && self.forgive(now, request) {
            usable = self
                .waiting
                .get(&request)
                .map_or(usable, |entry| self.usable(&entry.ticket));
        }
        let Some(entry) = self.waiting.get(&request) else {
            return;
        };
        if usable.is_empty() {
            self.go_elsewhere(now, request, no_upstream(&self.options), actions);
            return;
        }
        if entry.paused_until.is_some_and(|until| until > now) {
            return;
        }
        let chosen = self.choose_owners(&entry.ticket, &usable);
        if chosen.is_empty() {
            self.decide_alone(request, &usable, actions);
            return;
        }
        self.move_to(now, request, &chosen, actions);
    }

    /// Every upstream left is one that already failed or moved the request: rather than refuse it,
    /// let it try them again, at once or, after several times, a moment later.
    fn forgive(&mut self, now: Time, request: RequestId) -> bool {
        let pause = Duration::from_millis(self.options.forgive_ms);
        let Some(entry) = self.waiting.get_mut(&request) else {
            return false;
        };
        let pool = self.pools.get(&entry.ticket.service);
        let upstreams = pool.map_or(0, |pool| pool.upstreams.len());
        let tried = entry.ticket.avoid.len();
        entry.ticket.avoid.clear();
        if tried > 2 * upstreams {
            entry.paused_until = Some(now + pause);
        }
        tried > 0
    }

    /// Upstreams of the ticket's service here that may take it.
    fn usable(&self, ticket: &Ticket) -> Vec<UpstreamId> {
        let pool = self.pools.get(&ticket.service);
        let upstreams = pool.map_or(&[][..], |pool| &pool.upstreams);
        upstreams
            .iter()
            .filter(|upstream| !self.leaving.contains(upstream))
            .filter(|upstream| !ticket.avoid.contains(upstream))
            .cloned()
            .collect()
    }

    fn choose_owners(&self, ticket: &Ticket, usable: &[UpstreamId]) -> Vec<HostId> {
        if self.alone {
            return Vec::new();
        }
        let reachable: Vec<UpstreamId> = usable
            .iter()
            .filter(|upstream| {
                let owner = self.ownership.upstream_owner(upstream);
                owner.is_some_and(|owner| !self.unreachable.contains(owner))
            })
            .cloned()
            .collect();
        let prefix = ticket.prefix_hashes.first().copied();
        self.ownership
            .candidates(ticket.request, prefix, &reachable)
    }

    fn move_to(
        &mut self,
        now: Time,
        request: RequestId,
        chosen: &[HostId],
        actions: &mut Vec<RegistryAction>,
    ) {
        let Some(entry) = self.waiting.get_mut(&request) else {
            return;
        };
        entry.candidates.retain(|candidate| {
            let stays = chosen.contains(&candidate.host);
            if !stays && candidate.refusal.is_none() {
                actions.push(withdrawal(&candidate.host, Urgency::Soon, request));
            }
            stays
        });
        let ticket = entry.remaining_ticket(now);
        for host in chosen {
            if entry.candidates.iter().any(|known| known.host == *host) {
                continue;
            }
            entry.candidates.push(Candidate::new(host));
            actions.push(RegistryAction::Send {
                to: host.clone(),
                urgency: Urgency::Now,
                message: PeerMessage::Submit(ticket.clone()),
            });
        }
    }

    /// Two choices over the last known loads: better than one, and no herd on the best.
    fn decide_alone(
        &mut self,
        request: RequestId,
        usable: &[UpstreamId],
        actions: &mut Vec<RegistryAction>,
    ) {
        let first = &usable[self.rng.random_range(0..usable.len())];
        let second = &usable[self.rng.random_range(0..usable.len())];
        let upstream = if self.load(first) <= self.load(second) {
            first
        } else {
            second
        };
        self.grant(request, None, upstream.clone(), None, actions);
    }

    fn load(&self, upstream: &UpstreamId) -> f64 {
        let reported = self.loads.get(upstream).copied().unwrap_or(0.0);
        let own = self.granted.values();
        let own = own.filter(|entry| entry.upstream == *upstream).count();
        reported + own as f64
    }

    /// The data centre can't serve the request: another one may.
    pub(super) fn go_elsewhere(
        &mut self,
        now: Time,
        request: RequestId,
        refusal: Refusal,
        actions: &mut Vec<RegistryAction>,
    ) {
        let Some(entry) = self.waiting.get_mut(&request) else {
            return;
        };
        let hosts = match entry.spilled {
            true => Vec::new(),
            false => self.spill.choose(now, &entry.ticket.service),
        };
        if hosts.is_empty() {
            self.refuse(request, refusal, actions);
            return;
        }
        for candidate in entry.candidates.drain(..) {
            if candidate.refusal.is_none() {
                actions.push(withdrawal(&candidate.host, Urgency::Soon, request));
            }
        }
        entry.spilled = true;
        let ticket = entry.remaining_ticket(now);
        for host in &hosts {
            entry.candidates.push(Candidate::new(host));
            actions.push(RegistryAction::Send {
                to: host.clone(),
                urgency: Urgency::Now,
                message: PeerMessage::Spill(ticket.clone()),
            });
        }
        actions.push(RegistryAction::Spilled { request, to: hosts });
    }

    fn refuse(&mut self, request: RequestId, refusal: Refusal, actions: &mut Vec<RegistryAction>) {
        self.waiting.remove(&request);
        actions.push(RegistryAction::Refused { request, refusal });
    }
}

fn no_upstream(options: &RegistryOptions) -> Refusal {
    Refusal::not_run(
        Code::NoUpstream,
        "no upstream of the service is left to try",
    )
    .retry_after_ms(options.no_upstream_retry_ms)
}
