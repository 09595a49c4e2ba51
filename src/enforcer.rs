//! Holds the customers of one host to its share of their limits, as lent by their owners.

use std::collections::HashMap;
use std::time::Duration;

use crate::clock::Time;
use crate::id::CustomerId;
use crate::id::HostId;
use crate::lending::LendingOptions;
use crate::limits::AdmissionId;
use crate::limits::LimitOptions;
use crate::limits::Limits;
use crate::limits::Standing;
use crate::limits::Wanted;
use crate::loan::Loans;
use crate::peer::Allowance;
use crate::peer::Demand;
use crate::refusal::Refusal;
use crate::row::CustomerRow;
use crate::share::Share;
use crate::status::LimitStatus;

/// Least time between two demands for a customer.
const ASK_AGAIN_AFTER: Duration = Duration::from_millis(200);

/// Limits and loans of one host: pure, time is passed in.
#[derive(Debug)]
pub struct Enforcer {
    limits: Limits,
    loans: Loans,
    parts: HashMap<CustomerId, Share>,
    /// When each active customer's demand was last told.
    told: HashMap<CustomerId, Time>,
    /// Demands that may still be told in this period.
    demands_left: usize,
    lending: LendingOptions,
    newly_active: Vec<CustomerId>,
    data_centres: usize,
    hosts: usize,
}

impl Enforcer {
    /// A host that stands alone: it may use the customers' limits whole.
    pub fn new(options: LimitOptions) -> Self {
        Enforcer {
            loans: Loans::new(options.lending.clone()),
            told: HashMap::new(),
            demands_left: options.lending.demands_max,
            lending: options.lending.clone(),
            limits: Limits::new(options),
            parts: HashMap::new(),
            newly_active: Vec::new(),
            data_centres: 1,
            hosts: 1,
        }
    }

    /// Shares limits with so many data centres, and with so many hosts of this one, each counted
    /// with this one.
    pub fn set_sharing(&mut self, data_centres: usize, hosts: usize) {
        self.data_centres = data_centres.max(1);
        self.hosts = hosts.max(1);
    }

    /// This data centre's part of a customer's limits. Generations and queue lengths are rounded
    /// up, so that a small limit leaves no data centre without.
    pub fn part(&self, row: &CustomerRow) -> Share {
        let part = Share::whole(row).split(self.data_centres);
        Share {
            concurrent_generations: part.concurrent_generations.ceil(),
            queue_length: part.queue_length.ceil(),
            ..part
        }
    }

    /// One of equal parts of what the data centre has of a customer's limits.
    pub fn equal(&self, part: &Share) -> Share {
        part.split(self.hosts)
    }

    /// Admits a request of the row's customer, or refuses it.
    ///
    /// # Errors
    ///
    /// [`crate::refusal::Code::LimitReached`] with the time after which asking again can succeed.
    pub fn admit(
        &mut self,
        now: Time,
        row: &CustomerRow,
    ) -> Result<(AdmissionId, Standing), Refusal> {
        if !self.is_active(&row.customer) {
            self.newly_active.push(row.customer.clone());
        }
        let part = self.part(row);
        let share = self.share(now, &row.customer, part);
        let admitted = self.limits.admit(now, row, &share);
        if !matches!(admitted, Ok((_, Standing::Running))) {
            self.ask_again(now, &row.customer);
        }
        admitted
    }

    /// Whether the customer is active here.
    pub fn is_active(&self, customer: &CustomerId) -> bool {
        self.parts.contains_key(customer)
    }

    /// Charges tokens that were generated for a customer.
    pub fn charge_tokens(&mut self, now: Time, customer: &CustomerId, tokens: u32) {
        self.limits.charge_tokens(now, customer, tokens);
    }

    /// Ends an admission, running or waiting.
    pub fn release(&mut self, now: Time, customer: &CustomerId, id: AdmissionId) {
        self.limits.release(now, customer, id);
    }

    /// Admissions that waited and may run since this was last asked.
    pub fn take_promoted(&mut self) -> Vec<AdmissionId> {
        self.limits.take_promoted()
    }

    /// Takes an allowance that the customer's owner lent.
    pub fn receive(&mut self, now: Time, owner: &HostId, allowance: &Allowance) {
        let is_active = self.is_active(&allowance.customer);
        if is_active && self.loans.receive(now, owner, allowance) {
            self.refresh(now, &allowance.customer);
        }
    }

    /// What to tell the owners of the active customers, once a period. Customers that turned idle
    /// are forgotten and their shares given back.
    pub fn demands(&mut self, now: Time) -> Vec<Demand> {
        let mut demands = self.give_back(now);
        self.newly_active.clear();
        self.demands_left = self.lending.demands_max;
        let mut wanted = self.limits.wanted(now);
        for active in &wanted {
            self.refresh(now, &active.customer);
        }
        wanted.sort_by_key(|wanted| self.told.get(&wanted.customer).copied());
        wanted.truncate(self.renewals_max());
        demands.extend(self.tell(now, wanted));
        demands
    }

    /// Whether customers turned active, or used their share up, since the owners were last told.
    pub fn has_newly_active(&self) -> bool {
        !self.newly_active.is_empty()
    }

    /// What to tell the owners of the customers that turned active or used their share up; not to be put off to the end of
    /// the period, since until they answer the host takes an equal split.
    pub fn new_demands(&mut self, now: Time) -> Vec<Demand> {
        let mut newly_active = std::mem::take(&mut self.newly_active);
        newly_active.truncate(self.demands_left);
        let wanted = self.limits.wanted_by(now, &newly_active);
        self.tell(now, wanted)
    }

    /// Limits whose use is at least `percent` of this host's share, the fullest first.
    pub fn near(&mut self, now: Time, percent: f64, count: usize) -> Vec<LimitStatus> {
        self.limits.near(now, percent, count)
    }

    /// Customers whose use is kept.
    pub fn active(&self) -> usize {
        self.limits.active()
    }

    /// Loans that were not renewed in time.
    pub fn lapsed(&self, now: Time) -> usize {
        self.loans.lapsed(now)
    }

    fn share(&mut self, now: Time, customer: &CustomerId, part: Share) -> Share {
        self.parts.insert(customer.clone(), part);
        self.loans.share(now, customer, &self.equal(&part))
    }

    fn refresh(&mut self, now: Time, customer: &CustomerId) {
        if let Some(part) = self.parts.get(customer).copied() {
            let share = self.share(now, customer, part);
            self.limits.set_share(now, customer, &share);
        }
    }

    /// A customer whose share is used up doesn't wait for the end of the period.
    fn ask_again(&mut self, now: Time, customer: &CustomerId) {
        let told = self.told.get(customer);
        let is_due = told.is_some_and(|told| now.since(*told) >= ASK_AGAIN_AFTER);
        if is_due && !self.newly_active.contains(customer) {
            self.newly_active.push(customer.clone());
        }
    }

    fn tell(&mut self, now: Time, wanted: Vec<Wanted>) -> Vec<Demand> {
        self.demands_left = self.demands_left.saturating_sub(wanted.len());
        let mut demands = Vec::new();
        for wanted in wanted {
            self.told.insert(wanted.customer.clone(), now);
            demands.push(self.demand(now, wanted));
        }
        demands
    }

    /// A part of the period's demands is kept for customers that turn active.
    fn renewals_max(&self) -> usize {
        (self.lending.demands_max * 3 / 4).max(1)
    }

    /// How long it takes to tell every active customer's demand once.
    fn round_ms(&self) -> u64 {
        let periods = self.limits.active().div_ceil(self.renewals_max()).max(1);
        self.lending.period_ms * periods as u64
    }

    fn demand(&self, now: Time, wanted: Wanted) -> Demand {
        let part = self.parts.get(&wanted.customer).copied();
        let equal = self.equal(&part.unwrap_or_default());
        Demand {
            held: self.loans.held(now, &wanted.customer, &equal),
            customer: wanted.customer,
            wanted: wanted.share,
            running: wanted.running,
            next_ms: self.round_ms(),
        }
    }

    fn give_back(&mut self, now: Time) -> Vec<Demand> {
        let forgotten = self.limits.forget_idle(now);
        for customer in &forgotten {
            self.loans.forget(customer);
            self.parts.remove(customer);
            self.told.remove(customer);
        }
        forgotten.into_iter().map(Demand::nothing).collect()
    }
}

#[cfg(test)]
mod tests;
