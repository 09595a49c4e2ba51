//! What a host knows of its own reading of the platform's log, topic by topic: when it was last
//! answered, and since when it is not.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::Time;
use crate::gateway::protocol::Topic;

/// The reading of one topic.
#[derive(Debug, Clone, Copy)]
struct TopicReading {
    answered_at: Option<Time>,
    lost_at: Option<Time>,
}

impl Default for TopicReading {
    /// Nothing was read yet: the topic counts as lost since the host's start.
    fn default() -> Self {
        TopicReading {
            answered_at: None,
            lost_at: Some(Time::ZERO),
        }
    }
}

/// The reading of all topics.
#[derive(Debug, Default)]
pub(crate) struct ReadingBoard {
    topics: BTreeMap<Topic, TopicReading>,
}

impl ReadingBoard {
    /// The log answered a read of a topic. Tells for how long it had not, if it was lost.
    pub(crate) fn answered(&mut self, now: Time, topic: Topic) -> Option<Duration> {
        let reading = self.topics.entry(topic).or_default();
        reading.answered_at = Some(now);
        reading.lost_at.take().map(|lost_at| now.since(lost_at))
    }

    /// A read of a topic came to nothing. True if the topic could be read before.
    pub(crate) fn failed(&mut self, now: Time, topic: Topic) -> bool {
        let reading = self.topics.entry(topic).or_default();
        let is_news = reading.lost_at.is_none();
        reading.lost_at.get_or_insert(now);
        is_news
    }

    /// Time since the log last answered a read of a topic; none if it never did.
    pub(crate) fn age(&self, now: Time, topic: Topic) -> Option<Duration> {
        let answered_at = self.topics.get(&topic)?.answered_at?;
        Some(now.since(answered_at))
    }
}
