//! Aligned wake-up times for periodic tasks.
//!
//! A host runs a dozen periodic tasks. Waking the process costs far more than the check that a task makes, so
//! tasks wake at multiples of their intervals since the process started, and mostly together.

use std::sync::OnceLock;
use std::time::Duration;

use tokio::time::Instant;

/// Sleeps until the next multiple of `interval`.
pub(crate) async fn tick(interval: Duration) {
    tokio::time::sleep_until(next_tick(Instant::now(), interval)).await;
}

/// Returns the next tick after `now`, counted from the first call in this process.
fn next_tick(now: Instant, interval: Duration) -> Instant {
    static STARTED: OnceLock<Instant> = OnceLock::new();
    let started = *STARTED.get_or_init(|| now);
    first_tick_after(started, now, interval)
}

/// Returns the first multiple of `interval` since `started` that is later than `now`.
fn first_tick_after(started: Instant, now: Instant, interval: Duration) -> Instant {
    let elapsed = now.saturating_duration_since(started);
    let over_ns = elapsed.as_nanos() % interval.as_nanos().max(1);
    let over = Duration::from_nanos(u64::try_from(over_ns).unwrap_or(0));
    now + interval.saturating_sub(over)
}

#[cfg(test)]
mod tests;
