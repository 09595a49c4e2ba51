//! The request path's handle on the customers' limits.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use tokio::sync::oneshot;

use crate::clock::SystemClock;
use crate::enforcer::Enforcer;
use crate::id::CustomerId;
use crate::id::HostId;
use crate::limits::AdmissionId;
use crate::limits::LimitOptions;
use crate::limits::Standing;
use crate::peer::Allowance;
use crate::peer::Demand;
use crate::refusal::Refusal;
use crate::row::CustomerRow;
use crate::share::Share;
use crate::status::HostStatus;
use crate::status::LIMIT_NEAR_PERCENT;
use crate::status::LIMITS_TOLD_MAX;
use crate::telemetry;
use crate::telemetry::Metric;

/// A handle on the host's enforcement of limits; clones share it.
#[derive(Debug, Clone)]
pub struct LimitHandle {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    clock: SystemClock,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    enforcer: Enforcer,
    waiters: HashMap<AdmissionId, oneshot::Sender<()>>,
}

impl LimitHandle {
    /// A handle for a host that stands alone: it may use the customers' limits whole.
    pub fn new(options: LimitOptions, clock: SystemClock) -> Self {
        LimitHandle {
            inner: Arc::new(Inner {
                clock,
                state: Mutex::new(State {
                    enforcer: Enforcer::new(options),
                    waiters: HashMap::new(),
                }),
            }),
        }
    }

    /// Admits a request of the row's customer. Dropping the [`Admission`] gives its place back.
    ///
    /// # Errors
    ///
    /// [`crate::refusal::Code::LimitReached`] if a limit of the customer is reached.
    pub fn admit(&self, row: &CustomerRow) -> Result<Admission, Refusal> {
        let now = self.inner.clock.now();
        let mut state = self.state();
        let (id, standing) = state.enforcer.admit(now, row)?;
        let start = match standing {
            Standing::Running => None,
            Standing::Waiting => Some(state.wait(id)),
        };
        state.wake();
        Ok(Admission {
            handle: self.clone(),
            customer: row.customer.clone(),
            id,
            start,
        })
    }

    /// Charges tokens that were generated for a customer.
    pub fn account_tokens(&self, customer: &CustomerId, tokens: u32) {
        let now = self.inner.clock.now();
        self.state().enforcer.charge_tokens(now, customer, tokens);
    }

    /// Shares limits with so many data centres, and with so many hosts of this one, each counted
    /// with this one.
    pub fn set_sharing(&self, data_centres: usize, hosts: usize) {
        self.state().enforcer.set_sharing(data_centres, hosts);
    }

    /// Takes an allowance that the customer's owner lent.
    pub fn receive(&self, owner: &HostId, allowance: &Allowance) {
        let now = self.inner.clock.now();
        let mut state = self.state();
        state.enforcer.receive(now, owner, allowance);
        state.wake();
    }

    /// What to tell the owners of the active customers, once a period. Customers that turned idle
    /// are forgotten and their shares given back.
    pub fn demands(&self) -> Vec<Demand> {
        let now = self.inner.clock.now();
        let mut state = self.state();
        let demands = state.enforcer.demands(now);
        state.wake();
        demands
    }

    /// What to tell the owners of the customers that turned active, at once.
    pub fn new_demands(&self) -> Vec<Demand> {
        let now = self.inner.clock.now();
        self.state().enforcer.new_demands(now)
    }

    /// What the data centre has of a customer's limits, and one of equal parts of it.
    pub fn limits_of(&self, row: &CustomerRow) -> (Share, Share) {
        let state = self.state();
        let part = state.enforcer.part(row);
        (part, state.enforcer.equal(&part))
    }

    /// Loans that were not renewed in time.
    pub fn lapsed(&self) -> usize {
        let now = self.inner.clock.now();
        self.state().enforcer.lapsed(now)
    }

    /// Fills in what operators see: limits near their bound.
    pub fn fill_status(&self, status: &mut HostStatus) {
        let now = self.inner.clock.now();
        let mut state = self.state();
        let enforcer = &mut state.enforcer;
        status.limits = enforcer.near(now, LIMIT_NEAR_PERCENT, LIMITS_TOLD_MAX);
        telemetry::set_gauge(Metric::CustomersActive, enforcer.active() as f64);
        telemetry::set_gauge(Metric::AllowancesLapsed, enforcer.lapsed(now) as f64);
    }

    fn release(&self, customer: &CustomerId, id: AdmissionId) {
        let now = self.inner.clock.now();
        let mut state = self.state();
        state.waiters.remove(&id);
        state.enforcer.release(now, customer, id);
        state.wake();
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.inner
            .state
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn wait(&mut self, id: AdmissionId) -> oneshot::Receiver<()> {
        let (sender, receiver) = oneshot::channel();
        self.waiters.insert(id, sender);
        receiver
    }

    /// Tells the admissions that may run now. One that was just dropped releases itself.
    fn wake(&mut self) {
        for id in self.enforcer.take_promoted() {
            if let Some(waiter) = self.waiters.remove(&id) {
                let _ = waiter.send(());
            }
        }
    }
}

/// An admitted request. Dropping it ends the admission.
#[derive(Debug)]
pub struct Admission {
    handle: LimitHandle,
    customer: CustomerId,
    id: AdmissionId,
    start: Option<oneshot::Receiver<()>>,
}

impl Admission {
    /// Waits until the request holds one of the customer's concurrent generations. To be awaited
    /// before the request is given to a scheduler, under the request's deadline.
    pub async fn started(&mut self) {
        if let Some(start) = &mut self.start {
            // The sender lives until it has sent or this admission is dropped.
            let _ = start.await;
            self.start = None;
        }
    }

    /// Charges tokens that were generated for the request.
    pub fn account_tokens(&self, tokens: u32) {
        self.handle.account_tokens(&self.customer, tokens);
    }
}

impl Drop for Admission {
    fn drop(&mut self) {
        self.handle.release(&self.customer, self.id);
    }
}

#[cfg(test)]
mod tests;
