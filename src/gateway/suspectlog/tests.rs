use std::time::Duration;

use bytes::Bytes;
use tokio::time::Instant;

use super::KEPT;
use super::READ_INTERVAL_MIN;
use super::Reading;
use super::SILENCE;
use super::StoredSuspect;
use super::stored;
use crate::fingerprint::Content;
use crate::fingerprint::Fingerprint;
use crate::gateway::instance::InstanceId;
use crate::gateway::instance::InstanceKey;
use crate::gateway::protocol::Record;
use crate::gateway::suspects::AnnouncedSuspect;
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
fn what_is_written_is_read_with_the_time_that_has_passed() {
    let written = StoredSuspect::new(&suspect(), NOW_MS);
    let value = serde_json::to_vec(&written).unwrap();

    let read = stored(&record(&value)).unwrap().unwrap();
    let told = read.told(NOW_MS + 10_000).unwrap();

    assert_eq!(told.fingerprint, suspect().fingerprint);
    assert_eq!(told.crashes, [(key(0), 10_900), (key(1), 10_050)]);
    assert_eq!(told.answered_ms_ago, Some(80_000));
}

#[test]
fn a_clock_that_is_behind_takes_crashes_for_new() {
    let written = StoredSuspect::new(&suspect(), NOW_MS);

    let told = written.told(NOW_MS - 60_000).unwrap();

    assert_eq!(told.crashes, [(key(0), 0), (key(1), 0)]);
}

#[test]
fn records_that_hold_no_suspect_are_told_apart() {
    let unreadable = [&b""[..], b"{}", b"host-1", b"[1, 2", &[0xff, 0xfe]];
    let mut wrong = StoredSuspect::new(&suspect(), NOW_MS);
    wrong.fingerprint = "xyz".to_owned();

    for value in unreadable {
        assert!(stored(&record(value)).is_err(), "{value:?}");
    }
    let removed = Record {
        value: None,
        ..record(b"")
    };
    assert_eq!(stored(&removed).unwrap(), None);
    assert!(wrong.told(NOW_MS).is_err());
}

#[test]
fn a_record_is_old_a_day_after_the_last_thing_that_it_tells() {
    let written = StoredSuspect::new(&suspect(), NOW_MS);
    let day_ms = KEPT.as_millis() as u64;

    assert!(!written.is_old(NOW_MS + day_ms - 51));
    assert!(written.is_old(NOW_MS + day_ms));
}

#[test]
fn the_topic_is_read_once_and_again_while_a_data_centre_is_silent() {
    let mut reading = Reading::default();
    let start = Instant::now();
    let is_due_at_start = reading.is_due(start, None);
    reading.tried(start, false);
    let is_tried_again = reading.is_due(start + READ_INTERVAL_MIN, None);
    reading.tried(start, true);
    let later = start + READ_INTERVAL_MIN;

    assert!(is_due_at_start && is_tried_again);
    assert!(!reading.is_due(later, None));
    assert!(reading.is_due(later, Some(SILENCE)));
    assert!(!reading.is_due(start + READ_INTERVAL_MIN / 2, Some(SILENCE)));
    assert!(!reading.is_due(later, Some(Duration::from_secs(3_600))));
}
