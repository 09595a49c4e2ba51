//! Takes in the envelopes of other hosts and what they tell of the configuration.

use std::time::Duration;

use actix::ActorFutureExt;
use actix::AsyncContext;
use actix::Context;
use actix::WrapFuture;

use super::PeerNews;
use super::Peers;
use super::RemoteHost;
use crate::id::Offset;
use crate::id::UpstreamId;
use crate::link::fetch_config;
use crate::membership::Heard;
use crate::membership::MembershipInput;
use crate::peer::Envelope;
use crate::peer::PeerMessage;
use crate::platform::HostKind;
use crate::platform::HostList;
use crate::platform::HostState;

impl Peers {
    pub(super) fn receive(&mut self, envelope: Envelope, context: &mut Context<Self>) {
        let here = envelope.data_centre == self.membership.identity().data_centre;
        if !here {
            let remote = RemoteHost {
                host: envelope.from.clone(),
                data_centre: envelope.data_centre.clone(),
                address: envelope.address.clone(),
            };
            self.remote.insert(envelope.from.clone(), remote);
        }
        for message in envelope.messages {
            match message {
                PeerMessage::Heartbeat {
                    sequence,
                    leaving,
                    config_offset,
                    leaving_upstreams,
                    rumours,
                } if here => {
                    let heard = Heard {
                        host: envelope.from.clone(),
                        incarnation: envelope.incarnation,
                        address: envelope.address.clone(),
                        sequence,
                        leaving,
                        config_offset,
                        rumours,
                    };
                    self.feed(MembershipInput::Heard(heard), context);
                    self.hear_leaving(leaving_upstreams);
                    self.catch_up(config_offset, &envelope.address, context);
                }
                PeerMessage::Heartbeat { config_offset, .. } => {
                    self.catch_up(config_offset, &envelope.address, context);
                }
                message => self.tell(&PeerNews::Message {
                    from: envelope.from.clone(),
                    message: Box::new(message),
                }),
            }
        }
    }

    /// Learns the peer addresses of other data centres from the platform's list.
    pub(super) fn learn_remote(&mut self, list: &HostList) {
        let here = &self.membership.identity().data_centre;
        let elsewhere = list.hosts.iter().filter(|listed| {
            listed.kind == HostKind::Entry
                && listed.data_centre != *here
                && listed.state == HostState::Live
        });
        self.listed_remote = elsewhere.map(|listed| listed.address.clone()).collect();
    }

    fn hear_leaving(&mut self, upstreams: Vec<UpstreamId>) {
        for upstream in upstreams {
            self.tell(&PeerNews::UpstreamLeaving(upstream));
        }
    }

    /// Asks a host that is ahead for the configuration that this one lacks.
    fn catch_up(&mut self, theirs: Offset, address: &str, context: &mut Context<Self>) {
        let ours = self.config.next();
        let now_ms = self.clock.now().as_ms();
        let asked =
            self.config_asked_ms != 0 && now_ms < self.config_asked_ms + self.options.config_ask_ms;
        // One at a time: several would share the link, and each take longer than it may.
        if theirs <= ours || asked || self.is_fetching_config {
            return;
        }
        self.config_asked_ms = now_ms;
        self.is_fetching_config = true;
        let address = address.to_owned();
        let config = self.config.clone();
        let connect_timeout = Duration::from_millis(self.options.call_timeout_ms);
        let fetch = async move {
            match fetch_config(&address, ours, connect_timeout).await {
                Ok(tail) => config.offer(tail),
                Err(error) => log::debug!("configuration from {address}: {error}"),
            }
        };
        let fetched = fetch.into_actor(self);
        context.spawn(fetched.map(|(), peers, _context| peers.is_fetching_config = false));
    }
}
