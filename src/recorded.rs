//! Turns a recorded time line into a trace.
//!
//! Entry hosts record what a trace needs with `RequestReceived` (customer, service, class, prompt
//! length, bounds) and `RequestComplete` (tokens). Requests that did not complete are left out:
//! their true length is not known.

use std::collections::BTreeMap;

use crate::event::Event;
use crate::event::EventCode;
use crate::id::ClassId;
use crate::id::CustomerId;
use crate::id::RequestId;
use crate::id::ServiceId;
use crate::trace::TraceRequest;

/// A request of the time line, as far as it is known.
#[derive(Debug, Clone)]
struct Received<'a> {
    at_ms: u64,
    event: &'a Event,
    output_tokens: Option<u32>,
}

/// The requests of `moments` that completed, in the order of arrival; the first arrives at 0.
/// Moments are events with their corrected wall-clock time in milliseconds.
pub fn requests(moments: &[(u64, Event)]) -> Vec<TraceRequest> {
    let mut received: BTreeMap<RequestId, Received> = BTreeMap::new();
    for (at_ms, event) in moments {
        let Some(request) = event.request else {
            continue;
        };
        match event.code {
            EventCode::RequestReceived => {
                received.entry(request).or_insert(Received {
                    at_ms: *at_ms,
                    event,
                    output_tokens: None,
                });
            }
            EventCode::RequestComplete => {
                if let Some(known) = received.get_mut(&request) {
                    known.output_tokens = number(&event.detail, "tokens");
                }
            }
            _ => {}
        }
    }
    let start_ms = received.values().map(|known| known.at_ms).min();
    let mut requests: Vec<TraceRequest> = received
        .values()
        .filter_map(|known| known.trace_request(start_ms.unwrap_or(0)))
        .collect();
    requests.sort_by_key(|request| request.at_ms);
    requests
}

impl Received<'_> {
    fn trace_request(&self, start_ms: u64) -> Option<TraceRequest> {
        let detail = &self.event.detail;
        let output_tokens = self.output_tokens?;
        Some(TraceRequest {
            at_ms: self.at_ms - start_ms,
            service: ServiceId::new(word(detail, "service")?),
            customer: CustomerId::new(word(detail, "customer")?),
            class: ClassId::new(word(detail, "class")?),
            prompt_tokens: number(detail, "prompt_tokens")?,
            output_tokens,
            max_output_tokens: number(detail, "max_output_tokens")?,
            repeatable: word(detail, "repeatable")? == "true",
            prefix: Vec::new(),
        })
    }
}

/// The value of `name=value` in an event's detail.
fn word<'a>(detail: &'a str, name: &str) -> Option<&'a str> {
    let mut words = detail.split_whitespace();
    words.find_map(|word| word.strip_prefix(name)?.strip_prefix('='))
}

fn number(detail: &str, name: &str) -> Option<u32> {
    word(detail, name)?.parse().ok()
}

#[cfg(test)]
mod tests;
