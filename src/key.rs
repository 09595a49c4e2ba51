//! Idempotency keys: UUIDs of version 7, which carry the time at which the caller made them.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use uuid::Uuid;
use uuid::Variant;

use crate::refusal::Code;
use crate::refusal::Refusal;

/// Most that the clocks of a caller, a host and the platform may differ, in milliseconds.
///
/// A constant, not a setting: two hosts that disagree on it could each believe they hold a key.
pub const CLOCK_SKEW_MS: u64 = 5_000;

/// A caller's idempotency key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct IdempotencyKey(Uuid);

impl IdempotencyKey {
    /// Reads a key from its text.
    ///
    /// # Errors
    ///
    /// A refusal with code `invalid_request` unless `text` is a UUID of version 7.
    pub fn parse(text: &str) -> Result<Self, Refusal> {
        Uuid::try_parse(text)
            .ok()
            .filter(|uuid| uuid.get_version_num() == 7 && uuid.get_variant() == Variant::RFC4122)
            .map(IdempotencyKey)
            .ok_or_else(|| {
                let message = format!("Idempotency-Key: {text:?} is not a UUID of version 7");
                Refusal::not_run(Code::InvalidRequest, message)
            })
    }

    /// The key made at `created_ms` with `random` in its other bits, for tests and load drivers.
    pub fn from_parts(created_ms: u64, random: u64) -> Self {
        let bytes = u128::from(random).to_be_bytes();
        let mut tail = [0; 10];
        tail.copy_from_slice(&bytes[6..]);
        IdempotencyKey(uuid::Builder::from_unix_timestamp_millis(created_ms, &tail).into_uuid())
    }

    /// When the caller made it, in milliseconds since the Unix epoch by the caller's clock.
    pub fn created_ms(self) -> u64 {
        u64::try_from(self.0.as_u128() >> 80).unwrap_or(u64::MAX)
    }

    /// The key's bytes.
    pub fn as_bytes(&self) -> &[u8; 16] {
        self.0.as_bytes()
    }

    /// Whether it was made later than `wall_ms`, beyond what clocks may differ.
    pub fn is_from_future(self, wall_ms: u64) -> bool {
        self.created_ms() > wall_ms.saturating_add(CLOCK_SKEW_MS)
    }

    /// Whether it is older at `wall_ms` than `window_ms`.
    pub fn is_expired(self, wall_ms: u64, window_ms: u64) -> bool {
        wall_ms > self.created_ms().saturating_add(window_ms)
    }
}

impl fmt::Display for IdempotencyKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

#[cfg(test)]
mod tests;
