//! Time as the decision code sees it: a monotonic reading that is always passed in.
//!
//! No decision reads a clock. The actors that own a decision read [`SystemClock`] and pass the
//! reading along, so that scenarios and replay can run the same code in virtual time.

use std::ops::Add;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use nix::time::ClockId;
use nix::time::clock_gettime;
use serde::Deserialize;
use serde::Serialize;

/// A monotonic reading in microseconds since an origin that the process chose.
///
/// Two readings compare only if they come from the same process.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Time(u64);

impl Time {
    /// The origin.
    pub const ZERO: Time = Time(0);

    /// A reading `us` microseconds after the origin.
    pub const fn from_us(us: u64) -> Self {
        Time(us)
    }

    /// A reading `ms` milliseconds after the origin.
    pub const fn from_ms(ms: u64) -> Self {
        Time(ms * 1_000)
    }

    /// Microseconds since the origin.
    pub const fn as_us(self) -> u64 {
        self.0
    }

    /// Whole milliseconds since the origin.
    pub const fn as_ms(self) -> u64 {
        self.0 / 1_000
    }

    /// Time since `earlier`, or zero if `earlier` is later.
    pub const fn since(self, earlier: Time) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

/// No request is kept for longer than this, whatever its caller or its route allows: longer than any
/// generation runs, and short enough to be added to any reading of a clock.
const REQUEST_TIME_MAX: Duration = Duration::from_secs(24 * 60 * 60);

/// A time that a caller or an operator gives, in milliseconds, cut to what a request may be kept.
pub fn request_time(ms: f64) -> Duration {
    bounded_seconds(ms.max(0.0) / 1_000.0)
}

/// A time of `seconds` that was computed from what others report, cut to what a request may be kept. What is no number
/// counts as the longest time.
pub fn bounded_seconds(seconds: f64) -> Duration {
    let time = Duration::try_from_secs_f64(if seconds < 0.0 { 0.0 } else { seconds });
    time.map_or(REQUEST_TIME_MAX, |time| time.min(REQUEST_TIME_MAX))
}

impl Add<Duration> for Time {
    type Output = Time;

    fn add(self, rhs: Duration) -> Time {
        let us = u64::try_from(rhs.as_micros()).unwrap_or(u64::MAX);
        Time(self.0.saturating_add(us))
    }
}

/// The operating system's clocks, read at the edge of a process.
#[derive(Debug, Clone, Copy)]
pub struct SystemClock {
    origin: std::time::Instant,
    /// The reading of the clock that counts suspensions at the origin; none where there is no such clock.
    boot_origin: Option<Duration>,
    /// Milliseconds for which a test has the host suspended.
    suspended_ms: Option<&'static AtomicU64>,
    /// Time for which a test has the host run before the origin.
    age: Duration,
}

impl SystemClock {
    /// A clock whose origin is now.
    pub fn new() -> Self {
        SystemClock {
            origin: std::time::Instant::now(),
            boot_origin: since_boot(),
            suspended_ms: None,
            age: Duration::ZERO,
        }
    }

    /// The clock of a test's host that has run for `age`.
    pub fn aged(self, age: Duration) -> Self {
        SystemClock { age, ..self }
    }

    /// A clock of a host that a test suspends: the time of `suspended_ms` counts for [`SystemClock::now`] and not for
    /// [`SystemClock::steady`].
    pub fn of_suspended(suspended_ms: &'static AtomicU64) -> Self {
        SystemClock {
            suspended_ms: Some(suspended_ms),
            ..SystemClock::new()
        }
    }

    /// The monotonic time since the origin, that of suspensions included.
    pub fn now(&self) -> Time {
        let elapsed = match (self.boot_origin, since_boot()) {
            (Some(origin), Some(now)) => now.saturating_sub(origin),
            _ => self.origin.elapsed(),
        };
        let suspended_ms = self.suspended_ms.map_or(0, |ms| ms.load(Ordering::Relaxed));
        Time::ZERO + self.age + elapsed + Duration::from_millis(suspended_ms)
    }

    /// The time since the origin without that of suspensions, as timers count it.
    pub fn steady(&self) -> Time {
        Time::ZERO + self.age + self.origin.elapsed()
    }

    /// Wall-clock milliseconds since the Unix epoch.
    pub fn wall_ms(&self) -> u64 {
        wall_ms()
    }
}

impl Default for SystemClock {
    fn default() -> Self {
        SystemClock::new()
    }
}

/// Time since the machine's start, that of suspensions included.
fn since_boot() -> Option<Duration> {
    let time = clock_gettime(ClockId::CLOCK_BOOTTIME).ok()?;
    let seconds = u64::try_from(time.tv_sec()).ok()?;
    let nanoseconds = u32::try_from(time.tv_nsec()).ok()?;
    Some(Duration::new(seconds, nanoseconds))
}

/// Wall-clock milliseconds since the Unix epoch.
pub fn wall_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| {
            u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
        })
}
