use super::Reachability;
use crate::clock::Time;
use crate::gateway::instance::InstanceId;
use crate::id::UpstreamId;

fn upstream() -> InstanceId {
    InstanceId::from(UpstreamId::new("a"))
}

#[test]
fn one_failed_connection_backs_off_from_an_upstream() {
    let mut reachability = Reachability::default();

    let is_new = reachability.record_failure(Time::ZERO, &upstream());

    assert!(is_new);
    assert!(reachability.is_unreachable(Time::from_ms(799), &upstream()));
    assert!(!reachability.is_unreachable(Time::from_ms(800), &upstream()));
}

#[test]
fn repeated_failures_double_the_backoff_up_to_the_maximum() {
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
fn concurrent_failures_count_once() {
    let mut reachability = Reachability::default();
    reachability.record_failure(Time::ZERO, &upstream());

    let again = reachability.record_failure(Time::from_ms(10), &upstream());

    assert!(!again);
    assert!(!reachability.is_unreachable(Time::from_ms(800), &upstream()));
}

#[test]
fn a_successful_connection_ends_the_backoff() {
    let mut reachability = Reachability::default();
    reachability.record_failure(Time::ZERO, &upstream());

    assert!(reachability.record_success(Time::ZERO, &upstream()));
    assert!(!reachability.is_unreachable(Time::ZERO, &upstream()));
    assert!(!reachability.record_success(Time::ZERO, &upstream()));
}

#[test]
fn a_peer_report_backs_off_from_an_upstream() {
    let mut reachability = Reachability::default();

    let is_new = reachability.receive_report(Time::ZERO, &upstream());

    assert!(is_new);
    assert!(reachability.is_unreachable(Time::from_ms(799), &upstream()));
    assert!(!reachability.is_unreachable(Time::from_ms(800), &upstream()));
}

#[test]
fn a_recent_connection_outweighs_a_peer_report() {
    let mut reachability = Reachability::default();
    reachability.record_success(Time::ZERO, &upstream());

    reachability.receive_report(Time::from_ms(999), &upstream());
    assert!(!reachability.is_unreachable(Time::from_ms(999), &upstream()));

    reachability.receive_report(Time::from_ms(1_000), &upstream());
    assert!(reachability.is_unreachable(Time::from_ms(1_000), &upstream()));
}

#[test]
fn own_failures_are_announced_once_they_are_confirmed() {
    let mut reachability = Reachability::default();
    let reported = InstanceId::from(UpstreamId::new("reported"));
    reachability.receive_report(Time::ZERO, &reported);
    reachability.record_failure(Time::ZERO, &upstream());
    let unconfirmed = reachability.confirmed_failures(Time::ZERO);

    let is_any = reachability.confirm_failures(Time::from_ms(1));

    assert!(unconfirmed.is_empty() && is_any);
    assert_eq!(reachability.confirmed_failures(Time::ZERO), [upstream()]);
    assert!(
        reachability
            .confirmed_failures(Time::from_ms(800))
            .is_empty()
    );
}

#[test]
fn a_request_sent_before_a_failure_does_not_confirm_it() {
    let mut reachability = Reachability::default();
    reachability.record_failure(Time::from_ms(5), &upstream());

    assert!(!reachability.confirm_failures(Time::from_ms(4)));
    assert!(reachability.confirmed_failures(Time::from_ms(5)).is_empty());
}

#[test]
fn a_host_whose_links_were_down_forgets_its_own_failures_alone() {
    let mut reachability = Reachability::default();
    let reported = InstanceId::from(UpstreamId::new("reported"));
    reachability.receive_report(Time::ZERO, &reported);
    reachability.record_failure(Time::ZERO, &upstream());

    reachability.forget_own_failures();

    assert!(!reachability.is_unreachable(Time::ZERO, &upstream()));
    assert!(reachability.is_unreachable(Time::ZERO, &reported));
}

#[test]
fn a_removed_upstream_has_no_record() {
    let mut reachability = Reachability::default();
    reachability.record_failure(Time::ZERO, &upstream());

    reachability.remove(&upstream());

    assert!(!reachability.is_unreachable(Time::ZERO, &upstream()));
}
