use super::FleetSize;
use super::WINDOW;
use crate::clock::Time;

const START: Time = Time::from_ms(1_000);

#[test]
fn departed_hosts_count_for_the_whole_window() {
    let mut size = FleetSize::default();
    size.record_own(START, 6);
    size.record_own(START + WINDOW / 2, 1);

    assert_eq!(size.max(START + WINDOW / 2), 6);
    assert_eq!(size.max(START + WINDOW), 6);
}

#[test]
fn a_shrunk_fleet_is_recounted_after_the_window() {
    let mut size = FleetSize::default();
    size.record_own(START, 300);
    for span in 1..=3 {
        size.record_own(START + WINDOW * span, 30);
    }

    assert_eq!(size.max(START + WINDOW * 3), 30);
}

#[test]
fn a_size_expires_without_new_counts() {
    let mut size = FleetSize::default();
    size.receive(START, 6);

    assert_eq!(size.max(START + WINDOW * 3), 0);
}

#[test]
fn received_counts_are_used_but_not_announced() {
    let mut size = FleetSize::default();
    size.record_own(START, 2);
    size.receive(START, 6);

    assert_eq!((size.max(START), size.own_max(START)), (6, 2));
}
