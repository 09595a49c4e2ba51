//! Finds the address of a host, the host at an address and the link to it.

use std::time::Duration;

use actix::AsyncContext;
use actix::Context;

use super::Peers;
use crate::id::HostId;
use crate::link::Link;
use crate::link::LinkOptions;

impl Peers {
    pub(super) fn link(&mut self, address: &str, context: &mut Context<Self>) -> &Link {
        let options = LinkOptions {
            call_timeout: Duration::from_millis(self.options.call_timeout_ms),
            flush: Duration::from_millis(self.options.flush_ms),
            queue: self.options.queue_length,
        };
        let identity = self.membership.identity().clone();
        self.links.entry(address.to_owned()).or_insert_with(|| {
            let news = context.address().recipient();
            Link::open(identity, address.to_owned(), options, news)
        })
    }

    /// The peer address of a host, here or in another data centre.
    pub(super) fn address_of(&self, host: &HostId) -> Option<String> {
        let member = self.membership.member(host).map(|member| &member.address);
        let remote = self.remote.get(host).map(|remote| &remote.address);
        member.or(remote).cloned()
    }

    pub(super) fn host_at(&self, address: &str) -> Option<HostId> {
        let members = self.membership.members();
        let mut here = members.filter(|member| member.address == address);
        let mut remote = self
            .remote
            .values()
            .filter(|remote| remote.address == address);
        here.next()
            .map(|member| member.host.clone())
            .or_else(|| remote.next().map(|remote| remote.host.clone()))
    }
}
