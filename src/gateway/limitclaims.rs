//! Moves shares in the rates that upstreams name ([`crate::gateway::upstreamlimits`]) to the hosts that need them.
//!
//! Equal shares assume that callers are spread over the hosts. If most of them connect to one, it refuses what the
//! others would have room for. A host that is short of its share therefore says so, and one that uses little of its
//! own then yields a fixed part, which those that don't yield divide among themselves.
//!
//! A yielded part is never used twice: its owner keeps to the rest from the moment that it yields, and takes the part
//! back only [`RECLAIM_DELAY`] after its last announcement, when the others have stopped using it.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::clock::Time;
use crate::gateway::instance::InstanceKey;
use crate::id::HostId;

/// Part of its share that a host yields.
const YIELDED_PART: f64 = 0.75;
/// Time over which a host counts its requests.
const DEMAND_WINDOW: Duration = Duration::from_secs(1);
/// Time over which a host counts the requests that it refused for want of a share.
const SHORTAGE_WINDOW: Duration = Duration::from_secs(2);
/// Time for which a claim of another host counts.
const CLAIM_TTL: Duration = Duration::from_millis(1_500);
/// Time after its last announcement in which a host doesn't use what it yielded. It is longer than [`CLAIM_TTL`] by
/// the time that a datagram travels.
const RECLAIM_DELAY: Duration = Duration::from_millis(2_000);
/// Claims in one datagram.
const ANNOUNCED_MAX: usize = 16;

/// What a host says of its share in the rate of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Claim {
    /// It needs more.
    WantsMore,
    /// Others may use a part of it.
    Yields,
}

/// A claim as hosts of one data centre announce it to each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnnouncedClaim {
    /// The upstream.
    pub upstream: InstanceKey,
    /// The claim.
    pub claim: Claim,
}

/// Whether this host uses its whole share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Holding {
    Whole,
    /// A part is yielded.
    Yielded,
    /// A part was yielded and may be used by others until this time.
    Reclaimed(Time),
}

/// This host's use of its share in the rate of one upstream, and the claims of others.
#[derive(Debug)]
struct Entry {
    sends: VecDeque<Time>,
    /// When the share had no room for the last two requests that were refused for it.
    refused: [Option<Time>; 2],
    holding: Holding,
    claims: HashMap<HostId, (Time, Claim)>,
    used_at: Time,
}

impl Entry {
    fn new(now: Time) -> Self {
        Entry {
            sends: VecDeque::new(),
            refused: [None; 2],
            holding: Holding::Whole,
            claims: HashMap::new(),
            used_at: now,
        }
    }

    /// Requests a second of this host.
    fn demand_per_s(&self, now: Time) -> f64 {
        let recent = self.sends.iter().rev();
        let recent = recent.take_while(|at| now.since(**at) < DEMAND_WINDOW);
        recent.count() as f64 / DEMAND_WINDOW.as_secs_f64()
    }

    fn is_short(&self, now: Time) -> bool {
        let is_recent = |at: Time| now.since(at) < SHORTAGE_WINDOW;
        self.refused.iter().all(|at| at.is_some_and(is_recent))
    }

    fn count(&self, now: Time, claim: Claim) -> usize {
        let claims = self.claims.values();
        claims
            .filter(|(at, told)| *told == claim && now.since(*at) < CLAIM_TTL)
            .count()
    }

    /// Decides whether this host yields, given its equal share.
    fn review(&mut self, now: Time, equal_per_s: f64) {
        let is_wanted = self.count(now, Claim::WantsMore) > 0;
        let kept_per_s = equal_per_s * (1.0 - YIELDED_PART);
        let needs_whole = self.is_short(now) || self.demand_per_s(now) > kept_per_s;
        self.holding = match self.holding {
            Holding::Whole if is_wanted && !needs_whole => Holding::Yielded,
            Holding::Yielded if !is_wanted || self.is_short(now) => {
                Holding::Reclaimed(now + RECLAIM_DELAY)
            }
            Holding::Reclaimed(at) if now >= at => Holding::Whole,
            unchanged => unchanged,
        };
    }

    fn claim(&self, now: Time, equal_per_s: f64) -> Option<Claim> {
        match self.holding {
            Holding::Yielded => Some(Claim::Yields),
            Holding::Whole | Holding::Reclaimed(_) => {
                let uses_more = self.demand_per_s(now) > equal_per_s;
                (uses_more || self.is_short(now)).then_some(Claim::WantsMore)
            }
        }
    }

    /// The rate of this host, which shares that of the upstream with others to `hosts` hosts in all.
    fn rate(&self, now: Time, equal_per_s: f64, hosts: usize) -> f64 {
        match self.holding {
            Holding::Yielded | Holding::Reclaimed(_) => equal_per_s * (1.0 - YIELDED_PART),
            Holding::Whole => {
                let yielding = self.count(now, Claim::Yields).min(hosts.saturating_sub(1));
                let using = (hosts - yielding).max(1);
                equal_per_s * (1.0 + YIELDED_PART * yielding as f64 / using as f64)
            }
        }
    }
}

/// An equal share in the rate of an upstream.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct EqualShare {
    /// Requests a second of one host.
    pub(crate) per_s: f64,
    /// Hosts that share the rate.
    pub(crate) hosts: usize,
}

/// The claims on the rates of all upstreams.
#[derive(Debug, Default)]
pub(crate) struct LimitClaims {
    entries: HashMap<InstanceKey, Entry>,
}

impl LimitClaims {
    fn entry(&mut self, now: Time, upstream: InstanceKey) -> &mut Entry {
        let entry = self.entries.entry(upstream);
        let entry = entry.or_insert_with(|| Entry::new(now));
        entry.used_at = now;
        entry
    }

    /// Records a request of this host.
    pub(crate) fn record_send(&mut self, now: Time, upstream: InstanceKey) {
        let sends = &mut self.entry(now, upstream).sends;
        while sends
            .front()
            .is_some_and(|at| now.since(*at) >= DEMAND_WINDOW)
        {
            sends.pop_front();
        }
        sends.push_back(now);
    }

    /// Records that a request was refused because this host's share had no room.
    pub(crate) fn record_shortage(&mut self, now: Time, upstream: InstanceKey) {
        let refused = &mut self.entry(now, upstream).refused;
        *refused = [refused[1], Some(now)];
    }

    /// Applies the claims that another host announces.
    pub(crate) fn receive(&mut self, now: Time, host: &HostId, announced: &[AnnouncedClaim]) {
        for announced in announced {
            let entry = self.entry(now, announced.upstream);
            entry.claims.insert(host.clone(), (now, announced.claim));
        }
        let is_told = |key: &InstanceKey| announced.iter().any(|told| told.upstream == *key);
        for (key, entry) in &mut self.entries {
            if !is_told(key) {
                entry.claims.remove(host);
            }
        }
    }

    /// The requests a second that this host may send to an upstream in which it has `share`.
    pub(crate) fn rate(&mut self, now: Time, upstream: InstanceKey, share: EqualShare) -> f64 {
        let Some(entry) = self.entries.get_mut(&upstream) else {
            return share.per_s;
        };
        entry.review(now, share.per_s);
        entry.rate(now, share.per_s, share.hosts)
    }

    /// The upstreams on whose rates there are claims.
    pub(crate) fn upstreams(&self) -> Vec<InstanceKey> {
        self.entries.keys().copied().collect()
    }

    /// This host's claims, for the others of its data centre. `shares` holds its shares in the rates of upstreams.
    pub(crate) fn announce(
        &mut self,
        now: Time,
        shares: &HashMap<InstanceKey, EqualShare>,
    ) -> Vec<AnnouncedClaim> {
        let mut announced = Vec::new();
        for (upstream, entry) in &mut self.entries {
            let Some(share) = shares.get(upstream) else {
                continue;
            };
            entry.review(now, share.per_s);
            let claim = entry.claim(now, share.per_s);
            announced.extend(claim.map(|claim| AnnouncedClaim {
                upstream: *upstream,
                claim,
            }));
        }
        announced.truncate(ANNOUNCED_MAX);
        announced
    }

    /// Forgets upstreams of which nothing was heard for long.
    pub(crate) fn expire(&mut self, now: Time) {
        let ttl = SHORTAGE_WINDOW + RECLAIM_DELAY;
        self.entries.retain(|_, entry| {
            entry.claims.retain(|_, (at, _)| now.since(*at) < CLAIM_TTL);
            now.since(entry.used_at) < ttl || entry.holding != Holding::Whole
        });
    }
}

#[cfg(test)]
mod tests;
