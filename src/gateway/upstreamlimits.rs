//! Rates that upstreams name in their answers, for all hosts together: of requests that an overloaded upstream
//! takes, and of requests that a brittle one bears to turn away ([`crate::gateway::brittle`]).
//!
//! As many hosts of the upstream's data centre share its limit as it takes requests a second, or all of
//! them if there are fewer ([`Sender`]); the other hosts send elsewhere. A host sends at its share of the
//! rate with at most one request in advance, so together the hosts exceed the limit by at most one second's
//! requests, in any time span. If no host of the upstream's data centre is live, those of one other data
//! centre take their place.
//!
//! Hosts tell each other of limits: one that hasn't had an answer yet would send at its full rate, and one
//! that may not send would never learn that a limit has ended.

use std::collections::HashMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::clock::Time;
use crate::gateway::instance::InstanceId;
use crate::gateway::instance::InstanceKey;
use crate::gateway::rendezvous;
use crate::gateway::senders::Sender;
use crate::id::DataCentre;

/// Shortest time after its last mention for which a limit is believed to hold.
const LIMIT_TTL_MIN: Duration = Duration::from_secs(10);
/// Longest time for which it is believed to hold. Each host draws its own, so that the first one that tries
/// the upstream again tells the others whether the limit has ended.
const LIMIT_TTL_MAX: Duration = Duration::from_secs(20);
/// Smallest share by which a limit has to differ from the one before to count as changed.
const CHANGE_SHARE_MIN: f64 = 0.1;
/// Time for which a mention is announced, and for which the end of a limit is remembered.
const ANNOUNCEMENT_TTL: Duration = Duration::from_secs(4);
/// Limits in one datagram.
const ANNOUNCED_MAX: usize = 16;
/// A limit ends with an answer that doesn't name it, given at least this long after the last one that did.
/// Answers overtake each other, and ages of announcements don't include the time that they travel.
const LIFT_MARGIN: Duration = Duration::from_secs(1);

/// What a named rate bounds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Bound {
    /// Requests that the upstream takes.
    Requests,
    /// Requests that it bears to turn away.
    Rejections,
}

impl Bound {
    /// The name in log entries.
    pub(crate) const fn name(self) -> &'static str {
        match self {
            Bound::Requests => "requests",
            Bound::Rejections => "rejections",
        }
    }
}

/// The last mention of an upstream's limit, or of its end, as hosts announce it to each other.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct AnnouncedLimit {
    /// The upstream.
    pub upstream: InstanceKey,
    /// What the limit bounds.
    pub bound: Bound,
    /// The limit a second for all hosts together; `None` if it no longer names one.
    pub per_s: Option<f64>,
    /// Time since the answer that told so, in milliseconds.
    pub age_ms: u32,
    /// Whether the answer went to another host than the sender.
    pub is_relayed: bool,
}

/// How an observation changes what is believed of an upstream's limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LimitChange {
    /// The upstream names a limit and named none before.
    Named,
    /// The upstream names another limit than before.
    Changed,
    /// The upstream no longer names a limit.
    Lifted,
}

impl LimitChange {
    /// The name in log entries.
    pub(crate) const fn name(self) -> &'static str {
        match self {
            LimitChange::Named => "named",
            LimitChange::Changed => "changed",
            LimitChange::Lifted => "lifted",
        }
    }

    fn between(before: Option<f64>, after: Option<f64>) -> Option<Self> {
        match (before, after) {
            (None, Some(_)) => Some(LimitChange::Named),
            (Some(_), None) => Some(LimitChange::Lifted),
            (Some(before), Some(after)) if (after - before).abs() > before * CHANGE_SHARE_MIN => {
                Some(LimitChange::Changed)
            }
            (Some(_), Some(_)) | (None, None) => None,
        }
    }
}

/// From where a host knows of a limit. Only the first two are announced: with each step the age becomes
/// less exact.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Source {
    /// An answer to a request of this host.
    Answer,
    /// The host that got the answer.
    Peer,
    /// A host that was told by that host.
    Relay,
}

/// The last mention of a limit or of its end.
#[derive(Debug, Clone, Copy)]
struct Observation {
    at: Time,
    per_s: Option<f64>,
    source: Source,
}

/// Requests sent in advance of a rate.
#[derive(Debug, Clone, Copy)]
struct Advance {
    at: Time,
    requests: f64,
}

impl Advance {
    fn after(self, now: Time, requests_per_s: f64) -> Self {
        let earned = now.since(self.at).as_secs_f64() * requests_per_s;
        Advance {
            at: now,
            requests: (self.requests - earned).max(0.0),
        }
    }
}

#[derive(Debug)]
struct Entry {
    last: Observation,
    advance: Advance,
}

/// An upstream whose limit is shared.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LimitedUpstream<'a> {
    /// The upstream.
    pub(crate) id: &'a InstanceId,
    /// Its data centre.
    pub(crate) data_centre: &'a DataCentre,
    /// Requests a second that it takes from all hosts together.
    pub(crate) requests_per_s: f64,
}

/// The share of `sender` in the limit of an upstream, in requests a second. `live_data_centres` are those of
/// which hosts are heard.
pub(crate) fn host_rate(
    sender: &Sender<'_>,
    live_data_centres: &[DataCentre],
    upstream: &LimitedUpstream<'_>,
) -> f64 {
    if !is_sending_data_centre(sender.data_centre, live_data_centres, upstream) {
        return 0.0;
    }
    let hosts_max = (upstream.requests_per_s as usize).max(1);
    let hosts = sender.count_sharing(upstream.id, hosts_max);
    hosts.map_or(0.0, |hosts| upstream.requests_per_s / hosts as f64)
}

/// Whether the hosts of data centre `own` share the limit: it is the upstream's, or no host of the upstream's
/// is live and `own` ranks first among the others.
fn is_sending_data_centre(
    own: &DataCentre,
    live: &[DataCentre],
    upstream: &LimitedUpstream<'_>,
) -> bool {
    if own == upstream.data_centre {
        return true;
    }
    let others = live.iter().map(DataCentre::as_str);
    !live.contains(upstream.data_centre)
        && rendezvous::is_first(own.as_str(), others, upstream.id.as_str())
}

/// The limits of one kind of all upstreams that name one, and the use that this host makes of its shares.
#[derive(Debug)]
pub(crate) struct UpstreamLimits {
    bound: Bound,
    entries: HashMap<InstanceKey, Entry>,
    ttl: Duration,
}

impl UpstreamLimits {
    /// Knows no limits yet. `draw` is a random number from 0 to 1.
    pub(crate) fn new(bound: Bound, draw: f64) -> Self {
        UpstreamLimits {
            bound,
            entries: HashMap::new(),
            ttl: LIMIT_TTL_MIN + (LIMIT_TTL_MAX - LIMIT_TTL_MIN).mul_f64(draw),
        }
    }

    /// Records the limit that an answer names, if any. Returns the change, if it is one.
    pub(crate) fn record_answer(
        &mut self,
        now: Time,
        upstream: InstanceKey,
        per_s: Option<f64>,
    ) -> Option<LimitChange> {
        let observation = Observation {
            at: now,
            per_s,
            source: Source::Answer,
        };
        self.apply(upstream, observation)
    }

    /// Applies what another host announces, unless this host knows something newer.
    pub(crate) fn receive(&mut self, now: Time, announced: &AnnouncedLimit) -> Option<LimitChange> {
        let age = Duration::from_millis(announced.age_ms.into());
        let age_us = u64::from(announced.age_ms) * 1_000;
        let observation = Observation {
            at: Time::from_us(now.as_us().saturating_sub(age_us)),
            per_s: announced.per_s,
            source: match announced.is_relayed {
                false => Source::Peer,
                true => Source::Relay,
            },
        };
        let known = self.entries.get(&announced.upstream);
        let is_newer = known.is_none_or(|known| observation.at > known.last.at);
        match is_newer && age < self.ttl {
            true => self.apply(announced.upstream, observation),
            false => None,
        }
    }

    /// Applies an observation that isn't older than the last one.
    fn apply(&mut self, upstream: InstanceKey, observation: Observation) -> Option<LimitChange> {
        match self.entries.get_mut(&upstream) {
            Some(entry) => {
                let before = entry.last;
                let change = LimitChange::between(before.per_s, observation.per_s);
                let is_recent = observation.at.since(before.at) < LIFT_MARGIN;
                if change == Some(LimitChange::Lifted) && is_recent {
                    return None;
                }
                entry.last = observation;
                change
            }
            None => {
                observation.per_s?;
                let entry = Entry {
                    last: observation,
                    advance: Advance {
                        at: observation.at,
                        requests: 0.0,
                    },
                };
                self.entries.insert(upstream, entry);
                Some(LimitChange::Named)
            }
        }
    }

    /// The newest mentions in answers to this host, for the other hosts of its data centre.
    pub(crate) fn announce_host(&self, now: Time) -> Vec<AnnouncedLimit> {
        self.announce(now, |source| source == Source::Answer)
    }

    /// The newest mentions that the hosts of this data centre got, for other data centres.
    pub(crate) fn announce_data_centre(&self, now: Time) -> Vec<AnnouncedLimit> {
        self.announce(now, |source| source != Source::Relay)
    }

    fn announce(&self, now: Time, includes: impl Fn(Source) -> bool) -> Vec<AnnouncedLimit> {
        let entries = self.entries.iter();
        let mut recent: Vec<(&InstanceKey, &Observation)> = entries
            .map(|(upstream, entry)| (upstream, &entry.last))
            .filter(|(_, last)| includes(last.source))
            .filter(|(_, last)| now.since(last.at) < ANNOUNCEMENT_TTL)
            .collect();
        recent.sort_by_key(|(upstream, last)| (std::cmp::Reverse(last.at), **upstream));
        recent.truncate(ANNOUNCED_MAX);
        let announced = recent.into_iter().map(|(upstream, last)| AnnouncedLimit {
            upstream: *upstream,
            bound: self.bound,
            per_s: last.per_s,
            age_ms: u32::try_from(now.since(last.at).as_millis()).unwrap_or(u32::MAX),
            is_relayed: last.source != Source::Answer,
        });
        announced.collect()
    }

    /// The limit a second that an upstream names for all hosts together, if it names one.
    pub(crate) fn get(&self, upstream: InstanceKey) -> Option<f64> {
        self.entries.get(&upstream)?.last.per_s
    }

    /// Time until this host may send to a limited upstream at a rate of `host_per_s`; zero if it may now, and
    /// `None` if it has no share.
    pub(crate) fn wait(
        &self,
        now: Time,
        upstream: InstanceKey,
        host_per_s: f64,
    ) -> Option<Duration> {
        if host_per_s <= 0.0 {
            return None;
        }
        let entry = self.entries.get(&upstream);
        let advance = entry.map(|entry| entry.advance.after(now, host_per_s));
        let seconds = advance.map_or(0.0, |advance| advance.requests / host_per_s);
        Some(Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX))
    }

    /// Counts a request sent to a limited upstream by a host with a share of `host_per_s`.
    pub(crate) fn spend(&mut self, now: Time, upstream: InstanceKey, host_per_s: f64) {
        if let Some(entry) = self.entries.get_mut(&upstream) {
            entry.advance = entry.advance.after(now, host_per_s);
            entry.advance.requests += 1.0;
        }
    }

    /// Number of upstreams that name a limit.
    pub(crate) fn count(&self) -> usize {
        let limits = self.entries.values();
        limits.filter(|entry| entry.last.per_s.is_some()).count()
    }

    /// Whether no upstream names a limit, so that callers can skip the look-ups.
    pub(crate) fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Forgets limits that were not mentioned for long, and those that ended some time ago.
    pub(crate) fn expire(&mut self, now: Time) {
        let ttl = self.ttl;
        self.entries.retain(|_, entry| {
            let ttl = match entry.last.per_s {
                Some(_) => ttl,
                None => ANNOUNCEMENT_TTL,
            };
            now.since(entry.last.at) < ttl
        });
    }
}

#[cfg(test)]
mod tests;
