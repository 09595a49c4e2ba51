//! Who reads the platform's log, and whether what changes there reaches this host.

use std::sync::atomic::Ordering;
use std::time::Duration;

use super::Shared;
use super::locked;
use crate::event::EventCode;
use crate::gateway::datagram::Reading;
use crate::gateway::protocol::Topic;

impl Shared {
    /// Whether the last call to the platform's log failed.
    pub fn is_log_away(&self) -> bool {
        self.0.log_away.load(Ordering::Relaxed)
    }

    /// Whether this host shall follow a topic of the log.
    pub fn is_reader(&self, topic: Topic) -> bool {
        let now = self.now();
        let settings = self.settings();
        self.peers(|peers| peers.is_reader(now, &settings.host, &settings.data_centre, topic))
    }

    /// Whether this host is one of those that look for a log that is away.
    pub fn is_lookout(&self) -> bool {
        let now = self.now();
        let settings = self.settings();
        self.peers(|peers| peers.is_lookout(now, &settings.host, &settings.data_centre))
    }

    /// Whether this host follows a topic of the log and reaches it.
    pub fn is_reading(&self, topic: Topic) -> bool {
        !self.is_log_away() && self.is_reader(topic)
    }

    /// What this host reads of the log, for its peers.
    pub fn reading(&self) -> Reading {
        Reading {
            operator: self.is_reading(Topic::Operator),
            upstreams: self.is_reading(Topic::Upstreams),
        }
    }

    /// Whether what changes in a topic of the log reaches this host: it reads the topic itself, or
    /// heard a host that does a moment ago.
    pub fn hears_log(&self, topic: Topic) -> bool {
        let now = self.now();
        self.is_reading(topic) || self.peers(|peers| peers.hears_reader(now, topic))
    }

    /// Whether the configuration that this host believes to be in force may be stale.
    pub fn may_be_stale(&self) -> bool {
        !self.hears_log(Topic::Operator)
    }

    /// The log answered a read of a topic.
    pub(crate) fn log_answered(&self, topic: Topic) {
        let now = self.now();
        if self.0.log_away.swap(false, Ordering::Relaxed) {
            self.directory(|directory| directory.log_back(now));
        }
        let Some(away) = locked(&self.0.reading).answered(now, topic) else {
            return;
        };
        let line = self.log().line(EventCode::ConfigLogReachable);
        line.with("topic", topic.name())
            .with("away_ms", away.as_millis() as u64)
            .with("version", self.config_version())
            .write();
    }

    /// A read of a topic that took `waited` came to nothing.
    pub(crate) fn log_failed(&self, topic: Topic, waited: Duration, reason: &str) {
        let now = self.now();
        if !self.0.log_away.swap(true, Ordering::Relaxed) {
            self.directory(|directory| directory.log_lost());
        }
        let (is_news, age) = {
            let mut reading = locked(&self.0.reading);
            (reading.failed(now, topic), reading.age(now, topic))
        };
        if !is_news {
            return;
        }
        let line = self.log().line(EventCode::ConfigLogUnreachable);
        line.with("topic", topic.name())
            .with("reason", reason)
            .with("waited_ms", waited.as_millis() as u64)
            .with_some("answered_ms_ago", age.map(|age| age.as_millis() as u64))
            .with("version", self.config_version())
            .write();
    }

    /// Time since the log last answered a read of a topic.
    pub(crate) fn log_age(&self, topic: Topic) -> Option<Duration> {
        locked(&self.0.reading).age(self.now(), topic)
    }
}
