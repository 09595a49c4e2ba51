//! Decides which hosts read the platform's log. Each host decides for itself, by the datagrams that it
//! receives.

use std::time::Duration;

use super::Peers;
use super::Report;
use crate::clock::Time;
use crate::gateway::protocol::Topic;
use crate::id::DataCentre;
use crate::id::HostId;

/// Shortest interval between the datagrams of a host that reads the log for others.
const READER_INTERVAL_MIN: Duration = Duration::from_millis(300);
/// Interval of a reader per receiving host, which bounds what it sends to 500 datagrams a second. When readers
/// sent every 4 ms per host, 1.18 s at 295 hosts, all hosts took them for silent in each round and read the log
/// themselves: 29,385 calls in 61 s, against 10,152 once readers had an interval of their own.
const READER_INTERVAL_PER_HOST: Duration = Duration::from_millis(2);
/// Shortest silence after which a reader is replaced: three of its shortest rounds.
const READER_TIMEOUT_MIN: Duration = Duration::from_millis(1_000);
/// Rounds of silence after which a reader is replaced, where they take longer than [`READER_TIMEOUT_MIN`].
const READER_TIMEOUT_ROUNDS: f64 = 2.5;
/// Multiple of the reader timeout for which hosts that aren't candidates leave reading to the candidates.
const NON_CANDIDATE_WAIT_FACTOR: u32 = 2;
/// Other hosts from which on only readers read the log. With fewer, each host reads it without depending on
/// others, and these calls cost less than 0.5% of what is served.
pub(crate) const READERS_HOSTS_MIN: usize = 12;
/// Hosts of a data centre that probe an unreachable log: one, and another in case the log refuses the first.
const LOG_PROBERS: usize = 2;
/// Hosts of a data centre that try to read the log at the same time while none is answered. If the log
/// refuses a third of the hosts, it refuses all three in 4 cases of 100; one attempt takes 0.4 s or more.
const READER_CANDIDATES: usize = 3;

impl Peers {
    /// Whether this host should read a topic of the log. In a small fleet each host reads for itself.
    ///
    /// In a large one, the operators' topic is read by one host of each data centre, from which the others
    /// fetch it. The upstreams, whose changes are many and small, are read by one host for all data centres.
    /// The reader is the first by name of the hosts that send datagrams and are answered by the log. If none
    /// is answered, the first few hosts of a data centre that haven't reported the topic as unreadable try at
    /// the same time.
    pub fn is_reader(
        &self,
        now: Time,
        host: &HostId,
        data_centre: &DataCentre,
        topic: Topic,
    ) -> bool {
        if self.is_small_fleet(now) {
            return true;
        }
        let timeout = self.reader_timeout(now);
        let is_before =
            |report: &Report| report.host < *host && now.since(report.received_at) < timeout;
        let reads_for_all = |report: &Report| {
            let is_local = report.data_centre == *data_centre;
            (is_local || topic == Topic::Upstreams) && report.reading.contains(topic)
        };
        if self
            .live_readers(now)
            .any(|report| is_before(report) && reads_for_all(report))
        {
            return false;
        }
        let local = self.live_reports_in(now, data_centre);
        let candidates =
            local.filter(|report| is_before(report) && !report.unreadable.contains(topic));
        candidates.take(READER_CANDIDATES).count() < READER_CANDIDATES
    }

    /// Whether a datagram of a reader of the topic has arrived within the reader timeout.
    pub fn has_live_reader(&self, now: Time, topic: Topic) -> bool {
        self.has_reader_within(now, topic, self.reader_timeout(now))
    }

    /// Whether a datagram of a reader of the topic has arrived recently enough that a host which isn't a
    /// candidate waits for the next one.
    pub(crate) fn awaits_reader(&self, now: Time, topic: Topic) -> bool {
        let timeout = self.reader_timeout(now) * NON_CANDIDATE_WAIT_FACTOR;
        self.has_reader_within(now, topic, timeout)
    }

    /// Whether a datagram of a reader of the topic has arrived within this time.
    pub(crate) fn has_reader_within(&self, now: Time, topic: Topic, within: Duration) -> bool {
        self.live_readers(now)
            .any(|report| report.reading.contains(topic) && now.since(report.received_at) < within)
    }

    fn live_readers(&self, now: Time) -> impl Iterator<Item = &Report> {
        let readers = self.readers.iter();
        let reports = readers.filter_map(|address| self.report_of(address));
        reports.filter(move |report| report.is_live(now))
    }

    /// Interval between the datagrams of a host that reads the log for others.
    pub(crate) fn reader_interval(&self, now: Time) -> Duration {
        let hosts = u32::try_from(self.count_live(now)).unwrap_or(u32::MAX);
        READER_INTERVAL_MIN.max(READER_INTERVAL_PER_HOST.saturating_mul(hosts))
    }

    /// Silence after which a reader is replaced.
    pub(crate) fn reader_timeout(&self, now: Time) -> Duration {
        let rounds = self.reader_interval(now).mul_f64(READER_TIMEOUT_ROUNDS);
        READER_TIMEOUT_MIN.max(rounds)
    }

    /// Whether this host is among the first by name of the live hosts of its data centre. These probe an
    /// unreachable log more often than the others, which learn of its return from them. In a small fleet
    /// each host probes for itself.
    pub fn is_log_prober(&self, now: Time, host: &HostId, data_centre: &DataCentre) -> bool {
        if self.is_small_fleet(now) {
            return true;
        }
        let local = self.live_reports_in(now, data_centre);
        let before = local.filter(|report| report.host < *host);
        before.take(LOG_PROBERS).count() < LOG_PROBERS
    }

    /// Whether the fleet is so small that each host reads the log for itself. A host that has just started
    /// receives datagrams of few others, so the counts that these announce are used too. Otherwise hundreds
    /// of hosts that start together would each follow the whole log for seconds: 295 hosts made 7,492 of
    /// 10,152 calls in the first 6 s.
    pub(crate) fn is_small_fleet(&self, now: Time) -> bool {
        let announced = self.with_counts(now, |counts| counts.live_count_max);
        let announced = usize::try_from(announced).unwrap_or(usize::MAX);
        self.count_live(now).max(announced) < READERS_HOSTS_MIN
    }
}
