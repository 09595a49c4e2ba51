use std::collections::BTreeSet;

use crate::clock::Time;
use crate::enforcer::Enforcer;
use crate::id::CustomerId;
use crate::limits::LimitOptions;
use crate::peer::Allowance;
use crate::peer::Demand;
use crate::peer::HeldShare;
use crate::peer::PeerMessage;
use crate::row::CustomerRow;
use crate::share::Share;

/// Bounds on what a message takes as JSON, in bytes, for a customer's name of 16 characters.
const DEMAND_BYTES_MAX: usize = 450;
const ALLOWANCE_BYTES_MAX: usize = 280;

fn row(number: usize) -> CustomerRow {
    CustomerRow {
        customer: CustomerId::new(format!("customer-{number}")),
        key_sha256: Vec::new(),
        weight: 1,
        classes: Vec::new(),
        requests_per_s: 1_000,
        tokens_per_s: 1_000,
        concurrent_generations: 1_000,
        queue_length: 1_000,
    }
}

/// A host with so many active customers, each of which has a request running.
fn enforcer(customers: usize) -> Enforcer {
    let mut enforcer = Enforcer::new(LimitOptions::default());
    for number in 0..customers {
        enforcer.admit(Time::ZERO, &row(number)).unwrap();
    }
    enforcer
}

#[test]
fn every_demand_is_told_in_turn_and_no_more_than_the_bound_in_a_period() {
    let mut enforcer = enforcer(1_000);
    let demands_max = LimitOptions::default().lending.demands_max;

    let mut told: BTreeSet<CustomerId> = BTreeSet::new();
    let mut round_ms = 0;
    for period in 1..=21 {
        let demands = enforcer.demands(Time::from_ms(period * 1_000));
        assert!(demands.len() <= demands_max);
        round_ms = demands[0].next_ms;
        told.extend(demands.into_iter().map(|demand| demand.customer));
    }

    assert_eq!(told.len(), 1_000);
    assert_eq!(round_ms, 21_000);
}

#[test]
fn customers_that_turn_active_are_told_within_the_same_bound() {
    let mut enforcer = enforcer(1_000);
    let demands_max = LimitOptions::default().lending.demands_max;

    let at_once = enforcer.new_demands(Time::ZERO).len();
    let again = enforcer.new_demands(Time::ZERO).len();

    assert_eq!((at_once, again), (demands_max, 0));
}

#[test]
fn messages_are_no_larger_than_the_traffic_was_reckoned_with() {
    let share = Share::default().map(|_| 12_345.678_901_234_567);
    let held = HeldShare {
        round: u64::MAX,
        share,
    };
    let demand = PeerMessage::Demand(Demand {
        customer: "0123456789abcdef".into(),
        wanted: share,
        running: 1_000,
        held: Some(held),
        next_ms: 21_000,
    });
    let allowance = PeerMessage::Allowance(Allowance {
        customer: "0123456789abcdef".into(),
        round: u64::MAX,
        share,
        valid_ms: 23_000,
    });

    let sizes = [demand, allowance].map(|message| serde_json::to_string(&message).unwrap().len());

    println!("demand and allowance: {sizes:?} bytes");
    assert!(sizes[0] <= DEMAND_BYTES_MAX && sizes[1] <= ALLOWANCE_BYTES_MAX);
}
