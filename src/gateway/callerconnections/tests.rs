use std::collections::BTreeMap;
use std::task::Waker;
use std::time::Duration;

use tokio::time::Instant;

use super::AHEAD_BYTES_MAX;
use super::CallerConnection;
use super::CallerConnections;
use super::DRAIN_TIME;
use super::EndReason;
use super::IDLE_BYTES;
use super::PATIENCE;
use super::READING_BYTES;
use super::REQUEST_LINE_BYTES_MAX;
use super::ReadAllowance;
use super::UNREAD_TIME;
use crate::gateway::configuration::CallerLimits;
use crate::gateway::memorybudget::MemoryBudget;

const MAX: usize = 8;
const LIMITS: CallerLimits = CallerLimits {
    header_bytes_max: 1_000,
    body_bytes_max: 1_000,
    header_timeout: Duration::from_secs(3),
    idle_timeout: Duration::from_secs(15),
};
const HEAD_BYTES: usize = 100;

fn connections() -> CallerConnections {
    with_budget(None)
}

fn with_budget(limit_bytes: Option<usize>) -> CallerConnections {
    let limit = limit_bytes.map(|bytes| bytes as u64);
    let connections = CallerConnections::new(MAX, MemoryBudget::of_process(limit));
    connections.set_limits(LIMITS);
    connections
}

/// Connections whose memory is enough for `reading` requests that are being read.
fn with_memory_for(reading: usize) -> CallerConnections {
    with_budget(Some(2 * reading * READING_BYTES))
}

fn admit(connections: &CallerConnections, count: usize, now: Instant) -> Vec<CallerConnection> {
    (0..count)
        .map(|_| connections.admit(now).expect("there is room"))
        .collect()
}

fn allowance(connection: &CallerConnection, now: Instant) -> ReadAllowance {
    connection.read_allowance(now, Waker::noop())
}

fn run_request(connection: &CallerConnection, now: Instant) {
    connection.record_read(now, HEAD_BYTES);
    connection.begin_request(now, HEAD_BYTES, false);
}

#[test]
fn connections_over_the_bound_are_not_admitted_until_others_end() {
    let (connections, now) = (connections(), Instant::now());
    let mut open = admit(&connections, MAX, now);

    let refused = [connections.admit(now), connections.admit(now)];
    open.pop();
    let admitted = connections.admit(now);

    assert!(refused.iter().all(Option::is_none));
    assert!(admitted.is_some());
}

#[test]
fn a_host_is_crowded_above_half_of_the_bound() {
    let (connections, now) = (connections(), Instant::now());
    let mut open = admit(&connections, MAX / 2, now);

    let at_half = connections.is_crowded();
    open.extend(admit(&connections, 1, now));

    assert!(!at_half);
    assert!(connections.is_crowded());
    drop(open);
    assert!(!connections.is_crowded());
}

#[test]
fn a_newcomer_takes_the_place_of_the_connection_that_sent_nothing_for_longest() {
    let (connections, now) = (connections(), Instant::now());
    let open = admit(&connections, MAX, now);
    run_request(&open[0], now);
    run_request(&open[1], now);
    open[1].end_request(now);
    let later = now + PATIENCE;
    open[2].record_read(later, 1);

    let _newcomers = admit(&connections, MAX - 2, later);

    let ended: Vec<bool> = open.iter().map(CallerConnection::is_ended).collect();
    assert_eq!(
        ended,
        [false, true, false, true, true, true, true, true],
        "all but the running and the reading one"
    );
    assert!(connections.admit(later).is_none());
    let reasons = BTreeMap::from([(EndReason::Crowded, MAX as u64 - 2)]);
    assert_eq!(connections.take_ended(), reasons);
}

#[test]
fn a_request_that_was_read_whole_is_not_ended_for_others() {
    let (connections, now) = (connections(), Instant::now());
    let open = admit(&connections, MAX, now);
    for connection in &open {
        run_request(connection, now);
    }

    let newcomer = connections.admit(now + 10 * PATIENCE);

    assert!(newcomer.is_none());
    assert!(!open.iter().any(CallerConnection::is_ended));
}

#[test]
fn the_request_that_has_been_read_for_longest_gives_its_memory_to_others() {
    let (connections, now) = (with_memory_for(3), Instant::now());
    let open = admit(&connections, 4, now);
    let later = now + PATIENCE;
    for (index, connection) in open.iter().enumerate().take(2) {
        connection.record_read(now + index as u32 * PATIENCE / 10, 1);
    }

    open[2].record_read(later + 2 * PATIENCE, 1);
    open[3].record_read(later + 2 * PATIENCE, 1);

    let ended: Vec<bool> = open.iter().map(CallerConnection::is_ended).collect();
    assert_eq!(ended, [true, false, false, false]);
}

#[test]
fn a_request_without_memory_is_given_up_while_the_others_have_just_begun() {
    let (connections, now) = (with_memory_for(3), Instant::now());
    let open = admit(&connections, 4, now);

    for connection in &open {
        connection.record_read(now, 1);
    }

    let ended: Vec<bool> = open.iter().map(CallerConnection::is_ended).collect();
    assert_eq!(
        ended,
        [false, false, true, false],
        "its share is free for the last"
    );
}

#[test]
fn memory_bounds_idle_connections_too() {
    let connections = with_budget(Some(2 * 3 * IDLE_BYTES));
    let now = Instant::now();
    let _open = admit(&connections, 3, now);

    assert!(connections.admit(now).is_none());
    assert!(connections.admit(now + PATIENCE).is_some());
}

#[test]
fn a_head_over_the_limit_ends_its_connection() {
    let (connections, now) = (connections(), Instant::now());
    let open = admit(&connections, 1, now);
    let head_bytes_max = LIMITS.header_bytes_max + REQUEST_LINE_BYTES_MAX;

    open[0].record_read(now, head_bytes_max - 1);
    let last = allowance(&open[0], now);
    open[0].record_read(now, 1);

    assert_eq!(last, ReadAllowance::Bytes(1));
    assert_eq!(allowance(&open[0], now), ReadAllowance::Ended);
}

#[test]
fn heads_and_idle_connections_end_after_their_timeouts() {
    let (connections, now) = (connections(), Instant::now());
    let open = admit(&connections, 3, now);
    open[0].record_read(now, 1);
    run_request(&open[1], now);
    let ended = || -> Vec<bool> { open.iter().map(CallerConnection::is_ended).collect() };

    connections.end_overdue(now + LIMITS.header_timeout, Duration::ZERO);
    let in_time = ended();
    let after_head = now + LIMITS.header_timeout + Duration::from_millis(1);
    connections.end_overdue(after_head, Duration::ZERO);
    let slow_head = ended();
    let after_idle = now + LIMITS.idle_timeout + Duration::from_millis(1);
    connections.end_overdue(after_idle, Duration::ZERO);

    assert_eq!(in_time, [false, false, false]);
    assert_eq!(slow_head, [true, false, false]);
    assert_eq!(ended(), [true, false, true]);
}

#[test]
fn time_in_which_the_host_did_not_run_counts_against_nobody() {
    let (connections, now) = (connections(), Instant::now());
    let open = admit(&connections, 1, now);
    let asleep = 2 * LIMITS.idle_timeout;

    connections.end_overdue(now + asleep, asleep);

    assert!(!open[0].is_ended());
}

#[test]
fn requests_sent_ahead_wait_in_the_socket() {
    let (connections, now) = (connections(), Instant::now());
    let open = admit(&connections, 1, now);
    run_request(&open[0], now);

    open[0].record_read(now, AHEAD_BYTES_MAX);
    let while_running = allowance(&open[0], now);
    open[0].begin_answer(now);
    let while_answering = allowance(&open[0], now);
    open[0].end_request(now);

    assert_eq!(while_running, ReadAllowance::Wait);
    assert_eq!(while_answering, ReadAllowance::Wait);
    assert!(matches!(allowance(&open[0], now), ReadAllowance::Bytes(_)));
}

#[test]
fn the_rest_of_a_refused_body_is_read_for_a_while_even_of_an_ended_connection() {
    let (connections, now) = (connections(), Instant::now());
    let open = admit(&connections, 1, now);
    open[0].record_read(now, HEAD_BYTES);
    open[0].begin_request(now, HEAD_BYTES, true);
    assert!(open[0].begin_body(now));
    open[0].end_slow_body(now);

    let before_refusal = allowance(&open[0], now);
    open[0].begin_answer(now);
    let may_write = !open[0].is_write_ended(now);
    open[0].end_request(now);
    let after_refusal = allowance(&open[0], now);
    let after_drain = allowance(&open[0], now + 2 * DRAIN_TIME);

    assert!(may_write);
    assert_eq!(before_refusal, ReadAllowance::Wait);
    assert_eq!(after_refusal, ReadAllowance::Bytes(usize::MAX));
    assert_eq!(after_drain, ReadAllowance::Ended);
}

#[test]
fn an_answer_is_unread_when_its_client_took_nothing_for_a_while() {
    let (connections, now) = (connections(), Instant::now());
    let open = admit(&connections, 2, now);
    for connection in &open {
        run_request(connection, now);
        connection.begin_answer(now);
        connection.record_write(now, true);
    }
    let later = now + UNREAD_TIME;
    open[1].record_write(later, false);
    open[1].record_write(later, true);

    let early = connections.end_unread(later - Duration::from_millis(1));
    let first = connections.end_unread(later);
    let second = connections.end_unread(later);

    assert_eq!([early, first, second], [false, true, false]);
    assert!(open[0].is_write_ended(later) && !open[1].is_write_ended(later));
}
