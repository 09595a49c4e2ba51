use std::collections::BTreeSet;
use std::time::Duration;

use tokio::time::Instant;

use super::first_tick_after;

// Guards against periodic tasks that each wake the process on their own: a dozen of them caused forty
// wake-ups a second.
#[test]
fn periodic_tasks_of_a_host_wake_together() {
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
