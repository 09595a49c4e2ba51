//! Holds customers to this host's share of their limits.
//!
//! A request is admitted if its customer's requests and tokens a second allow it, and then runs at
//! once or waits for one of the customer's generations to end. Tokens are charged as they are
//! generated, into debt: while a customer is in debt its new requests are refused.

use std::collections::HashMap;
use std::time::Duration;

use derive_builder::Builder;
use serde::Deserialize;
use serde::Serialize;

use crate::clock::Time;
use crate::id::CustomerId;
use crate::lending::LendingOptions;
pub use crate::limiter::Admission;
pub use crate::limiter::LimitHandle;
use crate::refusal::Refusal;
use crate::row::CustomerRow;
use crate::share::Share;
use crate::status::LimitStatus;
use crate::usage::Usage;

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
    /// How limits are shared with other hosts.
    pub lending: LendingOptions,
}

impl Default for LimitOptions {
    fn default() -> Self {
        LimitOptions {
            burst_ms: 1_000,
            idle_ms: 30_000,
            assumed_hold_ms: 1_000,
            assumed_tokens: 200,
            lending: LendingOptions::default(),
        }
    }
}

/// Names an admitted request within this host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
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

/// What an active customer could use on this host.
#[derive(Debug, Clone, PartialEq)]
pub struct Wanted {
    /// The customer.
    pub customer: CustomerId,
    /// What it could use.
    pub share: Share,
    /// Generations running.
    pub running: u32,
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
        usage.gauge.arrived();
        usage.check(now, row)?;
        usage.requests.charge(now, 1.0);
        usage.gauge.admitted();
        let standing = usage.enter(now, id);
        self.next_id += 1;
        Ok((id, standing))
    }

    /// Charges tokens that were generated for a customer.
    pub fn charge_tokens(&mut self, now: Time, customer: &CustomerId, tokens: u32) {
        if let Some(usage) = self.customers.get_mut(customer) {
            usage.tokens.charge(now, f64::from(tokens));
            usage.gauge.generated(tokens);
        }
    }

    /// What each active customer could use, measured since this was last asked.
    pub fn wanted(&mut self, now: Time) -> Vec<Wanted> {
        let customers = self.customers.iter_mut();
        customers
            .map(|(customer, usage)| usage.wanted(now, customer))
            .collect()
    }

    /// The same of some customers only.
    pub fn wanted_by(&mut self, now: Time, customers: &[CustomerId]) -> Vec<Wanted> {
        let mut wanted = Vec::new();
        for customer in customers {
            if let Some(usage) = self.customers.get_mut(customer) {
                wanted.push(usage.wanted(now, customer));
            }
        }
        wanted
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

    /// Forgets customers that have nothing admitted, owe nothing and asked for nothing lately, and
    /// names them.
    pub fn forget_idle(&mut self, now: Time) -> Vec<CustomerId> {
        let idle = Duration::from_millis(self.options.idle_ms);
        let mut forgotten = Vec::new();
        self.customers.retain(|customer, usage| {
            let is_kept = now.since(usage.last_request) < idle || !usage.is_at_rest(now);
            if !is_kept {
                forgotten.push(customer.clone());
            }
            is_kept
        });
        forgotten
    }

    /// Limits whose use is at least `percent` of this host's share, the fullest first.
    pub fn near(&mut self, now: Time, percent: f64, count: usize) -> Vec<LimitStatus> {
        let mut near: Vec<LimitStatus> = Vec::new();
        for (customer, usage) in &mut self.customers {
            let told = usage.told(now, customer).into_iter();
            near.extend(told.filter(|limit| limit.used > 0.0 && limit.used_percent() >= percent));
        }
        near.sort_by(|a, b| b.used_percent().total_cmp(&a.used_percent()));
        near.truncate(count);
        near
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

#[cfg(test)]
mod tests;
