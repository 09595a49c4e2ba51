//! The queue of waiting requests: classes share by weight, and customers share within a class.
//!
//! Both shares are kept by virtual time: tokens served over weight. What runs weighs as well, since
//! each running request will go on to produce tokens at about the same rate: the backlogged class,
//! and in it the backlogged customer, with the lowest sum of the two goes next. One that was idle
//! starts from the virtual time of those that were not, so idle time earns no credit. A bounded share of
//! the grants goes to the request that has waited longest, so that no class starves.
//!
//! A caller that knows what a request will cost when it grants it charges the whole at once, keeps no count of what
//! runs and takes the order of a whole class ([`FairQueue::order`]); such a queue has no bound on a customer's lead
//! ([`FairQueue::charged_whole`]).

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::VecDeque;

use crate::clock::Time;
use crate::id::ClassId;
use crate::id::CustomerId;
use crate::id::RequestId;
use crate::overload::DrainRate;
use crate::schedule::ClassWeight;
use crate::schedule::Ticket;
use crate::schedule::Weights;

mod order;
mod waits;

pub(crate) use order::Position;

/// Virtual time units for one token at weight 1.
const SCALE: u64 = 1_024;

/// Customers of a class whose first request may go before one that fits nowhere.
const HEADS_PER_CLASS: usize = 2;

/// Tokens that a running request weighs against its class and customer.
const RUNNING_TOKENS: u64 = 4_096;

/// A customer is at most this many tokens, at weight 1, ahead of the backlogged one with the least
/// service. What it got while nobody else wanted it, or before the queue formed, is not held
/// against it; that its requests still run is, by [`RUNNING_TOKENS`].
const LEAD_TOKENS: u64 = 2_048;

/// Virtual time: tokens times [`SCALE`] over weight.
type VirtualTime = u64;

/// A request in the queue.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Waiting {
    /// The request.
    pub(crate) ticket: Ticket,
    /// When it arrived.
    pub(crate) since: Time,
    /// When it is refused.
    pub(crate) deadline: Time,
}

/// An item of a customer's queue.
#[derive(Debug)]
struct Queued<T> {
    request: RequestId,
    since: Time,
    deadline: Time,
    item: T,
}

/// One customer's queue within a class.
#[derive(Debug)]
struct Share<T> {
    virtual_time: VirtualTime,
    key: VirtualTime,
    running: u32,
    queue: VecDeque<Queued<T>>,
}

impl<T> Share<T> {
    fn front(&self) -> Option<&T> {
        self.queue.front().map(|queued| &queued.item)
    }
}

impl<T> Default for Share<T> {
    fn default() -> Self {
        Share {
            virtual_time: 0,
            key: 0,
            running: 0,
            queue: VecDeque::new(),
        }
    }
}

/// One priority class.
#[derive(Debug)]
struct Class<T> {
    weight: u32,
    engine_priority: u8,
    max_wait_ms: u64,
    virtual_time: VirtualTime,
    floor: VirtualTime,
    running: u32,
    waiting: usize,
    backlog_weight: u64,
    drain: DrainRate,
    shares: BTreeMap<CustomerId, Share<T>>,
    backlog: BTreeSet<(VirtualTime, CustomerId)>,
}

impl<T> Class<T> {
    fn new(row: &ClassWeight) -> Self {
        Class {
            weight: row.weight.max(1),
            engine_priority: row.engine_priority,
            max_wait_ms: row.max_wait_ms,
            virtual_time: 0,
            floor: 0,
            running: 0,
            waiting: 0,
            backlog_weight: 0,
            drain: DrainRate::default(),
            shares: BTreeMap::new(),
            backlog: BTreeSet::new(),
        }
    }

    fn idle(&self) -> bool {
        self.waiting == 0 && self.running == 0
    }

    /// What the class is ordered by.
    fn key(&self) -> VirtualTime {
        key(self.virtual_time, self.running, u64::from(self.weight))
    }

    /// Brings a customer's place among the backlogged up to date.
    fn rekey(&mut self, customer: &CustomerId, weight: u64) {
        let Some(share) = self.shares.get_mut(customer) else {
            return;
        };
        let before = share.key;
        share.key = key(share.virtual_time, share.running, weight);
        if self.backlog.remove(&(before, customer.clone())) {
            self.backlog.insert((share.key, customer.clone()));
        }
    }
}

/// The queue.
#[derive(Debug)]
pub(crate) struct FairQueue<T = Waiting> {
    classes: BTreeMap<ClassId, Class<T>>,
    customers: BTreeMap<CustomerId, u32>,
    places: HashMap<RequestId, (ClassId, CustomerId)>,
    arrivals: BTreeSet<(Time, RequestId)>,
    floor: VirtualTime,
    lead_tokens: Option<u64>,
}

impl<T> Default for FairQueue<T> {
    fn default() -> Self {
        FairQueue {
            classes: BTreeMap::new(),
            customers: BTreeMap::new(),
            places: HashMap::new(),
            arrivals: BTreeSet::new(),
            floor: 0,
            lead_tokens: Some(LEAD_TOKENS),
        }
    }
}

impl FairQueue {
    /// Adds a request. One that waits already is left as it is.
    pub(crate) fn push(&mut self, waiting: Waiting) {
        self.add(Position::of(&waiting), waiting, VecDeque::push_back);
    }

    /// Adds a request before all others of its customer.
    pub(crate) fn push_front(&mut self, waiting: Waiting) {
        self.add(Position::of(&waiting), waiting, VecDeque::push_front);
    }
}

impl<T> FairQueue<T> {
    /// Takes new weights; what waits keeps its place.
    pub(crate) fn set_weights(&mut self, weights: &Weights) {
        for row in &weights.classes {
            let class = self.class_entry(&row.class);
            class.weight = row.weight.max(1);
            class.engine_priority = row.engine_priority;
            class.max_wait_ms = row.max_wait_ms;
        }
        self.customers = weights
            .customers
            .iter()
            .map(|row| (row.customer.clone(), row.weight.max(1)))
            .collect();
        for class in self.classes.values_mut() {
            let backlog: Vec<CustomerId> = class.backlog.iter().map(|(_, id)| id.clone()).collect();
            let weight = |customer: &CustomerId| weight_of(&self.customers, customer);
            class.backlog_weight = backlog.iter().map(weight).sum();
            for customer in &backlog {
                class.rekey(customer, weight(customer));
            }
        }
    }

    /// Number of waiting requests.
    pub(crate) fn len(&self) -> usize {
        self.places.len()
    }

    /// The engine priority of a class.
    pub(crate) fn engine_priority(&self, class: &ClassId) -> u8 {
        self.classes.get(class).map_or(0, |c| c.engine_priority)
    }

    /// The longest wait of a class, in milliseconds, if the table bounds it.
    pub(crate) fn max_wait_ms(&self, class: &ClassId) -> Option<u64> {
        self.classes
            .get(class)
            .map(|c| c.max_wait_ms)
            .filter(|ms| *ms > 0)
    }

    fn add(
        &mut self,
        position: Position,
        item: T,
        insert: impl FnOnce(&mut VecDeque<Queued<T>>, Queued<T>),
    ) {
        let request = position.request;
        if self.places.contains_key(&request) {
            return;
        }
        let class_id = position.class;
        let customer_id = position.customer;
        let weight = weight_of(&self.customers, &customer_id);
        self.activate(&class_id, &customer_id);
        self.arrivals.insert((position.since, request));
        self.places
            .insert(request, (class_id.clone(), customer_id.clone()));
        let class = self.class_entry(&class_id);
        class.waiting += 1;
        let share = class.shares.entry(customer_id.clone()).or_default();
        let queued = Queued {
            request,
            since: position.since,
            deadline: position.deadline,
            item,
        };
        insert(&mut share.queue, queued);
        share.key = key(share.virtual_time, share.running, weight);
        if class.backlog.insert((share.key, customer_id)) {
            class.backlog_weight += weight;
        }
    }

    /// Takes a request out.
    pub(crate) fn remove(&mut self, request: RequestId) -> Option<T> {
        let (class_id, customer_id) = self.places.remove(&request)?;
        let class = self.classes.get_mut(&class_id)?;
        let share = class.shares.get_mut(&customer_id)?;
        let index = share
            .queue
            .iter()
            .position(|queued| queued.request == request)?;
        let queued = share.queue.remove(index)?;
        if share.queue.is_empty() {
            class.backlog_weight -= weight_of(&self.customers, &customer_id);
            class.backlog.remove(&(share.key, customer_id));
        }
        class.waiting -= 1;
        self.arrivals.remove(&(queued.since, request));
        Some(queued.item)
    }

    /// The request that goes next by shares.
    pub(crate) fn peek(&self) -> Option<&T> {
        let class = self
            .classes
            .values()
            .filter(|class| class.waiting > 0)
            .min_by_key(|class| class.key())?;
        let (_, customer) = class.backlog.first()?;
        class.shares.get(customer)?.front()
    }

    /// The request that has waited longest.
    pub(crate) fn oldest(&self) -> Option<&T> {
        let (_, request) = self.arrivals.first()?;
        let (class, customer) = self.places.get(request)?;
        let share = self.classes.get(class)?.shares.get(customer)?;
        let mut queued = share.queue.iter();
        queued
            .find(|queued| queued.request == *request)
            .map(|queued| &queued.item)
    }

    /// The requests that go next by shares: for each class those of its first customers.
    pub(crate) fn heads(&self) -> impl Iterator<Item = &T> {
        let mut classes: Vec<&Class<T>> = self
            .classes
            .values()
            .filter(|class| class.waiting > 0)
            .collect();
        classes.sort_by_key(|class| class.key());
        classes.into_iter().flat_map(|class| {
            class
                .backlog
                .iter()
                .take(HEADS_PER_CLASS)
                .filter_map(|(_, customer)| class.shares.get(customer)?.front())
        })
    }

    /// A request of the customer started to run.
    pub(crate) fn start(&mut self, class_id: &ClassId, customer_id: &CustomerId) {
        self.activate(class_id, customer_id);
        let weight = weight_of(&self.customers, customer_id);
        let class = self.class_entry(class_id);
        class.running += 1;
        class.shares.entry(customer_id.clone()).or_default().running += 1;
        class.rekey(customer_id, weight);
    }

    /// A request of the customer ended.
    pub(crate) fn end(&mut self, class_id: &ClassId, customer_id: &CustomerId) {
        let weight = weight_of(&self.customers, customer_id);
        let Some(class) = self.classes.get_mut(class_id) else {
            return;
        };
        class.running = class.running.saturating_sub(1);
        let Some(share) = class.shares.get_mut(customer_id) else {
            return;
        };
        share.running = share.running.saturating_sub(1);
        let forgotten =
            share.running == 0 && share.queue.is_empty() && share.virtual_time <= class.floor;
        if forgotten {
            class.shares.remove(customer_id);
        }
        class.rekey(customer_id, weight);
    }

    /// Charges tokens to the customer and its class; a negative count gives back.
    pub(crate) fn charge(&mut self, class_id: &ClassId, customer_id: &CustomerId, tokens: i64) {
        let weight = weight_of(&self.customers, customer_id);
        let Some(class) = self.classes.get_mut(class_id) else {
            return;
        };
        class.virtual_time = shifted(class.virtual_time, tokens, u64::from(class.weight));
        let Some(share) = class.shares.get_mut(customer_id) else {
            return;
        };
        let shifted = shifted(share.virtual_time, tokens, weight);
        share.virtual_time = match self.lead_tokens {
            Some(lead) => shifted.min((class.floor + lead * SCALE).max(share.virtual_time)),
            None => shifted,
        };
        class.rekey(customer_id, weight);
    }

    /// Brings an idle class and customer up to those that were busy.
    fn activate(&mut self, class_id: &ClassId, customer_id: &CustomerId) {
        self.raise_floors(class_id);
        let floor = self.floor;
        let class = self.class_entry(class_id);
        if class.idle() {
            class.virtual_time = class.virtual_time.max(floor);
        }
        let share_floor = class.floor;
        let share = class.shares.entry(customer_id.clone()).or_default();
        if share.queue.is_empty() {
            share.virtual_time = share.virtual_time.max(share_floor);
        }
    }

    /// Floors follow the lowest virtual time of what waits; they never fall.
    fn raise_floors(&mut self, class_id: &ClassId) {
        let lowest = self
            .classes
            .values()
            .filter(|class| class.waiting > 0)
            .min_by_key(|class| class.key());
        let lowest = lowest.map_or(0, |class| class.virtual_time);
        self.floor = self.floor.max(lowest);
        if let Some(class) = self.classes.get_mut(class_id) {
            let first = class.backlog.first();
            let lowest = first.and_then(|(_, customer)| class.shares.get(customer));
            class.floor = class
                .floor
                .max(lowest.map_or(0, |share| share.virtual_time));
        }
    }

    fn class_entry(&mut self, class_id: &ClassId) -> &mut Class<T> {
        self.classes.entry(class_id.clone()).or_insert_with(|| {
            Class::new(&ClassWeight {
                class: class_id.clone(),
                weight: 1,
                engine_priority: 0,
                max_wait_ms: 0,
            })
        })
    }
}

/// A customer's weight, 1 unless the table gives it another.
fn weight_of(customers: &BTreeMap<CustomerId, u32>, customer: &CustomerId) -> u64 {
    customers.get(customer).copied().map_or(1, u64::from)
}

/// What a class or customer is ordered by: its virtual time and the weight of what it runs.
fn key(virtual_time: VirtualTime, running: u32, weight: u64) -> VirtualTime {
    virtual_time + u64::from(running) * RUNNING_TOKENS * SCALE / weight.max(1)
}

/// A virtual time after `tokens` more were charged at `weight`.
fn shifted(time: VirtualTime, tokens: i64, weight: u64) -> VirtualTime {
    let units = tokens.unsigned_abs() * SCALE / weight.max(1);
    if tokens < 0 {
        time.saturating_sub(units)
    } else {
        time.saturating_add(units)
    }
}

#[cfg(test)]
mod tests;
