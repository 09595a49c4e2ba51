//! How long requests of the queue will wait, from the rate at which their class is granted.

use super::Class;
use super::FairQueue;
use super::weight_of;
use crate::clock::Time;
use crate::id::ClassId;
use crate::id::CustomerId;
use crate::id::RequestId;

/// Customers of a class whose last request is checked at a time.
const CHECKED_MAX: usize = 32;

impl<T> FairQueue<T> {
    /// Accounts the time since the last call to the rate at which each class is granted.
    pub(crate) fn record_time(&mut self, now: Time) {
        for class in self.classes.values_mut() {
            class.drain.record_time(now, class.waiting > 0);
        }
    }

    /// Accounts a grant to its class's rate.
    pub(crate) fn record_grant(&mut self, class_id: &ClassId) {
        if let Some(class) = self.classes.get_mut(class_id) {
            class.drain.record_grant();
        }
    }

    /// Accounts a grant of `amount` to its class's rate. A queue uses one unit for all its grants.
    pub(crate) fn record_granted(&mut self, class_id: &ClassId, amount: f64) {
        if let Some(class) = self.classes.get_mut(class_id) {
            class.drain.record(amount);
        }
    }

    /// What is granted to a class in a second while it waits, in the unit of its grants, if it can be told.
    pub(crate) fn granted_per_s(&self, class_id: &ClassId) -> Option<f64> {
        self.classes.get(class_id)?.drain.per_s()
    }

    /// How long one more request of the customer would wait, in milliseconds, if it can be told.
    pub(crate) fn wait_ms(&self, class_id: &ClassId, customer: &CustomerId) -> Option<f64> {
        let class = self.classes.get(class_id)?;
        let share = class.shares.get(customer);
        let queued = share.map_or(0, |share| share.queue.len());
        self.drain_ms(class, customer, queued + 1)
    }

    /// Customers' last requests that will miss their deadline, the most over-share customers
    /// first; at most one a customer.
    pub(crate) fn hopeless(&self, now: Time) -> Vec<RequestId> {
        let mut found = Vec::new();
        for class in self.classes.values() {
            for (_, customer) in class.backlog.iter().rev().take(CHECKED_MAX) {
                let queue = &class.shares[customer].queue;
                let Some(last) = queue.back() else {
                    continue;
                };
                let wait_ms = self.drain_ms(class, customer, queue.len());
                let left_ms = last.deadline.since(now).as_secs_f64() * 1_000.0;
                if wait_ms.is_some_and(|wait_ms| wait_ms > left_ms) {
                    found.push(last.request);
                }
            }
        }
        found
    }

    /// How long until `count` requests of the customer are granted, in milliseconds.
    fn drain_ms(&self, class: &Class<T>, customer: &CustomerId, count: usize) -> Option<f64> {
        let weight = weight_of(&self.customers, customer);
        let waits = class
            .shares
            .get(customer)
            .is_some_and(|share| !share.queue.is_empty());
        let total = class.backlog_weight + if waits { 0 } else { weight };
        let by_share = count as f64 * total as f64 / weight as f64;
        let everyone = (class.waiting + 1) as f64;
        class.drain.wait_ms(by_share.min(everyone))
    }
}
