//! What dispatch does for this host's own requests: grants, refusals and moves.

use tokio::sync::oneshot;

use super::Dispatch;
use super::Grant;
use super::Work;
use crate::event::EventCode;
use crate::id::HostId;
use crate::id::RequestId;
use crate::id::UpstreamId;
use crate::journal::Subject;
use crate::refusal::Refusal;
use crate::registry::RegistryAction;
use crate::registry::RegistryInput;
use crate::schedule::Ending;

impl Dispatch {
    pub(super) fn act(&mut self, action: RegistryAction) {
        match action {
            RegistryAction::Send {
                to,
                urgency,
                message,
            } => self.send(to, urgency, message),
            RegistryAction::Ping(host) => self.peers.ping(&host),
            RegistryAction::SettleLater(request) => self.settling.push(request),
            RegistryAction::Granted {
                request,
                upstream,
                engine_priority,
                owner,
            } => self.grant(request, upstream, engine_priority, owner),
            RegistryAction::Refused { request, refusal } => {
                if let Some(reply) = self.grants.remove(&request) {
                    self.answer(request, reply, Err(refusal.for_request(request)));
                }
            }
            RegistryAction::Relocate(request) => {
                if let Some(relocate) = self.relocations.remove(&request) {
                    // The request may have ended meanwhile.
                    let _ = relocate.send(());
                }
            }
            RegistryAction::Spilled { request, to } => {
                let names: Vec<&str> = to.iter().map(HostId::as_str).collect();
                self.journal.record(
                    EventCode::RequestSpilled,
                    Subject::request(request).detail(format!("to={}", names.join(","))),
                );
            }
        }
    }

    fn grant(
        &mut self,
        request: RequestId,
        upstream: UpstreamId,
        engine_priority: u8,
        owner: Option<HostId>,
    ) {
        if owner.is_none() {
            let subject = Subject::request(request).upstream(&upstream);
            self.journal.record(EventCode::DecidedAlone, subject);
        }
        let (sender, relocate) = oneshot::channel();
        let grant = Grant {
            request,
            upstream,
            engine_priority,
            relocate,
        };
        let Some(reply) = self.grants.remove(&request) else {
            self.give_back(request);
            return;
        };
        self.relocations.insert(request, sender);
        self.answer(request, reply, Ok(grant));
    }

    fn answer(
        &mut self,
        request: RequestId,
        reply: oneshot::Sender<std::result::Result<Grant, Refusal>>,
        outcome: std::result::Result<Grant, Refusal>,
    ) {
        let granted = outcome.is_ok();
        if reply.send(outcome).is_err() && granted {
            self.give_back(request);
        }
    }

    /// Nobody waits for the grant any more.
    fn give_back(&mut self, request: RequestId) {
        self.relocations.remove(&request);
        self.work.push_back(Work::Registry(RegistryInput::Finished {
            request,
            output_tokens: 0,
            ending: Ending::Cancelled,
            cached_prompt_tokens: 0,
        }));
    }
}
