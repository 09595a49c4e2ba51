//! What callers of a replay saw: one record a request, gaps between tokens, tokens by second.

use hdrhistogram::Histogram;

use crate::clock::Time;
use crate::id::ClassId;
use crate::id::CustomerId;
use crate::id::ServiceId;
use crate::trace::TraceRequest;

/// A caller who waits longer than this for a first token stalls, in microseconds.
pub const FIRST_TOKEN_BOUND_US: u64 = 510_000;

/// A caller who waits longer than this for a next token stalls, in microseconds.
pub const TOKEN_GAP_BOUND_US: u64 = 69_000;

/// Longest gap that the histograms hold, in microseconds.
const GAP_MAX_US: u64 = 10_000_000_000;

/// How a request of a replay ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fate {
    /// It was still waiting or running when the replay stopped.
    Incomplete,
    /// Its whole answer came.
    Completed,
    /// It was refused and did not run.
    Refused,
    /// Its upstream was lost while it ran.
    Failed,
}

/// What the caller of one request saw.
#[derive(Debug, Clone)]
pub struct RequestRecord {
    /// The service.
    pub service: ServiceId,
    /// The customer.
    pub customer: CustomerId,
    /// The priority class.
    pub class: ClassId,
    /// When it arrived.
    pub arrived: Time,
    /// When its first token came.
    pub first_token: Option<Time>,
    /// When its last token came, or when it ended without one.
    pub last_seen: Time,
    /// Time its caller waited for a first token beyond [`FIRST_TOKEN_BOUND_US`].
    pub first_stall_us: u64,
    /// Time its caller waited for next tokens beyond [`TOKEN_GAP_BOUND_US`] each.
    pub gap_stall_us: u64,
    /// Its longest gap between two tokens.
    pub longest_gap_us: u64,
    /// Times that its engine preempted it.
    pub preemptions: u32,
    /// Times that it was moved to another engine before its first token.
    pub relocations: u32,
    /// Tokens that came while requests still arrived.
    pub tokens_in_window: u64,
    /// How it ended.
    pub fate: Fate,
}

impl RequestRecord {
    /// Time its caller waited beyond both bounds.
    pub fn stall_us(&self) -> u64 {
        self.first_stall_us + self.gap_stall_us
    }
}

/// Records a replay of one or more services.
#[derive(Debug, Clone)]
pub struct Recorder {
    /// Requests arrive until this time.
    pub window_end: Time,
    /// One record a request, in the order of arrival within each service.
    pub requests: Vec<RequestRecord>,
    /// Gaps between tokens by class.
    pub gaps: Vec<(ClassId, Histogram<u64>)>,
    /// Mean share of the engines' memory in use while requests arrived, by service.
    pub memory_share: Vec<(ServiceId, f64)>,
    /// Tokens by second and customer.
    pub served: Vec<(CustomerId, Vec<u32>)>,
    /// Which entry of `gaps` and of `served` belongs to each request.
    groups: Vec<(usize, usize)>,
}

impl Recorder {
    /// An empty record of a replay whose requests arrive until `window_end`.
    pub fn new(window_end: Time) -> Self {
        Recorder {
            window_end,
            requests: Vec::new(),
            gaps: Vec::new(),
            memory_share: Vec::new(),
            served: Vec::new(),
            groups: Vec::new(),
        }
    }

    /// Adds a request; its index is the count of those before it.
    pub(crate) fn add(&mut self, request: &TraceRequest) {
        let arrived = Time::from_ms(request.at_ms);
        let class = self.class_index(&request.class);
        let customer = self.customer_index(&request.customer);
        self.groups.push((class, customer));
        self.requests.push(RequestRecord {
            service: request.service.clone(),
            customer: request.customer.clone(),
            class: request.class.clone(),
            arrived,
            first_token: None,
            last_seen: arrived,
            first_stall_us: 0,
            gap_stall_us: 0,
            longest_gap_us: 0,
            preemptions: 0,
            relocations: 0,
            tokens_in_window: 0,
            fate: Fate::Incomplete,
        });
    }

    /// A token reached the caller.
    pub(crate) fn token(&mut self, index: usize, now: Time) {
        let (class, customer) = self.groups[index];
        let record = &mut self.requests[index];
        let waited_us = micros(now, record.last_seen);
        record.last_seen = now;
        if record.first_token.is_none() {
            record.first_token = Some(now);
            record.first_stall_us = waited_us.saturating_sub(FIRST_TOKEN_BOUND_US);
        } else {
            record.gap_stall_us += waited_us.saturating_sub(TOKEN_GAP_BOUND_US);
            record.longest_gap_us = record.longest_gap_us.max(waited_us);
            self.gaps[class].1.saturating_record(waited_us);
        }
        if now <= self.window_end {
            record.tokens_in_window += 1;
        }
        let second = (now.as_ms() / 1_000) as usize;
        let served = &mut self.served[customer].1;
        if served.len() <= second {
            served.resize(second + 1, 0);
        }
        served[second] += 1;
    }

    /// The request ended at `now`. Whoever ends without a token waited for it until then.
    pub(crate) fn end(&mut self, index: usize, now: Time, fate: Fate) {
        let record = &mut self.requests[index];
        record.fate = fate;
        if fate == Fate::Completed {
            return;
        }
        let waited_us = micros(now, record.last_seen);
        if record.first_token.is_none() {
            record.first_stall_us = waited_us.saturating_sub(FIRST_TOKEN_BOUND_US);
        } else {
            record.gap_stall_us += waited_us.saturating_sub(TOKEN_GAP_BOUND_US);
        }
        record.last_seen = now;
    }

    /// Adds the record of another service.
    pub(crate) fn merge(&mut self, other: Recorder) {
        self.requests.extend(other.requests);
        self.memory_share.extend(other.memory_share);
        for (class, gaps) in other.gaps {
            let index = self.class_index(&class);
            self.gaps[index].1 += gaps;
        }
        for (customer, served) in other.served {
            let index = self.customer_index(&customer);
            add_series(&mut self.served[index].1, &served);
        }
    }

    fn class_index(&mut self, class: &ClassId) -> usize {
        let known = self.gaps.iter().position(|(known, _)| known == class);
        known.unwrap_or_else(|| {
            self.gaps.push((class.clone(), gap_histogram()));
            self.gaps.len() - 1
        })
    }

    fn customer_index(&mut self, customer: &CustomerId) -> usize {
        let known = self.served.iter().position(|(known, _)| known == customer);
        known.unwrap_or_else(|| {
            self.served.push((customer.clone(), Vec::new()));
            self.served.len() - 1
        })
    }
}

/// An empty histogram of gaps in microseconds, of three significant digits.
pub(crate) fn gap_histogram() -> Histogram<u64> {
    match Histogram::new_with_bounds(1, GAP_MAX_US, 3) {
        Ok(histogram) => histogram,
        Err(error) => unreachable!("constant bounds are valid: {error}"),
    }
}

fn add_series(total: &mut Vec<u32>, part: &[u32]) {
    if total.len() < part.len() {
        total.resize(part.len(), 0);
    }
    for (sum, value) in total.iter_mut().zip(part) {
        *sum += value;
    }
}

fn micros(later: Time, earlier: Time) -> u64 {
    later.as_us().saturating_sub(earlier.as_us())
}

#[cfg(test)]
mod tests;
