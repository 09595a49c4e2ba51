//! Detection of suspensions of this host, and what they invalidate.

use std::time::Duration;

use tokio::sync::watch;

use super::Shared;
use super::lock;
use crate::clock::SystemClock;
use crate::clock::Time;
use crate::event::EventCode;
use crate::gateway::peers::Fetch;
use crate::gateway::protocol::Topic;
use crate::telemetry;
use crate::telemetry::Metric;

/// Datagrams that arrived during a suspension are read within this time after its end. They
/// date from before, so they don't confirm what this host knows.
const STALE_DATAGRAM_WINDOW: Duration = Duration::from_millis(50);

impl Shared {
    /// The clock whose time includes suspensions.
    pub(crate) fn clock(&self) -> SystemClock {
        self.0.clock
    }

    /// Checks whether the host was suspended since the last check. If so, all topics of the log count as
    /// unread, pending reads are abandoned, and tasks that wait for a deadline check the time again.
    pub(crate) fn check_suspension(&self) {
        let clock = self.clock();
        let check = |steady| lock(&self.0.suspension).check(clock.now(), steady);
        let Some(suspended) = check(clock.steady()) else {
            return;
        };
        let now = self.now();
        lock(&self.0.log_reads).mark_all_unreachable(now);
        telemetry::count(Metric::SuspensionsTotal);
        let line = self.log().entry(EventCode::HostSuspended);
        line.with("suspended_ms", suspended.as_millis() as u64)
            .with("in_flight", self.gate().in_flight())
            .write();
        self.0.wakeups.send_modify(|count| *count += 1);
        self.0.directory_changed.send_modify(|count| *count += 1);
        self.announce_now();
    }

    /// Whether the host was suspended recently, and has since neither read the log nor received a datagram
    /// from a host that reads it.
    pub(crate) fn is_resuming(&self) -> bool {
        let now = self.now();
        let Some(resumed_at) = lock(&self.0.suspension).resumed_at(now) else {
            return false;
        };
        let topics = [Topic::Operator, Topic::Upstreams];
        !topics
            .iter()
            .all(|topic| self.is_confirmed(now, *topic, resumed_at))
    }

    fn is_confirmed(&self, now: Time, topic: Topic, resumed_at: Time) -> bool {
        let awake_for = now.since(resumed_at);
        let is_read = !self.is_log_unreachable(topic)
            && self.log_age(topic).is_some_and(|age| age < awake_for);
        let received_within = awake_for.saturating_sub(STALE_DATAGRAM_WINDOW);
        is_read || self.has_caught_up(now, topic, received_within)
    }

    /// Whether a reader of the topic was heard from within this time, and this host has fetched what it
    /// announced.
    fn has_caught_up(&self, now: Time, topic: Topic, window: Duration) -> bool {
        let fetch = match topic {
            Topic::Operator => Fetch::Configuration,
            Topic::Upstreams | Topic::Hosts | Topic::Suspects | Topic::Status => Fetch::Upstreams,
        };
        self.peers(|peers| peers.has_reader_within(now, topic, window) && !peers.is_fetching(fetch))
    }

    /// Duration of the last suspension; zero if there was none.
    pub(crate) fn last_suspension(&self) -> Duration {
        lock(&self.0.suspension).last_suspension()
    }

    /// Notifies when the host resumes after a suspension.
    pub(crate) fn watch_wakeups(&self) -> watch::Receiver<u64> {
        self.0.wakeups.subscribe()
    }

    /// Returns when the host resumes after a suspension during which `deadline` passed. Timers don't count
    /// that time.
    pub(crate) async fn wait_missed_deadline(&self, deadline: Time) {
        let mut wakes = self.watch_wakeups();
        while wakes.changed().await.is_ok() {
            if self.now() >= deadline {
                return;
            }
        }
        // The shared state is being dropped, so nothing waits for this any more.
        std::future::pending().await
    }
}
