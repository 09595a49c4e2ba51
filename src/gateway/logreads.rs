//! Tracks per topic whether the platform's log answers this host's reads.
//!
//! A read is a long poll. One that is never answered can't be told from one without new records: its
//! connection stays open, and the log's side acknowledges bytes. So the wait is bounded by how stale a
//! host may be, the answer has to arrive shortly after the wait, and a host announces that it reads a
//! topic only while its last answer is no older than that.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::Time;
use crate::gateway::protocol::Topic;

/// Share of the staleness bound for which a read waits on a host that reads only for itself. Together with
/// [`ANSWER_SLACK_MIN`] and one connection to the log (0.4 s), a read ends within a bound of 2 s.
const WAIT_SHARE_HOST: f64 = 0.6;
/// Share of the staleness bound for which a read waits on a host that reads for others. The rest is left
/// for another host to detect the failure and read instead, and for all hosts to fetch what it read.
const WAIT_SHARE_FLEET: f64 = 0.25;
/// Lower bound of the time by which an answer may arrive after its wait. The log itself takes a few
/// milliseconds, and 0.24 s when it is slow.
const ANSWER_SLACK_MIN: Duration = Duration::from_millis(400);
/// Upper bound of that time. It limits how long a read that was lost just before the log became reachable
/// again holds up the next one.
const ANSWER_SLACK_MAX: Duration = Duration::from_millis(1_200);
/// An answer may be delayed by this multiple of the largest recent delay.
const ANSWER_SLACK_FACTOR: u32 = 3;
/// Share of the largest recent delay that is kept at each answer.
const DELAY_DECAY: f64 = 0.9;
/// Time between an answer and the next read on a host with a tenth of a core.
const READ_GAP_MAX: Duration = Duration::from_millis(200);

/// Which hosts rely on this host's reads.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ReadScope {
    /// Each host reads for itself.
    Host,
    /// A few hosts read for all.
    Fleet,
}

/// How long a read waits at the log for new records if a host may be stale for `staleness_max`.
pub(crate) fn poll_wait(staleness_max: Duration, scope: ReadScope) -> Duration {
    staleness_max.mul_f64(match scope {
        ReadScope::Host => WAIT_SHARE_HOST,
        ReadScope::Fleet => WAIT_SHARE_FLEET,
    })
}

/// The state of the reads of one topic.
#[derive(Debug, Clone, Copy)]
struct TopicReads {
    answered_at: Option<Time>,
    unreachable_since: Option<Time>,
    /// Largest recent delay of an answer after its wait; it decays with each answer.
    delay_max: Duration,
    /// Consecutive failed reads.
    failures: u32,
}

impl Default for TopicReads {
    /// A topic that was never read counts as unreachable since the host's start.
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

/// The state of the reads of all topics.
#[derive(Debug, Default)]
pub(crate) struct LogReads {
    topics: BTreeMap<Topic, TopicReads>,
}

impl LogReads {
    fn topic(&self, topic: Topic) -> TopicReads {
        self.topics.get(&topic).copied().unwrap_or_default()
    }

    /// Records that the log answered a read of a topic, `delay` after the end of the requested wait. Returns
    /// the length of the outage if the topic was unreachable.
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

    /// Records that another part of the answer to a read of a topic has arrived.
    pub(crate) fn record_progress(&mut self, now: Time, topic: Topic) {
        if let Some(reads) = self.topics.get_mut(&topic)
            && reads.unreachable_since.is_none()
        {
            reads.answered_at = Some(now);
        }
    }

    /// Records that a read of a topic failed. Returns whether the topic was reachable before.
    pub(crate) fn record_failure(&mut self, now: Time, topic: Topic) -> bool {
        let reads = self.topics.entry(topic).or_default();
        let was_reachable = reads.unreachable_since.is_none();
        reads.unreachable_since.get_or_insert(now);
        reads.failures += 1;
        was_reachable
    }

    /// Marks all topics as unreachable, because after a suspension of the host earlier answers don't count.
    pub(crate) fn mark_all_unreachable(&mut self, now: Time) {
        for reads in self.topics.values_mut() {
            reads.unreachable_since.get_or_insert(now);
        }
    }

    /// Whether the last read of a topic failed, or none was answered yet.
    pub(crate) fn is_unreachable(&self, topic: Topic) -> bool {
        self.topic(topic).unreachable_since.is_some()
    }

    /// How long after the end of its wait a read may still be answered.
    pub(crate) fn answer_slack(&self, topic: Topic) -> Duration {
        self.topic(topic).answer_slack()
    }

    /// Whether the last read of a topic was answered, and recently enough for reads that wait for `wait`.
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
