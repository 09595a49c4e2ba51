use std::time::Duration;

use super::CARRIED_MAX;
use super::CARRIED_PER_S;
use super::CarrierLimits;
use crate::clock::Time;

#[test]
fn a_host_carries_a_bounded_number_of_connections() {
    let mut limits = CarrierLimits::new(Time::ZERO);
    let mut places = Vec::new();
    let admit_at = |second| Time::ZERO + Duration::from_secs(second);
    for second in 0..10 {
        places.extend(std::iter::from_fn(|| limits.admit(admit_at(second))));
    }

    assert_eq!(places.len(), CARRIED_MAX);
    assert_eq!(limits.carried(), CARRIED_MAX);

    places.pop();
    assert!(limits.admit(admit_at(11)).is_some());
}

#[test]
fn connections_that_end_at_once_are_carried_at_a_bounded_rate() {
    let mut limits = CarrierLimits::new(Time::ZERO);
    let short = |limits: &mut CarrierLimits, at| {
        std::iter::from_fn(|| limits.admit(at).map(drop))
            .take(1_000)
            .count()
    };

    let first = short(&mut limits, Time::ZERO);
    let in_next_second = short(&mut limits, Time::from_ms(1_000));

    assert_eq!(first, CARRIED_PER_S as usize);
    assert_eq!(in_next_second, CARRIED_PER_S as usize);
}
