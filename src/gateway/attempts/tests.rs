use std::time::Duration;

use super::Attempts;
use super::SENDS_MAX;
use crate::gateway::instance::InstanceId;
use crate::id::UpstreamId;

fn attempts(count: usize) -> Attempts {
    let mut attempts = Attempts::default();
    for index in 0..count {
        attempts.add(&InstanceId::from(UpstreamId::new(format!(
            "upstream-{index}"
        ))));
    }
    attempts
}

const TIME_LIMIT: Duration = Duration::from_millis(900);

#[test]
fn the_first_upstreams_are_tried_beyond_the_time_limit() {
    let attempts = attempts(SENDS_MAX - 1);

    assert!(attempts.may_try_another(TIME_LIMIT * 2, TIME_LIMIT));
}

#[test]
fn more_upstreams_are_tried_only_within_the_time_limit() {
    let attempts = attempts(SENDS_MAX + 10);

    assert!(attempts.may_try_another(TIME_LIMIT - Duration::from_millis(1), TIME_LIMIT));
    assert!(!attempts.may_try_another(TIME_LIMIT, TIME_LIMIT));
}

// Guards against a refusal while other hosts reach the upstreams: those that failed by the host's own links were
// left out.
#[test]
fn unreachable_upstreams_are_tried_again_once_the_host_is_cut_off() {
    let mut attempts = attempts(1);
    attempts.record_unreachable(false);
    let untried = attempts.upstreams().len();
    attempts.add(&InstanceId::from(UpstreamId::new("second")));
    attempts.record_unreachable(true);

    assert_eq!((untried, attempts.upstreams().len()), (1, 0));
    assert_eq!(attempts.len(), 2);
}

#[test]
fn upstreams_that_other_hosts_do_not_reach_either_are_not_tried_again() {
    let mut attempts = attempts(1);
    attempts.record_unreachable(true);
    attempts.add(&InstanceId::from(UpstreamId::new("carried")));
    attempts.record_unreachable(true);

    assert_eq!(attempts.upstreams().len(), 1);
}
