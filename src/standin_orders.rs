//! What the stand-in engine does with orders: fencing, loading time and the state it reads back.

use std::time::Duration;

use crate::clock::Time;
use crate::wire::Order;
use crate::wire::OrderRefused;
use crate::wire::OrderState;

/// An engine's orders.
#[derive(Debug)]
pub(crate) struct Orders {
    checks_fence: bool,
    load_time: Duration,
    state: OrderState,
    pending: Option<(Time, Order)>,
}

impl Orders {
    pub(crate) fn new(model: &str, checks_fence: bool, load_time: Duration) -> Self {
        Orders {
            checks_fence,
            load_time,
            state: OrderState {
                model: model.to_owned(),
                ..OrderState::default()
            },
            pending: None,
        }
    }

    /// Takes an order, which is in effect after the loading time.
    pub(crate) fn take(&mut self, now: Time, order: Order) -> Result<OrderState, OrderRefused> {
        self.settle(now);
        if self.checks_fence && order.fence < self.state.fence {
            return Err(OrderRefused {
                fence: self.state.fence,
            });
        }
        self.state.fence = self.state.fence.max(order.fence);
        self.state.orders_total += 1;
        let loads = order.model != self.state.model || order.adapters != self.state.adapters;
        let wait = if loads {
            self.load_time
        } else {
            Duration::ZERO
        };
        self.pending = Some((now + wait, order));
        Ok(self.state(now))
    }

    /// The state in effect at `now`.
    pub(crate) fn state(&mut self, now: Time) -> OrderState {
        self.settle(now);
        OrderState {
            loading: self.pending.is_some(),
            ..self.state.clone()
        }
    }

    fn settle(&mut self, now: Time) {
        if let Some((_, order)) = self.pending.take_if(|(at, _)| *at <= now) {
            self.state.model = order.model;
            self.state.adapters = order.adapters;
            self.state.role = order.role;
        }
    }
}

#[cfg(test)]
mod tests;
