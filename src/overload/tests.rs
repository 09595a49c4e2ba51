use super::DrainRate;
use crate::clock::Time;

fn record(rate: &mut DrainRate, ms: u64, crowded: bool, grants: usize) {
    rate.record_time(Time::from_ms(ms), crowded);
    for _ in 0..grants {
        rate.record_grant();
    }
}

#[test]
fn the_rate_is_that_of_the_crowded_time_only() {
    let mut rate = DrainRate::default();
    for ms in (0..20_000).step_by(100) {
        record(&mut rate, ms, true, 1);
    }
    for ms in (20_000..60_000).step_by(100) {
        record(&mut rate, ms, false, 5);
    }

    let per_s = rate.per_s().unwrap();

    assert!((9.0..11.0).contains(&per_s), "{per_s}");
    assert!((900.0..1_100.0).contains(&rate.wait_ms(10.0).unwrap()));
}

#[test]
fn nothing_is_predicted_before_crowding_was_seen() {
    let mut rate = DrainRate::default();
    record(&mut rate, 0, true, 3);
    record(&mut rate, 1_000, true, 3);

    assert_eq!(rate.wait_ms(1.0), None);
}

#[test]
fn a_drop_in_the_rate_is_followed_within_the_window() {
    let mut rate = DrainRate::default();
    for ms in (0..30_000).step_by(100) {
        record(&mut rate, ms, true, 4);
    }
    for ms in (30_000..50_000).step_by(100) {
        record(&mut rate, ms, true, 1);
    }

    let per_s = rate.per_s().unwrap();

    assert!((10.0..16.0).contains(&per_s), "{per_s}");
}
