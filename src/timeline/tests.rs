use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::Moment;
use super::Process;
use super::Selection;
use super::merge;
use super::select;
use crate::event::Event;
use crate::event::EventCode;
use crate::id::AttemptId;
use crate::id::Incarnation;
use crate::id::RequestId;

const SEEDS: u64 = 200;

fn event(host: &str, sequence: u64, wall_ms: u64, code: EventCode) -> Event {
    Event {
        code,
        host: host.into(),
        incarnation: Incarnation(1),
        sequence,
        monotonic_us: wall_ms * 1_000,
        wall_ms,
        request: None,
        attempt: None,
        upstream: None,
        offset: None,
        detail: String::new(),
    }
}

fn of_request(event: Event, request: u128) -> Event {
    Event {
        request: Some(RequestId::from_u128(request)),
        ..event
    }
}

fn of_attempt(event: Event, attempt: u128) -> Event {
    Event {
        attempt: Some(AttemptId::from_u128(attempt)),
        ..event
    }
}

/// Histories of a few hosts with skewed clocks, in which requests move between hosts.
fn random_history(seed: u64) -> Vec<Event> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let hosts = ["a", "b", "c", "d"];
    let skews: Vec<u64> = hosts.iter().map(|_| rng.random_range(0..500)).collect();
    let mut sequences = [0_u64; 4];
    let mut received = 0_u128;
    let mut events = Vec::new();
    for step in 0..rng.random_range(1..120) {
        let host = rng.random_range(0..hosts.len());
        let wall_ms = step * 3 + skews[host];
        let arrives = received == 0 || rng.random_range(0..4) == 0;
        let code = if arrives {
            EventCode::RequestReceived
        } else {
            EventCode::RequestQueued
        };
        received += u128::from(arrives);
        let request = if arrives {
            received
        } else {
            rng.random_range(1..=received)
        };
        let event = event(hosts[host], sequences[host], wall_ms, code);
        events.push(of_request(event, request));
        sequences[host] += 1;
    }
    for index in (1..events.len()).rev() {
        events.swap(index, rng.random_range(0..=index));
    }
    events
}

fn position(moments: &[Moment], wanted: impl Fn(&Event) -> bool) -> usize {
    moments
        .iter()
        .position(|moment| wanted(&moment.event))
        .unwrap()
}

#[test]
fn every_event_appears_once_in_the_order_of_its_process() {
    for seed in 0..SEEDS {
        let events = random_history(seed);

        let moments = merge(events.clone());

        assert_eq!(moments.len(), events.len(), "seed {seed}");
        for host in ["a", "b", "c", "d"] {
            let sequences: Vec<u64> = moments
                .iter()
                .filter(|moment| moment.event.host.as_str() == host)
                .map(|moment| moment.event.sequence)
                .collect();
            assert_eq!(
                sequences,
                Vec::from_iter(0..sequences.len() as u64),
                "seed {seed}"
            );
        }
    }
}

#[test]
fn no_request_is_seen_before_it_arrives_and_time_never_falls() {
    for seed in 0..SEEDS {
        let moments = merge(random_history(seed));

        for (index, moment) in moments.iter().enumerate() {
            let arrival = position(&moments, |event| {
                event.code == EventCode::RequestReceived && event.request == moment.event.request
            });
            assert!(arrival <= index, "seed {seed}");
        }
        assert!(
            moments.is_sorted_by_key(|moment| moment.at_ms),
            "seed {seed}"
        );
    }
}

#[test]
fn the_order_and_number_of_inputs_do_not_matter() {
    for seed in 0..SEEDS {
        let events = random_history(seed);
        let mut doubled = events.clone();
        doubled.extend(events.iter().rev().cloned());

        assert_eq!(merge(doubled), merge(events), "seed {seed}");
    }
}

#[test]
fn a_dispatch_comes_before_what_a_fast_clock_shows_first() {
    let start = of_attempt(event("engine", 0, 100, EventCode::UpstreamReported), 1);
    let dispatch = of_attempt(event("entry", 0, 900, EventCode::RequestDispatched), 1);

    let moments = merge(vec![start, dispatch]);

    let hosts: Vec<_> = moments.iter().map(|m| m.event.host.as_str()).collect();
    assert_eq!(hosts, ["entry", "engine"]);
    assert_eq!(moments[1].at_ms, 900);
}

#[test]
fn an_earlier_incarnation_ends_before_the_next_one_starts() {
    let mut second = event("a", 0, 5, EventCode::ProcessStarted);
    second.incarnation = Incarnation(2);

    let moments = merge(vec![second, event("a", 7, 50, EventCode::ShutdownBegan)]);

    let codes: Vec<_> = moments.iter().map(|moment| moment.event.code).collect();
    assert_eq!(codes, [EventCode::ShutdownBegan, EventCode::ProcessStarted]);
}

#[test]
fn contradicting_events_still_appear() {
    let arrival = EventCode::RequestReceived;
    let queued = EventCode::RequestQueued;
    let events = vec![
        of_request(event("a", 0, 1, queued), 2),
        of_request(event("a", 1, 2, arrival), 1),
        of_request(event("b", 0, 1, queued), 1),
        of_request(event("b", 1, 2, arrival), 2),
    ];

    let moments = merge(events);

    assert_eq!(moments.len(), 4);
    assert_eq!(Process::of(&moments[0].event).host.as_str(), "a");
}

#[test]
fn a_request_is_selected_with_its_attempts() {
    let dispatch = of_request(event("entry", 0, 1, EventCode::RequestDispatched), 1);
    let moments = merge(vec![
        of_attempt(dispatch, 10),
        of_attempt(event("engine", 0, 2, EventCode::UpstreamReported), 10),
        of_attempt(event("engine", 1, 3, EventCode::UpstreamReported), 11),
        event("engine", 2, 4, EventCode::UpstreamLeaving),
    ]);
    let selection = Selection {
        request: Some(RequestId::from_u128(1)),
        ..Selection::default()
    };

    let chosen = select(moments, &selection);

    let sequences: Vec<_> = chosen.iter().map(|m| m.event.wall_ms).collect();
    assert_eq!(sequences, [1, 2]);
}
