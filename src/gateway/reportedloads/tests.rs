use super::ReportedLoad;
use super::ReportedLoads;
use crate::clock::Time;
use crate::gateway::instance::InstanceId;
use crate::id::UpstreamId;

// Loads change many times a second: an old report would keep requests away from an upstream that is
// idle again.
#[test]
fn a_report_expires_after_its_ttl() {
    let upstream = InstanceId::from(UpstreamId::new("up-1")).key();
    let reported = ReportedLoad {
        running: 3,
        waiting: 2,
        slowness: 4.0,
    };
    let mut loads = ReportedLoads::default();
    loads.record(Time::from_ms(1_000), upstream, reported);

    assert_eq!(loads.fresh(Time::from_ms(1_100), upstream), Some(reported));
    assert_eq!(loads.fresh(Time::from_ms(1_150), upstream), None);
    loads.expire(Time::from_ms(1_150));
    assert!(loads.is_empty());
}
