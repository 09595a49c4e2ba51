//! Owners that die, pause or are cut off while generations wait.

use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::clock::Time;
use crate::gateway::sharedqueue::tests::model::Fault;
use crate::gateway::sharedqueue::tests::model::Model;
use crate::gateway::sharedqueue::tests::model::State;
use crate::gateway::sharedqueue::tests::model::Stream;

const RUNS: u64 = 1_000;
/// Ticks and datagrams between a limit and what its host does about it.
const LATE_MAX: Duration = Duration::from_millis(20);

fn drawn_run(seed: u64) -> Model {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let engines = rng.random_range(2..10);
    let stream = Stream {
        customer: "crew",
        weight: 1,
        rank: rng.random_range(0..2),
        per_s: engines as f64 * rng.random_range(3.0..12.0),
        prompt_tokens: (1_000, 2_500),
        output_tokens: (20, 300),
    };
    let streams = [
        stream.clone(),
        Stream {
            customer: "other",
            rank: 1,
            ..stream
        },
    ];
    let mut model = Model::new(
        seed,
        rng.random_range(2..24),
        engines,
        &streams,
        Duration::from_secs(2),
    );
    let fault = [Fault::Dead, Fault::Paused, Fault::Cut][(seed % 3) as usize];
    let from = Time::from_ms(rng.random_range(200..1_800));
    let until = from + Duration::from_millis(rng.random_range(20..1_500));
    model.fault = Some((from, until, fault));
    model.callers_return = rng.random_bool(0.5);
    model
}

#[test]
fn in_drawn_runs_with_lost_owners_none_is_lost_run_twice_or_waits_past_its_limit() {
    let mut latest = Duration::ZERO;
    for seed in 0..RUNS {
        let mut model = drawn_run(seed);

        model.run(Duration::from_secs(20), |_| {});

        for generation in &model.generations {
            let is_ended = matches!(generation.state, State::Started | State::GivenUp);
            assert!(is_ended, "seed {seed}: lost {generation:?}");
            assert!(
                generation.starts <= 1,
                "seed {seed}: run twice {generation:?}"
            );
            assert_eq!(
                generation.starts == 1,
                generation.state == State::Started,
                "seed {seed}"
            );
            assert!(
                generation.over <= LATE_MAX,
                "seed {seed}: waits on {generation:?}"
            );
            latest = latest.max(generation.over);
        }
    }
    println!("{RUNS} runs, at most {latest:?} past a limit");
}
