//! Which hosts of the data centre are alive: probes in rotation, rumours of change, suspicion
//! before death.
//!
//! Each host probes a few others a second in rotation and carries news of changes with the probes,
//! so that the cost a host doesn't grow with the number of hosts. A probe that fails makes its
//! target suspect; the suspect hears of it from others and refutes it with a higher sequence. Only
//! a suspicion that nobody refutes becomes a death, so one stalled link moves nothing. The
//! platform's list only tells whom to probe and who is leaving: it lags. After SWIM (Das, Gupta,
//! Motivala, 2002).

use std::collections::BTreeMap;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::clock::Time;
use crate::id::DataCentre;
use crate::id::HostId;
use crate::id::Incarnation;
use crate::id::Offset;
use crate::member::Member;
use crate::peer::Rumour;
use crate::platform::HostList;
use crate::rumours::Rumours;

mod listing;
mod news;
mod probing;
mod suspicion;

/// Options of membership.
#[derive(
    Debug, Clone, PartialEq, derive_builder::Builder, serde::Serialize, serde::Deserialize,
)]
#[builder(default)]
#[serde(default, deny_unknown_fields)]
pub struct MembershipOptions {
    /// Time between two rounds of probes, in milliseconds. Default 1000.
    pub heartbeat_ms: u64,
    /// Hosts probed in a round. Default 3.
    pub fanout: usize,
    /// A suspicion that nobody refutes within this time is a death, in milliseconds. Default 1500.
    pub suspicion_ms: u64,
    /// A host is not suspected again so soon after it refuted, in milliseconds. Default 5000.
    pub refuted_hold_ms: u64,
    /// A host that heard from nobody for so long is alone, in milliseconds. Default 3000.
    pub alone_after_ms: u64,
    /// A host that is alone for so long believes that the others are dead, in milliseconds.
    /// Default 10000.
    pub alone_hold_ms: u64,
    /// Dead hosts are remembered for so long, in milliseconds. Default 60000.
    pub forget_ms: u64,
    /// The platform's list may be so old: it does not call a host leaving whose incarnation became
    /// known here less than this before, in milliseconds. Default 30000.
    pub list_lag_ms: u64,
}

impl Default for MembershipOptions {
    fn default() -> Self {
        MembershipOptions {
            heartbeat_ms: 1_000,
            fanout: 3,
            suspicion_ms: 1_500,
            refuted_hold_ms: 5_000,
            alone_after_ms: 3_000,
            alone_hold_ms: 10_000,
            forget_ms: 60_000,
            list_lag_ms: 30_000,
        }
    }
}

/// Who this host is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Identity {
    /// Its name.
    pub host: HostId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Its peer address.
    pub address: String,
}

/// What a heartbeat of another host said.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Heard {
    /// The sender.
    pub host: HostId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Its peer address.
    pub address: String,
    /// Its sequence.
    pub sequence: u32,
    /// Whether it is leaving.
    pub leaving: bool,
    /// The configuration offset it has in force.
    pub config_offset: Offset,
    /// The news it carries.
    pub rumours: Vec<Rumour>,
}

/// What happens to membership.
#[derive(Debug, Clone, PartialEq)]
pub enum MembershipInput {
    /// A heartbeat arrived.
    Heard(Heard),
    /// The host at an address took a message.
    Answered {
        /// The address.
        address: String,
        /// The host that answered.
        host: HostId,
        /// Its incarnation.
        incarnation: Incarnation,
    },
    /// The host at an address did not take a message in time.
    Unanswered {
        /// The address.
        address: String,
    },
    /// The platform's list arrived.
    Listed(HostList),
    /// Addresses that the settings name.
    Known(Vec<String>),
    /// This host is leaving.
    Leave,
    /// Time passed.
    Tick,
}

/// What membership wants done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MembershipAction {
    /// Send a heartbeat with these rumours.
    Probe {
        /// To which address.
        address: String,
        /// The news to carry.
        rumours: Vec<Rumour>,
    },
    /// The set of owners changed.
    OwnersChanged,
    /// Something that the journal should tell.
    Noted {
        /// What.
        change: Change,
        /// Of whom.
        host: HostId,
    },
}

/// A change that the journal tells.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// A host joined or came back.
    Joined,
    /// A host is suspected.
    Suspected,
    /// A suspicion was refuted.
    Refuted,
    /// A host is dead.
    Died,
    /// A host is leaving.
    Left,
    /// This host hears from nobody.
    Alone,
    /// This host hears from others again.
    Rejoined,
}

/// The members of a data centre as one host knows them.
#[derive(Debug)]
pub struct Membership {
    options: MembershipOptions,
    identity: Identity,
    sequence: u32,
    leaving: bool,
    members: BTreeMap<HostId, Member>,
    /// Addresses to probe that belong to no known member.
    unknown: Vec<String>,
    /// Addresses whose leaving mark was taken in; it holds for the incarnation that it met.
    marked: Vec<String>,
    rumours: Rumours,
    rotation: Vec<String>,
    next_round: Time,
    heard_at: Time,
    alone_since: Option<Time>,
    owners: Vec<HostId>,
    rng: ChaCha8Rng,
}

impl Membership {
    /// Membership of the host `identity`, which knows nobody yet.
    pub fn new(options: MembershipOptions, identity: Identity, now: Time, seed: u64) -> Self {
        let owners = vec![identity.host.clone()];
        Membership {
            options,
            identity,
            sequence: 0,
            leaving: false,
            members: BTreeMap::new(),
            unknown: Vec::new(),
            marked: Vec::new(),
            rumours: Rumours::default(),
            rotation: Vec::new(),
            next_round: now,
            heard_at: now,
            alone_since: None,
            owners,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Who this host is.
    pub fn identity(&self) -> &Identity {
        &self.identity
    }

    /// How often this host refuted its own death in this incarnation.
    pub fn sequence(&self) -> u32 {
        self.sequence
    }

    /// Whether this host is leaving.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Whether this host hears from nobody though it knows of others.
    pub fn is_alone(&self) -> bool {
        self.alone_since.is_some()
    }

    /// The other hosts that are known.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// The member of that name.
    pub fn member(&self, host: &HostId) -> Option<&Member> {
        self.members.get(host)
    }

    /// The hosts that may own something: alive or suspect, not leaving; this one among them.
    pub fn owners(&self) -> &[HostId] {
        &self.owners
    }

    /// Takes one input at `now` and answers with what to do.
    pub fn step(&mut self, now: Time, input: MembershipInput) -> Vec<MembershipAction> {
        let mut actions = Vec::new();
        match input {
            MembershipInput::Heard(heard) => self.hear(now, heard, &mut actions),
            MembershipInput::Answered {
                address,
                host,
                incarnation,
            } => self.answered(now, &address, &host, incarnation, &mut actions),
            MembershipInput::Unanswered { address } => {
                self.unanswered(now, &address, &mut actions);
            }
            MembershipInput::Listed(list) => self.listed(now, list, &mut actions),
            MembershipInput::Known(addresses) => self.learn_addresses(addresses),
            MembershipInput::Leave => self.leave(),
            MembershipInput::Tick => self.tick(now, &mut actions),
        }
        self.push_news(&mut actions);
        self.settle_owners(&mut actions);
        actions
    }

    fn settle_owners(&mut self, actions: &mut Vec<MembershipAction>) {
        let others = self.members.values().filter(|member| member.is_owner());
        let mut owners: Vec<HostId> = others.map(|member| member.host.clone()).collect();
        if !self.leaving {
            owners.push(self.identity.host.clone());
        }
        owners.sort();
        if owners != self.owners {
            self.owners = owners;
            actions.push(MembershipAction::OwnersChanged);
        }
    }
}

fn noted(change: Change, host: &HostId) -> MembershipAction {
    MembershipAction::Noted {
        change,
        host: host.clone(),
    }
}

#[cfg(test)]
mod tests;
