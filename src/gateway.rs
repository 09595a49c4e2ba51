//! The gateway: passes requests on unchanged by routes, over upstreams that the platform lists.
//!
//! Start reading at [`serve`], which is the path of a request: route, identify, place, send or
//! stream, answer. [`host`] composes the process. What differs between platforms (names, formats,
//! paths) is behind [`protocol::Protocol`]; everything that decides is here. The area imports the
//! library's basic types and nothing of the product's own API.

pub mod admit;
pub(crate) mod attempts;
pub mod call;
pub mod cold;
pub mod configfetch;
pub mod configuration;
pub mod connection;
pub(crate) mod contact;
pub mod datagram;
pub mod decisions;
pub(crate) mod destinations;
pub mod dial;
pub mod directory;
pub mod document;
pub(crate) mod enginepoll;
pub mod enginestats;
pub mod evacuations;
pub mod events;
pub(crate) mod exchange;
pub mod failurerates;
pub mod follow;
pub mod forward;
pub mod gossip;
pub mod host;
pub(crate) mod hostlisting;
pub mod identity;
pub mod instance;
pub mod internalclient;
pub(crate) mod joining;
pub mod loads;
pub(crate) mod logreads;
pub mod losses;
pub mod migration;
pub mod moveorder;
pub mod movequeue;
pub(crate) mod partition;
pub mod peerfetch;
pub mod peers;
pub mod placement;
pub mod pool;
pub mod position;
pub mod protocol;
pub(crate) mod queue;
pub(crate) mod queueclient;
pub(crate) mod queuemessages;
pub(crate) mod queueowner;
pub mod reachability;
pub mod refuse;
pub mod relayedchanges;
pub(crate) mod rendezvous;
pub mod reportedloads;
pub(crate) mod rests;
pub mod retrybudget;
pub mod rollouts;
pub(crate) mod rolloutstatus;
pub mod route;
pub mod senders;
pub mod serve;
pub mod settings;
pub mod shared;
pub(crate) mod sharedqueue;
pub mod speeds;
pub mod stream;
pub(crate) mod suspectlog;
pub mod suspects;
pub(crate) mod suspension;
pub(crate) mod ticks;
pub(crate) mod transferguard;
pub(crate) mod tunnel;
pub(crate) mod unconfirmed;
pub mod upstreamlimits;
