//! The requests of this host: with which owners each waits, and what was granted.
//!
//! A request registers with two or three owners and takes the first grant; the others are
//! withdrawn. If no owner can be reached, the host decides alone, by two choices over the last
//! known reports. When ownership moves, waiting requests register anew and running ones are
//! adopted by the new owner. Everything here is pure; [`crate::dispatch`] does the I/O.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;

use derive_builder::Builder;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::Deserialize;
use serde::Serialize;

use self::entries::GrantedEntry;
use self::entries::WaitingEntry;
pub use self::messages::RegistryAction;
pub use self::messages::RegistryInput;
use crate::clock::Time;
use crate::id::ClassId;
use crate::id::HostId;
use crate::id::RequestId;
use crate::id::ServiceId;
use crate::id::UpstreamId;
use crate::ownership::Ownership;
use crate::peer::PeerMessage;
use crate::servicepool::ServicePool;
use crate::spill::Spill;

mod deciding;
mod entries;
mod messages;
mod placing;
mod queue;
mod running;

/// Options of the registry.
#[derive(Debug, Clone, PartialEq, Builder, Serialize, Deserialize)]
#[builder(default)]
#[serde(default, deny_unknown_fields)]
pub struct RegistryOptions {
    /// An owner at which a request waits is asked for a sign of life this often, in milliseconds.
    /// Default 250.
    pub ping_ms: u64,
    /// A request whose wait is over is refused here after this grace, if its owners did not
    /// answer, in milliseconds. Default 250.
    pub grace_ms: u64,
    /// Least time between two reports of a request's progress, in milliseconds. Default 250.
    pub progress_ms: u64,
    /// Least growth between two reports of progress, in tokens. Default 16.
    pub progress_tokens: u32,
    /// A request that still waits is submitted again after this time, then after twice that and so
    /// on, in case a message was lost, in milliseconds. Default 2000.
    pub resubmit_ms: u64,
    /// After the first grant, the other owners asked may answer within this time, and the least
    /// loaded upstream wins; in milliseconds. Default 3.
    pub settle_ms: u64,
    /// A request that every upstream left has failed or moved twice waits for so long before it tries
    /// them again, in milliseconds. Default 250.
    pub forgive_ms: u64,
    /// When to ask again if a service has no upstream, in milliseconds. Default 1000.
    pub no_upstream_retry_ms: u64,
}

impl Default for RegistryOptions {
    fn default() -> Self {
        RegistryOptions {
            ping_ms: 250,
            grace_ms: 250,
            progress_ms: 250,
            progress_tokens: 16,
            resubmit_ms: 2_000,
            settle_ms: 3,
            forgive_ms: 250,
            no_upstream_retry_ms: 1_000,
        }
    }
}

/// The requests of one host.
#[derive(Debug)]
pub struct Registry {
    options: RegistryOptions,
    host: HostId,
    ownership: Arc<Ownership>,
    alone: bool,
    unreachable: BTreeSet<HostId>,
    pools: BTreeMap<ServiceId, ServicePool>,
    engine_priorities: BTreeMap<ClassId, u8>,
    leaving: BTreeSet<UpstreamId>,
    loads: BTreeMap<UpstreamId, f64>,
    waiting: BTreeMap<RequestId, WaitingEntry>,
    granted: HashMap<RequestId, GrantedEntry>,
    spill: Spill,
    pinged_at: Time,
    rng: ChaCha8Rng,
}

impl Registry {
    /// The registry of `host`, without requests.
    pub fn new(options: RegistryOptions, spill: Spill, host: HostId, seed: u64) -> Self {
        Registry {
            options,
            ownership: Arc::new(Ownership::new([host.clone()])),
            host,
            alone: false,
            unreachable: BTreeSet::new(),
            pools: BTreeMap::new(),
            engine_priorities: BTreeMap::new(),
            leaving: BTreeSet::new(),
            loads: BTreeMap::new(),
            waiting: BTreeMap::new(),
            granted: HashMap::new(),
            spill,
            pinged_at: Time::ZERO,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Requests that wait for a grant.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Requests that hold a grant.
    pub fn granted(&self) -> usize {
        self.granted.len()
    }

    /// The owners at which a request waits.
    pub fn candidates(&self, request: RequestId) -> Vec<&HostId> {
        let entry = self.waiting.get(&request);
        let candidates = entry.map_or(&[][..], |entry| &entry.candidates);
        candidates.iter().map(|candidate| &candidate.host).collect()
    }

    /// Takes one input at `now` and answers with what to do.
    pub fn step(&mut self, now: Time, input: RegistryInput) -> Vec<RegistryAction> {
        let mut actions = Vec::new();
        match input {
            RegistryInput::Pools {
                pools,
                engine_priorities,
            } => self.set_pools(now, pools, engine_priorities, &mut actions),
            RegistryInput::Owners(ownership) => self.set_owners(now, ownership, &mut actions),
            RegistryInput::Alone(alone) => self.set_alone(now, alone, &mut actions),
            RegistryInput::Unreachable(host) => self.lose(now, host, &mut actions),
            RegistryInput::Reachable(host) => self.regain(now, &host, &mut actions),
            RegistryInput::Leaving(leaving) => self.leaving = leaving,
            RegistryInput::Load { upstream, load } => {
                self.loads.insert(upstream, load);
            }
            RegistryInput::Offer(offer) => self.spill.offered(now, offer),
            RegistryInput::Submit(ticket) => self.submit(now, ticket, &mut actions),
            RegistryInput::Withdraw(request) => self.withdraw(request, &mut actions),
            RegistryInput::Started { request, attempt } => {
                self.started(request, attempt, &mut actions);
            }
            RegistryInput::Progress {
                request,
                output_tokens,
            } => self.progress(now, request, output_tokens, &mut actions),
            RegistryInput::Finished {
                request,
                output_tokens,
                ending,
                cached_prompt_tokens,
            } => {
                let end = PeerMessage::Finished {
                    request,
                    output_tokens,
                    ending,
                    cached_prompt_tokens,
                };
                self.finished(request, end, &mut actions);
            }
            RegistryInput::Decision { from, decision } => {
                self.decide(now, from, decision, &mut actions);
            }
            RegistryInput::Settle(request) => self.settle(request, &mut actions),
            RegistryInput::Tick => self.tick(now, &mut actions),
        }
        actions
    }

    fn set_pools(
        &mut self,
        now: Time,
        pools: Vec<ServicePool>,
        engine_priorities: BTreeMap<ClassId, u8>,
        actions: &mut Vec<RegistryAction>,
    ) {
        self.engine_priorities = engine_priorities;
        self.pools = pools
            .into_iter()
            .map(|pool| (pool.service.clone(), pool))
            .collect();
        self.register_all(now, actions);
    }

    fn set_owners(
        &mut self,
        now: Time,
        ownership: Arc<Ownership>,
        actions: &mut Vec<RegistryAction>,
    ) {
        self.ownership = ownership;
        self.register_all(now, actions);
        self.adopt_where(actions, |entry, owner| entry.owner.as_ref() != Some(owner));
    }

    fn set_alone(&mut self, now: Time, alone: bool, actions: &mut Vec<RegistryAction>) {
        if self.alone == alone {
            return;
        }
        self.alone = alone;
        self.register_all(now, actions);
    }

    fn lose(&mut self, now: Time, host: HostId, actions: &mut Vec<RegistryAction>) {
        let waits_there: Vec<RequestId> = self
            .waiting
            .iter()
            .filter(|(_, entry)| entry.candidates.iter().any(|other| other.host == host))
            .map(|(request, _)| *request)
            .collect();
        self.spill.lost(&host);
        self.unreachable.insert(host.clone());
        for request in waits_there {
            if let Some(entry) = self.waiting.get_mut(&request) {
                entry.candidates.retain(|candidate| candidate.host != host);
            }
            self.register(now, request, actions);
        }
    }

    fn regain(&mut self, now: Time, host: &HostId, actions: &mut Vec<RegistryAction>) {
        if !self.unreachable.remove(host) {
            return;
        }
        self.register_all(now, actions);
        self.adopt_where(actions, |_, owner| owner == host);
    }
}

#[cfg(test)]
mod tests;
