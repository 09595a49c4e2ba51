//! Holds customers to this host's share of their limits.
//!
//! A request is admitted if its customer's requests and tokens a second allow it, and then runs at
//! once or waits for one of the customer's generations to end. Tokens are charged as they are
//! generated, into debt: while a customer is in debt its new requests are refused.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use derive_builder::Builder;
use serde::Deserialize;
use serde::Serialize;

use crate::bucket::Bucket;
use crate::clock::Time;
use crate::id::CustomerId;
pub use crate::limiter::Admission;
pub use crate::limiter::LimitHandle;
use crate::refusal::Code;
use crate::refusal::Refusal;
use crate::row::CustomerRow;
use crate::share::Share;

/// Longest time that a refusal asks a caller to stay away, in milliseconds.
const RETRY_AFTER_MAX_MS: u64 = 60_000;

/// Weight of the newest sample in the mean time that a generation holds its slot.
const HOLD_SMOOTHING: f64 = 0.1;

/// How limits are enforced on one host.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, Builder)]
#[builder(default)]
#[serde(default, deny_unknown_fields)]
pub struct LimitOptions {
    /// Unused requests and tokens are kept for this long, in milliseconds; 1 to 10,000.
    /// Default 1,000.
    pub burst_ms: u64,
    /// A customer is forgotten after this long without a request, in milliseconds. Default 30,000.
    pub idle_ms: u64,
    /// How long a generation is taken to hold its slot before one has ended, in milliseconds.
    /// Default 1,000.
    pub assumed_hold_ms: u64,
    /// Tokens that a request is taken to generate before any has ended. Default 200.
    pub assumed_tokens: u32,
}

impl Default for LimitOptions {
    fn default() -> Self {
        LimitOptions {
            burst_ms: 1_000,
            idle_ms: 30_000,
            assumed_hold_ms: 1_000,
            assumed_tokens: 200,
        }
    }
}

/// Names an admitted request within this host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct AdmissionId(u64);

/// Whether an admitted request holds a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// It may run.
    Running,
    /// It waits until a generation of its customer ends.
    Waiting,
}

/// The enforcement of limits on one host: pure, time is passed in.
#[derive(Debug)]
pub struct Limits {
    options: LimitOptions,
    next_id: u64,
    customers: HashMap<CustomerId, Usage>,
    promoted: Vec<AdmissionId>,
}

/// What a customer uses on this host. Only active customers have one.
#[derive(Debug)]
struct Usage {
    share: Share,
    requests: Bucket,
    tokens: Bucket,
    running: HashMap<AdmissionId, Time>,
    waiting: VecDeque<AdmissionId>,
    hold_ms: f64,
    last_request: Time,
}

impl Limits {
    /// Enforcement without any active customer.
    pub fn new(options: LimitOptions) -> Self {
        Limits {
            options,
            next_id: 0,
            customers: HashMap::new(),
            promoted: Vec::new(),
        }
    }

    /// Admits a request of the row's customer, or refuses it; a refusal costs the customer nothing.
    ///
    /// `share` is what this host may use of the customer's limits now.
    ///
    /// # Errors
    ///
    /// [`Code::LimitReached`] with the time after which asking again can succeed.
    pub fn admit(
        &mut self,
        now: Time,
        row: &CustomerRow,
        share: &Share,
    ) -> Result<(AdmissionId, Standing), Refusal> {
        let id = AdmissionId(self.next_id);
        self.set_share(now, &row.customer, share);
        let usage = self.usage(now, &row.customer, share);
        usage.last_request = now;
        usage.check(now, row)?;
        usage.requests.charge(now, 1.0);
        let standing = usage.enter(now, id);
        self.next_id += 1;
        Ok((id, standing))
    }

    /// Charges tokens that were generated for a customer.
    pub fn charge_tokens(&mut self, now: Time, customer: &CustomerId, tokens: u32) {
        if let Some(usage) = self.customers.get_mut(customer) {
            usage.tokens.charge(now, f64::from(tokens));
        }
    }

    /// Ends an admission, running or waiting.
    pub fn release(&mut self, now: Time, customer: &CustomerId, id: AdmissionId) {
        if let Some(usage) = self.customers.get_mut(customer) {
            usage.leave(now, id);
            usage.promote(now, &mut self.promoted);
        }
    }

    /// Changes this host's share of an active customer's limits.
    pub fn set_share(&mut self, now: Time, customer: &CustomerId, share: &Share) {
        let burst = Duration::from_millis(self.options.burst_ms);
        if let Some(usage) = self.customers.get_mut(customer) {
            usage.set_share(now, share, burst);
            usage.promote(now, &mut self.promoted);
        }
    }

    /// Admissions that waited and may run since this was last asked.
    pub fn take_promoted(&mut self) -> Vec<AdmissionId> {
        std::mem::take(&mut self.promoted)
    }

    /// Forgets customers that have nothing admitted, owe nothing and asked for nothing lately.
    pub fn forget_idle(&mut self, now: Time) {
        let idle = Duration::from_millis(self.options.idle_ms);
        self.customers
            .retain(|_, usage| now.since(usage.last_request) < idle || !usage.is_at_rest(now));
    }

    /// Customers that are kept.
    pub fn active(&self) -> usize {
        self.customers.len()
    }

    /// Generations that a customer runs on this host.
    pub fn running(&self, customer: &CustomerId) -> usize {
        self.customers
            .get(customer)
            .map_or(0, |usage| usage.running.len())
    }

    /// Requests of a customer that wait on this host for one of its generations to end.
    pub fn waiting(&self, customer: &CustomerId) -> usize {
        self.customers
            .get(customer)
            .map_or(0, |usage| usage.waiting.len())
    }

    fn usage(&mut self, now: Time, customer: &CustomerId, share: &Share) -> &mut Usage {
        let options = &self.options;
        self.customers
            .entry(customer.clone())
            .or_insert_with(|| Usage::new(now, share, options))
    }
}

impl Usage {
    fn new(now: Time, share: &Share, options: &LimitOptions) -> Self {
        let burst = Duration::from_millis(options.burst_ms);
        Usage {
            share: *share,
            requests: Bucket::full(now, share.requests_per_s, burst),
            tokens: Bucket::full(now, share.tokens_per_s, burst),
            running: HashMap::new(),
            waiting: VecDeque::new(),
            hold_ms: options.assumed_hold_ms as f64,
            last_request: now,
        }
    }

    fn set_share(&mut self, now: Time, share: &Share, burst: Duration) {
        if self.share == *share {
            return;
        }
        self.share = *share;
        self.requests.set_rate(now, share.requests_per_s, burst);
        self.tokens.set_rate(now, share.tokens_per_s, burst);
    }

    fn check(&mut self, now: Time, row: &CustomerRow) -> Result<(), Refusal> {
        let requests_in = self.requests.ready_in(now, 1.0);
        if requests_in != Some(Duration::ZERO) {
            return Err(refusal("requests_per_s", row.requests_per_s, requests_in));
        }
        let tokens_in = self.tokens.ready_in(now, 1.0);
        if tokens_in != Some(Duration::ZERO) {
            return Err(refusal("tokens_per_s", row.tokens_per_s, tokens_in));
        }
        if row.concurrent_generations == 0 {
            return Err(refusal("concurrent_generations", 0, None));
        }
        if !self.has_slot() && self.waiting.len() >= self.queue_length() {
            let slot_in = self.slot_in();
            return Err(refusal("queue_length", row.queue_length, Some(slot_in)));
        }
        Ok(())
    }

    fn enter(&mut self, now: Time, id: AdmissionId) -> Standing {
        if self.has_slot() && self.waiting.is_empty() {
            self.running.insert(id, now);
            return Standing::Running;
        }
        self.waiting.push_back(id);
        Standing::Waiting
    }

    fn leave(&mut self, now: Time, id: AdmissionId) {
        if let Some(started) = self.running.remove(&id) {
            let held_ms = now.since(started).as_secs_f64() * 1_000.0;
            self.hold_ms += (held_ms - self.hold_ms) * HOLD_SMOOTHING;
            return;
        }
        self.waiting.retain(|waiting| *waiting != id);
    }

    fn promote(&mut self, now: Time, promoted: &mut Vec<AdmissionId>) {
        while self.has_slot() {
            let Some(id) = self.waiting.pop_front() else {
                break;
            };
            self.running.insert(id, now);
            promoted.push(id);
        }
    }

    fn has_slot(&self) -> bool {
        self.running.len() < whole_slots(self.share.concurrent_generations)
    }

    /// A host that runs nothing of the customer may always hold one request, to ask for a slot.
    fn queue_length(&self) -> usize {
        let least = usize::from(self.running.is_empty());
        (self.share.queue_length.ceil() as usize).max(least)
    }

    /// Expected time until one of the running generations ends.
    fn slot_in(&self) -> Duration {
        let running = self.running.len().max(1) as f64;
        Duration::from_secs_f64(self.hold_ms / 1_000.0 / running)
    }

    fn is_at_rest(&mut self, now: Time) -> bool {
        self.running.is_empty()
            && self.waiting.is_empty()
            && self.requests.is_full(now)
            && self.tokens.is_full(now)
    }
}

/// Whole generations in a share; a rounding error doesn't cost one.
fn whole_slots(share: f64) -> usize {
    const ROUNDING: f64 = 1e-6;
    (share + ROUNDING) as usize
}

fn refusal(limit: &str, value: u32, ready_in: Option<Duration>) -> Refusal {
    let message = format!("the customer's {limit} is reached ({value} over all hosts)");
    let refusal = Refusal::not_run(Code::LimitReached, message);
    match ready_in {
        Some(ready_in) => refusal.retry_after_ms(retry_after_ms(ready_in)),
        None => refusal,
    }
}

fn retry_after_ms(ready_in: Duration) -> u64 {
    let ms = u64::try_from(ready_in.as_micros().div_ceil(1_000)).unwrap_or(u64::MAX);
    ms.clamp(1, RETRY_AFTER_MAX_MS)
}

#[cfg(test)]
mod tests;
