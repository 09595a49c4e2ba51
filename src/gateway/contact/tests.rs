use std::time::Duration;

use super::ContactChange;
use super::FAILURE_TTL;
use super::UpstreamContact;
use crate::clock::Time;
use crate::gateway::instance::InstanceId;
use crate::gateway::instance::InstanceKey;
use crate::id::UpstreamId;

fn key(name: &str) -> InstanceKey {
    InstanceId::from(UpstreamId::new(name)).key()
}

#[test]
fn failures_at_several_upstreams_in_a_row_mean_that_the_host_is_cut_off() {
    let mut contact = UpstreamContact::default();

    let first = contact.record_failure(Time::from_ms(100), key("a"));
    let second = contact.record_failure(Time::from_ms(200), key("b"));

    assert_eq!(first, None);
    assert_eq!(second, Some(ContactChange::Lost { failed: 2 }));
    assert!(contact.is_lost());
}

#[test]
fn failures_of_one_upstream_alone_do_not_cut_a_host_off() {
    let mut contact = UpstreamContact::default();
    for ms in [100, 200, 300] {
        contact.record_failure(Time::from_ms(ms), key("a"));
    }

    assert!(!contact.is_lost());
}

#[test]
fn an_upstream_reached_in_between_shows_that_the_links_are_up() {
    let mut contact = UpstreamContact::default();
    contact.record_failure(Time::from_ms(100), key("a"));
    contact.record_reached(Time::from_ms(150), Time::from_ms(120));

    contact.record_failure(Time::from_ms(200), key("b"));

    assert!(!contact.is_lost());
}

#[test]
fn failures_long_apart_do_not_count_together() {
    let mut contact = UpstreamContact::default();
    let first = Time::from_ms(100);
    contact.record_failure(first, key("a"));

    contact.record_failure(first + FAILURE_TTL + Duration::from_millis(1), key("b"));

    assert!(!contact.is_lost());
}

#[test]
fn an_upstream_that_is_reached_again_ends_the_cut() {
    let mut contact = UpstreamContact::default();
    contact.record_failure(Time::from_ms(100), key("a"));
    contact.record_failure(Time::from_ms(200), key("b"));

    let change = contact.record_reached(Time::from_ms(1_200), Time::from_ms(1_100));

    let after = Duration::from_secs(1);
    assert_eq!(change, Some(ContactChange::Regained { after }));
    assert!(!contact.is_lost());
}

#[test]
fn a_response_on_a_connection_from_before_the_cut_does_not_end_it() {
    let mut contact = UpstreamContact::default();
    contact.record_failure(Time::from_ms(100), key("a"));
    contact.record_failure(Time::from_ms(200), key("b"));

    let change = contact.record_reached(Time::from_ms(1_200), Time::from_ms(50));

    assert_eq!(change, None);
    assert!(contact.is_lost());
}
