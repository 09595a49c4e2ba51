//! Shares of customers.

use std::time::Duration;

use crate::clock::Time;
use crate::gateway::sharedqueue::tests::model::Model;
use crate::gateway::sharedqueue::tests::model::Stream;

const HOSTS: usize = 72;
const ENGINES: usize = 60;
/// Generations a second that the engines sustain at the sizes drawn.
const PER_S: f64 = 550.0;
const OTHERS: [&str; 9] = ["a", "b", "c", "d", "e", "f", "g", "h", "i"];

fn stream(customer: &'static str, weight: u32, per_s: f64) -> Stream {
    Stream {
        customer,
        weight,
        rank: 1,
        per_s,
        prompt_tokens: (1_000, 2_500),
        output_tokens: (100, 300),
    }
}

/// Tokens granted to each stream from `from_s` for 5 s, as shares.
fn token_shares(model: &Model, from_s: u64) -> Vec<f64> {
    let from = Time::from_ms(from_s * 1_000);
    let until = Time::from_ms((from_s + 5) * 1_000);
    let mut tokens = vec![0.0; 3];
    for generation in &model.generations {
        if generation
            .started_at
            .is_some_and(|at| from <= at && at < until)
        {
            tokens[generation.stream] += f64::from(generation.tokens());
        }
    }
    let all: f64 = tokens.iter().sum();
    tokens.into_iter().map(|tokens| tokens / all).collect()
}

#[test]
fn customers_share_by_weight_over_any_five_seconds() {
    let streams = [
        stream("one", 1, PER_S),
        stream("two", 2, PER_S),
        stream("four", 4, PER_S),
    ];
    let mut model = Model::new(1, HOSTS, ENGINES, &streams, Duration::from_secs(16));

    model.run(Duration::from_secs(16), |_| {});

    for from_s in 1..=11 {
        let shares = token_shares(&model, from_s);
        println!("from {from_s} s: {shares:?}");
        for (share, due) in shares.iter().zip([1.0 / 7.0, 2.0 / 7.0, 4.0 / 7.0]) {
            assert!(
                (share / due - 1.0).abs() <= 0.05,
                "from {from_s} s: {shares:?}"
            );
        }
    }
}

/// Share of the other customers' generations that start in time, when one sends `excess` times its usual rate.
fn others_served(excess: f64) -> f64 {
    let usual = PER_S * 0.8 / 10.0;
    let mut streams: Vec<Stream> = OTHERS
        .iter()
        .map(|customer| stream(customer, 1, usual))
        .collect();
    streams.push(stream("eager", 1, usual * excess));
    let mut model = Model::new(5, HOSTS, ENGINES, &streams, Duration::from_secs(10));
    model.run(Duration::from_secs(14), |_| {});
    let others = model
        .generations
        .iter()
        .filter(|generation| generation.stream < OTHERS.len());
    let served = others.clone().filter(|generation| generation.starts > 0);
    served.count() as f64 / others.count() as f64
}

#[test]
fn a_customer_at_eight_times_its_usual_costs_the_others_nothing() {
    let usual = others_served(1.0);
    let beside_eager = others_served(8.0);

    println!("usual {usual}, beside one at eight times {beside_eager}");
    assert!(beside_eager >= usual - 0.02, "{usual} {beside_eager}");
}
