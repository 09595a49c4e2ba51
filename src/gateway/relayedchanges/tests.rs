use std::collections::BTreeMap;

use super::ChangeSummary;
use super::RelayedChanges;
use super::SUMMARY_INTERVAL;
use crate::clock::Time;
use crate::gateway::directory::DirectoryChange;
use crate::gateway::instance::InstanceId;
use crate::id::UpstreamId;

fn instance(index: usize) -> InstanceId {
    InstanceId::from(UpstreamId::new(format!("up-{index}")))
}

#[test]
fn changes_are_summarised_in_one_entry() {
    let mut changes = RelayedChanges::default();
    for index in 0..10 {
        changes.record(
            Time::ZERO,
            "host-0",
            &instance(index),
            DirectoryChange::Leaving,
        );
        changes.record(
            Time::from_ms(900),
            "host-1",
            &instance(index),
            DirectoryChange::Removed,
        );
    }

    let early = changes.take_due(Time::from_ms(1_000));
    let due = changes.take_due(Time::ZERO + SUMMARY_INTERVAL);
    let nothing = changes.take_due(Time::ZERO + SUMMARY_INTERVAL * 2);

    assert_eq!((early, nothing), (None, None));
    let counts = BTreeMap::from([("leaving", 10), ("removed", 10)]);
    let first = vec![instance(0), instance(0), instance(1)];
    let host = "host-1".to_owned();
    assert_eq!(
        due,
        Some(ChangeSummary {
            counts,
            first,
            host
        })
    );
}
