use super::Affinity;
use super::HOLDERS_MAX;
use crate::clock::Time;

fn shares(affinity: &Affinity, now: Time, prefixes: &[u64]) -> Vec<(usize, f64)> {
    affinity
        .hints(now, prefixes)
        .into_iter()
        .map(|hint| (hint.slot, hint.share))
        .collect()
}

#[test]
fn the_longest_known_prefix_names_its_holders() {
    let mut affinity = Affinity::default();
    affinity.stored(Time::ZERO, 1, 10);
    affinity.stored(Time::ZERO, 2, 20);

    assert_eq!(shares(&affinity, Time::ZERO, &[10, 20]), [(2, 1.0)]);
    assert_eq!(shares(&affinity, Time::ZERO, &[10, 99]), [(1, 0.5)]);
    assert_eq!(shares(&affinity, Time::ZERO, &[99]), []);
}

#[test]
fn hints_fade_with_age_and_end_with_eviction() {
    let mut affinity = Affinity::default();
    affinity.stored(Time::ZERO, 1, 10);

    let faded = shares(&affinity, Time::from_ms(60_000), &[10]);
    affinity.evicted(1, 10);

    assert_eq!(faded, [(1, 0.5)]);
    assert_eq!(shares(&affinity, Time::ZERO, &[10]), []);
}

#[test]
fn hints_that_the_engine_does_not_bear_out_count_less() {
    let mut affinity = Affinity::default();
    affinity.stored(Time::ZERO, 1, 10);

    for _ in 0..50 {
        affinity.compare(1, 1.0, 0.0);
    }

    assert!(shares(&affinity, Time::ZERO, &[10])[0].1 < 0.01);
}

#[test]
fn a_prefix_remembers_its_latest_holders_only() {
    let mut affinity = Affinity::default();
    for slot in 0..10 {
        affinity.stored(Time::ZERO, slot, 10);
    }

    affinity.forget(9);

    let slots: Vec<usize> = affinity
        .hints(Time::ZERO, &[10])
        .iter()
        .map(|hint| hint.slot)
        .collect();
    assert_eq!(slots, (10 - HOLDERS_MAX..9).collect::<Vec<_>>());
}
