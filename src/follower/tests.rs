use super::Action;
use super::Follower;
use super::Input;
use super::StreamEvent;
use crate::appender::AppenderOptions;
use crate::clock::Time;
use crate::id::Offset;
use crate::platform::ReadAnswer;
use crate::platform::Record;

#[test]
fn records_are_delivered_in_order_and_the_next_read_waits() {
    let mut follower = follower(0);

    let started = follower.step(Time::ZERO, Input::Wake);
    let first = follower.step(Time::ZERO, Input::Read(answer(0, 2, &[(0, "a"), (1, "b")])));

    assert_eq!(started, [reading(0, false)]);
    let expected = [
        Action::Tell(StreamEvent::Read(answer(0, 2, &[(0, "a"), (1, "b")]))),
        reading(2, true),
    ];
    assert_eq!(first, expected);
}

#[test]
fn retention_beyond_what_was_read_is_told_as_a_gap() {
    let mut follower = follower(3);

    let actions = follower.step(Time::ZERO, Input::Read(answer(7, 8, &[(7, "h")])));

    let gap = StreamEvent::Gap {
        from: Offset(3),
        first_retained: Offset(7),
    };
    assert_eq!(actions[0], Action::Tell(gap));
    assert_eq!(follower.next_offset(), Offset(8));
}

#[test]
fn after_an_outage_the_last_record_is_read_again_but_not_delivered_again() {
    let mut follower = follower(0);
    follower.step(Time::ZERO, Input::Read(answer(0, 1, &[(0, "a")])));

    let failed = follower.step(Time::ZERO, Input::Failed);
    let failed_again = follower.step(Time::ZERO, Input::Failed);
    let woken = follower.step(Time::ZERO, Input::Wake);
    let back = follower.step(Time::ZERO, Input::Read(answer(0, 2, &[(0, "a"), (1, "b")])));

    assert_eq!(failed[0], Action::Tell(StreamEvent::Unreachable));
    assert!(matches!(failed_again[..], [Action::Wake(_)]));
    assert_eq!(woken, [reading(0, false)]);
    assert_eq!(
        back[0],
        Action::Tell(StreamEvent::Read(answer(0, 2, &[(1, "b")])))
    );
}

#[test]
fn another_history_is_told_once_and_not_delivered_until_the_old_one_is_back() {
    let mut follower = follower(0);
    follower.step(Time::ZERO, Input::Read(answer(0, 2, &[(0, "a"), (1, "b")])));
    follower.step(Time::ZERO, Input::Failed);

    let wiped = follower.step(Time::ZERO, Input::Read(answer(0, 1, &[])));
    let grown = follower.step(Time::ZERO, Input::Read(answer(0, 3, &[(1, "x"), (2, "y")])));
    let restored = follower.step(Time::ZERO, Input::Read(answer(0, 3, &[(1, "b"), (2, "c")])));

    let foreign = StreamEvent::Foreign { head: Offset(1) };
    assert_eq!(wiped[0], Action::Tell(foreign));
    assert!(matches!(grown[..], [Action::Wake(_)]));
    assert_eq!(
        restored[0],
        Action::Tell(StreamEvent::Read(answer(0, 3, &[(2, "c")])))
    );
}

#[test]
fn a_log_wiped_and_grown_between_two_reads_is_found_by_checking_always() {
    let mut follower = follower(0).checking_always();
    follower.step(Time::ZERO, Input::Read(answer(0, 2, &[(0, "a"), (1, "b")])));

    let unchecked = follower.step(Time::ZERO, Input::Read(answer(0, 3, &[(2, "z")])));
    let checked = follower.step(Time::ZERO, Input::Read(answer(0, 3, &[(1, "y"), (2, "z")])));

    assert_eq!(unchecked, [reading(1, false)]);
    assert_eq!(
        checked[0],
        Action::Tell(StreamEvent::Foreign { head: Offset(3) })
    );
}

#[test]
fn records_with_a_hole_are_not_delivered() {
    let mut follower = follower(0);

    let actions = follower.step(Time::ZERO, Input::Read(answer(0, 3, &[(0, "a"), (2, "c")])));

    assert_eq!(actions[0], Action::Tell(StreamEvent::Unreachable));
    assert_eq!(follower.next_offset(), Offset(0));
}

fn follower(next: u64) -> Follower {
    Follower::new(AppenderOptions::default(), Offset(next), 1)
}

fn reading(from: u64, wait: bool) -> Action {
    Action::Read {
        from: Offset(from),
        wait,
    }
}

fn answer(first_retained: u64, head: u64, records: &[(u64, &str)]) -> ReadAnswer {
    let record = |(offset, data): &(u64, &str)| Record {
        offset: Offset(*offset),
        appended_at_ms: 0,
        data: (*data).to_owned(),
    };
    ReadAnswer {
        records: records.iter().map(record).collect(),
        first_retained: Offset(first_retained),
        head: Offset(head),
    }
}
