//! What entry hosts tell one another, in batches over JSON-RPC: `deliver(Envelope) -> Receipt`.
//!
//! Every message is one way and may be lost, repeated or late; no promise rests on one.

use serde::Deserialize;
use serde::Serialize;

use crate::id::AttemptId;
use crate::id::CustomerId;
use crate::id::DataCentre;
use crate::id::HostId;
use crate::id::Incarnation;
use crate::id::Offset;
use crate::id::RequestId;
use crate::id::UpstreamId;
use crate::schedule::Action;
use crate::schedule::Ending;
use crate::schedule::Ticket;
use crate::share::Share;
use crate::spill::Room;
use crate::table::Digest;

/// A batch of messages from one host to another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Envelope {
    /// The sender.
    pub from: HostId,
    /// The sender's incarnation.
    pub incarnation: Incarnation,
    /// The sender's data centre.
    pub data_centre: DataCentre,
    /// The sender's peer address.
    pub address: String,
    /// The messages, in order.
    pub messages: Vec<PeerMessage>,
}

/// The answer to an [`Envelope`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Receipt {
    /// The receiver.
    pub host: HostId,
    /// The receiver's incarnation.
    pub incarnation: Incarnation,
}

/// News of a host of the sender's data centre.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rumour {
    /// The host.
    pub host: HostId,
    /// Its peer address.
    pub address: String,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Counts its refutations within the incarnation; a higher one overrules the state.
    pub sequence: u32,
    /// What is said of it.
    pub state: RumourState,
    /// Whether it is leaving; sticky for the incarnation.
    pub leaving: bool,
}

/// What a [`Rumour`] says. At equal sequence the later variant wins.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RumourState {
    /// It is alive.
    Alive,
    /// Somebody could not reach it.
    Suspect,
    /// Nobody refuted the suspicion.
    Dead,
}

/// One message between entry hosts.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PeerMessage {
    /// The sender is alive.
    Heartbeat {
        /// Counts the sender's refutations within its incarnation.
        #[serde(default)]
        sequence: u32,
        /// It is leaving; sticky for its incarnation.
        leaving: bool,
        /// The configuration offset it has in force.
        config_offset: Offset,
        /// Upstreams it knows to be leaving.
        leaving_upstreams: Vec<UpstreamId>,
        /// News of members.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        rumours: Vec<Rumour>,
    },
    /// A request waits at the receiver, an owner of upstreams of its service.
    Submit(Ticket),
    /// The request no longer waits there.
    Withdraw(RequestId),
    /// An owner's decision on a request of the receiver.
    Decision(Decision),
    /// A request of another data centre asks the receiver, an owner there; it is never passed on.
    Spill(Ticket),
    /// A request that the receiver granted was dispatched.
    Started {
        /// The request.
        request: RequestId,
        /// Its attempt.
        attempt: AttemptId,
    },
    /// Progress of a request that the receiver granted.
    Progress {
        /// The request.
        request: RequestId,
        /// Tokens generated so far.
        output_tokens: u32,
    },
    /// End of a request that the receiver granted.
    Finished {
        /// The request.
        request: RequestId,
        /// Tokens generated in all.
        output_tokens: u32,
        /// How it ended.
        ending: Ending,
        /// Prompt tokens that the engine's cache held.
        cached_prompt_tokens: u32,
    },
    /// A running request for an owner that didn't grant it.
    Adopt {
        /// The request.
        ticket: Ticket,
        /// Where it runs.
        upstream: UpstreamId,
        /// Tokens generated so far.
        output_tokens: u32,
        /// Its attempt, once dispatched.
        attempt: Option<AttemptId>,
    },
    /// The sender saw that an upstream which the receiver owns is leaving.
    UpstreamLeaving(UpstreamId),
    /// Room that the sender, an owner in another data centre, offers.
    Offer(Vec<Room>),
    /// Demand for a customer's allowance, to the customer's owner.
    Demand(Demand),
    /// An allowance lent by the customer's owner.
    Allowance(Allowance),
}

/// An owner's decision on a request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Decision {
    /// What is decided.
    pub action: Action,
    /// Requests that the granted upstream holds, for each million tokens of its memory.
    pub load: f64,
}

/// What a host wants of a customer's limits and holds of them.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    /// The customer.
    pub customer: CustomerId,
    /// What it could use; zero throughout if it gives its share back.
    pub wanted: Share,
    /// Generations running, which may be more than it still holds.
    pub running: u32,
    /// The share it holds, if it was lent one.
    pub held: Option<HeldShare>,
    /// The sender tells this demand again within this time, in milliseconds.
    pub next_ms: u64,
}

impl Demand {
    /// The sender gives its share of the customer's limits back.
    pub fn nothing(customer: CustomerId) -> Self {
        Demand {
            customer,
            wanted: Share::default(),
            running: 0,
            held: None,
            next_ms: 0,
        }
    }
}

/// A share that a host holds.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct HeldShare {
    /// The loan's number.
    pub round: u64,
    /// The share.
    pub share: Share,
}

/// A share of a customer's limits, lent for a short time.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Allowance {
    /// The customer.
    pub customer: CustomerId,
    /// The loan's number; a later one of the same owner is higher.
    pub round: u64,
    /// The share.
    pub share: Share,
    /// Valid for this long, in milliseconds.
    pub valid_ms: u64,
}

/// Answer to `config_tail`: the part of the configuration stream that the asker lacks.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ConfigTail {
    /// The offset that the answering host has in force: its next record's. 0 if it has none.
    #[serde(default)]
    pub next: Offset,
    /// Hashes of the answering host's table at the asked offset, if the records follow on it.
    #[serde(default)]
    pub base: Option<Digest>,
    /// A snapshot to start from, if the records don't follow on.
    pub snapshot: Option<String>,
    /// Records that follow the snapshot or the asked offset, without a gap.
    pub records: Vec<crate::platform::Record>,
}
