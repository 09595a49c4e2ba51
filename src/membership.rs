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
use std::time::Duration;

use rand::SeedableRng;
use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;

use crate::clock::Time;
use crate::id::DataCentre;
use crate::id::HostId;
use crate::id::Incarnation;
use crate::id::Offset;
use crate::member::Member;
use crate::member::MemberState;
use crate::peer::Rumour;
use crate::peer::RumourState;
use crate::platform::HostKind;
use crate::platform::HostList;
use crate::platform::HostState;
use crate::rumours::Rumours;

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

    fn hear(&mut self, now: Time, heard: Heard, actions: &mut Vec<MembershipAction>) {
        if heard.host == self.identity.host {
            return;
        }
        self.contact(now, actions);
        self.unknown.retain(|address| *address != heard.address);
        let newcomer = self
            .members
            .get(&heard.host)
            .is_none_or(|member| member.incarnation < heard.incarnation);
        let rumour = Rumour {
            host: heard.host.clone(),
            address: heard.address.clone(),
            incarnation: heard.incarnation,
            sequence: heard.sequence,
            state: RumourState::Alive,
            leaving: heard.leaving,
        };
        self.merge(now, rumour, actions);
        if let Some(member) = self.members.get_mut(&heard.host)
            && member.incarnation == heard.incarnation
        {
            member.heard_at = now;
            member.config_offset = member.config_offset.max(heard.config_offset);
            revive(member, now, actions);
        }
        for rumour in heard.rumours {
            self.merge(now, rumour, actions);
        }
        if newcomer {
            self.introduce(heard.address, actions);
        }
    }

    /// Tells a newcomer of every member at once.
    fn introduce(&self, address: String, actions: &mut Vec<MembershipAction>) {
        let rumours = self.members.values().map(Member::rumour).collect();
        actions.push(MembershipAction::Probe { address, rumours });
    }

    fn answered(
        &mut self,
        now: Time,
        address: &str,
        host: &HostId,
        incarnation: Incarnation,
        actions: &mut Vec<MembershipAction>,
    ) {
        if *host == self.identity.host {
            self.unknown.retain(|unknown| unknown != address);
            return;
        }
        self.contact(now, actions);
        if let Some(member) = self.members.get_mut(host)
            && member.incarnation == incarnation
        {
            revive(member, now, actions);
        }
        self.suspect_where(now, actions, |member| {
            member.address == address && member.host != *host
        });
    }

    fn unanswered(&mut self, now: Time, address: &str, actions: &mut Vec<MembershipAction>) {
        self.suspect_where(now, actions, |member| member.address == address);
    }

    fn suspect_where(
        &mut self,
        now: Time,
        actions: &mut Vec<MembershipAction>,
        chosen: impl Fn(&Member) -> bool,
    ) {
        let hold = Duration::from_millis(self.options.refuted_hold_ms);
        for member in self.members.values_mut().filter(|member| chosen(member)) {
            let held = member
                .refuted_at
                .is_some_and(|refuted_at| now.since(refuted_at) < hold);
            if member.state != MemberState::Alive || held {
                continue;
            }
            member.state = MemberState::Suspect { since: now };
            self.rumours.spread(member.rumour());
            actions.push(noted(Change::Suspected, &member.host));
        }
    }

    fn merge(&mut self, now: Time, rumour: Rumour, actions: &mut Vec<MembershipAction>) {
        if rumour.host == self.identity.host {
            self.refute(&rumour);
            return;
        }
        let Some(member) = self.members.get_mut(&rumour.host) else {
            self.admit(now, rumour, actions);
            return;
        };
        let newer = rumour.incarnation > member.incarnation;
        if !newer && !member.is_news(&rumour) {
            return;
        }
        let before = member.clone();
        member.apply(now, &rumour);
        note_changes(&before, member, actions);
        self.rumours.spread(member.rumour());
    }

    /// Takes up a host that was unknown, unless the rumour is of its death.
    fn admit(&mut self, now: Time, rumour: Rumour, actions: &mut Vec<MembershipAction>) {
        if rumour.state == RumourState::Dead {
            return;
        }
        self.unknown.retain(|address| *address != rumour.address);
        let member = Member::new(now, &rumour);
        actions.push(noted(Change::Joined, &member.host));
        self.rumours.spread(member.rumour());
        self.members.insert(rumour.host, member);
    }

    /// Answers a rumour of this host's own death with a higher sequence.
    fn refute(&mut self, rumour: &Rumour) {
        let current = rumour.incarnation == self.identity.incarnation;
        let accused = rumour.state != RumourState::Alive && rumour.sequence >= self.sequence;
        if !current || !accused {
            return;
        }
        self.sequence = rumour.sequence + 1;
        let own = self.own_rumour();
        self.rumours.spread(own);
    }

    fn leave(&mut self) {
        self.leaving = true;
        let own = self.own_rumour();
        self.rumours.spread(own);
    }

    fn own_rumour(&self) -> Rumour {
        Rumour {
            host: self.identity.host.clone(),
            address: self.identity.address.clone(),
            incarnation: self.identity.incarnation,
            sequence: self.sequence,
            state: RumourState::Alive,
            leaving: self.leaving,
        }
    }

    fn listed(&mut self, now: Time, list: HostList, actions: &mut Vec<MembershipAction>) {
        let here = list.hosts.into_iter().filter(|listed| {
            listed.kind == HostKind::Entry && listed.data_centre == self.identity.data_centre
        });
        let mut addresses = Vec::new();
        let mut leaving = Vec::new();
        for listed in here {
            if listed.state == HostState::Leaving {
                leaving.push(listed.address.clone());
            }
            addresses.push(listed.address);
        }
        self.marked.retain(|address| leaving.contains(address));
        for address in leaving {
            if !self.marked.contains(&address) {
                self.mark_leaving(now, address, actions);
            }
        }
        self.learn_addresses(addresses);
    }

    fn mark_leaving(&mut self, now: Time, address: String, actions: &mut Vec<MembershipAction>) {
        let lag = Duration::from_millis(self.options.list_lag_ms);
        let mut members = self.members.values_mut();
        let Some(member) = members.find(|member| member.address == address) else {
            return;
        };
        if now.since(member.known_since) < lag {
            return;
        }
        self.marked.push(address);
        if !member.leaving {
            member.leaving = true;
            actions.push(noted(Change::Left, &member.host));
            self.rumours.spread(member.rumour());
        }
    }

    fn learn_addresses(&mut self, addresses: Vec<String>) {
        for address in addresses {
            let own = address == self.identity.address;
            let member = self
                .members
                .values()
                .any(|member| member.address == address);
            if !own && !member && !self.unknown.contains(&address) {
                self.unknown.push(address);
            }
        }
    }

    fn tick(&mut self, now: Time, actions: &mut Vec<MembershipAction>) {
        if now >= self.next_round {
            self.next_round = now + Duration::from_millis(self.options.heartbeat_ms);
            self.probe_round(actions);
        }
        self.check_alone(now, actions);
        if self.is_holding(now) {
            return;
        }
        self.bury(now, actions);
        let forget = Duration::from_millis(self.options.forget_ms);
        self.members.retain(|_, member| match member.state {
            MemberState::Dead { since } => now.since(since) < forget,
            MemberState::Alive | MemberState::Suspect { .. } => true,
        });
    }

    fn probe_round(&mut self, actions: &mut Vec<MembershipAction>) {
        for _ in 0..self.options.fanout {
            let Some(address) = self.next_address() else {
                return;
            };
            let asked = actions.iter().any(|action| {
                matches!(action, MembershipAction::Probe { address: other, .. } if *other == address)
            });
            if asked {
                return;
            }
            let rumours = self.rumours.take(self.members.len());
            actions.push(MembershipAction::Probe { address, rumours });
        }
    }

    /// The next address of a rotation that is shuffled anew each time it is used up.
    fn next_address(&mut self) -> Option<String> {
        if self.rotation.is_empty() {
            let known = self.members.values().map(|member| member.address.clone());
            self.rotation = known.chain(self.unknown.iter().cloned()).collect();
            self.rotation.shuffle(&mut self.rng);
        }
        self.rotation.pop()
    }

    fn contact(&mut self, now: Time, actions: &mut Vec<MembershipAction>) {
        self.heard_at = now;
        if self.alone_since.take().is_some() {
            actions.push(noted(Change::Rejoined, &self.identity.host));
        }
    }

    /// A host alone can't tell the death of all others from its own isolation. With one other
    /// host there is no second witness to wait for, and two owners are harmless.
    fn check_alone(&mut self, now: Time, actions: &mut Vec<MembershipAction>) {
        let others = self.members.values().filter(|member| member.is_owner());
        let silent = now.since(self.heard_at) >= Duration::from_millis(self.options.alone_after_ms);
        if silent && others.count() >= 2 && self.alone_since.is_none() {
            self.alone_since = Some(now);
            actions.push(noted(Change::Alone, &self.identity.host));
        }
    }

    /// Whether this host may be cut off, so that it buries nobody yet.
    fn is_holding(&self, now: Time) -> bool {
        let others = self.members.values().filter(|member| member.is_owner());
        let patience = Duration::from_millis(self.options.suspicion_ms);
        match self.alone_since {
            Some(since) => now.since(since) < Duration::from_millis(self.options.alone_hold_ms),
            None => others.count() >= 2 && now.since(self.heard_at) >= patience,
        }
    }

    fn bury(&mut self, now: Time, actions: &mut Vec<MembershipAction>) {
        let patience = Duration::from_millis(self.options.suspicion_ms);
        for member in self.members.values_mut() {
            let MemberState::Suspect { since } = member.state else {
                continue;
            };
            if now.since(since) >= patience {
                member.state = MemberState::Dead { since: now };
                self.rumours.spread(member.rumour());
                actions.push(noted(Change::Died, &member.host));
            }
        }
    }

    /// Sends fresh news at once to a few hosts; a suspect among them always hears of it.
    fn push_news(&mut self, actions: &mut Vec<MembershipAction>) {
        let fresh = self.rumours.take_fresh();
        if fresh.is_empty() {
            return;
        }
        let accused = fresh
            .iter()
            .filter(|rumour| rumour.state != RumourState::Alive)
            .map(|rumour| rumour.address.clone());
        let mut targets: Vec<String> = accused.collect();
        for _ in 0..self.options.fanout {
            targets.extend(self.next_address());
        }
        targets.sort();
        targets.dedup();
        actions.extend(targets.into_iter().map(|address| MembershipAction::Probe {
            address,
            rumours: fresh.clone(),
        }));
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

/// A message of the host's own is proof that it lives, whatever rumours say.
fn revive(member: &mut Member, now: Time, actions: &mut Vec<MembershipAction>) {
    if member.state == MemberState::Alive {
        return;
    }
    let was_dead = !member.is_live();
    member.state = MemberState::Alive;
    member.refuted_at = Some(now);
    let change = if was_dead {
        Change::Joined
    } else {
        Change::Refuted
    };
    actions.push(noted(change, &member.host));
}

fn note_changes(before: &Member, after: &Member, actions: &mut Vec<MembershipAction>) {
    let change = match (before.state, after.state) {
        _ if before.incarnation != after.incarnation => Some(Change::Joined),
        (MemberState::Dead { .. }, MemberState::Alive) => Some(Change::Joined),
        (MemberState::Suspect { .. }, MemberState::Alive) => Some(Change::Refuted),
        (MemberState::Alive, MemberState::Suspect { .. }) => Some(Change::Suspected),
        (MemberState::Alive | MemberState::Suspect { .. }, MemberState::Dead { .. }) => {
            Some(Change::Died)
        }
        _ => None,
    };
    actions.extend(change.map(|change| noted(change, &after.host)));
    if after.leaving && !before.leaving {
        actions.push(noted(Change::Left, &after.host));
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
