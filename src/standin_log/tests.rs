use std::time::Duration;

use super::Log;
use super::Pace;
use crate::clock::Time;
use crate::id::Offset;

const STREAM: &str = "config";

fn log_with(records: &[&str]) -> Log {
    let mut log = Log::new(100.0);
    for (at_ms, record) in records.iter().enumerate() {
        log.append(STREAM, vec![(*record).to_owned()], at_ms as u64);
    }
    log
}

#[test]
fn a_batch_is_appended_without_a_gap() {
    let mut log = log_with(&["a"]);

    let first = log.append(STREAM, vec!["b".to_owned(), "c".to_owned()], 1);

    let answer = log.read(STREAM, Offset(1), 10, 1);
    let read: Vec<_> = answer.records.iter().map(|r| r.data.as_str()).collect();
    assert_eq!(first, Offset(1));
    assert_eq!(read, ["b", "c"]);
    assert_eq!(answer.head, Offset(3));
}

#[test]
fn retention_by_count_and_by_age_moves_the_first_offset() {
    let mut by_count = log_with(&["a", "b", "c"]);
    let mut by_age = log_with(&["a", "b", "c"]);

    by_count.retain(None, Some(1));
    by_age.retain(Some(1), None);

    assert_eq!(
        by_count.read(STREAM, Offset(0), 10, 2).first_retained,
        Offset(2)
    );
    assert_eq!(
        by_age.read(STREAM, Offset(0), 10, 2).first_retained,
        Offset(1)
    );
}

#[test]
fn an_emptied_stream_keeps_its_head() {
    let mut log = log_with(&["a", "b"]);

    log.retain(Some(1), None);
    let answer = log.read(STREAM, Offset(0), 10, 1_000);

    assert!(answer.records.is_empty());
    assert_eq!(answer.first_retained, Offset(2));
    assert_eq!(answer.head, Offset(2));
}

#[test]
fn a_pace_refuses_beyond_its_rate_and_says_when() {
    let mut pace = Pace::new(2.0);
    let now = Time::from_ms(1_000);

    let taken = [pace.take(now), pace.take(now), pace.take(now)];

    assert_eq!(taken, [Ok(()), Ok(()), Err(Duration::from_millis(500))]);
    assert_eq!(pace.take(Time::from_ms(1_500)), Ok(()));
}
