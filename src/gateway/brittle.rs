//! Upstreams that fall over if they have to turn away more requests a second than they name.
//!
//! How many requests such an upstream lets wait isn't told and may change at any time, so hosts find it out by
//! its rejections. All hosts together have to keep these rare without a message per request. Each host
//! therefore has a window of its own: the requests that it may have unanswered at the upstream. The windows of
//! all hosts together start at about the upstream's slots, shrink by half with each rejection, and grow while
//! there is none. After each rejection a host also pauses, for as long as keeps the rejections of all hosts
//! below [`BUDGET_SHARE`] of what the upstream names. Hosts tell each other of their rejections, and none sends
//! while the recent ones have used up that share.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::clock::Time;
use crate::gateway::instance::InstanceId;
use crate::gateway::instance::InstanceKey;
use crate::gateway::senders::Sender;
use crate::id::HostId;

/// Share of the named rejections a second that the hosts allow themselves. The rest covers hosts that don't
/// know of each other yet, and rejections of requests that were sent before.
const BUDGET_SHARE: f64 = 0.7;
/// Hosts that may send at the same time, as a multiple of the upstream's slots. With one request each they fill
/// the slots and wait for little.
const SENDERS_PER_SLOT: f64 = 1.5;
/// Time without a rejection after which a window grows by one request.
const GROWTH_INTERVAL: Duration = Duration::from_secs(2);
/// Shortest time for which a rejection counts.
const REJECTION_TTL_MIN: Duration = Duration::from_secs(1);
/// Longest time for which a rejection counts. Each host draws its own, or all of them would go on at once.
const REJECTION_TTL_MAX: Duration = Duration::from_secs(2);
/// Time for which a rejection is announced: several rounds of datagrams.
const ANNOUNCEMENT_TTL: Duration = Duration::from_secs(2);
/// Upstreams with rejections in one datagram.
const ANNOUNCED_MAX: usize = 16;
/// Longest pause after rejections. An upstream that names almost none is probed at least this often.
const PAUSE_MAX: Duration = Duration::from_secs(10);
/// Time without a rejection or a request after which an upstream's window is forgotten.
const TTL: Duration = Duration::from_secs(60);

/// This host's part in what a brittle upstream takes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Share {
    /// Number of hosts that send to the upstream.
    pub(crate) hosts: usize,
    /// Unanswered requests with which this host begins.
    pub(crate) requests: u32,
}

impl Share {
    /// The share of `sender` in an upstream with `slots`; `None` if other hosts send to it.
    pub(crate) fn of(sender: &Sender<'_>, upstream: &InstanceId, slots: u32) -> Option<Self> {
        let hosts_max = (f64::from(slots) * SENDERS_PER_SLOT) as usize;
        let hosts = sender.count_sharing(upstream, hosts_max.max(1))?;
        let each = slots.div_ceil(u32::try_from(hosts).unwrap_or(u32::MAX).max(1));
        Some(Share {
            hosts,
            requests: each.max(1),
        })
    }

    /// Pause of a host after a rejection by an upstream that bears `rejections_per_s`.
    fn pause(self, rejections_per_s: f64) -> Duration {
        let seconds = self.hosts as f64 / (rejections_per_s * BUDGET_SHARE);
        Duration::try_from_secs_f64(seconds).map_or(PAUSE_MAX, |pause| pause.min(PAUSE_MAX))
    }
}

/// What a host may send to one upstream.
#[derive(Debug, Clone, Copy)]
struct Window {
    /// Requests that may be unanswered at the same time.
    requests: u32,
    /// When a rejection or growth last changed it.
    changed_at: Time,
    paused_until: Time,
    /// Rejections since the window began.
    rejections: u32,
}

impl Window {
    /// The window at `now`: it has grown since the last change, up to its share.
    fn grown(self, now: Time, share: Share) -> u32 {
        let intervals = now.since(self.changed_at).as_secs_f64() / GROWTH_INTERVAL.as_secs_f64();
        let requests = self.requests.saturating_add(intervals as u32);
        requests.min(share.requests)
    }
}

/// Rejections of a host's requests by one upstream, as hosts announce them while there are recent ones.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnnouncedRejections {
    /// The upstream.
    pub upstream: InstanceKey,
    /// How many requests of the sender it has turned away since the sender knows it.
    pub total: u32,
}

/// The windows of this host at upstreams that have rejected a request of it, and the recent rejections of all hosts.
#[derive(Debug)]
pub(crate) struct BrittleUpstreams {
    rejection_ttl: Duration,
    windows: HashMap<InstanceKey, Window>,
    /// Recent rejections of all hosts, and how many came at a time.
    recent: VecDeque<(Time, InstanceKey, u32)>,
    /// What each other host announced last.
    told: HashMap<(InstanceKey, HostId), (Time, u32)>,
    /// Requests without a response, at all upstreams.
    unanswered: HashMap<InstanceKey, u32>,
}

impl BrittleUpstreams {
    /// Knows no rejections yet. `draw` is a random number from 0 to 1.
    pub(crate) fn new(draw: f64) -> Self {
        BrittleUpstreams {
            rejection_ttl: REJECTION_TTL_MIN
                + (REJECTION_TTL_MAX - REJECTION_TTL_MIN).mul_f64(draw),
            windows: HashMap::new(),
            recent: VecDeque::new(),
            told: HashMap::new(),
            unanswered: HashMap::new(),
        }
    }

    /// Records that a request is sent.
    pub(crate) fn begin(&mut self, upstream: InstanceKey) {
        *self.unanswered.entry(upstream).or_default() += 1;
    }

    /// Records that a request has got a response, or has ended without one.
    pub(crate) fn end(&mut self, upstream: InstanceKey) {
        if let Some(unanswered) = self.unanswered.get_mut(&upstream) {
            *unanswered = unanswered.saturating_sub(1);
            if *unanswered == 0 {
                self.unanswered.remove(&upstream);
            }
        }
    }

    /// Records that an upstream that bears `rejections_per_s` has turned a request away for want of room. Returns
    /// the window that is left and the pause.
    pub(crate) fn record_rejection(
        &mut self,
        now: Time,
        upstream: InstanceKey,
        share: Share,
        rejections_per_s: f64,
    ) -> (u32, Duration) {
        self.recent.push_back((now, upstream, 1));
        let before = self.windows.get(&upstream).copied();
        let requests = before.map_or(share.requests, |window| window.grown(now, share));
        let paused_until = before.map_or(now, |window| window.paused_until.max(now));
        let latest = now + PAUSE_MAX;
        let window = Window {
            requests: (requests / 2).max(1),
            changed_at: now,
            paused_until: (paused_until + share.pause(rejections_per_s)).min(latest),
            rejections: before.map_or(1, |window| window.rejections.saturating_add(1)),
        };
        self.windows.insert(upstream, window);
        (window.requests, window.paused_until.since(now))
    }

    /// Time until this host may send one more request to an upstream that bears `rejections_per_s`, as far as it is
    /// known: zero if it may now, and `None` if a request of it has to be answered first.
    pub(crate) fn wait(
        &self,
        now: Time,
        upstream: InstanceKey,
        share: Share,
        rejections_per_s: f64,
    ) -> Option<Duration> {
        let window = self.windows.get(&upstream);
        let pause = window.map_or(Duration::ZERO, |window| window.paused_until.since(now));
        if !pause.is_zero() {
            return Some(pause);
        }
        let budget = (rejections_per_s * BUDGET_SHARE).max(1.0);
        if f64::from(self.recent_rejections(now, upstream)) >= budget {
            return Some(REJECTION_TTL_MIN);
        }
        let requests = window.map_or(share.requests, |window| window.grown(now, share));
        let unanswered = self.unanswered.get(&upstream).copied().unwrap_or(0);
        (unanswered < requests).then_some(Duration::ZERO)
    }

    /// Rejections by an upstream that still count, of all hosts.
    fn recent_rejections(&self, now: Time, upstream: InstanceKey) -> u32 {
        let recent = self
            .recent
            .iter()
            .filter(|(at, key, _)| *key == upstream && now.since(*at) < self.rejection_ttl);
        recent.map(|(_, _, count)| *count).sum()
    }

    /// Applies the rejections that another host announces. Of one that is heard first, the last rejection is recent.
    pub(crate) fn receive(&mut self, now: Time, host: &HostId, announced: &[AnnouncedRejections]) {
        for rejections in announced {
            let told_by = (rejections.upstream, host.clone());
            let before = self.told.insert(told_by, (now, rejections.total));
            let new = match before {
                Some((_, before)) if before <= rejections.total => rejections.total - before,
                Some(_) | None => 1,
            };
            if new > 0 {
                self.recent.push_back((now, rejections.upstream, new));
            }
        }
    }

    /// This host's own rejections, for the others.
    pub(crate) fn announce(&self, now: Time) -> Vec<AnnouncedRejections> {
        let windows = self.windows.iter();
        let recent = windows.filter(|(_, window)| now.since(window.changed_at) < ANNOUNCEMENT_TTL);
        let announced = recent.map(|(upstream, window)| AnnouncedRejections {
            upstream: *upstream,
            total: window.rejections,
        });
        announced.take(ANNOUNCED_MAX).collect()
    }

    /// Forgets rejections that no longer count, and windows that have long been unused.
    pub(crate) fn expire(&mut self, now: Time) {
        let ttl = self.rejection_ttl;
        self.recent.retain(|(at, _, _)| now.since(*at) < ttl);
        self.told.retain(|_, (at, _)| now.since(*at) < TTL);
        self.windows
            .retain(|_, window| now.since(window.changed_at) < TTL);
    }
}

#[cfg(test)]
mod tests;
