//! Keeps what is known of requests under which upstreams crashed in the platform's log.
//!
//! Hosts tell each other of crashes, which ends with the last of them, and reaches nobody beyond a cut. So a host
//! that sees a second crash under one content writes what it knows of it to a keyed topic, and a host
//! reads that topic when it has started and while other data centres are silent. Requests under which
//! two upstreams crash are rare, so this costs calls on few days.

use std::str::FromStr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use tokio::time::Instant;

use crate::clock::wall_ms;
use crate::error::Result;
use crate::event::EventCode;
use crate::fingerprint::Fingerprint;
use crate::gateway::follow::CALL_TIMEOUT;
use crate::gateway::follow::append;
use crate::gateway::follow::newest;
use crate::gateway::instance::InstanceKey;
use crate::gateway::ownclient::OwnClient;
use crate::gateway::protocol::Record;
use crate::gateway::protocol::Topic;
use crate::gateway::shared::Shared;
use crate::gateway::suspects::AnnouncedSuspect;
use crate::gateway::ticks::tick;

/// How often it is looked whether there is something to write or to read.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// A host that has just started has heard from others by then, if there are any.
const START_DELAY: Duration = Duration::from_millis(600);
/// Between two readings while other data centres are silent, and before a failed one is tried again: with
/// the time of a call below the shortest bound on what hosts must know, 3 s.
const READ_INTERVAL_MIN: Duration = Duration::from_secs(2);
/// The same of a silence that lasts, as a part of it: a data centre that is gone for good costs few calls.
const READ_INTERVAL_DIVISOR: u32 = 20;
/// A data centre that is silent for so long may be cut off; its hosts send each 1.8 s.
const SILENCE_MIN: Duration = Duration::from_secs(4);
/// Crashes from which on a content is written.
const WRITE_CRASHES_MIN: usize = 2;
/// Contents that are written in one round, so that a burst leaves the log its writes for others.
const WRITES_PER_ROUND_MAX: usize = 4;
/// A record so old holds nothing back any more: a request is held back for 6 hours at most.
const RECORD_TTL: Duration = Duration::from_secs(24 * 60 * 60);
/// Records that are removed in one reading.
const REMOVALS_PER_READ_MAX: usize = 4;

/// What a record of the topic holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct StoredSuspect {
    /// The content, in hexadecimal digits.
    fingerprint: String,
    /// The upstreams that crashed, each with the wall-clock time in Unix milliseconds.
    crashes: Vec<(InstanceKey, u64)>,
    /// When the content was last answered in whole.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    answered_ms: Option<u64>,
}

impl StoredSuspect {
    fn new(suspect: &AnnouncedSuspect, now_ms: u64) -> Self {
        let at = |ms_ago: u32| now_ms.saturating_sub(u64::from(ms_ago));
        let crashes = suspect.crashes.iter();
        StoredSuspect {
            fingerprint: suspect.fingerprint.to_hex(),
            crashes: crashes.map(|(upstream, ms)| (*upstream, at(*ms))).collect(),
            answered_ms: suspect.answered_ms_ago.map(at),
        }
    }

    fn to_announced(&self, now_ms: u64) -> Result<AnnouncedSuspect> {
        // What seems to come from the future is of now: clocks of hosts differ.
        let ago = |at: u64| u32::try_from(now_ms.saturating_sub(at)).unwrap_or(u32::MAX);
        let crashes = self.crashes.iter();
        Ok(AnnouncedSuspect {
            fingerprint: Fingerprint::from_str(&self.fingerprint)?,
            crashes: crashes
                .map(|(upstream, at)| (*upstream, ago(*at)))
                .collect(),
            answered_ms_ago: self.answered_ms.map(ago),
        })
    }

    fn is_expired(&self, now_ms: u64) -> bool {
        let times = self.crashes.iter().map(|(_, at)| *at);
        let last = times.chain(self.answered_ms).max().unwrap_or(0);
        u128::from(now_ms.saturating_sub(last)) > RECORD_TTL.as_millis()
    }
}

/// Writes and reads for ever.
pub async fn run(shared: Shared) {
    let mut client = OwnClient::new(shared.settings().log_address);
    let mut unwritten: Vec<Fingerprint> = Vec::new();
    let mut schedule = ReadSchedule::default();
    tokio::time::sleep(START_DELAY).await;
    loop {
        write_pending(&shared, &mut client, &mut unwritten).await;
        if is_reader(&shared) && schedule.is_due(Instant::now(), longest_silence(&shared)) {
            let is_read = read_topic(&shared, &mut client).await;
            schedule.record_attempt(Instant::now(), is_read);
        }
        tick(CHECK_INTERVAL).await;
    }
}

/// When the topic is read.
#[derive(Debug, Default)]
struct ReadSchedule {
    has_read: bool,
    attempted_at: Option<Instant>,
}

impl ReadSchedule {
    /// `silence` is that of another data centre that may be cut off.
    fn is_due(&self, now: Instant, silence: Option<Duration>) -> bool {
        let is_wanted = silence.is_some() || !self.has_read;
        let interval = READ_INTERVAL_MIN.max(silence.unwrap_or_default() / READ_INTERVAL_DIVISOR);
        let since = |at| now.saturating_duration_since(at);
        is_wanted && self.attempted_at.is_none_or(|at| since(at) >= interval)
    }

    fn record_attempt(&mut self, now: Instant, is_read: bool) {
        self.attempted_at = Some(now);
        self.has_read |= is_read;
    }
}

/// Whether this host reads the topic for those that hear it: the one that reads what operators publish.
fn is_reader(shared: &Shared) -> bool {
    shared.is_reading(Topic::Operator)
}

/// For how long a data centre has been silent, whose hosts may know of crashes that this one can't hear of.
fn longest_silence(shared: &Shared) -> Option<Duration> {
    let now = shared.now();
    let silence = shared.peers(|peers| peers.longest_silence_outside(now));
    silence.filter(|silence| *silence > SILENCE_MIN)
}

/// Writes what this host saw of late; what can't be written is tried again.
async fn write_pending(shared: &Shared, client: &mut OwnClient, unwritten: &mut Vec<Fingerprint>) {
    let crashes_min = match longest_silence(shared) {
        Some(_) => 1,
        None => WRITE_CRASHES_MIN,
    };
    let now = shared.now();
    for fingerprint in shared.suspects(|suspects| suspects.take_unwritten(crashes_min)) {
        if !unwritten.contains(&fingerprint) {
            unwritten.push(fingerprint);
        }
    }
    for fingerprint in unwritten.split_off(unwritten.len().saturating_sub(WRITES_PER_ROUND_MAX)) {
        let Some(suspect) = shared.suspects(|suspects| suspects.snapshot(now, fingerprint)) else {
            continue;
        };
        if let Err(error) = write(shared, client, &suspect).await {
            log::debug!("writing a suspect: {error}");
            unwritten.push(fingerprint);
        }
    }
}

async fn write(shared: &Shared, client: &mut OwnClient, suspect: &AnnouncedSuspect) -> Result<()> {
    let host = &shared.settings().host;
    let key = format!("{}@{host}", suspect.fingerprint.to_hex());
    let value = serde_json::to_vec(&StoredSuspect::new(suspect, wall_ms()))?;
    append(shared, client, Topic::Suspects, &key, &value).await
}

/// Takes what other hosts have written, and removes what is old; whether the log answered.
async fn read_topic(shared: &Shared, client: &mut OwnClient) -> bool {
    let records = match newest(shared, client, Topic::Suspects, CALL_TIMEOUT).await {
        Ok((records, _)) => records,
        Err(error) => {
            log::debug!("reading suspects: {error:?}");
            return false;
        }
    };
    let now_ms = wall_ms();
    let mut announced = Vec::new();
    let mut expired = Vec::new();
    let mut unreadable = 0_usize;
    for record in &records {
        match decode(record) {
            Ok(Some(suspect)) if suspect.is_expired(now_ms) => expired.push(&record.key),
            Ok(Some(suspect)) => match suspect.to_announced(now_ms) {
                Ok(suspect) => announced.push(suspect),
                Err(_) => unreadable += 1,
            },
            Ok(None) => {}
            Err(_) => unreadable += 1,
        }
    }
    if unreadable > 0 {
        let line = shared.log().line(EventCode::RecordSkipped);
        line.with("source", Topic::Suspects.name())
            .with("records", unreadable)
            .write();
    }
    shared.hear_suspects("log", &announced);
    for key in expired.into_iter().take(REMOVALS_PER_READ_MAX) {
        if let Err(error) = append(shared, client, Topic::Suspects, key, &[]).await {
            log::debug!("removing a suspect: {error}");
        }
    }
    true
}

fn decode(record: &Record) -> Result<Option<StoredSuspect>> {
    let value = record.value.as_deref();
    Ok(value.map(serde_json::from_slice).transpose()?)
}

#[cfg(test)]
mod tests;
