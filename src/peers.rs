//! The entry host among its peers: an actor that owns [`Membership`], the links to the other hosts
//! and the server that they call.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::PoisonError;
use std::sync::RwLock;
use std::time::Duration;

use actix::Actor;
use actix::Addr;
use actix::AsyncContext;
use actix::Context;
use actix::Recipient;
use derive_builder::Builder;
use serde::Deserialize;
use serde::Serialize;

use self::mailbox::AnnounceLeaving;
use self::mailbox::Deliver;
use self::mailbox::Feed;
use self::mailbox::Outgoing;
use self::mailbox::Ping;
use self::mailbox::Subscribe;
use self::mailbox::Target;
use crate::clock::SystemClock;
use crate::clock::Time;
use crate::id::DataCentre;
use crate::id::HostId;
use crate::id::Offset;
use crate::id::UpstreamId;
use crate::journal::Journal;
use crate::link::Link;
use crate::link::Urgency;
use crate::member::Member;
use crate::membership::Identity;
use crate::membership::Membership;
use crate::membership::MembershipAction;
use crate::membership::MembershipInput;
use crate::membership::MembershipOptions;
use crate::ownership::Ownership;
use crate::peer::ConfigTail;
use crate::peer::Envelope;
use crate::peer::PeerMessage;
use crate::peer::Receipt;
use crate::peer::Rumour;
use crate::platform::HostList;
use crate::status::PeerStatus;

mod intake;
mod mailbox;
mod publish;
mod reach;

/// Options of the peers.
#[derive(Debug, Clone, PartialEq, Builder, Serialize, Deserialize)]
#[builder(default)]
#[serde(default, deny_unknown_fields)]
pub struct PeersOptions {
    /// Membership's own options.
    pub membership: MembershipOptions,
    /// Time between two looks at the clock, in milliseconds. Default 100.
    pub tick_ms: u64,
    /// A call to another host that takes longer has failed, in milliseconds. Default 300.
    pub call_timeout_ms: u64,
    /// How long a message that is not urgent waits for others, in milliseconds. Default 100.
    pub flush_ms: u64,
    /// Messages that wait for one host at most; more are dropped. Default 4096.
    pub queue_length: usize,
    /// Least time between two requests for configuration, in milliseconds. Default 500.
    pub config_ask_ms: u64,
}

impl Default for PeersOptions {
    fn default() -> Self {
        PeersOptions {
            membership: MembershipOptions::default(),
            tick_ms: 100,
            call_timeout_ms: 300,
            flush_ms: 100,
            queue_length: 4_096,
            config_ask_ms: 500,
        }
    }
}

/// How the peers reach the configuration that this host has in force.
pub trait ConfigSource: Send + Sync {
    /// The offset after the last record in force.
    fn next(&self) -> Offset;

    /// What a host that has everything before `next` lacks.
    fn tail(&self, next: Offset) -> ConfigTail;

    /// Takes what another host sent.
    fn offer(&self, tail: ConfigTail);
}

/// A configuration that is never there: for hosts without one and for tests.
#[derive(Debug, Clone, Copy, Default)]
pub struct NoConfig;

impl ConfigSource for NoConfig {
    fn next(&self) -> Offset {
        Offset::default()
    }

    fn tail(&self, _next: Offset) -> ConfigTail {
        ConfigTail::default()
    }

    fn offer(&self, _tail: ConfigTail) {}
}

/// What the peers tell those who subscribed.
#[derive(Debug, Clone, actix::Message)]
#[rtype(result = "()")]
pub enum PeerNews {
    /// The hosts that may own something changed.
    Owners(Arc<Ownership>),
    /// A message of another host.
    Message {
        /// The sender.
        from: HostId,
        /// Its message.
        message: Box<PeerMessage>,
    },
    /// A host cannot be reached from here at present; it may be alive.
    Unreachable(HostId),
    /// A host that could not be reached answers again.
    Reachable(HostId),
    /// A host died: what it held is forgotten.
    Died(HostId),
    /// This host hears from nobody, or hears from others again.
    Alone(bool),
    /// Another host of the data centre says that an upstream is leaving.
    UpstreamLeaving(UpstreamId),
}

/// What the peers know, to be read at any time.
#[derive(Debug, Clone, Default)]
pub struct PeersView {
    /// The hosts that may own something.
    pub ownership: Arc<Ownership>,
    /// The other hosts of the data centre.
    pub members: Vec<Member>,
    /// Whether this host hears from nobody though it knows of others.
    pub alone: bool,
    /// Hosts of other data centres that spoke to this one.
    pub remote: Vec<RemoteHost>,
    /// Peer addresses of hosts in other data centres.
    pub remote_addresses: Vec<String>,
}

/// A host of another data centre.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RemoteHost {
    /// The host.
    pub host: HostId,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Its peer address.
    pub address: String,
}

/// A handle on the peers; clones share them.
#[derive(Debug, Clone)]
pub struct PeersHandle {
    identity: Identity,
    addr: Addr<Peers>,
    view: Arc<RwLock<PeersView>>,
}

impl PeersHandle {
    /// Who this host is.
    pub fn identity(&self) -> &Identity {
        &self.identity
    }

    /// What is known of the others now.
    pub fn view(&self) -> PeersView {
        let view = self.view.read().unwrap_or_else(PoisonError::into_inner);
        view.clone()
    }

    /// The hosts that may own something.
    pub fn ownership(&self) -> Arc<Ownership> {
        let view = self.view.read().unwrap_or_else(PoisonError::into_inner);
        view.ownership.clone()
    }

    /// Whether this host hears from nobody though it knows of others.
    pub fn is_alone(&self) -> bool {
        let view = self.view.read().unwrap_or_else(PoisonError::into_inner);
        view.alone
    }

    /// The other hosts of the data centre, for a person.
    pub fn status(&self, now: Time) -> Vec<PeerStatus> {
        let data_centre = &self.identity.data_centre;
        let members = self.view().members;
        members
            .iter()
            .map(|member| member.status(now, data_centre))
            .collect()
    }

    /// Sends a message to another host; it may be lost.
    pub fn send(&self, to: &HostId, urgency: Urgency, message: PeerMessage) {
        self.addr.do_send(Outgoing {
            to: Target::Host(to.clone()),
            urgency,
            message,
        });
    }

    /// Sends a message to the host at an address; it may be lost.
    pub fn send_to_address(&self, address: &str, urgency: Urgency, message: PeerMessage) {
        self.addr.do_send(Outgoing {
            to: Target::Address(address.to_owned()),
            urgency,
            message,
        });
    }

    /// Asks a host for a sign of life; [`PeerNews::Unreachable`] tells if none comes.
    pub fn ping(&self, host: &HostId) {
        self.addr.do_send(Ping(host.clone()));
    }

    /// Peer addresses of hosts in other data centres, in a fixed order.
    pub fn remote_addresses(&self) -> Vec<String> {
        let view = self.view.read().unwrap_or_else(PoisonError::into_inner);
        view.remote_addresses.clone()
    }

    /// Sends `news` to `subscriber` from now on, the present owners first.
    pub fn subscribe(&self, subscriber: Recipient<PeerNews>) {
        self.addr.do_send(Subscribe(subscriber));
    }

    /// Tells membership of the platform's list.
    pub fn listed(&self, list: HostList) {
        self.addr.do_send(Feed(MembershipInput::Listed(list)));
    }

    /// Says to the others that this host is leaving.
    pub fn leave(&self) {
        self.addr.do_send(Feed(MembershipInput::Leave));
    }

    /// Upstreams that this host itself saw leaving, to be told with its heartbeats.
    pub fn announce_leaving(&self, upstreams: Vec<UpstreamId>) {
        self.addr.do_send(AnnounceLeaving(upstreams));
    }

    pub(crate) async fn deliver(&self, envelope: Envelope) -> Option<Receipt> {
        let receipt = Receipt {
            host: self.identity.host.clone(),
            incarnation: self.identity.incarnation,
        };
        self.addr.send(Deliver(envelope)).await.ok()?;
        Some(receipt)
    }
}

/// The actor. Start it with [`crate::peerserver::start`].
pub(crate) struct Peers {
    options: PeersOptions,
    clock: SystemClock,
    journal: Journal,
    membership: Membership,
    links: BTreeMap<String, Link>,
    remote: BTreeMap<HostId, RemoteHost>,
    /// Peer addresses in other data centres, by the platform's list.
    listed_remote: Vec<String>,
    /// Addresses whose last call failed.
    failed: BTreeMap<String, Option<HostId>>,
    subscribers: Vec<Recipient<PeerNews>>,
    leaving_upstreams: Vec<UpstreamId>,
    config: Arc<dyn ConfigSource>,
    config_asked_ms: u64,
    is_fetching_config: bool,
    view: Arc<RwLock<PeersView>>,
}

/// What [`Peers`] starts from.
pub(crate) struct PeersSetup {
    pub(crate) options: PeersOptions,
    pub(crate) identity: Identity,
    pub(crate) known: Vec<String>,
    pub(crate) clock: SystemClock,
    pub(crate) journal: Journal,
    pub(crate) config: Arc<dyn ConfigSource>,
}

impl Peers {
    /// Starts the actor.
    pub(crate) fn launch(setup: PeersSetup) -> PeersHandle {
        let identity = setup.identity;
        let seed = identity.incarnation.0;
        let now = setup.clock.now();
        let mut membership = Membership::new(
            setup.options.membership.clone(),
            identity.clone(),
            now,
            seed,
        );
        membership.step(now, MembershipInput::Known(setup.known));
        let view = Arc::new(RwLock::new(PeersView {
            ownership: Arc::new(Ownership::new(membership.owners().iter().cloned())),
            ..PeersView::default()
        }));
        let peers = Peers {
            options: setup.options,
            clock: setup.clock,
            journal: setup.journal,
            membership,
            links: BTreeMap::new(),
            remote: BTreeMap::new(),
            listed_remote: Vec::new(),
            failed: BTreeMap::new(),
            subscribers: Vec::new(),
            leaving_upstreams: Vec::new(),
            config: setup.config,
            config_asked_ms: 0,
            is_fetching_config: false,
            view: view.clone(),
        };
        PeersHandle {
            identity,
            addr: peers.start(),
            view,
        }
    }

    fn feed(&mut self, input: MembershipInput, context: &mut Context<Self>) {
        let now = self.clock.now();
        for action in self.membership.step(now, input) {
            match action {
                MembershipAction::Probe { address, rumours } => {
                    let heartbeat = self.heartbeat(rumours);
                    self.link(&address, context).send(Urgency::Now, heartbeat);
                }
                MembershipAction::OwnersChanged => self.publish_owners(),
                MembershipAction::Noted { change, host } => self.note(change, &host),
            }
        }
    }

    fn heartbeat(&self, rumours: Vec<Rumour>) -> PeerMessage {
        PeerMessage::Heartbeat {
            sequence: self.membership.sequence(),
            leaving: self.membership.is_leaving(),
            config_offset: self.config.next(),
            leaving_upstreams: self.leaving_upstreams.clone(),
            rumours,
        }
    }
}

impl Actor for Peers {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Self::Context) {
        let every = Duration::from_millis(self.options.tick_ms);
        context.run_interval(every, |peers, context| {
            peers.feed(MembershipInput::Tick, context);
            peers.refresh_view();
        });
    }
}
