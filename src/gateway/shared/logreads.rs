//! Which hosts read the platform's log, and whether its changes reach this host.

use std::time::Duration;

use super::Shared;
use super::lock;
use crate::clock::Time;
use crate::event::EventCode;
use crate::gateway::datagram::Topics;
use crate::gateway::logreads;
use crate::gateway::logreads::ReadScope;
use crate::gateway::protocol::Topic;

/// A list of upstreams that no host has read for longer than this may lack upstreams whose entries lapsed meanwhile.
/// The platform removes entries after a silence of more than three seconds.
const UNCONFIRMED_MAX: Duration = Duration::from_secs(3);

impl Shared {
    /// Whether this host's last read of a topic failed, or none has succeeded yet.
    pub fn is_log_unreachable(&self, topic: Topic) -> bool {
        lock(&self.0.log_reads).is_unreachable(topic)
    }

    /// Whether this host is one of the readers of a topic of the log.
    pub fn is_reader(&self, topic: Topic) -> bool {
        let now = self.now();
        let settings = self.settings();
        self.peers(|peers| peers.is_reader(now, &settings.host, &settings.data_centre, topic))
    }

    /// Whether this host is one of those that probe an unreachable log for its return.
    pub fn is_log_prober(&self) -> bool {
        let now = self.now();
        let settings = self.settings();
        self.peers(|peers| peers.is_log_prober(now, &settings.host, &settings.data_centre))
    }

    /// Whether this host is a reader of a topic of the log and its reads are answered.
    pub fn is_reading(&self, topic: Topic) -> bool {
        let now = self.now();
        let wait = self.poll_wait();
        lock(&self.0.log_reads).is_answered(now, topic, wait) && self.is_reader(topic)
    }

    /// The topics that this host reads, as announced to peers.
    pub fn read_topics(&self) -> Topics {
        Topics {
            operator: self.is_reading(Topic::Operator),
            upstreams: self.is_reading(Topic::Upstreams),
        }
    }

    /// The topics that this host should read and can't, as announced to peers.
    pub fn unreadable_topics(&self) -> Topics {
        let is_unreadable = |topic| self.is_log_unreachable(topic) && self.is_reader(topic);
        Topics {
            operator: is_unreadable(Topic::Operator),
            upstreams: is_unreadable(Topic::Upstreams),
        }
    }

    /// Whether changes in a topic of the log reach this host: it reads the topic itself, or has recently
    /// received a datagram from a host that does.
    pub fn follows_topic(&self, topic: Topic) -> bool {
        self.is_reading(topic) || self.has_live_reader(topic)
    }

    /// Whether this host has recently received a datagram from a reader of a topic of the log.
    pub(crate) fn has_live_reader(&self, topic: Topic) -> bool {
        let now = self.now();
        self.peers(|peers| peers.has_live_reader(now, topic))
    }

    /// Whether this host reads the log on behalf of other hosts.
    pub(crate) fn reads_for_others(&self) -> bool {
        let reading = self.read_topics();
        self.read_scope() == ReadScope::Fleet && (reading.operator || reading.upstreams)
    }

    /// Interval between the datagrams of a host that reads the log for others.
    pub(crate) fn reader_interval(&self) -> Duration {
        let now = self.now();
        self.peers(|peers| peers.reader_interval(now))
    }

    /// Whether this host relies on others to read a topic.
    pub(crate) fn delegates_reading(&self, topic: Topic) -> bool {
        let now = self.now();
        !self.is_reader(topic)
            && !self.is_overdue(topic)
            && self.peers(|peers| peers.awaits_reader(now, topic))
    }

    /// Whether the active configuration may be stale.
    pub fn may_be_stale(&self) -> bool {
        !self.follows_topic(Topic::Operator) || self.is_behind()
    }

    fn read_scope(&self) -> ReadScope {
        match self.is_small_fleet() {
            true => ReadScope::Host,
            false => ReadScope::Fleet,
        }
    }

    /// How long this host's reads wait at the log for new records (long polling).
    fn poll_wait(&self) -> Duration {
        logreads::poll_wait(self.settings().staleness_max, self.read_scope())
    }

    /// How long the next read of a topic waits at the log. It doesn't wait while the topic is unreachable, so
    /// that the first answer shows at once that it is back.
    pub(crate) fn next_poll_wait(&self, topic: Topic) -> Duration {
        match self.is_log_unreachable(topic) {
            true => Duration::ZERO,
            false => self.poll_wait(),
        }
    }

    /// How long after the end of its wait a read of a topic may still be answered.
    pub(crate) fn answer_slack(&self, topic: Topic) -> Duration {
        lock(&self.0.log_reads).answer_slack(topic)
    }

    /// Records that the log answered a read of a topic, `delay` after the end of the requested wait.
    pub(crate) fn record_log_answer(&self, topic: Topic, delay: Duration) {
        let now = self.now();
        let outage = lock(&self.0.log_reads).record_answer(now, topic, delay);
        let gap = match topic {
            Topic::Upstreams => self.mark_upstreams_read(now, outage.is_some()),
            Topic::Operator | Topic::Hosts | Topic::Suspects | Topic::Status => None,
        };
        let Some(outage) = outage.or(gap) else {
            return;
        };
        let line = self.log().entry(EventCode::ConfigLogReachable);
        line.with("topic", topic.name())
            .with("away_ms", outage.as_millis() as u64)
            .with("version", self.config_version())
            .write();
        self.announce_now();
    }

    /// Tells the directory that the list of upstreams was read. Returns for how long no host had read it, if that was
    /// longer than it takes to replace a reader.
    fn mark_upstreams_read(&self, now: Time, was_unreachable: bool) -> Option<Duration> {
        let handover = self.peers(|peers| peers.reader_timeout(now)) * 2;
        self.directory(|directory| {
            if was_unreachable {
                directory.mark_log_reachable(now);
            }
            directory.confirm_by_read(now, handover.max(UNCONFIRMED_MAX))
        })
    }

    /// Records that another part of the log's answer to a read of a topic has arrived.
    pub(crate) fn record_log_progress(&self, topic: Topic) {
        lock(&self.0.log_reads).record_progress(self.now(), topic);
    }

    /// Records that a read of a topic failed after `waited`.
    pub(crate) fn record_log_failure(&self, topic: Topic, waited: Duration, reason: &str) {
        let now = self.now();
        let (was_reachable, age) = {
            let mut reading = lock(&self.0.log_reads);
            (reading.record_failure(now, topic), reading.age(now, topic))
        };
        if topic == Topic::Upstreams {
            self.directory(|directory| directory.mark_log_unreachable());
        }
        if !was_reachable {
            return;
        }
        let line = self.log().entry(EventCode::ConfigLogUnreachable);
        line.with("topic", topic.name())
            .with("reason", reason)
            .with("waited_ms", waited.as_millis() as u64)
            .with_some("answered_ms_ago", age.map(|age| age.as_millis() as u64))
            .with("version", self.config_version())
            .write();
        // Another host takes over the reading as soon as it receives this announcement.
        self.announce_now();
    }

    /// Time since the log last answered a read of a topic.
    pub(crate) fn log_age(&self, topic: Topic) -> Option<Duration> {
        lock(&self.0.log_reads).age(self.now(), topic)
    }
}
