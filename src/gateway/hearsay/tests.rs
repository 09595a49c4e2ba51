use std::collections::BTreeMap;

use super::GATHERED_FOR;
use super::Gathered;
use super::Hearsay;
use crate::clock::Time;
use crate::gateway::directory::DirectoryChange;
use crate::gateway::instance::InstanceId;
use crate::id::UpstreamId;

fn instance(index: usize) -> InstanceId {
    InstanceId::from(UpstreamId::new(format!("up-{index}")))
}

#[test]
fn a_wave_of_upstreams_is_one_line_with_its_counts_and_the_first_of_them() {
    let mut hearsay = Hearsay::default();
    for index in 0..10 {
        hearsay.note(
            Time::ZERO,
            "host-0",
            &instance(index),
            DirectoryChange::Leaving,
        );
        hearsay.note(
            Time::from_ms(900),
            "host-1",
            &instance(index),
            DirectoryChange::Removed,
        );
    }

    let early = hearsay.take_due(Time::from_ms(1_000));
    let due = hearsay.take_due(Time::ZERO + GATHERED_FOR);
    let nothing = hearsay.take_due(Time::ZERO + GATHERED_FOR * 2);

    assert_eq!((early, nothing), (None, None));
    let counts = BTreeMap::from([("leaving", 10), ("removed", 10)]);
    let first = vec![instance(0), instance(0), instance(1)];
    let host = "host-1".to_owned();
    assert_eq!(
        due,
        Some(Gathered {
            counts,
            first,
            host
        })
    );
}
