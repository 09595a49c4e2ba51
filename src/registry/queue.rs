//! Requests come to wait and leave: submission, withdrawal, and what time does to those that wait.

use std::collections::BTreeSet;
use std::time::Duration;

use super::Registry;
use super::RegistryAction;
use super::entries::WaitingEntry;
use super::entries::withdrawal;
use crate::clock::Time;
use crate::id::HostId;
use crate::id::RequestId;
use crate::link::Urgency;
use crate::peer::PeerMessage;
use crate::refusal::Code;
use crate::refusal::Refusal;
use crate::schedule::Ticket;

impl Registry {
    pub(super) fn submit(&mut self, now: Time, ticket: Ticket, actions: &mut Vec<RegistryAction>) {
        let request = ticket.request;
        let wait = Duration::from_millis(ticket.wait_limit_ms + self.options.grace_ms);
        let resubmit_pause = Duration::from_millis(self.options.resubmit_ms);
        let entry = WaitingEntry {
            ticket,
            submitted_at: now,
            gives_up_at: now + wait,
            resubmit_at: now + resubmit_pause,
            resubmit_pause,
            paused_until: None,
            candidates: Vec::new(),
            spilled: false,
        };
        self.waiting.insert(request, entry);
        self.register(now, request, actions);
    }

    pub(super) fn withdraw(&mut self, request: RequestId, actions: &mut Vec<RegistryAction>) {
        let Some(entry) = self.waiting.remove(&request) else {
            return;
        };
        for candidate in &entry.candidates {
            actions.push(withdrawal(&candidate.host, Urgency::Soon, request));
        }
    }

    pub(super) fn tick(&mut self, now: Time, actions: &mut Vec<RegistryAction>) {
        self.give_up(now, actions);
        self.resume_paused(now, actions);
        self.resubmit(now, actions);
        if now.since(self.pinged_at) < Duration::from_millis(self.options.ping_ms) {
            return;
        }
        self.pinged_at = now;
        let candidates = self.waiting.values().flat_map(|entry| &entry.candidates);
        let hosts: BTreeSet<&HostId> = candidates
            .filter(|candidate| candidate.refusal.is_none())
            .map(|candidate| &candidate.host)
            .filter(|host| **host != self.host)
            .collect();
        actions.extend(hosts.into_iter().cloned().map(RegistryAction::Ping));
    }

    fn resume_paused(&mut self, now: Time, actions: &mut Vec<RegistryAction>) {
        let due = |entry: &WaitingEntry| entry.paused_until.is_some_and(|until| until <= now);
        let waiting = self.waiting.iter().filter(|(_, entry)| due(entry));
        let requests: Vec<RequestId> = waiting.map(|(request, _)| *request).collect();
        for request in requests {
            if let Some(entry) = self.waiting.get_mut(&request) {
                entry.paused_until = None;
            }
            self.register(now, request, actions);
        }
    }

    /// A submission or a grant may have been lost: owners that still know the request ignore it.
    fn resubmit(&mut self, now: Time, actions: &mut Vec<RegistryAction>) {
        for entry in self.waiting.values_mut() {
            if entry.resubmit_at > now {
                continue;
            }
            entry.resubmit_pause *= 2;
            entry.resubmit_at = now + entry.resubmit_pause;
            let ticket = entry.remaining_ticket(now);
            let open = entry.candidates.iter();
            let open = open.filter(|candidate| candidate.refusal.is_none());
            actions.extend(open.map(|candidate| RegistryAction::Send {
                to: candidate.host.clone(),
                urgency: Urgency::Soon,
                message: match entry.spilled {
                    true => PeerMessage::Spill(ticket.clone()),
                    false => PeerMessage::Submit(ticket.clone()),
                },
            }));
        }
    }

    fn give_up(&mut self, now: Time, actions: &mut Vec<RegistryAction>) {
        let late: Vec<RequestId> = self
            .waiting
            .iter()
            .filter(|(_, entry)| entry.gives_up_at <= now)
            .map(|(request, _)| *request)
            .collect();
        for request in late {
            self.withdraw(request, actions);
            let refusal = Refusal::not_run(Code::Overloaded, "no upstream had room in time")
                .retry_after_ms(self.options.no_upstream_retry_ms);
            actions.push(RegistryAction::Refused { request, refusal });
        }
    }
}
