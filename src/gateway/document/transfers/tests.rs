use super::TRANSFERS_MAX;
use super::Ticket;
use super::Transfers;
use crate::clock::Time;

#[test]
fn a_few_are_served_at_once() {
    let mut transfers = Transfers::default();
    let tickets: Vec<Ticket> = std::iter::from_fn(|| transfers.begin(Time::ZERO)).collect();

    assert_eq!(tickets.len(), TRANSFERS_MAX);
    transfers.end(tickets[0]);
    assert!(transfers.begin(Time::ZERO).is_some());
    assert!(transfers.begin(Time::ZERO).is_none());
}

#[test]
fn receivers_that_are_frozen_hold_up_nobody_for_longer_than_a_second() {
    let mut transfers = Transfers::default();
    while transfers.begin(Time::ZERO).is_some() {}

    assert!(transfers.begin(Time::from_ms(500)).is_none());
    assert!(transfers.begin(Time::from_ms(1_000)).is_some());
}
