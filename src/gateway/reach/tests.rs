use super::Reach;
use crate::clock::Time;
use crate::gateway::instance::InstanceId;
use crate::id::UpstreamId;

fn upstream() -> InstanceId {
    InstanceId::from(UpstreamId::new("a"))
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

    assert!(reach.reached(Time::ZERO, &upstream()));
    assert!(!reach.is_passed_over(Time::ZERO, &upstream()));
    assert!(!reach.reached(Time::ZERO, &upstream()));
}

#[test]
fn a_peers_word_passes_an_upstream_over_for_a_while() {
    let mut reach = Reach::default();

    let news = reach.hear(Time::ZERO, &upstream());

    assert!(news);
    assert!(reach.is_passed_over(Time::from_ms(799), &upstream()));
    assert!(!reach.is_passed_over(Time::from_ms(800), &upstream()));
}

#[test]
fn a_peers_word_counts_for_nothing_against_a_connection_of_a_moment_ago() {
    let mut reach = Reach::default();
    reach.reached(Time::ZERO, &upstream());

    reach.hear(Time::from_ms(999), &upstream());
    assert!(!reach.is_passed_over(Time::from_ms(999), &upstream()));

    reach.hear(Time::from_ms(1_000), &upstream());
    assert!(reach.is_passed_over(Time::from_ms(1_000), &upstream()));
}

#[test]
fn only_what_a_host_saw_itself_is_told() {
    let mut reach = Reach::default();
    let heard = InstanceId::from(UpstreamId::new("heard"));
    reach.hear(Time::ZERO, &heard);
    reach.failed(Time::ZERO, &upstream());

    assert_eq!(reach.first_hand(Time::ZERO), [upstream()]);
    assert!(reach.first_hand(Time::from_ms(800)).is_empty());
}

#[test]
fn an_upstream_that_is_gone_is_forgotten() {
    let mut reach = Reach::default();
    reach.failed(Time::ZERO, &upstream());

    reach.forget(&upstream());

    assert!(!reach.is_passed_over(Time::ZERO, &upstream()));
}
