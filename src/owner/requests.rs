//! What an owner makes of the requests that hosts register with it, from submission to end.

use super::Adoption;
use super::Origin;
use super::Owned;
use super::Owner;
use super::OwnerAction;
use crate::clock::Time;
use crate::id::HostId;
use crate::id::RequestId;
use crate::id::ServiceId;
use crate::id::UpstreamId;
use crate::leaving::MARK_LASTS;
use crate::peer::Decision;
use crate::peer::PeerMessage;
use crate::refusal::Code;
use crate::refusal::Refusal;
use crate::schedule::Action;
use crate::schedule::Ending;
use crate::schedule::Input;
use crate::schedule::Ticket;

impl Owner {
    pub(super) fn message(
        &mut self,
        now: Time,
        from: HostId,
        message: PeerMessage,
        actions: &mut Vec<OwnerAction>,
    ) {
        match message {
            PeerMessage::Submit(ticket) => self.submit(now, from, ticket, actions),
            PeerMessage::Spill(ticket) => self.submit_foreign(now, from, ticket, actions),
            PeerMessage::Withdraw(request) => {
                self.end(now, request, Input::Withdraw(request), actions);
            }
            PeerMessage::Started { request, attempt } => {
                let input = Input::Started { request, attempt };
                self.relay(now, request, input, actions);
            }
            PeerMessage::Progress {
                request,
                output_tokens,
            } => {
                let input = Input::Progress {
                    request,
                    output_tokens,
                };
                self.relay(now, request, input, actions);
            }
            PeerMessage::Finished {
                request,
                output_tokens,
                ending,
                cached_prompt_tokens,
            } => {
                let input = Input::Finished {
                    request,
                    output_tokens,
                    ending,
                    cached_prompt_tokens,
                };
                self.end(now, request, input, actions);
            }
            PeerMessage::Adopt {
                ticket,
                upstream,
                output_tokens,
                attempt,
            } => {
                let adoption = Adoption {
                    from,
                    ticket,
                    output_tokens,
                    attempt,
                };
                self.adopt(now, upstream, adoption, actions);
            }
            PeerMessage::UpstreamLeaving(upstream) => {
                self.leave(now, &upstream, Some(now + MARK_LASTS), actions);
            }
            PeerMessage::Heartbeat { .. }
            | PeerMessage::Decision(_)
            | PeerMessage::Offer(_)
            | PeerMessage::Demand(_)
            | PeerMessage::Allowance(_) => {}
        }
    }

    fn submit(&mut self, now: Time, from: HostId, ticket: Ticket, actions: &mut Vec<OwnerAction>) {
        if !self.schedulers.contains_key(&ticket.service) {
            let refusal = Refusal::not_run(Code::UnknownService, "the owner knows no such service");
            actions.push(refused(from, ticket.request, refusal));
            return;
        }
        let known = self.origins.get(&ticket.request);
        if known.is_some_and(|origin| origin.host == from && origin.upstream.is_none()) {
            return;
        }
        if self.is_hopeless(&ticket.service) {
            let refusal = self.no_upstream();
            actions.push(refused(from, ticket.request, refusal));
            return;
        }
        let origin = Origin {
            host: from,
            service: ticket.service.clone(),
            upstream: None,
        };
        let service = ticket.service.clone();
        self.origins.insert(ticket.request, origin);
        let ticket = self.sized(ticket);
        self.feed(now, &service, Input::Submit(ticket), actions);
    }

    /// The ticket with the size that its scheduler counts.
    fn sized(&self, ticket: Ticket) -> Ticket {
        if !self.is_plain_service(&ticket.service) {
            return ticket;
        }
        Ticket {
            prompt_tokens: 1,
            max_output_tokens: 0,
            ..ticket
        }
    }

    /// Whether this host owns upstreams of a service and none of them can take work. Without any
    /// of its own it doesn't know: ownership may just be moving.
    fn is_hopeless(&self, service: &ServiceId) -> bool {
        let mut owned = self.owned_of(service).peekable();
        owned.peek().is_some() && owned.all(|owned| owned.lost || owned.leaving)
    }

    fn owned_of(&self, service: &ServiceId) -> impl Iterator<Item = &Owned> {
        let pool = self.pools.iter().find(|pool| pool.service == *service);
        let upstreams = pool.map_or(&[][..], |pool| &pool.upstreams);
        upstreams
            .iter()
            .filter_map(|upstream| self.owned.get(upstream))
    }

    fn no_upstream(&self) -> Refusal {
        Refusal::not_run(Code::NoUpstream, "no upstream of the service answers")
            .retry_after_ms(self.options.spill_retry_ms)
    }

    /// Refuses what waits for upstreams of which none is left, so that it can go elsewhere.
    pub(super) fn refuse_hopeless(
        &mut self,
        now: Time,
        upstream: &UpstreamId,
        actions: &mut Vec<OwnerAction>,
    ) {
        for service in self.services_of(upstream) {
            if !self.is_hopeless(&service) {
                continue;
            }
            let waiting = self
                .origins
                .iter()
                .filter(|(_, origin)| origin.service == service && origin.upstream.is_none());
            let waiting: Vec<RequestId> = waiting.map(|(request, _)| *request).collect();
            for request in waiting {
                let Some(origin) = self.origins.get(&request) else {
                    continue;
                };
                let to = origin.host.clone();
                let refusal = self.no_upstream();
                actions.push(refused(to, request, refusal));
                self.end(now, request, Input::Withdraw(request), actions);
            }
        }
    }

    /// Takes work of another data centre only while there is room that nobody here waits for.
    fn submit_foreign(
        &mut self,
        now: Time,
        from: HostId,
        ticket: Ticket,
        actions: &mut Vec<OwnerAction>,
    ) {
        let room = self
            .rooms()
            .iter()
            .any(|room| room.service == ticket.service);
        if room {
            self.submit(now, from, ticket, actions);
            return;
        }
        let refusal = Refusal::not_run(Code::Overloaded, "no data centre has room")
            .retry_after_ms(self.options.spill_retry_ms);
        actions.push(refused(from, ticket.request, refusal));
    }

    pub(super) fn free_percent(&self, service: &ServiceId) -> u32 {
        let owned = self.owned_of(service);
        let usable = owned.filter(|owned| !owned.leaving && !owned.lost);
        let (mut memory, mut used) = (0, 0);
        for report in usable.filter_map(|owned| owned.report.as_ref()) {
            memory += report.memory_tokens;
            used += report.used_tokens.min(report.memory_tokens);
        }
        let free = (memory - used) * 100;
        free.checked_div(memory)
            .and_then(|percent| u32::try_from(percent).ok())
            .unwrap_or(0)
    }

    fn relay(
        &mut self,
        now: Time,
        request: RequestId,
        input: Input,
        actions: &mut Vec<OwnerAction>,
    ) {
        if let Some(origin) = self.origins.get(&request) {
            let service = origin.service.clone();
            self.feed(now, &service, input, actions);
        }
    }

    /// The request is over here: `input` tells its scheduler how.
    fn end(&mut self, now: Time, request: RequestId, input: Input, actions: &mut Vec<OwnerAction>) {
        let Some(origin) = self.origins.remove(&request) else {
            return;
        };
        let upstream = origin.upstream.and_then(|id| self.owned.get_mut(&id));
        if let Some(owned) = upstream {
            owned.requests.remove(&request);
        }
        self.feed(now, &origin.service, input, actions);
    }

    pub(super) fn adopt(
        &mut self,
        now: Time,
        upstream: UpstreamId,
        adoption: Adoption,
        actions: &mut Vec<OwnerAction>,
    ) {
        let Some(owned) = self.owned.get_mut(&upstream) else {
            return;
        };
        if !owned.announced {
            owned.adoptions.push(adoption);
            return;
        }
        let request = adoption.ticket.request;
        let service = adoption.ticket.service.clone();
        owned.requests.insert(request);
        let origin = Origin {
            host: adoption.from,
            service: service.clone(),
            upstream: Some(upstream.clone()),
        };
        self.origins.insert(request, origin);
        let adopt = Input::Adopt {
            ticket: self.sized(adoption.ticket),
            upstream,
            output_tokens: adoption.output_tokens,
        };
        self.feed(now, &service, adopt, actions);
        if let Some(attempt) = adoption.attempt {
            let started = Input::Started { request, attempt };
            self.feed(now, &service, started, actions);
        }
    }

    pub(super) fn forget_host(&mut self, now: Time, host: &HostId, actions: &mut Vec<OwnerAction>) {
        let theirs = self
            .origins
            .iter()
            .filter(|(_, origin)| origin.host == *host);
        let theirs: Vec<RequestId> = theirs.map(|(request, _)| *request).collect();
        for request in theirs {
            self.drop_request(now, request, actions);
        }
    }

    /// Forgets a request whatever its state: a withdrawal frees a waiting one, an end a running one.
    fn drop_request(&mut self, now: Time, request: RequestId, actions: &mut Vec<OwnerAction>) {
        self.relay(now, request, Input::Withdraw(request), actions);
        let end = Input::Finished {
            request,
            output_tokens: 0,
            ending: Ending::Cancelled,
            cached_prompt_tokens: 0,
        };
        self.end(now, request, end, actions);
    }
}

fn refused(to: HostId, request: RequestId, refusal: Refusal) -> OwnerAction {
    let action = Action::Refuse { request, refusal };
    let decision = Decision { action, load: 0.0 };
    OwnerAction::Decision { to, decision }
}
