//! Who reads the platform's log, as each host decides for itself from whom it hears.

use std::time::Duration;

use super::Peers;
use super::Report;
use crate::clock::Time;
use crate::gateway::protocol::Topic;
use crate::id::DataCentre;
use crate::id::HostId;

/// Hosts that read the log for others send to them at least this often.
const READER_INTERVAL_MIN: Duration = Duration::from_millis(300);
/// and wait so much longer for each host, so that they send 500 datagrams a second at most. With rounds of
/// 4 ms a host, 1.18 s at 295 hosts, all took the readers for silent in each round and read the log
/// themselves: 29,385 calls in a play of 61 s, 10,152 with rounds of their own.
const READER_INTERVAL_PER_HOST: Duration = Duration::from_millis(2);
/// A reader that was silent for so long is replaced: three of its rounds.
const READER_TIMEOUT_MIN: Duration = Duration::from_millis(1_000);
/// and for so many of its rounds where they are longer.
const READER_TIMEOUT_ROUNDS: f64 = 2.5;
/// Hosts that are no candidates leave it to those for so many times as long, before they read for
/// themselves.
const NON_CANDIDATE_WAIT_FACTOR: u32 = 2;
/// With fewer other hosts each reads the log for itself: their calls cost less than half a percent
/// of what is served, and need no one else.
pub(crate) const READERS_HOSTS_MIN: usize = 12;
/// Hosts of a data centre that look for a log that is away: one, and another if it is turned away.
const LOG_PROBERS: usize = 2;
/// Hosts of a data centre that try to read the log at once where nobody is answered. With a third of
/// the hosts turned away all of three are in 4 cases of 100, and one try takes 0.4 s or more.
const READER_CANDIDATES: usize = 3;

impl Peers {
    /// Whether this host shall read a topic of the log. While hosts are few, each reads for itself.
    ///
    /// Else what operators publish is read by one host of each data centre, from which the others
    /// fetch it, and the upstreams, whose changes are many and small, by one host for all. The reader
    /// is the first by name of the hosts that are heard and are answered by the log. Where none is
    /// answered, the first few of a data centre that don't know better try at once.
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

    /// Whether a host that reads a topic of the log was heard a moment ago.
    pub fn has_live_reader(&self, now: Time, topic: Topic) -> bool {
        self.has_reader_within(now, topic, self.reader_timeout(now))
    }

    /// Whether such a host was heard lately enough that a host which is no candidate waits for its word.
    pub(crate) fn awaits_reader(&self, now: Time, topic: Topic) -> bool {
        let timeout = self.reader_timeout(now) * NON_CANDIDATE_WAIT_FACTOR;
        self.has_reader_within(now, topic, timeout)
    }

    /// Whether such a host was heard within this time.
    pub(crate) fn has_reader_within(&self, now: Time, topic: Topic, within: Duration) -> bool {
        self.live_readers(now)
            .any(|report| report.reading.contains(topic) && now.since(report.received_at) < within)
    }

    fn live_readers(&self, now: Time) -> impl Iterator<Item = &Report> {
        let readers = self.readers.iter();
        let reports = readers.filter_map(|address| self.report_of(address));
        reports.filter(move |report| report.is_live(now))
    }

    /// How often a host that reads the log for others sends to them.
    pub(crate) fn reader_interval(&self, now: Time) -> Duration {
        let hosts = u32::try_from(self.count_live(now)).unwrap_or(u32::MAX);
        READER_INTERVAL_MIN.max(READER_INTERVAL_PER_HOST.saturating_mul(hosts))
    }

    pub(super) fn reader_timeout(&self, now: Time) -> Duration {
        let rounds = self.reader_interval(now).mul_f64(READER_TIMEOUT_ROUNDS);
        READER_TIMEOUT_MIN.max(rounds)
    }

    /// Whether this host is among the first by name of the live hosts of its data centre: those look
    /// for a log that is away more often than the others, who hear of its return from them. While hosts
    /// are few, each looks for itself.
    pub fn is_log_prober(&self, now: Time, host: &HostId, data_centre: &DataCentre) -> bool {
        if self.is_small_fleet(now) {
            return true;
        }
        let local = self.live_reports_in(now, data_centre);
        let before = local.filter(|report| report.host < *host);
        before.take(LOG_PROBERS).count() < LOG_PROBERS
    }

    /// Whether hosts are so few that each reads the log for itself. A host that has just started hears
    /// few others at first, so what these hear counts too: hundreds that start together would each follow
    /// the whole log for seconds (7,492 calls of 295 hosts by second 6 of one play, of 10,152 in all).
    pub(crate) fn is_small_fleet(&self, now: Time) -> bool {
        let announced = self.with_counts(now, |counts| counts.live_count_max);
        let announced = usize::try_from(announced).unwrap_or(usize::MAX);
        self.count_live(now).max(announced) < READERS_HOSTS_MIN
    }
}
