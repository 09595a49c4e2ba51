use std::time::Duration;

use super::Rests;
use crate::clock::Time;
use crate::gateway::instance::InstanceId;
use crate::id::UpstreamId;

const REST: Duration = Duration::from_secs(3);

fn upstream() -> InstanceId {
    InstanceId::from(UpstreamId::new("up-0"))
}

#[test]
fn an_upstream_rests_for_the_time_that_it_asked_for() {
    let mut rests = Rests::default();

    let is_new = rests.record(Time::from_ms(100), &upstream(), REST);

    let remaining = |ms| rests.remaining(Time::from_ms(ms), &upstream());
    assert!(is_new);
    assert_eq!(remaining(600), Some(Duration::from_millis(2_500)));
    assert_eq!(remaining(3_100), None);
}

#[test]
fn a_shorter_rest_does_not_end_a_longer_one() {
    let mut rests = Rests::default();
    rests.record(Time::ZERO, &upstream(), REST);

    let is_new = rests.record(Time::from_ms(500), &upstream(), Duration::from_secs(1));

    assert!(!is_new);
    let remaining = rests.remaining(Time::from_ms(500), &upstream());
    assert_eq!(remaining, Some(Duration::from_millis(2_500)));
}

#[test]
fn ended_rests_are_forgotten() {
    let mut rests = Rests::default();
    rests.record(Time::ZERO, &upstream(), REST);

    rests.expire(Time::from_ms(2_999));
    let during = rests.is_empty();
    rests.expire(Time::from_ms(3_000));

    assert!(!during && rests.is_empty());
}
