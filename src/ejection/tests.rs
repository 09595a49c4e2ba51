use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::EjectionOptions;
use super::Ejector;
use super::Health;
use crate::clock::Time;
use crate::id::UpstreamId;

fn upstream(index: usize) -> UpstreamId {
    UpstreamId::new(format!("10.0.0.{index}:1"))
}

fn ejector() -> Ejector {
    Ejector::new(EjectionOptions::default())
}

fn fail(ejector: &mut Ejector, now: Time, index: usize, times: usize) {
    for _ in 0..times {
        ejector.failed(now, &upstream(index), 1);
    }
}

#[test]
fn failures_in_a_row_eject_and_a_success_between_does_not() {
    let mut ejector = ejector();
    fail(&mut ejector, Time::ZERO, 0, 2);
    ejector.succeeded(&upstream(0));
    fail(&mut ejector, Time::ZERO, 0, 2);
    let before = ejector.health(Time::ZERO, &upstream(0));

    fail(&mut ejector, Time::ZERO, 0, 1);

    assert_eq!(before, Health::Open);
    assert_eq!(ejector.health(Time::ZERO, &upstream(0)), Health::Ejected);
}

#[test]
fn one_probe_at_a_time_decides_on_the_return() {
    let mut ejector = ejector();
    fail(&mut ejector, Time::ZERO, 0, 3);
    let later = Time::from_ms(2_000);
    let half_open = ejector.health(later, &upstream(0));

    ejector.sent(&upstream(0));
    let during = ejector.health(later, &upstream(0));
    ejector.succeeded(&upstream(0));

    assert_eq!(half_open, Health::HalfOpen);
    assert_eq!(during, Health::Ejected);
    assert_eq!(ejector.health(later, &upstream(0)), Health::Open);
}

#[test]
fn a_failed_probe_doubles_the_ejection() {
    let mut ejector = ejector();
    fail(&mut ejector, Time::ZERO, 0, 3);
    let later = Time::from_ms(2_000);
    ejector.sent(&upstream(0));

    fail(&mut ejector, later, 0, 1);

    assert_eq!(
        ejector.health(Time::from_ms(5_999), &upstream(0)),
        Health::Ejected
    );
    assert_eq!(
        ejector.health(Time::from_ms(6_000), &upstream(0)),
        Health::HalfOpen
    );
}

#[test]
fn never_more_than_the_allowed_number_is_ejected() {
    for seed in 0..50 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut ejector = ejector();
        for ms in 0..2_000 {
            let now = Time::from_ms(ms * 10);
            let index = upstream(rng.random_range(0..8));
            match rng.random_range(0..10) {
                0 => ejector.succeeded(&index),
                1 => ejector.sent(&index),
                2 => ejector.abandoned(&index),
                3 => ejector.forget(&index),
                _ => {
                    ejector.failed(now, &index, 3);
                }
            }

            let ejected = (0..8)
                .filter(|index| ejector.health(now, &upstream(*index)) != Health::Open)
                .count();
            assert!(ejected <= 3, "seed {seed} at {ms}");
        }
    }
}
