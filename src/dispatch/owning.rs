//! What dispatch does as the owner of upstreams: decisions, leaving upstreams and offered room.

use super::Dispatch;
use super::Work;
use crate::event::EventCode;
use crate::id::HostId;
use crate::id::UpstreamId;
use crate::journal::Subject;
use crate::link::Urgency;
use crate::owner::OwnerAction;
use crate::peer::Decision;
use crate::peer::PeerMessage;
use crate::registry::RegistryInput;
use crate::schedule::Action;

impl Dispatch {
    pub(super) fn act_as_owner(&mut self, action: OwnerAction) {
        match action {
            OwnerAction::Decision { to, decision } => {
                self.note_decision(&to, &decision);
                self.send(to, Urgency::Now, PeerMessage::Decision(decision));
            }
            OwnerAction::UpstreamLeft(upstream) => {
                self.note_upstream(EventCode::UpstreamLeaving, &upstream);
                self.leaving.witness(self.clock.now(), &upstream);
                self.publish_leaving();
            }
            OwnerAction::UpstreamLost(upstream) => {
                self.note_upstream(EventCode::UpstreamLost, &upstream);
            }
            OwnerAction::UpstreamBack(upstream) => {
                self.note_upstream(EventCode::UpstreamBack, &upstream);
                self.leaving.clear(&upstream);
                self.publish_leaving();
            }
        }
    }

    /// Records a decision of this owner with the figures it was made from.
    fn note_decision(&self, to: &HostId, decision: &Decision) {
        let subject = match &decision.action {
            Action::Grant {
                request, upstream, ..
            } => {
                let figures = self.figures(upstream);
                let detail = format!("granted to={to} load={:.1} {figures}", decision.load);
                Subject::request(*request).upstream(upstream).detail(detail)
            }
            Action::Refuse { request, refusal } => {
                let detail = format!("refused to={to} {}", refusal.message);
                Subject::request(*request).detail(detail)
            }
            Action::Relocate { request, upstream } => {
                let detail = format!("to be moved, to={to} {}", self.figures(upstream));
                Subject::request(*request).upstream(upstream).detail(detail)
            }
        };
        self.journal.record(EventCode::OwnerDecided, subject);
    }

    fn figures(&self, upstream: &UpstreamId) -> String {
        let waiting = self.owner.waiting();
        let Some(report) = self.owner.report(upstream) else {
            return format!("waiting={waiting}, no report");
        };
        format!(
            "waiting={waiting} running={} engine_queue={} used_tokens={} of {} report_age_ms={}",
            report.running.len(),
            report.waiting,
            report.used_tokens,
            report.memory_tokens,
            report.age_ms
        )
    }

    fn note_upstream(&self, code: EventCode, upstream: &UpstreamId) {
        self.journal
            .record(code, Subject::none().upstream(upstream));
    }

    pub(super) fn publish_leaving(&mut self) {
        self.peers.announce_leaving(self.leaving.witnessed());
        let leaving = RegistryInput::Leaving(self.leaving.all());
        self.work.push_back(Work::Registry(leaving));
    }

    /// This host saw that an upstream is leaving: its owner must know at once.
    pub(super) fn witness(&mut self, upstream: UpstreamId) {
        self.leaving.witness(self.clock.now(), &upstream);
        self.tell_owner_leaving(upstream);
        self.publish_leaving();
    }

    pub(super) fn tell_owner_leaving(&mut self, upstream: UpstreamId) {
        let ownership = self.peers.ownership();
        if let Some(owner) = ownership.upstream_owner(&upstream) {
            let message = PeerMessage::UpstreamLeaving(upstream);
            self.send(owner.clone(), Urgency::Now, message);
        }
    }

    /// Offers room to one host of another data centre, a different one each time.
    pub(super) fn offer_room(&mut self) {
        let addresses = self.peers.remote_addresses();
        if addresses.is_empty() || !self.options.spill.enabled {
            return;
        }
        let rooms = self.owner.rooms();
        let turn = self.offers_sent + self.peers.identity().incarnation.0;
        self.offers_sent += 1;
        let index = usize::try_from(turn % addresses.len() as u64).unwrap_or(0);
        let offer = PeerMessage::Offer(rooms);
        self.peers
            .send_to_address(&addresses[index], Urgency::Soon, offer);
    }
}
