use super::FairQueue;
use super::Position;
use super::Waiting;
use crate::clock::Time;
use crate::id::RequestId;
use crate::schedule::ClassWeight;
use crate::schedule::CustomerWeight;
use crate::schedule::Ticket;
use crate::schedule::Weights;

fn waiting(number: u128, customer: &str, class: &str) -> Waiting {
    Waiting {
        ticket: Ticket {
            request: RequestId::from_u128(number),
            host: "host-1".into(),
            service: "inspection".into(),
            customer: customer.into(),
            class: class.into(),
            prompt_tokens: 10,
            max_output_tokens: 100,
            repeatable: true,
            prefix_hashes: Vec::new(),
            wait_limit_ms: 1_000,
            avoid: Vec::new(),
        },
        since: Time::from_ms(number as u64),
        deadline: Time::from_ms(number as u64 + 1_000),
    }
}

fn queue() -> FairQueue {
    let class = |class: &str, weight| ClassWeight {
        class: class.into(),
        weight,
        engine_priority: 1,
        max_wait_ms: 1_000,
    };
    let customer = |customer: &str, weight| CustomerWeight {
        customer: customer.into(),
        weight,
    };
    let mut queue = FairQueue::default();
    queue.set_weights(&Weights {
        classes: vec![class("paid", 4), class("free", 1)],
        customers: vec![customer("two", 2), customer("four", 4)],
    });
    queue
}

/// Serves `rounds` requests of `tokens` each and counts them by customer.
fn serve(queue: &mut FairQueue, rounds: usize, tokens: i64, customer: &str) -> usize {
    let mut served = 0;
    for _ in 0..rounds {
        let next = queue.peek().unwrap().ticket.clone();
        queue.remove(next.request).unwrap();
        queue.start(&next.class, &next.customer);
        queue.charge(&next.class, &next.customer, tokens);
        queue.end(&next.class, &next.customer);
        served += usize::from(next.customer.as_str() == customer);
    }
    served
}

#[test]
fn backlogged_customers_share_by_weight() {
    let mut queue = queue();
    for number in 0..300 {
        let customer = ["one", "two", "four"][(number % 3) as usize];
        queue.push(waiting(number, customer, "paid"));
    }

    let served = serve(&mut queue, 140, 100, "four");

    assert!((78..=82).contains(&served), "{served}");
}

#[test]
fn classes_share_by_weight() {
    let mut queue = queue();
    for number in 0..200 {
        queue.push(waiting(2 * number, "rich", "paid"));
        queue.push(waiting(2 * number + 1, "poor", "free"));
    }

    let served = serve(&mut queue, 100, 100, "rich");

    assert!((79..=81).contains(&served), "{served}");
}

#[test]
fn idle_time_earns_no_credit() {
    let mut queue = queue();
    for number in 0..100 {
        queue.push(waiting(number, "busy", "paid"));
    }
    serve(&mut queue, 50, 1_000, "busy");
    for number in 100..200 {
        queue.push(waiting(number, "returning", "paid"));
    }

    let served = serve(&mut queue, 20, 1_000, "returning");

    assert!((9..=11).contains(&served), "{served}");
}

#[test]
fn the_order_of_a_class_is_that_of_its_shares_then_of_arrival() {
    let mut queue: FairQueue<u32> = FairQueue::charged_whole();
    queue.set_weight(&"two".into(), 2);
    let places = [(4, "one"), (1, "one"), (2, "two"), (3, "two"), (5, "two")];
    for (number, customer) in places {
        let waiting = waiting(number, customer, "paid");
        queue.insert(Position::of(&waiting), number as u32);
    }

    let before: Vec<u32> = order(&queue);
    queue.remove(RequestId::from_u128(1));
    queue.charge(&"paid".into(), &"one".into(), 10_000);
    let charged: Vec<u32> = order(&queue);

    assert_eq!(before, [1, 2, 3, 4, 5]);
    assert_eq!(charged, [2, 3, 5, 4]);
}

/// The items of a class when each costs 1,000 tokens.
fn order(queue: &FairQueue<u32>) -> Vec<u32> {
    let order = queue.order(&"paid".into(), |_| 1_000).into_iter();
    order.map(|(_, item)| *item).collect()
}

#[test]
fn removing_leaves_the_rest_in_order() {
    let mut queue = queue();
    for number in 0..3 {
        queue.push(waiting(number, "one", "paid"));
    }

    queue.remove(RequestId::from_u128(0));

    assert_eq!(queue.peek(), Some(&waiting(1, "one", "paid")));
    assert_eq!(queue.oldest(), Some(&waiting(1, "one", "paid")));
    assert_eq!(queue.len(), 2);
}
