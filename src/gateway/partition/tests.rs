use std::time::Duration;

use super::PartitionChange;
use super::PartitionDetector;
use crate::id::ServiceId;

const HEARD: Option<Duration> = Some(Duration::from_millis(200));
const SILENT: Option<Duration> = Some(Duration::from_millis(900));

fn service() -> Option<ServiceId> {
    Some(ServiceId::new("crew"))
}

#[test]
fn a_service_without_upstreams_counts_only_while_other_data_centres_are_silent() {
    let mut cut_off = PartitionDetector::default();

    assert_eq!(cut_off.update(HEARD, service), None);
    assert!(!cut_off.is_partitioned());
    assert_eq!(
        cut_off.update(SILENT, service),
        service().map(PartitionChange::Lost)
    );
    assert!(cut_off.is_partitioned());
}

#[test]
fn a_host_that_never_heard_another_data_centre_is_not_cut_off() {
    let mut cut_off = PartitionDetector::default();

    assert_eq!(cut_off.update(None, service), None);
    assert!(!cut_off.is_partitioned());
}

#[test]
fn a_silence_alone_is_no_reason() {
    let mut cut_off = PartitionDetector::default();

    assert_eq!(cut_off.update(SILENT, || None), None);
    assert!(!cut_off.is_partitioned());
}

#[test]
fn a_lost_service_stays_lost_until_others_are_heard() {
    let mut cut_off = PartitionDetector::default();
    cut_off.update(SILENT, service);

    assert_eq!(cut_off.update(SILENT, || None), None);
    assert!(cut_off.is_partitioned());
    assert_eq!(
        cut_off.update(HEARD, || None),
        service().map(PartitionChange::Restored)
    );
    assert!(!cut_off.is_partitioned());
}
