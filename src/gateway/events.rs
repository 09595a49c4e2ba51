//! Splits a stream of server-sent events into complete events and checks their sequence numbers.
//!
//! Only complete events are forwarded, so that a broken stream can be resumed from another upstream
//! at an event boundary.

use bytes::Bytes;
use bytes::BytesMut;

/// The reason why a stream of events can't be continued.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SequenceFault {
    /// One or more events are missing.
    Gap {
        /// Id of the last event forwarded.
        last: u64,
        /// Id of the event received.
        got: u64,
    },
    /// An unfinished event exceeds the size limit, which no upstream's events reach.
    TooLong,
}

/// Maximum size of an unfinished event.
const EVENT_BYTES_MAX: usize = 1 << 20;

/// Collects complete events and drops those that were already forwarded.
#[derive(Debug, Default)]
pub struct EventSplitter {
    partial: BytesMut,
    last_id: Option<u64>,
    event_count: u64,
}

impl EventSplitter {
    /// Id of the last event forwarded.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Number of events forwarded, without those that have no id.
    pub fn event_count(&self) -> u64 {
        self.event_count
    }

    /// Whether an unfinished event is buffered.
    pub fn has_partial(&self) -> bool {
        !self.partial.is_empty()
    }

    /// Discards the unfinished event, because the stream continues from another source.
    pub fn discard_partial(&mut self) {
        self.partial.clear();
    }

    /// Appends `data` and returns all complete events that were not forwarded before.
    ///
    /// # Errors
    ///
    /// A [`SequenceFault`] if the stream can't be continued.
    pub fn push(&mut self, data: &[u8]) -> Result<Bytes, SequenceFault> {
        self.partial.extend_from_slice(data);
        let mut complete = BytesMut::new();
        while let Some(end) = event_end(&self.partial) {
            let event = self.partial.split_to(end);
            if self.accept(event_id(&event))? {
                complete.extend_from_slice(&event);
            }
        }
        if self.partial.len() > EVENT_BYTES_MAX {
            return Err(SequenceFault::TooLong);
        }
        Ok(complete.freeze())
    }

    /// Returns whether to forward the event with this id. Events without an id are forwarded in place.
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

/// Returns the length of the first complete event, including its terminating blank line.
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

/// Returns the number in the event's `id` line.
fn event_id(event: &[u8]) -> Option<u64> {
    event
        .split(|byte| *byte == b'\n')
        .find_map(|line| line.strip_prefix(b"id:"))
        .and_then(|value| std::str::from_utf8(value).ok())
        .and_then(|value| value.trim().parse().ok())
}

#[cfg(test)]
mod tests;
