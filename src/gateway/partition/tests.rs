use std::time::Duration;

use super::PartitionChange;
use super::PartitionDetector;
use crate::id::ServiceId;

const SHORT_SILENCE: Option<Duration> = Some(Duration::from_millis(200));
const LONG_SILENCE: Option<Duration> = Some(Duration::from_millis(900));

fn service() -> Option<ServiceId> {
    Some(ServiceId::new("crew"))
}

#[test]
fn a_service_without_upstreams_counts_only_while_other_data_centres_are_silent() {
    let mut detector = PartitionDetector::default();

    assert_eq!(detector.update(SHORT_SILENCE, service), None);
    assert!(!detector.is_partitioned());
    assert_eq!(
        detector.update(LONG_SILENCE, service),
        service().map(PartitionChange::Lost)
    );
    assert!(detector.is_partitioned());
}

#[test]
fn a_host_that_never_heard_another_data_centre_is_not_partitioned() {
    let mut detector = PartitionDetector::default();

    assert_eq!(detector.update(None, service), None);
    assert!(!detector.is_partitioned());
}

#[test]
fn silence_with_a_reachable_service_is_no_partition() {
    let mut detector = PartitionDetector::default();

    assert_eq!(detector.update(LONG_SILENCE, || None), None);
    assert!(!detector.is_partitioned());
}

#[test]
fn a_lost_service_stays_lost_until_another_data_centre_is_heard() {
    let mut detector = PartitionDetector::default();
    detector.update(LONG_SILENCE, service);

    assert_eq!(detector.update(LONG_SILENCE, || None), None);
    assert!(detector.is_partitioned());
    assert_eq!(
        detector.update(SHORT_SILENCE, || None),
        service().map(PartitionChange::Restored)
    );
    assert!(!detector.is_partitioned());
}
