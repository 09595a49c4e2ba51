use std::time::Duration;

use super::Content;
use super::Outbox;
use super::Outgoing;
use super::Pace;
use super::Withdrawn;
use crate::clock::Time;
use crate::id::ClaimId;

const PACE: Pace = Pace {
    interval: Duration::from_millis(100),
    retry_max: Duration::from_millis(500),
    batch_records_max: 2,
};

fn record(number: u128) -> Outgoing {
    Outgoing {
        claim: ClaimId::from_u128(number),
        content: Content::Claim,
        data: number.to_string(),
    }
}

fn outbox_with(numbers: &[u128]) -> Outbox {
    let mut outbox = Outbox::new(PACE);
    for number in numbers {
        outbox.push(record(*number));
    }
    outbox
}

fn batch(number: u64, records: &[&str]) -> Option<(u64, Vec<String>)> {
    let records = records.iter().map(|data| (*data).to_owned());
    Some((number, records.collect()))
}

#[test]
fn records_that_wait_share_an_append() {
    let mut outbox = outbox_with(&[1, 2, 3]);

    let first = outbox.next(Time::ZERO);
    let while_in_flight = outbox.next(Time::from_ms(150));
    outbox.settled(0);
    let too_early = outbox.next(Time::from_ms(99));
    let second = outbox.next(Time::from_ms(100));

    assert_eq!(first, batch(0, &["1", "2"]));
    assert_eq!(while_in_flight, None);
    assert_eq!(too_early, None);
    assert_eq!(second, batch(1, &["3"]));
}

#[test]
fn a_refused_batch_goes_again_in_order() {
    let mut outbox = outbox_with(&[1, 2, 3]);
    outbox.next(Time::ZERO);

    outbox.refused(0, Time::from_ms(10));

    assert_eq!(outbox.next_at(), Some(Time::from_ms(110)));
    assert_eq!(outbox.next(Time::from_ms(110)), batch(1, &["1", "2"]));
}

#[test]
fn waits_grow_up_to_their_bound_and_start_again() {
    let mut outbox = outbox_with(&[1]);
    let mut now = Time::ZERO;
    let mut waits_ms = Vec::new();

    for number in 0..4 {
        outbox.next(now);
        outbox.refused(number, now);
        let next_at = outbox.next_at().unwrap();
        waits_ms.push(next_at.since(now).as_millis());
        now = next_at;
    }
    outbox.next(now);
    outbox.settled(4);
    outbox.push(record(2));
    outbox.next(now + PACE.interval);
    outbox.refused(5, now);

    assert_eq!(waits_ms, [100, 200, 400, 500]);
    assert_eq!(outbox.next_at(), Some(now + PACE.interval));
}

#[test]
fn nothing_is_sent_while_a_lost_batch_is_open() {
    let mut outbox = outbox_with(&[1, 2, 3]);
    outbox.next(Time::ZERO);
    outbox.lost(0, Time::from_ms(50));

    outbox.reached_head(Time::from_ms(50));
    let before = outbox.next(Time::from_ms(1_000));
    let was_settled = outbox.seen(ClaimId::from_u128(1), Content::Claim);
    outbox.reached_head(Time::from_ms(51));
    let after = outbox.next(Time::from_ms(1_000));

    assert_eq!(before, None);
    assert!(was_settled);
    assert_eq!(after, batch(1, &["2", "3"]));
}

#[test]
fn a_record_that_was_ever_sent_may_arrive() {
    let mut outbox = outbox_with(&[1, 2, 3]);
    outbox.next(Time::ZERO);
    outbox.lost(0, Time::ZERO);
    outbox.reached_head(Time::from_ms(1));

    let sent = outbox.withdraw(ClaimId::from_u128(1), Content::Claim);
    let waiting = outbox.withdraw(ClaimId::from_u128(3), Content::Claim);

    assert_eq!(sent, Withdrawn::MayArrive);
    assert_eq!(waiting, Withdrawn::NeverSent);
}

#[test]
fn answers_to_another_batch_are_ignored() {
    let mut outbox = outbox_with(&[1]);
    outbox.next(Time::ZERO);
    outbox.lost(0, Time::ZERO);

    outbox.settled(0);
    outbox.refused(0, Time::ZERO);

    assert!(outbox.holds(ClaimId::from_u128(1), Content::Claim));
    assert_eq!(outbox.next(Time::from_ms(1_000)), None);
}
