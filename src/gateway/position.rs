//! Positions in the platform's log, which may be restored from an older copy.
//!
//! A restore loses the records written after the copy and assigns their offsets again. Every answer of the
//! log states its era, which grows with each restore. Offsets of different eras can't be compared, so a
//! position is an era and an offset, ordered in the order of writing.

use std::fmt;

use http::HeaderMap;
use http::HeaderName;
use serde::Deserialize;
use serde::Serialize;

/// Number of a period between two restores of the log. A log that states eras starts at 1; 0 stands for a
/// log that states none.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Era(u64);

impl Era {
    /// Returns the era with this number.
    pub const fn new(number: u64) -> Self {
        Era(number)
    }

    /// The number of the era; 0 if the log states none.
    pub const fn number(self) -> u64 {
        self.0
    }
}

impl fmt::Display for Era {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// The era that an answer of the log states.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StatedEra {
    /// None is stated: the era is the latest known one.
    Nothing,
    /// The stated era.
    Era(Era),
    /// The stated value is not a number above 0.
    Unreadable,
}

impl StatedEra {
    /// Parses the era from the header `name`.
    pub fn from_headers(headers: &HeaderMap, name: &HeaderName) -> Self {
        let Some(value) = headers.get(name) else {
            return StatedEra::Nothing;
        };
        let number = value.to_str().ok().and_then(|text| text.parse().ok());
        match number {
            Some(number) if number > 0 => StatedEra::Era(Era(number)),
            Some(_) | None => StatedEra::Unreadable,
        }
    }
}

/// A position in one topic of the log.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Position {
    /// The era in which the offset was assigned.
    pub era: Era,
    /// The number of a record within the topic.
    pub offset: u64,
}

impl Position {
    /// Returns the position of `offset` in `era`.
    pub const fn new(era: Era, offset: u64) -> Self {
        Position { era, offset }
    }

    /// The preceding position in the same era, or this one if its offset is 0.
    pub const fn before(self) -> Self {
        Position::new(self.era, self.offset.saturating_sub(1))
    }
}

/// Converts an offset of a log that states no era.
impl From<u64> for Position {
    fn from(offset: u64) -> Self {
        Position::new(Era(0), offset)
    }
}

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.era, self.offset)
    }
}

#[cfg(test)]
mod tests;
