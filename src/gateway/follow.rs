//! Follows the keyed topics of the platform's log: newest records first, then each one in order.

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

/// A call that doesn't wait, of a host that knows nothing yet: many start together.
pub(crate) const CALL_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Records that come together are read together: calls are priced, and this is far below the
/// bound on configuration (2 s).
const BATCH_PAUSE: Duration = Duration::from_millis(20);
const BACKOFF_MIN: Duration = Duration::from_millis(120);
const BACKOFF_MAX: Duration = Duration::from_millis(700);
/// Hosts that don't look out for a log that is away try it this seldom: calls are priced also while
/// they are refused.
const UNREACHABLE_RETRY_INTERVAL: Duration = Duration::from_millis(3_000);
/// A host that a seed has told what is in force waits so long for the first word of a reader: 295 hosts
/// that start together hear it after 2.2 s, and each made 23 calls meanwhile, as upstreams list themselves
/// then. Short against the bounds on staleness, which hold for hosts that have run for 3 s and more.
const FIRST_READER_WAIT: Duration = Duration::from_millis(2_500);
/// How often a host that listens looks whether it has to read for itself.
const READER_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// The same while it has just started.
const JOIN_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// A host that starts gives those that its seeds name this time to tell what they know, and reads the
/// log only then: hundreds that start together would all read all of it. With 0.4 s most of 78 did, as
/// their seeds, of a tenth of a core, could not answer all by then.
const JOIN_WAIT: Duration = Duration::from_millis(1_000);
/// and so much longer for each host that they tell of.
const JOIN_WAIT_PER_HOST: Duration = Duration::from_millis(1);
/// While it hears others that know, a host leaves the log alone for this time.
const PEER_FETCH_WAIT: Duration = Duration::from_secs(6);

/// So much of a record that can't be used is shown in the log.
const LOGGED_BYTES_MAX: usize = 48;

/// Why a topic must be read anew or later.
#[derive(Debug)]
pub(crate) enum ReadError {
    /// Records that were not read are gone, or positions before are void.
    Truncated,
    /// Another host reads again what this one can't.
    ReachableElsewhere,
    /// The host was suspended while a call was under way: the answer is of before.
    Suspended,
    /// The log can't be read.
    Unavailable(String),
}

/// What a step of following comes to.
pub(crate) type ReadResult<T> = std::result::Result<T, ReadError>;

impl From<Error> for ReadError {
    fn from(error: Error) -> Self {
        ReadError::Unavailable(error.to_string())
    }
}

/// Follows one topic for ever.
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

/// Returns as soon as another host begins to read a topic that this host can't read. A call that it
/// made before may never be answered, and the next one probably is: without this word the eight hosts of
/// a deployment read both topics again 0.03 to 2.3 s after the log's return (own lines of one play).
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

/// Returns as soon as this host hears of a later history of the log than the one that it reads on in. The
/// read that it made may wait for a record that was written long ago under another offset.
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
    /// Whether other hosts follow the log for this one, or may be about to tell what they know.
    /// Where it begins again it starts from the newest records, since it doesn't know what they
    /// have read.
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

    /// Whether this host knows nothing yet and has others to ask that do: of hundreds that start together each gets the
    /// list when its turn comes.
    fn can_fetch_from_peers(&self) -> bool {
        let now = self.shared.now();
        let has_holder = self
            .shared
            .peers(|peers| peers.has_live_holder(now, self.topic));
        has_holder && self.started_within(PEER_FETCH_WAIT)
    }

    /// Whether this host has just started and others may know what it lacks. Seeds read at once, and
    /// so does a host that can't connect to any.
    fn is_joining(&self) -> bool {
        let hosts = self.shared.fleet_size_estimate();
        self.started_within(JOIN_WAIT + JOIN_WAIT_PER_HOST * hosts)
    }

    /// Whether this host knows from a seed what is in force, and hasn't heard yet who reads the log.
    fn awaits_first_reader(&self) -> bool {
        self.next.is_none()
            && !self.shared.has_live_reader(self.topic)
            && self.started_within(FIRST_READER_WAIT.max(self.shared.reader_interval() * 2))
    }

    fn started_within(&self, age: Duration) -> bool {
        let settings = self.shared.settings();
        let is_seed = settings.seeds.contains(&settings.peer_address);
        let is_recent = self.shared.now() < Time::ZERO + age;
        is_recent && !is_seed && self.shared.seed_state() != SeedState::Unreachable
    }

    /// Waits before the log is tried again: for `pause` on the hosts that look out for its return,
    /// else longer, unless such a host reads it again before. A host that knows nothing yet doesn't
    /// wait for others.
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

    /// Starts from the newest record of each key. The first page's end is where reading goes on, so
    /// nothing is missed that changes while further pages are read.
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

    /// Twice the time of a read without news, until an answer begins.
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
            // The same offset names another record, or none.
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

    /// Makes a call whose answer shows, from its head on, that the log answers: a large document may take
    /// the link longer than an answer may be late. Tells also when the answer began.
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

/// The upstream that a record names; none where the key was removed, and where another writer's record
/// names none: an upstream that it replaces is gone like one removed.
fn decode_upstream(
    shared: &Shared,
    id: &UpstreamId,
    record: &Record,
    at: Position,
) -> Option<Upstream> {
    let value = record.value.as_ref()?;
    match shared.protocol().decode_upstream(&record.key, value) {
        Ok(upstream) => Some(upstream),
        Err(error) => {
            log_foreign(shared, id, at, value, &error);
            None
        }
    }
}

/// Says once of each record that it names no upstream.
fn log_foreign(shared: &Shared, id: &UpstreamId, at: Position, value: &[u8], error: &Error) {
    if !shared.directory(|directory| directory.record_foreign(id, at)) {
        return;
    }
    telemetry::count(Metric::ForeignRecordsTotal);
    let prefix = &value[..value.len().min(LOGGED_BYTES_MAX)];
    let line = shared.log().entry(EventCode::RecordSkipped);
    line.with("source", "upstreams")
        .with("key", id.as_str())
        .with("position", at.to_string())
        .with("reason", error.to_string())
        .with("bytes", value.len())
        .with("begins", prefix.escape_ascii().to_string())
        .write();
}
