use std::time::Duration;

use super::EVIDENCE_MAX;
use super::Evidence;
use super::TTL;
use super::UnconfirmedEvidence;
use crate::clock::Time;
use crate::gateway::instance::InstanceId;
use crate::id::ServiceId;
use crate::id::UpstreamId;

fn evidence() -> Evidence {
    let upstream = InstanceId::from(UpstreamId::new("a"));
    Evidence::FailedCall(ServiceId::new("nets"), upstream)
}

#[test]
fn a_response_to_a_later_request_confirms_evidence() {
    let mut unconfirmed = UnconfirmedEvidence::default();
    unconfirmed.add(Time::from_ms(100), evidence());

    let by_earlier = unconfirmed.confirm(Time::from_ms(100));
    let by_later = unconfirmed.confirm(Time::from_ms(101));

    assert_eq!(by_earlier, []);
    assert_eq!(by_later, [(Time::from_ms(100), evidence())]);
    assert_eq!(unconfirmed.confirm(Time::from_ms(102)), []);
}

#[test]
fn evidence_that_is_not_confirmed_is_dropped() {
    let mut unconfirmed = UnconfirmedEvidence::default();
    let failed_at = Time::from_ms(100);
    unconfirmed.add(failed_at, evidence());

    let in_time = unconfirmed.expire(failed_at + TTL);
    let later = unconfirmed.expire(failed_at + TTL + Duration::from_millis(1));

    assert_eq!((in_time, later), (0, 1));
}

#[test]
fn evidence_is_bounded() {
    let mut unconfirmed = UnconfirmedEvidence::default();
    for ms in 0..2 * EVIDENCE_MAX as u64 {
        unconfirmed.add(Time::from_ms(ms), evidence());
    }

    assert_eq!(
        unconfirmed.confirm(Time::from_ms(u64::MAX / 1_000)).len(),
        EVIDENCE_MAX
    );
}
