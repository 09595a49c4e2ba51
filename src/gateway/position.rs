//! Positions in the platform's log, which may return from an older copy of itself.
//!
//! What was written after the copy is then gone, and its offsets are given out again. The log tells in all its answers
//! how often that has happened: its era. Offsets of two eras say nothing about each other; positions, an era
//! and an offset, are ordered by what was written later.

use std::fmt;

use http::HeaderMap;
use http::HeaderName;
use serde::Deserialize;
use serde::Serialize;

/// One history of the log. The first one that a log tells is 1; 0 is that of a log that tells none.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Era(u64);

impl Era {
    /// The era of this number.
    pub const fn new(number: u64) -> Self {
        Era(number)
    }

    /// Its number.
    pub const fn number(self) -> u64 {
        self.0
    }
}

impl fmt::Display for Era {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// What an answer of the log tells of its era.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StatedEra {
    /// Nothing: the era is the one that is known.
    Nothing,
    /// This one.
    Era(Era),
    /// Something that is no era.
    Unreadable,
}

impl StatedEra {
    /// The era that the header `name` tells.
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
    /// The history that the offset is of.
    pub era: Era,
    /// The number of a record of the topic.
    pub offset: u64,
}

impl Position {
    /// The position of `offset` in `era`.
    pub const fn new(era: Era, offset: u64) -> Self {
        Position { era, offset }
    }

    /// The position just before, in the same era.
    pub const fn before(self) -> Self {
        Position::new(self.era, self.offset.saturating_sub(1))
    }
}

/// A position of a log that tells no era.
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
