use super::Holder;
use super::Lease;
use super::LeaseOptions;
use super::LeaseRecord;
use super::LeaseScope;
use crate::clock::Time;
use crate::id::DataCentre;
use crate::id::HostId;
use crate::id::Incarnation;
use crate::id::Offset;
use crate::id::ServiceId;
use crate::platform::ReadAnswer;
use crate::platform::Record;

const START_MS: u64 = 1_796_000_000_000;

fn lease(host: &str) -> Lease {
    let scope = LeaseScope {
        data_centre: DataCentre::from("dc"),
        service: ServiceId::from("inspection"),
    };
    let me = Holder {
        host: HostId::from(host),
        incarnation: Incarnation(1),
    };
    Lease::new(scope, me, LeaseOptions::default())
}

/// The answer to a read whose first record has this offset.
fn answer(first: u64, at_ms: u64, records: &[&LeaseRecord]) -> ReadAnswer {
    let records = records.iter().zip(first..).map(|(record, offset)| Record {
        offset: Offset(offset),
        appended_at_ms: START_MS + at_ms,
        data: serde_json::to_string(record).unwrap(),
    });
    let records = records.collect::<Vec<_>>();
    ReadAnswer {
        head: Offset(first + records.len() as u64),
        first_retained: Offset(first),
        records,
    }
}

#[test]
fn the_term_counts_from_before_the_record_was_sent() {
    let mut lease = lease("a");
    lease.read(Time::ZERO, START_MS, &answer(0, 0, &[]));
    let take = lease.take(Time::from_ms(5), START_MS, Offset(1)).unwrap();

    lease.read(Time::from_ms(900), START_MS, &answer(0, 800, &[&take]));

    assert!(lease.held(Time::from_ms(30_004)).is_some());
    assert!(lease.held(Time::from_ms(30_005)).is_none());
}

#[test]
fn a_record_read_after_its_term_gives_nothing() {
    let mut lease = lease("a");
    lease.read(Time::ZERO, START_MS, &answer(0, 0, &[]));
    let take = lease.take(Time::from_ms(5), START_MS, Offset(1)).unwrap();

    let late = Time::from_ms(31_000);
    lease.read(late, START_MS, &answer(0, 100, &[&take]));

    assert_eq!(lease.held(late), None);
}

#[test]
fn after_missed_records_a_host_waits_a_whole_term() {
    let mut lease = lease("a");
    lease.read(Time::ZERO, START_MS, &answer(7, 0, &[]));

    let early = lease.take(Time::from_ms(1), START_MS + 39_999, Offset(1));
    let later = lease.take(Time::from_ms(2), START_MS + 40_000, Offset(1));

    assert_eq!(early, None);
    assert!(later.is_some());
}
