//! Follows the keyed topics of the platform's log: reads the newest record of each key, then all later
//! records in order.

use std::time::Duration;

use backon::BackoffBuilder;
use backon::ExponentialBackoff;
use backon::ExponentialBuilder;
use bytes::BytesMut;
use http::HeaderMap;
use tokio::time::Instant;

use self::calls::check_era;
use crate::clock::Time;
use crate::error::Error;
use crate::error::Result;
use crate::event::EventCode;
use crate::gateway::directory::ForeignRecord;
use crate::gateway::directory::Upstream;
use crate::gateway::internalclient::InternalClient;
use crate::gateway::internalclient::InternalResponse;
use crate::gateway::internalclient::ResponsePart;
use crate::gateway::joining::SeedState;
use crate::gateway::position::Position;
use crate::gateway::protocol::InternalRequest;
use crate::gateway::protocol::Record;
use crate::gateway::protocol::Topic;
use crate::gateway::shared::ChangeSource;
use crate::gateway::shared::Freshness;
use crate::gateway::shared::Shared;
use crate::gateway::ticks::tick;
use crate::id::UpstreamId;
use crate::telemetry;
use crate::telemetry::Metric;

mod calls;

pub(crate) use self::calls::append;
pub(crate) use self::calls::append_if_end;
pub(crate) use self::calls::read_newest;

/// Timeout of a call that doesn't wait for new records. It is long enough for a host that starts together
/// with many others.
pub(crate) const CALL_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Pause after a read, so that records written together are read together. Each call has a price, and the
/// pause is far below the bound for applying a configuration (2 s).
const BATCH_PAUSE: Duration = Duration::from_millis(20);
const BACKOFF_MIN: Duration = Duration::from_millis(120);
const BACKOFF_MAX: Duration = Duration::from_millis(700);
/// Interval between the attempts of hosts that aren't probers while the log is unreachable. Refused calls
/// have a price too.
const UNREACHABLE_RETRY_INTERVAL: Duration = Duration::from_millis(3_000);
/// Time for which a host that has the configuration from a seed waits for the first datagram of a reader
/// before it reads the log itself. When 295 hosts start together, that datagram arrives after 2.2 s;
/// without the wait each host made 23 calls until then, since upstreams list themselves at that time.
/// The bounds on staleness hold from 3 s after a host's start, so the wait stays within them.
const FIRST_READER_WAIT: Duration = Duration::from_millis(2_500);
/// Interval at which a host that relies on readers checks whether it has to read the log itself.
const READER_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// The same interval on a host that has just started.
const JOIN_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Time for which a starting host waits for the state from the hosts that its seeds name before it reads the
/// log, so that hundreds of hosts that start together don't all read the whole log. After 0.4 s, seeds with
/// a tenth of a core hadn't answered most of 78 hosts, which then read the log.
const JOIN_WAIT: Duration = Duration::from_millis(1_000);
/// Addition to [`JOIN_WAIT`] for each host of the estimated fleet.
const JOIN_WAIT_PER_HOST: Duration = Duration::from_millis(1);
/// Time after its start for which a host without state relies on peers that have it and doesn't read the log.
const PEER_FETCH_WAIT: Duration = Duration::from_secs(6);

/// Number of leading bytes of an unusable record that are written to the log.
const LOGGED_BYTES_MAX: usize = 48;

/// Why a read of a topic was given up.
#[derive(Debug)]
pub(crate) enum ReadError {
    /// Unread records have been deleted, or a restore of the log has invalidated earlier positions.
    Truncated,
    /// Another host has begun to read a topic that this host can't reach.
    ReachableElsewhere,
    /// The host was suspended during the call, so the answer may be out of date.
    Suspended,
    /// The log didn't answer, or its answer can't be used.
    Unavailable(String),
}

/// The result of a read of the log.
pub(crate) type ReadResult<T> = std::result::Result<T, ReadError>;

impl From<Error> for ReadError {
    fn from(error: Error) -> Self {
        ReadError::Unavailable(error.to_string())
    }
}

/// Follows one topic until the task is cancelled.
pub async fn follow(shared: Shared, topic: Topic) {
    let mut follower = Follower {
        client: InternalClient::new(shared.settings().log_address),
        shared,
        topic,
        next: None,
    };
    let mut backoff = new_backoff();
    loop {
        if follower.relies_on_peers() {
            tick(follower.check_interval()).await;
            continue;
        }
        let began = Instant::now();
        let shared = follower.shared.clone();
        let next = follower.next;
        let mut wakes = shared.watch_wakeups();
        let step = tokio::select! {
            step = follower.read_next() => step,
            () = wait_for_peer_read(&shared, topic) => Err(ReadError::ReachableElsewhere),
            () = wait_for_later_era(&shared, next) => Err(ReadError::Truncated),
            _ = wakes.changed() => Err(ReadError::Suspended),
        };
        match step {
            Ok(()) => {
                backoff = new_backoff();
                tokio::time::sleep(BATCH_PAUSE).await;
            }
            Err(ReadError::Truncated) => follower.next = None,
            Err(ReadError::ReachableElsewhere | ReadError::Suspended) => {}
            Err(ReadError::Unavailable(reason)) => {
                shared.record_log_failure(topic, began.elapsed(), &reason);
                let pause = backoff.next().unwrap_or(BACKOFF_MAX);
                follower.wait_before_retry(pause).await;
            }
        }
    }
}

fn new_backoff() -> ExponentialBackoff {
    ExponentialBuilder::new()
        .with_min_delay(BACKOFF_MIN)
        .with_max_delay(BACKOFF_MAX)
        .without_max_times()
        .with_jitter()
        .build()
}

/// Returns as soon as another host begins to read a topic that this host can't reach. A call made before may
/// never be answered, while a new one probably is. Without this signal, eight hosts of a deployment resumed
/// reading both topics only 0.03 to 2.3 s after the log was reachable again.
async fn wait_for_peer_read(shared: &Shared, topic: Topic) {
    let was_answered = shared.log_age(topic).is_some();
    if !was_answered || !shared.is_log_unreachable(topic) {
        return std::future::pending().await;
    }
    let mut was_read = shared.has_live_reader(topic);
    loop {
        tick(READER_CHECK_INTERVAL).await;
        let is_read = shared.has_live_reader(topic);
        if is_read && !was_read {
            return;
        }
        was_read = is_read;
    }
}

/// Returns as soon as this host learns of a later era of the log than that of `next`. A read in progress may
/// wait at an offset that the restored log hasn't reached, while newer records have lower offsets.
async fn wait_for_later_era(shared: &Shared, next: Option<Position>) {
    let Some(next) = next else {
        return std::future::pending().await;
    };
    while shared.log_era() <= next.era {
        tick(READER_CHECK_INTERVAL).await;
    }
}

struct Follower {
    shared: Shared,
    client: InternalClient,
    topic: Topic,
    next: Option<Position>,
}

impl Follower {
    /// Whether other hosts read the topic for this one, or may be about to send their state. If so, the
    /// follower drops its position: when it reads again, it starts from the newest records, since it
    /// doesn't know how far the others have read.
    fn relies_on_peers(&mut self) -> bool {
        let has_started = self.next.is_some() || self.shared.is_ready();
        let elsewhere = match has_started {
            true => self.shared.delegates_reading(self.topic) || self.awaits_first_reader(),
            false => self.is_joining() || self.can_fetch_from_peers(),
        };
        if elsewhere {
            self.next = None;
        }
        elsewhere
    }

    fn check_interval(&self) -> Duration {
        match self.is_joining() {
            true => JOIN_CHECK_INTERVAL,
            false => READER_CHECK_INTERVAL,
        }
    }

    /// Whether a peer has the state of the topic and this host started recently enough to wait for it. When
    /// hundreds of hosts start together, each waits its turn to fetch the list.
    fn can_fetch_from_peers(&self) -> bool {
        let now = self.shared.now();
        let has_holder = self
            .shared
            .peers(|peers| peers.has_live_holder(now, self.topic));
        has_holder && self.may_wait_for_peers(PEER_FETCH_WAIT)
    }

    /// Whether this host has just started and peers may have the state that it lacks. Seeds read the log at
    /// once, and so does a host that can't connect to any seed.
    fn is_joining(&self) -> bool {
        let hosts = self.shared.fleet_size_estimate();
        self.may_wait_for_peers(JOIN_WAIT + JOIN_WAIT_PER_HOST * hosts)
    }

    /// Whether this host has its state from a seed, but hasn't received a datagram from a reader yet.
    fn awaits_first_reader(&self) -> bool {
        self.next.is_none()
            && !self.shared.has_live_reader(self.topic)
            && self.may_wait_for_peers(FIRST_READER_WAIT.max(self.shared.reader_interval() * 2))
    }

    /// Whether this host started less than `age` ago, is no seed and hasn't found all seeds unreachable, so that
    /// peers may have the state that it lacks.
    fn may_wait_for_peers(&self, age: Duration) -> bool {
        let settings = self.shared.settings();
        let is_seed = settings.seeds.contains(&settings.peer_address);
        let is_recent = self.shared.now() < Time::ZERO + age;
        is_recent && !is_seed && self.shared.seed_state() != SeedState::Unreachable
    }

    /// Waits before the next attempt to reach the log, until another host reads the topic at the latest.
    /// Probers, and hosts without state, wait for `pause`; other hosts wait longer.
    async fn wait_before_retry(&mut self, pause: Duration) {
        let shared = self.shared.clone();
        tokio::select! {
            () = self.pause_before_retry(pause) => {}
            () = wait_for_peer_read(&shared, self.topic) => {}
        }
    }

    async fn pause_before_retry(&self, pause: Duration) {
        tokio::time::sleep(pause).await;
        let retry_at = Instant::now() + UNREACHABLE_RETRY_INTERVAL;
        while Instant::now() < retry_at
            && self.shared.is_ready()
            && !self.shared.is_log_prober()
            && !self.shared.delegates_reading(self.topic)
        {
            tick(READER_CHECK_INTERVAL).await;
        }
    }

    async fn read_next(&mut self) -> ReadResult<()> {
        match self.next {
            None => self.read_newest().await,
            Some(next) => self.read_from(next).await,
        }
    }

    /// Reads the newest record of each key. Reading continues from the end that the first page states, so no
    /// change is missed that is written while further pages are read.
    async fn read_newest(&mut self) -> ReadResult<()> {
        let timeout = self.newest_timeout();
        let began = Instant::now();
        let (records, end) =
            read_newest(&self.shared, &mut self.client, self.topic, timeout).await?;
        if self.topic == Topic::Operator {
            self.shared.replace_evacuations(&records, end);
            self.shared
                .apply_rollouts(&records, end.era, Freshness::Unknown);
        }
        self.shared.record_log_answer(self.topic, began.elapsed());
        match self.topic {
            Topic::Operator => self.apply_operator(&records).await,
            Topic::Upstreams => self.replace_upstreams(&records, end),
            Topic::Hosts | Topic::Suspects | Topic::Status => {}
        }
        self.next = Some(end);
        Ok(())
    }

    /// Timeout for the start of an answer: twice the answer slack, or [`CALL_TIMEOUT`] on a host without
    /// state.
    fn newest_timeout(&self) -> Duration {
        match self.shared.is_initialized() {
            true => self.shared.answer_slack(self.topic) * 2,
            false => CALL_TIMEOUT,
        }
    }

    async fn read_from(&mut self, next: Position) -> ReadResult<()> {
        let wait = self.shared.next_poll_wait(self.topic);
        let timeout = wait + self.shared.answer_slack(self.topic);
        let call = self
            .shared
            .protocol()
            .read_request(self.topic, next.offset, wait);
        let wakes = self.shared.watch_wakeups();
        let (answer, head_after) = self.call(&call, timeout).await?;
        self.shared.check_suspension();
        if wakes.has_changed().unwrap_or(false) {
            return Err(ReadError::Suspended);
        }
        let era = check_era(&self.shared, &answer.headers)?;
        if era != next.era {
            // In another era the same offset belongs to another record, or to none.
            return Err(ReadError::Truncated);
        }
        match answer.status {
            200 => {}
            410 => return Err(ReadError::Truncated),
            status => return Err(ReadError::Unavailable(format!("status {status}"))),
        }
        let protocol = self.shared.protocol();
        let batch = protocol.decode_read(next.offset, &answer.body)?;
        let read_to = Position::new(era, batch.next);
        let delay = head_after.saturating_sub(wait);
        if self.topic == Topic::Operator {
            self.shared.apply_evacuations(&batch.records, read_to);
            self.shared
                .apply_rollouts(&batch.records, era, Freshness::Fresh);
        }
        self.shared.record_log_answer(self.topic, delay);
        match self.topic {
            Topic::Operator => self.apply_operator(&batch.records).await,
            Topic::Upstreams => self.apply_upstreams(&batch.records, read_to),
            Topic::Hosts | Topic::Suspects | Topic::Status => {}
        }
        self.next = Some(read_to);
        Ok(())
    }

    /// Makes a call and records each arriving part of the answer as a sign that the log is reachable, since
    /// the transfer of a large document may take longer than the answer slack. Also returns the time until
    /// the head of the answer.
    async fn call(
        &mut self,
        call: &InternalRequest,
        timeout: Duration,
    ) -> Result<(InternalResponse, Duration)> {
        let began = Instant::now();
        let mut head_after = Duration::ZERO;
        let mut headers = HeaderMap::new();
        let mut body = BytesMut::new();
        let shared = &self.shared;
        let topic = self.topic;
        let watch = |arrival| {
            shared.record_log_progress(topic);
            match arrival {
                ResponsePart::Head(head) => {
                    head_after = began.elapsed();
                    headers = head;
                }
                ResponsePart::Body(bytes) => body.extend_from_slice(&bytes),
            }
        };
        let status = self.client.call_streaming(call, timeout, watch).await?;
        let answer = InternalResponse {
            status,
            headers,
            body: body.freeze(),
        };
        Ok((answer, head_after))
    }

    async fn apply_operator(&self, records: &[Record]) {
        for record in records {
            if let Some(value) = &record.value {
                let shared = &self.shared;
                shared.offer_configuration(&record.key, value, "log").await;
            }
        }
    }

    fn apply_upstreams(&self, records: &[Record], next: Position) {
        let now = self.shared.now();
        let mut changes = Vec::new();
        for record in records {
            let id = UpstreamId::new(record.key.as_str());
            let at = Position::new(next.era, record.offset);
            let upstream = decode_upstream(&self.shared, &id, record, at);
            let change = self
                .shared
                .directory(|directory| directory.apply(now, &id, upstream, at));
            changes.extend(change);
        }
        self.shared.directory(|directory| directory.advance(next));
        self.shared
            .record_changes(changes, ChangeSource::Local("log"));
    }

    fn replace_upstreams(&self, records: &[Record], end: Position) {
        let now = self.shared.now();
        let listed = records.iter().filter_map(|record| {
            let id = UpstreamId::new(record.key.as_str());
            let at = Position::new(end.era, record.offset);
            let upstream = decode_upstream(&self.shared, &id, record, at)?;
            Some((upstream, at))
        });
        let listed = listed.collect();
        let changes = self
            .shared
            .directory(|directory| directory.replace(now, listed, end));
        self.shared
            .record_changes(changes, ChangeSource::Local("log"));
    }
}

/// Decodes the upstream of a record. Returns none if the key was removed, or if another writer's record is no
/// listing: the upstream that such a record replaces counts as removed.
fn decode_upstream(
    shared: &Shared,
    id: &UpstreamId,
    record: &Record,
    at: Position,
) -> Option<Upstream> {
    let Some(value) = record.value.as_ref() else {
        shared.directory(|directory| directory.forget_foreign(id));
        return None;
    };
    let decoded = shared.protocol().decode_upstream(&record.key, value);
    let checked = decoded
        .map_err(|error| error.to_string())
        .and_then(|upstream| match upstream.flaw() {
            Some(flaw) => Err(flaw.to_owned()),
            None => Ok(upstream),
        });
    checked
        .inspect_err(|reason| record_foreign(shared, id, at, value, reason))
        .ok()
}

/// Counts, once per record, a record that is no listing of an upstream, and logs it.
fn record_foreign(shared: &Shared, id: &UpstreamId, at: Position, value: &[u8], reason: &str) {
    let now = shared.now();
    let seen = shared.directory(|directory| directory.record_foreign(now, id, at));
    if seen == ForeignRecord::Known {
        return;
    }
    telemetry::count(Metric::ForeignRecordsTotal);
    if seen == ForeignRecord::Counted {
        return;
    }
    let prefix = &value[..value.len().min(LOGGED_BYTES_MAX)];
    let line = shared.log().entry(EventCode::RecordSkipped);
    line.with("source", "upstreams")
        .with("key", id.as_str())
        .with("position", at.to_string())
        .with("reason", reason)
        .with("bytes", value.len())
        .with("begins", prefix.escape_ascii().to_string())
        .write();
}
