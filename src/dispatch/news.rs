//! Takes in what the peers tell.

use actix::Handler;

use super::Dispatch;
use super::Work;
use crate::id::HostId;
use crate::owner::OwnerInput;
use crate::peer::PeerMessage;
use crate::peers::PeerNews;
use crate::registry::RegistryInput;
use crate::spill::Offer;

impl Dispatch {
    fn hear(&mut self, news: PeerNews) {
        match news {
            PeerNews::Owners(ownership) => {
                self.drive(Work::Owner(OwnerInput::Owners(ownership.clone())));
                self.drive(Work::Registry(RegistryInput::Owners(ownership)));
                for upstream in self.leaving.witnessed() {
                    self.tell_owner_leaving(upstream);
                }
            }
            PeerNews::Alone(alone) => self.drive(Work::Registry(RegistryInput::Alone(alone))),
            PeerNews::Died(host) => {
                self.drive(Work::Registry(RegistryInput::Unreachable(host.clone())));
                self.drive(Work::Owner(OwnerInput::HostGone(host)));
            }
            PeerNews::Unreachable(host) => {
                self.drive(Work::Registry(RegistryInput::Unreachable(host)));
            }
            PeerNews::Reachable(host) => {
                self.drive(Work::Registry(RegistryInput::Reachable(host)));
            }
            PeerNews::UpstreamLeaving(upstream) => {
                self.leaving.hear(self.clock.now(), &upstream);
                let from = self.host().clone();
                let message = PeerMessage::UpstreamLeaving(upstream);
                self.publish_leaving();
                self.drive(Work::Owner(OwnerInput::Message { from, message }));
            }
            PeerNews::Message { from, message } => self.receive(from, *message),
        }
    }

    fn receive(&mut self, from: HostId, message: PeerMessage) {
        match message {
            PeerMessage::Decision(decision) => {
                self.drive(Work::Registry(RegistryInput::Decision { from, decision }));
            }
            PeerMessage::Offer(rooms) => {
                let offer = Offer { host: from, rooms };
                self.drive(Work::Registry(RegistryInput::Offer(offer)));
            }
            message => self.drive(Work::Owner(OwnerInput::Message { from, message })),
        }
    }
}

impl Handler<PeerNews> for Dispatch {
    type Result = ();

    fn handle(&mut self, news: PeerNews, context: &mut Self::Context) {
        let owners_changed = matches!(news, PeerNews::Owners(_));
        self.hear(news);
        if owners_changed {
            self.poll(context);
        }
        self.schedule_settling(context);
    }
}
