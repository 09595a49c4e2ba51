use super::Reachability;
use crate::clock::Time;
use crate::gateway::instance::InstanceId;
use crate::id::UpstreamId;

fn upstream() -> InstanceId {
    InstanceId::from(UpstreamId::new("a"))
}

#[test]
fn one_failed_connection_passes_an_upstream_over_for_a_while() {
    let mut reachability = Reachability::default();

    let news = reachability.record_failure(Time::ZERO, &upstream());

    assert!(news);
    assert!(reachability.is_unreachable(Time::from_ms(799), &upstream()));
    assert!(!reachability.is_unreachable(Time::from_ms(800), &upstream()));
}

#[test]
fn further_failures_double_the_time_up_to_a_bound() {
    let mut reachability = Reachability::default();
    let mut now = Time::ZERO;
    for _ in 0..6 {
        reachability.record_failure(now, &upstream());
        while reachability.is_unreachable(now, &upstream()) {
            now = Time::from_ms(now.as_ms() + 100);
        }
    }
    reachability.record_failure(now, &upstream());

    let just_before = Time::from_ms(now.as_ms() + 3_199);
    let after = Time::from_ms(now.as_ms() + 3_200);

    assert!(reachability.is_unreachable(just_before, &upstream()));
    assert!(!reachability.is_unreachable(after, &upstream()));
}

#[test]
fn failures_at_the_same_time_count_once() {
    let mut reachability = Reachability::default();
    reachability.record_failure(Time::ZERO, &upstream());

    let again = reachability.record_failure(Time::from_ms(10), &upstream());

    assert!(!again);
    assert!(!reachability.is_unreachable(Time::from_ms(800), &upstream()));
}

#[test]
fn a_connection_clears_the_mark() {
    let mut reachability = Reachability::default();
    reachability.record_failure(Time::ZERO, &upstream());

    assert!(reachability.record_success(Time::ZERO, &upstream()));
    assert!(!reachability.is_unreachable(Time::ZERO, &upstream()));
    assert!(!reachability.record_success(Time::ZERO, &upstream()));
}

#[test]
fn a_peers_word_passes_an_upstream_over_for_a_while() {
    let mut reachability = Reachability::default();

    let news = reachability.receive_report(Time::ZERO, &upstream());

    assert!(news);
    assert!(reachability.is_unreachable(Time::from_ms(799), &upstream()));
    assert!(!reachability.is_unreachable(Time::from_ms(800), &upstream()));
}

#[test]
fn a_peers_word_counts_for_nothing_against_a_connection_of_a_moment_ago() {
    let mut reachability = Reachability::default();
    reachability.record_success(Time::ZERO, &upstream());

    reachability.receive_report(Time::from_ms(999), &upstream());
    assert!(!reachability.is_unreachable(Time::from_ms(999), &upstream()));

    reachability.receive_report(Time::from_ms(1_000), &upstream());
    assert!(reachability.is_unreachable(Time::from_ms(1_000), &upstream()));
}

#[test]
fn only_what_a_host_saw_itself_is_told() {
    let mut reachability = Reachability::default();
    let heard = InstanceId::from(UpstreamId::new("heard"));
    reachability.receive_report(Time::ZERO, &heard);
    reachability.record_failure(Time::ZERO, &upstream());

    assert_eq!(reachability.own_failures(Time::ZERO), [upstream()]);
    assert!(reachability.own_failures(Time::from_ms(800)).is_empty());
}

#[test]
fn an_upstream_that_is_gone_is_forgotten() {
    let mut reachability = Reachability::default();
    reachability.record_failure(Time::ZERO, &upstream());

    reachability.remove(&upstream());

    assert!(!reachability.is_unreachable(Time::ZERO, &upstream()));
}
