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
fn receivers_that_are_frozen_hold_up_nobody_for_longer_than_half_a_second() {
    let mut transfers = Transfers::default();
    while transfers.begin(Time::ZERO).is_some() {}

    assert!(transfers.begin(Time::from_ms(400)).is_none());
    assert!(transfers.begin(Time::from_ms(500)).is_some());
}

#[test]
fn a_long_transfer_counts_as_long_as_it_makes_progress() {
    let mut transfers = Transfers::default();
    let tickets: Vec<Ticket> = std::iter::from_fn(|| transfers.begin(Time::ZERO)).collect();
    for at in (0..5_000).step_by(300).map(Time::from_ms) {
        assert!(transfers.begin(at).is_none());
        for ticket in &tickets {
            transfers.record_progress(at, *ticket);
        }
    }
}
