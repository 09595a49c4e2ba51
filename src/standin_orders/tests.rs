use std::time::Duration;

use super::Orders;
use crate::clock::Time;
use crate::wire::Order;
use crate::wire::OrderRefused;
use crate::wire::Role;

fn orders(checks_fence: bool) -> Orders {
    Orders::new("report@1", checks_fence, Duration::from_millis(100))
}

fn load(fence: u64, model: &str) -> Order {
    Order {
        fence,
        model: model.to_owned(),
        adapters: Vec::new(),
        role: Role::Serve,
    }
}

#[test]
fn an_order_takes_effect_after_the_loading_time() {
    let mut orders = orders(true);

    let accepted = orders.take(Time::ZERO, load(1, "report@2")).unwrap();

    assert!(accepted.loading);
    assert_eq!(orders.state(Time::from_ms(99)).model, "report@1");
    assert_eq!(orders.state(Time::from_ms(100)).model, "report@2");
}

#[test]
fn an_old_fence_is_refused_only_where_it_is_checked() {
    let mut checking = orders(true);
    let mut ignoring = orders(false);

    for orders in [&mut checking, &mut ignoring] {
        orders.take(Time::ZERO, load(5, "report@2")).unwrap();
    }

    let late = load(4, "report@1");
    assert_eq!(
        checking.take(Time::ZERO, late.clone()),
        Err(OrderRefused { fence: 5 })
    );
    assert!(ignoring.take(Time::ZERO, late).is_ok());
}

#[test]
fn an_order_that_repeats_the_state_loads_nothing() {
    let mut orders = orders(true);

    let accepted = orders.take(Time::ZERO, load(1, "report@1")).unwrap();

    assert!(!accepted.loading);
}
