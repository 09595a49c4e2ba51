//! The messages that the actor takes, and what it does with each.

use std::sync::Arc;

use actix::Handler;
use actix::Recipient;

use super::PeerNews;
use super::Peers;
use crate::id::HostId;
use crate::id::UpstreamId;
use crate::link::LinkNews;
use crate::link::Urgency;
use crate::membership::MembershipInput;
use crate::ownership::Ownership;
use crate::peer::Envelope;
use crate::peer::PeerMessage;

pub(super) enum Target {
    Host(HostId),
    Address(String),
}

#[derive(actix::Message)]
#[rtype(result = "()")]
pub(super) struct Outgoing {
    pub(super) to: Target,
    pub(super) urgency: Urgency,
    pub(super) message: PeerMessage,
}

impl Handler<Outgoing> for Peers {
    type Result = ();

    fn handle(&mut self, send: Outgoing, context: &mut Self::Context) {
        let address = match send.to {
            Target::Address(address) => Some(address),
            Target::Host(host) => self.address_of(&host),
        };
        if let Some(address) = address {
            self.link(&address, context)
                .send(send.urgency, send.message);
        }
    }
}

#[derive(actix::Message)]
#[rtype(result = "()")]
pub(super) struct Ping(pub(super) HostId);

impl Handler<Ping> for Peers {
    type Result = ();

    fn handle(&mut self, Ping(host): Ping, context: &mut Self::Context) {
        if let Some(address) = self.address_of(&host) {
            self.link(&address, context).ping();
        }
    }
}

#[derive(actix::Message)]
#[rtype(result = "()")]
pub(super) struct Subscribe(pub(super) Recipient<PeerNews>);

impl Handler<Subscribe> for Peers {
    type Result = ();

    fn handle(&mut self, Subscribe(subscriber): Subscribe, _context: &mut Self::Context) {
        let owners = self.membership.owners().iter().cloned();
        subscriber.do_send(PeerNews::Owners(Arc::new(Ownership::new(owners))));
        self.subscribers.push(subscriber);
    }
}

#[derive(actix::Message)]
#[rtype(result = "()")]
pub(super) struct Feed(pub(super) MembershipInput);

impl Handler<Feed> for Peers {
    type Result = ();

    fn handle(&mut self, Feed(input): Feed, context: &mut Self::Context) {
        if let MembershipInput::Listed(list) = &input {
            self.learn_remote(list);
        }
        self.feed(input, context);
    }
}

#[derive(actix::Message)]
#[rtype(result = "()")]
pub(super) struct AnnounceLeaving(pub(super) Vec<UpstreamId>);

impl Handler<AnnounceLeaving> for Peers {
    type Result = ();

    fn handle(&mut self, AnnounceLeaving(upstreams): AnnounceLeaving, _: &mut Self::Context) {
        self.leaving_upstreams = upstreams;
    }
}

#[derive(actix::Message)]
#[rtype(result = "()")]
pub(super) struct Deliver(pub(super) Envelope);

impl Handler<Deliver> for Peers {
    type Result = ();

    fn handle(&mut self, Deliver(envelope): Deliver, context: &mut Self::Context) {
        self.receive(envelope, context);
    }
}

impl Handler<LinkNews> for Peers {
    type Result = ();

    fn handle(&mut self, news: LinkNews, context: &mut Self::Context) {
        match news {
            LinkNews::Answered { address, receipt } => {
                if self.failed.remove(&address).is_some() {
                    self.tell(&PeerNews::Reachable(receipt.host.clone()));
                }
                let answered = MembershipInput::Answered {
                    address,
                    host: receipt.host,
                    incarnation: receipt.incarnation,
                };
                self.feed(answered, context);
            }
            LinkNews::Failed { address } => {
                let host = self.host_at(&address);
                if let Some(host) = &host {
                    self.tell(&PeerNews::Unreachable(host.clone()));
                }
                self.failed.insert(address.clone(), host);
                self.feed(MembershipInput::Unanswered { address }, context);
            }
        }
    }
}
