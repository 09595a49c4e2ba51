use super::Reach;
use crate::clock::Time;
use crate::id::UpstreamId;

fn upstream() -> UpstreamId {
    UpstreamId::new("a")
}

#[test]
fn one_failed_connection_passes_an_upstream_over_for_a_while() {
    let mut reach = Reach::default();

    let news = reach.failed(Time::ZERO, &upstream());

    assert!(news);
    assert!(reach.is_passed_over(Time::from_ms(799), &upstream()));
    assert!(!reach.is_passed_over(Time::from_ms(800), &upstream()));
}

#[test]
fn further_failures_double_the_time_up_to_a_bound() {
    let mut reach = Reach::default();
    let mut now = Time::ZERO;
    for _ in 0..6 {
        reach.failed(now, &upstream());
        while reach.is_passed_over(now, &upstream()) {
            now = Time::from_ms(now.as_ms() + 100);
        }
    }
    reach.failed(now, &upstream());

    let just_before = Time::from_ms(now.as_ms() + 3_199);
    let after = Time::from_ms(now.as_ms() + 3_200);

    assert!(reach.is_passed_over(just_before, &upstream()));
    assert!(!reach.is_passed_over(after, &upstream()));
}

#[test]
fn failures_at_the_same_time_count_once() {
    let mut reach = Reach::default();
    reach.failed(Time::ZERO, &upstream());

    let again = reach.failed(Time::from_ms(10), &upstream());

    assert!(!again);
    assert!(!reach.is_passed_over(Time::from_ms(800), &upstream()));
}

#[test]
fn a_connection_clears_the_mark() {
    let mut reach = Reach::default();
    reach.failed(Time::ZERO, &upstream());

    assert!(reach.reached(&upstream()));
    assert!(!reach.is_passed_over(Time::ZERO, &upstream()));
    assert!(!reach.reached(&upstream()));
}
