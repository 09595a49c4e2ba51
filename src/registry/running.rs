//! Tells owners how granted requests run, and hands them over when ownership moves.

use std::time::Duration;

use super::Registry;
use super::RegistryAction;
use super::entries::GrantedEntry;
use super::entries::withdrawal;
use crate::clock::Time;
use crate::id::AttemptId;
use crate::id::HostId;
use crate::id::RequestId;
use crate::link::Urgency;
use crate::peer::PeerMessage;

impl Registry {
    pub(super) fn started(
        &mut self,
        request: RequestId,
        attempt: AttemptId,
        actions: &mut Vec<RegistryAction>,
    ) {
        let Some(entry) = self.granted.get_mut(&request) else {
            return;
        };
        entry.attempt = Some(attempt);
        if let Some(owner) = &entry.owner {
            actions.push(RegistryAction::Send {
                to: owner.clone(),
                urgency: Urgency::Soon,
                message: PeerMessage::Started { request, attempt },
            });
        }
    }

    /// Reports growth in steps that widen with the length: the engine's own report, which the
    /// owner polls, tells the rest.
    pub(super) fn progress(
        &mut self,
        now: Time,
        request: RequestId,
        output_tokens: u32,
        actions: &mut Vec<RegistryAction>,
    ) {
        let least = self.options.progress_tokens;
        let pause = Duration::from_millis(self.options.progress_ms);
        let Some(entry) = self.granted.get_mut(&request) else {
            return;
        };
        entry.output_tokens = entry.output_tokens.max(output_tokens);
        let step = least.max(entry.reported_tokens / 4);
        let first = entry.reported_tokens == 0;
        let grown = entry.output_tokens >= entry.reported_tokens + step;
        if !first && (!grown || now.since(entry.reported_at) < pause) {
            return;
        }
        entry.reported_tokens = entry.output_tokens;
        entry.reported_at = now;
        if let Some(owner) = &entry.owner {
            actions.push(RegistryAction::Send {
                to: owner.clone(),
                urgency: Urgency::Soon,
                message: PeerMessage::Progress {
                    request,
                    output_tokens: entry.output_tokens,
                },
            });
        }
    }

    pub(super) fn finished(
        &mut self,
        request: RequestId,
        end: PeerMessage,
        actions: &mut Vec<RegistryAction>,
    ) {
        let Some(entry) = self.granted.remove(&request) else {
            return;
        };
        if let Some(owner) = entry.owner {
            actions.push(RegistryAction::Send {
                to: owner,
                urgency: Urgency::Soon,
                message: end,
            });
        }
    }

    /// Hands running requests to the owners of their upstreams where `due` says so.
    pub(super) fn adopt_where(
        &mut self,
        actions: &mut Vec<RegistryAction>,
        due: impl Fn(&GrantedEntry, &HostId) -> bool,
    ) {
        for entry in self.granted.values_mut().filter(|entry| !entry.remote) {
            let Some(owner) = self.ownership.upstream_owner(&entry.upstream) else {
                continue;
            };
            if self.unreachable.contains(owner) || !due(entry, owner) {
                continue;
            }
            let before = entry.owner.replace(owner.clone());
            if let Some(before) = before.filter(|before| before != owner) {
                actions.push(withdrawal(&before, Urgency::Soon, entry.ticket.request));
            }
            actions.push(RegistryAction::Send {
                to: owner.clone(),
                urgency: Urgency::Now,
                message: PeerMessage::Adopt {
                    ticket: entry.ticket.clone(),
                    upstream: entry.upstream.clone(),
                    output_tokens: entry.output_tokens,
                    attempt: entry.attempt,
                },
            });
        }
    }
}
