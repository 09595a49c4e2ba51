//! Callers that are refused and return when told.

use std::time::Duration;

use super::decide;
use super::full;
use super::join;
use super::waiter;
use crate::clock::Time;
use crate::gateway::sharedqueue::JoinOutcome;
use crate::gateway::sharedqueue::SharedQueue;
use crate::gateway::sharedqueue::Turn;
use crate::gateway::sharedqueue::Waiter;
use crate::gateway::sharedqueue::WaiterId;
use crate::gateway::sharedqueue::tests::model::Model;
use crate::gateway::sharedqueue::tests::model::Stream;

/// A generation refused at 1,100 ms, past its limit.
fn refused(queue: &mut SharedQueue) -> Turn {
    match join(queue, 1_100, waiter(4, 4_000), &full(60)) {
        JoinOutcome::Refused(turn) => turn,
        JoinOutcome::Queued(forecast) => panic!("{forecast:?}"),
    }
}

/// The same content, sent again at `at_ms`.
fn again(at_ms: u64) -> Waiter {
    let first = waiter(4, 4_000);
    Waiter {
        id: WaiterId {
            number: 100,
            ..first.id.clone()
        },
        arrived_at: Time::from_ms(at_ms),
        ..first
    }
}

#[test]
fn one_that_returns_when_told_waits_at_its_first_arrival() {
    let mut queue = SharedQueue::default();
    let turn = refused(&mut queue);
    let back_ms = 1_100 + turn.retry_after.as_millis() as u64;
    join(&mut queue, back_ms, waiter(back_ms - 10, 4_000), &full(60));

    let outcome = join(&mut queue, back_ms, again(back_ms), &full(60));
    let decisions = decide(&mut queue, back_ms + 5, &[super::busy(0, 29_000)]);

    let JoinOutcome::Queued(forecast) = outcome else {
        panic!("{outcome:?}");
    };
    assert_eq!(
        forecast.limit,
        Time::from_ms(16_004).since(Time::from_ms(back_ms))
    );
    assert_eq!(super::starts(&decisions), [(100, "engine-0".to_owned())]);
}

/// A host that had not heard the first refusal asked again, and the second put off the time from which the place held.
#[test]
fn one_refused_again_before_it_heard_may_return_by_either_answer() {
    let mut queue = SharedQueue::default();
    let turn = refused(&mut queue);
    for number in 0..300 {
        join(&mut queue, 1_104, waiter(1_000 + number, 30_000), &full(6));
    }
    let second = join(&mut queue, 1_104, waiter(4, 4_000), &full(6));
    let back_ms = 1_100 + turn.retry_after.as_millis() as u64;

    join(&mut queue, back_ms, again(back_ms), &full(60));

    assert!(matches!(second, JoinOutcome::Refused(later) if later.retry_after > turn.retry_after));
    let request = queue.standings[&again(back_ms).id].request;
    assert!(queue.queue.get_mut(request).unwrap().is_returned);
}

#[test]
fn a_place_is_not_kept_for_one_that_returns_too_early_or_too_late() {
    for offset_ms in [-60, 1_000] {
        let mut queue = SharedQueue::default();
        let turn = refused(&mut queue);
        let back_ms = (1_100 + turn.retry_after.as_millis() as i64 + offset_ms) as u64;

        join(&mut queue, back_ms, again(back_ms), &full(60));

        let id = again(back_ms).id;
        let request = queue.standings[&id].request;
        let entry = queue.queue.get_mut(request).unwrap();
        assert!(!entry.is_returned, "{offset_ms}");
    }
}

#[test]
fn the_time_told_leaves_time_for_a_whole_answer_and_is_honoured_by_callers() {
    for run_s in [1, 8, 15, 18] {
        let mut queue = SharedQueue::default();
        let long = Waiter {
            run_time: Duration::from_secs(run_s),
            ..waiter(4, 30_000)
        };
        for number in 100..1_000 {
            join(&mut queue, 1_100, waiter(number, 30_000), &full(2));
        }

        let JoinOutcome::Refused(turn) = join(&mut queue, 1_100, long, &full(2)) else {
            panic!("queued");
        };

        let left = Time::from_ms(20_004).since(Time::from_ms(1_100));
        assert!(turn.retry_after <= left / 3, "{turn:?}");
        assert!(
            turn.retry_after + Duration::from_secs(run_s) <= left,
            "{turn:?}"
        );
    }
}

/// Those refused twice and those refused at all, of those who came back when told.
fn refused_twice(overload: f64, engines: usize, time: Duration) -> (usize, usize) {
    let stream = Stream {
        customer: "crew",
        weight: 1,
        rank: 1,
        per_s: engines as f64 * 9.2 * overload,
        prompt_tokens: (1_000, 2_500),
        output_tokens: (100, 300),
    };
    let usual = Stream {
        per_s: stream.per_s / overload * 0.5,
        ..stream.clone()
    };
    let other = Stream {
        customer: "other",
        ..usual
    };
    let mut model = Model::new(7, engines * 6 / 5, engines, &[stream, other], time);
    model.callers_return = true;
    model.run(Duration::from_secs(30), |_| {});
    let count = |least| {
        model
            .generations
            .iter()
            .filter(|generation| generation.refusals >= least)
            .count()
    };
    (count(2), count(1))
}

#[test]
fn nobody_who_came_back_when_told_is_refused_twice() {
    for (overload, engines) in [(1.5, 20), (3.0, 20), (3.0, 60)] {
        let (twice, once) = refused_twice(overload, engines, Duration::from_secs(3));

        println!("{overload} times on {engines} engines: {once} refused, {twice} twice");
        assert!(once > 0);
        assert_eq!(twice, 0, "{overload} times on {engines} engines: of {once}");
    }
}
