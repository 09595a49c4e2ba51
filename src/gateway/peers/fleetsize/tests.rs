use super::FleetSize;
use super::REMEMBERED;
use crate::clock::Time;

const START: Time = Time::from_ms(1_000);

#[test]
fn hosts_that_are_gone_count_for_as_long_as_a_cut_lasts() {
    let mut size = FleetSize::default();
    size.count(START, 6);
    size.count(START + REMEMBERED / 2, 1);

    assert_eq!(size.most(START + REMEMBERED / 2), 6);
    assert_eq!(size.most(START + REMEMBERED), 6);
}

#[test]
fn a_fleet_that_has_shrunk_is_counted_anew_in_time() {
    let mut size = FleetSize::default();
    size.count(START, 300);
    for span in 1..=3 {
        size.count(START + REMEMBERED * span, 30);
    }

    assert_eq!(size.most(START + REMEMBERED * 3), 30);
}

#[test]
fn a_size_that_nobody_has_counted_of_late_is_forgotten() {
    let mut size = FleetSize::default();
    size.hear(START, 6);

    assert_eq!(size.most(START + REMEMBERED * 3), 0);
}

#[test]
fn what_others_tell_is_known_and_not_told_on() {
    let mut size = FleetSize::default();
    size.count(START, 2);
    size.hear(START, 6);

    assert_eq!((size.most(START), size.counted(START)), (6, 2));
}
