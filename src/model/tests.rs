use std::collections::HashMap;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::EngineModel;
use super::ModelEvent;
use super::ModelOptionsBuilder;
use super::ModelRequest;
use crate::clock::Time;
use crate::id::AttemptId;
use crate::wire::EngineRefusalReason;

fn small_engine(memory_tokens: u64) -> EngineModel {
    let options = ModelOptionsBuilder::default()
        .memory_tokens(memory_tokens)
        .step_jitter_percent(0)
        .build()
        .unwrap();
    EngineModel::new(options, 1)
}

fn request(number: u128, prompt_tokens: u32, output_tokens: u32) -> ModelRequest {
    ModelRequest {
        attempt: AttemptId::from_u128(number),
        prompt_tokens,
        output_tokens,
        engine_priority: 1,
        prefix_hashes: Vec::new(),
    }
}

fn run_to_end(engine: &mut EngineModel) -> Vec<ModelEvent> {
    let mut events = Vec::new();
    while let Some(at) = engine.next_step_at() {
        events.extend(engine.step(at));
    }
    events
}

fn done_order(events: &[ModelEvent]) -> Vec<AttemptId> {
    events
        .iter()
        .filter_map(|event| match event {
            ModelEvent::Done { attempt, .. } => Some(*attempt),
            _ => None,
        })
        .collect()
}

#[test]
fn step_time_counts_base_sequences_and_prefill() {
    let mut engine = small_engine(1_024);

    engine.submit(Time::ZERO, request(1, 100, 2)).unwrap();
    let first = engine.next_step_at().unwrap();
    engine.step(first);
    let second = engine.next_step_at().unwrap();

    assert_eq!(first, Time::from_us(12_000 + 120 + 100 * 40));
    assert_eq!(second.since(first).as_micros(), 12_120);
}

#[test]
fn long_prompt_is_computed_in_chunks() {
    let mut engine = small_engine(4_096);
    engine.submit(Time::ZERO, request(1, 1_100, 1)).unwrap();

    let mut steps = 0;
    while let Some(at) = engine.next_step_at() {
        engine.step(at);
        steps += 1;
    }

    assert_eq!(steps, 3);
}

#[test]
fn full_memory_preempts_lowest_priority_and_completes_it_later() {
    let mut engine = small_engine(256);
    let low = request(1, 64, 100);
    let high = ModelRequest {
        engine_priority: 5,
        ..request(2, 64, 100)
    };
    engine.submit(Time::ZERO, low).unwrap();
    engine.submit(Time::ZERO, high).unwrap();

    let events = run_to_end(&mut engine);

    let preempted = ModelEvent::Preempted {
        attempt: AttemptId::from_u128(1),
    };
    assert!(events.contains(&preempted));
    assert_eq!(
        done_order(&events),
        vec![AttemptId::from_u128(2), AttemptId::from_u128(1)]
    );
    assert!(engine.report(Time::ZERO).preemptions_total >= 1);
}

#[test]
fn second_request_with_the_same_prefix_skips_its_computation() {
    let mut engine = small_engine(1_024);
    let first = ModelRequest {
        prefix_hashes: vec![11, 12, 13],
        ..request(1, 64, 1)
    };
    let second = ModelRequest {
        attempt: AttemptId::from_u128(2),
        ..first.clone()
    };
    engine.submit(Time::ZERO, first).unwrap();
    run_to_end(&mut engine);

    engine.submit(Time::from_ms(100), second).unwrap();
    let events = run_to_end(&mut engine);

    assert_eq!(engine.take_cache_events().len(), 3);
    assert!(events.contains(&ModelEvent::Done {
        attempt: AttemptId::from_u128(2),
        output_tokens: 1,
        cached_prompt_tokens: 48,
    }));
}

#[test]
fn leaving_engine_refuses_new_work_and_finishes_the_old() {
    let mut engine = small_engine(1_024);
    engine.submit(Time::ZERO, request(1, 10, 3)).unwrap();
    engine.set_leaving();

    let refusal = engine.submit(Time::ZERO, request(2, 10, 3));
    let events = run_to_end(&mut engine);

    assert_eq!(refusal, Err(EngineRefusalReason::Leaving));
    assert_eq!(done_order(&events), vec![AttemptId::from_u128(1)]);
}

#[test]
fn cancelled_attempt_frees_its_memory() {
    let mut engine = small_engine(1_024);
    engine.submit(Time::ZERO, request(1, 100, 500)).unwrap();
    let at = engine.next_step_at().unwrap();
    engine.step(at);

    engine.cancel(at, AttemptId::from_u128(1));
    let events = run_to_end(&mut engine);

    assert_eq!(events, Vec::new());
    assert_eq!(engine.report(at).used_tokens, 0);
}

/// Whatever is submitted and cancelled: memory is never above its size, each token comes once and
/// in order, and every request that isn't cancelled ends with its whole output.
#[test]
fn random_work_keeps_the_invariants() {
    for seed in 0..40 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut engine = small_engine(2_048);
        let mut expected = HashMap::new();
        let mut seen: HashMap<AttemptId, u32> = HashMap::new();
        let mut done = HashMap::new();
        let mut now = Time::ZERO;
        for number in 0..60_u128 {
            let mut request = request(number, rng.random_range(1..300), rng.random_range(1..600));
            request.engine_priority = rng.random_range(0..3);
            request.prefix_hashes = (0..rng.random_range(0..8_u64)).collect();
            expected.insert(request.attempt, request.output_tokens);
            engine.submit(now, request).unwrap();
            if rng.random_bool(0.2) {
                let victim = AttemptId::from_u128(rng.random_range(0..=number));
                engine.cancel(now, victim);
                expected.remove(&victim);
            }
            for _ in 0..rng.random_range(0..30) {
                let Some(at) = engine.next_step_at() else {
                    break;
                };
                now = at;
                check(engine.step(now), &mut seen, &mut done);
                assert!(engine.report(now).used_tokens <= 2_048);
            }
        }

        check(run_to_end(&mut engine), &mut seen, &mut done);

        for (attempt, output_tokens) in expected {
            assert_eq!(done.get(&attempt), Some(&output_tokens), "seed {seed}");
        }
        assert_eq!(engine.report(now).used_tokens, 0, "seed {seed}");
    }
}

fn check(
    events: Vec<ModelEvent>,
    seen: &mut HashMap<AttemptId, u32>,
    done: &mut HashMap<AttemptId, u32>,
) {
    for event in events {
        match event {
            ModelEvent::Token { attempt, index } => {
                let next = seen.entry(attempt).or_default();
                assert_eq!(index, *next);
                *next += 1;
            }
            ModelEvent::Done {
                attempt,
                output_tokens,
                ..
            } => {
                assert_eq!(seen[&attempt], output_tokens);
                assert!(done.insert(attempt, output_tokens).is_none());
            }
            ModelEvent::Preempted { .. } => {}
        }
    }
}
