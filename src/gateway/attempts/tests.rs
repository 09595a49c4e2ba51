use std::time::Duration;

use super::Attempts;
use super::SENDS_MAX;
use crate::gateway::instance::InstanceId;
use crate::id::UpstreamId;

fn tries(count: usize) -> Attempts {
    let mut tries = Attempts::default();
    for index in 0..count {
        tries.add(&InstanceId::from(UpstreamId::new(format!(
            "upstream-{index}"
        ))));
    }
    tries
}

const PATIENCE: Duration = Duration::from_millis(900);

#[test]
fn the_first_upstreams_are_tried_however_long_it_takes() {
    let tries = tries(SENDS_MAX - 1);

    assert!(tries.may_look_further(PATIENCE * 2, PATIENCE));
}

#[test]
fn further_ones_are_tried_while_the_answer_may_be_in_time() {
    let tries = tries(SENDS_MAX + 10);

    assert!(tries.may_look_further(PATIENCE - Duration::from_millis(1), PATIENCE));
    assert!(!tries.may_look_further(PATIENCE, PATIENCE));
}
