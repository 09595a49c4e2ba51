//! What the handle tells the actor.

use actix::Handler;
use tokio::sync::oneshot;

use super::Dispatch;
use super::Grant;
use super::Work;
use crate::id::RequestId;
use crate::id::UpstreamId;
use crate::platform::HostList;
use crate::refusal::Refusal;
use crate::registry::RegistryInput;
use crate::schedule::Ticket;

#[derive(actix::Message)]
#[rtype(result = "()")]
pub(super) struct Acquire {
    pub(super) ticket: Ticket,
    pub(super) reply: oneshot::Sender<std::result::Result<Grant, Refusal>>,
}

impl Handler<Acquire> for Dispatch {
    type Result = ();

    fn handle(&mut self, acquire: Acquire, context: &mut Self::Context) {
        self.configure();
        self.grants.insert(acquire.ticket.request, acquire.reply);
        self.drive(Work::Registry(RegistryInput::Submit(acquire.ticket)));
        self.schedule_settling(context);
    }
}

#[derive(actix::Message)]
#[rtype(result = "()")]
pub(super) struct Feed(pub(super) Work);

impl Handler<Feed> for Dispatch {
    type Result = ();

    fn handle(&mut self, Feed(work): Feed, context: &mut Self::Context) {
        if let Work::Registry(RegistryInput::Finished { request, .. }) = &work {
            self.relocations.remove(request);
        }
        self.drive(work);
        self.schedule_settling(context);
    }
}

#[derive(actix::Message)]
#[rtype(result = "()")]
pub(super) struct Abandon(pub(super) RequestId);

impl Handler<Abandon> for Dispatch {
    type Result = ();

    fn handle(&mut self, Abandon(request): Abandon, _: &mut Self::Context) {
        self.grants.remove(&request);
        self.drive(Work::Registry(RegistryInput::Withdraw(request)));
    }
}

#[derive(actix::Message)]
#[rtype(result = "()")]
pub(super) struct SawLeaving(pub(super) UpstreamId);

impl Handler<SawLeaving> for Dispatch {
    type Result = ();

    fn handle(&mut self, SawLeaving(upstream): SawLeaving, _: &mut Self::Context) {
        self.witness(upstream);
        self.tick();
    }
}

#[derive(actix::Message)]
#[rtype(result = "()")]
pub(super) struct Listed(pub(super) HostList);

impl Handler<Listed> for Dispatch {
    type Result = ();

    fn handle(&mut self, Listed(list): Listed, _: &mut Self::Context) {
        let now = self.clock.now();
        let data_centre = &self.peers.identity().data_centre;
        let fresh = self.leaving.list(now, &list, data_centre);
        for upstream in fresh {
            self.witness(upstream);
        }
        self.tick();
    }
}
