//! Merges the events of many processes into one time line.
//!
//! Clocks of hosts differ, so wall-clock time alone may show an effect before its cause. The merge
//! keeps what is certain: the order inside a process, its incarnations one after the other, a
//! request's arrival before its events elsewhere, an attempt's dispatch before its events
//! elsewhere, and an append to the log before the events elsewhere that name its offset. Among what
//! is left the wall clock decides.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::BinaryHeap;

use serde::Deserialize;
use serde::Serialize;

use crate::event::Event;
use crate::event::EventCode;
use crate::id::AttemptId;
use crate::id::HostId;
use crate::id::Incarnation;
use crate::id::Offset;
use crate::id::RequestId;

/// An event with its place on the time line.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Moment {
    /// Wall-clock time in milliseconds since the Unix epoch, corrected so that no event is earlier
    /// than its cause.
    pub at_ms: u64,
    /// The event.
    pub event: Event,
}

/// A process: a host's incarnation.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Process {
    /// The host.
    pub host: HostId,
    /// Its incarnation.
    pub incarnation: Incarnation,
}

impl Process {
    /// The process that recorded `event`.
    pub fn of(event: &Event) -> Self {
        Process {
            host: event.host.clone(),
            incarnation: event.incarnation,
        }
    }
}

/// What is shown of a time line.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Selection {
    /// Only this request with its attempts.
    pub request: Option<RequestId>,
    /// Only events of these hundreds of the catalogue; all if empty.
    pub hundreds: Vec<u16>,
    /// Only the last so many events.
    pub last: Option<usize>,
}

/// Merges events, which may come in any order and more than once.
pub fn merge(events: Vec<Event>) -> Vec<Moment> {
    let events = distinct(events);
    let order = Merge::new(&events).run();
    let mut slots: Vec<Option<Event>> = events.into_iter().map(Some).collect();
    order
        .into_iter()
        .filter_map(|(at_ms, index)| {
            let event = slots[index].take()?;
            Some(Moment { at_ms, event })
        })
        .collect()
}

/// The moments that `selection` shows.
pub fn select(moments: Vec<Moment>, selection: &Selection) -> Vec<Moment> {
    let attempts = attempts_of(&moments, selection.request);
    let mut chosen: Vec<Moment> = moments
        .into_iter()
        .filter(|moment| selection.shows(&moment.event, &attempts))
        .collect();
    if let Some(last) = selection.last {
        chosen.drain(..chosen.len().saturating_sub(last));
    }
    chosen
}

impl Selection {
    fn shows(&self, event: &Event, attempts: &BTreeSet<AttemptId>) -> bool {
        let hundred = event.code.number() / 100;
        let in_hundreds = self.hundreds.is_empty() || self.hundreds.contains(&hundred);
        let of_request = self.request.is_none()
            || event.request == self.request
            || event.attempt.is_some_and(|id| attempts.contains(&id));
        in_hundreds && of_request
    }
}

fn attempts_of(moments: &[Moment], request: Option<RequestId>) -> BTreeSet<AttemptId> {
    moments
        .iter()
        .filter(|moment| request.is_some() && moment.event.request == request)
        .filter_map(|moment| moment.event.attempt)
        .collect()
}

/// The events in the order of their processes, each once.
fn distinct(mut events: Vec<Event>) -> Vec<Event> {
    events.sort_by_cached_key(|event| (Process::of(event), event.sequence));
    events.dedup_by_key(|event| (Process::of(event), event.sequence));
    events
}

/// A topological sort in which the earliest event that waits for no other comes next.
struct Merge<'a> {
    events: &'a [Event],
    /// For each event those that follow from it.
    effects: Vec<Vec<usize>>,
    /// For each event how many of its causes are not placed yet.
    causes_left: Vec<usize>,
    /// For each event the earliest time that its causes allow.
    at_ms: Vec<u64>,
    placed: Vec<bool>,
    ready: BinaryHeap<Reverse<(u64, usize)>>,
}

impl<'a> Merge<'a> {
    fn new(events: &'a [Event]) -> Self {
        let mut merge = Merge {
            events,
            effects: vec![Vec::new(); events.len()],
            causes_left: vec![0; events.len()],
            at_ms: events.iter().map(|event| event.wall_ms).collect(),
            placed: vec![false; events.len()],
            ready: BinaryHeap::new(),
        };
        merge.link_processes();
        merge.link_causes();
        merge
    }

    fn link(&mut self, cause: usize, effect: usize) {
        self.effects[cause].push(effect);
        self.causes_left[effect] += 1;
    }

    /// Events are sorted by host, incarnation and sequence: each follows its predecessor.
    fn link_processes(&mut self) {
        for index in 1..self.events.len() {
            if self.events[index - 1].host == self.events[index].host {
                self.link(index - 1, index);
            }
        }
    }

    fn link_causes(&mut self) {
        let causes = Causes::of(self.events);
        for (index, event) in self.events.iter().enumerate() {
            for cause in causes.causes_of(event) {
                if self.events[cause].host != event.host {
                    self.link(cause, index);
                }
            }
        }
    }

    fn run(mut self) -> Vec<(u64, usize)> {
        let mut order = Vec::with_capacity(self.events.len());
        for index in 0..self.events.len() {
            if self.causes_left[index] == 0 {
                self.ready.push(Reverse((self.at_ms[index], index)));
            }
        }
        let mut now_ms = 0;
        while let Some((at_ms, index)) = self.next() {
            now_ms = at_ms.max(now_ms);
            order.push((now_ms, index));
            self.place(index, now_ms);
        }
        order
    }

    fn next(&mut self) -> Option<(u64, usize)> {
        match self.ready.pop() {
            Some(Reverse(next)) => Some(next),
            None => self.break_cycle(),
        }
    }

    /// Only events that contradict one another are left: the earliest head of a process goes on.
    fn break_cycle(&self) -> Option<(u64, usize)> {
        (0..self.events.len())
            .filter(|index| !self.placed[*index])
            .filter(|index| self.is_head(*index))
            .map(|index| (self.at_ms[index], index))
            .min()
    }

    fn is_head(&self, index: usize) -> bool {
        index == 0
            || self.placed[index - 1]
            || self.events[index - 1].host != self.events[index].host
    }

    fn place(&mut self, index: usize, at_ms: u64) {
        self.placed[index] = true;
        for effect in std::mem::take(&mut self.effects[index]) {
            self.at_ms[effect] = self.at_ms[effect].max(at_ms);
            self.causes_left[effect] -= 1;
            if self.causes_left[effect] == 0 && !self.placed[effect] {
                self.ready.push(Reverse((self.at_ms[effect], effect)));
            }
        }
    }
}

/// The events from which others follow, by what they have in common.
#[derive(Default)]
struct Causes {
    arrivals: BTreeMap<RequestId, usize>,
    dispatches: BTreeMap<AttemptId, usize>,
    appends: BTreeMap<(u16, Offset), usize>,
}

impl Causes {
    fn of(events: &[Event]) -> Self {
        let mut causes = Causes::default();
        for (index, event) in events.iter().enumerate() {
            if let (EventCode::RequestReceived, Some(request)) = (event.code, event.request) {
                causes.arrivals.entry(request).or_insert(index);
            }
            if let (EventCode::RequestDispatched, Some(attempt)) = (event.code, event.attempt) {
                causes.dispatches.entry(attempt).or_insert(index);
            }
            if let (true, Some(offset)) = (appends(event.code), event.offset) {
                let key = (stream_of(event), offset);
                causes.appends.entry(key).or_insert(index);
            }
        }
        causes
    }

    fn causes_of(&self, event: &Event) -> impl Iterator<Item = usize> {
        let arrival = event.request.and_then(|id| self.arrivals.get(&id));
        let dispatch = event.attempt.and_then(|id| self.dispatches.get(&id));
        let append = event
            .offset
            .and_then(|offset| self.appends.get(&(stream_of(event), offset)));
        [arrival, dispatch, append].into_iter().flatten().copied()
    }
}

/// Each hundred of the catalogue names offsets of one stream only.
fn stream_of(event: &Event) -> u16 {
    event.code.number() / 100
}

/// Whether the event's process appended the record at the event's offset.
const fn appends(code: EventCode) -> bool {
    matches!(code, EventCode::ClaimWon | EventCode::SnapshotAppended)
}

#[cfg(test)]
mod tests;
