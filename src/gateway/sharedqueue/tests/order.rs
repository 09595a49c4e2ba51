//! Order of arrival, engines left idle, ranks, and long beside short generations.

use std::time::Duration;

use crate::clock::Time;
use crate::gateway::admit;
use crate::gateway::enginestats::EngineStats;
use crate::gateway::sharedqueue::tests::model::Generation;
use crate::gateway::sharedqueue::tests::model::Model;
use crate::gateway::sharedqueue::tests::model::Stream;

const LOAD_TIME: Duration = Duration::from_secs(8);
/// Memory is taken everywhere by then.
const FILLED: Duration = Duration::from_secs(2);
const END: Duration = Duration::from_secs(12);
/// An engine with room for one that waits is idle after this long.
const IDLE_MAX: Duration = Duration::from_millis(50);
/// Generations a second that an engine sustains at the sizes drawn.
const PER_ENGINE_S: f64 = 9.2;

fn stream(rank: u8, per_s: f64) -> Stream {
    Stream {
        customer: "crew",
        weight: 1,
        rank,
        per_s,
        prompt_tokens: (1_000, 2_500),
        output_tokens: (100, 300),
    }
}

fn fleet(hosts: usize) -> (usize, f64) {
    let engines = hosts * 5 / 6;
    (engines, engines as f64 * PER_ENGINE_S)
}

/// Share of those started that one with a later arrival had started before.
fn overtaken_share(generations: &[Generation]) -> f64 {
    let mut started: Vec<(Time, Time)> = generations
        .iter()
        .filter_map(|generation| Some((generation.started_at?, generation.arrived_at)))
        .collect();
    started.sort();
    let mut latest = Time::ZERO;
    let mut overtaken = 0;
    for (_, arrived_at) in &started {
        overtaken += usize::from(*arrived_at < latest);
        latest = latest.max(*arrived_at);
    }
    overtaken as f64 / started.len() as f64
}

fn in_order_at(hosts: usize) {
    let (engines, per_s) = fleet(hosts);
    let same_size = Stream {
        prompt_tokens: (2_000, 2_000),
        output_tokens: (200, 200),
        ..stream(1, per_s * 1.6)
    };
    let mut model = Model::new(1, hosts, engines, &[same_size], LOAD_TIME);

    model.run(END, |_| {});

    let share = overtaken_share(&model.generations);
    println!("{hosts} hosts: {share} overtaken");
    assert!(share <= 0.02, "{share}");
}

#[test]
fn generations_start_in_order_of_arrival_at_72_hosts() {
    in_order_at(72);
}

#[test]
fn generations_start_in_order_of_arrival_at_300_hosts() {
    in_order_at(300);
}

/// Longest time for which an engine had room for one that waited, and the most engines that had it for
/// [`IDLE_MAX`] at once. What has just arrived is on its way to the owner or back.
fn longest_idle(streams: &[Stream], engines: usize, hosts: usize) -> (Duration, usize) {
    let mut model = Model::new(2, hosts, engines, streams, LOAD_TIME);
    let stats = EngineStats::default();
    let mut since: Vec<Option<Time>> = vec![None; engines];
    let mut longest = Duration::ZERO;
    let mut idle_max = 0;
    model.run(END, |model| {
        let waiting = model.generations.iter().filter(|generation| {
            generation.waits() && model.now.since(generation.arrived_at) >= IDLE_MAX
        });
        let least = waiting.min_by_key(|generation| generation.tokens());
        let mut idle = 0;
        for (number, engine) in model.engines.iter().enumerate() {
            let fits = least.is_some_and(|least| {
                let demand = least.waiter.demand();
                !admit::with_room(&demand, std::iter::once(engine), &stats).is_empty()
            });
            let began = since[number].filter(|_| fits).unwrap_or(model.now);
            since[number] = fits.then_some(began);
            longest = longest.max(model.now.since(began));
            idle += usize::from(model.now.since(began) >= IDLE_MAX);
        }
        idle_max = idle_max.max(idle);
    });
    (longest, idle_max)
}

#[test]
fn no_engine_with_room_for_one_that_waits_stays_idle_for_50_ms() {
    let (engines, per_s) = fleet(72);
    let same_size = Stream {
        prompt_tokens: (2_000, 2_000),
        output_tokens: (200, 200),
        ..stream(1, per_s * 2.0)
    };

    let (same, _) = longest_idle(&[same_size], engines, 72);
    let (drawn, _) = longest_idle(&[stream(1, per_s * 2.0)], engines, 72);

    println!("idle: same size {same:?}, drawn sizes {drawn:?}");
    assert!(same < IDLE_MAX, "{same:?}");
    assert!(drawn < IDLE_MAX, "{drawn:?}");
}

/// Large ones reserve engines, which are idle for those behind them.
#[test]
fn beside_large_generations_at_most_half_of_the_engines_are_reserved() {
    let (engines, _) = fleet(72);

    let (longest, idle) = longest_idle(&long_and_short(engines), engines, 72);

    println!("{idle} of {engines} idle, {longest:?} at most");
    assert!(idle <= engines / 2, "{idle} of {engines}");
}

/// The short ones alone want twice the engines' memory, the long ones half of it. Both may wait for the same time.
fn long_and_short(engines: usize) -> [Stream; 2] {
    let long = Stream {
        prompt_tokens: (2_800, 3_000),
        output_tokens: (700, 900),
        ..stream(1, engines as f64 * 0.7)
    };
    let short = Stream {
        prompt_tokens: (1_500, 1_800),
        output_tokens: (101, 150),
        ..stream(1, engines as f64 * 29.0)
    };
    [long, short]
}

/// Share of a stream's generations that start, of those that arrive once the engines are full.
fn served_share(model: &Model, stream: usize) -> f64 {
    let of_stream = model.generations.iter().filter(|generation| {
        generation.stream == stream && generation.arrived_at >= Time::ZERO + FILLED
    });
    let served = of_stream.clone().filter(|generation| generation.starts > 0);
    served.count() as f64 / of_stream.count() as f64
}

/// The two less urgent ranks get the same generations at the same times.
#[test]
fn a_more_urgent_rank_is_served_no_less_than_one_behind_it() {
    for (seed, urgent) in [(1, 0.5), (2, 1.2), (3, 2.5)] {
        let (engines, per_s) = fleet(24);
        let streams = [stream(0, per_s * urgent), stream(1, per_s)];
        let mut model = Model::new(seed, 24, engines, &streams, LOAD_TIME);
        let behind = model.generations.iter();
        let behind = behind.filter(|generation| generation.stream == 1);
        let behind: Vec<Generation> = behind.cloned().map(with_rank_2).collect();
        model.generations.extend(behind);

        model.run(END, |_| {});

        let shares: Vec<f64> = (0..3).map(|stream| served_share(&model, stream)).collect();
        println!("urgent at {urgent}: {shares:?}");
        assert!(
            shares.is_sorted_by(|first, second| first >= second),
            "{shares:?}"
        );
    }
}

fn with_rank_2(mut generation: Generation) -> Generation {
    generation.stream = 2;
    generation.waiter.rank = 2;
    generation
}

#[test]
fn neither_long_nor_short_generations_starve_within_a_rank() {
    let (engines, _) = fleet(72);
    let mut model = Model::new(4, 72, engines, &long_and_short(engines), LOAD_TIME);

    model.run(END, |_| {});

    let (long, short) = (served_share(&model, 0), served_share(&model, 1));
    let alike = same_for_all(&model);
    println!("long {long}, short {short}, alike {alike}");
    assert!(long >= 0.8 * alike, "long {long}, alike {alike}");
    assert!(short >= 0.8 * alike, "short {short}, alike {alike}");
}

/// A long prompt leaves less time to wait in than others of the rank take.
#[test]
fn those_that_may_wait_for_less_are_served_when_they_return() {
    let (engines, _) = fleet(72);
    let [long, short] = long_and_short(engines);
    let long = Stream {
        prompt_tokens: (4_000, 5_000),
        ..long
    };
    let time = Duration::from_secs(3);
    let mut model = Model::new(8, 72, engines, &[long, short], time);
    model.callers_return = true;

    model.run(Duration::from_secs(25), |_| {});

    let (long, short) = (served_share(&model, 0), served_share(&model, 1));
    println!("when they return: long {long}, short {short}");
    assert!(long >= 0.99 * short, "long {long}, short {short}");
}

/// Sizes near the mean reserve nothing.
#[test]
fn the_larger_of_drawn_sizes_are_served_as_the_smaller() {
    let (engines, per_s) = fleet(72);
    let smaller = Stream {
        prompt_tokens: (1_000, 1_750),
        ..stream(1, per_s)
    };
    let larger = Stream {
        prompt_tokens: (1_750, 2_500),
        ..stream(1, per_s)
    };
    let mut model = Model::new(6, 72, engines, &[smaller, larger], LOAD_TIME);

    model.run(END, |_| {});

    let (smaller, larger) = (served_share(&model, 0), served_share(&model, 1));
    let alike = same_for_all(&model);
    println!("smaller {smaller}, larger {larger}, alike {alike}");
    assert!(larger >= 0.8 * alike, "larger {larger}, alike {alike}");
    assert!(smaller >= 0.8 * alike, "smaller {smaller}, alike {alike}");
}

/// The share that each would be served if size made no difference: of the memory and time wanted, what was had.
fn same_for_all(model: &Model) -> f64 {
    let held = |generation: &&Generation| {
        f64::from(generation.tokens()) * generation.waiter.run_time.as_secs_f64()
    };
    let late = model.generations.iter();
    let late = late.filter(|generation| generation.arrived_at >= Time::ZERO + FILLED);
    let had = late.clone().filter(|generation| generation.starts > 0);
    let had: f64 = had.map(|generation| held(&generation)).sum();
    had / late.map(|generation| held(&generation)).sum::<f64>()
}
