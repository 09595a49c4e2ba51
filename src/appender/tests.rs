use std::time::Duration;

use uuid::Uuid;

use super::Action;
use super::Appender;
use super::AppenderOptions;
use super::BEYOND_HEAD;
use super::Entry;
use super::Input;
use crate::clock::Time;
use crate::id::Offset;
use crate::platform::AppendAnswer;
use crate::platform::ReadAnswer;
use crate::platform::Record;
use crate::quota::Quota;

#[test]
fn what_waits_while_an_append_is_in_flight_goes_together() {
    let mut fixture = Fixture::ready(10);

    let first = fixture.submit(1);
    let second = fixture.submit(2);
    let third = fixture.submit(3);
    let answered = fixture.step(appended(10));

    assert_eq!(first, [append(&[1])]);
    assert_eq!((second.len(), third.len()), (0, 0));
    assert_eq!(answered, [settled(1, 10), append(&[2, 3])]);
}

#[test]
fn a_lost_answer_is_looked_up_before_anything_else_is_appended() {
    let mut fixture = Fixture::ready(10);
    fixture.submit(1);

    let lost = fixture.step(Input::Lost);
    let meanwhile = fixture.submit(2);
    let found = fixture.step(read(
        0,
        13,
        &[(10, "other"), (11, "record 1"), (12, "other")],
    ));

    assert_eq!(lost, [Action::Read(Offset(10))]);
    assert_eq!(meanwhile, []);
    assert_eq!(found, [settled(1, 11), append(&[2])]);
}

#[test]
fn a_batch_not_found_is_appended_again_and_its_first_copy_counts() {
    let mut fixture = Fixture::ready(10);
    fixture.submit(1);
    fixture.step(Input::Lost);

    fixture.step(read(0, 10, &[]));
    let again = fixture.wake_after_pause();
    let answered = fixture.step(appended(12));
    // The first copy had arrived late, at 11.
    let searched = fixture.step(read(0, 13, &[(10, "other"), (11, "record 1")]));

    assert_eq!(again, [append(&[1])]);
    assert_eq!(answered, [Action::Read(Offset(10))]);
    assert_eq!(searched, [settled(1, 11)]);
}

#[test]
fn a_search_reads_page_after_page_up_to_the_head() {
    let mut fixture = Fixture::ready(10);
    fixture.submit(1);
    fixture.step(Input::Lost);

    let first = fixture.step(read(0, 12, &[(10, "other")]));
    let second = fixture.step(read(0, 12, &[(11, "record 1")]));

    assert_eq!(first, [Action::Read(Offset(11))]);
    assert_eq!(second, [settled(1, 11)]);
}

#[test]
fn retention_over_the_place_of_a_lost_append_leaves_it_unsettled() {
    let mut fixture = Fixture::ready(10);
    fixture.submit(1);
    fixture.step(Input::Lost);

    let actions = fixture.step(read(15, 20, &[]));

    assert_eq!(actions, [Action::Unsettled(id(1))]);
}

#[test]
fn what_was_never_written_expires_and_what_may_have_been_does_not() {
    let mut fixture = Fixture::ready(10);
    fixture.submit_until(1, Time::from_ms(50));
    fixture.step(Input::Lost);
    fixture.submit_until(2, Time::from_ms(50));

    fixture.now = Time::from_ms(60);
    let woken = fixture.step(Input::Wake);
    let found = fixture.step(read(0, 11, &[(10, "record 1")]));

    assert_eq!(woken, [Action::NotAppended(id(2))]);
    assert_eq!(found, [settled(1, 10)]);
}

#[test]
fn a_refused_append_waits_and_is_sent_again_without_a_search() {
    let mut fixture = Fixture::ready(10);
    fixture.submit(1);

    let refused = fixture.step(Input::Refused);
    let again = fixture.wake_after_pause();
    let answered = fixture.step(appended(10));

    assert!(matches!(refused[..], [Action::Wake(_)]), "{refused:?}");
    assert_eq!(again, [append(&[1])]);
    assert_eq!(answered, [settled(1, 10)]);
}

#[test]
fn the_budget_spaces_appends() {
    let mut fixture = Fixture::ready(10);
    fixture.quota = Quota::new(fixture.now, 10.0, 1e6, Duration::ZERO);
    fixture.submit(1);
    fixture.step(appended(10));

    let early = fixture.submit(2);
    fixture.now = Time::from_ms(100);
    let later = fixture.step(Input::Wake);

    assert_eq!(early, [Action::Wake(Time::from_ms(100))]);
    assert_eq!(later, [append(&[2])]);
}

struct Fixture {
    appender: Appender,
    quota: Quota,
    now: Time,
}

impl Fixture {
    /// An appender that knows that the head is at `head`.
    fn ready(head: u64) -> Self {
        let mut fixture = Fixture {
            appender: Appender::new(AppenderOptions::default(), 1),
            quota: Quota::new(Time::ZERO, 1e3, 1e9, Duration::from_secs(1)),
            now: Time::ZERO,
        };
        let probe = fixture.submit(0);
        assert_eq!(probe, [Action::Read(BEYOND_HEAD)]);
        fixture.step(read(0, head, &[]));
        fixture.step(appended(head - 1));
        fixture
    }

    fn submit(&mut self, number: u128) -> Vec<Action> {
        self.step(Input::Submit(entry(number, None)))
    }

    fn submit_until(&mut self, number: u128, at: Time) -> Vec<Action> {
        self.step(Input::Submit(entry(number, Some(at))))
    }

    fn wake_after_pause(&mut self) -> Vec<Action> {
        self.now = self.now + Duration::from_secs(10);
        self.step(Input::Wake)
    }

    fn step(&mut self, input: Input) -> Vec<Action> {
        self.appender.step(self.now, &mut self.quota, input)
    }
}

fn id(number: u128) -> Uuid {
    Uuid::from_u128(number)
}

fn entry(number: u128, expires_at: Option<Time>) -> Entry {
    Entry {
        id: id(number),
        data: format!("record {number}"),
        expires_at,
    }
}

fn append(numbers: &[u128]) -> Action {
    Action::Append(numbers.iter().map(|n| format!("record {n}")).collect())
}

fn settled(number: u128, offset: u64) -> Action {
    Action::Settled(id(number), Offset(offset))
}

fn appended(first_offset: u64) -> Input {
    Input::Appended(AppendAnswer {
        first_offset: Offset(first_offset),
    })
}

fn read(first_retained: u64, head: u64, records: &[(u64, &str)]) -> Input {
    let record = |(offset, data): &(u64, &str)| Record {
        offset: Offset(*offset),
        appended_at_ms: 0,
        data: (*data).to_owned(),
    };
    Input::Read(ReadAnswer {
        records: records.iter().map(record).collect(),
        first_retained: Offset(first_retained),
        head: Offset(head),
    })
}
