//! How a host reads the topics of the platform's log, and how far it trusts its own reads.
//!
//! A read waits at the log for news. One that is never answered looks the same as one for which there
//! is no news: its connection stays open, and the log's side acknowledges bytes. So the wait is bound
//! by how stale a host may be, the answer has to come shortly after it, and a host says that it reads
//! a topic only while its last answer is no older than that.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::Time;
use crate::gateway::protocol::Topic;

/// Part of the bound on staleness for which a read waits whose host reads for itself alone: with
/// [`ANSWER_SLACK_MIN`] and one connection to the log (0.4 s) it ends within the bound of two seconds.
const WAIT_SHARE_HOST: f64 = 0.6;
/// The same of a host on whose reading others rely. The rest of the bound is for another host to
/// notice, to read in its place, and for all to fetch what it read.
const WAIT_SHARE_FLEET: f64 = 0.25;
/// An answer comes at least within this time after its wait: the log's own time is some ms, and 0.24 s
/// where it was slow.
const ANSWER_SLACK_MIN: Duration = Duration::from_millis(400);
/// The longest such time; a read that was lost just before the log's return is given up after it.
const ANSWER_SLACK_MAX: Duration = Duration::from_millis(1_200);
/// An answer may come so many times later than the latest one before.
const ANSWER_SLACK_FACTOR: u32 = 3;
/// Part of the latest delay that is remembered with each answer.
const DELAY_DECAY: f64 = 0.9;
/// Between an answer and the next read, on a host of a tenth of a core.
const READ_GAP_MAX: Duration = Duration::from_millis(200);

/// For whom a host reads.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ReadScope {
    /// Each host reads for itself.
    Host,
    /// A few hosts read for all.
    Fleet,
}

/// How long a read waits at the log for news, if a host may be stale for `staleness_max`.
pub(crate) fn poll_wait(staleness_max: Duration, scope: ReadScope) -> Duration {
    staleness_max.mul_f64(match scope {
        ReadScope::Host => WAIT_SHARE_HOST,
        ReadScope::Fleet => WAIT_SHARE_FLEET,
    })
}

/// The reading of one topic.
#[derive(Debug, Clone, Copy)]
struct TopicReads {
    answered_at: Option<Time>,
    unreachable_since: Option<Time>,
    /// The latest that an answer came after its wait, of late.
    delay_max: Duration,
    /// Reads in a row that came to nothing.
    failures: u32,
}

impl Default for TopicReads {
    /// Nothing was read yet: the topic counts as lost since the host's start.
    fn default() -> Self {
        TopicReads {
            answered_at: None,
            unreachable_since: Some(Time::ZERO),
            delay_max: Duration::ZERO,
            failures: 0,
        }
    }
}

impl TopicReads {
    fn answer_slack(&self) -> Duration {
        let by_delay = self.delay_max * ANSWER_SLACK_FACTOR;
        let doubled = ANSWER_SLACK_MIN * 2_u32.saturating_pow(self.failures.min(4));
        by_delay
            .max(doubled)
            .clamp(ANSWER_SLACK_MIN, ANSWER_SLACK_MAX)
    }
}

/// The reading of all topics.
#[derive(Debug, Default)]
pub(crate) struct LogReads {
    topics: BTreeMap<Topic, TopicReads>,
}

impl LogReads {
    fn topic(&self, topic: Topic) -> TopicReads {
        self.topics.get(&topic).copied().unwrap_or_default()
    }

    /// The log answered a read of a topic, `delay` after the wait that was asked for. Tells for how
    /// long it had not answered, if the topic was lost.
    pub(crate) fn record_answer(
        &mut self,
        now: Time,
        topic: Topic,
        delay: Duration,
    ) -> Option<Duration> {
        let reads = self.topics.entry(topic).or_default();
        reads.answered_at = Some(now);
        reads.failures = 0;
        reads.delay_max = reads.delay_max.mul_f64(DELAY_DECAY).max(delay);
        reads
            .unreachable_since
            .take()
            .map(|unreachable_since| now.since(unreachable_since))
    }

    /// More of an answer to a read of a topic has arrived.
    pub(crate) fn record_progress(&mut self, now: Time, topic: Topic) {
        if let Some(reads) = self.topics.get_mut(&topic)
            && reads.unreachable_since.is_none()
        {
            reads.answered_at = Some(now);
        }
    }

    /// A read of a topic came to nothing. True if the topic could be read before.
    pub(crate) fn record_failure(&mut self, now: Time, topic: Topic) -> bool {
        let reads = self.topics.entry(topic).or_default();
        let was_reachable = reads.unreachable_since.is_none();
        reads.unreachable_since.get_or_insert(now);
        reads.failures += 1;
        was_reachable
    }

    /// Nothing that was read counts any more, as after the host was suspended.
    pub(crate) fn mark_all_unreachable(&mut self, now: Time) {
        for reads in self.topics.values_mut() {
            reads.unreachable_since.get_or_insert(now);
        }
    }

    /// Whether the last read of a topic came to nothing, or none was answered yet.
    pub(crate) fn is_unreachable(&self, topic: Topic) -> bool {
        self.topic(topic).unreachable_since.is_some()
    }

    /// How long after its wait an answer may come.
    pub(crate) fn answer_slack(&self, topic: Topic) -> Duration {
        self.topic(topic).answer_slack()
    }

    /// Whether reads of a topic that wait for `wait` are being answered.
    pub(crate) fn is_answered(&self, now: Time, topic: Topic, wait: Duration) -> bool {
        let reads = self.topic(topic);
        let ttl = wait + reads.answer_slack() + READ_GAP_MAX;
        let is_fresh = reads
            .answered_at
            .is_some_and(|answered_at| now.since(answered_at) <= ttl);
        is_fresh && reads.unreachable_since.is_none()
    }

    /// Time since the log last answered a read of a topic; none if it never did.
    pub(crate) fn age(&self, now: Time, topic: Topic) -> Option<Duration> {
        let answered_at = self.topic(topic).answered_at?;
        Some(now.since(answered_at))
    }
}

#[cfg(test)]
mod tests;
