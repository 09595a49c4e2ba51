use std::net::SocketAddr;
use std::net::TcpListener;
use std::time::Duration;

use super::START_WAIT_MAX;
use super::SeedState;
use super::probe_seeds;
use super::wait_limit;

/// An address that refuses connections.
fn closed_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap()
}

#[actix_rt::test]
async fn seeds_that_refuse_connections_are_unreachable() {
    assert_eq!(
        probe_seeds(&[closed_address()]).await,
        SeedState::Unreachable
    );
    assert_eq!(probe_seeds(&[]).await, SeedState::Unreachable);
}

#[actix_rt::test]
async fn one_listening_seed_is_enough() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let seeds = [closed_address(), listener.local_addr().unwrap()];

    assert_eq!(probe_seeds(&seeds).await, SeedState::Reachable);
}

#[test]
fn a_request_waits_only_at_a_starting_host_and_for_a_share_of_its_timeout() {
    let day = Duration::from_secs(86_400);
    assert_eq!(wait_limit(Duration::ZERO, day), START_WAIT_MAX);
    assert_eq!(wait_limit(START_WAIT_MAX, day), Duration::ZERO);
    assert_eq!(
        wait_limit(Duration::ZERO, Duration::from_millis(800)),
        Duration::from_millis(200)
    );
    assert_eq!(wait_limit(Duration::ZERO, Duration::MAX), START_WAIT_MAX);
}
