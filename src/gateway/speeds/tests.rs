use std::time::Duration;

use super::ANNOUNCED_MAX;
use super::FADED_AFTER;
use super::Observation;
use super::RENEW_INTERVAL;
use super::Slowness;
use super::SpeedChange;
use super::Speeds;
use super::Work;
use crate::clock::Time;
use crate::gateway::instance::InstanceId;
use crate::gateway::instance::InstanceKey;
use crate::id::HostId;
use crate::id::ServiceId;
use crate::id::UpstreamId;

/// Time between two observations of one upstream.
const STEP: Duration = Duration::from_millis(500);
const USUAL_S: f64 = 0.01;

fn service() -> ServiceId {
    ServiceId::new("inspection")
}

fn key(number: u64) -> InstanceKey {
    InstanceId::from(UpstreamId::new(format!("engine-{number}"))).key()
}

fn decode(factor: f64) -> Observation {
    beside(8, factor)
}

fn beside(requests: u32, factor: f64) -> Observation {
    Observation {
        work: Work::Decode,
        requests,
        unit_s: USUAL_S * factor,
    }
}

/// Records `steps` observations of each of the upstreams 0, 1, ... that take `factors` of the usual time; returns when
/// the last were made.
fn observe(speeds: &mut Speeds, from: Time, factors: &[f64], steps: u32) -> Time {
    observe_with(speeds, from, steps, factors.len(), |upstream, _| {
        decode(factors[upstream])
    })
}

fn observe_with(
    speeds: &mut Speeds,
    from: Time,
    steps: u32,
    upstreams: usize,
    observation: impl Fn(usize, u32) -> Observation,
) -> Time {
    for step in 1..=steps {
        for upstream in 0..upstreams {
            let at = from + STEP * step;
            let observed = observation(upstream, step);
            speeds.record(at, &service(), key(upstream as u64), observed);
        }
    }
    from + STEP * steps
}

fn decode_slowness(speeds: &Speeds, now: Time, upstream: u64) -> f64 {
    speeds.slowness(now, key(upstream)).decode
}

/// Whether a machine that is shared is slow in a step: one in seven.
fn is_shared(upstream: usize, step: u32) -> bool {
    (step as usize * 5 + upstream * 3).is_multiple_of(7)
}

fn shared_factor(upstream: usize, step: u32) -> f64 {
    if is_shared(upstream, step) { 2.5 } else { 1.0 }
}

fn host(name: &str) -> HostId {
    HostId::new(name)
}

#[test]
fn an_upstream_is_measured_against_the_median_of_its_service() {
    let mut speeds = Speeds::default();

    let now = observe(&mut speeds, Time::ZERO, &[0.7, 0.7, 0.7, 0.7, 1.7, 1.7], 40);

    let slow = decode_slowness(&speeds, now, 4);
    assert!((2.0..2.6).contains(&slow), "{slow}");
    assert_eq!(speeds.slowness(now, key(0)), Slowness::default());
}

#[test]
fn one_observation_says_something_and_twenty_say_nearly_all() {
    let slowness_after = |observations| {
        let mut speeds = Speeds::default();
        let now = observe(&mut speeds, Time::ZERO, &[1.0; 5], 20);
        let last = observe_with(&mut speeds, now, observations, 1, |_, _| decode(1.0));
        for step in 1..=observations {
            speeds.record(now + STEP * step, &service(), key(9), decode(2.5));
        }
        decode_slowness(&speeds, last, 9)
    };

    let (one, twenty) = (slowness_after(1), slowness_after(20));

    assert!((1.1..1.6).contains(&one), "{one}");
    assert!((2.1..2.6).contains(&twenty), "{twenty}");
}

// Guards against choices that change with chance: machines are shared, and each is slow for a seventh of the time.
#[test]
fn upstreams_that_are_alike_count_as_usual() {
    let mut speeds = Speeds::default();

    let now = observe_with(&mut speeds, Time::ZERO, 42, 12, |upstream, step| {
        decode(shared_factor(upstream, step))
    });

    let factors: Vec<f64> = (0..12)
        .map(|it| decode_slowness(&speeds, now, it))
        .collect();
    assert_eq!(factors, [1.0; 12]);
}

#[test]
fn a_fuller_engine_is_not_taken_for_a_slow_one() {
    let mut speeds = Speeds::default();
    // Each request that runs there lengthens the steps by a quarter, and the last engine has the most.
    let requests = |upstream: usize, step: u32| upstream as u32 * 6 + step % 12 + 1;

    let now = observe_with(&mut speeds, Time::ZERO, 60, 6, |upstream, step| {
        let requests = requests(upstream, step);
        beside(requests, 1.0 + 0.25 * f64::from(requests))
    });

    let (emptiest, fullest) = (
        decode_slowness(&speeds, now, 0),
        decode_slowness(&speeds, now, 5),
    );
    assert!(emptiest > 0.8 && fullest < 1.2, "{emptiest} {fullest}");
}

#[test]
fn one_that_recovers_counts_as_usual_after_a_few_observations() {
    let mut speeds = Speeds::default();
    let now = observe(&mut speeds, Time::ZERO, &[1.0, 1.0, 1.0, 2.5], 40);
    let before = decode_slowness(&speeds, now, 3);

    let now = observe(&mut speeds, now, &[1.0; 4], 6);

    assert!(before > 2.0, "{before}");
    assert_eq!(decode_slowness(&speeds, now, 3), 1.0);
}

#[test]
fn one_that_gets_no_requests_is_tried_again() {
    let mut speeds = Speeds::default();
    let now = observe(&mut speeds, Time::ZERO, &[1.0, 1.0, 1.0, 2.5], 40);

    let soon = decode_slowness(&speeds, now + FADED_AFTER / 3, 3);
    let later = decode_slowness(&speeds, now + FADED_AFTER, 3);

    assert!(soon > 2.0, "{soon}");
    assert_eq!(later, 1.0);
}

#[test]
fn a_reborn_upstream_starts_as_usual() {
    let mut speeds = Speeds::default();
    let now = observe(&mut speeds, Time::ZERO, &[1.0, 1.0, 1.0, 2.5], 40);

    let reborn = InstanceId::new(UpstreamId::new("engine-3"), Some(7)).key();

    assert_eq!(speeds.slowness(now, reborn), Slowness::default());
}

#[test]
fn what_other_hosts_observed_counts() {
    let mut teller = Speeds::default();
    let mut listener = Speeds::default();
    let now = observe(&mut teller, Time::ZERO, &[1.0, 1.0, 1.0, 2.5], 40);

    listener.receive(now, &host("a"), &teller.announce(now));

    let told = decode_slowness(&listener, now, 3);
    assert!((2.0..2.6).contains(&told), "{told}");
}

// Guards against an upstream that looks slower each time that a host repeats itself.
#[test]
fn an_announcement_that_is_repeated_counts_once() {
    let mut teller = Speeds::default();
    observe(&mut teller, Time::ZERO, &[1.0, 1.0, 1.0], 1);
    let now = observe_with(&mut teller, Time::ZERO, 1, 1, |_, _| decode(1.0));
    teller.record(now, &service(), key(9), decode(2.5));
    let announced = teller.announce(now);
    let mut once = Speeds::default();
    once.receive(now, &host("a"), &announced);
    let mut often = Speeds::default();

    for _ in 0..20 {
        often.receive(now, &host("a"), &announced);
    }

    assert_eq!(often.slowness(now, key(9)), once.slowness(now, key(9)));
}

#[test]
fn a_host_does_not_pass_on_what_it_was_told() {
    let mut teller = Speeds::default();
    let mut listener = Speeds::default();
    let now = observe(&mut teller, Time::ZERO, &[1.0, 1.0, 1.0, 2.5], 40);

    listener.receive(now, &host("a"), &teller.announce(now));

    assert_eq!(listener.announce(now), []);
}

#[test]
fn what_a_silent_host_told_is_forgotten() {
    let mut teller = Speeds::default();
    let mut listener = Speeds::default();
    let now = observe(&mut teller, Time::ZERO, &[1.0, 1.0, 1.0, 2.5], 40);
    listener.receive(now, &host("a"), &teller.announce(now));
    // Another host goes on to tell of the same upstream, which it finds usual.
    let mut other = Speeds::default();
    let later = observe(&mut other, now, &[1.0; 4], 20);
    listener.receive(later, &host("b"), &other.announce(later));

    let now = now + FADED_AFTER;
    listener.expire(now);

    assert_eq!(decode_slowness(&listener, now, 3), 1.0);
}

#[test]
fn a_datagram_carries_a_few_speeds_and_the_next_one_the_others() {
    let mut speeds = Speeds::default();
    let now = observe(&mut speeds, Time::ZERO, &[1.0; ANNOUNCED_MAX + 4], 20);

    let first = speeds.announce(now);
    let second = speeds.announce(now);

    assert_eq!((first.len(), second.len()), (ANNOUNCED_MAX, 4));
    assert!(second.iter().all(|speed| !first.contains(speed)));
    assert_eq!(speeds.announce(now), []);
}

#[test]
fn an_upstream_is_announced_again_while_it_is_observed() {
    let mut speeds = Speeds::default();
    let now = observe(&mut speeds, Time::ZERO, &[1.0; 4], 20);
    speeds.announce(now);

    let observed = observe(&mut speeds, now, &[1.0, 1.0], 1);
    let at_once = speeds.announce(observed);
    let due = speeds.announce(now + RENEW_INTERVAL);

    assert_eq!((at_once.len(), due.len()), (0, 2));
}

#[test]
fn a_belief_that_changes_is_announced_before_it_is_due() {
    let mut speeds = Speeds::default();
    let now = observe(&mut speeds, Time::ZERO, &[1.0; 4], 20);
    speeds.announce(now);

    let now = observe(&mut speeds, now, &[1.0, 1.0, 1.0, 2.5], 6);

    let upstreams = speeds.announce(now);
    assert_eq!(upstreams.len(), 1);
    assert_eq!(upstreams[0].upstream, key(3));
}

#[test]
fn slow_and_usual_are_logged_once_each() {
    let mut speeds = Speeds::default();
    let mut changes = Vec::new();
    let mut now = Time::ZERO;
    for factor in [1.0, 2.5, 1.0] {
        for step in 0..40 {
            now = now + STEP;
            for upstream in 0..3 {
                let observed = decode(shared_factor(upstream, step));
                speeds.record(now, &service(), key(upstream as u64), observed);
            }
            changes.extend(speeds.record(now, &service(), key(3), decode(factor)));
        }
    }

    assert_eq!(changes.len(), 2, "{changes:?}");
    assert!(matches!(changes[0], SpeedChange::Slow(_)), "{changes:?}");
    assert!(matches!(changes[1], SpeedChange::Usual(_)), "{changes:?}");
    assert_eq!(speeds.count_slow(), 0);
}

#[test]
fn nothing_is_kept_of_upstreams_that_are_gone() {
    let mut speeds = Speeds::default();
    let now = observe(&mut speeds, Time::ZERO, &[1.0, 1.0, 1.0, 2.5], 40);
    speeds.receive(now, &host("a"), &[]);

    let ended = speeds.expire(now + Duration::from_secs(61));

    assert!(
        matches!(ended[..], [(_, SpeedChange::Usual(_))]),
        "{ended:?}"
    );
    assert!(speeds.observed.is_empty() && speeds.due.is_empty());
    let left: usize = speeds.services.values().map(|it| it.upstreams.len()).sum();
    assert_eq!(left, 0);
}
