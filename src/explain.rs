//! The life of one request, put together from the events of all processes.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use serde::Serialize;

use crate::event::Event;
use crate::event::EventCode;
use crate::id::HostId;
use crate::id::Incarnation;
use crate::id::RequestId;
use crate::id::UpstreamId;

/// A request's life: its own events, and what befell its upstreams meanwhile, in order.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Explanation {
    /// The request.
    pub request: RequestId,
    /// Its events over all processes.
    pub events: Vec<Event>,
    /// Gaps: processes whose oldest event kept is younger than the request.
    pub gaps: Vec<Gap>,
}

/// A process that may have forgotten events of the request.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Gap {
    /// The process's host.
    pub host: HostId,
    /// Wall-clock time of its oldest event kept, in milliseconds since the Unix epoch.
    pub oldest_wall_ms: u64,
}

/// Puts together the life of `request` from each process's events; none if no process knows it.
pub fn explain(request: RequestId, processes: &[Vec<Event>]) -> Option<Explanation> {
    let own: Vec<&Event> = processes
        .iter()
        .flatten()
        .filter(|event| event.request == Some(request))
        .collect();
    let span = Span::of(&own)?;
    let related = processes
        .iter()
        .flatten()
        .filter(|event| event.request == Some(request) || span.concerns(event));
    Some(Explanation {
        request,
        events: merge(related),
        gaps: processes
            .iter()
            .filter_map(|events| gap(events, span.begin_ms))
            .collect(),
    })
}

/// The time of a request's life and the upstreams that it met.
struct Span<'a> {
    begin_ms: u64,
    end_ms: u64,
    upstreams: Vec<&'a UpstreamId>,
}

impl<'a> Span<'a> {
    fn of(own: &[&'a Event]) -> Option<Self> {
        Some(Span {
            begin_ms: own.iter().map(|event| event.wall_ms).min()?,
            end_ms: own.iter().map(|event| event.wall_ms).max()?,
            upstreams: own
                .iter()
                .filter_map(|event| event.upstream.as_ref())
                .collect(),
        })
    }

    /// Whether the event tells of one of the request's upstreams during its life.
    fn concerns(&self, event: &Event) -> bool {
        let is_upstream_event = event.request.is_none() && event.code.area() == UPSTREAM_AREA;
        let is_during = (self.begin_ms..=self.end_ms).contains(&event.wall_ms);
        let is_met = event
            .upstream
            .as_ref()
            .is_some_and(|upstream| self.upstreams.contains(&upstream));
        is_upstream_event && is_during && is_met
    }
}

/// The hundred of events that concern upstreams.
const UPSTREAM_AREA: u16 = EventCode::UpstreamReported.area();

/// Merges by wall-clock time, but keeps the order in which each process recorded its own events.
fn merge<'a>(events: impl Iterator<Item = &'a Event>) -> Vec<Event> {
    let mut queues: BTreeMap<(&HostId, Incarnation), Vec<&Event>> = BTreeMap::new();
    for event in events {
        queues
            .entry((&event.host, event.incarnation))
            .or_default()
            .push(event);
    }
    let mut queues: Vec<VecDeque<&Event>> = queues
        .into_values()
        .map(|mut events| {
            events.sort_by_key(|event| event.sequence);
            events.into()
        })
        .collect();
    let mut merged = Vec::new();
    while let Some(event) = pop_earliest(&mut queues) {
        merged.push(event.clone());
    }
    merged
}

fn pop_earliest<'a>(queues: &mut [VecDeque<&'a Event>]) -> Option<&'a Event> {
    queues
        .iter_mut()
        .filter(|queue| !queue.is_empty())
        .min_by_key(|queue| queue.front().map(|event| event.wall_ms))?
        .pop_front()
}

fn gap(events: &[Event], begin_ms: u64) -> Option<Gap> {
    let oldest = events.iter().min_by_key(|event| event.sequence)?;
    let has_forgotten = oldest.sequence > 0 && oldest.wall_ms > begin_ms;
    has_forgotten.then(|| Gap {
        host: oldest.host.clone(),
        oldest_wall_ms: oldest.wall_ms,
    })
}

#[cfg(test)]
mod tests;
