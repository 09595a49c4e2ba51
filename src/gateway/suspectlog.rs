//! Stores the evidence against requests that crash upstreams in the platform's log.
//!
//! Evidence that hosts announce to each other is lost with the last host, and doesn't cross a network
//! partition. So a host that sees a second crash under one content writes its evidence to a keyed topic,
//! and a host reads that topic after its start and while other data centres are silent. Requests that crash
//! two upstreams are rare, so most days need no such calls.

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
use crate::gateway::follow::read_newest;
use crate::gateway::instance::InstanceKey;
use crate::gateway::internalclient::InternalClient;
use crate::gateway::protocol::Record;
use crate::gateway::protocol::Topic;
use crate::gateway::shared::Shared;
use crate::gateway::suspects::AnnouncedSuspect;
use crate::gateway::suspects::SuspectKind;
use crate::gateway::ticks::tick;

/// The interval at which a host checks for evidence to write, and whether a read is due.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// A host waits this long after its start; by then its peers, if any, have sent it datagrams.
const START_DELAY: Duration = Duration::from_millis(600);
/// The shortest interval between reads while other data centres are silent, and before a failed read is
/// retried. With the time of a call it stays below the 3 s within which a host must know of crashes.
const READ_INTERVAL_MIN: Duration = Duration::from_secs(2);
/// The interval is at least the silence divided by this, so that a permanently lost data centre costs few
/// calls.
const READ_INTERVAL_DIVISOR: u32 = 20;
/// A data centre that has been silent for longer may be cut off. Its hosts send every 1.8 s.
const SILENCE_MIN: Duration = Duration::from_secs(4);
/// The fewest crashes for which a content is written while no data centre is silent. Parts are written once
/// they may hold requests back.
const WRITE_CRASHES_MIN: usize = 2;
/// The most contents written in one round, so that a burst leaves the log capacity for other writers.
const WRITES_PER_ROUND_MAX: usize = 4;
/// Records are removed after this time, when they hold nothing back: a request is held back for at most 6
/// hours.
const RECORD_TTL: Duration = Duration::from_secs(24 * 60 * 60);
/// The most records removed in one read.
const REMOVALS_PER_READ_MAX: usize = 4;

/// The value of a record of the topic.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct StoredSuspect {
    /// The fingerprint of the content or part, in hexadecimal.
    fingerprint: String,
    /// Which of them it is.
    #[serde(default)]
    kind: SuspectKind,
    /// The upstreams that crashed, each with the wall-clock time of its crash in Unix milliseconds.
    crashes: Vec<(InstanceKey, u64)>,
    /// The wall-clock time of the last complete answer, in Unix milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    answered_ms: Option<u64>,
}

impl StoredSuspect {
    fn new(suspect: &AnnouncedSuspect, now_ms: u64) -> Self {
        let at = |ms_ago: u32| now_ms.saturating_sub(u64::from(ms_ago));
        let crashes = suspect.crashes.iter();
        StoredSuspect {
            fingerprint: suspect.fingerprint.to_hex(),
            kind: suspect.kind,
            crashes: crashes.map(|(upstream, ms)| (*upstream, at(*ms))).collect(),
            answered_ms: suspect.answered_ms_ago.map(at),
        }
    }

    fn to_announced(&self, now_ms: u64) -> Result<AnnouncedSuspect> {
        // Host clocks differ: a time in the future counts as now.
        let ago = |at: u64| u32::try_from(now_ms.saturating_sub(at)).unwrap_or(u32::MAX);
        let crashes = self.crashes.iter();
        Ok(AnnouncedSuspect {
            fingerprint: Fingerprint::from_str(&self.fingerprint)?,
            kind: self.kind,
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

/// Writes new evidence and reads that of other hosts. Never returns.
pub async fn run(shared: Shared) {
    let mut client = InternalClient::new(shared.settings().log_address);
    let mut unwritten: Vec<Fingerprint> = Vec::new();
    let mut schedule = ReadSchedule::default();
    tokio::time::sleep(START_DELAY).await;
    loop {
        write_pending(&shared, &mut client, &mut unwritten).await;
        if is_reader(&shared) && schedule.is_due(Instant::now(), partition_silence(&shared)) {
            let is_read = read_topic(&shared, &mut client).await;
            schedule.record_attempt(Instant::now(), is_read);
        }
        tick(CHECK_INTERVAL).await;
    }
}

/// Decides when the topic is read.
#[derive(Debug, Default)]
struct ReadSchedule {
    has_read: bool,
    attempted_at: Option<Instant>,
}

impl ReadSchedule {
    /// Whether a read is due, given the silence of another data centre that may be cut off.
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

/// Whether this host reads the topic for its peers. The host that reads the operators' topic also reads
/// this one.
fn is_reader(shared: &Shared) -> bool {
    shared.is_reading(Topic::Operator)
}

/// The longest silence of another data centre, if it exceeds [`SILENCE_MIN`]: the data centre may be cut off
/// and know of crashes that this host doesn't. None otherwise.
fn partition_silence(shared: &Shared) -> Option<Duration> {
    let now = shared.now();
    let silence = shared.peers(|peers| peers.longest_remote_silence(now));
    silence.filter(|silence| *silence > SILENCE_MIN)
}

/// Writes the evidence that this host has gathered. Failed writes are retried in a later round.
async fn write_pending(
    shared: &Shared,
    client: &mut InternalClient,
    unwritten: &mut Vec<Fingerprint>,
) {
    let crashes_min = match partition_silence(shared) {
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
            log::debug!("failed to write a suspect to the log: {error}");
            unwritten.push(fingerprint);
        }
    }
}

async fn write(
    shared: &Shared,
    client: &mut InternalClient,
    suspect: &AnnouncedSuspect,
) -> Result<()> {
    let host = &shared.settings().host;
    let key = format!("{}@{host}", suspect.fingerprint.to_hex());
    let value = serde_json::to_vec(&StoredSuspect::new(suspect, wall_ms()))?;
    append(shared, client, Topic::Suspects, &key, &value).await
}

/// Merges the evidence that other hosts have written and removes expired records. Returns whether the log
/// answered.
async fn read_topic(shared: &Shared, client: &mut InternalClient) -> bool {
    let records = match read_newest(shared, client, Topic::Suspects, CALL_TIMEOUT).await {
        Ok((records, _)) => records,
        Err(error) => {
            log::debug!("failed to read suspects from the log: {error:?}");
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
        let line = shared.log().entry(EventCode::RecordSkipped);
        line.with("source", Topic::Suspects.name())
            .with("records", unreadable)
            .write();
    }
    shared.receive_suspects("log", &announced);
    for key in expired.into_iter().take(REMOVALS_PER_READ_MAX) {
        if let Err(error) = append(shared, client, Topic::Suspects, key, &[]).await {
            log::debug!("failed to remove an expired suspect from the log: {error}");
        }
    }
    true
}

/// Decodes a record's value; none if the record was removed.
fn decode(record: &Record) -> Result<Option<StoredSuspect>> {
    let value = record.value.as_deref();
    Ok(value.map(serde_json::from_slice).transpose()?)
}

#[cfg(test)]
mod tests;
