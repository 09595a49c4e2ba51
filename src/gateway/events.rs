//! Splits a stream of server-sent events into whole events and numbers them.
//!
//! Only whole events are passed on, so that a stream which breaks can go on elsewhere at an event's
//! boundary.

use bytes::Bytes;
use bytes::BytesMut;

/// Why a stream of events can't go on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SequenceFault {
    /// Events between the last one and this one are missing.
    Gap {
        /// The last one passed on.
        last: u64,
        /// The one that came.
        got: u64,
    },
    /// One event is larger than any upstream sends.
    TooLong,
}

/// Bytes of one event at most.
const EVENT_BYTES_MAX: usize = 1 << 20;

/// Collects whole events; drops those that were passed on before.
#[derive(Debug, Default)]
pub struct EventSplitter {
    partial: BytesMut,
    last_id: Option<u64>,
    event_count: u64,
}

impl EventSplitter {
    /// The id of the last event passed on.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Events passed on.
    pub fn event_count(&self) -> u64 {
        self.event_count
    }

    /// Whether bytes of an unfinished event are held.
    pub fn has_partial(&self) -> bool {
        !self.partial.is_empty()
    }

    /// Forgets the unfinished event: the stream goes on from another source.
    pub fn discard_partial(&mut self) {
        self.partial.clear();
    }

    /// Takes bytes and gives all events that are whole, without those already passed on.
    ///
    /// # Errors
    ///
    /// A [`SequenceFault`] if the stream can't be passed on.
    pub fn push(&mut self, data: &[u8]) -> Result<Bytes, SequenceFault> {
        self.partial.extend_from_slice(data);
        let mut whole = BytesMut::new();
        while let Some(end) = event_end(&self.partial) {
            let event = self.partial.split_to(end);
            if self.accept(event_id(&event))? {
                whole.extend_from_slice(&event);
            }
        }
        if self.partial.len() > EVENT_BYTES_MAX {
            return Err(SequenceFault::TooLong);
        }
        Ok(whole.freeze())
    }

    /// Whether the event with this id is the next one. One without an id belongs to its place.
    fn accept(&mut self, id: Option<u64>) -> Result<bool, SequenceFault> {
        let Some(id) = id else {
            return Ok(true);
        };
        match self.last_id {
            Some(last) if id <= last => return Ok(false),
            Some(last) if id > last + 1 => return Err(SequenceFault::Gap { last, got: id }),
            _ => {}
        }
        self.last_id = Some(id);
        self.event_count += 1;
        Ok(true)
    }
}

/// The length of the first whole event: up to and with its blank line.
fn event_end(bytes: &[u8]) -> Option<usize> {
    let mut line_start = 0;
    for (index, byte) in bytes.iter().enumerate() {
        if *byte != b'\n' {
            continue;
        }
        let line = &bytes[line_start..index];
        if line.is_empty() || line == b"\r" {
            return Some(index + 1);
        }
        line_start = index + 1;
    }
    None
}

/// The number in the event's `id` line.
fn event_id(event: &[u8]) -> Option<u64> {
    event
        .split(|byte| *byte == b'\n')
        .find_map(|line| line.strip_prefix(b"id:"))
        .and_then(|value| std::str::from_utf8(value).ok())
        .and_then(|value| value.trim().parse().ok())
}

#[cfg(test)]
mod tests;
