//! Which host of a data centre owns what, by rendezvous hashing over its live hosts.
//!
//! Every host computes the same answer from the same set of hosts, and a host that joins or leaves
//! moves only what it gains or loses. Owners hold soft state: while two hosts see different sets,
//! two owners are harmless.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::id::CustomerId;
use crate::id::HostId;
use crate::id::RequestId;
use crate::id::UpstreamId;

/// Hosts that a request registers with, where that many own upstreams of its service.
pub const CANDIDATES: usize = 3;

/// The same in a data centre of more hosts than [`SMALL`], where messages must be few.
pub const CANDIDATES_OF_MANY: usize = 2;

/// Up to this many hosts, a data centre is small.
pub const SMALL: usize = 8;

/// Keeps the spaces of keys apart, so that one name may be both a customer and an upstream.
const UPSTREAM_SEED: u64 = 1;
const LIMITS_SEED: u64 = 2;
const DUTY_SEED: u64 = 3;
const REQUEST_SEED: u64 = 4;

/// The hosts that may own something, with the functions that share the work out.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Ownership {
    hosts: Vec<RankedHost>,
}

/// A host with the hash of its name, computed once.
#[derive(Debug, Clone, PartialEq, Eq)]
struct RankedHost {
    host: HostId,
    hash: u64,
}

impl Ownership {
    /// Ownership over `hosts`; their order and repetitions don't matter.
    pub fn new(hosts: impl IntoIterator<Item = HostId>) -> Self {
        let mut names: Vec<HostId> = hosts.into_iter().collect();
        names.sort();
        names.dedup();
        let hosts = names.into_iter().map(RankedHost::new).collect();
        Ownership { hosts }
    }

    /// The hosts, in the order of their names.
    pub fn hosts(&self) -> impl Iterator<Item = &HostId> {
        self.hosts.iter().map(|ranked| &ranked.host)
    }

    /// How many hosts there are.
    pub fn len(&self) -> usize {
        self.hosts.len()
    }

    /// Whether there is no host at all.
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }

    /// The host that keeps the ledger and the queue of `upstream`.
    pub fn upstream_owner(&self, upstream: &UpstreamId) -> Option<&HostId> {
        self.owner(key_hash(upstream.as_str(), UPSTREAM_SEED))
    }

    /// The host that lends the allowances of `customer`.
    pub fn limits_owner(&self, customer: &CustomerId) -> Option<&HostId> {
        self.owner(key_hash(customer.as_str(), LIMITS_SEED))
    }

    /// The first `count` hosts for a shared duty, such as writing snapshots or summaries.
    pub fn on_duty(&self, duty: &str, count: usize) -> Vec<&HostId> {
        let key = key_hash(duty, DUTY_SEED);
        let mut ranked: Vec<&RankedHost> = self.hosts.iter().collect();
        ranked.sort_by_key(|host| std::cmp::Reverse(host.weight(key)));
        ranked.truncate(count);
        ranked.into_iter().map(|host| &host.host).collect()
    }

    /// The owners that a request registers with: two or three different ones.
    ///
    /// The first follows the prompt's shortest prefix, so that requests that share it meet at the
    /// engine whose cache holds it; the others follow the request's own id and spread the load by
    /// the number of upstreams owned.
    pub fn candidates(
        &self,
        request: RequestId,
        prefix_hash: Option<u64>,
        upstreams: &[UpstreamId],
    ) -> Vec<HostId> {
        let request_key = xxh3_64_with_seed(request.0.as_bytes(), REQUEST_SEED);
        let affine = prefix_hash.and_then(|prefix| self.first_owner(prefix, upstreams));
        let count = match self.len() <= SMALL {
            true => CANDIDATES,
            false => CANDIDATES_OF_MANY,
        };
        let mut chosen: Vec<HostId> = affine.into_iter().cloned().collect();
        for upstream in ranked_upstreams(request_key, upstreams) {
            let Some(owner) = self.upstream_owner(upstream) else {
                break;
            };
            if !chosen.contains(owner) {
                chosen.push(owner.clone());
            }
            if chosen.len() >= count {
                break;
            }
        }
        chosen
    }

    fn first_owner(&self, key: u64, upstreams: &[UpstreamId]) -> Option<&HostId> {
        let first = upstreams
            .iter()
            .max_by_key(|upstream| key_hash(upstream.as_str(), key))?;
        self.upstream_owner(first)
    }

    fn owner(&self, key: u64) -> Option<&HostId> {
        self.hosts
            .iter()
            .max_by_key(|host| host.weight(key))
            .map(|host| &host.host)
    }
}

impl RankedHost {
    fn new(host: HostId) -> Self {
        let hash = xxh3_64_with_seed(host.as_str().as_bytes(), 0);
        RankedHost { host, hash }
    }

    /// The host's rendezvous weight for a key; the highest owns it.
    fn weight(&self, key: u64) -> u64 {
        xxh3_64_with_seed(&key.to_le_bytes(), self.hash)
    }
}

/// The upstreams in the order in which a key prefers them.
fn ranked_upstreams(key: u64, upstreams: &[UpstreamId]) -> Vec<&UpstreamId> {
    let mut ranked: Vec<&UpstreamId> = upstreams.iter().collect();
    ranked.sort_by_cached_key(|upstream| std::cmp::Reverse(key_hash(upstream.as_str(), key)));
    ranked
}

fn key_hash(name: &str, seed: u64) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), seed)
}

#[cfg(test)]
mod tests;
