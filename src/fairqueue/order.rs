//! The order in which shares serve all that waits in a class, for callers that charge each grant whole.

use super::FairQueue;
use super::SCALE;
use super::Waiting;
use super::weight_of;
use crate::clock::Time;
use crate::id::ClassId;
use crate::id::CustomerId;
use crate::id::RequestId;

/// Where an item of the queue belongs.
#[derive(Debug, Clone)]
pub(crate) struct Position {
    /// Identifies the item.
    pub(crate) request: RequestId,
    /// Its class.
    pub(crate) class: ClassId,
    /// Its customer.
    pub(crate) customer: CustomerId,
    /// When it arrived.
    pub(crate) since: Time,
    /// When it is refused.
    pub(crate) deadline: Time,
}

impl Position {
    pub(super) fn of(waiting: &Waiting) -> Self {
        Position {
            request: waiting.ticket.request,
            class: waiting.ticket.class.clone(),
            customer: waiting.ticket.customer.clone(),
            since: waiting.since,
            deadline: waiting.deadline,
        }
    }
}

impl<T> FairQueue<T> {
    /// A queue whose grants are charged whole: there is no bound on what a customer was served ahead of others, since
    /// one grant may cost more than such a bound.
    pub(crate) fn charged_whole() -> Self {
        FairQueue {
            lead_tokens: None,
            ..FairQueue::default()
        }
    }

    /// Adds an item at its time of arrival among those of its customer. One that waits already is left as it is.
    pub(crate) fn insert(&mut self, position: Position, item: T) {
        let key = (position.since, position.request);
        self.add(position, item, |queue, queued| {
            let index = queue.partition_point(|other| (other.since, other.request) <= key);
            queue.insert(index, queued);
        });
    }

    /// An item that waits.
    pub(crate) fn get_mut(&mut self, request: RequestId) -> Option<&mut T> {
        let (class, customer) = self.places.get(&request)?;
        let share = self.classes.get_mut(class)?.shares.get_mut(customer)?;
        let mut queued = share.queue.iter_mut();
        queued
            .find(|queued| queued.request == request)
            .map(|queued| &mut queued.item)
    }

    /// Gives a customer a weight.
    pub(crate) fn set_weight(&mut self, customer: &CustomerId, weight: u32) {
        let before = weight_of(&self.customers, customer);
        let after = u64::from(weight.max(1));
        if before == after {
            return;
        }
        self.customers.insert(customer.clone(), weight.max(1));
        for class in self.classes.values_mut() {
            let share = class.shares.get(customer);
            if share.is_some_and(|share| !share.queue.is_empty()) {
                class.backlog_weight = class.backlog_weight + after - before;
            }
            class.rekey(customer, after);
        }
    }

    /// What waits in a class in the order in which shares serve it when each item costs `tokens`.
    pub(crate) fn order(
        &self,
        class: &ClassId,
        tokens: impl Fn(&T) -> u32,
    ) -> Vec<(RequestId, &T)> {
        let Some(class) = self.classes.get(class) else {
            return Vec::new();
        };
        let mut starts = Vec::with_capacity(class.waiting);
        for (key, customer) in &class.backlog {
            let weight = weight_of(&self.customers, customer);
            let mut start = *key;
            for queued in &class.shares[customer].queue {
                starts.push((start, queued.since, queued.request, &queued.item));
                start += u64::from(tokens(&queued.item)) * SCALE / weight;
            }
        }
        starts.sort_by_key(|(start, since, request, _)| (*start, *since, *request));
        let starts = starts.into_iter();
        starts.map(|(.., request, item)| (request, item)).collect()
    }

    /// Forgets customers that wait for nothing and are not ahead of the others, and all once nothing waits.
    pub(crate) fn forget_idle(&mut self) {
        let is_empty = self.places.is_empty();
        for class in self.classes.values_mut() {
            let floor = class.floor;
            class.shares.retain(|_, share| {
                let is_level = is_empty || share.virtual_time <= floor;
                !share.queue.is_empty() || share.running > 0 || !is_level
            });
        }
        if is_empty {
            self.customers.clear();
        }
    }
}
