use std::time::Duration;

use bytes::Bytes;
use tokio::time::Instant;

use super::READ_INTERVAL_MIN;
use super::RECORD_TTL;
use super::ReadSchedule;
use super::SILENCE_MIN;
use super::StoredSuspect;
use super::decode;
use crate::fingerprint::Content;
use crate::fingerprint::Fingerprint;
use crate::gateway::instance::InstanceId;
use crate::gateway::instance::InstanceKey;
use crate::gateway::protocol::Record;
use crate::gateway::suspects::AnnouncedSuspect;
use crate::gateway::suspects::SuspectKind;
use crate::id::UpstreamId;

const NOW_MS: u64 = 1_900_000_000_000;

fn key(number: usize) -> InstanceKey {
    InstanceId::from(UpstreamId::new(format!("up-{number}"))).key()
}

fn suspect() -> AnnouncedSuspect {
    AnnouncedSuspect {
        fingerprint: Fingerprint::of(&Content {
            customer: None,
            method: "POST",
            authority: "a.example",
            target: "/nets/7",
            body: b"tighten",
        }),
        kind: SuspectKind::Part,
        crashes: vec![(key(0), 900), (key(1), 50)],
        answered_ms_ago: Some(70_000),
    }
}

fn record(value: &[u8]) -> Record {
    Record {
        key: "a".to_owned(),
        value: Some(Bytes::copy_from_slice(value)),
        offset: 3,
    }
}

#[test]
fn crash_ages_include_the_time_since_the_record_was_written() {
    let written = StoredSuspect::new(&suspect(), NOW_MS);
    let value = serde_json::to_vec(&written).unwrap();

    let read = decode(&record(&value)).unwrap().unwrap();
    let announced = read.to_announced(NOW_MS + 10_000).unwrap();

    assert_eq!(announced.fingerprint, suspect().fingerprint);
    assert_eq!(announced.kind, suspect().kind);
    assert_eq!(announced.crashes, [(key(0), 10_900), (key(1), 10_050)]);
    assert_eq!(announced.answered_ms_ago, Some(80_000));
}

#[test]
fn crashes_dated_in_the_future_count_as_new() {
    let written = StoredSuspect::new(&suspect(), NOW_MS);

    let announced = written.to_announced(NOW_MS - 60_000).unwrap();

    assert_eq!(announced.crashes, [(key(0), 0), (key(1), 0)]);
}

#[test]
fn unreadable_and_removed_records_are_distinguished() {
    let unreadable = [&b""[..], b"{}", b"host-1", b"[1, 2", &[0xff, 0xfe]];
    let mut wrong = StoredSuspect::new(&suspect(), NOW_MS);
    wrong.fingerprint = "xyz".to_owned();

    for value in unreadable {
        assert!(decode(&record(value)).is_err(), "{value:?}");
    }
    let removed = Record {
        value: None,
        ..record(b"")
    };
    assert_eq!(decode(&removed).unwrap(), None);
    assert!(wrong.to_announced(NOW_MS).is_err());
}

#[test]
fn a_record_expires_a_day_after_its_last_change() {
    let written = StoredSuspect::new(&suspect(), NOW_MS);
    let day_ms = RECORD_TTL.as_millis() as u64;

    assert!(!written.is_expired(NOW_MS + day_ms - 51));
    assert!(written.is_expired(NOW_MS + day_ms));
}

#[test]
fn the_topic_is_read_once_and_again_while_a_data_centre_is_silent() {
    let mut schedule = ReadSchedule::default();
    let start = Instant::now();
    let is_due_at_start = schedule.is_due(start, None);
    schedule.record_attempt(start, false);
    let is_due_after_failure = schedule.is_due(start + READ_INTERVAL_MIN, None);
    schedule.record_attempt(start, true);
    let later = start + READ_INTERVAL_MIN;

    assert!(is_due_at_start && is_due_after_failure);
    assert!(!schedule.is_due(later, None));
    assert!(schedule.is_due(later, Some(SILENCE_MIN)));
    assert!(!schedule.is_due(start + READ_INTERVAL_MIN / 2, Some(SILENCE_MIN)));
    assert!(!schedule.is_due(later, Some(Duration::from_secs(3_600))));
}

#[test]
fn a_record_without_a_kind_is_of_a_content() {
    let fingerprint = suspect().fingerprint.to_hex();
    let value = format!(r#"{{"fingerprint": "{fingerprint}", "crashes": []}}"#);

    let read = decode(&record(value.as_bytes())).unwrap().unwrap();

    assert_eq!(read.kind, SuspectKind::Content);
}
