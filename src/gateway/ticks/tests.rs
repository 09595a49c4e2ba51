use std::collections::BTreeSet;
use std::time::Duration;

use tokio::time::Instant;

use super::first_tick_after;

// A dozen tasks woke a host forty times a second, each by itself.
#[test]
fn tasks_of_one_host_look_together() {
    let started = Instant::now();
    let intervals = [100, 100, 100, 200, 250, 250, 250].map(Duration::from_millis);
    let mut wakes = BTreeSet::new();
    for (index, interval) in intervals.into_iter().enumerate() {
        let mut now = started + Duration::from_millis(7 * index as u64);
        while now < started + Duration::from_secs(1) {
            now = first_tick_after(started, now, interval);
            wakes.insert(now);
        }
    }

    assert_eq!(wakes.len(), 12);
}
